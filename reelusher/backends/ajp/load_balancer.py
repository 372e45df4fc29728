"""Selects a worker for each request."""

import threading
import time
from collections.abc import Collection

from reelusher.backends.ajp.worker import PooledWorker

MAX_WEIGHTED_REQUESTS = 1e6  # above it the minimum is subtracted from all, to keep float differences exact


class LoadBalancer:
    """Selects the worker with the fewest requests so far, or with the fewest in progress.

    Both counts are divided by the factor of the worker, its weight. Any thread may call.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()

    def acquire(
        self, workers: Collection[PooledWorker], excluded: Collection[str], route: str, method: str
    ) -> PooledWorker | None:
        """Select a worker and count the request as in progress there; return None if no worker is usable.

        `excluded` are names of workers; `route` is that of the request's session, empty without a session;
        `method` is `requests` or `busyness`. Each selection needs a `release`.
        """
        now = time.monotonic()
        with self._lock:
            usable = [
                worker for worker in workers if worker.config.name not in excluded and worker.is_usable(now)
            ]
            # a session stays on its worker, even a disabled one
            sticky = [worker for worker in usable if route and worker.config.route == route]
            candidates = sticky or [worker for worker in usable if worker.activation == "active"]
            if not candidates:
                return None
            selected = min(candidates, key=_by_busyness if method == "busyness" else _by_requests)
            selected.busy += 1
            selected.sent += 1
            selected.probing = selected.suspected
            selected.weighted_requests += 1 / selected.config.factor
            if not sticky:
                _rebase(workers)
            return selected

    def release(self, worker: PooledWorker) -> None:
        """Record that a request is no longer in progress."""
        with self._lock:
            worker.busy -= 1

    def reactivate(self, worker: PooledWorker, workers: Collection[PooledWorker]) -> None:
        """Raise a worker's request count to the highest of all, before it is activated.

        Otherwise it would get every request until it had caught up with the others.
        """
        with self._lock:
            worker.weighted_requests = max((other.weighted_requests for other in workers), default=0.0)


def _by_requests(worker: PooledWorker) -> tuple[float, float]:
    return worker.weighted_requests, worker.weighted_requests


def _by_busyness(worker: PooledWorker) -> tuple[float, float]:
    return worker.busy / worker.config.factor, worker.weighted_requests


def _rebase(workers: Collection[PooledWorker]) -> None:
    minimum = min(worker.weighted_requests for worker in workers)
    if minimum > MAX_WEIGHTED_REQUESTS:
        for worker in workers:
            worker.weighted_requests -= minimum
