"""Fault injection for stored state: a directory in memory that crashes or fails at a given step."""

import random
from typing import Any


class SimulatedCrashError(Exception):
    """The simulated process has crashed."""


class Inode:
    """A file: its contents, and the contents as of the last sync."""

    def __init__(self) -> None:
        self.data, self.synced = bytearray(), b""


class FaultyDirectory:
    """A directory in memory. At a given step, it simulates a crash of the process, or a call fails.

    Unsynced changes survive a crash in part: a random prefix of the unsynced data, with the rest missing or
    zeros, and a random prefix of the changes to names. A file that was never synced is empty, and a file in
    which synced bytes were changed has its synced contents.
    """

    def __init__(self, crash_at: int = -1, fail_at: int = -1) -> None:
        self.crash_at, self.fail_at, self.steps = crash_at, fail_at, 0
        self.files: dict[str, Inode] = {}
        self.durable_files: dict[str, Inode] = {}
        self.name_changes: list[tuple[str, Inode | None]] = []

    def step(self, operation: Any = None) -> None:
        """Count a step and carry it out; even crash points are before its operation, odd ones after it."""
        number, self.steps = self.steps, self.steps + 1
        if number == self.fail_at:
            raise OSError(28, "No space left on device")
        if 2 * number == self.crash_at:
            raise SimulatedCrashError
        if operation is not None:
            operation()
        if 2 * number + 1 == self.crash_at:
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
        def operation() -> None:
            inode = self.files[new_name] = self.files.pop(name)
            self.name_changes += [(new_name, inode), (name, None)]

        self.step(operation)

    def remove(self, name: str) -> None:
        def operation() -> None:
            if self.files.pop(name, None):
                self.name_changes.append((name, None))

        self.step(operation)

    def sync_directory(self) -> None:
        def operation() -> None:
            self.durable_files, self.name_changes = dict(self.files), []

        self.step(operation)

    def restart(self, rng: random.Random) -> "FaultyDirectory":
        """Return the directory as the next process finds it after a crash."""
        restarted = FaultyDirectory()
        surviving = dict(self.durable_files)
        for name, inode in self.name_changes[: rng.randint(0, len(self.name_changes))]:
            if inode is None:
                surviving.pop(name, None)
            else:
                surviving[name] = inode
        for name, inode in surviving.items():
            restarted.files[name] = restarted.durable_files[name] = found = Inode()
            found.data = bytearray(inode.synced)
            if bytes(inode.data) != inode.synced:
                synced_bytes = len(inode.synced) if inode.data.startswith(inode.synced) else 0
                unsynced = inode.data[synced_bytes:]
                written_bytes = rng.randint(0, len(unsynced))
                zero_bytes = rng.choice([0, rng.randint(0, len(unsynced) - written_bytes)])
                if synced_bytes:
                    found.data += unsynced[:written_bytes] + bytes(zero_bytes)
            found.synced = bytes(found.data)
        return restarted
