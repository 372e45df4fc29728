"""The table of keys: which try of a keyed request holds its entry, and what that try came to."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from reelusher.core.messages import Result

IdempotencyKey = tuple[str, int, str]  # tenant, class, key


@dataclass(slots=True)
class IdempotencyEntry:
    """What is known of the try that holds a key."""

    key: IdempotencyKey
    holder: int
    until_us: int
    digest: bytes = b""  # of the body that all tries carry
    over: bool = False  # the holder's run has ended, or it never ran and never will
    result: Result | None = None  # of a run that went well
    waiting: list[int] = field(default_factory=list)  # joined tries


class IdempotencyTable:
    """Entries by key and by holder.

    An entry names the original of each try that reached the machine while it lived, however late that
    try is read. So an entry that has run out stays for `tail_us`, longer than any try goes unread.
    """

    def __init__(self, tail_us: int, most_result_bytes: int = 48 << 20) -> None:
        self._tail_us = tail_us
        self._most_bytes = most_result_bytes
        self._bytes = 0  # of all kept results
        self._results: dict[str, dict[int, IdempotencyEntry]] = {}  # by tenant and holder, oldest first
        self._bytes_of: dict[str, int] = {}  # the same bytes by tenant
        self._by_key: dict[IdempotencyKey, IdempotencyEntry] = {}
        self._by_holder: dict[int, IdempotencyEntry] = {}

    def __len__(self) -> int:
        return len(self._by_holder)

    def __iter__(self) -> Iterator[IdempotencyEntry]:
        return iter(self._by_holder.values())

    def widen(self, tail_us: int) -> None:
        """Have entries stay for at least so long after they ran out: a class has a longer deadline now."""
        self._tail_us = max(self._tail_us, tail_us)

    def original(self, key: IdempotencyKey, door_us: int) -> int:
        """Return the holder that a try arriving then repeats, or 0."""
        entry = self._by_key.get(key)
        return entry.holder if entry and door_us <= entry.until_us else 0

    def other_body(self, key: IdempotencyKey, door_us: int, digest: bytes) -> bool:
        """Tell whether a try arriving then names the key of a request that has another body."""
        entry = self._by_key.get(key)
        return entry is not None and door_us <= entry.until_us and entry.digest != digest

    def of(self, holder: int) -> IdempotencyEntry | None:
        """Return the entry that a try holds."""
        return self._by_holder.get(holder)

    def keep(self, key: IdempotencyKey, holder: int, until_us: int, digest: bytes = b"") -> None:
        """Record a try, or renew its entry; a newer holder takes the key over."""
        entry = self._by_holder.get(holder)
        if entry:
            entry.until_us = until_us
            return
        self._by_key[key] = self._by_holder[holder] = IdempotencyEntry(key, holder, until_us, digest)

    def remember(self, key: IdempotencyKey, holder: int, until_us: int, digest: bytes) -> None:
        """Record a try of an earlier life of the node: it may have run, and what it came to is not known."""
        self.keep(key, holder, until_us, digest)
        self._by_holder[holder].over = True

    def store(self, entry: IdempotencyEntry, result: Result | None) -> int:
        """Keep what the holder's run came to; return how many older results had to go to make room.

        An entry that has lost its result still names its original: a repeat fails, it never runs again. Room
        is made by the tenant whose results take most, so that a flood of one pushes out its own.
        """
        entry.over, entry.result = True, result
        if result is not None:
            tenant = entry.key[0]
            self._results.setdefault(tenant, {})[entry.holder] = entry
            self._count(tenant, len(result.body))
        dropped = 0
        while self._bytes > self._most_bytes and (old := self._oldest_of_most()) is not None:
            self._drop_result(old)
            dropped += 1
        return dropped

    def _oldest_of_most(self) -> IdempotencyEntry | None:
        """Return the oldest result of the tenant that has most bytes of those that no join waits for."""
        for tenant in sorted(self._bytes_of, key=self._bytes_of.__getitem__, reverse=True):
            for entry in self._results[tenant].values():
                if not entry.waiting:
                    return entry
        return None

    def _drop_result(self, entry: IdempotencyEntry) -> None:
        if entry.result is None:
            return
        tenant, size = entry.key[0], len(entry.result.body)
        entry.result = None
        del self._results[tenant][entry.holder]
        self._count(tenant, -size)
        if not self._results[tenant]:
            del self._results[tenant], self._bytes_of[tenant]

    def _count(self, tenant: str, size: int) -> None:
        self._bytes += size
        self._bytes_of[tenant] = self._bytes_of.get(tenant, 0) + size

    def forget(self, holder: int) -> IdempotencyEntry | None:
        """Remove an entry ahead of its time."""
        entry = self._by_holder.pop(holder, None)
        if entry:
            self._drop_result(entry)
        if entry and self._by_key.get(entry.key) is entry:
            del self._by_key[entry.key]
        return entry

    def sweep(self, now_us: int, in_hand: Callable[[int], bool]) -> None:
        """Drop entries that no try can meet any more. One whose holder is in hand stays."""
        old = [
            e.holder
            for e in self
            if e.until_us + self._tail_us < now_us and not e.waiting and not in_hand(e.holder)
        ]
        for holder in old:
            self.forget(holder)
