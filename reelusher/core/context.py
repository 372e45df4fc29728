"""The state that the modules of the core share; for the event loop thread, unless noted otherwise."""

from collections.abc import Callable
from dataclasses import replace

from reelusher.core.attempts import Attempt, Attempts
from reelusher.core.clock import Clock
from reelusher.core.counters import Counters
from reelusher.core.current_classes import CurrentClasses
from reelusher.core.messages import Message
from reelusher.core.notices import CallerNotices
from reelusher.core.request_stats import RequestStats
from reelusher.core.timers import Timers
from reelusher.policy.events import Event
from reelusher.policy.settings import RequestClass, Settings

MAX_CLASSES = 1000  # limit of all classes since the start, including those that a reload has replaced


class CoreContext:
    """Settings, clock, timers, attempts and pending events of one event loop."""

    def __init__(
        self,
        settings: Settings,
        gauge_fields: list[str],
        class_names: list[str],
        clock: Clock,
        counters: Counters,
        post: Callable[[Message], None],
    ) -> None:
        """Initialize the shared state. `post` queues a message for the event loop; any thread may call it."""
        self.settings = settings
        self.gauge_fields = gauge_fields
        self.class_names = class_names
        self.current_classes = CurrentClasses(class_names, settings.classes)  # any thread may read
        self.clock = clock
        self.counters = counters
        self.post = post
        self.notices = CallerNotices(idle_timeout_us=settings.idle_timeout_us)
        self.stats = RequestStats(class_names)
        self.attempts = Attempts()
        self.timers = Timers()
        self.pending_events: list[Event] = []  # passed to the controller at the end of the batch
        self.now_us = 0  # time of the current batch

    def class_name(self, class_index: int) -> str:
        """Return the name of a class by its index."""
        return self.class_names[class_index]

    def class_name_of(self, attempt: Attempt) -> str:
        """Return the name of the class that an attempt belongs to."""
        return self.class_names[attempt.request.class_index]

    def apply_settings(
        self, settings: Settings, gauge_fields: list[str], class_names: list[str]
    ) -> dict[str, int]:
        """Replace the settings and return the index of each class by its name.

        Open requests keep the version of their class, since a new or changed class gets a new index. Raises
        ValueError if there are too many classes.
        """
        classes, names = list(self.settings.classes), list(self.class_names)
        index_by_name = _add_classes(classes, names, settings, class_names)
        if len(classes) > MAX_CLASSES:
            raise ValueError(f"more than {MAX_CLASSES} classes since the start")
        # a reload cannot change whether the machine started cold
        self.settings = replace(settings, classes=classes, cold_start=self.settings.cold_start)
        self.gauge_fields, self.class_names = gauge_fields, names
        self.notices.idle_timeout_us = settings.idle_timeout_us
        self.stats.add_classes(class_names)
        return index_by_name


def _add_classes(
    classes: list[RequestClass], names: list[str], settings: Settings, class_names: list[str]
) -> dict[str, int]:
    """Append new and changed classes to both lists, and return the index of each class of the settings."""
    index_by_name = {}
    for name, request_class in zip(class_names, settings.classes, strict=True):
        existing = list(zip(names, classes, strict=True))
        if (name, request_class) in existing:
            index_by_name[name] = existing.index((name, request_class))
            continue
        index_by_name[name] = len(classes)
        classes.append(request_class)
        names.append(name)
    return index_by_name
