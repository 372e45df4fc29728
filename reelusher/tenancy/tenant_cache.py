"""Caches the tenants in use, up to a limit, of the table on the disk. All I/O is that of `TenantSource`.

The thread that reads a request finds its tenant in the table of the request's host. Such tables are cached
for hosts with few prefixes; for other hosts, the table on the disk is searched. The thread *pins* the tenant
until the request has been posted to the event loop. A tenant that is not cached is read and put in the
cache; other requests for it wait for the same read. A change on the disk in the meantime makes that read
stale, and it is repeated.

A tenant is put in the cache and posted to the event loop in one step, under a lock that no thread holds while
it reads or waits. The event loop therefore adds a tenant before it handles any request of the tenant and any
change that follows the read. No thread waits until the tenant has been added. Only the event loop replaces
and evicts tenants.
"""

import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from typing import NamedTuple

from reelusher.tenancy.host_tables import HostTable, HostTables, build_host_table
from reelusher.tenancy.index import IndexedTenant
from reelusher.tenancy.tenant_source import (
    ReadWithTimeout,
    TenantRow,
    TenantSource,
    TenantUnavailableError,
    row_hosts,
)

MAX_CACHED_TENANTS = 8192
# tables are cached for hosts with at most this many prefixes, including those of tenants without hosts
MAX_TABLE_PREFIXES = 16
IDLE_TIMEOUT_US = 600_000_000  # a tenant that is unused for this time may be evicted
IDLE_SCAN_SIZE = 512  # number of tenants that one scan for idle ones examines
MAX_READ_ATTEMPTS = 8  # successive stale reads after which a request is rejected
READ_TIMEOUT_US = 1_000_000  # time limit for all of these attempts
MAX_CHANGES_BY_HOST = 256  # all host tables are dropped if more rows change at once
MAX_UNREADABLE_REASONS = 1000


@dataclass(slots=True)
class CachedTenant:
    """A tenant in memory, and its use."""

    indexed: IndexedTenant
    pins: int = 0  # number of requests that were read and not yet posted to the event loop
    uses: int = 0  # number of times that it was pinned or released
    used_us: int = 0  # time of the last use


class IdleTenant(NamedTuple):
    """A tenant that was found idle, and its count of uses at that time."""

    cached: CachedTenant
    uses: int


@dataclass(slots=True)
class TenantLoad:
    """A read of a tenant that is in progress."""

    row: TenantRow | None = None  # the row if it was read with the host's table and has not changed since
    stale: bool = False  # the row has changed since the read began
    done: threading.Event = field(default_factory=threading.Event)


class _Resolution(NamedTuple):
    """The tenant that a request belongs to."""

    name: str | None
    row: TenantRow | None  # its row, if it was read together with the name


class TenantCache:
    """The cached tenants, the tables of hosts, and the reads in progress."""

    def __init__(
        self,
        source: TenantSource,
        read: ReadWithTimeout,
        now_us: Callable[[], int],
        read_timeout_s: float,
        max_tenants: int = MAX_CACHED_TENANTS,
    ) -> None:
        """Start empty; `read` returns or raises within `read_timeout_s` seconds."""
        self._source = source
        self._read = read
        self._now_us = now_us
        self._read_timeout_s = read_timeout_s
        self.max_tenants = max_tenants
        self._lock = threading.Lock()  # never held while something is read or waited for
        self._tenants: OrderedDict[str, CachedTenant] = OrderedDict()  # least recently used or scanned first
        self._loads: dict[str, TenantLoad] = {}  # by tenant's name
        self._host_reads: dict[str, threading.Event] = {}  # by host: set once the read of its table has ended
        self._host_tables = HostTables()
        self._version = 0  # number of changes of the table so far
        self._unreadable: OrderedDict[str, str] = OrderedDict()  # by tenant: why its row can't be served
        self._changes_lock = threading.Lock()  # makes threads apply their changes one after another
        self._unread_changes = set[str]()  # tenants with changes that could not be read; guarded by that lock

    def __len__(self) -> int:
        return len(self._tenants)

    def get(self, name: str) -> CachedTenant | None:
        """Return the cached tenant of a name; None where none is cached."""
        return self._tenants.get(name)

    def indexed_tenants(self) -> list[IndexedTenant]:
        """Return the tenants that are cached."""
        with self._lock:
            return [cached.indexed for cached in self._tenants.values()]

    # Called by threads of front ends

    def find(self, host: str, path: str, load: Callable[[str, TenantLoad], bool]) -> CachedTenant | None:
        """Return the tenant that a request belongs to, pinned; None where there is none.

        `load` reads a tenant and puts it in the cache. It returns False if there is no tenant of this name or
        the row that it read is stale. Raises `TenantUnavailableError`, and the errors of `read` and `load`.
        """
        deadline_us = self._now_us() + READ_TIMEOUT_US
        for _ in range(MAX_READ_ATTEMPTS):
            version = self._version
            name, row = self._resolve(host, path, deadline_us)
            if name is None:
                return None
            cached = self._pin(name, load, deadline_us, row, version)
            if cached is not None:
                return cached
            with self._lock:
                self._host_tables.drop(host)  # it contains a tenant that was removed
            if self._now_us() > deadline_us:
                break
        raise TenantUnavailableError("the table of tenants changes too fast")

    def release(self, cached: CachedTenant) -> None:
        """Unpin a tenant, once its request has been posted to the event loop or discarded."""
        with self._lock:
            cached.pins -= 1
            cached.uses += 1
            cached.used_us = self._now_us()

    def _resolve(self, host: str, path: str, deadline_us: int) -> _Resolution:
        for _ in range(MAX_READ_ATTEMPTS):
            if self._now_us() > deadline_us:
                break
            with self._lock:
                if host in self._host_tables:
                    table = self._host_tables.use(host)
                    if table is not None:
                        return _Resolution(table.find(path), None)
                    break
                read_in_progress = self._host_reads.get(host)
                if read_in_progress is None:
                    version = self._version
                    done = self._host_reads[host] = threading.Event()
            if read_in_progress is None:
                return self._resolve_by_read(host, path, version, done)
            if not read_in_progress.wait(self._read_timeout_s):
                raise TenantUnavailableError(f"the table of {host!r} was not read in time")
        row = self._read(lambda: self._source.match(host, path))
        return _Resolution(None if row is None else row.name, row)

    def _resolve_by_read(self, host: str, path: str, version: int, done: threading.Event) -> _Resolution:
        """Read the table of a host, and cache it unless the table of tenants has changed in the meantime."""
        try:
            table, row = self._read(lambda: self._read_host(host, path))
            with self._lock:
                if version == self._version:
                    self._host_tables.put(host, table)
        finally:
            with self._lock:
                del self._host_reads[host]
            done.set()
        if table is None:
            return _Resolution(row.name if row else None, row)
        return _Resolution(table.find(path), row)

    def _read_host(self, host: str, path: str) -> tuple[HostTable | None, TenantRow | None]:
        """Read the table of a host, and the row of the tenant of a request unless that tenant is cached."""
        prefixes = self._source.prefixes(host, MAX_TABLE_PREFIXES)
        if prefixes is None:
            return None, self._source.match(host, path)
        table = build_host_table(prefixes)
        name = table.find(path)
        return table, None if name is None or name in self._tenants else self._source.get(name)

    def _pin(
        self,
        name: str,
        load: Callable[[str, TenantLoad], bool],
        deadline_us: int,
        row: TenantRow | None,
        version: int,
    ) -> CachedTenant | None:
        """Return a tenant, pinned, and read it first if it is not cached; None where it does not exist.

        `row` was read at or after `version`: it contains all changes that were committed before. Changes that
        are committed later mark the load as stale.
        """
        for _ in range(MAX_READ_ATTEMPTS):
            if self._now_us() > deadline_us:
                break
            with self._lock:
                cached = self._pin_cached(name)
                if cached is not None:
                    return cached
                load_in_progress = self._loads.get(name)
                if load_in_progress is None:
                    own_load = self._loads[name] = TenantLoad(row if version == self._version else None)
            if load_in_progress is not None:
                if not load_in_progress.done.wait(self._read_timeout_s):
                    raise TenantUnavailableError(f"{name!r} was not read in time")
                continue
            try:
                if not load(name, own_load) and not own_load.stale:
                    return None
            finally:
                with self._lock:
                    del self._loads[name]
                own_load.done.set()
        raise TenantUnavailableError(f"{name!r} changes too fast, or is wanted too often")

    def _pin_cached(self, name: str) -> CachedTenant | None:
        """Pin a tenant if it is cached, and return it; the caller holds the lock."""
        cached = self._tenants.get(name)
        if cached is not None:
            cached.pins += 1
            cached.uses += 1
            cached.used_us = self._now_us()
            self._tenants.move_to_end(name)
        return cached

    def put(self, indexed: IndexedTenant, load: TenantLoad, post: Callable[[], None]) -> bool | None:
        """Put a tenant that was read in the cache.

        Returns False if the tenant has changed since the read, and None if the cache is full. `post` posts
        the tenant to the event loop and must not block.
        """
        with self._lock:
            if load.stale:
                return False
            if len(self._tenants) >= self.max_tenants:
                return None
            post()
            self._tenants[indexed.record.tenant.name] = CachedTenant(indexed, used_us=self._now_us())
            return True

    # Called by the thread that made a change

    def rows_changed(self, names: Sequence[str], apply: Callable[[str, TenantRow | None], None]) -> None:
        """Read the changed rows of cached tenants again and pass them to `apply`, in order.

        A tenant whose row can't be read remains unchanged, and its row is read again with the next change.
        """
        with self._changes_lock:
            names = list(dict.fromkeys([*names, *self._unread_changes]))
            self._unread_changes.clear()
            rows = self._read_rows(names)
            for name in self._invalidate(names, rows):
                try:
                    apply(name, rows[name] if name in rows else self._source.get(name))
                except Exception as error:
                    self._unread_changes.add(name)
                    self.set_unreadable(name, f"it could not be read again: {error}")

    def _read_rows(self, names: list[str]) -> dict[str, TenantRow | None]:
        """Return the rows of these tenants, or no rows if there are too many or one can't be read."""
        if len(names) <= MAX_CHANGES_BY_HOST:
            with suppress(Exception):
                return {name: self._source.get(name) for name in names}
        return {}

    def _invalidate(self, names: list[str], rows: dict[str, TenantRow | None]) -> list[str]:
        """Drop the host tables that changes affect, mark loads as stale, and return the cached names."""
        hosts = _hosts_of(rows.values()) if len(rows) == len(names) else None
        with self._lock:
            self._version += 1
            if hosts is None:
                self._host_tables.clear()
            else:
                for host in hosts.union(*(self._host_tables.hosts_naming(name) for name in names)):
                    self._host_tables.drop(host)
            for name in names:
                if name in self._loads:
                    self._loads[name].stale = True
            return [name for name in names if name in self._tenants]

    # Rows that can't be served

    def set_unreadable(self, name: str, reason: str) -> None:
        """Record the reason why a row can't be served."""
        with self._lock:
            self._unreadable[name] = reason
            self._unreadable.move_to_end(name)
            if len(self._unreadable) > MAX_UNREADABLE_REASONS:
                self._unreadable.popitem(last=False)

    def set_readable(self, name: str) -> None:
        """Record that a row can be served again."""
        if name in self._unreadable:
            with self._lock:
                self._unreadable.pop(name, None)

    def unreadable(self) -> dict[str, str]:
        """Return the reasons why requested rows can't be served, by name of the tenant."""
        with self._lock:
            return dict(self._unreadable)

    # Called by the event loop

    def replace(self, indexed: IndexedTenant) -> None:
        """Replace the cached tenant of the same name, which must exist."""
        with self._lock:
            self._tenants[indexed.record.tenant.name].indexed = indexed

    def remove(self, name: str) -> None:
        """Remove a tenant that is no longer in the table."""
        with self._lock:
            self._tenants.pop(name, None)

    def idle_tenants(self, idle_us: int, scan_size: int = IDLE_SCAN_SIZE) -> list[IdleTenant]:
        """Scan the least recently used or scanned tenants, and return those unused for at least `idle_us`."""
        with self._lock:
            used_before_us, found = self._now_us() - idle_us, []
            for _ in range(min(scan_size, len(self._tenants))):
                name = next(iter(self._tenants))
                self._tenants.move_to_end(name)
                cached = self._tenants[name]
                if not cached.pins and cached.used_us <= used_before_us:
                    found.append(IdleTenant(cached, cached.uses))
            return found

    def evict(self, idle: IdleTenant, may_evict: Callable[[], bool]) -> bool:
        """Evict a tenant unless it has been used since it was found idle; return whether it was evicted."""
        name = idle.cached.indexed.record.tenant.name
        with self._lock:
            if self._tenants.get(name) is not idle.cached:
                return False
            if idle.cached.pins or idle.cached.uses != idle.uses or not may_evict():
                return False
            del self._tenants[name]
            return True


def _hosts_of(rows: Iterable[TenantRow | None]) -> frozenset[str] | None:
    """Return the hosts that rows name; None where a row may take requests of any host."""
    hosts: set[str] = set()
    for row in rows:
        if row is None:
            continue
        named = row_hosts(row)
        if not named:
            return None
        hosts.update(named)
    return frozenset(hosts)
