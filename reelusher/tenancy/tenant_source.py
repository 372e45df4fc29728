"""The table of tenants on the disk, as the tenant cache reads it."""

import json
from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from reelusher.config.checked_table import CheckedTable, ConfigError
from reelusher.config.operator import Tenant, read_tenant

T = TypeVar("T")
UNREADABLE_ROW_ERRORS = ConfigError, ValueError, RecursionError  # what parsing a row may raise


class TenantUnavailableError(Exception):
    """The tenant of a request can't be read now; the request may be retried."""


class TenantRow(Protocol):
    """A row of the table."""

    @property
    def name(self) -> str:
        """Return the tenant's name."""

    @property
    def number(self) -> int:
        """Return the tenant's number: the same while it exists, and never reused."""

    @property
    def state(self) -> str:
        """Return the value of its `TenantState`."""

    @property
    def tenant(self) -> bytes:
        """Return the tenant as JSON."""


class TenantSource(Protocol):
    """The table on the disk. Calls may come from any thread; each reads one state of the table."""

    def match(self, host: str, path: str) -> TenantRow | None:
        """Return the row of the tenant that a request belongs to."""

    def prefixes(self, host: str, limit: int) -> Sequence[tuple[bool, str, str]] | None:
        """Return the prefixes of tenants that take requests of a host; None for more than `limit`.

        Each is: whether the tenant names the host (or else takes requests of any), prefix, tenant's name.
        """

    def get(self, name: str) -> TenantRow | None:
        """Return one row."""

    def page(self, after: str, limit: int) -> Sequence[TenantRow]:
        """Return at most `limit` rows whose names come after one, in the order of their names."""

    def guaranteed(self) -> float:
        """Return the sum of all guarantees."""


class ReadWithTimeout(Protocol):
    """Runs an action that reads the table, and returns its result."""

    def __call__(self, action: Callable[[], T]) -> T:
        """Raise `TenantUnavailableError` where the action fails or takes too long."""


def parse_row(name: str, value: bytes, class_names: tuple[str, ...], backends: frozenset[str]) -> Tenant:
    """Return the tenant of a row; raises one of `UNREADABLE_ROW_ERRORS` where it can't be served."""
    tenant = read_tenant(CheckedTable(json.loads(value), f"tenants.{name}"), class_names, backends)
    if tenant.name != name:
        raise ConfigError(f"tenants.{name}.name", "is not the name of the row")
    return tenant


def unreadable_reason(name: str, value: bytes, class_names: tuple[str, ...], backends: frozenset[str]) -> str:
    """Return why this node can't serve a row of the table, or an empty string."""
    try:
        parse_row(name, value, class_names, backends)
    except UNREADABLE_ROW_ERRORS as error:
        return str(error)
    return ""


def row_hosts(row: TenantRow) -> list[str]:
    """Return the hosts that a row names, in lower case; none where it names none or can't be parsed."""
    try:
        return [str(host).lower() for host in json.loads(row.tenant).get("hosts", [])]
    except (*UNREADABLE_ROW_ERRORS, AttributeError, TypeError):
        return []
