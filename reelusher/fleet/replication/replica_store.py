"""What a replica keeps, as its decisions see it: the protocol, and one that keeps it in memory."""

from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import Protocol

import msgspec

from reelusher.fleet.replication.messages import MOST_PIECE, Base, LogEntry

SPARE = 5000  # of a stream's newest numbers none is collected: who lags by less is never refilled


class ReplicaError(Exception):
    """What is kept can't be read or written; nothing was half done."""


@dataclass(slots=True, frozen=True)
class PartitionState:
    """Where a replica stands in one stream. `(epoch, number)` is the position that it announces."""

    epoch: int
    number: int = 0
    bases: tuple[Base, ...] = ()
    horizon: int = 0  # tombstones up to this number may be absent
    covered: int = 0  # no row here was removed by a change up to this; past `number` while it catches up
    goal: int = 0  # what is absent is superseded by an entry up to this; past `number` while it catches up
    generation: int = 0  # of the rows that are taken now
    cursor: int = -1  # how far a refill is; -1: there is none
    lost: bool = False  # begun in place of a file that was damaged: which numbers were given is not known
    put_back: bool = False  # its holder had to be told of its own changes: they are not known here either

    @property
    def since(self) -> int:
        """Return the number past which entries are wanted."""
        return self.number if self.cursor < 0 else self.cursor


@dataclass(slots=True, frozen=True)
class SegmentBatch:
    """What is read for a piece, all at one instant."""

    state: PartitionState
    entries: list[LogEntry]
    more: bool


class ReplicaStore(Protocol):
    """Each call that writes is one transaction; where it raises `ReplicaError`, nothing changed."""

    def states(self) -> dict[str, PartitionState]:
        """Return where each stream stands; one that was never written is absent."""

    def given(self, stream: str, since: int, most_bytes: int) -> SegmentBatch | None:
        """Return entries numbered past `since` and up to the position; None for a stream never written."""

    def apply(
        self,
        stream: str,
        entries: Sequence[LogEntry],
        state: PartitionState,
        drop: bool = False,
        durable: bool = False,
        trail: bool = True,
    ) -> list[str]:
        """Take entries that are newer than the rows of their names, and the state.

        `drop`: rows of an older generation go, a refill is over. `durable`: on the disk before it returns.
        Return the names that changed.
        """

    def orphan(self, stream: str, past: int, state: PartitionState) -> int:
        """Keep rows numbered past `past` aside and number them 0; return how many."""

    def collect(self, stream: str, before_ms: int, spare: int = SPARE) -> int:
        """Forget tombstones taken before a time, but not among the newest numbers; return how many."""

    def changed(self, names: Iterable[str]) -> None:
        """Tell whoever wants to know that these names changed; no lock is held."""


@dataclass(slots=True)
class _Kept:
    entry: LogEntry
    generation: int
    taken_ms: int


@dataclass(slots=True)
class _Stream:
    state: PartitionState
    by_number: dict[int, str] = field(default_factory=dict)
    numbers: list[int] = field(default_factory=list)  # those, ascending, and some that are gone
    ordered: bool = True
    orphaned: set[str] = field(default_factory=set)  # names numbered 0 until a refill renews or drops them


class MemoryReplicaStore:
    """Rows in memory. Entries are shared with whoever else has them."""

    def __init__(self, wall_ms: Callable[[], int] = lambda: 0) -> None:
        self._wall_ms = wall_ms
        self._rows: dict[str, _Kept] = {}
        self._streams: dict[str, _Stream] = {}
        self.orphans: list[tuple[str, int, LogEntry]] = []  # stream, epoch that it was orphaned by, entry
        self.on_change: Callable[[list[str]], None] = lambda names: None

    def states(self) -> dict[str, PartitionState]:
        """Return where each stream stands."""
        return {name: stream.state for name, stream in self._streams.items()}

    def given(self, stream: str, since: int, most_bytes: int = MOST_PIECE) -> SegmentBatch | None:
        """Return entries past a number."""
        kept = self._streams.get(stream)
        if kept is None:
            return None
        if not kept.ordered or len(kept.numbers) > 2 * len(kept.by_number) + 64:
            kept.numbers = sorted(kept.by_number)
            kept.ordered = True
        entries: list[LogEntry] = []
        left = most_bytes
        for at in range(bisect_right(kept.numbers, since), len(kept.numbers)):
            number = kept.numbers[at]
            if number > kept.state.number:
                break
            if number not in kept.by_number:
                continue
            entry = self._rows[kept.by_number[number]].entry
            left -= entry.size
            if left < 0 and entries:
                return SegmentBatch(kept.state, entries, True)
            entries.append(entry)
        return SegmentBatch(kept.state, entries, False)

    def apply(
        self,
        stream: str,
        entries: Sequence[LogEntry],
        state: PartitionState,
        drop: bool = False,
        durable: bool = False,
        trail: bool = True,
    ) -> list[str]:
        """Take entries and the state."""
        kept = self._streams.setdefault(stream, _Stream(state))
        names, now_ms = [], self._wall_ms()
        for entry in entries:
            before = self._rows.get(entry.name)
            if before is None or entry.number > before.entry.number:
                if before is not None:
                    kept.by_number.pop(before.entry.number, None)
                    kept.orphaned.discard(entry.name)
                if kept.numbers and entry.number <= kept.numbers[-1]:
                    kept.ordered = False
                kept.by_number[entry.number] = entry.name
                kept.numbers.append(entry.number)
                self._rows[entry.name] = _Kept(entry, state.generation, now_ms)
                names.append(entry.name)
            elif entry.number == before.entry.number:
                before.generation = state.generation
        if drop:
            names += self._drop(kept, state.generation)
        kept.state = state
        return names

    def _drop(self, kept: _Stream, generation: int) -> list[str]:
        old = [
            name
            for name in [*kept.by_number.values(), *kept.orphaned]
            if self._rows[name].generation < generation
        ]
        for name in old:
            kept.by_number.pop(self._rows.pop(name).entry.number, None)
        kept.orphaned.clear()
        return old

    def orphan(self, stream: str, past: int, state: PartitionState) -> int:
        """Keep rows aside."""
        kept = self._streams[stream]
        old = [name for number, name in kept.by_number.items() if number > past]
        for name in old:
            row = self._rows[name]
            self.orphans.append((stream, state.epoch, row.entry))
            del kept.by_number[row.entry.number]
            row.entry = msgspec.structs.replace(row.entry, number=0)
            kept.orphaned.add(name)
        kept.state = state
        return len(old)

    def collect(self, stream: str, before_ms: int, spare: int = SPARE) -> int:
        """Forget old tombstones."""
        kept = self._streams.get(stream)
        if kept is None:
            return 0
        most = kept.state.number - spare
        old = [
            (number, name)
            for number, name in kept.by_number.items()
            if number <= most and not self._rows[name].entry.state and self._rows[name].taken_ms < before_ms
        ]
        for number, name in old:
            del self._rows[name], kept.by_number[number]
        if old:
            kept.state = replace(kept.state, horizon=max(kept.state.horizon, max(old)[0]))
        return len(old)

    def changed(self, names: Iterable[str]) -> None:
        """Tell of names that changed."""
        told = list(names)
        if told:
            self.on_change(told)

    def live(self) -> dict[str, LogEntry]:
        """Return the entries that are no tombstones, by name."""
        return {name: kept.entry for name, kept in self._rows.items() if kept.entry.state}
