"""The SQLite replica: look-ups compared with a linear search, kills at any statement, damage, ownership."""

import contextlib
import os
import queue
import signal
import sqlite3
import subprocess
import sys
import tempfile
import threading
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from replicas import CONTROL, entry, names_of, tenant_json

from reelusher.fleet.replication.messages import EntriesReply, LogEntry, LogSegment
from reelusher.fleet.replication.positions import first_term, partition_of
from reelusher.fleet.replication.replica import NotLeaderError, Replica
from reelusher.fleet.replication.replica_store import MemoryReplicaStore, PartitionState, ReplicaError
from reelusher.fleet.replication.sqlite_replica import (
    DamagedReplicaError,
    ForeignReplicaError,
    SqliteReplica,
    database,
    writes,
)
from reelusher.tenancy.index import lies_under

NAMES = names_of("c1", 40)  # of tenants in partition c1
INITIAL_STATE = PartitionState(first_term("c1", CONTROL))


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "tenants.db"


@pytest.fixture
def store(path: Path) -> Iterator[SqliteReplica]:
    opened = SqliteReplica(path, "f", CONTROL)
    yield opened
    opened.close()


def state_at(last_index: int, **fields: Any) -> PartitionState:
    return replace(INITIAL_STATE, index=last_index, covered=last_index, goal=last_index, **fields)


def put(store: SqliteReplica | MemoryReplicaStore, *entries: LogEntry, **options: Any) -> list[str]:
    """Write entries of partition c1 and set its index to that of the last one; return the changed names."""
    return store.apply("c1", entries, state_at(entries[-1].index), **options)


# Rows, compared with those of the store in memory


CHANGES = st.lists(st.tuples(st.integers(0, 4), st.booleans()), max_size=4)
OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("put"), CHANGES, st.booleans()),
        st.tuples(st.just("again"), st.integers(0, 20), st.just(0)),
        st.tuples(st.just("refill"), st.booleans(), st.just(0)),
        st.tuples(st.just("orphan"), st.integers(0, 12), st.just(0)),
        st.tuples(st.just("collect"), st.integers(0, 6), st.just(0)),
        st.tuples(st.just("given"), st.integers(0, 12), st.integers(0, 900)),
    ),
    max_size=25,
)


@given(operations=OPERATIONS)
@settings(max_examples=60, deadline=None)
def test_sqlite_and_memory_store_hold_the_same_rows(
    tmp_path_factory: pytest.TempPathFactory, operations: list[tuple[Any, Any, Any]]
) -> None:
    sqlite = SqliteReplica(tmp_path_factory.mktemp("copy") / "t.db", "f", CONTROL, wall_ms=lambda: 0)
    memory, state, last_index = MemoryReplicaStore(), INITIAL_STATE, 0
    history: list[LogEntry] = []
    for kind, first, second in operations:
        results: list[Any] = []
        if kind == "put":
            entries = []
            for ordinal, is_live in first:
                last_index += 1
                entries.append(entry(NAMES[ordinal], last_index, "active" if is_live else ""))
            history += entries
            state = replace(state, index=last_index, covered=last_index, goal=last_index)
            results = [store.apply("c1", entries, state, audited=second) for store in (memory, sqlite)]
        elif kind == "again":
            results = [store.apply("c1", history[first : first + 3], state) for store in (memory, sqlite)]
        elif kind == "refill":
            state = replace(state, generation=state.generation + 1)
            results = [sorted(store.apply("c1", [], state, drop_older=first)) for store in (memory, sqlite)]
        elif kind == "orphan" and memory.states():
            state = replace(state, generation=state.generation + 1)
            results = [store.set_aside_divergent("c1", first, state) for store in (memory, sqlite)]
        elif kind == "collect":
            results = [store.collect("c1", 1, first) for store in (memory, sqlite)]
            state = memory.states().get("c1", state)
        elif kind == "given":
            results = [store.read_batch("c1", first, second) for store in (memory, sqlite)]
        assert not results or results[0] == results[1]
        assert memory.states() == sqlite.states()
        live = memory.live_entries()
        assert [(row.name, row.index, row.state, row.tenant) for row in sqlite.page("", 100)] == [
            (name, live[name].index, live[name].state, live[name].tenant) for name in sorted(live)
        ]
        assert sqlite.count() == len(live)
    sqlite.close()


# Look-ups


TENANTS = st.lists(  # hosts, prefix, whether the tenant exists in the end
    st.tuples(
        st.lists(st.sampled_from(["a", "B.x", "c", ""]), max_size=2),
        st.sampled_from(["/", "/a", "/a/", "/a/b", "/a/bc", "/a/b/", "/ab", "//", "/a//"]),
        st.booleans(),
    ),
    min_size=1,
    max_size=12,
)


REQUESTS = st.lists(  # host and path
    st.tuples(
        st.sampled_from(["a", "b.x", "B.X", "d", "", "="]),
        st.sampled_from(
            ["/", "/a", "/a/", "/a/b", "/a/bc", "/a/b/c", "/abc", "/ab/", "//", "/a//b", "/x", "", "*"]
        ),
    ),
    max_size=20,
)


@given(TENANTS, REQUESTS)
@settings(max_examples=150, deadline=None)
def test_match_agrees_with_a_linear_search(
    generated: list[tuple[list[str], str, bool]], requests: list[tuple[str, str]]
) -> None:
    with (
        tempfile.TemporaryDirectory() as folder,
        contextlib.closing(SqliteReplica(Path(folder) / "t.db", "f", CONTROL)) as store,
    ):
        # each tenant is first written in the opposite state and with the JSON of another one, so that routing
        # keys are also removed and replaced
        final = [({"hosts": hosts, "prefix": prefix}, live) for hosts, prefix, live in generated]
        initial = [(tenant, not live) for tenant, live in reversed(final)]
        index = 0
        for version in (initial, final):
            entries = []
            for ordinal, (tenant, live) in enumerate(version):
                index += 1
                entries.append(
                    LogEntry(
                        index,
                        f"t{ordinal:02d}",
                        0,
                        "",
                        "active" if live else "",
                        msgspec.json.encode(tenant) if live else b"",
                    )
                )
            store.apply("c1", entries, state_at(index))
        tenants = [
            (f"t{ordinal:02d}", {host.lower() for host in hosts}, prefix)
            for ordinal, (hosts, prefix, live) in enumerate(generated)
            if live
        ]
        tenants.sort(key=lambda route: (not route[1], -len(route[2]), route[0]))
        for host, path in requests:
            expected = next(
                (
                    name
                    for name, hosts, prefix in tenants
                    if (not hosts or host.lower() in hosts) and lies_under(path, prefix)
                ),
                None,
            )
            found = store.match(host, path)
            assert (found.name if found else None) == expected


def test_row_number_stays_while_the_tenant_exists_and_is_never_reused(
    store: SqliteReplica, path: Path
) -> None:
    put(store, entry("a", 1), entry("b", 2))
    created = store.get("a")
    put(store, entry("a", 3, pad="more"))
    changed = store.get("a")
    put(store, entry("a", 4, ""))
    assert store.get("a") is None
    assert store.match("a.example", "/") is None
    put(store, entry("a", 5))
    created_again = store.get("a")
    assert created
    assert changed
    assert created_again
    assert created.number == changed.number < created_again.number
    store.database.damage = "by the test"
    store.recreate()
    put(store, entry("c", 1))
    after_recreate = store.get("c")
    assert after_recreate is not None
    assert after_recreate.number > created_again.number


def test_totals_follow_changes_and_survive_a_restart(store: SqliteReplica, path: Path) -> None:
    for number in range(1, 31):
        put(
            store,
            entry(
                NAMES[number % 10], number, "active" if number % 3 else "", share={"guarantee": number / 1000}
            ),
        )
    live = store.page("", 100)
    guarantees = [msgspec.json.decode(row.tenant)["share"]["guarantee"] for row in live]
    for _ in range(2):
        assert store.count() == len(live)
        assert store.guarantee_sum() == pytest.approx(sum(guarantees), abs=1e-12)
        store.close()
        store.__init__(path, "f", CONTROL)  # type: ignore[misc]


def test_pages_are_sorted_by_name_without_removed_tenants(store: SqliteReplica) -> None:
    put(
        store,
        *(entry(name, index) for index, name in enumerate(sorted(NAMES[:9]), 1)),
        entry(NAMES[3], 10, ""),
    )
    names = sorted(set(NAMES[:9]) - {NAMES[3]})
    assert [row.name for row in store.page("", 5)] == names[:5]
    assert [row.name for row in store.page(names[4], 5)] == names[5:]


def test_idempotency_keys_and_audit_entries_are_bounded(
    store: SqliteReplica, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert writes.MAX_AUDIT_ENTRIES >= 1000
    monkeypatch.setattr(writes, "MAX_AUDIT_ENTRIES", 5)
    monkeypatch.setattr(writes, "MAX_IDEMPOTENCY_KEYS", 3)
    for number in range(1, 9):
        change = entry("a", number, "" if number == 8 else "active", pad=number)
        put(store, msgspec.structs.replace(change, key=f"k{number}"))
    audit = store.audit(0, 100)
    assert [audited.index for audited in audit] == [4, 5, 6, 7, 8]
    assert (audit[-1].before_state, audit[-1].after_state, audit[-1].partition) == ("active", "", "c1")
    assert msgspec.json.decode(audit[-1].before)["pad"] == 7
    assert store.audit(audit[1].number, 2) == audit[2:4]
    assert [store.name_by_key(f"k{number}") for number in (5, 6, 8)] == [None, "a", "a"]


def test_tenants_sharing_a_route_are_listed_by_precedence(store: SqliteReplica) -> None:
    for number, name in enumerate(("b", "a", "c"), 1):
        put(
            store,
            LogEntry(number, name, 0, "", "active", msgspec.json.encode({"hosts": ["H"], "prefix": "/x"})),
        )
    assert store.names_sharing_route("h", "/x") == ["a", "b", "c"]
    assert store.names_sharing_route("", "/x") == []
    found = store.match("H", "/x/y")
    assert found is not None
    assert found.name == "a"


def test_on_change_is_called_without_a_lock_held(store: SqliteReplica) -> None:
    counts: queue.Queue[int] = queue.Queue()

    def use_store_on_another_thread(names: list[str]) -> None:
        other = threading.Thread(target=lambda: counts.put(store.count() + len(store.states())))
        other.start()
        other.join(5)

    store.on_change = use_store_on_another_thread
    replica = Replica("c1", CONTROL, store, Random(1))
    replica.accept("c1", "c1", entry(NAMES[0]))
    assert counts.get(timeout=1) == 2


def test_readers_wait_a_bounded_time_and_then_fail(store: SqliteReplica) -> None:
    put(store, entry("a", 1))
    borrowed = [store.database.lookup_pool.get() for _ in range(database.LOOKUP_CONNECTIONS)]
    with pytest.raises(ReplicaError, match="too many"):
        store.get("a")
    assert store.read_batch("c1", 0) is not None  # segments have a connection of their own
    store.database.lookup_pool.put(borrowed[0])
    assert store.get("a") is not None
    segment_connection = store.database.segment_pool.get()
    assert store.get("a") is not None  # and a slow segment delays no look-up
    store.database.segment_pool.put(segment_connection)


def test_many_threads_read_while_one_writes(store: SqliteReplica, monkeypatch: pytest.MonkeyPatch) -> None:
    # four threads share three connections: on a busy machine, one may wait longer than LOOKUP_WAIT_S allows
    monkeypatch.setattr(database, "LOOKUP_WAIT_S", 10.0)
    put(store, entry("a", 1))
    faults: list[BaseException] = []

    def read() -> None:
        try:
            for _ in range(200):
                row = store.get("a")
                assert row is not None
                assert msgspec.json.decode(row.tenant)["name"] == "a"
                store.match("a.example", "/x")
        except BaseException as error:
            faults.append(error)

    threads = [threading.Thread(target=read) for _ in range(4)]
    for thread in threads:
        thread.start()
    for number in range(2, 60):
        put(store, entry("a", number, prefix=f"/{'x' * (number % 3)}"))
    for thread in threads:
        thread.join()
    assert not faults


# Unreadable rows


def check_backend(name: str, tenant: bytes) -> str:
    value = msgspec.json.decode(tenant)
    if value.get("bug"):
        raise ZeroDivisionError("of the reader")
    return "" if value.get("backend") == "w" else "backend: is not known here"


def is_unreadable(store: SqliteReplica, host: str) -> bool:
    """Return whether requests for a host are routed to a tenant that this node can't serve."""
    found = store.match(host, "/")
    assert found is not None
    return bool(found.unreadable)


def test_unreadable_row_is_stored_and_replicated_and_affects_no_other(path: Path) -> None:
    store = SqliteReplica(path, "f", CONTROL, check_backend)
    entries = [
        LogEntry(1, "bad", 0, "", "active", b'{"hosts": 7}'),
        entry("odd", 2, backend="of-tomorrow"),
        entry("good", 3),
        entry("bug", 4, bug=True),
        LogEntry(5, "worse", 0, "", "a state of tomorrow", b"\xff\x00"),
        entry("odd", 6, hosts=["good.example"], backend="of-tomorrow"),
    ]
    put(store, *entries)
    batch = store.read_batch("c1", 0)
    assert batch is not None
    assert [replicated.index for replicated in batch.entries] == [1, 3, 4, 5, 6]
    assert {name for name, _ in store.unreadable()} == {"bad", "bug", "odd", "worse"}
    assert store.unreadable_count() == 4
    found = store.match("good.example", "/")
    assert found is not None
    assert (found.name, found.unreadable) == ("good", "")
    odd = store.get("odd")
    assert odd is not None
    assert "not known" in odd.unreadable
    put(store, entry("odd", 7), entry("bad", 8, ""))
    assert {name for name, _ in store.unreadable()} == {"bug", "worse"}
    assert store.match("odd.example", "/") is not None
    store.close()


def test_rows_are_rechecked_after_changed_settings_and_a_refill(path: Path) -> None:
    store = SqliteReplica(path, "f", CONTROL)
    changed_names: list[str] = []
    put(store, *(entry(f"t{number}", number, backend="w" if number % 2 else "v") for number in range(1, 10)))
    store.close()
    store = SqliteReplica(path, "f", CONTROL, check_backend)
    store.on_change = changed_names.extend
    while store.recheck("one", 4):
        pass
    assert changed_names == ["t2", "t4", "t6", "t8"]
    assert is_unreadable(store, "t2.example")
    assert not store.recheck("one", 4)
    assert store.unreadable_count() == 4
    assert store.count() == 9
    put(store, entry("t9", 10, backend="v"), audited=False)  # as in a refill: not checked yet
    assert not is_unreadable(store, "t9.example")
    while store.recheck("one", 4):
        pass
    assert is_unreadable(store, "t9.example")
    store.check_tenant = lambda name, tenant: ""
    while store.recheck("two", 4):
        pass
    assert store.unreadable_count() == 0
    assert not is_unreadable(store, "t2.example")
    store.close()


def test_requests_of_an_unreadable_row_go_to_no_other_tenant(path: Path) -> None:
    store = SqliteReplica(path, "f", CONTROL, check_backend)
    put(store, entry("any", 1, hosts=[]), entry("odd", 2, hosts=["odd.example"], backend="of-tomorrow"))
    assert is_unreadable(store, "odd.example")
    assert not is_unreadable(store, "else.example")
    routes = store.prefixes("odd.example", 10)
    assert routes is not None
    assert (True, "/", "odd") in routes
    put(store, entry("odd", 3, hosts=["now.example"], backend="of-tomorrow"))
    found = store.match("odd.example", "/")
    assert found is not None
    assert found.name == "any"
    assert is_unreadable(store, "now.example")
    put(store, entry("odd", 4, ""))
    assert not is_unreadable(store, "now.example")
    assert store.totals.prefix_lengths == {1: 1}
    store.close()


# Ownership of the file


@pytest.mark.parametrize(("fleet", "control"), [("other", CONTROL), ("f", ("c1", "c3"))])
def test_replica_of_another_fleet_or_control_list_is_not_changed(
    path: Path, store: SqliteReplica, fleet: str, control: tuple[str, ...]
) -> None:
    put(store, entry("a", 1))
    store.close()
    with pytest.raises(ForeignReplicaError, match=r"of the fleet|of another list"):
        SqliteReplica(path, fleet, control)
    reopened = SqliteReplica(path, "f", CONTROL)
    assert reopened.count() == 1
    assert not reopened.quarantined_files
    reopened.close()


def test_file_of_another_program_or_newer_format_is_not_changed(tmp_path: Path) -> None:
    other = tmp_path / "other.db"
    with sqlite3.connect(other) as conn:
        conn.execute("CREATE TABLE rows(x)")
    conn.close()
    with pytest.raises(ForeignReplicaError, match="something else"):
        SqliteReplica(other, "f", CONTROL)
    SqliteReplica(tmp_path / "t.db", "f", CONTROL).close()
    with sqlite3.connect(tmp_path / "t.db") as conn:
        conn.execute("PRAGMA user_version = 9")
    conn.close()
    with pytest.raises(ForeignReplicaError, match="format 9"):
        SqliteReplica(tmp_path / "t.db", "f", CONTROL)


def test_second_process_can_not_open_the_replica(store: SqliteReplica, path: Path) -> None:
    with pytest.raises(ReplicaError, match="another process"):
        SqliteReplica(path, "f", CONTROL)


def test_files_are_readable_by_their_owner_only(store: SqliteReplica, path: Path) -> None:
    put(store, entry("a", 1))
    assert {file.stat().st_mode & 0o777 for file in path.parent.iterdir()} == {0o600}


def test_pull_in_flight_is_not_applied_to_a_recreated_replica(path: Path) -> None:
    store = filled_store(path, 10)
    replica = Replica("n", CONTROL, store, Random(1))
    assert replica.states["c1"].index == 10
    replica.pulls.observe(
        "x", "", [replica.announce()[0], INITIAL_STATE.term, 12, *replica.announce()[3:]], 1.0
    )
    pull = replica.pulls.next_pull(2.0)
    assert pull is not None
    store.database.damage = "by the test"
    replica.reload(store.recreate)
    segment = LogSegment("c1", INITIAL_STATE.term, (), 10, 12, [entry(NAMES[0], 12)], False, 0, 12, 12)
    assert replica.apply_reply(pull, EntriesReply([segment]), 2.1).faults == ["stale"]
    assert store.count() == 0
    assert store.states()["c1"].index == 0
    store.close()


def test_path_below_a_file_raises(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(ReplicaError):
        SqliteReplica(tmp_path / "file" / "t.db", "f", CONTROL)


# Damage and full disks


def corrupt_file(path: Path, begin: int = 4096) -> None:
    """Overwrite a file with random bytes, from `begin` on: by default all but the first page."""
    with path.open("r+b") as file:
        size = file.seek(0, os.SEEK_END)
        file.seek(begin)
        file.write(os.urandom(size - begin))


def filled_store(path: Path, count: int = 400) -> SqliteReplica:
    store = SqliteReplica(path, "f", CONTROL)
    put(store, *(entry(f"t{number:04d}", number, pad="x" * 200) for number in range(1, count + 1)))
    store.close()
    return SqliteReplica(path, "f", CONTROL)


@pytest.mark.parametrize("found_by", ["read", "write", "check"])
def test_replica_found_damaged_is_quarantined_and_recreated(path: Path, found_by: str) -> None:
    store = filled_store(path)
    store.database.writer.execute("PRAGMA wal_checkpoint(TRUNCATE)")  # type: ignore[union-attr]
    corrupt_file(path)
    if found_by == "check":
        assert not store.check()
    else:
        with pytest.raises(DamagedReplicaError):
            for number in range(1, 401):
                if found_by == "read":
                    store.get(f"t{number:04d}")
                else:
                    put(store, entry(f"t{number:04d}", 400 + number))
    assert store.damage
    with pytest.raises(DamagedReplicaError):
        store.get("t0001")
    with pytest.raises(DamagedReplicaError):
        store.match("x", "/")
    quarantined = store.recreate()
    assert quarantined.exists()
    assert ".damaged-" in quarantined.name
    assert not store.damage
    assert store.count() == 0
    assert store.page() == []
    assert all(state.lost for state in store.states().values())
    assert len(store.states()) == 2
    replica = Replica("c1", CONTROL, store, Random(1))
    with pytest.raises(NotLeaderError, match="take-over"):
        replica.accept("c1", "c1", entry(NAMES[0]))
    store.close()
    replica = Replica("c1", CONTROL, SqliteReplica(path, "f", CONTROL), Random(1))
    with pytest.raises(NotLeaderError, match="take-over"):  # also after a restart
        replica.accept("c1", "c1", entry(NAMES[0]))
    with pytest.raises(NotLeaderError, match="nobody was heard"):  # other members would lose their rows
        replica.begin_term("c1", "c1")
    assert replica.begin_term("c1", "c1", force=True).term > INITIAL_STATE.term
    assert replica.accept("c1", "c1", entry(NAMES[0])).index == 1
    assert isinstance(replica.store, SqliteReplica)
    replica.store.close()


@pytest.mark.parametrize("begin", [0, 4096])
def test_replica_damaged_at_open_is_quarantined(path: Path, begin: int) -> None:
    filled_store(path).close()
    corrupt_file(path, begin)
    store = SqliteReplica(path, "f", CONTROL)
    if not store.quarantined_files:  # the pages read at open happen to be valid: `check` finds the damage
        assert not store.check()
        store.recreate()
    assert store.count() == 0
    assert all(state.lost for state in store.states().values())
    store.close()


def test_row_past_the_position_of_its_partition_is_damage(path: Path) -> None:
    store = filled_store(path, 10)
    store.close()
    with sqlite3.connect(path) as conn:
        conn.execute("UPDATE streams SET number = 4")
    conn.close()
    store = SqliteReplica(path, "f", CONTROL)
    assert "past its position" in store.damage_at_open
    assert store.count() == 0
    store.close()


@pytest.mark.parametrize(
    ("cursor", "base", "is_damaged"), [(10, 5, False), (0, 10, False), (9, 9, True), (0, 9, True)]
)
def test_row_past_the_bounds_of_a_refill_is_damage(
    path: Path, cursor: int, base: int, is_damaged: bool
) -> None:
    """In a refill a row may be past position 0, up to the cursor or to the base of the term."""
    store = filled_store(path, 10)
    store.apply("c1", [], PartitionState(16, bases=((16, base),), cursor=cursor, generation=1))
    store.close()
    store = SqliteReplica(path, "f", CONTROL)
    assert bool(store.damage_at_open) is is_damaged
    store.close()


def test_only_the_newest_quarantined_files_stay(path: Path) -> None:
    now = iter(range(1000, 100_000))
    store = SqliteReplica(path, "f", CONTROL, wall_ms=lambda: next(now))
    for _ in range(database.MAX_QUARANTINED_FILES + 2):
        store.database.damage = "by the test"
        store.recreate()
    remaining = [
        file.name for file in path.parent.iterdir() if ".damaged-" in file.name and "-wal" not in file.name
    ]
    assert sorted(remaining) == sorted(
        file.name for file in store.quarantined_files[-database.MAX_QUARANTINED_FILES :]
    )
    store.close()


def test_full_disk_rejects_a_change_until_there_is_space(path: Path) -> None:
    store = filled_store(path, 20)
    assert store.database.writer is not None
    pages = store.database.writer.execute("PRAGMA page_count").fetchone()[0]
    store.database.writer.execute(f"PRAGMA max_page_count = {pages}")
    replica = Replica("c1", CONTROL, store, Random(1))
    before = store.states(), store.count(), store.guarantee_sum(), replica.announce()
    with pytest.raises(ReplicaError, match="full"):
        for name in NAMES:
            replica.accept("c1", "c1", entry(name, pad="y" * 4000))
            before = store.states(), store.count(), store.guarantee_sum(), replica.announce()
    assert (store.states(), store.count(), store.guarantee_sum(), replica.announce()) == before
    assert not store.damage
    assert store.check()
    store.database.writer.execute("PRAGMA max_page_count = 100000")
    last_index = replica.states["c1"].index
    assert replica.accept("c1", "c1", entry(NAMES[0], pad="y" * 4000)).index == last_index + 1
    store.close()


def test_exception_within_a_transaction_rolls_it_back(store: SqliteReplica) -> None:
    put(store, entry("a", 1))
    before = store.states(), store.count(), store.guarantee_sum()
    with pytest.raises(OverflowError):
        put(store, entry("b", 2, share={"guarantee": 0.5}), LogEntry(3, "c", 1 << 70, "", "active", b"{}"))
    assert (store.states(), store.count(), store.guarantee_sum()) == before
    assert store.get("b") is None
    put(store, entry("b", 2))
    assert store.count() == 2
    assert store.match("b.example", "/") is not None


def test_accepted_changes_are_synced_and_pulled_ones_are_not(store: SqliteReplica) -> None:
    def synchronous_level() -> int:
        assert store.database.writer is not None
        return int(store.database.writer.execute("PRAGMA synchronous").fetchone()[0])

    replica = Replica("c1", CONTROL, store, Random(1))
    for index in (1, 3):
        assert replica.accept("c1", "c1", entry(NAMES[index])).index == index
        assert synchronous_level() == 2  # FULL
        put(store, entry(NAMES[index + 1], index + 1))
        replica.reload()
        assert synchronous_level() == 1  # NORMAL
    replica.begin_term("c1", "c1")
    assert synchronous_level() == 2


# Kills


CHILD = """
import os, signal, sys
from pathlib import Path
from random import Random
sys.path[:0] = {paths!r}
from replicas import CONTROL, entry, names_of
from reelusher.fleet.replication.sqlite_replica import SqliteReplica
from reelusher.fleet.replication.messages import LogSegment
from reelusher.fleet.replication.replica import Replica
from reelusher.fleet.replication.pull_scheduler import Pull
from reelusher.fleet.replication.messages import EntriesReply
path, action, statements_left = Path(sys.argv[1]), sys.argv[2], int(sys.argv[3])
store = SqliteReplica(path, "f", CONTROL)
replica = Replica("c1" if action == "accept" else "n", CONTROL, store, Random(1))
def count(statement):
    global statements_left
    statements_left -= 1
    if statements_left == 0:
        os.kill(os.getpid(), signal.SIGKILL)
store.database.writer.set_trace_callback(count)
names = names_of("c1", 5)
if action == "accept":
    for name in names[:3]:
        accepted = replica.accept("c1", "c1", entry(name))
        print(accepted.index, flush=True)
else:
    term = replica.states["c1"].term
    for since in range(0, 4, 2):
        entries = [entry(names[since], since + 1), entry(names[since + 1], since + 2)]
        segments = [LogSegment("c1", term, (), since, since + 2, entries, since < 2, 0, 4, 4)]
        pull = replica.pulls.in_flight = Pull("x", None, 1e9)
        replica.apply_reply(pull, EntriesReply(segments), 1.0)
        print(replica.states["c1"].index, flush=True)
print("end", flush=True)
"""


def run_child(path: Path, action: str, statements: int) -> list[str]:
    """Make changes in a process that kills itself before its n-th statement; return the words it printed.

    They are the indexes that it reached, and "end" if it was not killed.
    """
    tests = Path(__file__).parent
    script = CHILD.format(paths=[str(tests), str(tests.parent)])
    process = subprocess.run(
        [sys.executable, "-c", script, str(path), action, str(statements)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert process.returncode in (0, -signal.SIGKILL), process.stderr
    return process.stdout.split()


@pytest.mark.parametrize("action", ["accept", "take"])
def test_kill_before_any_statement_loses_no_acknowledged_change(tmp_path: Path, action: str) -> None:
    names, killed = NAMES[:4], 0
    for statements in range(1, 200):
        path = tmp_path / f"{statements}.db"
        printed = run_child(path, action, statements)
        store = SqliteReplica(path, "f", CONTROL)
        assert not store.quarantined_files
        assert store.check()
        state = store.states().get("c1", INITIAL_STATE)
        rows = {row.name: row.index for row in store.page("", 100)}
        acknowledged = max((int(word) for word in printed if word != "end"), default=0)
        assert acknowledged <= state.index <= acknowledged + (1 if action == "accept" else 2)
        assert rows == {name: index for index, name in enumerate(names, 1) if index <= state.index}
        assert store.count() == len(rows)
        for name in rows:
            assert store.match(f"{name}.example", "/") is not None
        if action == "accept":
            replica = Replica("c1", CONTROL, store, Random(1))
            assert replica.accept("c1", "c1", entry(names[0])).index == state.index + 1
        store.close()
        if "end" in printed:
            break
        killed += 1
    assert killed > 20
    assert "end" in printed


def test_segment_is_read_at_one_instant(store: SqliteReplica) -> None:
    put(store, *(entry(name, index) for index, name in enumerate(NAMES[:20], 1)))
    stop, faults = threading.Event(), []

    def write() -> None:
        index = 20
        while not stop.is_set():
            index += 1
            put(store, entry(NAMES[index % 20], index))

    writer = threading.Thread(target=write)
    writer.start()
    try:
        for _ in range(300):
            batch = store.read_batch("c1", 0, 1 << 20)
            assert batch is not None
            indexes = [change.index for change in batch.entries]
            if len(indexes) != 20 or indexes[-1] != batch.state.index or sorted(indexes) != indexes:
                faults.append((indexes, batch.state))
    finally:
        stop.set()
        writer.join()
    assert not faults


def test_names_used_here_belong_to_partition_c1() -> None:
    assert {partition_of(name, CONTROL) for name in NAMES} == {"c1"}
    assert tenant_json("a").startswith(b"{")
