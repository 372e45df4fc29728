"""The local copy: look-ups by the linear rule, kills between statements, damage, and whose file it is."""

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

from reelusher.fleet.replication import sqlite_replica
from reelusher.fleet.replication.messages import EntriesReply, LogEntry, LogSegment
from reelusher.fleet.replication.replica import NotLeaderError, Replica, first_epoch, stream_of
from reelusher.fleet.replication.replica_store import MemoryReplicaStore, PartitionState, ReplicaError
from reelusher.fleet.replication.sqlite_replica import (
    MOST_ASIDE,
    MOST_AUDIT,
    DamagedReplicaError,
    ForeignReplicaError,
    SqliteReplica,
)
from reelusher.tenancy.index import lies_under

C1 = names_of("c1", 40)
FIRST = PartitionState(first_epoch("c1", CONTROL))


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "tenants.db"


@pytest.fixture
def copy(path: Path) -> Iterator[SqliteReplica]:
    made = SqliteReplica(path, "f", CONTROL)
    yield made
    made.close()


def at(number: int, **more: Any) -> PartitionState:
    return replace(FIRST, number=number, covered=number, goal=number, **more)


def put(rows: SqliteReplica | MemoryReplicaStore, *entries: LogEntry, **more: Any) -> list[str]:
    """Take entries as one change of stream c1."""
    return rows.apply("c1", entries, at(entries[-1].number), **more)


# Rows: what both kinds do alike


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
def test_rows_in_a_file_are_those_in_memory(
    tmp_path_factory: pytest.TempPathFactory, operations: list[tuple[Any, Any, Any]]
) -> None:
    kept = SqliteReplica(tmp_path_factory.mktemp("copy") / "t.db", "f", CONTROL, wall_ms=lambda: 0)
    memory, state, number = MemoryReplicaStore(), FIRST, 0
    history: list[LogEntry] = []
    for what, first, second in operations:
        made: list[Any] = []
        if what == "put":
            entries = []
            for name, live in first:
                number += 1
                entries.append(entry(C1[name], number, "active" if live else ""))
            history += entries
            state = replace(state, number=number, covered=number, goal=number)
            made = [rows.apply("c1", entries, state, trail=second) for rows in (memory, kept)]
        elif what == "again":
            made = [rows.apply("c1", history[first : first + 3], state) for rows in (memory, kept)]
        elif what == "refill":
            state = replace(state, generation=state.generation + 1)
            made = [sorted(rows.apply("c1", [], state, drop=first)) for rows in (memory, kept)]
        elif what == "orphan" and memory.states():
            state = replace(state, generation=state.generation + 1)
            made = [rows.orphan("c1", first, state) for rows in (memory, kept)]
        elif what == "collect":
            made = [rows.collect("c1", 1, first) for rows in (memory, kept)]
            state = memory.states().get("c1", state)
        elif what == "given":
            made = [rows.given("c1", first, second) for rows in (memory, kept)]
        assert not made or made[0] == made[1]
        assert memory.states() == kept.states()
        live = memory.live()
        assert [(row.name, row.revision, row.state, row.tenant) for row in kept.page("", 100)] == [
            (name, live[name].number, live[name].state, live[name].tenant) for name in sorted(live)
        ]
        assert kept.count() == len(live)
    kept.close()


# Look-ups


TABLES = st.lists(
    st.tuples(
        st.lists(st.sampled_from(["a", "B.x", "c", ""]), max_size=2),
        st.sampled_from(["/", "/a", "/a/", "/a/b", "/a/bc", "/a/b/", "/ab", "//", "/a//"]),
        st.booleans(),
    ),
    min_size=1,
    max_size=12,
)


ASKED = st.lists(
    st.tuples(
        st.sampled_from(["a", "b.x", "B.X", "d", "", "="]),
        st.sampled_from(
            ["/", "/a", "/a/", "/a/b", "/a/bc", "/a/b/c", "/abc", "/ab/", "//", "/a//b", "/x", "", "*"]
        ),
    ),
    max_size=20,
)


@given(TABLES, ASKED)
@settings(max_examples=150, deadline=None)
def test_a_request_belongs_to_whom_the_linear_rule_says(
    table: list[tuple[list[str], str, bool]], asked: list[tuple[str, str]]
) -> None:
    with (
        tempfile.TemporaryDirectory() as folder,
        contextlib.closing(SqliteReplica(Path(folder) / "t.db", "f", CONTROL)) as kept,
    ):
        # each row stands otherwise first, so that look-ups are changed and not only made
        made = [({"hosts": hosts, "prefix": prefix}, live) for hosts, prefix, live in table]
        turned = [(told, not live) for told, live in reversed(made)]
        number = 0
        for state in (turned, made):
            entries = []
            for place, (told, live) in enumerate(state):
                number += 1
                entries.append(
                    LogEntry(
                        number,
                        f"t{place:02d}",
                        0,
                        "",
                        "active" if live else "",
                        msgspec.json.encode(told) if live else b"",
                    )
                )
            kept.apply("c1", entries, at(number))
        tenants = [
            (f"t{place:02d}", {host.lower() for host in hosts}, prefix)
            for place, (hosts, prefix, live) in enumerate(table)
            if live
        ]
        tenants.sort(key=lambda one: (not one[1], -len(one[2]), one[0]))
        for host, path in asked:
            linear = next(
                (
                    name
                    for name, hosts, prefix in tenants
                    if (not hosts or host.lower() in hosts) and lies_under(path, prefix)
                ),
                None,
            )
            found = kept.match(host, path)
            assert (found.name if found else None) == linear


def test_a_number_is_the_name_s_while_it_exists_and_never_used_again(copy: SqliteReplica, path: Path) -> None:
    put(copy, entry("a", 1), entry("b", 2))
    first = copy.get("a")
    put(copy, entry("a", 3, pad="more"))
    same = copy.get("a")
    put(copy, entry("a", 4, ""))
    assert copy.get("a") is None
    assert copy.match("a.example", "/") is None
    put(copy, entry("a", 5))
    again = copy.get("a")
    assert first
    assert same
    assert again
    assert first.number == same.number < again.number
    copy.damaged = "by the test"
    copy.renew()
    put(copy, entry("c", 1))
    other = copy.get("c")
    assert other is not None
    assert other.number > again.number


def test_totals_are_kept_up_and_the_same_after_a_restart(copy: SqliteReplica, path: Path) -> None:
    for number in range(1, 31):
        put(
            copy,
            entry(
                C1[number % 10], number, "active" if number % 3 else "", share={"guarantee": number / 1000}
            ),
        )
    live = copy.page("", 100)
    told = [msgspec.json.decode(row.tenant)["share"]["guarantee"] for row in live]
    for _ in range(2):
        assert copy.count() == len(live)
        assert copy.guaranteed() == pytest.approx(sum(told), abs=1e-12)
        copy.close()
        copy.__init__(path, "f", CONTROL)  # type: ignore[misc]


def test_pages_go_by_name_and_leave_out_what_was_removed(copy: SqliteReplica) -> None:
    put(copy, *(entry(name, number) for number, name in enumerate(sorted(C1[:9]), 1)), entry(C1[3], 10, ""))
    names = sorted(set(C1[:9]) - {C1[3]})
    assert [row.name for row in copy.page("", 5)] == names[:5]
    assert [row.name for row in copy.page(names[4], 5)] == names[5:]


def test_keys_and_the_trail_are_kept_and_bounded(
    copy: SqliteReplica, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(sqlite_replica, "MOST_AUDIT", 5)
    monkeypatch.setattr(sqlite_replica, "MOST_KEYS", 3)
    assert MOST_AUDIT >= 1000
    for number in range(1, 9):
        made = entry("a", number, "" if number == 8 else "active", pad=number)
        put(copy, msgspec.structs.replace(made, key=f"k{number}"))
    trail = copy.audit(0, 100)
    assert [one.revision for one in trail] == [4, 5, 6, 7, 8]
    assert (trail[-1].before_state, trail[-1].after_state, trail[-1].stream) == ("active", "", "c1")
    assert msgspec.json.decode(trail[-1].before)["pad"] == 7
    assert copy.audit(trail[1].number, 2) == trail[2:4]
    assert [copy.key(f"k{number}") for number in (5, 6, 8)] == [None, "a", "a"]


def test_who_has_one_host_and_prefix_is_told_in_the_order_in_which_they_win(copy: SqliteReplica) -> None:
    for number, name in enumerate(("b", "a", "c"), 1):
        put(
            copy,
            LogEntry(number, name, 0, "", "active", msgspec.json.encode({"hosts": ["H"], "prefix": "/x"})),
        )
    assert copy.sharing("h", "/x") == ["a", "b", "c"]
    assert copy.sharing("", "/x") == []
    found = copy.match("H", "/x/y")
    assert found is not None
    assert found.name == "a"


def test_names_that_changed_are_told_without_a_lock_held(copy: SqliteReplica) -> None:
    told: queue.Queue[int] = queue.Queue()

    def looked(names: list[str]) -> None:
        other = threading.Thread(target=lambda: told.put(copy.count() + len(copy.states())))
        other.start()
        other.join(5)

    copy.on_change = looked
    replica = Replica("c1", CONTROL, copy, Random(1))
    replica.accept("c1", "c1", entry(C1[0]))
    assert told.get(timeout=1) == 2


def test_readers_wait_a_bounded_time_and_are_refused_past_it(copy: SqliteReplica) -> None:
    put(copy, entry("a", 1))
    held = [copy._free.get() for _ in range(sqlite_replica.READERS)]
    with pytest.raises(ReplicaError, match="too many"):
        copy.get("a")
    assert copy.given("c1", 0) is not None  # members are given all the same
    copy._free.put(held[0])
    assert copy.get("a") is not None
    giving = copy._giving.get()
    assert copy.get("a") is not None  # and whoever is given much keeps no request waiting
    copy._giving.put(giving)


def test_many_threads_read_while_one_writes(copy: SqliteReplica, monkeypatch: pytest.MonkeyPatch) -> None:
    # four threads share three connections: on a busy machine one may wait for longer than callers should
    monkeypatch.setattr(sqlite_replica, "READ_WAIT_S", 10.0)
    put(copy, entry("a", 1))
    faults: list[BaseException] = []

    def read() -> None:
        try:
            for _ in range(200):
                row = copy.get("a")
                assert row is not None
                assert msgspec.json.decode(row.tenant)["name"] == "a"
                copy.match("a.example", "/x")
        except BaseException as error:
            faults.append(error)

    threads = [threading.Thread(target=read) for _ in range(4)]
    for one in threads:
        one.start()
    for number in range(2, 60):
        put(copy, entry("a", number, prefix=f"/{'x' * (number % 3)}"))
    for one in threads:
        one.join()
    assert not faults


# Rows that this node can't read


def strict(name: str, tenant: bytes) -> str:
    told = msgspec.json.decode(tenant)
    if told.get("bug"):
        raise ZeroDivisionError("of the reader")
    return "" if told.get("backend") == "w" else "backend: is not known here"


def unserved(copy: SqliteReplica, host: str) -> bool:
    """Tell whether the row of a host's requests is one that this node can't serve."""
    found = copy.match(host, "/")
    assert found is not None
    return bool(found.unreadable)


def test_a_row_that_can_not_be_read_is_kept_passed_on_and_harms_no_other(path: Path) -> None:
    copy = SqliteReplica(path, "f", CONTROL, strict)
    newer = [
        LogEntry(1, "bad", 0, "", "active", b'{"hosts": 7}'),
        entry("odd", 2, backend="of-tomorrow"),
        entry("good", 3),
        entry("bug", 4, bug=True),
        LogEntry(5, "worse", 0, "", "a state of tomorrow", b"\xff\x00"),
        entry("odd", 6, hosts=["good.example"], backend="of-tomorrow"),
    ]
    put(copy, *newer)
    given = copy.given("c1", 0)
    assert given is not None
    assert [one.number for one in given.entries] == [1, 3, 4, 5, 6]
    assert {name for name, _ in copy.unreadable()} == {"bad", "bug", "odd", "worse"}
    assert copy.unreadable_count() == 4
    found = copy.match("good.example", "/")
    assert found is not None
    assert (found.name, found.unreadable) == ("good", "")
    odd = copy.get("odd")
    assert odd is not None
    assert "not known" in odd.unreadable
    put(copy, entry("odd", 7), entry("bad", 8, ""))
    assert {name for name, _ in copy.unreadable()} == {"bug", "worse"}
    assert copy.match("odd.example", "/") is not None
    copy.close()


def test_rows_are_checked_again_when_the_settings_changed_and_after_a_fill(path: Path) -> None:
    copy = SqliteReplica(path, "f", CONTROL)
    told: list[str] = []
    put(copy, *(entry(f"t{number}", number, backend="w" if number % 2 else "v") for number in range(1, 10)))
    copy.close()
    copy = SqliteReplica(path, "f", CONTROL, strict)
    copy.on_change = told.extend
    while copy.recheck("one", 4):
        pass
    assert told == ["t2", "t4", "t6", "t8"]
    assert unserved(copy, "t2.example")
    assert not copy.recheck("one", 4)
    assert copy.unreadable_count() == 4
    assert copy.count() == 9
    put(copy, entry("t9", 10, backend="v"), trail=False)  # filled: not checked yet
    assert not unserved(copy, "t9.example")
    while copy.recheck("one", 4):
        pass
    assert unserved(copy, "t9.example")
    copy._readable = lambda name, tenant: ""
    while copy.recheck("two", 4):
        pass
    assert copy.unreadable_count() == 0
    assert not unserved(copy, "t2.example")
    copy.close()


def test_requests_of_a_row_that_can_not_be_served_are_not_handed_to_another_tenant(path: Path) -> None:
    copy = SqliteReplica(path, "f", CONTROL, strict)
    put(copy, entry("any", 1, hosts=[]), entry("odd", 2, hosts=["odd.example"], backend="of-tomorrow"))
    assert unserved(copy, "odd.example")
    assert not unserved(copy, "else.example")
    rows = copy.prefixes("odd.example", 10)
    assert rows is not None
    assert (True, "/", "odd") in rows
    put(copy, entry("odd", 3, hosts=["now.example"], backend="of-tomorrow"))
    found = copy.match("odd.example", "/")
    assert found is not None
    assert found.name == "any"
    assert unserved(copy, "now.example")
    put(copy, entry("odd", 4, ""))
    assert not unserved(copy, "now.example")
    assert copy._totals.lengths == {1: 1}
    copy.close()


# Whose file it is


@pytest.mark.parametrize(("fleet", "control"), [("other", CONTROL), ("f", ("c1", "c3"))])
def test_the_copy_of_another_fleet_or_control_list_is_left_as_it_is(
    path: Path, copy: SqliteReplica, fleet: str, control: tuple[str, ...]
) -> None:
    put(copy, entry("a", 1))
    copy.close()
    with pytest.raises(ForeignReplicaError, match=r"of the fleet|of another list"):
        SqliteReplica(path, fleet, control)
    again = SqliteReplica(path, "f", CONTROL)
    assert again.count() == 1
    assert not again.put_aside
    again.close()


def test_a_file_of_something_else_or_of_a_newer_program_is_left_as_it_is(tmp_path: Path) -> None:
    other = tmp_path / "other.db"
    with sqlite3.connect(other) as made:
        made.execute("CREATE TABLE rows(x)")
    made.close()
    with pytest.raises(ForeignReplicaError, match="something else"):
        SqliteReplica(other, "f", CONTROL)
    SqliteReplica(tmp_path / "t.db", "f", CONTROL).close()
    with sqlite3.connect(tmp_path / "t.db") as made:
        made.execute("PRAGMA user_version = 9")
    made.close()
    with pytest.raises(ForeignReplicaError, match="format 9"):
        SqliteReplica(tmp_path / "t.db", "f", CONTROL)


def test_two_processes_do_not_have_one_copy(copy: SqliteReplica, path: Path) -> None:
    with pytest.raises(ReplicaError, match="another process"):
        SqliteReplica(path, "f", CONTROL)


def test_a_copy_is_for_its_user_only(copy: SqliteReplica, path: Path) -> None:
    put(copy, entry("a", 1))
    assert {one.stat().st_mode & 0o777 for one in path.parent.iterdir()} == {0o600}


def test_nothing_of_a_pull_under_way_gets_into_a_copy_that_was_begun_anew(path: Path) -> None:
    copy = filled(path, 10)
    replica = Replica("n", CONTROL, copy, Random(1))
    assert replica.states["c1"].number == 10
    replica.heard("x", "", [replica.announce()[0], FIRST.epoch, 12, *replica.announce()[3:]], 1.0)
    pull = replica.next_pull(2.0)
    assert pull is not None
    copy.damaged = "by the test"
    replica.reload(copy.renew)
    piece = LogSegment("c1", FIRST.epoch, (), 10, 12, [entry(C1[0], 12)], False, 0, 12, 12)
    assert replica.take(pull, EntriesReply([piece]), 2.1).refused == ["stale"]
    assert copy.count() == 0
    assert copy.states()["c1"].number == 0
    copy.close()


def test_a_folder_that_is_none_is_told_of(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(ReplicaError):
        SqliteReplica(tmp_path / "file" / "t.db", "f", CONTROL)


# Damage and full disks


def spoil(path: Path, begin: int = 4096) -> None:
    """Overwrite what lies past the first page."""
    with path.open("r+b") as file:
        size = file.seek(0, os.SEEK_END)
        file.seek(begin)
        file.write(os.urandom(size - begin))


def filled(path: Path, count: int = 400) -> SqliteReplica:
    copy = SqliteReplica(path, "f", CONTROL)
    put(copy, *(entry(f"t{number:04d}", number, pad="x" * 200) for number in range(1, count + 1)))
    copy.close()
    return SqliteReplica(path, "f", CONTROL)


@pytest.mark.parametrize("how", ["read", "write", "check"])
def test_a_copy_that_turns_out_to_be_damaged_is_put_aside_and_begun_anew(path: Path, how: str) -> None:
    copy = filled(path)
    copy._conn.execute("PRAGMA wal_checkpoint(TRUNCATE)")  # type: ignore[union-attr]
    spoil(path)
    if how == "check":
        assert not copy.check()
    else:
        with pytest.raises(DamagedReplicaError):
            for number in range(1, 401):
                if how == "read":
                    copy.get(f"t{number:04d}")
                else:
                    put(copy, entry(f"t{number:04d}", 400 + number))
    assert copy.damaged
    with pytest.raises(DamagedReplicaError):
        copy.get("t0001")
    with pytest.raises(DamagedReplicaError):
        copy.match("x", "/")
    aside = copy.renew()
    assert aside.exists()
    assert ".damaged-" in aside.name
    assert not copy.damaged
    assert copy.count() == 0
    assert copy.page() == []
    assert all(state.lost for state in copy.states().values())
    assert len(copy.states()) == 2
    replica = Replica("c1", CONTROL, copy, Random(1))
    with pytest.raises(NotLeaderError, match="take-over"):
        replica.accept("c1", "c1", entry(C1[0]))
    copy.close()
    replica = Replica("c1", CONTROL, SqliteReplica(path, "f", CONTROL), Random(1))
    with pytest.raises(NotLeaderError, match="take-over"):  # nor after a restart
        replica.accept("c1", "c1", entry(C1[0]))
    with pytest.raises(NotLeaderError, match="nobody was heard"):  # all others would lose all that they have
        replica.begin_term("c1", "c1")
    assert replica.begin_term("c1", "c1", force=True).epoch > FIRST.epoch
    assert replica.accept("c1", "c1", entry(C1[0])).number == 1
    assert isinstance(replica.rows, SqliteReplica)
    replica.rows.close()


@pytest.mark.parametrize("begin", [0, 4096])
def test_a_copy_that_is_damaged_at_the_start_is_put_aside(path: Path, begin: int) -> None:
    filled(path).close()
    spoil(path, begin)
    copy = SqliteReplica(path, "f", CONTROL)
    if not copy.put_aside:  # what is read at the start was spared: found by the first look at the rest
        assert not copy.check()
        copy.renew()
    assert copy.count() == 0
    assert all(state.lost for state in copy.states().values())
    copy.close()


def test_rows_past_their_stream_are_damage(path: Path) -> None:
    copy = filled(path, 10)
    copy.close()
    with sqlite3.connect(path) as made:
        made.execute("UPDATE streams SET number = 4")
    made.close()
    copy = SqliteReplica(path, "f", CONTROL)
    assert "past its position" in copy.damaged_at_start
    assert copy.count() == 0
    copy.close()


def test_only_the_newest_damaged_files_are_kept(path: Path) -> None:
    now = iter(range(1000, 100_000))
    copy = SqliteReplica(path, "f", CONTROL, wall_ms=lambda: next(now))
    for _ in range(MOST_ASIDE + 2):
        copy.damaged = "by the test"
        copy.renew()
    kept = [one.name for one in path.parent.iterdir() if ".damaged-" in one.name and "-wal" not in one.name]
    assert sorted(kept) == sorted(one.name for one in copy.put_aside[-MOST_ASIDE:])
    copy.close()


def test_a_full_disk_refuses_a_change_whole_and_takes_it_once_there_is_room(path: Path) -> None:
    copy = filled(path, 20)
    assert copy._conn is not None
    pages = copy._conn.execute("PRAGMA page_count").fetchone()[0]
    copy._conn.execute(f"PRAGMA max_page_count = {pages}")
    replica = Replica("c1", CONTROL, copy, Random(1))
    before = copy.states(), copy.count(), copy.guaranteed(), replica.announce()
    with pytest.raises(ReplicaError, match="full"):
        for name in C1:
            replica.accept("c1", "c1", entry(name, pad="y" * 4000))
            before = copy.states(), copy.count(), copy.guaranteed(), replica.announce()
    assert (copy.states(), copy.count(), copy.guaranteed(), replica.announce()) == before
    assert not copy.damaged
    assert copy.check()
    copy._conn.execute("PRAGMA max_page_count = 100000")
    last = replica.states["c1"].number
    assert replica.accept("c1", "c1", entry(C1[0], pad="y" * 4000)).number == last + 1
    copy.close()


def test_what_is_raised_within_a_change_undoes_it_whole_and_the_next_is_taken(copy: SqliteReplica) -> None:
    put(copy, entry("a", 1))
    before = copy.states(), copy.count(), copy.guaranteed()
    with pytest.raises(OverflowError):
        put(copy, entry("b", 2, share={"guarantee": 0.5}), LogEntry(3, "c", 1 << 70, "", "active", b"{}"))
    assert (copy.states(), copy.count(), copy.guaranteed()) == before
    assert copy.get("b") is None
    put(copy, entry("b", 2))
    assert copy.count() == 2
    assert copy.match("b.example", "/") is not None


def test_what_a_holder_accepts_is_synced_and_what_is_pulled_need_not_be(copy: SqliteReplica) -> None:
    def level() -> int:
        assert copy._conn is not None
        return int(copy._conn.execute("PRAGMA synchronous").fetchone()[0])

    replica = Replica("c1", CONTROL, copy, Random(1))
    for number in (1, 3):
        assert replica.accept("c1", "c1", entry(C1[number])).number == number
        assert level() == 2
        put(copy, entry(C1[number + 1], number + 1))
        replica.reload()
        assert level() == 1
    replica.begin_term("c1", "c1")
    assert level() == 2


# Kills


CHILD = """
import os, signal, sys
from pathlib import Path
from random import Random
sys.path[:0] = {paths!r}
from replicas import CONTROL, entry, names_of
from reelusher.fleet.replication.sqlite_replica import SqliteReplica
from reelusher.fleet.replication.messages import LogSegment
from reelusher.fleet.replication.replica import Replica, Pull
from reelusher.fleet.replication.messages import EntriesReply
path, what, left = Path(sys.argv[1]), sys.argv[2], int(sys.argv[3])
copy = SqliteReplica(path, "f", CONTROL)
replica = Replica("c1" if what == "accept" else "n", CONTROL, copy, Random(1))
def count(statement):
    global left
    left -= 1
    if left == 0:
        os.kill(os.getpid(), signal.SIGKILL)
copy._conn.set_trace_callback(count)
names = names_of("c1", 5)
if what == "accept":
    for name in names[:3]:
        made = replica.accept("c1", "c1", entry(name))
        print(made.number, flush=True)
else:
    epoch = replica.states["c1"].epoch
    for at in range(0, 4, 2):
        entries = [entry(names[at], at + 1), entry(names[at + 1], at + 2)]
        pieces = [LogSegment("c1", epoch, (), at, at + 2, entries, at < 2, 0, 4, 4)]
        pull = replica._pulling = Pull("x", None, 1e9)
        replica.take(pull, EntriesReply(pieces), 1.0)
        print(replica.states["c1"].number, flush=True)
print("end", flush=True)
"""


def child(path: Path, what: str, left: int) -> list[str]:
    """Run changes in a process that kills itself before a statement; return what it told."""
    here = Path(__file__).parent
    script = CHILD.format(paths=[str(here), str(here.parent)])
    done = subprocess.run(
        [sys.executable, "-c", script, str(path), what, str(left)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode in (0, -signal.SIGKILL), done.stderr
    return done.stdout.split()


@pytest.mark.parametrize("what", ["accept", "take"])
def test_a_kill_before_any_statement_loses_nothing_that_was_told_and_leaves_no_half(
    tmp_path: Path, what: str
) -> None:
    names, killed = C1[:4], 0
    for left in range(1, 200):
        path = tmp_path / f"{left}.db"
        told = child(path, what, left)
        copy = SqliteReplica(path, "f", CONTROL)
        assert not copy.put_aside
        assert copy.check()
        state = copy.states().get("c1", FIRST)
        rows = {row.name: row.revision for row in copy.page("", 100)}
        acknowledged = max((int(one) for one in told if one != "end"), default=0)
        assert acknowledged <= state.number <= acknowledged + (1 if what == "accept" else 2)
        assert rows == {name: number for number, name in enumerate(names, 1) if number <= state.number}
        assert copy.count() == len(rows)
        for name in rows:
            assert copy.match(f"{name}.example", "/") is not None
        if what == "accept":
            replica = Replica("c1", CONTROL, copy, Random(1))
            assert replica.accept("c1", "c1", entry(names[0])).number == state.number + 1
        copy.close()
        if "end" in told:
            break
        killed += 1
    assert killed > 20
    assert "end" in told


def test_what_is_read_for_a_piece_is_of_one_instant(copy: SqliteReplica) -> None:
    put(copy, *(entry(name, number) for number, name in enumerate(C1[:20], 1)))
    stop, faults = threading.Event(), []

    def write() -> None:
        number = 20
        while not stop.is_set():
            number += 1
            put(copy, entry(C1[number % 20], number))

    writer = threading.Thread(target=write)
    writer.start()
    try:
        for _ in range(300):
            given = copy.given("c1", 0, 1 << 20)
            assert given is not None
            numbers = [one.number for one in given.entries]
            if len(numbers) != 20 or numbers[-1] != given.state.number or sorted(numbers) != numbers:
                faults.append((numbers, given.state))
    finally:
        stop.set()
        writer.join()
    assert not faults


def test_names_of_the_tests_are_of_the_stream_they_are_put_into() -> None:
    assert {stream_of(name, CONTROL) for name in C1} == {"c1"}
    assert tenant_json("a").startswith(b"{")
