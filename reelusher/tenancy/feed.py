"""Has the owner go by what this node's copy of the replicated table says."""

import threading
from collections.abc import Iterable, Iterator
from functools import partial

import msgspec

from reelusher.config.operator import Tenant, read_tenant
from reelusher.config.table import ConfigError, Table
from reelusher.core.counters import Counters
from reelusher.core.model import Ask
from reelusher.core.owner import Core
from reelusher.fleet.replication.copy import LocalCopy, Row
from reelusher.tenancy.lifecycle import State
from reelusher.tenancy.registry import LOOK_US, Tenants

PAGE = 1000  # rows that are read at once

Wanted = tuple[Tenant, State]


class RowReader:
    """Reads rows by this node's configuration. Another's may have classes and backends that are not here."""

    def __init__(self, class_names: tuple[str, ...], backends: frozenset[str], counters: Counters) -> None:
        self._class_names, self._backends = class_names, backends
        self._counters = counters

    def read(self, data: bytes) -> Tenant:
        """Check a tenant. Raises `ConfigError` and ValueError."""
        return read_tenant(Table(msgspec.json.decode(data)), self._class_names, self._backends)

    def fault(self, name: str, data: bytes) -> str:
        """Return why this node can't serve a tenant, though its writer has checked it; empty: it can."""
        try:
            return "" if self.read(data).name == name else "it has another name"
        except (ConfigError, ValueError) as error:
            self._counters.warn("replication.unreadable", "replication: {} is not served here: {}", name,
                                error)
            return str(error) or "it can't be read"


class Feed:
    """Reads rows in the thread that took them, and hands the owner what it can serve."""

    def __init__(self, copy: LocalCopy, rows: RowReader) -> None:
        self._copy, self._rows = copy, rows
        self._lock = threading.Lock()  # held from a read to its post, so that the owner goes by the newest
        self._waiting: dict[str, Wanted | None] = {}  # the owner's: until those before have left
        self._to: tuple[Core, Tenants] | None = None

    def rows(self) -> Iterator[Wanted]:
        """Return what this node can serve of all that is in its copy."""
        after = ""
        while rows := self._copy.page(after, PAGE):
            after = rows[-1].name
            yield from (read for row in rows if (read := self._read(row)) is not None)

    def start(self, core: Core, tenants: Tenants) -> None:
        """Hand the owner each change from now on."""
        self._to = core, tenants

    def changed(self, names: Iterable[str]) -> None:
        """Hand the owner rows that changed."""
        if self._to is None:
            return
        core, tenants = self._to
        with self._lock:
            for name in names:
                row = self._copy.get(name)
                wanted = None if row is None else self._read(row)
                core.post(Ask(partial(self._go_by, core, tenants, name, wanted)))

    def _read(self, row: Row) -> Wanted | None:
        """Return what a row asks for; None where this node can't serve it, which the check has told of."""
        if row.unreadable:
            return None
        try:
            return self._rows.read(row.tenant), State(row.state)
        except (ConfigError, ValueError):  # it was checked by other settings, and is not again yet
            return None

    # Called by the owner

    def _go_by(self, core: Core, tenants: Tenants, name: str, wanted: Wanted | None) -> None:
        entry = tenants.entry(name)
        if entry is not None and entry.state is State.DRAINING:
            if not self._waiting:
                core.after(LOOK_US, partial(self._look, core, tenants))
            self._waiting[name] = wanted
        elif wanted is not None:
            tenants.put(*wanted)
            if entry is not None and entry.state is not wanted[1]:
                tenants.move(name, wanted[1])
        elif entry is not None:
            tenants.delete(name)

    def _look(self, core: Core, tenants: Tenants) -> None:
        """Look whether those have gone whose names are wanted anew."""
        waiting, self._waiting = self._waiting, {}
        for name, wanted in waiting.items():
            self._go_by(core, tenants, name, wanted)
