"""Who may write and when, who has what, and nodes that replicate over sockets of loopback."""

import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from typing import ClassVar

import pytest
from helpers import soon
from replicas import CONTROL, Replicas, entry, names_of
from test_sqlite_replica import corrupt_file

from reelusher.config.operator.fleet import Fleet
from reelusher.core.counters import Counters
from reelusher.fleet.membership.messages import MemberState, Update
from reelusher.fleet.membership.service import Membership
from reelusher.fleet.replication import replica as replica_module
from reelusher.fleet.replication import replication_progress
from reelusher.fleet.replication import service as serving
from reelusher.fleet.replication.leadership import ALONE_SETTLE_S, RESTORE_QUIET_S, SETTLE_S, Leadership
from reelusher.fleet.replication.messages import MAX_TENANT_BYTES, EntriesReply, EntriesRequest, LogEntry
from reelusher.fleet.replication.positions import Position, first_term, leader_of
from reelusher.fleet.replication.pull_scheduler import CLAIM_TTL_S
from reelusher.fleet.replication.replica import NotLeaderError, Replica
from reelusher.fleet.replication.replica_store import MemoryReplicaStore, ReplicaError
from reelusher.fleet.replication.replication_progress import ReplicationProgress
from reelusher.fleet.replication.service import Replication
from reelusher.fleet.replication.sqlite_replica import SqliteReplica
from reelusher.net.threads import start_thread

C1, C2 = names_of("c1", 40), names_of("c2", 40)


# When a holder may write


class Clock:
    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


def leadership_of(fleet: Replicas, clock: Clock, name: str = "c1") -> Leadership:
    return Leadership(fleet.replicas[name], Counters(), clock)


@pytest.mark.parametrize(
    ("others", "heard", "since_s", "may"),
    [
        (0, 0, ALONE_SETTLE_S - 0.1, False),
        (0, 0, ALONE_SETTLE_S, True),
        (5, 0, ALONE_SETTLE_S, False),
        (5, 2, 1.0, False),
        (5, 3, 0.1, True),
        (1, 1, 0.1, True),
        (2, 1, 0.1, False),
        (5, 0, SETTLE_S, True),
    ],
)
def test_no_change_is_accepted_before_others_were_observed(
    others: int, heard: int, since_s: float, may: bool
) -> None:
    fleet, clock = Replicas(0), Clock()
    leadership = leadership_of(fleet, clock)
    for number in range(heard):
        leadership.observe(f"n{number}")
        leadership.observe(f"n{number}")
    clock.now += since_s
    leadership.tick(others, False)
    if may:
        assert leadership.accept("c1", entry(C1[0])).index == 1
    else:
        with pytest.raises(NotLeaderError, match="not heard"):
            leadership.accept("c1", entry(C1[0]))
        with pytest.raises(NotLeaderError, match="not heard"):
            leadership.take_over("c2")


def test_lone_leader_writes_at_once_and_reports_each_change() -> None:
    told: list[tuple[str, Position, float]] = []
    leadership = Leadership(
        Replicas(0).replicas["c1"], Counters(), lambda: 7.0, lambda *one: told.append(one), alone=True
    )
    made = leadership.accept("c1", entry(C1[0]))
    assert told == [("c1", (made.term, 1), 7.0)]
    with pytest.raises(NotLeaderError, match="c2 writes"):
        leadership.accept("c2", entry(C2[0]))


def test_two_live_members_of_one_name_do_not_write() -> None:
    fleet, clock = Replicas(0), Clock()
    leadership = leadership_of(fleet, clock)
    leadership.observe("n1")
    leadership.tick(1, True)
    with pytest.raises(NotLeaderError, match="another live member"):
        leadership.accept("c1", entry(C1[0]))
    leadership.tick(1, False)
    assert leadership.accept("c1", entry(C1[0])).index == 1


@pytest.mark.parametrize("kept", [0, 2])
def test_leader_with_an_older_file_pulls_its_changes_and_begins_a_term(tmp_path: Path, kept: int) -> None:
    fleet, clock = Replicas(2, tmp_path), Clock()
    for name in C1[:kept]:
        fleet.change(name)
    older = fleet.stores["c1"]
    assert isinstance(older, SqliteReplica)
    older.close()
    backup = {path: path.read_bytes() for path in tmp_path.glob("c1-*.db*")}
    fleet.restart("c1")
    for name in C1[kept:5]:
        fleet.change(name)
    fleet.settle()
    fleet.close("c1")
    for path in tmp_path.glob("c1-*.db*"):
        path.unlink()
    for path, data in backup.items():
        path.write_bytes(data)
    fleet.restart("c1")
    assert fleet.replicas["c1"].states.get("c1")
    assert fleet.replicas["c1"].states["c1"].index == kept
    leadership = leadership_of(fleet, clock)
    told = list(fleet.replicas["n1"].announce())
    fleet.replicas["c1"].pulls.observe("n1", "", told, clock.now)
    leadership.observe("n1")
    leadership.tick(1, False)
    with pytest.raises(NotLeaderError, match=r"others have stream c1 up to 8.5"):
        leadership.accept("c1", entry(C1[9]))
    for _ in range(10):
        if not fleet.pull("c1", "n1"):
            break
    fleet.restart("c1")  # what it knows of that outlives a restart
    leadership = leadership_of(fleet, clock)
    leadership.observe("n1")
    leadership.tick(1, False)
    with pytest.raises(NotLeaderError, match="older one"):
        leadership.accept("c1", entry(C1[9]))
    clock.now += RESTORE_QUIET_S + 0.1
    leadership.tick(1, False)
    made = leadership.accept("c1", entry(C1[9]))
    assert (made.term, made.index) == (16, 6)
    fleet.settle()
    assert fleet.live_rows("n1") == fleet.live_rows("c1")
    assert len(fleet.live_rows("n1")) == 6
    fleet.close()


def test_changes_that_only_an_absent_member_had_become_divergent_rows(tmp_path: Path) -> None:
    fleet, clock = Replicas(2, tmp_path), Clock()
    fleet.change(C1[0])
    fleet.settle()
    fleet.change(C1[1])
    fleet.pull("n2", "c1")  # and then n2 is away, and c1's machine lost
    fleet.add("c1")
    leadership = leadership_of(fleet, clock)
    leadership.observe("n1")
    leadership.tick(1, False)
    fleet.pull("c1", "n1")
    for _ in range(2):
        leadership.tick(1, False)
        clock.now += CLAIM_TTL_S
    made = leadership.accept("c1", entry(C1[2]))
    assert (made.term, made.index) == (16, 2)
    fleet.settle()
    assert fleet.divergent_rows("n2") == [(C1[1], 2)]
    assert (
        fleet.live_rows("n2")
        == fleet.live_rows("n1")
        == fleet.live_rows("c1")
        == {C1[0]: (1, "active"), C1[2]: (2, "active")}
    )
    fleet.close()


def test_new_term_begins_only_after_a_quiet_time(tmp_path: Path) -> None:
    fleet, clock = Replicas(2, tmp_path), Clock()
    for name in C1[:3]:
        fleet.change(name)
        fleet.pull("n1", "c1")
        if name == C1[1]:
            fleet.pull("n2", "c1")
    fleet.add("c1")
    leadership = leadership_of(fleet, clock)
    leadership.observe("n2")
    leadership.tick(1, False)
    fleet.pull("c1", "n2")
    leadership.tick(1, False)
    for _ in range(3):
        clock.now += RESTORE_QUIET_S - 1
        fleet.replicas["c1"].pulls.observe("n1", "", list(fleet.replicas["n1"].announce()), clock.now)
        leadership.tick(1, False)
    fleet.pull("c1", "n1")
    assert fleet.replicas["c1"].states["c1"].index == 3
    leadership.tick(1, False)
    clock.now += RESTORE_QUIET_S - 0.1
    leadership.tick(1, False)
    with pytest.raises(NotLeaderError, match="older one"):
        leadership.accept("c1", entry(C1[3]))
    clock.now += 0.2
    leadership.tick(1, False)
    assert leadership.accept("c1", entry(C1[3])).index == 4
    fleet.close()


def test_claim_without_entries_expires() -> None:
    fleet, clock = Replicas(1), Clock()
    leadership = leadership_of(fleet, clock)
    leadership.observe("n1")
    leadership.tick(1, False)
    false = list(fleet.replicas["n1"].announce())
    false[2] = 99
    fleet.replicas["c1"].pulls.observe("n1", "", false, clock.now)
    with pytest.raises(NotLeaderError, match="others have"):
        leadership.accept("c1", entry(C1[0]))
    clock.now += CLAIM_TTL_S + 0.1
    assert leadership.accept("c1", entry(C1[0])).index == 1


def test_take_over_needs_what_others_have_unless_forced() -> None:
    fleet, clock = Replicas(1), Clock()
    fleet.change(C1[0])
    fleet.settle()
    fleet.change(C1[1])
    fleet.pull("n1", "c1")
    leadership = leadership_of(fleet, clock, "c2")
    leadership.observe("n1")
    leadership.tick(1, False)
    fleet.replicas["c2"].pulls.observe("n1", "", list(fleet.replicas["n1"].announce()), clock.now)
    with pytest.raises(NotLeaderError, match="others have stream c1"):
        leadership.take_over("c1")
    fleet.pull("c2", "n1")
    assert leadership.take_over("c1") == (17, 2)
    assert leadership.leads("c1")
    other = leadership_of(fleet, clock, "c1")
    assert other.take_over("c1", force=True) == (16, 2)


@pytest.mark.parametrize("killed_after", ["check", "disk", "first pull", "answer"])
def test_killed_leader_never_gives_an_index_twice(tmp_path: Path, killed_after: str) -> None:
    fleet = Replicas(2, tmp_path)
    fleet.change(C1[0])
    fleet.settle()
    acknowledged = False
    if killed_after != "check":
        fleet.change(C1[1])
    if killed_after in ("first pull", "answer"):
        fleet.pull("n1", "c1")
    if killed_after == "answer":
        acknowledged = True
    fleet.restart("c1")
    again = fleet.change(C1[2])
    assert again.index == (2 if killed_after == "check" else 3)
    fleet.settle()
    assert fleet.live_rows("n2") == fleet.live_rows("c1") == fleet.live_rows("n1")
    assert not acknowledged or C1[1] in fleet.live_rows("n2")
    fleet.close()


# Who has what


def live(*names: str) -> list[Update]:
    return [Update(name, name, "", "", 1, MemberState.ALIVE) for name in names]


def test_progress_counts_members_with_a_change_and_names_the_slowest() -> None:
    fleet = Replicas(3)
    progress = ReplicationProgress(fleet.replicas["c1"], "c1")
    members = live("c1", "c2", "n1", "n2", "n3")
    made = fleet.change(C1[0])
    progress.record_change("c1", Position(made.term, 1), 10.0)
    for name in ("n1", "n2"):
        fleet.pull(name, "c1")
        progress.observe(name, list(fleet.replicas[name].announce()), 11.0)
    progress.observe("n3", list(fleet.replicas["n3"].announce()), 12.0)
    (told,) = progress.report(members, 13.0)
    assert (told["stream"], told["position"], told["members"], told["have"], told["everywhere"]) == (
        "c1",
        "8.1",
        4,
        2,
        None,
    )
    assert told["slowest"] == [
        {"name": "c2", "address": "c2", "position": None, "heard_s": None},
        {"name": "n3", "address": "n3", "position": "8.0", "heard_s": 1.0},
    ]
    fleet.settle()
    for name in ("c2", "n3"):
        progress.observe(name, list(fleet.replicas[name].announce()), 14.0)
    assert progress.is_due(15.0)
    progress.tick(members, 15.0)
    (told,) = progress.report(members, 18.0)
    assert told["have"] == 4
    assert told["slowest"] == []
    assert told["everywhere"] == {"position": "8.1", "since_s": 3.0, "took_s": 5.0}
    assert not progress.is_due(20.0)


def test_lagging_members_are_called_paced_and_least_recently_heard_first() -> None:
    fleet = Replicas(0)
    progress = ReplicationProgress(fleet.replicas["c1"], "c1")
    places = [f"n{number}" for number in range(300)]
    members = live("c1", *places)
    made = fleet.change(C1[0])
    progress.record_change("c1", Position(made.term, 1), 100.0)
    old = list(fleet.replicas["c2"].announce())
    for at, place in enumerate(places):
        progress.observe(place, old, 50.0 + at / 10)
    assert progress.tick(members, 100.0 + replication_progress.GRACE_S - 0.1) == []
    first = progress.tick(members, 110.0)
    assert first == places[:10]
    assert progress.tick(members, 110.15) == places[10:11]
    total = sum(len(progress.tick(members, 110.0 + step)) for step in range(1, 21))
    assert 190 <= total <= 20 * replication_progress.CALLS_PER_S + 1
    progress.report(members, 140.0)
    quick = progress.tick(members, 141.0)
    never = places[11 + total :]
    assert len(quick) == replication_progress.QUICK_CALLS_PER_S
    assert quick[: len(never)] == never
    for place in places:
        progress.observe(place, list(fleet.replicas["c1"].announce()), 142.0)
    assert progress.tick(members, 143.0) == []


def test_wait_for_copies_returns_as_soon_as_enough_members_have_them() -> None:
    fleet = Replicas(2)
    progress = ReplicationProgress(fleet.replicas["c1"], "c1")
    made = fleet.change(C1[0])
    position = Position(made.term, made.index)
    assert progress.wait("c1", position, 1, 0.01) == 0
    got: list[int] = []
    waiter = threading.Thread(target=lambda: got.append(progress.wait("c1", position, 2, 10.0)))
    waiter.start()
    assert soon(lambda: progress.is_due(0.0))
    assert set(progress.tick(live("c1", "c2", "n1", "n2"), 1.0)) == {"c2", "n1", "n2"}
    fleet.settle()
    progress.observe("n1", list(fleet.replicas["n1"].announce()), 1.0)
    progress.observe("x", [1, 2, 3], 1.0)
    assert not got
    progress.observe("n2", list(fleet.replicas["n2"].announce()), 1.0)
    waiter.join(5)
    assert got == [2]


def test_progress_is_bounded_and_forgets_members_that_left(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replication_progress, "MAX_MEMBERS", 5)
    fleet = Replicas(0)
    progress = ReplicationProgress(fleet.replicas["c1"], "c1")
    for number in range(9):
        progress.observe(f"n{number}", list(fleet.replicas["c2"].announce()), float(number))
    assert len(progress._vectors) == 5
    assert len({id(one) for one in progress._vectors.values()}) == 1
    progress.tick(live("c1", "n8"), 10.0)
    assert set(progress._vectors) == {"n8"}


# On loopback


class Node:
    """Membership, copy and replication of one node."""

    def __init__(self, folder: Path, name: str, seeds: list[tuple[str, int]]) -> None:
        (folder / "secret").write_text("a secret of sixteen or more")
        self.counters = Counters()
        self.membership = Membership(
            Fleet("f", ("127.0.0.1", 0), ("127.0.0.1", 0), tuple(seeds), "z", "r", str(folder / "secret")),
            name,
            Random(name),
            self.counters,
        )
        place = self.membership.live()[0].address
        self.copy = SqliteReplica(folder / f"{name}.db", "f", CONTROL)
        self.replica = Replica(place, CONTROL, self.copy, Random(name), "z", time.monotonic(), name)
        self.replication = Replication(self.copy, self.replica, self.membership, Random(name), self.counters)
        self.membership.start()
        self.replication.start(start_thread)

    def close(self) -> None:
        self.membership.close()
        self.replication.close()


Start = Callable[..., Node]


@pytest.fixture
def start(tmp_path: Path) -> Iterator[Start]:
    nodes: list[Node] = []

    def started(name: str, *seeds: Node) -> Node:
        node = Node(tmp_path, name, [seed.membership.address for seed in seeds])
        nodes.append(node)
        return node

    yield started
    for node in nodes:
        node.close()


def writes(node: Node, partition: str, made: LogEntry, within_s: float = 8.0) -> LogEntry:
    """Have a node accept a change as soon as it may."""
    until = time.monotonic() + within_s
    while True:
        try:
            return node.replication.leadership.accept(partition, made)
        except NotLeaderError:
            if time.monotonic() > until:
                raise
            time.sleep(0.05)


def test_changes_replicate_over_sockets_and_the_leader_tracks_progress(start: Start) -> None:
    c1 = start("c1")
    others = [start("c2", c1), start("n1", c1), start("n2", c1)]
    made = writes(c1, "c1", entry(C1[0]))
    position = Position(made.term, made.index)
    assert c1.replication.wait_for_copies("c1", position, 3, 5.0) == 3
    assert all(node.copy.match(f"{C1[0]}.example", "/x") is not None for node in others)
    begun_s = time.monotonic()
    for number in range(30):
        writes(others[0], "c2", entry(C2[number]))
    assert soon(lambda: all(node.copy.count() == 31 for node in [c1, *others]))
    assert time.monotonic() - begun_s < 5
    assert soon(lambda: bool(c1.replication.progress_report()[0]["everywhere"]))
    (told,) = c1.replication.progress_report()
    assert (told["members"], told["have"], told["slowest"]) == (3, 3, [])
    pulls = others[1].counters.snapshot()["replication.pulls"]
    assert pulls < 25  # several changes come with one


def test_large_entry_and_bootstrap_over_sockets(start: Start) -> None:
    c1 = start("c1")
    n1 = start("n1", c1)
    large = LogEntry(0, C1[0], 0, "op", "active", b'{"pad": "' + b"x" * (MAX_TENANT_BYTES - 20) + b'"}')
    writes(c1, "c1", large)
    for name in C1[1:]:
        writes(c1, "c1", entry(name, pad="y" * 4000))
    assert soon(lambda: n1.copy.count() == 40)
    n2 = start("n2", n1)
    before = n2.copy.count()
    assert n2.replication.is_bootstrapping() or before == 40  # a name that is not found there may yet come
    assert soon(lambda: n2.copy.count() == 40, 15)
    assert soon(lambda: not n2.replication.is_bootstrapping())
    row = n2.copy.get(C1[0])
    assert row is not None
    assert row.tenant == large.tenant


def test_damaged_store_of_a_running_node_is_recreated_and_refilled(
    start: Start, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(serving, "RECREATE_INTERVAL_S", (0.1, 0.2))
    c1 = start("c1")
    n1 = start("n1", c1)
    for name in C1:
        writes(c1, "c1", entry(name, pad="z" * 500))
    assert soon(lambda: n1.copy.count() == 40)
    conn = n1.copy.database.writer
    assert conn is not None
    conn.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    corrupt_file(n1.copy.path)
    assert not n1.copy.check()
    assert n1.copy.damage
    assert soon(lambda: not n1.copy.damage and n1.copy.count() == 40, 15)
    assert not n1.replica.states["c1"].lost
    assert soon(lambda: not n1.replication.is_bootstrapping())
    assert n1.counters.snapshot()["replication.copies_damaged"] == 1
    writes(c1, "c1", entry(C1[0], pad="after"))
    assert soon(lambda: n1.replica.announce() == c1.replica.announce())


def test_leader_with_a_damaged_store_writes_only_after_a_take_over(
    start: Start, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(serving, "RECREATE_INTERVAL_S", (0.1, 0.2))
    c1 = start("c1")
    n1 = start("n1", c1)
    for name in C1[:20]:
        writes(c1, "c1", entry(name))
    assert soon(lambda: n1.copy.count() == 20)
    c1.copy.database.damage = "by the test"
    assert soon(lambda: not c1.copy.damage and c1.copy.count() == 20, 15)
    with pytest.raises(NotLeaderError, match="damaged"):
        writes(c1, "c1", entry(C1[30]), RESTORE_QUIET_S + 2)
    begun = c1.replication.leadership.take_over("c1")
    assert begun.term > first_term("c1", CONTROL)
    assert leader_of(begun.term, CONTROL) == "c1"
    made = writes(c1, "c1", entry(C1[30]))
    assert (made.term, made.index) == (begun.term, 21)
    assert soon(lambda: n1.copy.get(C1[30]) is not None)
    assert n1.counters.snapshot().get("replication.orphans", 0) == 0


def test_lone_node_serves_and_lone_leader_writes(start: Start) -> None:
    c1 = start("c1")
    assert writes(c1, "c1", entry(C1[0]), ALONE_SETTLE_S + 3).index == 1
    assert c1.copy.match(f"{C1[0]}.example", "/") is not None


def test_node_is_bootstrapping_until_it_has_what_others_announced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class Deaf:
        handlers: ClassVar[dict[type, Callable[..., object]]] = {}

    fleet = Replicas(1)
    replica, now = Replica("n2", CONTROL, MemoryReplicaStore(), Random(1)), time.monotonic()
    node = Replication(None, replica, Deaf(), Random(1), Counters())  # type: ignore[arg-type]
    assert node.is_bootstrapping()  # nobody was heard yet
    replica.pulls.observe("c1", "", list(fleet.replicas["c1"].announce()), now)
    assert not node.is_bootstrapping()  # nobody has anything
    fleet.change(C1[0])
    replica.pulls.observe("c1", "", list(fleet.replicas["c1"].announce()), now)
    assert not node.is_bootstrapping()  # the first change is no fill
    for number in range(replica_module.BOOTSTRAP_MIN_CHANGES):
        fleet.change(C1[0], pad=number)
    replica.pulls.observe("c1", "", list(fleet.replicas["c1"].announce()), now)
    assert node.is_bootstrapping()
    pull = replica.pulls.next_pull(now + 1)
    assert pull is not None
    replica.apply_reply(pull, fleet.replicas["c1"].answer(pull.request, now), now + 1)
    assert not node.is_bootstrapping()
    assert replica.announce() == fleet.replicas["c1"].announce()
    replica = Replica("n3", CONTROL, MemoryReplicaStore(), Random(1))
    alone = Replication(None, replica, Deaf(), Random(1), Counters())  # type: ignore[arg-type]
    assert alone.is_bootstrapping()
    monkeypatch.setattr(serving, "SETTLE_S", 0.0)
    assert not alone.is_bootstrapping()
    single = Replication(None, replica, None, Random(1), Counters())  # type: ignore[arg-type]
    assert not single.is_bootstrapping()


def test_unreadable_store_sends_nothing_and_is_reported() -> None:
    class Broke(MemoryReplicaStore):
        def read_batch(self, partition: str, since: int, max_bytes: int = 0) -> None:
            raise ReplicaError("disk I/O error")

    class Deaf:
        def __init__(self) -> None:
            self.handlers: dict[type, Callable[..., object]] = {}

    counters, deaf = Counters(), Deaf()
    replica = Replica("c1", CONTROL, Broke(), Random(1), own_name="c1")
    replica.accept("c1", "c1", entry(C1[0]))
    Replication(None, replica, deaf, Random(1), counters)  # type: ignore[arg-type]
    told = replica.announce()
    asked = EntriesRequest("n1", told[0], [told[0], 8, 0, 9, 0])
    assert deaf.handlers[EntriesRequest](asked) == EntriesReply([])
    assert counters.snapshot()["replication.copy_failed"] == 1
