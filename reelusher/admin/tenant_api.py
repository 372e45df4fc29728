"""Tenants over the administration API: the calls, their checks and their changes.

A change is checked, made durable and applied under a lock that excludes other changes. The version of a
tenant identifies the change that stored it; the headers `ETag` and `If-Match` carry it.
"""

from collections.abc import Callable
from typing import Any

from reelusher.admin.calls import ApiCall, ApiError, Handler, Reply, Route
from reelusher.admin.merge_patch import merge_patch
from reelusher.config.operator.tenants import Tenant
from reelusher.core.event_loop import Core
from reelusher.storage.tenant_state import AuditEntry, ChangeKind, StoredTenant, TenantVersion, to_json
from reelusher.tenancy.lifecycle import DEFAULT_DRAIN_TIMEOUT_US, TenantState, TenantStateError
from reelusher.tenancy.registry import TenantRegistry
from reelusher.tenancy.tenant_store import TenantTable

MAX_DRAIN_TIMEOUT_MS = 3_600_000  # limit of `within_ms` of a removal
MAX_PAGE = 1000  # entries in one reply
DEFAULT_AUDIT_PAGE = 100
MAX_CHANGE_NUMBER = 1 << 53  # JSON numbers represent all integers up to this exactly
MAX_KEY_LENGTH = 128  # characters of an idempotency key
DRY_RUN_REVISION = 0  # revision of the version that a dry run shows, which is never stored


class TenantApi:
    """Answers the calls that concern tenants; `routes` holds the handlers."""

    def __init__(self, core: Core, tenants: TenantRegistry, table: TenantTable) -> None:
        self._core = core
        self._tenants = tenants
        self._table = table
        self.routes: dict[Route, Handler] = {
            Route("GET", "tenants", False): self._list,
            Route("POST", "tenants", False): self._create,
            Route("GET", "tenants", True): self._show,
            Route("PUT", "tenants", True): self._replace,
            Route("PATCH", "tenants", True): self._patch,
            Route("DELETE", "tenants", True): self._delete,
            Route("POST", "tenants/suspend", True): self._suspend,
            Route("POST", "tenants/resume", True): self._resume,
            Route("GET", "tenants/usage", True): self._usage,
            Route("GET", "audit", False): self._audit,
        }

    # Reads

    def _list(self, call: ApiCall) -> Reply:
        limit, after = call.integer("limit", MAX_PAGE, MAX_PAGE, 1), call.query.get("after", "")
        page, last = self._tenants.page(after, limit)
        next_page = {"next": last} if last else {}
        return Reply(200, {"tenants": [self._tenants.to_json(record) for record in page], **next_page})

    def _show(self, call: ApiCall) -> Reply:
        record = self._tenants.record(call.name)
        if record is None:
            raise self._not_found(call.name)
        return Reply(200, self._tenants.to_json(record), etag(self._table.get(call.name)))

    def _usage(self, call: ApiCall) -> Reply:
        record = self._tenants.record(call.name)
        if record is None:
            raise self._not_found(call.name)
        return Reply(200, self._core.run_on_loop(lambda: self._tenants.usage(record)))

    def _audit(self, call: ApiCall) -> Reply:
        limit = call.integer("limit", DEFAULT_AUDIT_PAGE, MAX_PAGE, 1)
        entries = self._table.audit(call.integer("after", 0, MAX_CHANGE_NUMBER), limit + 1)
        page = entries[:limit]
        next_page = {"next": page[-1].number} if len(entries) > limit else {}
        return Reply(200, {"changes": [_audit_json(entry) for entry in page], **next_page})

    # Methods that the API of the replicated table overrides

    def _parse(self, body: Any, name: str | None = None) -> Tenant:
        """Validate a tenant in the body of a call."""
        return self._tenants.parse(body, name)

    def _exists(self, name: str) -> bool:
        """Return whether there is a tenant with this name, even one that is being removed."""
        return self._tenants.record(name) is not None

    def _apply(self, change: Callable[[], object]) -> None:
        """Apply a durable change to this node, on the event loop's thread."""
        self._core.run_on_loop(change)

    def _to_json(self, version: TenantVersion | None) -> dict[str, Any] | None:
        """Return a tenant as the reply to a change shows it."""
        return to_json(version)

    def _dry_run(self, before: TenantVersion | None, after: TenantVersion | None) -> Reply:
        """Return the reply to a dry run: the tenant before and after the change."""
        body = {"dry_run": True, "before": to_json(before), "after": self._to_json(after)}
        return Reply(200, body, etag(before))

    # Changes

    def _create(self, call: ApiCall) -> Reply:
        key = call.headers.get("idempotency-key", "")
        if len(key) > MAX_KEY_LENGTH:
            raise ApiError(400, f"more than {MAX_KEY_LENGTH} characters", "Idempotency-Key")
        with self._table.exclusive():
            created_before = self._table.created_by(key) if key else None
            tenant = self._parse(call.body)
            if created_before is not None:
                return self._replay(created_before, tenant)
            if self._exists(tenant.name):
                raise ApiError(409, f"a tenant is named {tenant.name!r} already", "name")
            return self._create_new(call, tenant, key)

    def _create_new(self, call: ApiCall, tenant: Tenant, key: str) -> Reply:
        value = tenant.to_json()
        if call.is_dry_run:
            return self._dry_run(None, StoredTenant(value, TenantState.ACTIVE.value, DRY_RUN_REVISION))
        version = self._table.change(ChangeKind.PUT, tenant.name, call.actor, value, idempotency_key=key)
        self._apply(lambda: self._tenants.put(tenant))
        return Reply(201, self._to_json(version), etag(version))

    def _replay(self, name: str, tenant: Tenant) -> Reply:
        """Return the reply to a call whose idempotency key has already created a tenant.

        Raises `ApiError` if that was another tenant, or if it has been removed since.
        """
        version = self._table.get(name)
        if tenant.name != name:
            raise ApiError(422, f"this key was used to make {name!r}", "Idempotency-Key")
        if version is None:
            raise ApiError(409, f"{name!r} was made with this key, and has been removed", "Idempotency-Key")
        return Reply(201, self._to_json(version), {**etag(version), "Idempotent-Replayed": "true"})

    def _replace(self, call: ApiCall) -> Reply:
        with self._table.exclusive():
            before = self._matching_version(call)
            return self._put(call, before, self._parse(call.body, call.name))

    def _patch(self, call: ApiCall) -> Reply:
        if not isinstance(call.body, dict):
            raise ApiError(400, "a merge patch is an object")
        with self._table.exclusive():
            before = self._matching_version(call)
            patched = merge_patch(before.tenant, call.body)
            return self._put(call, before, self._parse(patched, call.name))

    def _put(self, call: ApiCall, before: TenantVersion, tenant: Tenant) -> Reply:
        value = tenant.to_json()
        if call.is_dry_run:
            return self._dry_run(before, StoredTenant(value, before.state, DRY_RUN_REVISION))
        version = self._table.change(ChangeKind.PUT, call.name, call.actor, value)
        self._apply(lambda: self._tenants.put(tenant))
        return Reply(200, self._to_json(version), etag(version))

    def _suspend(self, call: ApiCall) -> Reply:
        return self._set_state(call, TenantState.SUSPENDED)

    def _resume(self, call: ApiCall) -> Reply:
        return self._set_state(call, TenantState.ACTIVE)

    def _set_state(self, call: ApiCall, state: TenantState) -> Reply:
        with self._table.exclusive():
            before = self._matching_version(call)
            if call.is_dry_run:
                return self._dry_run(before, StoredTenant(before.tenant, state.value, DRY_RUN_REVISION))
            version = self._table.change(ChangeKind.SET_STATE, call.name, call.actor, state=state.value)
            self._apply(lambda: self._tenants.set_state(call.name, state))
            return Reply(200, self._to_json(version), etag(version))

    def _delete(self, call: ApiCall) -> Reply:
        default_ms = DEFAULT_DRAIN_TIMEOUT_US // 1000
        drain_timeout_us = call.integer("within_ms", default_ms, MAX_DRAIN_TIMEOUT_MS) * 1000
        with self._table.exclusive():
            record = self._tenants.record(call.name)
            if record is None or record.state is not TenantState.DRAINING:
                before = self._matching_version(call)
                if call.is_dry_run:
                    return self._dry_run(before, None)
                self._table.change(ChangeKind.REMOVE, call.name, call.actor)
            self._core.run_on_loop(lambda: self._tenants.remove(call.name, drain_timeout_us))
        draining = self._tenants.record(call.name)
        return Reply(204) if draining is None else Reply(202, self._tenants.to_json(draining))

    def _matching_version(self, call: ApiCall) -> TenantVersion:
        """Return the current version of the tenant that a call changes.

        Raises `ApiError` if there is none or if `If-Match` names another version, `TenantStateError` if the
        tenant is being removed.
        """
        version = self._table.get(call.name)
        if version is None and not self._exists(call.name):
            raise self._not_found(call.name)
        if version is None:
            raise TenantStateError(f"{call.name!r} is being removed")
        current = etag(version)["ETag"]
        allowed = [tag.strip() for tag in call.headers.get("if-match", "*").split(",")]
        if "*" not in allowed and current not in allowed:
            raise ApiError(412, f"{call.name!r} has been changed: it is {current} now", "If-Match")
        return version

    @staticmethod
    def _not_found(name: str) -> ApiError:
        return ApiError(404, f"no tenant is named {name!r}")


def etag(version: TenantVersion | None) -> dict[str, str]:
    """Return the `ETag` header with the version of a tenant; no header without a version."""
    return {} if version is None else {"ETag": f'"{version.version}"'}


def _audit_json(entry: AuditEntry) -> dict[str, Any]:
    return {
        "number": entry.number,
        "at_ms": entry.at_ms,
        "who": entry.actor,
        "change": entry.kind.value,
        "tenant": entry.name,
        "before": entry.before,
        "after": entry.after,
    }
