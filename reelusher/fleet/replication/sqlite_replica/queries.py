"""Queries of the replica: look-ups for serving, listings for the administration API, segments for members."""

import sqlite3
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from reelusher.fleet.replication.messages import LogEntry
from reelusher.fleet.replication.sqlite_replica.rows import (
    ANY_HOST,
    ROW_COLUMNS,
    ReplicaAuditEntry,
    ReplicaRow,
    candidate_prefixes,
    host_key,
    row_from_columns,
)

PREFIXES_PER_QUERY = 64
MAX_SHARING_NAMES = 100

DIVERGENT_ROW_KEYS = (  # JSON keys of the administration API, in the order of the columns
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

PartitionNames = tuple[str, ...]  # names of the partitions, by their ids in the file


def find_by_route(
    conn: sqlite3.Connection, partitions: PartitionNames, lengths: Iterable[int], host: str, path: str
) -> ReplicaRow | None:
    """Return the tenant that a request is routed to; None if there is none.

    A tenant that names the host takes precedence over one without hosts, then the longest prefix, then the
    first name. `lengths` are the lengths of all prefixes in use.
    """
    prefixes = candidate_prefixes(path, lengths)
    for key in (host_key(host), ANY_HOST):
        for start in range(0, len(prefixes), PREFIXES_PER_QUERY):
            row = _longest_match(conn, partitions, key, prefixes[start : start + PREFIXES_PER_QUERY])
            if row is not None:
                return row
    return None


def _longest_match(
    conn: sqlite3.Connection, partitions: PartitionNames, key: str, prefixes: Sequence[str]
) -> ReplicaRow | None:
    columns = conn.execute(
        f"SELECT {ROW_COLUMNS} FROM hosts JOIN rows ON rows.name = hosts.name WHERE hosts.host = ?"
        f" AND hosts.prefix IN ({','.join('?' * len(prefixes))})"
        " ORDER BY length(hosts.prefix) DESC, hosts.name LIMIT 1",
        (key, *prefixes),
    ).fetchone()
    return None if columns is None else row_from_columns(columns, partitions)


def find_by_name(conn: sqlite3.Connection, partitions: PartitionNames, name: str) -> ReplicaRow | None:
    """Return one tenant; None if it does not exist or was removed."""
    columns = conn.execute(
        f"SELECT {ROW_COLUMNS} FROM rows WHERE name = ? AND state <> ''", (name,)
    ).fetchone()
    return None if columns is None else row_from_columns(columns, partitions)


def list_rows(
    conn: sqlite3.Connection, partitions: PartitionNames, after_name: str, limit: int
) -> list[ReplicaRow]:
    """Return at most `limit` tenants with names after `after_name`, sorted by name."""
    rows = conn.execute(
        f"SELECT {ROW_COLUMNS} FROM rows WHERE name > ? AND state <> '' ORDER BY name LIMIT ?",
        (after_name, limit),
    )
    return [row_from_columns(columns, partitions) for columns in rows]


def list_prefixes(conn: sqlite3.Connection, host: str, limit: int) -> list[tuple[bool, str, str]]:
    """Return at most `limit` tenants that serve a host: whether each names it, their prefixes and names."""
    routes = conn.execute(
        "SELECT host, prefix, name FROM hosts WHERE host IN (?, ?) LIMIT ?",
        (host_key(host), ANY_HOST, limit),
    )
    return [(key != ANY_HOST, prefix, name) for key, prefix, name in routes]


def list_sharing(conn: sqlite3.Connection, host: str, prefix: str) -> list[str]:
    """Return the sorted names of tenants with this host ("": those without hosts) and exactly this prefix."""
    names = conn.execute(
        f"SELECT name FROM hosts WHERE host = ? AND prefix = ? ORDER BY name LIMIT {MAX_SHARING_NAMES}",
        (host_key(host) if host else ANY_HOST, prefix),
    )
    return [name for (name,) in names]


def list_audit(
    conn: sqlite3.Connection, partitions: PartitionNames, after: int, limit: int
) -> list[ReplicaAuditEntry]:
    """Return at most `limit` audit entries with numbers above `after`, oldest first."""
    entries = conn.execute("SELECT * FROM audit WHERE id > ? ORDER BY id LIMIT ?", (after, limit))
    return [
        ReplicaAuditEntry(number, partitions[partition_id], *columns)
        for number, partition_id, *columns in entries
    ]


def list_divergent(
    conn: sqlite3.Connection, partitions: PartitionNames, after: int, limit: int
) -> list[dict[str, Any]]:
    """Return divergent rows with numbers above `after`, oldest first, as the administration API has them."""
    rows = conn.execute("SELECT * FROM orphans WHERE id > ? ORDER BY id LIMIT ?", (after, limit))
    return [
        {**dict(zip(DIVERGENT_ROW_KEYS, columns, strict=True)), "stream": partitions[columns[1]]}
        for columns in rows
    ]


def name_by_key(conn: sqlite3.Connection, key: str) -> str | None:
    """Return the name of the tenant that a call with this idempotency key changed; None if it is unknown."""
    found = conn.execute("SELECT name FROM keys WHERE key = ?", (key,)).fetchone()
    return None if found is None else str(found[0])


def list_unreadable(conn: sqlite3.Connection, limit: int) -> list[tuple[str, str]]:
    """Return the names of rows that this node can't serve, sorted, each with the reason."""
    rows = conn.execute("SELECT name, reason FROM unreadable ORDER BY name LIMIT ?", (limit,))
    return [(name, reason) for name, reason in rows]


def count_unreadable(conn: sqlite3.Connection) -> int:
    """Return the number of rows that this node can't serve."""
    return int(conn.execute("SELECT count(*) FROM unreadable").fetchone()[0])


class EntriesRead(NamedTuple):
    """Entries sorted by index, and whether the requested range has more."""

    entries: list[LogEntry]
    more: bool


def read_entries(
    conn: sqlite3.Connection, partition_id: int, since: int, through_index: int, max_bytes: int
) -> EntriesRead:
    """Return entries with indexes in `(since, through_index]`: the first one, and more up to `max_bytes`."""
    entries: list[LogEntry] = []
    bytes_left = max_bytes
    for columns in conn.execute(
        "SELECT number, name, at_ms, who, state, tenant, key, epoch FROM rows"
        " WHERE stream = ? AND number > ? AND number <= ? ORDER BY number",
        (partition_id, since, through_index),
    ):
        entry = LogEntry(*columns)
        bytes_left -= entry.size
        if bytes_left < 0 and entries:
            return EntriesRead(entries, True)
        entries.append(entry)
    return EntriesRead(entries, False)
