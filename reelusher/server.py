"""The node: assembles core, fronts and backends, and takes them down in order."""

import gc
import signal
import sys
import threading
import time

from loguru import logger

from reelusher.backends.catalog import Catalog
from reelusher.backends.runtime import RuntimeLink
from reelusher.backends.vault import Vault
from reelusher.config import PLATFORM_TENANT, Config, ConfigError, load
from reelusher.core.clock import Clock
from reelusher.core.counters import Counters
from reelusher.core.model import DrainOrder
from reelusher.core.owner import Core
from reelusher.fronts.platform import PlatformFront

EXIT_S = 0.25  # before the stop: the process ends by then whatever is left
CROSSING_S = 0.2  # after `lastCall`, for requests that cross it
LOOK_S = 0.02
SWITCH_S = 0.001  # a thread that waits for the interpreter gets it within this


class Node:
    """One booking node, embeddable: `start`, then `leave` to drain."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.counters, clock = Counters(), Clock()
        self.runtime = RuntimeLink(config.runtime, lambda message: self.core.post(message), self.counters)
        self.vault = Vault(config.vault, lambda message: self.core.post(message), self.counters,
                           clock) if config.vault else None
        self.core = Core(config.settings, config.gauges, config.seed, self.runtime, self.vault,
                         config.class_names, clock, self.counters)
        self.catalog = Catalog(config.directory, config.name, lambda: self.core.told.healthy,
                               self.counters) if config.directory else None
        self.platform = PlatformFront(self.core, config.listen, PLATFORM_TENANT)

    def start(self) -> None:
        """Start all threads."""
        self.core.start()
        self.runtime.connect()
        if self.vault:
            self.vault.start()
        self.platform.start()
        if self.catalog:
            self.catalog.start()
        logger.info("{} listens on {}:{}", self.config.name, *self.platform.address)

    def leave(self) -> bool:
        """Drain: serve on for the grace, answer all that is read, then return; False if time ran out."""
        began = time.monotonic()
        stop_s = self.config.stop_ms / 1000
        end = began + stop_s - EXIT_S
        self.core.post(DrainOrder(self.config.stop_ms * 1000))
        if self.catalog:
            self.catalog.stop()
        logger.info("leaving: to be stopped in {} ms", self.config.stop_ms)
        grace = min(self.config.settings.grace_us / 1e6, stop_s / 2)
        time.sleep(grace)  # callers hear late that this node leaves; what comes till then is still run
        self.platform.stop_listening()
        self.platform.last_call()
        quiet = time.monotonic() + CROSSING_S
        while time.monotonic() < end:
            if self.core.ask(self.core.attempts.unanswered):
                quiet = max(quiet, time.monotonic() + LOOK_S)
            elif time.monotonic() > quiet:
                break
            time.sleep(LOOK_S)
        left = self.core.ask(self.core.attempts.unanswered)
        flushed = self.platform.flush(end)
        logger.info("left after {:.0f} ms, {} unanswered", (time.monotonic() - began) * 1000, left)
        logger.info("counters: {}", self.counters.snapshot())
        return flushed and not left


def main() -> int:
    """Run a node until SIGTERM."""
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", level="INFO", backtrace=False,
               diagnose=False)
    try:
        node = Node(load())
    except ConfigError as error:
        logger.error("configuration: {}", error)
        return 2
    except OSError as error:
        logger.error("listen: {}", error)
        return 2
    told = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: told.set())
    sys.setswitchinterval(SWITCH_S)
    gc.collect()
    gc.freeze()
    node.start()
    told.wait()
    node.leave()
    return 0
