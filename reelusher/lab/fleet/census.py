"""Asks nodes again and again whom they count as live, through their administration API."""

import json
import socket
import threading
import time
from collections.abc import Callable

from reelusher.codecs import http1
from reelusher.config.checked_table import Address

RIG_ADMIN_TOKEN = "a-token-of-the-rig"
EVERY_S = 0.2
ANSWER_S = 0.5
MOST_ASKED = 20  # nodes; of more, some are asked

Look = tuple[float, str, frozenset[str]]  # when, who, and whom it counts as live


class Census:
    """Looks at nodes' views of their fleet in a thread of its own, so that the rig is not late for it."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.places: dict[str, Address] = {}
        self.looks: list[Look] = []
        self._clock, self._over = clock, threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Begin to ask, where there is a fleet."""
        if self.places:
            step = max(1, len(self.places) // MOST_ASKED)
            asked = list(self.places.items())[::step]
            self._thread = threading.Thread(target=self._work, args=(asked,), daemon=True)
            self._thread.start()

    def stop(self, zero_s: float) -> None:
        """Ask no more, and count times from the one given; a second call changes nothing."""
        if self._over.is_set():
            return
        self._over.set()
        if self._thread:
            self._thread.join()
        self.looks = [(at_s - zero_s, name, live) for at_s, name, live in self.looks]

    def _work(self, asked: list[tuple[str, Address]]) -> None:
        while not self._over.wait(EVERY_S):
            for name, place in asked:
                live = ask(place)
                if live is not None:
                    self.looks.append((self._clock(), name, live))

    def newest(self, until_s: float) -> dict[str, frozenset[str]]:
        """Return what each node that was asked said last before a time."""
        return {name: live for at_s, name, live in self.looks if at_s < until_s}

    def since(self, after_s: float, holds: Callable[[str, frozenset[str]], bool]) -> float | None:
        """Return when, after a time, what a node says came to hold of all that were asked, and stayed so."""
        wrong = [at_s for at_s, name, live in self.looks if at_s >= after_s and not holds(name, live)]
        later = [at_s for at_s, _, _ in self.looks if at_s > max(wrong, default=after_s)]
        return min(later) if later else None


def ask(place: Address) -> frozenset[str] | None:
    """Return the names that a node counts as live; None where it does not answer."""
    until = time.monotonic() + ANSWER_S
    try:
        with socket.create_connection(place, ANSWER_S) as sock:
            sock.sendall(
                http1.request("GET", "/v1/fleet", headers={"Authorization": f"Bearer {RIG_ADMIN_TOKEN}"})
            )
            decoder = http1.Decoder()
            while data := sock.recv(1 << 16):
                for answer in decoder.feed(data):
                    told = json.loads(answer.body)
                    return frozenset(
                        [
                            told["own"]["name"],
                            *(one["name"] for one in told["members"] if one["state"] in ("alive", "suspect")),
                        ]
                    )
                sock.settimeout(max(0.001, until - time.monotonic()))
    except (OSError, KeyError, ValueError, http1.MalformedHttpError):
        return None
    return None
