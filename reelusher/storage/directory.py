"""The file operations of stored state, so that tests can simulate a crash between any two of them."""

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Protocol

from reelusher.storage.errors import DirectoryLockedError

FILE_MODE, DIRECTORY_MODE = 0o600, 0o700


class Directory(Protocol):
    """A directory of files. Each call may raise `OSError`; names have no path."""

    def file_names(self) -> list[str]:
        """Return the names of the files, sorted."""

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""

    def append(self, name: str, data: bytes, offset: int) -> None:
        """Write at `offset`, the end of a file; create it if it does not exist. Not durable until `sync`."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file."""

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing another of the new name. Not durable until `sync_directory`."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_directory(self) -> None:
        """Make the names of the files durable."""


class LockedDirectory:
    """A directory of the file system, for one process at a time."""

    def __init__(self, path: Path) -> None:
        """Create the directory if it does not exist, and lock it; raises `DirectoryLockedError`."""
        path.mkdir(mode=DIRECTORY_MODE, parents=True, exist_ok=True)
        self._path = path
        self._directory = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self._files: dict[str, int] = {}
        try:
            fcntl.flock(self._directory, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._directory)
            raise DirectoryLockedError(f"{path} is in use by another process") from None

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self._files):
            self._close(name)
        os.close(self._directory)

    def file_names(self) -> list[str]:
        """Return the names of the files, sorted."""
        return sorted(entry.name for entry in self._path.iterdir() if entry.is_file())

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""
        return (self._path / name).read_bytes()

    def append(self, name: str, data: bytes, offset: int) -> None:
        """Write at `offset`, the end of a file; create it if it does not exist. Not durable until `sync`."""
        file = self._file(name)
        while data:  # at an offset, so that a retry after a short write repeats nothing
            written = os.pwrite(file, data, offset)
            data, offset = data[written:], offset + written

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file."""
        os.ftruncate(self._file(name), size)

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""
        os.fsync(self._file(name))

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing another of the new name. Not durable until `sync_directory`."""
        self._close(name)
        self._close(new_name)
        os.replace(self._path / name, self._path / new_name)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close(name)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._path / name)

    def sync_directory(self) -> None:
        """Make the names of the files durable."""
        os.fsync(self._directory)

    def _file(self, name: str) -> int:
        if name not in self._files:
            self._files[name] = os.open(self._path / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        return self._files[name]

    def _close(self, name: str) -> None:
        file = self._files.pop(name, None)
        if file is not None:
            os.close(file)
