"""Builds the event loop and the pool of AJP workers, which every node has."""

from reelusher.assembly.parts import NodeParts
from reelusher.backends.ajp.worker_pool import BalancedRunner, WorkerPool
from reelusher.config import Config
from reelusher.core.event_loop import Core
from reelusher.core.messages import Runner

RESULT_MEMORY_FRACTION = 0.25  # fraction of the node's memory for results cached by idempotency key
DEFAULT_MAX_RESPONSE_KB = 1024  # limit of a worker's response where no AJP front end sets one


def build_worker_pool(parts: NodeParts, config: Config) -> None:
    """Add the pool of the operator's workers, which is empty without an operator's file."""
    operator = config.operator
    ajp = operator.ajp if operator else None
    parts.worker_pool = WorkerPool(
        operator.workers if operator else (),
        operator.balancers if operator else (),
        config.settings.cores,
        parts.post,
        parts.counters,
        (ajp.max_response_kb if ajp else DEFAULT_MAX_RESPONSE_KB) * 1024,
        parts.open_connections,
        parts.random_for("workers"),
    )


def build_core(parts: NodeParts, config: Config) -> None:
    """Add the event loop and, where an operator's file makes tenants, their scheduler."""
    if config.operator:
        from reelusher.tenancy.fair_queue import FairQueue

        parts.fair_queue = FairQueue(config.settings.cores, config.settings.memory_kb)
    # without a runtime, only tenants with workers of their own can be served
    no_backend: Runner = BalancedRunner(parts.worker_pool, [], sticky=False, method="requests")
    parts.core = Core(
        config.settings,
        config.gauges,
        config.seed,
        parts.runtime or no_backend,
        parts.downstream,
        config.class_names,
        parts.clock,
        parts.counters,
        parts.memory_bytes(RESULT_MEMORY_FRACTION),
        parts.fair_queue,
    )
