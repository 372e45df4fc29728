"""The tables of a replica's file: their creation, and the checks that a file belongs to this replica.

The names of tables, columns and keys are part of the stored format. `stream` is the ordinal of a partition in
the sorted control list, `epoch` a term, `number` the index of a log entry. `orphans` holds divergent rows,
each with the term that set it aside (`past_by`). `taken_ms` and `kept_ms` are Unix times at which this node
stored a row or set it aside.
"""

import sqlite3
from pathlib import Path

from reelusher.fleet.replication.sqlite_replica.errors import ForeignReplicaError

APPLICATION_ID = 0x7265656C  # "reel" in ASCII; identifies the program in the header of the file
FORMAT_VERSION = 1

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


def is_empty(conn: sqlite3.Connection) -> bool:
    """Return whether a file has no tables yet."""
    return not conn.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]


def verify_header(conn: sqlite3.Connection, path: Path) -> None:
    """Raise `ForeignReplicaError` if the file belongs to another program or has a newer format."""
    application_id = conn.execute("PRAGMA application_id").fetchone()[0]
    version = conn.execute("PRAGMA user_version").fetchone()[0]
    if not is_empty(conn) and application_id != APPLICATION_ID:
        raise ForeignReplicaError(f"{path} is a database of something else")
    if version > FORMAT_VERSION:
        raise ForeignReplicaError(
            f"{path} has format {version}, {FORMAT_VERSION} is the newest that is known here"
        )


def create_tables(conn: sqlite3.Connection, fleet: str, control: tuple[str, ...], last_row_id: int) -> None:
    """Create the tables and fill `meta`, within an open transaction. New rows get ids above `last_row_id`."""
    for statement in SCHEMA.split(";\n"):
        if statement.strip():
            conn.execute(statement)
    conn.executemany(
        "INSERT INTO meta VALUES(?, ?)",
        [
            ("fleet", fleet),
            ("control", " ".join(control)),
            ("next", last_row_id),
            ("count", 0),
            ("guarantee", 0),
            ("checked_by", ""),
            ("checked_upto", ""),
        ],
    )


def write_header(conn: sqlite3.Connection) -> None:
    """Write the application id and the format version that `verify_header` checks."""
    conn.execute(f"PRAGMA application_id = {APPLICATION_ID}")
    conn.execute(f"PRAGMA user_version = {FORMAT_VERSION}")


def verify_owner(conn: sqlite3.Connection, path: Path, fleet: str, control: tuple[str, ...]) -> None:
    """Raise `ForeignReplicaError` if the file was created for another fleet or control list."""
    stored = dict(conn.execute("SELECT key, value FROM meta"))
    if stored.get("fleet") != fleet:
        raise ForeignReplicaError(f"{path} is of the fleet {stored.get('fleet')!r}")
    if stored.get("control") != " ".join(control):
        raise ForeignReplicaError(f"{path} is of another list of control members: {stored.get('control')}")
