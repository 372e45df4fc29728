"""When a leader may write, free of I/O.

A change is checked, gets an index, is durable here, and only then announced and answered (`Replica.accept`).
No index is given twice, as long as the file is the one that gave the last:

- After a start, nothing is accepted until some other members were observed (`REQUIRED_OBSERVED`, or all there
  are), so that those that know of more can say so. With no other member that takes `ALONE_SETTLE_S`; with
  members that announce nothing, `SETTLE_S`.
- Others have more of the partition, in a term that this member leads: its file is older, restored from a
  backup or created on another machine. Nothing is accepted; it pulls its own changes back. Once it has all
  that any member announced, and `RESTORE_QUIET_S` have passed, it begins a new term by itself: which further
  indexes were given is not known, so none of this term is given again.
- The file was damaged and replaced (`PartitionState.lost`): the same, but the new term has to be ordered by
  an operator, `POST /v1/fleet/take-over/STREAM` at this member.
- A live member has the same name: neither of the two writes.

What remains. Acknowledged changes that no live member has are lost where the file is; those that an absent
member has are set aside there as divergent rows once it is back. `?copies=N` is for callers that can't accept
that. A member that is cut off from all others at its start takes itself for alone: if its file is older, too,
what it accepts ends among the divergent rows. So does what is accepted before any of the members that know of
more is observed, when all of the first `REQUIRED_OBSERVED` lag behind those.
"""

import threading
from collections.abc import Callable

from loguru import logger

from reelusher.core.counters import Counters
from reelusher.fleet.replication.messages import LogEntry
from reelusher.fleet.replication.positions import Position
from reelusher.fleet.replication.replica import NotLeaderError, Replica
from reelusher.fleet.replication.replica_store import ReplicaError

REQUIRED_OBSERVED = 3  # other members, before anything is accepted
ALONE_SETTLE_S = 5.0  # after a start without other members
SETTLE_S = 15.0  # after a start with members that announce nothing
RESTORE_QUIET_S = 5.0  # without news of more, until a new term begins


class Leadership:
    """The writes of a member to the partitions that it leads."""

    def __init__(
        self,
        replica: Replica,
        counters: Counters,
        clock: Callable[[], float],
        on_accepted: Callable[[str, Position, float], None] = lambda partition, position, now: None,
        alone: bool = False,
    ) -> None:
        """`on_accepted` is called with each change. `alone`: there is no fleet to observe."""
        self.replica, self._counters, self._clock, self._on_accepted = replica, counters, clock, on_accepted
        self._settled = alone
        self._started_s = clock()
        self._lock = threading.Lock()
        self._observed: set[str] = set()  # addresses
        self._name_is_shared = False
        self._others_ahead_s: dict[str, float] = {}  # when others last had more of a restored partition
        replica.write_guard = self.write_refusal

    def leads(self, partition: str) -> bool:
        """Return whether this member leads a partition, as far as is known here."""
        return self.replica.leads(partition, self.replica.own_name)

    def write_refusal(self, partition: str) -> str:
        """Return "", or why a partition may not be written now."""
        if self._name_is_shared:
            return f"another live member is called {self.replica.own_name}"
        if not self._settled:
            return "other members were not heard yet since the start"
        claimed = self.replica.pulls.claimed(partition, self._clock())
        if claimed is not None:
            position = f"{claimed.term}.{claimed.log_index}"
            return f"others have stream {partition} up to {position}, this member does not"
        return ""

    def accept(self, partition: str, change: LogEntry) -> LogEntry:
        """Give a change its index and make it durable. Raises `NotLeaderError` and `ReplicaError`."""
        entry = self.replica.accept(partition, self.replica.own_name, change)
        self._counters.add("replication.accepted")
        self._on_accepted(partition, Position(entry.term, entry.index), self._clock())
        return entry

    def take_over(self, partition: str, force: bool = False) -> Position:
        """Lead a partition from now on, by an operator's order.

        Raises `NotLeaderError` and `ReplicaError`.
        """
        position = self.replica.begin_term(partition, self.replica.own_name, force)
        self._counters.add("replication.terms")
        logger.warning("replication: leading partition {} from position {}.{}", partition, *position)
        return position

    def observe(self, address: str) -> None:
        """Record that a member announced its positions; called for each datagram."""
        if self._settled or address in self._observed:
            return
        with self._lock:
            if len(self._observed) < REQUIRED_OBSERVED:
                self._observed.add(address)

    def tick(self, others: int, name_is_shared: bool) -> None:
        """Decide whether writing may begin; called about once a second.

        `others`: the number of other live members. `name_is_shared`: one has this member's name.
        """
        now = self._clock()
        self._name_is_shared = name_is_shared
        if not self._settled:
            self._settled = self._is_settled(others, now - self._started_s)
        for partition in self.replica.control:
            if self._awaits_new_term(partition):
                self._begin_term_when_quiet(partition, now)
            else:
                self._others_ahead_s.pop(partition, None)

    def _is_settled(self, others: int, uptime_s: float) -> bool:
        if uptime_s >= SETTLE_S:
            return True
        if not others:
            return uptime_s >= ALONE_SETTLE_S
        return len(self._observed) >= min(REQUIRED_OBSERVED, others)

    def _awaits_new_term(self, partition: str) -> bool:
        state = self.replica.states[partition]
        return self.leads(partition) and state.restored and not state.lost

    def _begin_term_when_quiet(self, partition: str, now: float) -> None:
        state = self.replica.states[partition]
        if self.write_refusal(partition) or state.cursor >= 0 or state.goal > state.index:
            self._others_ahead_s[partition] = now
        elif now - self._others_ahead_s.setdefault(partition, now) >= RESTORE_QUIET_S:
            self._begin_term(partition)

    def _begin_term(self, partition: str) -> None:
        restored = self.replica.states[partition].index
        try:
            position = self.replica.begin_term(partition, self.replica.own_name)
        except (NotLeaderError, ReplicaError) as error:
            logger.warning("replication: new term of partition {} not begun: {}", partition, error)
            return
        self._counters.add("replication.terms")
        logger.warning(
            "replication: file of partition {} was older; {} changes restored from others, new term {}",
            partition,
            restored,
            position.term,
        )
