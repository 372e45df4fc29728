"""Figures that the operators expect within two years, and those that follow from them by arithmetic."""

from collections.abc import Callable
from dataclasses import dataclass

DAY_S, HOUR_S = 86_400.0, 3600.0

# Settings and sizes on which the arithmetic below is based
MAX_CONNECTIONS = 400  # default of `ajp.max_connections`
IDLE_TIMEOUT_S = 60.0  # `ajp.idle_ms`
WORKER_CONNECTIONS = 16  # `workers[].connections` of the example
SOCKETS = 65_536  # a likely value of `node.sockets`
PROBE_INTERVAL_S = 30.0  # mean time between a node's attempts at a worker that stays away: 20 to 40 s
CONTAINER_MAX_CONNECTIONS = 8192  # that a servlet container usually accepts
ROW_BYTES = 300  # size of a tenant's row in a change; the operators' figure
MAX_TENANTS_IN_MEMORY = 8192  # number of tenants of its replica that a node caches
LIST_ENTRY_BYTES = 47  # size of a node's entry in the service registry's list, as JSON
LINK_BYTES_PER_S = 125e6  # of a link of 1 Gbit/s


@dataclass(slots=True, frozen=True)
class Expected:
    """One figure of the operators' table."""

    title: str
    value: float
    unit: str = ""


EXPECTED = {
    "nodes": Expected("booking nodes", 3600),
    "callers": Expected("callers", 49_000),
    "services": Expected("services of callers", 1600),
    "requests_per_s": Expected("requests a second at the peak", 980_000, "/s"),
    "node_requests_per_s": Expected("the same, a node", 272, "/s"),
    "lost_region_requests_per_s": Expected("the same with a region lost", 320, "/s"),
    "twice_requests_per_s": Expected("twice the peak of a node", 544, "/s"),
    "routes": Expected("routes", 41_000),
    "tenants": Expected("tenants", 260_000),
    "added_ms": Expected("added to a request, for 99 in 100", 5.7, "ms"),
    "regions": Expected("regions", 7),
    "zones": Expected("zones", 17),
    "changes_per_day": Expected("changes of configuration a day", 12_000),
    "in_force_s": Expected("in force everywhere within", 16, "s"),
    "control_core": Expected("a node spends for control: of a core", 3.5, "%"),
    "control_mb": Expected("a node spends for control: memory", 64, "MB"),
    "control_bytes_per_s": Expected("a node spends for control: bytes a second", 3000, "B/s"),
    "control_machines": Expected("machines set aside for control", 6),
    "failures_per_day": Expected("machines that fail on an ordinary day", 280),
    "restarts_per_day": Expected("machines restarted or replaced on an ordinary day", 7600),
}


def expected(name: str) -> float:
    """Return the value of one figure of the operators' table."""
    return EXPECTED[name].value


@dataclass(slots=True, frozen=True)
class Derived:
    """A figure that follows from others; `formula` shows what `compute` does."""

    title: str
    formula: str
    unit: str
    compute: Callable[[], float]

    @property
    def value(self) -> float:
        """Return the computed figure."""
        return self.compute()


def ratio(numerator: str, denominator: str) -> float:
    """Return one expected figure divided by another."""
    return expected(numerator) / expected(denominator)


DERIVED = {
    "mean_node_requests_per_s": Derived(
        "requests a second, a node", "requests_per_s / nodes", "/s", lambda: ratio("requests_per_s", "nodes")
    ),
    "lost_region_mean": Derived(
        "requests a second, a node, with one of 7 regions lost",
        "requests_per_s / (nodes * 6 / 7)",
        "/s",
        lambda: ratio("requests_per_s", "nodes") * expected("regions") / (expected("regions") - 1),
    ),
    "caller_requests_per_s": Derived(
        "requests a second, a caller",
        "requests_per_s / callers",
        "/s",
        lambda: ratio("requests_per_s", "callers"),
    ),
    "caller_returns_s": Derived(
        "seconds until a caller that asks all nodes in turn is back at one",
        "nodes / caller_requests_per_s",
        "s",
        lambda: expected("nodes") / ratio("requests_per_s", "callers"),
    ),
    "tenant_requests_per_s": Derived(
        "requests a second, a tenant",
        "requests_per_s / tenants",
        "/s",
        lambda: ratio("requests_per_s", "tenants"),
    ),
    "tenant_returns_s": Derived(
        "seconds until a tenant whose requests go to all nodes in turn is back at one",
        "nodes / tenant_requests_per_s",
        "s",
        lambda: expected("nodes") / ratio("requests_per_s", "tenants"),
    ),
    "in_memory_s": Derived(
        "seconds in which requests of all tenants in turn fill the places in memory",
        "8,192 / node_requests_per_s",
        "s",
        lambda: MAX_TENANTS_IN_MEMORY / expected("node_requests_per_s"),
    ),
    "callers_per_node": Derived(
        "callers for each node, were each caller one node's",
        "callers / nodes",
        "",
        lambda: ratio("callers", "nodes"),
    ),
    "change_every_s": Derived(
        "seconds between two changes of configuration",
        "86,400 / changes_per_day",
        "s",
        lambda: DAY_S / expected("changes_per_day"),
    ),
    "restart_every_s": Derived(
        "seconds between two restarts",
        "86,400 / restarts_per_day",
        "s",
        lambda: DAY_S / expected("restarts_per_day"),
    ),
    "list_changes_per_s": Derived(
        "changes of the list a second: each machine goes and comes back",
        "2 * (restarts_per_day + failures_per_day) / 86,400",
        "/s",
        lambda: 2 * (expected("restarts_per_day") + expected("failures_per_day")) / DAY_S,
    ),
    "tenants_per_node": Derived(
        "tenants whose requests a node gets, were each tenant on 1 % of the nodes",
        "tenants / 100",
        "",
        lambda: expected("tenants") / 100,
    ),
    "zone_nodes": Derived("nodes of a zone", "nodes / zones", "", lambda: ratio("nodes", "zones")),
    "region_nodes": Derived("nodes of a region", "nodes / regions", "", lambda: ratio("nodes", "regions")),
    "connections_spread": Derived(
        "connections that a node holds where each caller asks all nodes in turn: each request comes on a new "
        "one, which is idle until it is closed",
        "node_requests_per_s * ajp.idle_ms",
        "",
        lambda: expected("node_requests_per_s") * IDLE_TIMEOUT_S,
    ),
    "subset_nodes": Derived(
        "nodes that a caller may keep connections to, at ajp.max_connections = 400",
        "400 * nodes / callers",
        "",
        lambda: MAX_CONNECTIONS / ratio("callers", "nodes"),
    ),
    "worker_idle": Derived(
        "connections kept open at one worker that all nodes use",
        "nodes * workers[].connections (16)",
        "",
        lambda: expected("nodes") * WORKER_CONNECTIONS,
    ),
    "worker_probes_per_s": Derived(
        "tries a second at one worker that stays away",
        "nodes / 30 s",
        "/s",
        lambda: expected("nodes") / PROBE_INTERVAL_S,
    ),
    "worker_descriptors": Derived(
        "descriptors that a node keeps from callers for workers, were each route one worker",
        "routes * workers[].connections (16)",
        "",
        lambda: expected("routes") * WORKER_CONNECTIONS,
    ),
    "change_bytes_per_s": Derived(
        "bytes a second of all changes, each pulled once by a node",
        "changes_per_day * 300 / 86,400",
        "B/s",
        lambda: expected("changes_per_day") * ROW_BYTES / DAY_S,
    ),
    "fill_mb": Derived(
        "bytes of the whole table to a fresh machine",
        "tenants * 300",
        "MB",
        lambda: expected("tenants") * ROW_BYTES / 1e6,
    ),
    "fill_bytes_per_s": Derived(
        "bytes a second that a node gives for machines that fail and come back empty",
        "failures_per_day * tenants * 300 / 86,400 / nodes",
        "B/s",
        lambda: expected("failures_per_day") * expected("tenants") * ROW_BYTES / DAY_S / expected("nodes"),
    ),
    "list_push_mb_per_s": Derived(
        "bytes a second that a control machine sends where each change brings callers the whole list",
        "callers * nodes * 47 * list_changes_per_s / control_machines",
        "MB/s",
        lambda: (
            expected("callers")
            * expected("nodes")
            * LIST_ENTRY_BYTES
            * derived("list_changes_per_s")
            / expected("control_machines")
            / 1e6
        ),
    ),
    "list_delta_kb_per_s": Derived(
        "the same where each change brings them the one entry",
        "callers * 47 * list_changes_per_s / control_machines",
        "KB/s",
        lambda: (
            expected("callers")
            * LIST_ENTRY_BYTES
            * derived("list_changes_per_s")
            / expected("control_machines")
            / 1e3
        ),
    ),
    "members_remembered": Derived(
        "members that a node remembers where each restart has a new address: the live, and an hour's gone",
        "nodes + (restarts_per_day + failures_per_day) / 24",
        "",
        lambda: expected("nodes") + (expected("restarts_per_day") + expected("failures_per_day")) / 24,
    ),
    "nodes_per_control_machine": Derived(
        "nodes for each control machine",
        "nodes / control_machines",
        "",
        lambda: ratio("nodes", "control_machines"),
    ),
}


def derived(name: str) -> float:
    """Return the value of one derived figure."""
    return DERIVED[name].value
