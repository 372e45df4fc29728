"""Keeps commands to the runtime until they are acknowledged, to resend them after a broken link."""

import time
from collections.abc import Callable, Container
from dataclasses import dataclass
from typing import NamedTuple

MAX_MARKS = 64  # gauge requests without a reply; a node makes ten a second
LOSS_WINDOW_S = 0.06  # a broken link loses the commands of its last 50 ms; the rest is for latency


class Command(NamedTuple):
    """A command to the runtime."""

    run_id: str
    name: str  # its name in the protocol
    line: bytes  # the encoded command


@dataclass(slots=True)
class UnacknowledgedCommand:
    """A command, and what a next link sends in its place if this one may have been read."""

    command: Command
    repetition: Command | None  # None: nothing, since a second one could do harm
    recorded_s: float
    sent: bool = False  # whether a link has carried it


class ReplacedCommands(NamedTuple):
    """How many commands of a broken link are not repeated as they were."""

    replaced: int  # by another command
    dropped: int


class UnacknowledgedCommands:
    """Commands that the runtime may not have read yet, in the order in which they were sent.

    A notice acknowledges the commands for its run that must have been read before it was sent; a reply to a
    gauge request acknowledges all commands sent before that request. Both find them without a search.
    Commands younger than `LOSS_WINDOW_S` are kept even if gauges acknowledge them: a link that breaks loses
    them, whether they were read or not.

    Not thread-safe: the caller holds a lock.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._commands: dict[int, UnacknowledgedCommand] = {}  # by sequence number
        self._sequences_by_run: dict[str, list[int]] = {}
        self._marks: dict[str, int] = {}  # by cookie of a gauge request: the last sequence number before it
        self._last_sequence = 0

    def __len__(self) -> int:
        return len(self._commands)

    def add(self, command: Command, repetition: Command | None) -> UnacknowledgedCommand:
        """Record a command that has not been sent, and return its entry; `repetition` may be the same."""
        self._last_sequence += 1
        entry = self._commands[self._last_sequence] = UnacknowledgedCommand(
            command, repetition, self._clock()
        )
        self._sequences_by_run.setdefault(command.run_id, []).append(self._last_sequence)
        return entry

    def mark(self, cookie: str) -> None:
        """Record a gauge request with this cookie, sent after all commands so far."""
        self._marks[cookie] = self._last_sequence
        if len(self._marks) > MAX_MARKS:  # the runtime does not reply to gauge requests
            del self._marks[next(iter(self._marks))]

    def acknowledge_gauges(self, cookie: str) -> None:
        """Drop the commands sent before the gauge request with this cookie, except the youngest."""
        through_sequence, cutoff_s = self._marks.pop(cookie, 0), self._clock() - LOSS_WINDOW_S
        while self._commands and (sequence := next(iter(self._commands))) <= through_sequence:
            if self._commands[sequence].recorded_s > cutoff_s:
                return
            self._remove(sequence)

    def _remove(self, sequence: int) -> None:
        run_id = self._commands.pop(sequence).command.run_id
        remaining = self._sequences_by_run[run_id]
        remaining.remove(sequence)  # one of a few entries
        if not remaining:
            del self._sequences_by_run[run_id]

    def acknowledge_run(self, run_id: str) -> None:
        """Drop all commands for a run, since it has ended."""
        for sequence in self._sequences_by_run.pop(run_id, ()):
            del self._commands[sequence]

    def acknowledge_names(self, run_id: str, names: Container[str]) -> None:
        """Drop the commands of these names for a run.

        Others may have been sent while the notice that acknowledges these was in transit.
        """
        remaining = []
        for sequence in self._sequences_by_run.pop(run_id, ()):
            if self._commands[sequence].command.name in names:
                del self._commands[sequence]
            else:
                remaining.append(sequence)
        if remaining:
            self._sequences_by_run[run_id] = remaining

    def replace_sent(self) -> ReplacedCommands:
        """Replace the commands that a broken link has carried by their repetitions, or drop them."""
        replaced = dropped = 0
        for sequence, entry in list(self._commands.items()):
            if not entry.sent or entry.repetition is entry.command:
                continue
            if entry.repetition is None:
                self._remove(sequence)
                dropped += 1
            else:
                entry.command = entry.repetition
                replaced += 1
        return ReplacedCommands(replaced, dropped)

    def lines_to_resend(self) -> list[bytes]:
        """Return the commands to send on a new link, and forget the gauge requests of the old one."""
        self._marks.clear()
        for entry in self._commands.values():
            entry.sent = True
        return [entry.command.line for entry in self._commands.values()]

    def clear(self) -> None:
        """Drop all commands."""
        self._commands.clear()
        self._sequences_by_run.clear()
        self._marks.clear()
