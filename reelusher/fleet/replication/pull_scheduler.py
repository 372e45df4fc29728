"""Decides when to pull and from which member: one pull at a time, own zone first, with backoff.

Members announce their version vectors; those that are ahead are candidates. A member that did not reply, or
whose reply brought nothing new, is avoided for a growing time. Any thread may call `observe`, `claimed` and
`alternatives`, which never wait for a disk; the thread that pulls calls everything else.
"""

import threading
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from random import Random
from typing import NamedTuple

from reelusher.fleet.replication.messages import (
    MAX_ALTERNATIVES,
    MAX_SEGMENT_BYTES,
    EntriesReply,
    EntriesRequest,
)
from reelusher.fleet.replication.positions import (
    Position,
    ReplicaPositions,
    is_valid_term,
    position_at,
)
from reelusher.pacing.backoff import Backoff

PULL_DELAY_S = 0.02, 0.15  # delay from the announcement that a member is ahead to the pull
MIN_PULL_INTERVAL_S = 0.1  # long enough that one pull brings many changes
BOOTSTRAP_SEGMENTS_PER_S = 5.0  # rate of full segments pulled; each takes 6 ms of a core
PULL_TIMEOUT_S = 5.0
RETRY_BACKOFF_S = 0.1, 5.0  # between pulls while no member that is ahead replies
AVOID_BACKOFF_S = 1.0, 30.0  # time during which a member is avoided
PEER_AHEAD_TTL_S = 30.0  # a member that is ahead is forgotten unless it announces again within this time
CLAIM_TTL_S = 30.0  # a claim is ignored unless it is announced again within this time
SAMPLED_PEERS = 3  # candidates drawn at random; the one furthest ahead is asked
MAX_PEERS_AHEAD = 32
MAX_PEERS_EQUAL = 16
PULL_INTERVAL_JITTER = 0.8, 1.2  # random factor of the interval between pulls


@dataclass(slots=True)
class PeerAhead:
    """A member whose vector is past this replica's."""

    zone: str
    vector: list[int]
    announced_s: float


class AvoidedPeer(NamedTuple):
    """A member from which this replica does not pull for a while."""

    until_s: float
    backoff: Backoff


class Claim(NamedTuple):
    """The furthest position that any member announced in a partition."""

    position: Position
    announced_s: float


@dataclass(slots=True, frozen=True)
class Pull:
    """A pull request in flight."""

    address: str
    request: EntriesRequest
    until_s: float  # when it counts as failed


class PullScheduler:
    """Schedules the pulls of one replica."""

    def __init__(self, own_address: str, positions: ReplicaPositions, random: Random, zone: str) -> None:
        self._own_address, self._positions, self._random, self._zone = own_address, positions, random, zone
        self._lock = threading.Lock()  # guards `peers_ahead`, `avoided` and the claims
        self.peers_ahead: dict[str, PeerAhead] = {}  # by address
        self.avoided: dict[str, AvoidedPeer] = {}  # by address
        self.peers_equal: deque[str] = deque(maxlen=MAX_PEERS_EQUAL)  # addresses
        self._claims: dict[str, Claim] = {}  # by partition
        self._backoff = Backoff(random, *RETRY_BACKOFF_S)
        self.in_flight: Pull | None = None
        self.due_s = inf

    # Announcements of members

    def observe(self, address: str, zone: str, vector: list[int], now: float) -> str:
        """Record the vector of a member; return "" or, if rejected, a suffix of a counter's name."""
        if vector == self._positions.announced:
            self.peers_equal.append(address)
            return ""
        if not self._positions.is_compatible(vector):
            return "control"
        if not self._positions.is_ahead(vector) or address == self._own_address:
            return ""
        if not all(is_valid_term(term, self._positions.control) for term in vector[1::2]):
            return "epoch"
        with self._lock:
            self.peers_ahead.pop(address, None)
            self.peers_ahead[address] = PeerAhead(zone, vector, now)
            if len(self.peers_ahead) > MAX_PEERS_AHEAD:
                del self.peers_ahead[next(iter(self.peers_ahead))]
            self._record_claims(vector, now)
        if self.due_s == inf:
            self.due_s = now + self._random.uniform(*PULL_DELAY_S)
        return ""

    def _record_claims(self, vector: Sequence[int], now: float) -> None:
        for ordinal, partition in enumerate(self._positions.control):
            position = position_at(vector, ordinal)
            claim = self._claims.get(partition)
            if claim is None or position >= claim.position or now - claim.announced_s > CLAIM_TTL_S:
                self._claims[partition] = Claim(position, now)

    def claimed(self, partition: str, now: float) -> Position | None:
        """Return the furthest position announced recently; None if it is not past the one announced here."""
        with self._lock:
            claim = self._claims.get(partition)
        state = self._positions.states[partition]
        if claim is None or now - claim.announced_s > CLAIM_TTL_S:
            return None
        return claim.position if claim.position > (state.term, state.announced_index) else None

    def alternatives(self, excluding: str) -> list[str]:
        """Return addresses of some members that are not behind this replica."""
        with self._lock:
            known = {*self.peers_equal.copy(), *self.peers_ahead} - {excluding}
        return self._random.sample(sorted(known), min(MAX_ALTERNATIVES, len(known)))

    # Pulls

    def next_due_s(self) -> float:
        """Return when to call `next_pull`; infinite while no member is known to be ahead."""
        return self.in_flight.until_s if self.in_flight else self.due_s

    def next_pull(self, now: float) -> Pull | None:
        """Return the pull that is due, or None while one is in flight or none is due.

        `Replica.apply_reply` or `failed` ends a pull; a pull past its time-out is ended here, as failed.
        """
        if self.in_flight is not None:
            if now < self.in_flight.until_s:
                return None
            self.failed(self.in_flight, now)
        if now < self.due_s:
            return None
        with self._lock:
            self._forget_outdated(now)
            address = self._choose_peer(now)
        if address is None:
            return None
        self.in_flight = Pull(address, self._request(), now + PULL_TIMEOUT_S)
        self.due_s = inf
        return self.in_flight

    def _forget_outdated(self, now: float) -> None:
        self.peers_ahead = {
            address: peer
            for address, peer in self.peers_ahead.items()
            if now - peer.announced_s < PEER_AHEAD_TTL_S and self._positions.is_ahead(peer.vector)
        }
        self.avoided = {
            address: avoided
            for address, avoided in self.avoided.items()
            if address in self.peers_ahead or now < avoided.until_s + AVOID_BACKOFF_S[1]
        }

    def _choose_peer(self, now: float) -> str | None:
        """Return the address of the member to pull from; None, with `due_s` set, if there is none now."""
        avoided_until_s = {
            address: avoided.until_s
            for address, avoided in self.avoided.items()
            if address in self.peers_ahead
        }
        candidates = [address for address in self.peers_ahead if now >= avoided_until_s.get(address, 0.0)]
        if not candidates:
            self.due_s = min(avoided_until_s.values(), default=inf)
            return None
        same_zone = [address for address in candidates if self.peers_ahead[address].zone == self._zone]
        preferred = same_zone or candidates
        sampled = self._random.sample(preferred, min(SAMPLED_PEERS, len(preferred)))
        return max(sampled, key=lambda address: self._positions.gain(self.peers_ahead[address].vector))

    def _request(self) -> EntriesRequest:
        states = [self._positions.states[partition] for partition in self._positions.control]
        vector = [self._positions.digest]
        for state in states:
            vector += state.term, state.since
        covered = [state.covered if state.since else 0 for state in states]
        return EntriesRequest(self._own_address, self._positions.digest, vector, covered)

    def failed(self, pull: Pull, now: float) -> None:
        """End a pull that got no reply, or whose reply could not be applied."""
        if self.end(pull):
            self._avoid(pull.address, now)
            self.retry_later(now)

    def end(self, pull: Pull) -> bool:
        """End a pull; return whether it was still in flight."""
        if self.in_flight is not pull:
            return False
        self.in_flight = None
        return True

    def retry_later(self, now: float) -> None:
        """Schedule the next pull after a failure."""
        self.due_s = now + self._backoff.next_s()

    def _avoid(self, address: str, now: float) -> None:
        with self._lock:
            avoided = self.avoided.get(address)
            backoff = avoided.backoff if avoided else Backoff(self._random, *AVOID_BACKOFF_S)
            self.avoided[address] = AvoidedPeer(now + backoff.next_s(), backoff)

    def reply_applied(self, pull: Pull, reply: EntriesReply, useful: bool, now: float) -> None:
        """Schedule the next pull after a reply. `useful`: the reply advanced this replica."""
        if useful:
            self._backoff.reset()
            with self._lock:
                self.avoided.pop(pull.address, None)
        else:
            self._record_alternatives(pull, reply, now)
            self._avoid(pull.address, now)
        if self._more_to_pull(reply):
            # paced by bytes, not by segments: one change in each of several partitions is not a bootstrap
            size = sum(entry.size for segment in reply.segments for entry in segment.entries)
            segments = size / MAX_SEGMENT_BYTES
            paced_s = max(MIN_PULL_INTERVAL_S, segments / BOOTSTRAP_SEGMENTS_PER_S)
            wait_s = paced_s if useful else self._backoff.next_s()
            self.due_s = now + wait_s * self._random.uniform(*PULL_INTERVAL_JITTER)

    def _more_to_pull(self, reply: EntriesReply) -> bool:
        with self._lock:
            behind = any(self._positions.is_ahead(peer.vector) for peer in self.peers_ahead.values())
        return behind or any(segment.more for segment in reply.segments)

    def _record_alternatives(self, pull: Pull, reply: EntriesReply, now: float) -> None:
        """Add the alternatives named by a member at its rate limit, with the vector of that member."""
        with self._lock:
            peer = self.peers_ahead.get(pull.address)
            if peer is None:
                return
            for address in reply.alternatives:
                known = address in self.peers_ahead or address == self._own_address
                if not known and len(self.peers_ahead) < MAX_PEERS_AHEAD:
                    self.peers_ahead[address] = PeerAhead("", peer.vector, now)
