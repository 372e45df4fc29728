"""Membership by fleet size: traffic and processor time of a member, failure detection, and state sync."""

from functools import partial
from random import Random
from statistics import median

from msgspec.structs import replace

from reelusher.fleet.membership.authentication import MessageAuthenticator
from reelusher.fleet.membership.messages import (
    BucketsRequest,
    DigestReply,
    DigestRequest,
    MemberState,
    StateReply,
    StateRequest,
    Update,
)
from reelusher.fleet.membership.state_sync import SYNC_INTERVAL_S
from reelusher.fleet.membership.swim import Swim
from reelusher.lab.capacity.budgets import expected
from reelusher.lab.capacity.harness import Figures, Scale, cpu_us_per_call
from reelusher.lab.capacity.keys import allocated_bytes
from reelusher.lab.fleet.members import cost_at_rest, time_to_detect_death

DEATHS = 3  # of which the median detection time is measured


def _updates(size: int) -> list[Update]:
    return [
        Update(
            f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}:7946",
            f"node-{number}",
            f"zone-{number % 17}",
            f"region-{number % 7}",
            1_700_000_000_000 + number,
            MemberState.ALIVE,
        )
        for number in range(size)
    ]


def measure_rest(size: int) -> Figures:
    """Measure members at rest, and the time until 99 % of them know of a death."""
    sent, sent_bytes, core = cost_at_rest(size)
    return {
        "datagrams_per_s": sent,
        "bytes_per_s": sent_bytes,
        "core": core,
        "death_known_s": median(time_to_detect_death(size, seed) for seed in range(DEATHS)),
    }


def _sync_bytes(requester: Swim, other: Swim, authenticator: MessageAuthenticator) -> float:
    """Return the total size in bytes of the sealed messages of one state sync between two members."""
    request, digests = (
        DigestRequest(requester.own.address, requester.digest()),
        other.compare_digest(requester.digest()),
    )
    messages: list[object] = [request, DigestReply(digests)]
    if digests:
        buckets = requester.differing_buckets(digests)
        messages += [
            BucketsRequest(requester.own.address, buckets, requester.in_buckets(buckets)),
            StateReply(other.in_buckets(buckets)),
        ]
    return float(sum(len(authenticator.seal(message)) for message in messages))


def measure_state_sync(size: int) -> Figures:
    """Measure the full state of `size` members, a member table with it, and a state sync by digests."""
    updates = _updates(size)
    authenticator = MessageAuthenticator(b"a secret of sixteen", "lab", updates[0].address, 1)
    data = authenticator.seal(StateRequest(updates[0].address, updates))
    restarted = [*updates[:-1], replace(updates[-1], incarnation=updates[-1].incarnation + 1)]
    peers = [Swim(updates[1], Random(number), 0.0) for number in range(2)]
    for peer, peer_updates in zip(peers, (updates, restarted), strict=True):
        peer.merge(peer_updates, 0.0)

    def build_table() -> Swim:
        swim = Swim(updates[0], Random(1), 0.0)
        swim.merge(updates, 0.0)
        swim.gossip.broadcasts.clear()
        return swim

    def reply_with_state() -> None:
        authenticator.seal(StateReply(swim.full_state()))

    table_bytes, swim = allocated_bytes(build_table)
    return {
        "state_kb": len(data) / 1000,
        "table_kb": table_bytes / 1000,
        "equal_bytes_per_s": 2 * _sync_bytes(swim, peers[0], authenticator) / (sum(SYNC_INTERVAL_S) / 2),
        "restart_bytes_per_s": 2 * _sync_bytes(swim, peers[1], authenticator) / (sum(SYNC_INTERVAL_S) / 2),
        "give_ms": cpu_us_per_call(reply_with_state) / 1000,
        "merge_ms": cpu_us_per_call(lambda: swim.merge(updates, 0.0)) / 1000,
        "tick_us": cpu_us_per_call(lambda: swim.tick(0.0)),
    }


_OF = partial(Scale, size_unit="members", target=expected("nodes"))
SCALES = [
    _OF(
        "membership-rest",
        "members at rest on a virtual clock, no datagram lost",
        sizes=(200, 800, 1800, 3600),
        quick=(4, 6, 8, 10),
        measure=measure_rest,
        repeats=1,
        units={"datagrams_per_s": "/s", "bytes_per_s": "B/s", "core": "", "death_known_s": "s"},
        notes=(
            "core: the member's decisions and its seal; the sockets are not in it",
            "without the exchanges of states, which membership-states tells of",
        ),
    ),
    _OF(
        "membership-states",
        "the full state of a fleet, and an exchange by digests each 15 to 30 s",
        sizes=(200, 800, 1800, 3600),
        quick=(10, 20, 30, 40),
        measure=measure_state_sync,
        units={
            "state_kb": "KB",
            "table_kb": "KB",
            "equal_bytes_per_s": "B/s",
            "restart_bytes_per_s": "B/s",
            "give_ms": "ms",
            "merge_ms": "ms",
            "tick_us": "µs",
        },
        notes=(
            "bytes a second: sent and received, by one exchange of its own and one that another begins, "
            "each 22.5 s; equal: both know the same, restart: one restart apart",
        ),
    ),
]
