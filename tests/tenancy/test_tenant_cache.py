"""Tests of the tenant cache: its contents, and races with changes, removals and evictions."""

import json
import socket
import threading
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, replace
from typing import Any

import pytest
from core_harness import Backend
from helpers import KEYED, SAFE, small_node_settings, wait_until
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from reelusher.codecs import ajp13
from reelusher.config.operator.ajp import Ajp
from reelusher.config.operator.tenants import QuotaSettings, Tenant
from reelusher.core.clock import Clock
from reelusher.core.counters import Counters
from reelusher.core.event_loop import Core
from reelusher.core.messages import Answer, IncomingRequest, RequestArrived, Result, RunFinished, Verdict
from reelusher.fleet.replication.messages import LogEntry as Row
from reelusher.fleet.replication.replica_store import PartitionState
from reelusher.fleet.replication.sqlite_replica import SqliteReplica
from reelusher.frontends.ajp.frontend import AjpFrontend
from reelusher.policy.events import Outcome
from reelusher.tenancy import host_tables, tenant_cache
from reelusher.tenancy.cached_registry import IDLE_CHECK_INTERVAL_US, CachedTenantRegistry
from reelusher.tenancy.fair_queue import FairQueue
from reelusher.tenancy.lifecycle import TenantRecord, TenantState
from reelusher.tenancy.reader_pool import ReaderPool
from reelusher.tenancy.registry import Match
from reelusher.tenancy.tenant_source import TenantUnavailableError, unreadable_reason
from tenancy.test_index import expected_match, requests_strategy, tenant, tenants

WAIT_S = 10.0  # longest wait for an event in another thread
IDLE_TIMEOUT_US = 10_000_000  # idle time-out of the node under test


@dataclass(frozen=True)
class StoredRow:
    """A row of the table of tenants."""

    name: str
    number: int
    state: str
    tenant: bytes


class FakeSource:
    """A table of tenants in memory whose reads a test may block."""

    def __init__(self) -> None:
        self.rows_by_name: dict[str, StoredRow] = {}
        self.last_number = 0
        self.on_change: Callable[[list[str]], None] = lambda names: None
        self.calls: Counter[str] = Counter()
        self.row_reads_allowed = threading.Event()  # reads of rows return only while it is set
        self.row_reads_allowed.set()
        self.row_reads = threading.Semaphore(0)  # released by each read of a row before it returns
        # the same for reads of the prefixes of hosts
        self.prefix_reads_allowed, self.prefix_reads = threading.Event(), threading.Semaphore(0)
        self.prefix_reads_allowed.set()

    def put(self, changed_tenant: Tenant, state: str = "active", notify: bool = True) -> None:
        existing = self.rows_by_name.get(changed_tenant.name)
        if existing is None:
            self.last_number += 1
        self.rows_by_name = self.rows_by_name | {
            changed_tenant.name: StoredRow(
                changed_tenant.name,
                existing.number if existing else self.last_number,
                state,
                json.dumps(changed_tenant.to_json()).encode(),
            )
        }
        if notify:
            self.on_change([changed_tenant.name])

    def remove(self, name: str, notify: bool = True) -> None:
        self.rows_by_name = {other: row for other, row in self.rows_by_name.items() if other != name}
        if notify:
            self.on_change([name])

    def parsed_rows(self) -> list[tuple[StoredRow, dict[str, Any]]]:
        return [(row, json.loads(row.tenant)) for row in self.rows_by_name.values() if row.tenant != b"{"]

    def match(self, host: str, path: str) -> StoredRow | None:
        self.calls["match"] += 1
        found = expected_match(
            [
                TenantRecord(tenant(row.name, tuple(fields["hosts"]), fields["prefix"]), row.number)
                for row, fields in self.parsed_rows()
            ],
            "GET",
            host,
            path,
        )
        return None if found is None else self.rows_by_name[found.tenant.name]

    def prefixes(self, host: str, limit: int) -> Sequence[tuple[bool, str, str]] | None:
        self.calls["prefixes"] += 1
        found = [
            (bool(fields["hosts"]), fields["prefix"], row.name)
            for row, fields in self.parsed_rows()
            if not fields["hosts"] or host in fields["hosts"]
        ]
        self.prefix_reads.release()
        assert self.prefix_reads_allowed.wait(WAIT_S)
        return found if len(found) <= limit else None

    def get(self, name: str) -> StoredRow | None:
        self.calls["get"] += 1
        found = self.rows_by_name.get(name)
        self.row_reads.release()
        assert self.row_reads_allowed.wait(WAIT_S)
        return found

    def page(self, after: str, limit: int) -> list[StoredRow]:
        return [self.rows_by_name[name] for name in sorted(self.rows_by_name) if name > after][:limit]

    def guarantee_sum(self) -> float:
        return float(sum(fields.get("share", {}).get("guarantee", 0.0) for _, fields in self.parsed_rows()))


class SimulatedNode:
    """A node on a simulated clock, whose event loop runs only when the test calls or waits for it."""

    def __init__(self, source: "SqliteReplica | None" = None, **changes: Any) -> None:
        self.now_us, self.source = 1_000_000_000_000, FakeSource()
        node_settings = small_node_settings(SAFE, KEYED, **{"cores": 2, **changes})
        self.fair_queue = FairQueue(node_settings.cores, node_settings.memory_kb)
        self.runners = {"w": Backend(), "v": Backend()}
        self.core = Core(
            node_settings,
            [],
            1,
            self.runners["w"],
            clock=Clock(*[lambda: self.now_us * 1000] * 2),
            scheduler=self.fair_queue,
        )
        self.core.process_batch([])
        self.tenants = CachedTenantRegistry(
            ("safe", "keyed"),
            self.runners.get,
            self.core,
            self.fair_queue,
            frozenset(self.runners),
            source=source or self.source,
            idle_timeout_us=IDLE_TIMEOUT_US,
        )
        (source or self.source).on_change = self.tenants.rows_changed
        self.cache = self.tenants.cache
        self.pool = ThreadPoolExecutor(8)
        self.answers: dict[str, list[Answer]] = {}

    def run_event_loop(self, later_us: int = 0) -> None:
        """Advance the clock, and process all queued messages of the event loop as one batch."""
        self.now_us += later_us
        batch = self.core.queued_messages()
        self.core.process_batch([message for message in batch if message is not None])

    def advance_s(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.run_event_loop(100_000)

    def run_in_thread(self, action: Callable[[], Any]) -> "Future[Any]":
        return self.pool.submit(action)

    def wait_for(self, pending: "Future[Any]") -> Any:
        """Run the event loop until a call in another thread has ended, and return its result."""
        for _ in range(2000):
            if pending.done():
                break
            self.run_event_loop()
            threading.Event().wait(0.005)
        return pending.result(0)

    def find(self, host: str = "h", path: str = "/x", method: str = "GET") -> Match | None:
        def look_up() -> Match | None:
            with self.tenants.pinned_match(method, host, path) as match:
                return match

        try:
            found: Match | None = self.wait_for(self.run_in_thread(look_up))
        finally:
            # the event loop adds a tenant that the look-up put in the cache; the look-up doesn't wait for it
            self.run_event_loop()
        return found

    def post(self, request_id: str, match: Match, class_index: int = 0, key: str = "") -> None:
        self.answers[request_id] = []
        self.core.post(
            RequestArrived(
                IncomingRequest(
                    request_id,
                    class_index,
                    b"x",
                    self.now_us,
                    self.answers[request_id].append,
                    match.tenant.name,
                    match.number,
                    held_kb=20.0,
                    idempotency_key=key,
                )
            )
        )

    def send_request(self, request_id: str, host: str = "h", class_index: int = 0, key: str = "") -> None:
        """Look up the tenant and post a request as a front end does, and run the event loop."""

        def post_request() -> None:
            with self.tenants.pinned_match("GET", host, "/x") as match:
                assert match
                self.post(request_id, match, class_index, key)

        self.wait_for(self.run_in_thread(post_request))
        self.run_event_loop()

    def finish_run(self, request_id: str) -> None:
        self.core.post(RunFinished(request_id, Outcome.OK, 10_000, Result(request_id.encode())))
        self.run_event_loop()

    def verdicts(self, request_id: str) -> list[Verdict]:
        return [answer.verdict for answer in self.answers[request_id]]

    def count(self, name: str) -> int:
        return self.core.counters.snapshot().get(name, 0)


@pytest.fixture
def node() -> Any:
    simulated = SimulatedNode()
    yield simulated
    simulated.source.row_reads_allowed.set()
    simulated.tenants.close()
    simulated.pool.shutdown()


def start_blocked_lookup(node: SimulatedNode) -> "tuple[Future[Any], Callable[[], None]]":
    """Start a look-up of a tenant in a thread, and return after the thread has read the row.

    Returns the look-up, which is blocked at this point, and a function that lets it continue.
    """
    may_continue, has_read, get = threading.Event(), threading.Event(), node.source.get

    def blocked_get(name: str) -> StoredRow | None:
        found = get(name)
        node.source.get = get  # type: ignore[method-assign]  # only the first call
        has_read.set()
        assert may_continue.wait(WAIT_S)
        return found

    node.source.get = blocked_get  # type: ignore[method-assign]
    lookup = node.run_in_thread(lambda: node.tenants.match("GET", "h", "/"))
    assert has_read.wait(WAIT_S)
    return lookup, may_continue.set


def make_tenant(name: str, host: str = "h", backend: str = "w", **more: Any) -> Tenant:
    return replace(tenant(name, (host,)), backend=backend, default_class="safe", **more)


def test_tenant_is_read_on_first_use_only(node: SimulatedNode) -> None:
    node.source.put(make_tenant("a"))
    assert node.tenants.tenants() == ()
    for _ in range(3):
        found = node.find()
        assert found
        assert (found.tenant, found.number, found.admitted) == (make_tenant("a"), 1, True)
    assert node.source.calls == {"prefixes": 1, "get": 2}  # the change that put it reads it as well
    assert node.find("elsewhere") is None
    assert node.find("elsewhere") is None
    assert node.source.calls["prefixes"] == 2
    assert node.source.calls["match"] == 0
    assert not any(cached.pins for cached in node.cache._tenants.values())


def test_host_with_many_prefixes_is_resolved_by_the_source(node: SimulatedNode) -> None:
    for number in range(tenant_cache.MAX_TABLE_PREFIXES + 1):
        node.source.put(replace(make_tenant(f"t{number}"), prefix=f"/p{number}"))
    for number in (0, 3, 0):
        found = node.find("h", f"/p{number}/x")
        assert found
        assert found.tenant.name == f"t{number}"
    assert node.source.calls["match"] == 3
    assert node.source.calls["prefixes"] == 1


row_change = st.sampled_from(["put", "put", "remove", "suspend"])
steps = st.lists(
    st.tuples(
        st.sampled_from(["put", "put", "remove", "suspend"]), tenants, st.lists(requests_strategy, max_size=4)
    ),
    max_size=12,
)


@given(steps)
@hypothesis_settings(max_examples=40, deadline=None)
def test_cache_resolves_as_a_linear_scan_after_any_changes(changes: list[Any]) -> None:
    node = SimulatedNode()
    try:
        for operation, changed_tenant, requests in changes:
            changed_tenant = replace(changed_tenant, backend="w", routes=(), default_class="safe")
            if operation == "remove":
                node.source.remove(changed_tenant.name)
            else:
                node.source.put(changed_tenant, "suspended" if operation == "suspend" else "active")
            node.run_event_loop()
            found = [node.tenants.record(name) for name in node.source.rows_by_name]
            records = [record for record in found if record]
            for method, host, path in requests:
                expected = expected_match(records, method, host, path)
                assert node.find(host, path, method) == expected
    finally:
        node.tenants.close()
        node.pool.shutdown()


@given(steps)
@hypothesis_settings(max_examples=25, deadline=None)
def test_cache_over_a_replica_resolves_as_a_linear_scan_after_any_changes(
    tmp_path_factory: pytest.TempPathFactory, changes: list[Any]
) -> None:
    replica = SqliteReplica(tmp_path_factory.mktemp("copy") / "t.db", "f", ["c1"])
    node, number, rows = SimulatedNode(replica), 0, dict[str, tuple[Tenant, TenantState]]()
    try:
        for operation, changed_tenant, requests in changes:
            changed_tenant = replace(changed_tenant, backend="w", routes=(), default_class="safe")
            if operation == "remove":
                rows.pop(changed_tenant.name, None)
            else:
                rows[changed_tenant.name] = (
                    changed_tenant,
                    TenantState.SUSPENDED if operation == "suspend" else TenantState.ACTIVE,
                )
            number += 1
            state = rows[changed_tenant.name][1].value if changed_tenant.name in rows else ""
            data = json.dumps(changed_tenant.to_json()).encode() if state else b""
            replica.notify_changed(
                replica.apply(
                    "c1",
                    [Row(number, changed_tenant.name, 0, "me", state, data)],
                    PartitionState(1, number, covered=number, goal=number),
                )
            )
            node.run_event_loop()
            for method, host, path in requests:
                found, expected = (
                    node.find(host, path, method),
                    expected_match(
                        [TenantRecord(tenant, 0, state) for tenant, state in rows.values()],
                        method,
                        host,
                        path,
                    ),
                )
                assert (found and (found.tenant, found.admitted, found.class_name)) == (
                    expected and (expected.tenant, expected.admitted, expected.class_name)
                )
    finally:
        node.tenants.close()
        node.pool.shutdown()
        replica.close()


@pytest.mark.parametrize("known_host", [False, True])
def test_concurrent_lookups_of_a_tenant_share_one_read(node: SimulatedNode, known_host: bool) -> None:
    node.source.put(make_tenant("a"), notify=False)
    if known_host:
        assert node.find()
        node.advance_s(14)
        assert len(node.cache) == 0
        node.source.calls.clear()
        while node.source.row_reads.acquire(blocking=False):
            pass
    node.source.row_reads_allowed.clear()
    lookups = [node.run_in_thread(lambda: node.tenants.match("GET", "h", "/"))]
    assert node.source.row_reads.acquire(timeout=WAIT_S)
    lookups.append(node.run_in_thread(lambda: node.tenants.match("GET", "h", "/")))
    read_ended: Any = node.cache._loads["a"].done if known_host else node.cache._host_reads["h"]
    assert wait_until(lambda: bool(read_ended._cond._waiters))
    node.source.row_reads_allowed.set()
    found = [node.wait_for(lookup) for lookup in lookups]
    assert found[0] == found[1]
    assert found[0].tenant.name == "a"
    assert node.source.calls["get"] == 1
    assert found[0].pin is found[1].pin
    assert found[0].pin.pins == 2


CHANGED: list[tuple[Callable[[FakeSource], None], list[Verdict], str]] = [
    (lambda rows: rows.put(make_tenant("a", backend="v")), [], "v"),
    (lambda rows: rows.put(make_tenant("a"), "suspended"), [Verdict.REJECTED], ""),
    (lambda rows: rows.remove("a"), [Verdict.REJECTED], ""),
]


@pytest.mark.parametrize(("change", "verdicts", "runs_on"), CHANGED)
def test_request_matched_before_a_change_is_handled_by_the_new_row(
    node: SimulatedNode, change: Callable[[FakeSource], None], verdicts: list[Verdict], runs_on: str
) -> None:
    node.source.put(make_tenant("a"))
    old_match = node.find()
    assert old_match
    change(node.source)
    node.run_event_loop()  # the event loop has applied the change
    node.post("c", old_match)
    node.run_event_loop()
    assert node.verdicts("c") == verdicts
    assert [name for name, runner in node.runners.items() if ("start", "c") in runner.commands] == [
        runs_on
    ] * bool(runs_on)


def test_tenant_changing_backend_keeps_its_runs_and_retries_find_their_results(node: SimulatedNode) -> None:
    node.source.put(make_tenant("a"))
    node.send_request("one", class_index=1, key="k")
    node.send_request("two", class_index=1, key="l")
    node.finish_run("one")
    node.source.put(make_tenant("a", backend="v"))
    node.send_request("new")
    node.send_request("again", class_index=1, key="k")  # a retry of a finished run
    node.send_request("meanwhile", class_index=1, key="l")  # a retry of a run in progress
    assert node.verdicts("one") == node.verdicts("again") == [Verdict.SERVED]
    node.finish_run("two")
    assert node.verdicts("two") == node.verdicts("meanwhile") == [Verdict.SERVED]
    started = {
        name: [run_id for command, run_id, *_ in runner.commands if command == "start"]
        for name, runner in node.runners.items()
    }
    assert started == {"w": ["one", "two"], "v": ["new"]}


def test_tenant_removed_during_its_read_is_not_found(node: SimulatedNode) -> None:
    node.source.put(make_tenant("a"), notify=False)
    lookup, resume = start_blocked_lookup(node)
    node.source.remove("a")
    resume()
    assert node.wait_for(lookup) is None
    assert len(node.cache) == 0
    node.run_event_loop()
    assert not node.tenants.lifecycle.records()


def test_host_table_read_before_a_change_is_not_cached(node: SimulatedNode) -> None:
    node.source.put(make_tenant("a"))
    node.source.prefix_reads_allowed.clear()
    lookup = node.run_in_thread(lambda: node.tenants.match("GET", "h", "/x"))
    assert node.source.prefix_reads.acquire(timeout=WAIT_S)
    node.source.put(replace(make_tenant("b"), prefix="/x"))
    node.source.prefix_reads_allowed.set()
    before, after = node.wait_for(lookup), node.find()
    assert before
    assert before.tenant.name == "a"
    assert after
    assert after.tenant.name == "b"


def test_row_changed_between_read_and_put_is_read_again(node: SimulatedNode) -> None:
    node.source.put(make_tenant("a"), notify=False)
    lookup, resume = start_blocked_lookup(node)
    node.source.put(make_tenant("a", backend="v"))
    resume()
    found = node.wait_for(lookup)
    assert found
    assert found.tenant.backend == "v"
    node.run_event_loop()
    assert node.core.requests.runners["a"] is node.runners["v"]


@pytest.mark.parametrize(("change", "verdicts", "runs_on"), CHANGED)
@pytest.mark.parametrize("posted_first", [False, True])
def test_change_before_the_event_loop_learns_of_the_tenant_applies_in_order(
    node: SimulatedNode,
    change: Callable[[FakeSource], None],
    verdicts: list[Verdict],
    runs_on: str,
    posted_first: bool,
) -> None:
    """A request is handled by the version of its tenant that precedes it in the event loop's queue."""
    node.source.put(make_tenant("a"), notify=False)
    match = node.run_in_thread(lambda: node.tenants.match("GET", "h", "/")).result(WAIT_S)
    if posted_first:
        node.post("c", match)
        change(node.source)
    else:
        change(node.source)
        node.post("c", match)
    node.run_event_loop()
    started = [name for name, runner in node.runners.items() if ("start", "c") in runner.commands]
    if posted_first:  # it was posted before the change: the version that was read applies
        assert (node.verdicts("c"), started) == ([], ["w"])
    else:
        assert (node.verdicts("c"), started) == (verdicts, [runs_on] * bool(runs_on))
    node.cache.release(match.pin)
    later_match = node.find()
    assert (later_match is not None and later_match.admitted) is not bool(verdicts)


def test_request_of_a_new_tenant_is_posted_without_waiting_for_the_event_loop(node: SimulatedNode) -> None:
    """Waiting for the event loop would cost two more context switches for each request of a new tenant."""
    node.source.put(make_tenant("a"), notify=False)

    def post_request() -> None:
        with node.tenants.pinned_match("GET", "h", "/x") as match:
            assert match
            node.post("c", match)

    node.run_in_thread(post_request).result(WAIT_S)  # the event loop has not run
    node.run_event_loop()
    node.finish_run("c")
    assert node.verdicts("c") == [Verdict.SERVED]


def test_readded_name_is_another_tenant_while_the_old_one_drains(node: SimulatedNode) -> None:
    node.source.put(make_tenant("a"))
    node.send_request("old")
    node.source.remove("a", notify=False)
    node.source.put(make_tenant("a", backend="v"))
    node.send_request("new")
    numbers = {record.number: record.state for record in node.tenants.lifecycle.records()}
    assert numbers == {1: TenantState.DRAINING, 2: TenantState.ACTIVE}
    node.finish_run("old")
    node.finish_run("new")
    node.advance_s(0.2)
    assert node.verdicts("old") == node.verdicts("new") == [Verdict.SERVED]
    assert [record.number for record in node.tenants.lifecycle.records()] == [2]
    assert node.core.requests.runners["a"] is node.runners["v"]
    assert ("start", "new") in node.runners["v"].commands


def test_idle_tenant_is_evicted_and_found_again_under_its_number(node: SimulatedNode) -> None:
    node.source.put(make_tenant("a"))
    node.send_request("one")
    node.finish_run("one")
    node.advance_s(9)
    assert len(node.cache) == 1
    node.advance_s(5)
    assert len(node.cache) == 0
    assert not node.fair_queue.flows
    assert not node.core.requests.runners
    assert not node.tenants.lifecycle.records()
    assert node.count("tenants.let_go") == 1
    node.send_request("two")
    node.finish_run("two")
    assert node.verdicts("two") == [Verdict.SERVED]
    assert node.tenants.lifecycle.admits(1)


def test_tenant_with_requests_in_flight_or_remembered_keys_is_not_evicted(node: SimulatedNode) -> None:
    node.source.put(make_tenant("a"))
    node.source.put(make_tenant("b", "i"))
    node.send_request("runs")
    node.send_request("keyed", "i", 1, "k")
    node.finish_run("keyed")
    node.advance_s(14)
    assert [name for name in ("a", "b") if node.cache.get(name)] == [
        "a",
        *["b"] * (KEYED.idempotency_window_us > 14e6),
    ]
    node.finish_run("runs")
    node.advance_s(KEYED.idempotency_window_us / 1e6 + 14)
    assert len(node.cache) == 0


def with_pending_eviction(node: SimulatedNode) -> None:
    """Leave a tenant idle until its eviction is queued but not yet executed."""
    node.source.put(make_tenant("a"))
    node.send_request("one")
    node.finish_run("one")
    node.advance_s(9)
    for _ in range(40):
        if node.core.has_queued_messages():
            break
        node.now_us += 100_000
        node.core.process_batch([])
    assert len(node.cache) == 1
    assert node.core.has_queued_messages()


def test_tenant_used_during_its_eviction_stays(node: SimulatedNode) -> None:
    with_pending_eviction(node)
    match = node.tenants.match("GET", "h", "/x")  # the tenant is in memory: the call returns at once
    assert match
    assert match.pin
    node.run_event_loop()
    assert len(node.cache) == 1
    node.post("two", match)
    node.cache.release(match.pin)
    node.run_event_loop()
    node.finish_run("two")
    assert node.verdicts("two") == [Verdict.SERVED]


def test_request_posted_during_the_eviction_of_its_tenant_is_served(node: SimulatedNode) -> None:
    node.source.put(make_tenant("a"))
    node.send_request("one")
    node.finish_run("one")
    with node.tenants.pinned_match("GET", "h", "/x") as match:
        assert match
    node.advance_s(9)
    with node.tenants.pinned_match("GET", "h", "/x") as match:
        assert match
        node.post("two", match)  # the request is queued and not yet in flight
    cached = node.cache.get("a")
    assert cached
    assert cached.pins == 0
    cached.used_us -= 60_000_000  # as if the event loop were a minute behind
    node.tenants._evict_idle(IDLE_TIMEOUT_US)  # the eviction is queued behind the request
    node.run_event_loop()
    node.finish_run("two")
    assert node.verdicts("two") == [Verdict.SERVED]
    assert len(node.cache) == 1


def test_pinned_tenant_is_never_evicted(node: SimulatedNode) -> None:
    node.source.put(make_tenant("a"))
    match = node.wait_for(node.run_in_thread(lambda: node.tenants.match("GET", "h", "/x")))
    node.advance_s(30)
    assert len(node.cache) == 1
    assert node.tenants.lifecycle.admits(match.number)
    node.cache.release(match.pin)
    node.advance_s(14)
    assert len(node.cache) == 0


def test_full_cache_rejects_requests_until_a_tenant_is_evicted(node: SimulatedNode) -> None:
    node.cache.max_tenants = 2
    for name in "abc":
        node.source.put(make_tenant(name, name))
    node.send_request("one", "a")
    node.send_request("two", "b")
    with pytest.raises(TenantUnavailableError, match="too many"):
        node.find("c")
    assert node.count("tenants.refused_full") == node.count("tenants.unserved") == 1
    node.finish_run("one")
    node.advance_s(8)
    with pytest.raises(TenantUnavailableError):  # triggers an eviction, which takes effect later
        node.find("c")
    node.run_event_loop()
    assert len(node.cache) == 1
    node.send_request("three", "c")
    node.finish_run("three")
    assert node.verdicts("three") == [Verdict.SERVED]


def test_hanging_disk_delays_requests_by_the_timeout_only_and_no_cached_tenant(node: SimulatedNode) -> None:
    node.source.put(make_tenant("a"))
    node.source.put(make_tenant("b", "i"))
    assert node.find("i")
    node.source.row_reads_allowed.clear()
    with pytest.raises(TenantUnavailableError, match="in time"):
        node.find("h")
    assert node.find("i")
    assert node.count("tenants.refused_late") == 1
    node.source.row_reads_allowed.set()
    assert node.find("h")


def test_reader_pool_limits_waiting_reads() -> None:
    counters, may_end = Counters(), threading.Event()
    readers = ReaderPool(counters, 5.0, 2)
    with ThreadPoolExecutor(2) as pool:
        reads = [pool.submit(readers.read, may_end.wait) for _ in range(2)]
        assert wait_until(lambda: not readers._waiting_slots._value)
        with pytest.raises(TenantUnavailableError, match="too many"):
            readers.read(lambda: 1)
        may_end.set()
        assert [read.result() for read in reads] == [True, True]
    assert readers.read(lambda: 1) == 1
    assert counters.snapshot() == {"tenants.refused_waiting": 1}
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
def test_unreadable_row_is_not_served_and_is_reported(
    node: SimulatedNode, changed: Callable[[StoredRow], StoredRow]
) -> None:
    node.source.put(make_tenant("a"))
    readable_row = node.source.rows_by_name["a"]
    assert node.find()
    node.source.rows_by_name = {"a": changed(readable_row)}
    node.source.on_change(["a"])
    node.run_event_loop()
    found = node.find()  # the tenant was in memory
    assert (found is None) is (node.source.rows_by_name["a"].tenant == b"{")  # its hosts are unknown then
    assert found is None or not found.admitted
    assert "a" in node.tenants.unreadable()
    assert not node.tenants.lifecycle.admits(1)
    node.advance_s(14)
    assert len(node.cache) == 0
    if b"hosts" in node.source.rows_by_name["a"].tenant:
        with pytest.raises(TenantUnavailableError, match="can't be served"):
            node.find()
    assert node.count("tenants.unreadable")
    assert node.tenants.page("", 10) == ([], "")
    node.source.rows_by_name = {"a": readable_row}
    node.source.on_change(["a"])
    node.run_event_loop()
    found = node.find()
    assert found
    assert found.admitted
    assert not node.tenants.unreadable()


def test_change_that_could_not_be_read_is_read_with_the_next(node: SimulatedNode, monkeypatch: Any) -> None:
    node.source.put(make_tenant("a"))
    assert node.find()
    with monkeypatch.context() as broken:
        broken.setattr(node.source, "get", lambda name: {}[name])
        node.source.put(make_tenant("a", backend="v"))
    node.run_event_loop()
    assert node.core.requests.runners["a"] is node.runners["w"]
    assert "a" in node.tenants.unreadable()
    node.source.put(make_tenant("b"))
    node.run_event_loop()
    assert node.core.requests.runners["a"] is node.runners["v"]
    assert not node.tenants.unreadable()


def test_many_changes_at_once_drop_all_host_tables_and_reach_cached_tenants(node: SimulatedNode) -> None:
    node.source.put(make_tenant("a"))
    assert node.find()
    assert node.find("i") is None
    names = [f"t{number}" for number in range(tenant_cache.MAX_CHANGES_BY_HOST + 1)]
    for name in names:
        node.source.put(make_tenant(name, "i"), notify=False)
    node.source.put(make_tenant("a", backend="v"), notify=False)
    node.source.calls.clear()
    node.source.on_change([*names, "a"])
    node.run_event_loop()
    assert node.source.calls["get"] == 1
    assert node.core.requests.runners["a"] is node.runners["v"]
    found = node.find("i")
    assert found
    assert found.tenant.name == "t0"


def test_host_tables_are_limited_and_dropped_with_tenants(node: SimulatedNode, monkeypatch: Any) -> None:
    monkeypatch.setattr(host_tables, "MAX_HOST_TABLES", 2)
    node.source.put(make_tenant("a"))
    for host in ("h", "i", "j", "h"):
        node.find(host)
    assert node.cache._host_tables.hosts() == ["j", "h"]
    assert node.cache._host_tables._hosts_by_tenant == {"a": {"h"}}
    node.source.remove("a")
    assert node.cache._host_tables.hosts() == ["j"]
    assert not node.cache._host_tables._hosts_by_tenant
    assert node.find() is None


def test_guarantees_pages_and_usage_come_from_the_source(node: SimulatedNode) -> None:
    for name, fraction in (("a", 0.6), ("b", 0.3)):
        node.source.put(make_tenant(name, name, share=QuotaSettings(guarantee=fraction)))
    node.tenants.check(make_tenant("b", "b", share=QuotaSettings(guarantee=0.4)))
    with pytest.raises(Exception, match=r"share.guarantee"):
        node.tenants.check(make_tenant("c", "c", share=QuotaSettings(guarantee=0.2)))
    assert [record.tenant.name for record in node.tenants.page("", 1)[0]] == ["a"]
    assert node.tenants.page("", 1)[1] == "a"
    assert node.tenants.page("a", 1)[1] == ""
    record = node.tenants.record("a")
    assert record
    assert len(node.cache) == 0
    usage = node.tenants.usage(record)
    assert (usage["name"], usage["in_hand"], usage["state"]) == ("a", 0, "active")
    assert not node.fair_queue.flows
    class_names_and_backends = ("safe",), frozenset({"w"})
    assert unreadable_reason("a", node.source.rows_by_name["a"].tenant, *class_names_and_backends) == ""
    for value in (b"{", b"\xff", b"[" * 100_000, b"[]", node.source.rows_by_name["b"].tenant):
        assert unreadable_reason("a", value, *class_names_and_backends) != ""


def test_idle_check_ends_with_the_last_tenant(node: SimulatedNode) -> None:
    assert IDLE_CHECK_INTERVAL_US < IDLE_TIMEOUT_US < tenant_cache.IDLE_TIMEOUT_US
    node.source.put(make_tenant("a"))
    node.find()
    node.advance_s(14)
    assert len(node.cache) == 0
    assert not node.tenants.idle_check_scheduled
    node.find()
    assert node.tenants.idle_check_scheduled


class ImmediateBackend(Backend):
    """Ends each run as soon as it is started."""

    core: Core

    def start(self, request: IncomingRequest, class_name: str) -> None:
        self.core.post(RunFinished(request.run_id, Outcome.OK, 1000, Result(b"ok")))


def test_ajp_front_end_answers_503_while_a_tenant_cannot_be_read_and_serves_others() -> None:
    node_settings, source, runner = small_node_settings(SAFE, cores=2), FakeSource(), ImmediateBackend()
    fair_queue = FairQueue(node_settings.cores, node_settings.memory_kb)
    core = runner.core = Core(node_settings, [], 1, runner, class_names=["safe"], scheduler=fair_queue)
    registry = CachedTenantRegistry(
        ("safe",), lambda backend: None, core, fair_queue, frozenset({"w"}), source
    )
    ajp_settings = Ajp(("127.0.0.1", 0), "", ajp13.DEFAULT_PACKET_BYTES, 64, 64, 10, 60_000, frozenset())
    frontend = AjpFrontend(core, ajp_settings, registry)
    source.put(make_tenant("a"))
    source.put(make_tenant("b", "i"))
    core.start()
    frontend.start()
    try:
        with socket.create_connection(frontend.address, WAIT_S) as sock:

            def status(host: str) -> int:
                sock.sendall(ajp13.write_forward(ajp13.ForwardedRequest("GET", "/x", server_name=host)))
                packets, found = ajp13.PacketDecoder(ajp13.TO_SERVER, ajp13.MAX_PACKET_BYTES), 0
                while True:
                    for payload in packets.feed(sock.recv(1 << 16)):
                        match ajp13.read_reply(payload):
                            case ajp13.ResponseHead() as head:
                                found = head.status
                            case ajp13.ResponseEnd(reuse):
                                assert reuse
                                return found

            assert [status("h"), status("elsewhere")] == [200, 404]
            source.row_reads_allowed.clear()
            assert [status("i"), status("h")] == [503, 200]
            source.row_reads_allowed.set()
            assert status("i") == 200
        assert not frontend._in_flight
        assert all(not cached.pins for cached in registry.cache._tenants.values())
        counts = core.counters.snapshot()
        assert [counts[name] for name in ("tenants.unserved", "tenant.a.served", "tenant.b.served")] == [
            1,
            2,
            1,
        ]
    finally:
        source.row_reads_allowed.set()
        frontend.close()
        core.stop()
        registry.close()
