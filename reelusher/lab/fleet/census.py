"""Polls nodes through their administration API for the members of the fleet that they consider live."""

import json
import socket
import threading
import time
from collections.abc import Callable

from reelusher.codecs import http1
from reelusher.config.checked_table import Address

RIG_ADMIN_TOKEN = "a-token-of-the-rig"
POLL_INTERVAL_S = 0.2
REPLY_TIMEOUT_S = 0.5
TARGET_POLLED_NODES = 20  # of a larger fleet, every n-th node is polled

Observation = tuple[float, str, frozenset[str]]  # when, by which node, and the members that it considers live


class MembershipObserver:
    """Records each node's view of the fleet, in a thread of its own so that polling doesn't delay the rig."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.admin_addresses: dict[str, Address] = {}
        self.observations: list[Observation] = []
        self._clock, self._stopped = clock, threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Begin to poll if there is a fleet."""
        if self.admin_addresses:
            step = max(1, len(self.admin_addresses) // TARGET_POLLED_NODES)
            polled = list(self.admin_addresses.items())[::step]
            self._thread = threading.Thread(target=self._poll, args=(polled,), daemon=True)
            self._thread.start()

    def stop(self, load_start_s: float) -> None:
        """Stop polling and make times relative to `load_start_s`; a second call has no effect."""
        if self._stopped.is_set():
            return
        self._stopped.set()
        if self._thread:
            self._thread.join()
        self.observations = [(at_s - load_start_s, name, live) for at_s, name, live in self.observations]

    def _poll(self, polled: list[tuple[str, Address]]) -> None:
        while not self._stopped.wait(POLL_INTERVAL_S):
            for name, address in polled:
                live = fetch_live_members(address)
                if live is not None:
                    self.observations.append((self._clock(), name, live))

    def latest_before(self, before_s: float) -> dict[str, frozenset[str]]:
        """Return the last view of each polled node before a time."""
        return {name: live for at_s, name, live in self.observations if at_s < before_s}

    def holds_since(self, after_s: float, condition: Callable[[str, frozenset[str]], bool]) -> float | None:
        """Return the time after `after_s` from which all recorded views meet a condition; None: never."""
        failed_s = [
            at_s for at_s, name, live in self.observations if at_s >= after_s and not condition(name, live)
        ]
        later_s = [at_s for at_s, _, _ in self.observations if at_s > max(failed_s, default=after_s)]
        return min(later_s) if later_s else None


def fetch_live_members(address: Address) -> frozenset[str] | None:
    """Return the names of the members that a node considers live; None if it doesn't answer in time."""
    deadline_s = time.monotonic() + REPLY_TIMEOUT_S
    try:
        with socket.create_connection(address, REPLY_TIMEOUT_S) as sock:
            sock.sendall(
                http1.request("GET", "/v1/fleet", headers={"Authorization": f"Bearer {RIG_ADMIN_TOKEN}"})
            )
            decoder = http1.Decoder()
            while data := sock.recv(1 << 16):
                for answer in decoder.feed(data):
                    status = json.loads(answer.body)
                    return frozenset(
                        [
                            status["own"]["name"],
                            *(
                                member["name"]
                                for member in status["members"]
                                if member["state"] in ("alive", "suspect")
                            ),
                        ]
                    )
                sock.settimeout(max(0.001, deadline_s - time.monotonic()))
    except (OSError, KeyError, ValueError, http1.MalformedHttpError):
        return None
    return None
