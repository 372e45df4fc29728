"""Workers: what a pool of many takes in a node, and what a fleet of nodes does to one worker."""

import gc
import threading
import time
import tracemalloc
from functools import partial
from random import Random

from reelusher.backends.ajp.worker_pool import WorkerPool
from reelusher.config.operator.file import parse
from reelusher.config.operator.workers import Worker
from reelusher.core.counters import Counters
from reelusher.core.messages import Message
from reelusher.lab.capacity import site
from reelusher.lab.capacity.budgets import expected
from reelusher.lab.capacity.harness import Figures, Scale, cpu_us_per_call, require

CONNECTIONS = 16


def _heard(message: Message) -> None:
    """Take what a pool tells."""


def pool_of(workers: tuple[Worker, ...]) -> WorkerPool:
    """Return a pool that runs nothing."""
    return WorkerPool(workers, (), 8, _heard, Counters(), 1 << 20, lambda: 0, Random(1))


def pool(size: int) -> Figures:
    """Measure a pool of workers: bytes, a start, gauges (ten times a second), a choice, facts told."""
    began = time.process_time()
    made = parse(site.operator_file(1, [("127.0.0.1", 1)] * size))
    checked_s = time.process_time() - began
    gc.collect()
    tracemalloc.start()
    try:
        measured = pool_of(made.workers)
        gc.collect()
        held = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    measured.executor.shutdown()
    one = [measured.workers["worker-0"]]

    def pick() -> None:
        balancer = measured.load_balancer
        balancer.release(require(balancer.acquire(one, set(), "", "requests")))

    for worker in measured.workers.values():
        worker.observed_s = 1.0
    return {
        "check_s": checked_s,
        "bytes_each": held / size,
        "gauges_us": cpu_us_per_call(lambda: measured.post_gauges("")),
        "pick_us": cpu_us_per_call(pick),
        "seen_ms": cpu_us_per_call(measured.observations) / 1000,
    }


def threads(size: int) -> Figures:
    """Count the threads that a pool of so many workers takes once all are in use, and what is kept open."""
    made = pool_of(tuple(parse(site.operator_file(1, [("127.0.0.1", 1)] * size)).workers))
    before = threading.active_count()
    release, begun = threading.Event(), threading.Semaphore(0)

    def run() -> None:
        begun.release()
        release.wait()

    most = size * CONNECTIONS
    for _ in range(most):
        made.executor.submit(run)
    time.sleep(0.05)
    found = threading.active_count() - before
    release.set()
    made.executor.shutdown()
    return {"threads": float(found), "descriptors_kept": float(most)}


_OF = partial(Scale, size_unit="workers", target=expected("routes"))
SCALES = [
    _OF(
        "workers-pool",
        "a node's pool of workers, none of them in use",
        sizes=(500, 1000, 2000, 4000),
        quick=(10, 20, 30, 40),
        measure=pool,
        units={"check_s": "s", "bytes_each": "bytes", "gauges_us": "µs", "pick_us": "µs", "seen_ms": "ms"},
        notes=("one worker for each of the 41,000 routes is the most there can be",),
    ),
    _OF(
        "workers-threads",
        "threads and descriptors of a pool whose workers are all in use",
        sizes=(4, 8, 16, 32, 64),
        quick=(1, 2, 3, 4),
        measure=threads,
        repeats=1,
        units={"threads": "", "descriptors_kept": ""},
        notes=("16 connections for each worker; the example's figure",),
    ),
]
