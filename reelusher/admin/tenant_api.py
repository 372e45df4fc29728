"""Tenants over the administration API: what each call asks for, checks and changes.

A change is checked, made durable and applied while no other change can come in between. Each tenant has a
version, which tells of the change that made it as it is; `ETag` and `If-Match` carry it.
"""

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from loguru import logger

from reelusher.config.checked_table import ConfigError
from reelusher.config.operator import Tenant
from reelusher.core.event_loop import Core
from reelusher.storage.errors import JournalError
from reelusher.storage.tenant_state import ChangeKind, StoredTenant, TenantVersion, to_json
from reelusher.tenancy.lifecycle import DEFAULT_DRAIN_TIMEOUT_US, TenantState, TenantStateError
from reelusher.tenancy.registry import TenantRegistry
from reelusher.tenancy.tenant_store import TenantTable

MOST_WITHIN_MS = 3_600_000  # a tenant that is removed is gone by then at the latest
MOST_PAGE = 1000
MOST_KEY = 128  # characters of an idempotency key


class ApiError(Exception):
    """A request that is answered with an error."""

    def __init__(
        self,
        status: int,
        text: str,
        field: str = "",
        headers: dict[str, str] | None = None,
        more: dict[str, Any] | None = None,
    ) -> None:
        """`more` goes into the answer's body beside the text."""
        super().__init__(text)
        self.status, self.field, self.headers, self.more = status, field, headers or {}, more or {}

    @property
    def value(self) -> dict[str, Any]:
        """Return the body of the answer."""
        return {"error": str(self), **({"field": self.field} if self.field else {}), **self.more}


@contextmanager
def refusing(method: str, target: str) -> Iterator[None]:
    """Raise `ApiError` in place of the errors that a faulty or impossible call raises."""
    try:
        yield
    except ConfigError as error:
        raise ApiError(400, str(error), error.key) from None
    except TenantStateError as error:
        raise ApiError(409, str(error)) from None
    except JournalError as error:  # a full disk, say: nothing was changed
        logger.error("admin: {} {} was not made durable: {}", method, target, error)
        raise ApiError(507, f"not made durable, so not made: {error}") from None


@dataclass(slots=True, frozen=True)
class ApiCall:
    """One call."""

    who: str  # name of the token that came with it, for the audit trail
    name: str
    value: Any
    query: Mapping[str, str]
    headers: Mapping[str, str]  # names in lower case

    def whole(self, key: str, default: int, most: int, least: int = 0) -> int:
        """Read a whole number from the query."""
        text = self.query.get(key, str(default))
        if not (text.isascii() and text.isdigit() and len(text) < 16 and least <= int(text) <= most):
            raise ApiError(400, f"a whole number from {least} to {most} is wanted", key)
        return int(text)

    def flag(self, key: str) -> bool:
        """Read true or false from the query; without it, it is false."""
        text = self.query.get(key, "false")
        if text not in ("true", "false"):
            raise ApiError(400, "true or false is wanted", key)
        return text == "true"

    @property
    def dry(self) -> bool:
        """Tell whether it only wants to know what would change."""
        return self.flag("dry_run")


@dataclass(slots=True, frozen=True)
class Reply:
    """The answer to a call."""

    status: int
    value: Any = None
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[ApiCall], Reply]


def merged(value: Any, patch: Any) -> Any:
    """Apply a JSON merge patch (RFC 7396)."""
    if not isinstance(patch, dict):
        return patch
    made = dict(value) if isinstance(value, dict) else {}
    for key, part in patch.items():
        if part is None:
            made.pop(key, None)
        else:
            made[key] = merged(made.get(key), part)
    return made


class TenantApi:
    """The calls that have to do with tenants, by method, kind and whether a name is given."""

    def __init__(self, core: Core, tenants: TenantRegistry, table: TenantTable) -> None:
        self._core = core
        self._tenants = tenants
        self._table = table
        self.routes: dict[tuple[str, str, bool], Handler] = {
            ("GET", "tenants", False): self._list,
            ("POST", "tenants", False): self._create,
            ("GET", "tenants", True): self._show,
            ("PUT", "tenants", True): self._replace,
            ("PATCH", "tenants", True): self._patch,
            ("DELETE", "tenants", True): self._delete,
            ("POST", "tenants/suspend", True): self._suspend,
            ("POST", "tenants/resume", True): self._resume,
            ("GET", "tenants/usage", True): self._usage,
            ("GET", "audit", False): self._audit,
        }

    # Looking

    def _list(self, asked: ApiCall) -> Reply:
        limit, after = asked.whole("limit", MOST_PAGE, MOST_PAGE, 1), asked.query.get("after", "")
        page, last = self._tenants.page(after, limit)
        more = {"next": last} if last else {}
        return Reply(200, {"tenants": [self._tenants.to_json(entry) for entry in page], **more})

    def _show(self, asked: ApiCall) -> Reply:
        entry = self._tenants.record(asked.name)
        if entry is None:
            raise self._nobody(asked.name)
        kept = self._table.get(asked.name)
        return Reply(200, self._tenants.to_json(entry), etag(kept))

    def _usage(self, asked: ApiCall) -> Reply:
        entry = self._tenants.record(asked.name)
        if entry is None:
            raise self._nobody(asked.name)
        return Reply(200, self._core.run_on_loop(lambda: self._tenants.usage(entry)))

    def _audit(self, asked: ApiCall) -> Reply:
        limit, after = asked.whole("limit", 100, MOST_PAGE, 1), asked.whole("after", 0, 1 << 53)
        trail = self._table.audit(after, limit + 1)
        page = trail[:limit]
        more = {"next": page[-1].number} if len(trail) > limit else {}
        return Reply(
            200,
            {
                "changes": [
                    {
                        "number": one.number,
                        "at_ms": one.at_ms,
                        "who": one.actor,
                        "change": one.kind.value,
                        "tenant": one.name,
                        "before": one.before,
                        "after": one.after,
                    }
                    for one in page
                ],
                **more,
            },
        )

    # Changing

    def _read(self, value: Any, name: str | None = None) -> Tenant:
        """Check a tenant that comes with a call."""
        return self._tenants.parse(value, name)

    def _known(self, name: str) -> bool:
        """Tell whether there is a tenant of this name, if only until it is gone."""
        return self._tenants.record(name) is not None

    def _apply(self, change: Callable[[], object]) -> None:
        """Have the owner go by a change that is durable."""
        self._core.run_on_loop(change)

    def _create(self, asked: ApiCall) -> Reply:
        key = asked.headers.get("idempotency-key", "")
        if len(key) > MOST_KEY:
            raise ApiError(400, f"more than {MOST_KEY} characters", "Idempotency-Key")
        with self._table.exclusive():
            made_before = self._table.created_by(key) if key else None
            tenant = self._read(asked.value)
            if made_before is not None:
                return self._again(made_before, tenant)
            if self._known(tenant.name):
                raise ApiError(409, f"a tenant is named {tenant.name!r} already", "name")
            if asked.dry:
                return self._would(None, StoredTenant(tenant.to_json(), TenantState.ACTIVE.value, 0))
            kept = self._table.change(
                ChangeKind.PUT, tenant.name, asked.who, tenant.to_json(), idempotency_key=key
            )
            self._apply(lambda: self._tenants.put(tenant))
            return Reply(201, self._told(kept), etag(kept))

    def _again(self, name: str, tenant: Tenant) -> Reply:
        """Answer a call whose key made a tenant before: as then, if it still asks for the same."""
        kept = self._table.get(name)
        if tenant.name != name:
            raise ApiError(422, f"this key was used to make {name!r}", "Idempotency-Key")
        if kept is None:
            raise ApiError(409, f"{name!r} was made with this key, and has been removed", "Idempotency-Key")
        return Reply(201, self._told(kept), {**etag(kept), "Idempotent-Replayed": "true"})

    def _replace(self, asked: ApiCall) -> Reply:
        with self._table.exclusive():
            before = self._current(asked)
            return self._put(asked, before, self._read(asked.value, asked.name))

    def _patch(self, asked: ApiCall) -> Reply:
        if not isinstance(asked.value, dict):
            raise ApiError(400, "a merge patch is an object")
        with self._table.exclusive():
            before = self._current(asked)
            patched = merged(before.tenant, asked.value)
            return self._put(asked, before, self._read(patched, asked.name))

    def _put(self, asked: ApiCall, before: TenantVersion, tenant: Tenant) -> Reply:
        if asked.dry:
            return self._would(before, StoredTenant(tenant.to_json(), before.state, 0))
        kept = self._table.change(ChangeKind.PUT, asked.name, asked.who, tenant.to_json())
        self._apply(lambda: self._tenants.put(tenant))
        return Reply(200, self._told(kept), etag(kept))

    def _suspend(self, asked: ApiCall) -> Reply:
        return self._move(asked, TenantState.SUSPENDED)

    def _resume(self, asked: ApiCall) -> Reply:
        return self._move(asked, TenantState.ACTIVE)

    def _move(self, asked: ApiCall, to: TenantState) -> Reply:
        with self._table.exclusive():
            before = self._current(asked)
            if asked.dry:
                return self._would(before, StoredTenant(before.tenant, to.value, 0))
            kept = self._table.change(ChangeKind.SET_STATE, asked.name, asked.who, state=to.value)
            self._apply(lambda: self._tenants.set_state(asked.name, to))
            return Reply(200, self._told(kept), etag(kept))

    def _delete(self, asked: ApiCall) -> Reply:
        within_us = asked.whole("within_ms", DEFAULT_DRAIN_TIMEOUT_US // 1000, MOST_WITHIN_MS) * 1000
        with self._table.exclusive():
            entry = self._tenants.record(asked.name)
            if entry is None or entry.state is not TenantState.DRAINING:
                before = self._current(asked)
                if asked.dry:
                    return self._would(before, None)
                self._table.change(ChangeKind.REMOVE, asked.name, asked.who)
            self._core.run_on_loop(lambda: self._tenants.remove(asked.name, within_us))
        left = self._tenants.record(asked.name)
        return Reply(204) if left is None else Reply(202, self._tenants.to_json(left))

    def _current(self, asked: ApiCall) -> TenantVersion:
        """Return what is kept of a tenant that may be changed, and is as the caller thinks."""
        kept = self._table.get(asked.name)
        if kept is None and not self._known(asked.name):
            raise self._nobody(asked.name)
        if kept is None:
            raise TenantStateError(f"{asked.name!r} is being removed")
        wanted = [tag.strip() for tag in asked.headers.get("if-match", "*").split(",")]
        if "*" not in wanted and etag(kept)["ETag"] not in wanted:
            raise ApiError(
                412, f"{asked.name!r} has been changed: it is {etag(kept)['ETag']} now", "If-Match"
            )
        return kept

    def _told(self, kept: TenantVersion | None) -> dict[str, Any] | None:
        """Return a tenant as a change's answer shows it."""
        return to_json(kept)

    def _would(self, before: TenantVersion | None, after: TenantVersion | None) -> Reply:
        """Say what a change would do."""
        return Reply(
            200, {"dry_run": True, "before": to_json(before), "after": self._told(after)}, etag(before)
        )

    @staticmethod
    def _nobody(name: str) -> ApiError:
        return ApiError(404, f"no tenant is named {name!r}")


def etag(kept: TenantVersion | None) -> dict[str, str]:
    """Return the header that tells a tenant's version."""
    return {} if kept is None else {"ETag": f'"{kept.version}"'}
