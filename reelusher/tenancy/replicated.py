"""The replicated table of tenants, as the administration API of any node sees it.

Reads are answered from the node's own replica. A change is made by the leader of the partition that the name
belongs to: it checks the row, numbers it and makes it durable before any other member learns of it.
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

LOCK_TIMEOUT_S = 1.0  # that a change waits for another; a forwarded call waits a little longer
DERIVED_KEYS = "state", "shadowed", "shadows", "unreadable"  # of an answer, beside those of a tenant
MAX_GUARANTEES = 1 + 1e-8  # sum of all, with a tolerance: each is stored in billionths
MAX_OVERLAPS = 20  # that are reported of one tenant
MAX_CHECKED_CHANGES = 100  # at once; more are the bootstrap of a replica
MAX_ACTOR_LENGTH = 256  # characters, of who made a change


class TableBusyError(Exception):
    """A change can't be made here at present; nothing was changed."""


@dataclass(slots=True, frozen=True)
class Overlap:
    """A host and prefix that two tenants name; one of them gets the requests."""

    host: str  # "*": any, of tenants that name none
    tenant: str  # the other one

    def to_json(self) -> dict[str, str]:
        """Return it as the administration API shows it."""
        return {"host": self.host, "tenant": self.tenant}


@dataclass(slots=True, frozen=True)
class ReplicatedTenant:
    """A version of a tenant in the replica."""

    tenant: dict[str, Any]
    state: str
    version: str  # TERM.INDEX of the change that stored it
    unreadable: str = ""  # why this node can't serve it
    shadowed_by: tuple[Overlap, ...] = ()  # where others get the requests of a location that it names
    shadows: tuple[Overlap, ...] = ()  # where it gets the requests of a location that others name


def format_position(position: Position) -> str:
    """Return a position as text."""
    return f"{position.term}.{position.log_index}"


def read_tenant_row(row: ReplicaRow) -> ReplicatedTenant:
    """Return the tenant of a row of the replica."""
    return ReplicatedTenant(
        _tenant(row.name, row.tenant), row.state, f"{row.term}.{row.index}", row.unreadable
    )


def _tenant(name: str, data: bytes) -> dict[str, Any]:
    """Decode a tenant's JSON; where it is invalid, return the name alone."""
    try:
        value = msgspec.json.decode(data)
    except msgspec.DecodeError:
        value = None
    return {**value, "name": name} if isinstance(value, dict) else {"name": name}


def read_audit_entry(change: ReplicaAuditEntry) -> AuditEntry:
    """Return the audit entry of a change in the replica."""
    before, after = (
        {**_tenant(change.name, data), "state": state} if state else None
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
        """Return the name of the member that leads a partition, as far as is known here."""
        return leader_of(self.replica.states[partition].term, self.replica.control)

    def position(self, partition: str) -> Position:
        """Return the position of this node in a partition."""
        state = self.replica.states[partition]
        return Position(state.term, state.index)

    def position_ahead(self, partition: str) -> Position | None:
        """Return the furthest position announced lately, where it is past this node's."""
        return self.replica.pulls.claimed(partition, time.monotonic())

    # Reads, from this node's replica

    def get(self, name: str) -> ReplicatedTenant | None:
        """Return the current version of a tenant."""
        row = self.store.get(name)
        return None if row is None else read_tenant_row(row)

    def page(self, after: str, limit: int) -> list[ReplicatedTenant]:
        """Return at most `limit` tenants whose names come after one, in the order of their names."""
        return [read_tenant_row(row) for row in self.store.page(after, limit)]

    def created_by(self, idempotency_key: str) -> str | None:
        """Return the name of the tenant that a call with this idempotency key created."""
        return self.store.name_by_key(idempotency_key)

    def audit(self, after: int, limit: int) -> list[AuditEntry]:
        """Return at most `limit` changes with a number above one, in the order of their arrival here."""
        return [read_audit_entry(change) for change in self.store.audit(after, limit)]

    # Validation

    def parse(self, value: Any, name: str | None = None) -> Tenant:
        """Validate a tenant in JSON; `name` is the name in the path, where there is one."""
        if isinstance(value, dict):
            for key in DERIVED_KEYS:
                value.pop(key, None)
        if name is not None and isinstance(value, dict) and value.setdefault("name", name) != name:
            raise ConfigError("name", "is not the name in the path")
        tenant = read_tenant(CheckedTable(value), self._class_names, self._backends)
        before = self.get(tenant.name)
        held = _guarantee(before.tenant) if before else 0.0
        if (
            tenant.share.guarantee > held
            and self.store.guaranteed() - held + tenant.share.guarantee > MAX_GUARANTEES
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
        """Return a tenant with its overlaps with others."""
        shadowed_by: list[Overlap] = []
        shadows: list[Overlap] = []
        own, prefix = str(version.tenant["name"]), str(version.tenant.get("prefix", "/"))
        for host in version.tenant.get("hosts") or [""]:
            for other in self.store.names_sharing_route(str(host), prefix)[:MAX_OVERLAPS]:
                if other != own:
                    overlaps = shadowed_by if other < own else shadows
                    overlaps.append(Overlap(str(host) or "*", other))
        return replace(
            version, shadowed_by=tuple(shadowed_by[:MAX_OVERLAPS]), shadows=tuple(shadows[:MAX_OVERLAPS])
        )

    # Changes, by the leader only

    @contextmanager
    def exclusive(self) -> Iterator[None]:
        """Keep others from changing the partitions that this node leads. Raises `TableBusyError`."""
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
        """Number one change and make it durable. Raises `TableBusyError` and `JournalError`."""
        before = self.get(name)
        if kind is ChangeKind.PUT:
            state = before.state if before else state
        elif kind is ChangeKind.REMOVE:
            state, tenant = "", None
        elif before is not None:
            tenant = before.tenant
        data = b"" if tenant is None else msgspec.json.encode(tenant)
        after = None if tenant is None else self.with_overlaps(ReplicatedTenant(tenant, state, ""))
        wanted = LogEntry(0, name, self._wall_ms(), actor[:MAX_ACTOR_LENGTH], state, data, idempotency_key)
        try:
            entry = self.replication.leadership.accept(self.partition_of(name), wanted)
        except NotLeaderError as error:
            raise TableBusyError(str(error)) from None
        except ReplicaError as error:
            raise JournalError(str(error)) from None
        if after is None:
            return None
        self._log_overlaps(after)
        return replace(after, version=f"{entry.term}.{entry.index}")

    def report_overlaps(self, names: Sequence[str]) -> None:
        """Log overlaps of changed rows of other leaders with rows of partitions that this node leads.

        A leader learns of another's changes only when it receives them.
        """
        if self.own_name not in self.replica.control or len(names) > MAX_CHECKED_CHANGES:
            return
        for name in names:
            if self.leader(self.partition_of(name)) == self.own_name:
                continue  # logged when the change was made
            with suppress(ReplicaError):
                version = self.get(name)
                if version is not None:
                    self._log_overlaps(self._with_own_overlaps(version))

    def _with_own_overlaps(self, version: ReplicatedTenant) -> ReplicatedTenant:
        """Return a tenant with its overlaps with those of partitions that this node leads."""
        version = self.with_overlaps(version)
        return replace(
            version, shadowed_by=self._own(version.shadowed_by), shadows=self._own(version.shadows)
        )

    def _own(self, overlaps: tuple[Overlap, ...]) -> tuple[Overlap, ...]:
        return tuple(one for one in overlaps if self.leader(self.partition_of(one.tenant)) == self.own_name)

    def _log_overlaps(self, version: ReplicatedTenant) -> None:
        name = str(version.tenant["name"])
        for overlap in version.shadowed_by:
            self._log_overlap(overlap.tenant, name, overlap.host)
        for overlap in version.shadows:
            self._log_overlap(name, overlap.tenant, overlap.host)

    def _log_overlap(self, winner: str, loser: str, host: str) -> None:
        self._counters.warn(
            "replication.shadowed", "replication: {} gets requests that {} names too: {}", winner, loser, host
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
