"""The AJP13 front end: passes requests that Apache's modules forward to the core, and answers them."""

import hmac
import queue
import select
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from loguru import logger

from reelusher.codecs import ajp13
from reelusher.codecs.errors import MalformedError
from reelusher.config.operator.ajp import Ajp
from reelusher.config.operator.tenants import Tenant
from reelusher.core.event_loop import Core
from reelusher.core.messages import Answer, CallersDisconnected, IncomingRequest, RequestArrived, Verdict
from reelusher.drain.connection_shutdown import unread_bytes
from reelusher.drain.graceful_shutdown import POLL_INTERVAL_S
from reelusher.drain.schedule import ConnectionState, DrainObservation, DrainSchedule
from reelusher.frontends.ajp.connection import ConnectionTable, PacketStream, shut_and_discard
from reelusher.frontends.ajp.disconnect_watcher import DisconnectWatcher
from reelusher.frontends.ajp.request_mapping import (
    RequestError,
    RequestMapper,
    Response,
    error_response,
    response_of,
)
from reelusher.frontends.ajp.request_memory import RequestMemory, RequestMemoryError
from reelusher.net.listener import Listener
from reelusher.net.sockets import Address
from reelusher.net.threads import start_thread
from reelusher.tenancy.registry import Match, TenantRegistry
from reelusher.tenancy.tenant_source import TenantUnavailableError

SEND_TIMEOUT_S = 10.0  # a connection is closed if its web server takes no part of an answer for this long
READ_TIMEOUT_S = 10.0  # time limit of each read, of a packet that has begun or of a requested part of a body
DRAIN_POLL_S = 0.2  # poll interval of idle connections; a drain polls each once more before it closes it
MAX_REJECTED_CONNECTIONS = 8  # rejected connections that are read at a time; others are closed unread
DESCRIPTORS = MAX_REJECTED_CONNECTIONS + 3  # plus listener, watcher, and a connection that is closed unread
MAX_REQUEST_BYTES = 32 << 20  # memory of the requests on all connections
MAX_ANSWER_S = 3600.0  # no answer takes this long, since the core answers by the due time


class OpenRequest(NamedTuple):
    """A request that was passed to the core, and the queue for its answer."""

    request: IncomingRequest
    answers: "queue.SimpleQueue[Answer | None]"  # None: the web server has closed the connection


class AjpFrontend:
    """Serves web servers. Each connection has its own thread and carries one request at a time."""

    def __init__(
        self,
        core: Core,
        config: Ajp,
        tenants: TenantRegistry,
        max_request_bytes: int = MAX_REQUEST_BYTES,
    ) -> None:
        """Bind the address and listen. Raises OSError if that fails.

        `max_request_bytes` limits the memory of the requests on all connections together.
        """
        self._core = core
        self._config = config
        self._tenants = tenants
        self._mapper = RequestMapper(core, config)
        self._connections = ConnectionTable(config.max_connections)
        self._memory = RequestMemory(max_request_bytes)
        self._in_flight: Counter[str] = Counter()  # requests in flight, by tenant
        self._lock = threading.Lock()  # guards _in_flight
        self._rejected_connections = threading.BoundedSemaphore(MAX_REJECTED_CONNECTIONS)
        self._draining = self._closed = False
        self._schedule: DrainSchedule | None = None  # None before a drain
        self._observation: DrainObservation | None = None
        self._disconnects = DisconnectWatcher()
        self._listener = Listener("ajp", config.listen, core.counters, self._serve)
        self.address = self._listener.address

    def start(self) -> None:
        """Start to accept connections."""
        self._disconnects.start()
        self._listener.start()

    def drain(self, schedule: DrainSchedule) -> None:
        """Drain by this schedule; another call may replace it by an earlier one."""
        first, self._schedule = self._schedule is None, schedule
        if first:
            start_thread("ajp-drain", self._drain)

    def drain_observation(self) -> DrainObservation | None:
        """Return the latest observation of all connections."""
        return self._observation

    def close(self) -> None:
        """Close the listener and all connections at once."""
        self._closed = self._draining = True
        self._listener.stop()
        self._connections.shut_all()
        self._disconnects.close()

    def open_connections(self) -> int:
        """Return how many connections web servers hold."""
        return len(self._connections)

    def _drain(self) -> None:
        """From `notify_s` on, stop listening and record the state of all connections, until `close`.

        The thread of each connection ends it after its request.
        """
        while not self._closed:
            now, schedule = time.monotonic(), self._schedule
            if schedule is not None and now >= schedule.notify_s:
                if not self._draining:
                    self._draining = True
                    self._listener.stop()
                self._observation = DrainObservation(self.remaining_work().is_idle(), now)
            time.sleep(POLL_INTERVAL_S)

    def remaining_work(self) -> ConnectionState:
        """Return the work that is left on all open connections together."""
        slots = self._connections.snapshot()
        busy = sum(slot.busy for slot in slots.values())
        unread = sum(unread_bytes(sock) for sock, slot in slots.items() if not slot.busy)
        return ConnectionState(busy, 0, unread)

    # Connections

    def _serve(self, sock: socket.socket, peer: Address) -> None:
        added, eviction = self._connections.try_add(sock, peer[0])
        if eviction:
            self._core.counters.warn(
                "ajp.closed_for_room",
                "ajp: {} connections are open, {} of them from {}: some of those are closed for other hosts",
                eviction.open_connections,
                eviction.host_connections,
                eviction.host,
            )
        if not added:
            self._reject_connection(sock)
            return
        try:
            self._serve_requests(sock)
        except MalformedError as error:
            self._core.counters.warn(
                "ajp.malformed", "ajp: {}:{} closed for a malformed packet: {}", *peer, error
            )
        except OSError as error:
            logger.debug("ajp: {}", error)
        finally:
            self._connections.remove(sock)
            sock.close()

    def _reject_connection(self, sock: socket.socket) -> None:
        """Close a connection beyond the limit; first discard its data, unless many are rejected at a time."""
        self._core.counters.add("ajp.too_many_connections")
        with sock:
            if self._rejected_connections.acquire(blocking=False):
                try:
                    shut_and_discard(sock)
                finally:
                    self._rejected_connections.release()

    def _serve_requests(self, sock: socket.socket) -> None:
        hold = self._memory.hold(sock)
        stream = PacketStream(sock, self._config.packet_size, hold)
        while self._wait_for_request(sock):
            sock.settimeout(READ_TIMEOUT_S)
            try:
                if not self._serve_request(stream):
                    return
            except RequestMemoryError:
                self._core.counters.add("ajp.request_memory")
                error = RequestError(503, "the requests on all connections take too much memory", closes=True)
                self._send_error(stream, error)
                return
            finally:
                hold.release()
        shut_and_discard(sock)  # a request may still be on its way

    def _serve_request(self, stream: PacketStream) -> bool:
        """Read a packet and handle it; return False if the connection has ended or is to be closed."""
        payload = stream.next()
        if payload is None:
            return False
        slot = self._connections[stream.sock]
        slot.busy, slot.since_s = True, time.monotonic()
        try:
            return self._on_packet(stream, payload)
        finally:
            slot.busy = slot.protected = False
            slot.since_s = time.monotonic()

    def _wait_for_request(self, sock: socket.socket) -> bool:
        """Wait for a request; return False if the connection is idle for too long or the node is draining."""
        started_s, poll = time.monotonic(), select.poll()
        poll.register(sock, select.POLLIN)
        while True:
            draining, idle_s = self._draining, time.monotonic() - started_s
            if poll.poll(DRAIN_POLL_S * 1000):
                return True
            if draining or idle_s * 1000 > self._config.idle_ms:
                self._core.counters.add("ajp.closed_idle")
                return False

    def _on_packet(self, stream: PacketStream, payload: bytes) -> bool:
        """Handle a packet that starts an exchange; return False if the connection is to be closed."""
        packet_type = payload[0] if payload else 0
        if packet_type == ajp13.CPING:
            stream.sock.sendall(ajp13.write_reply(ajp13.Pong()))
            return True
        if packet_type == ajp13.PING:
            return True  # a PING is of the old protocol and gets no reply
        if packet_type == ajp13.SHUTDOWN:
            self._core.counters.warn("ajp.shutdown_refused", "ajp: a shutdown packet was rejected")
            return False
        try:
            forward = ajp13.read_forward(payload, self._config.allowed_attributes)
            stream.hold.acquire(forward.memory_bytes())
            answer = self._answer(stream, forward)
        except ajp13.ForbiddenAttributeError as error:
            return self._send_error(stream, RequestError(403, str(error), closes=True))
        except RequestError as error:
            return self._send_error(stream, error)
        return self._send(stream, response_of(forward.method, answer), keep_open=True)

    # Requests

    def _answer(self, stream: PacketStream, forward: ajp13.ForwardedRequest) -> Answer:
        """Return the core's answer to a request, or a rejection by the front end itself.

        Raises `RequestError` if the request gets an error response instead, and `MalformedError` or OSError
        if its body can't be read.
        """
        self._check_secret(forward)
        if self._schedule is not None and time.monotonic() >= self._schedule.reject_s:
            self._core.counters.add("drain.refused_at_the_door")
            return Answer(Verdict.REJECTED)  # its body is left unread, and the connection is closed
        received_us = self._core.clock.now()
        body = self._mapper.read_body(stream, forward)
        stream.hold.end_reading()
        try:
            with self._matched(forward) as match:
                tenant = match.tenant
                if not match.admitted:
                    self._core.counters.add_for(tenant.name, "turned_away")
                    return Answer(Verdict.REJECTED)
                open_request = self._submit(stream, forward, match, body, received_us)
        except TenantUnavailableError:
            return Answer(Verdict.REJECTED)  # already counted where it was raised
        if open_request is None:
            answer = Answer(Verdict.REJECTED)
        else:
            answer = self._await_answer(stream.sock, open_request, tenant)
        self._core.counters.add_for(tenant.name, answer.verdict.value)
        return answer

    def _check_secret(self, forward: ajp13.ForwardedRequest) -> None:
        secret = forward.attributes.get("secret", "")
        if self._config.secret and not hmac.compare_digest(secret.encode(), self._config.secret.encode()):
            raise RequestError(403, "the secret is missing or wrong", closes=True)

    @contextmanager
    def _matched(self, forward: ajp13.ForwardedRequest) -> Iterator[Match]:
        """Resolve the tenant and class of a request; the tenant stays in memory within this context.

        Raises `RequestError` if no route matches, and `TenantUnavailableError`.
        """
        path = forward.uri.partition(";")[0]
        with self._tenants.pinned_match(forward.method, forward.server_name, path) as match:
            if match is None or not match.class_name:
                raise RequestError(404, f"no tenant's route has {forward.method} {path}")
            yield match

    def _submit(
        self,
        stream: PacketStream,
        forward: ajp13.ForwardedRequest,
        match: Match,
        body: bytes,
        received_us: int,
    ) -> OpenRequest | None:
        """Post a request to the core.

        Returns None if the tenant has too many requests in flight. Raises `RequestError` if the tenant has
        too many connections, the request lacks its idempotency key, or its class is not in use any more.
        """
        tenant, class_index = match.tenant, self._mapper.class_index(match)
        key = self._mapper.idempotency_key(forward, match, class_index)
        max_connections = tenant.share.connections
        if not self._connections.begin_request(stream.sock, tenant.name, max_connections):
            raise RequestError(503, f"{tenant.name} has {max_connections} connections", closes=True)
        if not self._try_begin_request(tenant):
            return None
        answers: queue.SimpleQueue[Answer | None] = queue.SimpleQueue()
        try:
            request = self._mapper.request(forward, match, class_index, key, body, received_us, answers.put)
            self._core.post(RequestArrived(request))
        except BaseException:
            self._end_request(tenant)
            raise
        return OpenRequest(request, answers)

    def _await_answer(self, sock: socket.socket, open_request: OpenRequest, tenant: Tenant) -> Answer:
        """Wait for the answer. Raises ConnectionError if the web server closes the connection meanwhile."""

        def on_closed() -> None:
            self._core.post(CallersDisconnected((open_request.request,)))
            open_request.answers.put(None)

        self._disconnects.watch(sock, on_closed)
        try:
            answer = open_request.answers.get(timeout=MAX_ANSWER_S)
        finally:
            self._disconnects.unwatch(sock)
            self._end_request(tenant)
        if answer is None:
            self._core.counters.add("ajp.closed_unanswered")
            raise ConnectionError("the web server closed the connection before the answer")
        return answer

    def _try_begin_request(self, tenant: Tenant) -> bool:
        """Count a request of a tenant as in flight; return False if the tenant is at its limit."""
        with self._lock:
            if tenant.max_open and self._in_flight[tenant.name] >= tenant.max_open:
                return False
            self._in_flight[tenant.name] += 1
            return True

    def _end_request(self, tenant: Tenant) -> None:
        with self._lock:
            self._in_flight[tenant.name] -= 1
            if not self._in_flight[tenant.name]:
                del self._in_flight[tenant.name]

    # Responses

    def _send_error(self, stream: PacketStream, error: RequestError) -> bool:
        self._core.counters.warn(
            f"ajp.rejected_{error.status}", "ajp: request answered {}: {}", error.status, error
        )
        return self._send(stream, error_response(error), not error.closes)

    def _send(self, stream: PacketStream, response: Response, keep_open: bool) -> bool:
        """Send a response; return whether the connection stays open."""
        reuse = keep_open and not self._draining
        stream.sock.settimeout(SEND_TIMEOUT_S)
        stream.sock.sendall(
            ajp13.write_response(response.head, response.body, reuse, self._config.packet_size)
        )
        if not reuse:
            shut_and_discard(stream.sock)
        return reuse
