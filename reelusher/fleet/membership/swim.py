"""The protocol, free of I/O: SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2018).

All times are seconds by a clock that only goes on. What a call returns is to be sent; nothing here waits.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import reduce
from heapq import heapify, heappop, heappush
from math import inf, log, log2
from operator import xor
from random import Random

from msgspec.structs import replace

from reelusher.fleet.membership.member_table import MemberChange, MemberTable, bucket_of, mark_of
from reelusher.fleet.membership.messages import (
    Datagram,
    DatagramKind,
    MemberState,
    Update,
    number_size,
    update_size,
)

PERIOD_S = 0.4  # between probes of one node; each member is probed by someone about that often
DIRECT_S = 0.15  # until others are asked to probe too, at the least
UNKNOWN_S = 0.3  # the same in another region that was not heard from yet
PATIENCE = 1.25  # times the way to a region and back, until others are asked
PATIENCE_MOST_S = 0.5  # however long that way was
EASE = 0.125  # part by which what is known of a way comes down to one that was shorter
MOST_REGIONS = 64  # whose ways are remembered
HELPERS = 3  # that are asked
NACK_PART = 0.8  # of a helper's time, after which it says that it hears nothing either
GOSSIP_S = 0.1  # between rounds of gossip, which there are only while there is news
FANOUT = 4  # members that a round goes to
SPREAD = 2  # times log2 of the size, and so many more: how often one piece of news is sent on. One that is
SPREAD_LEAST = 5  # sent k times by each misses a member with a chance of exp(-k), which digests then mend
MANY_NEWS = 256  # pieces to send on, past which each is sent on the more rarely, the more there are
MOST_NEWS = 16  # pieces in one datagram
NEWS_BYTES = 870  # that they and the vector take: with the longest names all else takes 520
CONFIRM = 3  # further accusers that bring a suspicion to its shortest time
SUSPECT_S = 0.5  # the shortest time of a suspicion, to which comes
SUSPECT_LOG_S = 0.05  # so much for each doubling of the fleet: news of it must get there and back
SUSPECT_MOST = 3.0  # times the shortest: with no accuser beside the first
HEALTH_MOST = 2  # the worst local health: probes are up to so many times slower, and one; more than that
#                  and the few on one side of a cut would take half a minute to find out who is left
STALL_S = 2 * PERIOD_S  # the node itself stood still: it has nobody to blame for that time
LAST_CALL_S = 0.2  # an accuser waits so long for the answer to its last call
UNHEARD_S = 2 * PERIOD_S  # so long does a helper that heard nothing join a suspicion
RECONNECTS = 3.0  # members held for dead that all live ones together try in a period
DIGEST_MASK = (1 << 32) - 1  # of a bucket's digest, on the wire
RETURN_S = 10.0  # for which one that is back from the dead is not believed of others' deaths
TELLS = 8  # members told in a round of gossip what was heard of them


@dataclass(slots=True)
class Probe:
    """One that is under way."""

    target: str
    seq: int
    ask_s: float  # when others are asked
    end_s: float
    sent_s: float
    again: int | None = None  # seq of the second direct one
    asked: set[str] = field(default_factory=set)  # helpers that have not said that they hear nothing either
    indirect: bool = False  # helpers were asked, where there are any


@dataclass(slots=True)
class Relayed:
    """A probe for someone else."""

    asker: str
    target: str
    seq: int  # the asker's
    nack_s: float
    end_s: float


@dataclass(slots=True)
class News:
    """A piece that is being sent on."""

    said: Update
    size: int  # bytes on the wire, at most
    sent: int = 0


@dataclass(slots=True)
class Suspicion:
    """One that runs here."""

    since_s: float
    due_s: float = inf  # when it is looked at


@dataclass(slots=True)
class Said:
    """What came of a call: datagrams to send, by place, and states that changed."""

    out: list[tuple[str, Datagram]] = field(default_factory=list)
    changes: list[MemberChange] = field(default_factory=list)


class Swim:
    """One member's part of the protocol."""

    def __init__(self, own: Update, random: Random, now: float) -> None:
        self.own, self.random = own, random
        self.table = MemberTable(random)
        self.health = 0  # 0 is well; Lifeguard's local health multiplier less one
        self.refuted = 0
        self.stalls = 0
        self.vector: Callable[[], list[int]] = list  # asked for what rides on each datagram
        self._sized: tuple[list[int], int] = [], 0  # what was asked for last, and its bytes
        self.heard: Callable[[str, list[int], float], None] = lambda sender, vector, now: None
        self.sync_with: set[str] = set()  # members to exchange full states with: there is much to tell
        self._probe: Probe | None = None
        self._ended: Probe | None = None  # the one before, whose answer may yet tell how long the way is
        self._ways: dict[str, float] = {}  # by region, there and back
        self._relayed: dict[int, Relayed] = {}
        self._doubted: OrderedDict[str, None] = OrderedDict()  # to be probed before all others
        self._unheard: dict[str, float] = {}  # asked for others in vain, and when
        self._returned: OrderedDict[str, float] = OrderedDict()  # held for dead until then, the latest last
        self._news: dict[str, News] = {}
        self._least_told: list[tuple[int, int, News]] = []  # a heap of the news; some are old
        self._queued = 0
        self._tells: deque[Update] = deque()
        self._seq = random.getrandbits(32)
        self._next_probe_s = now + random.uniform(0.0, PERIOD_S)
        self._next_gossip_s = now + random.uniform(0.0, GOSSIP_S)
        self._suspicions: dict[str, Suspicion] = {}
        self._suspicions_due: list[tuple[float, str]] = []  # a heap of them; some are old
        self._last_calls: dict[str, float] = {}  # suspects that were called once more, and until when
        self._ticked_s = now
        self._said = Said()
        self._spread(own)

    def _took(self) -> Said:
        said, self._said = self._said, Said()
        return said

    # What the table tells

    def size(self) -> int:
        """Return how many live members there are, this one among them."""
        return 1 + self.table.count()

    def suspicion_s(self, accusers: int) -> float:
        """Return how long a suspicion lasts that so many hold: the more, the shorter."""
        least = SUSPECT_S + SUSPECT_LOG_S * log2(self.size() + 1)
        confirm = max(1, min(CONFIRM, self.size() - 3))
        most = least * SUSPECT_MOST
        part = log(max(1, accusers)) / log(confirm + 1)
        return max(least, most - (most - least) * part)

    def _suspicion_ends(self, place: str, since_s: float) -> float:
        """Return when this node takes a suspect for dead, or, as an accuser, calls it once more before that.

        A refutation that is late is heard by the last call. Only accusers make one, and there are few; all
        others wait for their word, and go by themselves only where it stays out.
        """
        accusers = self.table.members[place].accusers
        due_s = since_s + self.suspicion_s(len(accusers))
        return self._last_calls.get(place, due_s if self.own.place in accusers else due_s + 2 * LAST_CALL_S)

    # Digests: two that count the same ones as live, in the same lives, have nothing to tell each other

    def digests(self) -> list[int]:
        """Return 32 bits for each bucket of members, this one among them."""
        made = [digest & DIGEST_MASK for digest in self.table.digests]
        if self.own.state < MemberState.DEAD:
            made[bucket_of(self.own.place)] ^= mark_of(self.own) & DIGEST_MASK
        return made

    def digest(self) -> int:
        """Return 63 bits for all live members."""
        return reduce(xor, self.table.digests, mark_of(self.own) if self.own.state < MemberState.DEAD else 0)

    def compared(self, whole: int) -> list[int]:
        """Return the digests of all buckets, or none where the other's whole is the same."""
        return [] if whole == self.digest() else self.digests()

    def differing(self, digests: list[int]) -> list[int]:
        """Return the buckets in which the other knows something else."""
        return [
            bucket
            for bucket, (own, other) in enumerate(zip(self.digests(), digests, strict=True))
            if own != other
        ]

    def in_buckets(self, buckets: Iterable[int]) -> list[Update]:
        """Return all that is known of the members in these buckets, the gone among them."""
        wanted = set(buckets)
        own = [self.own] if bucket_of(self.own.place) in wanted else []
        return own + self.table.in_buckets(wanted)

    def state(self) -> list[Update]:
        """Return all that is known, this member first."""
        return [self.own, *(member.said for member in self.table.members.values())]

    # Time

    def next_s(self) -> float:
        """Return when `tick` is wanted at the latest."""
        times = [self._next_probe_s]
        if self._news or self._tells:
            times.append(self._next_gossip_s)
        if self._probe:
            times.append(min(self._probe.end_s, self._probe.ask_s))
        times += [one.nack_s for one in self._relayed.values()]
        if self._suspicions_due:
            times.append(self._suspicions_due[0][0])
        return min(times)

    def tick(self, now: float) -> Said:
        """Do what is due."""
        stood_s = now - self._ticked_s
        self._ticked_s = now
        if stood_s > STALL_S + self.health * PERIOD_S:
            self._stalled(stood_s, now)
        if self.own.state is MemberState.LEFT:  # what it heard last is still passed on
            self._next_probe_s = now + PERIOD_S
            if now >= self._next_gossip_s:
                self._gossip(now)
            return self._took()
        self._probe_on(now)
        self._relay_on(now)
        self._suspect_on(now)
        if now >= self._next_probe_s:
            self._unheard = {place: at for place, at in self._unheard.items() if now - at < UNHEARD_S}
            self._begin_probe(now)
        if now >= self._next_gossip_s:
            self._gossip(now)
        return self._took()

    def _stalled(self, stood_s: float, now: float) -> None:
        """Don't hold it against others that this process stood still."""
        self.stalls += 1
        self._worse()
        self._probe = None
        self._relayed.clear()
        self._last_calls.clear()
        self._suspicions_due.clear()
        for place, suspicion in self._suspicions.items():
            suspicion.since_s += stood_s
            self._set_suspicion(place)

    # Suspicions

    def _set_suspicion(self, place: str) -> None:
        """Set when a suspicion is to be looked at, after what that depends on has changed."""
        suspicion = self._suspicions.get(place)
        if suspicion is not None:
            suspicion.due_s = self._suspicion_ends(place, suspicion.since_s)
            heappush(self._suspicions_due, (suspicion.due_s, place))

    def _drop_suspicion(self, place: str) -> None:
        self._suspicions.pop(place, None)
        self._last_calls.pop(place, None)
        if not self._suspicions:
            self._suspicions_due.clear()

    def _suspect_on(self, now: float) -> None:
        while self._suspicions_due and self._suspicions_due[0][0] <= now:
            due_s, place = heappop(self._suspicions_due)
            suspicion, member = self._suspicions.get(place), self.table.members.get(place)
            if suspicion is None or suspicion.due_s != due_s:
                continue
            if member is None or member.said.state is not MemberState.SUSPECT:
                self._drop_suspicion(place)
            elif now < self._suspicion_ends(place, suspicion.since_s):  # the fleet has grown
                self._set_suspicion(place)
            elif place in self._last_calls or self.own.place not in member.accusers:
                self._learn(replace(member.said, state=MemberState.DEAD, accuser=self.own.place), now)
            else:
                self._last_calls[place] = now + max(LAST_CALL_S, self.direct_s(place))
                self._set_suspicion(place)
                self._seq += 1
                self._send(place, DatagramKind.PING, self._seq)

    # Probes

    def _worse(self, by: int = 1) -> None:
        self.health = min(HEALTH_MOST, self.health + by)

    def _begin_probe(self, now: float) -> None:
        slower = 1 + self.health
        self._next_probe_s = now + PERIOD_S * slower * self.random.uniform(0.9, 1.1)
        self._reconnect()
        if self._probe is not None:
            return
        target = None
        while self._doubted and target is None:
            doubted = self._doubted.popitem(last=False)[0]
            target = doubted if self._here(doubted) else None
        target = target or self.table.next_target()
        if target is None:
            return
        self._seq += 1
        direct_s = self.direct_s(target) * slower
        # by way of a helper it may be as far again, twice; until the ways are known, as far as direct
        far_s = max(self._ways.values(), default=0.0)
        far_s = max(far_s, direct_s) if direct_s > DIRECT_S * slower else far_s
        end_s = max(PERIOD_S * 0.9 * slower, direct_s + 2 * far_s)
        self._probe = Probe(target, self._seq, now + direct_s, now + end_s, now)
        self._send(target, DatagramKind.PING, self._seq)

    def direct_s(self, place: str) -> float:
        """Return how long the answer of a member may take: by the way to its region and back."""
        member = self.table.members.get(place)
        region = member.said.region if member is not None else self.own.region
        way_s = self._ways.get(region)
        if way_s is None:
            return DIRECT_S if region == self.own.region else UNKNOWN_S
        return max(DIRECT_S, way_s * PATIENCE)

    def _note_way(self, place: str, took_s: float) -> None:
        """Note how long a member's answer took: a longer one counts at once, a shorter one by and by."""
        member = self.table.members.get(place)
        if member is None:
            return
        region, took_s = member.said.region, min(took_s, PATIENCE_MOST_S / PATIENCE)
        known = self._ways.get(region, 0.0)
        if region not in self._ways and len(self._ways) >= MOST_REGIONS:
            del self._ways[next(iter(self._ways))]
        self._ways[region] = max(took_s, known + (took_s - known) * EASE)

    def _here(self, place: str) -> bool:
        member = self.table.members.get(place)
        return member is not None and member.here

    def _probe_on(self, now: float) -> None:
        probe = self._probe
        if probe is None:
            return
        if now >= probe.end_s:
            self._probe, self._ended = None, probe
            member = self.table.members.get(probe.target)
            # Helpers that did not even say that they hear nothing: it may be this node that is deaf. Or they
            # lie beyond the same cut, so they are next: else the few on one side find out late who is left.
            self._worse(len(probe.asked) if probe.indirect else 1)
            for place in sorted(probe.asked):
                self._doubted.setdefault(place)
            if member is not None and member.here:
                self._learn(replace(member.said, state=MemberState.SUSPECT, accuser=self.own.place), now)
        elif now >= probe.ask_s:
            helpers = self.table.some(HELPERS, probe.target)
            probe.asked, probe.indirect, probe.ask_s = set(helpers), bool(helpers), inf
            for helper in helpers:
                self._send(helper, DatagramKind.PING_REQUEST, probe.seq, probe.target)
            # The one datagram may have been lost, as may the three ways round: of the 9,000 probes that 3,600
            # members make in a second, too many would end so.
            self._seq += 1
            probe.again = self._seq
            self._send(probe.target, DatagramKind.PING, probe.again)

    def _relay_on(self, now: float) -> None:
        for seq, one in list(self._relayed.items()):
            if now >= one.end_s:
                del self._relayed[seq]
                self._unheard[one.target] = now
                self._confirm(one.target, now)
            elif now >= one.nack_s:
                one.nack_s = one.end_s
                self._send(one.asker, DatagramKind.NACK, one.seq)

    def _confirm(self, place: str, now: float) -> None:
        """Join a suspicion of one that has not answered here either; it begins none by itself."""
        member = self.table.members.get(place)
        if (
            member is not None
            and member.said.state is MemberState.SUSPECT
            and (now - self._unheard.get(place, -inf) < UNHEARD_S and self.own.place not in member.accusers)
        ):
            self._learn(replace(member.said, accuser=self.own.place), now)

    def _reconnect(self) -> None:
        """Try one that is held for dead: a cut may have healed. All together make few such tries."""
        if self.table.dead and self.random.random() < RECONNECTS / self.size():
            self._seq += 1
            self._send(self.random.choice(self.table.dead), DatagramKind.PING, self._seq)

    # News

    def _limit(self) -> int:
        """Return how often a piece is sent on: the more there are the more rarely, or they wait long."""
        usual = int(SPREAD * log2(self.size() + 1)) + SPREAD_LEAST
        return max(SPREAD_LEAST, usual * MANY_NEWS // max(MANY_NEWS, len(self._news)))

    def _spread(self, said: Update) -> None:
        news = self._news[said.place] = News(said, update_size(said))
        if len(self._least_told) > 2 * len(self._news) + MOST_NEWS:
            self._least_told = [
                one for one in self._least_told if self._news.get(one[2].said.place) is one[2]
            ]
            heapify(self._least_told)
        self._queue(news)

    def _queue(self, news: News) -> None:
        self._queued += 1
        heappush(self._least_told, (news.sent, self._queued, news))

    def _pick_news(self, to: str, left: int) -> tuple[list[Update], int]:
        """Return what is to be told: what concerns the one spoken to first, then what was told least.

        With the bytes that are left: negative where one piece took more.
        """
        about = self.table.members.get(to)
        told = [about.said] if about is not None and about.said.state is not MemberState.ALIVE else []
        if told:
            left -= update_size(told[0])
        limit, again = self._limit(), list[News]()
        while self._least_told and len(told) < MOST_NEWS:
            news = self._least_told[0][2]
            place = news.said.place
            if self._news.get(place) is not news:  # newer news has taken its place
                heappop(self._least_told)
                continue
            if told and left < news.size:
                break
            heappop(self._least_told)
            if place != to or news.said.state is MemberState.ALIVE:
                told.append(news.said)
                left -= news.size
            news.sent += 1
            if news.sent >= limit:
                del self._news[place]
            else:
                again.append(news)
        for news in again:
            self._queue(news)
        return told, left

    def _send(self, to: str, kind: DatagramKind, seq: int = 0, target: str = "") -> None:
        told, left = self._pick_news(to, NEWS_BYTES - self._vector_size())
        self._emit(to, kind, seq, target, told, left >= 0)

    def _vector_size(self) -> int:
        vector = self.vector()
        if vector is not self._sized[0]:  # it is asked for each datagram, and seldom another
            self._sized = vector, sum(map(number_size, vector))
        return self._sized[1]

    def _emit(
        self, to: str, kind: DatagramKind, seq: int, target: str, told: list[Update], fits: bool
    ) -> None:
        """Send a message, without the vector where one piece with the longest names leaves no room for it."""
        vector = self._sized[0] if fits else []
        self._said.out.append((to, Datagram(kind, self.own.place, seq, target, told, vector)))

    def _tell(self, to: str, said: Update) -> None:
        """Send one piece of news by itself."""
        self._emit(
            to, DatagramKind.GOSSIP, 0, "", [said], self._vector_size() + update_size(said) <= NEWS_BYTES
        )

    def _gossip(self, now: float) -> None:
        self._next_gossip_s = now + GOSSIP_S * self.random.uniform(0.9, 1.1)
        for _ in range(min(TELLS, len(self._tells))):
            said = self._tells.popleft()
            self._tell(said.place, said)
        if self._news:
            for to in self.table.some(FANOUT):
                self._send(to, DatagramKind.GOSSIP)

    def _learn(self, said: Update, now: float) -> None:
        """Take a piece of news; what is new is sent on."""
        if said.place == self.own.place:
            self._hear_of_self(said, now)
            return
        member = self.table.members.get(said.place)
        if (
            member is not None
            and said.state is MemberState.SUSPECT is member.said.state
            and (
                said.incarnation == member.said.incarnation
                and said.accuser not in member.accusers
                and len(member.accusers) <= CONFIRM
            )
        ):
            self.table.accuse(said.place, said.accuser)  # one more who does not hear from it
            self._set_suspicion(said.place)
            self._spread(said)
            return
        change = self.table.take(said, now)
        if change is None:
            if member is not None and said.beats(member.said):  # a new life of one that was live before
                self._spread(said)
            return
        self._said.changes.append(change)
        self._spread(said)
        if change.before is MemberState.DEAD and said.state < MemberState.DEAD:
            self._returned[said.place] = now
            self._returned.move_to_end(said.place)
        if said.state is MemberState.SUSPECT:
            self._suspicions[said.place] = Suspicion(now)
            self._set_suspicion(said.place)
            self._confirm(said.place, now)
        else:
            self._drop_suspicion(said.place)
            self._unheard.pop(said.place, None)

    def _hear_of_self(self, said: Update, now: float) -> None:
        """Refute what is wrong; whoever has to is in doubt of its own health."""
        if self.own.state is MemberState.LEFT or not (
            said.beats(self.own) or said.state is not MemberState.ALIVE
        ):
            return
        if said.incarnation < self.own.incarnation:  # refuted already, but whoever says so has not heard
            if self.own.place not in self._news:
                self._spread(self.own)
            return
        self.refuted += 1
        self._worse()
        if said.state is MemberState.DEAD:
            self._take_back(now)
        self.own = replace(self.own, incarnation=said.incarnation + 1)
        self._spread(self.own)

    def _returned_lately(self, place: str, now: float) -> bool:
        """Tell whether one was held for dead here until some seconds ago.

        Its life may be a new one, begun while it was apart: that never hears that it was held for dead, and
        has the deaths of all others from those that it was apart with.
        """
        while self._returned and now - next(iter(self._returned.values())) > RETURN_S:
            self._returned.popitem(last=False)
        return place in self._returned

    def _hold_back(self) -> None:
        """Say no more of deaths: one that was held for dead lives, so others that were with it may too."""
        for place, news in list(self._news.items()):
            if news.said.state in (MemberState.SUSPECT, MemberState.DEAD):
                del self._news[place]

    def _take_back(self, now: float) -> None:
        """Say no more of deaths, and suspect nobody: this member was apart, and blamed the others."""
        self._hold_back()
        for place in list(self._suspicions):
            self._drop_suspicion(place)
            self.table.clear(place, now)

    # What comes in

    def receive(self, message: Datagram, now: float) -> Said:
        """Take a datagram."""
        sender = self.table.members.get(message.sender)
        apart = self._returned_lately(message.sender, now)
        if sender is not None and sender.said.state is MemberState.DEAD:
            apart = True
            self.sync_with.add(message.sender)  # it lives: there is a side that this one has not heard of
            self._hold_back()
        if message.vector:
            self.heard(message.sender, message.vector, now)
        for said in message.updates:
            # Who was apart took all others for dead, and tells so for as long as it has news of it.
            if not apart or said.state is MemberState.ALIVE or said.place == self.own.place:
                self._learn(said, now)
        match message.kind:
            case DatagramKind.PING if self.own.state is not MemberState.LEFT:
                self._send(message.sender, DatagramKind.ACK, message.seq)
            case DatagramKind.PING_REQUEST if self.own.state is not MemberState.LEFT:
                self._seq += 1
                slower = 1 + self.health
                self._relayed[self._seq] = Relayed(
                    message.sender,
                    message.target,
                    message.seq,
                    now + DIRECT_S * NACK_PART,
                    now + PERIOD_S * slower,
                )
                self._send(message.target, DatagramKind.PING, self._seq)
            case DatagramKind.ACK:
                self._acked(message, now)
            case DatagramKind.NACK if self._probe and self._probe.seq == message.seq:
                self._probe.asked.discard(message.sender)
            case _:
                pass
        return self._took()

    def _acked(self, message: Datagram, now: float) -> None:
        for probe in (self._probe, self._ended):
            if probe is not None and probe.seq == message.seq and probe.target == message.sender:
                self._note_way(probe.target, now - probe.sent_s)
        relayed = self._relayed.pop(message.seq, None)
        if relayed is not None:
            self._send(relayed.asker, DatagramKind.ACK, relayed.seq)
        elif self._probe is not None and message.seq in (self._probe.seq, self._probe.again):
            self._probe, self._ended = None, self._probe
            self.health = max(0, self.health - 1)

    def merge(self, updates: Iterable[Update], now: float) -> Said:
        """Take a full state, or that of some buckets.

        A death that is news here is told to whom it concerns before it is believed.
        """
        for said in updates:
            member = self.table.members.get(said.place)
            hearsay = MemberState.ALIVE < said.state < MemberState.LEFT
            if hearsay and member is not None and member.here and said.beats(member.said):
                self._tells.append(said)
            elif (
                member is not None
                and member.said.state is MemberState.DEAD
                and said.place != self.own.place
                and (not said.state and said.incarnation <= member.said.incarnation)
            ):
                self._tells.append(member.said)  # live over there, dead here: if it lives, it will say so
            else:
                self._learn(said, now)
        return self._took()

    def join(self, updates: Iterable[Update], now: float) -> Said:
        """Take the full state of a member to join by: all of it is known to all but this one.

        What it lacks is told on: others may have joined through this one before.
        """
        told = {one.place: one for one in updates}
        said = self.merge(told.values(), now)
        for place, news in list(self._news.items()):
            known = told.get(place)
            if known is not None and not news.said.beats(known):
                del self._news[place]
        self._spread(self.own)
        return said

    def quiet(self) -> None:
        """Take all news for told: everyone knows it from elsewhere."""
        self._news.clear()
        self._least_told.clear()

    # What operators and the node want

    def call(self, place: str) -> Said:
        """Ping a member beside the probes: its answer carries its vector, and nobody is blamed for none."""
        self._seq += 1
        self._send(place, DatagramKind.PING, self._seq)
        return self._took()

    def leave(self) -> Said:
        """Say that this member leaves; told to enough that it gets round, since nothing follows."""
        self.own = replace(self.own, state=MemberState.LEFT)
        self._spread(self.own)
        for to in self.table.some(FANOUT * 3):
            self._tell(to, self.own)
        return self._took()

    def forget(self, place: str, now: float) -> Said | None:
        """Have the fleet take a dead member for one that has left; None where it lives or is not known."""
        member = self.table.members.get(place)
        if member is None or member.here:
            return None
        self._learn(replace(member.said, state=MemberState.LEFT, accuser=""), now)
        return self._took()
