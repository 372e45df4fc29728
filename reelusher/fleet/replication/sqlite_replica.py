"""The local copy of the table of tenants: rows in a file of SQLite, in WAL mode.

What is checked when. At the start: the header, the schema, whose copy it is, and that no row is numbered past
its stream; that takes the same few reads however many rows there are. The log's frames have checksums of
their own. All pages are looked through by `check`, which the service calls now and then in its own thread
(reading all of 260,000 rows at each start would take longer than the start may).

A copy that turns out to be damaged, at whatever read or write, raises `DamagedReplicaError` from then on.
`renew` puts the file aside and begins another; the node serves what it has in memory meanwhile, and pulls
all rows again. Every stream is then marked `lost`: nobody knows from this file which numbers were given, so
a holder takes no change until an operator has ordered a take-over, which begins an epoch of its own (see
`writer`).

A full disk or a failed write: the transaction is rolled back as a whole and `ReplicaError` raised. A pull
tries again later, a change is refused.

Durable means: what a holder has accepted is synced before `apply` returns (`synchronous=FULL`); what was
pulled may be lost by a power cut (`NORMAL`), together with the position that told of it, and is pulled again.
A kill of the process loses neither.

All calls may come from any thread. One connection writes, one reads what members are given, a few all else;
who finds none free within `READ_WAIT_S` or `GIVE_WAIT_S` gets `ReplicaError`.
"""

import contextlib
import fcntl
import os
import queue
import sqlite3
import threading
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import msgspec

from reelusher.fleet.replication.messages import MOST_PIECE, LogEntry
from reelusher.fleet.replication.replica import first_epoch, ordered
from reelusher.fleet.replication.replica_store import SPARE, PartitionState, ReplicaError, SegmentBatch

APPLICATION = 0x7265656C  # what the header says of a copy
FORMAT = 1
READERS = 3  # connections for look-ups, beside one for what members are given
READ_WAIT_S, GIVE_WAIT_S = 0.25, 1.0
BUSY_MS = 2000  # for which one connection waits for another: only while a file is put aside
CACHE_KB = 1024, 192  # of the connection that writes, and of each that reads
LOG_BYTES = 8 << 20  # to which the log is cut after a checkpoint
MOST_AUDIT = 1000  # changes whose trail is kept
MOST_KEYS = 10_000  # idempotency keys that are remembered, the newest
MOST_ORPHANS = 10_000
MOST_ASIDE = 2  # damaged files that are kept
GUARANTEE = 1_000_000_000  # guarantees are added up in parts of this: sums are exact
CREATE = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
LOST, PUT_BACK = 1, 2  # why a stream's numbers are in doubt
ANY = ""  # in place of a host, of tenants that name none; hosts have a mark before them
CHUNK = 64  # prefixes looked up at once

ORPHAN_FIELDS = (
    "number",
    "stream",
    "epoch",
    "past_by",
    "revision",
    "name",
    "at_ms",
    "who",
    "state",
    "tenant",
    "kept_ms",
)

SCHEMA = """
CREATE TABLE meta(key TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE streams(stream INTEGER PRIMARY KEY, epoch INTEGER, number INTEGER, bases TEXT, horizon INTEGER,
    covered INTEGER, goal INTEGER, generation INTEGER, cursor INTEGER, doubt INTEGER);
CREATE TABLE rows(id INTEGER PRIMARY KEY, name TEXT NOT NULL UNIQUE, stream INTEGER NOT NULL,
    number INTEGER NOT NULL, epoch INTEGER NOT NULL, generation INTEGER NOT NULL, state TEXT NOT NULL,
    tenant BLOB NOT NULL, at_ms INTEGER NOT NULL, who TEXT NOT NULL, key TEXT NOT NULL,
    taken_ms INTEGER NOT NULL, guarantee INTEGER NOT NULL);
CREATE INDEX rows_number ON rows(stream, number);
CREATE INDEX rows_tombstones ON rows(stream, number) WHERE state = '';
CREATE TABLE hosts(host TEXT, prefix TEXT, name TEXT, PRIMARY KEY(host, prefix, name)) WITHOUT ROWID;
CREATE TABLE lengths(length INTEGER PRIMARY KEY, count INTEGER NOT NULL);
CREATE TABLE orphans(id INTEGER PRIMARY KEY, stream INTEGER, epoch INTEGER, past_by INTEGER, number INTEGER,
    name TEXT, at_ms INTEGER, who TEXT, state TEXT, tenant BLOB, kept_ms INTEGER);
CREATE TABLE unreadable(name TEXT PRIMARY KEY, reason TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE audit(id INTEGER PRIMARY KEY, stream INTEGER, epoch INTEGER, number INTEGER, name TEXT, who TEXT,
    at_ms INTEGER, before_state TEXT, before BLOB, after_state TEXT, after BLOB);
CREATE TABLE keys(id INTEGER PRIMARY KEY, key TEXT NOT NULL UNIQUE, name TEXT NOT NULL);
"""
ROW = (
    "rows.name, rows.id, rows.state, rows.tenant, rows.epoch, rows.number, rows.stream,"
    " coalesce((SELECT reason FROM unreadable WHERE unreadable.name = rows.name), '')"
)


class DamagedReplicaError(ReplicaError):
    """The file is no sound copy; `renew` begins another."""


class ForeignReplicaError(ReplicaError):
    """The file is sound, and not this node's to change: of another fleet, control list or newer program."""


@dataclass(slots=True, frozen=True)
class ReplicaRow:
    """A tenant as it is kept."""

    name: str
    number: int  # local; the tenant's own while it exists, and never used again
    state: str
    tenant: bytes  # JSON
    epoch: int  # with `revision`: the change that made it so
    revision: int
    stream: str
    unreadable: str = ""  # why this node can't serve it


@dataclass(slots=True, frozen=True)
class ReplicaAuditEntry:
    """One entry of the audit trail: a change as it got here. At the writer it tells all of a stream."""

    number: int  # local
    stream: str
    epoch: int
    revision: int
    name: str
    who: str
    at_ms: int
    before_state: str  # "" and no JSON: there was none, or there is none any more
    before: bytes
    after_state: str
    after: bytes


class _Share(msgspec.Struct, frozen=True):
    guarantee: float = 0.0


class _Told(msgspec.Struct, frozen=True):
    """The part of a tenant that its place in the copy depends on."""

    hosts: list[str] = []
    prefix: str = "/"
    share: _Share = _Share()


_DECODER = msgspec.json.Decoder(_Told)
_NOWHERE: tuple[tuple[str, ...], str, int] = ((), "/", 0)


def _placed(state: str, tenant: bytes) -> tuple[tuple[str, ...], str, int] | None:
    """Return hosts as they are looked up, prefix and guarantee of a row; None where it can't be read."""
    if not state:
        return _NOWHERE
    try:
        told = _DECODER.decode(tenant)
    except msgspec.MsgspecError:
        return None
    hosts = tuple({"=" + host.lower() for host in told.hosts}) or (ANY,)
    return hosts, told.prefix, round(min(max(told.share.guarantee, 0.0), 1.0) * GUARANTEE)


def candidates(path: str, lengths: Iterable[int]) -> list[str]:
    """Return the prefixes of these lengths that a path is or lies below, the longest first."""
    found = []
    for length in lengths:
        prefix = path[:length]
        if length == len(path) or (length < len(path) and (path[length] == "/" or prefix.endswith("/"))):
            found.append(prefix)
    return sorted(found, key=len, reverse=True)


@dataclass(slots=True)
class _Totals:
    """What is kept up with each change, not added up."""

    count: int = 0
    guarantee: int = 0  # in parts, see `GUARANTEE`
    lengths: dict[int, int] = field(default_factory=dict)  # of prefixes, and how many rows have each
    touched: set[int] = field(default_factory=set)

    def add_length(self, length: int, by: int) -> None:
        """Count a row in or out."""
        self.lengths[length] = self.lengths.get(length, 0) + by
        self.touched.add(length)


class SqliteReplica:
    """One node's copy."""

    def __init__(
        self,
        path: Path,
        fleet: str,
        control: Sequence[str],
        readable: Callable[[str, bytes], str] = lambda name, tenant: "",
        wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        """Open the copy, or begin one; one that is damaged is put aside first. Raises `ReplicaError`.

        `readable` returns "" or why this node can't serve a tenant.
        """
        self.path, self._fleet, self._control = path, fleet, ordered(control)
        self._readable, self._wall_ms = readable, wall_ms
        self._ids = {stream: at for at, stream in enumerate(self._control)}
        self.on_change: Callable[[list[str]], None] = lambda names: None
        self._lock = threading.RLock()  # of the connection that writes
        self._free: queue.LifoQueue[sqlite3.Connection] = queue.LifoQueue()
        self._giving: queue.LifoQueue[sqlite3.Connection] = queue.LifoQueue()
        self._conn: sqlite3.Connection | None = None
        self._sync = ""
        self.damaged = ""  # why, from then on until it is renewed
        self.put_aside: list[Path] = []
        self.damaged_at_start = ""
        self._totals = _Totals()  # replaced as a whole, once a transaction is made
        self._made = _Totals()  # what is becoming of them in it
        try:
            path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._held = os.open(path.with_name(path.name + ".lock"), CREATE, 0o600)
        except OSError as error:
            raise ReplicaError(str(error)) from None
        try:
            fcntl.flock(self._held, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._held)
            raise ReplicaError(f"{path} is in use by another process") from None
        try:
            try:
                self._open(lost=False)
            except DamagedReplicaError as error:
                self._shut()
                self._aside()
                self._open(lost=True)
                self.damaged, self.damaged_at_start = "", str(error)
        except ReplicaError:
            self.close()
            raise

    # Opening and closing

    def _connected(self, cache_kb: int) -> sqlite3.Connection:
        made = sqlite3.connect(
            self.path, BUSY_MS / 1000, isolation_level=None, check_same_thread=False, cached_statements=48
        )
        made.execute(f"PRAGMA cache_size = -{cache_kb}")
        made.execute("PRAGMA mmap_size = 0")
        return made

    def _open(self, lost: bool) -> None:
        if not self.path.exists():  # made here, for this user only; its log and index then are so, too
            with contextlib.suppress(OSError):
                os.close(os.open(self.path, CREATE, 0o600))
        with self._told():
            self._conn = self._connected(CACHE_KB[0])
            self._prepare(self._conn, lost)
            self._look_over(self._conn)
            for pool in (*[self._free] * READERS, self._giving):
                reader = self._connected(CACHE_KB[1])
                reader.execute("PRAGMA query_only = 1")
                pool.put(reader)

    def _prepare(self, conn: sqlite3.Connection, lost: bool) -> None:
        begun = conn.execute("PRAGMA application_id").fetchone()[0]
        version = conn.execute("PRAGMA user_version").fetchone()[0]
        tables = conn.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]
        if tables and begun != APPLICATION:
            raise ForeignReplicaError(f"{self.path} is a database of something else")
        if version > FORMAT:
            raise ForeignReplicaError(
                f"{self.path} has format {version}, {FORMAT} is the newest that is known here"
            )
        conn.execute("PRAGMA journal_mode = WAL")
        conn.execute(f"PRAGMA journal_size_limit = {LOG_BYTES}")
        conn.execute("PRAGMA synchronous = FULL")
        self._sync = "FULL"
        if not tables:
            conn.execute("BEGIN IMMEDIATE")
            for statement in SCHEMA.split(";\n"):
                if statement.strip():
                    conn.execute(statement)
            # local numbers go on from the clock: those of a file that was put aside are not used again
            conn.executemany(
                "INSERT INTO meta VALUES(?, ?)",
                [
                    ("fleet", self._fleet),
                    ("control", " ".join(self._control)),
                    ("next", self._wall_ms() * 1000),
                    ("count", 0),
                    ("guarantee", 0),
                    ("checked_by", ""),
                    ("checked_upto", ""),
                ],
            )
            if lost:
                for stream in self._control:
                    self._store(conn, stream, PartitionState(first_epoch(stream, self._control), lost=True))
            conn.execute(f"PRAGMA application_id = {APPLICATION}")
            conn.execute(f"PRAGMA user_version = {FORMAT}")
            conn.execute("COMMIT")
        kept = dict(conn.execute("SELECT key, value FROM meta"))
        if kept.get("fleet") != self._fleet:
            raise ForeignReplicaError(f"{self.path} is of the fleet {kept.get('fleet')!r}")
        if kept.get("control") != " ".join(self._control):
            raise ForeignReplicaError(
                f"{self.path} is of another list of control members: {kept.get('control')}"
            )

    def _look_over(self, conn: sqlite3.Connection) -> None:
        """Read what is kept in memory, and see that no row is past its stream."""
        kept = dict(conn.execute("SELECT key, value FROM meta WHERE key IN ('count', 'guarantee')"))
        lengths = dict(conn.execute("SELECT length, count FROM lengths WHERE count > 0"))
        try:
            self._totals = _Totals(int(kept["count"]), int(kept["guarantee"]), lengths)
        except (KeyError, TypeError, ValueError) as error:
            raise DamagedReplicaError(f"{self.path}: totals: {error}") from None
        for stream, state in self._read_states(conn).items():
            last = conn.execute(
                "SELECT max(number) FROM rows WHERE stream = ?", (self._ids[stream],)
            ).fetchone()[0]
            if (last or 0) > max(state.number, state.cursor):
                raise DamagedReplicaError(
                    f"{self.path}: a row of {stream} is numbered {last}, past its position"
                )

    def _shut(self) -> None:
        """Close what nobody uses; a connection in use is closed by whoever lets go of it last."""
        pools = [self._free] * READERS + [self._giving]
        self._free, self._giving = queue.LifoQueue(), queue.LifoQueue()
        for pool in pools if self._conn is not None else ():
            with contextlib.suppress(queue.Empty, sqlite3.Error):
                pool.get(timeout=READ_WAIT_S).close()
        if self._conn is not None:
            with contextlib.suppress(sqlite3.Error):
                self._conn.close()
            self._conn = None

    def _aside(self) -> None:
        """Rename the file and its log; the oldest of those put aside before are removed."""
        mark = f".damaged-{self._wall_ms()}"
        try:
            for end in ("", "-wal"):
                old = self.path.with_name(self.path.name + end)
                if old.exists():
                    old.rename(self.path.with_name(self.path.name + mark + end))
            self.path.with_name(self.path.name + "-shm").unlink(missing_ok=True)
            self.put_aside.append(self.path.with_name(self.path.name + mark))
            known = sorted(
                one
                for one in self.path.parent.glob(self.path.name + ".damaged-*")
                if not one.name.endswith("-wal")
            )
            for one in known[:-MOST_ASIDE]:
                one.unlink(missing_ok=True)
                one.with_name(one.name + "-wal").unlink(missing_ok=True)
        except OSError as error:
            raise ReplicaError(str(error)) from None

    def renew(self) -> Path:
        """Put a damaged file aside and begin another; return what it is called now. Raises `ReplicaError`."""
        with self._lock:
            self._shut()
            self._aside()
            self._open(lost=True)
            self.damaged = ""
            return self.put_aside[-1]

    def close(self) -> None:
        """Let go of the file."""
        with self._lock:
            self._shut()
            with contextlib.suppress(OSError):
                os.close(self._held)

    # Errors, transactions, connections

    @contextmanager
    def _told(self) -> Iterator[None]:
        """Turn errors of the database into this module's, and note damage."""
        try:
            yield
        except sqlite3.Error as error:
            code = getattr(error, "sqlite_errorcode", 0) & 0xFF  # without what is particular
            if code in (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB) or "no such table" in str(error):
                self.damaged = self.damaged or str(error)
                raise DamagedReplicaError(f"{self.path}: {error}") from None
            raise ReplicaError(f"{self.path}: {error}") from None

    @contextmanager
    def _changing(self, durable: bool = True) -> Iterator[sqlite3.Connection]:
        """Make one transaction; whatever is raised within, nothing of it stays."""
        with self._lock, self._told():
            if self.damaged:
                raise DamagedReplicaError(f"{self.path}: {self.damaged}")
            conn = self._conn
            if conn is None:
                raise ReplicaError(f"{self.path} is closed")
            wanted = "FULL" if durable else "NORMAL"
            if wanted != self._sync:
                conn.execute(f"PRAGMA synchronous = {wanted}")
                self._sync = wanted
            conn.execute("BEGIN IMMEDIATE")
            self._made = _Totals(self._totals.count, self._totals.guarantee, dict(self._totals.lengths))
            try:
                yield conn
                self._write_totals(conn)
                conn.execute("COMMIT")
            except BaseException:
                with contextlib.suppress(sqlite3.Error):
                    if conn.in_transaction:
                        conn.execute("ROLLBACK")
                raise
            self._totals = self._made

    @contextmanager
    def _reading(self, giving: bool = False) -> Iterator[sqlite3.Connection]:
        if self.damaged:
            raise DamagedReplicaError(f"{self.path}: {self.damaged}")
        free = self._giving if giving else self._free
        try:
            conn = free.get(timeout=GIVE_WAIT_S if giving else READ_WAIT_S)
        except queue.Empty:
            raise ReplicaError(f"{self.path}: too many read at once") from None
        try:
            with self._told():
                yield conn
        finally:
            free.put(conn)

    # Rows, as replication has them

    def states(self) -> dict[str, PartitionState]:
        """Return where each stream stands."""
        with self._lock, self._told():
            if self._conn is None:
                raise ReplicaError(f"{self.path} is closed")
            return self._read_states(self._conn)

    def _read_states(self, conn: sqlite3.Connection, stream: str = "") -> dict[str, PartitionState]:
        made = {}
        for at, epoch, number, bases, horizon, covered, goal, generation, cursor, doubt in conn.execute(
            "SELECT * FROM streams WHERE ? < 0 OR stream = ?", (self._ids.get(stream, -1),) * 2
        ):
            try:
                told = tuple((one, base) for one, base in msgspec.json.decode(bases))
                made[self._control[at]] = PartitionState(
                    epoch,
                    number,
                    told,
                    horizon,
                    covered,
                    goal,
                    generation,
                    cursor,
                    bool(doubt & LOST),
                    bool(doubt & PUT_BACK),
                )
            except (msgspec.MsgspecError, IndexError, TypeError, ValueError) as error:
                self.damaged = self.damaged or str(error)
                raise DamagedReplicaError(f"{self.path}: streams: {error}") from None
        return made

    def _store(self, conn: sqlite3.Connection, stream: str, state: PartitionState) -> None:
        conn.execute(
            "INSERT OR REPLACE INTO streams VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                self._ids[stream],
                state.epoch,
                state.number,
                msgspec.json.encode(state.bases).decode(),
                state.horizon,
                state.covered,
                state.goal,
                state.generation,
                state.cursor,
                LOST * state.lost | PUT_BACK * state.put_back,
            ),
        )

    def given(self, stream: str, since: int, most_bytes: int = MOST_PIECE) -> SegmentBatch | None:
        """Return entries past a number, and where the stream stands at that instant."""
        with self._reading(giving=True) as conn:
            conn.execute("BEGIN")
            try:
                state = self._read_states(conn, stream).get(stream)
                if state is None:
                    return None
                entries: list[LogEntry] = []
                for number, name, at_ms, who, standing, tenant, key, epoch in conn.execute(
                    "SELECT number, name, at_ms, who, state, tenant, key, epoch FROM rows"
                    " WHERE stream = ? AND number > ? AND number <= ? ORDER BY number",
                    (self._ids[stream], since, state.number),
                ):
                    entry = LogEntry(number, name, at_ms, who, standing, tenant, key, epoch)
                    most_bytes -= entry.size
                    if most_bytes < 0 and entries:
                        return SegmentBatch(state, entries, True)
                    entries.append(entry)
                return SegmentBatch(state, entries, False)
            finally:
                with contextlib.suppress(sqlite3.Error):
                    conn.execute("ROLLBACK")

    def apply(
        self,
        stream: str,
        entries: Sequence[LogEntry],
        state: PartitionState,
        drop: bool = False,
        durable: bool = False,
        trail: bool = True,
    ) -> list[str]:
        """Take entries and the state."""
        with self._changing(durable) as conn:
            names, now_ms, at = [], self._wall_ms(), self._ids[stream]
            given = conn.execute("SELECT value FROM meta WHERE key = 'next'").fetchone()[0]
            next_id = given
            for entry in entries:
                before = conn.execute(
                    "SELECT id, number, state, tenant, guarantee FROM rows WHERE name = ?", (entry.name,)
                ).fetchone()
                if before is None or entry.number > before[1]:
                    if before is None or (not before[2] and entry.state):
                        next_id += 1
                    self._replace(conn, at, entry, state.generation, before, next_id, now_ms, trail)
                    names.append(entry.name)
                elif entry.number == before[1]:
                    conn.execute("UPDATE rows SET generation = ? WHERE id = ?", (state.generation, before[0]))
            if drop:
                names += self._drop(conn, at, state.generation)
            if next_id != given:
                conn.execute("UPDATE meta SET value = ? WHERE key = 'next'", (next_id,))
            if trail:
                self._bound(conn)
            elif entries:
                conn.execute("UPDATE meta SET value = '' WHERE key = 'checked_upto' AND value IS NOT ''")
            self._store(conn, stream, state)
            return names

    def _replace(
        self,
        conn: sqlite3.Connection,
        at: int,
        entry: LogEntry,
        generation: int,
        before: Any,
        next_id: int,
        now_ms: int,
        trail: bool,
    ) -> None:
        """Put an entry in the place of the row of its name, if there is one."""
        old_state, old_tenant = (before[2], before[3]) if before else ("", b"")
        if before:
            self._unplace(conn, entry.name, old_state, old_tenant, before[4])
        placed = _placed(entry.state, entry.tenant)
        reason = "no tenant's JSON" if placed is None else ""
        if placed is not None and entry.state and trail:  # of a fill, each is checked later, see `recheck`
            reason = self._reason(entry.name, entry.tenant)
        guarantee = 0 if placed is None else placed[2]
        kept = (
            at,
            entry.number,
            entry.epoch,
            generation,
            entry.state,
            entry.tenant,
            entry.at_ms,
            entry.who,
            entry.key,
            now_ms,
            guarantee,
        )
        if before is None:
            conn.execute(
                "INSERT INTO rows VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)", (next_id, entry.name, *kept)
            )
        else:
            number = next_id if entry.state and not old_state else before[0]
            conn.execute(
                "UPDATE rows SET id = ?, stream = ?, number = ?, epoch = ?, generation = ?, state = ?,"
                " tenant = ?, at_ms = ?, who = ?, key = ?, taken_ms = ?, guarantee = ? WHERE id = ?",
                (number, *kept, before[0]),
            )
        if entry.state:
            self._made.count += 1
            self._made.guarantee += guarantee
            if reason:
                conn.execute("INSERT INTO unreadable VALUES(?, ?)", (entry.name, reason))
            if placed is not None:  # also where it can't be served: its requests are no other tenant's
                self._place(conn, entry.name, placed[0], placed[1])
        if trail:
            conn.execute(
                "INSERT INTO audit VALUES(NULL, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
                (
                    at,
                    entry.epoch,
                    entry.number,
                    entry.name,
                    entry.who,
                    entry.at_ms,
                    old_state,
                    old_tenant if old_state else b"",
                    entry.state,
                    entry.tenant,
                ),
            )
            if entry.key:
                conn.execute("DELETE FROM keys WHERE key = ?", (entry.key,))
                conn.execute("INSERT INTO keys VALUES(NULL, ?, ?)", (entry.key, entry.name))

    def _reason(self, name: str, tenant: bytes) -> str:
        try:
            return self._readable(name, tenant)
        except Exception as error:  # whatever is wrong with a row is its own affair
            return f"{type(error).__name__}: {error}"

    def _place(self, conn: sqlite3.Connection, name: str, hosts: tuple[str, ...], prefix: str) -> None:
        conn.executemany("INSERT INTO hosts VALUES(?, ?, ?)", [(host, prefix, name) for host in hosts])
        self._made.add_length(len(prefix), 1)

    def _displace(self, conn: sqlite3.Connection, name: str, hosts: tuple[str, ...], prefix: str) -> None:
        conn.executemany(
            "DELETE FROM hosts WHERE host = ? AND prefix = ? AND name = ?",
            [(host, prefix, name) for host in hosts],
        )
        self._made.add_length(len(prefix), -1)

    def _unplace(
        self, conn: sqlite3.Connection, name: str, state: str, tenant: bytes, guarantee: int
    ) -> None:
        """Take a row out of what is looked up, and out of the totals."""
        if not state:
            return
        self._made.count -= 1
        self._made.guarantee -= guarantee
        conn.execute("DELETE FROM unreadable WHERE name = ?", (name,))
        placed = _placed(state, tenant)
        if placed is not None:
            self._displace(conn, name, placed[0], placed[1])

    def _drop(self, conn: sqlite3.Connection, at: int, generation: int) -> list[str]:
        """Let rows go that a refill did not meet."""
        old = conn.execute(
            "SELECT name, id, state, tenant, guarantee FROM rows WHERE stream = ? AND generation < ?",
            (at, generation),
        ).fetchall()
        for name, number, state, tenant, guarantee in old:
            self._unplace(conn, name, state, tenant, guarantee)
            conn.execute("DELETE FROM rows WHERE id = ?", (number,))
        return [name for name, *_ in old]

    def _write_totals(self, conn: sqlite3.Connection) -> None:
        made, before = self._made, self._totals
        if (made.count, made.guarantee) != (before.count, before.guarantee):
            conn.executemany(
                "UPDATE meta SET value = ? WHERE key = ?",
                [(made.count, "count"), (made.guarantee, "guarantee")],
            )
        conn.executemany(
            "INSERT OR REPLACE INTO lengths VALUES(?, ?)",
            [(length, made.lengths[length]) for length in made.touched],
        )

    @staticmethod
    def _bound(conn: sqlite3.Connection) -> None:
        """Forget the oldest of what is kept of the newest only."""
        for table, most in (("audit", MOST_AUDIT), ("keys", MOST_KEYS), ("orphans", MOST_ORPHANS)):
            conn.execute(f"DELETE FROM {table} WHERE id <= (SELECT max(id) FROM {table}) - {most}")

    def orphan(self, stream: str, past: int, state: PartitionState) -> int:
        """Keep rows aside and number them 0."""
        with self._changing() as conn:
            at = self._ids[stream]
            count = conn.execute(
                "INSERT INTO orphans"
                " SELECT NULL, stream, epoch, ?, number, name, at_ms, who, state, tenant, ?"
                " FROM rows WHERE stream = ? AND number > ?",
                (state.epoch, self._wall_ms(), at, past),
            ).rowcount
            conn.execute("UPDATE rows SET number = 0 WHERE stream = ? AND number > ?", (at, past))
            self._bound(conn)
            self._store(conn, stream, state)
            return count

    def orphans(self, after: int = 0, limit: int = 100) -> list[dict[str, Any]]:
        """Return rows that were kept aside, oldest first."""
        with self._reading() as conn:
            rows = conn.execute("SELECT * FROM orphans WHERE id > ? ORDER BY id LIMIT ?", (after, limit))
            return [
                {**dict(zip(ORPHAN_FIELDS, row, strict=True)), "stream": self._control[row[1]]}
                for row in rows
            ]

    def collect(self, stream: str, before_ms: int, spare: int = SPARE) -> int:
        """Forget old tombstones."""
        with self._changing(durable=False) as conn:
            state = self._read_states(conn, stream).get(stream)
            if state is None:
                return 0
            old = conn.execute(
                "SELECT id, number FROM rows WHERE stream = ? AND state = '' AND number > 0"
                " AND number <= ? AND taken_ms < ?",
                (self._ids[stream], state.number - spare, before_ms),
            ).fetchall()
            if old:
                conn.executemany("DELETE FROM rows WHERE id = ?", [(number,) for number, _ in old])
                highest = max(number for _, number in old)
                self._store(conn, stream, replace(state, horizon=max(state.horizon, highest)))
            return len(old)

    def changed(self, names: Iterable[str]) -> None:
        """Tell of names that changed."""
        told = list(names)
        if told:
            self.on_change(told)

    # What serving and the administration API look up

    def _row(self, found: Any) -> ReplicaRow | None:
        if found is None:
            return None
        name, number, state, tenant, epoch, revision, stream, reason = found
        return ReplicaRow(name, number, state, tenant, epoch, revision, self._control[stream], reason)

    def match(self, host: str, path: str) -> ReplicaRow | None:
        """Return whose a request is: a tenant with the host, else one without any; the longest prefix."""
        found = candidates(path, [length for length, count in self._totals.lengths.items() if count])
        with self._reading() as conn:
            for place in ("=" + host.lower(), ANY):
                for at in range(0, len(found), CHUNK):
                    some = found[at : at + CHUNK]
                    row = conn.execute(
                        f"SELECT {ROW} FROM hosts JOIN rows ON rows.name = hosts.name WHERE hosts.host = ?"
                        f" AND hosts.prefix IN ({','.join('?' * len(some))})"
                        " ORDER BY length(hosts.prefix) DESC, hosts.name LIMIT 1",
                        (place, *some),
                    ).fetchone()
                    if row is not None:
                        return self._row(row)
        return None

    def get(self, name: str) -> ReplicaRow | None:
        """Return one tenant; None where there is none, or it was removed."""
        with self._reading() as conn:
            return self._row(
                conn.execute(f"SELECT {ROW} FROM rows WHERE name = ? AND state <> ''", (name,)).fetchone()
            )

    def page(self, after: str = "", limit: int = 100) -> list[ReplicaRow]:
        """Return tenants by name, past one."""
        with self._reading() as conn:
            made = [
                self._row(found)
                for found in conn.execute(
                    f"SELECT {ROW} FROM rows WHERE name > ? AND state <> '' ORDER BY name LIMIT ?",
                    (after, limit),
                )
            ]
            return [row for row in made if row is not None]

    def prefixes(self, host: str, most: int) -> list[tuple[bool, str, str]] | None:
        """Return who takes requests of a host: is it named, prefix and tenant. None: more than so many."""
        with self._reading() as conn:
            found = conn.execute(
                "SELECT host, prefix, name FROM hosts WHERE host IN (?, ?) LIMIT ?",
                ("=" + host.lower(), ANY, most + 1),
            ).fetchall()
        return None if len(found) > most else [(place != ANY, prefix, name) for place, prefix, name in found]

    def sharing(self, host: str, prefix: str) -> list[str]:
        """Return the names of tenants with a host ("": without any) and just this prefix; the first wins."""
        with self._reading() as conn:
            return [
                name
                for (name,) in conn.execute(
                    "SELECT name FROM hosts WHERE host = ? AND prefix = ? ORDER BY name LIMIT 100",
                    ("=" + host.lower() if host else ANY, prefix),
                )
            ]

    def count(self) -> int:
        """Return how many tenants there are."""
        return self._totals.count

    def guaranteed(self) -> float:
        """Return the sum of all guarantees."""
        return self._totals.guarantee / GUARANTEE

    def audit(self, after: int = 0, limit: int = 100) -> list[ReplicaAuditEntry]:
        """Return the trail past a number, oldest first."""
        with self._reading() as conn:
            return [
                ReplicaAuditEntry(number, self._control[stream], *more)
                for number, stream, *more in conn.execute(
                    "SELECT * FROM audit WHERE id > ? ORDER BY id LIMIT ?", (after, limit)
                )
            ]

    def key(self, text: str) -> str | None:
        """Return the name of the tenant that a call with this idempotency key changed."""
        with self._reading() as conn:
            found = conn.execute("SELECT name FROM keys WHERE key = ?", (text,)).fetchone()
            return None if found is None else str(found[0])

    def unreadable(self, limit: int = 100) -> list[tuple[str, str]]:
        """Return names of rows that this node can't serve, and why."""
        with self._reading() as conn:
            return [
                (name, reason)
                for name, reason in conn.execute(
                    "SELECT name, reason FROM unreadable ORDER BY name LIMIT ?", (limit,)
                )
            ]

    def unreadable_count(self) -> int:
        """Return how many there are."""
        with self._reading() as conn:
            return int(conn.execute("SELECT count(*) FROM unreadable").fetchone()[0])

    # Checks, by the service's thread

    def recheck(self, by: str, limit: int = 100) -> bool:
        """Check so many rows that were not checked since a fill or by other settings; False: all are.

        `by` tells the settings that rows are checked by from others.
        """
        with self._changing(durable=False) as conn:
            kept = dict(conn.execute("SELECT key, value FROM meta WHERE key LIKE 'checked%'"))
            if kept["checked_by"] != by:
                kept = {"checked_by": by, "checked_upto": ""}
            elif kept["checked_upto"] is None:
                return False
            rows = conn.execute(
                "SELECT name, state, tenant FROM rows WHERE name > ? ORDER BY name LIMIT ?",
                (kept["checked_upto"], limit),
            ).fetchall()
            names = []
            for name, state, tenant in rows:
                placed = _placed(state, tenant)
                if not state or placed is None:
                    continue
                reason = self._reason(name, tenant)
                before = conn.execute("SELECT reason FROM unreadable WHERE name = ?", (name,)).fetchone()
                if reason == (before[0] if before else ""):
                    continue
                names.append(name)
                if before:
                    conn.execute("DELETE FROM unreadable WHERE name = ?", (name,))
                if reason:
                    conn.execute("INSERT INTO unreadable VALUES(?, ?)", (name, reason))
            upto = rows[-1][0] if len(rows) == limit else None
            conn.executemany(
                "UPDATE meta SET value = ? WHERE key = ?", [(by, "checked_by"), (upto, "checked_upto")]
            )
        self.changed(names)
        return upto is not None

    def check(self) -> bool:
        """Look through all pages; False where the copy turns out to be damaged. Takes long."""
        with contextlib.suppress(DamagedReplicaError), self._reading() as conn:
            found = conn.execute("PRAGMA quick_check(1)").fetchone()[0]
            if found == "ok":
                return True
            self.damaged = self.damaged or str(found)
        return False
