"""The tenants of a node. The owner changes them; fronts read a snapshot that is replaced as a whole."""

import json
import os
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from reelusher.config.operator import Tenant, read_tenant
from reelusher.config.table import ConfigError, Table
from reelusher.core.model import Runner


@dataclass(slots=True, frozen=True)
class Match:
    """Whose a request is and what class it has; no class: nobody's route names it."""

    tenant: Tenant
    class_name: str


class Tenants:
    """Tenants by name, and the runners of those that have one of their own."""

    def __init__(self, tenants: Iterable[Tenant], class_names: tuple[str, ...],
                 runner_of: Callable[[str], Runner | None], runners: dict[str, Runner],
                 backends: frozenset[str]) -> None:
        self._class_names = class_names
        self._runner_of = runner_of
        self._runners = runners
        self._backends = backends
        self._all: tuple[Tenant, ...] = ()
        for tenant in tenants:
            self.put(tenant)

    def all(self) -> tuple[Tenant, ...]:
        """Return the tenants as they are now."""
        return self._all

    def get(self, name: str) -> Tenant | None:
        """Return one tenant."""
        return next((tenant for tenant in self._all if tenant.name == name), None)

    def read(self, value: Any, name: str | None = None) -> Tenant:
        """Check a tenant as JSON says it; where the name is given already, it may be left out."""
        if name is not None and isinstance(value, dict) and value.setdefault("name", name) != name:
            raise ConfigError("name", "is not the name in the path")
        return read_tenant(Table(value), self._class_names, self._backends)

    def put(self, tenant: Tenant) -> bool:
        """Add a tenant or replace one; True where it is new. Called by the owner once it runs."""
        rest = tuple(one for one in self._all if one.name != tenant.name)
        new = len(rest) == len(self._all)
        # a request belongs to the tenant that says most about it: a host, then the longest prefix
        self._all = tuple(sorted((*rest, tenant), key=lambda t: (not t.hosts, -len(t.prefix), t.name)))
        runner = self._runner_of(tenant.backend)
        if runner is None:
            self._runners.pop(tenant.name, None)
        else:
            self._runners[tenant.name] = runner
        return new

    def delete(self, name: str) -> bool:
        """Remove a tenant; what it has in hand is still answered."""
        rest = tuple(one for one in self._all if one.name != name)
        found, self._all = len(rest) != len(self._all), rest
        self._runners.pop(name, None)
        return found

    def match(self, method: str, host: str, path: str) -> Match | None:
        """Return whose a request is."""
        host = host.lower()
        for tenant in self._all:
            if (not tenant.hosts or host in tenant.hosts) and _under(path, tenant.prefix):
                for route in tenant.routes:
                    if route.method in ("*", method) and _under(path, route.path):
                        return Match(tenant, route.class_name)
                return Match(tenant, tenant.default_class)
        return None


def _under(path: str, prefix: str) -> bool:
    """Tell whether a path is a prefix or lies below it; /visit does not hold /visits."""
    return path == prefix or path.startswith(prefix if prefix.endswith("/") else prefix + "/")


def save(tenants: Iterable[Tenant], path: Path) -> None:
    """Write tenants to the state file, so that a restart finds them: whole or not at all."""
    fresh = path.with_name(path.name + ".new")
    fresh.write_text(json.dumps({"tenants": [tenant.to_json() for tenant in tenants]}, indent=1) + "\n")
    os.replace(fresh, path)


def saved(path: Path, class_names: tuple[str, ...], backends: frozenset[str]) -> list[Tenant] | None:
    """Read the state file; None where there is none yet."""
    if not path.exists():
        return None
    try:
        table = Table(json.loads(path.read_text()), str(path))
    except (OSError, ValueError) as error:
        raise ConfigError("admin.state_file", str(error)) from None
    return [read_tenant(entry, class_names, backends) for entry in table.tables("tenants")]
