"""The tenants of a node. The owner changes them; fronts look them up in an index, without a lock."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from reelusher.config.operator import Tenant, read_tenant
from reelusher.config.table import ConfigError, Table
from reelusher.core.model import Runner
from reelusher.core.owner import Core
from reelusher.tenancy.index import Index
from reelusher.tenancy.lifecycle import DRAIN_US, Entry, Lifecycle, State
from reelusher.tenancy.shares import Share, Shares

LOOK_US = 50_000  # between looks whether a tenant that is removed has nothing in hand any more


@dataclass(slots=True, frozen=True)
class Match:
    """Whose a request is and what class it has; no class: nobody's route names it."""

    tenant: Tenant
    number: int
    class_name: str
    admitted: bool = True


class Tenants:
    """Tenants by name, with their shares, and the runners of those that have one of their own."""

    def __init__(self, entries: Iterable[tuple[Tenant, State]], class_names: tuple[str, ...],
                 runner_of: Callable[[str], Runner | None], core: Core, shares: Shares,
                 backends: frozenset[str]) -> None:
        self._class_names = class_names
        self._runner_of = runner_of
        self._core = core
        self._shares = shares
        self._backends = backends
        self._life = Lifecycle()
        self._index = Index()
        self._looking = False
        core.admits = self._life.admits
        for tenant, state in entries:
            self.put(tenant, state)

    def all(self) -> tuple[Tenant, ...]:
        """Return the tenants as they are now."""
        return tuple(entry.tenant for entry in self.entries())

    def entries(self) -> tuple[Entry, ...]:
        """Return the tenants and where they stand, in no order."""
        return tuple(self._index.entries())

    def page(self, after: str, limit: int) -> tuple[list[Entry], str]:
        """Return so many tenants whose names come after one, and the last name where more follow."""
        return self._index.page(after, limit)

    def get(self, name: str) -> Tenant | None:
        """Return one tenant."""
        entry = self.entry(name)
        return entry.tenant if entry else None

    def entry(self, name: str) -> Entry | None:
        """Return one tenant and where it stands."""
        return self._index.get(name)

    @staticmethod
    def shown(entry: Entry) -> dict[str, Any]:
        """Return a tenant as the administration API shows it."""
        return entry.tenant.to_json() | {"state": entry.state.value}

    def usage(self, name: str) -> dict[str, Any] | None:
        """Return how a tenant stands and what it has used; called by the owner."""
        entry = self.entry(name)
        if entry is None:
            return None
        told = self._shares.usage(entry.number, self._core.clock.now())
        return {"name": name, "state": entry.state.value,
                "in_hand": self._core.attempts.of_tenant(entry.number),
                "answers": self._core.counters.of_tenant(name), **told}

    def read(self, value: Any, name: str | None = None) -> Tenant:
        """Check a tenant as JSON says it; where the name is given already, it may be left out."""
        if isinstance(value, dict):
            value.pop("state", None)  # as it was shown; it is changed by calls of its own
        if name is not None and isinstance(value, dict) and value.setdefault("name", name) != name:
            raise ConfigError("name", "is not the name in the path")
        tenant = read_tenant(Table(value), self._class_names, self._backends)
        self.check(tenant)
        return tenant

    def check(self, tenant: Tenant) -> None:
        """Refuse a tenant that does not fit in with the others."""
        if not self._index.fits(tenant):
            raise ConfigError("share.guarantee", "the guarantees of all shares add up to more than 1")

    # Called by the owner once it runs

    def put(self, tenant: Tenant, state: State = State.ACTIVE) -> bool:
        """Add a tenant or replace one; True where it is new. Raises `WrongState` while it is removed."""
        entry, new = self._life.put(tenant, state)
        self._shares.entitle(entry.number, self._share(tenant))
        runner = self._runner_of(tenant.backend)
        if runner is None:
            self._core.runners.pop(tenant.name, None)
        else:
            self._core.runners[tenant.name] = runner
        self._index.put(entry)
        return new

    def move(self, name: str, to: State) -> Entry | None:
        """Suspend or resume a tenant; None where there is none of this name."""
        entry = self._life.move(name, to)
        if entry is not None:
            self._index.put(entry)
        return entry

    def delete(self, name: str, within_us: int = DRAIN_US) -> Entry | None:
        """Begin to remove a tenant: it takes nothing new, and is gone once it has nothing in hand.

        What it has not answered when its time is over is answered then: refused where it never ran, failed
        where it may have.
        """
        entry = self._life.remove(name, self._core.clock.now(), within_us)
        if entry is not None:
            self._index.put(entry)
            self._look([name])
        return entry

    def _look(self, names: list[str] | None = None) -> None:
        for gone in self._life.tick(self._core.clock.now(), self._core.attempts.of_tenant, names):
            if gone.in_hand:  # what is in hand of all is gone through
                self._core.end_tenant(gone.entry.number)
            self._shares.drop(gone.entry.number)
            self._core.runners.pop(gone.entry.tenant.name, None)
            self._core.counters.add("tenants.removed")
            self._core.counters.add("tenants.ended_in_hand", gone.in_hand)
            self._index.remove(gone.entry.tenant.name)
        if self._life.draining() and not self._looking:
            self._looking = True
            self._core.after(LOOK_US, self._look_again)

    def _look_again(self) -> None:
        self._looking = False
        self._look()

    def _share(self, tenant: Tenant) -> Share:
        told = tenant.share
        weights = {self._class_names.index(name): weight for name, weight in told.classes}
        return Share(told.weight, told.guarantee, told.ceiling, told.burst_ms * 1000, told.held, told.running,
                     told.memory_kb, told.keys, weights)

    # Called by fronts

    def match(self, method: str, host: str, path: str) -> Match | None:
        """Return whose a request is."""
        leaf = self._index.find(host.lower(), path)
        if leaf is None:
            return None
        entry = leaf.entry
        return Match(entry.tenant, entry.number, leaf.class_of(method, path), entry.state is State.ACTIVE)
