"""The table of tenants of one node: in memory and, if the operator configures it, in a journal on the disk.

Threads of the administration API make one change at a time. The event loop applies a change once it is
durable, and the call is answered after that.
"""

import json
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import AbstractContextManager, contextmanager
from pathlib import Path
from typing import Any, NamedTuple, Protocol

from loguru import logger

from reelusher.config.checked_table import CheckedTable, ConfigError
from reelusher.config.operator.tenants import Tenant, read_tenant
from reelusher.storage.directory import Directory, LockedDirectory
from reelusher.storage.errors import JournalError, UnreadableStateError
from reelusher.storage.journal import Journal
from reelusher.storage.key_log import KeyLog
from reelusher.storage.tenant_state import (
    AuditEntry,
    ChangeKind,
    StoredTenant,
    StoredTenants,
    TenantChange,
    TenantVersion,
    decode_change,
    decode_state,
    encode,
)

MIGRATED_SUFFIX = ".migrated"  # added to the name of the old state file once its tenants are in the journal
OPERATOR_FILE_ACTOR = "the operator's file"


class TenantTable(Protocol):
    """The table of tenants, as the administration API uses it."""

    def exclusive(self) -> AbstractContextManager[None]:
        """Lock the table against other changes, so that checks remain valid until the change is made."""

    def get(self, name: str) -> TenantVersion | None:
        """Return the current version of a tenant; None if it does not exist."""

    def created_by(self, idempotency_key: str) -> str | None:
        """Return the name of the tenant that a call with this idempotency key created."""

    def audit(self, after: int, limit: int) -> list[AuditEntry]:
        """Return at most `limit` changes with numbers above `after`, oldest first."""

    def change(
        self,
        kind: ChangeKind,
        name: str,
        actor: str,
        tenant: dict[str, Any] | None = None,
        state: str = "active",
        idempotency_key: str = "",
    ) -> TenantVersion | None:
        """Make one change durable and return the tenant after it; None if removed. Raises `JournalError`."""


class TenantStore:
    """The table of one node: its state and its journal.

    `exclusive` is held during each change, from the check to the answer.
    """

    def __init__(
        self,
        directory: Directory | None,
        wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        """Read the stored state; without a directory, the state is kept in memory only.

        Raises `JournalError`, and `OSError` if a file can't be read or written.
        """
        self.state = StoredTenants()
        self.is_new = True  # whether there was no stored state
        self._lock = threading.RLock()
        self._wall_ms = wall_ms
        self._number = 0
        self.journal = None if directory is None else Journal(directory, lambda: encode(self.state))
        if self.journal is not None:
            self._recover(self.journal)

    def _recover(self, journal: Journal) -> None:
        snapshot, changes = journal.recover()
        try:
            if snapshot is not None:
                self.state = decode_state(snapshot)
            for change in changes:
                self.state.apply(change.number, decode_change(change.payload))
        except UnreadableStateError as error:
            raise JournalError(str(error)) from None
        self._number = journal.number
        self.is_new = snapshot is None and not changes

    @contextmanager
    def exclusive(self) -> Iterator[None]:
        """Lock the state against other changes, so that checks remain valid until the change is made."""
        with self._lock:
            yield

    def get(self, name: str) -> StoredTenant | None:
        """Return the current version of a tenant; None if it does not exist."""
        return self.state.tenants.get(name)

    def created_by(self, idempotency_key: str) -> str | None:
        """Return the name of the tenant that a call with this idempotency key created."""
        return self.state.idempotency_keys.get(idempotency_key)

    def audit(self, after: int, limit: int) -> list[AuditEntry]:
        """Return at most `limit` changes with numbers above `after`, oldest first."""
        entries = list(self.state.audit)  # another thread may be adding to it
        return [entry for entry in entries if entry.number > after][:limit]

    def change(
        self,
        kind: ChangeKind,
        name: str,
        actor: str,
        tenant: dict[str, Any] | None = None,
        state: str = "active",
        idempotency_key: str = "",
    ) -> StoredTenant | None:
        """Make one change durable and return the tenant after it; None if removed.

        Raises `JournalError`, and `UnreadableStateError` if it does not fit the state.
        """
        with self._lock:
            change = TenantChange(kind, name, actor, self._wall_ms(), tenant, state, idempotency_key)
            self.state.check(self._number + 1, change)  # a restart could not apply it from the journal
            self._number = self.journal.append(encode(change)) if self.journal else self._number + 1
            self.state.apply(self._number, change)
            if self.journal is not None:
                self.journal.compact_if_due()
            return self.state.tenants.get(name)

    def import_tenants(self, tenants: Iterable[Tenant], actor: str = OPERATOR_FILE_ACTOR) -> None:
        """Add tenants to an empty store and make them durable in one snapshot. Raises `JournalError`."""
        for tenant in tenants:
            self._number += 1
            change = TenantChange(ChangeKind.PUT, tenant.name, actor, self._wall_ms(), tenant.to_json())
            self.state.apply(self._number, change)
        if self.journal is not None:
            self.journal.number = self._number
            if not self.journal.compact():
                raise JournalError("the first snapshot could not be written")

    def checked_tenants(
        self, class_names: tuple[str, ...], backends: frozenset[str]
    ) -> list["CheckedTenant"]:
        """Return the stored tenants, checked against the configuration. Raises `ConfigError`."""
        return [
            CheckedTenant(
                read_tenant(CheckedTable(stored.tenant, f"state.{name}"), class_names, backends), stored.state
            )
            for name, stored in self.state.tenants.items()
        ]


class CheckedTenant(NamedTuple):
    """A stored tenant that is valid under the configuration, and its state."""

    tenant: Tenant
    state: str


def open_store(
    directory: Path | None,
    old_file: Path | None,
    tenants: Iterable[Tenant],
    class_names: tuple[str, ...],
    backends: frozenset[str],
) -> TenantStore:
    """Open the state that an operator's file names; raises `ConfigError` with the key of the faulty setting.

    A new state starts with the tenants of the old state file if there is one, otherwise with those of the
    operator's file. The old state file is then renamed.
    """
    try:
        store = TenantStore(None if directory is None else LockedDirectory(directory))
        if store.is_new:
            _import_initial_tenants(store, old_file, tenants, class_names, backends)
        if old_file is not None and directory is not None and old_file.is_file():
            old_file.rename(old_file.with_name(old_file.name + MIGRATED_SUFFIX))
            logger.info("state: migrated the tenants of {} to {}", old_file, directory)
        return store
    except (JournalError, OSError) as error:
        key = "admin.state_dir" if old_file is None else "admin.state_file"
        raise ConfigError(key, str(error)) from None


def _import_initial_tenants(
    store: TenantStore,
    old_file: Path | None,
    tenants: Iterable[Tenant],
    class_names: tuple[str, ...],
    backends: frozenset[str],
) -> None:
    old_tenants = None if old_file is None else _read_old_state_file(old_file, class_names, backends)
    if old_tenants is None:
        store.import_tenants(tenants)
    else:
        store.import_tenants(old_tenants, str(old_file))


def open_key_log(directory: Path, class_names: tuple[str, ...]) -> KeyLog:
    """Open the journal of idempotency keys in a state directory; raises `ConfigError`."""
    try:
        return KeyLog(LockedDirectory(directory / "keys"), class_names=class_names)
    except (JournalError, OSError) as error:
        raise ConfigError("admin.durable_keys", str(error)) from None


def _read_old_state_file(
    path: Path, class_names: tuple[str, ...], backends: frozenset[str]
) -> list[Tenant] | None:
    """Read the state file that versions without a journal wrote; None if it does not exist."""
    if not path.exists():
        return None
    try:
        table = CheckedTable(json.loads(path.read_text()), str(path))
    except (OSError, ValueError) as error:
        raise ConfigError("admin.state_file", str(error)) from None
    return [read_tenant(entry, class_names, backends) for entry in table.tables("tenants")]
