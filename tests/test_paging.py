"""Tenants of a table on the disk: who is in memory, and what races with a change, a removal or a let-go."""

import json
import socket
import threading
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, replace
from typing import Any

import pytest
from helpers import KEYED, SAFE, settings, soon
from hypothesis import given
from hypothesis import settings as bounds
from hypothesis import strategies as st
from test_core import Backend
from test_tenant_index import asked, rule, tenant, tenants

from reelusher.codecs import ajp13
from reelusher.config.operator import Ajp, ShareOf, Tenant
from reelusher.core.clock import Clock
from reelusher.core.counters import Counters
from reelusher.core.event_loop import Core
from reelusher.core.messages import Answer, IncomingRequest, RequestArrived, Result, RunFinished, Verdict
from reelusher.fleet.replication.messages import LogEntry as Row
from reelusher.fleet.replication.replica_store import PartitionState
from reelusher.fleet.replication.sqlite_replica import SqliteReplica
from reelusher.frontends.ajp.frontend import AjpFrontend
from reelusher.policy.events import Outcome, Request
from reelusher.tenancy import tenant_cache
from reelusher.tenancy.fair_queue import DEMAND_US, FairQueue, Quota
from reelusher.tenancy.lifecycle import TenantRecord, TenantState
from reelusher.tenancy.reader_pool import ReaderPool
from reelusher.tenancy.registry import IDLE_LOOK_US, Match, TenantRegistry, reason
from reelusher.tenancy.tenant_cache import TenantUnavailableError

WAIT_S = 10.0  # for what must happen
IDLE_US = 10_000_000  # that a tenant here is kept unused: tests pass time in steps


@dataclass(frozen=True)
class Line:
    """A row."""

    name: str
    number: int
    state: str
    tenant: bytes


class Rows:
    """A table in memory, whose reads a test may hold up."""

    def __init__(self) -> None:
        self.lines: dict[str, Line] = {}
        self.last = 0
        self.on_change: Callable[[list[str]], None] = lambda names: None
        self.calls: Counter[str] = Counter()
        self.held = threading.Event()  # reads of tenants end only once it is set
        self.held.set()
        self.reached = threading.Semaphore(0)  # released by each such read once it has read
        self.prefixes_held, self.prefixes_reached = threading.Event(), threading.Semaphore(0)  # of hosts
        self.prefixes_held.set()

    def put(self, one: Tenant, state: str = "active", tell: bool = True) -> None:
        known = self.lines.get(one.name)
        if known is None:
            self.last += 1
        self.lines = self.lines | {
            one.name: Line(
                one.name, known.number if known else self.last, state, json.dumps(one.to_json()).encode()
            )
        }
        if tell:
            self.on_change([one.name])

    def remove(self, name: str, tell: bool = True) -> None:
        self.lines = {known: line for known, line in self.lines.items() if known != name}
        if tell:
            self.on_change([name])

    def told(self) -> list[tuple[Line, dict[str, Any]]]:
        return [(line, json.loads(line.tenant)) for line in self.lines.values() if line.tenant != b"{"]

    def match(self, host: str, path: str) -> Line | None:
        self.calls["match"] += 1
        found = rule(
            [
                TenantRecord(tenant(line.name, tuple(told["hosts"]), told["prefix"]), line.number)
                for line, told in self.told()
            ],
            "GET",
            host,
            path,
        )
        return None if found is None else self.lines[found.tenant.name]

    def prefixes(self, host: str, most: int) -> Sequence[tuple[bool, str, str]] | None:
        self.calls["prefixes"] += 1
        found = [
            (bool(told["hosts"]), told["prefix"], line.name)
            for line, told in self.told()
            if not told["hosts"] or host in told["hosts"]
        ]
        self.prefixes_reached.release()
        assert self.prefixes_held.wait(WAIT_S)
        return found if len(found) <= most else None

    def get(self, name: str) -> Line | None:
        self.calls["get"] += 1
        found = self.lines.get(name)
        self.reached.release()
        assert self.held.wait(WAIT_S)
        return found

    def page(self, after: str, limit: int) -> list[Line]:
        return [self.lines[name] for name in sorted(self.lines) if name > after][:limit]

    def guaranteed(self) -> float:
        return float(sum(told.get("share", {}).get("guarantee", 0.0) for _, told in self.told()))


class World:
    """A node on a clock of its own, whose owner takes a turn when the test says so, or while it waits."""

    def __init__(self, source: "SqliteReplica | None" = None, **changes: Any) -> None:
        self.now_us, self.rows = 1_000_000_000_000, Rows()
        told = settings(SAFE, KEYED, **{"cores": 2, **changes})
        self.shares = FairQueue(told.cores, told.memory_kb)
        self.runners = {"w": Backend(), "v": Backend()}
        self.core = Core(
            told,
            [],
            1,
            self.runners["w"],
            clock=Clock(*[lambda: self.now_us * 1000] * 2),
            scheduler=self.shares,
        )
        self.core.process_batch([])
        self.tenants = TenantRegistry(
            (),
            ("safe", "keyed"),
            self.runners.get,
            self.core,
            self.shares,
            frozenset(self.runners),
            source=source or self.rows,
            idle_us=IDLE_US,
        )
        (source or self.rows).on_change = self.tenants.changed
        assert self.tenants._pager is not None
        self.pager = self.tenants._pager
        self.pool = ThreadPoolExecutor(8)
        self.answers: dict[str, list[Answer]] = {}

    def turn(self, later_us: int = 0) -> None:
        """Let the owner take one turn with all that is queued."""
        self.now_us += later_us
        batch = self.core.queued_messages()
        self.core.process_batch([message for message in batch if message is not None])

    def pass_s(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.turn(100_000)

    def begin(self, action: Callable[[], Any]) -> "Future[Any]":
        return self.pool.submit(action)

    def end(self, doing: "Future[Any]") -> Any:
        """Have the owner take turns until something is done."""
        for _ in range(2000):
            if doing.done():
                break
            self.turn()
            threading.Event().wait(0.005)
        return doing.result(0)

    def find(self, host: str = "h", path: str = "/x", method: str = "GET") -> Match | None:
        def look() -> Match | None:
            with self.tenants.matched(method, host, path) as match:
                return match

        try:
            found: Match | None = self.end(self.begin(look))
        finally:
            self.turn()  # nobody waits until the owner has heard of a tenant that was put
        return found

    def post(self, call: str, match: Match, kind: int = 0, key: str = "") -> None:
        self.answers[call] = []
        self.core.post(
            RequestArrived(
                IncomingRequest(
                    call,
                    kind,
                    b"x",
                    self.now_us,
                    self.answers[call].append,
                    match.tenant.name,
                    match.number,
                    held_kb=20.0,
                    idempotency_key=key,
                )
            )
        )

    def ask(self, call: str, host: str = "h", kind: int = 0, key: str = "") -> None:
        """Do as a front does."""

        def hand_over() -> None:
            with self.tenants.matched("GET", host, "/x") as match:
                assert match
                self.post(call, match, kind, key)

        self.end(self.begin(hand_over))
        self.turn()

    def over(self, call: str) -> None:
        self.core.post(RunFinished(call, Outcome.OK, 10_000, Result(call.encode())))
        self.turn()

    def verdicts(self, call: str) -> list[Verdict]:
        return [answer.verdict for answer in self.answers[call]]

    def count(self, name: str) -> int:
        return self.core.counters.snapshot().get(name, 0)


@pytest.fixture
def world() -> Any:
    made = World()
    yield made
    made.rows.held.set()
    made.tenants.close()
    made.pool.shutdown()


def read_and_held(world: World) -> "tuple[Future[Any], Callable[[], None]]":
    """Have a thread look for a tenant: it has read the row, and goes on once it is told to."""
    go_on, read, get = threading.Event(), threading.Event(), world.rows.get

    def held(name: str) -> Line | None:
        found = get(name)
        world.rows.get = get  # type: ignore[method-assign]  # only the first
        read.set()
        assert go_on.wait(WAIT_S)
        return found

    world.rows.get = held  # type: ignore[method-assign]
    doing = world.begin(lambda: world.tenants.match("GET", "h", "/"))
    assert read.wait(WAIT_S)
    return doing, go_on.set


def on(name: str, host: str = "h", backend: str = "w", **more: Any) -> Tenant:
    return replace(tenant(name, (host,)), backend=backend, default_class="safe", **more)


def test_a_tenant_is_read_when_it_is_wanted_and_no_further_time(world: World) -> None:
    world.rows.put(on("a"))
    assert world.tenants.all() == ()
    for _ in range(3):
        found = world.find()
        assert found
        assert (found.tenant, found.number, found.admitted) == (on("a"), 1, True)
    assert world.rows.calls == {"prefixes": 1, "get": 2}  # once by the change that put it
    assert world.find("elsewhere") is None
    assert world.find("elsewhere") is None
    assert world.rows.calls["prefixes"] == 2
    assert world.rows.calls["match"] == 0
    assert not any(resident.pins for resident in world.pager._residents.values())


def test_a_host_of_many_prefixes_is_asked_of_the_table(world: World) -> None:
    for number in range(tenant_cache.FEW_PREFIXES + 1):
        world.rows.put(replace(on(f"t{number}"), prefix=f"/p{number}"))
    for number in (0, 3, 0):
        found = world.find("h", f"/p{number}/x")
        assert found
        assert found.tenant.name == f"t{number}"
    assert world.rows.calls["match"] == 3
    assert world.rows.calls["prefixes"] == 1


steps = st.lists(
    st.tuples(st.sampled_from(["put", "put", "remove", "suspend"]), tenants, st.lists(asked, max_size=4)),
    max_size=12,
)


@given(steps)
@bounds(max_examples=40, deadline=None)
def test_it_finds_whom_the_rule_names_after_any_changes(played: list[Any]) -> None:
    world = World()
    try:
        for what, one, requests in played:
            one = replace(one, backend="w", routes=(), default_class="safe")
            if what == "remove":
                world.rows.remove(one.name)
            else:
                world.rows.put(one, "suspended" if what == "suspend" else "active")
            world.turn()
            entries = [world.tenants.entry(name) for name in world.rows.lines]
            for method, host, path in requests:
                assert world.find(host, path, method) == rule([e for e in entries if e], method, host, path)
    finally:
        world.tenants.close()
        world.pool.shutdown()


@given(steps)
@bounds(max_examples=25, deadline=None)
def test_it_finds_whom_the_rule_names_in_a_local_copy(
    tmp_path_factory: pytest.TempPathFactory, played: list[Any]
) -> None:
    copy = SqliteReplica(tmp_path_factory.mktemp("copy") / "t.db", "f", ["c1"])
    world, number, rows = World(copy), 0, dict[str, tuple[Tenant, TenantState]]()
    try:
        for what, one, requests in played:
            one = replace(one, backend="w", routes=(), default_class="safe")
            if what == "remove":
                rows.pop(one.name, None)
            else:
                rows[one.name] = one, TenantState.SUSPENDED if what == "suspend" else TenantState.ACTIVE
            number += 1
            state = rows[one.name][1].value if one.name in rows else ""
            told = json.dumps(one.to_json()).encode() if state else b""
            copy.notify_changed(
                copy.apply(
                    "c1",
                    [Row(number, one.name, 0, "me", state, told)],
                    PartitionState(1, number, covered=number, goal=number),
                )
            )
            world.turn()
            for method, host, path in requests:
                found, wanted = (
                    world.find(host, path, method),
                    rule(
                        [TenantRecord(tenant, 0, state) for tenant, state in rows.values()],
                        method,
                        host,
                        path,
                    ),
                )
                assert (found and (found.tenant, found.admitted, found.class_name)) == (
                    wanted and (wanted.tenant, wanted.admitted, wanted.class_name)
                )
    finally:
        world.tenants.close()
        world.pool.shutdown()
        copy.close()


@pytest.mark.parametrize("known_host", [False, True])
def test_two_threads_that_want_a_tenant_wait_for_one_read(world: World, known_host: bool) -> None:
    world.rows.put(on("a"), tell=False)
    if known_host:
        assert world.find()
        world.pass_s(14)
        assert len(world.pager) == 0
        world.rows.calls.clear()
        while world.rows.reached.acquire(blocking=False):
            pass
    world.rows.held.clear()
    doing = [world.begin(lambda: world.tenants.match("GET", "h", "/"))]
    assert world.rows.reached.acquire(timeout=WAIT_S)
    doing.append(world.begin(lambda: world.tenants.match("GET", "h", "/")))
    event: Any = world.pager._loads["a"].done if known_host else world.pager._looks["h"]
    assert soon(lambda: bool(event._cond._waiters))
    world.rows.held.set()
    found = [world.end(one) for one in doing]
    assert found[0] == found[1]
    assert found[0].tenant.name == "a"
    assert world.rows.calls["get"] == 1
    assert found[0].pin is found[1].pin
    assert found[0].pin.pins == 2


CHANGED: list[tuple[Callable[[Rows], None], list[Verdict], str]] = [
    (lambda rows: rows.put(on("a", backend="v")), [], "v"),
    (lambda rows: rows.put(on("a"), "suspended"), [Verdict.REJECTED], ""),
    (lambda rows: rows.remove("a"), [Verdict.REJECTED], ""),
]


@pytest.mark.parametrize(("change", "verdicts", "runs_on"), CHANGED)
def test_a_request_read_under_the_old_row_goes_by_the_new_one(
    world: World, change: Callable[[Rows], None], verdicts: list[Verdict], runs_on: str
) -> None:
    world.rows.put(on("a"))
    old = world.find()
    assert old
    change(world.rows)
    world.turn()  # the owner has taken it up
    world.post("c", old)
    world.turn()
    assert world.verdicts("c") == verdicts
    assert [name for name, runner in world.runners.items() if ("start", "c") in runner.said] == [
        runs_on
    ] * bool(runs_on)


def test_a_tenant_that_moves_has_what_runs_where_it_is_and_a_repeat_finds_its_result(world: World) -> None:
    world.rows.put(on("a"))
    world.ask("one", kind=1, key="k")
    world.ask("two", kind=1, key="l")
    world.over("one")
    world.rows.put(on("a", backend="v"))
    world.ask("new")
    world.ask("again", kind=1, key="k")  # of one that is over
    world.ask("meanwhile", kind=1, key="l")  # of one that runs
    assert world.verdicts("one") == world.verdicts("again") == [Verdict.SERVED]
    world.over("two")
    assert world.verdicts("two") == world.verdicts("meanwhile") == [Verdict.SERVED]
    told = {
        name: [call for word, call, *_ in runner.said if word == "start"]
        for name, runner in world.runners.items()
    }
    assert told == {"w": ["one", "two"], "v": ["new"]}


def test_a_tenant_that_is_removed_while_a_request_waits_for_the_disk_is_nobody(world: World) -> None:
    world.rows.put(on("a"), tell=False)
    doing, go_on = read_and_held(world)
    world.rows.remove("a")
    go_on()
    assert world.end(doing) is None
    assert len(world.pager) == 0
    world.turn()
    assert not world.tenants._life._by_number


def test_a_table_of_a_host_that_was_read_before_a_change_is_not_kept(world: World) -> None:
    world.rows.put(on("a"))
    world.rows.prefixes_held.clear()
    doing = world.begin(lambda: world.tenants.match("GET", "h", "/x"))
    assert world.rows.prefixes_reached.acquire(timeout=WAIT_S)
    world.rows.put(replace(on("b"), prefix="/x"))
    world.rows.prefixes_held.set()
    before, after = world.end(doing), world.find()
    assert before
    assert before.tenant.name == "a"
    assert after
    assert after.tenant.name == "b"


def test_a_row_that_changes_between_the_read_and_the_put_is_read_again(world: World) -> None:
    world.rows.put(on("a"), tell=False)
    doing, go_on = read_and_held(world)
    world.rows.put(on("a", backend="v"))
    go_on()
    found = world.end(doing)
    assert found
    assert found.tenant.backend == "v"
    world.turn()
    assert world.core.requests.runners["a"] is world.runners["v"]


@pytest.mark.parametrize(("change", "verdicts", "runs_on"), CHANGED)
@pytest.mark.parametrize("posted_first", [False, True])
def test_a_row_that_changes_before_the_owner_has_heard_of_its_tenant_counts_as_it_was_made(
    world: World, change: Callable[[Rows], None], verdicts: list[Verdict], runs_on: str, posted_first: bool
) -> None:
    """The owner takes in the tenant, then the change; the request goes by what came before it."""
    world.rows.put(on("a"), tell=False)
    match = world.begin(lambda: world.tenants.match("GET", "h", "/")).result(WAIT_S)
    if posted_first:
        world.post("c", match)
        change(world.rows)
    else:
        change(world.rows)
        world.post("c", match)
    world.turn()
    started = [name for name, runner in world.runners.items() if ("start", "c") in runner.said]
    if posted_first:  # it came before the change: it is run as it was read
        assert (world.verdicts("c"), started) == ([], ["w"])
    else:
        assert (world.verdicts("c"), started) == (verdicts, [runs_on] * bool(runs_on))
    world.pager.release(match.pin)
    later = world.find()
    assert (later is not None and later.admitted) is not bool(verdicts)


def test_a_request_is_handed_over_though_the_owner_is_busy_and_runs_once_it_has_time(world: World) -> None:
    """The thread of a front waited for the owner first: two changes of threads more for each such request."""
    world.rows.put(on("a"), tell=False)

    def hand_over() -> None:
        with world.tenants.matched("GET", "h", "/x") as match:
            assert match
            world.post("c", match)

    world.begin(hand_over).result(WAIT_S)  # without a turn of the owner
    world.turn()
    world.over("c")
    assert world.verdicts("c") == [Verdict.SERVED]


def test_a_name_that_is_given_anew_is_another_tenant_while_the_old_one_drains(world: World) -> None:
    world.rows.put(on("a"))
    world.ask("old")
    world.rows.remove("a", tell=False)
    world.rows.put(on("a", backend="v"))
    world.ask("new")
    numbers = {entry.number: entry.state for entry in world.tenants._life._by_number.values()}
    assert numbers == {1: TenantState.DRAINING, 2: TenantState.ACTIVE}
    world.over("old")
    world.over("new")
    world.pass_s(0.2)
    assert world.verdicts("old") == world.verdicts("new") == [Verdict.SERVED]
    assert list(world.tenants._life._by_number) == [2]
    assert world.core.requests.runners["a"] is world.runners["v"]
    assert ("start", "new") in world.runners["v"].said


def test_a_tenant_that_nobody_uses_is_let_go_and_found_again_under_its_number(world: World) -> None:
    world.rows.put(on("a"))
    world.ask("one")
    world.over("one")
    world.pass_s(9)
    assert len(world.pager) == 1
    world.pass_s(5)
    assert len(world.pager) == 0
    assert not world.shares._flows
    assert not world.core.requests.runners
    assert not world.tenants._life._by_number
    assert world.count("tenants.let_go") == 1
    world.ask("two")
    world.over("two")
    assert world.verdicts("two") == [Verdict.SERVED]
    assert world.tenants._life.admits(1)


def test_a_tenant_stays_while_it_has_something_in_hand_or_a_key_is_kept(world: World) -> None:
    world.rows.put(on("a"))
    world.rows.put(on("b", "i"))
    world.ask("runs")
    world.ask("keyed", "i", 1, "k")
    world.over("keyed")
    world.pass_s(14)
    assert [name for name in ("a", "b") if world.pager.get(name)] == [
        "a",
        *["b"] * (KEYED.idempotency_window_us > 14e6),
    ]
    world.over("runs")
    world.pass_s(KEYED.idempotency_window_us / 1e6 + 14)
    assert len(world.pager) == 0


def idle_and_marked(world: World) -> None:
    """Bring a tenant so far that the owner has found it idle, and has not let it go yet."""
    world.rows.put(on("a"))
    world.ask("one")
    world.over("one")
    world.pass_s(9)
    for _ in range(40):
        if world.core.has_queued_messages():
            break
        world.now_us += 100_000
        world.core.process_batch([])
    assert len(world.pager) == 1
    assert world.core.has_queued_messages()


def test_a_tenant_wanted_again_while_it_is_let_go_stays(world: World) -> None:
    idle_and_marked(world)
    match = world.tenants.match("GET", "h", "/x")  # in memory: nothing is waited for
    assert match
    assert match.pin
    world.turn()
    assert len(world.pager) == 1
    world.post("two", match)
    world.pager.release(match.pin)
    world.turn()
    world.over("two")
    assert world.verdicts("two") == [Verdict.SERVED]


def test_a_request_handed_over_while_its_tenant_is_let_go_is_taken(world: World) -> None:
    world.rows.put(on("a"))
    world.ask("one")
    world.over("one")
    with world.tenants.matched("GET", "h", "/x") as match:
        assert match
    world.pass_s(9)
    with world.tenants.matched("GET", "h", "/x") as match:
        assert match
        world.post("two", match)  # queued, and not in hand yet
    resident = world.pager.get("a")
    assert resident
    assert resident.pins == 0
    resident.used_us -= 60_000_000  # as if the owner had been late by a minute
    world.tenants._let_go_later(IDLE_US)  # the order to let it go is behind the request
    world.turn()
    world.over("two")
    assert world.verdicts("two") == [Verdict.SERVED]
    assert len(world.pager) == 1


def test_a_pinned_tenant_is_never_let_go(world: World) -> None:
    world.rows.put(on("a"))
    match = world.end(world.begin(lambda: world.tenants.match("GET", "h", "/x")))
    world.pass_s(30)
    assert len(world.pager) == 1
    assert world.tenants._life.admits(match.number)
    world.pager.release(match.pin)
    world.pass_s(14)
    assert len(world.pager) == 0


def test_past_the_bound_requests_are_refused_until_there_is_room(world: World) -> None:
    world.pager.most = 2
    for name in "abc":
        world.rows.put(on(name, name))
    world.ask("one", "a")
    world.ask("two", "b")
    with pytest.raises(TenantUnavailableError, match="too many"):
        world.find("c")
    assert world.count("tenants.refused_full") == world.count("tenants.unserved") == 1
    world.over("one")
    world.pass_s(8)
    with pytest.raises(TenantUnavailableError):  # it asks for room, which there is behind that
        world.find("c")
    world.turn()
    assert len(world.pager) == 1
    world.ask("three", "c")
    world.over("three")
    assert world.verdicts("three") == [Verdict.SERVED]


def test_a_disk_that_hangs_holds_up_no_request_for_long_and_no_other_tenant(world: World) -> None:
    world.rows.put(on("a"))
    world.rows.put(on("b", "i"))
    assert world.find("i")
    world.rows.held.clear()
    with pytest.raises(TenantUnavailableError, match="in time"):
        world.find("h")
    assert world.find("i")
    assert world.count("tenants.refused_late") == 1
    world.rows.held.set()
    assert world.find("h")


def test_so_many_may_wait_for_the_disk_and_no_more() -> None:
    counts, held = Counters(), threading.Event()
    readers = ReaderPool(counts, 5.0, 2)
    with ThreadPoolExecutor(2) as pool:
        waiting = [pool.submit(readers.read, held.wait) for _ in range(2)]
        assert soon(lambda: not readers._places._value)
        with pytest.raises(TenantUnavailableError, match="too many"):
            readers.read(lambda: 1)
        held.set()
        assert [one.result() for one in waiting] == [True, True]
    assert readers.read(lambda: 1) == 1
    assert counts.snapshot() == {"tenants.refused_waiting": 1}
    with pytest.raises(TenantUnavailableError, match="no such"):
        readers.read(lambda: [][0] if False else (_ for _ in ()).throw(OSError("no such disk")))
    readers.close()


@pytest.mark.parametrize(
    "changed",
    [
        lambda row: replace(row, tenant=row.tenant.replace(b'"w"', b'"elsewhere"')),
        lambda row: replace(row, tenant=row.tenant.replace(b'"safe"', b'"newer"')),
        lambda row: replace(row, tenant=row.tenant.replace(b'"prefix"', b'"newer": 1, "prefix"')),
        lambda row: replace(row, tenant=b"{"),
        lambda row: replace(row, state="newer"),
    ],
)
def test_a_row_that_this_node_cannot_read_is_not_served_and_told_of(
    world: World, changed: Callable[[Line], Line]
) -> None:
    world.rows.put(on("a"))
    good = world.rows.lines["a"]
    assert world.find()
    world.rows.lines = {"a": changed(good)}
    world.rows.on_change(["a"])
    world.turn()
    found = world.find()  # it was in memory
    assert (found is None) is (world.rows.lines["a"].tenant == b"{")  # nobody knows its hosts then
    assert found is None or not found.admitted
    assert "a" in world.tenants.unreadable()
    assert not world.tenants._life.admits(1)
    world.pass_s(14)
    assert len(world.pager) == 0
    if b"hosts" in world.rows.lines["a"].tenant:
        with pytest.raises(TenantUnavailableError, match="can't be served"):
            world.find()
    assert world.count("tenants.unreadable")
    assert world.tenants.page("", 10) == ([], "")
    world.rows.lines = {"a": good}
    world.rows.on_change(["a"])
    world.turn()
    found = world.find()
    assert found
    assert found.admitted
    assert not world.tenants.unreadable()


def test_a_change_that_could_not_be_read_is_read_with_the_next(world: World, monkeypatch: Any) -> None:
    world.rows.put(on("a"))
    assert world.find()
    with monkeypatch.context() as broken:
        broken.setattr(world.rows, "get", lambda name: {}[name])
        world.rows.put(on("a", backend="v"))
    world.turn()
    assert world.core.requests.runners["a"] is world.runners["w"]
    assert "a" in world.tenants.unreadable()
    world.rows.put(on("b"))
    world.turn()
    assert world.core.requests.runners["a"] is world.runners["v"]
    assert not world.tenants.unreadable()


def test_many_changes_at_once_forget_all_tables_and_reach_who_is_in_memory(world: World) -> None:
    world.rows.put(on("a"))
    assert world.find()
    assert world.find("i") is None
    names = [f"t{number}" for number in range(tenant_cache.MANY_CHANGES + 1)]
    for name in names:
        world.rows.put(on(name, "i"), tell=False)
    world.rows.put(on("a", backend="v"), tell=False)
    world.rows.calls.clear()
    world.rows.on_change([*names, "a"])
    world.turn()
    assert world.rows.calls["get"] == 1
    assert world.core.requests.runners["a"] is world.runners["v"]
    found = world.find("i")
    assert found
    assert found.tenant.name == "t0"


def test_tables_of_hosts_are_bounded_and_forgotten_with_their_tenants(world: World, monkeypatch: Any) -> None:
    monkeypatch.setattr(tenant_cache, "MOST_HOSTS", 2)
    world.rows.put(on("a"))
    for host in ("h", "i", "j", "h"):
        world.find(host)
    assert list(world.pager._tables) == ["j", "h"]
    assert world.pager._hosts_of == {"a": {"h"}}
    world.rows.remove("a")
    assert list(world.pager._tables) == ["j"]
    assert not world.pager._hosts_of
    assert world.find() is None


def test_guarantees_pages_and_usage_are_the_tables(world: World) -> None:
    for name, part in (("a", 0.6), ("b", 0.3)):
        world.rows.put(on(name, name, share=ShareOf(guarantee=part)))
    world.tenants.check(on("b", "b", share=ShareOf(guarantee=0.4)))
    with pytest.raises(Exception, match=r"share.guarantee"):
        world.tenants.check(on("c", "c", share=ShareOf(guarantee=0.2)))
    assert [entry.tenant.name for entry in world.tenants.page("", 1)[0]] == ["a"]
    assert world.tenants.page("", 1)[1] == "a"
    assert world.tenants.page("a", 1)[1] == ""
    entry = world.tenants.entry("a")
    assert entry
    assert len(world.pager) == 0
    used = world.tenants.usage(entry)
    assert (used["name"], used["in_hand"], used["state"]) == ("a", 0, "active")
    assert not world.shares._flows
    known = ("safe",), frozenset({"w"})
    assert reason("a", world.rows.lines["a"].tenant, *known) == ""
    for value in (b"{", b"\xff", b"[" * 100_000, b"[]", world.rows.lines["b"].tenant):
        assert reason("a", value, *known) != ""


# Shares of who is let go


def request(number: int, of: int) -> Request:
    return Request(number, 0, 0, 0, of, 20.0, 0, 0, 0, 0)


def test_who_is_ahead_of_the_others_or_of_its_clocks_is_not_let_go() -> None:
    shares = FairQueue(1, 1000.0)
    shares.entitle(1, Quota(guarantee=0.5, ceiling=0.5))
    one, other = request(1, 1), request(2, 2)
    shares.request_arrived(one, 0)
    assert not shares.let_go(1, 0)  # it asks for something
    shares.run_started(one, 0)
    shares.run_ended(one, 400_000, 400_000)
    quiet_us = 20 * DEMAND_US
    assert not shares.let_go(1, quiet_us)  # ahead by its run
    for number in range(3):
        shares.run_started(replace_id(other, 10 + number), quiet_us)
        shares.run_ended(replace_id(other, 10 + number), 400_000, quiet_us)
    assert shares._virtual >= 400_000
    flow = shares._flows[1]
    assert flow.limit
    assert flow.reserve
    flow.limit.tat_us = quiet_us + 1.0
    assert not shares.let_go(1, quiet_us)  # over its ceiling
    flow.limit.tat_us = 0.0
    flow.reserve.tat_us = quiet_us - 1.0
    assert not shares.let_go(1, quiet_us)  # its guarantee has less credit than a fresh one
    flow.reserve.tat_us = 0.0
    assert shares.let_go(1, quiet_us)
    assert 1 not in shares._flows
    assert shares.let_go(1, quiet_us)


def replace_id(made: Request, number: int) -> Request:
    return request(number, made.tenant)


def test_nobody_is_ahead_for_good_where_nobody_waits() -> None:
    shares = FairQueue(1, 1000.0)
    shares.forgetful = True
    one = request(1, 1)
    shares.run_started(one, 0)
    shares.run_ended(one, 400_000, 400_000)
    shares.period_elapsed(500_000)
    assert not shares.let_go(1, 500_000)
    shares.period_elapsed(850_000)
    assert not shares.let_go(1, 850_000)
    shares.holding_changed(request(2, 2), 1, 20.0)  # somebody waits: virtual time is what starts make it
    for now_us in range(900_000, 9_000_000, 100_000):
        shares.period_elapsed(now_us)
    assert not shares.let_go(1, 9_000_000)
    shares.holding_changed(request(2, 2), -1, -20.0)
    shares.period_elapsed(9_100_000)
    shares.period_elapsed(9_200_000)
    assert shares.let_go(1, 9_200_000)


def test_a_look_at_the_usage_of_who_is_not_there_leaves_nothing() -> None:
    shares = FairQueue(1, 1000.0)
    assert shares.usage(7, 0)["held"] == 0
    assert not shares._flows


def test_looks_at_who_is_idle_end_with_the_last_tenant(world: World) -> None:
    assert IDLE_LOOK_US < IDLE_US < tenant_cache.IDLE_US
    world.rows.put(on("a"))
    world.find()
    world.pass_s(14)
    assert len(world.pager) == 0
    assert not world.tenants._idle_looks
    world.find()
    assert world.tenants._idle_looks


class Prompt(Backend):
    """Runs each request at once."""

    core: Core

    def start(self, request: IncomingRequest, class_name: str) -> None:
        self.core.post(RunFinished(request.run_id, Outcome.OK, 1000, Result(b"ok")))


def test_the_ajp_front_refuses_a_request_whose_tenant_cannot_be_read_and_serves_on() -> None:
    told, rows, runner = settings(SAFE, cores=2), Rows(), Prompt()
    shares = FairQueue(told.cores, told.memory_kb)
    core = runner.core = Core(told, [], 1, runner, class_names=["safe"], scheduler=shares)
    made = TenantRegistry((), ("safe",), lambda backend: None, core, shares, frozenset({"w"}), source=rows)
    listens = Ajp(("127.0.0.1", 0), "", ajp13.DEFAULT_PACKET, 64, 64, 10, 60_000, frozenset())
    front = AjpFrontend(core, listens, made)
    rows.put(on("a"))
    rows.put(on("b", "i"))
    core.start()
    front.start()
    try:
        with socket.create_connection(front.address, WAIT_S) as sock:

            def status(host: str) -> int:
                sock.sendall(ajp13.write_forward(ajp13.Forward("GET", "/x", server_name=host)))
                packets, found = ajp13.Packets(ajp13.TO_SERVER, ajp13.MOST_PACKET), 0
                while True:
                    for payload in packets.feed(sock.recv(1 << 16)):
                        match ajp13.read_reply(payload):
                            case ajp13.ResponseHead() as head:
                                found = head.status
                            case ajp13.ResponseEnd(reuse):
                                assert reuse
                                return found

            assert [status("h"), status("elsewhere")] == [200, 404]
            rows.held.clear()
            assert [status("i"), status("h")] == [503, 200]
            rows.held.set()
            assert status("i") == 200
        assert made._pager is not None
        assert not front._in_hand
        assert all(not resident.pins for resident in made._pager._residents.values())
        counted = core.counters.snapshot()
        assert [counted[name] for name in ("tenants.unserved", "tenant.a.served", "tenant.b.served")] == [
            1,
            2,
            1,
        ]
    finally:
        rows.held.set()
        front.close()
        core.stop()
        made.close()
