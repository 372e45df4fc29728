"""The catalog: reports to it as often as `pacing.Cadence` says, so that callers find this node."""

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

DESCRIPTORS = 1
PATH = "/catalog/register/"
STALE_MOST, STALE_EARNED = 1.0, 0.5  # second tries at once, for a kept connection that has gone stale


class RegistryUnavailableError(OSError):
    """The catalog answered, but with an error; `advised_s`: come back no sooner."""

    def __init__(self, status: str, advised_s: float) -> None:
        super().__init__(f"answered {status}")
        self.advised_s = advised_s


class ServiceRegistry:
    """Reports the state of the node, through outages of the catalog."""

    def __init__(
        self, address: Address, name: str, healthy: Callable[[], bool], counters: Counters, random: Random
    ) -> None:
        """`healthy` is asked at each report; `random` spreads them, so each node needs a seed of its own."""
        self._address = address
        self._path = PATH + quote(name, safe="")
        self._healthy = healthy
        self._counters = counters
        self._cadence = ReportSchedule(random)
        self._stale = RetryBudget(STALE_MOST, STALE_EARNED)
        self._sock: socket.socket | None = None
        self._connected: Address | None = None  # where that leads
        self._woken = threading.Event()  # a change is to be reported, or there is nothing more to report
        self._stopped = threading.Event()
        self._failing = False

    def move(self, address: Address) -> None:
        """Report to another address from the next report on."""
        self._address = address

    def start(self) -> None:
        """Start to report."""
        start_thread("catalog", self._report)

    def changed(self) -> None:
        """Report sooner, since what `healthy` says has changed; from any thread, waits for nothing."""
        self._woken.set()

    def stop(self) -> None:
        """Report no more, so that the node comes off the list."""
        self._stopped.set()
        self._woken.set()

    def _report(self) -> None:
        due_s = time.monotonic() + self._cadence.first_delay_s()
        while not self._stopped.is_set():
            if self._woken.wait(max(0.0, due_s - time.monotonic())) and not self._failing:
                now = time.monotonic()  # else: whoever finds nobody, or is told to wait, goes on waiting
                due_s = min(due_s, now + self._cadence.change_delay_s(now))
            if not self._stopped.wait(max(0.0, due_s - time.monotonic())):
                self._woken.clear()
                now = time.monotonic()
                self._cadence.observe_lag(now - due_s, now)
                wait_s = self._once()
                due_s = time.monotonic() + wait_s
        self._drop()

    def _once(self) -> float:
        """Make one report; return the seconds until the next."""
        sent_s = time.monotonic()
        try:
            self._put()
        except (OSError, http1.MalformedHttpError) as error:
            self._drop()
            self._counters.add("catalog.failed")
            if not self._failing:
                logger.warning("catalog: no report: {}", error)
            self._failing = True
            lost = isinstance(error, (TimeoutError, http1.MalformedHttpError))
            return self._cadence.on_failure(
                ReportFailure.NO_REPLY if lost else ReportFailure.UNAVAILABLE,
                time.monotonic(),
                error.advised_s if isinstance(error, RegistryUnavailableError) else 0.0,
            )
        self._counters.add("catalog.reports")
        if self._failing:
            logger.info("catalog: it answers again")
        self._failing = False
        self._stale.record_success()
        return self._cadence.on_success(sent_s, time.monotonic())

    def _put(self) -> None:
        """Send one report; a kept connection that has gone stale is opened anew, once."""
        body = json.dumps(
            {"status": "passing" if self._healthy() else "critical"}, separators=(",", ":")
        ).encode()
        address = self._address
        if address != self._connected:
            self._drop()
        host = f"{address[0]}:{address[1]}"
        message = http1.request("PUT", self._path, body, {"Host": host, "Content-Type": "application/json"})
        kept = self._sock is not None
        try:
            self._exchange(address, message)
        except (
            RegistryUnavailableError,
            TimeoutError,
        ):  # the catalog itself: a second report at once would be one too many
            raise
        except OSError:
            if not kept or not self._stale.try_acquire():
                raise
            self._drop()
            self._exchange(address, message)

    def _exchange(self, address: Address, message: bytes) -> None:
        timeout_s = self._cadence.timeout_s()
        if self._sock is None:
            self._sock, self._connected = connect(address, timeout_s), address
        self._sock.settimeout(timeout_s)
        self._sock.sendall(message)
        decoder = http1.Decoder()
        while data := self._sock.recv(1 << 12):
            for answer in decoder.feed(data):
                if answer.start[1] != "204":
                    raise RegistryUnavailableError(
                        answer.start[1], _seconds(answer.headers.get("retry-after", ""))
                    )
                if not answer.keeps_open:
                    self._drop()
                return
        raise OSError("closed before the answer")

    def _drop(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None


def _seconds(text: str) -> float:
    """Read Retry-After as seconds; a date, or what is neither, counts as no advice."""
    return float(text) if text.isascii() and text.isdigit() and len(text) < 9 else 0.0
