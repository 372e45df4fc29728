"""The AJP13 front end in the operator's file."""

from dataclasses import dataclass

from reelusher.codecs.ajp13 import DEFAULT_ALLOWED_ATTRIBUTES, DEFAULT_PACKET_BYTES, MAX_PACKET_BYTES
from reelusher.config.checked_table import Address, CheckedTable, ConfigError
from reelusher.config.operator.checks import is_loopback


@dataclass(slots=True, frozen=True)
class Ajp:
    """The AJP13 front."""

    listen: Address
    secret: str
    packet_size: int
    max_body_kb: int
    max_response_kb: int
    max_connections: int
    idle_ms: int
    allowed_attributes: frozenset[str]


def read_ajp(table: CheckedTable) -> Ajp:
    """Check the section `ajp`. Raises `ConfigError`."""
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
    made = Ajp(
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
    if not made.secret and not is_loopback(made.listen[0]):
        raise ConfigError(table.path("secret"), "required when listening beyond loopback")
    return made
