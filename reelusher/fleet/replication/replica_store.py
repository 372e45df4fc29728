"""The protocol of a replica's store, and an implementation in memory."""

from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import Protocol

import msgspec

from reelusher.fleet.replication.messages import MAX_SEGMENT_BYTES, Base, LogEntry

MIN_KEPT_INDEXES = 5000  # newest indexes whose tombstones are kept: a smaller lag needs no refill
STALE_INDEXES_SLACK = 64  # superseded indexes that a list may hold, beyond one for each row


class ReplicaError(Exception):
    """The store can't be read or written; a failed write changed nothing."""


@dataclass(slots=True, frozen=True)
class PartitionState:
    """A replica's state in one partition.

    Its position is `(term, index)`. It announces that position, unless it leads and withholds entries.
    """

    term: int
    index: int = 0
    bases: tuple[Base, ...] = ()  # of the history's terms after the first, in order
    horizon: int = 0  # tombstones up to this index may have been collected
    covered: int = 0  # the rows reflect all removals up to this index; past `index` during catch-up
    goal: int = 0  # missing entries are superseded by entries up to this; past `index` during catch-up
    generation: int = 0  # generation of the rows that are written now; a refill begins the next
    cursor: int = -1  # index up to which a refill has come; -1: no refill
    lost: bool = False  # the file replaces a damaged one: it is unknown which indexes were assigned
    restored: bool = False  # the leader's file is older than its changes, for example from a backup
    withheld_from: int = -1  # the leader announces no entries past this index yet; -1: it announces all

    @property
    def announced_index(self) -> int:
        """Return the index of the position that this replica announces."""
        return self.index if self.withheld_from < 0 else self.withheld_from

    @property
    def since(self) -> int:
        """Return the index past which entries are requested."""
        return self.announced_index if self.cursor < 0 else self.cursor

    @property
    def max_row_index(self) -> int:
        """Return the highest index that a row can have.

        A refill after a take-over begins at position 0, but keeps the rows of the history that both terms
        share, which ends at the base of the new term at the latest.
        """
        if self.cursor < 0:
            return self.index
        base = self.bases[-1][1] if self.bases else 0
        return max(self.index, self.cursor, base)


@dataclass(slots=True, frozen=True)
class SegmentBatch:
    """The state of a partition and entries for a segment, read at one instant."""

    state: PartitionState
    entries: list[LogEntry]
    more: bool  # there are further entries up to the position


class ReplicaStore(Protocol):
    """The store of a replica. Each write is one transaction; if it raises `ReplicaError`, nothing changed."""

    def states(self) -> dict[str, PartitionState]:
        """Return the states of all partitions that were ever written."""

    def read_batch(self, partition: str, since: int, max_bytes: int) -> SegmentBatch | None:
        """Return entries past `since` and up to the position; None if the partition was never written."""

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

        An entry of a refill replaces a row of an older generation, whatever its index. `drop_older`: delete
        rows of older generations, since a refill is complete. `durable`: sync to disk before returning.
        `audited`: add the entries to the audit trail, and remember their idempotency keys. Returns the names
        that changed.
        """

    def set_aside_divergent(self, partition: str, past_index: int, state: PartitionState) -> int:
        """Copy rows past an index to the divergent rows, and store the state; return how many were copied.

        The originals stay, with the index 0.
        """

    def drop_set_aside(self, partition: str) -> list[str]:
        """Delete the rows that were set aside as divergent, but not their copies; return their names."""

    def collect(self, partition: str, before_ms: int, kept_indexes: int = MIN_KEPT_INDEXES) -> int:
        """Delete tombstones that were stored before a Unix time, and advance the horizon; return how many.

        Those with one of the `kept_indexes` newest indexes are kept.
        """

    def notify_changed(self, names: Iterable[str]) -> None:
        """Notify the listener that these names changed. The caller must hold no lock of the replica."""


@dataclass(slots=True)
class _Row:
    entry: LogEntry
    generation: int
    stored_ms: int

    def equals(self, entry: LogEntry) -> bool:
        """Return whether this row is the entry."""
        return (self.entry.term, self.entry.index) == (entry.term, entry.index)


@dataclass(slots=True)
class _PartitionRows:
    state: PartitionState
    by_index: dict[int, str] = field(default_factory=dict)  # names
    indexes: list[int] = field(default_factory=list)  # the keys of `by_index`, and some superseded indexes
    is_sorted: bool = True  # whether `indexes` ascend
    divergent_names: set[str] = field(default_factory=set)  # rows with index 0; a refill renews or drops them

    def sort_indexes(self) -> None:
        """Sort `indexes` if needed, and drop superseded ones if there are too many."""
        max_indexes = 2 * len(self.by_index) + STALE_INDEXES_SLACK
        if not self.is_sorted or len(self.indexes) > max_indexes:
            self.indexes = sorted(self.by_index)
            self.is_sorted = True


class MemoryReplicaStore:
    """A store in memory. Stores in one process share the entry objects that they hold."""

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
        """Return entries past an index and the state; see `ReplicaStore`."""
        rows = self._partitions.get(partition)
        if rows is None:
            return None
        rows.sort_indexes()
        entries: list[LogEntry] = []
        bytes_left = max_bytes
        for offset in range(bisect_right(rows.indexes, since), len(rows.indexes)):
            index = rows.indexes[offset]
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
        """Write entries and the state; see `ReplicaStore`."""
        rows = self._partitions.setdefault(partition, _PartitionRows(state))
        names, now_ms = [], self._wall_ms()
        for entry in entries:
            previous = self._rows.get(entry.name)
            if previous is not None and previous.equals(entry):
                previous.generation = state.generation
            elif (
                previous is None
                or entry.index > previous.entry.index
                or previous.generation < state.generation
            ):
                self._replace(rows, previous, _Row(entry, state.generation, now_ms))
                names.append(entry.name)
        if drop_older:
            names += self._drop_older(rows, state.generation)
        rows.state = state
        return names

    def _replace(self, rows: _PartitionRows, previous: _Row | None, row: _Row) -> None:
        entry = row.entry
        if previous is not None:
            rows.by_index.pop(previous.entry.index, None)
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
        """Copy rows past an index to the divergent rows, and store the state; see `ReplicaStore`."""
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

    def drop_set_aside(self, partition: str) -> list[str]:
        """Delete the rows that were set aside and return their names; see `ReplicaStore`."""
        rows = self._partitions[partition]
        dropped, rows.divergent_names = list(rows.divergent_names), set()
        for name in dropped:
            del self._rows[name]
        return dropped

    def collect(self, partition: str, before_ms: int, kept_indexes: int = MIN_KEPT_INDEXES) -> int:
        """Delete old tombstones and return how many; see `ReplicaStore`."""
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
        """Call `on_change` with the names that changed, if there are any."""
        changed_names = list(names)
        if changed_names:
            self.on_change(changed_names)

    def live_entries(self) -> dict[str, LogEntry]:
        """Return the entries other than tombstones, by name."""
        return {name: row.entry for name, row in self._rows.items() if row.entry.state}
