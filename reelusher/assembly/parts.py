"""Builds the parts of a node from its configuration.

Parts that only an operator's file configures are built by `assembly.hosted`, which a node without such a file
never loads.
"""

import threading
import time
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

from loguru import logger

from reelusher.assembly.descriptors import max_ajp_connections, max_caller_connections
from reelusher.backends.ajp.worker_pool import BalancedRunner, WorkerPool
from reelusher.backends.downstream_client import DownstreamClient
from reelusher.backends.runtime import RuntimeLink
from reelusher.backends.service_registry import ServiceRegistryClient
from reelusher.config import PLATFORM_TENANT, Config
from reelusher.config.platform_config import Platform
from reelusher.core.clock import Clock
from reelusher.core.counters import Counters
from reelusher.core.event_loop import Core
from reelusher.core.messages import Message, Runner
from reelusher.core.scheduling_lag import SchedulingLag
from reelusher.drain.graceful_shutdown import DrainableFrontend
from reelusher.frontends.rpc.frontend import RpcFrontend
from reelusher.net.sockets import Address

if TYPE_CHECKING:
    from reelusher.admin.api import AdminApi
    from reelusher.config.operator.file import Operator
    from reelusher.fleet.membership.service import Membership
    from reelusher.fleet.replication.service import Replication
    from reelusher.fleet.warm_start.client import WarmStartClient
    from reelusher.frontends.operations import OperationsFrontend
    from reelusher.storage.key_log import KeyLog
    from reelusher.tenancy.fair_queue import FairQueue
    from reelusher.tenancy.registry import TenantRegistry
    from reelusher.upgrade.key_locks import KeyLockFiles
    from reelusher.upgrade.process_registry import ProcessRegistry

RESULT_MEMORY_FRACTION = 0.25  # fraction of the node's memory for results cached by idempotency key
SEND_BUFFER_MEMORY_FRACTION = 0.1  # fraction of it for answers that slow callers have not read yet
BYTES_PER_MB = 1 << 20
DEFAULT_MAX_RESPONSE_KB = 1024  # limit of a worker's response where no AJP front end sets one


class Frontend(DrainableFrontend, Protocol):
    """The interface that each front end offers to the node."""

    address: Address

    def start(self) -> None:
        """Start to accept connections; the constructor has bound the address already."""

    def close(self) -> None:
        """Close the listener and all connections at once."""


class NodeCallbacks(Protocol):
    """The interface that the node offers to its parts."""

    drain_requested: threading.Event

    def is_ready(self) -> bool:
        """Return whether the process is ready to serve."""

    def status(self) -> dict[str, Any]:
        """Return the state of the node."""

    def request_drain(self, requested_s: float | None = None) -> bool:
        """Request a drain; return False if one was requested before.

        `requested_s` is the time by the monotonic clock from which the drain counts; None: from now.
        """


class NodeParts:
    """The parts of one node, built but not started; a part that is not configured is None."""

    def __init__(self, config: Config, callbacks: NodeCallbacks) -> None:
        self._config = config
        self.started_s = time.monotonic()
        self.counters = Counters()
        self.clock = Clock()
        self.poller_lag = SchedulingLag()
        self.frontends: dict[str, Frontend] = {}
        self.operations: OperationsFrontend | None = None
        self.process_registry: ProcessRegistry | None = None
        self.key_locks: KeyLockFiles | None = None
        self.admin: AdminApi | None = None
        self.fleet: Membership | None = None
        self.warm_start: WarmStartClient | None = None
        self.key_log: KeyLog | None = None
        self.replication: Replication | None = None
        self.replicated_tenants: TenantRegistry | None = None
        platform, operator = config.platform, config.operator
        self.worker_pool = self._build_worker_pool(operator)
        self.runtime = self._build_runtime(platform)
        self.downstream = self._build_downstream(platform)
        self.fair_queue = self._build_fair_queue()
        self.core = self._build_core()
        self.service_registry = self._build_service_registry(platform)
        if platform:
            self._build_platform_frontends(platform, callbacks)
            if platform.folder:
                self._build_upgrade_parts(platform.name, Path(platform.folder))
        if operator:
            from reelusher.assembly import hosted

            hosted.build(self, config, operator, callbacks)

    def random_for(self, purpose: str) -> Random:
        """Return a random generator for one purpose, seeded differently on each node.

        Activities that nodes repeat are thus spread over time.
        """
        return Random(f"{self._config.seed} {self._config.name} {purpose}")

    def open_connections(self) -> int:
        """Return how many connections callers hold, over all front ends."""
        return sum(frontend.open_connections() for frontend in self.frontends.values())

    def divert_callers(self, divert: bool) -> None:
        """Report the node as unhealthy to callers if `divert` is true, or else report its actual health.

        Any thread may call this.
        """
        if self.core.notices.diverting_callers is divert:
            return
        self.core.notices.diverting_callers = divert
        logger.info("operator: callers are diverted" if divert else "operator: callers are accepted again")
        self.core.on_health_changed()

    def close_replication(self) -> None:
        """Close the replica of the table of tenants after any write in progress; do nothing when repeated."""
        replication, self.replication = self.replication, None
        if replication:
            replication.close()

    def _post(self, message: Message) -> None:
        self.core.post(message)

    def _memory_bytes(self, fraction: float) -> int:
        return int(self._config.memory_mb * fraction * BYTES_PER_MB)

    def _build_worker_pool(self, operator: "Operator | None") -> WorkerPool:
        ajp = operator.ajp if operator else None
        return WorkerPool(
            operator.workers if operator else (),
            operator.balancers if operator else (),
            self._config.settings.cores,
            self._post,
            self.counters,
            (ajp.max_response_kb if ajp else DEFAULT_MAX_RESPONSE_KB) * 1024,
            self.open_connections,
            self.random_for("workers"),
        )

    def _build_runtime(self, platform: Platform | None) -> RuntimeLink | None:
        if platform is None:
            return None
        return RuntimeLink(platform.runtime, self._post, self.counters, self.random_for("runtime"))

    def _build_downstream(self, platform: Platform | None) -> DownstreamClient | None:
        if platform is None or platform.vault is None:
            return None
        return DownstreamClient(platform.vault, self._post, self.counters, self.clock)

    def _build_fair_queue(self) -> "FairQueue | None":
        """Return the scheduler of tenants; None without an operator's file, as there is only one tenant."""
        if self._config.operator is None:
            return None
        from reelusher.tenancy.fair_queue import FairQueue

        return FairQueue(self._config.settings.cores, self._config.settings.memory_kb)

    def _build_core(self) -> Core:
        # without a runtime, only tenants with workers of their own can be served
        no_backend: Runner = BalancedRunner(self.worker_pool, [], sticky=False, method="requests")
        return Core(
            self._config.settings,
            self._config.gauges,
            self._config.seed,
            self.runtime or no_backend,
            self.downstream,
            self._config.class_names,
            self.clock,
            self.counters,
            self._memory_bytes(RESULT_MEMORY_FRACTION),
            self.fair_queue,
        )

    def _build_service_registry(self, platform: Platform | None) -> ServiceRegistryClient | None:
        if platform is None or platform.directory is None:
            return None
        registry = ServiceRegistryClient(
            platform.directory,
            platform.name,
            lambda: self.core.notices.reports_healthy,
            self.counters,
            self.random_for("catalog"),
        )
        self.core.on_health_changed = registry.health_changed
        return registry

    def _build_platform_frontends(self, platform: Platform, callbacks: NodeCallbacks) -> None:
        self.frontends["platform"] = RpcFrontend(
            self.core,
            platform.listen,
            PLATFORM_TENANT,
            max_caller_connections(self._config) - max_ajp_connections(self._config),
            self._memory_bytes(SEND_BUFFER_MEMORY_FRACTION),
            lambda lag_s: self.poller_lag.observe(lag_s, time.monotonic()),
            shared=platform.operator is not None,
        )
        if platform.operator:
            from reelusher.frontends.operations import OperationsFrontend, max_calls

            self.operations = OperationsFrontend(
                platform.operator,
                self.counters,
                callbacks.is_ready,
                self.core.stats.snapshot,
                self.divert_callers,
                max_calls(self._config.sockets),
            )

    def _build_upgrade_parts(self, name: str, folder: Path) -> None:
        """Join the registry of this node's processes, and open the key locks that they share."""
        from reelusher.upgrade.key_locks import KeyLockFiles
        from reelusher.upgrade.process_registry import ProcessRegistry

        try:
            self.process_registry, self.key_locks = ProcessRegistry(folder, name), KeyLockFiles(folder, name)
        except OSError as error:
            logger.error("upgrade: {} is unusable, no other process can take over: {}", folder, error)
            return
        self.core.deduplication.key_locks = self.key_locks
