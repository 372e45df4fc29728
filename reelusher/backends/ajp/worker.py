"""An AJP worker as this node sees it: idle connections, health and load."""

import threading
import time
from random import Random
from typing import TYPE_CHECKING, Any

from reelusher.backends.ajp.connection import WorkerConnection, WorkerUnreachableError
from reelusher.codecs.errors import MalformedError
from reelusher.pacing.backoff import Backoff

if TYPE_CHECKING:
    from reelusher.config.operator.workers import Worker


MAX_RECOVERY_FACTOR = 4  # the longest backoff of an unreachable worker, as a multiple of `recover_ms`


class PooledWorker:
    """A worker and its state in this node."""

    def __init__(self, config: "Worker", random: Random) -> None:
        """`random` adds jitter to the times of probes."""
        self.config = config
        recover_s = config.recover_ms / 1000
        self._backoff = Backoff(random, recover_s, MAX_RECOVERY_FACTOR * recover_s)
        self.suspected = False  # True since a failed connection: one request at a time probes the worker
        self.probing = False  # whether a request that probes the worker is in progress
        self.activation = config.activation
        self.busy = self.sent = self.errors = 0  # requests in progress, requests assigned, failures
        self.observed_s = 0.0  # Unix time when a connection was last obtained or failed; 0: never
        self.weighted_requests = 0.0  # requests assigned, each counted as 1 / factor, less a common offset
        self.down_until = 0.0  # monotonic time before which no request is sent
        self._idle: list[WorkerConnection] = []
        self._lock = threading.Lock()

    def is_usable(self, now: float) -> bool:
        """Return whether the worker may be sent a request at monotonic time `now`.

        A disabled worker may, but gets only requests of its sessions.
        """
        return (
            self.busy < self.config.connections
            and now >= self.down_until
            and not self.probing
            and self.activation != "stopped"
        )

    def acquire_connection(self) -> WorkerConnection:
        """Return an idle or a new connection, validated by a CPing unless that is turned off.

        Raises `WorkerUnreachableError` if a new connection fails; idle ones that fail are discarded.
        """
        while True:
            with self._lock:
                connection = self._idle.pop() if self._idle else None
            was_idle = connection is not None
            try:
                if connection is None:
                    connection = WorkerConnection(self.config)
                if was_idle and connection.is_stale():
                    connection.close()
                    continue
                if self.config.cping_timeout_ms:
                    connection.ping(self.config.cping_timeout_ms / 1000)
                return connection
            except (OSError, MalformedError) as error:
                if connection is not None:
                    connection.close()
                if not was_idle:  # an idle connection may fail although the worker is reachable
                    raise WorkerUnreachableError(str(error)) from None

    def release_connection(self, connection: WorkerConnection, reuse: bool) -> None:
        """Keep a connection for the next request, or close it if it can't be reused."""
        with self._lock:
            if reuse and len(self._idle) < self.config.connections:
                self._idle.append(connection)
                return
        connection.close()

    def record_unreachable(self) -> None:
        """Record that connecting failed. Connections that fail at the same time lengthen the backoff once."""
        self.observed_s = time.time()
        self.errors += 1
        self.suspend()

    def suspend(self) -> None:
        """Send no request to the worker during the backoff, and then a single one as a probe."""
        with self._lock:
            now = time.monotonic()
            if now >= self.down_until:
                self.down_until, self.suspected = now + self._backoff.next_s(), True
            self.probing = False

    def record_reached(self) -> None:
        """Record that a connection was made and validated: the worker is no longer suspected."""
        self.observed_s = time.time()
        if self.suspected:
            with self._lock:
                self.suspected = self.probing = False
                self._backoff.reset()

    def status(self) -> dict[str, Any]:
        """Return the state of the worker as the administration API reports it."""
        now = time.monotonic()
        return {
            "name": self.config.name,
            "address": f"{self.config.host}:{self.config.port}",
            "activation": self.activation,
            "state": "ok" if now >= self.down_until else "error",
            "factor": self.config.factor,
            "busy": self.busy,
            "sent": self.sent,
            "errors": self.errors,
        }
