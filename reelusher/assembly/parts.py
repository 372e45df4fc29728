"""The parts of a node, which the builders of this package fill in."""

import threading
import time
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

from loguru import logger

from reelusher.config import Config
from reelusher.core.clock import Clock
from reelusher.core.counters import Counters
from reelusher.core.messages import Message
from reelusher.core.scheduling_lag import SchedulingLag
from reelusher.drain.graceful_shutdown import DrainableFrontend
from reelusher.net.sockets import Address

if TYPE_CHECKING:
    from reelusher.admin.api import AdminApi
    from reelusher.backends.ajp.worker_pool import WorkerPool
    from reelusher.backends.downstream_client import DownstreamClient
    from reelusher.backends.runtime import RuntimeLink
    from reelusher.backends.service_registry import ServiceRegistryClient
    from reelusher.core.event_loop import Core
    from reelusher.fleet.membership.service import Membership
    from reelusher.fleet.replication.service import Replication
    from reelusher.fleet.warm_start.client import WarmStartClient
    from reelusher.frontends.operations import OperationsFrontend
    from reelusher.storage.key_log import KeyLog
    from reelusher.tenancy.fair_queue import FairQueue
    from reelusher.tenancy.registry import TenantRegistry
    from reelusher.upgrade.key_locks import KeyLockFiles
    from reelusher.upgrade.process_registry import ProcessRegistry

BYTES_PER_MB = 1 << 20


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

    # every node has these; `node_builder` sets them
    core: "Core"
    worker_pool: "WorkerPool"

    def __init__(self, config: Config) -> None:
        self._config = config
        self.started_s = time.monotonic()
        self.counters = Counters()
        self.clock = Clock()
        self.poller_lag = SchedulingLag()
        self.frontends: dict[str, Frontend] = {}
        self.runtime: RuntimeLink | None = None
        self.downstream: DownstreamClient | None = None
        self.fair_queue: FairQueue | None = None  # None: the platform is the only tenant
        self.service_registry: ServiceRegistryClient | None = None
        self.operations: OperationsFrontend | None = None
        self.process_registry: ProcessRegistry | None = None
        self.key_locks: KeyLockFiles | None = None
        self.admin: AdminApi | None = None
        self.fleet: Membership | None = None
        self.warm_start: WarmStartClient | None = None
        self.key_log: KeyLog | None = None
        self.replication: Replication | None = None
        self.replicated_tenants: TenantRegistry | None = None

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

    def memory_bytes(self, fraction: float) -> int:
        """Return a fraction of the node's memory in bytes."""
        return int(self._config.memory_mb * fraction * BYTES_PER_MB)

    def post(self, message: Message) -> None:
        """Send a message to the event loop; parts that are built before it post to it once they run."""
        self.core.post(message)
