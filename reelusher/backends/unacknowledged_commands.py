"""The commands to the runtime that it may not have read yet."""

import time
from collections.abc import Callable
from typing import NamedTuple

MAX_MARKS = 64  # requests of gauges that have no answer; there are ten each second
LOSS_WINDOW_S = 0.06  # a break loses commands that were sent in the last 50 ms; and the latency


class SentCommand(NamedTuple):
    """A command, as it was sent."""

    run_id: str
    line: bytes
    sent_s: float


class UnacknowledgedCommands:
    """Commands that the runtime may not have read yet, in the order in which they were sent.

    Each notice and each answer to gauges acknowledges some, so that no search is needed. The newest are
    kept though they are acknowledged by gauges: a break loses them, read or not.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._commands: dict[int, SentCommand] = {}  # by order
        self._orders_by_run: dict[str, list[int]] = {}
        self._marks: dict[str, int] = {}  # by cookie of requested gauges: the last command before
        self._last_order = 0

    def __len__(self) -> int:
        return len(self._commands)

    def add(self, run_id: str, line: bytes) -> None:
        """Record a command."""
        self._last_order += 1
        self._commands[self._last_order] = SentCommand(run_id, line, self._clock())
        self._orders_by_run.setdefault(run_id, []).append(self._last_order)

    def mark(self, cookie: str) -> None:
        """Record that gauges are requested, after all commands so far."""
        self._marks[cookie] = self._last_order
        if len(self._marks) > MAX_MARKS:  # where the runtime answers none
            del self._marks[next(iter(self._marks))]

    def acknowledge_gauges(self, cookie: str) -> None:
        """Drop the commands that were sent before these gauges were requested."""
        through_order, newest_s = self._marks.pop(cookie, 0), self._clock() - LOSS_WINDOW_S
        while self._commands and (order := next(iter(self._commands))) <= through_order:
            command = self._commands[order]
            if command.sent_s > newest_s:
                return
            del self._commands[order]
            remaining = self._orders_by_run[command.run_id]
            remaining.remove(order)  # the first of a few
            if not remaining:
                del self._orders_by_run[command.run_id]

    def acknowledge_run(self, run_id: str) -> None:
        """Drop the commands for a run that a notice names."""
        for order in self._orders_by_run.pop(run_id, ()):
            del self._commands[order]

    def lines_to_resend(self) -> list[bytes]:
        """Return what is to be sent again on a new link; gauges requested on the old one get no answer."""
        self._marks.clear()
        return [command.line for command in self._commands.values()]

    def clear(self) -> None:
        """Drop all commands."""
        self._commands.clear()
        self._orders_by_run.clear()
        self._marks.clear()
