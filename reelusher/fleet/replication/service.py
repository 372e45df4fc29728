"""The threads of replication: one pulls, one does periodic maintenance. Pulls are membership requests.

`Replica`, `Leadership` and `ReplicationProgress` make the decisions. A damaged or full store affects nothing
else: pulls fail and are retried, and the node serves what it has in memory.
"""

import threading
import time
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, Protocol, TypeVar

from loguru import logger

from reelusher.core.counters import Counters
from reelusher.fleet.membership.messages import Update
from reelusher.fleet.replication.leadership import SETTLE_S, Leadership
from reelusher.fleet.replication.messages import EntriesReply, EntriesRequest
from reelusher.fleet.replication.positions import Position
from reelusher.fleet.replication.pull_scheduler import Pull
from reelusher.fleet.replication.replica import TOMBSTONE_TTL_S, PullResult, Replica
from reelusher.fleet.replication.replica_store import ReplicaError
from reelusher.fleet.replication.replication_progress import ReplicationProgress
from reelusher.fleet.replication.sqlite_replica import SqliteReplica

T = TypeVar("T")
MAINTENANCE_INTERVAL_S = 1.0
MIN_PULL_WAIT_S = 0.005  # shortest wait until the next pull
PING_INTERVAL_S = 0.2  # between rounds of pings while a caller waits for copies
ZONES_TTL_S = 30.0  # time after which the members' zones are read again
COLLECT_INTERVAL_S = 1800.0, 5400.0  # between collections of tombstones
CHECK_INTERVAL_S = 6 * 3600.0, 18 * 3600.0  # between checks of all pages of the file
ROWS_PER_RECHECK = 50  # per round of maintenance: at most 1 % of a core
RECHECK_INTERVAL_S = 60.0  # pause once no rows are left to recheck; until then, each round rechecks some
RECREATE_INTERVAL_S = 2.0, 10.0  # between attempts to replace a damaged file


class Fleet(Protocol):
    """The part of `Membership` that replication uses."""

    handlers: dict[type, Callable[[Any], Any]]

    def live(self) -> list[Update]:
        """Return the live members, this one first."""

    def piggyback(
        self, vector: Callable[[], list[int]], on_vector: Callable[[str, list[int], float], None]
    ) -> None:
        """Send the numbers that `vector` returns with each datagram; pass those received to `on_vector`."""

    def ping(self, addresses: Sequence[str]) -> None:
        """Ping members, so that they reply with their vectors."""

    def request(self, address: str, request: Any, reply_type: type[T]) -> T | None:
        """Send a request to a member; return its reply, or None if there is none."""


class Replication:
    """Runs the replication of one node."""

    def __init__(
        self,
        store: SqliteReplica,
        replica: Replica,
        fleet: Fleet | None,
        random: Random,
        counters: Counters,
        checked_by: str = "",
    ) -> None:
        """`checked_by` identifies the settings by which rows are checked. `fleet`: None for a lone node."""
        self.store, self.replica = store, replica
        self._fleet, self._random, self._counters, self._checked_by = fleet, random, counters, checked_by
        self.progress = (
            ReplicationProgress(replica, replica.own_name) if replica.own_name in replica.control else None
        )
        self.leadership = Leadership(
            replica, counters, time.monotonic, self._record_change, alone=fleet is None
        )
        self._zones: dict[str, str] = {}  # of members, by address
        self._stop = threading.Event()
        self._pull_wanted = threading.Event()
        self._maintenance_wanted = threading.Event()
        now = self._started_s = time.monotonic()
        self._maybe_uninitialized = fleet is not None
        self._zones_read_s = now - ZONES_TTL_S
        self._collect_due_s = now + random.uniform(*COLLECT_INTERVAL_S)
        self._check_due_s = now + random.uniform(0.01, 1.0) * CHECK_INTERVAL_S[0]
        self._recreate_due_s = self._recheck_due_s = 0.0
        if fleet is not None:
            fleet.handlers[EntriesRequest] = self._answer

    # Called from any thread

    def start(self, spawn: Callable[[str, Callable[[], object]], object]) -> None:
        """Start the threads and the exchange of vectors; `spawn` starts a thread by name and function."""
        if self.store.damage_at_open:
            self._log_damage(self.store.damage_at_open)
        if self._fleet is not None:
            self._fleet.piggyback(self.replica.announce, self._observe)
            spawn("replication", self._run_pulls)
        spawn("replication-upkeep", self._run_maintenance)

    def close(self) -> None:
        """Stop the threads and close the store."""
        self._stop.set()
        self._pull_wanted.set()
        self._maintenance_wanted.set()
        self.store.close()

    def wait_for_copies(self, partition: str, position: Position, copies: int, timeout_s: float) -> int:
        """Wait until `copies` other members have a change, or for `timeout_s`; return how many have it."""
        if self.progress is None or self._fleet is None:
            return 0
        self._maintenance_wanted.set()
        return self.progress.wait(partition, position, copies, timeout_s)

    def progress_report(self) -> list[dict[str, object]]:
        """Return, for each partition that this member leads, how many members have its newest change."""
        if self.progress is None:
            return []
        return self.progress.report(self._live_members(), time.monotonic())

    def is_bootstrapping(self) -> bool:
        """Return whether many rows may not have arrived yet: a name not found here may still exist."""
        now = time.monotonic()
        settling = now - self._started_s < SETTLE_S
        self._maybe_uninitialized = self._maybe_uninitialized and settling and self.replica.is_uninitialized()
        return self._maybe_uninitialized or self.replica.is_bootstrapping(now)

    def _live_members(self) -> list[Update]:
        return self._fleet.live() if self._fleet is not None else []

    def _record_change(self, partition: str, position: Position, now: float) -> None:
        if self.progress is not None:
            self.progress.record_change(partition, position, now)

    # Called by membership's threads

    def _observe(self, address: str, vector: list[int], now: float) -> None:
        """Record the vector that a datagram carried; called with the lock of membership held."""
        fault = self.replica.pulls.observe(address, self._zones.get(address, ""), vector, now)
        if fault:
            self._counters.warn(
                f"replication.refused_{fault}", "replication: vector of {} rejected: {}", address, fault
            )
            return
        self.leadership.observe(address)
        if self.progress is not None:
            self.progress.observe(address, vector, now)
        if self.replica.positions.is_ahead(vector):
            self._pull_wanted.set()

    def _answer(self, request: EntriesRequest) -> EntriesReply:
        try:
            reply = self.replica.answer(request, time.monotonic())
        except ReplicaError as error:
            self._log_store_error(error)
            return EntriesReply([])
        self._counters.add("replication.pieces_given", len(reply.segments))
        if not reply.segments:
            self._counters.add("replication.sent_on" if reply.alternatives else "replication.nothing_given")
        return reply

    # The thread `replication`, which pulls

    def _run_pulls(self) -> None:
        while not self._stop.is_set():
            self._pull_wanted.clear()
            now = time.monotonic()
            pull = None if self.store.damage else self.replica.pulls.next_pull(now)
            if pull is None:
                due_s = self._seconds_to_next_pull(now)
                self._pull_wanted.wait(min(max(due_s, MIN_PULL_WAIT_S), MAINTENANCE_INTERVAL_S))
            else:
                self._pull(pull)

    def _seconds_to_next_pull(self, now: float) -> float:
        return MAINTENANCE_INTERVAL_S if self.store.damage else self.replica.pulls.next_due_s() - now

    def _pull(self, pull: Pull) -> None:
        assert self._fleet is not None
        reply = self._fleet.request(pull.address, pull.request, EntriesReply)
        now = time.monotonic()
        if reply is None:
            self._counters.add("replication.pulls_failed")
            self.replica.pulls.failed(pull, now)
            return
        try:
            self._count(pull.address, self.replica.apply_reply(pull, reply, now))
        except Exception:
            logger.exception("replication: reply of {} could not be applied", pull.address)
            self.replica.pulls.failed(pull, now)

    def _count(self, address: str, result: PullResult) -> None:
        add = self._counters.add
        add("replication.pulls")
        add("replication.pieces_taken", result.segments)
        add("replication.entries_taken", result.entries)
        for fault in result.faults:
            if fault == "stale":
                add("replication.pieces_stale")
            else:
                self._warn_of_fault(address, fault)
        for partition in result.refills:
            add("replication.refills")
            logger.info("replication: refill of partition {} started", partition)
        for partition, count in result.divergent.items():
            add("replication.orphans", count)
            logger.warning(
                "replication: {} divergent rows of partition {} set aside after a take-over", count, partition
            )
        if result.store_error:
            self._log_store_error(ReplicaError(result.store_error))

    def _warn_of_fault(self, address: str, fault: str) -> None:
        self._counters.warn(
            f"replication.refused_{fault}", "replication: segment of {} rejected: {}", address, fault
        )

    def _log_store_error(self, error: ReplicaError) -> None:
        if not self._stop.is_set():  # calls that arrive after the store is closed fail
            self._counters.warn("replication.copy_failed", "replication: store failed: {}", error)

    # The thread `replication-upkeep`, which does maintenance

    def _run_maintenance(self) -> None:
        while not self._stop.is_set():
            pings_due = self.progress is not None and self.progress.is_due(time.monotonic())
            self._maintenance_wanted.wait(PING_INTERVAL_S if pings_due else MAINTENANCE_INTERVAL_S)
            self._maintenance_wanted.clear()
            if self._stop.is_set():
                return
            try:
                self._maintain(time.monotonic())
            except ReplicaError as error:
                self._log_store_error(error)
            except Exception:
                logger.exception("replication: maintenance failed")

    def _maintain(self, now: float) -> None:
        if self.store.damage:
            self._recreate_store(now)
            return
        if now - self._zones_read_s >= ZONES_TTL_S:
            self._zones_read_s = now
            self._zones = {member.address: member.zone for member in self._live_members()}
        if self.progress is not None:
            self._maintain_leadership(self.progress, now)
        if now >= self._recheck_due_s and not self.is_bootstrapping():
            more = self.store.recheck(self._checked_by, ROWS_PER_RECHECK)
            self._recheck_due_s = now if more else now + RECHECK_INTERVAL_S
        if now >= self._collect_due_s:
            self._collect_due_s = now + self._random.uniform(*COLLECT_INTERVAL_S)
            self._collect_tombstones()
        if now >= self._check_due_s:
            self._check_due_s = now + self._random.uniform(*CHECK_INTERVAL_S)
            self.store.check()

    def _maintain_leadership(self, progress: ReplicationProgress, now: float) -> None:
        live, own_name = self._live_members(), self.replica.own_name
        same_name = sum(member.name == own_name for member in live)
        self.leadership.tick(max(0, len(live) - 1), same_name > 1)
        if self._fleet is not None and progress.is_due(now):
            self._fleet.ping(progress.tick(live, now))

    def _collect_tombstones(self) -> None:
        before_ms = time.time_ns() // 1_000_000 - int(TOMBSTONE_TTL_S * 1000)
        self._counters.add("replication.tombstones_collected", self.replica.collect_tombstones(before_ms))

    def _recreate_store(self, now: float) -> None:
        """Replace the file of a damaged store, unless an attempt was made recently."""
        if now < self._recreate_due_s:
            return
        self._recreate_due_s = now + self._random.uniform(*RECREATE_INTERVAL_S)
        damage = self.store.damage
        self.replica.reload(self.store.recreate)
        self._log_damage(damage)

    def _log_damage(self, damage: str) -> None:
        self._counters.add("replication.copies_damaged")
        logger.error(
            "replication: store damaged ({}), file kept as {}, all rows are pulled again",
            damage,
            self.store.quarantined_files[-1],
        )
        led = [partition for partition in self.replica.control if self.leadership.leads(partition)]
        if led:
            logger.error(
                "replication: no writes to partitions {} until a take-over is ordered", ", ".join(led)
            )
