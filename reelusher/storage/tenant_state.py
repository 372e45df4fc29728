"""The stored state of tenants: changes, how they are applied, format versions. This module does no I/O."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, Protocol, TypeVar

import msgspec

from reelusher.storage.errors import UnreadableStateError

T = TypeVar("T")
VERSION = 1
MAX_AUDIT_ENTRIES = 1000  # the latest ones are kept
MAX_IDEMPOTENCY_KEYS = 1000  # the latest ones are kept


class ChangeKind(StrEnum):
    """What a change does to a tenant."""

    PUT = "put"  # adds or replaces the tenant
    SET_STATE = "state"  # suspends or resumes the tenant
    REMOVE = "remove"


class TenantChange(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """One change, as the journal stores it."""

    kind: ChangeKind = msgspec.field(name="op")
    name: str
    actor: str = msgspec.field(name="who")  # who made the change, for the audit trail
    at_ms: int
    tenant: dict[str, Any] | None = None  # the tenant that a put stores
    state: str = "active"
    idempotency_key: str = msgspec.field(default="", name="key")  # key of the API call; "" if it had none
    version: int = msgspec.field(default=VERSION, name="v")


class StoredTenant(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """One tenant as a snapshot stores it."""

    tenant: dict[str, Any]
    state: str
    revision: int  # number of the change that stored it

    @property
    def version(self) -> str:
        """Return the version of the tenant, for `ETag`."""
        return str(self.revision)


class AuditEntry(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """One entry of the audit trail."""

    number: int
    kind: ChangeKind = msgspec.field(name="op")
    name: str
    actor: str = msgspec.field(name="who")
    at_ms: int
    before: dict[str, Any] | None = None
    after: dict[str, Any] | None = None


class StoredTenants(msgspec.Struct, forbid_unknown_fields=True):
    """The state of all tenants as a snapshot stores it. Only `apply` changes it."""

    tenants: dict[str, StoredTenant] = {}
    audit: list[AuditEntry] = []
    # names of the tenants that calls changed, by idempotency key of the call, oldest first
    idempotency_keys: dict[str, str] = msgspec.field(default_factory=dict, name="keys")
    version: int = msgspec.field(default=VERSION, name="v")

    def check(self, number: int, change: TenantChange) -> None:
        """Raise `UnreadableStateError` if a change does not fit this state."""
        is_put = change.kind is ChangeKind.PUT and change.tenant is not None
        changes_known = change.kind is not ChangeKind.PUT and change.name in self.tenants
        if not is_put and not changes_known:
            raise UnreadableStateError(
                f"change {number}: {change.kind.value!r} of {change.name!r} does not fit the state"
            )

    def apply(self, number: int, change: TenantChange) -> None:
        """Apply a change; raises `UnreadableStateError` if it does not fit this state."""
        self.check(number, change)
        before = self.tenants.get(change.name)
        if change.kind is ChangeKind.PUT and change.tenant is not None:
            state = before.state if before else change.state
            self.tenants[change.name] = StoredTenant(change.tenant, state, number)
        elif change.kind is ChangeKind.SET_STATE and before is not None:
            self.tenants[change.name] = StoredTenant(before.tenant, change.state, number)
        elif change.kind is ChangeKind.REMOVE:
            del self.tenants[change.name]
        self._audit(number, change, before)
        if change.idempotency_key:
            self._remember_key(change.idempotency_key, change.name)

    def _audit(self, number: int, change: TenantChange, before: StoredTenant | None) -> None:
        after = self.tenants.get(change.name)
        entry = AuditEntry(
            number, change.kind, change.name, change.actor, change.at_ms, to_json(before), to_json(after)
        )
        self.audit.append(entry)
        del self.audit[:-MAX_AUDIT_ENTRIES]

    def _remember_key(self, key: str, name: str) -> None:
        self.idempotency_keys.pop(key, None)  # a known key becomes the latest
        self.idempotency_keys[key] = name
        while len(self.idempotency_keys) > MAX_IDEMPOTENCY_KEYS:
            del self.idempotency_keys[next(iter(self.idempotency_keys))]


class TenantVersion(Protocol):
    """One version of a tenant, in any kind of storage."""

    @property
    def tenant(self) -> dict[str, Any]:
        """Return the tenant as JSON values."""

    @property
    def state(self) -> str:
        """Return the state of the tenant, active or suspended."""

    @property
    def version(self) -> str:
        """Return the version of the tenant, for `ETag`."""


def to_json(version: TenantVersion | None) -> dict[str, Any] | None:
    """Return a tenant as the audit trail and the administration API show it."""
    return None if version is None else {**version.tenant, "state": version.state}


# Functions that convert a value from one format version to the next, by the version that they convert from.
# There is only one version so far.
MIGRATIONS: dict[int, Callable[[dict[str, Any]], dict[str, Any]]] = {}


def decode_state(payload: bytes) -> StoredTenants:
    """Return the state in the payload of a snapshot; raises `UnreadableStateError`."""
    return _decode(payload, StoredTenants)


def decode_change(payload: bytes) -> TenantChange:
    """Return the change in a payload of a journal; raises `UnreadableStateError`."""
    return _decode(payload, TenantChange)


def encode(value: StoredTenants | TenantChange) -> bytes:
    """Return a payload. It is JSON, so that people can read it, and its last byte is never zero."""
    return msgspec.json.encode(value)


def _decode(payload: bytes, target: type[T]) -> T:
    try:
        value = msgspec.json.decode(payload)
        if not isinstance(value, dict):
            raise msgspec.ValidationError("an object is wanted")
        version = value.get("v", VERSION)
        if not isinstance(version, int) or not 1 <= version <= VERSION:
            raise UnreadableStateError(f"version {version!r} is not known here, {VERSION} is the newest")
        for step in range(version, VERSION):
            value = MIGRATIONS[step](value)
        return msgspec.convert(value, target)
    except msgspec.MsgspecError as error:
        raise UnreadableStateError(str(error)) from None
