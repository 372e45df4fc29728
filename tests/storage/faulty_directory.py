"""A directory in memory that crashes the process, or fails, at a given step."""

import random
from typing import Any


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
