"""The index of tenants, which finds the tenant and the class of a request. Free of I/O.

A request belongs to the most specific tenant. Tenants that name its host come before tenants without hosts;
among these, the longest prefix that the request's path lies under decides, and among equal prefixes the first
name. The class of the request is that of the tenant's first matching route.

One thread changes the index. Others read it without a lock: the tables of hosts are immutable, and a change
replaces a table by a copy. Unless the table gets more parts, this copies one part, whose size does not grow
with the number of tenants, and the tuple that refers to all parts.
"""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator
from typing import Generic, NamedTuple, TypeVar

from reelusher.config.operator.tenants import FULL_GUARANTEE, Route, Tenant, guarantee_units
from reelusher.tenancy.lifecycle import TenantRecord

T = TypeVar("T")
ANY_METHOD = "*"
ANY_HOST = ""  # the host of tenants without hosts of their own
# Mean size of the parts of a host's table above which it gets more parts. A change copies one part and the
# tuple of all parts.
PREFIXES_PER_PART = 64
GROWTH_FACTOR = 4  # the number of parts is multiplied by this when they are too full
MAX_SCANNED_ROUTES = 8  # with at most this many routes, a scan is faster than look-ups by length


def lies_under(path: str, prefix: str) -> bool:
    """Return whether a path equals a prefix or lies below it. Example: /visits does not lie below /visit."""
    return path == prefix or path.startswith(prefix if prefix.endswith("/") else prefix + "/")


def _is_prefix_end(path: str, length: int) -> bool:
    """Return whether a path lies under the prefix that its first `length` characters form."""
    return len(path) == length or path[length] == "/" or path[length - 1 : length] == "/"


class Location(NamedTuple):
    """A host and a prefix under which a tenant takes requests."""

    host: str  # in lower case, or `ANY_HOST`
    prefix: str


class Routes:
    """The routes of one tenant, indexed by the lengths of their paths where there are many."""

    __slots__ = ("_first", "_lengths", "_routes")

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self._routes = routes
        self._first: dict[tuple[str, str], int] = {}  # position of the first route, by method and path
        self._lengths: tuple[int, ...] = ()
        if len(routes) > MAX_SCANNED_ROUTES:
            for position, route in enumerate(routes):
                self._first.setdefault((route.method, route.path), position)
            self._lengths = tuple(sorted({len(route.path) for route in routes}))

    def class_of(self, method: str, path: str) -> str | None:
        """Return the class of the first route that matches; None where none does."""
        if not self._lengths:
            return self._class_by_scan(method, path)
        first = len(self._routes)
        for length in self._lengths:
            if length > len(path):
                break
            if _is_prefix_end(path, length):
                start = path[:length]
                first = min(first, self._first.get((method, start), first))
                first = min(first, self._first.get((ANY_METHOD, start), first))
        return self._routes[first].class_name if first < len(self._routes) else None

    def _class_by_scan(self, method: str, path: str) -> str | None:
        for route in self._routes:
            if route.method in (ANY_METHOD, method) and lies_under(path, route.path):
                return route.class_name
        return None


class IndexedTenant:
    """A tenant and its routes, as a look-up returns them."""

    __slots__ = ("record", "routes")

    def __init__(self, record: TenantRecord, routes: Routes | None = None) -> None:
        self.record = record
        self.routes = Routes(record.tenant.routes) if routes is None else routes

    @property
    def locations(self) -> set[Location]:
        """Return the hosts and prefixes under which the tenant takes requests."""
        tenant = self.record.tenant
        return {Location(host, tenant.prefix) for host in tenant.hosts or (ANY_HOST,)}

    def class_of(self, method: str, path: str) -> str:
        """Return the class of a request; empty where no route matches and the tenant has no default."""
        found = self.routes.class_of(method, path)
        return self.record.tenant.default_class if found is None else found


class VirtualHost(Generic[T]):
    """The tenants of one host, by prefix. Immutable. A look-up takes one step per distinct prefix length."""

    __slots__ = ("_lengths", "_parts", "_size")

    def __init__(self, lengths: dict[int, int], parts: tuple[dict[str, T], ...], size: int) -> None:
        self._lengths = lengths  # number of prefixes by length, longest first
        self._parts = parts  # values by prefix; the hash of a prefix selects its part
        self._size = size

    def find(self, path: str) -> T | None:
        """Return the value of the longest prefix that a path lies under; None where there is none."""
        for length in self._lengths:
            if length <= len(path) and _is_prefix_end(path, length):
                found = self.get(path[:length])
                if found is not None:
                    return found
        return None

    def get(self, prefix: str) -> T | None:
        """Return the value of one prefix; None where it is unknown."""
        return self._parts[hash(prefix) & len(self._parts) - 1].get(prefix)

    def put(self, prefix: str, value: T) -> "VirtualHost[T]":
        """Return a copy with one prefix added or its value replaced."""
        position = hash(prefix) & len(self._parts) - 1
        new = prefix not in self._parts[position]
        copy = VirtualHost(
            self._with_length(len(prefix), 1) if new else self._lengths,
            self._with_part(position, {**self._parts[position], prefix: value}),
            self._size + new,
        )
        return copy._with_more_parts() if copy._size > PREFIXES_PER_PART * len(copy._parts) else copy

    def without(self, prefix: str) -> "VirtualHost[T] | None":
        """Return a copy without one prefix, which must exist; None if it was the last one."""
        if self._size == 1:
            return None
        position = hash(prefix) & len(self._parts) - 1
        part = {other: value for other, value in self._parts[position].items() if other != prefix}
        return VirtualHost(
            self._with_length(len(prefix), -1), self._with_part(position, part), self._size - 1
        )

    def _with_part(self, position: int, part: dict[str, T]) -> tuple[dict[str, T], ...]:
        return (*self._parts[:position], part, *self._parts[position + 1 :])

    def _with_length(self, length: int, change: int) -> dict[int, int]:
        count = self._lengths.get(length, 0)
        if count and count + change:
            return {**self._lengths, length: count + change}
        others = [other for other in self._lengths if other != length]
        return {
            other: self._lengths.get(other, 1)
            for other in sorted([*others, length] if change > 0 else others, reverse=True)
        }

    def _with_more_parts(self) -> "VirtualHost[T]":
        parts: tuple[dict[str, T], ...] = tuple({} for _ in range(GROWTH_FACTOR * len(self._parts)))
        for part in self._parts:
            for prefix, value in part.items():
                parts[hash(prefix) & len(parts) - 1][prefix] = value
        return VirtualHost(self._lengths, parts, self._size)


EMPTY_HOST: VirtualHost[IndexedTenant] = VirtualHost({}, ({},), 0)


class TenantIndex:
    """Tenants by name, sorted by name, and by the hosts and prefixes of their requests."""

    def __init__(self) -> None:
        self._tenants: dict[str, IndexedTenant] = {}
        self._names: list[str] = []  # sorted
        self._hosts: dict[str, VirtualHost[IndexedTenant]] = {}
        # sorted names of the tenants at each location that several tenants have
        self._shared_locations: dict[Location, list[str]] = {}
        self._guaranteed_units = 0  # sum of all guarantees, in integer units that add up exactly

    def __len__(self) -> int:
        return len(self._tenants)

    def get(self, name: str) -> TenantRecord | None:
        """Return the tenant of a name; None where there is none."""
        indexed = self._tenants.get(name)
        return indexed.record if indexed else None

    def records(self) -> Iterator[TenantRecord]:
        """Return all tenants, in no order."""
        return iter([indexed.record for indexed in tuple(self._tenants.values())])

    def page(self, after: str, limit: int) -> tuple[list[TenantRecord], str]:
        """Return at most `limit` tenants with names after `after`, and the last name if more follow."""
        while True:
            start = bisect_right(self._names, after)
            preceding = min(start, 1)
            names = self._names[start - preceding : start + limit + 1]
            # the slice starts at another name if names were added or removed since the search
            if all(name <= after for name in names[:preceding]) and all(
                name > after for name in names[preceding : preceding + 1]
            ):
                del names[:preceding]
                break
        found = [indexed.record for name in names[:limit] if (indexed := self._tenants.get(name)) is not None]
        return found, names[limit - 1] if len(names) > limit else ""

    def guarantee_fits(self, tenant: Tenant) -> bool:
        """Return whether the guarantees add up to at most 1 if this tenant replaces the one of its name."""
        indexed = self._tenants.get(tenant.name)
        previous_units = guarantee_units(indexed.record.tenant) if indexed else 0
        return self._guaranteed_units - previous_units + guarantee_units(tenant) <= FULL_GUARANTEE

    # Changes, by one thread. New locations are added before old ones are removed: readers always find one.

    def put(self, record: TenantRecord) -> None:
        """Add a tenant, or replace the one with its name."""
        name = record.tenant.name
        previous = self._tenants.get(name)
        same_routes = previous is not None and previous.record.tenant.routes == record.tenant.routes
        indexed = IndexedTenant(record, previous.routes if previous is not None and same_routes else None)
        self._guaranteed_units += guarantee_units(record.tenant)
        self._tenants[name] = indexed
        if previous is None:
            insort(self._names, name)
        locations, old_locations = indexed.locations, previous.locations if previous else set()
        for location in locations:
            if location not in old_locations:
                self._add_shared_location(location, name)
            self._publish(location, name)
        for location in old_locations - locations:
            self._remove_location(location, name)
        if previous is not None:
            self._guaranteed_units -= guarantee_units(previous.record.tenant)

    def remove(self, name: str) -> None:
        """Remove a tenant, if it exists."""
        indexed = self._tenants.get(name)
        if indexed is None:
            return
        for location in indexed.locations:
            self._remove_location(location, name)
        del self._names[bisect_left(self._names, name)]
        del self._tenants[name]
        self._guaranteed_units -= guarantee_units(indexed.record.tenant)

    def _add_shared_location(self, location: Location, name: str) -> None:
        """Record that a tenant shares a location with others, if any tenant is published there."""
        names = self._shared_locations.get(location)
        if names is None:
            first = self._hosts.get(location.host, EMPTY_HOST).get(location.prefix)
            if first is None:
                return
            names = self._shared_locations[location] = [first.record.tenant.name]
        insort(names, name)

    def _publish(self, location: Location, name: str) -> None:
        """Make a tenant visible to readers at a location, if its name is the first one there."""
        names = self._shared_locations.get(location)
        if names is None or names[0] == name:
            host = self._hosts.get(location.host, EMPTY_HOST)
            self._hosts[location.host] = host.put(location.prefix, self._tenants[name])

    def _remove_location(self, location: Location, name: str) -> None:
        names = self._shared_locations.get(location)
        if names is None:
            self._unpublish(location)
            return
        first = names[0]
        del names[bisect_left(names, name)]
        if first == name:
            self._publish(location, names[0])
        if len(names) == 1:
            del self._shared_locations[location]

    def _unpublish(self, location: Location) -> None:
        remaining = self._hosts[location.host].without(location.prefix)
        if remaining is None:
            del self._hosts[location.host]
        else:
            self._hosts[location.host] = remaining

    # Look-ups, by any thread

    def find(self, host: str, path: str) -> IndexedTenant | None:
        """Return the tenant of a request, by its host in lower case and its path; None if there is none."""
        while True:
            named_host = self._hosts.get(host) if host else None
            found = named_host.find(path) if named_host is not None else None
            if found is not None:
                return found
            any_host = self._hosts.get(ANY_HOST)
            found = any_host.find(path) if any_host is not None else None
            # neither look-up finds a tenant that got its first hosts between them
            if not host or self._hosts.get(host) is named_host:
                return found
