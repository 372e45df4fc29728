"""Decides when a leader may write. All I/O is that of the replica's store.

A change is validated, gets an index and is made durable on the leader; only then is it announced and answered
(`Replica.accept`). No index is assigned twice as long as the file is the one in which the last index was
assigned. These rules cover the other cases:

- After a start, no change is accepted until some other members were observed (`REQUIRED_OBSERVED`, or all if
  there are fewer), so that members with later changes can announce them. Without any other member the wait is
  `ALONE_SETTLE_S`; with members that announce nothing it is `SETTLE_S`.
- Changes that are accepted before enough members were observed are withheld: neither announced nor sent. If a
  member then announces entries past the last one announced here, they are of this leader's earlier life, and
  the withheld changes are set aside as divergent rows. Otherwise a new term begins with them, once enough
  members were observed and nothing later was announced for `QUIET_S`.
- Other members are ahead in a term that this member leads: its file is older than its own changes, because it
  was restored from a backup or created on another machine. The member accepts no change and pulls its own
  changes back. Once it has everything that any member announced, and nothing new was announced for
  `QUIET_S`, it begins a new term by itself. It can't know which further indexes it assigned in the
  old term, so it assigns none of that term again.
- The file was damaged and replaced (`PartitionState.lost`): the same holds, but an operator has to order the
  new term by `POST /v1/fleet/take-over/STREAM` at this member.
- Another live member has the same name: neither of the two writes.

Limits: acknowledged changes that no live member has are lost if the leader's file is lost. If an absent
member has them, it sets them aside as divergent rows when it returns. Callers that can't accept this use
`?copies=N`. A member that is cut off from all others at its start behaves as if it were alone: if its file is
also older, the changes that it accepts end as divergent rows. Changes that are accepted when the first
`REQUIRED_OBSERVED` members all lag, and no member with later changes was observed yet, can get indexes that
absent members have already.
"""

import threading
from collections.abc import Callable

from loguru import logger

from reelusher.core.counters import Counters
from reelusher.fleet.replication.messages import LogEntry
from reelusher.fleet.replication.positions import Position
from reelusher.fleet.replication.replica import NotLeaderError, Replica
from reelusher.fleet.replication.replica_store import ReplicaError

REQUIRED_OBSERVED = 3  # number of other members that must be observed before a change is accepted
ALONE_SETTLE_S = 5.0  # wait after a start without other members
SETTLE_S = 15.0  # wait after a start with members that announce nothing
QUIET_S = 5.0  # time without news of later changes before a new term begins


class Leadership:
    """Accepts changes to the partitions that this member leads, once it may write."""

    def __init__(
        self,
        replica: Replica,
        counters: Counters,
        clock: Callable[[], float],
        on_accepted: Callable[[str, Position, float], None] = lambda partition, position, now: None,
        alone: bool = False,
    ) -> None:
        """`on_accepted` gets the partition, position and time of each change.

        `alone`: there is no fleet, so that changes are accepted without a wait after the start.
        """
        self.replica, self._counters, self._clock, self._on_accepted = replica, counters, clock, on_accepted
        self._settled = alone
        # enough other members were observed since the start to know whether they have later changes
        self._confirmed = alone
        self._started_s = clock()
        self._lock = threading.Lock()
        self._observed: set[str] = set()  # addresses of members
        self._name_is_shared = False
        # by partition that waits for a quiet time: when it last lacked changes or could not be written
        self._quiet_since_s: dict[str, float] = {}
        replica.write_guard = self.write_refusal

    def leads(self, partition: str) -> bool:
        """Return whether this member leads a partition in the latest term that it knows."""
        return self.replica.leads(partition, self.replica.own_name)

    def write_refusal(self, partition: str) -> str:
        """Return why a partition may not be written at present; "" if it may."""
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
        """Assign an index to a change and make it durable. Raises `NotLeaderError` and `ReplicaError`."""
        withhold = not self._confirmed
        if withhold and self.replica.states[partition].withheld_from < 0:
            logger.warning(
                "replication: changes of partition {} are withheld until other members were heard", partition
            )
        entry = self.replica.accept(partition, self.replica.own_name, change, withhold)
        self._counters.add("replication.accepted")
        self._on_accepted(partition, Position(entry.term, entry.index), self._clock())
        return entry

    def take_over(self, partition: str, force: bool = False) -> Position:
        """Take over a partition by an operator's order; return the position at which the new term begins.

        `force`: even if other members have changes that this one lacks.
        Raises `NotLeaderError` and `ReplicaError`.
        """
        position = self.replica.begin_term(partition, self.replica.own_name, force)
        self._counters.add("replication.terms")
        logger.warning("replication: leading partition {} from position {}.{}", partition, *position)
        return position

    def observe(self, address: str) -> None:
        """Record that a member announced its version vector; called for each vector that is accepted."""
        if self._confirmed or address in self._observed:
            return
        with self._lock:
            if len(self._observed) < REQUIRED_OBSERVED:
                self._observed.add(address)

    def tick(self, other_count: int, name_is_shared: bool) -> None:
        """Update whether this member may write, and begin terms that are due; called about once a second.

        `other_count`: the number of other live members. `name_is_shared`: one has this member's name.
        """
        now = self._clock()
        self._name_is_shared = name_is_shared
        uptime_s = now - self._started_s
        if not self._confirmed:
            self._confirmed = self._is_confirmed(other_count, uptime_s)
        if not self._settled:
            self._settled = self._is_settled(other_count, uptime_s)
        for partition in self.replica.control:
            if self._awaits_new_term(partition):
                self._when_quiet(partition, now, self._begin_term)
            elif self._awaits_publication(partition):
                self._when_quiet(partition, now, self._publish)
            else:
                self._quiet_since_s.pop(partition, None)

    def _is_confirmed(self, other_count: int, uptime_s: float) -> bool:
        if not other_count or not self._observed:
            return False
        return uptime_s >= SETTLE_S or len(self._observed) >= min(REQUIRED_OBSERVED, other_count)

    def _is_settled(self, other_count: int, uptime_s: float) -> bool:
        if uptime_s >= SETTLE_S:
            return True
        if not other_count:
            return uptime_s >= ALONE_SETTLE_S
        return self._confirmed

    def _awaits_new_term(self, partition: str) -> bool:
        state = self.replica.states[partition]
        return self.leads(partition) and state.restored and not state.lost

    def _awaits_publication(self, partition: str) -> bool:
        return self._confirmed and self.replica.states[partition].withheld_from >= 0

    def _when_quiet(self, partition: str, now: float, act: Callable[[str], None]) -> None:
        """Act once a partition was complete and could be written for `QUIET_S`."""
        state = self.replica.states[partition]
        if self.write_refusal(partition) or state.cursor >= 0 or state.goal > state.index:
            self._quiet_since_s[partition] = now
        elif now - self._quiet_since_s.setdefault(partition, now) >= QUIET_S:
            act(partition)

    def _publish(self, partition: str) -> None:
        try:
            self.replica.publish(partition)
        except (NotLeaderError, ReplicaError) as error:
            logger.warning(
                "replication: withheld changes of partition {} not announced: {}", partition, error
            )
            return
        logger.info("replication: withheld changes of partition {} are announced now", partition)

    def _begin_term(self, partition: str) -> None:
        try:
            position = self.replica.begin_term(partition, self.replica.own_name)
        except (NotLeaderError, ReplicaError) as error:
            logger.warning("replication: new term of partition {} not begun: {}", partition, error)
            return
        self._counters.add("replication.terms")
        logger.warning(
            "replication: file of partition {} was older; it is complete up to change {} now, new term {}",
            partition,
            position.log_index,
            position.term,
        )
