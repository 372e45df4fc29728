"""Directory of key locks that the processes of one node share, with a JSON file for each locked key."""

import base64
import contextlib
import fcntl
import json
import os
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from hashlib import blake2b
from pathlib import Path
from typing import Any

from reelusher.core.context import MAX_CLASSES
from reelusher.core.messages import IdempotencyKey, Result

DIRECTORY_LOCK = "lock"  # a process locks this file to create the lock of a key or to remove an expired one
FILE_PREFIX = "class-"  # tells the files of keys with the name of their class from older ones with its index
DIGEST_BYTES = 16  # size of the digest in the file name of a key
DIRECTORY_MODE, FILE_MODE = 0o700, 0o600


class KeyLockError(Exception):
    """The file of a key lock can't be read, or its content is malformed."""


class RunState(Enum):
    """The state of the run of a locked key, as it is stored in files."""

    RUNNING = "runs"
    SUCCEEDED = "ok"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class KeyLock:
    """A locked key and the state of its run."""

    expires_us: int  # Unix time at which the lock expires
    digest: str  # hexadecimal digest of the request's body
    state: RunState = RunState.RUNNING
    result: Result | None = None  # result of a run that succeeded


class KeyLockDirectory:
    """Reads and writes the files of key locks."""

    def __init__(self, folder: Path) -> None:
        """Create the directory if it does not exist. Raises OSError."""
        self._folder = folder
        self._folder.mkdir(mode=DIRECTORY_MODE, exist_ok=True)
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        self._lock_descriptor = os.open(self._folder / DIRECTORY_LOCK, flags, FILE_MODE)
        # files that an earlier version of the program named by the index of the class
        self._indexed_names: frozenset[str] = frozenset()
        self.paths()

    def path(self, key: IdempotencyKey) -> Path:
        """Return the path of the file of a key."""
        return self._folder / f"{FILE_PREFIX}{_digest(*key)}"

    def read(self, key: IdempotencyKey, at_us: int) -> KeyLock | None:
        """Return the lock of a key, or None if there is none or it had expired at `at_us` (Unix time).

        Raises KeyLockError if the file is malformed, and OSError if it can't be read.
        """
        return _read(self.path(key), at_us) or self._read_indexed(key, at_us)

    def _read_indexed(self, key: IdempotencyKey, at_us: int) -> KeyLock | None:
        """Return a lock that an earlier version of the program made of a key.

        The index that the class had there is not known here, so a lock under any index counts.
        """
        if not self._indexed_names:
            return None
        for class_index in range(MAX_CLASSES):
            name = _digest(key.tenant, class_index, key.key)
            lock = _read(self._folder / name, at_us) if name in self._indexed_names else None
            if lock is not None:
                return lock
        return None

    def create(self, key: IdempotencyKey, lock: KeyLock, received_us: int) -> KeyLock | None:
        """Create the lock of a key and return None, or return the lock that exists.

        A lock that had expired at `received_us` is replaced. Raises KeyLockError if an existing file can't be
        read, and OSError if the file can't be written.
        """
        with self._exclusive():
            try:
                existing = self.read(key, received_us)
            except OSError as error:
                raise KeyLockError(str(error)) from None
            if existing is None:
                self.write(key, lock)
            return existing

    def finish(self, key: IdempotencyKey, result: Result | None) -> None:
        """Record the result of the run of a key; None means that the run failed.

        Nothing is changed unless the lock exists and its run has not ended. Raises KeyLockError if the file
        is malformed, and OSError if it can't be read or written.
        """
        lock = _read(self.path(key), 0)
        if lock is not None and lock.state is RunState.RUNNING:
            state = RunState.FAILED if result is None else RunState.SUCCEEDED
            self.write(key, replace(lock, state=state, result=result))

    def write(self, key: IdempotencyKey, lock: KeyLock) -> None:
        """Replace the file of a key atomically, since another process may read it at any moment.

        Raises OSError if that fails; the file is then as it was.
        """
        path = self.path(key)
        temporary_path = path.with_suffix(f".{os.getpid()}")
        try:
            temporary_path.write_text(json.dumps(_to_fields(lock), separators=(",", ":")))
            temporary_path.rename(path)
        except OSError:
            temporary_path.unlink(missing_ok=True)
            raise

    def remove(self, key: IdempotencyKey) -> None:
        """Remove the lock of a key."""
        self.path(key).unlink(missing_ok=True)

    def paths(self) -> list[Path]:
        """Return the paths of the files of all keys."""
        paths = [path for path in self._folder.iterdir() if path.name != DIRECTORY_LOCK]
        self._indexed_names = frozenset(path.name for path in paths if not path.name.startswith(FILE_PREFIX))
        return paths

    def remove_if_expired(self, path: Path, at_us: int) -> None:
        """Remove a lock that had expired at `at_us` (Unix time); a file that can't be read is left."""
        with contextlib.suppress(OSError, KeyLockError), self._exclusive():
            if _read(path, at_us) is None:
                path.unlink(missing_ok=True)

    @contextlib.contextmanager
    def _exclusive(self) -> Iterator[None]:
        """Exclude other processes. Hold this lock no longer than it takes to handle one file."""
        fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX)
        try:
            yield
        finally:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_UN)


def _digest(tenant: str, class_name_or_index: str | int, key: str) -> str:
    """Return the digest that names the file of a key, as hexadecimal digits."""
    scope = json.dumps((tenant, class_name_or_index, key)).encode()
    return blake2b(scope, digest_size=DIGEST_BYTES).hexdigest()


def _read(path: Path, at_us: int) -> KeyLock | None:
    try:
        fields = json.loads(path.read_bytes())
    except FileNotFoundError:
        return None
    except (ValueError, RecursionError) as error:
        raise KeyLockError(f"{path.name}: {error}") from None
    if not isinstance(fields, dict) or not isinstance(fields.get("until_us"), int):
        raise KeyLockError(f"{path.name} is not a key lock")
    if fields["until_us"] < at_us:
        return None
    try:
        return _from_fields(fields)
    except (ValueError, KeyError, TypeError) as error:
        raise KeyLockError(f"{path.name}: {error!r}") from None


def _from_fields(fields: dict[str, Any]) -> KeyLock:
    result = None
    if fields.get("body") is not None:
        headers = tuple((name, value) for name, value in fields["headers"])
        result = Result(base64.b64decode(fields["body"]), fields["status"], headers)
    return KeyLock(fields["until_us"], fields["digest"], RunState(fields["state"]), result)


def _to_fields(lock: KeyLock) -> dict[str, Any]:
    fields = {"until_us": lock.expires_us, "digest": lock.digest, "state": lock.state.value}
    if lock.result is None:
        return fields
    body = base64.b64encode(lock.result.body).decode()
    return {**fields, "body": body, "status": lock.result.status, "headers": list(lock.result.headers)}
