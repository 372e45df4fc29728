"""SWIM's failure detector with Lifeguard's local health: direct and indirect probes. Free of I/O."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from random import Random

from msgspec.structs import replace

from reelusher.fleet.membership.gossip import Gossip
from reelusher.fleet.membership.member_table import MemberTable
from reelusher.fleet.membership.messages import Datagram, DatagramKind, MemberState, Update

PROBE_PERIOD_S = 0.4  # between the probes that one node starts
MIN_ACK_TIMEOUT_S = 0.15  # shortest time-out of an ack; after it, helpers are asked to probe the target too
UNKNOWN_REGION_ACK_TIMEOUT_S = 0.3  # for another region whose round-trip time is not known
ACK_TIMEOUT_RTT_MULTIPLE = 1.25  # ack time-out divided by the round-trip time
MAX_ACK_TIMEOUT_S = 0.5
RTT_DECAY = 0.125  # fraction of the difference by which a round-trip time approaches a shorter sample
MAX_REGIONS = 64  # regions whose round-trip times are remembered
INDIRECT_PROBE_COUNT = 3  # helpers that are asked to probe a target
NACK_TIMEOUT_FRACTION = 0.8  # fraction of `MIN_ACK_TIMEOUT_S` after which a helper sends a NACK
MAX_LOCAL_HEALTH = 2  # a higher limit delays the smaller side of a partition in detecting unreachable members
# time after a failed indirect probe in which the helper joins a suspicion of the target
FAILED_INDIRECT_PROBE_TTL_S = 2 * PROBE_PERIOD_S
RECONNECTS_PER_PERIOD = 3.0  # pings to dead members per probe period, by all live members together


class LocalHealth:
    """Lifeguard's local health: a node that misses answers lengthens its time-outs and its probe period."""

    def __init__(self) -> None:
        self.score = 0  # 0 is healthy, `MAX_LOCAL_HEALTH` the worst

    def multiplier(self) -> int:
        """Return the factor by which time-outs and the probe period are lengthened."""
        return 1 + self.score

    def degrade(self, by: int = 1) -> None:
        """Count failures that this node may have caused itself."""
        self.score = min(MAX_LOCAL_HEALTH, self.score + by)

    def improve(self) -> None:
        """Count a probe that succeeded."""
        self.score = max(0, self.score - 1)


class RoundTripTimes:
    """The round-trip time to each region, from which ack time-outs are derived."""

    def __init__(self, own_region: str, table: MemberTable) -> None:
        self._own_region, self._table = own_region, table
        self._rtt_s_by_region: dict[str, float] = {}

    def longest_s(self) -> float:
        """Return the longest known round-trip time, 0 if none is known."""
        return max(self._rtt_s_by_region.values(), default=0.0)

    def ack_timeout_s(self, address: str) -> float:
        """Return how long the ack of a member may take in seconds, while the local health is good."""
        member = self._table.members.get(address)
        region = member.update.region if member is not None else self._own_region
        rtt_s = self._rtt_s_by_region.get(region)
        if rtt_s is None:
            return MIN_ACK_TIMEOUT_S if region == self._own_region else UNKNOWN_REGION_ACK_TIMEOUT_S
        return max(MIN_ACK_TIMEOUT_S, rtt_s * ACK_TIMEOUT_RTT_MULTIPLE)

    def observe(self, address: str, rtt_s: float) -> None:
        """Record a round-trip time: a longer one takes effect at once, a shorter one gradually."""
        member = self._table.members.get(address)
        if member is None:
            return
        region, rtt_s = member.update.region, min(rtt_s, MAX_ACK_TIMEOUT_S / ACK_TIMEOUT_RTT_MULTIPLE)
        known_s = self._rtt_s_by_region.get(region, 0.0)
        if region not in self._rtt_s_by_region and len(self._rtt_s_by_region) >= MAX_REGIONS:
            del self._rtt_s_by_region[next(iter(self._rtt_s_by_region))]
        self._rtt_s_by_region[region] = max(rtt_s, known_s + (rtt_s - known_s) * RTT_DECAY)


@dataclass(slots=True)
class Probe:
    """A probe in progress."""

    target: str
    seq: int
    indirect_due_s: float  # when helpers are asked; infinity once they have been asked
    end_s: float  # when the probe has failed
    sent_s: float
    retry_seq: int | None = None  # sequence number of the second direct ping
    silent_helpers: set[str] = field(default_factory=set)  # helpers that have not sent a NACK
    had_helpers: bool = False  # whether there were helpers to ask


@dataclass(slots=True)
class IndirectProbe:
    """A probe on behalf of another member."""

    requester: str
    target: str
    requester_seq: int
    nack_due_s: float  # when a NACK is sent; `end_s` once it has been sent
    end_s: float  # when the probe has failed


class FailureDetector:
    """Probes one member after another and reports suspects."""

    def __init__(
        self,
        own: Update,
        table: MemberTable,
        gossip: Gossip,
        random: Random,
        now: float,
        report_suspicion: Callable[[Update, float], None],
    ) -> None:
        """`report_suspicion` is called with each suspicion and the time."""
        self._own_address, self._table, self._gossip, self._random = own.address, table, gossip, random
        self._report_suspicion = report_suspicion
        self.local_health = LocalHealth()
        self.round_trip_times = RoundTripTimes(own.region, table)
        self._probe: Probe | None = None
        self._previous_probe: Probe | None = None  # a late answer to it still gives a round-trip time
        self._indirect_probes: dict[int, IndirectProbe] = {}  # by the sequence number of the helper's ping
        self._priority_targets: OrderedDict[str, None] = OrderedDict()  # helpers that sent no NACK
        self._failed_indirect_s: dict[str, float] = {}  # by target, when the last indirect probe of it failed
        self._next_probe_s = now + random.uniform(0.0, PROBE_PERIOD_S)

    def next_due_s(self) -> float:
        """Return the time by which the detector must be called again."""
        times = [self._next_probe_s, *(probe.nack_due_s for probe in self._indirect_probes.values())]
        if self._probe:
            times += self._probe.end_s, self._probe.indirect_due_s
        return min(times)

    def reset(self) -> None:
        """Abandon the probes in progress without suspecting their targets."""
        self._probe = None
        self._indirect_probes.clear()

    def advance(self, now: float) -> None:
        """Continue the probes in progress."""
        self._advance_probe(now)
        self._advance_indirect_probes(now)

    def start_probe_if_due(self, now: float) -> None:
        """Once a probe period, start a probe if none is in progress; now and then, ping a dead member too."""
        if now < self._next_probe_s:
            return
        self._failed_indirect_s = {
            address: failed_s
            for address, failed_s in self._failed_indirect_s.items()
            if now - failed_s < FAILED_INDIRECT_PROBE_TTL_S
        }
        period_s = PROBE_PERIOD_S * self.local_health.multiplier()
        self._next_probe_s = now + period_s * self._random.uniform(0.9, 1.1)
        self._reconnect()
        target = self._next_target() if self._probe is None else None
        if target is not None:
            self._start_probe(target, now)

    def _next_target(self) -> str | None:
        while self._priority_targets:
            address = self._priority_targets.popitem(last=False)[0]
            member = self._table.members.get(address)
            if member is not None and member.is_live:
                return address
        return self._table.next_target()

    def _start_probe(self, target: str, now: float) -> None:
        slowdown = self.local_health.multiplier()
        ack_timeout_s = self.round_trip_times.ack_timeout_s(target) * slowdown
        # allow for a helper in the most distant region, and for a target just as far from that helper
        helper_allowance_s = self.round_trip_times.longest_s()
        if ack_timeout_s > MIN_ACK_TIMEOUT_S * slowdown:
            helper_allowance_s = max(helper_allowance_s, ack_timeout_s)
        end_s = max(PROBE_PERIOD_S * 0.9 * slowdown, ack_timeout_s + 2 * helper_allowance_s)
        seq = self._gossip.ping(target)
        self._probe = Probe(target, seq, now + ack_timeout_s, now + end_s, now)

    def _advance_probe(self, now: float) -> None:
        probe = self._probe
        if probe is None:
            return
        if now >= probe.end_s:
            self._fail_probe(probe, now)
        elif now >= probe.indirect_due_s:
            self._probe_indirectly(probe)

    def _fail_probe(self, probe: Probe, now: float) -> None:
        self._probe, self._previous_probe = None, probe
        # If helpers sent no NACK, this node may not be receiving, or a partition separates it from them and
        # from the target. They are probed next; otherwise the smaller side of a partition would take long
        # to detect which members it can't reach.
        self.local_health.degrade(len(probe.silent_helpers) if probe.had_helpers else 1)
        for address in sorted(probe.silent_helpers):
            self._priority_targets.setdefault(address)
        member = self._table.members.get(probe.target)
        if member is not None and member.is_live:
            suspicion = replace(member.update, state=MemberState.SUSPECT, accuser=self._own_address)
            self._report_suspicion(suspicion, now)

    def _probe_indirectly(self, probe: Probe) -> None:
        helpers = self._table.sample(INDIRECT_PROBE_COUNT, probe.target)
        probe.silent_helpers, probe.had_helpers, probe.indirect_due_s = set(helpers), bool(helpers), inf
        for helper in helpers:
            self._gossip.send(helper, DatagramKind.PING_REQUEST, probe.seq, probe.target)
        # a single ping is not enough: in a large fleet with packet loss, too many probes would lose
        # that ping and all the indirect ones
        probe.retry_seq = self._gossip.ping(probe.target)

    def _advance_indirect_probes(self, now: float) -> None:
        for seq, probe in list(self._indirect_probes.items()):
            if now >= probe.end_s:
                del self._indirect_probes[seq]
                self._failed_indirect_s[probe.target] = now
                self.confirm_suspicion(probe.target, now)
            elif now >= probe.nack_due_s:
                probe.nack_due_s = probe.end_s
                self._gossip.send(probe.requester, DatagramKind.NACK, probe.requester_seq)

    def confirm_suspicion(self, address: str, now: float) -> None:
        """Join an existing suspicion if this node's own indirect probe of the member failed recently."""
        member = self._table.members.get(address)
        if member is None or member.update.state is not MemberState.SUSPECT:
            return
        failed_recently = now - self._failed_indirect_s.get(address, -inf) < FAILED_INDIRECT_PROBE_TTL_S
        if failed_recently and self._own_address not in member.accusers:
            self._report_suspicion(replace(member.update, accuser=self._own_address), now)

    def forget_failed_indirect_probe(self, address: str) -> None:
        """Forget that an indirect probe of a member failed."""
        self._failed_indirect_s.pop(address, None)

    def _reconnect(self) -> None:
        """Ping a random dead member now and then, since a partition may have healed."""
        dead = self._table.dead
        if dead and self._random.random() < RECONNECTS_PER_PERIOD / self._table.fleet_size():
            self._gossip.ping(self._random.choice(dead))

    # Received datagrams

    def on_ping_request(self, request: Datagram, now: float) -> None:
        """Probe a member on behalf of another."""
        seq = self._gossip.ping(request.target)
        nack_due_s = now + MIN_ACK_TIMEOUT_S * NACK_TIMEOUT_FRACTION
        end_s = now + PROBE_PERIOD_S * self.local_health.multiplier()
        self._indirect_probes[seq] = IndirectProbe(
            request.sender, request.target, request.seq, nack_due_s, end_s
        )

    def on_ack(self, ack: Datagram, now: float) -> None:
        """End the probe that an ack belongs to, or forward the ack to the member that requested the probe."""
        for probe in (self._probe, self._previous_probe):
            if probe is not None and probe.seq == ack.seq and probe.target == ack.sender:
                self.round_trip_times.observe(probe.target, now - probe.sent_s)
        indirect = self._indirect_probes.pop(ack.seq, None)
        if indirect is not None:
            self._gossip.send(indirect.requester, DatagramKind.ACK, indirect.requester_seq)
        elif self._probe is not None and ack.seq in (self._probe.seq, self._probe.retry_seq):
            self._probe, self._previous_probe = None, self._probe
            self.local_health.improve()

    def on_nack(self, nack: Datagram) -> None:
        """Record that a helper is reachable, but has had no answer from the target either."""
        if self._probe and self._probe.seq == nack.seq:
            self._probe.silent_helpers.discard(nack.sender)
