"""What is kept of the tenants, free of I/O: the changes, what each makes of the state, and its versions."""

from collections.abc import Callable
from typing import Any, Protocol

import msgspec

VERSION = 1
MOST_AUDIT = 1000  # changes whose trail is kept
MOST_KEYS = 1000  # idempotency keys that are remembered, the newest


class UnreadableStateError(Exception):
    """A change or a state is not of a form that this version knows; the text names the field."""


class TenantChange(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """One change, as the journal keeps it."""

    op: str  # put, state or remove
    name: str
    who: str
    at_ms: int
    tenant: dict[str, Any] | None = None  # of a put
    state: str = "active"
    key: str = ""  # idempotency key of the request that asked for it
    v: int = VERSION


class StoredTenant(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """One tenant."""

    tenant: dict[str, Any]
    state: str
    revision: int  # number of the change that made it so

    @property
    def version(self) -> str:
        """Return what tells this from how the tenant stood before and will stand, for `ETag`."""
        return str(self.revision)


class AuditEntry(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """One entry of the audit trail."""

    number: int
    op: str
    name: str
    who: str
    at_ms: int
    before: dict[str, Any] | None = None
    after: dict[str, Any] | None = None


class StoredTenants(msgspec.Struct, forbid_unknown_fields=True):
    """All that is kept. `apply` is the only thing that changes it."""

    tenants: dict[str, StoredTenant] = {}
    audit: list[AuditEntry] = []
    keys: dict[str, str] = {}  # idempotency keys, oldest first, and the tenant that each made
    v: int = VERSION

    def apply(self, number: int, change: TenantChange) -> None:
        """Make a change; raises `UnreadableStateError` where it can't follow from this state."""
        before = self.tenants.get(change.name)
        if change.op == "put" and change.tenant is not None:
            state = before.state if before else change.state
            self.tenants[change.name] = StoredTenant(change.tenant, state, number)
        elif change.op == "state" and before is not None:
            self.tenants[change.name] = StoredTenant(before.tenant, change.state, number)
        elif change.op == "remove" and before is not None:
            del self.tenants[change.name]
        else:
            raise UnreadableStateError(
                f"change {number}: {change.op!r} of {change.name!r} does not fit the state"
            )
        after = self.tenants.get(change.name)
        self.audit.append(
            AuditEntry(number, change.op, change.name, change.who, change.at_ms, shown(before), shown(after))
        )
        del self.audit[:-MOST_AUDIT]
        if change.key:
            self.keys.pop(change.key, None)
            self.keys[change.key] = change.name
            while len(self.keys) > MOST_KEYS:
                del self.keys[next(iter(self.keys))]


class TenantVersion(Protocol):
    """A tenant as it stands, wherever it is kept."""

    @property
    def tenant(self) -> dict[str, Any]:
        """Return it as JSON says it."""

    @property
    def state(self) -> str:
        """Return whether it is active or suspended."""

    @property
    def version(self) -> str:
        """Return what tells this from how it stood before and will stand, for `ETag`."""


def shown(kept: TenantVersion | None) -> dict[str, Any] | None:
    """Return a tenant as the trail and the API show it."""
    return None if kept is None else {**kept.tenant, "state": kept.state}


# By the version that something was written in, what makes the next version of it. There is one so far.
MIGRATIONS: dict[int, Callable[[dict[str, Any]], dict[str, Any]]] = {}


def _decode(payload: bytes, kind: Any) -> Any:
    try:
        value = msgspec.json.decode(payload)
        if not isinstance(value, dict):
            raise msgspec.ValidationError("an object is wanted")
        version = value.get("v", VERSION)
        if not isinstance(version, int) or not 1 <= version <= VERSION:
            raise UnreadableStateError(f"version {version!r} is not known here, {VERSION} is the newest")
        for step in range(version, VERSION):
            value = MIGRATIONS[step](value)
        return msgspec.convert(value, kind)
    except msgspec.MsgspecError as error:
        raise UnreadableStateError(str(error)) from None


def read_state(payload: bytes) -> StoredTenants:
    """Read a snapshot's payload; raises `UnreadableStateError`."""
    made: StoredTenants = _decode(payload, StoredTenants)
    return made


def read_change(payload: bytes) -> TenantChange:
    """Read a journal's payload; raises `UnreadableStateError`."""
    made: TenantChange = _decode(payload, TenantChange)
    return made


def write(value: StoredTenants | TenantChange) -> bytes:
    """Write a payload. It is JSON, so that a person can read it, and its last byte is never zero."""
    return msgspec.json.encode(value)
