"""Events that a worker reports to its controller.

Times are whole microseconds (`_us`). Request ids are assigned by the worker and never reused while it lives.
"""

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How a run or a call ended. The values are parts of the names of counters."""

    OK = "ok"
    ERROR = "error"  # failed; a call may have taken effect
    REJECTED = "rejected"  # it provably never ran
    TIMEOUT = "timeout"  # abandoned; it may have taken effect
    UNREACHABLE = "unreachable"  # it provably never ran
    CONNECTION_LOST = "cut_off"  # it may have taken effect
    CANCELLED = "cancelled"  # stopped, or ended at a call because the request had been answered
    NOT_STARTED = "moot"  # the request had finished already, so nothing was started


@dataclass(slots=True, frozen=True)
class Gauges:
    """Gauge readings of the worker; None where it has none."""

    busy_fraction: float | None = None  # busy fraction of the cores over the last half second
    runnable: float | None = None  # requests that need a core right now
    memory_fraction: float | None = None  # fraction of the memory in use
    connections: float | None = None  # open connections


@dataclass(slots=True, frozen=True)
class Request:
    """A request has been read and is held; it must get one final answer."""

    id: int
    class_index: int  # position of its class in `Settings.classes`
    caller: int = 0
    subject: int = 0  # id of what the request is about; 0: unknown
    tenant: int = 0
    held_kb: float = 0.0
    expected_work_us: int = 0  # 0: unknown
    time_left_us: int = 0  # how much longer its caller waits; 0: unknown
    waited_us: int = 0  # time from its arrival at the machine until this event
    original_id: int = 0  # the request of which this is a retry; 0: none known
    is_retry: bool = False


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """Nobody waits for a request any longer: its client has disconnected, or the worker has answered it."""

    id: int


@dataclass(slots=True, frozen=True)
class CallNeeded:
    """A running request needs a call; the controller responds with `Call`, `SkipCall` or `FailRequest`."""

    id: int


@dataclass(slots=True, frozen=True)
class CallEnded:
    """A call ended; unless it succeeded, the request waits for its call again."""

    id: int
    outcome: Outcome
    duration_us: int = 0


@dataclass(slots=True, frozen=True)
class RunEnded:
    """A run or an attached retry ended.

    With the outcome OK or ERROR the caller has been answered by it, unless it was answered before.
    """

    id: int
    outcome: Outcome
    duration_us: int = 0


@dataclass(slots=True, frozen=True)
class Drain:
    """The process will be stopped after `time_left_us`; a later `Drain` may only bring that forward."""

    time_left_us: int
    elapsed_us: int = 0  # time since the worker was asked to drain, which is when the grace period began


@dataclass(slots=True, frozen=True)
class Tick:
    """A timer expired."""

    label: int
    gauges: Gauges


@dataclass(slots=True, frozen=True)
class WarmStartData:
    """Initial estimates from other workers; measurements of this worker take precedence."""

    run_time_ratios: dict[int, float]  # run time divided by expected work, by class index
    call_duration_us: float = 0.0  # mean duration of a downstream call; 0: unknown


Event = Request | ClientDisconnected | CallNeeded | CallEnded | RunEnded | Drain | Tick | WarmStartData
