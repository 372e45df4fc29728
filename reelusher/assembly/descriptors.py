"""The budget of file descriptors: how many each part of a node may open, and how many callers get."""

from typing import TYPE_CHECKING

from reelusher.backends import downstream_client, runtime, service_registry
from reelusher.config import Config
from reelusher.config.platform_config import Platform
from reelusher.frontends.rpc import frontend as rpc_frontend

if TYPE_CHECKING:
    from reelusher.config.operator.file import Operator


PROCESS_DESCRIPTORS = 16  # standard streams, files that are open for a moment, and a margin
UPGRADE_DESCRIPTORS = 4  # files of the process registry and of the key locks
STATE_DESCRIPTORS = 8  # journals of tenants and of idempotency keys
REPLICA_DESCRIPTORS = 12  # four SQLite connections, each with database and log; shared memory; lock file
MIN_CALLER_CONNECTIONS = 16  # allowed to the front ends even if too few descriptors remain


def max_caller_connections(config: Config) -> int:
    """Return how many descriptors all front ends together may use for connections of callers."""
    reserved = PROCESS_DESCRIPTORS
    if config.platform:
        reserved += _reserved_for_platform(config.platform, config.sockets)
    if config.operator:
        reserved += _reserved_for_operator(config.operator)
    return max(config.sockets - reserved, MIN_CALLER_CONNECTIONS)


def max_ajp_connections(config: Config) -> int:
    """Return how many of the connections of callers the AJP front end may hold."""
    if config.operator is None or config.operator.ajp is None:
        return 0
    available = max_caller_connections(config)
    return min(config.operator.ajp.max_connections, available // 2 if config.platform else available)


def _reserved_for_platform(platform: Platform, sockets: int) -> int:
    reserved = rpc_frontend.DESCRIPTORS + runtime.DESCRIPTORS
    if platform.folder:
        reserved += UPGRADE_DESCRIPTORS
    if platform.vault:
        reserved += downstream_client.MAX_CONNECTIONS
    if platform.directory:
        reserved += service_registry.DESCRIPTORS
    if platform.operator:
        from reelusher.frontends import operations

        reserved += operations.descriptors(sockets)
    return reserved


def _reserved_for_operator(operator: "Operator") -> int:
    reserved = sum(worker.connections for worker in operator.workers)
    if operator.ajp:
        from reelusher.frontends.ajp import frontend as ajp_frontend

        reserved += ajp_frontend.DESCRIPTORS
    if operator.admin:
        from reelusher.admin import api

        reserved += api.DESCRIPTORS + STATE_DESCRIPTORS
    if operator.fleet:
        from reelusher.fleet.membership import service

        reserved += service.DESCRIPTORS
    if operator.replication:
        from reelusher.admin import fleet_client

        reserved += REPLICA_DESCRIPTORS + fleet_client.MAX_FORWARDED_CALLS + 1  # and one for a pull
    return reserved
