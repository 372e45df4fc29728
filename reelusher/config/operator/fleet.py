"""Membership and replication in the operator's file."""

from dataclasses import dataclass
from ipaddress import ip_address

from reelusher.config.checked_table import Address, CheckedTable, ConfigError, address_of
from reelusher.config.operator.checks import require_distinct

MAX_LABEL_LENGTH = 64  # characters of a fleet's name, a zone and a region: they go into each datagram
MAX_CONTROL_MEMBERS = (
    8  # members that write the replicated table: each datagram tells how far each of them is
)


@dataclass(slots=True, frozen=True)
class Fleet:
    """Membership among the nodes of a fleet."""

    name: str  # nodes of another fleet are not heard
    listen: Address  # UDP and TCP
    advertise: Address  # where others reach this node; port 0: the one that it listens on
    seeds: tuple[Address, ...]
    zone: str
    region: str
    secret_file: str


@dataclass(slots=True, frozen=True)
class Replication:
    """The table of tenants that all nodes of a fleet have a copy of."""

    store: str  # file of this node's replica
    control: tuple[str, ...]  # names of the members that write it, the same list on every node


def read_fleet(table: CheckedTable) -> Fleet:
    """Check the section `fleet`. Raises `ConfigError`."""
    table.reject_unknown_keys("name", "listen", "advertise", "seeds", "zone", "region", "secret_file")
    listen = _ip(table.address("listen"), table.path("listen"))
    labels = [
        table.string(key, default).strip()
        for key, default in (("name", "reelusher"), ("zone", " "), ("region", " "))
    ]
    for key, label in zip(("name", "zone", "region"), labels, strict=True):
        if len(label) > MAX_LABEL_LENGTH:
            raise ConfigError(table.path(key), f"at most {MAX_LABEL_LENGTH} characters are wanted")
    advertise = _ip(table.address("advertise"), table.path("advertise")) if "advertise" in table else listen
    seeds = tuple(
        _ip(address_of(seed, f"{table.path('seeds')}[{index}]"), f"{table.path('seeds')}[{index}]")
        for index, seed in enumerate(table.strings("seeds", ()))
    )
    return Fleet(labels[0], listen, advertise, seeds, labels[1], labels[2], table.string("secret_file"))


def read_replication(table: CheckedTable) -> Replication:
    """Check the section `replication`. Raises `ConfigError`."""
    table.reject_unknown_keys("copy", "control")
    made = Replication(table.string("copy"), table.strings("control"))
    if not 1 <= len(made.control) <= MAX_CONTROL_MEMBERS:
        raise ConfigError(table.path("control"), f"1 to {MAX_CONTROL_MEMBERS} names are wanted")
    for index, name in enumerate(made.control):
        if len(name) > MAX_LABEL_LENGTH or "/" in name:  # it stands in paths of the administration API
            raise ConfigError(
                f"{table.path('control')}[{index}]",
                f"a member's name of at most {MAX_LABEL_LENGTH} characters is wanted, without /",
            )
    require_distinct(table.path("control"), list(made.control))
    return made


def _ip(address: Address, key: str) -> Address:
    """Take an address of numbers only: looking a name up could hold up all that is due."""
    try:
        ip_address(address[0])
    except ValueError:
        raise ConfigError(key, f"an IP address is wanted, not {address[0]!r:.60}") from None
    return address
