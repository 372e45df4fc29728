"""When a holder may write, free of I/O.

A change is checked, numbered, durable here, and only then announced and answered (`Replica.accept`). A
number is never given twice, as long as the file is the one that gave the last:

- After a start, nothing is accepted until some other members were heard (three, or all there are), so that
  whoever knows of more can say so. With nobody there that takes `ALONE_S`; with members that announce
  nothing, `SETTLE_S`.
- Someone has more of the stream, in an epoch that this member holds: its file is an older one, put back from
  a backup or begun anew on another machine. Nothing is accepted; it pulls its own changes back. Once it has
  all that any member was heard to have, and `QUIET_S` have passed, it begins a new term by itself: which
  further numbers were given is not known, so none of this epoch is given again.
- The file was damaged and another begun (`StreamState.lost`): the same, but the new term has to be ordered
  by an operator, `POST /v1/fleet/take-over/STREAM` at this member.
- A live member has the same name: neither of the two writes.

What remains. Changes that were acknowledged and that no live member has are lost where the file is; those
that a member has which is away just then are kept aside there once it is back, and told of as orphans.
`?copies=N` is for callers that can't have that. A member that is cut off from all others at its start takes
itself for alone: if its file is an older one, too, what it accepts ends among the orphans. So does what is
numbered before any of the members that know of more is heard, when all of the first three lag behind those.
"""

import threading
from collections.abc import Callable

from loguru import logger

from reelusher.core.counters import Counters
from reelusher.fleet.replication.messages import LogEntry
from reelusher.fleet.replication.positions import Position
from reelusher.fleet.replication.replica import NotLeaderError, Replica
from reelusher.fleet.replication.replica_store import ReplicaError

HEARD = 3  # other members that are heard before anything is accepted, or all there are
ALONE_S = 5.0  # after a start with nobody else there
SETTLE_S = 15.0  # after a start with others there that announce nothing
QUIET_S = 5.0  # without being told of more, until a term begins by itself


class Leadership:
    """A member's part as a holder."""

    def __init__(
        self,
        replica: Replica,
        counters: Counters,
        clock: Callable[[], float],
        made: Callable[[str, Position, float], None] = lambda stream, position, now: None,
        alone: bool = False,
    ) -> None:
        """`made` is told of each change. `alone`: there is no fleet to be heard."""
        self.replica, self._counters, self._clock, self._made = replica, counters, clock, made
        self._settled = alone
        self._began_s = clock()
        self._lock = threading.Lock()
        self._heard: set[str] = set()
        self._namesakes = False
        self._told_s: dict[str, float] = {}  # when others were last seen to have more of a stream
        replica.write_guard = self.refusal

    def holds(self, stream: str) -> bool:
        """Tell whether this member writes a stream, as far as is known here."""
        return self.replica.leads(stream, self.replica.own_name)

    def refusal(self, stream: str) -> str:
        """Return "", or why a stream may not be written now."""
        if self._namesakes:
            return f"another live member is called {self.replica.own_name}"
        if not self._settled:
            return "other members were not heard yet since the start"
        told = self.replica.pulls.claimed(stream, self._clock())
        if told is not None:
            return f"others have stream {stream} up to {told.term}.{told.log_index}, this member does not"
        return ""

    def accept(self, stream: str, made: LogEntry) -> LogEntry:
        """Number a change and make it durable. Raises `NotLeaderError` and `ReplicaError`."""
        entry = self.replica.accept(stream, self.replica.own_name, made)
        self._counters.add("replication.accepted")
        self._made(stream, Position(entry.term, entry.index), self._clock())
        return entry

    def take_over(self, stream: str, force: bool = False) -> Position:
        """Take a stream over for good, as an operator orders. Raises `NotLeaderError` and `ReplicaError`."""
        begun = self.replica.begin_term(stream, self.replica.own_name, force)
        self._counters.add("replication.terms")
        logger.warning(
            "replication: this member writes stream {} from {}.{} on", stream, begun.term, begun.log_index
        )
        return begun

    def heard(self, place: str) -> None:
        """Note that a member announced where it stands; called for each datagram."""
        if self._settled or place in self._heard:
            return
        with self._lock:
            if len(self._heard) < HEARD:
                self._heard.add(place)

    def tick(self, others: int, namesakes: bool) -> None:
        """See whether writing may begin; called about once a second.

        `others` live members there are; `namesakes`: one has this member's name.
        """
        now = self._clock()
        self._namesakes = namesakes
        if not self._settled:
            since_s = now - self._began_s
            self._settled = since_s >= SETTLE_S or (
                len(self._heard) >= min(HEARD, others) if others else since_s >= ALONE_S
            )
        for stream in self.replica.control:
            state = self.replica.states[stream]
            if not self.holds(stream) or not state.restored or state.lost:
                self._told_s.pop(stream, None)
            elif self.refusal(stream) or state.cursor >= 0 or state.goal > state.index:
                self._told_s[stream] = now
            elif now - self._told_s.setdefault(stream, now) >= QUIET_S:
                self._begin(stream)

    def _begin(self, stream: str) -> None:
        number = self.replica.states[stream].index
        try:
            begun = self.replica.begin_term(stream, self.replica.own_name)
        except (NotLeaderError, ReplicaError) as error:
            logger.warning("replication: no new term of stream {} yet: {}", stream, error)
            return
        self._counters.add("replication.terms")
        logger.warning(
            "replication: the copy of stream {} was an older one; {} changes were told by others,"
            " and what is written now begins with {}",
            stream,
            number,
            begun.term,
        )
