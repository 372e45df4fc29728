"""Actions that the controller asks its worker to carry out. Times are whole microseconds (`_us`)."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Run:
    """Start a held request or resume a paused one."""

    id: int


@dataclass(slots=True, frozen=True)
class Preempt:
    """Stop running work (see `PreemptionMode`)."""

    id: int


@dataclass(slots=True, frozen=True)
class Call:
    """Make the call that a request waits for; abandon it at this time."""

    id: int
    until_us: int


@dataclass(slots=True, frozen=True)
class SkipCall:
    """Continue without the call, for a degraded reply."""

    id: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: rejected, it never ran."""

    id: int
    retry_after_us: int = 0  # 0: no advice
    no_retry: bool = False  # asks the caller not to try another worker


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Final answer: an error."""

    id: int


@dataclass(slots=True, frozen=True)
class AttachToOriginal:
    """Answer a held retry with the result of its original."""

    id: int


@dataclass(slots=True, frozen=True)
class RememberKey:
    """Keep the idempotency key of a request, so that its retries are linked to it."""

    id: int
    ttl_us: int


@dataclass(slots=True, frozen=True)
class ForgetKey:
    """Remove a request from the idempotency table: it never ran."""

    id: int


@dataclass(slots=True, frozen=True)
class ReportHealth:
    """The result of health checks from now on."""

    healthy: bool
    cached: bool  # answer them from this alone


@dataclass(slots=True, frozen=True)
class AdvertiseCapacity:
    """The value that replies carry (see `CapacityHint`)."""

    value: float


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close connections that have carried nothing for this long."""

    idle_timeout_us: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a `Tick`."""

    delay_us: int
    label: int


Action = (
    Run
    | Preempt
    | Call
    | SkipCall
    | Reject
    | FailRequest
    | AttachToOriginal
    | RememberKey
    | ForgetKey
    | ReportHealth
    | AdvertiseCapacity
    | CloseIdleConnections
    | SetTimer
)
