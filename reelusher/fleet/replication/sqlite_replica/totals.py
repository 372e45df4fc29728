"""Totals over all rows, updated with each change so that no start and no request has to read all rows."""

import sqlite3
from dataclasses import dataclass, field
from pathlib import Path

from reelusher.fleet.replication.sqlite_replica.errors import DamagedReplicaError


@dataclass(slots=True)
class RowTotals:
    """Totals over the rows that are not tombstones."""

    count: int = 0
    guarantee: int = 0  # in `rows.GUARANTEE_UNITS`
    prefix_lengths: dict[int, int] = field(default_factory=dict)  # number of rows by length of prefix
    changed_lengths: set[int] = field(default_factory=set)  # keys of `prefix_lengths` that are to be stored

    def copy(self) -> "RowTotals":
        """Return a copy that a transaction may change, with empty `changed_lengths`."""
        return RowTotals(self.count, self.guarantee, dict(self.prefix_lengths))

    def add_prefix(self, prefix: str, row_count: int) -> None:
        """Add a number of rows with a prefix; a negative number removes them."""
        length = len(prefix)
        self.prefix_lengths[length] = self.prefix_lengths.get(length, 0) + row_count
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
    """Store the totals that differ from `before`."""
    if (totals.count, totals.guarantee) != (before.count, before.guarantee):
        conn.executemany(
            "UPDATE meta SET value = ? WHERE key = ?",
            [(totals.count, "count"), (totals.guarantee, "guarantee")],
        )
    conn.executemany(
        "INSERT OR REPLACE INTO lengths VALUES(?, ?)",
        [(length, totals.prefix_lengths[length]) for length in totals.changed_lengths],
    )
