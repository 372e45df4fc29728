"""Applies a new configuration while the node serves: addresses, settings and request classes."""

import threading
from collections.abc import Callable
from dataclasses import replace

from loguru import logger

from reelusher.assembly.parts import NodeParts
from reelusher.config import Config, ConfigError
from reelusher.config.platform_config import Platform

MAX_PENDING_RELOADS = 2  # one in progress, and one that reads the newest file after it
ADDRESSES = ("runtime", "vault", "directory")  # fields of `Platform`
SETTINGS = ("settings", "gauges", "class_names")
RELOADABLE = (*ADDRESSES, *SETTINGS, "paths")  # fields that a reload replaces


class ReloadError(Exception):
    """Raised for a configuration that can't be applied while the node serves."""


class Reloader:
    """Holds the configuration in use and replaces it."""

    def __init__(self, config: Config, parts: NodeParts) -> None:
        self.config = config
        self._parts = parts
        self._applied_fields: list[str] = []  # fields that the reload in progress has replaced
        self._in_progress = threading.Lock()
        self._pending = threading.BoundedSemaphore(MAX_PENDING_RELOADS)

    def reload(self, read: Callable[[], Config]) -> bool:
        """Apply a new configuration; return False if the current one stays in use.

        A reload that is requested while another is in progress waits for it and then reads the newest file.
        A third one at the same time would read that same file and is skipped.
        """
        if not self._pending.acquire(blocking=False):
            self._parts.counters.add("reload.left_out")
            return False
        try:
            with self._in_progress:
                applied = self._try_apply(read)
        finally:
            self._pending.release()
        self._parts.core.stats.reload_finished(applied)
        return applied

    def _try_apply(self, read: Callable[[], Config]) -> bool:
        """Read and apply a configuration; return False if that fails for any reason, which is logged."""
        self._applied_fields = []
        try:
            self._apply(read())
        except (ConfigError, ReloadError) as error:  # the file may be half written
            reason = str(error)
        except TimeoutError:
            reason = "the event loop did not respond in time"
        except Exception as error:
            logger.exception("reload: failed unexpectedly")
            reason = repr(error)
        else:
            self._parts.counters.add("reload.done")
            return True
        self._parts.counters.add("reload.refused")
        if self._applied_fields:
            logger.error(
                "reload: failed half way, in use since this reload: {}; the next one takes up the rest: {}",
                ", ".join(self._applied_fields),
                reason,
            )
        else:
            logger.error("reload: rejected, the current configuration stays in use: {}", reason)
        return False

    def _apply(self, config: Config) -> None:
        current, new = self.config.platform, config.platform
        if current is None or new is None or _has_other_parts(current, new):
            raise ReloadError("parts can be added or removed only by a restart")
        if missing_key := new.first_missing_key(current):
            raise ReloadError(f"{missing_key}: missing")
        if (new.settings, new.class_names) != (current.settings, current.class_names):
            self._apply_settings(new)
            self._adopt(new, *SETTINGS)
        self._apply_addresses(new)
        self._adopt(new, *RELOADABLE)
        if self.config.platform != new:
            logger.warning("reload: changes other than addresses and settings take effect after a restart")
        _log_addresses(current, new)

    def _adopt(self, new: Platform, *fields: str) -> None:
        """Record that these fields of a new configuration are in use."""
        current = self.config.platform
        assert current is not None
        platform = replace(current, **{name: getattr(new, name) for name in fields})
        self.config = replace(self.config, platform=platform, settings=platform.settings)
        self._applied_fields += fields

    def _apply_settings(self, platform: Platform) -> None:
        core = self._parts.core

        def apply() -> None:
            core.apply_settings(platform.settings, platform.gauges, platform.class_names)

        try:  # in one step of the event loop, so that core and front ends never use different settings
            core.run_on_loop(apply)
        except ValueError as error:
            raise ReloadError(str(error)) from error
        logger.info("reload: new settings, classes: {}", ", ".join(platform.class_names))

    def _apply_addresses(self, platform: Platform) -> None:
        parts = self._parts
        if parts.runtime:
            parts.runtime.move(platform.runtime)
            self._adopt(platform, "runtime")
        if parts.downstream and platform.vault:
            parts.downstream.move(platform.vault)
            self._adopt(platform, "vault")
        if parts.service_registry and platform.directory:
            parts.service_registry.move(platform.directory)
            self._adopt(platform, "directory")


def _has_other_parts(current: Platform, new: Platform) -> bool:
    """Return whether one of them has a downstream service or a service registry that the other lacks."""
    return (current.vault is None) is not (new.vault is None) or (current.directory is None) is not (
        new.directory is None
    )


def _log_addresses(current: Platform, new: Platform) -> None:
    changed = {name: getattr(new, name) for name in ADDRESSES if getattr(new, name) != getattr(current, name)}
    described = [f"{name} {address[0]}:{address[1]}" for name, address in changed.items() if address]
    logger.info("reload: new addresses: {}", ", ".join(described) or "none")
