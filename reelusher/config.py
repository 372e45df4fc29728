"""The one place where configuration is read, checked and given defaults. Every error names the faulty key."""

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from reelusher import interface as io
from reelusher.settings import Missing, settings_from

Address = tuple[str, int]

PLATFORM_TENANT = "platform"  # the tenant whose requests come over the platform's protocol


class ConfigError(Exception):
    """A key is missing or wrong; the text names it."""


@dataclass(slots=True, frozen=True)
class Limits:
    """What the platform lets the process use."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


@dataclass(slots=True, frozen=True)
class Config:
    """All that a node is told."""

    name: str
    listen: Address
    runtime: Address
    directory: Address | None
    vault: Address | None
    seed: int
    stop_ms: int
    limits: Limits
    settings: io.Settings
    gauges: list[str]
    class_names: list[str]


def address_of(value: Any, key: str) -> Address:
    """Read HOST:PORT."""
    if not isinstance(value, str):
        raise ConfigError(f"{key}: HOST:PORT is wanted")
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ConfigError(f"{key}: {value!r} is not HOST:PORT")
    return host, int(port)


def number(table: Mapping[str, Any], key: str, path: str, default: float | None, least: float) -> float:
    """Read a number that is at least so much."""
    value = table.get(key, default)
    if value is None:
        raise ConfigError(f"{path}{key}: missing")
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not value >= least:
        raise ConfigError(f"{path}{key}: a number of at least {least:g} is wanted, not {value!r}")
    return value


def text_of(table: Mapping[str, Any], key: str, path: str, default: str | None = None) -> str:
    """Read a string that is not empty."""
    value = table.get(key, default)
    if value is None:
        raise ConfigError(f"{path}{key}: missing")
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{path}{key}: a string is wanted, not {value!r}")
    return value


def _seed(value: str) -> int:
    try:
        return int(value, 16) % (1 << 64)
    except ValueError:
        raise ConfigError(f"seed: {value!r} is not a hexadecimal number") from None


def parse(table: Any, environ: Mapping[str, str]) -> Config:
    """Check the platform's configuration; PROXY_NAME and PROXY_LISTEN go before the file."""
    if not isinstance(table, dict):
        raise ConfigError("PROXY_CONFIG: a JSON object is wanted")
    limits = table.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: an object is wanted")
    if "settings" not in table:
        raise ConfigError("settings: missing")
    try:
        settings, gauges = settings_from(table["settings"])
        names = [str(entry.get("name", place)) for place, entry in enumerate(table["settings"]["categories"])]
    except Missing as error:
        raise ConfigError(str(error)) from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from None
    listen = environ.get("PROXY_LISTEN") or table.get("listen")
    return Config(
        name=environ.get("PROXY_NAME") or text_of(table, "name", ""),
        listen=address_of(listen, "PROXY_LISTEN" if environ.get("PROXY_LISTEN") else "listen"),
        runtime=address_of(table.get("runtime"), "runtime"),
        directory=address_of(table["directory"], "directory") if table.get("directory") else None,
        vault=address_of(table["vault"], "vault") if table.get("vault") else None,
        seed=_seed(text_of(table, "seed", "", "0")),
        stop_ms=int(number(table, "stop_ms", "", 3000, 100)),
        limits=Limits(cores=number(limits, "cores", "limits.", 1.0, 0.01),
                      memory_mb=number(limits, "memory_mb", "limits.", 192, 16),
                      sockets=int(number(limits, "sockets", "limits.", 1024, 32))),
        settings=settings, gauges=gauges, class_names=names)


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration that the environment points to."""
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG: not set; it names the node's JSON configuration")
    try:
        table = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"PROXY_CONFIG: {error}") from None
    except ValueError as error:
        raise ConfigError(f"PROXY_CONFIG: {path} is not JSON: {error}") from None
    return parse(table, environ)
