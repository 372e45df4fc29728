"""Replication: what replicas agree on, in whatever order they exchange, and what they refuse."""

import contextlib
import tempfile
from collections.abc import Iterator
from heapq import heapify, heappop, heappush
from math import inf
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from replicas import CONTROL, Replicas, entry, names_of

from reelusher.fleet.replication import replica as replica_module
from reelusher.fleet.replication.messages import (
    MAX_REPLY_BYTES,
    MAX_SEGMENT_BYTES,
    MAX_TENANT_BYTES,
    EntriesReply,
    EntriesRequest,
    LogEntry,
    LogSegment,
)
from reelusher.fleet.replication.positions import (
    Position,
    control_digest,
    first_term,
    leader_of,
    next_term,
    pack,
    partition_of,
    shared_through_index,
    unpack,
)
from reelusher.fleet.replication.pull_scheduler import (
    BOOTSTRAP_SEGMENTS_PER_S,
    MIN_PULL_INTERVAL_S,
    PULL_DELAY_S,
)
from reelusher.fleet.replication.replica import NotLeaderError, Replica
from reelusher.fleet.replication.replica_store import MemoryReplicaStore, PartitionState, ReplicaError

C1, C2 = names_of("c1", 40), names_of("c2", 40)


@pytest.fixture(params=["memory", "file"])
def folder(request: pytest.FixtureRequest, tmp_path: Path) -> Path | None:
    """Return where members keep their rows; None: in memory."""
    return tmp_path if request.param == "file" else None


def live(fleet: Replicas, name: str) -> dict[str, tuple[int, str]]:
    return fleet.live_rows(name)


def replicas_equal(fleet: Replicas) -> bool:
    return (
        all(live(fleet, name) == live(fleet, "c1") for name in fleet.replicas)
        and len({tuple(one.announce()) for one in fleet.replicas.values()}) == 1
    )


def make_segment(state: PartitionState, entries: list[LogEntry], since: int = 0, **more: Any) -> LogSegment:
    through_index = more.pop("through_index", entries[-1].index if entries else since)
    fields = {
        "partition": "c1",
        "term": state.term,
        "bases": state.bases,
        "covered": through_index,
        "goal": through_index,
    }
    return LogSegment(
        since=since, through_index=through_index, entries=entries, more=False, **(fields | more)
    )


# Names, streams, vectors


def test_partition_of_spreads_names_evenly_and_moves_few_when_control_grows() -> None:
    control = ["a", "b", "c"]
    names = [f"tenant-{number}" for number in range(3000)]
    before = [partition_of(name, control) for name in names]
    assert all(before.count(member) > 850 for member in control)
    after = [partition_of(name, [*control, "d"]) for name in names]
    assert {new for old, new in zip(before, after, strict=True) if new != old} == {"d"}
    assert partition_of("x", control) == partition_of("x", control[::-1])


@given(st.lists(st.tuples(st.integers(0, 1 << 40), st.integers(0, 1 << 40)), min_size=2, max_size=2))
def test_unpack_restores_a_packed_vector_and_rejects_another_control_list(
    told: list[tuple[int, int]],
) -> None:
    vector = {name: Position(*one) for name, one in zip(CONTROL, told, strict=True)}
    assert unpack(pack(vector, CONTROL), CONTROL) == vector
    assert unpack(pack(vector, CONTROL), ("c1", "c3")) is None
    assert control_digest(CONTROL) == control_digest(CONTROL[::-1]) < 1 << 32


def test_term_names_its_leader_and_concurrent_take_overs_begin_different_terms() -> None:
    begun = first_term("c2", CONTROL)
    assert leader_of(begun, CONTROL) == "c2"
    one, other = (next_term(begun, name, CONTROL) for name in CONTROL)
    assert one != other
    assert min(one, other) > begun
    assert (leader_of(one, CONTROL), leader_of(other, CONTROL)) == CONTROL


@pytest.mark.parametrize(
    ("first", "second", "upto"),
    [
        ([], [], float("inf")),
        ([], [(17, 5)], 5),
        ([(17, 5)], [(17, 5)], float("inf")),
        ([(17, 5)], [(18, 9)], 5),
        ([(17, 5)], [(17, 5), (24, 7)], 7),
        ([(17, 5), (24, 7)], [(17, 5), (25, 6)], 6),
    ],
)
def test_histories_are_shared_up_to_the_first_different_base(first: Any, second: Any, upto: float) -> None:
    assert shared_through_index(first, second) == shared_through_index(second, first) == upto


# Exchanges


def test_changes_reach_all_replicas_and_share_a_pull(folder: Path | None) -> None:
    fleet = Replicas(3, folder)
    for name in C1[:3] + C2[:2]:
        fleet.change(name)
    taken = fleet.pull("n1", "c1")
    assert taken is not None
    assert (taken.entries, sorted(taken.changed_names)) == (3, sorted(C1[:3]))
    fleet.settle()
    assert replicas_equal(fleet)
    assert len(live(fleet, "n3")) == 5


def test_two_replicas_pull_from_each_other(folder: Path | None) -> None:
    fleet = Replicas(2, folder)
    fleet.change(C1[0])
    fleet.change(C2[0])
    fleet.pull("n1", "c1")
    fleet.pull("n2", "c2")
    one, other = fleet.request_entries("n1", "n2"), fleet.request_entries("n2", "n1")
    assert one is not None
    assert other is not None
    fleet.replicas["n1"].apply_reply(*one, fleet.now)
    fleet.replicas["n2"].apply_reply(*other, fleet.now)
    assert live(fleet, "n1") == live(fleet, "n2")
    assert len(live(fleet, "n1")) == 2


@pytest.mark.parametrize("first", ["n1", "n2"])
def test_removal_and_addition_of_one_name_converge_to_the_leaders_order(
    folder: Path | None, first: str
) -> None:
    fleet = Replicas(2, folder)
    fleet.change(C1[0])
    fleet.settle()
    fleet.change(C1[0], "")
    removed = fleet.request_entries("n1", "c1")
    fleet.change(C1[0])
    added = fleet.request_entries("n2", "c1")
    assert removed is not None
    assert added is not None
    for name in sorted(("n1", "n2"), key=lambda name: name != first):
        fleet.replicas[name].apply_reply(*{"n1": removed, "n2": added}[name], fleet.now)
    assert not live(fleet, "n1")
    assert live(fleet, "n2")
    fleet.settle()
    assert replicas_equal(fleet)
    assert live(fleet, "n1") == {C1[0]: (3, "active")}


def test_late_reply_is_not_applied(
    folder: Path | None,
) -> None:
    fleet = Replicas(1, folder)
    fleet.change(C1[0])
    asked = fleet.request_entries("n1", "c1")
    assert asked is not None
    replica = fleet.replicas["n1"]
    replica.pulls.failed(asked[0], fleet.now)
    assert replica.pulls.next_due_s() > fleet.now
    assert replica.apply_reply(*asked, fleet.now).segments == 0
    assert not live(fleet, "n1")
    fleet.settle()
    assert replicas_equal(fleet)


def test_pull_that_times_out_is_retried_at_another_member(folder: Path | None) -> None:
    fleet = Replicas(2, folder)
    fleet.change(C1[0])
    fleet.pull("n2", "c1")
    replica = fleet.replicas["n1"]
    for name in ("c1", "n2"):
        replica.pulls.observe(name, "", list(fleet.replicas[name].announce()), fleet.now)
    first = replica.pulls.next_pull(replica.pulls.next_due_s())
    assert first is not None
    assert replica.pulls.next_pull(fleet.now + 1) is None
    late_s = replica.pulls.next_due_s()
    assert replica.pulls.next_pull(late_s) is None  # waits a little first
    second = replica.pulls.next_pull(replica.pulls.next_due_s())
    assert second is not None
    assert second.address != first.address


def test_pull_follows_an_announcement_with_jitter_and_prefers_the_own_zone() -> None:
    due = set()
    for seed in range(20):
        replica = Replica("n", CONTROL, MemoryReplicaStore(), Random(seed), "near")
        other = Replica("c1", CONTROL, MemoryReplicaStore(), Random(seed))
        other.accept("c1", "c1", entry(C1[0]))
        for place, zone in (("a", "far"), ("b", "near"), ("c", "far")):
            assert replica.pulls.observe(place, zone, list(other.announce()), 5.0) == ""
        due.add(replica.pulls.next_due_s())
        pull = replica.pulls.next_pull(replica.pulls.next_due_s())
        assert pull is not None
        assert pull.address == "b"
    assert len(due) == 20
    assert 5 + PULL_DELAY_S[0] <= min(due) <= max(due) <= 5 + PULL_DELAY_S[1]


def test_pull_goes_to_the_member_furthest_ahead() -> None:
    fleet = Replicas(4, None)
    for number, name in enumerate(("n2", "n3")):
        for _ in range(1 + 2 * number):
            fleet.change(C1[0])
        fleet.pull(name, "c1")
    replica = fleet.replicas["n1"]
    for name in ("n2", "n3", "n2"):
        replica.pulls.observe(name, "", list(fleet.replicas[name].announce()), fleet.now)
    pull = replica.pulls.next_pull(replica.pulls.next_due_s())
    assert pull is not None
    assert pull.address == "n3"
    replica.pulls.failed(pull, fleet.now)
    told = list(fleet.replicas["n2"].announce())
    told[1] += 8  # a later term
    replica.pulls.observe("n4", "", told, fleet.now)
    pull = replica.pulls.next_pull(fleet.now + 10)
    assert pull is not None
    assert pull.address == "n4"


@pytest.mark.parametrize(
    ("rows", "least_s", "most_s"),
    [
        (1, 0.8 * MIN_PULL_INTERVAL_S, 1.2 * MIN_PULL_INTERVAL_S),
        (1000, 0.8 * 3.5 / BOOTSTRAP_SEGMENTS_PER_S, 1.2 * 4.5 / BOOTSTRAP_SEGMENTS_PER_S),
    ],
)
def test_interval_between_pulls_follows_bytes_not_partitions(
    rows: int, least_s: float, most_s: float
) -> None:
    """Six streams with a change each made six pieces, and a wait of 1.2 s as after six full ones."""
    control = tuple(f"c{number}" for number in range(1, 7))
    fleet = Replicas(1, None, control)
    for partition in control:
        for name in names_of(partition, rows, control):
            fleet.change(name, more="x" * 300)
        fleet.pull("c1", partition)
    found = fleet.request_entries("n1", "c1")
    assert found is not None
    pull, reply = found
    fleet.change(names_of("c1", rows + 1, control)[-1])
    replica = fleet.replicas["n1"]
    replica.pulls.observe("c1", "", list(fleet.replicas["c1"].announce()), fleet.now)
    assert len(reply.segments) == 6 if rows == 1 else len(reply.segments) >= 4
    replica.apply_reply(pull, reply, fleet.now)
    assert least_s <= replica.pulls.next_due_s() - fleet.now <= most_s


def test_no_pull_from_members_that_are_not_ahead_or_of_another_control_list(folder: Path | None) -> None:
    fleet = Replicas(1, folder)
    fleet.change(C1[0])
    writer = fleet.replicas["c1"]
    assert writer.pulls.observe("n1", "", list(fleet.replicas["n1"].announce()), fleet.now) == ""
    assert writer.pulls.observe("n1", "", list(writer.announce()), fleet.now) == ""
    other = Replica("c1", ("c1", "c3"), MemoryReplicaStore(), Random(1))
    other.accept("c1", "c1", entry(names_of("c1", 1, ("c1", "c3"))[0]))
    assert fleet.replicas["n1"].pulls.observe("x", "", list(other.announce()), fleet.now) == "control"
    assert fleet.replicas["n1"].pulls.observe("x", "", [1, 2], fleet.now) == "control"
    assert all(one.pulls.next_due_s() == float("inf") for one in (writer, fleet.replicas["n1"]))
    told = other.announce()
    assert writer.answer(EntriesRequest("x", told[0], list(told)), fleet.now) == EntriesReply([])


def test_member_at_its_limit_names_alternatives(folder: Path | None) -> None:
    fleet = Replicas(4, folder)
    fleet.change(C1[0])
    for name in ("n2", "n3"):
        fleet.pull(name, "c1")
        fleet.replicas["c1"].pulls.observe(name, "", list(fleet.replicas[name].announce()), fleet.now)
    writer, puller = fleet.replicas["c1"], fleet.replicas["n1"]
    request = EntriesRequest("n4", writer.announce()[0], [writer.announce()[0], 0, 0, 0, 0])
    while writer.answer(request, fleet.now).segments:
        pass
    replica_heard = puller.pulls.observe("c1", "", list(writer.announce()), fleet.now)
    assert replica_heard == ""
    pull = puller.pulls.next_pull(puller.pulls.next_due_s())
    assert pull is not None
    reply = writer.answer(pull.request, fleet.now)
    assert not reply.segments
    assert set(reply.alternatives) == {"n2", "n3"}
    assert puller.apply_reply(pull, reply, fleet.now).segments == 0
    second = puller.pulls.next_pull(puller.pulls.next_due_s())
    assert second is not None
    assert second.address in ("n2", "n3")
    assert writer.answer(pull.request, fleet.now + 1).segments


def test_segments_and_replies_are_bounded_and_no_partition_starves(folder: Path | None) -> None:
    fleet = Replicas(1, folder)
    for name in C1 + C2:
        fleet.change(name, pad="x" * 20_000)
    asked = fleet.request_entries("n1", "c1")
    assert asked is not None
    segments = asked[1].segments
    assert sum(one.size for each in segments for one in each.entries) <= MAX_REPLY_BYTES + 48_000
    assert all(sum(one.size for one in each.entries) <= MAX_SEGMENT_BYTES for each in segments)
    assert len(msgspec.msgpack.encode(asked[1])) < 1 << 19
    fleet.settle()
    assert replicas_equal(fleet)
    assert len(live(fleet, "n1")) == 80


# What is refused


def bad(label: str, **more: Any) -> Any:
    return pytest.param(more, label, id=f"{label}-{'-'.join(more)}")


@pytest.mark.parametrize(
    ("more", "word"),
    [
        bad("stream", partition="c9"),
        bad("epoch", term=3),
        bad("epoch", term=8 + 7),
        bad("bases", bases=((8, 1),)),
        bad("bases", term=16),
        bad("bases", term=16, bases=((16, 4), (16, 4))),
        bad("bases", term=24, bases=((16, 9), (24, 4))),
        bad("numbers", through_index=1),
        bad("numbers", goal=1),
        bad("numbers", since=1),
        bad("numbers", entries=[entry(C1[0], 2), entry(C1[1], 1)]),
        bad("numbers", entries=[entry(C1[0], 1), entry(C1[0], 2)]),
        bad("numbers", entries=[entry(C1[0], 3)]),
        bad("name", entries=[entry(C2[0], 1)]),
        bad("epoch", entries=[LogEntry(1, C1[0], 0, "", "active", b"{}", "", 9)]),
    ],
)
def test_invalid_segment_is_rejected_whole(folder: Path | None, more: dict[str, Any], word: str) -> None:
    fleet = Replicas(1, folder)
    replica = fleet.replicas["n1"]
    fleet.change(C1[0])
    asked = fleet.request_entries("n1", "c1")
    assert asked is not None
    good: dict[str, Any] = {
        "since": 0,
        "through_index": 2,
        "goal": 2,
        "entries": [entry(C1[0], 1), entry(C1[1], 2)],
    }
    made = make_segment(replica.states["c1"], **(good | more))
    taken = replica.apply_reply(asked[0], EntriesReply([made]), fleet.now)
    assert taken.faults == [word]
    assert not live(fleet, "n1")
    assert taken.segments == 0
    assert replica.announce() == pack(
        {name: Position(first_term(name, CONTROL), 0) for name in CONTROL}, CONTROL
    )


def test_sender_of_an_invalid_segment_is_avoided_for_a_while(
    folder: Path | None,
) -> None:
    fleet = Replicas(2, folder)
    fleet.change(C1[0])
    fleet.pull("n2", "c1")
    replica = fleet.replicas["n1"]
    replica.pulls.observe("c1", "", list(fleet.replicas["c1"].announce()), fleet.now)
    pull = replica.pulls.next_pull(replica.pulls.next_due_s())
    assert pull is not None
    replica.apply_reply(
        pull, EntriesReply([make_segment(replica.states["c1"], [entry(C2[0], 1)])]), fleet.now
    )
    for name in ("c1", "n2"):
        replica.pulls.observe(name, "", list(fleet.replicas[name].announce()), fleet.now)
    second = replica.pulls.next_pull(replica.pulls.next_due_s())
    assert second is not None
    assert second.address == "n2"


def test_failed_store_applies_nothing_and_retries_later() -> None:
    class Full(MemoryReplicaStore):
        full = True

        def apply(self, *args: Any, **more: Any) -> list[str]:
            if self.full:
                raise ReplicaError("database or disk is full")
            return super().apply(*args, **more)

    fleet = Replicas(0)
    fleet.add("n1", Full())
    fleet.change(C1[0])
    taken = fleet.pull("n1", "c1")
    replica = fleet.replicas["n1"]
    assert taken is not None
    assert "full" in taken.store_error
    assert not live(fleet, "n1")
    assert fleet.now < replica.pulls.next_due_s() < fleet.now + 5
    Full.full = False
    fleet.settle()
    assert replicas_equal(fleet)


@pytest.mark.parametrize(
    "made",
    [
        entry(C2[0]),
        entry(C1[0], pad="x" * MAX_TENANT_BYTES),
        LogEntry(0, C1[0], 0, "o" * 257, "active", b"{}"),
        LogEntry(0, C1[0], -1, "", "active", b"{}"),
        LogEntry(0, C1[0], 0, "", "active", b"{}", "k" * 257),
    ],
)
def test_change_that_others_would_reject_gets_no_index(made: LogEntry) -> None:
    fleet = Replicas(0)
    with pytest.raises(ValueError, match=r"stream|length|>="):
        fleet.replicas["c1"].accept("c1", "c1", made)
    assert fleet.replicas["c1"].states["c1"].index == 0


# Tombstones, refills


def removed_while_away(fleet: Replicas) -> None:
    """Have n1 miss the removal of one name, whose tombstone the others forget."""
    for name in C1[:5]:
        fleet.change(name)
    fleet.settle()
    fleet.change(C1[1], "")
    fleet.settle("c1", "c2", "n2", "n3")
    for name in ("c1", "c2", "n2", "n3"):
        for partition in CONTROL:
            fleet.stores[name].collect(partition, 1, kept_indexes=0)
        fleet.restart(name)
    assert fleet.replicas["c1"].states["c1"].horizon == 6
    fleet.change(C1[2], pad="newer")


def test_replica_that_missed_a_collected_tombstone_is_refilled(
    folder: Path | None,
) -> None:
    fleet = Replicas(3, folder)
    removed_while_away(fleet)
    before = live(fleet, "n1")
    asked = fleet.request_entries("n1", "c1")
    assert asked is not None
    assert asked[1].segments[0].since == 0
    taken = fleet.replicas["n1"].apply_reply(*asked, fleet.now)
    assert taken.refills == ["c1"]
    assert set(before) - set(live(fleet, "n1")) == {C1[1]}
    assert C1[1] in taken.changed_names
    fleet.settle()
    assert replicas_equal(fleet)
    assert len(live(fleet, "n1")) == 4


def test_refill_serves_old_rows_and_announces_the_old_position_until_its_end(
    folder: Path | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = Replicas(3, folder)
    removed_while_away(fleet)
    monkeypatch.setattr(replica_module, "MAX_SEGMENT_BYTES", 1)
    monkeypatch.setattr(replica_module, "MAX_REPLY_BYTES", 1)
    before, told = set(live(fleet, "n1")), list(fleet.replicas["n1"].announce())
    steps = 0
    while fleet.replicas["n1"].announce() == told:
        assert set(live(fleet, "n1")) == before
        fleet.settle("n2", "c1", most=30)
        assert fleet.pull("n1", ("c1", "n2")[steps % 2]) is not None
        fleet.restart("n1")  # and goes on from where it was
        steps += 1
    assert steps == 4
    assert set(live(fleet, "n1")) == before - {C1[1]}
    assert fleet.replicas["n1"].states["c1"].cursor == -1


def test_bootstrap_from_several_members_is_not_restarted_by_their_collection(
    folder: Path | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = Replicas(3, folder)
    removed_while_away(fleet)
    fleet.settle()
    monkeypatch.setattr(replica_module, "MAX_SEGMENT_BYTES", 1)
    monkeypatch.setattr(replica_module, "MAX_REPLY_BYTES", 1)
    fleet.add("n4")
    seen = []
    for sender in ("c1", "n2", "n3", "c1", "n2"):
        taken = fleet.pull("n4", sender)
        seen.append((taken.entries, taken.refills) if taken else None)
        fleet.change(C1[3], pad=sender)  # while it is filled
        fleet.restart("n4")  # and it goes on from where it was
    fleet.settle()
    assert seen[:4] == [(1, [])] * 4
    assert replicas_equal(fleet)


def test_removed_row_does_not_return_from_a_later_bootstrap(
    folder: Path | None,
) -> None:
    fleet = Replicas(3, folder)
    removed_while_away(fleet)
    fleet.add("n4")  # has never seen the tombstone, nor that there was one
    fleet.settle("n4", "c1")
    taken = fleet.pull("n1", "n4")
    assert taken is not None
    assert taken.refills == ["c1"]
    assert live(fleet, "n1") == live(fleet, "c1")


def test_bootstrap_keeps_the_lowest_covered_index_of_its_senders(
    folder: Path | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What an early giver did not know to be removed is found out, though a later one knew more."""
    fleet = Replicas(4, folder)
    for name in C1[:5]:
        fleet.change(name)
    fleet.pull("n1", "c1")
    fleet.change(C1[0], "")
    fleet.change(C1[1], pad="newer")
    monkeypatch.setattr(replica_module, "MAX_SEGMENT_BYTES", 1)
    monkeypatch.setattr(replica_module, "MAX_REPLY_BYTES", 1)
    fleet.pull("n4", "n1")
    fleet.pull("n4", "c1")
    assert set(live(fleet, "n4")) == {C1[0], C1[2]}
    assert fleet.replicas["n4"].states["c1"].covered == 5
    fleet.replicas["c1"].store.collect("c1", 1, kept_indexes=0)
    fleet.restart("c1")
    taken = fleet.pull("n4", "c1")
    assert taken is not None
    assert taken.refills == ["c1"]
    fleet.settle("n4", "c1")
    assert live(fleet, "n4") == live(fleet, "c1")
    assert C1[0] not in live(fleet, "n4")


def test_refill_continues_to_the_furthest_goal_of_its_senders(
    folder: Path | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = Replicas(3, folder)
    removed_while_away(fleet)
    monkeypatch.setattr(replica_module, "MAX_SEGMENT_BYTES", 1)
    monkeypatch.setattr(replica_module, "MAX_REPLY_BYTES", 1)
    for sender in ("c1", "n2", "n2", "n2", "n2", "c1", "c1"):  # n2 is one behind
        fleet.pull("n1", sender)
        assert C1[2] in live(fleet, "n1")
    assert fleet.replicas["n1"].states["c1"].cursor == -1
    assert live(fleet, "n1") == live(fleet, "c1")


def test_replica_being_refilled_sends_no_segments_of_that_partition(
    folder: Path | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = Replicas(3, folder)
    removed_while_away(fleet)
    fleet.add("n4")
    monkeypatch.setattr(replica_module, "MAX_SEGMENT_BYTES", 1)
    monkeypatch.setattr(replica_module, "MAX_REPLY_BYTES", 1)
    fleet.pull("n1", "c1")
    assert fleet.replicas["n1"].states["c1"].cursor > 0
    for _ in range(3):
        taken = fleet.pull("n4", "n1")
        assert taken is not None
        assert taken.segments == 0
    fleet.settle()
    assert replicas_equal(fleet)


def test_no_segments_between_replicas_with_and_without_collected_tombstones(
    folder: Path | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = Replicas(3, folder)
    removed_while_away(fleet)
    fleet.add("n4")
    monkeypatch.setattr(replica_module, "MAX_SEGMENT_BYTES", 1)
    monkeypatch.setattr(replica_module, "MAX_REPLY_BYTES", 1)
    fleet.pull("n4", "c1")
    assert fleet.replicas["n4"].states["c1"].horizon == 6
    taken = fleet.pull("n4", "n1")
    assert taken is not None
    assert taken.faults == ["stale"]
    assert set(live(fleet, "n4")) == {C1[0]}
    fleet.settle()
    assert replicas_equal(fleet)


def test_only_old_tombstones_before_the_newest_indexes_are_collected() -> None:
    rows = MemoryReplicaStore(lambda: 50)
    replica = Replica("c1", CONTROL, rows, Random(1))
    for name in C1[:4]:
        replica.accept("c1", "c1", entry(name))
        replica.accept("c1", "c1", entry(name, state=""))
    assert rows.collect("c1", 50, kept_indexes=0) == 0
    assert rows.collect("c1", 51, kept_indexes=4) == 2
    assert rows.states()["c1"].horizon == 4


# Take-over


def test_old_leader_stops_writing_after_a_take_over(folder: Path | None) -> None:
    fleet = Replicas(2, folder)
    fleet.change(C1[0])
    fleet.settle()
    position = fleet.replicas["c2"].begin_term("c1", "c2")
    assert leader_of(position.term, CONTROL) == "c2"
    assert position.log_index == 1
    fleet.change(C1[1], by="c2")
    fleet.settle()
    assert replicas_equal(fleet)
    with pytest.raises(NotLeaderError, match="c2 writes"):
        fleet.change(C1[2])
    assert live(fleet, "n2") == {C1[0]: (1, "active"), C1[1]: (2, "active")}


def test_old_leaders_changes_past_the_take_over_are_set_aside_as_divergent(folder: Path | None) -> None:
    fleet = Replicas(2, folder)
    fleet.change(C1[0])
    fleet.settle()
    fleet.replicas["c2"].begin_term("c1", "c2")
    fleet.change(C1[1])  # the old holder is cut off and has not heard
    fleet.change(C1[0], pad="lost")
    fleet.pull("n1", "c1")
    fleet.change(C1[2], by="c2")
    told = {name: fleet.pull(name, "c2") for name in ("c1", "n1")}
    assert {name: taken.divergent for name, taken in told.items() if taken} == {
        "c1": {"c1": 2},
        "n1": {"c1": 2},
    }
    fleet.settle()
    assert replicas_equal(fleet)
    assert live(fleet, "n1") == {C1[0]: (1, "active"), C1[2]: (2, "active")}
    assert sorted(fleet.divergent_rows("n1")) == sorted([(C1[1], 2), (C1[0], 3)])


def test_concurrent_take_overs_converge_to_the_later_term(folder: Path | None) -> None:
    fleet = Replicas(3, folder)
    fleet.change(C1[0])
    fleet.settle()
    one, other = (fleet.replicas[name].begin_term("c1", name) for name in CONTROL)
    assert one != other
    fleet.change(C1[1], by="c1")
    fleet.change(C1[2], by="c2")
    fleet.pull("n1", "c1")
    fleet.pull("n2", "c2")
    fleet.settle()
    assert replicas_equal(fleet)
    assert set(live(fleet, "n1")) == {C1[0], C1[2]}


def test_replica_behind_a_take_over_continues_without_a_refill(folder: Path | None) -> None:
    fleet = Replicas(2, folder)
    for name in C1[:3]:
        fleet.change(name)
        fleet.pull("c2", "c1")
        if name == C1[0]:
            fleet.pull("n1", "c1")
    fleet.replicas["c2"].begin_term("c1", "c2")
    taken = fleet.pull("n1", "c2")
    assert taken is not None
    assert (taken.entries, taken.divergent, taken.refills) == (2, {}, [])
    fleet.settle()
    assert replicas_equal(fleet)


def test_rows_superseded_by_entries_lost_in_a_take_over_are_restored(
    folder: Path | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What a giver left out as superseded is the newest there is, once its superseder is of no history."""
    fleet = Replicas(2, folder)
    for name in C1[:4]:
        fleet.change(name)
    fleet.pull("c2", "c1")
    fleet.change(C1[1], pad="lost")  # number 5 supersedes 2
    monkeypatch.setattr(replica_module, "MAX_SEGMENT_BYTES", 1)
    monkeypatch.setattr(replica_module, "MAX_REPLY_BYTES", 1)
    for _ in range(2):
        fleet.pull("n1", "c1")  # 1 and 3, no 2
    assert live(fleet, "n1") == {C1[0]: (1, "active"), C1[2]: (3, "active")}
    fleet.replicas["c2"].begin_term("c1", "c2")
    fleet.settle("n1", "n2", "c2")
    assert (
        live(fleet, "n1") == live(fleet, "c2") == {name: (at + 1, "active") for at, name in enumerate(C1[:4])}
    )


def test_refill_after_a_take_over_reaches_the_position_it_serves(
    folder: Path | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = Replicas(2, folder)
    fleet.change(C1[0])
    fleet.pull("n2", "c1")
    for name in C1[1:4]:
        fleet.change(name)
    fleet.pull("c2", "c1")
    fleet.change(C1[0], pad="lost")
    monkeypatch.setattr(replica_module, "MAX_SEGMENT_BYTES", 1)
    monkeypatch.setattr(replica_module, "MAX_REPLY_BYTES", 1)
    fleet.pull("n1", "c1")
    fleet.pull("n1", "c1")
    state = fleet.replicas["n1"].states["c1"]
    assert (state.index, state.goal) == (3, 5)
    fleet.replicas["c2"].begin_term("c1", "c2")
    fleet.pull("n2", "c2")
    assert fleet.replicas["n2"].states["c1"].index == 2
    for _ in range(4):
        fleet.pull("n1", "n2")
    fleet.settle("n1", "n2", "c2")
    assert live(fleet, "n1") == live(fleet, "c2")
    assert len(live(fleet, "n1")) == 4


def test_incomplete_replica_takes_over_only_if_forced(
    folder: Path | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = Replicas(1, folder)
    for name in C1[:4]:
        fleet.change(name)
    monkeypatch.setattr(replica_module, "MAX_SEGMENT_BYTES", 1)
    monkeypatch.setattr(replica_module, "MAX_REPLY_BYTES", 1)
    fleet.pull("c2", "c1")
    with pytest.raises(NotLeaderError, match="refilled"):
        fleet.replicas["c2"].begin_term("c1", "c2")
    assert fleet.replicas["c2"].begin_term("c1", "c2", force=True).log_index == 1


def test_leader_knows_claims_past_its_own_position(folder: Path | None) -> None:
    fleet = Replicas(2, folder)
    fleet.change(C1[0])
    fleet.change(C1[1])
    fleet.settle()
    fleet.add("c1")  # an older copy was put back
    writer = fleet.replicas["c1"]
    assert writer.pulls.claimed("c1", fleet.now) is None
    writer.pulls.observe("n1", "", list(fleet.replicas["n1"].announce()), fleet.now)
    assert writer.pulls.claimed("c1", fleet.now) == (first_term("c1", CONTROL), 2)
    assert writer.pulls.claimed("c2", fleet.now) is None
    fleet.settle("c1", "n1")
    assert writer.pulls.claimed("c1", fleet.now) is None
    assert live(fleet, "c1") == live(fleet, "n1")


# On a clock of the test's, in a fleet as large as it may get


def spread(size: int, seed: int, changes: int = 1, loss: float = 0.0) -> tuple[list[float], list[int]]:
    """Return when each member had all changes, after they were made, and how many pulls each answered.

    Each member pings one by chance five times in 2 s and is answered; the vector rides on both datagrams. An
    exchange takes 20 ms.
    """
    random, control = Random(seed), ("c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8")
    names = [*control, *(f"n{number}" for number in range(size - len(control)))]
    all_of = {
        name: Replica(name, control, MemoryReplicaStore(), Random(random.random()), own_name=name)
        for name in names
    }
    for name in names_of("c1", changes, control):
        all_of["c1"].accept("c1", "c1", entry(name))
    told, given, had_s = list(all_of["c1"].announce()), dict.fromkeys(names, 0), {"c1": 0.0}
    events: list[tuple[float, int, str, Any]] = [
        (random.uniform(0, 0.4), number, name, None) for number, name in enumerate(names)
    ]
    heapify(events)
    number = len(events)

    def later(at_s: float, name: str, what: Any) -> None:
        nonlocal number
        number += 1
        heappush(events, (at_s, number, name, what))

    def hears(name: str, sender: str, now: float) -> None:
        if random.random() < loss:
            return
        one, due = all_of[name], all_of[name].pulls.next_due_s()
        one.pulls.observe(sender, "", all_of[sender].announce(), now)
        if due > one.pulls.next_due_s():
            later(one.pulls.next_due_s(), name, "pull")

    while events and len(had_s) < size and events[0][0] < 60.0:
        now, _, name, what = heappop(events)
        one = all_of[name]
        if what is None:
            other = names[random.randrange(size)]
            hears(other, name, now)
            hears(name, other, now)
            later(now + random.uniform(0.36, 0.44), name, None)
        elif what == "pull":
            pull = one.pulls.next_pull(now)
            if pull is not None:
                later(now + 0.02, name, pull)
        else:
            reply = all_of[what.address].answer(what.request, now)
            given[what.address] += 1
            one.apply_reply(what, reply, now)
            if one.announce() == told:
                had_s.setdefault(name, now)
            elif one.pulls.next_due_s() < inf:
                later(one.pulls.next_due_s(), name, "pull")
    return sorted(had_s.values()), sorted(given.values())


@pytest.mark.parametrize(("changes", "loss"), [(1, 0.0), (20, 0.0), (1, 0.1)])
def test_change_reaches_999_of_1000_replicas_of_3600_within_8_s(changes: int, loss: float) -> None:
    had_s, given = spread(3600, 1, changes, loss)
    assert len(had_s) == 3600
    assert had_s[int(3600 * 0.999)] < 8.0
    assert given[-1] < 60  # the writer answers some, and those go on


# Laws


STEP = st.one_of(
    st.tuples(st.just("change"), st.integers(0, 5), st.booleans()),
    st.tuples(st.just("pull"), st.integers(0, 4), st.integers(0, 4)),
    st.tuples(st.just("cut"), st.integers(0, 4), st.integers(0, 4)),
    st.tuples(st.just("twice"), st.integers(0, 4), st.integers(0, 4)),
    st.tuples(st.just("restart"), st.integers(0, 4), st.just(0)),
    st.tuples(st.just("collect"), st.integers(0, 4), st.just(0)),
)
TAKE_OVERS = st.tuples(st.just("take-over"), st.integers(0, 1), st.booleans())


def play(fleet: Replicas, steps: list[tuple[Any, ...]]) -> dict[str, tuple[int, bool]]:
    """Make steps; return what was acknowledged last of each name: its number, and whether it was removed."""
    members, names = list(fleet.replicas), C1[:3] + C2[:3]
    acknowledged: dict[str, tuple[int, bool]] = {}
    given: set[tuple[str, int, int]] = set()
    for what, first, second in steps:
        before = {name: unpack(one.announce(), CONTROL) for name, one in fleet.replicas.items()}
        if what == "change":
            name = names[first]
            holders = [one for one in CONTROL if fleet.replicas[one].leads(partition_of(name, CONTROL), one)]
            for leader in holders:
                with contextlib.suppress(NotLeaderError):
                    made = fleet.change(name, "active" if second else "", leader)
                    acknowledged[name] = made.index, not second
                    assert (partition_of(name, CONTROL), made.term, made.index) not in given
                    given.add((partition_of(name, CONTROL), made.term, made.index))
        elif what == "take-over":
            partition = CONTROL[second]
            with contextlib.suppress(NotLeaderError):
                fleet.replicas[CONTROL[first]].begin_term(partition, CONTROL[first])
        elif what == "collect":
            for partition in CONTROL:
                if fleet.replicas[members[first]].states[partition].cursor < 0:
                    fleet.stores[members[first]].collect(partition, 1, kept_indexes=0)
            fleet.restart(members[first])
        elif what == "restart":
            fleet.restart(members[first])
        elif first != second:
            asked = fleet.request_entries(members[first], members[second])
            if asked is not None and what == "cut":
                fleet.replicas[members[first]].pulls.failed(asked[0], fleet.now)
            elif asked is not None:
                fleet.replicas[members[first]].apply_reply(*asked, fleet.now)
                if what == "twice":
                    fleet.replicas[members[first]].pulls.in_flight = asked[0]
                    fleet.replicas[members[first]].apply_reply(*asked, fleet.now)
        for name, one in fleet.replicas.items():
            after = unpack(one.announce(), CONTROL)
            told = before[name]
            assert after is not None
            assert told is not None
            assert all(after[partition] >= told[partition] for partition in CONTROL)
    return acknowledged


@contextlib.contextmanager
def small_fleet(most: int, files: bool) -> Iterator[Replicas]:
    """Give five members that exchange pieces of so many bytes."""
    with pytest.MonkeyPatch.context() as patched, tempfile.TemporaryDirectory() as kept:
        patched.setattr(replica_module, "MAX_SEGMENT_BYTES", most)
        patched.setattr(replica_module, "MAX_REPLY_BYTES", most)
        fleet = Replicas(3, Path(kept) if files else None)
        yield fleet
        fleet.close()


def holds_whatever_the_order(most: int, files: bool, steps: list[tuple[Any, ...]]) -> None:
    with small_fleet(most, files) as fleet:
        acknowledged = play(fleet, steps)
        fleet.settle()
        assert replicas_equal(fleet)
        kept = live(fleet, "n3")
        assert {name: number for name, (number, removed) in acknowledged.items() if not removed} == {
            name: number for name, (number, _) in kept.items()
        }


@pytest.mark.parametrize("most", [1, 300, MAX_SEGMENT_BYTES])
@given(steps=st.lists(STEP, max_size=60))
@settings(max_examples=150, deadline=None)
def test_replicas_converge_in_any_order_without_losing_acknowledged_changes(
    most: int, steps: list[tuple[Any, ...]]
) -> None:
    holds_whatever_the_order(most, False, steps)


@given(steps=st.lists(STEP, max_size=40))
@settings(max_examples=15, deadline=None)
def test_sqlite_replicas_converge_in_any_order(steps: list[tuple[Any, ...]]) -> None:
    holds_whatever_the_order(300, True, steps)


@pytest.mark.parametrize("most", [1, MAX_SEGMENT_BYTES])
@given(steps=st.lists(st.one_of(STEP, TAKE_OVERS), max_size=60))
@settings(max_examples=300, deadline=None)
def test_replicas_converge_after_take_overs(most: int, steps: list[tuple[Any, ...]]) -> None:
    ends_alike(most, False, steps)


@given(steps=st.lists(st.one_of(STEP, TAKE_OVERS), max_size=40))
@settings(max_examples=15, deadline=None)
def test_sqlite_replicas_converge_after_take_overs(steps: list[tuple[Any, ...]]) -> None:
    ends_alike(300, True, steps)


def ends_alike(most: int, files: bool, steps: list[tuple[Any, ...]]) -> None:
    with small_fleet(most, files) as fleet:
        play(fleet, steps)
        fleet.settle()
        assert replicas_equal(fleet)
