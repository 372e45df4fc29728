"""The file operations of stored state, as a protocol: tests simulate a crash between any two of them."""

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Protocol

from reelusher.storage.errors import DirectoryLockedError

FILE_MODE, DIRECTORY_MODE = 0o600, 0o700


class Directory(Protocol):
    """A directory of files. Each call may raise `OSError`. Names are those of files in it, without a path."""

    def file_names(self) -> list[str]:
        """Return the names of the files, sorted."""

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""

    def append(self, name: str, data: bytes, offset: int) -> None:
        """Write at `offset`, the end of a file; create it if it does not exist. Not durable until `sync`."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes; create it if it does not exist. Not durable until `sync`."""

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing any file of the new name. Not durable until `sync_directory`."""

    def remove(self, name: str) -> None:
        """Remove a file, if it exists. Not durable until `sync_directory`."""

    def sync_directory(self) -> None:
        """Make the creation, renaming and removal of files durable."""


class LockedDirectory:
    """A directory of the file system, locked so that one process at a time uses it."""

    def __init__(self, path: Path) -> None:
        """Create the directory if it does not exist, and lock it.

        Raises `DirectoryLockedError` if another process uses it, or another `OSError`.
        """
        path.mkdir(mode=DIRECTORY_MODE, parents=True, exist_ok=True)
        self._path = path
        self._directory_descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self._descriptors: dict[str, int] = {}  # of open files, by name
        try:
            fcntl.flock(self._directory_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._directory_descriptor)
            raise DirectoryLockedError(f"{path} is in use by another process") from None

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self._descriptors):
            self._close(name)
        os.close(self._directory_descriptor)

    def file_names(self) -> list[str]:
        """Return the names of the files, sorted."""
        return sorted(entry.name for entry in self._path.iterdir() if entry.is_file())

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""
        return (self._path / name).read_bytes()

    def append(self, name: str, data: bytes, offset: int) -> None:
        """Write at `offset`, the end of a file; create it if it does not exist. Not durable until `sync`."""
        descriptor = self._descriptor(name)
        while data:  # written at an offset, so that a retry after a short write duplicates no data
            written = os.pwrite(descriptor, data, offset)
            data, offset = data[written:], offset + written

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes; create it if it does not exist. Not durable until `sync`."""
        os.ftruncate(self._descriptor(name), size)

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""
        os.fsync(self._descriptor(name))

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing any file of the new name. Not durable until `sync_directory`."""
        self._close(name)
        self._close(new_name)
        os.replace(self._path / name, self._path / new_name)

    def remove(self, name: str) -> None:
        """Remove a file, if it exists. Not durable until `sync_directory`."""
        self._close(name)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._path / name)

    def sync_directory(self) -> None:
        """Make the creation, renaming and removal of files durable."""
        os.fsync(self._directory_descriptor)

    def _descriptor(self, name: str) -> int:
        if name not in self._descriptors:
            self._descriptors[name] = os.open(
                self._path / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE
            )
        return self._descriptors[name]

    def _close(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
