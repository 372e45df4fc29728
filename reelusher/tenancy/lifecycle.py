"""The states of a tenant from its addition to its removal. Free of I/O.

    (none) --add--> ACTIVE <--suspend, resume--> SUSPENDED
                       |                            |
                       +---------- remove ----------+
                                     v
                                 DRAINING --nothing in flight, or the time limit--> (removed)

A tenant has a number, which is never reused, beside its name, which may be. Requests and quotas go by the
number, so that what remains of a removed tenant is not taken for a new one of the same name. Remembered
idempotency keys go by the name: a retry of what ran must find it, whichever tenant has the name by then.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from enum import Enum

from reelusher.config.operator import Tenant

DEFAULT_DRAIN_TIMEOUT_US = 10_000_000  # of a removal


class TenantState(Enum):
    """The state of a tenant."""

    ACTIVE = "active"
    SUSPENDED = "suspended"  # its requests are rejected; what it has in flight continues
    DRAINING = "draining"  # the same, and it is removed when that has ended


class TenantStateError(Exception):
    """The operation is not allowed in the state of the tenant."""


@dataclass(slots=True, frozen=True)
class TenantRecord:
    """A tenant and its state."""

    tenant: Tenant
    number: int
    state: TenantState = TenantState.ACTIVE
    drain_deadline_us: int = 0  # of a draining tenant: when it is removed at the latest


@dataclass(slots=True, frozen=True)
class RemovedTenant:
    """A tenant that was just removed; what it still has in flight is to be answered now."""

    record: TenantRecord
    in_flight: int


class Lifecycle:
    """All tenants of a node in memory. Used by one thread."""

    def __init__(self) -> None:
        self._by_name: dict[str, TenantRecord] = {}
        self._by_number: dict[int, TenantRecord] = {}
        self._draining: dict[int, None] = {}  # by number, in the order of their removals
        self._last_number = 0

    def __iter__(self) -> Iterator[TenantRecord]:
        return iter(list(self._by_name.values()))

    def get(self, name: str) -> TenantRecord | None:
        """Return one tenant."""
        return self._by_name.get(name)

    def admits(self, number: int) -> bool:
        """Return whether requests of a tenant are admitted, also those read before its state changed."""
        record = self._by_number.get(number)
        return record is not None and record.state is TenantState.ACTIVE

    def put(
        self, tenant: Tenant, state: TenantState = TenantState.ACTIVE, number: int = 0
    ) -> tuple[TenantRecord, bool]:
        """Add or replace a tenant; return its record and whether it is new.

        A `number` is passed where the table on the disk assigns numbers; else the next one is assigned.
        Raises `TenantStateError` while a tenant of this name is being removed.
        """
        known = self._by_name.get(tenant.name)
        if known is None:
            self._last_number = number or self._last_number + 1
            return self._store(TenantRecord(tenant, self._last_number, state)), True
        if known.state is TenantState.DRAINING:
            raise TenantStateError(f"{tenant.name!r} is being removed")
        return self._store(replace(known, tenant=tenant)), False

    def set_state(self, name: str, state: TenantState) -> TenantRecord | None:
        """Suspend or resume a tenant; None where there is none of this name.

        Raises `TenantStateError` while it is being removed.
        """
        record = self._by_name.get(name)
        if record is None:
            return None
        if record.state is TenantState.DRAINING:
            raise TenantStateError(f"{name!r} is being removed")
        return self._store(replace(record, state=state))

    def remove(
        self, name: str, now_us: int, drain_timeout_us: int = DEFAULT_DRAIN_TIMEOUT_US
    ) -> TenantRecord | None:
        """Start to remove a tenant; a second call may only bring the deadline forward."""
        record = self._by_name.get(name)
        if record is None:
            return None
        deadline_us = now_us + drain_timeout_us
        if record.state is TenantState.DRAINING:
            deadline_us = min(deadline_us, record.drain_deadline_us)
        return self._store(replace(record, state=TenantState.DRAINING, drain_deadline_us=deadline_us))

    def release_name(self, name: str) -> None:
        """Let a tenant that is being removed drain without its name: a new one may have it at once."""
        record = self._by_name.get(name)
        if record is not None and record.state is TenantState.DRAINING:
            del self._by_name[name]

    def evict(self, name: str) -> None:
        """Forget a tenant that has nothing in flight, until it is put again with its number."""
        record = self._by_name.pop(name, None)
        if record is not None:
            del self._by_number[record.number]

    def remove_drained(
        self, now_us: int, in_flight_of: Callable[[int], int], numbers: Iterable[int] | None = None
    ) -> list[RemovedTenant]:
        """Remove and return draining tenants without requests in flight, or past their deadline.

        Only those with these `numbers` are considered, or else all.
        """
        removed = []
        for number in list(self._draining if numbers is None else numbers):
            record = self._by_number[number]
            in_flight = in_flight_of(number)
            if not in_flight or now_us >= record.drain_deadline_us:
                self._remove(record)
                removed.append(RemovedTenant(record, in_flight))
        return removed

    def _remove(self, record: TenantRecord) -> None:
        del self._by_number[record.number], self._draining[record.number]
        if self._by_name.get(record.tenant.name) is record:
            del self._by_name[record.tenant.name]

    def is_draining(self) -> bool:
        """Return whether a tenant is being removed."""
        return bool(self._draining)

    def records(self) -> list[TenantRecord]:
        """Return all tenants, also those that drain without their names."""
        return list(self._by_number.values())

    def _store(self, record: TenantRecord) -> TenantRecord:
        self._by_name[record.tenant.name] = self._by_number[record.number] = record
        if record.state is TenantState.DRAINING:
            self._draining[record.number] = None
        return record
