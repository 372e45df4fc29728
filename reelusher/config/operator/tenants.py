"""Tenants in the operator's file and the administration API: routes, quotas, guarantees."""

from collections.abc import Iterable
from dataclasses import dataclass, fields
from typing import Any

from reelusher.config.checked_table import CheckedTable, ConfigError

UNIT_BITS = 1074  # every float is a whole multiple of 2 to the power of -1074 (IEEE 754)


@dataclass(slots=True, frozen=True)
class Route:
    """Requests of one class, by method and the beginning of the path."""

    method: str  # or * for any
    path: str
    class_name: str


@dataclass(slots=True, frozen=True)
class QuotaSettings:
    """A tenant's quota as operators write it: fractions of the capacity; a limit of 0 is none."""

    weight: float = 1.0
    guarantee: float = 0.0
    ceiling: float = 1.0
    burst_ms: int = 200
    held: int = 0
    running: int = 0
    memory_kb: float = 0.0
    keys: int = 0
    connections: int = 0
    classes: tuple[tuple[str, float], ...] = ()  # weights of classes within the tenant

    def to_json(self) -> dict[str, Any]:
        """Return what differs from the standard quota."""
        made = {
            key: value for key in QUOTA_KEYS if (value := getattr(self, key)) != getattr(STANDARD_QUOTA, key)
        }
        return made | ({"classes": dict(self.classes)} if self.classes else {})


STANDARD_QUOTA = QuotaSettings()
QUOTA_KEYS = tuple(one.name for one in fields(QuotaSettings) if one.name != "classes")


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant: which requests are its own, their classes, and the backend that runs them."""

    name: str
    backend: str  # a worker, a balancer or `runtime`
    hosts: tuple[str, ...]  # none: any
    prefix: str
    key_header: str
    default_class: str  # of requests that no route names; empty: they are answered 404
    max_open: int  # open requests, above which more are rejected; 0: no limit of its own
    held_kb: float  # memory reserved for a held request beside its body
    routes: tuple[Route, ...]
    share: QuotaSettings = STANDARD_QUOTA

    def to_json(self) -> dict[str, Any]:
        """Return it as the administration API and the operator's file write it."""
        made = {key: getattr(self, key) for key in TENANT_KEYS}
        if self.share != STANDARD_QUOTA:
            made["share"] = self.share.to_json()
        made["hosts"] = list(self.hosts)
        made["routes"] = [{"method": r.method, "path": r.path, "class": r.class_name} for r in self.routes]
        if not self.default_class:
            del made["default_class"]
        return made


TENANT_KEYS = tuple(one.name for one in fields(Tenant) if one.name != "share")


def read_tenant(table: CheckedTable, class_names: tuple[str, ...], backends: frozenset[str]) -> Tenant:
    """Check a tenant, from the operator's file or the administration API. Raises `ConfigError`."""
    table.reject_unknown_keys(
        "name",
        "backend",
        "hosts",
        "prefix",
        "key_header",
        "default_class",
        "max_open",
        "held_kb",
        "routes",
        "share",
    )
    routes = []
    for route in table.tables("routes"):
        route.reject_unknown_keys("method", "path", "class")
        routes.append(
            Route(
                route.string("method", "*").upper(), _path(route, "path"), route.choice("class", class_names)
            )
        )
    name = table.string("name")
    if len(name) > 64 or not all(char.isalnum() or char in "-_." for char in name):
        raise ConfigError(table.path("name"), "1 to 64 letters, digits, dots, dashes, underlines are wanted")
    return Tenant(
        name=name,
        backend=table.choice("backend", backends),
        hosts=tuple(host.lower() for host in table.strings("hosts", ())),
        prefix=_path(table, "prefix"),
        key_header=table.string("key_header", "X-Request-Key").lower(),
        default_class=table.choice("default_class", class_names) if "default_class" in table else "",
        max_open=table.integer("max_open", 0),
        held_kb=table.number("held_kb", 16.0, 0.0, 1e6),
        routes=tuple(routes),
        share=_read_quota(table.table("share"), class_names),
    )


def _read_quota(table: CheckedTable, class_names: tuple[str, ...]) -> QuotaSettings:
    if table.is_empty:  # as of most of many tenants
        return STANDARD_QUOTA
    table.reject_unknown_keys(
        "weight",
        "guarantee",
        "ceiling",
        "burst_ms",
        "held",
        "running",
        "memory_kb",
        "keys",
        "connections",
        "classes",
    )
    classes = table.table("classes")
    classes.reject_unknown_keys(*class_names)
    return QuotaSettings(
        weight=table.number("weight", 1.0, 0.001, 1e6),
        guarantee=table.number("guarantee", 0.0, 0.0, 1.0),
        ceiling=table.number("ceiling", 1.0, 0.001, 1.0),
        burst_ms=table.integer("burst_ms", 200, 0, 3_600_000),
        held=table.integer("held", 0),
        running=table.integer("running", 0),
        memory_kb=table.number("memory_kb", 0.0),
        keys=table.integer("keys", 0),
        connections=table.integer("connections", 0),
        classes=tuple(
            (name, classes.number(name, None, 0.001, 1e6)) for name in class_names if name in classes
        ),
    )


def _path(table: CheckedTable, key: str) -> str:
    path = table.string(key, "/")
    if not path.startswith("/"):
        raise ConfigError(table.path(key), "a path begins with /")
    return path


def _units(part: float) -> int:
    top, bottom = part.as_integer_ratio()
    return (top << UNIT_BITS) // bottom  # without a rest: the bottom is a power of two, and no greater


FULL_GUARANTEE = _units(1 + 1e-9)  # all guarantees together, with some room for decimal fractions


def guarantee_units(tenant: Tenant) -> int:
    """Return a tenant's guarantee in units that add up exactly, in any order."""
    return _units(tenant.share.guarantee) if tenant.share.guarantee else 0


def over_guaranteed(tenants: Iterable[Tenant]) -> bool:
    """Return whether guarantees add up to more than the capacity."""
    return sum(map(guarantee_units, tenants)) > FULL_GUARANTEE
