"""Events that a worker reports to its controller.

Times are whole microseconds (`_us`). Request ids are the worker's own and are never reused in its life.
"""

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How a run or a call ended. The values are parts of the names of counters."""

    OK = "ok"
    ERROR = "error"  # a failed call may have taken effect
    REJECTED = "rejected"  # proves that it never ran
    TIMEOUT = "timeout"  # abandoned; may have taken effect
    UNREACHABLE = "unreachable"  # proves that it never ran
    CONNECTION_LOST = "cut_off"  # may have taken effect
    CANCELLED = "cancelled"  # stopped, or ended at a call after its reply
    NOT_STARTED = "moot"  # the request was over already, so nothing started


@dataclass(slots=True, frozen=True)
class Gauges:
    """The worker's own readings; None where it has none."""

    busy_fraction: float | None = None  # of the cores, over the last half second
    runnable: float | None = None  # requests that want a core right now
    memory_fraction: float | None = None  # of the memory, in use
    connections: float | None = None  # open connections


@dataclass(slots=True, frozen=True)
class Request:
    """A request has been read and is held; it must get one final answer."""

    id: int
    class_index: int  # position of its class in `Settings.classes`
    caller: int = 0
    subject: int = 0  # what it is about; 0: unknown
    tenant: int = 0
    held_kb: float = 0.0
    expected_work_us: int = 0  # 0: unknown
    time_left_us: int = 0  # how long its caller still waits; 0: unknown
    waited_us: int = 0  # time since it reached the machine
    original_id: int = 0  # the request of which this is a retry; 0: none known
    is_retry: bool = False


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """Nobody waits for this request any longer."""

    id: int


@dataclass(slots=True, frozen=True)
class CallNeeded:
    """A running request can't continue without a call: answer with Call, SkipCall or FailRequest."""

    id: int


@dataclass(slots=True, frozen=True)
class CallEnded:
    """A call ended; unless it succeeded, the request waits at its call again."""

    id: int
    outcome: Outcome
    duration_us: int = 0


@dataclass(slots=True, frozen=True)
class RunEnded:
    """A run or an attached retry ended; OK and ERROR have answered the caller, unless it was before."""

    id: int
    outcome: Outcome
    duration_us: int = 0


@dataclass(slots=True, frozen=True)
class Drain:
    """The process is stopped after `time_left_us`. A later event may only bring that forward."""

    time_left_us: int
    elapsed_us: int = 0  # since the worker was asked to drain: the grace period counts from there


@dataclass(slots=True, frozen=True)
class Tick:
    """A timer expired."""

    label: int
    gauges: Gauges


@dataclass(slots=True, frozen=True)
class WarmStartData:
    """Estimates of other workers to start with; what is measured here takes precedence."""

    run_time_ratios: dict[int, float]  # by class: the time of a run over its expected work
    call_duration_us: float = 0.0  # mean duration of a downstream call; 0: unknown


Event = Request | ClientDisconnected | CallNeeded | CallEnded | RunEnded | Drain | Tick | WarmStartData
