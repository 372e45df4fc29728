"""Reads the operator's file, which is TOML, and validates it section by section."""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from reelusher.config.checked_table import CheckedTable, ConfigError
from reelusher.config.operator.admin import Admin, read_admin
from reelusher.config.operator.ajp import Ajp, read_ajp
from reelusher.config.operator.checks import require_distinct
from reelusher.config.operator.classes import read_settings
from reelusher.config.operator.fleet import Fleet, Replication, read_fleet, read_replication
from reelusher.config.operator.tenants import Tenant, over_guaranteed, read_tenant
from reelusher.config.operator.workers import Balancer, Worker, backend_names, read_balancer, read_worker
from reelusher.config.platform_config import parse_seed
from reelusher.policy.settings import Settings

SECTIONS = (
    "node",
    "ajp",
    "admin",
    "fleet",
    "replication",
    "classes",
    "capacity",
    "workers",
    "balancers",
    "tenants",
)


@dataclass(slots=True, frozen=True)
class Operator:
    """The validated content of an operator's file."""

    name: str
    seed: int
    stop_ms: int  # time from the signal to stop until the process is killed
    memory_mb: float  # memory that the process may use
    sockets: int  # file descriptors that the process may hold open
    ajp: Ajp | None
    admin: Admin | None
    fleet: Fleet | None
    replication: Replication | None  # None: tenants are stored by this node alone
    workers: tuple[Worker, ...]
    balancers: tuple[Balancer, ...]
    tenants: tuple[Tenant, ...]
    settings: Settings | None  # None: the platform's are used
    class_names: tuple[str, ...]


def _require_no_other_tenants(
    replication: Replication, admin: Admin | None, tenants: tuple[Tenant, ...]
) -> None:
    """Raise `ConfigError` if the file has tenants, or a store of tenants or keys for this node alone."""
    if tenants:
        raise ConfigError("tenants", "with [replication] they are added through the administration API")
    if admin and admin.state_file:
        raise ConfigError("admin.state_file", f"with [replication] tenants are kept in {replication.store}")
    if admin and admin.durable_keys:
        raise ConfigError("admin.durable_keys", "keys over a restart are not kept with [replication] so far")
    if admin and admin.state_dir:
        raise ConfigError("admin.state_dir", f"with [replication] tenants are kept in {replication.store}")


def parse(value: Any, class_names: tuple[str, ...] = (), has_runtime: bool = False) -> Operator:
    """Validate the content of an operator's file. Raises `ConfigError`.

    `class_names` are the platform's, which take precedence over the file's own; without a platform there are
    none. `has_runtime` tells whether tenants may use the platform's runtime as their backend.
    """
    table = CheckedTable(value)
    table.reject_unknown_keys(*SECTIONS)
    node = table.table("node")
    node.reject_unknown_keys("name", "seed", "stop_ms", "memory_mb", "sockets")
    settings, file_class_names = read_settings(table)
    names = class_names or file_class_names
    if not names:
        raise ConfigError("classes", "at least one is needed where no platform tells them")
    workers, balancers = _read_backends(table)
    tenants = _read_tenants(table, names, backend_names(workers, balancers, has_runtime))
    admin = read_admin(table.table("admin")) if "admin" in table else None
    replication = read_replication(table.table("replication")) if "replication" in table else None
    if replication:
        _require_no_other_tenants(replication, admin, tenants)
    return Operator(
        name=node.string("name", "reelusher"),
        seed=parse_seed(node.string("seed", "1"), "node.seed"),
        stop_ms=node.integer("stop_ms", 10_000, minimum=100),
        memory_mb=node.number("memory_mb", 192.0, 16),
        sockets=node.integer("sockets", 1024, 64, 1 << 20),
        ajp=read_ajp(table.table("ajp")) if "ajp" in table else None,
        admin=admin,
        fleet=read_fleet(table.table("fleet")) if "fleet" in table else None,
        replication=replication,
        workers=workers,
        balancers=balancers,
        tenants=tenants,
        settings=None if class_names else settings,
        class_names=names,
    )


def _read_backends(table: CheckedTable) -> tuple[tuple[Worker, ...], tuple[Balancer, ...]]:
    workers = tuple(map(read_worker, table.tables("workers")))
    balancers = tuple(map(read_balancer, table.tables("balancers")))
    worker_names = [worker.name for worker in workers]
    for index, balancer in enumerate(balancers):
        for member in balancer.members:
            if member not in worker_names:
                raise ConfigError(f"balancers[{index}].members", f"no worker is named {member!r}")
    require_distinct("workers", worker_names + [balancer.name for balancer in balancers])
    return workers, balancers


def _read_tenants(
    table: CheckedTable, class_names: tuple[str, ...], backends: frozenset[str]
) -> tuple[Tenant, ...]:
    tenants = tuple(read_tenant(entry, class_names, backends) for entry in table.tables("tenants"))
    require_distinct("tenants", [tenant.name for tenant in tenants])
    if over_guaranteed(tenants):
        raise ConfigError("tenants", "the guarantees of all shares add up to more than 1")
    return tenants


def read(path: str, class_names: tuple[str, ...], has_runtime: bool) -> Operator:
    """Read and validate the file that REELUSHER_OPERATOR names. Raises `ConfigError`."""
    try:
        value = tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise ConfigError("REELUSHER_OPERATOR", str(error)) from None
    except ValueError as error:
        raise ConfigError("REELUSHER_OPERATOR", f"{path} is not TOML: {error}") from None
    return parse(value, class_names, has_runtime)
