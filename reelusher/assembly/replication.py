"""Builds the tenants of a fleet, from this node's replica of the table of tenants."""

import time
from pathlib import Path

from reelusher.admin.replicated_api import ReplicatedTenantApi
from reelusher.assembly.parts import NodeParts
from reelusher.assembly.tenant_parts import TenantParts
from reelusher.config import Config, ConfigError
from reelusher.config.operator.file import Operator
from reelusher.config.operator.fleet import Replication as ReplicationConfig
from reelusher.fleet.replication.messages import ChangeRequest
from reelusher.fleet.replication.replica import Replica
from reelusher.fleet.replication.replica_store import ReplicaError
from reelusher.fleet.replication.service import Replication
from reelusher.fleet.replication.sqlite_replica import SqliteReplica
from reelusher.tenancy.cached_registry import CachedTenantRegistry
from reelusher.tenancy.replicated import ReplicatedTable
from reelusher.tenancy.tenant_source import unreadable_reason


def build(
    parts: NodeParts,
    config: Config,
    operator: Operator,
    replication: ReplicationConfig,
    backends: frozenset[str],
) -> TenantParts:
    """Build the replica, its replication, and the registry and API of the tenants in it."""
    assert parts.fair_queue is not None
    store = _open_replica_store(operator, replication, backends)
    registry = CachedTenantRegistry(
        operator.class_names,
        parts.worker_pool.runner,
        parts.core,
        parts.fair_queue,
        backends,
        store,
    )
    service = _build_replication(parts, config, operator, replication, store, backends)
    table = ReplicatedTable(service, operator.class_names, backends, parts.counters)

    def on_change(names: list[str]) -> None:
        registry.rows_changed(names)
        table.report_overlaps(names)

    store.on_change = on_change
    registry.is_bootstrapping = service.is_bootstrapping
    api = ReplicatedTenantApi(parts.core, registry, table, parts.fleet, parts.random_for("calls"))
    if parts.fleet:
        parts.fleet.handlers[ChangeRequest] = api.handle_forwarded
    parts.replication, parts.replicated_tenants = service, registry
    return TenantParts(registry, table, api)


def _open_replica_store(
    operator: Operator, replication: ReplicationConfig, backends: frozenset[str]
) -> SqliteReplica:
    try:
        return SqliteReplica(
            Path(replication.store),
            operator.fleet.name if operator.fleet else "",
            replication.control,
            lambda name, value: unreadable_reason(name, value, operator.class_names, backends),
        )
    except ReplicaError as error:
        raise ConfigError("replication.copy", str(error)) from None


def _build_replication(
    parts: NodeParts,
    config: Config,
    operator: Operator,
    replication: ReplicationConfig,
    store: SqliteReplica,
    backends: frozenset[str],
) -> Replication:
    replica = Replica(
        parts.fleet.live()[0].address if parts.fleet else "",
        replication.control,
        store,
        parts.random_for("replica"),
        operator.fleet.zone if operator.fleet else "",
        time.monotonic(),
        config.name,
    )
    return Replication(
        store,
        replica,
        parts.fleet,
        parts.random_for("replication"),
        parts.counters,
        repr((operator.class_names, sorted(backends))),
    )
