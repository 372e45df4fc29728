"""Decisions of a replica, free of I/O: who is ahead, whom to ask, what to give, what to take.

State-based anti-entropy with one writer for each stream, reconciled by version vectors as Scuttlebutt does
(van Renesse, Dumitriu, Gough, Thomas, "Efficient Reconciliation and Flow Control for Anti-Entropy
Protocols", 2008). A name's stream is found by rendezvous hashing (Thaler and Ravishankar 1998).

An epoch is `term * 8 + the index of its holder` among the sorted control members, as ballots are numbered:
two take-overs that don't know of each other can't begin one epoch, and every position tells its holder.

What holds of every replica at position (epoch, number): for each name, the newest entry that anybody has in
this epoch's history, if its number is not past the position, is here. A piece that was cut from a giver's
state keeps that true. It does not mean that the rows are those of one instant: between a piece and the next
a name may lack an entry that is superseded by one up to `PartitionState.goal`, which is still to come. So
  - a later epoch is gone on with only where `goal` lies within the history that both share;
  - tombstones that a giver has collected may concern the asker's rows only past its `covered`.
A replica that can't go on is refilled: from 0, beside the rows that it has, which serve on; rows that the
refill did not meet go at its end. Its position stays as it was until then, and it gives nothing of that
stream meanwhile.

All times are seconds by a clock that only goes on. `heard` and `asked` may come from any thread, and never
wait for a disk; `take`, `accept`, `begin_term` and `collect` write, one at a time. All else is called by one
thread.
"""

import threading
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from itertools import pairwise
from math import inf
from random import Random
from typing import NamedTuple

import msgspec

from reelusher.fleet.replication.messages import (
    MOST_BASES,
    MOST_CONTROL,
    MOST_INSTEAD,
    MOST_PIECE,
    MOST_REPLY,
    Base,
    EntriesReply,
    EntriesRequest,
    LogEntry,
    LogSegment,
)
from reelusher.fleet.replication.replica_store import PartitionState, ReplicaError, ReplicaStore
from reelusher.pacing.backoff import Backoff
from reelusher.pacing.token_bucket import TokenBucket

FORMAT = 1  # of entries and pieces; members of another do not exchange any
JITTER_S = 0.02, 0.15  # from hearing that someone is ahead to asking
LEAST_S = 0.1  # between pulls, so that one brings many changes
FILL_PER_S = 5.0  # full pieces that a replica takes a second while it fills: 6 ms of a core each
PULL_S = 5.0  # a pull that has not come to an end after so long is over
FAIL_S = 0.1, 5.0  # between tries where nobody who is ahead answers
SHUN_S = 1.0, 30.0  # for which one is not asked that did not answer, or gave nothing of use
AHEAD_S = 30.0  # for which it counts that someone was heard to be ahead
CHOICES = 3  # members ahead that are drawn, of which the one that is ahead most is asked
MOST_AHEAD = 32  # members ahead that are remembered
MOST_LEVEL = 16  # members that are as far as this one
GIVEN_BYTES = 20 * MOST_PIECE, 40 * MOST_PIECE  # that a replica gives in a second, and at once
GIVEN_REPLIES = 50.0, 50.0  # the same of replies: most bring one change
CLAIM_S = 30.0  # for which it counts that someone was heard to have more of a stream than its holder
MUCH = 100  # changes of a stream: who has none of it and heard of more is filling; fewer are in force at once
KEPT_S = 7 * 86_400.0  # tombstones


class Position(NamedTuple):
    """How far a replica is in a stream; a later epoch is further than any number of an earlier."""

    epoch: int
    number: int


Vector = dict[str, Position]  # by stream


def ordered(control: Sequence[str]) -> tuple[str, ...]:
    """Return the streams in the order of vectors: sorted names of the control members."""
    return tuple(sorted(set(control)))


def control_digest(control: Sequence[str]) -> int:
    """Return 32 bits that tell this list of control members, and the format, from others."""
    told = "\0".join((str(FORMAT), *ordered(control))).encode()
    return int.from_bytes(blake2b(told, digest_size=4).digest())


def stream_of(name: str, control: Sequence[str]) -> str:
    """Return the stream that a name belongs to: the control member with the highest random weight."""
    return max(
        control,
        key=lambda member: (blake2b(name.encode(), digest_size=8, key=member.encode()[:64]).digest(), member),
    )


def first_epoch(stream: str, control: Sequence[str]) -> int:
    """Return the epoch that a stream begins with, held by the control member of its name."""
    return MOST_CONTROL + ordered(control).index(stream)


def next_epoch(epoch: int, holder: str, control: Sequence[str]) -> int:
    """Return the epoch of the next term, with a holder."""
    return (epoch // MOST_CONTROL + 1) * MOST_CONTROL + ordered(control).index(holder)


def holder_of(epoch: int, control: Sequence[str]) -> str:
    """Return the name of the control member that writes in an epoch."""
    return ordered(control)[epoch % MOST_CONTROL]


def pack(vector: Vector, control: Sequence[str]) -> list[int]:
    """Return a vector as datagrams carry it: digest, then epoch and number of each stream."""
    made = [control_digest(control)]
    for stream in ordered(control):
        made += vector[stream]
    return made


def unpack(packed: Sequence[int], control: Sequence[str]) -> Vector | None:
    """Read a vector; None where it is of another list of control members."""
    streams = ordered(control)
    if len(packed) != 1 + 2 * len(streams) or packed[0] != control_digest(control):
        return None
    return {stream: Position(packed[1 + 2 * at], packed[2 + 2 * at]) for at, stream in enumerate(streams)}


def shared_upto(first: Sequence[Base], second: Sequence[Base]) -> float:
    """Return the last number up to which two histories are one; infinite where one continues the other's end.

    A history is told by the bases of its epochs. It leaves another at the first base that only one has.
    """
    same = 0
    while same < min(len(first), len(second)) and first[same] == second[same]:
        same += 1
    return min((base for _, base in (*first[same:], *second[same:])), default=inf)


@dataclass(slots=True)
class Ahead:
    """A member that was heard to be ahead."""

    zone: str
    vector: list[int]
    heard_s: float


@dataclass(slots=True, frozen=True)
class Pull:
    """A question that is under way."""

    place: str
    request: EntriesRequest
    until_s: float


@dataclass(slots=True)
class PullResult:
    """What came of a reply."""

    pieces: int = 0
    entries: int = 0
    names: list[str] = field(default_factory=list)  # that changed
    refused: list[str] = field(default_factory=list)  # a word for the counters for each piece not taken
    orphans: dict[str, int] = field(default_factory=dict)  # rows kept aside, by stream
    refills: list[str] = field(default_factory=list)  # streams of which a refill began
    broken: str = ""  # the copy could not be written


class NotLeaderError(Exception):
    """This node does not write the stream, or may not at present; the text says why."""


class Replica:
    """One node's part."""

    def __init__(
        self,
        own_place: str,
        control: Sequence[str],
        rows: ReplicaStore,
        random: Random,
        zone: str = "",
        now: float = 0.0,
        own_name: str = "",
    ) -> None:
        """Members of the same zone are asked before others; by its name a node may be a stream's holder."""
        self.own_name = own_name
        self.guard: Callable[[str], str] = lambda stream: ""  # why a stream may not be written, see `writer`
        self.own_place, self.control, self.rows = own_place, ordered(control), rows
        self._zone = zone
        self._random = random
        self._digest = control_digest(control)
        self._writing = threading.RLock()  # held round each transaction
        self._lock = threading.Lock()  # of whom is known to be where; held for reckoning only
        self._ahead: dict[str, Ahead] = {}
        self._level: deque[str] = deque(maxlen=MOST_LEVEL)
        self._shunned: dict[str, tuple[float, Backoff]] = {}  # until when
        self._claims: dict[str, tuple[Position, str, float]] = {}  # highest position heard, by whom, when
        self._bytes, self._replies = TokenBucket(*GIVEN_BYTES, now), TokenBucket(*GIVEN_REPLIES, now)
        self._backoff = Backoff(random, *FAIL_S)
        self._pulling: Pull | None = None
        self._due_s = inf
        self.states: dict[str, PartitionState] = {}
        self._announced: list[int] = []
        self.reload()

    def reload(self, begin: Callable[[], object] = lambda: None) -> None:
        """Have other rows begun by `begin`, and read where they stand; nothing is written in between."""
        with self._writing:
            begin()
            kept = self.rows.states()
            self._level.clear()
            self._adopt(
                {
                    stream: kept.get(stream) or PartitionState(first_epoch(stream, self.control))
                    for stream in self.control
                }
            )

    def _adopt(self, states: dict[str, PartitionState]) -> None:
        """Note where the streams stand; both are replaced as a whole, for those who read them meanwhile."""
        self.states = states
        self._announced = pack(
            {stream: Position(state.epoch, state.number) for stream, state in states.items()}, self.control
        )

    def _became(self, stream: str, state: PartitionState) -> None:
        self._adopt(self.states | {stream: state})

    # What is known of others

    def announce(self) -> list[int]:
        """Return the vector to send; not to be changed."""
        return self._announced

    def ahead(self, vector: Sequence[int]) -> bool:
        """Tell whether a vector has anything that is not here."""
        own = self._announced
        if vector == own or len(vector) != len(own) or vector[0] != self._digest:
            return False
        for at in range(1, len(own), 2):
            epoch = own[at]
            if vector[at] > epoch or (vector[at] == epoch and vector[at + 1] > own[at + 1]):
                return True
        return False

    def _gain(self, vector: Sequence[int]) -> int:
        """Return how many numbers a vector is ahead by, in all streams; a later epoch is ahead of any."""
        own, gain = self._announced, 0
        for at in range(1, len(own), 2):
            if vector[at] > own[at]:
                gain += 1 << 32
            elif vector[at] == own[at] and vector[at + 1] > own[at + 1]:
                gain += vector[at + 1] - own[at + 1]
        return gain

    def heard(self, place: str, zone: str, vector: list[int], now: float) -> str:
        """Take what a member announces; return "", or a word for the counters where it is refused."""
        if vector == self._announced:
            self._level.append(place)
            return ""
        if len(vector) != len(self._announced) or vector[0] != self._digest:
            return "control"
        if not self.ahead(vector) or place == self.own_place:
            return ""
        if any(epoch % MOST_CONTROL >= len(self.control) for epoch in vector[1::2]):
            return "epoch"
        with self._lock:
            self._ahead.pop(place, None)
            self._ahead[place] = Ahead(zone, vector, now)
            if len(self._ahead) > MOST_AHEAD:
                del self._ahead[next(iter(self._ahead))]
            for at, stream in enumerate(self.control):
                told = Position(vector[1 + 2 * at], vector[2 + 2 * at])
                known = self._claims.get(stream)
                if known is None or told >= known[0] or now - known[2] > CLAIM_S:
                    self._claims[stream] = told, place, now
        if self._due_s == inf:
            self._due_s = now + self._random.uniform(*JITTER_S)
        return ""

    def claimed(self, stream: str, now: float) -> Position | None:
        """Return the furthest position that was heard of a stream of late, where it is past this node's."""
        with self._lock:
            known = self._claims.get(stream)
        state = self.states[stream]
        if known is None or now - known[2] > CLAIM_S or known[0] <= (state.epoch, state.number):
            return None
        return known[0]

    def filling(self, now: float) -> bool:
        """Tell whether many rows may be missing that others have: a name not found may yet come."""
        return any(
            state.cursor >= 0
            or state.goal > state.number
            or (not state.number and ((state.lost and not self._level) or self._claimed_much(stream, now)))
            for stream, state in self.states.items()
        )

    def _claimed_much(self, stream: str, now: float) -> bool:
        claimed = self.claimed(stream, now)
        return claimed is not None and claimed.number > MUCH

    def fresh(self) -> bool:
        """Tell whether nothing was ever taken, nor anybody heard who has nothing either."""
        return not self._level and not any(state.number for state in self.states.values())

    # Pulling

    def due_s(self) -> float:
        """Return when `next_pull` is wanted; infinite: not before someone is heard to be ahead."""
        return self._pulling.until_s if self._pulling else self._due_s

    def next_pull(self, now: float) -> Pull | None:
        """Return whom to ask what, where that is due. Its end is to be told by `take` or `failed`."""
        if self._pulling is not None:
            if now < self._pulling.until_s:
                return None
            self.failed(self._pulling, now)
        if now < self._due_s:
            return None
        with self._lock:
            self._ahead = {
                place: one
                for place, one in self._ahead.items()
                if now - one.heard_s < AHEAD_S and self.ahead(one.vector)
            }
            self._shunned = {
                place: kept
                for place, kept in self._shunned.items()
                if place in self._ahead or now < kept[0] + SHUN_S[1]
            }
            able = [place for place in self._ahead if now >= self._shunned.get(place, (0.0,))[0]]
            if not able:
                self._due_s = min(
                    (kept[0] for place, kept in self._shunned.items() if place in self._ahead), default=inf
                )
                return None
            near = [place for place in able if self._ahead[place].zone == self._zone]
            drawn = self._random.sample(near or able, min(CHOICES, len(near or able)))
            place = max(drawn, key=lambda one: self._gain(self._ahead[one].vector))
        states = [self.states[stream] for stream in self.control]
        vector = [self._digest]
        for state in states:
            vector += state.epoch, state.since
        request = EntriesRequest(
            self.own_place, self._digest, vector, [state.covered if state.since else 0 for state in states]
        )
        self._pulling = Pull(place, request, now + PULL_S)
        self._due_s = inf
        return self._pulling

    def failed(self, pull: Pull, now: float) -> None:
        """Note that a member did not answer."""
        if self._pulling is not pull:
            return
        self._pulling = None
        self._shun(pull.place, now)
        self._due_s = now + self._backoff.next_s()

    def _shun(self, place: str, now: float) -> None:
        with self._lock:
            kept = self._shunned.get(place)
            backoff = kept[1] if kept else Backoff(self._random, *SHUN_S)
            self._shunned[place] = now + backoff.next_s(), backoff

    def take(self, pull: Pull, reply: EntriesReply, now: float) -> PullResult:
        """Take what a member gave; each piece is one transaction."""
        taken = PullResult()
        if self._pulling is not pull:
            return taken
        self._pulling = None
        for piece in reply.pieces:
            fault = self.fault(piece)
            if fault:
                taken.refused.append(fault)
                break  # whoever gives one that is bad is asked for nothing more
            try:
                self._take_piece(piece, taken)
            except ReplicaError as error:
                taken.broken = str(error)
                break
        self.rows.changed(taken.names)
        if taken.broken:
            self._due_s = now + self._backoff.next_s()
            return taken
        if taken.pieces:
            self._backoff.reset()
            with self._lock:
                self._shunned.pop(pull.place, None)
        else:
            self._note_instead(pull, reply, now)
            self._shun(pull.place, now)
        more = any(piece.more for piece in reply.pieces)
        with self._lock:
            behind = any(self.ahead(one.vector) for one in self._ahead.values())
        if more or behind:
            # by bytes, not by pieces: one change in each of several streams is no fill
            size = sum(entry.size for piece in reply.pieces for entry in piece.entries)
            wait_s = max(LEAST_S, size / MOST_PIECE / FILL_PER_S) if taken.pieces else self._backoff.next_s()
            self._due_s = now + wait_s * self._random.uniform(0.8, 1.2)
        return taken

    def _note_instead(self, pull: Pull, reply: EntriesReply, now: float) -> None:
        """Take the word of a giver that has given enough for who else is as far as itself."""
        with self._lock:
            known = self._ahead.get(pull.place)
            if known is None:
                return
            for place in reply.instead:
                if place not in self._ahead and place != self.own_place and len(self._ahead) < MOST_AHEAD:
                    self._ahead[place] = Ahead("", known.vector, now)

    # Taking

    def fault(self, piece: LogSegment) -> str:
        """Return "", or a word for the counters where a piece can't be true."""
        if piece.stream not in self.control:
            return "stream"
        own = self.states[piece.stream]
        if piece.epoch < own.epoch or piece.epoch % MOST_CONTROL >= len(self.control):
            return "epoch"
        if not _is_history(piece.bases, piece.epoch, first_epoch(piece.stream, self.control)) or (
            piece.epoch == own.epoch and piece.bases != own.bases
        ):
            return "bases"
        if not piece.since <= piece.upto <= piece.goal:
            return "numbers"
        last, names = piece.since, set[str]()
        for entry in piece.entries:
            if not last < entry.number <= piece.upto or entry.name in names:
                return "numbers"
            if entry.epoch > piece.epoch:
                return "epoch"
            last = entry.number
            names.add(entry.name)
            if stream_of(entry.name, self.control) != piece.stream:
                return "name"
        return ""

    def _take_piece(self, piece: LogSegment, taken: PullResult) -> None:
        with self._writing:
            state = self.states[piece.stream]
            if holder_of(piece.epoch, self.control) == self.own_name and (
                (state.epoch, state.number) < (piece.epoch, piece.upto)
            ):
                state = replace(state, put_back=True)  # others know changes of this node's that it does not
            if piece.epoch > state.epoch:
                state = self._go_over(piece, state, taken)
            if piece.since != state.since:
                if piece.since or not state.number:
                    taken.refused.append("stale")  # not asked for from here: the next pull tells the position
                    return
                # its tombstones of what is here are collected: all anew, beside what serves on
                state = replace(state, generation=state.generation + 1, cursor=0)
                taken.refills.append(piece.stream)
            elif piece.since and (state.covered < piece.horizon or piece.covered < state.horizon):
                taken.refused.append("stale")  # one of the two has rows whose removal the other has forgotten
                return
            state, drop = advanced(state, piece)
            if (
                state.lost
                and state.number >= state.goal
                and (holder_of(state.epoch, self.control) != self.own_name)
            ):
                state = replace(state, lost=False)  # only a holder has to know which numbers it gave
            if state == self.states[piece.stream] and not piece.entries:
                return
            filling = piece.more or state.cursor >= 0 or drop
            taken.names += self.rows.apply(piece.stream, piece.entries, state, drop, trail=not filling)
            self._became(piece.stream, state)
        taken.pieces += 1
        taken.entries += len(piece.entries)

    def _go_over(self, piece: LogSegment, state: PartitionState, taken: PullResult) -> PartitionState:
        """Go over to a later epoch. Rows that are not of its history are kept aside."""
        shared = shared_upto(state.bases, piece.bases)
        later = replace(state, epoch=piece.epoch, bases=piece.bases)
        if state.goal <= shared and state.number <= shared:
            return later
        number = 0 if state.number > shared else state.number
        later = replace(
            later, number=number, goal=number, covered=0, horizon=0, cursor=0, generation=state.generation + 1
        )
        if state.number > shared:
            told = self.rows.orphan(piece.stream, int(shared), later)
            taken.orphans[piece.stream] = taken.orphans.get(piece.stream, 0) + told
        taken.refills.append(piece.stream)
        taken.pieces += 1  # that much is new, whatever comes of its entries
        self.rows.apply(piece.stream, [], later)
        self._became(piece.stream, later)
        return later

    # Giving

    def asked(self, request: EntriesRequest, now: float) -> EntriesReply:
        """Return what a member lacks, within what this one gives. Raises `ReplicaError`."""
        if request.control != self._digest or len(request.vector) != len(self._announced):
            return EntriesReply([])
        with self._lock:
            spent = self._bytes.available(now) <= 0 or self._replies.available(now) < 1
            if not spent:
                self._replies.take(1)
        if spent:
            return EntriesReply([], self._others(request.sender))
        left, pieces = MOST_REPLY, []
        order = list(enumerate(self.control))
        self._random.shuffle(order)  # a stream with much to give does not keep others from being given
        for at, stream in order:
            if left <= 0:
                break
            asker = Position(*request.vector[1 + 2 * at : 3 + 2 * at])
            covered = request.covered[at] if at < len(request.covered) else asker.number
            for piece in self._pieces(stream, asker, covered, left):
                left -= sum(entry.size for entry in piece.entries)
                pieces.append(piece)
        with self._lock:
            self._bytes.take(MOST_REPLY - left)
        return EntriesReply(pieces[:MOST_CONTROL])

    def _others(self, besides: str) -> list[str]:
        with self._lock:
            known = {*self._level.copy(), *self._ahead} - {besides}
        return self._random.sample(sorted(known), min(MOST_INSTEAD, len(known)))

    def _pieces(self, stream: str, asker: Position, covered: int, most: int) -> Iterator[LogSegment]:
        """Return pieces of a stream for one that stands at a position."""
        state = self.states[stream]
        if asker >= (state.epoch, state.number) or state.cursor >= 0:
            return  # while it is refilled, some of its rows may be of no history, or removed
        since = asker.number
        later = [base for epoch, base in state.bases if epoch > asker.epoch]
        if since > min(later, default=inf) or (since > 0 and covered < state.horizon):
            since = 0
        while most > 0:
            given = self.rows.given(stream, since, min(most, MOST_PIECE))
            if (
                given is None
                or given.state.cursor >= 0
                or (given.state.epoch, given.state.number) < (state.epoch, state.number)
            ):
                return  # other rows were begun meanwhile
            state = given.state
            upto = given.entries[-1].number if given.more else max(since, state.number)
            yield LogSegment(
                stream,
                state.epoch,
                state.bases,
                since,
                upto,
                given.entries,
                given.more,
                state.horizon,
                max(upto, state.covered),
                max(upto, state.goal),
            )
            most -= sum(entry.size for entry in given.entries)
            since = upto
            if not given.more:
                return

    # Writing

    def holds(self, stream: str, own_name: str) -> bool:
        """Tell whether a member of this name writes a stream, as far as is known here."""
        return holder_of(self.states[stream].epoch, self.control) == own_name

    def accept(self, stream: str, own_name: str, made: LogEntry) -> LogEntry:
        """Number a change of the holder's and make it durable.

        Raises `NotLeaderError` and `ReplicaError`, and ValueError where no other member would take it.
        """
        if stream_of(made.name, self.control) != stream:
            raise ValueError(f"{made.name!r} is not of stream {stream}")
        try:
            msgspec.msgpack.decode(msgspec.msgpack.encode(made), type=LogEntry)
        except msgspec.ValidationError as error:
            raise ValueError(str(error)) from None
        with self._writing:
            state = self.states[stream]
            if not self.holds(stream, own_name):
                raise NotLeaderError(f"{holder_of(state.epoch, self.control)} writes stream {stream}")
            if state.cursor >= 0 or state.goal > state.number:
                raise NotLeaderError(f"stream {stream} is being refilled")
            if state.lost:
                raise NotLeaderError(
                    f"the copy of stream {stream} was damaged: a take-over has to be ordered"
                )
            if state.put_back:
                raise NotLeaderError(f"the copy of stream {stream} is an older one: a new term has to begin")
            refused = self.guard(stream)
            if refused:
                raise NotLeaderError(refused)
            number = state.number + 1
            entry = LogEntry(
                number, made.name, made.at_ms, made.who, made.state, made.tenant, made.key, state.epoch
            )
            state = replace(state, number=number, covered=number, goal=number)
            names = self.rows.apply(stream, [entry], state, durable=True)
            self._became(stream, state)
        self.rows.changed(names)
        return entry

    def begin_term(self, stream: str, own_name: str, force: bool = False) -> Position:
        """Take a stream over: begin an epoch of which a member of this name is the holder.

        Raises `NotLeaderError` where this node lacks what others were seen to have, unless forced, and
        `ReplicaError`. Who has changes past this node's number keeps them aside once it hears of the epoch.
        """
        with self._writing:
            state = self.states[stream]
            if not force and (state.cursor >= 0 or state.goal > state.number):
                raise NotLeaderError(f"stream {stream} is being refilled here")
            refused = "" if force else self.guard(stream)
            if refused:
                raise NotLeaderError(refused)
            if state.lost and not state.number and not self._level and not force:
                raise NotLeaderError(
                    f"the copy was damaged, and nobody was heard yet who has stream {stream}"
                )
            if len(state.bases) >= MOST_BASES:
                raise NotLeaderError(
                    f"stream {stream} was taken over {MOST_BASES} times, which is all there are"
                )
            epoch = next_epoch(state.epoch, own_name, self.control)
            state = replace(
                state,
                epoch=epoch,
                bases=(*state.bases, (epoch, state.number)),
                cursor=-1,
                covered=state.number,
                goal=state.number,
                lost=False,
                put_back=False,
            )
            self.rows.apply(stream, [], state, durable=True)
            self._became(stream, state)
            return Position(epoch, state.number)

    def collect(self, before_ms: int) -> int:
        """Forget tombstones that were taken before a time; return how many. Raises `ReplicaError`."""
        count = 0
        for stream in self.control:
            with self._writing:
                if self.states[stream].cursor < 0:
                    gone = self.rows.collect(stream, before_ms)
                    if gone:
                        count += gone
                        self._became(stream, self.rows.states()[stream])
        return count


def advanced(state: PartitionState, piece: LogSegment) -> tuple[PartitionState, bool]:
    """Return the state once a piece from just past it is taken, and whether a refill is over by that."""
    covered = max(piece.upto, min(state.covered, piece.covered) if state.since else piece.covered)
    # rows at and before `since` are not from this giver: what it has collected concerns what it gave
    horizon = state.horizon if piece.since >= piece.horizon else max(state.horizon, piece.horizon)
    if not piece.since:
        horizon = piece.horizon
    goal = max(state.goal, piece.goal)
    if state.cursor < 0:
        return replace(state, number=piece.upto, covered=covered, horizon=horizon, goal=goal), False
    if piece.upto >= goal:
        return replace(state, number=piece.upto, covered=covered, horizon=horizon, goal=goal, cursor=-1), True
    return replace(state, cursor=piece.upto, covered=covered, horizon=horizon, goal=goal), False


def _is_history(bases: Sequence[Base], epoch: int, first: int) -> bool:
    """Tell whether bases can be those of an epoch: both parts ascend, and the last is its own."""
    if not bases:
        return epoch == first
    return (
        bases[-1][0] == epoch
        and bases[0][0] > first
        and all(before[0] < after[0] and before[1] <= after[1] for before, after in pairwise(bases))
    )
