"""What a worker tells the controller and what the controller asks of it: settings, events and actions.

Times are whole microseconds (`_us`). Request ids are the worker's own and are never reused in its life.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeVar


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"  # may run again
    KEYED = "keyed"  # runs once within its window; repeats are linked by `Request.original`
    UNSAFE = "unsafe"  # runs once


class Halt(Enum):
    """What `Pause` does to running work."""

    NONE = "none"  # running work can't be stopped
    DROP = "drop"  # the work done is lost and the request is held again
    PAUSE = "pause"  # the work done is kept and `Run` goes on with it


class Say(Enum):
    """How callers read the value of `Advise`."""

    NONE = "none"  # they are told nothing
    MIN_RANK = "min_rank"  # they send nothing ranked below it
    TOKENS = "tokens"  # each keeps at most that many requests here
    BIAS = "bias"  # the chance, 0 to 1, that they don't pass this worker by


class Outcome(Enum):
    """How a run or a call ended."""

    OK = "ok"
    ERROR = "error"  # a failed call may have taken effect
    REJECTED = "rejected"  # proves that it never ran
    TIMEOUT = "timeout"  # given up; may have taken effect
    UNREACHABLE = "unreachable"  # proves that it never ran
    CUT_OFF = "cut_off"  # may have taken effect
    CANCELLED = "cancelled"  # stopped, or ended at a call after its answer
    MOOT = "moot"  # nothing started: it was over already


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests."""

    deadline_us: int  # how long a client waits altogether
    effect: Effect = Effect.SAFE
    aim_us: int = 0  # full worth when answered within it; 0: the deadline
    worth: float = 1.0
    late_share: float = 0.0  # part of the worth paid between aim and deadline
    window_us: int = 0  # keyed: how long after arriving a request may come back
    calls: bool = False  # may call what lies below
    skip_share: float = 0.0  # part of the worth kept when a call is left out; 0: calls can't be skipped


@dataclass(slots=True, frozen=True)
class Settings:
    """One worker and its site, as told at its start."""

    classes: Sequence[RequestClass]
    cores: int
    memory_kb: float
    run_factor: float  # memory of a running request over that of a held one
    crowd_per_core: float  # running requests on a core that a warm worker survives
    crowd_over_us: int  # the span over which that is a mean
    cold_from: float  # the speed of a cold worker, as a share of full speed
    cold_us: int  # fully warm after this at the latest
    grace_us: int  # what arrives later than this after `Drain` must not run
    slack_us: int = 0  # how long after its due time an answer still counts
    tick_us: int = 0  # shortest time between two batches of events
    fresh: bool = False  # just started, so cold
    entry_kb: float = 0.0  # memory of one entry in the table of keys
    call_share: float = math.inf  # mean calls in hand that what lies below survives from this worker
    call_over_us: int = 0  # the span over which that is a mean
    linger_us: int = 0  # how long a given-up call may go on below
    halt: Halt = Halt.NONE
    say: Say = Say.NONE
    heard_us: int = 0  # how long callers remember the value of `Advise`
    callers: int = 0  # callers of the fleet; 0: unknown
    peers: int = 0  # workers of the fleet; 0: unknown
    idle_us: int = 0  # callers close connections idle for this long; 0: unknown
    stored_checks: bool = False  # checks do real work unless they are answered from store
    retry_after_us: int = 0  # the longest stay-away that callers follow; 0: they follow none
    shares: Sequence[float] = ()  # each tenant's share of the service
    over_share_worth: float = 1.0  # what a request beyond its tenant's share is worth, as a part
    goal_whole: float = 1.0  # weights of the goal: all time,
    goal_worst_class: float = 0.0  # the class served worst,
    goal_worst_tenant: float = 0.0  # the tenant served worst

    def __post_init__(self) -> None:
        """Reject what no worker can be run with."""
        counts = (self.cores, self.memory_kb, self.run_factor, self.crowd_per_core, self.cold_from)
        spans = (
            self.crowd_over_us,
            self.call_over_us,
            self.cold_us,
            self.grace_us,
            self.slack_us,
            self.tick_us,
            self.linger_us,
        )
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if not all(math.isfinite(x) and x > 0 for x in counts):
            raise ValueError("cores, memory_kb, run_factor, crowd_per_core and cold_from must be above 0")
        if self.crowd_per_core < 1 or self.cold_from > 1:
            raise ValueError("crowd_per_core must be at least 1 and cold_from at most 1")
        if min(spans) < 0 or not self.entry_kb >= 0 or not self.call_share >= 0:
            raise ValueError("a time, entry_kb or call_share is negative or not a number")
        for number, kind in enumerate(self.classes):
            if kind.deadline_us <= 0 or kind.aim_us < 0 or kind.window_us < 0:
                raise ValueError(f"class {number}: a time is out of range")
            if not (0 <= kind.skip_share <= 1 and 0 <= kind.late_share <= 1 and 0 <= kind.worth < math.inf):
                raise ValueError(f"class {number}: a worth is out of range")


@dataclass(slots=True, frozen=True)
class Gauges:
    """The worker's own readings; None where it has none."""

    busy: float | None = None  # share of the cores occupied, over the last half second
    runnable: float | None = None  # what wants a core right now
    memory: float | None = None  # share of the memory in use
    connections: float | None = None  # open connections


@dataclass(slots=True, frozen=True)
class Request:
    """A request has been read and is held; it is owed one final answer."""

    id: int
    kind: int  # its class, by position in `Settings.classes`
    caller: int = 0
    subject: int = 0  # what it is about; 0: not told
    tenant: int = 0
    held_kb: float = 0.0
    hint_us: int = 0  # expected work; 0: not told
    left_us: int = 0  # how long its caller still waits; 0: not told
    waited_us: int = 0  # time since it reached the machine
    original: int = 0  # the request of which this is a repeat; 0: none known
    retry: bool = False


class HasRequest(Protocol):
    """Whatever the module holds of a request."""

    request: Request


H = TypeVar("H", bound=HasRequest)


@dataclass(slots=True, frozen=True)
class Gone:
    """Nobody waits for this request any longer."""

    id: int


@dataclass(slots=True, frozen=True)
class CallNeeded:
    """A running request can't go on without a call: answer with Call, Skip or Fail."""

    id: int


@dataclass(slots=True, frozen=True)
class CallEnded:
    """A call ended; unless it went well, the request stands at its call again."""

    id: int
    outcome: Outcome
    took_us: int = 0


@dataclass(slots=True, frozen=True)
class RunEnded:
    """A run or a join ended; OK and ERROR have answered the caller, unless it was answered before."""

    id: int
    outcome: Outcome
    took_us: int = 0


@dataclass(slots=True, frozen=True)
class Drain:
    """This worker leaves: its process is stopped after `left_us`. One that comes again may be shorter."""

    left_us: int
    since_us: int = 0  # how long ago it was told so: the grace counts from there


@dataclass(slots=True, frozen=True)
class Tick:
    """A timer fell due."""

    label: int
    gauges: Gauges


@dataclass(slots=True, frozen=True)
class Learnt:
    """What others have seen of late, as a start: what is seen here goes before it."""

    pace: dict[int, float]  # by class: the time of a run over its hint
    call_us: float = 0.0  # mean time of a call below; 0: not known


@dataclass(slots=True, frozen=True)
class Run:
    """Start a held request or go on with a paused one."""

    id: int


@dataclass(slots=True, frozen=True)
class Pause:
    """Stop running work (see `Halt`)."""

    id: int


@dataclass(slots=True, frozen=True)
class Call:
    """Make the call that a request stands at; give it up at this time."""

    id: int
    until_us: int


@dataclass(slots=True, frozen=True)
class Skip:
    """Go on without the call, for a poorer answer."""

    id: int


@dataclass(slots=True, frozen=True)
class Decline:
    """Final answer: turned away, never ran."""

    id: int
    away_us: int = 0  # how long the caller should stay away; 0: no advice
    no_retry: bool = False  # asks the caller not to try elsewhere


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: an error."""

    id: int


@dataclass(slots=True, frozen=True)
class Join:
    """Answer a held repeat with the result of its original."""

    id: int


@dataclass(slots=True, frozen=True)
class Keep:
    """Remember a request, so that its repeats are linked to it."""

    id: int
    span_us: int


@dataclass(slots=True, frozen=True)
class Forget:
    """Remove a request from the table of keys."""

    id: int


@dataclass(slots=True, frozen=True)
class Health:
    """What health checks hear from now on."""

    good: bool
    stored: bool  # answer them from this alone


@dataclass(slots=True, frozen=True)
class Advise:
    """The value that goes along with answers (see `Say`)."""

    value: float


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close connections that have carried nothing for this long."""

    after_us: int


@dataclass(slots=True, frozen=True)
class Timer:
    """Ask for a `Tick`."""

    in_us: int
    label: int


class Standing(Protocol):
    """How the tenants of a worker stand: an input of the module, told by who shares a node out among them.

    Times are whole microseconds. Without it, and with one tenant, the module decides the same.
    """

    def arrived(self, request: Request, now_us: int) -> None:
        """Count the work that a new request asks for."""

    def full(self, request: Request, extra_kb: float, keyed: bool, used_kb: float) -> bool:
        """Tell whether a bound of its tenant keeps a request out that would take so much memory."""

    def chance(self, tenant: int, chance: float) -> float:
        """Return the likelihood of a random refusal, where the module would have this one for all."""

    def moved(self, request: Request, held: int, change_kb: float) -> None:
        """Count a request that begins (1) or ends (-1) to be held, and the memory that it takes or gives."""

    def keeps(self, request: Request, until_us: int, entry_kb: float) -> None:
        """Count a kept key."""

    def forgets(self, number: int, entry_kb: float) -> None:
        """Count a key no longer, of the request with this id."""

    def started(self, request: Request, now_us: int) -> None:
        """Count a run."""

    def ended(self, request: Request, took_us: int, now_us: int) -> None:
        """Count a run no longer."""

    def lent(self, tenant: int | None = None) -> int:
        """Return how many runs of other tenants last so long that their places are this one's to use.

        Without a tenant, the most that any may use.
        """

    def order(self, held: Sequence[H], now_us: int) -> Iterable[H]:
        """Yield what may run, in the order in which tenants are entitled to; `held` is in the module's."""

    def period(self, now_us: int) -> None:
        """Bring the standing up to date."""

    def expired(self, now_us: int) -> Iterable[int]:
        """Return the requests whose keys have run out."""


Event = Request | Gone | CallNeeded | CallEnded | RunEnded | Drain | Tick | Learnt
Action = (
    Run | Pause | Call | Skip | Decline | Fail | Join | Keep | Forget | Health | Advise | CloseIdle | Timer
)
