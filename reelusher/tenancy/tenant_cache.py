"""Which tenants of the table on the disk are in memory: those in use, up to a limit. Free of I/O.

The thread that reads a request resolves its tenant by tables of hosts, which are cached for hosts of few
prefixes, or else by the table on the disk. It *pins* the tenant until the request has been posted to the
event loop. A tenant that is not cached is read and put; other requests for it wait for the same read. A
change on the disk in the meantime makes that read stale, and it is repeated.

A tenant is put and posted to the event loop in one step, under a lock that nobody holds while reading or
waiting: so the event loop learns of a tenant before any request of it, and before any change that follows
the read. Nobody waits until it has learnt of it. Only the event loop replaces and evicts.
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
MAX_TABLE_PREFIXES = 16  # of a host, with those of tenants without hosts, for which a table is cached
IDLE_TIMEOUT_US = 600_000_000  # unused for so long, a tenant may be evicted
IDLE_SCAN_SIZE = 512  # tenants that one scan for idle ones looks at
MAX_READ_ATTEMPTS = 8  # reads that turn out stale, one after another, before a request is rejected
READ_TIMEOUT_US = 1_000_000  # for all of these attempts
MAX_CHANGES_BY_HOST = 256  # changes at once, past which all host tables are dropped
MAX_UNREADABLE_REASONS = 1000


@dataclass(slots=True)
class CachedTenant:
    """A tenant in memory."""

    indexed: IndexedTenant
    pins: int = 0  # requests that were read and not yet posted to the event loop
    uses: int = 0
    used_us: int = 0


class IdleTenant(NamedTuple):
    """A tenant that was found idle, and its count of uses then."""

    cached: CachedTenant
    uses: int


@dataclass(slots=True)
class TenantLoad:
    """A read of a tenant that is under way."""

    row: TenantRow | None = None  # as it was read with the table of its host, if it has not changed since
    stale: bool = False  # it has changed since
    done: threading.Event = field(default_factory=threading.Event)


class _Resolution(NamedTuple):
    """The tenant that a request belongs to."""

    name: str | None
    row: TenantRow | None  # where it was read at the same time


class TenantCache:
    """Cached tenants, tables of hosts, and reads under way."""

    def __init__(
        self,
        source: TenantSource,
        read: ReadWithTimeout,
        now_us: Callable[[], int],
        read_timeout_s: float,
        max_tenants: int = MAX_CACHED_TENANTS,
    ) -> None:
        """Start empty; `read` returns or raises within `read_timeout_s`."""
        self._source = source
        self._read = read
        self._now_us = now_us
        self._read_timeout_s = read_timeout_s
        self.max_tenants = max_tenants
        self._lock = threading.Lock()  # never held while something is read or waited for
        self._tenants: OrderedDict[str, CachedTenant] = OrderedDict()  # the last used or scanned at the end
        self._loads: dict[str, TenantLoad] = {}  # by tenant
        self._host_reads: dict[str, threading.Event] = {}  # by host: its table is being read
        self._host_tables = HostTables()
        self._version = 0  # counts changes of the table
        self._unreadable: OrderedDict[str, str] = OrderedDict()  # by tenant: why its row can't be served
        self._changes_lock = threading.Lock()  # changes are applied one after another
        self._missed = set[str]()  # tenants whose change could not be read; guarded by that lock

    def __len__(self) -> int:
        return len(self._tenants)

    def get(self, name: str) -> CachedTenant | None:
        """Return a tenant that is cached."""
        return self._tenants.get(name)

    def indexed_tenants(self) -> list[IndexedTenant]:
        """Return the tenants that are cached."""
        with self._lock:
            return [cached.indexed for cached in self._tenants.values()]

    # Called by threads of front ends

    def find(self, host: str, path: str, load: Callable[[str, TenantLoad], bool]) -> CachedTenant | None:
        """Return the tenant that a request belongs to, pinned; None where there is none.

        `load` reads a tenant and puts it; False: there is none of this name, or what was read is stale.
        Raises `TenantUnavailableError`, and what `read` raises.
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
                self._host_tables.drop(host)  # it names a tenant that was removed
            if self._now_us() > deadline_us:
                break
        raise TenantUnavailableError("the table of tenants changes too fast")

    def release(self, cached: CachedTenant) -> None:
        """Unpin a tenant whose request has been posted to the event loop, or was not a request after all."""
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
                read_under_way = self._host_reads.get(host)
                if read_under_way is None:
                    version = self._version
                    done = self._host_reads[host] = threading.Event()
            if read_under_way is None:
                return self._resolve_by_read(host, path, version, done)
            if not read_under_way.wait(self._read_timeout_s):
                raise TenantUnavailableError(f"the table of {host!r} was not read in time")
        row = self._read(lambda: self._source.match(host, path))
        return _Resolution(None if row is None else row.name, row)

    def _resolve_by_read(self, host: str, path: str, version: int, done: threading.Event) -> _Resolution:
        """Read the table of a host, and cache it unless the table of tenants has changed meanwhile."""
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
        """Read the table of a host, and the row of the tenant that a request belongs to unless cached."""
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
        """Return a tenant, pinned, after it has been read if necessary; None where it does not exist.

        `row` was read at or after `version`: it contains what was committed before, and the load is marked
        stale by what is committed later.
        """
        for _ in range(MAX_READ_ATTEMPTS):
            if self._now_us() > deadline_us:
                break
            with self._lock:
                cached = self._pin_cached(name)
                if cached is not None:
                    return cached
                load_under_way = self._loads.get(name)
                if load_under_way is None:
                    own_load = self._loads[name] = TenantLoad(row if version == self._version else None)
            if load_under_way is not None:
                if not load_under_way.done.wait(self._read_timeout_s):
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
        """Pin a tenant that is cached; the caller holds the lock."""
        cached = self._tenants.get(name)
        if cached is not None:
            cached.pins += 1
            cached.uses += 1
            cached.used_us = self._now_us()
            self._tenants.move_to_end(name)
        return cached

    def put(self, indexed: IndexedTenant, load: TenantLoad, post: Callable[[], None]) -> bool | None:
        """Cache a tenant that was read; False: it has changed since. None: the cache is full.

        `post` posts it to the event loop and must not block.
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
        """Read changed rows of cached tenants again and pass them to `apply`, in order.

        A tenant whose row can't be read stays as it was, and is read again with the next change.
        """
        with self._changes_lock:
            names = list(dict.fromkeys([*names, *self._missed]))
            self._missed.clear()
            rows = self._read_rows(names)
            for name in self._invalidate(names, rows):
                try:
                    apply(name, rows[name] if name in rows else self._source.get(name))
                except Exception as error:
                    self._missed.add(name)
                    self.set_unreadable(name, f"it could not be read again: {error}")

    def _read_rows(self, names: list[str]) -> dict[str, TenantRow | None]:
        """Return the rows of these tenants, or no rows where they are too many or can't be read."""
        if len(names) <= MAX_CHANGES_BY_HOST:
            with suppress(Exception):
                return {name: self._source.get(name) for name in names}
        return {}

    def _invalidate(self, names: list[str], rows: dict[str, TenantRow | None]) -> list[str]:
        """Drop the tables of hosts that changes concern, and mark loads stale; return the cached tenants."""
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
        """Record why a row can't be served."""
        with self._lock:
            self._unreadable[name] = reason
            self._unreadable.move_to_end(name)
            if len(self._unreadable) > MAX_UNREADABLE_REASONS:
                self._unreadable.popitem(last=False)

    def set_readable(self, name: str) -> None:
        """Record that a row can be served."""
        if name in self._unreadable:
            with self._lock:
                self._unreadable.pop(name, None)

    def unreadable(self) -> dict[str, str]:
        """Return why requested rows can't be served, by name."""
        with self._lock:
            return dict(self._unreadable)

    # Called by the event loop

    def replace(self, indexed: IndexedTenant) -> None:
        """Replace a tenant that is cached."""
        with self._lock:
            self._tenants[indexed.record.tenant.name].indexed = indexed

    def remove(self, name: str) -> None:
        """Remove a tenant that is no longer in the table."""
        with self._lock:
            self._tenants.pop(name, None)

    def idle_tenants(self, idle_us: int, scan_size: int = IDLE_SCAN_SIZE) -> list[IdleTenant]:
        """Return tenants that have not been used for so long, of those that were scanned longest ago."""
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
        """Evict a tenant that has not been used since it was found idle; return whether it was evicted."""
        name = idle.cached.indexed.record.tenant.name
        with self._lock:
            if self._tenants.get(name) is not idle.cached:
                return False
            if idle.cached.pins or idle.cached.uses != idle.uses or not may_evict():
                return False
            del self._tenants[name]
            return True


def _hosts_of(rows: Iterable[TenantRow | None]) -> frozenset[str] | None:
    """Return the hosts that rows name; None where a row takes requests of any host."""
    hosts: set[str] = set()
    for row in rows:
        if row is None:
            continue
        named = row_hosts(row)
        if not named:
            return None
        hosts.update(named)
    return frozenset(hosts)
