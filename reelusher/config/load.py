"""Puts the platform's and the operator's configuration together."""

import os
from collections.abc import Mapping
from dataclasses import dataclass

from reelusher.config import operator, platform_config
from reelusher.config.checked_table import ConfigError
from reelusher.policy.settings import Settings


@dataclass(slots=True, frozen=True)
class Config:
    """All that a node is told: by the platform, by an operator, or by both."""

    platform: platform_config.Platform | None
    operator: operator.Operator | None
    name: str
    seed: int
    stop_ms: int
    memory_mb: float
    sockets: int  # descriptors that the process may hold
    settings: Settings
    gauges: list[str]
    class_names: list[str]


def merge(told: platform_config.Platform | None, own: operator.Operator | None) -> Config:
    """Let the platform's word stand where both say something."""
    name = told.name if told else own.name if own else ""
    if own and own.replication and not own.fleet and own.replication.control != (name,):
        raise ConfigError("replication.control", f"without [fleet] it can name this node only, {name}")
    if told is not None:
        return Config(
            told,
            own,
            told.name,
            told.seed,
            told.stop_ms,
            told.limits.memory_mb,
            told.limits.sockets,
            told.settings,
            told.gauges,
            told.class_names,
        )
    if own is None:
        raise ConfigError("PROXY_CONFIG", "not set, and neither is REELUSHER_OPERATOR: one of them is needed")
    if own.settings is None:
        raise ConfigError("classes", "at least one is needed where no platform tells them")
    return Config(
        None,
        own,
        own.name,
        own.seed,
        own.stop_ms,
        own.memory_mb,
        own.sockets,
        own.settings,
        operator.GAUGES,
        list(own.class_names),
    )


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Read what the environment points to: PROXY_CONFIG, REELUSHER_OPERATOR, or both."""
    told = platform_config.read(environ["PROXY_CONFIG"], environ) if environ.get("PROXY_CONFIG") else None
    path = environ.get("REELUSHER_OPERATOR")
    names = tuple(told.class_names) if told else ()
    own = operator.read(path, names, told is not None) if path else None
    return merge(told, own)
