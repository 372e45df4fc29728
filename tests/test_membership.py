"""Membership: merging updates, failure detection, rejected messages, and nodes on real sockets."""

import json
import socket
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from hashlib import blake2b
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
from helpers import wait_until
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from reelusher.config import ConfigError
from reelusher.config.operator.fleet import Fleet
from reelusher.core.counters import Counters
from reelusher.fleet.membership import requests, state_sync
from reelusher.fleet.membership.authentication import (
    DIGEST_BYTES,
    REPLAY_WINDOW_SIZE,
    MessageAuthenticator,
    RejectedMessageError,
    ReplayWindow,
)
from reelusher.fleet.membership.failure_detector import (
    ACK_TIMEOUT_RTT_MULTIPLE,
    MIN_ACK_TIMEOUT_S,
    PROBE_PERIOD_S,
)
from reelusher.fleet.membership.gossip import BroadcastQueue
from reelusher.fleet.membership.member_table import DEAD_TTL_S, MAX_DEAD, MAX_MEMBERS, MemberTable, bucket_of
from reelusher.fleet.membership.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_VECTOR_LENGTH,
    BucketsRequest,
    Datagram,
    DatagramKind,
    DigestRequest,
    MemberState,
    StateReply,
    StateRequest,
    Update,
)
from reelusher.fleet.membership.requests import MemberUnreachableError, NoReplyError
from reelusher.fleet.membership.service import Membership, read_secret
from reelusher.fleet.membership.swim import REJOIN_DISTRUST_S, Swim
from reelusher.lab.fleet.members import SimulatedFleet, split_off, time_to_detect_death, time_to_heal
from reelusher.pacing.token_bucket import TokenBucket

SECRET = b"a secret of sixteen or more"


def make_update(
    number: int, incarnation: int = 1, state: MemberState = MemberState.ALIVE, accuser: str = ""
) -> Update:
    return Update(f"127.0.0.1:{number}", f"n{number}", "z", "r", incarnation, state, accuser)


UPDATES = st.builds(make_update, st.integers(1, 3), st.integers(0, 3), st.sampled_from(MemberState))


# Merging of updates


@given(st.lists(UPDATES, max_size=30), st.randoms(use_true_random=False))
def test_table_is_the_same_for_any_order_and_repetition_of_updates(
    updates: list[Update], random: Any
) -> None:
    def states_after(order: list[Update]) -> dict[str, tuple[int, MemberState]]:
        table = MemberTable(Random(1))
        for update in order:
            table.apply(update, 0.0)
        return {
            address: (member.update.incarnation, member.update.state)
            for address, member in table.members.items()
        }

    reordered = updates + updates[:5]
    random.shuffle(reordered)
    assert states_after(updates) == states_after(reordered)


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(0, 3 * REPLAY_WINDOW_SIZE)), max_size=200))
def test_replay_window_accepts_a_number_once_and_none_that_is_too_old(
    received: list[tuple[int, int]],
) -> None:
    window, accepted = ReplayWindow(), set[tuple[int, int]]()
    for incarnation, number in received:
        newest = max(accepted, default=(0, 0))
        if window.accept("x", incarnation, number):
            assert (incarnation, number) not in accepted
            assert incarnation >= newest[0]
            assert incarnation > newest[0] or number > newest[1] - REPLAY_WINDOW_SIZE
            accepted.add((incarnation, number))


@given(st.lists(st.tuples(UPDATES, st.booleans()), max_size=60))
def test_derived_data_of_the_table_match_its_entries_after_each_change(
    steps: list[tuple[Update, bool]],
) -> None:
    table = MemberTable(Random(1))
    for step, (update, expire) in enumerate(steps):
        table.apply(update, float(step))
        if expire:
            table.drop_expired(step + DEAD_TTL_S - 5)
        members = table.members.values()
        live = {member.update.address for member in members if member.is_live}
        assert sorted(table.live()) == sorted(live)
        assert table.live_count() == len(live)
        assert sorted(table.dead) == sorted(
            member.update.address for member in members if member.update.state is MemberState.DEAD
        )
        rebuilt = MemberTable(Random(2))
        for member in members:
            rebuilt.apply(member.update, 0.0)
        assert table.digests == rebuilt.digests
        assert {table.next_target() for _ in range(2 * len(live))} == live
        assert set(table.sample(9)) == live
        assert len(table.sample(2)) == min(2, len(live))
        assert "127.0.0.1:1" not in table.sample(9, "127.0.0.1:1")


def test_largest_fleet_fits_and_live_members_replace_dead_ones_in_a_full_table() -> None:
    table = MemberTable(Random(1))
    for number in range(3600 + MAX_DEAD):
        table.apply(
            make_update(number, 1, MemberState.ALIVE if number < 3600 else MemberState.DEAD), float(number)
        )
    assert table.live_count() == 3600
    assert len(table.dead) == MAX_DEAD
    assert not table.rejected
    for number in range(10_000, 10_000 + MAX_MEMBERS - 3600 - MAX_DEAD):
        table.apply(make_update(number, 1, MemberState.LEFT), 9000.0)
    assert len(table.members) == MAX_MEMBERS
    assert not table.rejected
    assert table.apply(make_update(1, 1, MemberState.DEAD), 9001.0) is not None  # known before
    for number, state, rejected in [
        (20_000, MemberState.DEAD, 1),
        (20_001, MemberState.ALIVE, 1),
        (20_002, MemberState.LEFT, 2),
    ]:
        assert (table.apply(make_update(number, 1, state), 9001.0) is None) is (
            state is not MemberState.ALIVE
        )
        assert table.rejected == rejected
    assert len(table.members) == MAX_MEMBERS
    assert make_update(3600).address not in table.members


def calls_per_datagram(size: int) -> float:
    """Return the profiler events (calls and returns) per datagram in a fleet of `size` with one suspect."""
    swim = Swim(make_update(1), Random(1), 0.0)
    swim.merge([make_update(number) for number in range(2, size + 1)], 0.0)
    swim.gossip.broadcasts.clear()
    calls = datagrams = 0

    def count(*_: Any) -> None:
        nonlocal calls
        calls += 1

    sys.setprofile(count)
    for step in range(1, 200):
        now = step / 10
        for _, message in swim.tick(now).datagrams:
            datagrams += 1
            swim.receive(Datagram(DatagramKind.ACK, "127.0.0.1:2", message.seq), now)
        swim.receive(
            Datagram(
                DatagramKind.PING,
                "127.0.0.1:3",
                updates=[make_update(4, step, MemberState.SUSPECT, "127.0.0.1:5")] if not step % 10 else [],
            ),
            now,
        )
        swim.next_tick_s()
        datagrams += 2
    sys.setprofile(None)
    return calls / datagrams


def test_cost_of_a_datagram_does_not_grow_with_the_fleet() -> None:
    # an update is sent 28 times in the large fleet, and 13 times in the small one
    assert calls_per_datagram(3600) < 3 * calls_per_datagram(16)


def test_member_refutes_its_death_unless_it_has_left() -> None:
    swim = Swim(make_update(1), Random(1), 0.0)
    swim.receive(
        Datagram(DatagramKind.GOSSIP, "127.0.0.1:2", updates=[make_update(1, 5, MemberState.DEAD)]), 0.1
    )
    assert swim.own.incarnation == 6
    assert swim.detector.local_health.score == 1
    swim.leave()
    swim.receive(
        Datagram(DatagramKind.GOSSIP, "127.0.0.1:2", updates=[make_update(1, 9, MemberState.DEAD)]), 0.2
    )
    assert (swim.own.incarnation, swim.own.state) == (6, MemberState.LEFT)


def test_joining_member_broadcasts_only_what_the_received_state_lacks() -> None:
    swim = Swim(make_update(1), Random(1), 0.0)
    swim.merge([make_update(2), make_update(4, 2)], 0.0)  # these members joined through this one
    swim.join([make_update(3), make_update(4, 1), make_update(5)], 0.1)
    broadcast = {update for _, message in swim.tick(0.5).datagrams for update in message.updates}
    assert {make_update(1), make_update(2), make_update(4, 2)} <= broadcast
    assert not broadcast & {make_update(3), make_update(4, 1), make_update(5)}


def test_merge_notifies_a_live_member_of_its_death_instead_of_applying_it() -> None:
    swim = Swim(make_update(1), Random(1), 0.0)
    swim.merge([make_update(2), make_update(3)], 0.0)
    swim.merge([make_update(2, 1, MemberState.DEAD), make_update(4, 1, MemberState.DEAD)], 0.1)
    states = {address[-1]: member.update.state for address, member in swim.table.members.items()}
    assert states == {"2": MemberState.ALIVE, "3": MemberState.ALIVE, "4": MemberState.DEAD}
    sent_to_subject = [
        message.updates for address, message in swim.tick(0.5).datagrams if address == "127.0.0.1:2"
    ]
    assert [make_update(2, 1, MemberState.DEAD)] in sent_to_subject


def test_joining_member_broadcasts_itself_and_not_the_received_members() -> None:
    swim = Swim(make_update(1), Random(1), 0.0)
    swim.join([make_update(number) for number in range(2, 500)], 0.0)
    assert swim.table.fleet_size() == 499
    sent = [message for step in range(1, 100) for _, message in swim.tick(step / 10).datagrams]
    broadcast = [update for message in sent for update in message.updates]
    assert make_update(1) in broadcast
    # received members may be broadcast as suspects
    assert not [
        update for update in broadcast if update != make_update(1) and update.state is MemberState.ALIVE
    ]


def test_each_datagram_carries_the_vector_and_received_ones_are_passed_on() -> None:
    swim, received = Swim(make_update(1), Random(1), 0.0), list[tuple[str, list[int], float]]()
    swim.merge([make_update(2)], 0.0)
    swim.gossip.vector = lambda: [7, 1, 40]
    swim.on_vector = lambda *args: received.append(args)
    datagrams = swim.tick(0.5).datagrams + swim.ping("127.0.0.1:2").datagrams + swim.leave().datagrams
    assert {message.kind for _, message in datagrams} == {DatagramKind.PING, DatagramKind.GOSSIP}
    assert all(message.vector == [7, 1, 40] for _, message in datagrams)
    other = Swim(make_update(2), Random(2), 0.0)
    other.on_vector = lambda *args: received.append(args)
    acks = other.receive(swim.ping("127.0.0.1:2").datagrams[0][1], 0.25).datagrams
    assert [(recipient, message.kind, message.vector) for recipient, message in acks] == [
        ("127.0.0.1:1", DatagramKind.ACK, [])
    ]
    assert received == [("127.0.0.1:1", [7, 1, 40], 0.25)]
    swim.receive(acks[0][1], 0.3)
    assert len(received) == 1  # a datagram without a vector is not passed on


def test_unanswered_ping_beside_the_probes_accuses_nobody() -> None:
    swim = Swim(make_update(1), Random(1), 0.0)
    swim.merge([make_update(2)], 0.0)
    swim.ping("127.0.0.1:2")
    assert swim.detector.local_health.score == 0
    assert swim.table.members["127.0.0.1:2"].update.state is MemberState.ALIVE


def test_older_node_reads_a_datagram_with_a_vector() -> None:
    class OlderDatagram(msgspec.Struct, array_like=True, frozen=True):
        kind: DatagramKind
        sender: str
        seq: int = 0
        target: str = ""
        updates: list[Update] = []

    message = Datagram(DatagramKind.PING, "127.0.0.1:1", 3, updates=[make_update(2)], vector=[1, 2])
    data = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(data, type=OlderDatagram) == OlderDatagram(
        DatagramKind.PING, "127.0.0.1:1", 3, "", [make_update(2)]
    )
    older_data = msgspec.msgpack.encode(OlderDatagram(DatagramKind.PING, "127.0.0.1:1"))
    assert msgspec.msgpack.decode(older_data, type=Datagram).vector == []
    too_long = msgspec.msgpack.encode(Datagram(DatagramKind.PING, "x", vector=[0] * (MAX_VECTOR_LENGTH + 1)))
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(too_long, type=Datagram)


@given(
    st.lists(st.tuples(*[st.text(max_size=64)] * 3, st.integers(0, (1 << 63) - 1)), max_size=30),
    st.lists(st.integers(0, (1 << 63) - 1), max_size=MAX_VECTOR_LENGTH),
    st.text(max_size=64),
)
@settings(max_examples=150)
def test_vector_never_makes_a_datagram_too_large(
    members: list[tuple[str, str, str, int]], vector: list[int], fleet: str
) -> None:
    own = Update("1" * 58 + ":65535", "n" * 64, "z" * 64, "r" * 64, 1, MemberState.ALIVE)
    swim = Swim(own, Random(1), 0.0)
    swim.gossip.vector = lambda: vector
    sealer = MessageAuthenticator(SECRET, fleet, own.address, (1 << 62))
    swim.merge(
        [
            Update(f"{number:058}:65535", name, zone, region, incarnation, MemberState.ALIVE)
            for number, (name, zone, region, incarnation) in enumerate(members)
        ],
        0.0,
    )
    for step in range(1, 60):
        for _, message in swim.tick(step / 10).datagrams:
            size_without_vector = len(sealer.seal(replace(message, vector=[])))
            assert len(sealer.seal(message)) <= max(MAX_DATAGRAM_BYTES, size_without_vector)
            # a single update exceeds the limit only with the longest names, of four bytes per character
            assert size_without_vector <= MAX_DATAGRAM_BYTES or len(message.updates) == 1


# Digests


def swim_knowing(number: int, updates: list[Update]) -> Swim:
    """Return a member that has applied these updates and has nothing to broadcast."""
    swim = Swim(make_update(number), Random(number), 0.0)
    for update in updates:
        if update.address != swim.own.address:
            swim.table.apply(update, 0.0)
    swim.gossip.broadcasts.clear()
    return swim


def view_of(swim: Swim) -> tuple[dict[str, int], set[Update]]:
    """Return the incarnations of the live members, and the notices to be sent."""
    live = {address: swim.table.members[address].update.incarnation for address in swim.table.live()}
    return live | {swim.own.address: swim.own.incarnation}, set(swim.gossip.notices)


# No suspicions: digests do not cover them, since they end by themselves within seconds.
VIEWS = st.lists(
    st.builds(
        make_update,
        st.integers(1, 9),
        st.integers(0, 2),
        st.sampled_from([MemberState.ALIVE, MemberState.DEAD, MemberState.LEFT]),
    ),
    max_size=25,
)


@given(VIEWS, VIEWS, st.integers(1, 2))
def test_exchanging_differing_buckets_repairs_as_much_as_full_states(
    first_view: list[Update], second_view: list[Update], rounds: int
) -> None:
    def views_after(
        exchange: Callable[[Swim, Swim], tuple[list[Update], list[Update]]],
    ) -> list[tuple[dict[str, int], set[Update]]]:
        pair = swim_knowing(1, first_view), swim_knowing(2, second_view)
        for _ in range(rounds):
            states = exchange(*pair)
            pair[1].merge(states[0], 1.0)
            pair[0].merge(states[1], 1.0)
        return [view_of(swim) for swim in pair]

    def in_buckets(requester: Swim, responder: Swim) -> tuple[list[Update], list[Update]]:
        digests = responder.compare_digest(requester.digest())
        buckets = requester.differing_buckets(digests) if digests else []
        return requester.in_buckets(buckets), responder.in_buckets(buckets)

    assert views_after(in_buckets) == views_after(
        lambda requester, responder: (requester.full_state(), responder.full_state())
    )


@given(VIEWS, st.randoms(use_true_random=False))
def test_digests_are_equal_exactly_if_the_live_members_are(updates: list[Update], random: Any) -> None:
    first, reordered = swim_knowing(1, updates), list(updates)
    random.shuffle(reordered)
    second = swim_knowing(1, reordered)
    assert first.digest() == second.digest()
    assert first.compare_digest(second.digest()) == []
    assert first.differing_buckets(second.digests()) == []
    changed = make_update(8, 3)
    second.merge([changed], 0.0)
    bucket = bucket_of(changed.address)
    assert first.differing_buckets(second.compare_digest(first.digest())) == [bucket]
    assert changed in second.in_buckets([bucket])
    assert changed not in second.in_buckets([bucket - 1])
    digest_before = second.digest()
    second.merge([make_update(8, 3, MemberState.SUSPECT)], 0.0)
    assert second.digest() == digest_before  # a suspect counts as live
    first.table.apply(make_update(8, 3, MemberState.DEAD), 0.0)
    assert first.differing_buckets(second.compare_digest(first.digest())) == [bucket]
    second.leave()
    assert second.digest() != digest_before


# Members on a virtual clock


def test_no_live_member_is_declared_dead_with_a_tenth_of_datagrams_lost() -> None:
    fleet = SimulatedFleet(5)
    fleet.loss = 0.1
    fleet.run(10_000 * PROBE_PERIOD_S)
    assert fleet.deaths == 0
    assert fleet.agreed()


def test_death_is_detected_despite_loss_and_duplicates() -> None:
    fleet = SimulatedFleet(16, 3)
    fleet.loss, fleet.duplication = 0.2, 0.3
    fleet.run(5)
    victim = list(fleet.swims)[4]
    fleet.kill(victim)
    assert fleet.run_until(lambda: fleet.count_seeing_dead(victim) == 15, 20) < 10
    assert fleet.run_until(fleet.agreed, 20) < 20


@pytest.mark.parametrize(("size", "max_s"), [(2, 6.0), (3, 5.0), (16, 4.0), (60, 4.0)])
def test_death_is_known_to_99_percent_soon(size: int, max_s: float) -> None:
    assert max(time_to_detect_death(size, seed) for seed in range(3)) < max_s


@pytest.mark.parametrize(("size", "max_rounds"), [(8, 15), (32, 25), (64, 30)])
def test_halves_of_a_partition_agree_after_few_rounds(size: int, max_rounds: int) -> None:
    assert time_to_heal(size, 2) / PROBE_PERIOD_S < max_rounds


def test_distant_members_with_loss_are_hardly_ever_suspected() -> None:
    fleet = SimulatedFleet(60, 2)
    fleet.latency_s, fleet.loss = (0.09, 0.12), 0.02  # a round trip exceeds the shortest ack time-out, 0.15 s
    fleet.run(10)
    refutations_before = sum(swim.refutations for swim in fleet.swims.values())
    sent_before = fleet.sent
    fleet.run(60)
    assert fleet.deaths == 0
    assert sum(swim.refutations for swim in fleet.swims.values()) - refutations_before <= 1  # in 9,000 probes
    assert (fleet.sent - sent_before) / 60 / 60 < 7


def test_ack_timeout_decays_after_one_long_round_trip() -> None:
    swim, now = Swim(make_update(1), Random(1), 0.0), 0.0
    swim.merge([make_update(2)], 0.0)
    assert swim.detector.round_trip_times.ack_timeout_s("127.0.0.1:2") == MIN_ACK_TIMEOUT_S
    timeouts = []
    for rtt_s in [0.3] + [0.002] * 30:
        now += 1.0
        [(_, ping)] = [sent for sent in swim.tick(now).datagrams if sent[1].kind is DatagramKind.PING]
        swim.receive(Datagram(DatagramKind.ACK, "127.0.0.1:2", ping.seq), now + rtt_s)
        timeouts.append(swim.detector.round_trip_times.ack_timeout_s("127.0.0.1:2"))
    assert timeouts[0] == pytest.approx(0.3 * ACK_TIMEOUT_RTT_MULTIPLE)
    assert timeouts == sorted(timeouts, reverse=True)
    assert timeouts[-1] == MIN_ACK_TIMEOUT_S


def test_stalled_member_accuses_nobody_and_is_back_at_once() -> None:
    fleet = SimulatedFleet(30, 4)
    fleet.run(3)
    stalled = list(fleet.swims)[7]
    fleet.set_stalled(stalled, True)
    fleet.run(5)
    assert fleet.count_seeing_dead(stalled) == 29
    deaths_before = fleet.deaths
    fleet.set_stalled(stalled, False)
    assert fleet.run_until(fleet.agreed, 10) < 3
    assert fleet.deaths == deaths_before
    assert fleet.swims[stalled].stalls == 1


def test_isolated_node_degrades_its_local_health() -> None:
    fleet = SimulatedFleet(16, 6)
    isolated = list(fleet.swims)[3]
    fleet.cut = split_off({isolated})
    fleet.run(5)
    assert fleet.swims[isolated].detector.local_health.score > 0
    assert fleet.swims[next(iter(fleet.swims))].detector.local_health.score == 0


def test_name_may_move_to_another_address_and_live_duplicates_are_both_kept() -> None:
    fleet = SimulatedFleet(8, 2)
    fleet.run(2)
    old = list(fleet.swims)[2]
    fleet.kill(old)
    fleet.run(8)
    fleet.swims.pop(old)
    new = fleet.add(500, incarnation=2)
    fleet.swims[new].own = Update(new, "n2", "z", "r", 2, MemberState.ALIVE)
    fleet.exchange(new, next(iter(fleet.swims)))
    assert fleet.run_until(fleet.agreed, 10) < 5
    table = fleet.swims[next(iter(fleet.swims))].table
    assert table.duplicate_names() == {}
    duplicate = fleet.add(501, incarnation=3)
    fleet.swims[duplicate].own = Update(duplicate, "n2", "z", "r", 3, MemberState.ALIVE)
    fleet.exchange(duplicate, next(iter(fleet.swims)))
    assert fleet.run_until(fleet.agreed, 10) < 5
    assert table.duplicate_names() == {"n2": sorted([new, duplicate])}


def test_datagrams_per_member_at_rest_do_not_grow_with_the_fleet() -> None:
    rates = []
    for size in (10, 80):
        fleet = SimulatedFleet(size, 1)
        fleet.run(4)
        sent_before = fleet.sent
        fleet.run(5)
        rates.append((fleet.sent - sent_before) / size / 5)
    assert rates[1] < 1.2 * rates[0] < 8


def test_members_that_know_one_seed_each_all_learn_of_each_other() -> None:
    fleet = SimulatedFleet(60, 1, joined=False)
    seeds = list(fleet.swims)[:3]
    for number, address in enumerate(fleet.swims):
        if address not in seeds:
            fleet.clock.call_later(number / 60, fleet.exchange, address, seeds[number % 3])
    fleet.exchange(seeds[0], seeds[1])
    fleet.exchange(seeds[1], seeds[2])
    assert fleet.run_until(fleet.agreed, 20) < 5


def test_short_partition_of_a_few_does_not_have_all_others_declared_dead() -> None:
    fleet = SimulatedFleet(60, 4)
    minority = set(list(fleet.swims)[:6])
    fleet.run(3)
    fleet.cut = split_off(minority)
    fleet.run(6)  # the minority is still detecting and broadcasting the deaths of the others
    assert all(fleet.count_seeing_dead(address) > 50 for address in minority)
    fleet.cut = lambda source, target: False
    deaths_before = fleet.deaths
    assert fleet.run_until(fleet.agreed, 20) < 10
    assert fleet.deaths - deaths_before < 60  # 279 if the deaths that the minority broadcasts are believed


def test_accusations_by_a_dead_member_are_ignored() -> None:
    swim = Swim(make_update(1), Random(1), 0.0)
    swim.merge([make_update(2), make_update(3), make_update(2, 1, MemberState.LEFT)], 0.0)
    swim.receive(
        Datagram(DatagramKind.GOSSIP, "127.0.0.1:3", updates=[make_update(4, 1, MemberState.DEAD)]), 0.1
    )
    assert swim.table.members["127.0.0.1:4"].update.state is MemberState.DEAD
    received = [make_update(3, 1, MemberState.DEAD), make_update(5), make_update(6)]
    swim.receive(Datagram(DatagramKind.GOSSIP, "127.0.0.1:5", updates=received), 0.2)
    swim.receive(
        Datagram(
            DatagramKind.GOSSIP,
            "127.0.0.1:3",
            updates=[
                make_update(5, 1, MemberState.DEAD),
                make_update(6, 1, MemberState.SUSPECT),
                make_update(7),
                make_update(1, 1, MemberState.SUSPECT),
            ],
        ),
        0.3,
    )
    assert {address[-1]: member.update.state.name for address, member in swim.table.members.items()} == {
        "2": "LEFT",
        "3": "DEAD",
        "4": "DEAD",
        "5": "ALIVE",
        "6": "ALIVE",
        "7": "ALIVE",
    }
    assert swim.own.incarnation == 2  # an accusation of itself is still refuted


def test_member_that_was_declared_dead_withdraws_its_suspicions() -> None:
    swim = Swim(make_update(1), Random(1), 0.0)
    swim.merge([make_update(2), make_update(3), make_update(4)], 0.0)
    swim.gossip.broadcasts.clear()
    swim.receive(
        Datagram(
            DatagramKind.GOSSIP,
            "127.0.0.1:2",
            updates=[
                make_update(3, 1, MemberState.SUSPECT, "127.0.0.1:2"),
                make_update(4, 1, MemberState.DEAD),
            ],
        ),
        0.1,
    )
    swim.receive(
        Datagram(DatagramKind.GOSSIP, "127.0.0.1:2", updates=[make_update(1, 1, MemberState.DEAD)]), 0.2
    )
    assert swim.table.members["127.0.0.1:3"].update.state is MemberState.ALIVE
    assert swim.table.members["127.0.0.1:4"].update.state is MemberState.DEAD
    # the subject of an accusation is notified in any case
    broadcast = {
        (update.address, update.state)
        for recipient, message in swim.tick(0.4).datagrams
        for update in message.updates
        if recipient != "127.0.0.1:4"
    }
    assert broadcast == {("127.0.0.1:1", MemberState.ALIVE)}
    assert swim.next_tick_s() < 0.4 + PROBE_PERIOD_S


def test_accusations_by_a_rejoined_member_are_ignored_for_some_seconds() -> None:
    """A member that restarts during a partition never learns that its earlier process was declared dead.

    It broadcasts the deaths of all others, which caused 480 false deaths when it was believed.
    """
    swim, partitioned = Swim(make_update(1), Random(1), 0.0), "127.0.0.1:3"
    swim.merge([make_update(2), make_update(3), make_update(4), make_update(5)], 0.0)
    swim.receive(
        Datagram(DatagramKind.GOSSIP, "127.0.0.1:2", updates=[make_update(3, 1, MemberState.DEAD)]), 0.1
    )
    # its return is learned through another member
    swim.receive(Datagram(DatagramKind.GOSSIP, "127.0.0.1:2", updates=[make_update(3, 9)]), 0.2)
    swim.receive(
        Datagram(
            DatagramKind.GOSSIP,
            partitioned,
            updates=[
                make_update(4, 1, MemberState.DEAD, partitioned),
                make_update(5, 1, MemberState.SUSPECT, partitioned),
                make_update(6),
            ],
        ),
        0.3,
    )
    assert {swim.table.members[f"127.0.0.1:{number}"].update.state for number in (3, 4, 5, 6)} == {
        MemberState.ALIVE
    }
    swim.receive(
        Datagram(DatagramKind.GOSSIP, "127.0.0.1:2", updates=[make_update(4, 1, MemberState.DEAD)]), 0.4
    )
    assert swim.table.members["127.0.0.1:4"].update.state is MemberState.DEAD  # other accusers are believed
    swim.receive(
        Datagram(DatagramKind.GOSSIP, partitioned, updates=[make_update(5, 1, MemberState.DEAD)]),
        0.2 + REJOIN_DISTRUST_S + 0.1,
    )
    # the rejoined member is believed again after `REJOIN_DISTRUST_S`
    assert swim.table.members["127.0.0.1:5"].update.state is MemberState.DEAD


@pytest.mark.parametrize(
    ("update_count", "min_sends", "max_mean_sends"),
    [(10, 13, 13.5), (200, 13, 13.5), (1000, 5, 8), (3000, 5, 7)],
)
def test_updates_are_sent_less_often_when_many_are_pending(
    update_count: int, min_sends: int, max_mean_sends: float
) -> None:
    """A region that is cut off from all others broadcasts 3,000 deaths.

    When each was sent 28 times, updates waited for minutes.
    """
    swim = Swim(make_update(1), Random(1), 0.0)
    swim.merge([make_update(2 + number) for number in range(20)], 0.0)
    swim.gossip.broadcasts.clear()
    swim.merge(
        [Update(f"127.0.0.2:{number}", "n", "z", "r", 2, MemberState.DEAD) for number in range(update_count)],
        0.0,
    )
    sent: Counter[str] = Counter()
    now = 0.0
    while swim.gossip.broadcasts:
        now += 0.05
        for _, message in swim.tick(now).datagrams:
            sent.update(
                update.address for update in message.updates if update.address.startswith("127.0.0.2")
            )
    assert len(sent) == update_count
    assert min(sent.values()) >= min_sends
    assert sum(sent.values()) / update_count <= max_mean_sends


def test_accusations_by_a_member_that_had_left_are_believed_at_once() -> None:
    swim = Swim(make_update(1), Random(1), 0.0)
    swim.merge([make_update(2), make_update(3), make_update(4)], 0.0)
    swim.receive(
        Datagram(DatagramKind.GOSSIP, "127.0.0.1:2", updates=[make_update(3, 1, MemberState.LEFT)]), 0.1
    )
    swim.receive(
        Datagram(
            DatagramKind.GOSSIP,
            "127.0.0.1:3",
            updates=[make_update(3, 9), make_update(4, 1, MemberState.DEAD)],
        ),
        0.2,
    )
    assert swim.table.members["127.0.0.1:4"].update.state is MemberState.DEAD


def test_datagram_from_a_dead_member_stops_the_broadcast_of_deaths() -> None:
    swim = Swim(make_update(1), Random(1), 0.0)
    swim.merge([make_update(2), make_update(3), make_update(4), make_update(5)], 0.0)
    swim.receive(
        Datagram(
            DatagramKind.GOSSIP,
            "127.0.0.1:2",
            updates=[
                make_update(3, 1, MemberState.DEAD),
                make_update(4, 1, MemberState.DEAD),
                make_update(6),
            ],
        ),
        0.1,
    )
    swim.receive(Datagram(DatagramKind.PING, "127.0.0.1:3", 1), 0.2)
    broadcast = {
        update.address[-1]: update.state
        for recipient, message in swim.tick(0.4).datagrams
        for update in message.updates
        if recipient != update.address
    }
    assert broadcast["6"] is MemberState.ALIVE
    assert "4" not in broadcast
    assert swim.table.members["127.0.0.1:4"].update.state is MemberState.DEAD  # until it is refuted


@pytest.mark.parametrize("detection_s", [2, 3, 4])
@pytest.mark.parametrize("seed", [1, 2])
def test_restarts_during_a_partition_cause_hardly_any_false_deaths(seed: int, detection_s: float) -> None:
    """A member that restarts in the minority receives the deaths of the majority and broadcasts them too.

    When such members were believed after the partition, they caused 66 to 359 false deaths.
    """
    fleet = SimulatedFleet(100, seed)
    fleet.run(3)
    minority = list(fleet.swims)[:20]
    fleet.cut = split_off(set(minority))
    fleet.run(detection_s)
    for number in (3, 7):
        fleet.kill(minority[number])
        fleet.swims.pop(minority[number])
        assert fleet.add(number, incarnation=2) == minority[number]
        fleet.exchange(minority[number], minority[0])
    fleet.run(6)
    fleet.cut = lambda source, target: False
    deaths_before = fleet.deaths
    assert fleet.run_until(fleet.agreed, 30) < 5
    assert fleet.deaths - deaths_before <= 20


# Rejected messages


def authenticator(
    address: str = "127.0.0.1:1", secret: bytes = SECRET, fleet: str = "f", incarnation: int = 1
) -> MessageAuthenticator:
    return MessageAuthenticator(secret, fleet, address, incarnation)


@pytest.mark.parametrize(
    ("corrupt", "reason"),
    [
        (lambda data: data[:-1], "forged"),
        (lambda data: data[:10], "cut"),
        (lambda data: b"", "cut"),
        (lambda data: data[:-1] + bytes([data[-1] ^ 1]), "forged"),
        (lambda data: data + b"\0" * MAX_DATAGRAM_BYTES, "oversized"),
        (
            lambda data: authenticator(secret=b"another secret of theirs").seal(
                Datagram(DatagramKind.PING, "x")
            ),
            "forged",
        ),
        (lambda data: authenticator(fleet="g").seal(Datagram(DatagramKind.PING, "x")), "other_fleet"),
        (lambda data: authenticator().seal([1, 2, 3]), "malformed"),
        (lambda data: authenticator().seal([0, "x", 0, "", [["place", "n", "z", "r", 1, 9]]]), "malformed"),
        (lambda data: data, "replayed"),
    ],
)
def test_forged_foreign_and_replayed_messages_are_rejected(
    corrupt: Callable[[bytes], bytes], reason: str
) -> None:
    receiver = authenticator("127.0.0.1:9")
    data = authenticator().seal(Datagram(DatagramKind.PING, "127.0.0.1:1", 7))
    assert receiver.open(data, Datagram)[1].seq == 7
    with pytest.raises(RejectedMessageError, match=reason):
        receiver.open(corrupt(data), Datagram)


@given(st.binary(max_size=2000))
@settings(max_examples=200)
def test_arbitrary_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(RejectedMessageError):
        authenticator().open(data, Datagram)


def test_another_protocol_version_is_rejected_with_a_valid_digest() -> None:
    sender = authenticator()
    sealed = b"\x02" + sender.seal(Datagram(DatagramKind.PING, "x"))[17:]
    with pytest.raises(RejectedMessageError, match="version"):
        authenticator("127.0.0.1:9").open(
            blake2b(sealed, digest_size=DIGEST_BYTES, key=SECRET).digest() + sealed, Datagram
        )


def test_missing_or_short_secret_is_a_config_error(tmp_path: Path) -> None:
    (tmp_path / "short").write_text("short\n")
    for name in ("none", "short"):
        with pytest.raises(ConfigError) as caught:
            read_secret(str(tmp_path / name))
        assert caught.value.key == "fleet.secret_file"


# Nodes on sockets


@pytest.fixture
def start(tmp_path: Path) -> Iterator[Callable[..., Membership]]:
    nodes: list[Membership] = []
    (tmp_path / "secret").write_bytes(SECRET)
    (tmp_path / "other").write_bytes(SECRET + b"!")

    def make(name: str, seeds: list[Membership], secret: str = "secret") -> Membership:
        address = "127.0.0.1", 0
        node = Membership(
            Fleet(
                "f", address, address, tuple(seed.address for seed in seeds), "z", "r", str(tmp_path / secret)
            ),
            name,
            Random(name),
            Counters(),
        )
        nodes.append(node)
        node.start()
        return node

    yield make
    for node in nodes:
        node.close()


def names(node: Membership) -> list[str]:
    return sorted(member.name for member in node.live())


def test_nodes_join_through_a_seed_leave_and_are_detected_dead(start: Callable[..., Membership]) -> None:
    first = start("a", [])
    others = [start(name, [first]) for name in "bcde"]
    fleet = [first, *others]
    assert wait_until(lambda: all(names(node) == list("abcde") for node in fleet))
    others[3].leave()
    assert wait_until(lambda: all(names(node) == list("abcd") for node in fleet[:4]))
    others[2].close()  # without announcing that it leaves
    assert wait_until(lambda: all(names(node) == list("abc") for node in fleet[:3]))
    states = {member["name"]: member["state"] for member in first.status()["members"]}
    assert states == {"b": "alive", "c": "alive", "d": "dead", "e": "left"}
    assert first.forget("b") is False
    assert first.forget("x") is None
    assert first.forget("d") is True
    assert wait_until(
        lambda: (
            {"d": "left"}.items()
            <= {member["name"]: member["state"] for member in others[0].status()["members"]}.items()
        )
    )
    json.dumps(first.status())


class Question(msgspec.Struct, array_like=True, frozen=True, tag="question"):
    sender: str
    text: str


class Answer(msgspec.Struct, array_like=True, frozen=True):
    text: str


def test_other_modules_piggyback_vectors_ping_members_and_handle_requests(
    start: Callable[..., Membership],
) -> None:
    first, vectors = start("a", []), dict[str, list[int]]()
    second = start("b", [first])
    assert wait_until(lambda: names(first) == names(second) == ["a", "b"])
    at_first, at_second = (node.live()[0].address for node in (first, second))
    first.handlers[Question] = lambda question: Answer(question.text[::-1]) if question.text else None
    assert second.request(at_first, Question(at_second, "abc"), Answer) == Answer("cba")
    assert second.request(at_first, Question(at_second, ""), Answer) is None
    assert first.request(at_second, Question(at_first, "abc"), Answer) is None  # it has no handler for this
    assert second._counters.snapshot()["fleet.refused_malformed"] == 1
    reply = second.request(at_first, StateRequest(at_second, []), StateReply)
    assert reply is not None
    assert {member.name for member in reply.updates} == {"a", "b"}
    first.piggyback(lambda: [1, 2, 3], lambda *args: None)
    second.piggyback(list, lambda sender, vector, now: vectors.update({sender: vector}))
    second.ping([at_first])
    assert wait_until(lambda: vectors == {at_first: [1, 2, 3]})


def test_unreachable_member_and_missing_reply_are_different_errors(
    start: Callable[..., Membership],
) -> None:
    first, second, closed = start("a", []), start("b", []), start("c", [])
    address, question, received = second.live()[0].address, Question("x", "abc"), list[str]()
    closed.close()
    second.handlers[Question] = lambda request: received.append(request.text)
    with pytest.raises(NoReplyError):
        first.request_once(address, question, Answer)
    assert received == ["abc"]
    with pytest.raises(MemberUnreachableError):
        first.request_once(closed.live()[0].address, question, Answer)
    second.handlers[Question] = lambda request: Answer(request.text)
    assert first.request_once(address, question, Answer) == Answer("abc")


def test_reply_may_take_as_long_as_the_requester_waits(
    start: Callable[..., Membership], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(requests, "REQUEST_TIMEOUT_S", 0.2)
    first, second = start("a", []), start("b", [])

    def answer(question: Question) -> Answer:
        time.sleep(0.5)
        return Answer("late")

    second.handlers[Question] = answer
    address, question = second.live()[0].address, Question("x", "")
    assert first.request(address, question, Answer, 5.0) == Answer("late")
    assert first.request(address, question, Answer, 0.1) is None


def test_node_with_another_secret_is_ignored(start: Callable[..., Membership]) -> None:
    first = start("a", [])
    stranger, friend = start("x", [first], "other"), start("b", [first])
    assert wait_until(lambda: names(friend) == ["a", "b"])
    assert names(stranger) == ["x"]
    assert not stranger.status()["own"]["joined"]
    assert first._counters.snapshot()["fleet.refused_forged"] > 0


def hold_back_join(monkeypatch: pytest.MonkeyPatch, name: str) -> threading.Event:
    """Let the member of this name join, and compare states, only once the returned event is set."""
    hold, run = threading.Event(), state_sync.StateSync.run

    def run_late(sync: state_sync.StateSync) -> None:
        if sync._swim.own.name == name:
            assert hold.wait(20)
        run(sync)

    monkeypatch.setattr(state_sync.StateSync, "run", run_late)
    return hold


def test_seed_that_joins_late_brings_the_members_on_both_sides_together(
    start: Callable[..., Membership], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against members that learn of each other seconds after a start of all at once.

    Some had joined through a seed that had not joined itself. When it did, it told neither side of the other.
    """
    monkeypatch.setattr(state_sync, "FIRST_SYNC_DELAY_S", (60.0, 60.0))  # only the join may tell them
    hold = hold_back_join(monkeypatch, "a")
    first = start("c", [])
    late = start("a", [first])
    everyone = [first, late, start("b", [late]), start("d", [first])]
    assert wait_until(
        lambda: [names(node)[0] + names(node)[-1] for node in everyone] == ["cd", "ab", "ab", "cd"]
    )
    assert wait_until(lambda: not any(node._swim.gossip.broadcasts for node in everyone))
    hold.set()
    assert wait_until(lambda: all(names(node) == ["a", "b", "c", "d"] for node in everyone))


def test_early_joiners_learn_of_the_fleet_from_their_seed_although_gossip_misses_them(
    start: Callable[..., Membership], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against members that are unknown for seconds to those who joined through a late seed.

    After a start of all at once, the few datagrams of that seed went to random members, often to others.
    """
    monkeypatch.setattr(state_sync, "FIRST_SYNC_DELAY_S", (60.0, 60.0))
    monkeypatch.setattr(BroadcastQueue, "select", lambda queue, recipient, bytes_left: ([], bytes_left))
    hold = hold_back_join(monkeypatch, "a")
    first = start("d", [])
    late = start("a", [first])
    early = [start("b", [late]), start("c", [late])]
    assert wait_until(lambda: all(node.status()["own"]["joined"] for node in early))
    hold.set()
    assert wait_until(lambda: all(names(node) == ["a", "b", "c", "d"] for node in [first, late, *early]))


def test_live_nodes_with_one_name_are_reported_and_both_kept(start: Callable[..., Membership]) -> None:
    first = start("a", [])
    start("b", [first])
    start("b", [first])
    assert wait_until(lambda: names(first) == ["a", "b", "b"])
    assert len(first.status()["namesakes"]["b"]) == 2
    assert wait_until(lambda: "fleet.namesakes" in first._counters.snapshot())


def test_node_whose_seeds_are_dead_serves_alone(start: Callable[..., Membership]) -> None:
    closed = start("s", [])
    closed.close()
    alone = start("a", [closed])
    assert wait_until(lambda: alone._counters.snapshot().get("fleet.unjoined", 0) > 1)
    assert names(alone) == ["a"]
    assert not alone.status()["own"]["joined"]


def test_members_exchange_digests_and_only_the_buckets_that_differ(
    start: Callable[..., Membership],
) -> None:
    first, second = start("a", []), start("b", [])
    address = first.live()[0].address
    second.state_sync.compare(address)
    assert names(first) == names(second) == ["a", "b"]
    assert first._counters.snapshot()["fleet.states_differ"] == 1
    second.state_sync.compare(address)
    assert first._counters.snapshot()["fleet.states_equal"] == 1
    assert first._counters.snapshot()["fleet.states_given"] == 1


@pytest.mark.parametrize("fraction", [0.0, 1.0])
def test_member_without_digests_is_asked_for_its_full_state_by_some_only(
    start: Callable[..., Membership], monkeypatch: pytest.MonkeyPatch, fraction: float
) -> None:
    monkeypatch.setattr(state_sync, "FULL_STATE_FRACTION", fraction)
    older, newer = start("a", []), start("b", [])
    del older.handlers[DigestRequest], older.handlers[BucketsRequest]
    newer.state_sync.compare(older.live()[0].address)
    assert names(newer) == (["a", "b"] if fraction else ["b"])
    assert older._counters.snapshot().get("fleet.states_given", 0) == fraction
    # older versions always request full states
    assert older.state_sync.exchange(newer.live()[0].address) is not None
    assert names(newer) == names(older) == ["a", "b"]


def test_member_limits_full_states_and_redirects_further_requesters(start: Callable[..., Membership]) -> None:
    first = start("a", [])
    start("b", [first])
    assert wait_until(lambda: names(first) == ["a", "b"])
    requester = start("c", [first])
    assert wait_until(lambda: requester.status()["own"]["joined"])
    first.state_sync.state_reply_limiter = TokenBucket(0.0, 5.0, time.monotonic())
    replies: list[StateReply | None] = [
        requester.state_sync.exchange("{}:{}".format(*first.address)) for _ in range(20)
    ]
    served = [reply for reply in replies if reply and not reply.alternatives]
    assert len(served) == 5
    assert all(reply is not None for reply in replies)


def test_member_that_has_left_during_a_probe_and_a_suspicion_waits_between_its_ticks() -> None:
    """Guard against a draining node that spins: its next tick lay in the past until it closed."""
    swim, now = Swim(make_update(1), Random(1), 0.0), 0.0
    swim.merge([make_update(number) for number in range(2, 6)], now)
    swim._apply_update(make_update(6), now)
    swim._apply_update(make_update(6, state=MemberState.SUSPECT, accuser="127.0.0.1:2"), now)
    while swim.detector._probe is None:
        now = max(now, swim.next_tick_s())
        swim.tick(now)
    swim.leave()
    ticks = 0
    while now < 10.0:
        next_s = swim.next_tick_s()
        assert next_s > now or not ticks
        now = max(next_s, now + 0.001)
        swim.tick(now)
        ticks += 1
    assert ticks < 10.0 / 0.09 + 10.0 / PROBE_PERIOD_S


def test_unreadable_secret_is_reported_before_any_socket_is_bound(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = taken.getsockname()
        config = Fleet("f", address, address, (), "z", "r", str(tmp_path / "missing"))
        with pytest.raises(ConfigError, match=r"fleet\.secret_file"):
            Membership(config, "a", Random(1), Counters())
