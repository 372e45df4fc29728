"""Selects a worker for each request."""

import threading
import time
from collections.abc import Collection

from reelusher.backends.ajp.worker import PooledWorker

MAX_WEIGHTED_REQUESTS = 1e6  # after which the least of all is subtracted, so that differences stay exact


class LoadBalancer:
    """Selects by the fewest requests, or by the fewest in progress, each divided by a worker's factor."""

    def __init__(self) -> None:
        self._lock = threading.Lock()

    def acquire(
        self, workers: Collection[PooledWorker], excluded: Collection[str], route: str, method: str
    ) -> PooledWorker | None:
        """Select a worker and count the request as its own; None where there is none to be used."""
        now = time.monotonic()
        with self._lock:
            usable = [
                worker for worker in workers if worker.config.name not in excluded and worker.is_usable(now)
            ]
            # sessions stay where they are, also on a disabled worker
            sticky = [worker for worker in usable if route and worker.config.route == route]
            candidates = sticky or [worker for worker in usable if worker.activation == "active"]
            if not candidates:
                return None
            selected = min(candidates, key=_busyness if method == "busyness" else _requests)
            selected.busy += 1
            selected.sent += 1
            selected.probing = selected.suspected
            selected.weighted_requests += 1 / selected.config.factor
            if not sticky:
                _rebase(workers)
            return selected

    def release(self, worker: PooledWorker) -> None:
        """Count a request as over."""
        with self._lock:
            worker.busy -= 1

    def reactivate(self, worker: PooledWorker, workers: Collection[PooledWorker]) -> None:
        """Let a worker start level with the others: it must not be given all requests that it missed."""
        with self._lock:
            worker.weighted_requests = max((other.weighted_requests for other in workers), default=0.0)


def _requests(worker: PooledWorker) -> tuple[float, float]:
    return worker.weighted_requests, worker.weighted_requests


def _busyness(worker: PooledWorker) -> tuple[float, float]:
    return worker.busy / worker.config.factor, worker.weighted_requests


def _rebase(workers: Collection[PooledWorker]) -> None:
    least = min(worker.weighted_requests for worker in workers)
    if least > MAX_WEIGHTED_REQUESTS:
        for worker in workers:
            worker.weighted_requests -= least
