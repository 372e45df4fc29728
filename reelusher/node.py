"""The node: assembles core, fronts and backends, and takes them down in order."""

import gc
import signal
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

from loguru import logger

from reelusher.backends import runtime, service_registry
from reelusher.backends.ajp.worker_pool import BalancedRunner, WorkerPool
from reelusher.backends.downstream_client import MOST_LINES, DownstreamClient
from reelusher.backends.runtime import RuntimeLink
from reelusher.backends.service_registry import ServiceRegistry
from reelusher.config import PLATFORM_TENANT, Config, ConfigError, load
from reelusher.config.operator import Operator, backend_names
from reelusher.core.clock import Clock
from reelusher.core.counters import Counters
from reelusher.core.event_loop import Core
from reelusher.core.messages import DrainRequested, Message, Runner
from reelusher.core.scheduling_lag import SchedulingLag
from reelusher.drain.graceful_shutdown import DrainableFrontend, GracefulShutdown
from reelusher.drain.signals import POLL_INTERVAL_S, SignalWatch
from reelusher.frontends.rpc import frontend as rpc_frontend
from reelusher.frontends.rpc.frontend import RpcFrontend
from reelusher.net.sockets import Address
from reelusher.net.threads import start_thread

if TYPE_CHECKING:
    from reelusher.admin.api import AdminApi
    from reelusher.admin.tenant_api import TenantApi
    from reelusher.fleet.membership.messages import ObservationsReply
    from reelusher.fleet.membership.service import Membership
    from reelusher.fleet.replication.service import Replication
    from reelusher.fleet.warm_start.client import WarmStartClient
    from reelusher.frontends.operations import OperationsFrontend
    from reelusher.storage.key_log import KeyLog
    from reelusher.tenancy.fair_queue import FairQueue
    from reelusher.tenancy.registry import TenantRegistry
    from reelusher.tenancy.tenant_store import TenantTable
    from reelusher.upgrade.key_locks import KeyLockFiles
    from reelusher.upgrade.process_registry import ProcessRegistry

SWITCH_S = 0.001  # a thread that waits for the interpreter gets it within this
RESULTS_PART = 0.25  # part of the node's memory that kept results may take
BACKLOGS_PART = 0.1  # part of it that answers may take which slow callers have not read yet
FILES = 16  # descriptors of the process itself: standard ones, those read or written for a moment, and some
UPGRADE_FILES, STATE_FILES = 4, 8  # of claims and lives; of tenants' and keys' journals
COPY_FILES = 12  # of the replicated table: four connections with file and log, what they share, a lock
HANDOVER_MOST_S, HANDOVER_S = 3.0, 0.7  # an old process is ended after its longest deadline, and this
WARM_S = 5.0  # a node that was started later than that ago has seen too little to teach
MOST_RELOADS = 2  # one at work, and one that will read what is there by then; more would read the same
EARLIER = 1 << 40  # tries of earlier lives of the node are numbered from here
LEAST_CONNECTIONS = 16  # that fronts get however few descriptors there are


class Frontend(DrainableFrontend, Protocol):
    """What every front can do."""

    address: tuple[str, int]

    def start(self) -> None:
        """Start to listen."""

    def close(self) -> None:
        """End everything at once."""


class Closable(Protocol):
    """A part of the node that ends by `close`."""

    def close(self) -> None:
        """End the part."""


class Node:
    """One booking node, embeddable: `start` it, wait for `asked_to_leave`, then `leave`."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.asked_to_leave = threading.Event()
        self._started = False
        self._asked_s = 0.0  # when the drain was asked for at the earliest, by the monotonic clock
        self._reload = threading.Lock()  # held while files are read
        self._reloads = threading.BoundedSemaphore(MOST_RELOADS)
        self._pace = SchedulingLag()  # of the fronts' poller
        self.counters, self._clock = Counters(), Clock()
        self._began = time.monotonic()
        self.fronts: dict[str, Frontend] = {}
        told, own = config.platform, config.operator
        self._pool = WorkerPool(
            own.workers if own else (),
            own.balancers if own else (),
            config.settings.cores,
            self._post,
            self.counters,
            (own.ajp.max_response_kb if own and own.ajp else 1024) * 1024,
            self._connections,
            self._spread("workers"),
        )
        self.runtime = (
            RuntimeLink(told.runtime, self._post, self.counters, self._spread("runtime")) if told else None
        )
        self.vault = (
            DownstreamClient(told.vault, self._post, self.counters, self._clock)
            if told and told.vault
            else None
        )
        # without a runtime, only tenants with workers of their own can be served
        nobody: Runner = BalancedRunner(self._pool, [], sticky=False, method="requests")
        self._shares = self._shares_of(config)
        self.core = Core(
            config.settings,
            config.gauges,
            config.seed,
            self.runtime or nobody,
            self.vault,
            config.class_names,
            self._clock,
            self.counters,
            int(config.memory_mb * RESULTS_PART * (1 << 20)),
            self._shares,
        )
        self.catalog = (
            ServiceRegistry(
                told.directory,
                told.name,
                lambda: self.core.notices.reports_healthy,
                self.counters,
                self._spread("catalog"),
            )
            if told and told.directory
            else None
        )
        if self.catalog:
            self.core.on_health_changed = self.catalog.changed
        if told:
            self.fronts["platform"] = RpcFrontend(
                self.core,
                told.listen,
                PLATFORM_TENANT,
                self._most_connections() - self._most_ajp(),
                int(config.memory_mb * BACKLOGS_PART * (1 << 20)),
                lambda late_s: self._pace.observe(late_s, time.monotonic()),
                shared=told.operator is not None,
            )
        self.operator = self._second_address(told.operator) if told and told.operator else None
        self._process_registry: ProcessRegistry | None = None
        self._key_locks: KeyLockFiles | None = None
        if told and told.folder:
            self._share(told.name, Path(told.folder))
        self.admin: AdminApi | None = None
        self.fleet: Membership | None = None
        self._learner: WarmStartClient | None = None
        self._key_log: KeyLog | None = None
        self._replication: Replication | None = None
        self._tenants: TenantRegistry | None = None  # those of the replicated table
        if own:
            self._set_up(own)

    def _second_address(self, address: Address) -> "OperationsFrontend":
        from reelusher.frontends.operations import OperationsFrontend, most_calls

        return OperationsFrontend(
            address,
            self.counters,
            self._ready,
            self.core.stats.snapshot,
            self._send_away,
            most_calls(self.config.sockets),
        )

    def _share(self, name: str, folder: Path) -> None:
        """Take part in upgrades: register this process, and lock idempotency keys before they run."""
        from reelusher.upgrade.key_locks import KeyLockFiles
        from reelusher.upgrade.process_registry import ProcessRegistry

        try:
            self._process_registry = ProcessRegistry(folder, name)
            self._key_locks = KeyLockFiles(folder, name)
        except OSError as error:
            logger.error("upgrade: {} can't be used, so no other process may take over: {}", folder, error)
            return
        self.core.deduplication.key_locks = self._key_locks

    def _set_up(self, own: Operator) -> None:
        """Set up what the operator's file asks for; without one, nothing of it is loaded."""
        from reelusher.admin.api import AdminApi, AdminContext
        from reelusher.frontends.ajp.frontend import AjpFrontend

        if own.fleet:
            from reelusher.fleet.membership.service import Membership
            from reelusher.fleet.warm_start.client import WarmStartClient

            self.fleet = Membership(own.fleet, self.config.name, self._spread("fleet"), self.counters)
            self.fleet.observations = self._observations
            self._learner = WarmStartClient(
                self.fleet, self._spread("learning"), self.counters, self._apply_observations
            )
        tenants, table, calls = self._replicated(own) if own.replication else self._own_tenants(own)
        if own.ajp:
            self.fronts["ajp"] = AjpFrontend(
                self.core, replace(own.ajp, max_connections=self._most_ajp()), tenants
            )
        if own.admin:
            self.admin = AdminApi(
                own.admin,
                AdminContext(
                    self.core, tenants, table, self._pool, self.status, self.ask_to_leave, self.fleet, calls
                ),
            )

    def _own_tenants(self, own: Operator) -> "tuple[TenantRegistry, TenantTable, None]":
        """Return tenants that are this node's only, from its file and its state folder."""
        from reelusher.tenancy import tenant_store
        from reelusher.tenancy.lifecycle import TenantState
        from reelusher.tenancy.registry import TenantRegistry

        backends = self._backends(own)
        assert self._shares is not None
        folder, old = (own.admin.state_dir, own.admin.state_file) if own.admin else ("", "")
        kept = tenant_store.open_store(
            Path(folder) if folder else None,
            Path(old) if old else None,
            own.tenants,
            own.class_names,
            backends,
        )
        if own.admin and own.admin.durable_keys:
            log = tenant_store.open_key_log(Path(folder))
            for number, line in enumerate(log.unexpired()):
                self.core.keys.restore(
                    line.idempotency_key, EARLIER + number, line.expires_us, bytes.fromhex(line.body_digest)
                )
            self.core.deduplication.key_log, self._key_log = log, log
        found = [
            (tenant, TenantState(state)) for tenant, state in kept.checked_tenants(own.class_names, backends)
        ]
        tenants = TenantRegistry(found, own.class_names, self._pool.runner, self.core, self._shares, backends)
        return tenants, kept, None

    def _replicated(self, own: Operator) -> "tuple[TenantRegistry, TenantTable, TenantApi]":
        """Return the tenants of the whole fleet, from this node's copy of the replicated table."""
        from reelusher.admin.replicated_api import ReplicatedTenantApi
        from reelusher.fleet.replication.messages import ChangeRequest
        from reelusher.fleet.replication.replica import Replica
        from reelusher.fleet.replication.replica_store import ReplicaError
        from reelusher.fleet.replication.service import Replication
        from reelusher.fleet.replication.sqlite_replica import SqliteReplica
        from reelusher.tenancy.cached_registry import CachedTenantRegistry
        from reelusher.tenancy.replicated import ReplicatedTable
        from reelusher.tenancy.tenant_source import unreadable_reason

        told, backends = own.replication, self._backends(own)
        assert told is not None
        assert self._shares is not None
        try:
            copy = SqliteReplica(
                Path(told.store),
                own.fleet.name if own.fleet else "",
                told.control,
                lambda name, value: unreadable_reason(name, value, own.class_names, backends),
            )
        except ReplicaError as error:
            raise ConfigError("replication.copy", str(error)) from None
        tenants = CachedTenantRegistry(
            own.class_names, self._pool.runner, self.core, self._shares, backends, copy
        )
        place = self.fleet.live()[0].address if self.fleet else ""
        replica = Replica(
            place,
            told.control,
            copy,
            self._spread("replica"),
            own.fleet.zone if own.fleet else "",
            time.monotonic(),
            self.config.name,
        )
        replication = self._replication = Replication(
            copy,
            replica,
            self.fleet,
            self._spread("replication"),
            self.counters,
            repr((own.class_names, sorted(backends))),
        )
        table = ReplicatedTable(replication, own.class_names, backends, self.counters)

        def changed(names: list[str]) -> None:
            tenants.rows_changed(names)
            table.report_overlaps(names)

        copy.on_change = changed
        tenants.is_bootstrapping = replication.is_bootstrapping
        calls = ReplicatedTenantApi(self.core, tenants, table, self.fleet, self._spread("calls"))
        if self.fleet:
            self.fleet.handlers[ChangeRequest] = calls.handle_forwarded
        self._tenants = tenants
        return tenants, table, calls

    def _backends(self, own: Operator) -> frozenset[str]:
        return backend_names(own.workers, own.balancers, self.config.platform is not None)

    def _spread(self, what: str) -> Random:
        """Return what spreads one thing that is repeated in time, for each node in its own way."""
        return Random(f"{self.config.seed} {self.config.name} {what}")

    @staticmethod
    def _shares_of(config: Config) -> "FairQueue | None":
        """Return the standing of tenants; the platform has none, and nothing of it is loaded there."""
        if config.operator is None:
            return None
        from reelusher.tenancy.fair_queue import FairQueue

        return FairQueue(config.settings.cores, config.settings.memory_kb)

    def _most_connections(self) -> int:
        """Return how many descriptors the fronts may spend; the rest is counted up for all else."""
        told, own, kept = self.config.platform, self.config.operator, FILES
        if told:
            kept += rpc_frontend.DESCRIPTORS + runtime.DESCRIPTORS + UPGRADE_FILES * bool(told.folder)
            kept += MOST_LINES * bool(told.vault) + service_registry.DESCRIPTORS * bool(told.directory)
            if told.operator:
                from reelusher.frontends import operations

                kept += operations.descriptors(self.config.sockets)
        if own:
            from reelusher.admin import api
            from reelusher.frontends.ajp import frontend as ajp_frontend

            kept += sum(worker.connections for worker in own.workers) + ajp_frontend.DESCRIPTORS * bool(
                own.ajp
            )
            kept += (api.DESCRIPTORS + STATE_FILES) * bool(own.admin)
            if own.fleet:
                from reelusher.fleet.membership import service

                kept += service.DESCRIPTORS
            if own.replication:
                from reelusher.admin import fleet_client

                kept += COPY_FILES + fleet_client.MAX_FORWARDED_CALLS + 1  # and the one that pulls
        return max(self.config.sockets - kept, LEAST_CONNECTIONS)

    def _most_ajp(self) -> int:
        """Return how many of them the AJP front may spend."""
        own, most = self.config.operator, self._most_connections()
        if own is None or own.ajp is None:
            return 0
        return min(own.ajp.max_connections, most // 2 if self.config.platform else most)

    def _post(self, message: Message) -> None:
        self.core.post(message)

    def _connections(self) -> int:
        return sum(front.open_connections() for front in self.fronts.values())

    def start(self) -> None:
        """Start all threads."""
        if self._key_log:
            self._key_log.start()
        if self._key_locks:
            self._key_locks.start()
        self.core.start()
        if self.runtime:
            self.runtime.connect()
        for name, front in self.fronts.items():
            front.start()
            logger.info("{}: the {} front listens on {}:{}", self.config.name, name, *front.address)
        self._started = True
        if self.operator:
            self.operator.start()
            logger.info("{}: operators are answered at {}:{}", self.config.name, *self.operator.address)
        if self.admin:
            self.admin.start()
            logger.info("{}: the administration API listens on {}:{}", self.config.name, *self.admin.address)
        if self.catalog:
            self.catalog.start()
        if self._replication:
            self._replication.start(start_thread)
        if self.fleet:
            self.fleet.start()
            assert self._learner is not None
            self._learner.start()
            logger.info("{}: member of the fleet at {}:{}", self.config.name, *self.fleet.address)

    def _observations(self) -> "ObservationsReply":
        """Return the observations for a node that has just started; none while this one is cold itself."""
        from reelusher.fleet.membership.messages import Observation, ObservationsReply

        warm_s = max(WARM_S, self.config.settings.warm_up_us / 1e6)
        if time.monotonic() - self._began < warm_s or self.asked_to_leave.is_set():
            return ObservationsReply(False, [])
        observed = {**self.core.run_on_loop(self.core.observed_times), **self._pool.seen()}
        return ObservationsReply(
            True, [Observation(subject, value, at_s) for subject, (value, at_s) in observed.items()]
        )

    def _apply_observations(self, known: dict[str, float]) -> None:
        """Start with what warm nodes have observed."""
        pace = {about.removeprefix("run:"): value for about, value in known.items() if about[:4] == "run:"}
        self.core.run_on_loop(lambda: self.core.apply_warm_start(pace, known.get("call:below", 0.0)))
        for about, value in known.items():
            if about[:5] == "away:" and value > 0.5:
                self._pool.doubt(about[5:])

    def _ready(self) -> bool:
        """Tell whether this process is ready to serve; from any thread."""
        good = (
            self._started
            and self.core.notices.reports_healthy
            and not self.asked_to_leave.is_set()
            and (self.runtime is None or self.runtime.up)
        )
        if good and self._process_registry:
            self._process_registry.mark_ready()
        return good

    def _send_away(self, away: bool) -> None:
        """Have health checks answered as bad, or by the node's own health again; from any thread."""
        if self.core.notices.diverting_callers is not away:
            self.core.notices.diverting_callers = away
            logger.info("operator: callers are sent away" if away else "operator: callers are wanted again")
            self.core.on_health_changed()

    def status(self) -> dict[str, Any]:
        """Return how the node stands; called by the owner."""
        return {
            "name": self.config.name,
            "healthy": self.core.notices.healthy,
            "draining": self.core.notices.draining,
            "uptime_s": round(time.monotonic() - self._began, 1),
            "runtime": None if self.runtime is None else "up" if self.runtime.up else "down",
            "requests_in_hand": len(self.core.attempts),
            "unanswered": self.core.attempts.unanswered,
            "keys": len(self.core.keys),
            "fronts": {name: front.open_connections() for name, front in self.fronts.items()},
            "decisions": self.core.controller_state(),
        }

    def ask_to_leave(self, asked_s: float | None = None) -> bool:
        """Ask for a drain, from any thread; False where one was asked for before.

        `asked_s` is when that was at the earliest, by the monotonic clock: its time counts from there.
        """
        if self.asked_to_leave.is_set():
            return False
        self._asked_s = time.monotonic() if asked_s is None else asked_s
        self.asked_to_leave.set()
        return True

    def reload(self, read: Callable[[], Config] = load) -> bool:
        """Take up the addresses of a new configuration; False where it can't be used and the old one stands.

        Requests in hand and runs go on. Whatever else the new one says counts from the next start. Of two
        at once the second waits for the first and then reads what is there by then; a third is left to it.
        """
        if not self._reloads.acquire(blocking=False):
            self.counters.add("reload.left_out")
            return False
        try:
            with self._reload:
                taken_up = self._guarded_take_up(read)
        finally:
            self._reloads.release()
        self.core.stats.reload_finished(taken_up)
        return taken_up

    def _guarded_take_up(self, read: Callable[[], Config]) -> bool:
        """Take a new configuration up; whatever goes wrong, it is turned down aloud."""
        try:
            return self._take_up(read)
        except TimeoutError:
            return self._turned_down("the owner has no time for it")
        except Exception as error:
            logger.exception("reload: it failed")
            return self._turned_down(repr(error))

    def _take_up(self, read: Callable[[], Config]) -> bool:
        try:
            config = read()
        except ConfigError as error:  # half written, or wrong: never a reason to end
            return self._turned_down(str(error))
        told, before = config.platform, self.config.platform
        if (
            told is None
            or before is None
            or (told.vault is None) is not (self.vault is None)
            or (told.directory is None) is not (self.catalog is None)
        ):
            return self._turned_down("only a start adds or removes parts")
        if lacked := told.lacks(before):
            return self._turned_down(f"{lacked}: missing")
        if (told.settings, told.class_names) != (before.settings, before.class_names):
            front = self.fronts["platform"]
            assert isinstance(front, RpcFrontend)
            try:  # in one step of the owner's, or core and front could go by different files
                self.core.run_on_loop(
                    lambda: front.retune(
                        self.core.apply_settings(told.settings, told.gauges, told.class_names)
                    )
                )
            except ValueError as error:
                return self._turned_down(str(error))
            logger.info("reload: new settings, classes: {}", ", ".join(told.class_names))
        if self.runtime:
            self.runtime.move(told.runtime)
        if self.vault and told.vault:
            self.vault.move(told.vault)
        if self.catalog and told.directory:
            self.catalog.move(told.directory)
        moved = {
            name: getattr(told, name)
            for name in ("runtime", "vault", "directory")
            if getattr(told, name) != getattr(before, name)
        }
        taken_up = {
            name: getattr(told, name)
            for name in ("runtime", "vault", "directory", "settings", "gauges", "class_names", "paths")
        }
        if replace(before, **taken_up) != told:
            logger.warning("reload: what is new beside addresses and settings counts from the next start")
        self.config = replace(self.config, platform=replace(before, **taken_up), settings=told.settings)
        self.counters.add("reload.done")
        logger.info(
            "reload: new addresses: {}",
            ", ".join(f"{name} {address[0]}:{address[1]}" for name, address in moved.items() if address)
            or "none",
        )
        return True

    def _turned_down(self, why: str) -> bool:
        self.counters.add("reload.refused")
        logger.error("reload: the configuration in service stands: {}", why)
        return False

    def leave(self) -> bool:
        """Drain: serve on for the grace, answer all that is read, then return; False if time ran out.

        Where another process of this node serves by now, that is no drain: callers are to go there at once.
        """
        self.ask_to_leave()
        span_s, grace_s = self.config.stop_ms / 1000, self.config.settings.drain_grace_us / 1e6
        if self._process_registry and self._process_registry.has_successor():
            self.core.notices.handing_over = True
            longest_us = max(kind.deadline_us for kind in self.config.settings.classes)
            span_s, grace_s = min(longest_us / 1e6, HANDOVER_MOST_S) + HANDOVER_S, 0.0
            logger.info("handing over to a process that was started later")
        logger.info("leaving: to be stopped in {:.0f} ms", span_s * 1000)
        if self.catalog:
            self.catalog.stop()
        if self.fleet:
            self.fleet.leave()
        shutdown = GracefulShutdown(self.fronts.values(), self._order, self._late_s)
        shutdown.run(self._asked_s, span_s, grace_s)
        self._close_copy()
        left = self.core.attempts.unanswered
        logger.info("left after {:.0f} ms, {} unanswered", (time.monotonic() - self._asked_s) * 1000, left)
        logger.info("counters: {}", self.counters.summary())
        return not left

    def _order(self, left_s: float, since_s: float) -> None:
        now_us = self._clock.now()
        self.core.post(DrainRequested(now_us + int(left_s * 1e6), now_us - int(since_s * 1e6)))

    def _late_s(self) -> float:
        """Return by how many seconds this process is late at present: its poller or its owner."""
        return max(self._pace.lag_s(time.monotonic()), self.core.lag_s())

    def close(self) -> None:
        """Take everything down at once; `leave` comes first where answers are owed."""
        for front in self.fronts.values():
            front.close()
        _close(self.operator, self.admin)
        if self.catalog:
            self.catalog.stop()
        _close(self._learner, self.fleet)
        self._close_copy()
        _close(self._tenants, self.vault, self.runtime)
        self._pool.executor.shutdown(wait=False, cancel_futures=True)
        self.core.stop()
        _close(self._key_log, self._key_locks, self._process_registry)

    def _close_copy(self) -> None:
        """Let go of the copy of the replicated table, once: with nothing half written."""
        replication, self._replication = self._replication, None
        if replication:
            replication.close()


def _close(*parts: Closable | None) -> None:
    """Close the parts that this node has, in order."""
    for part in parts:
        if part is not None:
            part.close()


def set_up_log() -> None:
    """Write log lines to standard error, faults in threads among them."""
    logger.remove()
    logger.add(
        sys.stderr,
        format="{time:HH:mm:ss.SSS} {level} {message}",
        level="INFO",
        backtrace=False,
        diagnose=False,
    )
    threading.excepthook = lambda fault: logger.opt(
        exception=(fault.exc_type, fault.exc_value or fault.exc_type(), fault.exc_traceback)
    ).error("a thread failed: {}", fault.thread.name if fault.thread else "")


def heed_signals(node: Node, watch: SignalWatch) -> None:
    """Look for signals while the node serves and while it drains; return once it has drained.

    A reload and the drain have threads of their own: a file that can't be read at once must not hold up a
    SIGTERM behind it, and a SIGHUP counts during the drain too.
    """
    leaving: threading.Thread | None = None
    while leaving is None or leaving.is_alive():
        received = watch.poll()
        if received is not None and received.signal is signal.SIGHUP:
            start_thread("reload", node.reload)
        elif received is not None:
            node.ask_to_leave(received.earliest_s)
        elif leaving is not None:
            leaving.join(POLL_INTERVAL_S)
        elif node.asked_to_leave.wait(POLL_INTERVAL_S):
            leaving = start_thread("leave", node.leave)


def main(watch: SignalWatch) -> int:
    """Run a node until a signal, or until the administration API drains it."""
    set_up_log()
    try:
        node = Node(load())
    except ConfigError as error:
        logger.error("configuration: {}", error)
        return 2
    except OSError as error:
        logger.error("can't listen: {}", error)
        return 2
    sys.setswitchinterval(SWITCH_S)
    gc.collect()
    gc.freeze()  # what is there now stays; collections need not look at it
    node.start()
    heed_signals(node, watch)
    return 0
