"""Scale tests of the local replica of the tenant table: filling, opening, a look-up, a change, memory."""

import multiprocessing
import tempfile
import time
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from reelusher.fleet.replication.messages import LogEntry
from reelusher.fleet.replication.positions import first_term, partition_of, sorted_control
from reelusher.fleet.replication.replica_store import PartitionState
from reelusher.fleet.replication.sqlite_replica import SqliteReplica
from reelusher.lab.capacity import site
from reelusher.lab.capacity.budgets import expected
from reelusher.lab.capacity.harness import Figures, Scale, cpu_us_per_call, require

FLEET, CONTROL = "reelusher", ("control-1", "control-2")
SEGMENT_ENTRIES = 200  # entries that are applied in one transaction
LOOKUPS = 200
_processes = multiprocessing.get_context("spawn")


def log_segments(
    size: int, control: tuple[str, ...], workers: int = 1
) -> Iterator[tuple[str, list[LogEntry]]]:
    """Yield the log entries of `size` tenants, in segments of one partition with ascending indexes."""
    segments: dict[str, list[LogEntry]] = {partition: [] for partition in control}
    last_indexes = dict.fromkeys(control, 0)
    for tenant_number in range(size):
        tenant = site.tenant(tenant_number, f"worker-{tenant_number % workers}")
        partition = partition_of(tenant["name"], control)
        last_indexes[partition] += 1
        segments[partition].append(
            LogEntry(
                last_indexes[partition],
                tenant["name"],
                1_700_000_000_000,
                "operator",
                "active",
                msgspec.json.encode(tenant),
                "",
                first_term(partition, control),
            )
        )
        if len(segments[partition]) == SEGMENT_ENTRIES:
            yield partition, segments[partition]
            segments[partition] = []
    yield from ((partition, segment) for partition, segment in segments.items() if segment)


def fill_replica(
    path: Path, size: int, fleet: str = FLEET, control: tuple[str, ...] = CONTROL, workers: int = 1
) -> None:
    """Fill a replica as a fresh machine does, in transactions that are not synced one by one."""
    control = sorted_control(control)
    replica = SqliteReplica(path, fleet, control)
    for partition, segment in log_segments(size, control, workers):
        last_index = segment[-1].index
        state = PartitionState(
            first_term(partition, control), last_index, covered=last_index, goal=last_index
        )
        replica.apply(partition, segment, state, durable=False)
    replica.close()


def _resident_bytes() -> int:
    return site.status_of(multiprocessing.current_process().pid or 0)["resident"]


def _measure_fill(size: int, folder: str) -> Figures:
    path = Path(folder) / "tenants.db"
    began_s = time.monotonic()
    fill_replica(path, size)
    fill_s = time.monotonic() - began_s
    return {
        "fill_s": fill_s,
        "file_mb": sum(file.stat().st_size for file in path.parent.glob("tenants.db*")) / 1e6,
    }


def _measure_open_replica(size: int, folder: str, pipe: Any) -> None:
    path = Path(folder) / "tenants.db"
    before, began_s = _resident_bytes(), time.monotonic()
    replica = SqliteReplica(path, FLEET, CONTROL)
    open_ms = (time.monotonic() - began_s) * 1000
    require(replica.count() == size, "rows are lost")
    random, control = Random(1), sorted_control(CONTROL)
    numbers = [random.randrange(size) for _ in range(LOOKUPS)]

    def look_up() -> None:
        for number in numbers:
            require(replica.match(f"tenant-{number}.example", "/visits/1"))

    def change() -> None:
        tenant = site.tenant(random.randrange(size)) | {"max_open": random.randrange(1, 1000)}
        partition = partition_of(tenant["name"], control)
        state = replica.states()[partition]
        log_index = state.index + 1
        replica.apply(
            partition,
            [
                LogEntry(
                    log_index,
                    tenant["name"],
                    1_700_000_000_000,
                    "operator",
                    "active",
                    msgspec.json.encode(tenant),
                    "",
                    state.term,
                )
            ],
            PartitionState(state.term, log_index, covered=log_index, goal=log_index),
        )

    match_us = cpu_us_per_call(look_up) / LOOKUPS
    began_s = time.monotonic()
    for _ in range(LOOKUPS):
        change()
    change_us = (time.monotonic() - began_s) / LOOKUPS * 1e6
    after = _resident_bytes()
    replica.close()
    pipe.send(
        {
            "open_ms": open_ms,
            "match_us": match_us,
            "change_us": change_us,
            "resident_mb": (after - before) / 1e6,
        }
    )


def _run_in_process(function: Callable[..., None], *arguments: Any) -> Figures:
    """Run a function in a process of its own and return the figures that it sends. Raises RuntimeError."""
    ours, theirs = _processes.Pipe()
    process = _processes.Process(target=function, args=(*arguments, theirs), daemon=True)
    process.start()
    theirs.close()
    try:
        figures: Figures = ours.recv()
    except EOFError:
        raise RuntimeError("the process ended without a result") from None
    finally:
        process.join()
    return figures


def measure_replica(size: int) -> Figures:
    """Measure a replica of `size` rows: filled in this process, opened and used in one of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return _measure_fill(size, folder) | _run_in_process(_measure_open_replica, size, folder)


SCALES = [
    partial(Scale, size_unit="tenants", target=expected("tenants"))(
        "tenants-copy",
        "the local copy of the table on disk, two writers' streams",
        sizes=(1000, 10_000, 60_000, 260_000),
        quick=(10, 20, 30, 40),
        measure=measure_replica,
        repeats=2,
        units={
            "fill_s": "s",
            "file_mb": "MB",
            "open_ms": "ms",
            "match_us": "µs",
            "change_us": "µs",
            "resident_mb": "MB",
        },
        notes=(
            "resident_mb: what opening, 200 look-ups and 200 changes add to a process",
            "change: synced, by the clock on the wall; this machine's disk",
            "filled from memory: no exchange between members is in it",
        ),
    )
]
