"""Asks warm members once a node has joined. Nothing waits for it: who learns nothing starts blind."""

import threading
import time
from collections.abc import Callable
from random import Random

from loguru import logger

from reelusher.core.counters import Counters
from reelusher.fleet.membership.messages import Observation, ObservationsReply, ObservationsRequest
from reelusher.fleet.membership.service import Membership
from reelusher.fleet.warm_start.facts import DONORS, donors, weighed
from reelusher.net.threads import start_thread

JOINED_S = 10.0  # beyond which there is nobody to learn from
LOOK_S = 0.05
MOST_ASKED = 6  # members, cold ones and those that don't answer among them


class WarmStartClient:
    """What one node learns at its start."""

    def __init__(
        self,
        members: Membership,
        random: Random,
        counters: Counters,
        take: Callable[[dict[str, float]], None],
    ) -> None:
        """`take` is told what is believed, by what it is about, in a thread of this one's."""
        self._members, self._random, self._counters, self._take = members, random, counters, take
        self._stop = threading.Event()

    def start(self) -> None:
        """Begin to ask."""
        start_thread("learning", self._learn)

    def close(self) -> None:
        """Ask no more."""
        self._stop.set()

    def _learn(self) -> None:
        until = time.monotonic() + JOINED_S
        while not self._members.joined and time.monotonic() < until:
            if self._stop.wait(LOOK_S):
                return
        own, *others = self._members.live()
        told: list[list[Observation]] = []
        for place in donors(own.address, [member.address for member in others], MOST_ASKED):
            if self._stop.is_set() or len(told) == DONORS:
                break
            reply = self._members.request(place, ObservationsRequest(own.address), ObservationsReply)
            if reply is None or not reply.warm:
                self._counters.add("learning.nothing_told")
                continue
            told.append(reply.observations)
        known = weighed(told, time.time())
        if known:
            self._take(known)
        self._counters.add("learning.believed", len(known))  # last: whoever counts on it finds all taken
        logger.info("learning: {} of {} members told, {} facts believed", len(told), len(others), len(known))
