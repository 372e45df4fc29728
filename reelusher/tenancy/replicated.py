"""The replicated table of tenants, as the administration API of any node sees it.

Reads are answered from the node's own copy. A change is made by the holder of the stream that the name
belongs to: it checks the row, numbers it and has it on the disk before anybody hears of it.
"""

import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager, suppress
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from reelusher.config.checked_table import CheckedTable, ConfigError
from reelusher.config.operator import Tenant, read_tenant
from reelusher.core.counters import Counters
from reelusher.fleet.replication.messages import MAX_TENANT_BYTES, LogEntry
from reelusher.fleet.replication.positions import Position, leader_of, partition_of
from reelusher.fleet.replication.replica import NotLeaderError
from reelusher.fleet.replication.replica_store import ReplicaError
from reelusher.fleet.replication.service import Replication
from reelusher.fleet.replication.sqlite_replica import ReplicaAuditEntry, ReplicaRow
from reelusher.storage.journal import JournalError
from reelusher.storage.tenant_state import AuditEntry

CHANGING_S = 1.0  # that a change waits for another; whoever asked over the fleet waits a little longer
SHOWN = "state", "shadowed", "shadows", "unreadable"  # beside what makes a tenant
FULL = 1 + 1e-8  # all guarantees together, with some room: each is kept in billionths
MOST_TOLD = 20  # overlaps with others
MOST_NOTICED = 100  # changes at once; more are a copy that is being filled
MOST_WHO = 256  # characters of who made a change, as entries carry it


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
    """A tenant as the copy has it."""

    tenant: dict[str, Any]
    state: str
    version: str  # EPOCH.NUMBER of the change that made it so
    unreadable: str = ""  # why this node can't serve it
    lost: tuple[Overlap, ...] = ()  # where others get what it names
    won: tuple[Overlap, ...] = ()  # where it gets what others name


def told(position: Position) -> str:
    """Return a position as people read it."""
    return f"{position.term}.{position.log_index}"


def standing(row: ReplicaRow) -> ReplicatedTenant:
    """Read a row of the copy."""
    return ReplicatedTenant(
        _tenant(row.name, row.tenant), row.state, f"{row.term}.{row.index}", row.unreadable
    )


def _tenant(name: str, data: bytes) -> dict[str, Any]:
    """Read a tenant's JSON; of what is none, tell the name at least."""
    try:
        value = msgspec.json.decode(data)
    except msgspec.DecodeError:
        value = None
    return {**value, "name": name} if isinstance(value, dict) else {"name": name}


def trail(change: ReplicaAuditEntry) -> AuditEntry:
    """Read a change of the copy's trail."""
    before, after = (
        {**_tenant(change.name, data), "state": state} if state else None
        for state, data in ((change.before_state, change.before), (change.after_state, change.after))
    )
    op = "remove" if after is None else "put"
    if before and after and change.before == change.after and change.before_state != change.after_state:
        op = "state"
    return AuditEntry(change.number, op, change.name, change.who, change.at_ms, before, after)


class ReplicatedTable:
    """The table as one node has it; a `TenantTable` for the names whose streams this node holds."""

    def __init__(
        self,
        replication: Replication,
        class_names: tuple[str, ...],
        backends: frozenset[str],
        counters: Counters,
        wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        self.replication, self.copy = replication, replication.store
        self.replica = replication.replica
        self.own_name = self.replica.own_name
        self._class_names, self._backends = class_names, backends
        self._counters, self._wall_ms = counters, wall_ms
        self._lock = threading.RLock()

    # Who writes what

    def partition_of(self, name: str) -> str:
        """Return the stream that a tenant's name belongs to."""
        return partition_of(name, self.replica.control)

    def holder(self, stream: str) -> str:
        """Return the name of the member that writes a stream, as far as is known here."""
        return leader_of(self.replica.states[stream].term, self.replica.control)

    def position(self, stream: str) -> Position:
        """Return how far this node is in a stream."""
        state = self.replica.states[stream]
        return Position(state.term, state.index)

    def lacks(self, stream: str) -> Position | None:
        """Return how far somebody was heard to be of late, where that is further than this node."""
        return self.replica.pulls.claimed(stream, time.monotonic())

    # Looking, at this node's copy

    def kept(self, name: str) -> ReplicatedTenant | None:
        """Return what is kept of a tenant."""
        row = self.copy.get(name)
        return None if row is None else standing(row)

    def page(self, after: str, limit: int) -> list[ReplicatedTenant]:
        """Return so many tenants with names past one, by name."""
        return [standing(row) for row in self.copy.page(after, limit)]

    def made_by(self, key: str) -> str | None:
        """Return the name of the tenant that a call with this idempotency key made."""
        return self.copy.key(key)

    def audit(self, after: int, limit: int) -> list[AuditEntry]:
        """Return so many changes with a number above one, in the order in which they came to this node."""
        return [trail(change) for change in self.copy.audit(after, limit)]

    # Checking

    def read(self, value: Any, name: str | None = None) -> Tenant:
        """Check a tenant as JSON says it; where the name is given already, it may be left out."""
        if isinstance(value, dict):
            for key in SHOWN:
                value.pop(key, None)
        if name is not None and isinstance(value, dict) and value.setdefault("name", name) != name:
            raise ConfigError("name", "is not the name in the path")
        tenant = read_tenant(CheckedTable(value), self._class_names, self._backends)
        before = self.kept(tenant.name)
        held = _guarantee(before.tenant) if before else 0.0
        if tenant.share.guarantee > held and self.copy.guaranteed() - held + tenant.share.guarantee > FULL:
            raise ConfigError("share.guarantee", "the guarantees of all shares add up to more than 1")
        try:
            size = len(msgspec.json.encode(tenant.to_json()))
        except UnicodeEncodeError as error:  # half of a pair of surrogates
            raise ConfigError(tenant.name, f"it is no Unicode: {error}") from None
        if size > MAX_TENANT_BYTES:
            raise ConfigError(tenant.name, f"at most {MAX_TENANT_BYTES} bytes of JSON are wanted, not {size}")
        return tenant

    def overlapping(self, kept: ReplicatedTenant) -> ReplicatedTenant:
        """Return the same with where others get what a tenant names, and where it gets what others name."""
        lost: list[Overlap] = []
        won: list[Overlap] = []
        own, prefix = str(kept.tenant["name"]), str(kept.tenant.get("prefix", "/"))
        for host in kept.tenant.get("hosts") or [""]:
            for other in self.copy.sharing(str(host), prefix)[:MOST_TOLD]:
                if other != own:
                    (lost if other < own else won).append(Overlap(str(host) or "*", other))
        return replace(kept, lost=tuple(lost[:MOST_TOLD]), won=tuple(won[:MOST_TOLD]))

    # Changing, by the holder only

    @contextmanager
    def changing(self) -> Iterator[None]:
        """Keep others from changing what this node holds. Raises `TableBusyError`."""
        if not self._lock.acquire(timeout=CHANGING_S):
            raise TableBusyError("other changes are being made")
        try:
            yield
        finally:
            self._lock.release()

    def change(
        self,
        op: str,
        name: str,
        who: str,
        tenant: dict[str, Any] | None = None,
        state: str = "active",
        key: str = "",
    ) -> ReplicatedTenant | None:
        """Number one change and store it durably. Raises `TableBusyError` and `JournalError`."""
        before = self.kept(name)
        if op == "put":
            state = before.state if before else state
        elif op == "remove":
            state, tenant = "", None
        elif before is not None:
            tenant = before.tenant
        data = b"" if tenant is None else msgspec.json.encode(tenant)
        made = None if tenant is None else self.overlapping(ReplicatedTenant(tenant, state, ""))
        wanted = LogEntry(0, name, self._wall_ms(), who[:MOST_WHO], state, data, key)
        try:
            entry = self.replication.leadership.accept(self.partition_of(name), wanted)
        except NotLeaderError as error:
            raise TableBusyError(str(error)) from None
        except ReplicaError as error:
            raise JournalError(str(error)) from None
        if made is None:
            return None
        self._tell(made)
        return replace(made, version=f"{entry.term}.{entry.index}")

    def noticed(self, names: Sequence[str]) -> None:
        """Look whether rows of other writers overlap with those that this node writes, and tell.

        Two writers can't know of each other's changes until they have them.
        """
        if self.own_name not in self.replica.control or len(names) > MOST_NOTICED:
            return
        for name in names:
            if self.holder(self.partition_of(name)) == self.own_name:
                continue  # told when it was made
            with suppress(ReplicaError):
                kept = self.kept(name)
                made = self.overlapping(kept) if kept is not None else None
                if made is not None:
                    self._tell(replace(made, lost=self._own(made.lost), won=self._own(made.won)))

    def _own(self, overlaps: tuple[Overlap, ...]) -> tuple[Overlap, ...]:
        return tuple(one for one in overlaps if self.holder(self.partition_of(one.tenant)) == self.own_name)

    def _tell(self, made: ReplicatedTenant) -> None:
        name = str(made.tenant["name"])
        for winner, loser, host in (
            *((one.tenant, name, one.host) for one in made.lost),
            *((name, one.tenant, one.host) for one in made.won),
        ):
            self._counters.warn(
                "replication.shadowed", "replication: {} gets what {} names too: {}", winner, loser, host
            )

    def take_over(self, stream: str, force: bool) -> Position:
        """Begin an epoch of a stream with this member as its holder.

        Raises `TableBusyError` and `JournalError`.
        """
        with self.changing():
            try:
                return self.replication.leadership.take_over(stream, force)
            except NotLeaderError as error:
                raise TableBusyError(str(error)) from None
            except ReplicaError as error:
                raise JournalError(str(error)) from None


def _guarantee(tenant: dict[str, Any]) -> float:
    share = tenant.get("share")
    told = share.get("guarantee", 0.0) if isinstance(share, dict) else 0.0
    return float(told) if isinstance(told, int | float) else 0.0
