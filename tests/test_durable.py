"""State that survives: frames, and a journal whose process and disk fail at any step."""

import json
import random
import threading
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as st
from test_core import CoreHarness

from reelusher.config import ConfigError
from reelusher.config.operator import parse
from reelusher.core.messages import KeyPersisted, Verdict
from reelusher.storage.directory import FolderLockedError, LockedDirectory
from reelusher.storage.frames import HEADER, MAGIC, DamagedFileError, encode, scan
from reelusher.storage.journal import Journal, JournalError
from reelusher.storage.key_log import KeyLog
from reelusher.storage.tenant_state import (
    StoredTenants,
    TenantChange,
    UnreadableStateError,
    read_change,
    read_state,
    write,
)
from reelusher.tenancy.tenant_store import TenantStore, opened

OPERATOR: dict[str, Any] = {
    "classes": [{"name": "day-view", "deadline_ms": 1000}],
    "workers": [{"name": "w1"}],
    "tenants": [{"name": "one", "backend": "w1"}, {"name": "two", "backend": "w1"}],
}


PAYLOADS = st.lists(st.binary(min_size=1, max_size=30).map(lambda data: data + b"!"), min_size=1, max_size=6)


class SimulatedCrashError(Exception):
    """The process has ended."""


class Inode:
    """A file: what it holds, and what of that is on the disk for sure."""

    def __init__(self) -> None:
        self.data, self.synced = bytearray(), b""


class Disk:
    """A disk in memory. It ends the process, or fails, at a step that the test names.

    After a crash, what was not synced is there in part: any prefix of the bytes, its rest zeros or missing,
    and any prefix of the changes to names.
    """

    def __init__(self, crash_at: int = -1, fail_at: int = -1) -> None:
        self.crash_at, self.fail_at, self.steps = crash_at, fail_at, 0
        self.files: dict[str, Inode] = {}
        self.lasting: dict[str, Inode] = {}
        self.changes: list[tuple[str, Inode | None]] = []

    def step(self, what: Any = None) -> None:
        """Count a step; half of the crash points lie before it is done, half after."""
        at, self.steps = self.steps, self.steps + 1
        if at == self.fail_at:
            raise OSError(28, "No space left on device")
        if 2 * at == self.crash_at:
            raise SimulatedCrashError
        if what is not None:
            what()
        if 2 * at + 1 == self.crash_at:
            raise SimulatedCrashError

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self.files[name].data)

    def append(self, name: str, data: bytes, at: int) -> None:
        if name not in self.files:
            self.files[name] = Inode()
            self.changes.append((name, self.files[name]))
        if self.steps == self.fail_at:  # a full disk takes what it has room for
            self.files[name].data[at:] = data[: len(data) // 2]
        self.step(lambda: self.files[name].data.__setitem__(slice(at, at + len(data)), data))

    def cut(self, name: str, size: int) -> None:
        self.step(lambda: self.files[name].data.__delitem__(slice(size, None)))

    def sync(self, name: str) -> None:
        inode = self.files[name]
        self.step(lambda: setattr(inode, "synced", bytes(inode.data)))

    def rename(self, name: str, to: str) -> None:
        def work() -> None:
            inode = self.files[to] = self.files.pop(name)
            self.changes += [(to, inode), (name, None)]

        self.step(work)

    def remove(self, name: str) -> None:
        def work() -> None:
            if self.files.pop(name, None):
                self.changes.append((name, None))

        self.step(work)

    def sync_names(self) -> None:
        def work() -> None:
            self.lasting, self.changes = dict(self.files), []

        self.step(work)

    def restart(self, chance: random.Random) -> "Disk":
        """Return the disk as the next process finds it."""
        after = Disk()
        kept = dict(self.lasting)
        for name, inode in self.changes[: chance.randint(0, len(self.changes))]:
            if inode is None:
                kept.pop(name, None)
            else:
                kept[name] = inode
        for name, inode in kept.items():
            after.files[name] = after.lasting[name] = found = Inode()
            found.data = bytearray(inode.synced)
            if bytes(inode.data) != inode.synced:
                common = len(inode.synced) if inode.data.startswith(inode.synced) else 0
                more = inode.data[common:]
                came = chance.randint(0, len(more))
                grown = chance.choice([0, chance.randint(0, len(more) - came)])
                if common:
                    found.data += more[:came] + bytes(grown)
            found.synced = bytes(found.data)
        return after


class Counted:
    """A state that is the list of its changes, as the journal's user keeps it."""

    def __init__(self, disk: Disk, compact_after: int = 4) -> None:
        self.made: list[str] = []
        self.journal = Journal(disk, lambda: json.dumps(self.made).encode(), compact_after)
        state, changes = self.journal.recover()
        self.made = json.loads(state) if state else []
        self.made += [payload.decode() for _, payload in changes]

    def add(self, text: str) -> None:
        self.journal.append(text.encode())
        self.made.append(text)
        self.journal.compact_if_due()


@pytest.mark.parametrize("compact_after", [1, 3, 100])
def test_whatever_step_a_process_ends_at_nothing_acknowledged_is_lost(compact_after: int) -> None:
    """Every crash point of a life of 12 changes, and a second crash in the life after."""
    whole = Disk()
    life = Counted(whole, compact_after)
    for number in range(12):
        life.add(f"change {number}")
    for crash_at in range(2 * whole.steps):
        for remains in range(3):
            chance = random.Random(1000 * crash_at + remains)
            disk, acknowledged, tried = Disk(crash_at), list[str](), list[str]()
            for second in (-1, chance.randint(0, 40)):
                try:
                    life = Counted(disk, compact_after)
                    assert life.made[: len(acknowledged)] == acknowledged
                    assert life.made in (acknowledged, tried), "whole or not there"
                    acknowledged = list(life.made)  # what was read is there, asked for or not
                    for number in range(12):
                        tried = [*life.made, f"{second} {number}"]
                        life.add(tried[-1])
                        acknowledged = list(life.made)
                except SimulatedCrashError:
                    pass
                disk = disk.restart(chance)
                disk.crash_at = second if second >= 0 else chance.randint(0, 40)
            disk.crash_at = -1
            made = Counted(disk, compact_after).made
            assert made in (acknowledged, tried)


@pytest.mark.parametrize("fail_at", range(60))
def test_a_full_disk_refuses_a_change_and_keeps_all_that_was_acknowledged(fail_at: int) -> None:
    disk = Disk(fail_at=fail_at)
    acknowledged: list[str] = []
    try:
        life = Counted(disk)
    except OSError:
        life = Counted(disk)  # the first journal could not be begun: the next start does it
    refused = 0
    for number in range(12):
        try:
            life.add(f"change {number}")
            acknowledged.append(f"change {number}")
        except JournalError:
            refused += 1
    again = Counted(disk.restart(random.Random(fail_at))).made
    assert [text for text in again if text in acknowledged] == acknowledged
    assert refused <= 1 or life.journal._failed  # after a failed sync it stays closed until a restart


@effort(max_examples=200, derandomize=True, database=None, deadline=None)
@given(PAYLOADS, st.data())
def test_a_flipped_bit_is_refused_with_its_position(payloads: list[bytes], data: st.DataObject) -> None:
    whole = MAGIC + b"".join(encode(number, payload) for number, payload in enumerate(payloads, 1))
    at = data.draw(st.integers(0, len(whole) - 1))
    bad = bytearray(whole)
    bad[at] ^= 1 << data.draw(st.integers(0, 7))
    with pytest.raises(DamagedFileError) as caught:
        scan(bytes(bad), 1)
    assert caught.value.position <= at


@effort(max_examples=200, derandomize=True, database=None, deadline=None)
@given(PAYLOADS, st.data())
def test_a_cut_end_is_told_from_damage_also_where_the_file_grew_before_its_data(
    payloads: list[bytes], data: st.DataObject
) -> None:
    frames = [encode(number, payload) for number, payload in enumerate(payloads, 1)]
    whole, last = MAGIC + b"".join(frames), len(frames[-1])
    cut = data.draw(st.integers(1, last))
    zeros = data.draw(st.integers(0, cut))
    found = scan(whole[:-cut] + bytes(zeros), 1)
    assert [frame.payload for frame in found.frames] == payloads[:-1]
    assert found.end == len(whole) - last
    assert found.torn == last - cut + zeros


def test_frames_with_a_gap_and_files_of_another_kind_are_refused() -> None:
    with pytest.raises(DamagedFileError, match="has the number 3, not 2"):
        scan(MAGIC + encode(1, b"a") + encode(3, b"b"), 1)
    with pytest.raises(DamagedFileError, match="no state file"):
        scan(b'{"tenants": []}')
    with pytest.raises(DamagedFileError, match="the number 5, not 1"):
        scan(MAGIC + encode(5, b"a"), 1)
    assert HEADER.size == 20
    assert scan(MAGIC[:4]).torn == 4


def life_of(disk: Disk, changes: int) -> Disk:
    life = Counted(disk, 4)
    for number in range(changes):
        life.add(f"change {number}")
    return disk


@pytest.mark.parametrize(
    ("lost", "named"),
    [
        ("snapshot-8", "journal-8: snapshot-8, which it goes on from, is missing"),
        ("journal-8", "journal-8: it is missing"),
    ],
)
def test_a_lost_file_is_refused_and_never_replaced_by_an_older_state(lost: str, named: str) -> None:
    disk = life_of(Disk(), 10)
    assert disk.names() == ["journal-4", "journal-8", "snapshot-4", "snapshot-8"]
    del disk.files[lost]
    with pytest.raises(JournalError, match=named):
        Counted(disk)


def test_a_damaged_snapshot_is_refused_with_its_position() -> None:
    disk = life_of(Disk(), 9)
    disk.files["snapshot-8"].data[len(MAGIC) + 25] ^= 4
    with pytest.raises(
        JournalError, match=f"snapshot-8: at byte {len(MAGIC) + 20}: the checksum of a payload"
    ):
        Counted(disk)


def test_a_folder_belongs_to_one_process(tmp_path: Path) -> None:
    first = LockedDirectory(tmp_path / "state")
    with pytest.raises(FolderLockedError, match="in use"):
        LockedDirectory(tmp_path / "state")
    first.close()
    LockedDirectory(tmp_path / "state").close()


def test_the_state_outlives_a_restart_with_its_trail_and_its_revisions(tmp_path: Path) -> None:
    own = parse(OPERATOR)
    names, backends = own.class_names, frozenset({"w1"})
    store = opened(tmp_path / "state", None, own.tenants, names, backends)
    assert list(store.state.tenants) == ["one", "two"]
    store.change("state", "two", "x", state="suspended", key="k1")
    store.change("remove", "one", "x")
    before = store.state
    assert store._journal is not None
    store._journal._disk.close()  # type: ignore[attr-defined]
    again = opened(tmp_path / "state", None, own.tenants, names, backends)
    assert again.state == before
    assert again.state.keys == {"k1": "two"}
    assert [(one.name, state) for one, state in again.tenants(names, backends)] == [("two", "suspended")]
    assert [trail.op for trail in again.state.audit] == ["put", "put", "state", "remove"]


def test_an_old_state_file_is_taken_up_once(tmp_path: Path) -> None:
    own, old = parse(OPERATOR), tmp_path / "tenants.json"
    old.write_text(json.dumps({"tenants": [{"name": "kept", "backend": "w1"}]}))
    backends = frozenset({"w1"})
    store = opened(tmp_path / "tenants.json.d", old, own.tenants, own.class_names, backends)
    assert list(store.state.tenants) == ["kept"]
    assert not old.exists()
    assert (tmp_path / "tenants.json.migrated").exists()
    old.write_text("{")
    with pytest.raises(ConfigError, match=r"admin.state_file"):
        opened(tmp_path / "other.d", old, own.tenants, own.class_names, backends)


@pytest.mark.parametrize(
    ("payload", "named"),
    [
        (b'{"op":"put"}', "name"),
        (b'{"op":"put","name":"a","who":"x","at_ms":1,"v":9}', "version 9"),
        (b'{"op":"put","name":"a","who":"x","at_ms":1,"more":1}', "more"),
        (b"[]", "object"),
        (b"nonsense", "JSON"),
    ],
)
def test_what_this_version_can_not_read_is_named(payload: bytes, named: str) -> None:
    with pytest.raises(UnreadableStateError, match=named):
        read_change(payload)


def test_a_change_that_does_not_follow_from_the_state_is_refused() -> None:
    with pytest.raises(UnreadableStateError, match="'remove' of 'a'"):
        StoredTenants().apply(1, TenantChange("remove", "a", "x", 1))
    state = StoredTenants()
    for number in range(1, 1500):
        state.apply(number, TenantChange("put", "a", "x", 1, {"name": "a"}, key=f"k{number}"))
    assert len(state.audit) == 1000 == len(state.keys)
    assert read_state(write(state)) == state


def test_two_operators_at_once_lose_no_change(tmp_path: Path) -> None:
    store = TenantStore(LockedDirectory(tmp_path / "state"))

    def work(who: str) -> None:
        for number in range(20):
            store.change("put", f"{who}{number}", who, {"name": f"{who}{number}"})

    threads = [threading.Thread(target=work, args=(who,)) for who in "abcd"]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    numbers = sorted(kept.revision for kept in store.state.tenants.values())
    assert numbers == list(range(1, 81))


def world_with(log: KeyLog) -> CoreHarness:
    """Return a core whose keys are durable, with those of the life before."""
    world = CoreHarness()
    for number, line in enumerate(log.live()):
        world.core.keys.restore(line.name, (1 << 40) + number, line.until_us, bytes.fromhex(line.digest))
    world.core.deduplication.key_log = log
    return world


def test_no_keyed_run_begins_before_its_key_is_durable_and_none_again_after_a_restart() -> None:
    now = [CoreHarness().time]
    disk = Disk()
    log = KeyLog(disk, lambda: now[0])
    world = world_with(log)
    world.process(world.request("a", 2, "k"), world.request("b", 2, "other"))
    assert not [said for said in world.backend.said if said[0] == "start"]
    log.close()
    log._work()  # the log's thread has its turn
    world.core.process_batch(list(world.core.next_batch()))  # type: ignore[arg-type]
    assert {said[1] for said in world.backend.said if said[0] == "start"} == {"a", "b"}
    again = world_with(KeyLog(disk.restart(random.Random(1)), lambda: now[0]))  # killed while they run
    again.process(again.request("c", 2, "k"), again.request("d", 2, "new"))
    again.process(later_us=100_000)
    assert again.verdicts("c") == [Verdict.FAILED]
    assert not again.verdicts("d")
    assert not [said for said in again.backend.said if said[0] == "start"]
    now[0] += 40_000_000
    assert KeyLog(disk.restart(random.Random(1)), lambda: now[0]).live() == []


@pytest.mark.parametrize("well", [True, False])
def test_a_keyed_request_answered_before_its_key_is_durable_never_ran(well: bool) -> None:
    world = world_with(KeyLog(Disk(), lambda: 0))
    world.process(world.request("a", 2, "k"))
    if well:
        world.process(later_us=9_000_000)  # past its due time
    number = next(iter(world.core.attempts)).id
    world.process(KeyPersisted(number, well))
    assert len(world.verdicts("a")) == 1
    assert not [said for said in world.backend.said if said[0] == "start"]
    assert not well or world.verdicts("a") == [Verdict.FAILED]
    assert well or world.verdicts("a") == [Verdict.REJECTED]
    assert len(world.core.attempts) == 0
    assert len(world.core.keys) == 0
