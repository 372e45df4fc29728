"""The journal: crashes and disk faults at any step, lost and damaged files."""

import json
import random

import pytest

from reelusher.storage import frames, journal
from reelusher.storage.errors import JournalError
from reelusher.storage.frames import MAGIC
from reelusher.storage.journal import Journal
from storage.faulty_directory import FaultyDirectory, SimulatedCrashError


class JournaledList:
    """A state that consists of its changes, in the order in which they were made."""

    def __init__(self, disk: FaultyDirectory, compact_after: int = 4) -> None:
        self.items: list[str] = []
        self.journal = Journal(disk, lambda: json.dumps(self.items).encode(), compact_after)
        state, changes = self.journal.recover()
        self.items = json.loads(state) if state else []
        self.items += [change.payload.decode() for change in changes]

    def add(self, text: str) -> None:
        self.journal.append(text.encode())
        self.items.append(text)
        self.journal.compact_if_due()


@pytest.mark.parametrize("compact_after", [1, 3, 100])
def test_acknowledged_changes_survive_a_crash_at_any_step(compact_after: int) -> None:
    """Every crash point of a process that makes 12 changes, and a second crash in the next process."""
    uncrashed = FaultyDirectory()
    journaled = JournaledList(uncrashed, compact_after)
    for number in range(12):
        journaled.add(f"change {number}")
    for crash_at in range(2 * uncrashed.steps):
        for repeat in range(3):
            rng = random.Random(1000 * crash_at + repeat)
            disk, acknowledged, attempted = FaultyDirectory(crash_at), list[str](), list[str]()
            for second_crash in (-1, rng.randint(0, 40)):
                try:
                    journaled = JournaledList(disk, compact_after)
                    assert journaled.items[: len(acknowledged)] == acknowledged
                    assert journaled.items in (acknowledged, attempted), "a change was recovered in part"
                    acknowledged = list(journaled.items)  # a recovered change stays, acknowledged or not
                    for number in range(12):
                        attempted = [*journaled.items, f"{second_crash} {number}"]
                        journaled.add(attempted[-1])
                        acknowledged = list(journaled.items)
                except SimulatedCrashError:
                    pass
                disk = disk.restart(rng)
                disk.crash_at = second_crash if second_crash >= 0 else rng.randint(0, 40)
            disk.crash_at = -1
            recovered = JournaledList(disk, compact_after).items
            assert recovered in (acknowledged, attempted)


@pytest.mark.parametrize("fail_at", range(60))
def test_full_disk_rejects_a_change_and_keeps_acknowledged_ones(fail_at: int) -> None:
    disk = FaultyDirectory(fail_at=fail_at)
    acknowledged: list[str] = []
    try:
        journaled = JournaledList(disk)
    except OSError:
        journaled = JournaledList(disk)  # the first start could not create the journal, the second one does
    rejected = 0
    for number in range(12):
        try:
            journaled.add(f"change {number}")
            acknowledged.append(f"change {number}")
        except JournalError:
            rejected += 1
    recovered = JournaledList(disk.restart(random.Random(fail_at))).items
    assert [text for text in recovered if text in acknowledged] == acknowledged
    assert rejected <= 1 or journaled.journal.failure  # after a failed sync it rejects all until a restart


def directory_with(disk: FaultyDirectory, changes: int) -> FaultyDirectory:
    journaled = JournaledList(disk, 4)
    for number in range(changes):
        journaled.add(f"change {number}")
    return disk


@pytest.mark.parametrize(
    ("lost", "message"),
    [
        ("snapshot-8", "journal-8: snapshot-8, which it goes on from, is missing"),
        ("journal-8", "journal-8: it is missing"),
    ],
)
def test_lost_file_raises_and_is_never_replaced_by_an_older_state(lost: str, message: str) -> None:
    disk = directory_with(FaultyDirectory(), 10)
    assert disk.file_names() == ["journal-4", "journal-8", "snapshot-4", "snapshot-8"]
    del disk.files[lost]
    with pytest.raises(JournalError, match=message):
        JournaledList(disk)


def test_damaged_snapshot_raises_with_its_position() -> None:
    disk = directory_with(FaultyDirectory(), 9)
    disk.files["snapshot-8"].data[len(MAGIC) + 25] ^= 4
    with pytest.raises(
        JournalError, match=f"snapshot-8: at byte {len(MAGIC) + 20}: the checksum of a payload"
    ):
        JournaledList(disk)


class SnapshotFaults(FaultyDirectory):
    """A disk on which each operation on a snapshot fails, and optionally the listing of files too."""

    def __init__(self, failing_operation: str, listing_fails: bool = False) -> None:
        super().__init__()
        self.failing_operation, self.listing_fails, self.snapshots_begun = failing_operation, listing_fails, 0

    def fail_for(self, operation: str, name: str) -> None:
        if name.startswith("snapshot") and operation == self.failing_operation:
            raise OSError(5, "Input/output error")

    def file_names(self) -> list[str]:
        if self.listing_fails and self.snapshots_begun:
            raise OSError(5, "Input/output error")
        return super().file_names()

    def append(self, name: str, data: bytes, offset: int) -> None:
        self.snapshots_begun += name.startswith("snapshot")
        self.fail_for("append", name)
        super().append(name, data, offset)

    def sync(self, name: str) -> None:
        self.fail_for("sync", name)
        super().sync(name)

    def rename(self, name: str, new_name: str) -> None:
        self.fail_for("rename", name)
        super().rename(name, new_name)


@pytest.mark.parametrize("operation", ["append", "sync", "rename"])
def test_snapshot_that_fails_while_files_can_not_be_listed_raises_nothing(operation: str) -> None:
    """Guard against an exception of the error handling: it ended the thread that made keys durable."""
    journaled = JournaledList(SnapshotFaults(operation, listing_fails=True))
    for number in range(4):
        journaled.add(f"change {number}")
    if operation != "rename":  # the old journal is surely the one that a restart reads
        journaled.add("accepted")
        return
    with pytest.raises(JournalError, match="snapshot-4"):
        journaled.add("refused")


def test_state_too_large_for_a_snapshot_raises_nothing_and_accepts_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a ValueError of the encoder: it ended the thread that made keys durable."""
    disk = FaultyDirectory()
    journaled = JournaledList(disk)
    monkeypatch.setattr(frames, "MAX_PAYLOAD_BYTES", 40)
    for number in range(12):
        journaled.add(f"change {number}")
    assert JournaledList(disk.restart(random.Random(1))).items == journaled.items
    with pytest.raises(JournalError, match="a payload of 41 bytes, 40 at most"):
        journaled.add("x" * 41)
    assert not journaled.journal.failure


@pytest.mark.parametrize("operation", ["append", "sync", "rename"])
def test_failed_snapshot_of_a_large_journal_is_not_repeated_at_each_change(
    operation: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a new file, with an open descriptor, and a whole snapshot for each further change."""
    monkeypatch.setattr(journal, "COMPACT_AFTER_BYTES", 400)
    disk = SnapshotFaults(operation)
    journaled = JournaledList(disk, compact_after=1000)
    for number in range(30):  # the journal reaches 400 bytes twice
        journaled.add(f"change {number}")
    assert disk.snapshots_begun <= 30 * 40 // 400
    assert [name for name in disk.file_names() if name != "snapshot.new"] == ["journal-0"]
    disk.failing_operation = ""  # the disk has space again
    for number in range(30):
        journaled.add(f"later {number}")
    assert any(name.startswith("snapshot-") for name in disk.file_names())
    assert JournaledList(disk.restart(random.Random(1))).items == journaled.items
