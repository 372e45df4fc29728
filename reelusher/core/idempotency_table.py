"""The table of idempotency keys: the original attempt of each key and its result."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from reelusher.core.messages import IdempotencyKey, Result

DEFAULT_MAX_RESULT_BYTES = 48 << 20


@dataclass(slots=True)
class IdempotencyEntry:
    """A key and its original, the attempt whose run serves all retries."""

    key: IdempotencyKey
    original_id: int
    expires_us: int
    digest: bytes = b""  # of the body, which all retries share
    finished: bool = False  # the run of the original has ended, or will never start
    result: Result | None = None  # of a run that succeeded
    attached: list[int] = field(default_factory=list)  # ids of attempts that wait for the result


class IdempotencyTable:
    """Entries by key and by the id of their original.

    An entry names the original of each retry that reached the machine before the entry expired, however late
    the retry is read. So an expired entry stays for `retention_us`, longer than any retry goes unread.
    """

    def __init__(self, retention_us: int, max_result_bytes: int = DEFAULT_MAX_RESULT_BYTES) -> None:
        self._retention_us = retention_us
        self._max_result_bytes = max_result_bytes
        self._result_bytes = 0  # of all stored results
        self._entries_with_result: dict[
            str, dict[int, IdempotencyEntry]
        ] = {}  # by tenant and original, oldest first
        self._result_bytes_by_tenant: dict[str, int] = {}
        self._by_key: dict[IdempotencyKey, IdempotencyEntry] = {}
        self._by_original_id: dict[int, IdempotencyEntry] = {}

    def __len__(self) -> int:
        return len(self._by_original_id)

    def __iter__(self) -> Iterator[IdempotencyEntry]:
        return iter(self._by_original_id.values())

    def extend_retention(self, retention_us: int) -> None:
        """Keep expired entries for at least this time: a class has a longer deadline now."""
        self._retention_us = max(self._retention_us, retention_us)

    def original_id(self, key: IdempotencyKey, received_us: int) -> int:
        """Return the id of the original that a request received at that time repeats, or 0."""
        entry = self._by_key.get(key)
        return entry.original_id if entry and received_us <= entry.expires_us else 0

    def has_other_body(self, key: IdempotencyKey, received_us: int, digest: bytes) -> bool:
        """Return whether the key of a request received at that time belongs to another body."""
        entry = self._by_key.get(key)
        return entry is not None and received_us <= entry.expires_us and entry.digest != digest

    def entry_of(self, original_id: int) -> IdempotencyEntry | None:
        """Return the entry of an original."""
        return self._by_original_id.get(original_id)

    def put(self, key: IdempotencyKey, original_id: int, expires_us: int, digest: bytes = b"") -> None:
        """Add an entry, or renew that of its original; a newer original takes the key over."""
        entry = self._by_original_id.get(original_id)
        if entry:
            entry.expires_us = expires_us
            return
        entry = IdempotencyEntry(key, original_id, expires_us, digest)
        self._by_key[key] = self._by_original_id[original_id] = entry

    def restore(self, key: IdempotencyKey, original_id: int, expires_us: int, digest: bytes) -> None:
        """Add the entry of an earlier incarnation of the node: it may have run, and its result is unknown."""
        self.put(key, original_id, expires_us, digest)
        self._by_original_id[original_id].finished = True

    def store_result(self, entry: IdempotencyEntry, result: Result | None) -> int:
        """Store the result of an original; return the number of older results dropped to make space.

        An entry without its result still names its original: a retry fails, and never runs again. The tenant
        with the most bytes loses its results first, so that a flood of one tenant displaces only its own.
        """
        entry.finished, entry.result = True, result
        if result is not None:
            tenant = entry.key.tenant
            self._entries_with_result.setdefault(tenant, {})[entry.original_id] = entry
            self._add_bytes(tenant, len(result.body))
        dropped = 0
        while self._result_bytes > self._max_result_bytes:
            candidate = self._next_to_drop()
            if candidate is None:
                break
            self._drop_result(candidate)
            dropped += 1
        return dropped

    def _next_to_drop(self) -> IdempotencyEntry | None:
        """Return the oldest result, without attached retries, of the tenant with the most bytes."""
        by_tenant = self._result_bytes_by_tenant
        for tenant in sorted(by_tenant, key=by_tenant.__getitem__, reverse=True):
            for entry in self._entries_with_result[tenant].values():
                if not entry.attached:
                    return entry
        return None

    def _drop_result(self, entry: IdempotencyEntry) -> None:
        if entry.result is None:
            return
        tenant, size_bytes = entry.key.tenant, len(entry.result.body)
        entry.result = None
        del self._entries_with_result[tenant][entry.original_id]
        self._add_bytes(tenant, -size_bytes)
        if not self._entries_with_result[tenant]:
            del self._entries_with_result[tenant], self._result_bytes_by_tenant[tenant]

    def _add_bytes(self, tenant: str, size_bytes: int) -> None:
        self._result_bytes += size_bytes
        self._result_bytes_by_tenant[tenant] = self._result_bytes_by_tenant.get(tenant, 0) + size_bytes

    def remove(self, original_id: int) -> None:
        """Remove the entry of an original, if there is one."""
        entry = self._by_original_id.pop(original_id, None)
        if entry is None:
            return
        self._drop_result(entry)
        if self._by_key.get(entry.key) is entry:
            del self._by_key[entry.key]

    def remove_expired(self, now_us: int, is_open: Callable[[int], bool]) -> None:
        """Remove the entries that no retry can reach any more, unless their original is still open."""
        expired = [
            entry.original_id
            for entry in self
            if entry.expires_us + self._retention_us < now_us
            and not entry.attached
            and not is_open(entry.original_id)
        ]
        for original_id in expired:
            self.remove(original_id)
