"""The platform's configuration: PROXY_CONFIG names a JSON file; PROXY_NAME and PROXY_LISTEN go before it."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from reelusher.config.checked_table import Address, CheckedTable, ConfigError, address_of
from reelusher.config.platform_settings import SettingsError, settings_from_parsed
from reelusher.policy.settings import Settings


@dataclass(slots=True, frozen=True)
class Limits:
    """What the platform lets the process use."""

    cores: float
    memory_mb: float
    sockets: int


@dataclass(slots=True, frozen=True)
class Platform:
    """What the platform tells a node."""

    name: str
    listen: Address
    runtime: Address
    directory: Address | None
    vault: Address | None
    operator: Address | None  # the second address, for operators alone
    seed: int
    stop_ms: int
    limits: Limits
    settings: Settings
    gauges: list[str]
    class_names: list[str]
    folder: str = ""  # that processes of this node share during an upgrade; empty: there are none
    paths: frozenset[str] = frozenset()  # of all keys that the file has

    def first_missing_key(self, other: "Platform") -> str | None:
        """Return a key that the other file has and this one does not; one cut short may still be JSON."""
        return min(other.paths - self.paths, default=None)


def seed_of(text: str, key: str) -> int:
    """Read a seed, which is a hexadecimal number."""
    try:
        return int(text, 16) % (1 << 64)
    except ValueError:
        raise ConfigError(key, f"a hexadecimal number is wanted, not {text!r:.40}") from None


def _settings(value: Any) -> tuple[Settings, list[str], list[str]]:
    try:
        settings, gauges = settings_from_parsed(value)
        names = [str(entry.get("name", place)) for place, entry in enumerate(value["categories"])]
    except SettingsError as error:
        raise ConfigError("settings", str(error).removeprefix("settings: ")) from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError("settings", str(error)) from None
    if len(set(names)) != len(names):
        raise ConfigError("settings.categories", "two classes have one name")
    return settings, gauges, names


def paths_of(value: Any, path: str = "") -> frozenset[str]:
    """Return the paths of all keys; of the entries of a list, those that all have."""
    if isinstance(value, Mapping):
        below = [paths_of(part, f"{path}.{key}" if path else str(key)) for key, part in value.items()]
        return frozenset([path] if path else []).union(*below)
    if isinstance(value, list) and value and all(isinstance(entry, Mapping) for entry in value):
        shared = frozenset.intersection(*(paths_of(entry, f"{path}[]") for entry in value))
        return shared | {path}
    return frozenset([path])


def parse(value: Any, environ: Mapping[str, str]) -> Platform:
    """Check what the file says. Keys that are not known are left alone: the platform may add some."""
    table = CheckedTable(value)
    limits = table.table("limits")
    settings, gauges, names = _settings(table.raw("settings"))
    listen, operator = environ.get("PROXY_LISTEN"), environ.get("PROXY_OPERATOR")
    return Platform(
        name=environ.get("PROXY_NAME") or table.string("name"),
        listen=address_of(listen, "PROXY_LISTEN") if listen else table.address("listen"),
        runtime=table.address("runtime"),
        directory=table.address("directory") if "directory" in table else None,
        vault=table.address("vault") if "vault" in table else None,
        operator=address_of(operator, "PROXY_OPERATOR")
        if operator
        else table.address("operator")
        if "operator" in table
        else None,
        seed=seed_of(table.string("seed", "0"), "seed"),
        stop_ms=table.integer("stop_ms", 3000, minimum=100),
        limits=Limits(
            limits.number("cores", 1.0, minimum=0.01),
            limits.number("memory_mb", 192.0, minimum=16),
            limits.integer("sockets", 1024, minimum=32),
        ),
        settings=settings,
        gauges=gauges,
        class_names=names,
        folder=environ.get("TMPDIR", "") if operator or "operator" in table else "",
        paths=paths_of(value),
    )


def read(path: str, environ: Mapping[str, str]) -> Platform:
    """Read the file that PROXY_CONFIG names."""
    try:
        value = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError("PROXY_CONFIG", str(error)) from None
    except ValueError as error:
        raise ConfigError("PROXY_CONFIG", f"{path} is not JSON: {error}") from None
    return parse(value, environ)
