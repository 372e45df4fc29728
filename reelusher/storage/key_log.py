"""Durable idempotency keys: the run of a request with a key starts only after the key is on the disk.

The event loop passes keys to a thread, which writes all pending keys with one sync and reports the result.
Only then does the event loop start a run. If the process restarts before a key expires, a retry finds that
its request may have run, and fails: the result of the run is not stored.
"""

import queue
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec
from loguru import logger

from reelusher.core.messages import IdempotencyKey
from reelusher.net.threads import start_thread
from reelusher.storage.directory import Directory
from reelusher.storage.errors import JournalError
from reelusher.storage.journal import Journal

MAX_KEYS_PER_WRITE = 500
VERSION = 2
VERSION_BY_CLASS_INDEX = 1  # its records name the class by its index in the file of the start that wrote them
WITHDRAWN_US = 0  # `expires_us` of a record that withdraws a key whose request never ran


class KeyRecord(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One key as it is stored: an array in the order of these fields."""

    tenant: str
    class_name: str
    key: str
    expires_us: int  # Unix time, or `WITHDRAWN_US`
    body_digest: str  # hexadecimal

    @property
    def idempotency_key(self) -> IdempotencyKey:
        """Return the key as the idempotency table has it."""
        return IdempotencyKey(self.tenant, self.class_name, self.key)


class IndexedKeyRecord(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One key as `VERSION_BY_CLASS_INDEX` stored it."""

    tenant: str
    class_index: int
    key: str
    expires_us: int
    body_digest: str

    def in_each_class(self, class_names: Iterable[str]) -> list[KeyRecord]:
        """Return a record for each class, since it is not known which one had the index."""
        return [
            KeyRecord(self.tenant, class_name, self.key, self.expires_us, self.body_digest)
            for class_name in class_names
        ]


class KeyBatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The payload of a change or of a snapshot."""

    keys: list[KeyRecord]
    version: int = msgspec.field(default=VERSION, name="v")


class IndexedKeyBatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The payload that `VERSION_BY_CLASS_INDEX` wrote."""

    keys: list[IndexedKeyRecord]
    version: int = msgspec.field(name="v")


class PayloadVersion(msgspec.Struct, frozen=True):
    """The version of a payload, whatever else it holds."""

    version: int = msgspec.field(name="v")


@dataclass(slots=True, frozen=True)
class PendingWrite:
    """A key to write, and a callback for the result."""

    record: KeyRecord
    done: Callable[[bool], None]  # called with whether the write succeeded, on the thread of the log


def _decode(payload: bytes, class_names: Iterable[str]) -> list[KeyRecord]:
    try:
        version = msgspec.json.decode(payload, type=PayloadVersion).version
        if version == VERSION:
            return msgspec.json.decode(payload, type=KeyBatch).keys
        if version == VERSION_BY_CLASS_INDEX:
            indexed_records = msgspec.json.decode(payload, type=IndexedKeyBatch).keys
            return [record for indexed in indexed_records for record in indexed.in_each_class(class_names)]
    except msgspec.MsgspecError as error:
        raise JournalError(f"kept keys: {error}") from None
    raise JournalError(f"kept keys: version {version} is not known here")


def _ignore(succeeded: bool) -> None:
    """Discard the result of a write."""


class KeyLog:
    """The journal of keys. `persist` and `forget` never block; the thread of the log does the writing."""

    def __init__(
        self,
        directory: Directory,
        now_us: Callable[[], int] = lambda: time.time_ns() // 1000,
        class_names: Iterable[str] = (),
    ) -> None:
        """Read the stored keys; `now_us` returns Unix time in microseconds.

        `class_names` are the classes of this start: a key that an earlier version of the program stored
        without the name of its class counts for each of them.

        Raises `JournalError`, and `OSError` if a file can't be read or written.
        """
        self._now_us = now_us
        self._records: dict[IdempotencyKey, KeyRecord] = {}
        self._journal = Journal(directory, self._encode_snapshot)
        self._pending: queue.SimpleQueue[PendingWrite | None] = queue.SimpleQueue()
        recovery = self._journal.recover()
        if recovery.snapshot:
            self._apply(_decode(recovery.snapshot, class_names))
        for change in recovery.changes:
            self._apply(_decode(change.payload, class_names))

    def unexpired(self) -> list[KeyRecord]:
        """Return the keys that have not expired."""
        now_us = self._now_us()
        return [record for record in self._records.values() if record.expires_us > now_us]

    def start(self) -> None:
        """Start the thread."""
        start_thread("key-log", self.run)

    def close(self) -> None:
        """Make the thread stop once it has written the keys that are pending now."""
        self._pending.put(None)

    def persist(
        self, key: IdempotencyKey, until_us: int, digest: bytes, done: Callable[[bool], None]
    ) -> None:
        """Make a key durable until the Unix time `until_us`.

        The thread of the log calls `done` with whether that succeeded.
        """
        self._pending.put(PendingWrite(KeyRecord(*key, until_us, digest.hex()), done))

    def forget(self, key: IdempotencyKey) -> None:
        """Withdraw a key whose request never ran. If the withdrawal is lost, retries of the request fail."""
        self._pending.put(PendingWrite(KeyRecord(*key, WITHDRAWN_US, ""), _ignore))

    def run(self) -> None:
        """Write pending keys until the log is closed. The thread of the log runs this function."""
        while True:
            batch = [self._pending.get()]
            while len(batch) < MAX_KEYS_PER_WRITE and not self._pending.empty():
                batch.append(self._pending.get())
            writes = [write for write in batch if write is not None]
            if writes:
                self._write(writes)
            if None in batch:
                return

    def _write(self, writes: list[PendingWrite]) -> None:
        succeeded = self._append([write.record for write in writes])
        for write in writes:
            write.done(succeeded)

    def _append(self, records: list[KeyRecord]) -> bool:
        try:
            self._journal.append(msgspec.json.encode(KeyBatch(records)))
        except JournalError as error:
            logger.error("state: keys are not durable, keyed requests are rejected: {}", error)
            return False
        self._apply(records)
        self._journal.compact_if_due()
        return True

    def _apply(self, records: Iterable[KeyRecord]) -> None:
        for record in records:
            if record.expires_us == WITHDRAWN_US:
                self._records.pop(record.idempotency_key, None)
            else:
                self._records[record.idempotency_key] = record

    def _encode_snapshot(self) -> bytes:
        self._records = {record.idempotency_key: record for record in self.unexpired()}
        return msgspec.json.encode(KeyBatch(list(self._records.values())))
