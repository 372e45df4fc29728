"""Memory and processor time of idempotency keys, kept results, tenants' accounts and counters, by number."""

import gc
import tracemalloc
from collections.abc import Callable
from functools import partial
from typing import Any

from reelusher.core.counters import Counters
from reelusher.core.idempotency_table import IdempotencyTable
from reelusher.core.messages import IdempotencyKey, Result
from reelusher.lab.capacity.budgets import expected
from reelusher.lab.capacity.harness import Figures, Scale, cpu_us_per_call, require
from reelusher.policy.events import Request
from reelusher.tenancy.fair_queue import FairQueue
from reelusher.tenancy.quota import Quota

# a key is kept for its window and then for the longest deadline, as a late retry may still use it
WINDOW_US, LONGEST_DEADLINE_US = 22_971_000, 7_700_000
RESULT_BYTES = 1000  # of the body of a kept result


def allocated_bytes(build: Callable[[], Any]) -> tuple[float, Any]:
    """Return the bytes that remain allocated after a call, by `tracemalloc`, and the result of the call."""
    gc.collect()
    tracemalloc.start()
    try:
        result = build()
        gc.collect()
        return float(tracemalloc.get_traced_memory()[0]), result
    finally:
        tracemalloc.stop()


def measure_key_window(size: int) -> Figures:
    """Measure a table of `size` idempotency keys: its memory, that of its results, and a sweep."""

    def fill_table() -> IdempotencyTable:
        table = IdempotencyTable(LONGEST_DEADLINE_US, 1 << 40)
        for number in range(size):
            table.put(
                IdempotencyKey(f"tenant-{number % 100}", "visits", f"key-{number:016x}"),
                number,
                WINDOW_US + number,
                b"%016d" % number,
            )
        return table

    def store_results() -> None:
        for number in range(size):
            table.store_result(require(table.entry_of(number)), Result(b"%0*d" % (RESULT_BYTES, number)))

    table_bytes, table = allocated_bytes(fill_table)
    result_bytes, _ = allocated_bytes(store_results)
    return {
        "key_bytes": table_bytes / size,
        "result_bytes": result_bytes / size,
        "sweep_ms": cpu_us_per_call(lambda: table.remove_expired(0, lambda holder: False)) / 1000,
    }


def measure_accounts(size: int) -> Figures:
    """Measure the fair queue's accounts of `size` tenants, and the counters of each of them."""

    def create_accounts() -> FairQueue:
        queue = FairQueue(8, 65_536.0)
        for number in range(size):
            queue.set_quota(number, Quota())
        return queue

    def request_from_each() -> None:
        for number in range(size):
            fair_queue.request_arrived(Request(number, 0, tenant=number), 0)

    def count_for_each() -> Counters:
        counters = Counters()
        for number in range(size):
            counters.add_for(f"tenant-{number}", "served")
        return counters

    account_bytes, fair_queue = allocated_bytes(create_accounts)
    counter_bytes, counters = allocated_bytes(count_for_each)
    request_from_each()
    return {
        "account_bytes": account_bytes / size,
        "counters_kb": counter_bytes / 1000,
        "snapshot_ms": cpu_us_per_call(counters.snapshot) / 1000,
        "line_kb": len(str(counters.summary())) / 1000,
        "period_us": cpu_us_per_call(lambda: fair_queue.period_elapsed(0)),
    }


SCALES = [
    partial(
        Scale,
        size_unit="keys",
        target=expected("node_requests_per_s") * (WINDOW_US + LONGEST_DEADLINE_US) / 1e6,
    )(
        "keys-window",
        "keys of keyed requests, kept for their window and the longest deadline",
        sizes=(1000, 2000, 4000, 8000, 16_000),
        quick=(50, 100, 200, 400),
        measure=measure_key_window,
        units={"key_bytes": "bytes", "result_bytes": "bytes", "sweep_ms": "ms"},
        notes=("results of 1,000 bytes; at 272 a second, were all of them keyed, 8,342 keys",),
    ),
    partial(Scale, size_unit="tenants", target=expected("tenants"))(
        "tenants-accounts",
        "accounts of tenants and their counters",
        sizes=(1000, 2000, 4000, 8000, 16_000),
        quick=(50, 100, 200, 400),
        measure=measure_accounts,
        units={
            "account_bytes": "bytes",
            "counters_kb": "KB",
            "snapshot_ms": "ms",
            "line_kb": "KB",
            "period_us": "µs",
        },
        notes=("all tenants ask; line: of the log, that a drain ends with",),
    ),
]
