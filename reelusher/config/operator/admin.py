"""The administration API in the operator's file."""

from dataclasses import dataclass

from reelusher.config.checked_table import Address, CheckedTable, ConfigError
from reelusher.config.operator.checks import is_loopback, require_distinct


@dataclass(slots=True, frozen=True)
class Token:
    """A client of the administration API, identified by the digest of its bearer token."""

    name: str  # in the audit trail
    sha256: str  # hexadecimal, of the token; tokens are random, so they need no slow hash
    tenant: str  # the one tenant that it may look at; empty: an operator's, for everything


@dataclass(slots=True, frozen=True)
class Admin:
    """The administration API."""

    listen: Address
    token: str  # an operator's, in clear text; empty: there are others
    tokens: tuple[Token, ...]
    state_file: str  # where changed tenants were kept before there was a journal; empty: nowhere
    durable_keys: bool  # nothing keyed runs before its key is in that folder
    state_dir: str  # where they are kept; empty: beside the state file, if that is named, else nowhere


def read_admin(table: CheckedTable) -> Admin:
    """Check the section `admin`. Raises `ConfigError`."""
    table.reject_unknown_keys("listen", "token", "tokens", "state_file", "state_dir", "durable_keys")
    old = table.string("state_file", " ").strip()
    tokens = tuple(map(_read_token, table.tables("tokens")))
    require_distinct(table.path("tokens"), [token.name for token in tokens])
    made = Admin(
        table.address("listen"),
        table.string("token", "" if tokens else None),
        tokens,
        old,
        table.boolean("durable_keys", False),
        table.string("state_dir", old + ".d" if old else " ").strip(),
    )
    if made.durable_keys and not made.state_dir:
        raise ConfigError(table.path("durable_keys"), "state_dir is needed for them")
    if not is_loopback(made.listen[0]):
        raise ConfigError(table.path("listen"), "the administration API listens on loopback only")
    if (made.token or not tokens) and (len(made.token) < 16 or not made.token.isascii()):
        raise ConfigError(table.path("token"), "at least 16 ASCII characters are wanted")
    return made


def _read_token(table: CheckedTable) -> Token:
    table.reject_unknown_keys("name", "sha256", "tenant")
    made = Token(table.string("name"), table.string("sha256").lower(), table.string("tenant", " ").strip())
    if len(made.sha256) != 64 or set(made.sha256) - set("0123456789abcdef"):
        raise ConfigError(table.path("sha256"), "64 hexadecimal digits are wanted")
    return made
