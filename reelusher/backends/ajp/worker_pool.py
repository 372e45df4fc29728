"""AJP13 workers: containers that requests are forwarded to, alone or balanced.

A worker that can't be reached has run nothing, so another is tried. Once a byte of a request has been
written it may have run, so then there is neither a second try nor a failover, whatever happens.
"""

import re
import select
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import Any

from loguru import logger

from reelusher.codecs import ajp13
from reelusher.codecs.errors import MalformedError
from reelusher.config.operator.workers import Balancer, Worker
from reelusher.core.counters import Counters
from reelusher.core.messages import GaugesReceived, IncomingRequest, Message, Result, RunFinished, Runner
from reelusher.net.sockets import connect
from reelusher.pacing.backoff import Backoff
from reelusher.policy.events import Outcome

HOP_BY_HOP = frozenset({"connection", "keep-alive", "transfer-encoding", "upgrade", "proxy-connection", "te"})
SESSION = re.compile(r"JSESSIONID=[^;,\s]*?\.([^;,\s]+)", re.IGNORECASE)
MOST_THREADS = 256
RECOVER_MOST = 4  # times `recover_ms`: a worker that stays away is tried more and more rarely, down to this


class WorkerUnreachableError(Exception):
    """The worker can't be reached: nothing was sent, so nothing ran."""


class Channel:
    """One connection to a worker; carries one request at a time."""

    def __init__(self, config: Worker) -> None:
        self.sock = connect((config.host, config.port), config.connect_timeout_ms / 1000)
        self._packets = ajp13.Packets(ajp13.TO_SERVER, ajp13.MOST_PACKET)
        self._replies: list[ajp13.Reply] = []

    def reply(self) -> ajp13.Reply:
        """Wait for the next reply."""
        while not self._replies:
            data = self.sock.recv(1 << 16)
            if not data:
                raise ConnectionError("the worker closed the connection")
            self._replies += map(ajp13.read_reply, self._packets.feed(data))
        return self._replies.pop(0)

    def ping(self, timeout: float) -> None:
        """Make sure that the container answers."""
        self.sock.settimeout(timeout)
        self.sock.sendall(ajp13.packet(ajp13.TO_CONTAINER, bytes([ajp13.CPING])))
        if not isinstance(self.reply(), ajp13.Pong):
            raise MalformedError("something other than a CPong")

    def stale(self) -> bool:
        """Tell whether the container has closed, or sent what nobody asked for."""
        looking = select.poll()  # a peek would wait: MSG_DONTWAIT does not go before a socket's timeout
        looking.register(self.sock, select.POLLIN)
        return bool(looking.poll(0))

    def close(self) -> None:
        """End the connection."""
        self.sock.close()


class Member:
    """A worker and what is known of it."""

    def __init__(self, config: Worker, random: Random) -> None:
        self.config = config
        self._recover = Backoff(random, config.recover_ms / 1000, RECOVER_MOST * config.recover_ms / 1000)
        self.doubted = False  # it could not be reached: one request at a time finds out if it can be now
        self.probed = False  # that one is under way
        self.activation = config.activation
        self.busy = self.sent = self.errors = 0
        self.seen_s = 0.0  # when a connection was last tried, Unix time
        self.debt = 0.0  # requests had, by factor
        self.down_until = 0.0
        self._idle: list[Channel] = []
        self._lock = threading.Lock()

    def usable(self, now: float) -> bool:
        """Tell whether new requests may go here."""
        return (
            self.busy < self.config.connections
            and now >= self.down_until
            and not self.probed
            and self.activation != "stopped"
        )

    def open(self) -> Channel:
        """Return a connection, tested by CPing if that is on. Raises `WorkerUnreachableError`."""
        timeout = self.config.cping_timeout_ms / 1000
        while True:
            with self._lock:
                channel = self._idle.pop() if self._idle else None
            kept = channel is not None
            try:
                if channel is None:
                    channel = Channel(self.config)
                if kept and channel.stale():
                    channel.close()
                    continue
                if timeout:
                    channel.ping(timeout)
                return channel
            except (OSError, MalformedError) as error:
                if channel is not None:
                    channel.close()
                if not kept:  # a kept connection may just be old; a new one tells of the worker
                    raise WorkerUnreachableError(str(error)) from None

    def give_back(self, channel: Channel, reuse: bool) -> None:
        """Keep a connection for the next request, or end it."""
        with self._lock:
            if reuse and len(self._idle) < self.config.connections:
                self._idle.append(channel)
                return
        channel.close()

    def failed(self) -> None:
        """Pass this worker by for a while: all that were under way at once count as one failure."""
        self.seen_s = time.time()
        self.errors += 1
        self.pass_by()

    def pass_by(self) -> None:
        """Send nothing here for a while, then one request."""
        with self._lock:
            now = time.monotonic()
            if now >= self.down_until:
                self.down_until, self.doubted = now + self._recover.next_s(), True
            self.probed = False

    def reached(self) -> None:
        """Note that a connection was made and proved to work."""
        self.seen_s = time.time()
        if self.doubted:
            with self._lock:
                self.doubted = self.probed = False
                self._recover.reset()

    def status(self) -> dict[str, Any]:
        """Return what operators want to know of it."""
        now = time.monotonic()
        return {
            "name": self.config.name,
            "address": f"{self.config.host}:{self.config.port}",
            "activation": self.activation,
            "state": "ok" if now >= self.down_until else "error",
            "factor": self.config.factor,
            "busy": self.busy,
            "sent": self.sent,
            "errors": self.errors,
        }


class WorkerPool:
    """All workers of a node, and the threads that wait for them."""

    def __init__(
        self,
        workers: tuple[Worker, ...],
        balancers: tuple[Balancer, ...],
        cores: int,
        post: Callable[[Message], None],
        counters: Counters,
        most_response: int,
        connections: Callable[[], int],
        random: Random,
    ) -> None:
        """`random` spreads the tries at workers that are away, so each node needs a seed of its own."""
        self.members = {worker.name: Member(worker, Random(random.random())) for worker in workers}
        self.post = post
        self.counters = counters
        self.most_response = most_response
        self._cores = cores
        self._connections = connections
        self._lock = threading.Lock()
        threads = min(MOST_THREADS, sum(worker.connections for worker in workers) or 1)
        self.executor = ThreadPoolExecutor(threads, "worker")
        self._runners: dict[str, BalancedRunner] = {}
        for balancer in balancers:
            self._runners[balancer.name] = BalancedRunner(
                self, [self.members[name] for name in balancer.members], balancer.sticky, balancer.method
            )
        for name, member in self.members.items():
            self._runners[name] = BalancedRunner(self, [member], False, "requests")

    def runner(self, backend: str) -> Runner | None:
        """Return what runs requests on a worker or balancer; None where none has this name."""
        return self._runners.get(backend)

    def pick(self, members: list[Member], tried: set[str], route: str, method: str) -> Member | None:
        """Choose a worker and count the request as its own."""
        now = time.monotonic()
        with self._lock:
            usable = [m for m in members if m.config.name not in tried and m.usable(now)]
            # sessions stay where they are, also on a disabled worker
            own = [m for m in usable if route and m.config.route == route]
            fresh = own or [m for m in usable if m.activation == "active"]
            if not fresh:
                return None
            chosen = min(
                fresh, key=lambda m: ((m.busy / m.config.factor) if method == "busyness" else m.debt, m.debt)
            )
            chosen.busy += 1
            chosen.sent += 1
            chosen.probed = chosen.doubted
            chosen.debt += 1 / chosen.config.factor
            if not own and (least := min(m.debt for m in members)) > 1e6:
                for member in members:
                    member.debt -= least
            return chosen

    def release(self, member: Member) -> None:
        """Count a request as over."""
        with self._lock:
            member.busy -= 1

    def activate(self, name: str, activation: str) -> bool:
        """Change whether a worker gets requests; False where there is none of this name."""
        member = self.members.get(name)
        if member is None:
            return False
        if activation == "active":
            with self._lock:  # a worker that comes back must not be given all that it has missed
                member.debt = max((m.debt for m in self.members.values()), default=0.0)
        member.activation, member.down_until = activation, 0.0
        member.reached()  # the operator's word goes before what was seen
        return True

    def seen(self) -> dict[str, tuple[float, float]]:
        """Return which workers are away, 1 or 0, and when that was seen."""
        now = time.monotonic()
        return {
            f"away:{name}": (float(now < member.down_until), member.seen_s)
            for name, member in self.members.items()
            if member.seen_s
        }

    def doubt(self, name: str) -> None:
        """Pass a worker by at first that others can't reach, unless something was seen of it here."""
        member = self.members.get(name)
        if member is not None and not member.seen_s:
            member.pass_by()  # what others told is not told on as seen here
            self.counters.add("workers.doubted")

    def status(self) -> list[dict[str, Any]]:
        """Return what operators want to know of the workers."""
        return [member.status() for member in self.members.values()]

    def gauges(self, cookie: str) -> None:
        """Tell the gauges where no runtime does: a request at a worker counts as a busy core."""
        running = sum(member.busy for member in self.members.values())
        busy = min(1.0, running / self._cores)
        self.post(GaugesReceived(cookie, (busy, float(running), 0.0, float(self._connections()))))


class BalancedRunner:
    """Runs requests on one worker or on those of a balancer."""

    def __init__(self, pool: WorkerPool, members: list[Member], sticky: bool, method: str) -> None:
        self._pool = pool
        self._members = members
        self._sticky = sticky
        self._method = method
        self._open: dict[str, Channel | None] = {}  # runs, and the connection once there is one
        self._stopped: set[str] = set()

    # Called by the owner

    def start(self, request: IncomingRequest, class_name: str) -> None:
        """Start a run."""
        self._open[request.run_id] = None
        self._pool.executor.submit(self._run, request, class_name)

    def stop(self, call: str) -> None:
        """Stop a run by ending its connection."""
        if call in self._open:
            self._stopped.add(call)
            channel = self._open.get(call)
            if channel is not None:
                try:
                    channel.sock.shutdown(socket.SHUT_RDWR)
                except OSError as error:
                    logger.debug("workers: {}", error)

    def resume(self, call: str) -> None:
        """Do nothing: a stopped run here is over."""

    def deliver_reply(self, call: str, body: bytes) -> None:
        """Do nothing: workers make their calls themselves."""

    def skip_call(self, call: str, serial: int) -> None:
        """Do nothing: workers make their calls themselves."""

    def request_gauges(self, cookie: str) -> bool:
        """Tell the gauges of the pool."""
        self._pool.gauges(cookie)
        return True

    # In a thread of the pool

    def _run(self, request: IncomingRequest, class_name: str) -> None:
        began = time.monotonic()
        try:
            outcome, result = self._forward(request, class_name)
        except Exception:  # whatever it was, the run is over and its request is owed an answer
            logger.exception("workers: request {} failed", request.run_id)
            outcome, result = Outcome.ERROR, None
        self._open.pop(request.run_id, None)
        if request.run_id in self._stopped:
            self._stopped.discard(request.run_id)
            outcome, result = Outcome.CANCELLED, None
        self._pool.post(RunFinished(request.run_id, outcome, int((time.monotonic() - began) * 1e6), result))

    def _forward(self, request: IncomingRequest, class_name: str) -> tuple[Outcome, Result | None]:
        forward = _forward_of(request, class_name)
        route = _route_of(forward) if self._sticky else ""
        tried: set[str] = set()
        while (member := self._pool.pick(self._members, tried, route, self._method)) is not None:
            tried.add(member.config.name)
            try:
                channel = member.open()
            except WorkerUnreachableError as error:
                member.failed()
                self._pool.release(member)
                self._pool.counters.add("workers.unreachable")
                logger.warning(
                    "workers: {} can't be reached, nothing was sent: {}", member.config.name, error
                )
                continue
            member.reached()
            try:
                return self._exchange(member, channel, forward, request)
            finally:
                self._pool.release(member)
        self._pool.counters.add("workers.none_left")
        return Outcome.NOT_STARTED, None

    def _exchange(
        self, member: Member, channel: Channel, forward: ajp13.Forward, request: IncomingRequest
    ) -> tuple[Outcome, Result | None]:
        """Send the request and read the response. From here on it may have run."""
        self._open[request.run_id] = channel
        reuse = False
        try:
            channel.sock.settimeout(member.config.reply_timeout_ms / 1000)
            result, reuse = _converse(
                channel, member.config.secret, forward, request.body, self._pool.most_response
            )
            return Outcome.OK, result
        except (OSError, MalformedError, ValueError) as error:
            member.errors += 1
            self._pool.counters.add("workers.broken")
            logger.warning(
                "workers: {} broke under request {}, which may have run: {}",
                member.config.name,
                request.run_id,
                error,
            )
            return Outcome.ERROR, None
        finally:
            member.give_back(channel, reuse)


def _converse(
    channel: Channel, secret: str, forward: ajp13.Forward, body: bytes, most: int
) -> tuple[Result, bool]:
    """Carry one request and its response; also tell whether the connection may be used again."""
    if secret:
        forward.attributes["secret"] = secret
    piece = ajp13.DEFAULT_PACKET - ajp13.BODY_OVERHEAD
    first, at = body[:piece], min(len(body), piece)
    channel.sock.sendall(ajp13.write_forward(forward) + (ajp13.write_body(first) if body else b""))
    head: ajp13.ResponseHead | None = None
    made = bytearray()
    while True:
        match channel.reply():
            case ajp13.BodyWanted(size):
                data = body[at : at + min(size, piece)]
                at += len(data)
                channel.sock.sendall(ajp13.write_body(data))
            case ajp13.ResponseHead() as read if read.status >= 200:
                head = read
            case ajp13.ResponseBody(data):
                made += data
                if len(made) > most:
                    raise ValueError(f"a response of more than {most} bytes")
            case ajp13.ResponseEnd(reuse):
                if head is None:
                    raise MalformedError("an end without a head")
                headers = tuple(
                    (name, value) for name, value in head.headers if name.lower() not in HOP_BY_HOP
                )
                return Result(bytes(made), head.status, headers), reuse
            case _:
                pass


def _forward_of(request: IncomingRequest, class_name: str) -> ajp13.Forward:
    """Return the request as it is forwarded: its body is known by now, so its length is told."""
    came = request.backend_data
    if not isinstance(came, ajp13.Forward):
        came = ajp13.Forward("POST", f"/{class_name}", headers=[("content-type", "application/octet-stream")])
    headers = [
        (name, value) for name, value in came.headers if name not in HOP_BY_HOP and name != "content-length"
    ]
    if request.body or came.header("content-length") is not None:
        headers.append(("content-length", str(len(request.body))))
    attributes = {name: value for name, value in came.attributes.items() if name != "secret"}
    return ajp13.Forward(
        came.method,
        came.uri,
        came.protocol,
        came.remote_addr,
        came.remote_host,
        came.server_name,
        came.server_port,
        came.is_ssl,
        headers,
        attributes,
        list(came.named),
        came.ssl_key_size,
    )


def _route_of(forward: ajp13.Forward) -> str:
    """Return the route of the session that a request carries, or nothing."""
    for text in (forward.uri, *(value for name, value in forward.headers if name == "cookie")):
        found = SESSION.search(text)
        if found:
            return found.group(1)
    return ""
