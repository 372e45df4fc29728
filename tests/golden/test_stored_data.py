"""Stored data of the recorded build: what it wrote is read, and what is written now is the same.

`record(folder)` writes one of each kind of stored data with a clock of its own. The recorded copies are
opened, read, changed, and compared with what the program writes when it makes the same changes.
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
FROM_OLD_FILE = "stored_from_old_file.json"
CONTROL = ("c1", "c2")
START_MS, START_US = 1_700_000_000_000, 1_700_000_000_000_000
WINDOW_US = 20_000_000
RUNNING = IdempotencyKey("platform", 2, "running")
ENDED = IdempotencyKey("clinic", 0, "ended")
FAILED = IdempotencyKey("", 1, "failed")


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
    """Milliseconds that go on by one with each look."""

    def __init__(self) -> None:
        self.now_ms = START_MS

    def __call__(self) -> int:
        self.now_ms += 1
        return self.now_ms


# Writing, each kind in a folder of its own


def write_tenants(folder: Path) -> None:
    """Write a snapshot and a journal after it."""
    disk = LockedDirectory(folder)
    made = TenantStore(disk, Clock())
    made.change(ChangeKind.PUT, "clinic", "operator", tenant("clinic"), idempotency_key="key-1")
    made.change(ChangeKind.PUT, "ward", "token 2", tenant("ward", prefix="/ward"))
    made.change(ChangeKind.SET_STATE, "ward", "operator", state="suspended")
    assert made.journal is not None
    assert made.journal.compact()
    made.change(ChangeKind.PUT, "clinic", "operator", tenant("clinic", prefix="/new"))
    made.change(ChangeKind.PUT, "gone", "operator", tenant("gone"))
    made.change(ChangeKind.REMOVE, "gone", "operator")
    disk.close()


def write_keys(folder: Path) -> None:
    """Write a key log with keys that are live, over, and taken back."""
    disk = LockedDirectory(folder)
    log = KeyLog(disk, lambda: START_US)
    done: list[bool] = []
    log.start()
    for number, key in enumerate((RUNNING, ENDED, FAILED)):
        log.persist(key, START_US + (number + 1) * WINDOW_US, bytes([number] * 8), done.append)
        assert wait_until(lambda number=number: len(done) == number + 1)  # type: ignore[misc]  # one frame each
    log.forget(FAILED)
    log.persist(IdempotencyKey("x", 0, "last"), START_US + WINDOW_US, b"last", done.append)
    assert wait_until(lambda: len(done) == 4)
    assert all(done)
    log.close()
    disk.close()


def write_claims(folder: Path) -> None:
    """Write claims of keys whose runs go on, ended well, and failed."""
    folder.mkdir()
    claims = KeyLockFiles(folder, "node 3", lambda: START_US)
    done: list[bool] = []
    claims.start()
    for key in (RUNNING, ENDED, FAILED):
        claims.acquire(
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
    claims.complete(ENDED, Result(b"body \xff", 201, (("content-type", "text/plain"),)))
    claims.complete(FAILED, None)
    claims.release(IdempotencyKey("never", 0, "there"))
    kept = folder / "node_3.keys"
    assert wait_until(lambda: sorted(state for state, _ in claims_in(kept)) == ["failed", "ok", "runs"])
    claims.close()


def claims_in(folder: Path) -> list[tuple[str, dict[str, Any]]]:
    found = [
        json.loads(path.read_text()) for path in folder.iterdir() if path.name != "lock" and not path.suffix
    ]
    return [(claim["state"], claim) for claim in found]


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
    """Write a replica with rows, a tombstone, a row that can't be served, one kept aside, and a trail."""
    folder.mkdir()
    copy = open_replica(folder / "tenants.db")
    first = PartitionState(first_term("c1", CONTROL), index=4, covered=4, goal=4)
    copy.apply("c1", replica_entries(), first, durable=True)
    other = PartitionState(
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
    copy.apply("c2", [divergent], replace(other, index=11))
    copy.set_aside_divergent("c2", 9, other)
    copy.close()


WRITERS = {"tenants": write_tenants, "keys": write_keys, "claims": write_claims, "replica": write_replica}


# Reading


def frames(folder: Path) -> dict[str, Any]:
    """Return the payloads of all journals and snapshots of a folder."""
    found = {}
    for path in sorted(folder.iterdir()):
        data = path.read_bytes()
        assert data.startswith(MAGIC)
        found[path.name] = [[frame.number, frame.payload.decode()] for frame in scan_frames(data).frames]
    return found


def tables(path: Path) -> Any:
    """Return schema and rows of a replica's file."""
    with closing(sqlite3.connect(path)) as conn:
        schema = conn.execute(
            "SELECT name, sql FROM sqlite_master WHERE sql NOT NULL ORDER BY name"
        ).fetchall()
        names = [
            name
            for (name,) in conn.execute("SELECT name FROM sqlite_master WHERE type = 'table' ORDER BY name")
        ]
        marks = [conn.execute(f"PRAGMA {name}").fetchone()[0] for name in ("application_id", "user_version")]
        return as_json(
            {
                "schema": schema,
                "marks": marks,
                "rows": {
                    name: [
                        [value.decode() if isinstance(value, bytes) else value for value in row]
                        for row in conn.execute(f"SELECT * FROM {name} ORDER BY 1, 2")
                    ]
                    for name in names
                },
            }
        )


def written_by(folder: Path) -> Any:
    """Return what each kind of stored data consists of, beside a folder that `record` filled."""
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
    """Write one of each kind of stored data."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, writer in WRITERS.items():
        writer(folder / name)


@pytest.fixture
def recorded(tmp_path: Path) -> Iterator[Path]:
    """Return a copy of the recorded folders, which a test may change."""
    shutil.copytree(path_of(FOLDER), tmp_path / "recorded")
    return tmp_path / "recorded"  # type: ignore[return-value]


def test_what_is_written_now_is_what_was_recorded(tmp_path: Path) -> None:
    record(tmp_path / "now")
    assert written_by(tmp_path / "now") == load(GOLDEN)


def test_recorded_tenants_are_read_and_changed(recorded: Path) -> None:
    disk = LockedDirectory(recorded / "tenants")
    kept = TenantStore(disk, Clock())
    assert {
        name: (one.state, one.version, one.tenant["prefix"]) for name, one in kept.state.tenants.items()
    } == {"clinic": ("active", "4", "/new"), "ward": ("suspended", "3", "/ward")}
    assert [(one.number, one.kind, one.name, one.actor) for one in kept.audit(0, 100)] == [
        (1, "put", "clinic", "operator"),
        (2, "put", "ward", "token 2"),
        (3, "state", "ward", "operator"),
        (4, "put", "clinic", "operator"),
        (5, "put", "gone", "operator"),
        (6, "remove", "gone", "operator"),
    ]
    assert kept.created_by("key-1") == "clinic"
    assert not kept.is_new
    kept.change(ChangeKind.SET_STATE, "ward", "operator", state="active")
    disk.close()
    assert frames(recorded / "tenants")["journal-3"][-1] == [
        7,
        f'{{"op":"state","name":"ward","who":"operator","at_ms":{START_MS + 1}}}',
    ]


def taken_over(folder: Path, old: Path) -> Any:
    """Take an old state file over; return the snapshot that is written of it, without its times."""
    tenant_store.open_store(folder, old, (), ("day-view",), frozenset({"w"}))
    snapshot = json.loads(frames(folder)["snapshot-2"][0][1])
    for entry in snapshot["audit"]:
        assert entry.pop("at_ms") > START_MS
        entry["who"] = Path(entry["who"]).name
    return snapshot


def test_the_old_state_file_is_taken_over(recorded: Path) -> None:
    old = recorded / "state.json"
    assert taken_over(recorded / "new", old) == load(FROM_OLD_FILE)
    assert not old.exists()
    assert old.with_name("state.json.migrated").exists()


def test_recorded_keys_are_live_until_their_windows_are_over(recorded: Path) -> None:
    disk = LockedDirectory(recorded / "keys")
    log = KeyLog(disk, lambda: START_US)
    assert {(line.idempotency_key, line.expires_us, line.body_digest) for line in log.unexpired()} == {
        (RUNNING, START_US + WINDOW_US, "00" * 8),
        (ENDED, START_US + 2 * WINDOW_US, "01" * 8),
        (("x", 0, "last"), START_US + WINDOW_US, b"last".hex()),
    }
    disk.close()
    disk = LockedDirectory(recorded / "keys")
    assert [line.idempotency_key for line in KeyLog(disk, lambda: START_US + WINDOW_US).unexpired()] == [
        ENDED
    ]
    disk.close()


def test_recorded_claims_keep_another_process_from_running_their_keys(recorded: Path) -> None:
    claims = KeyLockFiles(recorded / "claims", "node 3", lambda: START_US + 1)
    told: dict[str, list[Any]] = {"running": [], "ended": [], "failed": []}
    claims.start()
    for key in (RUNNING, ENDED, FAILED):
        heard = told[key[2]]
        claims.acquire(
            KeyLockRequest(
                key, START_US, START_US + WINDOW_US, START_US + 10, "0a0b", heard.append, heard.append
            )
        )
    assert wait_until(lambda: told["ended"] and told["failed"])
    assert told == {
        "running": [],
        "failed": [None],
        "ended": [Result(b"body \xff", 201, (("content-type", "text/plain"),))],
    }
    claims.close()


def test_processes_of_a_node_find_each_other_by_the_recorded_names(tmp_path: Path) -> None:
    """The file name orders processes by their start, and its first bytes say that one serves."""
    registry = ProcessRegistry(tmp_path, "node 3")
    registry.mark_ready()
    (made,) = tmp_path.iterdir()
    stem, start, process, suffix = made.name.split(".")
    assert (stem, suffix, made.read_bytes()) == ("node_3", "life", b"ready")
    assert len(start) == 20
    assert start.isdigit()
    assert process.isdigit()
    registry.close()


def test_a_recorded_replica_is_read_and_changed(recorded: Path) -> None:
    path = recorded / "replica" / "tenants.db"
    copy = open_replica(path)
    states = copy.states()
    assert states == {
        "c1": PartitionState(8, index=4, covered=4, goal=4),
        "c2": PartitionState(
            9, index=9, bases=((9, 2),), horizon=1, covered=9, goal=12, generation=3, restored=True
        ),
    }
    assert [(row.name, row.state, row.index, row.partition, row.unreadable) for row in copy.page()] == [
        ("clinic", "active", 1, "c1", ""),
        ("divergent", "active", 0, "c2", ""),
        ("odd", "active", 4, "c1", "no backend"),
        ("ward", "suspended", 2, "c1", ""),
    ]
    assert [(one.name, one.who, one.index, one.after_state) for one in copy.audit()] == [
        ("clinic", "operator", 1, "active"),
        ("ward", "c2", 2, "suspended"),
        ("gone", "operator", 3, ""),
        ("odd", "operator", 4, "active"),
        ("divergent", "c2", 11, "active"),
    ]
    assert [(one["name"], one["revision"]) for one in copy.divergent_rows()] == [("divergent", 11)]
    assert (copy.name_by_key("key-1"), copy.name_by_key("key-2"), copy.count(), copy.guarantee_sum()) == (
        "clinic",
        "gone",
        4,
        0.75,
    )
    found = copy.match("ward.example", "/w/x")
    assert found is not None
    assert found.name == "ward"
    changed = LogEntry(5, "ward", START_MS, "operator", "active", b"{}", "", 8)
    copy.apply("c1", [changed], replace(states["c1"], index=5, covered=5, goal=5), durable=True)
    copy.close()
    rows = tables(path)["rows"]
    assert [row[1:5] + row[6:8] for row in rows["rows"] if row[1] == "ward"] == [
        ["ward", 0, 5, 8, "active", "{}"]
    ]
    assert tables(path)["schema"] == load(GOLDEN)["replica"]["schema"]
