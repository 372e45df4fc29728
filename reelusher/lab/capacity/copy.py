"""The local copy of the replicated table: filling and opening it, a look-up, a change, memory."""

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
PIECE = 200  # entries that are taken at once
LOOKS = 200
_processes = multiprocessing.get_context("spawn")


def entries(size: int, control: tuple[str, ...], workers: int = 1) -> Iterator[tuple[str, list[LogEntry]]]:
    """Yield the entries of so many tenants, by stream, in pieces of ascending numbers."""
    pieces: dict[str, list[LogEntry]] = {stream: [] for stream in control}
    numbers = dict.fromkeys(control, 0)
    for number in range(size):
        told = site.tenant(number, f"worker-{number % workers}")
        stream = partition_of(told["name"], control)
        numbers[stream] += 1
        pieces[stream].append(
            LogEntry(
                numbers[stream],
                told["name"],
                1_700_000_000_000,
                "operator",
                "active",
                msgspec.json.encode(told),
                "",
                first_term(stream, control),
            )
        )
        if len(pieces[stream]) == PIECE:
            yield stream, pieces[stream]
            pieces[stream] = []
    yield from ((stream, piece) for stream, piece in pieces.items() if piece)


def filled(
    path: Path, size: int, fleet: str = FLEET, control: tuple[str, ...] = CONTROL, workers: int = 1
) -> None:
    """Fill a copy as a fresh machine does, in pieces that are not synced one by one."""
    control = sorted_control(control)
    copy = SqliteReplica(path, fleet, control)
    for stream, piece in entries(size, control, workers):
        upto = piece[-1].index
        state = PartitionState(first_term(stream, control), upto, covered=upto, goal=upto)
        copy.apply(stream, piece, state, durable=False)
    copy.close()


def _resident() -> int:
    return site.status_of(multiprocessing.current_process().pid or 0)["resident"]


def _filled(size: int, folder: str) -> Figures:
    path = Path(folder) / "tenants.db"
    began = time.monotonic()
    filled(path, size)
    fill_s = time.monotonic() - began
    return {
        "fill_s": fill_s,
        "file_mb": sum(one.stat().st_size for one in path.parent.glob("tenants.db*")) / 1e6,
    }


def _opened(size: int, folder: str, pipe: Any) -> None:
    path = Path(folder) / "tenants.db"
    before, began = _resident(), time.monotonic()
    copy = SqliteReplica(path, FLEET, CONTROL)
    open_ms = (time.monotonic() - began) * 1000
    require(copy.count() == size, "rows are lost")
    random, control = Random(1), sorted_control(CONTROL)
    numbers = [random.randrange(size) for _ in range(LOOKS)]

    def look() -> None:
        for number in numbers:
            require(copy.match(f"tenant-{number}.example", "/visits/1"))

    def change() -> None:
        told = site.tenant(random.randrange(size)) | {"max_open": random.randrange(1, 1000)}
        stream = partition_of(told["name"], control)
        state = copy.states()[stream]
        number = state.index + 1
        copy.apply(
            stream,
            [
                LogEntry(
                    number,
                    told["name"],
                    1_700_000_000_000,
                    "operator",
                    "active",
                    msgspec.json.encode(told),
                    "",
                    state.term,
                )
            ],
            PartitionState(state.term, number, covered=number, goal=number),
        )

    match_us = cpu_us_per_call(look) / LOOKS
    began = time.monotonic()
    for _ in range(LOOKS):
        change()
    change_us = (time.monotonic() - began) / LOOKS * 1e6
    after = _resident()
    copy.close()
    pipe.send(
        {
            "open_ms": open_ms,
            "match_us": match_us,
            "change_us": change_us,
            "resident_mb": (after - before) / 1e6,
        }
    )


def _apart(work: Callable[..., None], *given: Any) -> Figures:
    """Do something in a process of its own and return what it tells."""
    ours, theirs = _processes.Pipe()
    process = _processes.Process(target=work, args=(*given, theirs), daemon=True)
    process.start()
    theirs.close()
    try:
        told: Figures = ours.recv()
    except EOFError:
        raise RuntimeError("the process ended without a word") from None
    finally:
        process.join()
    return told


def copies(size: int) -> Figures:
    """Measure a copy of so many rows: filled here, opened and used in a process of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return _filled(size, folder) | _apart(_opened, size, folder)


SCALES = [
    partial(Scale, size_unit="tenants", target=expected("tenants"))(
        "tenants-copy",
        "the local copy of the table on disk, two writers' streams",
        sizes=(1000, 10_000, 60_000, 260_000),
        quick=(10, 20, 30, 40),
        measure=copies,
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
