"""The sections `workers` and `balancers` of the operator's file: AJP back-end servers."""

from dataclasses import dataclass

from reelusher.config.checked_table import CheckedTable, ConfigError

RUNTIME = "runtime"  # backend of tenants whose requests run on the platform's runtime
# a disabled worker gets only requests of its own sessions, a stopped one gets none
ACTIVATIONS = ("active", "disabled", "stopped")


@dataclass(slots=True, frozen=True)
class Worker:
    """Configuration of an AJP13 worker, a server that requests are forwarded to."""

    name: str
    host: str
    port: int
    secret: str  # sent with each request; empty: none
    route: str  # suffix of the ids of its sessions, by which later requests find the worker
    factor: int  # weight among the members of a balancer
    connections: int  # maximum number of requests in progress, each with a connection
    connect_timeout_ms: int
    cping_timeout_ms: int  # for the reply to the CPing before each request; 0: no CPing is sent
    reply_timeout_ms: int
    recover_ms: int  # base of the backoff between probes of an unreachable worker
    activation: str  # one of `ACTIVATIONS`


@dataclass(slots=True, frozen=True)
class Balancer:
    """Configuration of a balancer, which distributes requests among workers."""

    name: str
    members: tuple[str, ...]  # names of workers
    sticky: bool  # whether requests of a session go to the worker of the session
    method: str  # `requests` or `busyness`, by which the load balancer selects


def read_worker(table: CheckedTable) -> Worker:
    """Validate an entry of `workers`. Raises `ConfigError`."""
    table.reject_unknown_keys(
        "name",
        "host",
        "port",
        "secret",
        "route",
        "factor",
        "connections",
        "connect_timeout_ms",
        "cping_timeout_ms",
        "reply_timeout_ms",
        "recover_ms",
        "activation",
    )
    name = table.string("name")
    if name == RUNTIME:
        raise ConfigError(table.path("name"), f"{RUNTIME} names the platform's runtime")
    return Worker(
        name=name,
        host=table.string("host", "127.0.0.1"),
        port=table.integer("port", 8009, 1, 65535),
        secret=table.string("secret", " ").strip(),
        route=table.string("route", name),
        factor=table.integer("factor", 1, 1, 1000),
        connections=table.integer("connections", 32, 1, 1000),
        connect_timeout_ms=table.integer("connect_timeout_ms", 1000, 1),
        cping_timeout_ms=table.integer("cping_timeout_ms", 1000),
        reply_timeout_ms=table.integer("reply_timeout_ms", 30_000, 1),
        recover_ms=table.integer("recover_ms", 10_000),
        activation=table.choice("activation", ACTIVATIONS, "active"),
    )


def read_balancer(table: CheckedTable) -> Balancer:
    """Validate an entry of `balancers`. Raises `ConfigError`."""
    table.reject_unknown_keys("name", "members", "sticky", "method")
    return Balancer(
        table.string("name"),
        table.strings("members"),
        table.boolean("sticky", True),
        table.choice("method", ("requests", "busyness"), "requests"),
    )


def backend_names(
    workers: tuple[Worker, ...], balancers: tuple[Balancer, ...], has_runtime: bool
) -> frozenset[str]:
    """Return the names that tenants may use as their backend."""
    return frozenset(
        {worker.name for worker in workers}
        | {balancer.name for balancer in balancers}
        | ({RUNTIME} if has_runtime else set())
    )
