"""Builds the parts that the platform's file configures: backends, front ends, and those of an upgrade."""

import time
from pathlib import Path

from loguru import logger

from reelusher.assembly.descriptors import max_ajp_connections, max_caller_connections
from reelusher.assembly.parts import NodeCallbacks, NodeParts
from reelusher.backends.downstream_client import DownstreamClient
from reelusher.backends.runtime import RuntimeLink
from reelusher.backends.service_registry import ServiceRegistryClient
from reelusher.config import PLATFORM_TENANT, Config
from reelusher.config.platform_config import Platform
from reelusher.frontends.rpc.frontend import RpcFrontend

SEND_BUFFER_MEMORY_FRACTION = 0.1  # fraction of the node's memory for answers not read by slow callers yet
PARTIAL_MEMORY_FRACTION = 0.05  # fraction of the node's memory for messages that are not complete


def build_backends(parts: NodeParts, config: Config) -> None:
    """Add the links to the runtime and the downstream service; nothing without a platform."""
    platform = config.platform
    if platform is None:
        return
    parts.runtime = RuntimeLink(platform.runtime, parts.post, parts.counters, parts.random_for("runtime"))
    if platform.vault is not None:
        parts.downstream = DownstreamClient(platform.vault, parts.post, parts.counters, parts.clock)


def build_frontends(parts: NodeParts, config: Config, callbacks: NodeCallbacks) -> None:
    """Add the parts that need the event loop; nothing without a platform."""
    platform = config.platform
    if platform is None:
        return
    _build_service_registry(parts, platform)
    parts.frontends["platform"] = RpcFrontend(
        parts.core,
        platform.listen,
        PLATFORM_TENANT,
        max_caller_connections(config) - max_ajp_connections(config),
        parts.memory_bytes(SEND_BUFFER_MEMORY_FRACTION),
        lambda lag_s: parts.poller_lag.observe(lag_s, time.monotonic()),
        shared=platform.operator is not None,
        max_partial_bytes=parts.memory_bytes(PARTIAL_MEMORY_FRACTION),
    )
    if platform.operator:
        from reelusher.frontends.operations import OperationsFrontend, max_calls

        parts.operations = OperationsFrontend(
            platform.operator,
            parts.counters,
            callbacks.is_ready,
            parts.core.stats.snapshot,
            parts.divert_callers,
            max_calls(config.sockets),
        )
    if platform.folder:
        _build_upgrade_parts(parts, platform.name, Path(platform.folder))


def _build_service_registry(parts: NodeParts, platform: Platform) -> None:
    if platform.directory is None:
        return
    parts.service_registry = ServiceRegistryClient(
        platform.directory,
        platform.name,
        lambda: parts.core.notices.reports_healthy,
        parts.counters,
        parts.random_for("catalog"),
    )
    parts.core.on_health_changed = parts.service_registry.health_changed


def _build_upgrade_parts(parts: NodeParts, name: str, folder: Path) -> None:
    """Join the registry of this node's processes, and open the key locks that they share."""
    from reelusher.upgrade.key_locks import KeyLockFiles
    from reelusher.upgrade.process_registry import ProcessRegistry

    try:
        parts.process_registry, parts.key_locks = ProcessRegistry(folder, name), KeyLockFiles(folder, name)
    except OSError as error:
        logger.error("upgrade: {} is unusable, no other process can take over: {}", folder, error)
        return
    parts.core.deduplication.key_locks = parts.key_locks
