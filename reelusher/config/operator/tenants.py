"""Tenants in the operator's file and the administration API: routes, quotas and guarantees."""

from collections.abc import Iterable
from dataclasses import dataclass, fields
from typing import Any

from reelusher.config.checked_table import CheckedTable, ConfigError

UNIT_BITS = 1074  # every float is a whole multiple of 2 to the power of -1074 (IEEE 754)


@dataclass(slots=True, frozen=True)
class Route:
    """Assigns requests to a class, by their method and a prefix of their path."""

    method: str  # in upper case; * matches any method
    path: str
    class_name: str


@dataclass(slots=True, frozen=True)
class QuotaSettings:
    """A tenant's quota as operators write it.

    Guarantee and ceiling are fractions of the capacity; the work that the ceiling allows in `burst_ms` may be
    taken at once. For `held`, `running`, `memory_kb`, `keys` and `connections`, 0 means no limit.
    """

    weight: float = 1.0
    guarantee: float = 0.0
    ceiling: float = 1.0
    burst_ms: int = 200
    held: int = 0
    running: int = 0
    memory_kb: float = 0.0
    keys: int = 0
    connections: int = 0
    classes: tuple[tuple[str, float], ...] = ()  # weight of each class among the tenant's classes

    def to_json(self) -> dict[str, Any]:
        """Return the values that differ from the standard quota, by key."""
        changed = {
            key: value for key in QUOTA_KEYS if (value := getattr(self, key)) != getattr(STANDARD_QUOTA, key)
        }
        return changed | ({"classes": dict(self.classes)} if self.classes else {})


STANDARD_QUOTA = QuotaSettings()
QUOTA_KEYS = tuple(field.name for field in fields(QuotaSettings) if field.name != "classes")


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant: how its requests are recognized and classified, their backend, and the quota."""

    name: str
    backend: str  # a worker, a balancer or `runtime`
    hosts: tuple[str, ...]  # host names in lower case; empty: any host
    prefix: str  # of the paths of its requests
    key_header: str  # header with the idempotency key, in lower case
    default_class: str  # class of requests that match no route; empty: they are answered with 404
    max_open: int  # maximum number of open requests, further ones are rejected; 0: no limit of its own
    held_kb: float  # memory accounted for a held request in addition to its body
    routes: tuple[Route, ...]
    share: QuotaSettings = STANDARD_QUOTA

    def to_json(self) -> dict[str, Any]:
        """Return the tenant in the form of the administration API and the operator's file."""
        table = {key: getattr(self, key) for key in TENANT_KEYS}
        if self.share != STANDARD_QUOTA:
            table["share"] = self.share.to_json()
        table["hosts"] = list(self.hosts)
        table["routes"] = [
            {"method": route.method, "path": route.path, "class": route.class_name} for route in self.routes
        ]
        if not self.default_class:
            del table["default_class"]
        return table


TENANT_KEYS = tuple(field.name for field in fields(Tenant) if field.name != "share")


def read_tenant(table: CheckedTable, class_names: tuple[str, ...], backends: frozenset[str]) -> Tenant:
    """Validate a tenant from the operator's file or the administration API. Raises `ConfigError`."""
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
    if table.is_empty:  # most tenants share the standard quota
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


def _units(fraction: float) -> int:
    """Return a fraction in units of 2 to the power of -1074, exactly."""
    numerator, denominator = fraction.as_integer_ratio()
    return (numerator << UNIT_BITS) // denominator  # exact: the denominator divides 2 ** UNIT_BITS


FULL_GUARANTEE = _units(1 + 1e-9)  # maximum sum of all guarantees; 1e-9 absorbs rounding of decimals


def guarantee_units(tenant: Tenant) -> int:
    """Return a tenant's guarantee in integer units, which add up exactly in any order."""
    return _units(tenant.share.guarantee) if tenant.share.guarantee else 0


def over_guaranteed(tenants: Iterable[Tenant]) -> bool:
    """Return whether the guarantees of all tenants add up to more than the capacity."""
    return sum(map(guarantee_units, tenants)) > FULL_GUARANTEE
