"""The messages from front ends and backends to the core, and the interfaces that the core calls."""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple, Protocol

from reelusher.policy.events import Outcome


class IdempotencyKey(NamedTuple):
    """An idempotency key with its scope: each class of each tenant has its own key space.

    Keys are shared with other processes and with later starts of the node. So their scope is the name of the
    class: its index is known to one process only, and a reload or another file gives it another one.
    """

    tenant: str
    class_name: str
    key: str


class Verdict(Enum):
    """The kind of a final answer."""

    SERVED = "served"
    REJECTED = "refused"  # the request never ran
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Result:
    """The result of a run, passed on unchanged. Status and headers are set by backends that have them."""

    body: bytes
    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True, frozen=True)
class Answer:
    """The final answer to a request."""

    verdict: Verdict
    result: Result | None = None
    retry_after_us: int = 0  # for a rejected request: time until a retry is useful; 0: no advice
    no_retry: bool = False  # for a rejected request: the caller is asked not to try other nodes
    advertised_capacity: float | None = None  # capacity that the node advertised when it answered


@dataclass(slots=True, frozen=True)
class IncomingRequest:
    """One attempt of a request, as read by a front end."""

    run_id: str  # unique during the life of this process; identifies the run to backends
    class_index: int
    body: bytes
    received_us: int  # when it reached the machine, by the clock of the node
    # called on the event loop thread, once, or never if the caller has disconnected; must not block
    reply: Callable[[Answer], None]
    tenant: str = ""
    tenant_number: int = 0  # 0: not a managed tenant, so its state is not checked
    caller: int = 0  # number of the caller, which many callers may share
    subject: int = 0  # hash of what the request is about; 0: unknown
    held_kb: float = 0.0  # memory that the request needs while it is held, in KiB
    expected_work_us: int = 0  # 0: unknown
    idempotency_key: str = ""  # shared by all attempts of a request; empty if it has none
    backend_data: object = None  # further data for the backend; opaque to the core


@dataclass(slots=True, frozen=True)
class CallReply:
    """The reply to the call that a run waits for."""

    serial: int  # serial number of the notice that requested the call
    body: bytes
    is_optional: bool  # the run may also continue without it


class Runner(Protocol):
    """Runs attempts. Called on the event loop thread only; must not block."""

    def start(self, request: IncomingRequest, class_name: str) -> None:
        """Start a run; `RunFinished` reports its end."""

    def stop(self, run_id: str) -> None:
        """Stop a run according to the preemption mode of the settings."""

    def resume(self, run_id: str) -> None:
        """Resume a preempted run."""

    def deliver_reply(self, run_id: str, reply: CallReply) -> None:
        """Deliver the reply to the call that a run waits for, and let the run continue.

        A run never gets the reply to another of its calls: where that can't be ruled out it gets none.
        """

    def skip_call(self, run_id: str, serial: int) -> None:
        """Let a run continue without the call that the notice with this serial number requested."""

    def request_gauges(self, cookie: str) -> bool:
        """Request the gauges and return whether that was possible; `GaugesReceived` reports them."""


class Dependency(Protocol):
    """Makes calls to the downstream service. Called on the event loop thread only; must not block."""

    def call(self, run_id: str, ticket: int, until_us: int, body: bytes) -> None:
        """Make a call that times out at `until_us`; `CallFinished` with this ticket reports its end."""

    def cancel(self, run_id: str, ticket: int) -> None:
        """Cancel a call whose reply is no longer needed."""


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A front end has read a request."""

    request: IncomingRequest


@dataclass(slots=True, frozen=True)
class CallersDisconnected:
    """The callers of these requests have disconnected; no answer can be delivered.

    The requests themselves identify the attempts: another caller may use the same run id.
    """

    requests: tuple[IncomingRequest, ...]


@dataclass(slots=True, frozen=True)
class RunFinished:
    """A run has ended. It has a result if it succeeded; its outcome is NOT_STARTED if it never ran."""

    run_id: str
    outcome: Outcome
    duration_us: int = 0
    result: Result | None = None


@dataclass(slots=True, frozen=True)
class CallRequested:
    """A run waits for a call to the downstream service, which must be made or skipped."""

    run_id: str
    serial: int  # serial number of this notice of the runner
    body: bytes


@dataclass(slots=True, frozen=True)
class CallFinished:
    """A call has ended. It has the body of the reply if it succeeded."""

    run_id: str
    ticket: int  # identifies the call
    outcome: Outcome
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class GaugesReceived:
    """The gauges that were requested with this cookie, in the order of the core's `gauge_fields`."""

    cookie: str
    values: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class RunsLost:
    """The runner has restarted; the ends of its earlier runs will not be reported."""

    runner: Runner


@dataclass(slots=True, frozen=True)
class DrainRequested:
    """The node must drain. A repeated request can only move the stop to an earlier time."""

    stop_us: int  # when the process will be stopped, by the clock of the node
    requested_us: int  # earliest time at which the drain may have been requested


class DurableKeyLog(Protocol):
    """Makes idempotency keys durable before their runs start. Must not block."""

    def persist(
        self, key: IdempotencyKey, until_us: int, digest: bytes, done: Callable[[bool], None]
    ) -> None:
        """Make a key durable until the Unix time `until_us`.

        `done` is called on another thread and receives whether that succeeded.
        """

    def forget(self, key: IdempotencyKey) -> None:
        """Withdraw a durable key whose run was never started."""


@dataclass(slots=True, frozen=True)
class KeyLockRequest:
    """A request to lock a key, so that no other process of the node runs it.

    Exactly one of the two callbacks is called, on any thread. Times are Unix times.
    """

    key: IdempotencyKey
    received_us: int  # when the attempt reached the machine
    expires_us: int  # when the idempotency window of the key ends
    due_us: int  # when the attempt is due; a run in another process is not awaited longer
    digest: str  # digest of the body, in hexadecimal
    on_decided: Callable[[bool], None]  # receives whether the key was locked and may run here
    # receives the result of the run in another process; None if there is none, though the key may have run
    on_result_elsewhere: Callable[["Result | None"], None]


class KeyLocks(Protocol):
    """Prevents two processes of one node from running the same key. Must not block."""

    def acquire(self, request: KeyLockRequest) -> None:
        """Lock a key, or wait for the result if another process has locked it."""

    def complete(self, key: IdempotencyKey, result: Result | None) -> None:
        """Publish the result of the run of a locked key to other processes; None if it failed."""

    def release(self, key: IdempotencyKey) -> None:
        """Release the lock of a key that never ran."""


@dataclass(slots=True, frozen=True)
class KeyPersisted:
    """The key of an attempt has been locked and made durable as configured, or that failed."""

    attempt_id: int
    succeeded: bool


@dataclass(slots=True, frozen=True)
class EventLoopTask:
    """A function to run on the event loop thread, and the future that receives its result."""

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
