"""The few calls by which state reaches a disk, so that tests can end the process between any two of them."""

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Protocol


class Directory(Protocol):
    """A folder of files. Each call may raise OSError; names are plain, without a folder."""

    def names(self) -> list[str]:
        """List the files."""

    def read(self, name: str) -> bytes:
        """Return a file as a whole."""

    def append(self, name: str, data: bytes, at: int) -> None:
        """Write at the end of a file, which has `at` bytes; made where it is not there. Not durable yet."""

    def cut(self, name: str, size: int) -> None:
        """Shorten a file."""

    def sync(self, name: str) -> None:
        """Make what was written to a file durable."""

    def rename(self, name: str, to: str) -> None:
        """Give a file another name, in the place of what has it. Not durable yet."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_names(self) -> None:
        """Make the names durable."""


class FolderLockedError(OSError):
    """Another process has the folder."""


class LockedDirectory:
    """A folder of the file system, for one process at a time."""

    def __init__(self, path: Path) -> None:
        """Make the folder where there is none, and lock it; raises `FolderLockedError`."""
        path.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._path = path
        self._names = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self._files: dict[str, int] = {}
        try:
            fcntl.flock(self._names, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._names)
            raise FolderLockedError(f"{path} is in use by another process") from None

    def close(self) -> None:
        """Let go of the folder."""
        for name in list(self._files):
            self._close(name)
        os.close(self._names)

    def names(self) -> list[str]:
        """List the files."""
        return sorted(entry.name for entry in self._path.iterdir() if entry.is_file())

    def read(self, name: str) -> bytes:
        """Return a file as a whole."""
        return (self._path / name).read_bytes()

    def append(self, name: str, data: bytes, at: int) -> None:
        """Write at the end of a file, which has `at` bytes."""
        file = self._file(name)
        while data:  # at a place, so that a second try after a short write repeats nothing
            written = os.pwrite(file, data, at)
            data, at = data[written:], at + written

    def cut(self, name: str, size: int) -> None:
        """Shorten a file."""
        os.ftruncate(self._file(name), size)

    def sync(self, name: str) -> None:
        """Make what was written to a file durable."""
        os.fsync(self._file(name))

    def rename(self, name: str, to: str) -> None:
        """Give a file another name."""
        self._close(name)
        self._close(to)
        os.replace(self._path / name, self._path / to)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close(name)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._path / name)

    def sync_names(self) -> None:
        """Make the names durable."""
        os.fsync(self._names)

    def _file(self, name: str) -> int:
        if name not in self._files:
            self._files[name] = os.open(self._path / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        return self._files[name]

    def _close(self, name: str) -> None:
        file = self._files.pop(name, None)
        if file is not None:
            os.close(file)
