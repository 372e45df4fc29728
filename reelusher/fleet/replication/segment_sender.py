"""Answers the pulls of other members: reads the segments that they lack, within rate limits."""

import threading
from collections.abc import Iterator
from math import inf
from random import Random

from reelusher.fleet.replication.messages import (
    MAX_CONTROL_MEMBERS,
    MAX_REPLY_BYTES,
    MAX_SEGMENT_BYTES,
    EntriesReply,
    EntriesRequest,
    LogSegment,
)
from reelusher.fleet.replication.positions import Position, ReplicaPositions, position_at
from reelusher.fleet.replication.pull_scheduler import PullScheduler
from reelusher.fleet.replication.replica_store import PartitionState, ReplicaStore, SegmentBatch
from reelusher.pacing.token_bucket import TokenBucket

SENT_BYTES_LIMIT = 20 * MAX_SEGMENT_BYTES, 40 * MAX_SEGMENT_BYTES  # of entries per second, and in a burst
SENT_REPLIES_LIMIT = 50.0, 50.0  # replies sent per second, and in a burst


class SegmentSender:
    """Sends segments of one replica. Any thread may call it."""

    def __init__(
        self,
        store: ReplicaStore,
        positions: ReplicaPositions,
        pulls: PullScheduler,
        random: Random,
        now: float,
    ) -> None:
        """`pulls` knows which members may be asked instead of this one. `now`: monotonic time."""
        self._store, self._positions, self._pulls, self._random = store, positions, pulls, random
        self._limits_lock = threading.Lock()
        self._sent_bytes = TokenBucket(*SENT_BYTES_LIMIT, now)
        self._sent_replies = TokenBucket(*SENT_REPLIES_LIMIT, now)

    def answer(self, request: EntriesRequest, now: float) -> EntriesReply:
        """Return the segments that a member lacks, within this one's rate limits. Raises `ReplicaError`."""
        own = self._positions
        if request.control_digest != own.digest or len(request.vector) != len(own.announced):
            return EntriesReply([])
        if not self._admits_reply(now):
            return EntriesReply([], self._pulls.alternatives(request.sender))
        bytes_left = MAX_REPLY_BYTES
        segments: list[LogSegment] = []
        order = list(enumerate(self._positions.control))
        self._random.shuffle(order)  # so that a partition with many entries does not starve the others
        for ordinal, partition in order:
            if bytes_left <= 0:
                break
            position = position_at(request.vector, ordinal)
            covered = request.covered[ordinal] if ordinal < len(request.covered) else position.log_index
            for segment in self._segments(partition, position, covered, bytes_left):
                bytes_left -= sum(entry.size for entry in segment.entries)
                segments.append(segment)
        with self._limits_lock:
            self._sent_bytes.take(MAX_REPLY_BYTES - bytes_left)
        return EntriesReply(segments[:MAX_CONTROL_MEMBERS])

    def _admits_reply(self, now: float) -> bool:
        with self._limits_lock:
            return self._sent_bytes.available(now) > 0 and self._sent_replies.try_take(now)

    def _segments(
        self, partition: str, position: Position, covered: int, max_bytes: int
    ) -> Iterator[LogSegment]:
        """Yield segments of a partition for a member at a position, up to about `max_bytes` of entries."""
        state = self._positions.states[partition]
        if position >= (state.term, state.index) or not _may_send(state):
            return
        since = _continuation_index(state, position, covered)
        while max_bytes > 0:
            batch = self._store.read_batch(partition, since, min(max_bytes, MAX_SEGMENT_BYTES))
            if batch is None or not _may_send(batch.state):
                return  # the file was replaced or the state has changed meanwhile
            if (batch.state.term, batch.state.index) < (state.term, state.index):
                return
            state = batch.state
            segment = _segment_of(partition, since, batch)
            yield segment
            max_bytes -= sum(entry.size for entry in batch.entries)
            since = segment.through_index
            if not batch.more:
                return


def _may_send(state: PartitionState) -> bool:
    """Return whether the rows of a partition may be sent to other members.

    During a refill, rows may be of removed tenants or not part of the term's history.
    """
    return state.cursor < 0 and state.withheld_from < 0


def _continuation_index(state: PartitionState, position: Position, covered: int) -> int:
    """Return the index from which a member can continue; 0 if it has to be refilled."""
    since = position.log_index
    later_bases = [base for term, base in state.bases if term > position.term]
    diverged = since > min(later_bases, default=inf)
    lacks_tombstones = since > 0 and covered < state.horizon
    return 0 if diverged or lacks_tombstones else since


def _segment_of(partition: str, since: int, batch: SegmentBatch) -> LogSegment:
    state = batch.state
    through_index = batch.entries[-1].index if batch.more else max(since, state.index)
    return LogSegment(
        partition,
        state.term,
        state.bases,
        since,
        through_index,
        batch.entries,
        batch.more,
        state.horizon,
        max(through_index, state.covered),
        max(through_index, state.goal),
    )
