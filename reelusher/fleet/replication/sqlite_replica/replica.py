"""The replica of the tenant table in a SQLite file, in WAL mode.

Opening a file checks its header, owner, totals and positions, which takes a few reads however many rows there
are. The write-ahead log has checksums of its own. `check` reads all pages. The service calls it periodically,
but not at the start, since reading 260,000 rows would delay each start.

Once a read or write finds the file damaged, look-ups and transactions raise `DamagedReplicaError`. `recreate`
renames the file and creates a new one; meanwhile the node serves the tenants that it has in memory, and then
it pulls all rows again. Every partition of the new file is marked `lost`: the file doesn't tell which indexes
were assigned before, so a leader accepts no change until an operator has ordered a take-over, which begins a
new term (see `leadership`).

If the disk is full or a write fails, the transaction is rolled back and `ReplicaError` raised: a pull is
retried later, a change is rejected.

A change that a leader accepts is synced before `apply` returns (`synchronous=FULL`). Pulled entries are not
(`NORMAL`): a power cut may lose them together with the position that includes them, and they are pulled
again. Killing the process loses neither.
"""

import sqlite3
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager, suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

from reelusher.fleet.replication.messages import MAX_SEGMENT_BYTES, LogEntry
from reelusher.fleet.replication.positions import first_term
from reelusher.fleet.replication.replica_store import (
    MIN_KEPT_INDEXES,
    PartitionState,
    ReplicaError,
    SegmentBatch,
)
from reelusher.fleet.replication.sqlite_replica import integrity, queries, schema
from reelusher.fleet.replication.sqlite_replica.database import Database
from reelusher.fleet.replication.sqlite_replica.errors import DamagedReplicaError
from reelusher.fleet.replication.sqlite_replica.partitions import PartitionTable
from reelusher.fleet.replication.sqlite_replica.rows import GUARANTEE_UNITS, ReplicaAuditEntry, ReplicaRow
from reelusher.fleet.replication.sqlite_replica.totals import RowTotals, read_totals, write_totals
from reelusher.fleet.replication.sqlite_replica.writes import RowWriter, SegmentContext, TenantCheck


class SqliteReplica:
    """One node's replica. Any thread may call it."""

    def __init__(
        self,
        path: Path,
        fleet: str,
        control: Sequence[str],
        check_tenant: TenantCheck = lambda name, tenant: "",
        wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        """Open the file, or create it; a damaged file is renamed and replaced. Raises `ReplicaError`.

        `check_tenant` receives a tenant's name and JSON and returns "" or why this node can't serve it.
        `wall_ms` returns Unix time in milliseconds.
        """
        self.path, self._fleet, self._wall_ms = path, fleet, wall_ms
        self.check_tenant = check_tenant
        # called without a lock of the replica
        self.on_change: Callable[[list[str]], None] = lambda names: None
        self.damage_at_open = ""  # why the file was replaced when it was opened; "" if it was not
        self.totals = RowTotals()  # replaced as a whole when a transaction is committed
        self._partitions = PartitionTable(path, control)
        self.database = Database(path)
        try:
            self._open_or_recreate()
        except ReplicaError:
            self.close()
            raise

    # Opening and closing

    def _open_or_recreate(self) -> None:
        try:
            self._open(lost=False)
        except DamagedReplicaError as error:
            self._replace_file()
            self.damage_at_open = str(error)

    def _open(self, lost: bool) -> None:
        """Open and check the file. `lost`: if it is new, it replaces a damaged one; mark its partitions."""
        with self.database.guard():
            writer = self.database.open_writer()
            schema.verify_header(writer, self.path)
            self.database.configure_writer(writer)
            if schema.is_empty(writer):
                self._create(lost)
            schema.verify_owner(writer, self.path, self._fleet, self._partitions.names)
            self.totals = read_totals(writer, self.path)
            integrity.verify_positions(writer, self.path, self._partitions)
            self.database.open_readers()

    def _create(self, lost: bool) -> None:
        control = self._partitions.names
        last_row_id = self._wall_ms() * 1000  # above all ids of a file that this one replaces
        writer = self.database.writer
        assert writer is not None
        writer.execute("BEGIN IMMEDIATE")
        schema.create_tables(writer, self._fleet, control, last_row_id)
        if lost:
            for partition in control:
                state = PartitionState(first_term(partition, control), lost=True)
                self._partitions.write(writer, partition, state)
        schema.write_header(writer)
        writer.execute("COMMIT")

    def _replace_file(self) -> None:
        self.database.disconnect()
        self.database.quarantine(self._wall_ms())
        self._open(lost=True)
        self.database.damage = ""

    def recreate(self) -> Path:
        """Rename the damaged file and create a new one; return the path of the renamed file.

        Raises `ReplicaError`.
        """
        with self.database.writer_lock:
            self._replace_file()
            return self.quarantined_files[-1]

    def close(self) -> None:
        """Close the file and release its lock."""
        self.database.close()

    @property
    def damage(self) -> str:
        """Why the file is damaged, until `recreate` replaces it; "" if no damage was found."""
        return self.database.damage

    @property
    def quarantined_files(self) -> list[Path]:
        """The damaged files that were renamed, oldest first."""
        return self.database.quarantined

    # Replication: `ReplicaStore`

    def states(self) -> dict[str, PartitionState]:
        """Return the states of all partitions that were ever written."""
        with self.database.write_connection() as conn:
            return self._partitions.read_all(conn)

    def read_batch(
        self, partition: str, since: int, max_bytes: int = MAX_SEGMENT_BYTES
    ) -> SegmentBatch | None:
        """Return entries past `since` and up to the position; None for a partition never written."""
        with self.database.segment_transaction() as conn:
            state = self._partitions.read(conn, partition)
            if state is None:
                return None
            partition_id = self._partitions.ids[partition]
            entries, more = queries.read_entries(conn, partition_id, since, state.index, max_bytes)
            return SegmentBatch(state, entries, more)

    @contextmanager
    def _transaction(self, durable: bool) -> Iterator[tuple[sqlite3.Connection, RowWriter]]:
        """Run one transaction; the totals change only if it is committed."""
        with self.database.writer_lock:
            with self.database.transaction(durable) as conn:
                writer = RowWriter(conn, self.totals.copy(), self.check_tenant)
                yield conn, writer
                write_totals(conn, writer.totals, self.totals)
            self.totals = writer.totals

    def apply(
        self,
        partition: str,
        entries: Sequence[LogEntry],
        state: PartitionState,
        drop_older: bool = False,
        durable: bool = False,
        audited: bool = True,
    ) -> list[str]:
        """Write entries and the state; see `ReplicaStore`."""
        with self._transaction(durable) as (conn, writer):
            partition_id = self._partitions.ids[partition]
            names = writer.apply(
                entries, SegmentContext(partition_id, state.generation, self._wall_ms(), audited)
            )
            if drop_older:
                names += writer.drop_older(partition_id, state.generation)
            if audited:
                writer.trim_history()
            elif entries:
                integrity.restart_recheck(conn)
            self._partitions.write(conn, partition, state)
            return names

    def set_aside_divergent(self, partition: str, past_index: int, state: PartitionState) -> int:
        """Copy rows past an index to the divergent rows, and store the state; see `ReplicaStore`."""
        with self._transaction(durable=True) as (conn, writer):
            count = writer.set_aside_divergent(
                self._partitions.ids[partition], past_index, state.term, self._wall_ms()
            )
            writer.trim_history()
            self._partitions.write(conn, partition, state)
            return count

    def drop_set_aside(self, partition: str) -> list[str]:
        """Delete the rows that were set aside and return their names; see `ReplicaStore`."""
        with self._transaction(durable=True) as (_, writer):
            return writer.drop_set_aside(self._partitions.ids[partition])

    def collect(self, partition: str, before_ms: int, kept_indexes: int = MIN_KEPT_INDEXES) -> int:
        """Delete old tombstones and return how many; see `ReplicaStore`."""
        with self._transaction(durable=False) as (conn, writer):
            state = self._partitions.read(conn, partition)
            if state is None:
                return 0
            partition_id = self._partitions.ids[partition]
            indexes = writer.collect_tombstones(partition_id, state.index - kept_indexes, before_ms)
            if indexes:
                horizon = max(state.horizon, *indexes)
                self._partitions.write(conn, partition, replace(state, horizon=horizon))
            return len(indexes)

    def notify_changed(self, names: Iterable[str]) -> None:
        """Call `on_change` with the names that changed, if there are any."""
        changed_names = list(names)
        if changed_names:
            self.on_change(changed_names)

    # Look-ups for serving and the administration API

    def match(self, host: str, path: str) -> ReplicaRow | None:
        """Return the tenant that a request is routed to, see `find_by_route`; None if there is none."""
        lengths = [length for length, count in self.totals.prefix_lengths.items() if count]
        with self.database.lookup_connection() as conn:
            return queries.find_by_route(conn, self._partitions.names, lengths, host, path)

    def get(self, name: str) -> ReplicaRow | None:
        """Return one tenant; None if it does not exist or was removed."""
        with self.database.lookup_connection() as conn:
            return queries.find_by_name(conn, self._partitions.names, name)

    def page(self, after: str = "", limit: int = 100) -> list[ReplicaRow]:
        """Return at most `limit` tenants with names after `after`, sorted by name."""
        with self.database.lookup_connection() as conn:
            return queries.list_rows(conn, self._partitions.names, after, limit)

    def prefixes(self, host: str, limit: int) -> list[tuple[bool, str, str]] | None:
        """Return the tenants that serve a host: whether each names it, their prefixes and names.

        None if there are more than `limit`.
        """
        with self.database.lookup_connection() as conn:
            found = queries.list_prefixes(conn, host, limit + 1)
        return None if len(found) > limit else found

    def names_sharing_route(self, host: str, prefix: str) -> list[str]:
        """Return the names of tenants with this host ("": those without hosts) and exactly this prefix.

        The names are sorted; the first tenant gets the requests.
        """
        with self.database.lookup_connection() as conn:
            return queries.list_sharing(conn, host, prefix)

    def count(self) -> int:
        """Return the number of tenants."""
        return self.totals.count

    def guarantee_sum(self) -> float:
        """Return the sum of the guarantees of all tenants."""
        return self.totals.guarantee / GUARANTEE_UNITS

    def audit(self, after: int = 0, limit: int = 100) -> list[ReplicaAuditEntry]:
        """Return at most `limit` audit entries with numbers above `after`, oldest first."""
        with self.database.lookup_connection() as conn:
            return queries.list_audit(conn, self._partitions.names, after, limit)

    def name_by_key(self, key: str) -> str | None:
        """Return the name of the tenant that a call with this idempotency key changed; None if unknown."""
        with self.database.lookup_connection() as conn:
            return queries.name_by_key(conn, key)

    def divergent_rows(self, after: int = 0, limit: int = 100) -> list[dict[str, Any]]:
        """Return divergent rows with numbers above `after`, oldest first; see `queries.list_divergent`."""
        with self.database.lookup_connection() as conn:
            return queries.list_divergent(conn, self._partitions.names, after, limit)

    def unreadable(self, limit: int = 100) -> list[tuple[str, str]]:
        """Return the names of rows that this node can't serve, sorted, each with the reason."""
        with self.database.lookup_connection() as conn:
            return queries.list_unreadable(conn, limit)

    def unreadable_count(self) -> int:
        """Return the number of rows that this node can't serve."""
        with self.database.lookup_connection() as conn:
            return queries.count_unreadable(conn)

    # Checks, called by the service

    def recheck(self, checked_by: str, limit: int = 100) -> bool:
        """Check at most `limit` further rows, in the order of their names; return whether rows are left.

        Begin with the first row again after entries were applied without audit, and with a new `checked_by`,
        which identifies the settings. Raises `ReplicaError`.
        """
        with self._transaction(durable=False) as (conn, _):
            result = integrity.recheck_rows(conn, checked_by, limit, self.check_tenant)
        self.notify_changed(result.changed_names)
        return result.more

    def check(self) -> bool:
        """Read all pages, which takes long; return whether the file is intact, and set `damage` if it is not.

        Raises `ReplicaError` if the file can't be read for another reason than damage.
        """
        with suppress(DamagedReplicaError), self.database.lookup_connection() as conn:
            fault = integrity.find_page_damage(conn)
            if not fault:
                return True
            self.database.damage = self.damage or fault
        return False
