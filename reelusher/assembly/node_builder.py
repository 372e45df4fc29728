"""Builds the parts of a node from its configuration, in the order in which they need each other.

Parts that only an operator's file configures are built by `assembly.hosted`, which a node without such a file
never loads.
"""

from reelusher.assembly import core_builder, platform
from reelusher.assembly.parts import NodeCallbacks, NodeParts
from reelusher.config import Config


def build(config: Config, callbacks: NodeCallbacks) -> NodeParts:
    """Build all parts that are configured, without starting them.

    Raises `ConfigError`, and OSError for an address that can't be bound.
    """
    parts = NodeParts(config)
    core_builder.build_worker_pool(parts, config)
    platform.build_backends(parts, config)
    core_builder.build_core(parts, config)
    platform.build_frontends(parts, config, callbacks)
    operator = config.operator
    if operator is None:
        return parts
    from reelusher.assembly import hosted

    hosted.build(parts, config, operator, callbacks)
    return parts
