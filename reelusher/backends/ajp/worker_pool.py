"""The AJP workers of a node: containers that requests are forwarded to, alone or balanced.

A worker that can't be reached has run nothing, so another is tried. Once a byte of a request has been
written it may have run, so then there is neither a retry nor a failover.
"""

import socket
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from loguru import logger

from reelusher.backends.ajp.connection import WorkerConnection, WorkerUnreachableError
from reelusher.backends.ajp.exchange import exchange, forwarded_request, session_route
from reelusher.backends.ajp.load_balancer import LoadBalancer
from reelusher.backends.ajp.worker import PooledWorker
from reelusher.codecs import ajp13
from reelusher.codecs.errors import MalformedError
from reelusher.core.counters import Counters
from reelusher.core.messages import GaugesReceived, IncomingRequest, Message, Result, RunFinished, Runner
from reelusher.policy.events import Outcome

if TYPE_CHECKING:
    from reelusher.config.operator.workers import Balancer, Worker


MAX_THREADS = 256


class RunResult(NamedTuple):
    """How a run ended."""

    outcome: Outcome
    result: Result | None = None


class WorkerPool:
    """All workers of a node, and the threads that wait for them."""

    def __init__(
        self,
        workers: "tuple[Worker, ...]",
        balancers: "tuple[Balancer, ...]",
        cores: int,
        post: Callable[[Message], None],
        counters: Counters,
        max_response_bytes: int,
        open_connections: Callable[[], int],
        random: Random,
    ) -> None:
        """`random` spreads the probes of unreachable workers, so each node needs a seed of its own."""
        self.workers = {worker.name: PooledWorker(worker, Random(random.random())) for worker in workers}
        self.post = post
        self.counters = counters
        self.max_response_bytes = max_response_bytes
        self.load_balancer = LoadBalancer()
        self._cores = cores
        self._open_connections = open_connections
        threads = min(MAX_THREADS, sum(worker.connections for worker in workers) or 1)
        self.executor = ThreadPoolExecutor(threads, "worker")
        self._runners: dict[str, BalancedRunner] = {}
        for balancer in balancers:
            members = [self.workers[name] for name in balancer.members]
            self._runners[balancer.name] = BalancedRunner(self, members, balancer.sticky, balancer.method)
        for name, worker in self.workers.items():
            self._runners[name] = BalancedRunner(self, [worker], False, "requests")

    def runner(self, backend: str) -> Runner | None:
        """Return what runs requests on a worker or balancer; None where none has this name."""
        return self._runners.get(backend)

    def set_activation(self, name: str, activation: str) -> bool:
        """Change whether a worker gets requests; return False where none has this name."""
        worker = self.workers.get(name)
        if worker is None:
            return False
        if activation == "active":
            self.load_balancer.reactivate(worker, self.workers.values())
        worker.activation, worker.down_until = activation, 0.0
        worker.record_reached()  # the operator overrides what was observed
        return True

    def observations(self) -> dict[str, tuple[float, float]]:
        """Return which workers are unreachable, 1 or 0, and when that was observed."""
        now = time.monotonic()
        return {
            f"away:{name}": (float(now < worker.down_until), worker.observed_s)
            for name, worker in self.workers.items()
            if worker.observed_s
        }

    def suspect(self, name: str) -> None:
        """Suspend a worker that other nodes can't reach, unless this node has observed it itself."""
        worker = self.workers.get(name)
        if worker is not None and not worker.observed_s:
            worker.suspend()  # that is no observation, so it is not passed on as one
            self.counters.add("workers.doubted")

    def status(self) -> list[dict[str, Any]]:
        """Return the state of all workers for operators."""
        return [worker.status() for worker in self.workers.values()]

    def post_gauges(self, cookie: str) -> None:
        """Post the gauges where no runtime does: a request at a worker counts as a busy core."""
        running = sum(worker.busy for worker in self.workers.values())
        busy_fraction = min(1.0, running / self._cores)
        connections = float(self._open_connections())
        self.post(GaugesReceived(cookie, (busy_fraction, float(running), 0.0, connections)))


class BalancedRunner:
    """Runs requests on one worker or on those of a balancer."""

    def __init__(self, pool: WorkerPool, workers: list[PooledWorker], sticky: bool, method: str) -> None:
        self._pool = pool
        self._workers = workers
        self._sticky = sticky
        self._method = method
        self._runs: dict[str, WorkerConnection | None] = {}  # by run id: the connection once there is one
        self._stopped: set[str] = set()

    # Called on the event loop's thread

    def start(self, request: IncomingRequest, class_name: str) -> None:
        """Start a run."""
        self._runs[request.run_id] = None
        self._pool.executor.submit(self._run, request, class_name)

    def stop(self, call: str) -> None:
        """Stop a run by ending its connection."""
        if call not in self._runs:
            return
        self._stopped.add(call)
        connection = self._runs.get(call)
        if connection is not None:
            try:
                connection.sock.shutdown(socket.SHUT_RDWR)
            except OSError as error:
                logger.debug("workers: {}", error)

    def resume(self, call: str) -> None:
        """Do nothing: a stopped run is over."""

    def deliver_reply(self, call: str, body: bytes) -> None:
        """Do nothing: workers make their calls themselves."""

    def skip_call(self, call: str, serial: int) -> None:
        """Do nothing: workers make their calls themselves."""

    def request_gauges(self, cookie: str) -> bool:
        """Post the gauges of the pool."""
        self._pool.post_gauges(cookie)
        return True

    # In a thread of the pool

    def _run(self, request: IncomingRequest, class_name: str) -> None:
        run_id, started_s = request.run_id, time.monotonic()
        try:
            ended = self._forward(request, class_name)
        except Exception:  # whatever it was, the run is over and its request needs an answer
            logger.exception("workers: request {} failed", run_id)
            ended = RunResult(Outcome.ERROR)
        self._runs.pop(run_id, None)
        if run_id in self._stopped:
            self._stopped.discard(run_id)
            ended = RunResult(Outcome.CANCELLED)
        duration_us = int((time.monotonic() - started_s) * 1e6)
        self._pool.post(RunFinished(run_id, ended.outcome, duration_us, ended.result))

    def _forward(self, request: IncomingRequest, class_name: str) -> RunResult:
        """Forward a request to the first worker that can be reached."""
        pool = self._pool
        forward = forwarded_request(request, class_name)
        route = session_route(forward) if self._sticky else ""
        tried: set[str] = set()
        while worker := pool.load_balancer.acquire(self._workers, tried, route, self._method):
            tried.add(worker.config.name)
            try:
                connection = self._connect(worker)
                if connection is not None:
                    self._runs[request.run_id] = connection
                    return self._exchange(worker, connection, request, forward)
            finally:
                pool.load_balancer.release(worker)
        pool.counters.add("workers.none_left")
        return RunResult(Outcome.NOT_STARTED)

    def _connect(self, worker: PooledWorker) -> WorkerConnection | None:
        """Return a connection to a worker; None where it can't be reached."""
        try:
            connection = worker.acquire_connection()
        except WorkerUnreachableError as error:
            worker.record_unreachable()
            self._pool.counters.add("workers.unreachable")
            logger.warning("workers: {} can't be reached, nothing was sent: {}", worker.config.name, error)
            return None
        worker.record_reached()
        return connection

    def _exchange(
        self,
        worker: PooledWorker,
        connection: WorkerConnection,
        request: IncomingRequest,
        forward: ajp13.ForwardedRequest,
    ) -> RunResult:
        """Send the request and read the response. From here on it may have run."""
        reuse = False
        try:
            connection.sock.settimeout(worker.config.reply_timeout_ms / 1000)
            response = exchange(
                connection, worker.config.secret, forward, request.body, self._pool.max_response_bytes
            )
            reuse = response.reuse
            return RunResult(Outcome.OK, response.result)
        except (OSError, MalformedError, ValueError) as error:
            worker.errors += 1
            self._pool.counters.add("workers.broken")
            logger.warning(
                "workers: {} failed during request {}, which may have run: {}",
                worker.config.name,
                request.run_id,
                error,
            )
            return RunResult(Outcome.ERROR)
        finally:
            worker.release_connection(connection, reuse)
