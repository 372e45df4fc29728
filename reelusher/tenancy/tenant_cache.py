"""Which tenants of a table on the disk are in memory: those in use, and few enough. Free of I/O.

A request's thread finds whose it is by tables of hosts, which are kept for hosts of few prefixes, or else by
the table on the disk. It *pins* its tenant until the owner has been handed the request. A tenant that is not
there is read and put; while it is read, others wait for the same read. What changes on the disk meanwhile
makes that read stale, and it is made again.

Who puts a tenant has the owner told of it in the same step, under a lock that nobody holds while reading or
waiting: so the owner hears of a tenant before any request of it, and before any change that came after it was
read. That it has heard is not waited for. The owner alone replaces and lets go.
"""

import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from reelusher.tenancy.index import Leaf, VirtualHost

T = TypeVar("T")
MOST_TENANTS = 8192  # in memory
MOST_HOSTS = 8192  # whose tables are kept
FEW_PREFIXES = 16  # up to so many, of a host and of those without hosts together, a table is kept
IDLE_US = 600_000_000  # unused for so long, a tenant may be let go: its place is cheap, reading it is dear
LOOKS = 512  # tenants looked at at a time, whether they may be let go
TRIES, TRIES_S = 8, 1.0  # reads that may turn out stale, one after another, before a request is refused
MANY_CHANGES = 256  # at once, past which no host's table is kept, in place of a look at each
MOST_NOTED = 1000  # rows that can't be served whose reasons are kept


class TenantRow(Protocol):
    """A tenant as the table on the disk has it."""

    @property
    def name(self) -> str:
        """Return its name."""

    @property
    def number(self) -> int:
        """Return its number: the same while it exists, and no other's ever."""

    @property
    def state(self) -> str:
        """Return where it stands."""

    @property
    def tenant(self) -> bytes:
        """Return it as JSON."""


class TenantSource(Protocol):
    """The table on the disk. Calls may come from any thread; each reads one state of the table."""

    def match(self, host: str, path: str) -> TenantRow | None:
        """Return whose a request is."""

    def prefixes(self, host: str, most: int) -> Sequence[tuple[bool, str, str]] | None:
        """Return what is said of a host: whether by its name or of any, prefix, and tenant.

        None where that is more than so much.
        """

    def get(self, name: str) -> TenantRow | None:
        """Return one tenant."""

    def page(self, after: str, limit: int) -> Sequence[TenantRow]:
        """Return so many tenants whose names come after one, in their order."""

    def guaranteed(self) -> float:
        """Return all guarantees together."""


class Read(Protocol):
    """What runs an action that reads, and returns what that returns."""

    def __call__(self, action: Callable[[], T]) -> T:
        """Raise `TenantUnavailableError` where it fails or is not over in time."""


class TenantUnavailableError(Exception):
    """A request whose tenant can't be put in memory now; it may come again."""


@dataclass(slots=True)
class CachedTenant:
    """A tenant in memory."""

    leaf: Leaf
    pins: int = 0  # requests that were read and that the owner has not been handed yet
    uses: int = 0
    used_us: int = 0


@dataclass(slots=True)
class Load:
    """A tenant that is being read."""

    row: TenantRow | None = None  # as it was read with the table of its host, if nothing has changed since
    stale: bool = False  # it has changed since
    done: threading.Event = field(default_factory=threading.Event)


@dataclass(slots=True, frozen=True)
class CacheIndex:
    """The tenants that take requests of a host, by prefix: those that name it, and those without hosts."""

    own: VirtualHost[str]
    of_any: VirtualHost[str]
    names: frozenset[str]

    def find(self, path: str) -> str | None:
        """Return whose a path is."""
        return self.own.find(path) or self.of_any.find(path)


def table_of(rows: Iterable[tuple[bool, str, str]]) -> CacheIndex:
    """Return the table that rows of a host make."""
    hosts: dict[bool, VirtualHost[str]] = {True: VirtualHost({}, ({},), 0), False: VirtualHost({}, ({},), 0)}
    names = set()
    for own, prefix, name in rows:
        names.add(name)
        first = hosts[own].at(prefix)
        hosts[own] = hosts[own].put(prefix, name if first is None else min(first, name))
    return CacheIndex(hosts[True], hosts[False], frozenset(names))


class TenantCache:
    """Residents, tables of hosts, and reads under way."""

    def __init__(
        self,
        source: TenantSource,
        read: Read,
        now_us: Callable[[], int],
        wait_s: float,
        most: int = MOST_TENANTS,
    ) -> None:
        """Begin with nobody in memory; `read` is over within `wait_s` in any case."""
        self._source = source
        self._read = read
        self._now_us = now_us
        self._wait_s = wait_s
        self.most = most
        self._lock = threading.Lock()  # never held while something is read or waited for
        self._residents: OrderedDict[str, CachedTenant] = (
            OrderedDict()
        )  # what was used or looked at last, last
        self._loads: dict[str, Load] = {}
        self._looks: dict[str, threading.Event] = {}  # hosts whose tables are being read
        self._tables: OrderedDict[str, CacheIndex | None] = OrderedDict()  # None: more prefixes than are kept
        self._hosts_of: dict[str, set[str]] = {}  # hosts whose tables name a tenant
        self._changes = 0  # that were heard of
        self._noted: OrderedDict[str, str] = OrderedDict()  # why rows can't be served
        self._order = threading.Lock()  # one change after another
        self._missed = set[str]()  # changes that could not be read; with that lock held

    def __len__(self) -> int:
        return len(self._residents)

    def get(self, name: str) -> CachedTenant | None:
        """Return a tenant that is in memory."""
        return self._residents.get(name)

    def leaves(self) -> list[Leaf]:
        """Return the tenants that are in memory."""
        with self._lock:
            return [resident.leaf for resident in self._residents.values()]

    # By threads of fronts

    def find(self, host: str, path: str, load: Callable[[str, Load], bool]) -> CachedTenant | None:
        """Return whose a request is, pinned; None: nobody's.

        `load` reads a tenant and puts it; False: there is none of this name, or what was read is stale.
        Raises `TenantUnavailableError`, and what `read` raises.
        """
        until_us = self._now_us() + int(TRIES_S * 1e6)
        for _ in range(TRIES):
            changes = self._changes
            name, row = self._name(host, path, until_us)
            if name is None:
                return None
            found = self._pinned(name, load, until_us, row, changes)
            if found is not None:
                return found
            self._drop_tables([host])  # it names a tenant that is gone
            if self._now_us() > until_us:
                break
        raise TenantUnavailableError("the table of tenants changes too fast")

    def release(self, resident: CachedTenant) -> None:
        """Note that the owner has been handed a request, or that there is none after all."""
        with self._lock:
            resident.pins -= 1
            resident.uses += 1
            resident.used_us = self._now_us()

    def _name(self, host: str, path: str, until_us: int) -> tuple[str | None, TenantRow | None]:
        """Return whose a request is, and the row where that was read as well."""
        for _ in range(TRIES):
            if self._now_us() > until_us:
                break
            with self._lock:
                if host in self._tables:
                    self._tables.move_to_end(host)
                    table = self._tables[host]
                    if table is not None:
                        return table.find(path), None
                    break
                under_way = self._looks.get(host)
                if under_way is None:
                    mine, changes = threading.Event(), self._changes
                    self._looks[host] = mine
            if under_way is not None:  # the table may be there after that
                if not under_way.wait(self._wait_s):
                    raise TenantUnavailableError(f"the table of {host!r} was not read in time")
                continue
            try:
                table, row = self._read(lambda: self._look(host, path))
                with self._lock:
                    if changes == self._changes:
                        self._keep(host, table)
            finally:
                with self._lock:
                    del self._looks[host]
                mine.set()
            return (row.name if row else None) if table is None else table.find(path), row
        found = self._read(lambda: self._source.match(host, path))
        return None if found is None else found.name, found

    def _look(self, host: str, path: str) -> tuple[CacheIndex | None, TenantRow | None]:
        """Read the table of a host, and the row of whose a request is."""
        rows = self._source.prefixes(host, FEW_PREFIXES)
        if rows is None:
            return None, self._source.match(host, path)
        table = table_of(rows)
        name = table.find(path)
        return table, None if name is None or name in self._residents else self._source.get(name)

    def _keep(self, host: str, table: CacheIndex | None) -> None:
        """Keep a host's table; with the lock held."""
        self._forget(host)
        self._tables[host] = table
        for name in table.names if table else ():
            self._hosts_of.setdefault(name, set()).add(host)
        if len(self._tables) > MOST_HOSTS:
            self._forget(next(iter(self._tables)))

    def _forget(self, host: str) -> None:
        table = self._tables.pop(host, None)
        for name in table.names if table else ():
            hosts = self._hosts_of[name]
            hosts.discard(host)
            if not hosts:
                del self._hosts_of[name]

    def _drop_tables(self, hosts: Iterable[str]) -> None:
        with self._lock:
            for host in hosts:
                self._forget(host)

    def _pinned(
        self,
        name: str,
        load: Callable[[str, Load], bool],
        until_us: int,
        row: TenantRow | None,
        changes: int,
    ) -> CachedTenant | None:
        """Return a tenant, pinned, after it has been read where it must be; None: there is none.

        `row` was read when so many changes had been heard of. What is committed before that is in it, and of
        what comes after it the load hears.
        """
        for _ in range(TRIES):
            if self._now_us() > until_us:
                break
            with self._lock:
                resident = self._residents.get(name)
                if resident is not None:
                    resident.pins += 1
                    resident.uses += 1
                    resident.used_us = self._now_us()
                    self._residents.move_to_end(name)
                    return resident
                under_way = self._loads.get(name)
                if under_way is None:
                    mine = self._loads[name] = Load(row if changes == self._changes else None)
            if under_way is not None:
                if not under_way.done.wait(self._wait_s):
                    raise TenantUnavailableError(f"{name!r} was not read in time")
                continue
            try:
                if not load(name, mine) and not mine.stale:
                    return None
            finally:
                with self._lock:
                    del self._loads[name]
                mine.done.set()
        raise TenantUnavailableError(f"{name!r} changes too fast, or is wanted too often")

    # Changes, by whoever made them

    def changed(
        self,
        names: Sequence[str],
        hosts_of: Callable[[TenantRow], Iterable[str]],
        put: Callable[[str, TenantRow | None], None],
    ) -> None:
        """Take note that rows have changed: read those in memory anew and hand them to `put`, in order.

        `hosts_of` returns the hosts of a row, none where it is of any. What can't be read stays as it was,
        and is read again with the next change.
        """
        with self._order:
            names = list(dict.fromkeys([*names, *self._missed]))
            self._missed.clear()
            rows: dict[str, TenantRow | None] = {}
            if len(names) <= MANY_CHANGES:
                with suppress(Exception):
                    rows = {name: self._source.get(name) for name in names}
            hosts: set[str] | None = set()
            for row in rows.values():
                found = set(hosts_of(row)) if row is not None else set()
                hosts = None if hosts is None or (row is not None and not found) else hosts | found
            with self._lock:
                self._changes += 1
                if hosts is None or len(rows) < len(names):
                    self._tables.clear()
                    self._hosts_of.clear()
                else:
                    for host in hosts.union(*(self._hosts_of.get(name, ()) for name in names)):
                        self._forget(host)
                for name in names:
                    if name in self._loads:
                        self._loads[name].stale = True
                residents = [name for name in names if name in self._residents]
            for name in residents:
                try:
                    put(name, rows[name] if name in rows else self._source.get(name))
                except Exception as error:
                    self._missed.add(name)
                    self.note(name, f"it could not be read again: {error}")

    def note(self, name: str, why: str) -> None:
        """Keep why a row can't be served."""
        with self._lock:
            self._noted[name] = why
            self._noted.move_to_end(name)
            if len(self._noted) > MOST_NOTED:
                self._noted.popitem(last=False)

    def forget_note(self, name: str) -> None:
        """Note that a row can be served."""
        if name in self._noted:
            with self._lock:
                self._noted.pop(name, None)

    def noted(self) -> dict[str, str]:
        """Return why rows that were wanted can't be served, by name."""
        with self._lock:
            return dict(self._noted)

    def put(self, leaf: Leaf, load: Load, tell: Callable[[], None]) -> bool | None:
        """Put a tenant that was read in memory; False: it has changed since. None: there is no room.

        `tell` posts it to the owner, which must not wait for anything.
        """
        with self._lock:
            if load.stale:
                return False
            if len(self._residents) >= self.most:
                return None
            tell()
            self._residents[leaf.entry.tenant.name] = CachedTenant(leaf, used_us=self._now_us())
            return True

    # By the owner

    def replace(self, leaf: Leaf) -> None:
        """Replace what is said of a tenant that is in memory."""
        with self._lock:
            self._residents[leaf.entry.tenant.name].leaf = leaf

    def remove(self, name: str) -> None:
        """Take a tenant out that is gone from the table."""
        with self._lock:
            self._residents.pop(name, None)

    def idle(self, unused_us: int, most: int = LOOKS) -> list[tuple[CachedTenant, int]]:
        """Return tenants that nobody has used for so long, and their uses, of those looked at longest ago."""
        with self._lock:
            before_us, found = self._now_us() - unused_us, []
            for _ in range(min(most, len(self._residents))):
                name = next(iter(self._residents))
                self._residents.move_to_end(name)
                resident = self._residents[name]
                if not resident.pins and resident.used_us <= before_us:
                    found.append((resident, resident.uses))
            return found

    def let_go(self, resident: CachedTenant, uses: int, free: Callable[[], bool]) -> bool:
        """Take a tenant out that is free and has not been used since it was found idle."""
        name = resident.leaf.entry.tenant.name
        with self._lock:
            if self._residents.get(name) is not resident or resident.pins or resident.uses != uses:
                return False
            if not free():
                return False
            del self._residents[name]
            return True
