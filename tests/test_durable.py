"""Durable state: frames, and a journal whose process and disk fail at any step."""

import json
import random
import threading
from pathlib import Path
from typing import Any

import pytest
from core_harness import CoreHarness
from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as st

from reelusher.config import ConfigError
from reelusher.config.operator import parse
from reelusher.core.messages import KeyPersisted, Verdict
from reelusher.storage.directory import LockedDirectory
from reelusher.storage.errors import (
    DamagedFileError,
    DirectoryLockedError,
    JournalError,
    UnreadableStateError,
)
from reelusher.storage.frames import HEADER, MAGIC, encode_frame, scan_frames
from reelusher.storage.journal import Journal
from reelusher.storage.key_log import KeyLog
from reelusher.storage.tenant_state import (
    ChangeKind,
    StoredTenants,
    TenantChange,
    decode_change,
    decode_state,
    encode,
)
from reelusher.tenancy.tenant_store import TenantStore, open_store

OPERATOR: dict[str, Any] = {
    "classes": [{"name": "day-view", "deadline_ms": 1000}],
    "workers": [{"name": "w1"}],
    "tenants": [{"name": "one", "backend": "w1"}, {"name": "two", "backend": "w1"}],
}


PAYLOADS = st.lists(st.binary(min_size=1, max_size=30).map(lambda data: data + b"!"), min_size=1, max_size=6)


class SimulatedCrashError(Exception):
    """The simulated process has crashed."""


class Inode:
    """A file: its contents, and what of them is durable."""

    def __init__(self) -> None:
        self.data, self.synced = bytearray(), b""


class FaultyDirectory:
    """A directory in memory that crashes the process, or fails, at a given step.

    After a crash, data that was not synced is there in part: any prefix of the bytes, the rest zeros or
    missing, and any prefix of the changes to names.
    """

    def __init__(self, crash_at: int = -1, fail_at: int = -1) -> None:
        self.crash_at, self.fail_at, self.steps = crash_at, fail_at, 0
        self.files: dict[str, Inode] = {}
        self.durable_files: dict[str, Inode] = {}
        self.name_changes: list[tuple[str, Inode | None]] = []

    def step(self, what: Any = None) -> None:
        """Count a step; even crash points lie before it is carried out, odd ones after."""
        at, self.steps = self.steps, self.steps + 1
        if at == self.fail_at:
            raise OSError(28, "No space left on device")
        if 2 * at == self.crash_at:
            raise SimulatedCrashError
        if what is not None:
            what()
        if 2 * at + 1 == self.crash_at:
            raise SimulatedCrashError

    def file_names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self.files[name].data)

    def append(self, name: str, data: bytes, offset: int) -> None:
        if name not in self.files:
            self.files[name] = Inode()
            self.name_changes.append((name, self.files[name]))
        if self.steps == self.fail_at:  # a full disk accepts a part of the data
            self.files[name].data[offset:] = data[: len(data) // 2]
        self.step(lambda: self.files[name].data.__setitem__(slice(offset, offset + len(data)), data))

    def truncate(self, name: str, size: int) -> None:
        self.step(lambda: self.files[name].data.__delitem__(slice(size, None)))

    def sync(self, name: str) -> None:
        inode = self.files[name]
        self.step(lambda: setattr(inode, "synced", bytes(inode.data)))

    def rename(self, name: str, new_name: str) -> None:
        def work() -> None:
            inode = self.files[new_name] = self.files.pop(name)
            self.name_changes += [(new_name, inode), (name, None)]

        self.step(work)

    def remove(self, name: str) -> None:
        def work() -> None:
            if self.files.pop(name, None):
                self.name_changes.append((name, None))

        self.step(work)

    def sync_directory(self) -> None:
        def work() -> None:
            self.durable_files, self.name_changes = dict(self.files), []

        self.step(work)

    def restart(self, rng: random.Random) -> "FaultyDirectory":
        """Return the directory as the next process finds it."""
        after = FaultyDirectory()
        kept = dict(self.durable_files)
        for name, inode in self.name_changes[: rng.randint(0, len(self.name_changes))]:
            if inode is None:
                kept.pop(name, None)
            else:
                kept[name] = inode
        for name, inode in kept.items():
            after.files[name] = after.durable_files[name] = found = Inode()
            found.data = bytearray(inode.synced)
            if bytes(inode.data) != inode.synced:
                common = len(inode.synced) if inode.data.startswith(inode.synced) else 0
                more = inode.data[common:]
                came = rng.randint(0, len(more))
                grown = rng.choice([0, rng.randint(0, len(more) - came)])
                if common:
                    found.data += more[:came] + bytes(grown)
            found.synced = bytes(found.data)
        return after


class JournaledList:
    """A state that is the list of its changes."""

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
    whole = FaultyDirectory()
    journaled = JournaledList(whole, compact_after)
    for number in range(12):
        journaled.add(f"change {number}")
    for crash_at in range(2 * whole.steps):
        for remains in range(3):
            rng = random.Random(1000 * crash_at + remains)
            disk, acknowledged, tried = FaultyDirectory(crash_at), list[str](), list[str]()
            for second in (-1, rng.randint(0, 40)):
                try:
                    journaled = JournaledList(disk, compact_after)
                    assert journaled.items[: len(acknowledged)] == acknowledged
                    assert journaled.items in (acknowledged, tried), "a change is there in part"
                    acknowledged = list(journaled.items)  # what was read stays, acknowledged or not
                    for number in range(12):
                        tried = [*journaled.items, f"{second} {number}"]
                        journaled.add(tried[-1])
                        acknowledged = list(journaled.items)
                except SimulatedCrashError:
                    pass
                disk = disk.restart(rng)
                disk.crash_at = second if second >= 0 else rng.randint(0, 40)
            disk.crash_at = -1
            made = JournaledList(disk, compact_after).items
            assert made in (acknowledged, tried)


@pytest.mark.parametrize("fail_at", range(60))
def test_full_disk_rejects_a_change_and_keeps_acknowledged_ones(fail_at: int) -> None:
    disk = FaultyDirectory(fail_at=fail_at)
    acknowledged: list[str] = []
    try:
        journaled = JournaledList(disk)
    except OSError:
        journaled = JournaledList(disk)  # the first journal could not be created: the next start does it
    refused = 0
    for number in range(12):
        try:
            journaled.add(f"change {number}")
            acknowledged.append(f"change {number}")
        except JournalError:
            refused += 1
    again = JournaledList(disk.restart(random.Random(fail_at))).items
    assert [text for text in again if text in acknowledged] == acknowledged
    assert refused <= 1 or journaled.journal.failure  # after a failed sync it stays closed until a restart


@effort(max_examples=200, derandomize=True, database=None, deadline=None)
@given(PAYLOADS, st.data())
def test_flipped_bit_raises_with_its_position(payloads: list[bytes], data: st.DataObject) -> None:
    whole = MAGIC + b"".join(encode_frame(number, payload) for number, payload in enumerate(payloads, 1))
    at = data.draw(st.integers(0, len(whole) - 1))
    bad = bytearray(whole)
    bad[at] ^= 1 << data.draw(st.integers(0, 7))
    with pytest.raises(DamagedFileError) as caught:
        scan_frames(bytes(bad), 1)
    assert caught.value.position <= at


@effort(max_examples=200, derandomize=True, database=None, deadline=None)
@given(PAYLOADS, st.data())
def test_incomplete_append_is_not_damage_even_if_the_file_grew_before_its_data(
    payloads: list[bytes], data: st.DataObject
) -> None:
    frames = [encode_frame(number, payload) for number, payload in enumerate(payloads, 1)]
    whole, last = MAGIC + b"".join(frames), len(frames[-1])
    cut = data.draw(st.integers(1, last))
    zeros = data.draw(st.integers(0, cut))
    found = scan_frames(whole[:-cut] + bytes(zeros), 1)
    assert [frame.payload for frame in found.frames] == payloads[:-1]
    assert found.end == len(whole) - last
    assert found.incomplete_bytes == last - cut + zeros


def test_gaps_between_frames_and_files_of_another_format_raise() -> None:
    with pytest.raises(DamagedFileError, match="has the number 3, not 2"):
        scan_frames(MAGIC + encode_frame(1, b"a") + encode_frame(3, b"b"), 1)
    with pytest.raises(DamagedFileError, match="no state file"):
        scan_frames(b'{"tenants": []}')
    with pytest.raises(DamagedFileError, match="the number 5, not 1"):
        scan_frames(MAGIC + encode_frame(5, b"a"), 1)
    assert HEADER.size == 20
    assert scan_frames(MAGIC[:4]).incomplete_bytes == 4


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


def test_directory_is_locked_for_other_processes(tmp_path: Path) -> None:
    first = LockedDirectory(tmp_path / "state")
    with pytest.raises(DirectoryLockedError, match="in use"):
        LockedDirectory(tmp_path / "state")
    first.close()
    LockedDirectory(tmp_path / "state").close()


def test_state_survives_a_restart_with_audit_trail_and_revisions(tmp_path: Path) -> None:
    own = parse(OPERATOR)
    names, backends = own.class_names, frozenset({"w1"})
    store = open_store(tmp_path / "state", None, own.tenants, names, backends)
    assert list(store.state.tenants) == ["one", "two"]
    store.change(ChangeKind.SET_STATE, "two", "x", state="suspended", idempotency_key="k1")
    store.change(ChangeKind.REMOVE, "one", "x")
    before = store.state
    assert store.journal is not None
    store.journal._directory.close()  # type: ignore[attr-defined]
    again = open_store(tmp_path / "state", None, own.tenants, names, backends)
    assert again.state == before
    assert again.state.idempotency_keys == {"k1": "two"}
    assert [(one.name, state) for one, state in again.checked_tenants(names, backends)] == [
        ("two", "suspended")
    ]
    assert [entry.kind for entry in again.state.audit] == ["put", "put", "state", "remove"]


def test_old_state_file_is_migrated_once(tmp_path: Path) -> None:
    own, old = parse(OPERATOR), tmp_path / "tenants.json"
    old.write_text(json.dumps({"tenants": [{"name": "kept", "backend": "w1"}]}))
    backends = frozenset({"w1"})
    store = open_store(tmp_path / "tenants.json.d", old, own.tenants, own.class_names, backends)
    assert list(store.state.tenants) == ["kept"]
    assert not old.exists()
    assert (tmp_path / "tenants.json.migrated").exists()
    old.write_text("{")
    with pytest.raises(ConfigError, match=r"admin.state_file"):
        open_store(tmp_path / "other.d", old, own.tenants, own.class_names, backends)


@pytest.mark.parametrize(
    ("payload", "message"),
    [
        (b'{"op":"put"}', "name"),
        (b'{"op":"put","name":"a","who":"x","at_ms":1,"v":9}', "version 9"),
        (b'{"op":"put","name":"a","who":"x","at_ms":1,"more":1}', "more"),
        (b"[]", "object"),
        (b"nonsense", "JSON"),
    ],
)
def test_unreadable_change_raises_with_the_reason(payload: bytes, message: str) -> None:
    with pytest.raises(UnreadableStateError, match=message):
        decode_change(payload)


def test_change_that_does_not_follow_from_the_state_raises() -> None:
    with pytest.raises(UnreadableStateError, match="'remove' of 'a'"):
        StoredTenants().apply(1, TenantChange(ChangeKind.REMOVE, "a", "x", 1))
    state = StoredTenants()
    for number in range(1, 1500):
        state.apply(
            number, TenantChange(ChangeKind.PUT, "a", "x", 1, {"name": "a"}, idempotency_key=f"k{number}")
        )
    assert len(state.audit) == 1000 == len(state.idempotency_keys)
    assert decode_state(encode(state)) == state


def test_concurrent_changes_are_all_made(tmp_path: Path) -> None:
    store = TenantStore(LockedDirectory(tmp_path / "state"))

    def work(who: str) -> None:
        for number in range(20):
            store.change(ChangeKind.PUT, f"{who}{number}", who, {"name": f"{who}{number}"})

    threads = [threading.Thread(target=work, args=(who,)) for who in "abcd"]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    numbers = sorted(kept.revision for kept in store.state.tenants.values())
    assert numbers == list(range(1, 81))


def core_with(log: KeyLog) -> CoreHarness:
    """Return a core with durable keys, restored from a log."""
    harness = CoreHarness()
    for number, record in enumerate(log.unexpired()):
        harness.core.keys.restore(
            record.idempotency_key, (1 << 40) + number, record.expires_us, bytes.fromhex(record.body_digest)
        )
    harness.core.deduplication.key_log = log
    return harness


def test_keyed_run_starts_after_its_key_is_durable_and_not_again_after_a_restart() -> None:
    now = [CoreHarness().time]
    disk = FaultyDirectory()
    log = KeyLog(disk, lambda: now[0])
    harness = core_with(log)
    harness.process(harness.request("a", 2, "k"), harness.request("b", 2, "other"))
    assert not [command for command in harness.backend.commands if command[0] == "start"]
    log.close()
    log.run()  # in place of its thread
    harness.core.process_batch(list(harness.core.next_batch()))  # type: ignore[arg-type]
    assert {command[1] for command in harness.backend.commands if command[0] == "start"} == {"a", "b"}
    again = core_with(KeyLog(disk.restart(random.Random(1)), lambda: now[0]))  # crashed while they run
    again.process(again.request("c", 2, "k"), again.request("d", 2, "new"))
    again.process(later_us=100_000)
    assert again.verdicts("c") == [Verdict.FAILED]
    assert not again.verdicts("d")
    assert not [command for command in again.backend.commands if command[0] == "start"]
    now[0] += 40_000_000
    assert KeyLog(disk.restart(random.Random(1)), lambda: now[0]).unexpired() == []


@pytest.mark.parametrize("succeeded", [True, False])
def test_keyed_request_answered_before_its_key_is_durable_never_ran(succeeded: bool) -> None:
    harness = core_with(KeyLog(FaultyDirectory(), lambda: 0))
    harness.process(harness.request("a", 2, "k"))
    if succeeded:
        harness.process(later_us=9_000_000)  # past its due time
    number = next(iter(harness.core.attempts)).id
    harness.process(KeyPersisted(number, succeeded))
    assert len(harness.verdicts("a")) == 1
    assert not [command for command in harness.backend.commands if command[0] == "start"]
    assert not succeeded or harness.verdicts("a") == [Verdict.FAILED]
    assert succeeded or harness.verdicts("a") == [Verdict.REJECTED]
    assert len(harness.core.attempts) == 0
    assert len(harness.core.keys) == 0
