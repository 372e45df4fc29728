"""Checks that several sections share."""

from ipaddress import ip_address

from reelusher.config.checked_table import ConfigError


def is_loopback(host: str) -> bool:
    """Return whether an address can be reached from this machine only."""
    try:
        return ip_address(host).is_loopback
    except ValueError:
        return host == "localhost"


def require_distinct(key: str, names: list[str]) -> None:
    """Raise `ConfigError` for a key whose entries have a name twice."""
    seen = set[str]()
    for name in names:
        if name in seen:
            raise ConfigError(key, f"two have the name {name!r}")
        seen.add(name)
