"""Checks of the file: its positions when it is opened, its pages and rows in the course of operation."""

import sqlite3
from pathlib import Path
from typing import NamedTuple

from reelusher.fleet.replication.sqlite_replica.errors import DamagedReplicaError
from reelusher.fleet.replication.sqlite_replica.partitions import PartitionTable
from reelusher.fleet.replication.sqlite_replica.rows import routing_keys
from reelusher.fleet.replication.sqlite_replica.writes import TenantCheck, reason_unreadable

INTACT = "ok"


def verify_positions(conn: sqlite3.Connection, path: Path, partitions: PartitionTable) -> None:
    """Raise `DamagedReplicaError` if a row has an index that the state of its partition rules out."""
    for partition, state in partitions.read_all(conn).items():
        last_index = conn.execute(
            "SELECT max(number) FROM rows WHERE stream = ?", (partitions.ids[partition],)
        ).fetchone()[0]
        if (last_index or 0) > state.max_row_index:
            reason = f"a row of {partition} has the index {last_index}, past its position"
            raise DamagedReplicaError(path, reason)


def find_page_damage(conn: sqlite3.Connection) -> str:
    """Read all pages, which takes long; return the first fault found, or ""."""
    result = str(conn.execute("PRAGMA quick_check(1)").fetchone()[0])
    return "" if result == INTACT else result


class RecheckResult(NamedTuple):
    """The names of the rows that became readable or unreadable, and whether rows are left to check."""

    changed_names: list[str]
    more: bool


def recheck_rows(
    conn: sqlite3.Connection, checked_by: str, limit: int, check_tenant: TenantCheck
) -> RecheckResult:
    """Check at most `limit` further rows, in the order of their names, and store which are unreadable.

    Begin with the first row after `restart_recheck`, and if `checked_by`, which identifies the settings,
    differs from that of the last check.
    """
    after_name = _last_checked_name(conn, checked_by)
    if after_name is None:
        return RecheckResult([], False)
    rows = conn.execute(
        "SELECT name, state, tenant FROM rows WHERE name > ? ORDER BY name LIMIT ?", (after_name, limit)
    ).fetchall()
    changed = [
        name
        for name, state, tenant in rows
        if state
        and routing_keys(state, tenant) is not None
        and _update_reason(conn, name, reason_unreadable(check_tenant, name, tenant))
    ]
    last_name = rows[-1][0] if len(rows) == limit else None
    conn.executemany(
        "UPDATE meta SET value = ? WHERE key = ?",
        [(checked_by, "checked_by"), (last_name, "checked_upto")],
    )
    return RecheckResult(changed, last_name is not None)


def restart_recheck(conn: sqlite3.Connection) -> None:
    """Make `recheck_rows` begin with the first row again."""
    conn.execute("UPDATE meta SET value = '' WHERE key = 'checked_upto' AND value IS NOT ''")


def _last_checked_name(conn: sqlite3.Connection, checked_by: str) -> str | None:
    """Return the name after which unchecked rows begin, "" for the first row; None if all are checked."""
    stored = dict(conn.execute("SELECT key, value FROM meta WHERE key LIKE 'checked%'"))
    if stored["checked_by"] != checked_by:
        return ""
    last_name = stored["checked_upto"]
    return None if last_name is None else str(last_name)


def _update_reason(conn: sqlite3.Connection, name: str, reason: str) -> bool:
    """Store why a row is unreadable, "" if it is readable; return whether that changed."""
    before = conn.execute("SELECT reason FROM unreadable WHERE name = ?", (name,)).fetchone()
    if reason == (before[0] if before else ""):
        return False
    if before:
        conn.execute("DELETE FROM unreadable WHERE name = ?", (name,))
    if reason:
        conn.execute("INSERT INTO unreadable VALUES(?, ?)", (name, reason))
    return True
