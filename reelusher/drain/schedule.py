"""The schedule of a graceful shutdown, and the state machine of a connection during it; free of I/O.

The process is killed `stop_ms` after the signal. All times count back from there, and the later this process
runs what is due, the earlier each phase starts.

    signal -- serve --> notify -- read, run --> reject --> answered --> shutdown --> exit --> (stop)

- until *notify* the node serves as usual: callers learn late that it drains;
- from *notify* on nothing new is accepted, and callers are told to send nothing more;
- from *reject* on requests are rejected where they are read: that costs least and proves that nothing ran;
- by *answered* the controller has given its last answer;
- from *shutdown* on each connection is read, flushed and shut down, the cheapest first; requests that still
  have no answer are failed;
- by *exit* the process ends.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

MAX_LAG_FRACTION = 0.08  # of the whole drain, by which the scheduling lag may move a phase
EXIT_MARGIN_S = 0.25  # between the end of the process and the stop
SHUTDOWN_S = 0.10  # for reading, flushing and shutting down all connections
ANSWERED_S = 0.05  # between the last answer and the shutdown of connections
REJECT_S = 0.20  # between the first rejection on reading and the last answer of the controller
CONTROLLER_MARGIN_S = 0.24  # by which the controller answers before the stop that it is given
CROSSING_S = 0.2  # how long requests may still arrive after callers were told to send nothing more
OBSERVATION_TTL_S = 0.15
NOTIFY_FRACTION = 0.5  # of the drain, after which callers are told at the latest


@dataclass(slots=True, frozen=True)
class DrainSchedule:
    """When each phase of a drain starts, in seconds of one clock. The times are in order."""

    signal_s: float
    notify_s: float
    reject_s: float
    answered_s: float
    shutdown_s: float
    exit_s: float
    stop_s: float

    @property
    def controller_stop_s(self) -> float:
        """The stop that the controller is given, so that its last answer comes by `answered_s`."""
        return self.answered_s + CONTROLLER_MARGIN_S

    def completed_at(self, now_s: float) -> "DrainSchedule":
        """Return the schedule once nothing is unanswered any more: all connections are shut down now."""
        return DrainSchedule(
            self.signal_s,
            min(self.notify_s, now_s),
            now_s,
            now_s,
            now_s,
            min(self.exit_s, now_s + SHUTDOWN_S),
            self.stop_s,
        )

    def no_later_than(self, other: "DrainSchedule") -> "DrainSchedule":
        """Return the earlier time of each phase: callers may have acted on those of either schedule."""
        return DrainSchedule(
            self.signal_s,
            min(self.notify_s, other.notify_s),
            min(self.reject_s, other.reject_s),
            min(self.answered_s, other.answered_s),
            min(self.shutdown_s, other.shutdown_s),
            min(self.exit_s, other.exit_s),
            self.stop_s,
        )


def make_schedule(signal_s: float, duration_s: float, grace_s: float, lag_s: float) -> DrainSchedule:
    """Schedule a drain that was requested at `signal_s` and must be over `duration_s` later.

    Callers may learn of it `grace_s` late; `lag_s` is the scheduling lag of this process. A duration too
    short for all phases is divided in the same proportions.
    """
    spare_s = NOTIFY_FRACTION * duration_s - (EXIT_MARGIN_S + SHUTDOWN_S + ANSWERED_S + REJECT_S)
    lag_s = max(0.0, min(lag_s, MAX_LAG_FRACTION * duration_s, spare_s / 3))
    scale = min(1.0, 1 + spare_s / (NOTIFY_FRACTION * duration_s - spare_s))
    stop_s = signal_s + duration_s
    exit_s = stop_s - (EXIT_MARGIN_S + lag_s) * scale
    shutdown_s = exit_s - (SHUTDOWN_S + lag_s) * scale
    answered_s = shutdown_s - ANSWERED_S * scale
    reject_s = answered_s - (REJECT_S + lag_s) * scale
    notify_s = signal_s + max(0.0, min(grace_s, NOTIFY_FRACTION * duration_s))
    return DrainSchedule(signal_s, min(notify_s, reject_s), reject_s, answered_s, shutdown_s, exit_s, stop_s)


class ConnectionPhase(IntEnum):
    """How far the shutdown of a connection has come."""

    SERVING = 0
    NOTIFIED = 1  # its caller was told to send nothing more
    SHUT_DOWN = 2  # all requests are answered and flushed, and its writing side is shut down
    CLOSED = 3  # its caller has closed it too, or no time is left


@dataclass(slots=True, frozen=True)
class ConnectionState:
    """What is still to be done on a connection, or on several together."""

    unanswered: int  # requests
    unsent_bytes: int  # of answers
    unread_bytes: int

    def is_idle(self) -> bool:
        """Return whether nothing is left to be done."""
        return not (self.unanswered or self.unsent_bytes or self.unread_bytes)


@dataclass(slots=True, frozen=True)
class DrainObservation:
    """The state of all connections of a front end at one time."""

    state: ConnectionState
    observed_s: float


def next_phase(
    phase: ConnectionPhase, state: ConnectionState, now_s: float, schedule: DrainSchedule
) -> ConnectionPhase:
    """Return the phase that a connection may enter now.

    It is shut down once it has nothing unanswered or unsent, and otherwise not before the time for answers is
    over. It is never shut down while it holds unread bytes.
    """
    if phase is ConnectionPhase.SERVING and now_s >= schedule.notify_s:
        return ConnectionPhase.NOTIFIED
    if phase is ConnectionPhase.NOTIFIED and now_s >= schedule.shutdown_s and not state.unread_bytes:
        pending = state.unanswered or state.unsent_bytes
        return phase if pending and now_s < schedule.exit_s else ConnectionPhase.SHUT_DOWN
    if phase is ConnectionPhase.SHUT_DOWN and now_s >= schedule.exit_s:
        return ConnectionPhase.CLOSED
    return phase


def shutdown_cost(state: ConnectionState) -> tuple[int, int, int]:
    """Return the sort key of connections when time is short, the cheapest first.

    An idle one costs a system call, one with few unread bytes a rejection or two, one with unsent bytes waits
    for its reader. So most connections are complete when the time is up, whatever the others cost.
    """
    return state.unsent_bytes, state.unread_bytes, state.unanswered


class QuietPeriod:
    """Detects that a drain may end early: all was idle for as long as requests may still arrive."""

    def __init__(self) -> None:
        self._busy_s = 0.0  # when something was last pending, or unknown

    def is_over(
        self, observations: Sequence[DrainObservation | None], now_s: float, schedule: DrainSchedule
    ) -> bool:
        """Take the latest observation of each front end, and return whether the quiet period is over.

        An observation older than `OBSERVATION_TTL_S` proves nothing: its front end had no time for another.
        """
        for observation in observations:
            if (
                observation is None
                or now_s - observation.observed_s > OBSERVATION_TTL_S
                or not observation.state.is_idle()
            ):
                self._busy_s = now_s
        return now_s - max(self._busy_s, schedule.notify_s) >= CROSSING_S
