"""The threads of replication: one pulls, one does periodic work. Members ask by the exchange of membership.

`Replica`, `Leadership` and `ReplicationProgress` decide. A damaged or full replica harms nothing else: pulls
fail and are retried, and the node serves what it has in memory.
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
from reelusher.fleet.replication.replica import TOMBSTONE_TTL_S, PullResult, Replica
from reelusher.fleet.replication.replica_store import ReplicaError
from reelusher.fleet.replication.replication_progress import ReplicationProgress
from reelusher.fleet.replication.sqlite_replica import SqliteReplica

T = TypeVar("T")
LOOK_S = 1.0  # between rounds of upkeep
CALL_S = 0.2  # between calls while a caller waits for copies
ZONES_S = 30.0  # for which it is remembered in which zone members are
COLLECT_S = 1800.0, 5400.0  # between collections of tombstones
CHECK_S = 6 * 3600.0, 18 * 3600.0  # between looks through all pages of the copy
RECHECKED = 50  # rows that are checked again in a round of upkeep: 1 % of a core at the most
RECHECK_S = 60.0  # between looks whether any are to be checked
RENEW_S = 2.0, 10.0  # between tries to begin another copy


class Fleet(Protocol):
    """What is needed of membership."""

    serve: dict[type, Callable[[Any], Any]]

    def live(self) -> list[Update]:
        """Return the live members, this one first."""

    def ride(self, vector: Callable[[], list[int]], heard: Callable[[str, list[int], float], None]) -> None:
        """Have each datagram carry a vector, and tell of those that come."""

    def call(self, places: Sequence[str]) -> None:
        """Ping members, which are heard by their answers."""

    def ask(self, place: str, request: Any, kind: type[T]) -> T | None:
        """Ask a member; None where it does not answer."""


class Replication:
    """A node's part in the replicated table."""

    def __init__(
        self,
        copy: SqliteReplica,
        replica: Replica,
        fleet: Fleet | None,
        random: Random,
        counters: Counters,
        checked_by: str = "",
    ) -> None:
        """`checked_by` tells the settings that the copy checks rows by from others. No fleet: it is alone."""
        self.copy, self.replica = copy, replica
        self._fleet, self._random, self._counters, self._checked_by = fleet, random, counters, checked_by
        self.census = (
            ReplicationProgress(replica, replica.own_name) if replica.own_name in replica.control else None
        )
        self.writer = Leadership(replica, counters, time.monotonic, self._made, alone=fleet is None)
        self._zones: dict[str, str] = {}
        self._stop = threading.Event()
        self._pull = threading.Event()  # somebody is ahead
        self._upkeep = threading.Event()  # somebody waits for copies
        now = self._began_s = time.monotonic()
        self._fresh = fleet is not None  # as far as is known
        self._zones_s = now - ZONES_S
        self._collect_s = now + random.uniform(*COLLECT_S)
        self._check_s = now + random.uniform(0.01, 1.0) * CHECK_S[0]
        self._renew_s = self._recheck_s = 0.0
        if fleet is not None:
            fleet.serve[EntriesRequest] = self._asked

    # From any thread

    def start(self, spawn: Callable[[str, Callable[[], object]], object]) -> None:
        """Start to take part; `spawn` starts a thread."""
        if self.copy.damage_at_open:
            self._tell_damaged(self.copy.damage_at_open)
        if self._fleet is not None:
            self._fleet.ride(self.replica.announce, self._heard)
            spawn("replication", self._pulls)
        spawn("replication-upkeep", self._keep_up)

    def close(self) -> None:
        """Take part no longer."""
        self._stop.set()
        self._pull.set()
        self._upkeep.set()
        self.copy.close()

    def wait(self, stream: str, position: Any, wanted: int, within_s: float) -> int:
        """Wait until so many other members have a change; return how many have it then."""
        if self.census is None or self._fleet is None:
            return 0
        self._upkeep.set()
        return self.census.wait(stream, position, wanted, within_s)

    def changes(self) -> list[dict[str, object]]:
        """Return, for each stream that this member holds, who has its newest change."""
        if self.census is None:
            return []
        return self.census.told(self._live(), time.monotonic())

    def filling(self) -> bool:
        """Tell whether rows are missing that others were seen to have: a name not found may yet come."""
        now = time.monotonic()
        self._fresh = self._fresh and now - self._began_s < SETTLE_S and self.replica.is_uninitialized()
        return self._fresh or self.replica.is_bootstrapping(now)

    def _live(self) -> list[Update]:
        return self._fleet.live() if self._fleet is not None else []

    def _made(self, stream: str, position: Any, now: float) -> None:
        if self.census is not None:
            self.census.made(stream, position, now)

    # Membership's threads

    def _heard(self, place: str, vector: list[int], now: float) -> None:
        """Take what rode on a datagram; called with the lock of membership held."""
        fault = self.replica.pulls.observe(place, self._zones.get(place, ""), vector, now)
        if fault:
            self._counters.warn(
                f"replication.refused_{fault}", "replication: what {} announces is refused: {}", place, fault
            )
            return
        self.writer.heard(place)
        if self.census is not None:
            self.census.heard(place, vector, now)
        if self.replica.positions.is_ahead(vector):
            self._pull.set()

    def _asked(self, request: EntriesRequest) -> EntriesReply:
        try:
            reply = self.replica.answer(request, time.monotonic())
        except ReplicaError as error:
            self._tell(error)
            return EntriesReply([])
        self._counters.add("replication.pieces_given", len(reply.segments))
        if not reply.segments:
            self._counters.add("replication.sent_on" if reply.alternatives else "replication.nothing_given")
        return reply

    # The thread of pulls

    def _pulls(self) -> None:
        while not self._stop.is_set():
            now = time.monotonic()
            self._pull.clear()
            pull = None if self.copy.damage else self.replica.pulls.next_pull(now)
            if pull is None:
                left_s = LOOK_S if self.copy.damage else self.replica.pulls.next_due_s() - now
                self._pull.wait(min(max(left_s, 0.005), LOOK_S))
                continue
            assert self._fleet is not None
            reply = self._fleet.ask(pull.address, pull.request, EntriesReply)
            now = time.monotonic()
            if reply is None:
                self._counters.add("replication.pulls_failed")
                self.replica.pulls.failed(pull, now)
                continue
            try:
                self._count(pull.address, self.replica.apply_reply(pull, reply, now))
            except Exception:
                logger.exception("replication: what {} gave could not be taken", pull.address)
                self.replica.pulls.failed(pull, now)

    def _count(self, place: str, taken: PullResult) -> None:
        add = self._counters.add
        add("replication.pulls")
        add("replication.pieces_taken", taken.segments)
        add("replication.entries_taken", taken.entries)
        for fault in taken.faults:
            if fault == "stale":
                add("replication.pieces_stale")
            else:
                self._counters.warn(
                    f"replication.refused_{fault}", "replication: a piece of {} is refused: {}", place, fault
                )
        for stream in taken.refills:
            add("replication.refills")
            logger.info("replication: stream {} is refilled from 0", stream)
        for stream, count in taken.divergent.items():
            add("replication.orphans", count)
            logger.warning(
                "replication: {} changes of stream {} are of no history since it was taken over,"
                " they are kept aside",
                count,
                stream,
            )
        if taken.store_error:
            self._tell(ReplicaError(taken.store_error))

    def _tell(self, error: ReplicaError) -> None:
        if self._stop.is_set():  # the copy is closed: whoever is late finds it so
            return
        self._counters.warn("replication.copy_failed", "replication: the copy failed: {}", error)

    # The thread of upkeep

    def _keep_up(self) -> None:
        while not self._stop.is_set():
            waits = self.census is not None and self.census.wants(time.monotonic())
            self._upkeep.wait(CALL_S if waits else LOOK_S)
            self._upkeep.clear()
            if self._stop.is_set():
                return
            try:
                self._look(time.monotonic())
            except ReplicaError as error:
                self._tell(error)
            except Exception:
                logger.exception("replication: a round of upkeep failed")

    def _look(self, now: float) -> None:
        if self.copy.damage:
            self._renew(now)
            return
        if now - self._zones_s >= ZONES_S:
            self._zones_s = now
            self._zones = {said.place: said.zone for said in self._live()}
        if self.census is not None:
            live = self._live()
            own = self.replica.own_name
            self.writer.tick(max(0, len(live) - 1), sum(said.name == own for said in live) > 1)
            if self._fleet is not None and self.census.wants(now):
                self._fleet.call(self.census.tick(live, now))
        if now >= self._recheck_s and not self.filling():
            more = self.copy.recheck(self._checked_by, RECHECKED)
            self._recheck_s = now if more else now + RECHECK_S
        if now >= self._collect_s:
            self._collect_s = now + self._random.uniform(*COLLECT_S)
            gone = self.replica.collect_tombstones(time.time_ns() // 1_000_000 - int(TOMBSTONE_TTL_S * 1000))
            self._counters.add("replication.tombstones_collected", gone)
        if now >= self._check_s:
            self._check_s = now + self._random.uniform(*CHECK_S)
            self.copy.check()

    def _renew(self, now: float) -> None:
        """Begin another copy in the place of one that is damaged."""
        if now < self._renew_s:
            return
        self._renew_s = now + self._random.uniform(*RENEW_S)
        why = self.copy.damage
        self.replica.reload(self.copy.recreate)
        self._tell_damaged(why)

    def _tell_damaged(self, why: str) -> None:
        self._counters.add("replication.copies_damaged")
        logger.error(
            "replication: the copy is damaged ({}), it is kept as {} and all rows are pulled again",
            why,
            self.copy.quarantined_files[-1],
        )
        held = [stream for stream in self.replica.control if self.writer.holds(stream)]
        if held:
            logger.error(
                "replication: this member changes nothing of {} until a take-over is ordered", ", ".join(held)
            )
