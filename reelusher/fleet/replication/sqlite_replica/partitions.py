"""The states of the partitions, as the table `streams` stores them."""

import sqlite3
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from reelusher.fleet.replication.positions import sorted_control
from reelusher.fleet.replication.replica_store import PartitionState
from reelusher.fleet.replication.sqlite_replica.errors import DamagedReplicaError

LOST_FLAG, RESTORED_FLAG = 1, 2  # bits of the column `doubt`
WITHHELD_SHIFT = 8  # its bits from this one on hold `withheld_from` plus 1
ALL_PARTITIONS = -1  # selects all partitions where an id is expected


class PartitionTable:
    """Reads and writes partition states; maps the names of partitions to their ids in the file."""

    def __init__(self, path: Path, control: Sequence[str]) -> None:
        self._path = path
        self.names = sorted_control(control)
        self.ids = {partition: number for number, partition in enumerate(self.names)}

    def read_all(self, conn: sqlite3.Connection) -> dict[str, PartitionState]:
        """Return the states of all partitions that were ever written."""
        return self._read(conn, ALL_PARTITIONS)

    def read(self, conn: sqlite3.Connection, partition: str) -> PartitionState | None:
        """Return the state of one partition; None if it was never written."""
        return self._read(conn, self.ids[partition]).get(partition)

    def _read(self, conn: sqlite3.Connection, partition_id: int) -> dict[str, PartitionState]:
        states = {}
        for columns in conn.execute(
            "SELECT * FROM streams WHERE ? < 0 OR stream = ?", (partition_id, partition_id)
        ):
            try:
                states[self.names[columns[0]]] = _decode(columns)
            except (msgspec.MsgspecError, IndexError, TypeError, ValueError) as error:
                raise DamagedReplicaError(self._path, str(error), "streams") from None
        return states

    def write(self, conn: sqlite3.Connection, partition: str, state: PartitionState) -> None:
        """Store the state of one partition."""
        conn.execute(
            "INSERT OR REPLACE INTO streams VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                self.ids[partition],
                state.term,
                state.index,
                msgspec.json.encode(state.bases).decode(),
                state.horizon,
                state.covered,
                state.goal,
                state.generation,
                state.cursor,
                LOST_FLAG * state.lost
                | RESTORED_FLAG * state.restored
                | (state.withheld_from + 1) << WITHHELD_SHIFT,
            ),
        )


def _decode(columns: Any) -> PartitionState:
    _, term, index, bases, horizon, covered, goal, generation, cursor, flags = columns
    return PartitionState(
        term,
        index,
        tuple((base_term, base_index) for base_term, base_index in msgspec.json.decode(bases)),
        horizon,
        covered,
        goal,
        generation,
        cursor,
        bool(flags & LOST_FLAG),
        bool(flags & RESTORED_FLAG),
        (flags >> WITHHELD_SHIFT) - 1,
    )
