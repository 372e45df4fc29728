"""Keys of effects that survive a restart: none runs before its key is on the disk.

A thread of its own writes what the owner hands it, all that waits in one sync, and tells when that is done;
the owner starts a run only then. After a restart inside the window a repeat finds that its request may have
run, and is failed: what it came to is not kept.
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
from reelusher.storage.journal import Journal, JournalError

MOST_BATCH = 500  # keys in one write
VERSION = 1


class KeyRecord(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One key, as it is written. `until_us` 0: it never ran, and is forgotten."""

    tenant: str
    kind: int
    key: str
    until_us: int  # Unix time
    digest: str  # hexadecimal, of the body

    @property
    def name(self) -> IdempotencyKey:
        """Return the key as the table of keys has it."""
        return self.tenant, self.kind, self.key


class KeyBatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The payload of a change, or of a snapshot."""

    keys: list[KeyRecord]
    v: int = VERSION


@dataclass(slots=True, frozen=True)
class PendingWrite:
    """A key that is to be durable, and who wants to know."""

    line: KeyRecord
    done: Callable[[bool], None]  # called in the log's thread


def _read(payload: bytes) -> KeyBatch:
    try:
        made = msgspec.json.decode(payload, type=KeyBatch)
    except msgspec.MsgspecError as error:
        raise JournalError(f"kept keys: {error}") from None
    if made.v != VERSION:
        raise JournalError(f"kept keys: version {made.v} is not known here")
    return made


class KeyLog:
    """The journal of keys. `keep` and `forget` never block; all else is done by its thread."""

    def __init__(self, disk: Directory, now_us: Callable[[], int] = lambda: time.time_ns() // 1000) -> None:
        """Read the keys that are there; raises `JournalError`."""
        self._now_us = now_us
        self._live: dict[IdempotencyKey, KeyRecord] = {}
        self._journal = Journal(disk, self._snapshot)
        self._asked: queue.SimpleQueue[PendingWrite | None] = queue.SimpleQueue()
        snapshot, changes = self._journal.recover()
        for payload in ([snapshot] if snapshot else []) + [payload for _, payload in changes]:
            self._apply(_read(payload).keys)

    def live(self) -> list[KeyRecord]:
        """Return the keys whose window is not over."""
        now = self._now_us()
        return [line for line in self._live.values() if line.until_us > now]

    def start(self) -> None:
        """Start the thread."""
        start_thread("key-log", self._work)

    def close(self) -> None:
        """Let the thread end after what it was asked by now."""
        self._asked.put(None)

    def persist(
        self, key: IdempotencyKey, until_us: int, digest: bytes, done: Callable[[bool], None]
    ) -> None:
        """Make a key durable; `done` hears whether it is, from another thread."""
        self._asked.put(PendingWrite(KeyRecord(*key, until_us, digest.hex()), done))

    def forget(self, key: IdempotencyKey) -> None:
        """Note that a key never ran after all. Should that be lost, its repeats are failed, no more."""
        self._asked.put(PendingWrite(KeyRecord(*key, 0, ""), lambda well: None))

    def _work(self) -> None:
        while True:
            batch = [self._asked.get()]
            while len(batch) < MOST_BATCH and not self._asked.empty():
                batch.append(self._asked.get())
            asked = [one for one in batch if one is not None]
            if asked:
                well = self._write([one.line for one in asked])
                for one in asked:
                    one.done(well)
            if None in batch:
                return

    def _write(self, lines: list[KeyRecord]) -> bool:
        try:
            self._journal.append(msgspec.json.encode(KeyBatch(lines)))
        except JournalError as error:
            logger.error("state: keys are not durable, nothing keyed is run: {}", error)
            return False
        self._apply(lines)
        self._journal.compact_if_due()
        return True

    def _apply(self, lines: Iterable[KeyRecord]) -> None:
        for line in lines:
            if line.until_us:
                self._live[line.name] = line
            else:
                self._live.pop(line.name, None)

    def _snapshot(self) -> bytes:
        self._live = {line.name: line for line in self.live()}
        return msgspec.json.encode(KeyBatch(list(self._live.values())))
