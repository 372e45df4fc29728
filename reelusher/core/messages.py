"""The messages between front ends, backends and the core, and the interfaces that the core calls."""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple, Protocol

from reelusher.policy.events import Outcome


class IdempotencyKey(NamedTuple):
    """The key of a request with its scope: each class of a tenant has keys of its own."""

    tenant: str
    class_index: int
    key: str


class Verdict(Enum):
    """The kind of a final answer."""

    SERVED = "served"
    REJECTED = "refused"  # it never ran
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Result:
    """The unchanged result of a run. Status and headers have their defaults where the backend has none."""

    body: bytes
    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True, frozen=True)
class Answer:
    """The one final answer to a request."""

    verdict: Verdict
    result: Result | None = None
    retry_after_us: int = 0  # if rejected
    no_retry: bool = False  # if rejected: the caller is asked not to try other nodes
    advertised_capacity: float | None = None  # of the node, when it answered


@dataclass(slots=True, frozen=True)
class IncomingRequest:
    """One attempt of a request, as a front end has read it."""

    run_id: str  # unique during the life of this process; names the run towards backends
    class_index: int
    body: bytes
    received_us: int  # when it reached the machine
    reply: Callable[[Answer], None]  # called once, on the event loop thread; must not block
    tenant: str = ""
    tenant_number: int = 0
    caller: int = 0
    subject: int = 0
    held_kb: float = 0.0
    expected_work_us: int = 0
    idempotency_key: str = ""  # shared by all attempts of one request
    backend_data: object = None  # what a backend needs beyond the body; opaque to the core


class Runner(Protocol):
    """Runs attempts. Called on the event loop thread only; must not block."""

    def start(self, request: IncomingRequest, class_name: str) -> None:
        """Start a run; `RunFinished` reports its end."""

    def stop(self, run_id: str) -> None:
        """Stop a run in the way that the settings name."""

    def resume(self, run_id: str) -> None:
        """Resume a preempted run."""

    def deliver_reply(self, run_id: str, body: bytes) -> None:
        """Deliver the reply to the call that a run waits for."""

    def skip_call(self, run_id: str, serial: int) -> None:
        """Let a run continue without the call that the notice with this serial number requested."""

    def request_gauges(self, cookie: str) -> bool:
        """Request the gauges, which `GaugesReceived` reports; return whether that was possible."""


class Dependency(Protocol):
    """Makes calls to the dependency. Called on the event loop thread only; must not block."""

    def call(self, run_id: str, ticket: int, until_us: int, body: bytes) -> None:
        """Make a call; `CallFinished` with this ticket reports its end."""

    def cancel(self, run_id: str, ticket: int) -> None:
        """Cancel a call, whose reply is not needed any more."""


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A front end has read a request."""

    request: IncomingRequest


@dataclass(slots=True, frozen=True)
class CallersDisconnected:
    """The callers of these attempts have disconnected; no answer can be delivered."""

    run_ids: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class RunFinished:
    """A run has ended, with a result if it succeeded; NOT_STARTED if it never ran."""

    run_id: str
    outcome: Outcome
    duration_us: int = 0
    result: Result | None = None


@dataclass(slots=True, frozen=True)
class CallRequested:
    """A run waits for a call."""

    run_id: str
    serial: int
    body: bytes


@dataclass(slots=True, frozen=True)
class CallFinished:
    """A call has ended, with a body if it succeeded."""

    run_id: str
    ticket: int
    outcome: Outcome
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class GaugesReceived:
    """The gauges, in the order of the settings."""

    cookie: str
    values: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class RunsLost:
    """The runner has restarted; the ends of its earlier runs will not be reported."""

    runner: Runner


@dataclass(slots=True, frozen=True)
class DrainRequested:
    """The node is to drain. A second request can only bring the stop forward."""

    stop_us: int  # when the process is stopped, by the clock of the node
    requested_us: int  # the earliest time at which the drain may have been requested


class DurableKeyLog(Protocol):
    """Makes idempotency keys durable before their runs start. Must not block."""

    def persist(
        self, key: IdempotencyKey, until_us: int, digest: bytes, done: Callable[[bool], None]
    ) -> None:
        """Make a key durable; `done` receives whether that succeeded, on another thread."""

    def forget(self, key: IdempotencyKey) -> None:
        """Withdraw a key that never ran after all."""


@dataclass(slots=True, frozen=True)
class KeyLockRequest:
    """A request for the lock of a key, so that only this process of the node runs it.

    Exactly one of the two callbacks is called, on any thread. Times are Unix times.
    """

    key: IdempotencyKey
    received_us: int  # when the attempt reached the machine
    expires_us: int  # when the window of the key ends
    due_us: int  # when the attempt is due; nothing is awaited beyond that
    digest: str  # of the body, hexadecimal
    on_decided: Callable[[bool], None]  # receives whether the key is locked and may run here
    on_result_elsewhere: Callable[["Result | None"], None]  # receives the result from another process


class KeyLocks(Protocol):
    """Prevents two processes of one node from running the same key. Must not block."""

    def acquire(self, request: KeyLockRequest) -> None:
        """Acquire the lock of a key."""

    def complete(self, key: IdempotencyKey, result: Result | None) -> None:
        """Publish the result of the run of a locked key."""

    def release(self, key: IdempotencyKey) -> None:
        """Release the lock of a key that never ran."""


@dataclass(slots=True, frozen=True)
class KeyPersisted:
    """The key of an attempt has been secured, or could not be."""

    attempt_id: int
    succeeded: bool


@dataclass(slots=True, frozen=True)
class EventLoopTask:
    """A function to be run on the event loop thread, and the future of its result."""

    function: Callable[[], Any]
    future: "Future[Any]" = field(default_factory=Future)


Message = (
    RequestArrived
    | CallersDisconnected
    | RunFinished
    | CallRequested
    | CallFinished
    | GaugesReceived
    | RunsLost
    | DrainRequested
    | KeyPersisted
    | EventLoopTask
)
