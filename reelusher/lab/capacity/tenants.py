"""Scale tests of tenants and routes: the table in a node's memory, and a hosted node with all of them."""

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
from reelusher.lab.capacity.copy import fill_replica
from reelusher.lab.capacity.harness import Figures, Scale, cpu_us_per_call, require
from reelusher.lab.capacity.request import StandInProcess, measure_added_latency
from reelusher.tenancy.fair_queue import FairQueue
from reelusher.tenancy.lifecycle import TenantState
from reelusher.tenancy.registry import TenantRegistry

FEW_HOSTS, MANY_HOSTS = 50, 2000  # hosts that requests are for in turn: few and many
CHANGES = 20
COLD_FIGURES = "request_us", "refused", "added_p50_ms", "added_p99_ms"
REQUESTS_PER_S = 272.0
MEASURED_S = 6.0


class _NoRunner(BalancedRunner):
    """A runner that runs nothing."""

    def __init__(self) -> None:
        """Do not call the base class, which needs workers."""


def create_registry(config: Config) -> TenantRegistry:
    """Return the tenant registry that a node builds from a configuration, without the rest of the node."""
    operator_config = require(config.operator)
    fair_queue = FairQueue(config.settings.cores, config.settings.memory_kb)
    runner = _NoRunner()
    core = Core(
        config.settings,
        config.gauges,
        1,
        runner,
        None,
        config.class_names,
        counters=Counters(),
        scheduler=fair_queue,
    )
    entries = [(tenant, TenantState.ACTIVE) for tenant in operator_config.tenants]
    return TenantRegistry(
        entries, operator_config.class_names, lambda name: runner, core, fair_queue, frozenset({"worker-0"})
    )


def measure_table(size: int) -> Figures:
    """Measure the table in memory: checking its file, building it, a look-up and a change."""
    began_s = time.process_time()
    config = site.config(size)
    check_s = time.process_time() - began_s
    gc.collect()
    began_s = time.process_time()
    registry = create_registry(config)
    build_s = time.process_time() - began_s
    random, number = Random(1), 0
    hosts = [f"tenant-{random.randrange(size)}.example" for _ in range(FEW_HOSTS)]

    def look_up() -> None:
        for host in hosts:
            require(registry.match("GET", host, "/visits/1"))

    def change() -> None:
        nonlocal number
        number = (number + 7919) % size
        tenant = require(registry.get(f"tenant-{number}"))
        registry.check(tenant)
        registry.put(tenant)

    return {
        "check_s": check_s,
        "start_s": build_s,
        "look_up_us": cpu_us_per_call(look_up) / FEW_HOSTS,
        "change_us": cpu_us_per_call(change),
    }


def measure_memory(size: int) -> Figures:
    """Measure the memory of the configuration after its file was read, and of the registry built from it."""
    gc.collect()
    tracemalloc.start()
    try:
        config = site.config(size)
        gc.collect()
        config_bytes = tracemalloc.get_traced_memory()[0]
        registry = create_registry(config)
        gc.collect()
        total_bytes = tracemalloc.get_traced_memory()[0]
        require(registry.get("tenant-0"))
    finally:
        tracemalloc.stop()
    return {"read_mb": config_bytes / 1e6, "table_mb": (total_bytes - config_bytes) / 1e6}


def _random_hosts(size: int, count: int) -> list[str]:
    random = Random(f"{size} {count}")
    return [f"tenant-{random.randrange(size)}.example" for _ in range(count)]


def _measure_node(
    operator_file: dict[str, Any], size: int, folder: Path, worker: site.Address, cold: bool
) -> Figures:
    """Measure a node: start, memory, a change over the API, and requests in an open loop.

    `cold`: also measure requests for so many tenants that hardly one of them was used recently.
    """
    with site.hosted_node(operator_file, folder) as hosted:
        pid = hosted.process.pid
        resident = site.status_of(pid)["resident"]
        change_times_ms = []
        for number in range(0, size, max(1, size // CHANGES)):
            began_s = time.monotonic()
            response = hosted.call("PATCH", f"/v1/tenants/tenant-{number}", b'{"max_open": 100}')
            change_times_ms.append((time.monotonic() - began_s) * 1000)
            require(response.start[1] == "200", response.body.decode(errors="replace"))
        few = measure_added_latency(
            hosted, worker, REQUESTS_PER_S, MEASURED_S, _random_hosts(size, FEW_HOSTS)
        )
        many = (
            measure_added_latency(hosted, worker, REQUESTS_PER_S, MEASURED_S, _random_hosts(size, MANY_HOSTS))
            if cold
            else {}
        )
        resident_after = site.status_of(pid)["resident"]
    change_times_ms.sort()
    return {
        "ready_s": hosted.ready_s,
        "resident_mb": resident / 1e6,
        "later_mb": resident_after / 1e6,
        "change_ms": change_times_ms[len(change_times_ms) // 2],
        "request_us": few["request_us"],
        "waited_us": few["waited_us"],
        "refused": few["refused"],
        "added_p50_ms": few["added_p50_ms"],
        "added_p99_ms": few["added_p99_ms"],
        **{f"cold_{name}": many[name] for name in COLD_FIGURES if many},
    }


def measure_node_with_file(size: int) -> Figures:
    """Measure a node with its tenants in the operator's file."""
    with tempfile.TemporaryDirectory() as name, StandInProcess() as worker:
        return _measure_node(
            site.operator_file(size, [worker.address]), size, Path(name), worker.address, cold=False
        )


def measure_node_with_replica(size: int) -> Figures:
    """Measure a node with its tenants in a local replica, as the only control member."""
    with tempfile.TemporaryDirectory() as name, StandInProcess() as worker:
        operator_file, path = site.operator_file(0, [worker.address]), Path(name) / "tenants.db"
        del operator_file["tenants"]
        operator_file["replication"] = {"copy": str(path), "control": [operator_file["node"]["name"]]}
        fill_replica(path, size, "", (operator_file["node"]["name"],))
        return _measure_node(operator_file, size, Path(name), worker.address, cold=True)


_NODE_UNITS = {
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
_NODE_NOTES = (
    "added: over what the stand-in worker alone gives to the same client in the same round, if served",
    "refused: part of the requests, of 50 tenants by turns; later_mb: after all requests",
    "waited: the node's threads were ready and had no core: the machine's load, none of the node's",
)
_COLD_NOTES = ("cold: requests of 2,000 tenants by turns, hardly one of which was asked for of late",)
_TENANT_SCALE = partial(Scale, size_unit="tenants", target=expected("tenants"))
SCALES = [
    _TENANT_SCALE(
        "tenants-table",
        "the tenants in a node's memory, those of the operator's file",
        sizes=(1000, 8000, 60_000, 260_000),
        quick=(50, 100, 200, 400),
        measure=measure_table,
        units={"check_s": "s", "start_s": "s", "look_up_us": "µs", "change_us": "µs"},
        notes=("processor time; one of six tenants has a route, as 41,000 of 260,000",),
    ),
    _TENANT_SCALE(
        "tenants-memory",
        "bytes of the same, by the allocator's count",
        sizes=(1000, 4000, 16_000, 64_000),
        quick=(20, 40, 60, 80),
        measure=measure_memory,
        repeats=1,
        units={"read_mb": "MB", "table_mb": "MB"},
    ),
    _TENANT_SCALE(
        "tenants-node",
        "a hosted node with all tenants in its operator's file, 272 requests a second",
        sizes=(10, 1000, 5000, 20_000),
        quick=(10,),
        measure=measure_node_with_file,
        cheap=False,
        units=_NODE_UNITS,
        notes=_NODE_NOTES,
    ),
    _TENANT_SCALE(
        "tenants-node-copy",
        "a hosted node with all tenants in its local copy, 272 requests a second",
        sizes=(100, 1000, 20_000, 260_000),
        quick=(10,),
        measure=measure_node_with_replica,
        cheap=False,
        units={**_NODE_UNITS, **{f"cold_{name}": _NODE_UNITS[name] for name in COLD_FIGURES}},
        notes=_NODE_NOTES + _COLD_NOTES,
    ),
]
