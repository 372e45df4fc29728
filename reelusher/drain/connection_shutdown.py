"""Shutdown of the connections of a front end by the schedule of a drain, on the thread of its poller."""

import array
import contextlib
import fcntl
import socket
import termios
import time
from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

from reelusher.drain.schedule import (
    ConnectionPhase,
    ConnectionState,
    DrainObservation,
    DrainSchedule,
    next_phase,
    shutdown_cost,
)
from reelusher.net.poller import Poller
from reelusher.net.send_buffer import SendBuffer

POLL_INTERVAL_S = 0.02  # time between two checks which connections may enter their next phase


def unread_bytes(sock: socket.socket) -> int:
    """Return the number of received bytes that were not read from a socket; 0 if it is closed."""
    count = array.array("i", [0])
    with contextlib.suppress(OSError, ValueError):
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    return count[0]


class DrainableConnection(Protocol):
    """A connection that can be shut down gracefully."""

    send_buffer: SendBuffer
    phase: ConnectionPhase

    @property
    def unanswered(self) -> int:
        """The number of requests that have not been answered."""

    @property
    def state(self) -> ConnectionState:
        """The work that is left on this connection."""

    def send_last_call(self, now: float) -> None:
        """Ask the caller to send nothing more on this connection."""


ConnectionT = TypeVar("ConnectionT", bound=DrainableConnection)


class PolledFrontend(Protocol[ConnectionT]):
    """A front end whose poller shuts down its connections. All methods are called on the poller's thread."""

    def stop_listening(self) -> None:
        """Accept the connections that are pending now, then no more."""

    def connections(self) -> list[ConnectionT]:
        """Return the open connections."""

    def reject_requests(self) -> None:
        """Reject all requests that are read from now on."""

    def read_pending(self, connection: ConnectionT) -> None:
        """Read the bytes that a connection has received."""

    def fail_open_requests(self, connection: ConnectionT) -> None:
        """Answer all open requests of a connection with an error, whatever the outcome of their runs."""


def total_state(states: Iterable[ConnectionState]) -> ConnectionState:
    """Return the sum of the states of several connections."""
    unanswered = unsent = unread = 0
    for state in states:
        unanswered += state.unanswered
        unsent += state.unsent_bytes
        unread += state.unread_bytes
    return ConnectionState(unanswered, unsent, unread)


class ConnectionShutdown(Generic[ConnectionT]):
    """Takes the connections of one front end through the phases of their shutdown.

    It runs on the thread that reads the connections, so that no request is read between a check for unread
    bytes and the shutdown that relies on that check, and no other thread can delay the shutdown.
    """

    def __init__(self, poller: Poller, frontend: PolledFrontend[ConnectionT]) -> None:
        self._poller = poller
        self._frontend = frontend
        self._schedule: DrainSchedule | None = None
        self._stopped_listening = False
        self.observation: DrainObservation | None = None  # latest observation of all connections

    def follow(self, schedule: DrainSchedule) -> None:
        """Follow this schedule from now on. Any thread may call this method."""
        is_first, self._schedule = self._schedule is None, schedule
        if is_first:
            self._poller.call(self._start)

    def _start(self) -> None:
        self._poller.every(POLL_INTERVAL_S, self._poll)
        self._poll()

    def _poll(self) -> None:
        schedule, now = self._schedule, time.monotonic()
        assert schedule is not None
        if now < schedule.notify_s:
            return
        if not self._stopped_listening:
            self._stopped_listening = True
            self._frontend.stop_listening()
        if now >= schedule.reject_s:
            self._frontend.reject_requests()
        for connection in self._frontend.connections():
            if connection.phase is ConnectionPhase.SERVING:
                connection.phase = ConnectionPhase.NOTIFIED
                connection.send_last_call(now)
        if now >= schedule.shutdown_s:
            for connection, state in self._connections_to_shut_down():
                self._advance(connection, state, now, schedule)
        self.observation = DrainObservation(self._is_idle(), now)

    def _is_idle(self) -> bool:
        """Return whether no connection has work left.

        This is asked at each poll, so it looks at each connection without a system call: the poller knows
        whether any of them has unread bytes.
        """
        connections = self._frontend.connections()
        has_answers_left = any(
            connection.unanswered or connection.send_buffer.backlog for connection in connections
        )
        return not has_answers_left and not self._poller.has_ready()

    def _connections_to_shut_down(self) -> list[tuple[ConnectionT, ConnectionState]]:
        """Return the connections that are not shut down yet with their states, sorted by `shutdown_cost`."""
        states = [
            (connection, connection.state)
            for connection in self._frontend.connections()
            if connection.phase is not ConnectionPhase.SHUT_DOWN
        ]
        return sorted(states, key=lambda pair: shutdown_cost(pair[1]))

    def _advance(
        self, connection: ConnectionT, state: ConnectionState, now: float, schedule: DrainSchedule
    ) -> None:
        """Shut down one connection if it may be shut down now.

        Its received bytes are read first, and then its open requests are failed.
        """
        if state.unread_bytes:
            self._frontend.read_pending(connection)
            state = connection.state
        if state.unanswered:  # the controller or the event loop is too late
            self._frontend.fail_open_requests(connection)
            state = connection.state
        self._enter(connection, next_phase(connection.phase, state, now, schedule))

    def _enter(self, connection: ConnectionT, phase: ConnectionPhase) -> None:
        """Enter a phase; `SHUT_DOWN` is entered only if the send buffer could be shut down."""
        shuts_down = phase is ConnectionPhase.SHUT_DOWN and connection.phase is not phase
        if not shuts_down or connection.send_buffer.shutdown_write():
            connection.phase = phase
