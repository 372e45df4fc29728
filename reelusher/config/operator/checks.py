"""Checks that several sections of the operator's file use."""

from ipaddress import ip_address

from reelusher.config.checked_table import ConfigError


def is_loopback(host: str) -> bool:
    """Return whether a host is a loopback address or `localhost`."""
    try:
        return ip_address(host).is_loopback
    except ValueError:
        return host == "localhost"


def require_distinct(key: str, names: list[str]) -> None:
    """Raise a `ConfigError` that names `key` if a name occurs twice."""
    seen = set[str]()
    for name in names:
        if name in seen:
            raise ConfigError(key, f"two have the name {name!r}")
        seen.add(name)
