"""Client of the downstream service. Each connection carries one call at a time."""

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

# The service drops connections that are idle for longer than this and resets the next call on them. A reset
# does not prove that the call never ran, so it could not be made again.
MAX_IDLE_S = 0.05
CONNECT_TIMEOUT_S = 1.0
MAX_BACKLOG_BYTES = 1 << 20
READ_BYTES = 1 << 14
MAX_CONNECTIONS = 24  # open at the same time; each needs a file descriptor
MAX_CALLS_PER_CONNECTION = 500  # since a connection remembers the run ids of all its calls
MIN_TIME_LEFT_US = 1000  # a call with less time left is not sent
OUTCOMES = {  # by status of a reply
    "yes": Outcome.OK,
    "notnow": Outcome.REJECTED,
    "failed": Outcome.ERROR,
    "overdue": Outcome.TIMEOUT,
    "pointless": Outcome.REJECTED,
}


@dataclass(slots=True, frozen=True)
class PendingCall:
    """A call that waits for a connection or is in progress."""

    run_id: str
    ticket: int  # unique number of the call, assigned by the core
    until_us: int  # deadline of the call, by the clock of the node
    body: bytes


class DownstreamConnection:
    """A connection to the service, which carries one call at a time.

    If the service garbles a reply or never sends it, the connection can't be used for other calls. No
    other call shares it, so none is lost with it.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.send_buffer: SendBuffer | None = None  # None until it is connected
        self.current: PendingCall | None = None  # the call in progress
        self.run_ids: set[str] = set()  # runs that called here: a duplicate reply would match a later call
        self.last_used_s = time.monotonic()  # when it was created or last received a reply
        self.ended = False  # whether no further call may use it

    def can_carry(self, pending: PendingCall, address: Address) -> bool:
        """Return whether this idle connection can be used for a call at this address."""
        return (
            not self.ended
            and self.address == address
            and pending.run_id not in self.run_ids
            and len(self.run_ids) < MAX_CALLS_PER_CONNECTION
            and time.monotonic() - self.last_used_s < MAX_IDLE_S
        )

    def end(self) -> None:
        """Prevent further calls and shut the connection down; its thread then closes the socket."""
        self.ended = True
        if self.send_buffer is not None:
            self.send_buffer.close()


class DownstreamClient:
    """Makes calls over a bounded number of connections; further calls wait for a free one.

    The event loop calls `call` and `cancel`, which don't block; each connection has a thread that opens and
    reads it. Each call ends with a `CallFinished`, unless it is cancelled, or still waits when the client is
    closed.
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
        self._idle: list[DownstreamConnection] = []  # the most recently used one is last
        self._busy: dict[str, DownstreamConnection] = {}  # by run id of the call in progress
        self._waiting: deque[PendingCall] = deque()
        self._connection_count = 0  # connections whose thread has not ended

    def close(self) -> None:
        """Drop the waiting calls and end all connections; calls in progress fail."""
        with self._lock:
            self._waiting.clear()
            for connection in [*self._idle, *self._busy.values()]:
                connection.end()

    def move(self, address: Address) -> None:
        """Make new calls at another address; calls in progress end at the old one."""
        with self._lock:
            self._address = address
            self._end_unusable()

    def call(self, run_id: str, ticket: int, until_us: int, body: bytes) -> None:
        """Make a call for a run, or queue it until a connection is free."""
        with self._lock:
            self._waiting.append(PendingCall(run_id, ticket, until_us, body))
            self._start_waiting()

    def cancel(self, run_id: str, ticket: int) -> None:
        """Cancel a call. If it was started, its connection is closed: a late reply may still arrive there."""
        with self._lock:
            connection = self._busy.get(run_id)
            if connection is None or connection.current is None or connection.current.ticket != ticket:
                self._waiting = deque(pending for pending in self._waiting if pending.ticket != ticket)
                return
            del self._busy[run_id]
            connection.current = None
            if connection.send_buffer is not None:
                connection.send_buffer.send(lines.encode_cancel(run_id))
            connection.end()

    # Called with the lock held

    def _start_waiting(self) -> None:
        """Start waiting calls as long as there is a connection for the next one.

        Calls end unsent if less than `MIN_TIME_LEFT_US` is left, or if no thread can be started for them.
        """
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
            connection.run_ids.add(pending.run_id)
            self._busy[pending.run_id] = connection
            if connection.send_buffer is not None:
                self._send(connection, connection.send_buffer, pending)

    def _finish_unsent(self, pending: PendingCall, outcome: Outcome) -> None:
        self._post(CallFinished(pending.run_id, pending.ticket, outcome))

    def _take_idle(self, pending: PendingCall) -> DownstreamConnection | None:
        """Take the most recently used idle connection that can carry a call, or None if there is none."""
        for connection in reversed(self._idle):
            if connection.can_carry(pending, self._address):
                self._idle.remove(connection)
                return connection
        self._end_unusable()
        return None

    def _open_connection(self) -> DownstreamConnection | None:
        """Return a connection that its thread is opening, or None if no thread can be started.

        The thread sends the call of the connection once it is open.
        """
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
        if not send_buffer.send(lines.encode_call(pending.run_id, remaining_ms, pending.body)):
            # nothing was sent, so the call can't have run: it is made on another connection
            connection.end()
            connection.current = None
            del self._busy[pending.run_id]
            self._waiting.appendleft(pending)

    def _end_unusable(self) -> None:
        """End idle connections that are closed, too old, or at an old address."""
        oldest_s = time.monotonic() - MAX_IDLE_S
        usable = []
        for connection in self._idle:
            if connection.ended or connection.address != self._address or connection.last_used_s < oldest_s:
                connection.end()
            else:
                usable.append(connection)
        self._idle = usable

    # Called on the thread of a connection

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
                del self._busy[interrupted.run_id]
            self._connection_count -= 1
            self._start_waiting()
        if interrupted is not None:  # the call may have run, so it is not made again
            self._counters.warn(
                "vault.broken", "downstream: a connection broke during call {}", interrupted.run_id
            )
            self._post(CallFinished(interrupted.run_id, interrupted.ticket, Outcome.CONNECTION_LOST))

    def _connect(self, connection: DownstreamConnection) -> socket.socket | None:
        """Open the connection and send its call; return None if that fails."""
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
            if connection.current is None or connection.ended:  # cancelled or closed in the meantime
                connection.end()
            else:
                self._send(connection, connection.send_buffer, connection.current)
        return sock

    def _on_unreachable(self, connection: DownstreamConnection) -> None:
        """End the call of a connection that could not be opened, or queue it again for a new address.

        The call never ran. The lock is held.
        """
        pending, connection.current = connection.current, None
        if pending is None:
            return
        del self._busy[pending.run_id]
        if connection.address != self._address:
            self._waiting.appendleft(pending)  # the address has changed in the meantime
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
            if current is None or current.run_id != reply.run_id:  # a duplicate or an unknown reply
                self._counters.add("vault.stray_reply")
                return
            connection.current = None
            del self._busy[current.run_id]
            connection.last_used_s = time.monotonic()
            if not connection.ended:
                self._idle.append(connection)
            self._start_waiting()
        self._post(CallFinished(reply.run_id, current.ticket, outcome, reply.body))
