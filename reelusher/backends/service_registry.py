"""Client of the service registry: reports the health of the node, so that callers find it."""

import json
import socket
import threading
import time
from collections.abc import Callable
from random import Random
from urllib.parse import quote

from loguru import logger

from reelusher.codecs import http1
from reelusher.core.counters import Counters
from reelusher.net.sockets import Address, connect
from reelusher.net.threads import start_thread
from reelusher.pacing.report_schedule import ReportFailure, ReportSchedule
from reelusher.pacing.retry_budget import RetryBudget

DESCRIPTORS = 1  # file descriptors: the connection to the service registry
READ_BYTES = 1 << 12
STATUS_NO_CONTENT = "204"
MAX_RETRY_AFTER_DIGITS = 8
REGISTER_PATH = "/catalog/register/"
MAX_STALE_RETRIES = 1.0  # immediate retries on a new connection after a reused one was stale
STALE_RETRIES_PER_SUCCESS = 0.5


class RegistryUnavailableError(OSError):
    """The service registry responded with an error status, possibly with a Retry-After."""

    def __init__(self, status: str, retry_after_s: float) -> None:
        super().__init__(f"responded with status {status}")
        self.retry_after_s = retry_after_s


class ServiceRegistryClient:
    """Reports the health of the node periodically and after changes, with backoff during outages."""

    def __init__(
        self, address: Address, name: str, is_healthy: Callable[[], bool], counters: Counters, random: Random
    ) -> None:
        """`is_healthy` is called for each report, on a thread of the client.

        `random` adds jitter to the times of reports, so it must be seeded differently on each node.
        """
        self._address = address
        self._path = REGISTER_PATH + quote(name, safe="")
        self._is_healthy = is_healthy
        self._counters = counters
        self._schedule = ReportSchedule(random)
        self._stale_retries = RetryBudget(MAX_STALE_RETRIES, STALE_RETRIES_PER_SUCCESS)
        self._sock: socket.socket | None = None
        self._connected_to: Address | None = None
        self._wakeup = threading.Event()  # set when the health has changed or reporting is to stop
        self._stopped = threading.Event()
        self._failing = False  # whether the last report failed

    def move(self, address: Address) -> None:
        """Send the next report, and all after it, to another address."""
        self._address = address

    def start(self) -> None:
        """Start the thread that reports."""
        start_thread("service-registry", self._run)

    def health_changed(self) -> None:
        """Bring the next report forward after a change. Any thread may call; this does not block."""
        self._wakeup.set()

    def stop(self) -> None:
        """Stop reporting, so that the entry of the node expires."""
        self._stopped.set()
        self._wakeup.set()

    def _run(self) -> None:
        due_s = time.monotonic() + self._schedule.first_delay_s()
        while not self._stopped.is_set():
            if self._wakeup.wait(max(0.0, due_s - time.monotonic())) and not self._failing:
                now = time.monotonic()  # only after a success: a change does not cut a backoff short
                due_s = min(due_s, now + self._schedule.change_delay_s(now))
            if not self._stopped.wait(max(0.0, due_s - time.monotonic())):
                self._wakeup.clear()
                now = time.monotonic()
                self._schedule.observe_lag(now - due_s, now)
                wait_s = self._report()
                due_s = time.monotonic() + wait_s
        self._disconnect()

    def _report(self) -> float:
        """Send one report; return the seconds until the next is due."""
        sent_s = time.monotonic()
        try:
            self._put()
        except (OSError, http1.MalformedHttpError) as error:
            self._disconnect()
            self._counters.add("catalog.failed")
            if not self._failing:
                logger.warning("service registry: report failed: {}", error)
            self._failing = True
            no_reply = isinstance(error, (TimeoutError, http1.MalformedHttpError))
            return self._schedule.on_failure(
                ReportFailure.NO_REPLY if no_reply else ReportFailure.UNAVAILABLE,
                time.monotonic(),
                error.retry_after_s if isinstance(error, RegistryUnavailableError) else 0.0,
            )
        self._counters.add("catalog.reports")
        if self._failing:
            logger.info("service registry: reports succeed again")
        self._failing = False
        self._stale_retries.record_success()
        return self._schedule.on_success(sent_s, time.monotonic())

    def _put(self) -> None:
        """Send one report; if a reused connection turns out stale, send it once more on a new one."""
        body = json.dumps(
            {"status": "passing" if self._is_healthy() else "critical"}, separators=(",", ":")
        ).encode()
        address = self._address
        if address != self._connected_to:
            self._disconnect()
        host = f"{address[0]}:{address[1]}"
        request = http1.request("PUT", self._path, body, {"Host": host, "Content-Type": "application/json"})
        reused = self._sock is not None
        try:
            self._exchange(address, request)
        except (RegistryUnavailableError, TimeoutError):  # the service registry failed, not the connection
            raise
        except OSError:
            if not reused or not self._stale_retries.try_acquire():
                raise
            self._disconnect()
            self._exchange(address, request)

    def _exchange(self, address: Address, request: bytes) -> None:
        """Send a request and read the response, connecting first if needed.

        Raises `RegistryUnavailableError` for any status but 204, OSError or `MalformedHttpError` for other
        failures.
        """
        timeout_s = self._schedule.timeout_s()
        if self._sock is None:
            self._sock, self._connected_to = connect(address, timeout_s), address
        self._sock.settimeout(timeout_s)
        self._sock.sendall(request)
        decoder = http1.Decoder()
        while data := self._sock.recv(READ_BYTES):
            for response in decoder.feed(data):
                if response.start[1] != STATUS_NO_CONTENT:
                    raise RegistryUnavailableError(
                        response.start[1], _retry_after_s(response.headers.get("retry-after", ""))
                    )
                if not response.keep_alive:
                    self._disconnect()
                return
        raise OSError("connection closed before the response")

    def _disconnect(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None


def _retry_after_s(text: str) -> float:
    """Return a Retry-After in seconds; 0 unless it is a whole number of a few digits."""
    return float(text) if text.isascii() and text.isdigit() and len(text) <= MAX_RETRY_AFTER_DIGITS else 0.0
