"""One node's replica of the tenant table: it applies segments, answers pulls and accepts changes.

The protocol is state-based anti-entropy with one writer for each partition, reconciled by version vectors as
in Scuttlebutt (van Renesse, Dumitriu, Gough, Thomas, "Efficient Reconciliation and Flow Control for
Anti-Entropy Protocols", 2008). All I/O is that of the store. `positions` defines partitions, terms and
vectors.

Invariant of a replica at position (term, index): for each name, take the newest entry that any member has in
the history of this term. If the index of that entry is not past the position, this replica has the entry.
Applying a segment, which is cut from a sender's state, preserves the invariant. It does not make the rows a
snapshot of one instant: between two segments, a name may lack an entry that was superseded by a later one,
with an index up to `PartitionState.goal`, which has not arrived yet. Therefore
  - a replica continues into a later term only if `goal` lies within the history that both terms share;
  - a replica continues with a segment past index 0 only if its own `covered` reaches the sender's tombstone
    horizon, and the segment's `covered` reaches its own horizon: the rows of each of the two then reflect all
    removals whose tombstones the other has collected.
A replica that can't continue is refilled from index 0. It serves its old rows meanwhile; those that the
refill did not renew are deleted at the end. Until then its position does not change, and it sends no segments
of that partition.

Times are seconds of a monotonic clock, except `before_ms` (Unix time). Only the thread that pulls calls
`apply_reply`; any thread may call `answer`, `accept`, `begin_term` and `collect_tombstones`. All of these but
`answer` write, one transaction at a time under a lock.
"""

import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

import msgspec

from reelusher.fleet.replication.messages import (
    MAX_BASES,
    EntriesReply,
    EntriesRequest,
    LogEntry,
    LogSegment,
)
from reelusher.fleet.replication.positions import (
    Position,
    ReplicaPositions,
    first_term,
    leader_of,
    next_term,
    partition_of,
    shared_through_index,
    sorted_control,
)
from reelusher.fleet.replication.pull_scheduler import Pull, PullScheduler
from reelusher.fleet.replication.replica_store import PartitionState, ReplicaError, ReplicaStore
from reelusher.fleet.replication.segment_sender import SegmentSender
from reelusher.fleet.replication.segments import advance, find_fault

BOOTSTRAP_MIN_CHANGES = 100  # an empty partition is bootstrapping if others have more changes than this
TOMBSTONE_TTL_S = 7 * 86_400.0
MAX_BASES_BY_PUBLICATION = MAX_BASES // 2  # the other terms are for take-overs that operators order


@dataclass(slots=True)
class PullResult:
    """The result of a pull whose reply was applied."""

    segments: int = 0
    entries: int = 0
    changed_names: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)  # counter suffixes of rejected and stale segments
    divergent: dict[str, int] = field(default_factory=dict)  # number of rows set aside, by partition
    refills: list[str] = field(default_factory=list)  # partitions whose refill began
    store_error: str = ""


class NotLeaderError(Exception):
    """This node does not lead the partition, or may not write at present; the text says why."""


class Replica:
    """One node's replica of the tenant table."""

    def __init__(
        self,
        own_address: str,
        control: Sequence[str],
        store: ReplicaStore,
        random: Random,
        zone: str = "",
        now: float = 0.0,
        own_name: str = "",
    ) -> None:
        """`zone`: pulls prefer its members. `own_name`: the name by which a control member leads."""
        self.own_name, self.own_address, self.control = own_name, own_address, sorted_control(control)
        self.store = store
        self.write_guard: Callable[[str], str] = lambda partition: ""  # why it may not be written, or ""
        self._random = random
        self._write_lock = threading.RLock()  # held during each transaction that writes
        self.positions = ReplicaPositions(control)
        self.pulls = PullScheduler(own_address, self.positions, random, zone)
        self._sender = SegmentSender(store, self.positions, self.pulls, random, now)
        self.reload()

    def reload(self, replace_store: Callable[[], object] = lambda: None) -> None:
        """Call `replace_store`, which may replace the file, then read the states; no write comes between."""
        with self._write_lock:
            replace_store()
            stored = self.store.states()
            self.pulls.peers_equal.clear()
            self.positions.replace_all(
                {
                    partition: stored.get(partition) or PartitionState(first_term(partition, self.control))
                    for partition in self.control
                }
            )

    @property
    def states(self) -> dict[str, PartitionState]:
        """The states of all partitions; callers must not modify them."""
        return self.positions.states

    def announce(self) -> list[int]:
        """Return the packed version vector to send; callers must not modify it."""
        return self.positions.announced

    def is_bootstrapping(self, now: float) -> bool:
        """Return whether many rows may not have arrived yet: a name not found here may still exist."""
        return any(
            state.cursor >= 0
            or state.goal > state.index
            or (not state.index and (self._lacks_lost_rows(state) or self._lacks_many(partition, now)))
            for partition, state in self.states.items()
        )

    def _lacks_lost_rows(self, state: PartitionState) -> bool:
        return state.lost and not self.pulls.peers_equal

    def _lacks_many(self, partition: str, now: float) -> bool:
        claimed = self.pulls.claimed(partition, now)
        return claimed is not None and claimed.log_index > BOOTSTRAP_MIN_CHANGES

    def is_uninitialized(self) -> bool:
        """Return whether nothing was ever applied and no member with an equal, empty replica was observed."""
        return not self.pulls.peers_equal and not any(state.index for state in self.states.values())

    # Applying replies

    def apply_reply(self, pull: Pull, reply: EntriesReply, now: float) -> PullResult:
        """Apply the reply to a pull, each segment in one transaction; do nothing if the pull has ended.

        If a segment's term requires a refill, further transactions enter the term first. An error of the
        store is not raised but returned in the result.
        """
        result = PullResult()
        if not self.pulls.end(pull):
            return result
        for segment in reply.segments:
            fault = self.segment_fault(segment)
            if fault:
                result.faults.append(fault)
                break  # the rest of this reply is not trusted
            try:
                self._apply_segment(segment, result)
            except ReplicaError as error:
                result.store_error = str(error)
                break
        self.store.notify_changed(result.changed_names)
        if result.store_error:
            self.pulls.retry_later(now)
        else:
            self.pulls.reply_applied(pull, reply, result.segments > 0, now)
        return result

    def segment_fault(self, segment: LogSegment) -> str:
        """Validate a segment; return "" or the fault as a suffix of a counter's name."""
        if segment.partition not in self.control:
            return "stream"
        return find_fault(segment, self.states[segment.partition], self.control)

    def _apply_segment(self, segment: LogSegment, result: PullResult) -> None:
        partition = segment.partition
        with self._write_lock:
            state = self._set_aside_contradicted(self.states[partition], segment, result)
            state = self._mark_restored_if_behind(state, segment)
            if segment.term > state.term:
                state = self._enter_term(segment, state, result)
            started = self._start_segment(state, segment, result)
            if started is None:
                result.faults.append("stale")
                return
            state, refilled = advance(started, segment)
            is_complete = state.index >= state.goal
            if state.lost and is_complete and not self._leads_in(state.term):
                state = replace(state, lost=False)  # only a leader has to know which indexes it assigned
            if state == self.states[partition] and not segment.entries:
                return
            bootstrapping = segment.more or state.cursor >= 0 or refilled
            result.changed_names += self.store.apply(
                partition, segment.entries, state, refilled, audited=not bootstrapping
            )
            self.positions.update(partition, state)
        result.segments += 1
        result.entries += len(segment.entries)

    def _set_aside_contradicted(
        self, state: PartitionState, segment: LogSegment, result: PullResult
    ) -> PartitionState:
        """Set aside the withheld entries if another member has entries past those that were announced.

        Nobody can have them from this replica since its start, so they are of its own earlier life or of
        another leader, and the withheld entries have their indexes. Rows that the withheld ones replaced are
        pulled again by a refill.
        """
        kept_index = state.withheld_from
        if kept_index < 0 or (segment.term, segment.through_index) <= (state.term, kept_index):
            return state
        state = replace(
            state,
            index=kept_index,
            goal=kept_index,
            covered=min(state.covered, kept_index),
            horizon=min(state.horizon, kept_index),
            generation=state.generation + 1,
            cursor=0,
            withheld_from=-1,
        )
        self._set_aside(segment.partition, kept_index, state, result)
        result.refills.append(segment.partition)
        result.segments += 1  # this is progress, even if no entry of the segment can be applied
        self.positions.update(segment.partition, state)
        return state

    def _set_aside(self, partition: str, past_index: int, state: PartitionState, result: PullResult) -> None:
        """Set aside the rows past an index as divergent, and store the state."""
        count = self.store.set_aside_divergent(partition, past_index, state)
        if count:
            result.divergent[partition] = result.divergent.get(partition, 0) + count

    def _mark_restored_if_behind(self, state: PartitionState, segment: LogSegment) -> PartitionState:
        """Mark a partition as restored from a backup if others have changes of this leader that it lacks."""
        lacks = (state.term, state.index) < (segment.term, segment.through_index)
        return replace(state, restored=True) if lacks and self._leads_in(segment.term) else state

    def _leads_in(self, term: int) -> bool:
        return leader_of(term, self.control) == self.own_name

    @staticmethod
    def _start_segment(
        state: PartitionState, segment: LogSegment, result: PullResult
    ) -> PartitionState | None:
        """Return the state that a segment continues; None if it can't be applied to this one."""
        if segment.since != state.since:
            if segment.since or not state.index:
                return None  # not requested from this position; the next pull requests from it
            # the sender has collected tombstones that may concern rows here: refill, and serve them meanwhile
            result.refills.append(segment.partition)
            return replace(state, generation=state.generation + 1, cursor=0)
        if segment.since and (state.covered < segment.horizon or segment.covered < state.horizon):
            return None  # one of the two may have rows whose tombstones the other has collected
        return state

    def _enter_term(self, segment: LogSegment, state: PartitionState, result: PullResult) -> PartitionState:
        """Enter a later term; set aside the rows that are not part of its history.

        A refill begins at position 0, so that every member that has rows of the term is ahead of this one.
        """
        shared = shared_through_index(state.bases, segment.bases)
        entered = replace(state, term=segment.term, bases=segment.bases)
        if max(state.goal, state.max_row_index) <= shared:
            return entered
        entered = replace(
            entered, index=0, goal=0, covered=0, horizon=0, cursor=0, generation=state.generation + 1
        )
        partition = segment.partition
        if state.max_row_index > shared:
            self._set_aside(partition, int(shared), entered, result)
        result.refills.append(partition)
        result.segments += 1  # entering the term is progress, even if no entry can be applied
        self.store.apply(partition, [], entered)
        self.positions.update(partition, entered)
        return entered

    def answer(self, request: EntriesRequest, now: float) -> EntriesReply:
        """Return the segments that a member lacks, within this one's rate limits. Raises `ReplicaError`."""
        return self._sender.answer(request, now)

    # Writing

    def leads(self, partition: str, own_name: str) -> bool:
        """Return whether the member of this name leads a partition in the latest term known here."""
        return leader_of(self.states[partition].term, self.control) == own_name

    def accept(self, partition: str, own_name: str, change: LogEntry, withhold: bool = False) -> LogEntry:
        """Assign an index to a change made at the leader, and make it durable.

        `withhold`: announce neither it nor what follows until `publish`, since others may have other changes
        with these indexes. Raises `NotLeaderError` and `ReplicaError`, and ValueError if other members would
        reject the change.
        """
        self._validate(partition, change)
        with self._write_lock:
            state = self.states[partition]
            self._check_writable(partition, own_name, state)
            index = state.index + 1
            entry = msgspec.structs.replace(change, index=index, term=state.term)
            withheld_from = state.announced_index if withhold else state.withheld_from
            state = replace(state, index=index, covered=index, goal=index, withheld_from=withheld_from)
            names = self.store.apply(partition, [entry], state, durable=True)
            self.positions.update(partition, state)
        self.store.notify_changed(names)
        return entry

    def _validate(self, partition: str, change: LogEntry) -> None:
        if partition_of(change.name, self.control) != partition:
            raise ValueError(f"{change.name!r} is not of stream {partition}")
        try:
            msgspec.msgpack.decode(msgspec.msgpack.encode(change), type=LogEntry)
        except msgspec.ValidationError as error:
            raise ValueError(str(error)) from None

    def _check_writable(self, partition: str, own_name: str, state: PartitionState) -> None:
        """Raise `NotLeaderError` unless this node may write a partition."""
        if not self.leads(partition, own_name):
            raise NotLeaderError(f"{leader_of(state.term, self.control)} writes stream {partition}")
        if state.cursor >= 0 or state.goal > state.index:
            raise NotLeaderError(f"stream {partition} is being refilled")
        if state.lost:
            raise NotLeaderError(f"the copy of stream {partition} was damaged: a take-over has to be ordered")
        if state.restored:
            raise NotLeaderError(f"the copy of stream {partition} is an older one: a new term has to begin")
        refusal = self.write_guard(partition)
        if refusal:
            raise NotLeaderError(refusal)

    def begin_term(self, partition: str, own_name: str, force: bool = False) -> Position:
        """Take over a partition: begin a term that the member of this name leads.

        Raises `ReplicaError`, and `NotLeaderError` after `MAX_BASES` take-overs or, unless forced, if this
        node may not write at present or may lack changes that others have. Members with changes past this
        node's index set them aside when they enter the term.
        """
        with self._write_lock:
            state = self.states[partition]
            if not force:
                self._check_may_lead(partition, state)
            if len(state.bases) >= MAX_BASES:
                raise NotLeaderError(
                    f"stream {partition} was taken over {MAX_BASES} times, which is all there are"
                )
            names: list[str] = []
            if not _is_complete(state):
                state = replace(
                    state, horizon=state.max_row_index
                )  # members that go on are refilled from here
                names = self.store.drop_set_aside(partition)
            term, index = next_term(state.term, own_name, self.control), state.max_row_index
            state = replace(
                state,
                term=term,
                index=index,
                bases=(*state.bases, (term, _base_of_new_term(state))),
                withheld_from=-1,
                cursor=-1,
                covered=index,
                goal=index,
                lost=False,
                restored=False,
            )
            self.store.apply(partition, [], state, durable=True)
            self.positions.update(partition, state)
        self.store.notify_changed(names)
        return Position(term, index)

    def publish(self, partition: str) -> None:
        """Announce the entries of a partition that were withheld until now, as the first ones of a new term.

        A member may wait for entries of the old term that the leader has lost, and must not take these for
        them. Some terms are left for operators; without one, the old term goes on. Raises `NotLeaderError`
        and `ReplicaError`.
        """
        with self._write_lock:
            state = self.states[partition]
            if len(state.bases) < MAX_BASES_BY_PUBLICATION:
                self.begin_term(partition, self.own_name)
                return
            state = replace(state, withheld_from=-1)
            self.store.apply(partition, [], state, durable=True)
            self.positions.update(partition, state)

    def _check_may_lead(self, partition: str, state: PartitionState) -> None:
        """Raise `NotLeaderError` if this node may not write, or a new term could lose changes of others."""
        if state.cursor >= 0 or state.goal > state.index:
            raise NotLeaderError(f"stream {partition} is being refilled here")
        refusal = self.write_guard(partition)
        if refusal:
            raise NotLeaderError(refusal)
        if state.lost and not state.index and not self.pulls.peers_equal:
            raise NotLeaderError(f"the copy was damaged, and nobody was heard yet who has stream {partition}")

    def collect_tombstones(self, before_ms: int) -> int:
        """Delete tombstones stored before a Unix time; return how many. Raises `ReplicaError`."""
        count = 0
        for partition in self.control:
            with self._write_lock:
                if self.states[partition].cursor >= 0:
                    continue
                collected = self.store.collect(partition, before_ms)
                if collected:
                    count += collected
                    self.positions.update(partition, self.store.states()[partition])
        return count


def _is_complete(state: PartitionState) -> bool:
    """Return whether a replica has all entries up to its position."""
    return state.cursor < 0 and state.goal <= state.index


def _base_of_new_term(state: PartitionState) -> int:
    """Return the last index that a new term shares with the terms before it.

    Withheld entries, and the rows of a refill, are part of the new term: others may have other entries with
    their indexes.
    """
    last_base = state.bases[-1][1] if state.bases else 0
    return max(state.announced_index, last_base)
