"""The AJP workers of a node, which requests are forwarded to directly or through a balancer.

If a worker can't be reached, the request has not run and another worker is tried. Once a byte of the request
has been written it may have run, so there is neither a retry nor a failover after that.
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
from reelusher.core.messages import (
    CallReply,
    GaugesReceived,
    IncomingRequest,
    Message,
    Result,
    RunFinished,
    Runner,
)
from reelusher.policy.events import Outcome

if TYPE_CHECKING:
    from reelusher.config.operator.workers import Balancer, Worker


MAX_THREADS = 256


class RunResult(NamedTuple):
    """The outcome of a run, with the result if it succeeded."""

    outcome: Outcome
    result: Result | None = None


class WorkerPool:
    """All workers of a node, and the threads that forward requests to them."""

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
        """Create the pool; runs and gauges are reported through `post`.

        `open_connections` returns the number of connections that callers have open. `random` adds jitter to
        the probes of unreachable workers, so it must be seeded differently on each node.
        """
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
        """Return the runner for the worker or balancer of this name, or None if there is none."""
        return self._runners.get(backend)

    def set_activation(self, name: str, activation: str) -> bool:
        """Set a worker to active, disabled or stopped; return False if there is no worker of this name."""
        worker = self.workers.get(name)
        if worker is None:
            return False
        if activation == "active":
            self.load_balancer.reactivate(worker, self.workers.values())
        worker.activation, worker.down_until = activation, 0.0
        worker.record_reached()  # the operator overrides the observed state
        return True

    def observations(self) -> dict[str, tuple[float, float]]:
        """Return 1 or 0 for each worker that was tried, and the Unix time of that observation.

        1 means unreachable. The keys are the subjects under which nodes exchange observations.
        """
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
            worker.suspend()  # `observed_s` stays 0, so this is not passed on as an observation
            self.counters.add("workers.doubted")

    def status(self) -> list[dict[str, Any]]:
        """Return the state of all workers as the administration API reports it."""
        return [worker.status() for worker in self.workers.values()]

    def post_gauges(self, cookie: str) -> None:
        """Post gauges derived from the workers, for a node without a runtime.

        Each request in progress at a worker counts as one busy core.
        """
        running = sum(worker.busy for worker in self.workers.values())
        busy_fraction = min(1.0, running / self._cores)
        connections = float(self._open_connections())
        self.post(GaugesReceived(cookie, (busy_fraction, float(running), 0.0, connections)))


class BalancedRunner:
    """Runs requests on a single worker or on the members of a balancer."""

    def __init__(self, pool: WorkerPool, workers: list[PooledWorker], sticky: bool, method: str) -> None:
        self._pool = pool
        self._workers = workers
        self._sticky = sticky
        self._method = method
        self._runs: dict[str, WorkerConnection | None] = {}  # by run id; None until the run has a connection
        self._stopped: set[str] = set()  # ids of runs to report as cancelled

    # Called on the event loop's thread

    def start(self, request: IncomingRequest, class_name: str) -> None:
        """Start a run on a thread of the pool."""
        self._runs[request.run_id] = None
        self._pool.executor.submit(self._run, request, class_name)

    def stop(self, run_id: str) -> None:
        """Stop a run, and report it as cancelled.

        Its connection is shut down. A run that has no connection yet sends nothing.
        """
        if run_id not in self._runs:
            return
        self._stopped.add(run_id)
        connection = self._runs.get(run_id)
        if connection is not None:
            try:
                connection.sock.shutdown(socket.SHUT_RDWR)
            except OSError as error:
                logger.debug("workers: {}", error)

    def resume(self, run_id: str) -> None:
        """Do nothing: a stopped run has ended and can't be resumed."""

    def deliver_reply(self, run_id: str, reply: CallReply) -> None:
        """Do nothing: workers make their calls themselves."""

    def skip_call(self, run_id: str, serial: int) -> None:
        """Do nothing: workers make their calls themselves."""

    def request_gauges(self, cookie: str) -> bool:
        """Post the gauges of the pool; always possible."""
        self._pool.post_gauges(cookie)
        return True

    # Called on a thread of the pool

    def _run(self, request: IncomingRequest, class_name: str) -> None:
        run_id, started_s = request.run_id, time.monotonic()
        try:
            run_result = self._forward(request, class_name)
        except Exception:  # the end of the run must be reported, or its request would never be answered
            logger.exception("workers: request {} failed", run_id)
            run_result = RunResult(Outcome.ERROR)
        self._runs.pop(run_id, None)
        if run_id in self._stopped:
            self._stopped.discard(run_id)
            run_result = RunResult(Outcome.CANCELLED)
        duration_us = int((time.monotonic() - started_s) * 1e6)
        self._pool.post(RunFinished(run_id, run_result.outcome, duration_us, run_result.result))

    def _forward(self, request: IncomingRequest, class_name: str) -> RunResult:
        """Forward a request to the first worker that can be reached; NOT_STARTED if there is none."""
        pool = self._pool
        forward = forwarded_request(request, class_name)
        route = session_route(forward) if self._sticky else ""
        tried: set[str] = set()
        if request.run_id in self._stopped:
            return RunResult(Outcome.CANCELLED)
        while worker := pool.load_balancer.acquire(self._workers, tried, route, self._method):
            tried.add(worker.config.name)
            try:
                connection = self._connect(worker)
                if connection is not None:
                    self._runs[request.run_id] = connection
                    if request.run_id in self._stopped:  # checked once `stop` can see the connection
                        worker.release_connection(connection, reuse=False)
                        return RunResult(Outcome.CANCELLED)
                    return self._exchange(worker, connection, request, forward)
            finally:
                pool.load_balancer.release(worker)
        pool.counters.add("workers.none_left")
        return RunResult(Outcome.NOT_STARTED)

    def _connect(self, worker: PooledWorker) -> WorkerConnection | None:
        """Return a connection to a worker, or None if it can't be reached."""
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
        """Send the request and read the response.

        A failure from here on counts as ERROR, since the request may have run.
        """
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
