"""The platform's configuration: a JSON file that PROXY_CONFIG names.

PROXY_NAME, PROXY_LISTEN and PROXY_OPERATOR override its keys.
"""

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
    """The resources that the platform grants the process."""

    cores: float
    memory_mb: float
    sockets: int  # open file descriptors


@dataclass(slots=True, frozen=True)
class Platform:
    """The configuration that the platform gives a node."""

    name: str
    listen: Address
    runtime: Address
    directory: Address | None  # service registry; None: the node does not register
    vault: Address | None  # downstream service; None: there is none
    operator: Address | None  # second address to listen on, for operators only; None: there is none
    seed: int
    stop_ms: int  # time from the signal to stop until the process is killed
    limits: Limits
    settings: Settings
    gauges: list[str]  # field of `Gauges` for each reported gauge, in order; empty for unknown ones
    class_names: list[str]
    folder: str = ""  # directory that processes of this node share during an upgrade; empty: no upgrades
    paths: frozenset[str] = frozenset()  # paths of all keys in the file

    def first_missing_key(self, other: "Platform") -> str | None:
        """Return the path of a key that the other file has and this one lacks; None if there is none.

        A truncated file may still be valid JSON, and is detected by its missing keys.
        """
        return min(other.paths - self.paths, default=None)


def parse_seed(text: str, key: str) -> int:
    """Parse a seed, a hexadecimal number, modulo 2 ** 64. Raises a `ConfigError` that names `key`."""
    try:
        return int(text, 16) % (1 << 64)
    except ValueError:
        raise ConfigError(key, f"a hexadecimal number is wanted, not {text!r:.40}") from None


def _read_settings(value: Any) -> tuple[Settings, list[str], list[str]]:
    """Return the settings, the fields of the gauges, and the names of the classes. Raises `ConfigError`."""
    try:
        settings, gauges = settings_from_parsed(value)
        names = [str(entry.get("name", index)) for index, entry in enumerate(value["categories"])]
    except SettingsError as error:
        raise ConfigError("settings", str(error).removeprefix("settings: ")) from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError("settings", str(error)) from None
    if len(set(names)) != len(names):
        raise ConfigError("settings.categories", "two classes have one name")
    return settings, gauges, names


def key_paths(value: Any, path: str = "") -> frozenset[str]:
    """Return the paths of all keys; within a list of tables, only of the keys that all its entries have."""
    if isinstance(value, Mapping):
        children = [key_paths(child, f"{path}.{key}" if path else str(key)) for key, child in value.items()]
        return frozenset([path] if path else []).union(*children)
    if isinstance(value, list) and value and all(isinstance(entry, Mapping) for entry in value):
        shared = frozenset.intersection(*(key_paths(entry, f"{path}[]") for entry in value))
        return shared | {path}
    return frozenset([path])


def parse(value: Any, environ: Mapping[str, str]) -> Platform:
    """Validate the content of the file. Raises `ConfigError`.

    Unknown keys are ignored, since the platform may add some.
    """
    table = CheckedTable(value)
    limits = table.table("limits")
    settings, gauges, names = _read_settings(table.raw("settings"))
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
        seed=parse_seed(table.string("seed", "0"), "seed"),
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
        paths=key_paths(value),
    )


def read(path: str, environ: Mapping[str, str]) -> Platform:
    """Read and validate the file that PROXY_CONFIG names. Raises `ConfigError`."""
    try:
        value = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError("PROXY_CONFIG", str(error)) from None
    except ValueError as error:
        raise ConfigError("PROXY_CONFIG", f"{path} is not JSON: {error}") from None
    return parse(value, environ)
