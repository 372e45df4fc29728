"""Tables of the tenants that take the requests of a host, in memory for the most recently used hosts."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from reelusher.tenancy.index import VirtualHost

MAX_HOST_TABLES = 8192  # limit of the tables in memory
EMPTY_HOST: VirtualHost[str] = VirtualHost({}, ({},), 0)


@dataclass(slots=True, frozen=True)
class HostTable:
    """Names of the tenants that take requests of one host, by prefix."""

    named: VirtualHost[str]  # tenants that name the host
    default: VirtualHost[str]  # tenants without hosts of their own
    tenant_names: frozenset[str]

    def find(self, path: str) -> str | None:
        """Return the name of the tenant that a request for a path belongs to; None where there is none."""
        return self.named.find(path) or self.default.find(path)


def build_host_table(rows: Iterable[tuple[bool, str, str]]) -> HostTable:
    """Return the table of a host, built from the result of `TenantSource.prefixes`."""
    named = default = EMPTY_HOST
    tenant_names = set()
    for names_host, prefix, name in rows:
        tenant_names.add(name)
        if names_host:
            named = _with_first_by_name(named, prefix, name)
        else:
            default = _with_first_by_name(default, prefix, name)
    return HostTable(named, default, frozenset(tenant_names))


def _with_first_by_name(host: VirtualHost[str], prefix: str, name: str) -> VirtualHost[str]:
    """Return a copy with a tenant added; of several tenants with one prefix the first by name is kept."""
    existing = host.get(prefix)
    return host.put(prefix, name if existing is None else min(existing, name))


class HostTables:
    """A cache of the host tables that were used most recently. Not thread-safe: the owner holds a lock."""

    def __init__(self) -> None:
        self._tables: OrderedDict[str, HostTable | None] = OrderedDict()  # least recently used first
        self._hosts_by_tenant: dict[str, set[str]] = {}  # hosts whose tables contain a tenant, by its name

    def __contains__(self, host: str) -> bool:
        return host in self._tables

    def hosts(self) -> list[str]:
        """Return the hosts that have tables, least recently used first."""
        return list(self._tables)

    def use(self, host: str) -> HostTable | None:
        """Return the table of a host, which must be in memory, and mark it as used.

        None stands for a host with too many prefixes for a table.
        """
        self._tables.move_to_end(host)
        return self._tables[host]

    def put(self, host: str, table: HostTable | None) -> None:
        """Add a table, and drop the least recently used one where there are too many."""
        self.drop(host)
        self._tables[host] = table
        for name in table.tenant_names if table else ():
            self._hosts_by_tenant.setdefault(name, set()).add(host)
        if len(self._tables) > MAX_HOST_TABLES:
            self.drop(next(iter(self._tables)))

    def drop(self, host: str) -> None:
        """Drop the table of a host, if there is one."""
        table = self._tables.pop(host, None)
        for name in table.tenant_names if table else ():
            hosts = self._hosts_by_tenant[name]
            hosts.discard(host)
            if not hosts:
                del self._hosts_by_tenant[name]

    def clear(self) -> None:
        """Drop all tables."""
        self._tables.clear()
        self._hosts_by_tenant.clear()

    def hosts_naming(self, name: str) -> frozenset[str]:
        """Return the hosts whose tables contain a tenant."""
        return frozenset(self._hosts_by_tenant.get(name, ()))
