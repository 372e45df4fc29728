"""The table of idempotency keys: the original attempt of each key and its result."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from reelusher.core.messages import IdempotencyKey, Result

DEFAULT_MAX_RESULT_BYTES = 48 << 20


@dataclass(slots=True)
class IdempotencyEntry:
    """A key and its original, which is the attempt whose run serves all retries."""

    key: IdempotencyKey
    original_id: int
    expires_us: int
    digest: bytes = b""  # digest of the body, which must be the same in all retries
    finished: bool = False  # whether the run of the original has ended or will never start
    result: Result | None = None  # result of a successful run; None if there is none or it was dropped
    attached: list[int] = field(default_factory=list)  # ids of the retries that wait for the result


class IdempotencyTable:
    """Entries by key and by the id of their original.

    An entry applies to each retry that reached the machine before the entry expired, even if the retry is
    read later. An expired entry is therefore kept for `retention_us`, which is longer than any retry stays
    unread. The table is not thread-safe.
    """

    def __init__(self, retention_us: int, max_result_bytes: int = DEFAULT_MAX_RESULT_BYTES) -> None:
        self._retention_us = retention_us
        self._max_result_bytes = max_result_bytes
        self._result_bytes = 0  # sum of the body sizes of all stored results
        # entries that have a result, by tenant and id of the original, oldest result first
        self._entries_with_result: dict[str, dict[int, IdempotencyEntry]] = {}
        self._result_bytes_by_tenant: dict[str, int] = {}
        self._by_key: dict[IdempotencyKey, IdempotencyEntry] = {}
        self._by_original_id: dict[int, IdempotencyEntry] = {}

    def __len__(self) -> int:
        return len(self._by_original_id)

    def __iter__(self) -> Iterator[IdempotencyEntry]:
        return iter(self._by_original_id.values())

    def extend_retention(self, retention_us: int) -> None:
        """Keep expired entries for at least this long, as a reload may have lengthened a deadline."""
        self._retention_us = max(self._retention_us, retention_us)

    def original_id(self, key: IdempotencyKey, received_us: int) -> int:
        """Return the id of the original that a request received at this time retries, or 0."""
        entry = self._by_key.get(key)
        return entry.original_id if entry and received_us <= entry.expires_us else 0

    def has_other_body(self, key: IdempotencyKey, received_us: int, digest: bytes) -> bool:
        """Return whether the key of a request received at this time was first used with another body."""
        entry = self._by_key.get(key)
        return entry is not None and received_us <= entry.expires_us and entry.digest != digest

    def entry_of(self, original_id: int) -> IdempotencyEntry | None:
        """Return the entry of an original, if there is one."""
        return self._by_original_id.get(original_id)

    def put(self, key: IdempotencyKey, original_id: int, expires_us: int, digest: bytes = b"") -> None:
        """Add an entry, or renew the entry of this original. A newer original takes over the key."""
        entry = self._by_original_id.get(original_id)
        if entry:
            entry.expires_us = expires_us
            return
        entry = IdempotencyEntry(key, original_id, expires_us, digest)
        self._by_key[key] = self._by_original_id[original_id] = entry

    def restore(self, key: IdempotencyKey, original_id: int, expires_us: int, digest: bytes) -> None:
        """Add an entry from an earlier incarnation of the node; it may have run, and its result is unknown.

        Retries of such a request fail and never run again.
        """
        self.put(key, original_id, expires_us, digest)
        self._by_original_id[original_id].finished = True

    def store_result(self, entry: IdempotencyEntry, result: Result | None) -> int:
        """Store the result of an original and return the number of results dropped to make space.

        An entry whose result was dropped is kept, so that a retry fails and never runs again. The oldest
        results of the tenant with the most bytes are dropped first, so that a flood of requests from one
        tenant displaces only its own results.
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
        """Return the entry whose result is to be dropped next, if there is one.

        This is the oldest entry without attached retries of the tenant that stores the most bytes. If all
        entries of that tenant have attached retries, the tenant with the next most bytes is tried.
        """
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
        """Remove entries that no unread retry can still match.

        Entries with attached retries are kept, and so are those whose original is open by `is_open`.
        """
        expired = [
            entry.original_id
            for entry in self
            if entry.expires_us + self._retention_us < now_us
            and not entry.attached
            and not is_open(entry.original_id)
        ]
        for original_id in expired:
            self.remove(original_id)
