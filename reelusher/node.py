"""The node: starts the configured parts, drains and closes them, and runs as a process."""

import gc
import signal
import sys
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from loguru import logger

from reelusher.assembly import node_builder
from reelusher.config import Config, ConfigError, load
from reelusher.core.messages import DrainRequested
from reelusher.drain.connection_shutdown import total_state
from reelusher.drain.graceful_shutdown import GracefulShutdown
from reelusher.drain.signals import POLL_INTERVAL_S, SignalWatch
from reelusher.logging_setup import set_up_logging
from reelusher.net.threads import start_thread
from reelusher.reload import Reloader

SWITCH_INTERVAL_S = 0.001  # time after which a running thread yields the interpreter to a waiting one
MAX_HANDOVER_WAIT_S = 3.0  # limit of the wait for requests in flight after a newer process has taken over
HANDOVER_MARGIN_S = 0.7  # added to the wait for the longest deadline
EXIT_CONFIGURATION = 2  # exit status if the configuration or an address in it is unusable


class Closable(Protocol):
    """A part of the node that can be closed."""

    def close(self) -> None:
        """Stop the part and release its resources."""


class DrainTimes(NamedTuple):
    """The durations of a drain."""

    total_s: float  # time from the request of the drain to the end of the process
    grace_s: float  # first part of it, in which the node serves as before


class Node:
    """One booking node, which can be embedded: `start` it, wait for `drain_requested`, then `drain` it."""

    def __init__(self, config: Config) -> None:
        self.drain_requested = threading.Event()
        self._drain_requested_s = 0.0  # by the monotonic clock
        self._started = False
        self.parts = node_builder.build(config, self)
        self._reloader = Reloader(config, self.parts)

    @property
    def config(self) -> Config:
        """The configuration in use."""
        return self._reloader.config

    def start(self) -> None:
        """Start all threads."""
        parts, name = self.parts, self.config.name
        if parts.key_log:
            parts.key_log.start()
        if parts.key_locks:
            parts.key_locks.start()
        parts.core.start()
        if parts.runtime:
            parts.runtime.connect()
        for kind, frontend in parts.frontends.items():
            frontend.start()
            logger.info("{}: the {} frontend listens on {}:{}", name, kind, *frontend.address)
        self._started = True
        if parts.operations:
            parts.operations.start()
            logger.info("{}: the operations endpoint is at {}:{}", name, *parts.operations.address)
        if parts.admin:
            parts.admin.start()
            logger.info("{}: the administration API listens on {}:{}", name, *parts.admin.address)
        if parts.service_registry:
            parts.service_registry.start()
        if parts.replication:
            parts.replication.start(start_thread)
        if parts.fleet:
            parts.fleet.start()
            assert parts.warm_start is not None
            parts.warm_start.start()
            logger.info("{}: member of the fleet at {}:{}", name, *parts.fleet.address)

    def is_ready(self) -> bool:
        """Return whether this process is ready to serve; from any thread.

        If it is, this is recorded for earlier processes of the node, which may then hand over to it.
        """
        parts = self.parts
        ready = (
            self._started
            and parts.core.notices.reports_healthy
            and not self.drain_requested.is_set()
            and (parts.runtime is None or parts.runtime.up)
        )
        if ready and parts.process_registry:
            parts.process_registry.mark_ready()
        return ready

    def status(self) -> dict[str, Any]:
        """Return the state of the node; called on the event loop's thread."""
        parts = self.parts
        return {
            "name": self.config.name,
            "healthy": parts.core.notices.healthy,
            "draining": parts.core.notices.draining,
            "uptime_s": round(time.monotonic() - parts.started_s, 1),
            "runtime": None if parts.runtime is None else "up" if parts.runtime.up else "down",
            "requests_in_hand": len(parts.core.attempts),
            "unanswered": parts.core.attempts.unanswered,
            "keys": len(parts.core.keys),
            "fronts": {kind: frontend.open_connections() for kind, frontend in parts.frontends.items()},
            "decisions": parts.core.controller_state(),
        }

    def reload(self, read: Callable[[], Config] = load) -> bool:
        """Apply a new configuration; return False if the current one stays in use."""
        return self._reloader.reload(read)

    def request_drain(self, requested_s: float | None = None) -> bool:
        """Request a drain, from any thread; return False if one was requested before.

        `requested_s` is the earliest time, by the monotonic clock, at which the signal can have been sent:
        the time until the stop counts from then. Without it, the time counts from now.
        """
        if self.drain_requested.is_set():
            return False
        self._drain_requested_s = time.monotonic() if requested_s is None else requested_s
        self.drain_requested.set()
        return True

    def drain(self) -> bool:
        """Serve for the grace period, then answer all requests that were read.

        Returns when the drain is over: False if any request has no answer by then.

        If a newer process of this node serves already, there is no grace period: callers move to it.
        """
        self.request_drain()
        parts, times = self.parts, self._drain_times()
        logger.info("drain: started, the process ends within {:.0f} ms", times.total_s * 1000)
        if parts.service_registry:
            parts.service_registry.stop()
        if parts.fleet:
            parts.fleet.leave()
        shutdown = GracefulShutdown(parts.frontends.values(), self._notify_core, self._lag_s)
        shutdown.run(self._drain_requested_s, times.total_s, times.grace_s)
        parts.close_replication()
        unanswered = parts.core.attempts.unanswered
        duration_ms = (time.monotonic() - self._drain_requested_s) * 1000
        remaining = total_state(frontend.remaining_work() for frontend in parts.frontends.values())
        logger.info(
            "drain: finished after {:.0f} ms, {} unanswered, {} bytes unsent, {} bytes unread",
            duration_ms,
            unanswered,
            remaining.unsent_bytes,
            remaining.unread_bytes,
        )
        logger.info("counters: {}", parts.counters.summary())
        return not unanswered

    def close(self) -> None:
        """Close all parts at once. Call `drain` before, so that no request stays unanswered."""
        parts = self.parts
        for frontend in parts.frontends.values():
            frontend.close()
        _close(parts.operations, parts.admin)
        if parts.service_registry:
            parts.service_registry.stop()
        _close(parts.warm_start, parts.fleet)
        parts.close_replication()
        _close(parts.replicated_tenants, parts.downstream, parts.runtime)
        parts.worker_pool.executor.shutdown(wait=False, cancel_futures=True)
        parts.core.stop()
        _close(parts.key_log, parts.key_locks, parts.process_registry)

    def _drain_times(self) -> DrainTimes:
        registry, settings = self.parts.process_registry, self.config.settings
        if registry is None or not registry.has_successor():
            return DrainTimes(self.config.stop_ms / 1000, settings.drain_grace_us / 1e6)
        self.parts.core.notices.handing_over = True
        logger.info("drain: handing over to a process that was started later")
        longest_s = max(request_class.deadline_us for request_class in settings.classes) / 1e6
        return DrainTimes(min(longest_s, MAX_HANDOVER_WAIT_S) + HANDOVER_MARGIN_S, 0.0)

    def _notify_core(self, remaining_s: float, elapsed_s: float) -> None:
        """Notify the core of a drain that began `elapsed_s` ago and must be over in `remaining_s`."""
        now_us = self.parts.clock.now()
        self.parts.core.post(DrainRequested(now_us + int(remaining_s * 1e6), now_us - int(elapsed_s * 1e6)))

    def _lag_s(self) -> float:
        """Return the scheduling lag of this process in seconds, the larger of its poller's and its core's."""
        return max(self.parts.poller_lag.lag_s(time.monotonic()), self.parts.core.lag_s())


def _close(*parts: Closable | None) -> None:
    """Close the parts that this node has, in order."""
    for part in parts:
        if part is not None:
            part.close()


def handle_signals(node: Node, watch: SignalWatch) -> None:
    """Handle signals while the node serves and while it drains; return once it has drained.

    A reload and the drain have threads of their own: a file that is slow to read must not delay a SIGTERM
    that follows, and a SIGHUP is handled during the drain too. If no thread can be started, a reload is left
    out, and the drain runs on this thread.
    """
    drain: threading.Thread | None = None
    while drain is None or drain.is_alive():
        received = watch.poll()
        if received is not None and received.signal is signal.SIGHUP:
            _start_reload(node)
        elif received is not None:
            node.request_drain(received.earliest_s)
        elif drain is not None:
            drain.join(POLL_INTERVAL_S)
        elif node.drain_requested.wait(POLL_INTERVAL_S):
            drain = _start_drain(node)
            if drain is None:
                node.drain()
                return


def _start_reload(node: Node) -> None:
    try:
        start_thread("reload", node.reload)
    except RuntimeError as error:
        node.parts.counters.add("reload.left_out")
        logger.error("reload: left out, cannot start a thread for it: {}", error)


def _start_drain(node: Node) -> threading.Thread | None:
    """Start the thread of the drain; return None if no thread can be started."""
    try:
        return start_thread("drain", node.drain)
    except RuntimeError as error:
        logger.error("drain: cannot start a thread for it, signals are not handled any more: {}", error)
        return None


def main(watch: SignalWatch) -> int:
    """Run a node until a signal or the administration API has drained it; return the exit status."""
    set_up_logging()
    try:
        node = Node(load())
    except ConfigError as error:
        logger.error("configuration: {}", error)
        return EXIT_CONFIGURATION
    except OSError as error:
        logger.error("can't listen: {}", error)
        return EXIT_CONFIGURATION
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    gc.collect()
    gc.freeze()  # objects that exist now live as long as the process; collections skip them
    node.start()
    handle_signals(node, watch)
    return 0
