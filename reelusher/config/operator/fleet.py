"""The sections `fleet` and `replication` of the operator's file."""

from dataclasses import dataclass
from ipaddress import ip_address

from reelusher.config.checked_table import Address, CheckedTable, ConfigError, address_of
from reelusher.config.operator.checks import require_distinct

# characters of the names of fleet, zone and region, which each datagram carries, and of control members
MAX_LABEL_LENGTH = 64
MAX_CONTROL_MEMBERS = 8  # members that write the replicated table; each datagram carries a position for each


@dataclass(slots=True, frozen=True)
class Fleet:
    """Configuration of the membership in a fleet."""

    name: str  # name of the fleet; messages of other fleets are ignored
    listen: Address  # for UDP and TCP
    advertise: Address  # address given to other nodes; port 0: the port that it listens on
    seeds: tuple[Address, ...]  # nodes through which this one joins
    zone: str
    region: str
    secret_file: str


@dataclass(slots=True, frozen=True)
class Replication:
    """Configuration of the replicated table of tenants, of which each node of a fleet has a replica."""

    store: str  # file of this node's replica
    control: tuple[str, ...]  # names of the members that write the table; the same list on every node


def read_fleet(table: CheckedTable) -> Fleet:
    """Validate the section `fleet`. Raises `ConfigError`."""
    table.reject_unknown_keys("name", "listen", "advertise", "seeds", "zone", "region", "secret_file")
    listen = _require_ip_address(table.address("listen"), table.path("listen"))
    labels = [
        table.string(key, default).strip()
        for key, default in (("name", "reelusher"), ("zone", " "), ("region", " "))
    ]
    for key, label in zip(("name", "zone", "region"), labels, strict=True):
        if len(label) > MAX_LABEL_LENGTH:
            raise ConfigError(table.path(key), f"at most {MAX_LABEL_LENGTH} characters are wanted")
    advertise = (
        _require_ip_address(table.address("advertise"), table.path("advertise"))
        if "advertise" in table
        else listen
    )
    seeds = tuple(
        _require_ip_address(
            address_of(seed, f"{table.path('seeds')}[{index}]"), f"{table.path('seeds')}[{index}]"
        )
        for index, seed in enumerate(table.strings("seeds", ()))
    )
    return Fleet(labels[0], listen, advertise, seeds, labels[1], labels[2], table.string("secret_file"))


def read_replication(table: CheckedTable) -> Replication:
    """Validate the section `replication`. Raises `ConfigError`."""
    table.reject_unknown_keys("copy", "control")
    replication = Replication(table.string("copy"), table.strings("control"))
    if not 1 <= len(replication.control) <= MAX_CONTROL_MEMBERS:
        raise ConfigError(table.path("control"), f"1 to {MAX_CONTROL_MEMBERS} names are wanted")
    for index, name in enumerate(replication.control):
        if len(name) > MAX_LABEL_LENGTH or "/" in name:  # names are parts of paths in the administration API
            raise ConfigError(
                f"{table.path('control')}[{index}]",
                f"a member's name of at most {MAX_LABEL_LENGTH} characters is wanted, without /",
            )
    require_distinct(table.path("control"), list(replication.control))
    return replication


def _require_ip_address(address: Address, key: str) -> Address:
    """Return the address. Raises `ConfigError` for a host name, whose look-up could block for long."""
    try:
        ip_address(address[0])
    except ValueError:
        raise ConfigError(key, f"an IP address is wanted, not {address[0]!r:.60}") from None
    return address
