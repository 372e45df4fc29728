"""Writes within one transaction: rows, look-up tables, totals, audit trail, and divergent rows."""

import sqlite3
from collections.abc import Callable, Iterable
from typing import NamedTuple

from reelusher.fleet.replication.messages import LogEntry
from reelusher.fleet.replication.sqlite_replica.rows import RoutingKeys, routing_keys
from reelusher.fleet.replication.sqlite_replica.totals import RowTotals

MAX_AUDIT_ENTRIES = 1000
MAX_IDEMPOTENCY_KEYS = 10_000
MAX_DIVERGENT_ROWS = 10_000

TenantCheck = Callable[[str, bytes], str]  # given name and JSON: "" or why this node can't serve the tenant


class StoredRow(NamedTuple):
    """The columns of a stored row that are needed to replace or delete it."""

    row_id: int
    log_index: int
    state: str
    tenant: bytes
    guarantee: int
    term: int
    generation: int

    def equals(self, entry: LogEntry) -> bool:
        """Return whether this row is the entry."""
        return (self.term, self.log_index) == (entry.term, entry.index)


STORED_COLUMNS = "id, number, state, tenant, guarantee, epoch, generation"  # in the order of `StoredRow`


class SegmentContext(NamedTuple):
    """Values that apply to all entries of one segment."""

    partition_id: int
    generation: int
    now_ms: int  # Unix time
    # entries are audited and checked at once, and their idempotency keys remembered; otherwise `recheck_rows`
    # checks them later
    audited: bool


class RowWriter:
    """Writes rows within one transaction."""

    def __init__(self, conn: sqlite3.Connection, totals: RowTotals, check_tenant: TenantCheck) -> None:
        """`totals` are changed in place and must be stored at the end. `check_tenant`: see `TenantCheck`."""
        self._conn, self.totals, self._check_tenant = conn, totals, check_tenant

    def apply(self, entries: Iterable[LogEntry], segment: SegmentContext) -> list[str]:
        """Write the entries that are newer than the stored rows of their names; return those names.

        An entry of a refill also replaces a row of an older generation, whatever its index. A row that equals
        its entry only gets the generation of the segment, so that `drop_older` keeps it.
        """
        names = []
        last_id = stored_last_id = self._last_row_id()
        for entry in entries:
            before = self._find(entry.name)
            if before is not None and before.equals(entry):
                self._conn.execute(
                    "UPDATE rows SET generation = ? WHERE id = ?", (segment.generation, before.row_id)
                )
            elif before is None or entry.index > before.log_index or before.generation < segment.generation:
                if before is None or (entry.state and not before.state):
                    last_id += 1
                self._replace(entry, segment, before, last_id)
                names.append(entry.name)
        if last_id != stored_last_id:
            self._conn.execute("UPDATE meta SET value = ? WHERE key = 'next'", (last_id,))
        return names

    def _last_row_id(self) -> int:
        return int(self._conn.execute("SELECT value FROM meta WHERE key = 'next'").fetchone()[0])

    def _find(self, name: str) -> StoredRow | None:
        columns = self._conn.execute(f"SELECT {STORED_COLUMNS} FROM rows WHERE name = ?", (name,)).fetchone()
        return None if columns is None else StoredRow._make(columns)

    def _replace(
        self, entry: LogEntry, segment: SegmentContext, before: StoredRow | None, new_id: int
    ) -> None:
        """Write an entry in place of the stored row `before`, or as a new row if that is None."""
        if before is not None:
            self._remove_from_lookups(entry.name, before)
        keys = routing_keys(entry.state, entry.tenant)
        guarantee = 0 if keys is None else keys.guarantee
        self._write_row(entry, segment, before, new_id, guarantee)
        if entry.state:
            self.totals.count += 1
            self.totals.guarantee += guarantee
            self._mark_unreadable(entry, keys, segment.audited)
            if keys is not None:  # even if it is unreadable: its requests must not go to other tenants
                self._add_to_lookups(entry.name, keys)
        if segment.audited:
            self._audit(entry, segment, before)
            self._remember_key(entry)

    def _write_row(
        self,
        entry: LogEntry,
        segment: SegmentContext,
        before: StoredRow | None,
        new_id: int,
        guarantee: int,
    ) -> None:
        columns = (
            segment.partition_id,
            entry.index,
            entry.term,
            segment.generation,
            entry.state,
            entry.tenant,
            entry.at_ms,
            entry.who,
            entry.key,
            segment.now_ms,
            guarantee,
        )
        if before is None:
            self._conn.execute(
                "INSERT INTO rows VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
                (new_id, entry.name, *columns),
            )
            return
        row_id = new_id if entry.state and not before.state else before.row_id
        self._conn.execute(
            "UPDATE rows SET id = ?, stream = ?, number = ?, epoch = ?, generation = ?, state = ?,"
            " tenant = ?, at_ms = ?, who = ?, key = ?, taken_ms = ?, guarantee = ? WHERE id = ?",
            (row_id, *columns, before.row_id),
        )

    def _mark_unreadable(self, entry: LogEntry, keys: RoutingKeys | None, check_now: bool) -> None:
        if keys is None:
            reason = "no tenant's JSON"
        else:
            reason = reason_unreadable(self._check_tenant, entry.name, entry.tenant) if check_now else ""
        if reason:
            self._conn.execute("INSERT INTO unreadable VALUES(?, ?)", (entry.name, reason))

    def _add_to_lookups(self, name: str, keys: RoutingKeys) -> None:
        self._conn.executemany(
            "INSERT INTO hosts VALUES(?, ?, ?)", [(key, keys.prefix, name) for key in keys.host_keys]
        )
        self.totals.add_prefix(keys.prefix, 1)

    def _remove_from_lookups(self, name: str, row: StoredRow) -> None:
        """Remove a row from the look-up tables and the totals."""
        if not row.state:
            return
        self.totals.count -= 1
        self.totals.guarantee -= row.guarantee
        self._conn.execute("DELETE FROM unreadable WHERE name = ?", (name,))
        keys = routing_keys(row.state, row.tenant)
        if keys is None:
            return
        self._conn.executemany(
            "DELETE FROM hosts WHERE host = ? AND prefix = ? AND name = ?",
            [(key, keys.prefix, name) for key in keys.host_keys],
        )
        self.totals.add_prefix(keys.prefix, -1)

    def _audit(self, entry: LogEntry, segment: SegmentContext, before: StoredRow | None) -> None:
        before_state, before_tenant = "", b""
        if before is not None and before.state:
            before_state, before_tenant = before.state, before.tenant
        self._conn.execute(
            "INSERT INTO audit VALUES(NULL, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                segment.partition_id,
                entry.term,
                entry.index,
                entry.name,
                entry.who,
                entry.at_ms,
                before_state,
                before_tenant,
                entry.state,
                entry.tenant,
            ),
        )

    def _remember_key(self, entry: LogEntry) -> None:
        if entry.key:
            self._conn.execute("DELETE FROM keys WHERE key = ?", (entry.key,))
            self._conn.execute("INSERT INTO keys VALUES(NULL, ?, ?)", (entry.key, entry.name))

    def drop_older(self, partition_id: int, generation: int) -> list[str]:
        """Delete rows of older generations, which a refill did not renew; return their names."""
        return self._drop_rows("generation < ?", (partition_id, generation))

    def drop_set_aside(self, partition_id: int) -> list[str]:
        """Delete the rows that were set aside as divergent, which have index 0; return their names."""
        return self._drop_rows("number = 0", (partition_id,))

    def _drop_rows(self, condition: str, parameters: tuple[int, ...]) -> list[str]:
        dropped = self._conn.execute(
            f"SELECT name, {STORED_COLUMNS} FROM rows WHERE stream = ? AND {condition}", parameters
        ).fetchall()
        for name, *columns in dropped:
            row = StoredRow._make(columns)
            self._remove_from_lookups(name, row)
            self._conn.execute("DELETE FROM rows WHERE id = ?", (row.row_id,))
        return [name for name, *_ in dropped]

    def set_aside_divergent(self, partition_id: int, past_index: int, term: int, now_ms: int) -> int:
        """Copy rows with indexes above `past_index` to the divergent rows; return how many.

        The rows themselves stay, with the index 0. `term` is the term that sets them aside.
        """
        count = self._conn.execute(
            "INSERT INTO orphans"
            " SELECT NULL, stream, epoch, ?, number, name, at_ms, who, state, tenant, ?"
            " FROM rows WHERE stream = ? AND number > ?",
            (term, now_ms, partition_id, past_index),
        ).rowcount
        self._conn.execute(
            "UPDATE rows SET number = 0 WHERE stream = ? AND number > ?", (partition_id, past_index)
        )
        return count

    def trim_history(self) -> None:
        """Delete the oldest audit entries, idempotency keys and divergent rows beyond their limits."""
        limits = {
            "audit": MAX_AUDIT_ENTRIES,
            "keys": MAX_IDEMPOTENCY_KEYS,
            "orphans": MAX_DIVERGENT_ROWS,
        }
        for table, limit in limits.items():
            self._conn.execute(f"DELETE FROM {table} WHERE id <= (SELECT max(id) FROM {table}) - {limit}")

    def collect_tombstones(self, partition_id: int, through_index: int, before_ms: int) -> list[int]:
        """Delete tombstones with indexes up to `through_index` stored before a time; return their indexes."""
        collected = self._conn.execute(
            "SELECT id, number FROM rows WHERE stream = ? AND state = '' AND number > 0"
            " AND number <= ? AND taken_ms < ?",
            (partition_id, through_index, before_ms),
        ).fetchall()
        self._conn.executemany("DELETE FROM rows WHERE id = ?", [(row_id,) for row_id, _ in collected])
        return [index for _, index in collected]


def reason_unreadable(check_tenant: TenantCheck, name: str, tenant: bytes) -> str:
    """Return why this node can't serve a tenant, or ""; an exception that the check raises is a reason."""
    try:
        return check_tenant(name, tenant)
    except Exception as error:
        return f"{type(error).__name__}: {error}"
