"""The replicated table of tenants, as the administration API of each node uses it.

Reads are answered from the node's own replica. A change is made by the leader of the partition that the
tenant's name belongs to, which checks the row, numbers it and makes it durable before it is replicated.
"""

import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager, suppress
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from reelusher.config.checked_table import CheckedTable, ConfigError
from reelusher.config.operator.tenants import Tenant, read_tenant
from reelusher.core.counters import Counters
from reelusher.fleet.replication.messages import MAX_TENANT_BYTES, LogEntry
from reelusher.fleet.replication.positions import Position, leader_of, partition_of
from reelusher.fleet.replication.replica import NotLeaderError
from reelusher.fleet.replication.replica_store import ReplicaError
from reelusher.fleet.replication.service import Replication
from reelusher.fleet.replication.sqlite_replica import ReplicaAuditEntry, ReplicaRow
from reelusher.storage.errors import JournalError
from reelusher.storage.tenant_state import AuditEntry, ChangeKind

LOCK_TIMEOUT_S = 1.0  # longest wait of a change for others; a forwarded call waits a little longer
DERIVED_KEYS = "state", "shadowed", "shadows", "unreadable"  # keys of answers that are no tenant fields
MAX_GUARANTEE_SUM = 1 + 1e-8  # includes a rounding tolerance: guarantees are stored in billionths
MAX_OVERLAPS = 20  # limit, for one tenant, of the overlaps reported in each direction
MAX_CHECKED_CHANGES = 100  # a batch of more changes is the bootstrap of a replica and is not checked
MAX_ACTOR_LENGTH = 256  # characters of the name of a change's author


class TableBusyError(Exception):
    """This node can't make a change at present; nothing was changed."""


@dataclass(slots=True, frozen=True)
class Overlap:
    """A host and prefix that two tenants name; only one of them receives the requests."""

    host: str  # "*" where neither tenant names a host
    tenant: str  # name of the other tenant

    def to_json(self) -> dict[str, str]:
        """Return the overlap as the administration API shows it."""
        return {"host": self.host, "tenant": self.tenant}


@dataclass(slots=True, frozen=True)
class ReplicatedTenant:
    """One version of a tenant in the replica."""

    tenant: dict[str, Any]
    state: str
    version: str  # TERM.INDEX of the change that stored it
    unreadable: str = ""  # reason why this node can't serve it; empty if it can
    shadowed_by: tuple[Overlap, ...] = ()  # locations that it names where others receive the requests
    shadows: tuple[Overlap, ...] = ()  # locations that others name where it receives the requests


def format_position(position: Position) -> str:
    """Return a position as text: TERM.INDEX."""
    return f"{position.term}.{position.log_index}"


def read_tenant_row(row: ReplicaRow) -> ReplicatedTenant:
    """Return the tenant of a row of the replica."""
    return ReplicatedTenant(
        _decode_tenant(row.name, row.tenant), row.state, f"{row.term}.{row.index}", row.unreadable
    )


def _decode_tenant(name: str, data: bytes) -> dict[str, Any]:
    """Decode a tenant's JSON; return only the name if it is invalid."""
    try:
        value = msgspec.json.decode(data)
    except msgspec.DecodeError:
        value = None
    return {**value, "name": name} if isinstance(value, dict) else {"name": name}


def read_audit_entry(change: ReplicaAuditEntry) -> AuditEntry:
    """Return the audit entry of a change in the replica."""
    before, after = (
        {**_decode_tenant(change.name, data), "state": state} if state else None
        for state, data in ((change.before_state, change.before), (change.after_state, change.after))
    )
    kind = ChangeKind.REMOVE if after is None else ChangeKind.PUT
    if before and after and change.before == change.after and change.before_state != change.after_state:
        kind = ChangeKind.SET_STATE
    return AuditEntry(change.number, kind, change.name, change.who, change.at_ms, before, after)


class ReplicatedTable:
    """The table on one node; a `TenantTable` for names whose partitions this node leads."""

    def __init__(
        self,
        replication: Replication,
        class_names: tuple[str, ...],
        backends: frozenset[str],
        counters: Counters,
        wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        self.replication, self.store = replication, replication.store
        self.replica = replication.replica
        self.own_name = self.replica.own_name
        self._class_names, self._backends = class_names, backends
        self._counters, self._wall_ms = counters, wall_ms
        self._lock = threading.RLock()

    # Partitions and leaders

    def partition_of(self, name: str) -> str:
        """Return the partition that a tenant's name belongs to."""
        return partition_of(name, self.replica.control)

    def leader(self, partition: str) -> str:
        """Return the name of the member that leads a partition in the newest term that this node knows."""
        return leader_of(self.replica.states[partition].term, self.replica.control)

    def position(self, partition: str) -> Position:
        """Return the position of this node in a partition."""
        state = self.replica.states[partition]
        return Position(state.term, state.index)

    def position_ahead(self, partition: str) -> Position | None:
        """Return the highest position that members announced recently; None if it is not ahead."""
        return self.replica.pulls.claimed(partition, time.monotonic())

    # Reads, from this node's replica

    def get(self, name: str) -> ReplicatedTenant | None:
        """Return the current version of a tenant; None if it does not exist."""
        row = self.store.get(name)
        return None if row is None else read_tenant_row(row)

    def page(self, after: str, limit: int) -> list[ReplicatedTenant]:
        """Return at most `limit` tenants with names after `after`, sorted by name."""
        return [read_tenant_row(row) for row in self.store.page(after, limit)]

    def created_by(self, idempotency_key: str) -> str | None:
        """Return the name of the tenant that a call with this idempotency key created."""
        return self.store.name_by_key(idempotency_key)

    def audit(self, after: int, limit: int) -> list[AuditEntry]:
        """Return at most `limit` changes with numbers above `after`, in the order of their arrival here."""
        return [read_audit_entry(change) for change in self.store.audit(after, limit)]

    # Validation

    def parse(self, value: Any, name: str | None = None) -> Tenant:
        """Validate a tenant in JSON; `name` is the name in the path of the call, where there is one.

        Raises `ConfigError`.
        """
        if isinstance(value, dict):
            for key in DERIVED_KEYS:
                value.pop(key, None)
        if name is not None and isinstance(value, dict) and value.setdefault("name", name) != name:
            raise ConfigError("name", "is not the name in the path")
        tenant = read_tenant(CheckedTable(value), self._class_names, self._backends)
        before = self.get(tenant.name)
        current_guarantee = _guarantee(before.tenant) if before else 0.0
        if (
            tenant.share.guarantee > current_guarantee
            and self.store.guarantee_sum() - current_guarantee + tenant.share.guarantee > MAX_GUARANTEE_SUM
        ):
            raise ConfigError("share.guarantee", "the guarantees of all shares add up to more than 1")
        try:
            size = len(msgspec.json.encode(tenant.to_json()))
        except UnicodeEncodeError as error:  # a lone surrogate
            raise ConfigError(tenant.name, f"it is no Unicode: {error}") from None
        if size > MAX_TENANT_BYTES:
            raise ConfigError(tenant.name, f"at most {MAX_TENANT_BYTES} bytes of JSON are wanted, not {size}")
        return tenant

    def with_overlaps(self, version: ReplicatedTenant) -> ReplicatedTenant:
        """Return a tenant together with its overlaps with other tenants."""
        shadowed_by: list[Overlap] = []
        shadows: list[Overlap] = []
        own_tenant, prefix = str(version.tenant["name"]), str(version.tenant.get("prefix", "/"))
        for host in version.tenant.get("hosts") or [""]:
            for other in self.store.names_sharing_route(str(host), prefix)[:MAX_OVERLAPS]:
                if other != own_tenant:
                    overlaps = shadowed_by if other < own_tenant else shadows
                    overlaps.append(Overlap(str(host) or "*", other))
        return replace(
            version, shadowed_by=tuple(shadowed_by[:MAX_OVERLAPS]), shadows=tuple(shadows[:MAX_OVERLAPS])
        )

    # Changes, by the leader only

    @contextmanager
    def exclusive(self) -> Iterator[None]:
        """Lock the partitions that this node leads against other changes. Raises `TableBusyError`."""
        if not self._lock.acquire(timeout=LOCK_TIMEOUT_S):
            raise TableBusyError("other changes are being made")
        try:
            yield
        finally:
            self._lock.release()

    def change(
        self,
        kind: ChangeKind,
        name: str,
        actor: str,
        tenant: dict[str, Any] | None = None,
        state: str = "active",
        idempotency_key: str = "",
    ) -> ReplicatedTenant | None:
        """Number one change, make it durable, and return the tenant after it; None if it was removed.

        Raises `TableBusyError` and `JournalError`.
        """
        before = self.get(name)
        if kind is ChangeKind.PUT:
            state = before.state if before else state
        elif kind is ChangeKind.REMOVE:
            state, tenant = "", None
        elif before is not None:
            tenant = before.tenant
        data = b"" if tenant is None else msgspec.json.encode(tenant)
        after = None if tenant is None else self.with_overlaps(ReplicatedTenant(tenant, state, ""))
        proposal = LogEntry(0, name, self._wall_ms(), actor[:MAX_ACTOR_LENGTH], state, data, idempotency_key)
        try:
            entry = self.replication.leadership.accept(self.partition_of(name), proposal)
        except NotLeaderError as error:
            raise TableBusyError(str(error)) from None
        except ReplicaError as error:
            raise JournalError(str(error)) from None
        if after is None:
            return None
        self._log_overlaps(after)
        return replace(after, version=f"{entry.term}.{entry.index}")

    def report_overlaps(self, names: Sequence[str]) -> None:
        """Log overlaps of rows that other leaders changed with rows of partitions that this node leads.

        Overlaps across partitions are detected only when this node receives the changes of other leaders.
        """
        if self.own_name not in self.replica.control or len(names) > MAX_CHECKED_CHANGES:
            return
        for name in names:
            if self.leader(self.partition_of(name)) == self.own_name:
                continue  # logged when the change was made
            with suppress(ReplicaError):
                version = self.get(name)
                if version is not None:
                    self._log_overlaps(self._with_overlaps_in_led_partitions(version))

    def _with_overlaps_in_led_partitions(self, version: ReplicatedTenant) -> ReplicatedTenant:
        """Return a tenant with its overlaps with tenants of partitions that this node leads."""
        version = self.with_overlaps(version)
        return replace(
            version,
            shadowed_by=self._in_led_partitions(version.shadowed_by),
            shadows=self._in_led_partitions(version.shadows),
        )

    def _in_led_partitions(self, overlaps: tuple[Overlap, ...]) -> tuple[Overlap, ...]:
        return tuple(
            overlap for overlap in overlaps if self.leader(self.partition_of(overlap.tenant)) == self.own_name
        )

    def _log_overlaps(self, version: ReplicatedTenant) -> None:
        name = str(version.tenant["name"])
        for overlap in version.shadowed_by:
            self._log_overlap(overlap.tenant, name, overlap.host)
        for overlap in version.shadows:
            self._log_overlap(name, overlap.tenant, overlap.host)

    def _log_overlap(self, winner: str, loser: str, host: str) -> None:
        self._counters.warn(
            "replication.shadowed",
            "replication: tenant {} gets the requests of a host and prefix that tenant {} also names: {}",
            winner,
            loser,
            host,
        )

    def take_over(self, partition: str, force: bool) -> Position:
        """Start a term of a partition with this member as its leader.

        Raises `TableBusyError` and `JournalError`.
        """
        with self.exclusive():
            try:
                return self.replication.leadership.take_over(partition, force)
            except NotLeaderError as error:
                raise TableBusyError(str(error)) from None
            except ReplicaError as error:
                raise JournalError(str(error)) from None


def _guarantee(tenant: dict[str, Any]) -> float:
    share = tenant.get("share")
    guarantee = share.get("guarantee", 0.0) if isinstance(share, dict) else 0.0
    return float(guarantee) if isinstance(guarantee, int | float) else 0.0
