"""The SQLite file of a replica and its connections: one for writes, a pool for look-ups, one for segments.

Any thread may use them. A thread that gets no free connection for reading in time receives `ReplicaError`.
When a statement finds the file corrupt, `damage` stores the reason; from then on, look-ups, segment reads and
transactions raise `DamagedReplicaError` until the file is replaced.
"""

import contextlib
import fcntl
import os
import queue
import sqlite3
import threading
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from pathlib import Path

from reelusher.fleet.replication.replica_store import ReplicaError
from reelusher.fleet.replication.sqlite_replica.errors import DamagedReplicaError

LOOKUP_CONNECTIONS = 3
LOOKUP_WAIT_S = 0.25  # how long a look-up waits for a free connection
SEGMENT_WAIT_S = 1.0  # how long a segment read waits for its connection
BUSY_TIMEOUT_S = 2.0  # how long a connection waits for a lock of the file that another one holds
WRITER_CACHE_KB = 1024
READER_CACHE_KB = 192
CACHED_STATEMENTS = 48
MAX_WAL_BYTES = 8 << 20  # the write-ahead log is truncated to this size after a checkpoint
MAX_QUARANTINED_FILES = 2
CREATE_FLAGS = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
OWNER_ONLY = 0o600
PRIMARY_ERROR_CODE_MASK = 0xFF  # the low byte of an extended error code of SQLite is the primary code

ConnectionPool = queue.LifoQueue[sqlite3.Connection]


class Database:
    """The connections to one SQLite file, which is locked against other processes."""

    def __init__(self, path: Path) -> None:
        """Lock the file without opening it. Raises `ReplicaError`."""
        self.path = path
        self.damage = ""  # why the file is corrupt; "" as long as no corruption was found
        self.quarantined: list[Path] = []  # new paths of the files renamed since the start, oldest first
        self.writer_lock = threading.RLock()  # held by the thread that uses `writer`
        self.writer: sqlite3.Connection | None = None
        self.lookup_pool: ConnectionPool = queue.LifoQueue()
        self.segment_pool: ConnectionPool = queue.LifoQueue()
        self._synchronous = ""
        self._lock_descriptor = _lock_exclusively(path)

    def open_writer(self) -> sqlite3.Connection:
        """Open the connection for writes; create the file if it does not exist."""
        if not self.path.exists():  # SQLite creates its other files with the mode of this one
            with contextlib.suppress(OSError):
                os.close(os.open(self.path, CREATE_FLAGS, OWNER_ONLY))
        self.writer = self._connect(WRITER_CACHE_KB)
        return self.writer

    def configure_writer(self, writer: sqlite3.Connection) -> None:
        """Switch the file to WAL mode, with commits that are synced to the disk."""
        writer.execute("PRAGMA journal_mode = WAL")
        writer.execute(f"PRAGMA journal_size_limit = {MAX_WAL_BYTES}")
        writer.execute("PRAGMA synchronous = FULL")
        self._synchronous = "FULL"

    def open_readers(self) -> None:
        """Open the connections for look-ups and segments."""
        for pool in (*[self.lookup_pool] * LOOKUP_CONNECTIONS, self.segment_pool):
            reader = self._connect(READER_CACHE_KB)
            reader.execute("PRAGMA query_only = 1")
            pool.put(reader)

    def _connect(self, cache_kb: int) -> sqlite3.Connection:
        conn = sqlite3.connect(
            self.path,
            BUSY_TIMEOUT_S,
            isolation_level=None,
            check_same_thread=False,
            cached_statements=CACHED_STATEMENTS,
        )
        conn.execute(f"PRAGMA cache_size = -{cache_kb}")
        conn.execute("PRAGMA mmap_size = 0")
        return conn

    def disconnect(self) -> None:
        """Close all connections, except readers that are still in use after `LOOKUP_WAIT_S`.

        The thread that uses such a reader returns it to a pool that is no longer used.
        """
        pools = [self.lookup_pool] * LOOKUP_CONNECTIONS + [self.segment_pool]
        self.lookup_pool, self.segment_pool = queue.LifoQueue(), queue.LifoQueue()
        if self.writer is None:
            return
        for pool in pools:
            with contextlib.suppress(queue.Empty, sqlite3.Error):
                pool.get(timeout=LOOKUP_WAIT_S).close()
        with contextlib.suppress(sqlite3.Error):
            self.writer.close()
        self.writer = None

    def quarantine(self, now_ms: int) -> None:
        """Rename the file and its write-ahead log; delete all but the newest renamed files.

        Raises `ReplicaError`.
        """
        suffix = f".damaged-{now_ms}"
        try:
            for extension in ("", "-wal"):
                current = self._sibling(extension)
                if current.exists():
                    current.rename(self._sibling(suffix + extension))
            self._sibling("-shm").unlink(missing_ok=True)
            self.quarantined.append(self._sibling(suffix))
            self._remove_old_quarantined()
        except OSError as error:
            raise ReplicaError(str(error)) from None

    def _remove_old_quarantined(self) -> None:
        found = self.path.parent.glob(self.path.name + ".damaged-*")
        files = sorted(file for file in found if not file.name.endswith("-wal"))
        for file in files[:-MAX_QUARANTINED_FILES]:
            file.unlink(missing_ok=True)
            file.with_name(file.name + "-wal").unlink(missing_ok=True)

    def _sibling(self, suffix: str) -> Path:
        return self.path.with_name(self.path.name + suffix)

    def close(self) -> None:
        """Close all connections and release the lock of the file."""
        with self.writer_lock:
            self.disconnect()
            with contextlib.suppress(OSError):
                os.close(self._lock_descriptor)

    @contextmanager
    def guard(self) -> Iterator[None]:
        """Raise `ReplicaError` in place of errors of SQLite; record corruption in `damage`."""
        try:
            yield
        except sqlite3.Error as error:
            if _is_corruption(error):
                self.damage = self.damage or str(error)
                raise DamagedReplicaError(self.path, str(error)) from None
            raise ReplicaError(f"{self.path}: {error}") from None
        except DamagedReplicaError as error:
            self.damage = self.damage or error.reason
            raise

    def _refuse_damaged(self) -> None:
        if self.damage:
            raise DamagedReplicaError(self.path, self.damage)

    @contextmanager
    def write_connection(self) -> Iterator[sqlite3.Connection]:
        """Yield the connection for writes, with `writer_lock` held."""
        with self.writer_lock, self.guard():
            if self.writer is None:
                raise ReplicaError(f"{self.path} is closed")
            yield self.writer

    @contextmanager
    def transaction(self, durable: bool) -> Iterator[sqlite3.Connection]:
        """Run one transaction, which any exception rolls back. `durable`: its commit is synced to disk."""
        with self.writer_lock:
            self._refuse_damaged()
            with self.write_connection() as conn:
                self._set_synchronous(conn, "FULL" if durable else "NORMAL")
                conn.execute("BEGIN IMMEDIATE")
                try:
                    yield conn
                    conn.execute("COMMIT")
                except BaseException:
                    with contextlib.suppress(sqlite3.Error):
                        if conn.in_transaction:
                            conn.execute("ROLLBACK")
                    raise

    def _set_synchronous(self, conn: sqlite3.Connection, level: str) -> None:
        if level != self._synchronous:
            conn.execute(f"PRAGMA synchronous = {level}")
            self._synchronous = level

    def lookup_connection(self) -> AbstractContextManager[sqlite3.Connection]:
        """Borrow a connection for look-ups."""
        return self._borrow(self.lookup_pool, LOOKUP_WAIT_S)

    @contextmanager
    def segment_transaction(self) -> Iterator[sqlite3.Connection]:
        """Borrow the connection for segments, in a transaction: all reads see the file at one instant."""
        with self._borrow(self.segment_pool, SEGMENT_WAIT_S) as conn:
            conn.execute("BEGIN")
            try:
                yield conn
            finally:
                with contextlib.suppress(sqlite3.Error):
                    conn.execute("ROLLBACK")

    @contextmanager
    def _borrow(self, pool: ConnectionPool, wait_s: float) -> Iterator[sqlite3.Connection]:
        self._refuse_damaged()
        try:
            conn = pool.get(timeout=wait_s)
        except queue.Empty:
            raise ReplicaError(f"{self.path}: too many read at once") from None
        try:
            with self.guard():
                yield conn
        finally:
            pool.put(conn)


def _lock_exclusively(path: Path) -> int:
    """Lock a file beside `path` and return its descriptor; closing it releases the lock."""
    try:
        path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        descriptor = os.open(path.with_name(path.name + ".lock"), CREATE_FLAGS, OWNER_ONLY)
    except OSError as error:
        raise ReplicaError(str(error)) from None
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise ReplicaError(f"{path} is in use by another process") from None
    return descriptor


def _is_corruption(error: sqlite3.Error) -> bool:
    code = getattr(error, "sqlite_errorcode", 0) & PRIMARY_ERROR_CODE_MASK
    return code in (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB) or "no such table" in str(error)
