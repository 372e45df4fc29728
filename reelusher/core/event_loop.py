"""The event loop of the node: one thread with a message queue and timers; it alone uses the controller."""

import queue
import threading
from collections.abc import Callable
from concurrent.futures import Future
from functools import partial
from random import Random
from typing import Any

from loguru import logger

from reelusher.core.answers import Answers
from reelusher.core.clock import Clock
from reelusher.core.context import CoreContext
from reelusher.core.counters import Counters
from reelusher.core.deduplication import Deduplication
from reelusher.core.dependency_calls import DependencyCalls
from reelusher.core.gauge_ticks import GaugeTicks
from reelusher.core.idempotency_table import DEFAULT_MAX_RESULT_BYTES, IdempotencyTable
from reelusher.core.messages import (
    CallersDisconnected,
    CallFinished,
    CallRequested,
    Dependency,
    DrainRequested,
    EventLoopTask,
    GaugesReceived,
    KeyPersisted,
    Message,
    RequestArrived,
    RunFinished,
    Runner,
    RunsLost,
)
from reelusher.core.request_lifecycle import RequestLifecycle
from reelusher.core.scheduling_lag import SchedulingLag
from reelusher.policy.actions import (
    AdvertiseCapacity,
    AttachToOriginal,
    Call,
    CloseIdleConnections,
    FailRequest,
    ForgetKey,
    Preempt,
    Reject,
    RememberKey,
    ReportHealth,
    Run,
    SetTimer,
    SkipCall,
)
from reelusher.policy.controller import Controller
from reelusher.policy.events import Event, WarmStartData
from reelusher.policy.settings import Settings
from reelusher.policy.tenant_scheduler import TenantScheduler

KEY_EXPIRY_INTERVAL_US = 1_000_000  # time between two removals of expired idempotency keys
TASK_TIMEOUT_S = 5.0  # default time that another thread waits for a task to start


class Core:
    """The event loop that drives one controller.

    All input arrives as messages in its queue. The loop takes all queued messages as one batch, passes the
    resulting events to the controller and carries out the actions that it returns.
    """

    def __init__(
        self,
        settings: Settings,
        gauge_fields: list[str],
        seed: int,
        runner: Runner,
        dependency: Dependency | None = None,
        class_names: list[str] | None = None,
        clock: Clock | None = None,
        counters: Counters | None = None,
        max_result_bytes: int = DEFAULT_MAX_RESULT_BYTES,
        scheduler: TenantScheduler | None = None,
    ) -> None:
        """Create the event loop; `start` or `run` starts it.

        `runner` runs the requests of tenants without a runner of their own and provides the gauges.
        `gauge_fields` names the field of `Gauges` for each reading, or "" for a reading that is not used.
        `scheduler` shares the node between tenants.
        """
        self.counters = counters or Counters()
        self.clock = clock or Clock()
        names = class_names or [str(index) for index in range(len(settings.classes))]
        context = CoreContext(settings, gauge_fields, names, self.clock, self.counters, self.post)
        self._context = context
        self.notices, self.stats, self.attempts = context.notices, context.stats, context.attempts
        self.current_classes = context.current_classes
        self.keys = IdempotencyTable(_max_deadline_us(settings), max_result_bytes)
        answers = Answers(context)
        self.deduplication = Deduplication(context, answers, self.keys)
        self._calls = DependencyCalls(context, dependency)
        self.requests = RequestLifecycle(
            context, answers, self.deduplication, self._calls, runner, self._flush
        )
        self._ticks = GaugeTicks(context, runner)
        self.on_health_changed: Callable[[], None] = lambda: None  # called on any thread; must not block
        self.on_classes_changed: Callable[[], None] = lambda: None  # called on the event loop thread
        self._seed = seed
        self._controller = Controller(settings, seed, scheduler)
        self._queue: queue.SimpleQueue[Message | None] = queue.SimpleQueue()  # None ends the thread
        self._lag = SchedulingLag()
        self._message_handlers = self._make_message_handlers()
        self._action_handlers = self._make_action_handlers()

    def _make_message_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            RequestArrived: self.requests.on_request_arrived,
            CallersDisconnected: self.requests.on_callers_disconnected,
            RunFinished: self.requests.on_run_finished,
            RunsLost: self.requests.on_runs_lost,
            KeyPersisted: self.requests.on_key_persisted,
            DrainRequested: self.requests.on_drain,
            CallRequested: self._calls.on_call_requested,
            CallFinished: self._calls.on_call_finished,
            GaugesReceived: self._ticks.on_gauges,
            EventLoopTask: _run_task,
        }

    def _make_action_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            Run: self.requests.run,
            Preempt: self.requests.preempt,
            Reject: self.requests.reject,
            FailRequest: self.requests.fail,
            Call: self._calls.make,
            SkipCall: self._calls.skip,
            AttachToOriginal: self.deduplication.attach,
            RememberKey: self.deduplication.remember_key,
            ForgetKey: self.deduplication.forget_key,
            SetTimer: self._ticks.set_timer,
            ReportHealth: self._report_health,
            AdvertiseCapacity: self._advertise_capacity,
            CloseIdleConnections: self._set_idle_timeout,
        }

    # Settings and state

    @property
    def settings(self) -> Settings:
        """The current settings, including all replaced classes, since open requests may still use them."""
        return self._context.settings

    @property
    def class_names(self) -> list[str]:
        """The names of the classes by index; a class that a reload has changed occurs once per version."""
        return self._context.class_names

    @property
    def now_us(self) -> int:
        """The time of the current batch in microseconds, by the clock of the node."""
        return self._context.now_us

    def apply_settings(self, settings: Settings, gauge_fields: list[str], class_names: list[str]) -> None:
        """Replace the settings; on the event loop thread. Front ends use `current_classes` from then on.

        Open requests keep the version of their class. Raises ValueError if there are too many classes.
        """
        index_by_name = self._context.apply_settings(settings, gauge_fields, class_names)
        self.keys.extend_retention(_max_deadline_us(self.settings))
        self._controller.apply_settings(self.settings, index_by_name.values())
        self.on_classes_changed()
        self.current_classes.replace(index_by_name, self.settings.classes)

    def observed_times(self) -> dict[str, tuple[float, float]]:
        """Return the observed run and call times for the warm start of other nodes; on the event loop thread.

        Each value comes with the Unix time of the last success in seconds. The key `run:` with the name of a
        class holds the run time as a ratio of the expected work; `call:below` holds the mean duration of a
        call in microseconds.
        """
        estimates, last_success_s = self._controller.run_times, self.requests.last_success_s
        observed: dict[str, tuple[float, float]] = {}
        for class_index, name in enumerate(self.class_names):
            ratio = estimates.ratio(class_index)
            if ratio is not None and name in last_success_s:
                observed[f"run:{name}"] = ratio, last_success_s[name]
        mean_call_us = self._controller.dependency.mean_duration_us
        if mean_call_us and self._calls.last_success_s is not None:
            observed["call:below"] = mean_call_us, self._calls.last_success_s
        return observed

    def apply_warm_start(self, ratio_by_class: dict[str, float], call_duration_us: float) -> None:
        """Use the times that other nodes have observed as initial estimates; on the event loop thread.

        `ratio_by_class` holds run times as ratios of the expected work by class name, `call_duration_us` the
        mean duration of a call in microseconds, or 0 if it is unknown. The controller receives them at the
        end of the batch.
        """
        indexed_names = enumerate(self.class_names)
        ratios = {index: ratio_by_class[name] for index, name in indexed_names if name in ratio_by_class}
        self._context.pending_events.append(WarmStartData(ratios, call_duration_us))

    def controller_state(self) -> dict[str, float]:
        """Return the current values of the control variables of the controller; on the event loop thread."""
        state = self._controller.state()
        return {
            "G": round(state.degraded_fraction, 3),
            "cap": state.concurrency_limit,
            "refusal": round(state.rejection_probability, 3),
            "room": round(state.advertised_capacity, 1),
        }

    def lag_s(self) -> float:
        """Return the largest recent delay of timers, which decays with time, in seconds; on any thread."""
        return self._lag.lag_s(self.clock.now() / 1e6)

    # The thread and its queue

    def start(self) -> threading.Thread:
        """Start the event loop thread."""
        thread = threading.Thread(target=self.run, name="event-loop", daemon=True)
        thread.start()
        return thread

    def stop(self) -> None:
        """End the event loop thread once it has processed the messages queued so far; on any thread."""
        self._queue.put(None)

    def post(self, message: Message) -> None:
        """Queue a message; on any thread."""
        self._queue.put(message)

    def run_on_loop(self, function: Callable[[], Any], timeout_s: float = TASK_TIMEOUT_S) -> Any:
        """Run a function on the event loop thread between two batches, and return its result.

        Raises TimeoutError if the function has not started in time; it will then never be run. An exception
        that the function raises is raised here.
        """
        future: Future[Any] = Future()
        self.post(EventLoopTask(function, future))
        try:
            return future.result(timeout_s)
        except TimeoutError:
            if future.cancel():
                raise
            return future.result()  # it has started

    def call_later(self, delay_us: int, function: Callable[[], None]) -> None:
        """Run a function after a delay; on the event loop thread."""
        self._context.timers.call_at(self.clock.now() + delay_us, function)

    def run(self) -> None:
        """Process batches until `stop` is called; the body of the event loop thread."""
        self.begin()
        while True:
            batch = self.next_batch()
            self.process_batch([message for message in batch if message is not None])
            if None in batch:
                return

    def begin(self) -> None:
        """Let the controller set its first timer, and set the one that removes expired idempotency keys.

        `run` calls this. Code that processes batches itself, without the thread, must call it first.
        """
        self._context.now_us = self.clock.now()
        self._handle_events([])
        # a random first delay keeps nodes started together on a machine from removing keys all at once
        delay_us = Random(self._seed).randrange(KEY_EXPIRY_INTERVAL_US)
        self._context.timers.call_at(self.now_us + delay_us, self._remove_expired_keys)

    def next_timer_us(self) -> int | None:
        """Return when the next timer is due in microseconds, or None if no timer is set."""
        return self._context.timers.next_due_us()

    def next_batch(self) -> list[Message | None]:
        """Wait for a message or the next timer, and return all queued messages."""
        due_us = self.next_timer_us()
        timeout_s = None if due_us is None else max(0.0, (due_us - self.clock.now()) / 1e6)
        batch: list[Message | None] = []
        try:
            batch.append(self._queue.get(timeout=timeout_s))
        except queue.Empty:
            return batch
        return batch + self.queued_messages()

    def queued_messages(self) -> list[Message | None]:
        """Return all queued messages without waiting."""
        messages: list[Message | None] = []
        try:
            while True:
                messages.append(self._queue.get_nowait())
        except queue.Empty:
            return messages

    def has_queued_messages(self) -> bool:
        """Return whether messages are queued; on any thread."""
        return not self._queue.empty()

    def process_batch(self, batch: list[Message]) -> None:
        """Handle messages and due timers, all with the same current time."""
        now_us = self._context.now_us = self.clock.now()
        due_us = self.next_timer_us()
        if due_us is not None and due_us <= now_us:
            self._lag.observe((now_us - due_us) / 1e6, now_us / 1e6)
        for message in batch:
            self._run_step(partial(self._message_handlers[type(message)], message))
        self._context.timers.run_due(now_us, self._run_step)
        self._run_step(self._flush)
        self._ticks.rearm_if_lost()

    def _run_step(self, step: Callable[[], None]) -> None:
        """Run a step and log its exception.

        In release builds (`python -O`) the exception is not raised again: it must not end the event loop
        thread, on which all requests depend.
        """
        try:
            step()
        except Exception:
            self.counters.add("owner.failed")
            logger.exception("event loop: a step failed")
            if __debug__:
                raise

    def _flush(self) -> None:
        """Pass the pending events to the controller, until its actions cause no more events."""
        context = self._context
        while context.pending_events:
            events, context.pending_events = context.pending_events, []
            self.requests.clear_pending_keys()
            self._handle_events(events)

    def _handle_events(self, events: list[Event]) -> None:
        for action in self._controller.handle(self.now_us, events):
            self._action_handlers[type(action)](action)

    # Actions that change the notices to callers

    def _report_health(self, action: ReportHealth) -> None:
        if self.notices.healthy is not action.healthy:
            logger.info("health is now {}", "good" if action.healthy else "bad")
            self.notices.healthy = action.healthy
            self.on_health_changed()

    def _advertise_capacity(self, action: AdvertiseCapacity) -> None:
        self.notices.advertised_capacity = action.value

    def _set_idle_timeout(self, action: CloseIdleConnections) -> None:
        self.notices.idle_timeout_us = action.idle_timeout_us or self.settings.idle_timeout_us

    def _remove_expired_keys(self) -> None:
        self.keys.remove_expired(self.now_us, self.attempts.__contains__)
        self.counters.log_suppressed()
        self._context.timers.call_at(self.now_us + KEY_EXPIRY_INTERVAL_US, self._remove_expired_keys)


def _run_task(message: EventLoopTask) -> None:
    if not message.future.set_running_or_notify_cancel():
        return
    try:
        message.future.set_result(message.function())
    except Exception as error:  # raised in the thread that waits for the result
        message.future.set_exception(error)


def _max_deadline_us(settings: Settings) -> int:
    return max(request_class.deadline_us for request_class in settings.classes)
