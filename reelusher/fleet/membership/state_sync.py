"""Anti-entropy over TCP: joining through a seed, and comparing states with random members."""

import threading
import time
from collections.abc import Callable
from random import Random

from loguru import logger

from reelusher.core.counters import Counters
from reelusher.fleet.membership.messages import (
    BUCKET_COUNT,
    BucketsRequest,
    DigestReply,
    DigestRequest,
    StateReply,
    StateRequest,
    Update,
)
from reelusher.fleet.membership.requests import RequestChannel
from reelusher.fleet.membership.swim import StepResult, Swim
from reelusher.pacing.backoff import Backoff
from reelusher.pacing.token_bucket import TokenBucket

# rate and burst of states sent in reply; past these, requesters are redirected to other members
STATE_REPLIES_PER_S, STATE_REPLY_BURST = 10.0, 10.0
ALTERNATIVES = 5  # members that a requester is redirected to
JOIN_BACKOFF_BASE_S, JOIN_BACKOFF_CAP_S = 0.2, 3.0
MIN_REDIRECT_PAUSE_S = 0.05  # before the next attempt to join, after a redirect
FULL_STATE_FRACTION = 0.25  # part of comparisons without digests that lead to an exchange of full states
SYNC_INTERVAL_S = 15.0, 30.0  # between comparisons with a random member, which repair losses of gossip
# after joining: if many members join at once, each knows only some of the others
FIRST_SYNC_DELAY_S = 0.5, 3.0
SYNC_PAUSE_S = 0.5, 1.5  # after each comparison
MAX_EARLY_JOINERS = 64  # early joiners that a member compares states with once it has joined itself
# Probability that a seed that is not live is chosen, multiplied by the fleet size. All members together thus
# try about this many such seeds in each sync interval.
LOST_SEED_WEIGHT = 3


class StateSync:
    """Exchanges states with other members, in a thread of its own."""

    def __init__(
        self,
        swim: Swim,
        lock: threading.Lock,
        channel: RequestChannel,
        seeds: list[str],
        random: Random,
        counters: Counters,
        deliver: Callable[[StepResult], None],
    ) -> None:
        """`lock` guards `swim`; `deliver` sends the datagrams of a merge and logs its changes."""
        self._swim, self._lock, self._channel, self._seeds = swim, lock, channel, seeds
        self._random, self._counters, self._deliver = random, counters, deliver
        self.state_reply_limiter = TokenBucket(STATE_REPLIES_PER_S, STATE_REPLY_BURST, time.monotonic())
        self.joined = not seeds
        self._early_joiners: dict[str, None] = {}  # joined through this member before it has joined itself
        self._stop = threading.Event()
        self._wake = threading.Event()
        channel.handlers[StateRequest] = self._on_state_request
        channel.handlers[DigestRequest] = self._on_digest_request
        channel.handlers[BucketsRequest] = self._on_buckets_request

    def close(self) -> None:
        """End the thread."""
        self._stop.set()
        self._wake.set()

    def wake(self) -> None:
        """Have the thread exchange states with a member in `swim.sync_with` at once."""
        self._wake.set()

    def run(self) -> None:
        """Join, then compare states periodically, and at once with members that turned out to be alive."""
        self._join()
        self._compare_with_early_joiners()
        due_s = time.monotonic() + self._random.uniform(*FIRST_SYNC_DELAY_S)
        while not self._stop.is_set():
            self._wake.wait(max(0.0, due_s - time.monotonic()))
            self._wake.clear()
            if self._stop.is_set():
                return
            with self._lock:
                partners = [self._swim.sync_with.pop()] if self._swim.sync_with else []
                self._swim.sync_with.clear()
                if not partners and time.monotonic() >= due_s:
                    partners = self._random_partner()
                    due_s = time.monotonic() + self._random.uniform(*SYNC_INTERVAL_S)
            for address in partners:
                self.compare(address)
                self._stop.wait(self._random.uniform(*SYNC_PAUSE_S))

    def _join(self) -> None:
        backoff = Backoff(self._random, JOIN_BACKOFF_BASE_S, JOIN_BACKOFF_CAP_S)
        alternatives: list[str] = []
        while not self.joined and not self._stop.is_set():
            address = self._random.choice(alternatives or self._seeds)
            reply = self.exchange(address)
            alternatives = reply.alternatives if reply else []
            if reply and not alternatives:
                self.joined = True
                with self._lock:
                    fleet_size = self._swim.table.fleet_size()
                logger.info("fleet: joined through {}, {} live", address, fleet_size)
            elif reply:
                self._stop.wait(self._random.uniform(MIN_REDIRECT_PAUSE_S, JOIN_BACKOFF_BASE_S))
            else:
                self._counters.warn(
                    "fleet.unjoined", "fleet: joining through {} failed, serving alone", address
                )
                self._stop.wait(backoff.next_s())

    def _compare_with_early_joiners(self) -> None:
        """Bring those up to date that joined through this member before it knew the fleet.

        Gossip alone may miss them: the fleet knows its members already, so only this one still sends news of
        them, a few times and to random recipients.
        """
        with self._lock:
            joiners = list(self._early_joiners)
        for address in joiners:
            if self._stop.is_set():
                return
            self.compare(address)

    def _random_partner(self) -> list[str]:
        """Return a member to compare states with, if any; now and then a seed that is not live."""
        live = set(self._swim.table.live())
        lost_seeds = [seed for seed in self._seeds if seed not in live]
        if lost_seeds and self._random.random() < LOST_SEED_WEIGHT / (1 + len(live)):
            return [self._random.choice(lost_seeds)]
        return self._swim.table.sample(1)

    def compare(self, address: str) -> None:
        """Compare digests with a member, and exchange the buckets that differ."""
        with self._lock:
            request = DigestRequest(self._swim.own.address, self._swim.digest())
        reply = self._channel.request(address, request, DigestReply)
        if reply is None or len(reply.digests) not in (0, BUCKET_COUNT):
            # The member is down or busy, or its version has no digests or different ones. Only some members
            # then ask for its full state, so that not all do so at once.
            if self._random.random() < FULL_STATE_FRACTION:
                self.exchange(address)
            return
        if not reply.digests:
            return
        with self._lock:
            buckets = self._swim.differing_buckets(reply.digests)
            updates = self._swim.in_buckets(buckets)
        if buckets:
            buckets_request = BucketsRequest(request.sender, buckets, updates)
            self._merge(self._channel.request(address, buckets_request, StateReply))

    def exchange(self, address: str) -> StateReply | None:
        """Exchange full states with a member; return None if it does not reply."""
        with self._lock:
            # before it has joined, a member knows only others that its seeds know already, and its joiners
            knows_more = self.joined or bool(self._early_joiners)
            updates = self._swim.full_state() if knows_more else [self._swim.own]
            request = StateRequest(self._swim.own.address, updates)
        return self._merge(self._channel.request(address, request, StateReply))

    def _merge(self, reply: StateReply | None) -> StateReply | None:
        if reply is not None:
            with self._lock:
                result = self._merge_updates(reply.updates, time.monotonic())
            self._deliver(result)
        return reply

    def _merge_updates(self, updates: list[Update], now: float) -> StepResult:
        if self.joined:
            return self._swim.merge(updates, now)
        return self._swim.join(updates, now, bool(self._early_joiners))

    # Requests of other members

    def _on_state_request(self, request: StateRequest) -> StateReply:
        with self._lock:
            if not self.joined and len(self._early_joiners) < MAX_EARLY_JOINERS:
                self._early_joiners[request.sender] = None
        return self._reply_with(request, self._swim.full_state)

    def _on_buckets_request(self, request: BucketsRequest) -> StateReply:
        return self._reply_with(request, lambda: self._swim.in_buckets(request.buckets))

    def _reply_with(
        self, request: StateRequest | BucketsRequest, requested_state: Callable[[], list[Update]]
    ) -> StateReply:
        """Merge the requester's state, and reply with the state requested, or with other members to ask."""
        now = time.monotonic()
        with self._lock:
            result = self._swim.merge(request.updates, now)
            allowed = self.state_reply_limiter.try_take(now)
            if allowed:
                reply = StateReply(requested_state())
            else:
                alternatives = self._swim.table.sample(ALTERNATIVES, request.sender)
                reply = StateReply([self._swim.own], alternatives)
        self._counters.add("fleet.states_given" if allowed else "fleet.states_denied")
        self._deliver(result)
        return reply

    def _on_digest_request(self, request: DigestRequest) -> DigestReply:
        with self._lock:
            reply = DigestReply(self._swim.compare_digest(request.digest))
        self._counters.add("fleet.states_differ" if reply.digests else "fleet.states_equal")
        return reply
