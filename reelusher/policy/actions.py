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
    """Make the call that a request waits for, and abandon it at `until_us`."""

    id: int
    until_us: int


@dataclass(slots=True, frozen=True)
class SkipCall:
    """Continue a request without its call, so that its reply is degraded."""

    id: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Give the final answer to a request that never ran: it is rejected."""

    id: int
    retry_after_us: int = 0  # how long the caller should wait before a retry; 0: no hint
    no_retry: bool = False  # asks the caller not to try another worker


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Give the final answer to a request: an error."""

    id: int


@dataclass(slots=True, frozen=True)
class AttachToOriginal:
    """Hold a retry and answer it with the result of its original."""

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
    """Set the result of health checks from now on."""

    healthy: bool
    cached: bool  # answer health checks with this result alone, without work for each check


@dataclass(slots=True, frozen=True)
class AdvertiseCapacity:
    """Set the capacity hint that replies carry (see `CapacityHint`)."""

    value: float


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close connections that have been idle for `idle_timeout_us`, from now on."""

    idle_timeout_us: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a `Tick` with this label after a delay."""

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
