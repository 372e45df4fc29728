"""Which processes of one node are there: each holds a lock on a file of its own for as long as it lives.

The kernel lets go of a lock when its process ends, however it ends, so no file tells of one that is gone.
"""

import contextlib
import fcntl
import os
import time
from pathlib import Path

SUFFIX = ".life"
READY = b"ready"


def safe(name: str) -> str:
    """Return a name that can be part of a file's."""
    return "".join(char if char.isalnum() or char in "-_" else "_" for char in name)[:100] or "node"


class ProcessRegistry:
    """This process and the others of its node, in a folder that they share."""

    def __init__(self, folder: Path, name: str) -> None:
        """Take a lock of one's own; raises OSError where the folder does not allow that."""
        self._folder, self._stem = folder, safe(name)
        # by the time of its start, which tells who came later; the id keeps two of one instant apart
        self._path = folder / f"{self._stem}.{time.time_ns():020d}.{os.getpid()}{SUFFIX}"
        self._file = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def ready(self) -> None:
        """Say that this process serves, so that one before it may hand over."""
        os.pwrite(self._file, READY, 0)

    def successor(self) -> bool:
        """Tell whether a process that was started later lives and serves; files of dead ones are removed."""
        found, others = False, list[Path]()
        with contextlib.suppress(OSError):  # the folder can't be read: then this is a drain as any other
            others = [path for path in self._folder.glob(f"{self._stem}.*{SUFFIX}") if path != self._path]
        for path in others:
            with contextlib.suppress(OSError):  # gone meanwhile
                other = os.open(path, os.O_RDWR | os.O_CLOEXEC)
                try:
                    if self._dead(other):
                        path.unlink()
                    elif path.name > self._path.name and os.pread(other, 16, 0) == READY:
                        found = True
                finally:
                    os.close(other)
        return found

    @staticmethod
    def _dead(file: int) -> bool:
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

    def close(self) -> None:
        """End this process's part."""
        with contextlib.suppress(OSError):
            self._path.unlink()
        os.close(self._file)
