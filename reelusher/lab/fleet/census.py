"""Asks nodes again and again whom they count as live, through their administration API."""

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
MAX_POLLED_NODES = 20  # nodes; of more, some are asked

Observation = tuple[float, str, frozenset[str]]  # when, who, and whom it counts as live


class MembershipObserver:
    """Looks at nodes' views of their fleet in a thread of its own, so that the rig is not late for it."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.admin_addresses: dict[str, Address] = {}
        self.observations: list[Observation] = []
        self._clock, self._stopped = clock, threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Begin to ask, where there is a fleet."""
        if self.admin_addresses:
            step = max(1, len(self.admin_addresses) // MAX_POLLED_NODES)
            polled = list(self.admin_addresses.items())[::step]
            self._thread = threading.Thread(target=self._poll, args=(polled,), daemon=True)
            self._thread.start()

    def stop(self, zero_s: float) -> None:
        """Ask no more, and count times from the one given; a second call changes nothing."""
        if self._stopped.is_set():
            return
        self._stopped.set()
        if self._thread:
            self._thread.join()
        self.observations = [(at_s - zero_s, name, live) for at_s, name, live in self.observations]

    def _poll(self, polled: list[tuple[str, Address]]) -> None:
        while not self._stopped.wait(POLL_INTERVAL_S):
            for name, address in polled:
                live = fetch_live_members(address)
                if live is not None:
                    self.observations.append((self._clock(), name, live))

    def latest_before(self, before_s: float) -> dict[str, frozenset[str]]:
        """Return what each node that was asked said last before a time."""
        return {name: live for at_s, name, live in self.observations if at_s < before_s}

    def holds_since(self, after_s: float, condition: Callable[[str, frozenset[str]], bool]) -> float | None:
        """Return when, after a time, what a node says came to hold of all that were asked, and stayed so."""
        failed_s = [
            at_s for at_s, name, live in self.observations if at_s >= after_s and not condition(name, live)
        ]
        later_s = [at_s for at_s, _, _ in self.observations if at_s > max(failed_s, default=after_s)]
        return min(later_s) if later_s else None


def fetch_live_members(address: Address) -> frozenset[str] | None:
    """Return the names that a node counts as live; None where it does not answer."""
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
