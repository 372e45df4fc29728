"""The section `ajp` of the operator's file: the AJP13 front end."""

from dataclasses import dataclass

from reelusher.codecs.ajp13 import DEFAULT_ALLOWED_ATTRIBUTES, DEFAULT_PACKET_BYTES, MAX_PACKET_BYTES
from reelusher.config.checked_table import Address, CheckedTable, ConfigError
from reelusher.config.operator.checks import is_loopback


@dataclass(slots=True, frozen=True)
class Ajp:
    """Configuration of the AJP13 front end."""

    listen: Address
    secret: str  # shared with the web servers; empty: none is required
    packet_size: int  # maximum size of a packet in bytes
    max_body_kb: int
    max_response_kb: int
    max_connections: int
    idle_ms: int  # connections idle for longer are closed
    allowed_attributes: frozenset[str]  # named attributes that requests may have


def read_ajp(table: CheckedTable) -> Ajp:
    """Validate the section `ajp`. Raises `ConfigError`."""
    table.reject_unknown_keys(
        "listen",
        "secret",
        "packet_size",
        "max_body_kb",
        "max_response_kb",
        "max_connections",
        "idle_ms",
        "allowed_attributes",
    )
    ajp = Ajp(
        listen=table.address("listen"),
        secret=table.string("secret", " ").strip(),
        packet_size=table.integer(
            "packet_size", DEFAULT_PACKET_BYTES, DEFAULT_PACKET_BYTES, MAX_PACKET_BYTES
        ),
        max_body_kb=table.integer("max_body_kb", 64, 1, 65536),
        max_response_kb=table.integer("max_response_kb", 1024, 1, 65536),
        max_connections=table.integer("max_connections", 400, 1, 10_000),
        idle_ms=table.integer("idle_ms", 60_000, 100),
        allowed_attributes=DEFAULT_ALLOWED_ATTRIBUTES | set(table.strings("allowed_attributes", ())),
    )
    if not ajp.secret and not is_loopback(ajp.listen[0]):
        raise ConfigError(table.path("secret"), "required when listening beyond loopback")
    return ajp
