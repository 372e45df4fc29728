"""What a replica needs of a store: the protocol, and a store in memory."""

from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import Protocol

import msgspec

from reelusher.fleet.replication.messages import MAX_SEGMENT_BYTES, Base, LogEntry

MIN_KEPT_INDEXES = 5000  # the newest of a partition keep their tombstones: a lag of less needs no refill
STALE_INDEXES_SLACK = 64  # superseded indexes that may stand in a list, beside as many as there are rows


class ReplicaError(Exception):
    """The store can't be read or written; nothing was half done."""


@dataclass(slots=True, frozen=True)
class PartitionState:
    """Where a replica stands in one partition. `(term, index)` is the position that it announces."""

    term: int
    index: int = 0
    bases: tuple[Base, ...] = ()
    horizon: int = 0  # tombstones up to this index may be absent
    covered: int = 0  # no row here was removed by a change up to this; past `index` while it catches up
    goal: int = 0  # what is absent is superseded by an entry up to this; past `index` while it catches up
    generation: int = 0  # of the rows that are written now
    cursor: int = -1  # how far a refill is; -1: there is none
    lost: bool = False  # the file replaces a damaged one: which indexes were given is not known
    restored: bool = False  # the leader's file is older than its own changes, for example from a backup

    @property
    def since(self) -> int:
        """Return the index past which entries are wanted."""
        return self.index if self.cursor < 0 else self.cursor


@dataclass(slots=True, frozen=True)
class SegmentBatch:
    """What is read for a segment, all at one instant."""

    state: PartitionState
    entries: list[LogEntry]
    more: bool


class ReplicaStore(Protocol):
    """Each call that writes is one transaction; where it raises `ReplicaError`, nothing changed."""

    def states(self) -> dict[str, PartitionState]:
        """Return the states of all partitions that were ever written."""

    def read_batch(self, partition: str, since: int, max_bytes: int) -> SegmentBatch | None:
        """Return entries past `since` and up to the position; None for a partition never written."""

    def apply(
        self,
        partition: str,
        entries: Sequence[LogEntry],
        state: PartitionState,
        drop_older: bool = False,
        durable: bool = False,
        audited: bool = True,
    ) -> list[str]:
        """Write the entries that are newer than the rows of their names, and the state.

        `drop_older`: delete rows of older generations, a refill is complete. `durable`: synced before it
        returns. `audited`: add the entries to the audit trail. Return the names that changed.
        """

    def set_aside_divergent(self, partition: str, past_index: int, state: PartitionState) -> int:
        """Copy rows past an index to the divergent ones and give them the index 0; return how many."""

    def collect(self, partition: str, before_ms: int, kept_indexes: int = MIN_KEPT_INDEXES) -> int:
        """Delete tombstones stored before a time, but none of the newest `kept_indexes`; return how many."""

    def notify_changed(self, names: Iterable[str]) -> None:
        """Notify the listener that these names changed; no lock is held."""


@dataclass(slots=True)
class _Row:
    entry: LogEntry
    generation: int
    stored_ms: int


@dataclass(slots=True)
class _PartitionRows:
    state: PartitionState
    by_index: dict[int, str] = field(default_factory=dict)
    indexes: list[int] = field(default_factory=list)  # of `by_index`, and some that were superseded
    is_sorted: bool = True  # `indexes` ascend
    divergent_names: set[str] = field(default_factory=set)  # of index 0 until a refill renews or drops them

    def sort_indexes(self) -> None:
        """Make `indexes` ascend; drop superseded ones where they are many."""
        max_indexes = 2 * len(self.by_index) + STALE_INDEXES_SLACK
        if not self.is_sorted or len(self.indexes) > max_indexes:
            self.indexes = sorted(self.by_index)
            self.is_sorted = True


class MemoryReplicaStore:
    """Rows in memory. Entries are shared with other stores that hold them."""

    def __init__(self, wall_ms: Callable[[], int] = lambda: 0) -> None:
        self._wall_ms = wall_ms
        self._rows: dict[str, _Row] = {}
        self._partitions: dict[str, _PartitionRows] = {}
        self.divergent_rows: list[tuple[str, int, LogEntry]] = []  # partition, term that set it aside, entry
        self.on_change: Callable[[list[str]], None] = lambda names: None

    def states(self) -> dict[str, PartitionState]:
        """Return the states of all partitions that were ever written."""
        return {name: partition.state for name, partition in self._partitions.items()}

    def read_batch(
        self, partition: str, since: int, max_bytes: int = MAX_SEGMENT_BYTES
    ) -> SegmentBatch | None:
        """Return entries past an index, and the state of the partition."""
        rows = self._partitions.get(partition)
        if rows is None:
            return None
        rows.sort_indexes()
        entries: list[LogEntry] = []
        bytes_left = max_bytes
        for place in range(bisect_right(rows.indexes, since), len(rows.indexes)):
            index = rows.indexes[place]
            if index > rows.state.index:
                break
            if index not in rows.by_index:
                continue
            entry = self._rows[rows.by_index[index]].entry
            bytes_left -= entry.size
            if bytes_left < 0 and entries:
                return SegmentBatch(rows.state, entries, True)
            entries.append(entry)
        return SegmentBatch(rows.state, entries, False)

    def apply(
        self,
        partition: str,
        entries: Sequence[LogEntry],
        state: PartitionState,
        drop_older: bool = False,
        durable: bool = False,
        audited: bool = True,
    ) -> list[str]:
        """Write entries and the state."""
        rows = self._partitions.setdefault(partition, _PartitionRows(state))
        names, now_ms = [], self._wall_ms()
        for entry in entries:
            before = self._rows.get(entry.name)
            if before is None or entry.index > before.entry.index:
                self._replace(rows, before, _Row(entry, state.generation, now_ms))
                names.append(entry.name)
            elif entry.index == before.entry.index:
                before.generation = state.generation
        if drop_older:
            names += self._drop_older(rows, state.generation)
        rows.state = state
        return names

    def _replace(self, rows: _PartitionRows, before: _Row | None, row: _Row) -> None:
        entry = row.entry
        if before is not None:
            rows.by_index.pop(before.entry.index, None)
            rows.divergent_names.discard(entry.name)
        if rows.indexes and entry.index <= rows.indexes[-1]:
            rows.is_sorted = False
        rows.by_index[entry.index] = entry.name
        rows.indexes.append(entry.index)
        self._rows[entry.name] = row

    def _drop_older(self, rows: _PartitionRows, generation: int) -> list[str]:
        dropped = [
            name
            for name in [*rows.by_index.values(), *rows.divergent_names]
            if self._rows[name].generation < generation
        ]
        for name in dropped:
            rows.by_index.pop(self._rows.pop(name).entry.index, None)
        rows.divergent_names.clear()
        return dropped

    def set_aside_divergent(self, partition: str, past_index: int, state: PartitionState) -> int:
        """Copy rows past an index to the divergent ones and give them the index 0; return how many."""
        rows = self._partitions[partition]
        names = [name for index, name in rows.by_index.items() if index > past_index]
        for name in names:
            row = self._rows[name]
            self.divergent_rows.append((partition, state.term, row.entry))
            del rows.by_index[row.entry.index]
            row.entry = msgspec.structs.replace(row.entry, index=0)
            rows.divergent_names.add(name)
        rows.state = state
        return len(names)

    def collect(self, partition: str, before_ms: int, kept_indexes: int = MIN_KEPT_INDEXES) -> int:
        """Delete old tombstones; return how many."""
        rows = self._partitions.get(partition)
        if rows is None:
            return 0
        through_index = rows.state.index - kept_indexes
        collected = [
            (index, name)
            for index, name in rows.by_index.items()
            if index <= through_index
            and not self._rows[name].entry.state
            and self._rows[name].stored_ms < before_ms
        ]
        for index, name in collected:
            del self._rows[name], rows.by_index[index]
        if collected:
            horizon = max(rows.state.horizon, max(collected)[0])
            rows.state = replace(rows.state, horizon=horizon)
        return len(collected)

    def notify_changed(self, names: Iterable[str]) -> None:
        """Notify `on_change` of names that changed."""
        changed_names = list(names)
        if changed_names:
            self.on_change(changed_names)

    def live_entries(self) -> dict[str, LogEntry]:
        """Return the entries that are no tombstones, by name."""
        return {name: row.entry for name, row in self._rows.items() if row.entry.state}
