"""What a drain decides, free of I/O: its stages by the clock, and the order in which connections end.

A drain is a promise with a date: `stop_ms` after the signal the process is killed. All that is planned
counts back from there, and the later this process does what is due, the earlier each stage begins.

    signal ── serve ──> tell ── read, run ──> refuse ──> answer ──> shut ──> leave ──> (stop)

- until *tell* the node serves as ever: callers hear late that it leaves;
- from *tell* on nothing new is accepted and callers are told to send nothing more;
- from *refuse* on what is read is refused where it is read: that costs least, and proves that nothing ran;
- by *answer* the module has given its last answer;
- from *shut* on each connection is read out, flushed and shut, cheapest first; what still has no answer is
  failed;
- by *leave* the process ends.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

LAG_MOST_PART = 0.08  # of the whole drain: however late this process is, a stage moves by no more than that
LEAVE_S = 0.25  # the process ends so long before the stop
SHUT_S = 0.10  # for reading out, flushing and shutting all connections
ANSWER_S = 0.05  # between the last answer and the shut
REFUSE_S = 0.20  # between the first refusal at the door and the module's last answer
MODULE_S = 0.24  # the module answers a margin and a period before the stop that it is told of
CROSSING_S = 0.2  # requests may cross what callers are told for so long
FRESH_S = 0.15  # a look at what is owed counts for so long
TELL_PART = 0.5  # callers are told after this part of the drain at the latest


@dataclass(slots=True, frozen=True)
class Stages:
    """When each stage of a drain begins, in seconds of one clock; in order whatever is asked for."""

    signal_s: float
    tell_s: float
    refuse_s: float
    answer_s: float
    shut_s: float
    leave_s: float
    stop_s: float

    @property
    def module_stop_s(self) -> float:
        """The stop that the decision module is told of, so that its last answer comes by `answer_s`."""
        return self.answer_s + MODULE_S

    def over_at(self, now_s: float) -> "Stages":
        """Return the plan where nothing is owed any more: all connections are shut now."""
        return Stages(
            self.signal_s,
            min(self.tell_s, now_s),
            now_s,
            now_s,
            now_s,
            min(self.leave_s, now_s + SHUT_S),
            self.stop_s,
        )

    def no_later_than(self, other: "Stages") -> "Stages":
        """Return the earlier of each: what was brought forward stays there, since callers act on it."""
        return Stages(
            self.signal_s,
            min(self.tell_s, other.tell_s),
            min(self.refuse_s, other.refuse_s),
            min(self.answer_s, other.answer_s),
            min(self.shut_s, other.shut_s),
            min(self.leave_s, other.leave_s),
            self.stop_s,
        )


def stages(signal_s: float, span_s: float, grace_s: float, late_s: float) -> Stages:
    """Plan a drain that was asked for at `signal_s` and must be over `span_s` later, all in seconds.

    `grace_s` is how long callers may not have heard of it; `late_s` how late this process is, see
    `core.pace`. A span too short for all of it is shared out in the same proportions.
    """
    room = TELL_PART * span_s - (LEAVE_S + SHUT_S + ANSWER_S + REFUSE_S)
    late = max(0.0, min(late_s, LAG_MOST_PART * span_s, room / 3))
    shrink = min(1.0, 1 + room / (TELL_PART * span_s - room))
    leave, shut, answer, refuse = (
        part * shrink for part in (LEAVE_S + late, SHUT_S + late, ANSWER_S, REFUSE_S + late)
    )
    stop_s = signal_s + span_s
    leave_s = stop_s - leave
    shut_s = leave_s - shut
    answer_s = shut_s - answer
    refuse_s = answer_s - refuse
    tell_s = signal_s + max(0.0, min(grace_s, TELL_PART * span_s))
    return Stages(signal_s, min(tell_s, refuse_s), refuse_s, answer_s, shut_s, leave_s, stop_s)


class Step(IntEnum):
    """How far the end of one connection has come."""

    SERVED = 0  # as ever
    TOLD = 1  # it was told to send nothing more
    SHUT = 2  # all that came in is answered and flushed, and its writing side is shut
    ENDED = 3  # the other side has closed too, or there is no time left for it


@dataclass(slots=True, frozen=True)
class Facts:
    """What is known of one connection at its end."""

    open: int  # requests that are owed an answer
    backlog: int  # bytes of answers that the socket has not taken yet
    unread: int  # bytes that have come in and are not read


def next_step(step: Step, facts: Facts, now_s: float, plan: Stages) -> Step:
    """Return how far a connection's end may be taken now.

    It is shut once nothing is owed on it, and while something is owed not before the time for answers is
    over: what has been read gets its answer first. Nothing is shut that holds bytes which nobody has read.
    """
    owed = facts.open or facts.backlog
    if step is Step.SERVED and now_s >= plan.tell_s:
        return Step.TOLD
    if (
        step is Step.TOLD
        and now_s >= plan.shut_s
        and not facts.unread
        and (not owed or now_s >= plan.leave_s)
    ):
        return Step.SHUT
    if step is Step.SHUT and now_s >= plan.leave_s:
        return Step.ENDED
    return step


def cheapest_first(facts: Facts) -> tuple[int, int, int]:
    """Sort key of connections when time is short.

    One that owes nothing costs a system call, one with little unread a refusal or two, one with a backlog
    waits for its reader. So most connections are whole when the time is up, whatever the rest may cost.
    """
    return facts.backlog, facts.unread, facts.open


class Quiet:
    """Tells when a drain may end early: nothing was owed or unread for as long as a request may cross."""

    def __init__(self) -> None:
        self._busy_s = 0.0  # when something was last owed, or not known

    def over(self, looks: Sequence[tuple[Facts, float] | None], now_s: float, plan: Stages) -> bool:
        """Note the newest look at each front, with its time.

        A look older than `FRESH_S` tells nothing: whoever makes them did not get the time to.
        """
        for look in looks:
            if look is None or now_s - look[1] > FRESH_S or look[0].open or look[0].backlog or look[0].unread:
                self._busy_s = now_s
        return now_s - max(self._busy_s, plan.tell_s) >= CROSSING_S
