"""A call of the administration API, its reply, and its errors."""

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from loguru import logger

from reelusher.config.checked_table import ConfigError
from reelusher.storage.errors import JournalError
from reelusher.tenancy.lifecycle import TenantStateError

MAX_DIGITS = 15  # digits of an integer in a query


class ApiError(Exception):
    """Raised to answer a call with an error."""

    def __init__(
        self,
        status: int,
        text: str,
        field: str = "",
        headers: dict[str, str] | None = None,
        extra: dict[str, Any] | None = None,
    ) -> None:
        """`field` names the invalid field, header or parameter; `extra` is added to the reply's body."""
        super().__init__(text)
        self.status, self.field, self.headers, self.extra = status, field, headers or {}, extra or {}

    @property
    def body(self) -> dict[str, Any]:
        """Return the body of the reply."""
        return {"error": str(self), **({"field": self.field} if self.field else {}), **self.extra}


@contextmanager
def errors_as_api_errors(method: str, target: str) -> Iterator[None]:
    """Convert the errors of a call that is invalid, impossible or can't be made durable to `ApiError`."""
    try:
        yield
    except ConfigError as error:
        raise ApiError(400, str(error), error.key) from None
    except TenantStateError as error:
        raise ApiError(409, str(error)) from None
    except JournalError as error:  # the disk is full, for example; nothing was changed
        logger.error("admin: {} {} was not made durable: {}", method, target, error)
        raise ApiError(507, f"not made durable, so not made: {error}") from None


@dataclass(slots=True, frozen=True)
class ApiCall:
    """A call of the API, decoded."""

    actor: str  # name of the token that the call carries, for the audit trail
    name: str  # name of a tenant, worker, partition or member in the path; empty where there is none
    body: Any  # decoded JSON; None for calls that take no body
    query: Mapping[str, str]
    headers: Mapping[str, str]  # values by header name in lower case

    def integer(self, key: str, default: int, maximum: int, minimum: int = 0) -> int:
        """Return an integer of the query, or the default.

        Raises `ApiError` if it is no whole number from `minimum` to `maximum`.
        """
        text = self.query.get(key, str(default))
        is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
        if not (is_number and minimum <= int(text) <= maximum):
            raise ApiError(400, f"a whole number from {minimum} to {maximum} is wanted", key)
        return int(text)

    def boolean(self, key: str) -> bool:
        """Return a boolean of the query, False where it is missing. Raises `ApiError` if it is invalid."""
        text = self.query.get(key, "false")
        if text not in ("true", "false"):
            raise ApiError(400, "true or false is wanted", key)
        return text == "true"

    @property
    def is_dry_run(self) -> bool:
        """Return whether the call asks only to see what it would change."""
        return self.boolean("dry_run")


@dataclass(slots=True, frozen=True)
class Reply:
    """The reply to a call."""

    status: int
    body: Any = None  # value that is sent as JSON; None: no body
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[ApiCall], Reply]


class Route(NamedTuple):
    """The method and the kind of path of the calls that one handler answers."""

    method: str
    resource: str  # the path without version and name, such as "tenants" or "tenants/suspend"
    is_named: bool  # whether the path contains a name
