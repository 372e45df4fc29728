"""Schedule of a graceful shutdown, and the state machine of a connection during it; free of I/O.

The process is killed `stop_ms` after the signal. The phases from *reject* on are scheduled backwards from
that time, and the larger the scheduling lag of this process is, the earlier each of them starts.

    signal -- serve --> notify -- read, run --> reject --> answered --> shutdown --> exit --> (stop)

- until *notify* the node serves as usual, since callers learn only after a delay that it drains;
- from *notify* on no new connection is accepted, and callers are asked to send nothing more;
- from *reject* on requests are rejected as soon as they are read, which costs least and guarantees that they
  did not run;
- by *answered* the controller has given its last answer;
- from *shutdown* on each connection is read, flushed and shut down, the cheapest first; requests that still
  have no answer are failed;
- by *exit* the process ends.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

MAX_LAG_FRACTION = 0.08  # scheduling lag beyond this fraction of a drain's duration is not planned for
EXIT_MARGIN_S = 0.25  # time between the end of the process and the stop
SHUTDOWN_DURATION_S = 0.10  # time for reading, flushing and shutting down all connections
ANSWERED_MARGIN_S = 0.05  # time between the last answer and the shutdown of connections
REJECT_DURATION_S = 0.20  # time between the first rejection on reading and the controller's last answer
CONTROLLER_MARGIN_S = 0.24  # time between the controller's last answer and the stop that it is given
MAX_ARRIVAL_DELAY_S = 0.2  # requests may arrive this long after callers were asked to send nothing more
OBSERVATION_TTL_S = 0.15  # an older observation says nothing about the present state
NOTIFY_FRACTION = 0.5  # fraction of a drain's duration, after which callers are notified at the latest


@dataclass(slots=True, frozen=True)
class DrainSchedule:
    """Times at which the phases of a drain start, in ascending order, in seconds of one clock."""

    signal_s: float
    notify_s: float
    reject_s: float
    answered_s: float
    shutdown_s: float
    exit_s: float
    stop_s: float

    @property
    def controller_stop_s(self) -> float:
        """The stop that the controller is given so that it gives its last answer by `answered_s`."""
        return self.answered_s + CONTROLLER_MARGIN_S

    def completed_at(self, now_s: float) -> "DrainSchedule":
        """Return the schedule of a drain with no work left: all connections are shut down at `now_s`."""
        return DrainSchedule(
            self.signal_s,
            min(self.notify_s, now_s),
            now_s,
            now_s,
            now_s,
            min(self.exit_s, now_s + SHUTDOWN_DURATION_S),
            self.stop_s,
        )

    def no_later_than(self, other: "DrainSchedule") -> "DrainSchedule":
        """Return this schedule with no phase later than in `other`, since it may have begun already."""
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

    Callers may learn of it `grace_s` late; `lag_s` is the scheduling lag of this process. If the duration is
    too short for all phases, the phases after *notify* are shortened in proportion.
    """
    spare_s = NOTIFY_FRACTION * duration_s - (
        EXIT_MARGIN_S + SHUTDOWN_DURATION_S + ANSWERED_MARGIN_S + REJECT_DURATION_S
    )
    # the lag lengthens three phases
    lag_s = max(0.0, min(lag_s, MAX_LAG_FRACTION * duration_s, spare_s / 3))
    scale = min(1.0, 1 + spare_s / (NOTIFY_FRACTION * duration_s - spare_s))
    stop_s = signal_s + duration_s
    exit_s = stop_s - (EXIT_MARGIN_S + lag_s) * scale
    shutdown_s = exit_s - (SHUTDOWN_DURATION_S + lag_s) * scale
    answered_s = shutdown_s - ANSWERED_MARGIN_S * scale
    reject_s = answered_s - (REJECT_DURATION_S + lag_s) * scale
    notify_s = signal_s + max(0.0, min(grace_s, NOTIFY_FRACTION * duration_s))
    return DrainSchedule(signal_s, min(notify_s, reject_s), reject_s, answered_s, shutdown_s, exit_s, stop_s)


class ConnectionPhase(IntEnum):
    """Phase of the shutdown of a connection."""

    SERVING = 0
    NOTIFIED = 1  # its caller was asked to send nothing more
    SHUT_DOWN = 2  # its writing side is shut down, after its answers were sent or when no time was left


@dataclass(slots=True, frozen=True)
class ConnectionState:
    """The work that is left on a connection, or on several connections together."""

    unanswered: int  # requests without an answer
    unsent_bytes: int  # bytes of answers that are not sent yet
    unread_bytes: int  # received bytes that are not read yet

    def is_idle(self) -> bool:
        """Return whether no work is left."""
        return not (self.unanswered or self.unsent_bytes or self.unread_bytes)


@dataclass(slots=True, frozen=True)
class DrainObservation:
    """Whether no connection of a front end had work left at one time."""

    is_idle: bool
    observed_s: float


def next_phase(
    phase: ConnectionPhase, state: ConnectionState, now_s: float, schedule: DrainSchedule
) -> ConnectionPhase:
    """Return the phase that a connection may enter now.

    From `shutdown_s` on, it is shut down once all its requests are answered and all answers are sent; at
    `exit_s` it is shut down even if they are not. It is never shut down while it holds unread bytes.
    """
    if phase is ConnectionPhase.SERVING and now_s >= schedule.notify_s:
        return ConnectionPhase.NOTIFIED
    if phase is ConnectionPhase.NOTIFIED and now_s >= schedule.shutdown_s and not state.unread_bytes:
        pending = state.unanswered or state.unsent_bytes
        return phase if pending and now_s < schedule.exit_s else ConnectionPhase.SHUT_DOWN
    return phase


def shutdown_cost(state: ConnectionState) -> tuple[int, int, int]:
    """Return the key by which connections are sorted when time is short, the cheapest first.

    An idle connection costs one system call, one with few unread bytes costs a rejection or two, and one with
    unsent bytes has to wait until its caller reads them. In this order most connections are shut down
    completely before the time is up, however long the others take.
    """
    return state.unsent_bytes, state.unread_bytes, state.unanswered


class QuietPeriod:
    """Detects that a drain may end early, since all front ends were idle for `MAX_ARRIVAL_DELAY_S`."""

    def __init__(self) -> None:
        self._last_busy_s = 0.0  # when a front end was last busy, or its state unknown

    def is_over(
        self, observations: Sequence[DrainObservation | None], now_s: float, schedule: DrainSchedule
    ) -> bool:
        """Record the latest observation of each front end, and return whether the quiet period is over.

        A front end whose latest observation is missing, or older than `OBSERVATION_TTL_S` because it had no
        time to make another, counts as busy.
        """
        for observation in observations:
            if (
                observation is None
                or now_s - observation.observed_s > OBSERVATION_TTL_S
                or not observation.is_idle
            ):
                self._last_busy_s = now_s
        return now_s - max(self._last_busy_s, schedule.notify_s) >= MAX_ARRIVAL_DELAY_S
