"""Calls to the downstream service, each with a connection to itself while it is in progress."""

import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from loguru import logger

from reelusher.codecs import lines
from reelusher.codecs.errors import MalformedError
from reelusher.core.clock import Clock
from reelusher.core.counters import Counters
from reelusher.core.messages import CallFinished, Message
from reelusher.net.send_buffer import SendBuffer
from reelusher.net.sockets import Address, connect
from reelusher.net.threads import start_thread
from reelusher.policy.events import Outcome

# The service drops connections that are idle for longer, and resets the next call there. From a reset it
# can't be told that the call never ran.
MAX_IDLE_S = 0.05
CONNECT_TIMEOUT_S = 1.0
MAX_BACKLOG_BYTES = 1 << 20
READ_BYTES = 1 << 14
MAX_CONNECTIONS = 24  # at once, each with a descriptor
MAX_CALLS_PER_CONNECTION = 500  # which it remembers, after which it is replaced
MIN_TIME_LEFT_US = 1000  # a call with less is not sent
OUTCOMES = {
    "yes": Outcome.OK,
    "notnow": Outcome.REJECTED,
    "failed": Outcome.ERROR,
    "overdue": Outcome.TIMEOUT,
    "pointless": Outcome.REJECTED,
}


@dataclass(slots=True, frozen=True)
class PendingCall:
    """A call that is to be made."""

    call: str
    ticket: int
    until_us: int
    body: bytes


class DownstreamConnection:
    """One connection to the service, which carries one call at a time.

    The service may garble a reply or never send it, and then the connection is of no use to any other call.
    With a connection to itself, such a call costs no other.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.send_buffer: SendBuffer | None = None  # once it is connected
        self.current: PendingCall | None = None  # the call in progress
        self.calls: set[str] = set()  # made here: a duplicate of a reply must not be taken for a later call's
        self.last_used_s = time.monotonic()
        self.ended = False

    def can_carry(self, pending: PendingCall, address: Address) -> bool:
        """Return whether this idle connection may carry a call."""
        return (
            not self.ended
            and self.address == address
            and pending.call not in self.calls
            and len(self.calls) < MAX_CALLS_PER_CONNECTION
            and time.monotonic() - self.last_used_s < MAX_IDLE_S
        )

    def end(self) -> None:
        """Use it for no further call; its thread closes it."""
        self.ended = True
        if self.send_buffer is not None:
            self.send_buffer.close()


class DownstreamClient:
    """Makes calls over a bounded number of connections; calls past that wait for one.

    The event loop sends; each connection has a thread that opens and reads it.
    """

    def __init__(
        self,
        address: Address,
        post: Callable[[Message], None],
        counters: Counters,
        clock: Clock,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._address = address
        self._post = post
        self._counters = counters
        self._clock = clock
        self._max_connections = max_connections
        self._lock = threading.Lock()
        self._idle: list[DownstreamConnection] = []  # the one used last at the end
        self._busy: dict[str, DownstreamConnection] = {}  # by the call in progress
        self._waiting: deque[PendingCall] = deque()
        self._connection_count = 0  # of those that have a thread

    def close(self) -> None:
        """End all connections."""
        with self._lock:
            self._waiting.clear()
            for connection in [*self._idle, *self._busy.values()]:
                connection.end()

    def move(self, address: Address) -> None:
        """Make new calls at another address; those in progress end where they were made."""
        with self._lock:
            self._address = address
            self._end_unusable()

    def call(self, call: str, ticket: int, until_us: int, body: bytes) -> None:
        """Make a call."""
        with self._lock:
            self._waiting.append(PendingCall(call, ticket, until_us, body))
            self._start_waiting()

    def cancel(self, call: str, ticket: int) -> None:
        """Cancel a call. Its connection ends with it: a reply may still come."""
        with self._lock:
            connection = self._busy.get(call)
            if connection is None or connection.current is None or connection.current.ticket != ticket:
                self._waiting = deque(pending for pending in self._waiting if pending.ticket != ticket)
                return
            del self._busy[call]
            connection.current = None
            if connection.send_buffer is not None:
                connection.send_buffer.send(lines.encode_cancel(call))
            connection.end()

    # With the lock held

    def _start_waiting(self) -> None:
        """Start the calls that wait, as far as there are connections."""
        while self._waiting:
            pending = self._waiting[0]
            if pending.until_us - self._clock.now() < MIN_TIME_LEFT_US:
                self._waiting.popleft()
                self._finish_unsent(pending, Outcome.REJECTED)
                continue
            connection = self._take_idle(pending)
            if connection is None:
                if self._connection_count >= self._max_connections:
                    return
                connection = self._open_connection()
            self._waiting.popleft()
            if connection is None:
                self._finish_unsent(pending, Outcome.UNREACHABLE)
                continue
            connection.current = pending
            connection.calls.add(pending.call)
            self._busy[pending.call] = connection
            if connection.send_buffer is not None:
                self._send(connection, connection.send_buffer, pending)

    def _finish_unsent(self, pending: PendingCall, outcome: Outcome) -> None:
        self._post(CallFinished(pending.call, pending.ticket, outcome))

    def _take_idle(self, pending: PendingCall) -> DownstreamConnection | None:
        """Return the idle connection that was used last, of those that may carry a call."""
        for connection in reversed(self._idle):
            if connection.can_carry(pending, self._address):
                self._idle.remove(connection)
                return connection
        self._end_unusable()
        return None

    def _open_connection(self) -> DownstreamConnection | None:
        """Return a connection that is being opened; its thread takes its call once the lock is free."""
        connection = DownstreamConnection(self._address)
        try:
            start_thread("downstream", partial(self._run, connection))
        except RuntimeError as error:
            self._counters.warn("vault.no_thread", "downstream: no thread for a connection: {}", error)
            return None
        self._connection_count += 1
        return connection

    def _send(self, connection: DownstreamConnection, send_buffer: SendBuffer, pending: PendingCall) -> None:
        remaining_ms = max((pending.until_us - self._clock.now()) // 1000, 1)
        if not send_buffer.send(lines.encode_call(pending.call, remaining_ms, pending.body)):
            # nothing was sent, so it never ran: it goes out on the next connection
            connection.end()
            connection.current = None
            del self._busy[pending.call]
            self._waiting.appendleft(pending)

    def _end_unusable(self) -> None:
        """End idle connections that no call may use."""
        oldest_s = time.monotonic() - MAX_IDLE_S
        usable = []
        for connection in self._idle:
            if connection.ended or connection.address != self._address or connection.last_used_s < oldest_s:
                connection.end()
            else:
                usable.append(connection)
        self._idle = usable

    # The thread of a connection

    def _run(self, connection: DownstreamConnection) -> None:
        sock = self._connect(connection)
        if sock is not None and connection.send_buffer is not None:
            self._read(connection, sock)
            connection.send_buffer.release()
        with self._lock:
            connection.ended = True
            if connection in self._idle:
                self._idle.remove(connection)
            interrupted, connection.current = connection.current, None
            if interrupted is not None:
                del self._busy[interrupted.call]
            self._connection_count -= 1
            self._start_waiting()
        if interrupted is not None:  # it may have run, so it is not made again
            self._counters.warn(
                "vault.broken", "downstream: a connection broke during call {}", interrupted.call
            )
            self._post(CallFinished(interrupted.call, interrupted.ticket, Outcome.CONNECTION_LOST))

    def _connect(self, connection: DownstreamConnection) -> socket.socket | None:
        """Open a connection and send its call."""
        sock = None
        try:
            sock = connect(connection.address, CONNECT_TIMEOUT_S)
        except OSError as error:
            self._counters.warn("vault.unreachable", "downstream: no connection: {}", error)
        with self._lock:
            if sock is None:
                self._on_unreachable(connection)
                return None
            self._counters.add("vault.connected")
            connection.send_buffer = SendBuffer(sock, MAX_BACKLOG_BYTES)
            if connection.current is None or connection.ended:  # cancelled or closed meanwhile
                connection.end()
            else:
                self._send(connection, connection.send_buffer, connection.current)
        return sock

    def _on_unreachable(self, connection: DownstreamConnection) -> None:
        """Take back the call of a connection that was not made: it never ran. The lock is held."""
        pending, connection.current = connection.current, None
        if pending is None:
            return
        del self._busy[pending.call]
        if connection.address != self._address:
            self._waiting.appendleft(pending)  # the address has changed meanwhile
        else:
            self._finish_unsent(pending, Outcome.UNREACHABLE)

    def _read(self, connection: DownstreamConnection, sock: socket.socket) -> None:
        decoder = lines.DownstreamReplyDecoder()
        try:
            while data := sock.recv(READ_BYTES):
                for reply in decoder.feed(data):
                    self._on_reply(connection, reply)
        except MalformedError as error:
            self._counters.warn(
                "vault.malformed", "downstream: connection closed for a malformed reply: {}", error
            )
        except OSError as error:
            logger.debug("downstream: {}", error)

    def _on_reply(self, connection: DownstreamConnection, reply: lines.DownstreamReply) -> None:
        outcome = OUTCOMES.get(reply.status)
        if outcome is None:
            raise MalformedError(f"an unknown reply {reply.status!r}")
        with self._lock:
            current = connection.current
            if current is None or current.call != reply.run_id:  # a duplicate, or one to no call
                self._counters.add("vault.stray_reply")
                return
            connection.current = None
            del self._busy[current.call]
            connection.last_used_s = time.monotonic()
            if not connection.ended:
                self._idle.append(connection)
            self._start_waiting()
        self._post(CallFinished(reply.run_id, current.ticket, outcome, reply.body))
