"""Totals over all rows, updated with each change so that nothing is added up at a start or a request."""

import sqlite3
from dataclasses import dataclass, field
from pathlib import Path

from reelusher.fleet.replication.sqlite_replica.errors import DamagedReplicaError


@dataclass(slots=True)
class RowTotals:
    """Totals over the rows that are no tombstones."""

    count: int = 0
    guarantee: int = 0  # in `rows.GUARANTEE_UNITS`
    prefix_lengths: dict[int, int] = field(default_factory=dict)  # length of a prefix: rows that have it
    changed_lengths: set[int] = field(default_factory=set)

    def copy(self) -> "RowTotals":
        """Return a copy that a transaction may change."""
        return RowTotals(self.count, self.guarantee, dict(self.prefix_lengths))

    def add_prefix(self, prefix: str, rows: int) -> None:
        """Count rows with a prefix in, or with a negative number out."""
        length = len(prefix)
        self.prefix_lengths[length] = self.prefix_lengths.get(length, 0) + rows
        self.changed_lengths.add(length)


def read_totals(conn: sqlite3.Connection, path: Path) -> RowTotals:
    """Return the stored totals. Raises `DamagedReplicaError`."""
    stored = dict(conn.execute("SELECT key, value FROM meta WHERE key IN ('count', 'guarantee')"))
    lengths = dict(conn.execute("SELECT length, count FROM lengths WHERE count > 0"))
    try:
        return RowTotals(int(stored["count"]), int(stored["guarantee"]), lengths)
    except (KeyError, TypeError, ValueError) as error:
        raise DamagedReplicaError(path, str(error), "totals") from None


def write_totals(conn: sqlite3.Connection, totals: RowTotals, before: RowTotals) -> None:
    """Store what differs from the totals before."""
    if (totals.count, totals.guarantee) != (before.count, before.guarantee):
        conn.executemany(
            "UPDATE meta SET value = ? WHERE key = ?",
            [(totals.count, "count"), (totals.guarantee, "guarantee")],
        )
    conn.executemany(
        "INSERT OR REPLACE INTO lengths VALUES(?, ?)",
        [(length, totals.prefix_lengths[length]) for length in totals.changed_lengths],
    )
