"""The guard that finds attempts without an answer at their deadline."""

from collections.abc import Callable
from functools import partial

from reelusher.core.attempts import Attempt
from reelusher.core.context import CoreContext

SLOT_WIDTH_US = 10_000  # the guard looks at multiples of this time
MAX_CHECK_DELAY_US = 30_000  # after the deadline; the rest of the slack is for the way of the answer
STOP_MARGIN_US = 150_000  # before the process is stopped, by when all requests are answered


class DeadlineGuard:
    """Calls `on_overdue` for each attempt that has no answer shortly after its deadline.

    One timer serves all attempts of a time slot, and it holds their ids only: a callback for each attempt
    would keep the body of a request in memory until its deadline, long after the answer.
    """

    def __init__(self, context: CoreContext, on_overdue: Callable[[Attempt], None]) -> None:
        self._context = context
        self._on_overdue = on_overdue
        self._slots: dict[int, list[int]] = {}  # ids of attempts, by slot

    def watch(self, attempt: Attempt, stop_us: int | None) -> None:
        """Look at an attempt after its deadline, or before the process is stopped if that is earlier."""
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
