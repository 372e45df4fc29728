"""The section `admin` of the operator's file: the administration API."""

from dataclasses import dataclass

from reelusher.config.checked_table import Address, CheckedTable, ConfigError
from reelusher.config.operator.checks import is_loopback, require_distinct


@dataclass(slots=True, frozen=True)
class Token:
    """A client of the administration API, identified by the digest of its bearer token."""

    name: str  # recorded in the audit trail
    sha256: str  # hexadecimal digest of the token; tokens are random, so they need no slow hash
    tenant: str  # the only tenant that the client may read; empty: the client is an operator with all rights


@dataclass(slots=True, frozen=True)
class Admin:
    """Configuration of the administration API."""

    listen: Address
    token: str  # token of an operator in clear text; empty: only `tokens` are valid
    tokens: tuple[Token, ...]
    state_file: str  # file of tenants written by versions without a journal; empty: none
    durable_keys: bool  # whether a keyed request runs only after its key is stored in `state_dir`
    state_dir: str  # directory of the journals; by default `state_file` with `.d` appended; empty: none


def read_admin(table: CheckedTable) -> Admin:
    """Validate the section `admin`. Raises `ConfigError`."""
    table.reject_unknown_keys("listen", "token", "tokens", "state_file", "state_dir", "durable_keys")
    state_file = table.string("state_file", " ").strip()
    tokens = tuple(map(_read_token, table.tables("tokens")))
    require_distinct(table.path("tokens"), [token.name for token in tokens])
    admin = Admin(
        table.address("listen"),
        table.string("token", "" if tokens else None),
        tokens,
        state_file,
        table.boolean("durable_keys", False),
        table.string("state_dir", state_file + ".d" if state_file else " ").strip(),
    )
    if admin.durable_keys and not admin.state_dir:
        raise ConfigError(table.path("durable_keys"), "state_dir is needed for them")
    if not is_loopback(admin.listen[0]):
        raise ConfigError(table.path("listen"), "the administration API listens on loopback only")
    if (admin.token or not tokens) and (len(admin.token) < 16 or not admin.token.isascii()):
        raise ConfigError(table.path("token"), "at least 16 ASCII characters are wanted")
    return admin


def _read_token(table: CheckedTable) -> Token:
    table.reject_unknown_keys("name", "sha256", "tenant")
    token = Token(table.string("name"), table.string("sha256").lower(), table.string("tenant", " ").strip())
    if len(token.sha256) != 64 or set(token.sha256) - set("0123456789abcdef"):
        raise ConfigError(table.path("sha256"), "64 hexadecimal digits are wanted")
    return token
