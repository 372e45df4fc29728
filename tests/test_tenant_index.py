"""The index of tenants: compared with a linear scan, and read while it changes."""

import threading
from collections.abc import Callable
from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest
from helpers import KEYED, SAFE, settings
from hypothesis import given
from hypothesis import strategies as st
from test_core import Backend

from reelusher.config.checked_table import ConfigError
from reelusher.config.operator import Route, ShareOf, Tenant, over_guaranteed, parse
from reelusher.core import counters
from reelusher.core.counters import Counters
from reelusher.core.event_loop import Core
from reelusher.tenancy import index
from reelusher.tenancy.fair_queue import FairQueue
from reelusher.tenancy.index import Routes, TenantIndex
from reelusher.tenancy.lifecycle import Lifecycle, TenantRecord, TenantState
from reelusher.tenancy.registry import Match, TenantRegistry

HOSTS = ("a", "b", "c")
PATHS = ("/", "/a", "/a/", "/a/b", "/ab", "/a/b/", "/a/b/c", "//", "/a//", "/b")


def tenant(
    name: str,
    hosts: tuple[str, ...] = (),
    prefix: str = "/",
    routes: tuple[Route, ...] = (),
    guarantee: float = 0.0,
) -> Tenant:
    return Tenant(
        name, "runtime", hosts, prefix, "x-request-key", "", 0, 16.0, routes, ShareOf(guarantee=guarantee)
    )


# The expected result, by a linear scan of all tenants.


def lies_under(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix if prefix.endswith("/") else prefix + "/")


def expected_match(entries: list[TenantRecord], method: str, host: str, path: str) -> Match | None:
    host = host.lower()
    for entry in sorted(
        entries, key=lambda entry: (not entry.tenant.hosts, -len(entry.tenant.prefix), entry.tenant.name)
    ):
        one = entry.tenant
        if (not one.hosts or host in one.hosts) and lies_under(path, one.prefix):
            kind = next(
                (
                    route.class_name
                    for route in one.routes
                    if route.method in ("*", method) and lies_under(path, route.path)
                ),
                one.default_class,
            )
            return Match(one, entry.number, kind, entry.state is TenantState.ACTIVE)
    return None


def index_match(made: TenantIndex, method: str, host: str, path: str) -> Match | None:
    leaf = made.find(host.lower(), path)
    return (
        None
        if leaf is None
        else Match(
            leaf.record.tenant,
            leaf.record.number,
            leaf.class_of(method, path),
            leaf.record.state is TenantState.ACTIVE,
        )
    )


routes = st.lists(
    st.builds(Route, st.sampled_from(["*", "GET", "PUT"]), st.sampled_from(PATHS), st.sampled_from("xyz")),
    max_size=14,
).map(tuple)
tenants = st.builds(
    tenant,
    st.sampled_from([f"t{number}" for number in range(8)]),
    st.lists(st.sampled_from(HOSTS), max_size=3).map(tuple),
    st.sampled_from(PATHS),
    routes,
    st.sampled_from([0.0, 0.1, 0.3, 1e-300]),
)
changes = st.lists(
    st.tuples(st.sampled_from(["put", "put", "remove", "suspend", "resume", "drain"]), tenants), max_size=40
)
requests_strategy = st.tuples(
    st.sampled_from(["GET", "PUT"]),
    st.sampled_from([*HOSTS, "A", "elsewhere", ""]),
    st.sampled_from([*PATHS, "/a/b/c/d", "/a/bc", "/abc", "", "*", "/" * 3000]),
)


@given(changes, st.lists(requests_strategy, min_size=5, max_size=10))
def test_index_resolves_as_a_linear_scan_after_any_changes(
    steps: list[tuple[str, Tenant]], requests: list[tuple[str, str, str]]
) -> None:
    made, lifecycle = TenantIndex(), Lifecycle()
    for what, one in steps:
        known = lifecycle.get(one.name)
        if what == "put" and (known is None or known.state is not TenantState.DRAINING):
            made.put(lifecycle.put(one)[0])
        elif known is not None and what == "remove":
            lifecycle.remove(one.name, 0, 0)
            for gone in lifecycle.remove_drained(0, lambda number: 0):
                made.remove(gone.record.tenant.name)
        elif known is not None and what == "drain":
            entry = lifecycle.remove(one.name, 0)
            assert entry
            made.put(entry)
        elif known is not None and what != "put" and known.state is not TenantState.DRAINING:
            entry = lifecycle.set_state(
                one.name, TenantState.SUSPENDED if what == "suspend" else TenantState.ACTIVE
            )
            assert entry
            made.put(entry)
        for request in requests:
            assert index_match(made, *request) == expected_match(list(lifecycle), *request)
    entries = sorted(lifecycle, key=lambda entry: entry.tenant.name)
    assert sorted(made.records(), key=lambda entry: entry.tenant.name) == entries
    assert len(made) == len(entries)
    page, last = made.page("t1", 3)
    later = [entry for entry in entries if entry.tenant.name > "t1"]
    assert page == later[:3]
    assert last == (later[2].tenant.name if len(later) > 3 else "")
    for _, one in steps:
        others = [entry.tenant for entry in entries if entry.tenant.name != one.name]
        assert made.guarantee_fits(one) is not over_guaranteed([*others, one])


@given(routes, st.lists(requests_strategy, min_size=1))
def test_first_matching_route_is_found_among_many(
    first_routes: tuple[Route, ...], requests: list[tuple[str, str, str]]
) -> None:
    never = tuple(Route("GET", f"/never/{number}", "x") for number in range(index.MAX_SCANNED_ROUTES))
    made = Routes(first_routes * 3 + never)
    for method, _, path in requests:
        assert made.class_of(method, path) == next(
            (
                route.class_name
                for route in first_routes
                if route.method in ("*", method) and lies_under(path, route.path)
            ),
            None,
        )


@pytest.mark.parametrize("hosts", [(), ("a",)])
def test_host_with_thousands_of_prefixes_is_split_into_parts(hosts: tuple[str, ...]) -> None:
    made = TenantIndex()
    for number in range(5000):
        made.put(TenantRecord(tenant(f"t{number}", hosts, f"/p{number:04d}"), number + 1))
    host = made._hosts[hosts[0] if hosts else ""]
    assert max(len(part) for part in host._parts) < 4 * index.PREFIXES_PER_PART
    assert len(host._lengths) == 1
    for number in (0, 1, 4999):
        match = made.find("a", f"/p{number:04d}/x")
        assert match
        assert match.record.number == number + 1
    assert made.find("a", "/p" + "/" * 100_000) is None
    for number in range(5000):
        made.remove(f"t{number}")
    assert not made._hosts
    assert not made._sharing
    assert not len(made)
    assert made.find("a", "/p0000") is None


def test_next_tenant_by_name_takes_a_shared_prefix_when_the_first_is_removed() -> None:
    made = TenantIndex()
    for number, name in enumerate("cab", 1):
        made.put(TenantRecord(tenant(name, ("h",), "/x"), number))
    for name in "abc":
        match = made.find("h", "/x/y")
        assert match
        assert match.record.tenant.name == name
        made.remove(name)
    assert made.find("h", "/x/y") is None
    assert not made._sharing


MOVES = [
    (tenant("t"), tenant("t", ("h",))),
    (tenant("t", ("h",)), tenant("t", ("h",), "/x")),
    (tenant("t", ("h", "i")), tenant("t", ("g", "h"), "/x/y")),
    (tenant("t", (), "/x"), tenant("t", ("h",))),
]


@pytest.mark.parametrize(("one", "other"), MOVES)
def test_reader_never_misses_a_tenant_whose_hosts_or_prefix_change(one: Tenant, other: Tenant) -> None:
    made, stop, missed = TenantIndex(), threading.Event(), list[int]()
    made.put(TenantRecord(tenant("zz", (), "/"), 1))
    made.put(TenantRecord(one, 2))

    def look() -> None:
        while not stop.is_set():
            match = made.find("h", "/x/y/z")
            if match is None or match.record.tenant not in (one, other):
                missed.append(1)

    threads = [threading.Thread(target=look) for _ in range(2)]
    for thread in threads:
        thread.start()
    for _ in range(1500):
        made.put(TenantRecord(other, 2))
        made.put(TenantRecord(one, 2))
    stop.set()
    for thread in threads:
        thread.join()
    assert not missed


class InterleavedIndex(TenantIndex):
    """An index that changes between the two look-ups of a reader."""

    def __init__(self) -> None:
        super().__init__()
        self.steps: list[TenantRecord] = []

    def find(self, host: str, path: str) -> index.IndexedTenant | None:
        hosts = self._hosts

        class Watched(dict[str, index.VirtualHost[index.IndexedTenant]]):
            def get(inner, key: str, default: object = None) -> object:  # type: ignore[override]  # noqa: N805  # `self` is the outer one
                value = hosts.get(key)
                if self.steps and key:
                    self._hosts = hosts
                    self.put(self.steps.pop())
                    self._hosts = watched
                return value

        watched = self._hosts = Watched()
        try:
            return super().find(host, path)
        finally:
            self._hosts = hosts


def test_tenant_that_gets_hosts_between_two_lookups_is_found() -> None:
    made = InterleavedIndex()
    made.put(TenantRecord(tenant("t"), 1))
    made.steps = [TenantRecord(tenant("t", ("h",)), 1)]
    match = made.find("h", "/")
    assert match
    assert match.record.tenant.hosts == ("h",)
    assert not made.steps


def test_pages_are_complete_while_names_are_added_and_removed() -> None:
    made, stop, wrong = TenantIndex(), threading.Event(), list[object]()
    for number in range(300):
        made.put(TenantRecord(tenant(f"n{number:04d}"), number + 1))

    def look() -> None:
        while not stop.is_set():
            page, _ = made.page("n0099", 100)
            names = [entry.tenant.name for entry in page if "x" not in entry.tenant.name]
            if any(one >= other for one, other in pairwise(names)) or names != [
                f"n{number:04d}" for number in range(100, 100 + len(names))
            ]:
                wrong.append(names)

    threads = [threading.Thread(target=look) for _ in range(2)]
    for thread in threads:
        thread.start()
    for round_ in range(2000):
        made.put(TenantRecord(tenant(f"n{round_ % 100:04d}x"), 1000))
        made.remove(f"n{round_ % 100:04d}x")
    stop.set()
    for thread in threads:
        thread.join()
    assert not wrong
    assert made.page("n0298", 1)[1] == ""
    assert made.page("n0297", 1)[1] == "n0298"


class ConcurrentlyChangedNames(list[str]):
    """Names that change just before a slice of them is taken."""

    def __init__(self, names: list[str], move: Callable[["ConcurrentlyChangedNames"], None]) -> None:
        super().__init__(names)
        self.move: Callable[[ConcurrentlyChangedNames], None] | None = move

    def __getitem__(self, key: Any) -> Any:
        if isinstance(key, slice) and self.move is not None:
            move, self.move = self.move, None
            move(self)
        return super().__getitem__(key)


@pytest.mark.parametrize(
    "move",
    [
        lambda names: names.remove("n0"),
        lambda names: names.insert(0, "m"),
        lambda names: names.remove("n1"),
        lambda names: names.insert(2, "n1x"),
    ],
)
def test_page_is_read_again_when_names_change_meanwhile(
    move: Callable[[ConcurrentlyChangedNames], None],
) -> None:
    made = TenantIndex()
    for number in range(6):
        made.put(TenantRecord(tenant(f"n{number}"), number + 1))
    made._names = ConcurrentlyChangedNames(made._names, move)
    page, last = made.page("n1", 2)
    assert [entry.tenant.name for entry in page] == ["n2", "n3"] or "n1x" in made._names
    assert last == ("n3" if "n1x" not in made._names else "n2")


def registry() -> tuple[TenantRegistry, Core]:
    node_settings = settings(SAFE, KEYED, cores=2)
    fair_queue = FairQueue(node_settings.cores, node_settings.memory_kb)
    core = Core(node_settings, [], 1, Backend(), scheduler=fair_queue)
    core.process_batch([])
    return TenantRegistry(
        [], ("safe", "keyed"), lambda backend: None, core, fair_queue, frozenset({"runtime"})
    ), core


def test_sum_of_guarantees_follows_changes() -> None:
    made, _ = registry()
    for number in range(10):
        made.put(tenant(f"t{number}", guarantee=0.1))  # in floats this is a little less than 1
    made.check(tenant("t3", guarantee=0.1))
    made.check(tenant("u", guarantee=1e-10))  # decimal fractions leave a little room
    with pytest.raises(ConfigError, match=r"share.guarantee"):
        made.check(tenant("u", guarantee=1e-8))
    made.put(tenant("t3", guarantee=0.05))
    made.check(tenant("u", guarantee=0.05))
    made.remove("t4")
    made.check(tenant("u", guarantee=0.15))
    with pytest.raises(ConfigError):
        made.check(tenant("u", guarantee=0.16))


def test_removal_can_be_limited_to_one_tenant() -> None:
    lifecycle = Lifecycle()
    for number in range(3):
        lifecycle.put(tenant(f"t{number}"))
    lifecycle.remove("t0", 0)
    lifecycle.remove("t1", 0)
    assert [gone.record.number for gone in lifecycle.remove_drained(0, lambda number: 0, [2])] == [2]
    assert [gone.record.tenant.name for gone in lifecycle.remove_drained(0, lambda number: 0)] == ["t0"]
    assert not lifecycle.is_draining()


def test_duplicate_tenant_names_raise() -> None:
    value = {
        "classes": [{"name": "safe", "deadline_ms": 1}],
        "workers": [{"name": "w"}],
        "tenants": [{"name": name, "backend": "w"} for name in ("a", "b", "a")],
    }
    with pytest.raises(ConfigError, match="tenants: two have the name 'a'"):
        parse(value)


def test_counters_of_excess_tenants_are_summed_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(counters, "MAX_TENANTS", 2)
    made = Counters()
    made.add("requests.read", 4)
    for name, what in (("a", "served"), ("b", "served"), ("a", "refused"), ("c", "served"), ("d", "failed")):
        made.add_for(name, what)
    assert made.snapshot() == {
        "requests.read": 4,
        "tenant.c.served": 1,
        "tenant.d.failed": 1,
        "tenants.others.refused": 1,
        "tenants.others.served": 2,
    }
    assert made.of_tenant("c") == {"served": 1}
    assert made.of_tenant("a") == {}
    assert made.summary() == {
        "requests.read": 4,
        "tenants.all.failed": 1,
        "tenants.all.refused": 1,
        "tenants.all.served": 3,
    }


def test_usage_contains_the_answers_of_a_tenant() -> None:
    made, core = registry()
    made.put(replace(tenant("t"), max_open=1))
    core.counters.add_for("t", "served")
    entry = made.record("t")
    assert entry
    assert made.usage(entry)["answers"] == {"served": 1}
