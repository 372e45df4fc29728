"""Scale tests of worker pools: memory, start, gauges, choice of a worker, threads and descriptors."""

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


def _ignore_message(message: Message) -> None:
    """Ignore a message of a pool."""


def create_pool(workers: tuple[Worker, ...]) -> WorkerPool:
    """Return a pool for which nothing is executed."""
    return WorkerPool(workers, (), 8, _ignore_message, Counters(), 1 << 20, lambda: 0, Random(1))


def measure_pool(size: int) -> Figures:
    """Measure a pool of `size` workers: configuration, memory, gauges, a choice of a worker, observations.

    A node posts the gauges ten times a second.
    """
    began_s = time.process_time()
    config = parse(site.operator_file(1, [("127.0.0.1", 1)] * size))
    check_s = time.process_time() - began_s
    gc.collect()
    tracemalloc.start()
    try:
        pool = create_pool(config.workers)
        gc.collect()
        allocated_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    pool.executor.shutdown()
    candidates = [pool.workers["worker-0"]]

    def pick() -> None:
        balancer = pool.load_balancer
        balancer.release(require(balancer.acquire(candidates, set(), "", "requests")))

    for worker in pool.workers.values():
        worker.observed_s = 1.0
    return {
        "check_s": check_s,
        "bytes_each": allocated_bytes / size,
        "gauges_us": cpu_us_per_call(lambda: pool.post_gauges("")),
        "pick_us": cpu_us_per_call(pick),
        "seen_ms": cpu_us_per_call(pool.observations) / 1000,
    }


def measure_threads(size: int) -> Figures:
    """Count the threads of a pool whose `size` workers are all in use, and the descriptors kept for them."""
    pool = create_pool(tuple(parse(site.operator_file(1, [("127.0.0.1", 1)] * size)).workers))
    threads_before = threading.active_count()
    release, started = threading.Event(), threading.Semaphore(0)

    def run() -> None:
        started.release()
        release.wait()

    connection_count = size * CONNECTIONS
    for _ in range(connection_count):
        pool.executor.submit(run)
    time.sleep(0.05)
    thread_count = threading.active_count() - threads_before
    release.set()
    pool.executor.shutdown()
    return {"threads": float(thread_count), "descriptors_kept": float(connection_count)}


_WORKER_SCALE = partial(Scale, size_unit="workers", target=expected("routes"))
SCALES = [
    _WORKER_SCALE(
        "workers-pool",
        "a node's pool of workers, none of them in use",
        sizes=(500, 1000, 2000, 4000),
        quick=(10, 20, 30, 40),
        measure=measure_pool,
        units={"check_s": "s", "bytes_each": "bytes", "gauges_us": "µs", "pick_us": "µs", "seen_ms": "ms"},
        notes=("one worker for each of the 41,000 routes is the most there can be",),
    ),
    _WORKER_SCALE(
        "workers-threads",
        "threads and descriptors of a pool whose workers are all in use",
        sizes=(4, 8, 16, 32, 64),
        quick=(1, 2, 3, 4),
        measure=measure_threads,
        repeats=1,
        units={"threads": "", "descriptors_kept": ""},
        notes=("16 connections for each worker; the example's figure",),
    ),
]
