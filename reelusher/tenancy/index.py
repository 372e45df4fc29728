"""Whose a request is, found by host, then prefix, then route, and tenants in pages by name. Free of I/O.

A request belongs to the tenant that says most about it: one with its host before those without hosts, of
these the one with the longest prefix that its path is or lies under, of these the least name. Its class is
that of the tenant's first route that fits.

One thread changes the index. Any other reads it without a lock: what is read is never changed, but replaced
as a whole, by parts that are small whatever the whole is.
"""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator
from typing import Generic, TypeVar

from reelusher.config.operator import FULL_GUARANTEE, Route, Tenant, guarantee_units
from reelusher.tenancy.lifecycle import TenantRecord

T = TypeVar("T")
PART = 64  # prefixes in one part of a host's table, about: a change copies one part and the list of parts
GROWTH = 4  # times as many parts where they have become too full
FEW_ROUTES = 8  # up to so many it is quicker to go through them


def lies_under(path: str, prefix: str) -> bool:
    """Tell whether a path is a prefix or lies below it; /visit does not hold /visits."""
    return path == prefix or path.startswith(prefix if prefix.endswith("/") else prefix + "/")


def _ends_there(path: str, length: int) -> bool:
    """Tell whether a path lies under what it begins with, so many characters long."""
    return len(path) == length or path[length] == "/" or path[length - 1 : length] == "/"


class Routes:
    """The routes of one tenant, by the lengths of their paths where they are many."""

    __slots__ = ("_first", "_lengths", "_routes")

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self._routes = routes
        self._first: dict[tuple[str, str], int] = {}
        self._lengths: tuple[int, ...] = ()
        if len(routes) > FEW_ROUTES:
            for place, route in enumerate(routes):
                self._first.setdefault((route.method, route.path), place)
            self._lengths = tuple(sorted({len(route.path) for route in routes}))

    def class_of(self, method: str, path: str) -> str | None:
        """Return the class of the first route that fits; None where none does."""
        if not self._lengths:
            return next(
                (
                    route.class_name
                    for route in self._routes
                    if route.method in ("*", method) and lies_under(path, route.path)
                ),
                None,
            )
        least = len(self._routes)
        for length in self._lengths:
            if length > len(path):
                break
            if _ends_there(path, length):
                start = path[:length]
                least = min(
                    least, self._first.get((method, start), least), self._first.get(("*", start), least)
                )
        return self._routes[least].class_name if least < len(self._routes) else None


class Leaf:
    """A tenant as a look-up finds it."""

    __slots__ = ("entry", "routes")

    def __init__(self, entry: TenantRecord, routes: Routes) -> None:
        self.entry, self.routes = entry, routes

    @property
    def places(self) -> set[tuple[str, str]]:
        """Return where it is found: hosts with the prefix; without hosts at none, called ``""``."""
        tenant = self.entry.tenant
        return {(host, tenant.prefix) for host in tenant.hosts or ("",)}

    def class_of(self, method: str, path: str) -> str:
        """Return the class of a request; empty where no route names it, nor the tenant a default."""
        found = self.routes.class_of(method, path)
        return self.entry.tenant.default_class if found is None else found


class VirtualHost(Generic[T]):
    """The tenants of one host, by prefix; never changed. A look-up asks once for each length of a prefix."""

    __slots__ = ("_lengths", "_parts", "_size")

    def __init__(self, lengths: dict[int, int], parts: tuple[dict[str, T], ...], size: int) -> None:
        self._lengths = lengths  # the longest first, and how many prefixes have each
        self._parts = parts  # by the hash of a prefix
        self._size = size

    def find(self, path: str) -> T | None:
        """Return the value of the longest prefix that a path is or lies under."""
        for length in self._lengths:
            if length <= len(path) and _ends_there(path, length):
                found = self.at(path[:length])
                if found is not None:
                    return found
        return None

    def at(self, prefix: str) -> T | None:
        """Return the value of one prefix."""
        return self._parts[hash(prefix) & len(self._parts) - 1].get(prefix)

    def put(self, prefix: str, value: T) -> "VirtualHost[T]":
        """Return the same with one prefix added or its value replaced."""
        place = hash(prefix) & len(self._parts) - 1
        new = prefix not in self._parts[place]
        made = VirtualHost(
            self._with_length(len(prefix), 1) if new else self._lengths,
            self._with_part(place, {**self._parts[place], prefix: value}),
            self._size + new,
        )
        return made._grown() if made._size > PART * len(made._parts) else made

    def without(self, prefix: str) -> "VirtualHost[T] | None":
        """Return the same without one prefix; None where it was the last."""
        if self._size == 1:
            return None
        place = hash(prefix) & len(self._parts) - 1
        part = {known: value for known, value in self._parts[place].items() if known != prefix}
        return VirtualHost(self._with_length(len(prefix), -1), self._with_part(place, part), self._size - 1)

    def _with_part(self, place: int, part: dict[str, T]) -> tuple[dict[str, T], ...]:
        return (*self._parts[:place], part, *self._parts[place + 1 :])

    def _with_length(self, length: int, change: int) -> dict[int, int]:
        count = self._lengths.get(length, 0)
        if count and count + change:
            return {**self._lengths, length: count + change}
        others = [known for known in self._lengths if known != length]
        return {
            known: self._lengths.get(known, 1)
            for known in sorted([*others, length] if change > 0 else others, reverse=True)
        }

    def _grown(self) -> "VirtualHost[T]":
        parts: tuple[dict[str, T], ...] = tuple({} for _ in range(GROWTH * len(self._parts)))
        for part in self._parts:
            for prefix, value in part.items():
                parts[hash(prefix) & len(parts) - 1][prefix] = value
        return VirtualHost(self._lengths, parts, self._size)


EMPTY_HOST: VirtualHost[Leaf] = VirtualHost({}, ({},), 0)


class Index:
    """Tenants by name, in the order of their names, and by what requests they take."""

    def __init__(self) -> None:
        self._leaves: dict[str, Leaf] = {}
        self._names: list[str] = []  # sorted
        self._hosts: dict[str, VirtualHost[Leaf]] = {}
        self._rivals: dict[tuple[str, str], list[str]] = {}  # by host and prefix, where several have both
        self._guaranteed = 0  # all guarantees together, in units that add up exactly

    def __len__(self) -> int:
        return len(self._leaves)

    def get(self, name: str) -> TenantRecord | None:
        """Return one tenant."""
        leaf = self._leaves.get(name)
        return leaf.entry if leaf else None

    def entries(self) -> Iterator[TenantRecord]:
        """Return all tenants, in no order."""
        return iter([leaf.entry for leaf in tuple(self._leaves.values())])

    def page(self, after: str, limit: int) -> tuple[list[TenantRecord], str]:
        """Return so many tenants whose names come after one, and the last name where more follow."""
        while True:
            start = bisect_right(self._names, after)
            before = min(start, 1)
            names = self._names[start - before : start + limit + 1]
            # where names moved between the two looks, another place has been cut out
            if all(name <= after for name in names[:before]) and all(
                name > after for name in names[before : before + 1]
            ):
                del names[:before]
                break
        found = [leaf.entry for name in names[:limit] if (leaf := self._leaves.get(name)) is not None]
        return found, names[limit - 1] if len(names) > limit else ""

    def fits(self, tenant: Tenant) -> bool:
        """Tell whether guarantees add up to no more than all, with this tenant for the one of its name."""
        leaf = self._leaves.get(tenant.name)
        before = guarantee_units(leaf.entry.tenant) if leaf else 0
        return self._guaranteed - before + guarantee_units(tenant) <= FULL_GUARANTEE

    # Changes, by one thread. What is new is there before what is old goes: a reader finds one or the other.

    def put(self, entry: TenantRecord) -> None:
        """Add a tenant, or replace the one of its name."""
        name, known = entry.tenant.name, self._leaves.get(entry.tenant.name)
        same = known is not None and known.entry.tenant.routes == entry.tenant.routes
        leaf = Leaf(entry, known.routes if known is not None and same else Routes(entry.tenant.routes))
        self._guaranteed += guarantee_units(entry.tenant)
        self._leaves[name] = leaf
        if known is None:
            insort(self._names, name)
        places, before = leaf.places, known.places if known else set()
        for place in places:
            if place not in before:
                self._join(place, name)
            self._show(place, name)
        for place in before - places:
            self._leave(place, name)
        if known is not None:
            self._guaranteed -= guarantee_units(known.entry.tenant)

    def remove(self, name: str) -> None:
        """Take a tenant out, if it is there."""
        leaf = self._leaves.get(name)
        if leaf is None:
            return
        for place in leaf.places:
            self._leave(place, name)
        del self._names[bisect_left(self._names, name)]
        del self._leaves[name]
        self._guaranteed -= guarantee_units(leaf.entry.tenant)

    def _join(self, place: tuple[str, str], name: str) -> None:
        host, prefix = place
        rivals = self._rivals.get(place)
        if rivals is None:
            there = self._hosts.get(host, EMPTY_HOST).at(prefix)
            if there is None:
                return
            rivals = self._rivals[place] = [there.entry.tenant.name]
        insort(rivals, name)

    def _show(self, place: tuple[str, str], name: str) -> None:
        """Let readers find a tenant at a place of its own, if it is the first there."""
        rivals = self._rivals.get(place)
        if rivals is None or rivals[0] == name:
            host, prefix = place
            self._hosts[host] = self._hosts.get(host, EMPTY_HOST).put(prefix, self._leaves[name])

    def _leave(self, place: tuple[str, str], name: str) -> None:
        host, prefix = place
        rivals = self._rivals.get(place)
        if rivals is not None:
            first = rivals[0]
            del rivals[bisect_left(rivals, name)]
            if first == name:
                self._show(place, rivals[0])
            if len(rivals) == 1:
                del self._rivals[place]
            return
        left = self._hosts[host].without(prefix)
        if left is None:
            del self._hosts[host]
        else:
            self._hosts[host] = left

    # Look-ups, by any thread

    def find(self, host: str, path: str) -> Leaf | None:
        """Return whose a request is, by its host in lower case and its path."""
        while True:
            own = self._hosts.get(host) if host else None
            found = own.find(path) if own is not None else None
            if found is not None:
                return found
            of_any = self._hosts.get("")
            found = of_any.find(path) if of_any is not None else None
            # a tenant that has just taken hosts is found at neither, where the two looks are of two tables
            if not host or self._hosts.get(host) is own:
                return found
