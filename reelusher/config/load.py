"""Loads the configuration of a node and merges the platform's file with the operator's."""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from reelusher.config import platform_config
from reelusher.config.checked_table import ConfigError
from reelusher.policy.settings import Settings

if TYPE_CHECKING:
    from reelusher.config.operator.file import Operator


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of a node, from the platform's file, the operator's file, or both."""

    platform: platform_config.Platform | None
    operator: "Operator | None"
    name: str
    seed: int
    stop_ms: int  # time from the signal to stop until the process is killed
    memory_mb: float  # memory that the process may use
    sockets: int  # file descriptors that the process may hold open
    settings: Settings
    gauges: list[str]  # field of `Gauges` for each reported gauge, in order; empty for unknown ones
    class_names: list[str]


def merge(platform: platform_config.Platform | None, operator: "Operator | None") -> Config:
    """Merge both; the platform's values take precedence over the operator's. Raises `ConfigError`."""
    _check_replication_without_fleet(platform, operator)
    if platform is not None:
        return Config(
            platform=platform,
            operator=operator,
            name=platform.name,
            seed=platform.seed,
            stop_ms=platform.stop_ms,
            memory_mb=platform.limits.memory_mb,
            sockets=platform.limits.sockets,
            settings=platform.settings,
            gauges=platform.gauges,
            class_names=platform.class_names,
        )
    if operator is None:
        raise ConfigError("PROXY_CONFIG", "not set, and neither is REELUSHER_OPERATOR: one of them is needed")
    return _from_operator(operator)


def _check_replication_without_fleet(
    platform: platform_config.Platform | None, operator: "Operator | None"
) -> None:
    """Raise `ConfigError` if a node without a fleet names any control member other than itself."""
    if operator is None or operator.replication is None or operator.fleet is not None:
        return
    name = platform.name if platform else operator.name
    if operator.replication.control != (name,):
        raise ConfigError("replication.control", f"without [fleet] it can name this node only, {name}")


def _from_operator(operator: "Operator") -> Config:
    """Return the configuration of a node that has only an operator's file."""
    from reelusher.config.operator.classes import GAUGES

    if operator.settings is None:
        raise ConfigError("classes", "at least one is needed where no platform tells them")
    return Config(
        platform=None,
        operator=operator,
        name=operator.name,
        seed=operator.seed,
        stop_ms=operator.stop_ms,
        memory_mb=operator.memory_mb,
        sockets=operator.sockets,
        settings=operator.settings,
        gauges=GAUGES,
        class_names=list(operator.class_names),
    )


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the files that PROXY_CONFIG and REELUSHER_OPERATOR name; at least one is required.

    Raises `ConfigError`.
    """
    platform = None
    if environ.get("PROXY_CONFIG"):
        platform = platform_config.read(environ["PROXY_CONFIG"], environ)
    operator = None
    if path := environ.get("REELUSHER_OPERATOR"):
        from reelusher.config.operator import file as operator_file  # not loaded without this file

        class_names = tuple(platform.class_names) if platform else ()
        operator = operator_file.read(path, class_names, has_runtime=platform is not None)
    return merge(platform, operator)
