"""A guard that finds attempts without an answer shortly after their due time."""

from collections.abc import Callable
from functools import partial

from reelusher.core.attempts import Attempt
from reelusher.core.context import CoreContext

SLOT_WIDTH_US = 10_000  # checks are made at multiples of this time
# An attempt is checked this long after its due time, or after half of the slack for answers if that is less:
# the rest of the slack is left for the delivery of the answer. The time is rounded up to the next slot.
MAX_CHECK_DELAY_US = 30_000
# The latest check is made this long before the process is stopped, rounded up to the next slot as well.
STOP_MARGIN_US = 150_000


class DeadlineGuard:
    """Calls `on_overdue` for each attempt that has no answer shortly after its due time.

    One timer serves all attempts of a time slot and holds only their ids. A callback for each attempt would
    keep the body of the request in memory until its deadline, long after the answer.
    """

    def __init__(self, context: CoreContext, on_overdue: Callable[[Attempt], None]) -> None:
        self._context = context
        self._on_overdue = on_overdue
        self._slots: dict[int, list[int]] = {}  # ids of the watched attempts, by slot number

    def watch(self, attempt: Attempt, stop_us: int | None) -> None:
        """Check an attempt shortly after its due time, or before the process is stopped if that is earlier.

        `stop_us` is None unless the node drains. An attempt may be watched again when `stop_us` changes.
        """
        context = self._context
        check_us = attempt.due_us + min(MAX_CHECK_DELAY_US, context.settings.answer_slack_us // 2)
        if stop_us is not None:
            check_us = min(check_us, stop_us - STOP_MARGIN_US)
        slot = -(-max(check_us, context.now_us) // SLOT_WIDTH_US)  # rounded up
        if slot not in self._slots:
            self._slots[slot] = []
            context.timers.call_at(slot * SLOT_WIDTH_US, partial(self._check_slot, slot))
        self._slots[slot].append(attempt.id)

    def _check_slot(self, slot: int) -> None:
        for attempt_id in self._slots.pop(slot, ()):
            attempt = self._context.attempts.get(attempt_id)
            if attempt is not None and not attempt.answered:
                self._on_overdue(attempt)
