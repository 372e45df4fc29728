"""The tenants of a node. The owner changes them; fronts look them up in an index, without a lock."""

import json
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Future
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from reelusher.config.checked_table import CheckedTable, ConfigError
from reelusher.config.operator import Tenant, read_tenant
from reelusher.core.event_loop import Core
from reelusher.core.messages import EventLoopTask, Runner
from reelusher.tenancy.fair_queue import FairQueue, Quota
from reelusher.tenancy.index import Index, Leaf, Routes
from reelusher.tenancy.lifecycle import DRAIN_US, Lifecycle, TenantRecord, TenantState
from reelusher.tenancy.reader_pool import WAIT_S, ReaderPool
from reelusher.tenancy.tenant_cache import (
    IDLE_US,
    CachedTenant,
    Load,
    TenantCache,
    TenantRow,
    TenantSource,
    TenantUnavailableError,
)

UNREADABLE = ConfigError, ValueError, RecursionError  # that reading a row may raise
IDLE_LOOK_US = 1_000_000  # between looks which tenants may be let go
CROWDED, CROWDED_IDLE_US = 7 / 8, 1_000_000  # of the room; past it tenants are let go that soon
LOOK_US = 50_000  # between looks whether a tenant that is removed has nothing in hand any more


@dataclass(slots=True, frozen=True)
class Match:
    """Whose a request is and what class it has; no class: nobody's route names it."""

    tenant: Tenant
    number: int
    class_name: str
    admitted: bool = True
    pin: CachedTenant | None = field(default=None, compare=False, repr=False)


def read_row(name: str, value: bytes, class_names: tuple[str, ...], backends: frozenset[str]) -> Tenant:
    """Return what a row of a table says; raises `ConfigError`, `ValueError` where it can't be served."""
    tenant = read_tenant(CheckedTable(json.loads(value), f"tenants.{name}"), class_names, backends)
    if tenant.name != name:
        raise ConfigError(f"tenants.{name}.name", "is not the name of the row")
    return tenant


def reason(name: str, value: bytes, class_names: tuple[str, ...], backends: frozenset[str]) -> str:
    """Return why this node can't serve a row of a table, or nothing."""
    try:
        read_row(name, value, class_names, backends)
    except UNREADABLE as error:
        return str(error)
    return ""


class TenantRegistry:
    """Tenants by name, with their shares, and the runners of those that have one of their own."""

    def __init__(
        self,
        entries: Iterable[tuple[Tenant, TenantState]],
        class_names: tuple[str, ...],
        runner_of: Callable[[str], Runner | None],
        core: Core,
        shares: FairQueue,
        backends: frozenset[str],
        source: TenantSource | None = None,
        idle_us: int = IDLE_US,
    ) -> None:
        """Begin with these tenants, or with none and a table of them on the disk.

        Where there is such a table, tenants change by `changed` only, and of them those are in memory that
        were used in the last `idle_us`, or of late where there is little room.
        """
        self._idle_us = idle_us
        self._class_names = class_names
        self._runner_of = runner_of
        self._core = core
        self._shares = shares
        self._backends = backends
        self._life = Lifecycle()
        self._index = Index()
        self._looking = False
        self._source = source
        self._pager: TenantCache | None = None
        self._idle_looks = False
        self.filling: Callable[[], bool] = lambda: False  # rows of the table are still to come
        if source is not None:
            self._readers = ReaderPool(core.counters)
            self._pager = TenantCache(source, self._readers.read, core.clock.now, WAIT_S)
            shares.forgetful = True
        core.requests.admits_tenant = self._life.admits
        for tenant, state in entries:
            self.put(tenant, state)

    def all(self) -> tuple[Tenant, ...]:
        """Return the tenants as they are now, as far as they are in memory."""
        return tuple(entry.tenant for entry in self.entries())

    def entries(self) -> tuple[TenantRecord, ...]:
        """Return the tenants and where they stand, as far as they are in memory, in no order."""
        if self._pager is not None:
            return tuple(leaf.entry for leaf in self._pager.leaves())
        return tuple(self._index.entries())

    def page(self, after: str, limit: int) -> tuple[list[TenantRecord], str]:
        """Return so many tenants whose names come after one, and the last name where more follow.

        Rows that this node can't serve are left out.
        """
        if self._source is not None:
            rows = self._source.page(after, limit + 1)
            found = [entry for row in rows[:limit] if (entry := self._entry_of(row)) is not None]
            return found, rows[limit - 1].name if len(rows) > limit else ""
        return self._index.page(after, limit)

    def get(self, name: str) -> Tenant | None:
        """Return one tenant."""
        entry = self.entry(name)
        return entry.tenant if entry else None

    def entry(self, name: str) -> TenantRecord | None:
        """Return one tenant and where it stands; from the disk, where it is not in memory."""
        if self._pager is not None and self._source is not None:
            resident = self._pager.get(name)
            if resident is not None:
                return resident.leaf.entry
            row = self._source.get(name)
            return None if row is None else self._entry_of(row)
        return self._index.get(name)

    @staticmethod
    def shown(entry: TenantRecord) -> dict[str, Any]:
        """Return a tenant as the administration API shows it."""
        return entry.tenant.to_json() | {"state": entry.state.value}

    def usage(self, entry: TenantRecord) -> dict[str, Any]:
        """Return how a tenant stands and what it has used while in memory; called by the owner."""
        name = entry.tenant.name
        told = self._shares.usage(entry.number, self._core.clock.now())
        return {
            "name": name,
            "state": entry.state.value,
            "in_hand": self._core.attempts.count_of_tenant(entry.number),
            "answers": self._core.counters.of_tenant(name),
            **told,
        }

    def read(self, value: Any, name: str | None = None) -> Tenant:
        """Check a tenant as JSON says it; where the name is given already, it may be left out."""
        if isinstance(value, dict):
            value.pop("state", None)  # as it was shown; it is changed by calls of its own
        if name is not None and isinstance(value, dict) and value.setdefault("name", name) != name:
            raise ConfigError("name", "is not the name in the path")
        tenant = read_tenant(CheckedTable(value), self._class_names, self._backends)
        self.check(tenant)
        return tenant

    def check(self, tenant: Tenant) -> None:
        """Refuse a tenant that does not fit in with the others."""
        if not self._fits(tenant):
            raise ConfigError("share.guarantee", "the guarantees of all shares add up to more than 1")

    def _fits(self, tenant: Tenant) -> bool:
        if self._source is None:
            return self._index.fits(tenant)
        before = self.entry(tenant.name)
        others = self._source.guaranteed() - (before.tenant.share.guarantee if before else 0.0)
        return others + tenant.share.guarantee <= 1 + 1e-9

    def unreadable(self) -> dict[str, str]:
        """Return why tenants that were wanted can't be served, by name; the newest so many."""
        return {} if self._pager is None else self._pager.noted()

    def close(self) -> None:
        """End the threads that read a table."""
        if self._source is not None:
            self._readers.close()

    def _entry_of(self, row: TenantRow) -> TenantRecord | None:
        """Return what a row says; None where this node can't serve it."""
        try:
            made = TenantRecord(
                read_row(row.name, row.tenant, self._class_names, self._backends),
                row.number,
                TenantState(row.state),
            )
        except UNREADABLE as error:
            if self._pager is not None:
                self._pager.note(row.name, str(error))
            self._core.counters.warn(
                "tenants.unreadable", "tenants: {!r} can't be served: {}", row.name, error
            )
            return None
        if self._pager is not None:
            self._pager.forget_note(row.name)
        return made

    # Called by the owner once it runs

    def put(self, tenant: Tenant, state: TenantState = TenantState.ACTIVE) -> bool:
        """Add or replace a tenant; True where it is new. Raises `TenantStateError` while it is removed."""
        entry, new = self._life.put(tenant, state)
        self._entitle(entry)
        self._index.put(entry)
        return new

    def _entitle(self, entry: TenantRecord) -> None:
        tenant = entry.tenant
        self._shares.entitle(entry.number, self._share(tenant))
        runner = self._runner_of(tenant.backend)
        if runner is None:
            self._core.requests.runners.pop(tenant.name, None)
        else:
            self._core.requests.runners[tenant.name] = runner

    def move(self, name: str, to: TenantState) -> TenantRecord | None:
        """Suspend or resume a tenant; None where there is none of this name."""
        entry = self._life.move(name, to)
        if entry is not None:
            self._index.put(entry)
        return entry

    def delete(self, name: str, within_us: int = DRAIN_US) -> TenantRecord | None:
        """Begin to remove a tenant: it takes nothing new, and is gone once it has nothing in hand.

        What it has not answered when its time is over is answered then: refused where it never ran, failed
        where it may have.
        """
        entry = self._life.remove(name, self._core.clock.now(), within_us)
        if entry is not None:
            self._index.put(entry)
            self._look([entry.number])
        return entry

    def _look(self, numbers: list[int] | None = None) -> None:
        for gone in self._life.tick(self._core.clock.now(), self._core.attempts.count_of_tenant, numbers):
            if gone.in_hand:  # what is in hand of all is gone through
                self._core.requests.end_tenant_requests(gone.entry.number)
            self._shares.drop(gone.entry.number)
            if self._life.get(gone.entry.tenant.name) is None:
                self._core.requests.runners.pop(gone.entry.tenant.name, None)
            self._core.counters.add("tenants.removed")
            self._core.counters.add("tenants.ended_in_hand", gone.in_hand)
            self._index.remove(gone.entry.tenant.name)
        if self._life.draining() and not self._looking:
            self._looking = True
            self._core.call_later(LOOK_US, self._look_again)

    def _look_again(self) -> None:
        self._looking = False
        self._look()

    def _share(self, tenant: Tenant) -> Quota:
        told = tenant.share
        weights = {self._class_names.index(name): weight for name, weight in told.classes}
        return Quota(
            told.weight,
            told.guarantee,
            told.ceiling,
            told.burst_ms * 1000,
            told.held,
            told.running,
            told.memory_kb,
            told.keys,
            weights,
        )

    # Called by fronts

    @contextmanager
    def matched(self, method: str, host: str, path: str) -> Iterator[Match | None]:
        """Tell whose a request is; it is to be posted within, while its tenant is held in memory.

        Raises `TenantUnavailableError` where that can't be told now.
        """
        match = self.match(method, host, path)
        try:
            yield match
        finally:
            if match is not None and match.pin is not None and self._pager is not None:
                self._pager.release(match.pin)

    def match(self, method: str, host: str, path: str) -> Match | None:
        """Return whose a request is."""
        host, pin = host.lower(), None
        if self._pager is None:
            leaf = self._index.find(host, path)
        else:
            try:
                pin = self._pager.find(host, path, self._load)
            except TenantUnavailableError as error:
                self._core.counters.warn("tenants.unserved", "tenants: request refused: {}", error)
                raise
            if pin is None and self.filling():  # its row may be among those that are to come
                self._core.counters.add("tenants.refused_filling")
                raise TenantUnavailableError("the table of tenants is being filled")
            leaf = pin.leaf if pin is not None else None
        if leaf is None:
            return None
        entry = leaf.entry
        return Match(
            entry.tenant, entry.number, leaf.class_of(method, path), entry.state is TenantState.ACTIVE, pin
        )

    # A table on the disk. By threads of fronts, and by those that change it

    def _load(self, name: str, load: Load) -> bool:
        """Read a tenant and put it in memory; False: there is none, or it changed."""
        source, pager = self._source, self._pager
        assert source is not None
        assert pager is not None
        row = load.row or self._readers.read(lambda: source.get(name))
        if row is None:
            return False
        entry = self._entry_of(row)
        if entry is None:
            raise TenantUnavailableError(f"{name!r} can't be served by this node")
        leaf = Leaf(entry, Routes(entry.tenant.routes))
        put = pager.put(leaf, load, partial(self._post, partial(self._take_in, entry)))
        if put is None:
            self._post(partial(self._let_go_later, CROWDED_IDLE_US))
            self._core.counters.add("tenants.refused_full")
            raise TenantUnavailableError("too many tenants are in use")
        return put

    def changed(self, names: list[str]) -> None:
        """Take up changes of the table, from the thread that made them."""
        if self._pager is not None:
            self._pager.changed(names, self._hosts_of, self._change)

    def _hosts_of(self, row: TenantRow) -> list[str]:
        try:
            return [str(host).lower() for host in json.loads(row.tenant).get("hosts", [])]
        except (*UNREADABLE, AttributeError, TypeError):
            return []

    def _change(self, name: str, row: TenantRow | None) -> None:
        entry = None if row is None else self._entry_of(row)
        self._post(partial(self._apply, name, entry, row is not None))

    def _post(self, action: Callable[[], None]) -> None:
        """Have the owner do something behind all that is in its queue now."""
        ask = EventLoopTask(action)
        ask.future.add_done_callback(self._applied)
        self._core.post(ask)

    def _applied(self, done: Future[Any]) -> None:
        if not done.cancelled() and (error := done.exception()) is not None:
            self._core.counters.warn("tenants.change_failed", "tenants: a change not taken up: {}", error)

    # By the owner

    def _take_in(self, entry: TenantRecord) -> None:
        """Take in a tenant that was put in memory: from now on its requests are admitted."""
        assert self._pager is not None
        self._life.put(entry.tenant, entry.state, entry.number)
        self._entitle(entry)
        if len(self._pager) >= CROWDED * self._pager.most:
            self._let_go_later(CROWDED_IDLE_US)
        if not self._idle_looks:
            self._idle_looks = True
            self._core.call_later(IDLE_LOOK_US, self._look_idle)

    def _apply(self, name: str, entry: TenantRecord | None, there: bool) -> None:
        """Take up a change of a tenant in memory; without an entry it is gone, or can't be served."""
        assert self._pager is not None
        resident = self._pager.get(name)
        known = self._life.get(name)
        if resident is None or known is None:
            return
        if entry is None and there:
            known = self._life.move(name, TenantState.SUSPENDED)
        elif entry is None or entry.number != known.number:
            self._retire(name)
            return
        else:
            self._life.put(entry.tenant)
            known = self._life.move(name, entry.state)
        assert known is not None
        self._entitle(known)
        self._pager.replace(Leaf(known, Routes(known.tenant.routes)))

    def _retire(self, name: str) -> None:
        """Let a tenant end that is gone from the table; its name is another's to have at once."""
        assert self._pager is not None
        entry = self._life.remove(name, self._core.clock.now())
        self._life.free_name(name)
        self._pager.remove(name)
        self._core.requests.runners.pop(name, None)
        if entry is not None:
            self._look([entry.number])

    def _look_idle(self) -> None:
        assert self._pager is not None
        self._idle_looks = len(self._pager) > 0
        if self._idle_looks:
            self._let_go_later(self._idle_us)
            self._core.call_later(IDLE_LOOK_US, self._look_idle)

    def _let_go_later(self, unused_us: int) -> None:
        """Let idle tenants go behind all that is in the owner's queue now: a request may be among that."""
        assert self._pager is not None
        found = self._pager.idle(unused_us)
        if found:
            self._core.post(EventLoopTask(partial(self._let_go, found)))

    def _let_go(self, found: list[tuple[CachedTenant, int]]) -> None:
        assert self._pager is not None
        for resident, uses in found:
            entry = resident.leaf.entry
            if self._pager.let_go(resident, uses, partial(self._free, entry.number)):
                self._life.let_go(entry.tenant.name)
                self._core.requests.runners.pop(entry.tenant.name, None)
                self._core.counters.add("tenants.let_go")

    def _free(self, number: int) -> bool:
        return not self._core.attempts.count_of_tenant(number) and self._shares.let_go(
            number, self._core.clock.now()
        )
