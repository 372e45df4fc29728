"""AJP workers and balancers in the operator's file."""

from dataclasses import dataclass

from reelusher.config.checked_table import CheckedTable, ConfigError

RUNTIME = "runtime"  # the backend of tenants whose requests run on the platform's runtime
ACTIVATIONS = ("active", "disabled", "stopped")


@dataclass(slots=True, frozen=True)
class Worker:
    """An AJP13 worker that requests are forwarded to."""

    name: str
    host: str
    port: int
    secret: str
    route: str  # that its sessions carry
    factor: int  # weight among the members of a balancer
    connections: int
    connect_timeout_ms: int
    cping_timeout_ms: int  # 0: no CPing before a request
    reply_timeout_ms: int
    recover_ms: int  # how long an unreachable worker is skipped
    activation: str


@dataclass(slots=True, frozen=True)
class Balancer:
    """Workers that share requests."""

    name: str
    members: tuple[str, ...]
    sticky: bool
    method: str


def read_worker(table: CheckedTable) -> Worker:
    """Check an entry of `workers`. Raises `ConfigError`."""
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
    """Check an entry of `balancers`. Raises `ConfigError`."""
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
    """Return what tenants may name as their backend."""
    return frozenset(
        {one.name for one in workers}
        | {one.name for one in balancers}
        | ({RUNTIME} if has_runtime else set())
    )
