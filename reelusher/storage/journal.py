"""A write-ahead journal of changes with snapshots: acknowledged changes survive a crash.

    snapshot-N   one frame, numbered N: the state after change N
    journal-N    frames N+1, N+2, …: the changes after snapshot-N

A change is written and synced before it is acknowledged. After a number of changes or bytes, a new journal is
created; then a snapshot is written to a temporary file, synced and renamed, and files older than the previous
snapshot are removed. So a snapshot always has its journal, and a journal without its snapshot is empty
(except journal-0, which begins with no state), unless a file was lost.

Recovery reads the newest snapshot and all changes after it. The previous snapshot is kept for recovery by
hand in case the disk damages the newest one; it is never used automatically, because acknowledged changes
would be lost.
"""

import re
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from reelusher.storage.directory import Directory
from reelusher.storage.errors import DamagedFileError, JournalError
from reelusher.storage.frames import MAGIC, Frame, ScanResult, encode_frame, scan_frames

FILE_NAME = re.compile(r"(snapshot|journal)-(\d{1,19})")
UNFINISHED_SNAPSHOT = "snapshot.new"  # name of a snapshot until it is complete and renamed
COMPACT_AFTER_CHANGES = 1000  # changes since the last snapshot
COMPACT_AFTER_BYTES = 1 << 22  # size of the journal


class Recovery(NamedTuple):
    """The stored state: the newest snapshot and the changes after it."""

    snapshot: bytes | None  # its payload; None before the first one was written
    changes: list[Frame]  # changes after the snapshot


class Journal:
    """The journal of one directory. Not thread-safe. Payloads must not end in a zero byte."""

    def __init__(
        self,
        directory: Directory,
        encode_snapshot: Callable[[], bytes],
        compact_after: int = COMPACT_AFTER_CHANGES,
    ) -> None:
        """`encode_snapshot` returns the current state as a payload. `compact_after`: a number of changes."""
        self._directory = directory
        self._encode_snapshot = encode_snapshot
        self._compact_after = compact_after
        self._snapshot_number = 0  # number of the last change in the newest snapshot
        self._journal_bytes = 0
        self._changes_since_snapshot = 0  # or since the last attempt to write one
        self._bytes_at_failed_snapshot = 0  # size of the journal at the last attempt that failed
        self.failure = ""  # why the journal accepts no more changes; "" while it accepts them
        self.number = 0  # number of the last change

    # Recovery

    def recover(self) -> Recovery:
        """Read the newest snapshot, if any, and the changes after it; truncate an incomplete append.

        Raises `JournalError`, and `OSError` if a file can't be read or written.
        """
        snapshots, journals = self._file_numbers()
        snapshot = None
        if snapshots:
            self._snapshot_number = snapshots[-1]
            snapshot = self._read_snapshot()
        for number in journals:
            if number > self._snapshot_number and self._scan(f"journal-{number}", number + 1).frames:
                raise JournalError(f"journal-{number}: snapshot-{number}, which it goes on from, is missing")
        if self._snapshot_number not in journals and (snapshots or journals):
            number = self._snapshot_number
            raise JournalError(f"journal-{number}: it is missing, with the changes since snapshot-{number}")
        changes = self._read_journal() if journals else []
        if self._journal_bytes < len(MAGIC):
            self._create(self._snapshot_number)
            self._journal_bytes = len(MAGIC)
        self.number = self._snapshot_number + len(changes)
        return Recovery(snapshot, changes)

    def _create(self, number: int) -> None:
        """Create an empty journal, durably."""
        name = f"journal-{number}"
        self._directory.append(name, MAGIC, 0)
        self._directory.truncate(name, len(MAGIC))
        self._directory.sync(name)
        self._directory.sync_directory()

    def _scan(self, name: str, first_number: int) -> ScanResult:
        try:
            return scan_frames(self._directory.read(name), first_number)
        except DamagedFileError as error:
            raise JournalError(f"{name}: {error}") from None

    def _file_numbers(self) -> tuple[list[int], list[int]]:
        found: dict[str, list[int]] = {"snapshot": [], "journal": []}
        for name in self._directory.file_names():
            match = FILE_NAME.fullmatch(name)
            if match:
                found[match[1]].append(int(match[2]))
        return sorted(found["snapshot"]), sorted(found["journal"])

    def _read_snapshot(self) -> bytes:
        name = f"snapshot-{self._snapshot_number}"
        result = self._scan(name, self._snapshot_number)
        if len(result.frames) != 1 or result.incomplete_bytes:  # it was synced before it was renamed
            raise JournalError(
                f"{name}: at byte {result.end}: it holds {len(result.frames)} whole frames, not one"
            )
        return result.frames[0].payload

    def _read_journal(self) -> list[Frame]:
        name = self._journal_name
        result = self._scan(name, self._snapshot_number + 1)
        if result.incomplete_bytes:
            logger.warning(
                "state: {}: truncated {} bytes at byte {} of a change that was never acknowledged",
                name,
                result.incomplete_bytes,
                result.end,
            )
            self._directory.truncate(name, result.end)
            self._directory.sync(name)
        self._journal_bytes = result.end
        self._changes_since_snapshot = len(result.frames)
        return list(result.frames)

    # Changes

    @property
    def _journal_name(self) -> str:
        return f"journal-{self._snapshot_number}"

    def append(self, payload: bytes) -> int:
        """Make a change durable and return its number. Raises `JournalError` if that fails.

        A write that fails, for example on a full disk, is undone, and the next may succeed. If the undo or a
        sync fails, the contents of the disk are unknown: the journal then accepts no more changes until a
        restart has read it again.
        """
        if self.failure:
            raise JournalError(self.failure)
        try:
            data = encode_frame(self.number + 1, payload)
        except ValueError as error:
            raise JournalError(f"{self._journal_name}: {error}") from None
        try:
            self._directory.append(self._journal_name, data, self._journal_bytes)
        except OSError as error:
            self._undo_append(error)
            raise JournalError(f"{self._journal_name}: at byte {self._journal_bytes}: {error}") from None
        try:
            self._directory.sync(self._journal_name)
        except OSError as error:
            self.failure = f"{self._journal_name}: a sync failed, the state is closed to changes: {error}"
            logger.error("state: {}", self.failure)
            raise JournalError(self.failure) from None
        self._journal_bytes += len(data)
        self.number += 1
        self._changes_since_snapshot += 1
        return self.number

    def _undo_append(self, error: OSError) -> None:
        try:
            self._directory.truncate(self._journal_name, self._journal_bytes)
        except OSError as undo_error:
            self.failure = (
                f"{self._journal_name}: a write failed ({error}) and could not be taken back, the "
                f"state is closed to changes: {undo_error}"
            )
            logger.error("state: {}", self.failure)

    # Snapshots

    def compact_if_due(self) -> bool:
        """Write a snapshot after enough changes or bytes since the last; return whether one was written.

        A failure does no harm: changes continue in the current journal, and the snapshot is retried after as
        many changes or bytes again. The exception is a rename that may have taken effect, but may not be
        durable: the journal then accepts no more changes.
        """
        added_bytes = self._journal_bytes - self._bytes_at_failed_snapshot
        due = self._changes_since_snapshot >= self._compact_after or added_bytes >= COMPACT_AFTER_BYTES
        return due and not self.failure and self.compact()

    def compact(self) -> bool:
        """Write a snapshot of the current state and start a new journal; return whether that succeeded.

        Raises nothing: a failure is logged.
        """
        number = self.number
        try:
            self._prepare_snapshot(number)
        except (OSError, ValueError) as error:  # ValueError: the state is too large for one frame
            self._abandon_snapshot(number, error)
            return False
        try:
            self._directory.rename(UNFINISHED_SNAPSHOT, f"snapshot-{number}")
            self._directory.sync_directory()
        except OSError as error:
            self._on_rename_failure(number, error)
            return False
        previous, self._snapshot_number = self._snapshot_number, number
        self._journal_bytes, self._changes_since_snapshot = len(MAGIC), 0
        self._bytes_at_failed_snapshot = 0
        try:
            self._remove_older(previous)
        except OSError as error:  # old files only take space, and are removed after the next snapshot
            logger.warning("state: removing old files failed: {}", error)
        return True

    def _prepare_snapshot(self, number: int) -> None:
        """Write an unfinished snapshot and the empty journal after it. Raises OSError or ValueError."""
        data = MAGIC + encode_frame(number, self._encode_snapshot())
        if number != self._snapshot_number:
            self._create(number)
        self._directory.remove(UNFINISHED_SNAPSHOT)  # left by an earlier attempt
        self._directory.append(UNFINISHED_SNAPSHOT, data, 0)
        self._directory.sync(UNFINISHED_SNAPSHOT)

    def _on_rename_failure(self, number: int, error: OSError) -> None:
        """Accept no more changes, unless it is certain that a restart would read the current journal."""
        try:
            may_be_renamed = f"snapshot-{number}" in self._directory.file_names()
        except OSError:
            may_be_renamed = True
        if not may_be_renamed:
            self._abandon_snapshot(number, error)
            return
        self.failure = f"snapshot-{number}: its name may not last, the state is closed to changes: {error}"
        logger.error("state: {}", self.failure)

    def _abandon_snapshot(self, number: int, error: Exception) -> None:
        """Go on with the current journal after a snapshot that failed, and remove the one prepared for it."""
        logger.warning("state: snapshot failed: {}", error)
        self._changes_since_snapshot = 0
        self._bytes_at_failed_snapshot = self._journal_bytes
        if number == self._snapshot_number:
            return
        try:
            self._directory.remove(f"journal-{number}")
        except OSError as removal_error:  # it is empty, and is removed after the next snapshot
            logger.warning("state: removing an unused journal failed: {}", removal_error)

    def _remove_older(self, previous: int) -> None:
        snapshots, journals = self._file_numbers()
        for number in journals:
            if number < previous:
                self._directory.remove(f"journal-{number}")
        for number in snapshots:
            if number < previous:
                self._directory.remove(f"snapshot-{number}")
