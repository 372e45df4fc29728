"""Tenants and routes: the table in a node's memory, and a whole node with them in its operator's file."""

import gc
import tempfile
import time
import tracemalloc
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from reelusher.backends.ajp.worker_pool import BalancedRunner
from reelusher.config.load import Config
from reelusher.core.counters import Counters
from reelusher.core.event_loop import Core
from reelusher.lab.capacity import site
from reelusher.lab.capacity.budgets import expected
from reelusher.lab.capacity.copy import filled
from reelusher.lab.capacity.harness import Figures, Scale, cpu_us_per_call, require
from reelusher.lab.capacity.request import StandInProcess, rounds
from reelusher.tenancy.fair_queue import FairQueue
from reelusher.tenancy.lifecycle import TenantState
from reelusher.tenancy.registry import TenantRegistry

LOOKS, MANY = 50, 2000  # hosts that are asked for in turn
CHANGES = 20
COLD = "request_us", "refused", "added_p50_ms", "added_p99_ms"
RATE = 272.0
SECONDS = 6.0


class _Nobody(BalancedRunner):
    """Runs nothing."""

    def __init__(self) -> None:
        """Need no workers."""


def table_of(made: Config) -> TenantRegistry:
    """Return the tenants of a configuration as a node holds them, without a node round them."""
    own = require(made.operator)
    shares = FairQueue(made.settings.cores, made.settings.memory_kb)
    nobody = _Nobody()
    core = Core(
        made.settings, made.gauges, 1, nobody, None, made.class_names, counters=Counters(), scheduler=shares
    )
    entries = [(one, TenantState.ACTIVE) for one in own.tenants]
    return TenantRegistry(
        entries, own.class_names, lambda name: nobody, core, shares, frozenset({"worker-0"})
    )


def table(size: int) -> Figures:
    """Measure the table in memory: a look-up, a change, a start, bytes."""
    began = time.process_time()
    made = site.config(size)
    checked_s = time.process_time() - began
    gc.collect()
    began = time.process_time()
    tenants = table_of(made)
    built_s = time.process_time() - began
    random, number = Random(1), 0
    hosts = [f"tenant-{random.randrange(size)}.example" for _ in range(LOOKS)]

    def look() -> None:
        for host in hosts:
            require(tenants.match("GET", host, "/visits/1"))

    def change() -> None:
        nonlocal number
        number = (number + 7919) % size
        found = require(tenants.get(f"tenant-{number}"))
        tenants.check(found)
        tenants.put(found)

    return {
        "check_s": checked_s,
        "start_s": built_s,
        "look_up_us": cpu_us_per_call(look) / LOOKS,
        "change_us": cpu_us_per_call(change),
    }


def memory(size: int) -> Figures:
    """Measure the bytes of the table: what reading the file leaves, and what the table adds."""
    gc.collect()
    tracemalloc.start()
    try:
        made = site.config(size)
        gc.collect()
        read = tracemalloc.get_traced_memory()[0]
        tenants = table_of(made)
        gc.collect()
        held = tracemalloc.get_traced_memory()[0]
        require(tenants.get("tenant-0"))
    finally:
        tracemalloc.stop()
    return {"read_mb": read / 1e6, "table_mb": (held - read) / 1e6}


def _asked(size: int, count: int) -> list[str]:
    random = Random(f"{size} {count}")
    return [f"tenant-{random.randrange(size)}.example" for _ in range(count)]


def _node(file: dict[str, Any], size: int, folder: Path, worker: site.Address, cold: bool) -> Figures:
    """Measure a node: ready, resident, a change over the API, and requests in an open loop.

    `cold`: then also requests of so many tenants that hardly one was asked for of late.
    """
    with site.hosted_node(file, folder) as made:
        pid = made.process.pid
        resident = site.status_of(pid)["resident"]
        took_ms = []
        for number in range(0, size, max(1, size // CHANGES)):
            began = time.monotonic()
            answer = made.call("PATCH", f"/v1/tenants/tenant-{number}", b'{"max_open": 100}')
            took_ms.append((time.monotonic() - began) * 1000)
            require(answer.start[1] == "200", answer.body.decode(errors="replace"))
        told = rounds(made, worker, RATE, SECONDS, _asked(size, LOOKS))
        more = rounds(made, worker, RATE, SECONDS, _asked(size, MANY)) if cold else {}
        later = site.status_of(pid)["resident"]
    took_ms.sort()
    return {
        "ready_s": made.ready_s,
        "resident_mb": resident / 1e6,
        "later_mb": later / 1e6,
        "change_ms": took_ms[len(took_ms) // 2],
        "request_us": told["request_us"],
        "waited_us": told["waited_us"],
        "refused": told["refused"],
        "added_p50_ms": told["added_p50_ms"],
        "added_p99_ms": told["added_p99_ms"],
        **{f"cold_{name}": more[name] for name in COLD if more},
    }


def node_of_file(size: int) -> Figures:
    """Measure a node that has its tenants from the operator's file."""
    with tempfile.TemporaryDirectory() as name, StandInProcess() as worker:
        return _node(site.operator_file(size, [worker.address]), size, Path(name), worker.address, cold=False)


def node_of_copy(size: int) -> Figures:
    """Measure a node that has its tenants in a local copy, whose only writer it is itself."""
    with tempfile.TemporaryDirectory() as name, StandInProcess() as worker:
        file, path = site.operator_file(0, [worker.address]), Path(name) / "tenants.db"
        del file["tenants"]
        file["replication"] = {"copy": str(path), "control": [file["node"]["name"]]}
        filled(path, size, "", (file["node"]["name"],))
        return _node(file, size, Path(name), worker.address, cold=True)


_UNITS = {
    "ready_s": "s",
    "resident_mb": "MB",
    "later_mb": "MB",
    "change_ms": "ms",
    "request_us": "µs",
    "waited_us": "µs",
    "refused": "",
    "added_p50_ms": "ms",
    "added_p99_ms": "ms",
}
_NOTES = (
    "added: over what the stand-in worker alone gives to the same client in the same round, if served",
    "refused: part of the requests, of 50 tenants by turns; later_mb: after all requests",
    "waited: the node's threads were ready and had no core: the machine's load, none of the node's",
)
_COLD = ("cold: requests of 2,000 tenants by turns, hardly one of which was asked for of late",)
_OF = partial(Scale, size_unit="tenants", target=expected("tenants"))
SCALES = [
    _OF(
        "tenants-table",
        "the tenants in a node's memory, those of the operator's file",
        sizes=(1000, 8000, 60_000, 260_000),
        quick=(50, 100, 200, 400),
        measure=table,
        units={"check_s": "s", "start_s": "s", "look_up_us": "µs", "change_us": "µs"},
        notes=("processor time; one of six tenants has a route, as 41,000 of 260,000",),
    ),
    _OF(
        "tenants-memory",
        "bytes of the same, by the allocator's count",
        sizes=(1000, 4000, 16_000, 64_000),
        quick=(20, 40, 60, 80),
        measure=memory,
        repeats=1,
        units={"read_mb": "MB", "table_mb": "MB"},
    ),
    _OF(
        "tenants-node",
        "a hosted node with all tenants in its operator's file, 272 requests a second",
        sizes=(10, 1000, 5000, 20_000),
        quick=(10,),
        measure=node_of_file,
        cheap=False,
        units=_UNITS,
        notes=_NOTES,
    ),
    _OF(
        "tenants-node-copy",
        "a hosted node with all tenants in its local copy, 272 requests a second",
        sizes=(100, 1000, 20_000, 260_000),
        quick=(10,),
        measure=node_of_copy,
        cheap=False,
        units={**_UNITS, **{f"cold_{name}": _UNITS[name] for name in COLD}},
        notes=_NOTES + _COLD,
    ),
]
