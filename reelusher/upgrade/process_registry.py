"""Registry of the processes of one node: each process holds a lock on a file of its own while it lives.

The kernel releases the lock when the process ends, however it ends, so that a file whose lock is free belongs
to a dead process.
"""

import contextlib
import fcntl
import os
import time
from pathlib import Path

SUFFIX = ".life"
READY = b"ready"
MAX_READ_BYTES = 16
MAX_NAME_CHARACTERS = 100
DEFAULT_NAME = "node"
FILE_MODE = 0o600


def file_name_of(name: str) -> str:
    """Return a name for use in file names: unsafe characters are replaced, and the length is limited."""
    safe = "".join(char if char.isalnum() or char in "-_" else "_" for char in name)
    return safe[:MAX_NAME_CHARACTERS] or DEFAULT_NAME


class ProcessRegistry:
    """This process and the other processes of its node, in a folder that they share."""

    def __init__(self, folder: Path, name: str) -> None:
        """Register this process; raises OSError if the folder can't be used."""
        self._folder, self._stem = folder, file_name_of(name)
        # the start time orders processes; the process id distinguishes those started at the same instant
        self._path = folder / f"{self._stem}.{time.time_ns():020d}.{os.getpid()}{SUFFIX}"
        self._descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def mark_ready(self) -> None:
        """Record that this process serves, so that an earlier process may hand over to it."""
        os.pwrite(self._descriptor, READY, 0)

    def has_successor(self) -> bool:
        """Return whether a process that was started later is ready. Remove the files of dead processes."""
        successor_found = False
        for path in self._other_paths():
            with contextlib.suppress(OSError):  # the file was removed meanwhile
                successor_found |= self._is_successor(path)
        return successor_found

    def close(self) -> None:
        """Remove this process from the registry."""
        with contextlib.suppress(OSError):
            self._path.unlink()
        os.close(self._descriptor)

    def _other_paths(self) -> list[Path]:
        try:
            return [path for path in self._folder.glob(f"{self._stem}.*{SUFFIX}") if path != self._path]
        except OSError:  # without the folder, no other process can take over
            return []

    def _is_successor(self, path: Path) -> bool:
        descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        try:
            if _is_dead(descriptor):
                path.unlink()
                return False
            return path.name > self._path.name and os.pread(descriptor, MAX_READ_BYTES, 0) == READY
        finally:
            os.close(descriptor)


def _is_dead(descriptor: int) -> bool:
    """Return whether no process holds the lock of a file; if so, lock it until the descriptor is closed."""
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True
