"""The states of a tenant from its addition to its removal. Free of I/O.

    (none) --add--> ACTIVE <--suspend, resume--> SUSPENDED
                       |                            |
                       +---------- remove ----------+
                                     v
                                 DRAINING --nothing in flight, or the time limit--> (removed)

A tenant has a name, which may be reused, and a number, which never is. Requests and quotas refer to the
number, so that the remaining requests of a removed tenant are not attributed to a new tenant of the same
name. Remembered idempotency keys refer to the name: a retry must find the result of its request, whichever
tenant has the name by then.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from enum import Enum

from reelusher.config.operator.tenants import Tenant

DEFAULT_DRAIN_TIMEOUT_US = 10_000_000  # longest time from the start of a removal to its end


class TenantState(Enum):
    """The state of a tenant, with its value in the administration API and in stored data."""

    ACTIVE = "active"
    SUSPENDED = "suspended"  # new requests are rejected; requests in flight continue
    DRAINING = "draining"  # as when suspended; the tenant is removed once no requests are in flight


class TenantStateError(Exception):
    """The operation is not allowed in the current state of the tenant."""


@dataclass(slots=True, frozen=True)
class TenantRecord:
    """A tenant, its number and its state."""

    tenant: Tenant
    number: int
    state: TenantState = TenantState.ACTIVE
    drain_deadline_us: int = 0  # time at which a draining tenant is removed at the latest


@dataclass(slots=True, frozen=True)
class RemovedTenant:
    """A tenant that was just removed, and the number of its requests in flight, to be answered now."""

    record: TenantRecord
    in_flight: int


class Lifecycle:
    """The tenants in the memory of a node. Only one thread may call it."""

    def __init__(self) -> None:
        self._by_name: dict[str, TenantRecord] = {}
        self._by_number: dict[int, TenantRecord] = {}
        self._draining: dict[int, None] = {}  # by number, in the order of removal; a set that keeps its order
        self._last_number = 0

    def __iter__(self) -> Iterator[TenantRecord]:
        return iter(list(self._by_name.values()))

    def get(self, name: str) -> TenantRecord | None:
        """Return the tenant of a name; None where there is none."""
        return self._by_name.get(name)

    def admits(self, number: int) -> bool:
        """Return whether requests of a tenant are admitted.

        This holds for requests that were read before the state of the tenant changed, too.
        """
        record = self._by_number.get(number)
        return record is not None and record.state is TenantState.ACTIVE

    def put(
        self, tenant: Tenant, state: TenantState = TenantState.ACTIVE, number: int = 0
    ) -> tuple[TenantRecord, bool]:
        """Add or replace a tenant; return its record and whether it is new.

        `state` and `number` apply to a new tenant only; an existing one keeps its own. `number` is passed
        where the table on the disk assigns numbers; otherwise the next one is assigned. Raises
        `TenantStateError` while a tenant of this name is being removed.
        """
        existing = self._by_name.get(tenant.name)
        if existing is None:
            self._last_number = number or self._last_number + 1
            return self._store(TenantRecord(tenant, self._last_number, state)), True
        if existing.state is TenantState.DRAINING:
            raise TenantStateError(f"{tenant.name!r} is being removed")
        return self._store(replace(existing, tenant=tenant)), False

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
        """Start to remove a tenant and return it; None where there is none of this name.

        A further call can bring the deadline forward, but not postpone it.
        """
        record = self._by_name.get(name)
        if record is None:
            return None
        deadline_us = now_us + drain_timeout_us
        if record.state is TenantState.DRAINING:
            deadline_us = min(deadline_us, record.drain_deadline_us)
        return self._store(replace(record, state=TenantState.DRAINING, drain_deadline_us=deadline_us))

    def release_name(self, name: str) -> None:
        """Release the name of a draining tenant: a new tenant can have it before the old one is removed."""
        record = self._by_name.get(name)
        if record is not None and record.state is TenantState.DRAINING:
            del self._by_name[name]

    def evict(self, name: str) -> None:
        """Drop a tenant without requests in flight from memory; `put` adds it again under its number."""
        record = self._by_name.pop(name, None)
        if record is not None:
            del self._by_number[record.number]

    def remove_drained(
        self, now_us: int, in_flight_of: Callable[[int], int], numbers: Iterable[int] | None = None
    ) -> list[RemovedTenant]:
        """Remove and return draining tenants without requests in flight, or past their deadline.

        `numbers` limits this to certain tenants, which must be draining; None means all that are draining.
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
        """Return whether any tenant is draining."""
        return bool(self._draining)

    def records(self) -> list[TenantRecord]:
        """Return all tenants, including draining ones whose names were released."""
        return list(self._by_number.values())

    def _store(self, record: TenantRecord) -> TenantRecord:
        self._by_name[record.tenant.name] = self._by_number[record.number] = record
        if record.state is TenantState.DRAINING:
            self._draining[record.number] = None
        return record
