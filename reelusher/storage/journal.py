"""A journal of changes with snapshots: what is acknowledged is on the disk, whatever ends the process.

    snapshot-N   one frame, numbered N: the state after change N
    journal-N    frames N+1, N+2, …: the changes since

A change is written and synced, then acknowledged. After enough of them the next journal is begun, a snapshot
is written under another name, synced, and renamed, and what is older than the last snapshot but one goes. So
a snapshot always has its journal, and a journal without its snapshot is empty, unless a file was lost.

Recovery takes the newest snapshot and every change after it. The one before stays, so that a newest snapshot
that a disk has damaged leaves something to go back to by hand; nothing goes back by itself, because changes
that were acknowledged would be lost.
"""

import re
from collections.abc import Callable

from loguru import logger

from reelusher.storage.directory import Directory
from reelusher.storage.frames import MAGIC, DamagedFileError, Scan, encode, scan

NAME = re.compile(r"(snapshot|journal)-(\d{1,19})")
FRESH = "snapshot.new"
COMPACT_AFTER = 1000  # changes since the last snapshot
COMPACT_BYTES = 1 << 22  # of them


class JournalError(Exception):
    """The state can't be read, or can't be changed any more; the text names file and position."""


class Journal:
    """One folder's journal; a thread at a time. `payload`s are bytes that end in one that is not zero."""

    def __init__(
        self, disk: Directory, state: Callable[[], bytes], compact_after: int = COMPACT_AFTER
    ) -> None:
        """`state` returns the state as it is now, for snapshots."""
        self._disk = disk
        self._state = state
        self._compact_after = compact_after
        self._base = 0  # of the newest snapshot
        self._size = 0  # of the journal
        self._changes: list[int] = []  # sizes of frames since the snapshot
        self._failed = ""  # why nothing more can be written
        self.number = 0  # of the last change

    # Recovery

    def recover(self) -> tuple[bytes | None, list[tuple[int, bytes]]]:
        """Read what is there: the snapshot, if any, and the changes after it. Raises `JournalError`."""
        snapshots, journals = self._found()
        state = None
        if snapshots:
            self._base = snapshots[-1]
            state = self._read_snapshot(f"snapshot-{self._base}", self._base)
        for number in journals:
            if number > self._base and self._scan(f"journal-{number}", number + 1).frames:
                raise JournalError(f"journal-{number}: snapshot-{number}, which it goes on from, is missing")
        if self._base not in journals and (snapshots or journals):
            raise JournalError(
                f"journal-{self._base}: it is missing, with the changes since snapshot-{self._base}"
            )
        changes = self._read_journal() if journals else []
        if self._size < len(MAGIC):
            self._begin(self._base)
            self._size = len(MAGIC)
        self.number = self._base + len(changes)
        return state, changes

    def _begin(self, number: int) -> None:
        """Make an empty journal, durable."""
        name = f"journal-{number}"
        self._disk.append(name, MAGIC, 0)
        self._disk.cut(name, len(MAGIC))
        self._disk.sync(name)
        self._disk.sync_names()

    def _scan(self, name: str, first: int) -> Scan:
        try:
            return scan(self._disk.read(name), first)
        except DamagedFileError as error:
            raise JournalError(f"{name}: {error}") from None

    def _found(self) -> tuple[list[int], list[int]]:
        found: dict[str, list[int]] = {"snapshot": [], "journal": []}
        for name in self._disk.names():
            fits = NAME.fullmatch(name)
            if fits:
                found[fits[1]].append(int(fits[2]))
        return sorted(found["snapshot"]), sorted(found["journal"])

    def _read_snapshot(self, name: str, number: int) -> bytes:
        read = self._scan(name, number)
        if len(read.frames) != 1 or read.torn:  # it was synced before it got its name
            raise JournalError(
                f"{name}: at byte {read.end}: it holds {len(read.frames)} whole frames, not one"
            )
        return read.frames[0].payload

    def _read_journal(self) -> list[tuple[int, bytes]]:
        name = self._journal
        read = self._scan(name, self._base + 1)
        if read.torn:
            logger.warning(
                "state: {}: {} bytes at byte {} are of a change that was never acknowledged, "
                "they are cut off",
                name,
                read.torn,
                read.end,
            )
            self._disk.cut(name, read.end)
            self._disk.sync(name)
        self._size = read.end
        self._changes = [len(frame.payload) for frame in read.frames]
        return [(frame.number, frame.payload) for frame in read.frames]

    # Changes

    @property
    def _journal(self) -> str:
        return f"journal-{self._base}"

    def append(self, payload: bytes) -> int:
        """Make a change durable and return its number. Raises `JournalError`: then it was not made.

        A write that fails (a full disk) is taken back, and the next may go well. Where that fails too, or a
        sync fails, what the disk holds is not known: the journal is then closed to changes until a restart
        has read it again.
        """
        if self._failed:
            raise JournalError(self._failed)
        data = encode(self.number + 1, payload)
        try:
            self._disk.append(self._journal, data, self._size)
        except OSError as error:
            self._take_back(error)
            raise JournalError(f"{self._journal}: at byte {self._size}: {error}") from None
        try:
            self._disk.sync(self._journal)
        except OSError as error:
            self._failed = f"{self._journal}: a sync failed, the state is closed to changes: {error}"
            logger.error("state: {}", self._failed)
            raise JournalError(self._failed) from None
        self._size += len(data)
        self.number += 1
        self._changes.append(len(payload))
        return self.number

    def _take_back(self, error: OSError) -> None:
        try:
            self._disk.cut(self._journal, self._size)
        except OSError as second:
            self._failed = (
                f"{self._journal}: a write failed ({error}) and could not be taken back, the "
                f"state is closed to changes: {second}"
            )
            logger.error("state: {}", self._failed)

    # Snapshots

    def compact_if_due(self) -> bool:
        """Write a snapshot once there are enough changes since the last; True where one was written.

        One that fails is no harm: changes go on into the journal there is, and it is tried again later.
        """
        due = len(self._changes) >= self._compact_after or self._size >= COMPACT_BYTES
        return due and not self._failed and self.compact()

    def compact(self) -> bool:
        """Write a snapshot of the state as it is now and begin a new journal."""
        number = self.number
        try:
            data = MAGIC + encode(number, self._state())
            if number != self._base:
                self._begin(number)
            self._disk.remove(FRESH)  # of a try before
            self._disk.append(FRESH, data, 0)
            self._disk.sync(FRESH)
            self._disk.rename(FRESH, f"snapshot-{number}")
            self._disk.sync_names()
        except OSError as error:
            logger.warning("state: no snapshot: {}", error)
            if f"snapshot-{number}" in self._disk.names():  # renamed, and not known to stay so
                self._failed = f"snapshot-{number}: its name may not last: {error}"
            else:
                self._changes.clear()  # try again after as many more
            return False
        before, self._base, self._size, self._changes = self._base, number, len(MAGIC), []
        try:
            self._forget(before)
        except OSError as error:  # what is too old is only in the way, and goes another time
            logger.warning("state: old files stay: {}", error)
        return True

    def _forget(self, before: int) -> None:
        snapshots, journals = self._found()
        for number in journals:
            if number < before:
                self._disk.remove(f"journal-{number}")
        for number in snapshots:
            if number < before:
                self._disk.remove(f"snapshot-{number}")
