"""Builds the parts that only an operator's file configures: tenants, fleet, administration API, AJP."""

from dataclasses import replace
from pathlib import Path

from reelusher.admin.api import AdminApi, AdminContext
from reelusher.assembly.descriptors import max_ajp_connections
from reelusher.assembly.parts import NodeCallbacks, NodeParts
from reelusher.assembly.tenant_parts import TenantParts
from reelusher.config import Config
from reelusher.config.operator.file import Operator
from reelusher.config.operator.workers import backend_names
from reelusher.frontends.ajp.frontend import AjpFrontend
from reelusher.tenancy import tenant_store
from reelusher.tenancy.lifecycle import TenantState
from reelusher.tenancy.registry import TenantRegistry

AJP_REQUEST_MEMORY_FRACTION = 0.15  # fraction of the node's memory for requests over AJP that are open
FIRST_RECOVERED_REQUEST_ID = 1 << 40  # request ids from here on are those of recovered idempotency keys


def build(parts: NodeParts, config: Config, operator: Operator, callbacks: NodeCallbacks) -> None:
    """Add the parts that the operator's file configures."""
    if operator.fleet:
        from reelusher.assembly import fleet

        fleet.build(parts, config, operator.fleet, callbacks.drain_requested.is_set)
    backends = backend_names(operator.workers, operator.balancers, config.platform is not None)
    if operator.replication:
        from reelusher.assembly import replication

        tenants = replication.build(parts, config, operator, operator.replication, backends)
    else:
        tenants = _build_local_tenants(parts, operator, backends)
    if operator.ajp:
        ajp = replace(operator.ajp, max_connections=max_ajp_connections(config))
        parts.frontends["ajp"] = AjpFrontend(
            parts.core, ajp, tenants.registry, parts.memory_bytes(AJP_REQUEST_MEMORY_FRACTION)
        )
    if operator.admin:
        context = AdminContext(
            parts.core,
            tenants.registry,
            tenants.table,
            parts.worker_pool,
            callbacks.status,
            callbacks.request_drain,
            parts.fleet,
            tenants.api,
        )
        parts.admin = AdminApi(operator.admin, context)


def _build_local_tenants(parts: NodeParts, operator: Operator, backends: frozenset[str]) -> TenantParts:
    """Build tenants that only this node has, from the operator's file and the state directory."""
    assert parts.fair_queue is not None
    admin = operator.admin
    directory = Path(admin.state_dir) if admin and admin.state_dir else None
    store = tenant_store.open_store(
        directory,
        Path(admin.state_file) if admin and admin.state_file else None,
        operator.tenants,
        operator.class_names,
        backends,
    )
    if admin and admin.durable_keys:
        _recover_keys(parts, Path(admin.state_dir), operator.class_names)
    stored = store.checked_tenants(operator.class_names, backends)
    tenants = [(tenant, TenantState(state)) for tenant, state in stored]
    registry = TenantRegistry(
        tenants, operator.class_names, parts.worker_pool.runner, parts.core, parts.fair_queue, backends
    )
    return TenantParts(registry, store, None)


def _recover_keys(parts: NodeParts, directory: Path, class_names: tuple[str, ...]) -> None:
    """Restore the idempotency keys that earlier processes of this node stored; store new ones from now on."""
    log = tenant_store.open_key_log(directory, class_names)
    for request_id, entry in enumerate(log.unexpired(), FIRST_RECOVERED_REQUEST_ID):
        digest = bytes.fromhex(entry.body_digest)
        parts.core.keys.restore(entry.idempotency_key, request_id, entry.expires_us, digest)
    parts.core.deduplication.key_log = parts.key_log = log
