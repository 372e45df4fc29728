"""One AJP worker: its idle connections, its health, and how much it is used."""

import threading
import time
from random import Random
from typing import TYPE_CHECKING, Any

from reelusher.backends.ajp.connection import WorkerConnection, WorkerUnreachableError
from reelusher.codecs.errors import MalformedError
from reelusher.pacing.backoff import Backoff

if TYPE_CHECKING:
    from reelusher.config.operator.workers import Worker


MAX_RECOVERY_FACTOR = 4  # times `recover_ms`: the longest time between two probes of an unreachable worker


class PooledWorker:
    """A worker and its state in this node."""

    def __init__(self, config: "Worker", random: Random) -> None:
        """`random` spreads the probes."""
        self.config = config
        recover_s = config.recover_ms / 1000
        self._backoff = Backoff(random, recover_s, MAX_RECOVERY_FACTOR * recover_s)
        self.suspected = False  # it could not be reached: one request at a time probes it
        self.probing = False  # such a request is in progress
        self.activation = config.activation
        self.busy = self.sent = self.errors = 0
        self.observed_s = 0.0  # when a connection was last tried, Unix time
        self.weighted_requests = 0.0  # requests it was given, divided by its factor
        self.down_until = 0.0
        self._idle: list[WorkerConnection] = []
        self._lock = threading.Lock()

    def is_usable(self, now: float) -> bool:
        """Return whether new requests may go to it."""
        return (
            self.busy < self.config.connections
            and now >= self.down_until
            and not self.probing
            and self.activation != "stopped"
        )

    def acquire_connection(self) -> WorkerConnection:
        """Return a connection, tested by CPing if that is on; raise `WorkerUnreachableError`."""
        while True:
            with self._lock:
                connection = self._idle.pop() if self._idle else None
            cached = connection is not None
            try:
                if connection is None:
                    connection = WorkerConnection(self.config)
                if cached and connection.is_stale():
                    connection.close()
                    continue
                if self.config.cping_timeout_ms:
                    connection.ping(self.config.cping_timeout_ms / 1000)
                return connection
            except (OSError, MalformedError) as error:
                if connection is not None:
                    connection.close()
                if not cached:  # only a new connection shows the state of the worker
                    raise WorkerUnreachableError(str(error)) from None

    def release_connection(self, connection: WorkerConnection, reuse: bool) -> None:
        """Cache a connection for the next request, or close it."""
        with self._lock:
            if reuse and len(self._idle) < self.config.connections:
                self._idle.append(connection)
                return
        connection.close()

    def record_unreachable(self) -> None:
        """Record that a connection failed; those in progress at once count as one failure."""
        self.observed_s = time.time()
        self.errors += 1
        self.suspend()

    def suspend(self) -> None:
        """Send nothing to it for a while, then one request."""
        with self._lock:
            now = time.monotonic()
            if now >= self.down_until:
                self.down_until, self.suspected = now + self._backoff.next_s(), True
            self.probing = False

    def record_reached(self) -> None:
        """Record that a connection was made and works."""
        self.observed_s = time.time()
        if self.suspected:
            with self._lock:
                self.suspected = self.probing = False
                self._backoff.reset()

    def status(self) -> dict[str, Any]:
        """Return its state for operators."""
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
