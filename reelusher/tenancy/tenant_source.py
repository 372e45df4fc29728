"""The interface through which the tenant cache reads the table of tenants on the disk."""

import json
from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from reelusher.config.checked_table import CheckedTable, ConfigError
from reelusher.config.operator.tenants import Tenant, read_tenant

T = TypeVar("T")
UNREADABLE_ROW_ERRORS = ConfigError, ValueError, RecursionError  # errors that parsing a row may raise


class TenantUnavailableError(Exception):
    """The tenant of a request can't be read at present; the request may be retried."""


class TenantRow(Protocol):
    """A row of the table of tenants."""

    @property
    def name(self) -> str:
        """Return the tenant's name."""

    @property
    def number(self) -> int:
        """Return the number of the tenant, which never changes and is never reused."""

    @property
    def state(self) -> str:
        """Return the state of the tenant, as a value of `TenantState`."""

    @property
    def tenant(self) -> bytes:
        """Return the tenant as JSON."""


class TenantSource(Protocol):
    """The table on the disk. Any thread may call; each call reads a consistent state of the table."""

    def match(self, host: str, path: str) -> TenantRow | None:
        """Return the row of the tenant that a request belongs to; None where there is none."""

    def prefixes(self, host: str, limit: int) -> Sequence[tuple[bool, str, str]] | None:
        """Return the prefixes of tenants that take requests of a host; None for more than `limit`.

        Each item has three fields: whether the tenant names the host (otherwise it takes requests of any
        host), the prefix, and the name of the tenant.
        """

    def get(self, name: str) -> TenantRow | None:
        """Return the row of a name; None where there is none."""

    def page(self, after: str, limit: int) -> Sequence[TenantRow]:
        """Return at most `limit` rows with names after `after`, sorted by name."""

    def guarantee_sum(self) -> float:
        """Return the sum of the guarantees of all tenants, as a fraction of the capacity."""


class ReadWithTimeout(Protocol):
    """Runs an action that reads the table, and returns its result."""

    def __call__(self, action: Callable[[], T]) -> T:
        """Raise `TenantUnavailableError` where the action fails or takes too long."""


def parse_row(name: str, value: bytes, class_names: tuple[str, ...], backends: frozenset[str]) -> Tenant:
    """Return the tenant of a row; raises one of `UNREADABLE_ROW_ERRORS` for a row that can't be served."""
    tenant = read_tenant(CheckedTable(json.loads(value), f"tenants.{name}"), class_names, backends)
    if tenant.name != name:
        raise ConfigError(f"tenants.{name}.name", "is not the name of the row")
    return tenant


def unreadable_reason(name: str, value: bytes, class_names: tuple[str, ...], backends: frozenset[str]) -> str:
    """Return the reason why this node can't serve a row of the table, or an empty string if it can."""
    try:
        parse_row(name, value, class_names, backends)
    except UNREADABLE_ROW_ERRORS as error:
        return str(error)
    return ""


def row_hosts(row: TenantRow) -> list[str]:
    """Return the hosts that a row names, in lower case; empty where there are none or the row is invalid."""
    try:
        return [str(host).lower() for host in json.loads(row.tenant).get("hosts", [])]
    except (*UNREADABLE_ROW_ERRORS, AttributeError, TypeError):
        return []
