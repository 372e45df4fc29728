"""The catalog: one report a second or so, so that callers find this node."""

import json
import socket
import threading
import time
from collections.abc import Callable
from urllib.parse import quote

from loguru import logger

from reelusher.core.counters import Counters
from reelusher.net import Address, connect, spawn
from reelusher.wire import http1

PERIOD_S = 0.8
TIMEOUT_S = 1.0  # of one report
PATH = "/catalog/register/"


class Catalog:
    """Reports the state of the node, through outages of the catalog."""

    def __init__(self, address: Address, name: str, healthy: Callable[[], bool], counters: Counters) -> None:
        self._address = address
        self._path = PATH + quote(name, safe="")
        self._healthy = healthy
        self._counters = counters
        self._sock: socket.socket | None = None
        self._connected: Address | None = None  # where that leads
        self._stopped = threading.Event()
        self._failing = False

    def move(self, address: Address) -> None:
        """Report to another address from the next report on."""
        self._address = address

    def start(self) -> None:
        """Start to report."""
        spawn("catalog", self._report)

    def stop(self) -> None:
        """Report no more, so that the node comes off the list."""
        self._stopped.set()

    def _report(self) -> None:
        while not self._stopped.is_set():
            began = time.monotonic()
            try:
                self._put()
                self._counters.add("catalog.reports")
                if self._failing:
                    logger.info("catalog: it answers again")
                self._failing = False
            except (OSError, http1.Malformed) as error:
                self._drop()
                self._counters.add("catalog.failed")
                if not self._failing:
                    logger.warning("catalog: no report: {}", error)
                self._failing = True
            self._stopped.wait(max(0.05, PERIOD_S - (time.monotonic() - began)))
        self._drop()

    def _put(self) -> None:
        """Send one report; a kept connection that has gone stale is opened anew, once."""
        body = json.dumps({"status": "passing" if self._healthy() else "critical"},
                          separators=(",", ":")).encode()
        address = self._address
        if address != self._connected:
            self._drop()
        host = f"{address[0]}:{address[1]}"
        message = http1.request("PUT", self._path, body, {"Host": host, "Content-Type": "application/json"})
        kept = self._sock is not None
        try:
            self._exchange(address, message)
        except OSError:
            if not kept:
                raise
            self._drop()
            self._exchange(address, message)

    def _exchange(self, address: Address, message: bytes) -> None:
        if self._sock is None:
            self._sock, self._connected = connect(address, TIMEOUT_S), address
            self._sock.settimeout(TIMEOUT_S)
        self._sock.sendall(message)
        decoder = http1.Decoder()
        while data := self._sock.recv(1 << 12):
            for answer in decoder.feed(data):
                if answer.start[1] != "204":
                    raise OSError(f"answered {answer.start[1]}")
                if not answer.keeps_open:
                    self._drop()
                return
        raise OSError("closed before the answer")

    def _drop(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None
