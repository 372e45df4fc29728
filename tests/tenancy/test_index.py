"""Tests of the index of tenants: comparison with a linear scan, and reads while it changes."""

import threading
from collections.abc import Callable
from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest
from core_harness import Backend
from helpers import KEYED, SAFE, small_node_settings
from hypothesis import given
from hypothesis import strategies as st

from reelusher.config.checked_table import ConfigError
from reelusher.config.operator.file import parse
from reelusher.config.operator.tenants import QuotaSettings, Route, Tenant, over_guaranteed
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
        name,
        "runtime",
        hosts,
        prefix,
        "x-request-key",
        "",
        0,
        16.0,
        routes,
        QuotaSettings(guarantee=guarantee),
    )


# The expected result, from a linear scan of all tenants.


def lies_under(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix if prefix.endswith("/") else prefix + "/")


def expected_match(records: list[TenantRecord], method: str, host: str, path: str) -> Match | None:
    host = host.lower()
    for record in sorted(
        records, key=lambda record: (not record.tenant.hosts, -len(record.tenant.prefix), record.tenant.name)
    ):
        candidate = record.tenant
        if (not candidate.hosts or host in candidate.hosts) and lies_under(path, candidate.prefix):
            class_name = next(
                (
                    route.class_name
                    for route in candidate.routes
                    if route.method in ("*", method) and lies_under(path, route.path)
                ),
                candidate.default_class,
            )
            return Match(candidate, record.number, class_name, record.state is TenantState.ACTIVE)
    return None


def index_match(tenant_index: TenantIndex, method: str, host: str, path: str) -> Match | None:
    indexed = tenant_index.find(host.lower(), path)
    return (
        None
        if indexed is None
        else Match(
            indexed.record.tenant,
            indexed.record.number,
            indexed.class_of(method, path),
            indexed.record.state is TenantState.ACTIVE,
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
    tenant_index, lifecycle = TenantIndex(), Lifecycle()
    for operation, changed_tenant in steps:
        existing = lifecycle.get(changed_tenant.name)
        if operation == "put" and (existing is None or existing.state is not TenantState.DRAINING):
            tenant_index.put(lifecycle.put(changed_tenant)[0])
        elif existing is not None and operation == "remove":
            lifecycle.remove(changed_tenant.name, 0, 0)
            for removed in lifecycle.remove_drained(0, lambda number: 0):
                tenant_index.remove(removed.record.tenant.name)
        elif existing is not None and operation == "drain":
            record = lifecycle.remove(changed_tenant.name, 0)
            assert record
            tenant_index.put(record)
        elif existing is not None and operation != "put" and existing.state is not TenantState.DRAINING:
            record = lifecycle.set_state(
                changed_tenant.name, TenantState.SUSPENDED if operation == "suspend" else TenantState.ACTIVE
            )
            assert record
            tenant_index.put(record)
        for request in requests:
            assert index_match(tenant_index, *request) == expected_match(list(lifecycle), *request)
    records = sorted(lifecycle, key=lambda record: record.tenant.name)
    assert sorted(tenant_index.records(), key=lambda record: record.tenant.name) == records
    assert len(tenant_index) == len(records)
    page, last = tenant_index.page("t1", 3)
    later = [record for record in records if record.tenant.name > "t1"]
    assert page == later[:3]
    assert last == (later[2].tenant.name if len(later) > 3 else "")
    for _, changed_tenant in steps:
        others = [record.tenant for record in records if record.tenant.name != changed_tenant.name]
        assert tenant_index.guarantee_fits(changed_tenant) is not over_guaranteed([*others, changed_tenant])


@given(routes, st.lists(requests_strategy, min_size=1))
def test_first_matching_route_is_found_among_many(
    first_routes: tuple[Route, ...], requests: list[tuple[str, str, str]]
) -> None:
    unmatched = tuple(Route("GET", f"/never/{number}", "x") for number in range(index.MAX_SCANNED_ROUTES))
    routes_of_tenant = Routes(first_routes * 3 + unmatched)
    for method, _, path in requests:
        assert routes_of_tenant.class_of(method, path) == next(
            (
                route.class_name
                for route in first_routes
                if route.method in ("*", method) and lies_under(path, route.path)
            ),
            None,
        )


@pytest.mark.parametrize("hosts", [(), ("a",)])
def test_host_with_thousands_of_prefixes_is_split_into_parts(hosts: tuple[str, ...]) -> None:
    tenant_index = TenantIndex()
    for number in range(5000):
        tenant_index.put(TenantRecord(tenant(f"t{number}", hosts, f"/p{number:04d}"), number + 1))
    host = tenant_index._hosts[hosts[0] if hosts else ""]
    assert max(len(part) for part in host._parts) < 4 * index.PREFIXES_PER_PART
    assert len(host._lengths) == 1
    for number in (0, 1, 4999):
        match = tenant_index.find("a", f"/p{number:04d}/x")
        assert match
        assert match.record.number == number + 1
    assert tenant_index.find("a", "/p" + "/" * 100_000) is None
    for number in range(5000):
        tenant_index.remove(f"t{number}")
    assert not tenant_index._hosts
    assert not tenant_index._shared_locations
    assert not len(tenant_index)
    assert tenant_index.find("a", "/p0000") is None


def test_next_tenant_by_name_takes_a_shared_prefix_when_the_first_is_removed() -> None:
    tenant_index = TenantIndex()
    for number, name in enumerate("cab", 1):
        tenant_index.put(TenantRecord(tenant(name, ("h",), "/x"), number))
    for name in "abc":
        match = tenant_index.find("h", "/x/y")
        assert match
        assert match.record.tenant.name == name
        tenant_index.remove(name)
    assert tenant_index.find("h", "/x/y") is None
    assert not tenant_index._shared_locations


LOCATION_CHANGES = [
    (tenant("t"), tenant("t", ("h",))),
    (tenant("t", ("h",)), tenant("t", ("h",), "/x")),
    (tenant("t", ("h", "i")), tenant("t", ("g", "h"), "/x/y")),
    (tenant("t", (), "/x"), tenant("t", ("h",))),
]


@pytest.mark.parametrize(("old_version", "new_version"), LOCATION_CHANGES)
def test_reader_never_misses_a_tenant_whose_hosts_or_prefix_change(
    old_version: Tenant, new_version: Tenant
) -> None:
    tenant_index, stop, missed = TenantIndex(), threading.Event(), list[int]()
    tenant_index.put(TenantRecord(tenant("zz", (), "/"), 1))
    tenant_index.put(TenantRecord(old_version, 2))

    def look_up() -> None:
        while not stop.is_set():
            match = tenant_index.find("h", "/x/y/z")
            if match is None or match.record.tenant not in (old_version, new_version):
                missed.append(1)

    threads = [threading.Thread(target=look_up) for _ in range(2)]
    for thread in threads:
        thread.start()
    for _ in range(1500):
        tenant_index.put(TenantRecord(new_version, 2))
        tenant_index.put(TenantRecord(old_version, 2))
    stop.set()
    for thread in threads:
        thread.join()
    assert not missed


class InterleavedIndex(TenantIndex):
    """An index that changes between the two look-ups of a reader."""

    def __init__(self) -> None:
        super().__init__()
        self.pending_changes: list[TenantRecord] = []

    def find(self, host: str, path: str) -> index.IndexedTenant | None:
        hosts = self._hosts

        class ChangingHosts(dict[str, index.VirtualHost[index.IndexedTenant]]):
            def get(inner, key: str, default: object = None) -> object:  # type: ignore[override]  # noqa: N805  # `self` is the outer index
                value = hosts.get(key)
                if self.pending_changes and key:
                    self._hosts = hosts
                    self.put(self.pending_changes.pop())
                    self._hosts = changing_hosts
                return value

        changing_hosts = self._hosts = ChangingHosts()
        try:
            return super().find(host, path)
        finally:
            self._hosts = hosts


def test_tenant_that_gets_hosts_between_two_lookups_is_found() -> None:
    tenant_index = InterleavedIndex()
    tenant_index.put(TenantRecord(tenant("t"), 1))
    tenant_index.pending_changes = [TenantRecord(tenant("t", ("h",)), 1)]
    match = tenant_index.find("h", "/")
    assert match
    assert match.record.tenant.hosts == ("h",)
    assert not tenant_index.pending_changes


def test_pages_are_complete_while_names_are_added_and_removed() -> None:
    tenant_index, stop, wrong_pages = TenantIndex(), threading.Event(), list[object]()
    for number in range(300):
        tenant_index.put(TenantRecord(tenant(f"n{number:04d}"), number + 1))

    def look_up() -> None:
        while not stop.is_set():
            page, _ = tenant_index.page("n0099", 100)
            names = [record.tenant.name for record in page if "x" not in record.tenant.name]
            if any(name >= next_name for name, next_name in pairwise(names)) or names != [
                f"n{number:04d}" for number in range(100, 100 + len(names))
            ]:
                wrong_pages.append(names)

    threads = [threading.Thread(target=look_up) for _ in range(2)]
    for thread in threads:
        thread.start()
    for iteration in range(2000):
        tenant_index.put(TenantRecord(tenant(f"n{iteration % 100:04d}x"), 1000))
        tenant_index.remove(f"n{iteration % 100:04d}x")
    stop.set()
    for thread in threads:
        thread.join()
    assert not wrong_pages
    assert tenant_index.page("n0298", 1)[1] == ""
    assert tenant_index.page("n0297", 1)[1] == "n0298"


class ConcurrentlyChangedNames(list[str]):
    """Names that change just before a slice of them is taken."""

    def __init__(self, names: list[str], change: Callable[["ConcurrentlyChangedNames"], None]) -> None:
        super().__init__(names)
        self.change: Callable[[ConcurrentlyChangedNames], None] | None = change

    def __getitem__(self, key: Any) -> Any:
        if isinstance(key, slice) and self.change is not None:
            change, self.change = self.change, None
            change(self)
        return super().__getitem__(key)


@pytest.mark.parametrize(
    "change",
    [
        lambda names: names.remove("n0"),
        lambda names: names.insert(0, "m"),
        lambda names: names.remove("n1"),
        lambda names: names.insert(2, "n1x"),
    ],
)
def test_page_is_read_again_when_names_change_meanwhile(
    change: Callable[[ConcurrentlyChangedNames], None],
) -> None:
    tenant_index = TenantIndex()
    for number in range(6):
        tenant_index.put(TenantRecord(tenant(f"n{number}"), number + 1))
    tenant_index._names = ConcurrentlyChangedNames(tenant_index._names, change)
    page, last = tenant_index.page("n1", 2)
    assert [record.tenant.name for record in page] == ["n2", "n3"] or "n1x" in tenant_index._names
    assert last == ("n3" if "n1x" not in tenant_index._names else "n2")


def registry() -> tuple[TenantRegistry, Core]:
    node_settings = small_node_settings(SAFE, KEYED, cores=2)
    fair_queue = FairQueue(node_settings.cores, node_settings.memory_kb)
    core = Core(node_settings, [], 1, Backend(), scheduler=fair_queue)
    core.process_batch([])
    return TenantRegistry(
        [], ("safe", "keyed"), lambda backend: None, core, fair_queue, frozenset({"runtime"})
    ), core


def test_sum_of_guarantees_follows_changes() -> None:
    tenants_in_memory, _ = registry()
    for number in range(10):
        # the sum of these floats is a little less than 1
        tenants_in_memory.put(tenant(f"t{number}", guarantee=0.1))
    tenants_in_memory.check(tenant("t3", guarantee=0.1))
    tenants_in_memory.check(tenant("u", guarantee=1e-10))  # the limit of 1 has a tolerance of 1e-9
    with pytest.raises(ConfigError, match=r"share.guarantee"):
        tenants_in_memory.check(tenant("u", guarantee=1e-8))
    tenants_in_memory.put(tenant("t3", guarantee=0.05))
    tenants_in_memory.check(tenant("u", guarantee=0.05))
    tenants_in_memory.remove("t4")
    tenants_in_memory.check(tenant("u", guarantee=0.15))
    with pytest.raises(ConfigError):
        tenants_in_memory.check(tenant("u", guarantee=0.16))


def test_removal_can_be_limited_to_one_tenant() -> None:
    lifecycle = Lifecycle()
    for number in range(3):
        lifecycle.put(tenant(f"t{number}"))
    lifecycle.remove("t0", 0)
    lifecycle.remove("t1", 0)
    assert [removed.record.number for removed in lifecycle.remove_drained(0, lambda number: 0, [2])] == [2]
    assert [removed.record.tenant.name for removed in lifecycle.remove_drained(0, lambda number: 0)] == ["t0"]
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
    tenant_counters = Counters()
    tenant_counters.add("requests.read", 4)
    for name, outcome in (
        ("a", "served"),
        ("b", "served"),
        ("a", "refused"),
        ("c", "served"),
        ("d", "failed"),
    ):
        tenant_counters.add_for(name, outcome)
    assert tenant_counters.snapshot() == {
        "requests.read": 4,
        "tenant.c.served": 1,
        "tenant.d.failed": 1,
        "tenants.others.refused": 1,
        "tenants.others.served": 2,
    }
    assert tenant_counters.of_tenant("c") == {"served": 1}
    assert tenant_counters.of_tenant("a") == {}
    assert tenant_counters.summary() == {
        "requests.read": 4,
        "tenants.all.failed": 1,
        "tenants.all.refused": 1,
        "tenants.all.served": 3,
    }


def test_usage_contains_the_answers_of_a_tenant() -> None:
    tenants_in_memory, core = registry()
    tenants_in_memory.put(replace(tenant("t"), max_open=1))
    core.counters.add_for("t", "served")
    record = tenants_in_memory.record("t")
    assert record
    assert tenants_in_memory.usage(record)["answers"] == {"served": 1}
