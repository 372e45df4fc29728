"""Where a tenant stands between being added and being gone, free of I/O.

    (none) --add--> ACTIVE <--suspend, resume--> SUSPENDED
                       |                            |
                       +---------- remove ----------+
                                     v
                                 DRAINING --nothing in hand, or the time limit--> (gone)

A tenant has a number, which is never used again, beside its name, which may be. Requests and shares go by
the number, so that what is left of a tenant that was removed can't be taken for one that has its name now.
Kept keys go by the name: a repeat of what ran must find it, whoever has the name by then.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from enum import Enum

from reelusher.config.operator import Tenant

DRAIN_US = 10_000_000  # within which a tenant that is removed is gone, unless the remover says otherwise


class TenantState(Enum):
    """Where a tenant stands."""

    ACTIVE = "active"
    SUSPENDED = "suspended"  # its requests are refused; what it has in hand goes on
    DRAINING = "draining"  # the same, and it is gone when that is over


class TenantStateError(Exception):
    """What was asked for can't be done with the tenant as it stands."""


@dataclass(slots=True, frozen=True)
class TenantRecord:
    """A tenant and where it stands."""

    tenant: Tenant
    number: int
    state: TenantState = TenantState.ACTIVE
    until_us: int = 0  # draining: when it is gone at the latest


@dataclass(slots=True, frozen=True)
class Gone:
    """A tenant that has just gone; what it still has in hand is to be answered now."""

    entry: TenantRecord
    in_hand: int


class Lifecycle:
    """All tenants of a node. Changed by one thread; `admits` may be asked by the same only."""

    def __init__(self) -> None:
        self._by_name: dict[str, TenantRecord] = {}
        self._by_number: dict[int, TenantRecord] = {}
        self._draining: dict[int, None] = {}  # by number, the first that was removed first
        self._last = 0

    def __iter__(self) -> Iterator[TenantRecord]:
        return iter(list(self._by_name.values()))

    def get(self, name: str) -> TenantRecord | None:
        """Return one tenant."""
        return self._by_name.get(name)

    def admits(self, number: int) -> bool:
        """Tell whether requests of a tenant are taken, also those read before the tenant went."""
        entry = self._by_number.get(number)
        return entry is not None and entry.state is TenantState.ACTIVE

    def put(
        self, tenant: Tenant, state: TenantState = TenantState.ACTIVE, number: int = 0
    ) -> tuple[TenantRecord, bool]:
        """Add a tenant, or replace what is said of it; also tell whether it is new.

        A number is given where numbers come from elsewhere: it names this tenant, and no other ever.
        """
        known = self._by_name.get(tenant.name)
        if known is None:
            self._last = number or self._last + 1
            return self._store(TenantRecord(tenant, self._last, state)), True
        if known.state is TenantState.DRAINING:
            raise TenantStateError(f"{tenant.name!r} is being removed")
        return self._store(replace(known, tenant=tenant)), False

    def move(self, name: str, to: TenantState) -> TenantRecord | None:
        """Suspend or resume a tenant; None where there is none of this name."""
        entry = self._by_name.get(name)
        if entry is None:
            return None
        if entry.state is TenantState.DRAINING:
            raise TenantStateError(f"{name!r} is being removed")
        return self._store(replace(entry, state=to))

    def remove(self, name: str, now_us: int, within_us: int = DRAIN_US) -> TenantRecord | None:
        """Begin to remove a tenant; a second order may only bring its end forward."""
        entry = self._by_name.get(name)
        if entry is None:
            return None
        until_us = now_us + within_us
        if entry.state is TenantState.DRAINING:
            until_us = min(until_us, entry.until_us)
        return self._store(replace(entry, state=TenantState.DRAINING, until_us=until_us))

    def free_name(self, name: str) -> None:
        """Let a tenant that is being removed go on without its name: another may have it at once."""
        entry = self._by_name.get(name)
        if entry is not None and entry.state is TenantState.DRAINING:
            del self._by_name[name]

    def let_go(self, name: str) -> None:
        """Forget a tenant that has nothing in hand, until it is put again with its number."""
        entry = self._by_name.pop(name, None)
        if entry is not None:
            del self._by_number[entry.number]

    def tick(
        self, now_us: int, in_hand: Callable[[int], int], numbers: Iterable[int] | None = None
    ) -> list[Gone]:
        """Let those go that have nothing in hand any more, or no time: of these, or of all."""
        gone = []
        for number in list(self._draining if numbers is None else numbers):
            entry = self._by_number[number]
            left = in_hand(number)
            if not left or now_us >= entry.until_us:
                del self._by_number[number], self._draining[number]
                if self._by_name.get(entry.tenant.name) is entry:
                    del self._by_name[entry.tenant.name]
                gone.append(Gone(entry, left))
        return gone

    def draining(self) -> bool:
        """Tell whether a tenant is being removed."""
        return bool(self._draining)

    def _store(self, entry: TenantRecord) -> TenantRecord:
        self._by_name[entry.tenant.name] = self._by_number[entry.number] = entry
        if entry.state is TenantState.DRAINING:
            self._draining[entry.number] = None
        return entry
