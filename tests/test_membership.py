"""Membership: merging updates, failure detection, rejected messages, and nodes on real sockets."""

import json
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator
from hashlib import blake2b
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
from helpers import soon
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
from reelusher.lab.fleet.members import Members, apart, time_to_heal, time_to_know
from reelusher.pacing.token_bucket import TokenBucket

SECRET = b"a secret of sixteen or more"


def update(
    number: int, incarnation: int = 1, state: MemberState = MemberState.ALIVE, accuser: str = ""
) -> Update:
    return Update(f"127.0.0.1:{number}", f"n{number}", "z", "r", incarnation, state, accuser)


UPDATES = st.builds(update, st.integers(1, 3), st.integers(0, 3), st.sampled_from(MemberState))


# What merges


@given(st.lists(UPDATES, max_size=30), st.randoms(use_true_random=False))
def test_table_is_the_same_for_any_order_and_repetition_of_updates(
    updates: list[Update], shuffled: Any
) -> None:
    def known(order: list[Update]) -> dict[str, tuple[int, MemberState]]:
        table = MemberTable(Random(1))
        for one in order:
            table.apply(one, 0.0)
        return {place: (one.update.incarnation, one.update.state) for place, one in table.members.items()}

    other = updates + updates[:5]
    shuffled.shuffle(other)
    assert known(updates) == known(other)


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(0, 3 * REPLAY_WINDOW_SIZE)), max_size=200))
def test_replay_window_accepts_a_number_once_and_none_that_is_too_old(came: list[tuple[int, int]]) -> None:
    senders, taken = ReplayWindow(), set[tuple[int, int]]()
    for life, number in came:
        top = max(taken, default=(0, 0))
        if senders.accept("x", life, number):
            assert (life, number) not in taken
            assert life >= top[0]
            assert life > top[0] or number > top[1] - REPLAY_WINDOW_SIZE
            taken.add((life, number))


@given(st.lists(st.tuples(UPDATES, st.booleans()), max_size=60))
def test_derived_data_of_the_table_match_its_entries_after_each_change(
    came: list[tuple[Update, bool]],
) -> None:
    table = MemberTable(Random(1))
    for step, (one, drop) in enumerate(came):
        table.apply(one, float(step))
        if drop:
            table.drop_expired(step + DEAD_TTL_S - 5)
        members = table.members.values()
        here = {member.update.address for member in members if member.is_live}
        assert sorted(table.live()) == sorted(here)
        assert table.live_count() == len(here)
        assert sorted(table.dead) == sorted(
            member.update.address for member in members if member.update.state is MemberState.DEAD
        )
        fresh = MemberTable(Random(2))
        for member in members:
            fresh.apply(member.update, 0.0)
        assert table.digests == fresh.digests
        assert {table.next_target() for _ in range(2 * len(here))} == here
        assert set(table.sample(9)) == here
        assert len(table.sample(2)) == min(2, len(here))
        assert "127.0.0.1:1" not in table.sample(9, "127.0.0.1:1")


def test_largest_fleet_fits_and_live_members_replace_dead_ones_in_a_full_table() -> None:
    table = MemberTable(Random(1))
    for number in range(3600 + MAX_DEAD):
        table.apply(
            update(number, 1, MemberState.ALIVE if number < 3600 else MemberState.DEAD), float(number)
        )
    assert table.live_count() == 3600
    assert len(table.dead) == MAX_DEAD
    assert not table.rejected
    for number in range(10_000, 10_000 + MAX_MEMBERS - 3600 - MAX_DEAD):
        table.apply(update(number, 1, MemberState.LEFT), 9000.0)
    assert len(table.members) == MAX_MEMBERS
    assert not table.rejected
    assert table.apply(update(1, 1, MemberState.DEAD), 9001.0) is not None  # known before
    for number, state, refused in [
        (20_000, MemberState.DEAD, 1),
        (20_001, MemberState.ALIVE, 1),
        (20_002, MemberState.LEFT, 2),
    ]:
        assert (table.apply(update(number, 1, state), 9001.0) is None) is (state is not MemberState.ALIVE)
        assert table.rejected == refused
    assert len(table.members) == MAX_MEMBERS
    assert update(3600).address not in table.members


def calls_per_datagram(size: int) -> float:
    """Return the function calls for each datagram in a fleet of a size with one suspect."""
    swim = Swim(update(1), Random(1), 0.0)
    swim.merge([update(number) for number in range(2, size + 1)], 0.0)
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
                updates=[update(4, step, MemberState.SUSPECT, "127.0.0.1:5")] if not step % 10 else [],
            ),
            now,
        )
        swim.next_tick_s()
        datagrams += 2
    sys.setprofile(None)
    return calls / datagrams


def test_cost_of_a_datagram_does_not_grow_with_the_fleet() -> None:
    assert calls_per_datagram(3600) < 3 * calls_per_datagram(16)  # an update is sent 28 times, not 13


def test_member_refutes_its_death_unless_it_has_left() -> None:
    swim = Swim(update(1), Random(1), 0.0)
    swim.receive(Datagram(DatagramKind.GOSSIP, "127.0.0.1:2", updates=[update(1, 5, MemberState.DEAD)]), 0.1)
    assert swim.own.incarnation == 6
    assert swim.detector.local_health.score == 1
    swim.leave()
    swim.receive(Datagram(DatagramKind.GOSSIP, "127.0.0.1:2", updates=[update(1, 9, MemberState.DEAD)]), 0.2)
    assert (swim.own.incarnation, swim.own.state) == (6, MemberState.LEFT)


def test_joining_member_broadcasts_only_what_the_received_state_lacks() -> None:
    swim = Swim(update(1), Random(1), 0.0)
    swim.merge([update(2), update(4, 2)], 0.0)  # these joined through it
    swim.join([update(3), update(4, 1), update(5)], 0.1)
    told = {update for _, message in swim.tick(0.5).datagrams for update in message.updates}
    assert {update(1), update(2), update(4, 2)} <= told
    assert not told & {update(3), update(4, 1), update(5)}


def test_merge_notifies_a_live_member_of_its_death_instead_of_applying_it() -> None:
    swim = Swim(update(1), Random(1), 0.0)
    swim.merge([update(2), update(3)], 0.0)
    swim.merge([update(2, 1, MemberState.DEAD), update(4, 1, MemberState.DEAD)], 0.1)
    states = {place[-1]: member.update.state for place, member in swim.table.members.items()}
    assert states == {"2": MemberState.ALIVE, "3": MemberState.ALIVE, "4": MemberState.DEAD}
    told = [message.updates for place, message in swim.tick(0.5).datagrams if place == "127.0.0.1:2"]
    assert [update(2, 1, MemberState.DEAD)] in told


def test_joining_member_broadcasts_itself_and_not_the_received_members() -> None:
    swim = Swim(update(1), Random(1), 0.0)
    swim.join([update(number) for number in range(2, 500)], 0.0)
    assert swim.table.fleet_size() == 499
    sent = [message for step in range(1, 100) for _, message in swim.tick(step / 10).datagrams]
    told = [one for message in sent for one in message.updates]
    assert update(1) in told
    assert not [
        one for one in told if one != update(1) and one.state is MemberState.ALIVE
    ]  # some are suspected


def test_each_datagram_carries_the_vector_and_received_ones_are_passed_on() -> None:
    swim, came = Swim(update(1), Random(1), 0.0), list[tuple[str, list[int], float]]()
    swim.merge([update(2)], 0.0)
    swim.gossip.vector = lambda: [7, 1, 40]
    swim.on_vector = lambda *told: came.append(told)
    out = swim.tick(0.5).datagrams + swim.ping("127.0.0.1:2").datagrams + swim.leave().datagrams
    assert {message.kind for _, message in out} == {DatagramKind.PING, DatagramKind.GOSSIP}
    assert all(message.vector == [7, 1, 40] for _, message in out)
    other = Swim(update(2), Random(2), 0.0)
    other.on_vector = lambda *told: came.append(told)
    answer = other.receive(swim.ping("127.0.0.1:2").datagrams[0][1], 0.25).datagrams
    assert [(to, message.kind, message.vector) for to, message in answer] == [
        ("127.0.0.1:1", DatagramKind.ACK, [])
    ]
    assert came == [("127.0.0.1:1", [7, 1, 40], 0.25)]
    swim.receive(answer[0][1], 0.3)
    assert len(came) == 1  # one without a vector is not told of


def test_unanswered_ping_beside_the_probes_accuses_nobody() -> None:
    swim = Swim(update(1), Random(1), 0.0)
    swim.merge([update(2)], 0.0)
    swim.ping("127.0.0.1:2")
    assert swim.detector.local_health.score == 0
    assert swim.table.members["127.0.0.1:2"].update.state is MemberState.ALIVE


def test_older_node_reads_a_datagram_with_a_vector() -> None:
    class Older(msgspec.Struct, array_like=True, frozen=True):
        kind: DatagramKind
        sender: str
        seq: int = 0
        target: str = ""
        updates: list[Update] = []

    message = Datagram(DatagramKind.PING, "127.0.0.1:1", 3, updates=[update(2)], vector=[1, 2])
    data = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(data, type=Older) == Older(
        DatagramKind.PING, "127.0.0.1:1", 3, "", [update(2)]
    )
    older = msgspec.msgpack.encode(Older(DatagramKind.PING, "127.0.0.1:1"))
    assert msgspec.msgpack.decode(older, type=Datagram).vector == []
    long = msgspec.msgpack.encode(Datagram(DatagramKind.PING, "x", vector=[0] * (MAX_VECTOR_LENGTH + 1)))
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(long, type=Datagram)


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
    sealed = MessageAuthenticator(SECRET, fleet, own.address, (1 << 62))
    swim.merge(
        [
            Update(f"{number:058}:65535", name, zone, region, incarnation, MemberState.ALIVE)
            for number, (name, zone, region, incarnation) in enumerate(members)
        ],
        0.0,
    )
    for step in range(1, 60):
        for _, message in swim.tick(step / 10).datagrams:
            without = len(sealed.seal(replace(message, vector=[])))
            assert len(sealed.seal(message)) <= max(MAX_DATAGRAM_BYTES, without)
            # only the longest names in characters of four bytes each pass the size, by themselves
            assert without <= MAX_DATAGRAM_BYTES or len(message.updates) == 1


# Digests


def swim_knowing(number: int, updates: list[Update]) -> Swim:
    """Return a member that has applied these updates and has nothing to broadcast."""
    swim = Swim(update(number), Random(number), 0.0)
    for one in updates:
        if one.address != swim.own.address:
            swim.table.apply(one, 0.0)
    swim.gossip.broadcasts.clear()
    return swim


def known(swim: Swim) -> tuple[dict[str, int], set[Update]]:
    """Return the incarnations of the live members, and the notices to be sent."""
    here = {place: swim.table.members[place].update.incarnation for place in swim.table.live()}
    return here | {swim.own.address: swim.own.incarnation}, set(swim.gossip.notices)


# Without suspicions: they end by themselves within seconds, so that no digest tells of them.
VIEWS = st.lists(
    st.builds(
        update,
        st.integers(1, 9),
        st.integers(0, 2),
        st.sampled_from([MemberState.ALIVE, MemberState.DEAD, MemberState.LEFT]),
    ),
    max_size=25,
)


@given(VIEWS, VIEWS, st.integers(1, 2))
def test_exchanging_differing_buckets_repairs_as_much_as_full_states(
    one: list[Update], other: list[Update], times: int
) -> None:
    def after(
        exchanged: Callable[[Swim, Swim], tuple[list[Update], list[Update]]],
    ) -> list[tuple[dict[str, int], set[Update]]]:
        pair = swim_knowing(1, one), swim_knowing(2, other)
        for _ in range(times):
            told = exchanged(*pair)
            pair[1].merge(told[0], 1.0)
            pair[0].merge(told[1], 1.0)
        return [known(swim) for swim in pair]

    def in_buckets(asker: Swim, asked: Swim) -> tuple[list[Update], list[Update]]:
        digests = asked.compare_digest(asker.digest())
        buckets = asker.differing_buckets(digests) if digests else []
        return asker.in_buckets(buckets), asked.in_buckets(buckets)

    assert after(in_buckets) == after(lambda asker, asked: (asker.full_state(), asked.full_state()))


@given(VIEWS, st.randoms(use_true_random=False))
def test_digests_are_equal_exactly_if_the_live_members_are(updates: list[Update], shuffled: Any) -> None:
    one, other = swim_knowing(1, updates), list(updates)
    shuffled.shuffle(other)
    another = swim_knowing(1, other)
    assert one.digest() == another.digest()
    assert one.compare_digest(another.digest()) == []
    assert one.differing_buckets(another.digests()) == []
    changed = update(8, 3)
    another.merge([changed], 0.0)
    bucket = bucket_of(changed.address)
    assert one.differing_buckets(another.compare_digest(one.digest())) == [bucket]
    assert changed in another.in_buckets([bucket])
    assert changed not in another.in_buckets([bucket - 1])
    before = another.digest()
    another.merge([update(8, 3, MemberState.SUSPECT)], 0.0)
    assert another.digest() == before  # a suspect counts as live
    one.table.apply(update(8, 3, MemberState.DEAD), 0.0)
    assert one.differing_buckets(another.compare_digest(one.digest())) == [bucket]
    another.leave()
    assert another.digest() != before


# On a virtual clock


def test_no_live_member_is_declared_dead_with_a_tenth_of_datagrams_lost() -> None:
    fleet = Members(5)
    fleet.loss = 0.1
    fleet.run(10_000 * PROBE_PERIOD_S)
    assert fleet.deaths == 0
    assert fleet.agreed()


def test_death_is_detected_despite_loss_and_duplicates() -> None:
    fleet = Members(16, 3)
    fleet.loss, fleet.twice = 0.2, 0.3
    fleet.run(5)
    victim = list(fleet.swims)[4]
    fleet.kill(victim)
    assert fleet.until(lambda: fleet.holding_dead(victim) == 15, 20) < 10
    assert fleet.until(fleet.agreed, 20) < 20


@pytest.mark.parametrize(("size", "most"), [(2, 6.0), (3, 5.0), (16, 4.0), (60, 4.0)])
def test_death_is_known_to_99_percent_soon(size: int, most: float) -> None:
    assert max(time_to_know(size, seed) for seed in range(3)) < most


@pytest.mark.parametrize(("size", "most"), [(8, 15), (32, 25), (64, 30)])
def test_halves_of_a_partition_agree_after_few_rounds(size: int, most: int) -> None:
    assert time_to_heal(size, 2) / PROBE_PERIOD_S < most


def test_distant_members_with_loss_are_hardly_ever_suspected() -> None:
    fleet = Members(60, 2)
    fleet.way_s, fleet.loss = (0.09, 0.12), 0.02  # 0.15 s are too short for an answer
    fleet.run(10)
    refuted = sum(swim.refutations for swim in fleet.swims.values())
    sent = fleet.sent
    fleet.run(60)
    assert fleet.deaths == 0
    assert sum(swim.refutations for swim in fleet.swims.values()) - refuted <= 1  # of 9,000 probes
    assert (fleet.sent - sent) / 60 / 60 < 7


def test_ack_timeout_decays_after_one_long_round_trip() -> None:
    swim, now = Swim(update(1), Random(1), 0.0), 0.0
    swim.merge([update(2)], 0.0)
    assert swim.detector.round_trip_times.ack_timeout_s("127.0.0.1:2") == MIN_ACK_TIMEOUT_S
    waits = []
    for took_s in [0.3] + [0.002] * 30:
        now += 1.0
        [(_, ping)] = [sent for sent in swim.tick(now).datagrams if sent[1].kind is DatagramKind.PING]
        swim.receive(Datagram(DatagramKind.ACK, "127.0.0.1:2", ping.seq), now + took_s)
        waits.append(swim.detector.round_trip_times.ack_timeout_s("127.0.0.1:2"))
    assert waits[0] == pytest.approx(0.3 * ACK_TIMEOUT_RTT_MULTIPLE)
    assert waits == sorted(waits, reverse=True)
    assert waits[-1] == MIN_ACK_TIMEOUT_S


def test_stalled_member_accuses_nobody_and_is_back_at_once() -> None:
    fleet = Members(30, 4)
    fleet.run(3)
    still = list(fleet.swims)[7]
    fleet.stand_still(still, True)
    fleet.run(5)
    assert fleet.holding_dead(still) == 29
    deaths = fleet.deaths
    fleet.stand_still(still, False)
    assert fleet.until(fleet.agreed, 10) < 3
    assert fleet.deaths == deaths
    assert fleet.swims[still].stalls == 1


def test_isolated_node_degrades_its_local_health() -> None:
    fleet = Members(16, 6)
    deaf = list(fleet.swims)[3]
    fleet.cut = apart({deaf})
    fleet.run(5)
    assert fleet.swims[deaf].detector.local_health.score > 0
    assert fleet.swims[next(iter(fleet.swims))].detector.local_health.score == 0


def test_name_may_move_to_another_address_and_live_duplicates_are_both_kept() -> None:
    fleet = Members(8, 2)
    fleet.run(2)
    old = list(fleet.swims)[2]
    fleet.kill(old)
    fleet.run(8)
    fleet.swims.pop(old)
    new = fleet.add(500, incarnation=2)
    fleet.swims[new].own = Update(new, "n2", "z", "r", 2, MemberState.ALIVE)
    fleet.exchange(new, next(iter(fleet.swims)))
    assert fleet.until(fleet.agreed, 10) < 5
    table = fleet.swims[next(iter(fleet.swims))].table
    assert table.duplicate_names() == {}
    again = fleet.add(501, incarnation=3)
    fleet.swims[again].own = Update(again, "n2", "z", "r", 3, MemberState.ALIVE)
    fleet.exchange(again, next(iter(fleet.swims)))
    assert fleet.until(fleet.agreed, 10) < 5
    assert table.duplicate_names() == {"n2": sorted([new, again])}


def test_datagrams_per_member_at_rest_do_not_grow_with_the_fleet() -> None:
    each = []
    for size in (10, 80):
        fleet = Members(size, 1)
        fleet.run(4)
        sent = fleet.sent
        fleet.run(5)
        each.append((fleet.sent - sent) / size / 5)
    assert each[1] < 1.2 * each[0] < 8


def test_members_that_know_one_seed_each_all_learn_of_each_other() -> None:
    fleet = Members(60, 1, joined=False)
    seeds = list(fleet.swims)[:3]
    for number, place in enumerate(fleet.swims):
        if place not in seeds:
            fleet.line.call_later(number / 60, fleet.exchange, place, seeds[number % 3])
    fleet.exchange(seeds[0], seeds[1])
    fleet.exchange(seeds[1], seeds[2])
    assert fleet.until(fleet.agreed, 20) < 5


def test_short_partition_of_a_few_does_not_have_all_others_declared_dead() -> None:
    fleet = Members(60, 4)
    few = set(list(fleet.swims)[:6])
    fleet.run(3)
    fleet.cut = apart(few)
    fleet.run(6)  # they are still finding out who is left, and telling each other
    assert all(fleet.holding_dead(place) > 50 for place in few)
    fleet.cut = lambda source, target: False
    deaths = fleet.deaths
    assert fleet.until(fleet.agreed, 20) < 10
    assert fleet.deaths - deaths < 60  # 279 where what they tell of deaths is believed


def test_accusations_by_a_dead_member_are_ignored() -> None:
    swim = Swim(update(1), Random(1), 0.0)
    swim.merge([update(2), update(3), update(2, 1, MemberState.LEFT)], 0.0)
    swim.receive(Datagram(DatagramKind.GOSSIP, "127.0.0.1:3", updates=[update(4, 1, MemberState.DEAD)]), 0.1)
    assert swim.table.members["127.0.0.1:4"].update.state is MemberState.DEAD
    heard = [update(3, 1, MemberState.DEAD), update(5), update(6)]
    swim.receive(Datagram(DatagramKind.GOSSIP, "127.0.0.1:5", updates=heard), 0.2)
    swim.receive(
        Datagram(
            DatagramKind.GOSSIP,
            "127.0.0.1:3",
            updates=[
                update(5, 1, MemberState.DEAD),
                update(6, 1, MemberState.SUSPECT),
                update(7),
                update(1, 1, MemberState.SUSPECT),
            ],
        ),
        0.3,
    )
    assert {place[-1]: member.update.state.name for place, member in swim.table.members.items()} == {
        "2": "LEFT",
        "3": "DEAD",
        "4": "DEAD",
        "5": "ALIVE",
        "6": "ALIVE",
        "7": "ALIVE",
    }
    assert swim.own.incarnation == 2  # what concerns itself it refutes


def test_member_that_was_held_for_dead_withdraws_its_suspicions() -> None:
    swim = Swim(update(1), Random(1), 0.0)
    swim.merge([update(2), update(3), update(4)], 0.0)
    swim.gossip.broadcasts.clear()
    swim.receive(
        Datagram(
            DatagramKind.GOSSIP,
            "127.0.0.1:2",
            updates=[update(3, 1, MemberState.SUSPECT, "127.0.0.1:2"), update(4, 1, MemberState.DEAD)],
        ),
        0.1,
    )
    swim.receive(Datagram(DatagramKind.GOSSIP, "127.0.0.1:2", updates=[update(1, 1, MemberState.DEAD)]), 0.2)
    assert swim.table.members["127.0.0.1:3"].update.state is MemberState.ALIVE
    assert swim.table.members["127.0.0.1:4"].update.state is MemberState.DEAD
    told = {
        (one.address, one.state)
        for to, message in swim.tick(0.4).datagrams
        for one in message.updates
        if to != "127.0.0.1:4"
    }  # whom it concerns is told in any case
    assert told == {("127.0.0.1:1", MemberState.ALIVE)}
    assert swim.next_tick_s() < 0.4 + PROBE_PERIOD_S


def test_accusations_by_a_rejoined_member_are_ignored_for_some_seconds() -> None:
    """It never hears that it was held for dead: its earlier life was. 480 false deaths came of that."""
    swim, partitioned = Swim(update(1), Random(1), 0.0), "127.0.0.1:3"
    swim.merge([update(2), update(3), update(4), update(5)], 0.0)
    swim.receive(Datagram(DatagramKind.GOSSIP, "127.0.0.1:2", updates=[update(3, 1, MemberState.DEAD)]), 0.1)
    swim.receive(
        Datagram(DatagramKind.GOSSIP, "127.0.0.1:2", updates=[update(3, 9)]), 0.2
    )  # heard by way of another
    swim.receive(
        Datagram(
            DatagramKind.GOSSIP,
            partitioned,
            updates=[
                update(4, 1, MemberState.DEAD, partitioned),
                update(5, 1, MemberState.SUSPECT, partitioned),
                update(6),
            ],
        ),
        0.3,
    )
    assert {swim.table.members[f"127.0.0.1:{number}"].update.state for number in (3, 4, 5, 6)} == {
        MemberState.ALIVE
    }
    swim.receive(Datagram(DatagramKind.GOSSIP, "127.0.0.1:2", updates=[update(4, 1, MemberState.DEAD)]), 0.4)
    assert swim.table.members["127.0.0.1:4"].update.state is MemberState.DEAD  # others are believed
    swim.receive(
        Datagram(DatagramKind.GOSSIP, partitioned, updates=[update(5, 1, MemberState.DEAD)]),
        0.2 + REJOIN_DISTRUST_S + 0.1,
    )
    assert swim.table.members["127.0.0.1:5"].update.state is MemberState.DEAD  # and so is it, later


@pytest.mark.parametrize(
    ("pieces", "least", "mean"), [(10, 13, 13.5), (200, 13, 13.5), (1000, 5, 8), (3000, 5, 7)]
)
def test_updates_are_sent_less_often_when_many_are_pending(pieces: int, least: int, mean: float) -> None:
    """A region that loses all others has 3,000 deaths to tell: at 28 times each they waited for minutes."""
    swim = Swim(update(1), Random(1), 0.0)
    swim.merge([update(2 + number) for number in range(20)], 0.0)
    swim.gossip.broadcasts.clear()
    swim.merge(
        [Update(f"127.0.0.2:{number}", "n", "z", "r", 2, MemberState.DEAD) for number in range(pieces)], 0.0
    )
    sent: Counter[str] = Counter()
    now = 0.0
    while swim.gossip.broadcasts:
        now += 0.05
        for _, message in swim.tick(now).datagrams:
            sent.update(one.address for one in message.updates if one.address.startswith("127.0.0.2"))
    assert len(sent) == pieces
    assert min(sent.values()) >= least
    assert sum(sent.values()) / pieces <= mean


def test_accusations_by_a_member_that_had_left_are_believed_at_once() -> None:
    swim = Swim(update(1), Random(1), 0.0)
    swim.merge([update(2), update(3), update(4)], 0.0)
    swim.receive(Datagram(DatagramKind.GOSSIP, "127.0.0.1:2", updates=[update(3, 1, MemberState.LEFT)]), 0.1)
    swim.receive(
        Datagram(DatagramKind.GOSSIP, "127.0.0.1:3", updates=[update(3, 9), update(4, 1, MemberState.DEAD)]),
        0.2,
    )
    assert swim.table.members["127.0.0.1:4"].update.state is MemberState.DEAD


def test_datagram_from_a_dead_member_stops_the_broadcast_of_deaths() -> None:
    swim = Swim(update(1), Random(1), 0.0)
    swim.merge([update(2), update(3), update(4), update(5)], 0.0)
    swim.receive(
        Datagram(
            DatagramKind.GOSSIP,
            "127.0.0.1:2",
            updates=[update(3, 1, MemberState.DEAD), update(4, 1, MemberState.DEAD), update(6)],
        ),
        0.1,
    )
    swim.receive(Datagram(DatagramKind.PING, "127.0.0.1:3", 1), 0.2)
    told = {
        one.address[-1]: one.state
        for to, message in swim.tick(0.4).datagrams
        for one in message.updates
        if to != one.address
    }
    assert told["6"] is MemberState.ALIVE
    assert "4" not in told
    assert swim.table.members["127.0.0.1:4"].update.state is MemberState.DEAD  # until it hears otherwise


@pytest.mark.parametrize("found_out_s", [2, 3, 4])
@pytest.mark.parametrize("seed", [1, 2])
def test_restarts_during_a_partition_cause_hardly_any_false_deaths(seed: int, found_out_s: float) -> None:
    """They heard of the others' deaths while these were told; believed, they caused 66 to 359 false ones."""
    fleet = Members(100, seed)
    fleet.run(3)
    few = list(fleet.swims)[:20]
    fleet.cut = apart(set(few))
    fleet.run(found_out_s)
    for number in (3, 7):
        fleet.kill(few[number])
        fleet.swims.pop(few[number])
        assert fleet.add(number, incarnation=2) == few[number]
        fleet.exchange(few[number], few[0])
    fleet.run(6)
    fleet.cut = lambda source, target: False
    deaths = fleet.deaths
    assert fleet.until(fleet.agreed, 30) < 5
    assert fleet.deaths - deaths <= 20


# What is refused


def authenticator(
    address: str = "127.0.0.1:1", secret: bytes = SECRET, fleet: str = "f", incarnation: int = 1
) -> MessageAuthenticator:
    return MessageAuthenticator(secret, fleet, address, incarnation)


@pytest.mark.parametrize(
    ("spoil", "why"),
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
def test_forged_foreign_and_replayed_messages_are_rejected(spoil: Callable[[bytes], bytes], why: str) -> None:
    here = authenticator("127.0.0.1:9")
    data = authenticator().seal(Datagram(DatagramKind.PING, "127.0.0.1:1", 7))
    assert here.open(data, Datagram)[1].seq == 7
    with pytest.raises(RejectedMessageError, match=why):
        here.open(spoil(data), Datagram)


@given(st.binary(max_size=2000))
@settings(max_examples=200)
def test_arbitrary_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(RejectedMessageError):
        authenticator().open(data, Datagram)


def test_another_protocol_version_is_rejected_with_a_valid_digest() -> None:
    one = authenticator()
    inner = b"\x02" + one.seal(Datagram(DatagramKind.PING, "x"))[17:]
    with pytest.raises(RejectedMessageError, match="version"):
        authenticator("127.0.0.1:9").open(
            blake2b(inner, digest_size=DIGEST_BYTES, key=SECRET).digest() + inner, Datagram
        )


def test_missing_or_short_secret_is_a_config_error(tmp_path: Path) -> None:
    (tmp_path / "short").write_text("short\n")
    for name in ("none", "short"):
        with pytest.raises(ConfigError) as caught:
            read_secret(str(tmp_path / name))
        assert caught.value.key == "fleet.secret_file"


# On sockets


@pytest.fixture
def start(tmp_path: Path) -> Iterator[Callable[..., Membership]]:
    made: list[Membership] = []
    (tmp_path / "secret").write_bytes(SECRET)
    (tmp_path / "other").write_bytes(SECRET + b"!")

    def make(name: str, seeds: list[Membership], secret: str = "secret") -> Membership:
        at = "127.0.0.1", 0
        one = Membership(
            Fleet("f", at, at, tuple(seed.address for seed in seeds), "z", "r", str(tmp_path / secret)),
            name,
            Random(name),
            Counters(),
        )
        made.append(one)
        one.start()
        return one

    yield make
    for one in made:
        one.close()


def names(one: Membership) -> list[str]:
    return sorted(member.name for member in one.live())


def test_nodes_join_through_a_seed_leave_and_are_detected_dead(start: Callable[..., Membership]) -> None:
    first = start("a", [])
    others = [start(name, [first]) for name in "bcde"]
    fleet = [first, *others]
    assert soon(lambda: all(names(one) == list("abcde") for one in fleet))
    others[3].leave()
    assert soon(lambda: all(names(one) == list("abcd") for one in fleet[:4]))
    others[2].close()  # without a word
    assert soon(lambda: all(names(one) == list("abc") for one in fleet[:3]))
    states = {member["name"]: member["state"] for member in first.status()["members"]}
    assert states == {"b": "alive", "c": "alive", "d": "dead", "e": "left"}
    assert first.forget("b") is False
    assert first.forget("x") is None
    assert first.forget("d") is True
    assert soon(
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
    first, heard = start("a", []), dict[str, list[int]]()
    second = start("b", [first])
    assert soon(lambda: names(first) == names(second) == ["a", "b"])
    at_first, at_second = (one.live()[0].address for one in (first, second))
    first.handlers[Question] = lambda asked: Answer(asked.text[::-1]) if asked.text else None
    assert second.request(at_first, Question(at_second, "abc"), Answer) == Answer("cba")
    assert second.request(at_first, Question(at_second, ""), Answer) is None
    assert first.request(at_second, Question(at_first, "abc"), Answer) is None  # it answers none of that kind
    assert second._counters.snapshot()["fleet.refused_malformed"] == 1
    reply = second.request(at_first, StateRequest(at_second, []), StateReply)
    assert reply is not None
    assert {member.name for member in reply.updates} == {"a", "b"}
    first.piggyback(lambda: [1, 2, 3], lambda *told: None)
    second.piggyback(list, lambda sender, vector, now: heard.update({sender: vector}))
    second.ping([at_first])
    assert soon(lambda: heard == {at_first: [1, 2, 3]})


def test_unreachable_member_and_missing_reply_are_different_errors(
    start: Callable[..., Membership],
) -> None:
    first, second, gone = start("a", []), start("b", []), start("c", [])
    at, asked, heard = second.live()[0].address, Question("x", "abc"), list[str]()
    gone.close()
    second.handlers[Question] = lambda question: heard.append(question.text)
    with pytest.raises(NoReplyError):
        first.request_once(at, asked, Answer)
    assert heard == ["abc"]
    with pytest.raises(MemberUnreachableError):
        first.request_once(gone.live()[0].address, asked, Answer)
    second.handlers[Question] = lambda question: Answer(question.text)
    assert first.request_once(at, asked, Answer) == Answer("abc")


def test_reply_may_take_as_long_as_the_requester_waits(
    start: Callable[..., Membership], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(requests, "REQUEST_TIMEOUT_S", 0.2)
    first, second = start("a", []), start("b", [])

    def answer(asked: Question) -> Answer:
        time.sleep(0.5)
        return Answer("late")

    second.handlers[Question] = answer
    at, asked = second.live()[0].address, Question("x", "")
    assert first.request(at, asked, Answer, 5.0) == Answer("late")
    assert first.request(at, asked, Answer, 0.1) is None


def test_node_with_another_secret_is_ignored(start: Callable[..., Membership]) -> None:
    first = start("a", [])
    stranger, friend = start("x", [first], "other"), start("b", [first])
    assert soon(lambda: names(friend) == ["a", "b"])
    assert names(stranger) == ["x"]
    assert not stranger.status()["own"]["joined"]
    assert first._counters.snapshot()["fleet.refused_forged"] > 0


def test_live_nodes_with_one_name_are_reported_and_both_kept(start: Callable[..., Membership]) -> None:
    first = start("a", [])
    start("b", [first])
    start("b", [first])
    assert soon(lambda: names(first) == ["a", "b", "b"])
    assert len(first.status()["namesakes"]["b"]) == 2
    assert soon(lambda: "fleet.namesakes" in first._counters.snapshot())


def test_node_whose_seeds_are_dead_serves_alone(start: Callable[..., Membership]) -> None:
    gone = start("s", [])
    gone.close()
    alone = start("a", [gone])
    assert soon(lambda: alone._counters.snapshot().get("fleet.unjoined", 0) > 1)
    assert names(alone) == ["a"]
    assert not alone.status()["own"]["joined"]


def test_members_exchange_digests_and_only_the_buckets_that_differ(
    start: Callable[..., Membership],
) -> None:
    first, second = start("a", []), start("b", [])
    at = first.live()[0].address
    second.state_sync.compare(at)
    assert names(first) == names(second) == ["a", "b"]
    assert first._counters.snapshot()["fleet.states_differ"] == 1
    second.state_sync.compare(at)
    assert first._counters.snapshot()["fleet.states_equal"] == 1
    assert first._counters.snapshot()["fleet.states_given"] == 1


@pytest.mark.parametrize("part", [0.0, 1.0])
def test_member_without_digests_is_asked_for_its_full_state_by_some_only(
    start: Callable[..., Membership], monkeypatch: pytest.MonkeyPatch, part: float
) -> None:
    monkeypatch.setattr(state_sync, "FULL_STATE_FRACTION", part)
    older, newer = start("a", []), start("b", [])
    del older.handlers[DigestRequest], older.handlers[BucketsRequest]
    newer.state_sync.compare(older.live()[0].address)
    assert names(newer) == (["a", "b"] if part else ["b"])
    assert older._counters.snapshot().get("fleet.states_given", 0) == part
    assert (
        older.state_sync.exchange(newer.live()[0].address) is not None
    )  # which an older one always asks for
    assert names(newer) == names(older) == ["a", "b"]


def test_member_limits_full_states_and_redirects_further_requesters(start: Callable[..., Membership]) -> None:
    first = start("a", [])
    start("b", [first])
    assert soon(lambda: names(first) == ["a", "b"])
    asker = start("c", [first])
    assert soon(lambda: asker.status()["own"]["joined"])
    first.state_sync.state_reply_limiter = TokenBucket(0.0, 5.0, time.monotonic())
    replies: list[StateReply | None] = [
        asker.state_sync.exchange("{}:{}".format(*first.address)) for _ in range(20)
    ]
    given = [reply for reply in replies if reply and not reply.alternatives]
    assert len(given) == 5
    assert all(reply is not None for reply in replies)
