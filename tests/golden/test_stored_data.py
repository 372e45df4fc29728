"""Stored data of the recorded build can be read, and the program still writes the same.

`record(folder)` writes one store of each kind with a virtual clock. The recorded stores are opened, read and
changed, and their contents are compared with those that the program writes now.
"""

import json
import shutil
import sqlite3
from collections.abc import Iterator
from contextlib import closing
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest
from helpers import wait_until

from golden.recordings import as_json, load, path_of
from reelusher.core.messages import IdempotencyKey, KeyLockRequest, Result
from reelusher.fleet.replication.messages import LogEntry
from reelusher.fleet.replication.positions import first_term
from reelusher.fleet.replication.replica_store import PartitionState
from reelusher.fleet.replication.sqlite_replica import SqliteReplica
from reelusher.storage.directory import LockedDirectory
from reelusher.storage.frames import MAGIC, scan_frames
from reelusher.storage.key_log import KeyLog
from reelusher.storage.tenant_state import ChangeKind
from reelusher.tenancy import tenant_store
from reelusher.tenancy.tenant_store import TenantStore
from reelusher.upgrade.key_locks import KeyLockFiles
from reelusher.upgrade.process_registry import ProcessRegistry

GOLDEN = "stored.json"
FOLDER = "stored"
BY_CLASS_INDEX = "stored_by_class_index"  # keys and key locks of builds that named a class by its index
FROM_OLD_FILE = "stored_from_old_file.json"
CONTROL = ("c1", "c2")
START_MS, START_US = 1_700_000_000_000, 1_700_000_000_000_000
WINDOW_US = 20_000_000
RUNNING = IdempotencyKey("platform", "book-visit", "running")
ENDED = IdempotencyKey("clinic", "day-view", "ended")
FAILED = IdempotencyKey("", "lab-order", "failed")


def tenant(name: str, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "backend": "w",
        "hosts": [f"{name}.example"],
        "prefix": "/",
        "share": {"guarantee": 0.25, "weight": 2.0},
        **more,
    }


class Clock:
    """A virtual clock that advances by one millisecond at each call."""

    def __init__(self) -> None:
        self.now_ms = START_MS

    def __call__(self) -> int:
        self.now_ms += 1
        return self.now_ms


# Writing: each kind of store has its own folder


def write_tenants(folder: Path) -> None:
    """Write a snapshot of tenants, and a journal with later changes."""
    directory = LockedDirectory(folder)
    store = TenantStore(directory, Clock())
    store.change(ChangeKind.PUT, "clinic", "operator", tenant("clinic"), idempotency_key="key-1")
    store.change(ChangeKind.PUT, "ward", "token 2", tenant("ward", prefix="/ward"))
    store.change(ChangeKind.SET_STATE, "ward", "operator", state="suspended")
    assert store.journal is not None
    assert store.journal.compact()
    store.change(ChangeKind.PUT, "clinic", "operator", tenant("clinic", prefix="/new"))
    store.change(ChangeKind.PUT, "gone", "operator", tenant("gone"))
    store.change(ChangeKind.REMOVE, "gone", "operator")
    directory.close()


def write_keys(folder: Path) -> None:
    """Write a key log with keys that expire after one window or two, and one that is forgotten."""
    directory = LockedDirectory(folder)
    log = KeyLog(directory, lambda: START_US)
    done: list[bool] = []
    log.start()
    for number, key in enumerate((RUNNING, ENDED, FAILED)):
        log.persist(key, START_US + (number + 1) * WINDOW_US, bytes([number] * 8), done.append)
        assert wait_until(lambda number=number: len(done) == number + 1)  # type: ignore[misc]  # so each key has its own frame
    log.forget(FAILED)
    log.persist(IdempotencyKey("x", "day-view", "last"), START_US + WINDOW_US, b"last", done.append)
    assert wait_until(lambda: len(done) == 4)
    assert all(done)
    log.close()
    directory.close()


def write_key_locks(folder: Path) -> None:
    """Write the lock files of keys whose runs are running, succeeded and failed."""
    folder.mkdir()
    key_locks = KeyLockFiles(folder, "node 3", lambda: START_US)
    done: list[bool] = []
    key_locks.start()
    for key in (RUNNING, ENDED, FAILED):
        key_locks.acquire(
            KeyLockRequest(
                key,
                START_US,
                START_US + WINDOW_US,
                START_US + WINDOW_US // 2,
                "0a0b",
                done.append,
                lambda result: None,
            )
        )
    key_locks.complete(ENDED, Result(b"body \xff", 201, (("content-type", "text/plain"),)))
    key_locks.complete(FAILED, None)
    key_locks.release(IdempotencyKey("never", "day-view", "there"))
    lock_folder = folder / "node_3.keys"
    assert wait_until(
        lambda: sorted(state for state, _ in key_locks_in(lock_folder)) == ["failed", "ok", "runs"]
    )
    key_locks.close()


def key_locks_in(folder: Path) -> list[tuple[str, dict[str, Any]]]:
    """Return state and contents of each lock file."""
    contents = [
        json.loads(path.read_text()) for path in folder.iterdir() if path.name != "lock" and not path.suffix
    ]
    return [(key_lock["state"], key_lock) for key_lock in contents]


def replica_entries() -> list[LogEntry]:
    return [
        LogEntry(
            1, "clinic", START_MS, "operator", "active", msgspec.json.encode(tenant("clinic")), "key-1", 8
        ),
        LogEntry(
            2,
            "ward",
            START_MS + 1,
            "c2",
            "suspended",
            msgspec.json.encode(tenant("ward", prefix="/w")),
            "",
            8,
        ),
        LogEntry(3, "gone", START_MS + 2, "operator", "", b"", "key-2", 8),
        LogEntry(4, "odd", START_MS + 3, "operator", "active", b'{"name":"odd"}', "", 8),
    ]


def readable(name: str, _value: bytes) -> str:
    return "no backend" if name == "odd" else ""


def open_replica(path: Path) -> SqliteReplica:
    return SqliteReplica(path, "fleet-1", CONTROL, readable, wall_ms=lambda: START_MS)


def write_replica(folder: Path) -> None:
    """Write a replica with rows, a tombstone, an unreadable row, a divergent row and an audit trail."""
    folder.mkdir()
    replica = open_replica(folder / "tenants.db")
    first_state = PartitionState(first_term("c1", CONTROL), index=4, covered=4, goal=4)
    replica.apply("c1", replica_entries(), first_state, durable=True)
    other_state = PartitionState(
        first_term("c2", CONTROL),
        index=9,
        bases=((9, 2),),
        horizon=1,
        covered=9,
        goal=12,
        generation=3,
        restored=True,
    )
    divergent = LogEntry(
        11, "divergent", START_MS, "c2", "active", msgspec.json.encode(tenant("divergent")), "", 9
    )
    replica.apply("c2", [divergent], replace(other_state, index=11))
    replica.set_aside_divergent("c2", 9, other_state)
    replica.close()


WRITERS = {"tenants": write_tenants, "keys": write_keys, "claims": write_key_locks, "replica": write_replica}


# Reading


def frames(folder: Path) -> dict[str, Any]:
    """Return the frames, number and payload, of all journals and snapshots in a folder."""
    frames_by_file = {}
    for path in sorted(folder.iterdir()):
        data = path.read_bytes()
        assert data.startswith(MAGIC)
        frames_by_file[path.name] = [
            [frame.number, frame.payload.decode()] for frame in scan_frames(data).frames
        ]
    return frames_by_file


def tables(path: Path) -> Any:
    """Return schema, identifying pragmas and rows of a replica's file."""
    with closing(sqlite3.connect(path)) as connection:
        schema = connection.execute(
            "SELECT name, sql FROM sqlite_master WHERE sql NOT NULL ORDER BY name"
        ).fetchall()
        table_names = [
            name
            for (name,) in connection.execute(
                "SELECT name FROM sqlite_master WHERE type = 'table' ORDER BY name"
            )
        ]
        pragmas = [
            connection.execute(f"PRAGMA {name}").fetchone()[0] for name in ("application_id", "user_version")
        ]
        return as_json(
            {
                "schema": schema,
                "marks": pragmas,
                "rows": {
                    name: [
                        [value.decode() if isinstance(value, bytes) else value for value in row]
                        for row in connection.execute(f"SELECT * FROM {name} ORDER BY 1, 2")
                    ]
                    for name in table_names
                },
            }
        )


def stored_contents(folder: Path) -> Any:
    """Return the contents of each store in a folder that was written by `record`."""
    return as_json(
        {
            "tenants": frames(folder / "tenants"),
            "keys": frames(folder / "keys"),
            "claims": {
                path.name: path.read_text() for path in sorted((folder / "claims" / "node_3.keys").iterdir())
            },
            "replica": tables(folder / "replica" / "tenants.db"),
        }
    )


def record(folder: Path) -> None:
    """Write one store of each kind."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, writer in WRITERS.items():
        writer(folder / name)


@pytest.fixture
def recorded(tmp_path: Path) -> Iterator[Path]:
    """Return a copy of the recorded stores, which a test may change."""
    shutil.copytree(path_of(FOLDER), tmp_path / "recorded")
    return tmp_path / "recorded"  # type: ignore[return-value]


def test_stores_are_written_as_recorded(tmp_path: Path) -> None:
    record(tmp_path / "now")
    assert stored_contents(tmp_path / "now") == load(GOLDEN)


def test_recorded_tenants_are_read_and_changed(recorded: Path) -> None:
    directory = LockedDirectory(recorded / "tenants")
    store = TenantStore(directory, Clock())
    assert {
        name: (entry.state, entry.version, entry.tenant["prefix"])
        for name, entry in store.state.tenants.items()
    } == {"clinic": ("active", "4", "/new"), "ward": ("suspended", "3", "/ward")}
    assert [(entry.number, entry.kind, entry.name, entry.actor) for entry in store.audit(0, 100)] == [
        (1, "put", "clinic", "operator"),
        (2, "put", "ward", "token 2"),
        (3, "state", "ward", "operator"),
        (4, "put", "clinic", "operator"),
        (5, "put", "gone", "operator"),
        (6, "remove", "gone", "operator"),
    ]
    assert store.created_by("key-1") == "clinic"
    assert not store.is_new
    store.change(ChangeKind.SET_STATE, "ward", "operator", state="active")
    directory.close()
    assert frames(recorded / "tenants")["journal-3"][-1] == [
        7,
        f'{{"op":"state","name":"ward","who":"operator","at_ms":{START_MS + 1}}}',
    ]


def migrate_old_file(folder: Path, old_file: Path) -> Any:
    """Import an old state file into a new store; return the snapshot that is written, without its times."""
    tenant_store.open_store(folder, old_file, (), ("day-view",), frozenset({"w"}))
    snapshot = json.loads(frames(folder)["snapshot-2"][0][1])
    for entry in snapshot["audit"]:
        assert entry.pop("at_ms") > START_MS
        entry["who"] = Path(entry["who"]).name
    return snapshot


def test_old_state_file_is_migrated(recorded: Path) -> None:
    old_file = recorded / "state.json"
    assert migrate_old_file(recorded / "new", old_file) == load(FROM_OLD_FILE)
    assert not old_file.exists()
    assert old_file.with_name("state.json.migrated").exists()


def test_recorded_keys_are_live_until_their_windows_are_over(recorded: Path) -> None:
    directory = LockedDirectory(recorded / "keys")
    log = KeyLog(directory, lambda: START_US)
    assert {(entry.idempotency_key, entry.expires_us, entry.body_digest) for entry in log.unexpired()} == {
        (RUNNING, START_US + WINDOW_US, "00" * 8),
        (ENDED, START_US + 2 * WINDOW_US, "01" * 8),
        (("x", "day-view", "last"), START_US + WINDOW_US, b"last".hex()),
    }
    directory.close()
    directory = LockedDirectory(recorded / "keys")
    assert [
        entry.idempotency_key for entry in KeyLog(directory, lambda: START_US + WINDOW_US).unexpired()
    ] == [ENDED]
    directory.close()


def outcomes_in_another_process(folder: Path) -> dict[str, list[Any]]:
    """Request each recorded key lock, and return what each request was told until two were decided."""
    key_locks = KeyLockFiles(folder, "node 3", lambda: START_US + 1)
    results: dict[str, list[Any]] = {"running": [], "ended": [], "failed": []}
    key_locks.start()
    for key in (RUNNING, ENDED, FAILED):
        key_results = results[key[2]]
        key_locks.acquire(
            KeyLockRequest(
                key,
                START_US,
                START_US + WINDOW_US,
                START_US + 10,
                "0a0b",
                key_results.append,
                key_results.append,
            )
        )
    assert wait_until(lambda: results["ended"] and results["failed"])
    key_locks.close()
    return results


RECORDED_OUTCOMES = {
    "running": [],
    "failed": [None],
    "ended": [Result(b"body \xff", 201, (("content-type", "text/plain"),))],
}


def test_recorded_key_locks_keep_another_process_from_running_their_keys(recorded: Path) -> None:
    assert outcomes_in_another_process(recorded / "claims") == RECORDED_OUTCOMES


def test_key_locks_of_earlier_builds_keep_this_one_from_running_their_keys(tmp_path: Path) -> None:
    """Guard against a second run of a key that a build locked which named its class by an index."""
    shutil.copytree(path_of(BY_CLASS_INDEX), tmp_path / "recorded")
    assert outcomes_in_another_process(tmp_path / "recorded" / "claims") == RECORDED_OUTCOMES


def test_keys_stored_by_earlier_builds_count_for_every_class(tmp_path: Path) -> None:
    """Guard against a second run of a key that a build stored which named its class by an index."""
    shutil.copytree(path_of(BY_CLASS_INDEX), tmp_path / "recorded")
    directory = LockedDirectory(tmp_path / "recorded" / "keys")
    class_names = ("book-visit", "day-view")
    records = KeyLog(directory, lambda: START_US, class_names).unexpired()
    directory.close()
    assert {(record.idempotency_key, record.expires_us, record.body_digest) for record in records} == {
        ((tenant_name, class_name, key), START_US + windows * WINDOW_US, digest)
        for tenant_name, key, windows, digest in (
            ("platform", "running", 1, "00" * 8),
            ("clinic", "ended", 2, "01" * 8),
            ("x", "last", 1, b"last".hex()),
        )
        for class_name in class_names
    }


def test_processes_of_a_node_find_each_other_by_the_recorded_names(tmp_path: Path) -> None:
    """The file name orders processes by their start; the contents `ready` say that the process serves."""
    registry = ProcessRegistry(tmp_path, "node 3")
    registry.mark_ready()
    (process_file,) = tmp_path.iterdir()
    stem, start, process, suffix = process_file.name.split(".")
    assert (stem, suffix, process_file.read_bytes()) == ("node_3", "life", b"ready")
    assert len(start) == 20
    assert start.isdigit()
    assert process.isdigit()
    registry.close()


def test_a_recorded_replica_is_read_and_changed(recorded: Path) -> None:
    path = recorded / "replica" / "tenants.db"
    replica = open_replica(path)
    states = replica.states()
    assert states == {
        "c1": PartitionState(8, index=4, covered=4, goal=4),
        "c2": PartitionState(
            9, index=9, bases=((9, 2),), horizon=1, covered=9, goal=12, generation=3, restored=True
        ),
    }
    assert [(row.name, row.state, row.index, row.partition, row.unreadable) for row in replica.page()] == [
        ("clinic", "active", 1, "c1", ""),
        ("divergent", "active", 0, "c2", ""),
        ("odd", "active", 4, "c1", "no backend"),
        ("ward", "suspended", 2, "c1", ""),
    ]
    assert [(entry.name, entry.who, entry.index, entry.after_state) for entry in replica.audit()] == [
        ("clinic", "operator", 1, "active"),
        ("ward", "c2", 2, "suspended"),
        ("gone", "operator", 3, ""),
        ("odd", "operator", 4, "active"),
        ("divergent", "c2", 11, "active"),
    ]
    assert [(entry["name"], entry["revision"]) for entry in replica.divergent_rows()] == [("divergent", 11)]
    assert (
        replica.name_by_key("key-1"),
        replica.name_by_key("key-2"),
        replica.count(),
        replica.guarantee_sum(),
    ) == (
        "clinic",
        "gone",
        4,
        0.75,
    )
    found = replica.match("ward.example", "/w/x")
    assert found is not None
    assert found.name == "ward"
    changed = LogEntry(5, "ward", START_MS, "operator", "active", b"{}", "", 8)
    replica.apply("c1", [changed], replace(states["c1"], index=5, covered=5, goal=5), durable=True)
    replica.close()
    rows = tables(path)["rows"]
    assert [row[1:5] + row[6:8] for row in rows["rows"] if row[1] == "ward"] == [
        ["ward", 0, 5, 8, "active", "{}"]
    ]
    assert tables(path)["schema"] == load(GOLDEN)["replica"]["schema"]
