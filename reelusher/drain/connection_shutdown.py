"""The end of a front's connections, by the clock: what `plan` decides, done by the front's own poller."""

import array
import contextlib
import fcntl
import socket
import termios
import time
from collections.abc import Iterable
from dataclasses import replace
from typing import Generic, Protocol, TypeVar

from reelusher.drain.schedule import Facts, Stages, Step, cheapest_first, next_step
from reelusher.net.poller import Poller
from reelusher.net.send_buffer import SendBuffer

LOOK_S = 0.02  # between two looks at what is still owed


def unread_bytes(sock: socket.socket) -> int:
    """Count what has come in on a socket and is not read; 0 for one that is closed."""
    count = array.array("i", [0])
    with contextlib.suppress(OSError, ValueError):
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    return count[0]


class Ending(Protocol):
    """A connection that is brought to its end."""

    outbox: SendBuffer
    ended: bool  # nothing more is read on it
    step: Step

    @property
    def facts(self) -> Facts:
        """What is known of it."""

    def last_call(self, now: float) -> None:
        """Tell the other side to send nothing more here."""


C = TypeVar("C", bound=Ending)


class Leaver(Protocol[C]):
    """A front whose connections are brought to their end; all of it is called by the poller's thread."""

    def stop_listening(self) -> None:
        """Accept what has connected by now, then nothing more."""

    def ending(self) -> list[C]:
        """Return the connections."""

    def refuse(self) -> None:
        """Refuse from now on whatever is read."""

    def read_out(self, connection: C) -> None:
        """Read what has come in on a connection, all of it."""

    def fail(self, connection: C) -> None:
        """Answer what is still open with an error, whatever its run may come to."""


def summed(facts: Iterable[Facts]) -> Facts:
    """Return what is owed on several connections together."""
    total = Facts(0, 0, 0)
    for one in facts:
        total = replace(
            total,
            open=total.open + one.open,
            backlog=total.backlog + one.backlog,
            unread=total.unread + one.unread,
        )
    return total


class Endings(Generic[C]):
    """Takes the connections of one front through the steps of `plan.Step`.

    It lives in the thread that reads them, so nothing can come in between a look at what is unread and the
    step that rests on it, and no other thread's delay can hold it up.
    """

    def __init__(self, poller: Poller, front: Leaver[C]) -> None:
        self._poller = poller
        self._front = front
        self._plan: Stages | None = None
        self._told = self._started = False
        self.owed: tuple[Facts, float] | None = None  # on all of them at the last look, and when that was

    def follow(self, plan: Stages) -> None:
        """Go by this plan from now on, from any thread."""
        self._plan = plan
        if not self._started:
            self._started = True
            self._poller.call(self._begin)

    def _begin(self) -> None:
        self._poller.every(LOOK_S, self._look)
        self._look()

    def _look(self) -> None:
        plan, now = self._plan, time.monotonic()
        assert plan is not None
        if now < plan.tell_s:
            return
        if not self._told:
            self._told = True
            self._front.stop_listening()
        if now >= plan.refuse_s:
            self._front.refuse()
        connections = self._front.ending()
        facts = [(connection, connection.facts) for connection in connections]
        if now >= plan.shut_s:  # before, whatever is unread is read in its turn
            facts.sort(key=lambda pair: cheapest_first(pair[1]))
        for connection, known in facts:
            self._bring(connection, known, now, plan)
        self.owed = summed(connection.facts for connection in self._front.ending()), now

    def _bring(self, connection: C, known: Facts, now: float, plan: Stages) -> None:
        """Take one connection as far as it goes now."""
        if connection.step is Step.SERVED:
            connection.step = next_step(connection.step, known, now, plan)
            connection.last_call(now)
        if now >= plan.shut_s and known.unread:
            self._front.read_out(connection)
            known = connection.facts
        if now >= plan.shut_s and known.open:  # the module's time is over; it, or its thread, came too late
            self._front.fail(connection)
            known = connection.facts
        step = next_step(connection.step, known, now, plan)
        if step is not Step.SHUT or connection.step is Step.SHUT or connection.outbox.shut():
            connection.step = step
