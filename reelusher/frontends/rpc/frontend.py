"""The platform's RPC front end: accepts callers, reads their requests and ends their connections."""

import heapq
import math
import socket
import threading
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from reelusher.codecs.errors import MalformedError
from reelusher.core.event_loop import Core
from reelusher.core.messages import CallersDisconnected, RequestArrived, Verdict
from reelusher.drain.connection_shutdown import ConnectionShutdown, total_state, unread_bytes
from reelusher.drain.schedule import ConnectionState, DrainObservation, DrainSchedule
from reelusher.frontends.rpc.connection import Connection
from reelusher.frontends.rpc.eviction import eviction_order, idle_limit_s, is_evictable
from reelusher.frontends.rpc.fields import HEALTH_METHOD, BadRequestError
from reelusher.frontends.rpc.half_closed import LINGER_S, HalfClosedConnections
from reelusher.frontends.rpc.idle_limits import IdleLimits, idle_limits
from reelusher.frontends.rpc.partial_messages import PartialMessages
from reelusher.frontends.rpc.requests import (
    RequestParser,
    bad_request_reply,
    early_rejection,
    failed_reply,
    health_reply,
    reply_of,
)
from reelusher.net.listener import ConnectionResourcesError, Listener
from reelusher.net.poller import Poller
from reelusher.net.send_buffer import ByteBudget
from reelusher.net.sockets import Address, is_reset

MAX_BAD_REQUESTS = 8  # bad requests on one connection before it is closed
MAX_MESSAGE_ID = (1 << 32) - 1
SWEEP_S = 0.1  # interval between checks of all connections
SILENT_CLOSE_S = 0.5  # and is closed this long after the notice
# longest time from the first byte of a message to its last; also, a backlog that has stalled for longer does
# not protect its connection from eviction
MAX_FRAME_S = 2.0
EVICTION_DIVISOR = 16  # an eviction closes one in this many of the possible connections
MAX_SPARE = 16  # connections beyond the limit, whose requests are rejected
DESCRIPTORS_PER_SPARE = 32  # with few descriptors, there is one spare connection for this many
MAX_HALF_CLOSED = 32  # half-closed connections that are still read
DESCRIPTORS_PER_HALF_CLOSED = 16  # with few descriptors, there is one such connection for this many
DESCRIPTORS = 3  # the front end's own: one of the listener and two of the poller
READ_BYTES = 1 << 12  # read from one connection before others have their turn
MAX_READS = 32  # reads of one connection in a row, so that a flood does not delay all others
MAX_LAST_READ_S = 0.02  # for reads of one connection in a row before it is closed
MAX_PARTIAL_BYTES = 8 << 20  # memory of the incomplete messages of all connections
MAX_ACCEPTED = 32  # connections accepted in a row, before the open ones have their turn


class RpcFrontend:
    """Serves callers within a budget of descriptors and of bytes that wait to be sent.

    The poller's thread accepts, reads and closes all connections. It hands requests to the event loop and
    never blocks.
    """

    def __init__(
        self,
        core: Core,
        address: Address,
        tenant: str,
        max_descriptors: int,
        max_backlog_bytes: int,
        on_lag: Callable[[float], None] = lambda lag_s: None,
        shared: bool = False,
        max_partial_bytes: int = MAX_PARTIAL_BYTES,
    ) -> None:
        """Bind the address and listen. Raises OSError if that fails.

        `max_descriptors` limits all connections, beside the front end's own `DESCRIPTORS`;
        `max_backlog_bytes` limits the answers that wait to be sent on all of them together, and
        `max_partial_bytes` the memory of messages that are not complete on all of them together. All
        requests belong to `tenant`. `on_lag` is called on the poller's thread with the delay of each of its
        timers, in seconds. With `shared`, another process of the same user may listen on the address too.
        """
        self.max_spare = min(MAX_SPARE, max(1, max_descriptors // DESCRIPTORS_PER_SPARE))
        self.max_half_closed = min(MAX_HALF_CLOSED, max(1, max_descriptors // DESCRIPTORS_PER_HALF_CLOSED))
        self.max_connections = max(1, max_descriptors - self.max_spare - self.max_half_closed)
        self._budget = ByteBudget(max_backlog_bytes)
        self._partial_messages = PartialMessages(max_partial_bytes)
        self._core = core
        self._parser = RequestParser(core, tenant)
        self._connections: dict[socket.socket, Connection] = {}
        self._lock = threading.Lock()  # guards _connections
        self._accept_paused = False
        self._rejects_all = False
        self._poller = Poller("platform-poller", core.counters, on_lag)
        self._half_closed = HalfClosedConnections(
            self._poller, core.counters, self.max_half_closed, self._release
        )
        self._listener = Listener("platform", address, core.counters, shared=shared)
        self._poller.watch(self._listener.sock, self._accept)
        self._poller.every(SWEEP_S, self._sweep)
        self._shutdown = ConnectionShutdown(self._poller, self)
        self.address = self._listener.address

    def start(self) -> None:
        """Start to accept connections."""
        self._poller.start()

    def drain(self, schedule: DrainSchedule) -> None:
        """Drain by this schedule; another call may replace it by an earlier one."""
        self._shutdown.follow(schedule)

    def drain_observation(self) -> DrainObservation | None:
        """Return the latest observation of all connections; None before the first one of a drain."""
        return self._shutdown.observation

    def remaining_work(self) -> ConnectionState:
        """Return the work that is left on all open connections together."""
        return total_state(connection.state for connection in self.connections())

    def close(self) -> None:
        """Close the listener and all connections, without waiting for open requests.

        Once the poller is started, its thread does this, and this method returns before it is done.
        """
        if self._poller.started:
            self._poller.call(self._close)
        else:
            self._close()

    def _close(self) -> None:
        for connection in self.connections():
            connection.send_buffer.close()
            self._release(connection)
        self._half_closed.release_all()
        self.stop_listening()
        self._poller.close()

    def open_connections(self) -> int:
        """Return how many connections callers hold, without the half-closed ones."""
        return len(self._connections)

    # Steps of a drain; they run on the poller's thread

    def stop_listening(self) -> None:
        """Accept the connections that wait now, and no others."""
        if self._listener.sock.fileno() >= 0:
            while self._accept(draining=True):
                pass
            self._poller.unwatch(self._listener.sock)
            self._listener.stop()

    def connections(self) -> list[Connection]:
        """Return the open connections."""
        with self._lock:
            return list(self._connections.values())

    def reject_requests(self) -> None:
        """Reject all requests that are read from now on."""
        self._rejects_all = True

    def read_pending(self, connection: Connection) -> None:
        """Read what a connection has received, up to a limit."""
        self._read_until(connection, math.inf)

    def _read_briefly(self, connection: Connection) -> None:
        """Read what a connection has received, up to the same limit, but for `MAX_LAST_READ_S` at most."""
        self._read_until(connection, time.monotonic() + MAX_LAST_READ_S)

    def _read_until(self, connection: Connection, end_s: float) -> None:
        for _ in range(MAX_READS):
            if not self._read(connection) or time.monotonic() > end_s:
                return

    def fail_open_requests(self, connection: Connection) -> None:
        """Answer all open requests of a connection with an error, whatever the outcome of their runs.

        The core is told that it can't deliver answers to them any more.
        """
        with connection.lock:
            open_requests = dict(connection.open_requests)
        reply = failed_reply(self._core.notices.advertised_capacity)
        for message_id in open_requests:
            connection.answer(message_id, reply)
        if open_requests:
            self._core.counters.add("platform.failed_at_the_end", len(open_requests))
            self._core.post(CallersDisconnected(tuple(open_requests.values())))

    # Accepting

    def _accept(self, draining: bool = False) -> bool:
        """Accept waiting connections; return False if there are no more or if accepting was paused.

        With `draining`, they are accepted however many connections are open.
        """
        for _ in range(MAX_ACCEPTED):
            try:
                accepted = self._listener.accept()
            except BlockingIOError:
                return False
            except ConnectionResourcesError:
                self._pause_accepting()
                return False
            if accepted is None:
                continue
            self._add(Connection(accepted[0], self._budget, accepted[1]))
            if len(self._connections) >= self.max_connections + self.max_spare and not draining:
                self._pause_accepting()
                return False
        return True

    def _add(self, connection: Connection) -> None:
        if len(self._connections) >= self.max_connections and not self._evict_idle():
            # the caller may have sent a request, which a close would lose: reject it, then end the connection
            self._core.counters.add("platform.turned_away")
            connection.rejecting_since_s = time.monotonic()
        with self._lock:
            self._connections[connection.sock] = connection
        self._poller.watch(connection.sock, partial(self._read, connection))

    def _pause_accepting(self) -> None:
        """Accept nothing until the next sweep; new connections wait in the listen backlog."""
        self._poller.unwatch(self._listener.sock)
        self._accept_paused = True

    def _resume_accepting(self) -> None:
        self._accept_paused = False
        if self._listener.sock.fileno() >= 0:
            self._poller.watch(self._listener.sock, self._accept)

    def _evict_idle(self) -> bool:
        """Close idle connections, several per search; return whether there is room for a new one."""
        now = time.monotonic()
        candidates = [
            (*eviction_order(connection), number, connection)
            for number, connection in enumerate(self.connections())
            if is_evictable(connection, now, MAX_FRAME_S)
        ]
        evicted = heapq.nsmallest(max(self.max_connections // EVICTION_DIVISOR, 1), candidates)
        for *_, connection in evicted:
            if connection.ended or self._is_still_idle(connection):
                self._core.counters.add("platform.closed_for_room")
                self._evict(connection, now)
        if evicted:
            self._core.counters.warn(
                "platform.full",
                "platform: {} connections are open, idle ones are closed for new ones",
                self.max_connections,
            )
        return len(self._connections) < self.max_connections

    def _evict(self, connection: Connection, now: float) -> None:
        if connection.send_buffer.backlog:
            connection.send_buffer.close()
        if connection.ended:
            self._release(connection)
            return
        connection.send_last_call(now)
        self._close_idle(connection)

    # Reading

    def _read(self, connection: Connection) -> bool:
        """Read up to `READ_BYTES`; return False if nothing is left to read, or nothing more will be read."""
        if connection.ended:
            return False
        try:
            data = connection.sock.recv(READ_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            self._release_broken(connection)
            return False
        if not data:
            self._on_end_of_reading(connection)
            return False
        if connection.send_buffer.closed or is_reset(connection.sock):  # no answer could be sent
            self._core.counters.add("platform.discarded_bytes", len(data))
            return True
        return self._decode(connection, data)

    def _decode(self, connection: Connection, data: bytes) -> bool:
        """Handle the messages in the data that was read; return False if it is malformed."""
        try:
            for message in connection.decoder.feed(data):
                connection.partial_since_s = 0.0
                self._on_message(connection, message)
        except MalformedError as error:
            self._core.counters.warn(
                "platform.malformed",
                "platform: {}:{} closed for a malformed frame: {}",
                *connection.peer,
                error,
            )
            # open requests get an error: the caller may confuse message ids, and so assign an answer to the
            # wrong request
            self.fail_open_requests(connection)
            self._end(connection, peer_closed=False)
            return False
        if not connection.decoder.partial:
            connection.partial_since_s = 0.0
        elif not connection.partial_since_s:
            connection.partial_since_s = time.monotonic()
        for other in self._partial_messages.update(connection):
            self._core.counters.warn(
                "platform.partial_memory",
                "platform: incomplete messages take too much memory, the oldest ones are dropped",
            )
            self._end(other, peer_closed=False)
        return not connection.ended

    def _on_message(self, connection: Connection, message: Any) -> None:
        match message:
            case [0, int(message_id), str(method), list(params)] if (
                not isinstance(message_id, bool) and 0 <= message_id <= MAX_MESSAGE_ID
            ):
                if message_id in connection.open_requests:
                    raise MalformedError(f"a request with the id {message_id} is open already")
            case _:
                raise MalformedError("not a request of MessagePack-RPC")
        connection.record_message()
        if method == HEALTH_METHOD:
            self._on_health_check(connection, message_id)
        elif self._rejects_all or connection.rejecting_since_s:
            self._reject(connection, message_id, method)
        else:
            self._on_request(connection, message_id, method, params)

    def _on_health_check(self, connection: Connection, message_id: int) -> None:
        notices = self._core.notices
        self._core.counters.add("health.asked")
        reply = health_reply(notices.advertised_capacity, notices.reports_healthy)
        connection.send_reply(message_id, reply)

    def _reject(self, connection: Connection, message_id: int, method: str) -> None:
        """Reject a request without passing it to the core."""
        core = self._core
        core.counters.add("drain.refused_at_the_door" if self._rejects_all else "platform.refused")
        if method in self._core.current_classes:
            core.stats.request_read()
            core.stats.request_answered(method, Verdict.REJECTED)
        reply = early_rejection(core.notices.advertised_capacity, core.settings.max_retry_after_us)
        connection.send_reply(message_id, reply)

    def _on_request(self, connection: Connection, message_id: int, method: str, params: list[Any]) -> None:
        try:
            request = self._parser.parse(
                method,
                params,
                len(connection.open_requests),
                lambda answer: connection.answer(message_id, reply_of(answer)),
            )
        except BadRequestError as error:
            self._on_bad_request(connection, message_id, error)
            return
        with connection.lock:
            connection.open_requests[message_id] = request
        self._core.post(RequestArrived(request))

    def _on_bad_request(self, connection: Connection, message_id: int, error: BadRequestError) -> None:
        self._core.counters.warn("requests.bad", "platform: bad request: {}", error)
        reply = bad_request_reply(self._core.notices.advertised_capacity, str(error))
        connection.send_reply(message_id, reply)
        connection.bad_requests += 1
        if connection.bad_requests >= MAX_BAD_REQUESTS:
            connection.rejecting_since_s = time.monotonic()
            self._core.counters.warn(
                "platform.closed_bad",
                "platform: {}:{} is closed after {} bad requests",
                *connection.peer,
                connection.bad_requests,
            )

    # Ending

    def _on_end_of_reading(self, connection: Connection) -> None:
        """End a connection that its caller has closed for writing, or release one that can't be answered.

        A reset shows here as an ordinary end if a send has met the error first.
        """
        if not connection.send_buffer.closed:
            self._core.counters.add("platform.closed_by_caller")
            self._end(connection, peer_closed=True)
            return
        if connection.send_buffer.overflowed:
            self._core.counters.add("platform.closed_backlog")
        self._release(connection)

    def _end(self, connection: Connection, peer_closed: bool) -> None:
        """Read nothing more from a connection; its open requests are still answered.

        `peer_closed` tells that the caller has shut down its writing side.
        """
        self._poller.unwatch(connection.sock)
        self._drop_partial(connection)
        with connection.lock:
            connection.ended, connection.peer_closed = True, peer_closed
        self._finish(connection)

    def _drop_partial(self, connection: Connection) -> None:
        """Free the memory of an incomplete message."""
        self._partial_messages.remove(connection)
        connection.decoder.clear()

    def _finish(self, connection: Connection) -> None:
        """Close or half-close a connection whose answers are all sent; otherwise the next sweep tries again.

        It is closed if its caller has shut down its own writing side. Otherwise this node shuts down the
        writing side, and reads and discards what still arrives.
        """
        if connection.unanswered or (connection.send_buffer.backlog and not connection.send_buffer.closed):
            return
        if connection.peer_closed:
            self._release(connection)
            return
        if not connection.send_buffer.shutdown_write():
            return  # its writer is about to finish; a close now would reset the connection
        with self._lock:
            self._connections.pop(connection.sock, None)
        connection.ended = True
        self._poller.unwatch(connection.sock)
        self._half_closed.add(connection)

    def _release_broken(self, connection: Connection) -> None:
        self._core.counters.add("platform.closed_broken")
        self._release(connection)

    def _release(self, connection: Connection) -> None:
        """Close a connection, and tell the core which requests can't be answered on it any more."""
        with connection.lock:
            requests = tuple(connection.open_requests.values())
            connection.open_requests.clear()
        if requests:
            self._core.counters.add("platform.closed_unanswered")
            self._core.post(CallersDisconnected(requests))
        if unread_bytes(connection.sock):
            self._core.counters.add("platform.closed_unread")  # the kernel resets such a connection
        self._poller.unwatch(connection.sock)
        self._drop_partial(connection)
        with self._lock:
            self._connections.pop(connection.sock, None)
        connection.ended = True
        connection.send_buffer.release()

    def _close_idle(self, connection: Connection) -> None:
        """Read what an idle connection has received, and end it if it is still idle.

        On a busy processor, received requests may still be unread. A request that arrives between this read
        and the shutdown is discarded, and its caller sends it again.
        """
        self._read_briefly(connection)
        if (
            not connection.unanswered
            and not connection.ended
            and not connection.send_buffer.backlog
            and (not unread_bytes(connection.sock) or connection.send_buffer.closed)
        ):
            self._finish(connection)

    # Periodic checks

    def _sweep(self) -> None:
        """Resume accepting if it is paused, and apply the time limits to all connections."""
        if self._accept_paused:
            self._resume_accepting()
        now, connections = time.monotonic(), self.connections()
        limits = idle_limits(
            len(connections),
            self.max_connections,
            self._core.settings.idle_timeout_us,
            self._core.notices.idle_timeout_us,
        )
        for connection in connections:
            self._check(connection, now, limits)
        self._half_closed.release_expired(now)

    def _check(self, connection: Connection, now: float, limits: IdleLimits) -> None:
        """Apply the time limits to one connection.

        An idle one is sent the notice `lastCall` before it is closed; none is idle while requests are open.
        """
        if connection.send_buffer.stalled_for(now) * 1e6 > self._core.current_classes.longest_deadline_us:
            self._core.counters.add("platform.closed_stalled")  # no caller waits any longer for its backlog
            connection.send_buffer.close()
        if not connection.ended:
            self._check_idle(connection, now, limits)
        elif connection.send_buffer.closed:
            self._release(connection)
        else:
            self._finish(connection)

    def _check_idle(self, connection: Connection, now: float, limits: IdleLimits) -> None:
        idle_s, partial_since_s = connection.idle_s(now), connection.partial_since_s
        if connection.rejecting_since_s:
            self._end_rejecting(connection, now)
        elif partial_since_s and now - partial_since_s > MAX_FRAME_S:
            self._end_partial(connection, partial_since_s)
        elif connection.last_call_s:
            close_s = limits.close_s if connection.messages_read else SILENT_CLOSE_S
            if idle_s and now - connection.last_call_s > close_s:
                self._close_idle(connection)
        elif idle_s > idle_limit_s(connection, limits) and self._is_still_idle(connection):
            self._announce_close(connection, now)

    def _announce_close(self, connection: Connection, now: float) -> None:
        if connection.messages_read:
            self._core.counters.add("platform.closed_idle")
        else:
            self._core.counters.add("platform.closed_silent")
        connection.send_last_call(now)

    def _is_still_idle(self, connection: Connection) -> bool:
        """Read what a connection has received, and return whether that is nothing.

        On a busy processor, received requests may be unread although its idle time is over.
        """
        before = connection.messages_read, connection.partial_since_s
        self._read_briefly(connection)
        return not connection.ended and before == (connection.messages_read, connection.partial_since_s)

    def _end_rejecting(self, connection: Connection, now: float) -> None:
        """End a connection `LINGER_S` after it began to reject all requests."""
        if now - connection.rejecting_since_s > LINGER_S:
            self._read_briefly(connection)  # on a busy processor, received requests may be unread
            if not connection.ended:
                self._end(connection, peer_closed=False)

    def _end_partial(self, connection: Connection, partial_since_s: float) -> None:
        """End a connection whose message has not become complete in time, not even by a last read."""
        self._read_briefly(connection)
        if not connection.ended and connection.partial_since_s == partial_since_s:
            self._core.counters.add("platform.closed_partial")
            self._end(connection, peer_closed=False)
