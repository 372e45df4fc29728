"""The tenants' state: in memory, and where the operator wants it in a journal on the disk.

Changes come one at a time, from threads of the administration API. The owner applies a change only after it
is durable, and an answer goes out only after that.
"""

import json
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import AbstractContextManager, contextmanager
from pathlib import Path
from typing import Any, Protocol

from loguru import logger

from reelusher.config.checked_table import CheckedTable, ConfigError
from reelusher.config.operator import Tenant, read_tenant
from reelusher.storage.directory import Directory, LockedDirectory
from reelusher.storage.journal import Journal, JournalError
from reelusher.storage.key_log import KeyLog
from reelusher.storage.tenant_state import (
    AuditEntry,
    StoredTenant,
    StoredTenants,
    TenantChange,
    TenantVersion,
    UnreadableStateError,
    read_change,
    read_state,
    write,
)

MIGRATED = ".migrated"  # what the old state file is called once its tenants are in the journal
BY_FILE = "the operator's file"


class TenantTable(Protocol):
    """Where tenants are kept, as the administration API sees it."""

    def changing(self) -> AbstractContextManager[None]:
        """Keep others from changing what is kept: what was checked still holds when it is changed."""

    def kept(self, name: str) -> TenantVersion | None:
        """Return what is kept of a tenant."""

    def made_by(self, key: str) -> str | None:
        """Return the name of the tenant that a call with this idempotency key made."""

    def audit(self, after: int, limit: int) -> list[AuditEntry]:
        """Return so many changes with a number above one, oldest first."""

    def change(
        self,
        op: str,
        name: str,
        who: str,
        tenant: dict[str, Any] | None = None,
        state: str = "active",
        key: str = "",
    ) -> TenantVersion | None:
        """Make one change durable and return what is kept of the tenant then. Raises `JournalError`."""


class TenantStore:
    """State and journal: the table of one node.

    `changing` is held round each change, from the check to the answer.
    """

    def __init__(
        self, disk: Directory | None, wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000
    ) -> None:
        """Read the stored state; without a disk it lasts as long as the process. Raises `JournalError`."""
        self.state = StoredTenants()
        self.fresh = True  # nothing was kept
        self._lock = threading.RLock()
        self._wall_ms = wall_ms
        self._number = 0
        self._journal = None if disk is None else Journal(disk, lambda: write(self.state))
        if self._journal is not None:
            self._recover(self._journal)

    def _recover(self, journal: Journal) -> None:
        kept, changes = journal.recover()
        try:
            if kept is not None:
                self.state = read_state(kept)
            for number, payload in changes:
                self.state.apply(number, read_change(payload))
        except UnreadableStateError as error:
            raise JournalError(str(error)) from None
        self._number = journal.number
        self.fresh = kept is None and not changes

    @contextmanager
    def changing(self) -> Iterator[None]:
        """Keep others from changing the state: what was checked still holds when it is changed."""
        with self._lock:
            yield

    def kept(self, name: str) -> StoredTenant | None:
        """Return what is kept of a tenant."""
        return self.state.tenants.get(name)

    def made_by(self, key: str) -> str | None:
        """Return the name of the tenant that a call with this idempotency key made."""
        return self.state.keys.get(key)

    def audit(self, after: int, limit: int) -> list[AuditEntry]:
        """Return so many changes with a number above one, oldest first."""
        trail = list(self.state.audit)  # another thread may be adding to it
        return [one for one in trail if one.number > after][:limit]

    def change(
        self,
        op: str,
        name: str,
        who: str,
        tenant: dict[str, Any] | None = None,
        state: str = "active",
        key: str = "",
    ) -> StoredTenant | None:
        """Make one change durable and return what is kept of the tenant then. Raises `JournalError`."""
        with self._lock:
            made = TenantChange(op, name, who, self._wall_ms(), tenant, state, key)
            self._number = self._journal.append(write(made)) if self._journal else self._number + 1
            self.state.apply(self._number, made)
            if self._journal is not None:
                self._journal.compact_if_due()
            return self.state.tenants.get(name)

    def take_over(self, tenants: Iterable[Tenant], who: str = BY_FILE) -> None:
        """Begin with these tenants, all or none of them, where nothing was kept. Raises `JournalError`."""
        for tenant in tenants:
            self._number += 1
            self.state.apply(
                self._number, TenantChange("put", tenant.name, who, self._wall_ms(), tenant.to_json())
            )
        if self._journal is not None:
            self._journal.number = self._number
            if not self._journal.compact():
                raise JournalError("the first snapshot could not be written")

    def tenants(self, class_names: tuple[str, ...], backends: frozenset[str]) -> list[tuple[Tenant, str]]:
        """Return the kept tenants, checked against the configuration, with their states."""
        return [
            (read_tenant(CheckedTable(kept.tenant, f"state.{name}"), class_names, backends), kept.state)
            for name, kept in self.state.tenants.items()
        ]


def opened(
    folder: Path | None,
    old: Path | None,
    tenants: Iterable[Tenant],
    class_names: tuple[str, ...],
    backends: frozenset[str],
) -> TenantStore:
    """Open the state that an operator's file names; a fault is a `ConfigError` that says where it lies.

    Where nothing was kept it begins with the tenants of the old state file, if there is one, which is then
    renamed, or else with those of the operator's file.
    """
    try:
        store = TenantStore(None if folder is None else LockedDirectory(folder))
        if store.fresh:
            from_old = None if old is None else read_old(old, class_names, backends)
            if from_old is None:
                store.take_over(tenants)
            else:
                store.take_over(from_old, str(old))
        if old is not None and folder is not None and old.is_file():
            old.rename(old.with_name(old.name + MIGRATED))
            logger.info("state: the tenants of {} are kept in {} from now on", old, folder)
        return store
    except (JournalError, OSError) as error:
        raise ConfigError("admin.state_dir" if old is None else "admin.state_file", str(error)) from None


def opened_keys(folder: Path) -> KeyLog:
    """Open the journal of keys below a state folder; a fault is a `ConfigError` that says where it lies."""
    try:
        return KeyLog(LockedDirectory(folder / "keys"))
    except (JournalError, OSError) as error:
        raise ConfigError("admin.durable_keys", str(error)) from None


def read_old(path: Path, class_names: tuple[str, ...], backends: frozenset[str]) -> list[Tenant] | None:
    """Read the state file of versions before the journal; None where there is none."""
    if not path.exists():
        return None
    try:
        table = CheckedTable(json.loads(path.read_text()), str(path))
    except (OSError, ValueError) as error:
        raise ConfigError("admin.state_file", str(error)) from None
    return [read_tenant(entry, class_names, backends) for entry in table.tables("tenants")]
