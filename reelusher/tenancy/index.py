"""The index of tenants: which tenant and which class a request belongs to. Free of I/O.

A request belongs to the most specific tenant: one that names its host before those without hosts, of these
the one with the longest prefix that its path lies under, of these the first by name. Its class is that of the
tenant's first route that matches.

One thread changes the index. Others read it without a lock: what they read is immutable, and is replaced in
parts that stay small whatever the size of the whole.
"""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator
from typing import Generic, NamedTuple, TypeVar

from reelusher.config.operator import FULL_GUARANTEE, Route, Tenant, guarantee_units
from reelusher.tenancy.lifecycle import TenantRecord

T = TypeVar("T")
ANY_METHOD = "*"
ANY_HOST = ""  # of tenants without hosts of their own
PREFIXES_PER_PART = 64  # of a host's table, about: a change copies one part and the list of parts
GROWTH_FACTOR = 4  # of the number of parts once they are too full
MAX_SCANNED_ROUTES = 8  # up to so many, a scan is faster than look-ups by length


def lies_under(path: str, prefix: str) -> bool:
    """Return whether a path equals a prefix or lies below it; /visits does not lie below /visit."""
    return path == prefix or path.startswith(prefix if prefix.endswith("/") else prefix + "/")


def _is_prefix_end(path: str, length: int) -> bool:
    """Return whether a path lies under the prefix that its first `length` characters are."""
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
        self._first: dict[tuple[str, str], int] = {}  # by method and path: its first position
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
        """Return the hosts and prefixes at which it is found."""
        tenant = self.record.tenant
        return {Location(host, tenant.prefix) for host in tenant.hosts or (ANY_HOST,)}

    def class_of(self, method: str, path: str) -> str:
        """Return the class of a request; empty where no route matches and the tenant has no default."""
        found = self.routes.class_of(method, path)
        return self.record.tenant.default_class if found is None else found


class VirtualHost(Generic[T]):
    """The tenants of one host, by prefix. Immutable. A look-up costs one step for each length of a prefix."""

    __slots__ = ("_lengths", "_parts", "_size")

    def __init__(self, lengths: dict[int, int], parts: tuple[dict[str, T], ...], size: int) -> None:
        self._lengths = lengths  # the longest first: how many prefixes have it
        self._parts = parts  # by the hash of a prefix
        self._size = size

    def find(self, path: str) -> T | None:
        """Return the value of the longest prefix that a path is or lies under."""
        for length in self._lengths:
            if length <= len(path) and _is_prefix_end(path, length):
                found = self.get(path[:length])
                if found is not None:
                    return found
        return None

    def get(self, prefix: str) -> T | None:
        """Return the value of one prefix."""
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
        """Return a copy without one prefix; None where it was the last."""
        if self._size == 1:
            return None
        position = hash(prefix) & len(self._parts) - 1
        part = {known: value for known, value in self._parts[position].items() if known != prefix}
        return VirtualHost(
            self._with_length(len(prefix), -1), self._with_part(position, part), self._size - 1
        )

    def _with_part(self, position: int, part: dict[str, T]) -> tuple[dict[str, T], ...]:
        return (*self._parts[:position], part, *self._parts[position + 1 :])

    def _with_length(self, length: int, change: int) -> dict[int, int]:
        count = self._lengths.get(length, 0)
        if count and count + change:
            return {**self._lengths, length: count + change}
        others = [known for known in self._lengths if known != length]
        return {
            known: self._lengths.get(known, 1)
            for known in sorted([*others, length] if change > 0 else others, reverse=True)
        }

    def _with_more_parts(self) -> "VirtualHost[T]":
        parts: tuple[dict[str, T], ...] = tuple({} for _ in range(GROWTH_FACTOR * len(self._parts)))
        for part in self._parts:
            for prefix, value in part.items():
                parts[hash(prefix) & len(parts) - 1][prefix] = value
        return VirtualHost(self._lengths, parts, self._size)


EMPTY_HOST: VirtualHost[IndexedTenant] = VirtualHost({}, ({},), 0)


class TenantIndex:
    """Tenants by name, in the order of their names, and by the requests that belong to them."""

    def __init__(self) -> None:
        self._tenants: dict[str, IndexedTenant] = {}
        self._names: list[str] = []  # sorted
        self._hosts: dict[str, VirtualHost[IndexedTenant]] = {}
        self._sharing: dict[Location, list[str]] = {}  # sorted names, where several tenants have one location
        self._guaranteed = 0  # sum of all guarantees, in units that add up exactly

    def __len__(self) -> int:
        return len(self._tenants)

    def get(self, name: str) -> TenantRecord | None:
        """Return one tenant."""
        indexed = self._tenants.get(name)
        return indexed.record if indexed else None

    def records(self) -> Iterator[TenantRecord]:
        """Return all tenants, in no order."""
        return iter([indexed.record for indexed in tuple(self._tenants.values())])

    def page(self, after: str, limit: int) -> tuple[list[TenantRecord], str]:
        """Return at most `limit` tenants whose names come after one, and the last name where more follow."""
        while True:
            start = bisect_right(self._names, after)
            before = min(start, 1)
            names = self._names[start - before : start + limit + 1]
            # if names were added or removed since the search, the slice starts elsewhere
            if all(name <= after for name in names[:before]) and all(
                name > after for name in names[before : before + 1]
            ):
                del names[:before]
                break
        found = [indexed.record for name in names[:limit] if (indexed := self._tenants.get(name)) is not None]
        return found, names[limit - 1] if len(names) > limit else ""

    def guarantee_fits(self, tenant: Tenant) -> bool:
        """Return whether the guarantees add up to at most 1 with this tenant in place of its namesake."""
        indexed = self._tenants.get(tenant.name)
        before = guarantee_units(indexed.record.tenant) if indexed else 0
        return self._guaranteed - before + guarantee_units(tenant) <= FULL_GUARANTEE

    # Changes, by one thread. The new is added before the old is removed: a reader finds one or the other.

    def put(self, record: TenantRecord) -> None:
        """Add a tenant, or replace the one of its name."""
        name = record.tenant.name
        previous = self._tenants.get(name)
        same_routes = previous is not None and previous.record.tenant.routes == record.tenant.routes
        indexed = IndexedTenant(record, previous.routes if previous is not None and same_routes else None)
        self._guaranteed += guarantee_units(record.tenant)
        self._tenants[name] = indexed
        if previous is None:
            insort(self._names, name)
        locations, old_locations = indexed.locations, previous.locations if previous else set()
        for location in locations:
            if location not in old_locations:
                self._add_sharing(location, name)
            self._publish(location, name)
        for location in old_locations - locations:
            self._remove_location(location, name)
        if previous is not None:
            self._guaranteed -= guarantee_units(previous.record.tenant)

    def remove(self, name: str) -> None:
        """Remove a tenant, if it is there."""
        indexed = self._tenants.get(name)
        if indexed is None:
            return
        for location in indexed.locations:
            self._remove_location(location, name)
        del self._names[bisect_left(self._names, name)]
        del self._tenants[name]
        self._guaranteed -= guarantee_units(indexed.record.tenant)

    def _add_sharing(self, location: Location, name: str) -> None:
        """Record that a tenant shares a location with others, if it does."""
        names = self._sharing.get(location)
        if names is None:
            first = self._hosts.get(location.host, EMPTY_HOST).get(location.prefix)
            if first is None:
                return
            names = self._sharing[location] = [first.record.tenant.name]
        insort(names, name)

    def _publish(self, location: Location, name: str) -> None:
        """Let readers find a tenant at a location, if it is the first by name there."""
        names = self._sharing.get(location)
        if names is None or names[0] == name:
            host = self._hosts.get(location.host, EMPTY_HOST)
            self._hosts[location.host] = host.put(location.prefix, self._tenants[name])

    def _remove_location(self, location: Location, name: str) -> None:
        names = self._sharing.get(location)
        if names is None:
            self._unpublish(location)
            return
        first = names[0]
        del names[bisect_left(names, name)]
        if first == name:
            self._publish(location, names[0])
        if len(names) == 1:
            del self._sharing[location]

    def _unpublish(self, location: Location) -> None:
        remaining = self._hosts[location.host].without(location.prefix)
        if remaining is None:
            del self._hosts[location.host]
        else:
            self._hosts[location.host] = remaining

    # Look-ups, by any thread

    def find(self, host: str, path: str) -> IndexedTenant | None:
        """Return the tenant that a request belongs to, by its host in lower case and its path."""
        while True:
            own = self._hosts.get(host) if host else None
            found = own.find(path) if own is not None else None
            if found is not None:
                return found
            default = self._hosts.get(ANY_HOST)
            found = default.find(path) if default is not None else None
            # a tenant whose first hosts were added between the two look-ups is found by neither
            if not host or self._hosts.get(host) is own:
                return found
