"""The AJP13 front: what Apache's modules forward, translated to the core's requests and answers."""

import contextlib
import hmac
import itertools
import queue
import select
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from loguru import logger

from reelusher.codecs import ajp13
from reelusher.codecs.errors import MalformedError
from reelusher.config.operator import Ajp, Tenant
from reelusher.core.event_loop import Core
from reelusher.core.messages import Answer, IncomingRequest, RequestArrived, Verdict
from reelusher.drain.connection_shutdown import unread_bytes
from reelusher.drain.graceful_shutdown import POLL_INTERVAL_S
from reelusher.drain.schedule import ConnectionState, DrainObservation, DrainSchedule
from reelusher.frontends.rpc.frontend import subject_of
from reelusher.net.listener import Listener
from reelusher.net.sockets import Address
from reelusher.net.threads import start_thread
from reelusher.policy.settings import Idempotency
from reelusher.tenancy.registry import Match, TenantRegistry
from reelusher.tenancy.tenant_source import TenantUnavailableError

SEND_S = 10.0  # a web server that takes no part of an answer for this long loses the connection
BODY_S = 10.0  # a piece of a body that is asked for has come within this
BODY_MOST_S = 30.0  # and all of it within this
LEAVE_S = 0.2  # requests that cross the drain's end are still read for this long
PARTING_S, PARTING_BYTES = 0.2, 1 << 18  # what is still read, unheeded, after a connection's last answer
MOST_TURNED = 8  # connections past the most that are read out so at once; further ones are closed as they are
DESCRIPTORS = MOST_TURNED + 2  # the listener, and one that is closed at once
LONGEST_WAIT_S = 3600.0  # no answer takes as long: the core answers by the due time
REASONS = {
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class RejectedRequestError(Exception):
    """A request that is answered here and never reaches the core."""

    def __init__(self, status: int, why: str, closes: bool = False) -> None:
        super().__init__(why)
        self.status, self.closes = status, closes


class Stream:
    """The packets of one connection, one at a time."""

    def __init__(self, sock: socket.socket, most: int) -> None:
        self.sock = sock
        self._packets = ajp13.Packets(ajp13.TO_CONTAINER, most)
        self._came: Iterator[bytes] = iter(())

    def next(self) -> bytes | None:
        """Wait for the next payload; None: the web server has closed."""
        while True:
            for payload in self._came:
                return payload
            data = self.sock.recv(1 << 16)
            if not data:
                return None
            self._came = iter(list(self._packets.feed(data)))


@dataclass(slots=True)
class Place:
    """A connection's place in the table."""

    host: str  # whose it is
    since: float  # when it began to be as it is
    busy: bool = False  # a request is open on it
    asked: bool = False  # that request has reached the core
    tenant: str = ""  # whose the newest request was


class AjpFrontend:
    """Listens for web servers. A connection carries one request at a time and has a thread of its own."""

    def __init__(self, core: Core, config: Ajp, tenants: TenantRegistry) -> None:
        self._core = core
        self._config = config
        self._tenants = tenants
        self._kinds = {name: number for number, name in enumerate(core.class_names)}
        self._numbers = itertools.count(1)
        self._prefix = f"ajp{core.clock.now():x}x"
        self._open: dict[socket.socket, Place] = {}
        self._of_tenant: Counter[str] = Counter()  # connections by the tenant of their newest request
        self._in_hand: Counter[str] = Counter()  # requests by tenant
        self._lock = threading.Lock()
        self._turned = threading.BoundedSemaphore(MOST_TURNED)  # held by those too many that are read out
        self._leaving = self._closed = False
        self._schedule: DrainSchedule | None = None  # of a drain
        self._observation: DrainObservation | None = None
        self._listener = Listener("ajp", config.listen, core.counters, self._serve)
        self.address = self._listener.address

    def start(self) -> None:
        """Start to listen."""
        self._listener.start()

    def drain(self, schedule: DrainSchedule) -> None:
        """Follow this schedule, which may be replaced by an earlier one."""
        first, self._schedule = self._schedule is None, schedule
        if first:
            start_thread("ajp-ending", self._end_all)

    def drain_observation(self) -> DrainObservation | None:
        """Return the latest observation of all connections."""
        return self._observation

    def close(self) -> None:
        """End everything at once."""
        self._closed = self._leaving = True
        self._listener.stop()
        with self._lock:
            for sock in self._open:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def _end_all(self) -> None:
        """Let each connection end after what it carries, and look what is still owed."""
        while not self._closed:
            now, schedule = time.monotonic(), self._schedule
            if schedule is not None and now >= schedule.notify_s:
                if not self._leaving:
                    self._leaving = True
                    self._listener.stop()
                with self._lock:
                    carrying = dict(self._open)
                self._observation = DrainObservation(
                    ConnectionState(
                        sum(place.busy for place in carrying.values()),
                        0,
                        sum(unread_bytes(sock) for sock, place in carrying.items() if not place.busy),
                    ),
                    now,
                )
            time.sleep(POLL_INTERVAL_S)

    def open_connections(self) -> int:
        """Count the connections of web servers."""
        return len(self._open)

    # A connection

    def _serve(self, sock: socket.socket, peer: Address) -> None:
        with self._lock:
            full = len(self._open) >= self._config.max_connections and not self._made_room(peer[0])
            if not full:
                self._open[sock] = Place(peer[0], time.monotonic())
        if full:
            self._turn_away(sock)
            return
        try:
            self._carry(sock)
        except MalformedError as error:
            self._core.counters.warn(
                "ajp.malformed", "ajp: {}:{} closed for a malformed packet: {}", *peer, error
            )
        except OSError as error:
            logger.debug("ajp: {}", error)
        finally:
            with self._lock:
                self._belongs(self._open.pop(sock), "")
            sock.close()

    def _turn_away(self, sock: socket.socket) -> None:
        """Close a connection too many; over what it has sent by now, a close at once would be a reset."""
        self._core.counters.add("ajp.too_many_connections")
        with sock:
            if self._turned.acquire(blocking=False):
                try:
                    self._part(sock)
                finally:
                    self._turned.release()

    def _made_room(self, host: str) -> bool:
        """End a connection of whoever has most, if that is not the newcomer; called with the lock held.

        One that carries a request which has reached the core is left alone; of the others the one goes that
        has been idle, or half asked, for longest. So one web server can't keep the others out.
        """
        counts = Counter(place.host for place in self._open.values())
        most, count = counts.most_common(1)[0]
        if count <= counts[host] + 1:
            return False
        spare = [sock for sock, place in self._open.items() if place.host == most and not place.asked]
        if not spare:
            return False
        sock = min(spare, key=lambda one: self._open[one].since)
        self._open[sock].asked = True  # not a second time
        self._core.counters.warn(
            "ajp.closed_for_room",
            "ajp: {} connections are open, {} of them {}'s: it loses some to others",
            len(self._open),
            count,
            most,
        )
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        return True

    def _belongs(self, place: Place, tenant: str) -> int:
        """Count a connection as a tenant's, or as nobody's; return how many that has now. With the lock."""
        if place.tenant:
            self._of_tenant[place.tenant] -= 1
            if not self._of_tenant[place.tenant]:
                del self._of_tenant[place.tenant]
        place.tenant = tenant
        if tenant:
            self._of_tenant[tenant] += 1
        return self._of_tenant[tenant] if tenant else 0

    def _carry(self, sock: socket.socket) -> None:
        stream = Stream(sock, self._config.packet_size)
        while self._wait(sock):
            sock.settimeout(BODY_S)
            payload = stream.next()
            if payload is None:
                return
            place = self._open[sock]
            place.busy, place.since = True, time.monotonic()
            try:
                goes_on = self._take(stream, payload)
            finally:
                place.busy = place.asked = False
                place.since = time.monotonic()
            if not goes_on:
                return
        self._part(sock)  # a request may cross the close

    def _wait(self, sock: socket.socket) -> bool:
        """Wait for the next request; False: this connection is idle for too long, or the node leaves."""
        began, waiting = time.monotonic(), select.poll()
        waiting.register(sock, select.POLLIN)
        while True:
            leaving, idle = self._leaving, time.monotonic() - began
            if waiting.poll(LEAVE_S * 1000):
                return True
            if leaving or idle * 1000 > self._config.idle_ms:
                self._core.counters.add("ajp.closed_idle")
                return False

    def _take(self, stream: Stream, payload: bytes) -> bool:
        """Take one packet that begins something; False ends the connection."""
        kind = payload[0] if payload else 0
        if kind == ajp13.CPING:
            stream.sock.sendall(ajp13.write_reply(ajp13.Pong()))
            return True
        if kind == ajp13.PING:
            return True  # of the old protocol; nothing is answered
        if kind == ajp13.SHUTDOWN:
            self._core.counters.add("ajp.shutdown_refused")
            logger.warning("ajp: a shutdown packet was refused")
            return False
        try:
            forward = ajp13.read_forward(payload, self._config.allowed_attributes)
            answer = self._ask(stream, forward)
        except ajp13.ForbiddenAttributeError as error:
            return self._reject(stream, RejectedRequestError(403, str(error), closes=True))
        except RejectedRequestError as error:
            return self._reject(stream, error)
        return self._send(stream, forward.method, answer)

    # A request

    def _ask(self, stream: Stream, forward: ajp13.Forward) -> Answer:
        """Hand a request to the core and wait for its one answer."""
        secret = forward.attributes.get("secret", "")
        if self._config.secret and not hmac.compare_digest(secret.encode(), self._config.secret.encode()):
            raise RejectedRequestError(403, "the secret is missing or wrong", closes=True)
        if self._schedule is not None and time.monotonic() >= self._schedule.reject_s:
            self._core.counters.add("drain.refused_at_the_door")
            return Answer(Verdict.REJECTED)  # its body stays unread, and the connection ends
        door_us = self._core.clock.now()
        body = self._body(stream, forward)
        try:
            with self._matched(forward) as match:
                if not match.admitted:
                    self._core.counters.add_for(match.tenant.name, "turned_away")
                    return Answer(Verdict.REJECTED)
                answers = self._hand_over(stream, forward, match, body, door_us)
        except TenantUnavailableError:
            return Answer(Verdict.REJECTED)  # counted where it was found
        tenant = match.tenant
        if answers is None:
            answer = Answer(Verdict.REJECTED)
        else:
            try:
                answer = answers.get(timeout=LONGEST_WAIT_S)
            finally:
                self._left(tenant)
        self._core.counters.add_for(tenant.name, answer.verdict.value)
        return answer

    def _hand_over(
        self, stream: Stream, forward: ajp13.Forward, match: Match, body: bytes, door_us: int
    ) -> "queue.SimpleQueue[Answer] | None":
        """Hand a request to the core and return where its answer comes; None: its tenant has too many."""
        kind = self._kinds[match.class_name]
        key = forward.header(match.tenant.key_header) or ""
        if (
            self._core.settings.classes[kind].idempotency is Idempotency.IDEMPOTENCY_KEY
            and not 0 < len(key) <= 128
        ):
            raise RejectedRequestError(
                400, f"requests of {match.class_name} need the header {match.tenant.key_header}"
            )
        tenant = match.tenant
        most = tenant.share.connections
        with self._lock:
            place = self._open[stream.sock]
            beyond = place.tenant != tenant.name and self._belongs(place, tenant.name) > most > 0
            place.asked = True
        if beyond:
            raise RejectedRequestError(503, f"{tenant.name} has {most} connections", closes=True)
        if not self._enter(tenant):
            return None
        answers: queue.SimpleQueue[Answer] = queue.SimpleQueue()
        try:
            self._core.post(
                RequestArrived(self._request(forward, match, kind, body, door_us, key, answers.put))
            )
        except BaseException:
            self._left(tenant)
            raise
        return answers

    def _enter(self, tenant: Tenant) -> bool:
        """Count a request as its tenant's; False where its bound is reached, so that none takes all."""
        with self._lock:
            if tenant.max_open and self._in_hand[tenant.name] >= tenant.max_open:
                return False
            self._in_hand[tenant.name] += 1
            return True

    def _left(self, tenant: Tenant) -> None:
        """Count a request as its tenant's no longer."""
        with self._lock:
            self._in_hand[tenant.name] -= 1
            if not self._in_hand[tenant.name]:
                del self._in_hand[tenant.name]

    def _request(
        self,
        forward: ajp13.Forward,
        match: Match,
        kind: int,
        body: bytes,
        door_us: int,
        key: str,
        reply: Callable[[Answer], None],
    ) -> IncomingRequest:
        return IncomingRequest(
            run_id=f"{self._prefix}{next(self._numbers):x}",
            class_index=kind,
            body=body,
            received_us=door_us,
            reply=reply,
            tenant=match.tenant.name,
            tenant_number=match.number,
            caller=hash_of(forward.remote_addr),
            subject=subject_of(forward.uri),
            held_kb=match.tenant.held_kb + len(body) / 1024,
            idempotency_key=key,
            backend_data=forward,
        )

    @contextmanager
    def _matched(self, forward: ajp13.Forward) -> Iterator[Match]:
        """Tell whose a request is, which is to be handed over within."""
        path = forward.uri.partition(";")[0]
        with self._tenants.pinned_match(forward.method, forward.server_name, path) as match:
            if match is None or not match.class_name:
                raise RejectedRequestError(404, f"no tenant's route has {forward.method} {path}")
            yield match

    def _body(self, stream: Stream, forward: ajp13.Forward) -> bytes:
        """Read the body: the first piece comes by itself where a length is told, the rest is asked for."""
        size, most = forward.body_size(), self._config.max_body_kb * 1024
        if size is not None and size > most:
            raise RejectedRequestError(413, f"a body of {size} bytes, {most} at most", closes=True)
        body, asked, until = bytearray(), size is not None, time.monotonic() + BODY_MOST_S
        piece = self._config.packet_size - ajp13.BODY_OVERHEAD
        while size is None or len(body) < size:
            if not asked:
                stream.sock.sendall(
                    ajp13.write_reply(
                        ajp13.BodyWanted(piece if size is None else min(piece, size - len(body)))
                    )
                )
            asked = False
            payload = stream.next()
            if payload is None:
                raise ConnectionError("closed within a body")
            data = ajp13.read_body(payload)
            if not data and size is None:
                break
            if not data:
                raise MalformedError("a body shorter than its content-length")
            body += data
            if time.monotonic() > until:  # each piece came in time, and still it has no end
                raise RejectedRequestError(408, "the body takes too long", closes=True)
            if len(body) > most:
                raise RejectedRequestError(413, f"a body of more than {most} bytes", closes=True)
        if size is not None and len(body) > size:
            raise MalformedError("a body longer than its content-length")
        return bytes(body)

    # An answer

    def _reject(self, stream: Stream, error: RejectedRequestError) -> bool:
        self._core.counters.add(f"ajp.rejected_{error.status}")
        logger.warning("ajp: request answered {}: {}", error.status, error)
        later = (("Retry-After", "1"),) if error.status == 503 else ()
        head = ajp13.ResponseHead(error.status, REASONS[error.status], (*later, *_text_headers(str(error))))
        return self._write(stream, head, f"{error}\n".encode(), not error.closes)

    def _send(self, stream: Stream, method: str, answer: Answer) -> bool:
        """Send the core's answer."""
        if answer.verdict is Verdict.SERVED and answer.result is not None:
            result, headers = answer.result, list(answer.result.headers)
            names = {name.lower() for name, _ in headers}
            bodiless = method == "HEAD" or result.status in (204, 304)
            if "content-type" not in names and not bodiless:
                headers.append(("Content-Type", "application/octet-stream"))
            if "content-length" not in names and not bodiless:
                headers.append(("Content-Length", str(len(result.body))))
            head = ajp13.ResponseHead(result.status, str(result.status), tuple(headers))
            return self._write(stream, head, b"" if bodiless else result.body, True)
        if answer.verdict is Verdict.REJECTED:
            seconds = max(1, -(-answer.retry_after_us // 1_000_000))
            headers = [("Retry-After", str(seconds)), *_text_headers("Full")]
            head = ajp13.ResponseHead(503, REASONS[503], tuple(headers))
            return self._write(stream, head, b"Full\n", True)
        head = ajp13.ResponseHead(500, REASONS[500], _text_headers("Failed"))
        return self._write(stream, head, b"Failed\n", True)

    def _write(self, stream: Stream, head: ajp13.ResponseHead, body: bytes, reuse: bool) -> bool:
        reuse = reuse and not self._leaving
        stream.sock.settimeout(SEND_S)
        stream.sock.sendall(ajp13.write_response(head, body, reuse, self._config.packet_size))
        if not reuse:
            self._part(stream.sock)
        return reuse

    def _part(self, sock: socket.socket) -> None:
        """Read on, unheeded: a close with something unread would reset the answer on its way."""
        until, left = time.monotonic() + PARTING_S, PARTING_BYTES
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_WR)
            while left > 0 and (wait := until - time.monotonic()) > 0:
                sock.settimeout(wait)
                data = sock.recv(1 << 16)
                if not data:
                    return
                left -= len(data)


def _text_headers(text: str) -> tuple[tuple[str, str], ...]:
    return ("Content-Type", "text/plain"), ("Content-Length", str(len(text.encode()) + 1))


def hash_of(text: str) -> int:
    """Map a caller's address to a number, the same in every process."""
    return subject_of(text) % 65_536
