"""Keyed windows, kept results, accounts of tenants and counters: bytes by how many there are."""

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

WINDOW_US, TAIL_US = 22_971_000, 7_700_000
RESULT_BYTES = 1000


def bytes_of(make: Callable[[], Any]) -> tuple[float, Any]:
    """Return the bytes that something leaves, by the allocator's count, and what it made."""
    gc.collect()
    tracemalloc.start()
    try:
        made = make()
        gc.collect()
        return float(tracemalloc.get_traced_memory()[0]), made
    finally:
        tracemalloc.stop()


def window(size: int) -> Figures:
    """Measure a table that keeps so many keys, with results and without, and a sweep (once a second)."""

    def keep() -> IdempotencyTable:
        table = IdempotencyTable(TAIL_US, 1 << 40)
        for number in range(size):
            table.put(
                IdempotencyKey(f"tenant-{number % 100}", 1, f"key-{number:016x}"),
                number,
                WINDOW_US + number,
                b"%016d" % number,
            )
        return table

    def answered() -> None:
        for number in range(size):
            table.store_result(require(table.entry_of(number)), Result(b"%0*d" % (RESULT_BYTES, number)))

    held, table = bytes_of(keep)
    results, _ = bytes_of(answered)
    return {
        "key_bytes": held / size,
        "result_bytes": results / size,
        "sweep_ms": cpu_us_per_call(lambda: table.remove_expired(0, lambda holder: False)) / 1000,
    }


def accounts(size: int) -> Figures:
    """Measure the accounts of so many tenants, and the counters that each of them gets."""

    def entitle() -> FairQueue:
        shares = FairQueue(8, 65_536.0)
        for number in range(size):
            shares.set_quota(number, Quota())
        return shares

    def asked() -> None:
        for number in range(size):
            made.request_arrived(Request(number, 0, tenant=number), 0)

    def count() -> Counters:
        counters = Counters()
        for number in range(size):
            counters.add_for(f"tenant-{number}", "served")
        return counters

    held, made = bytes_of(entitle)
    counted, counters = bytes_of(count)
    asked()
    return {
        "account_bytes": held / size,
        "counters_kb": counted / 1000,
        "snapshot_ms": cpu_us_per_call(counters.snapshot) / 1000,
        "line_kb": len(str(counters.summary())) / 1000,
        "period_us": cpu_us_per_call(lambda: made.period_elapsed(0)),
    }


SCALES = [
    partial(Scale, size_unit="keys", target=expected("node_requests_per_s") * (WINDOW_US + TAIL_US) / 1e6)(
        "keys-window",
        "keys of keyed requests, kept for their window and the longest deadline",
        sizes=(1000, 2000, 4000, 8000, 16_000),
        quick=(50, 100, 200, 400),
        measure=window,
        units={"key_bytes": "bytes", "result_bytes": "bytes", "sweep_ms": "ms"},
        notes=("results of 1,000 bytes; at 272 a second, were all of them keyed, 8,342 keys",),
    ),
    partial(Scale, size_unit="tenants", target=expected("tenants"))(
        "tenants-accounts",
        "accounts of tenants and their counters",
        sizes=(1000, 2000, 4000, 8000, 16_000),
        quick=(50, 100, 200, 400),
        measure=accounts,
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
