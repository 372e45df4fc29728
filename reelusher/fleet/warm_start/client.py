"""Asks warm members for their observations once the node has joined. Requests are served meanwhile."""

import threading
import time
from collections.abc import Callable
from random import Random

from loguru import logger

from reelusher.core.counters import Counters
from reelusher.fleet.membership.messages import Observation, ObservationsReply, ObservationsRequest
from reelusher.fleet.membership.service import Membership
from reelusher.fleet.warm_start.observations import DONOR_COUNT, combine, select_donors
from reelusher.net.threads import start_thread

JOIN_TIMEOUT_S = 10.0  # after which only the members that are known by then are asked
JOIN_POLL_S = 0.05
MAX_MEMBERS_ASKED = 6  # including cold ones and those that don't reply


class WarmStartClient:
    """Collects the observations of warm members for one node at its start."""

    def __init__(
        self,
        membership: Membership,
        random: Random,
        counters: Counters,
        apply: Callable[[dict[str, float]], None],
    ) -> None:
        """`apply` is called with the values by subject, in the thread of this client."""
        self._membership, self._random, self._counters, self._apply = membership, random, counters, apply
        self._stop = threading.Event()

    def start(self) -> None:
        """Start the thread that asks for observations."""
        start_thread("warm-start", self._run)

    def close(self) -> None:
        """Ask no further members."""
        self._stop.set()

    def _run(self) -> None:
        if not self._wait_until_joined():
            return
        own, *others = self._membership.live()
        reports = self._collect(own.address, [member.address for member in others])
        values = combine(reports, time.time())
        if values:
            self._apply(values)
        self._counters.add("learning.believed", len(values))  # counted last, when all values are applied
        logger.info(
            "warm start: {} of {} members reported, {} values used", len(reports), len(others), len(values)
        )

    def _wait_until_joined(self) -> bool:
        """Wait for the node to join, or for the time-out; return False if the node is closed meanwhile."""
        until = time.monotonic() + JOIN_TIMEOUT_S
        while not self._membership.joined and time.monotonic() < until:
            if self._stop.wait(JOIN_POLL_S):
                return False
        return True

    def _collect(self, own_address: str, others: list[str]) -> list[list[Observation]]:
        """Return the observations of up to `DONOR_COUNT` warm members."""
        reports: list[list[Observation]] = []
        for address in select_donors(own_address, others, MAX_MEMBERS_ASKED):
            if self._stop.is_set() or len(reports) == DONOR_COUNT:
                break
            reply = self._membership.request(address, ObservationsRequest(own_address), ObservationsReply)
            if reply is None or not reply.warm:
                self._counters.add("learning.nothing_told")
                continue
            reports.append(reply.observations)
        return reports
