"""What fronts, backends and the core say to each other. Nothing here names a wire."""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from reelusher.policy.events import Outcome


class Verdict(Enum):
    """The final answer to an attempt."""

    SERVED = "served"
    REJECTED = "refused"  # it never ran
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Result:
    """What a run made, kept unchanged. Status and headers are empty where the backend has none."""

    body: bytes
    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True, frozen=True)
class Answer:
    """The one final answer to an attempt."""

    verdict: Verdict
    result: Result | None = None
    retry_after_us: int = 0  # of a refusal: how long the caller should stay away
    no_retry: bool = False  # of a refusal: the wish that no other node is tried
    advertised_capacity: float | None = None  # the free value at this time


@dataclass(slots=True, frozen=True)
class IncomingRequest:
    """One try of a request as a front read it."""

    run_id: str  # unique in this node's life; names the run towards backends
    class_index: int  # its class, by position in the settings
    body: bytes
    received_us: int  # when it reached the machine
    reply: Callable[[Answer], None]  # called once, by the owner; must not block
    tenant: str = ""
    tenant_number: int = 0
    caller: int = 0
    subject: int = 0
    held_kb: float = 0.0
    expected_work_us: int = 0
    idempotency_key: str = ""  # of keyed classes: the same for all tries of one request
    backend_data: object = None  # what a backend needs beyond the body; opaque to the core


class Runner(Protocol):
    """Runs attempts. Called by the owner only; nothing here may block."""

    def start(self, request: IncomingRequest, class_name: str) -> None:
        """Start a run; ends come back as `RunFinished`."""

    def stop(self, call: str) -> None:
        """Stop a run in the way that the settings name."""

    def resume(self, call: str) -> None:
        """Go on with a paused run."""

    def deliver_reply(self, call: str, body: bytes) -> None:
        """Hand over the reply to the call that a run waits for."""

    def skip_call(self, call: str, serial: int) -> None:
        """Let a run go on without the call that this notice asked for."""

    def request_gauges(self, cookie: str) -> bool:
        """Ask for the gauges; they come back as `GaugesReceived`. False: nobody is there to be asked."""


class Dependency(Protocol):
    """Carries calls to what lies below. Called by the owner only; nothing here may block."""

    def call(self, call: str, ticket: int, until_us: int, body: bytes) -> None:
        """Make a call; its end comes back as `CallFinished` with this ticket."""

    def cancel(self, call: str, ticket: int) -> None:
        """Give a call up; no reply is wanted any more."""


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A front has read a request."""

    request: IncomingRequest


@dataclass(slots=True, frozen=True)
class CallersDisconnected:
    """The callers of these attempts are out of reach; no answer can be delivered."""

    run_ids: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class RunFinished:
    """A run has ended: OK (with the result), ERROR, CANCELLED, or MOOT where it never started."""

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
    """A call has ended; the body is there when it went well."""

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
    """The runner has started anew: of these runs nothing more will be heard."""

    runner: Runner


@dataclass(slots=True, frozen=True)
class DrainRequested:
    """The node is told to leave. A second order may only bring the stop forward."""

    stop_us: int  # when the process is stopped, by the node's clock
    requested_us: int  # when it was told so, at the earliest


class DurableKeyLog(Protocol):
    """Makes keys durable before what they name is run. Nothing here may block."""

    def persist(
        self, key: tuple[str, int, str], until_us: int, digest: bytes, done: Callable[[bool], None]
    ) -> None:
        """Make a key durable; `done` hears whether it is, from another thread."""

    def forget(self, key: tuple[str, int, str]) -> None:
        """Note that a key never ran after all."""


@dataclass(slots=True, frozen=True)
class KeyLockRequest:
    """A key that is to be run by this process and no other of its node. Any thread calls one of the two."""

    key: tuple[str, int, str]
    received_us: int  # when the try came to the machine, Unix time
    expires_us: int  # when the window of the key is over
    due_us: int  # when the try is due: nothing is waited for beyond that
    digest: str  # of the body
    on_decided: Callable[
        [bool], None
    ]  # hears whether it may be run here; False: it can't be claimed, nor run
    on_result_elsewhere: Callable[["Result | None"], None]  # hears what it came to in another process


class KeyLocks(Protocol):
    """Keeps two processes of one node from running the same key. Nothing here may block."""

    def acquire(self, claim: KeyLockRequest) -> None:
        """Claim a key."""

    def complete(self, key: tuple[str, int, str], result: Result | None) -> None:
        """Say what the run of a claimed key came to."""

    def release(self, key: tuple[str, int, str]) -> None:
        """Take a claim back: it never ran."""


@dataclass(slots=True, frozen=True)
class KeyPersisted:
    """The key of an attempt is durable, or could not be made so."""

    attempt_id: int
    succeeded: bool


@dataclass(slots=True, frozen=True)
class EventLoopTask:
    """Something that is to be done by the owner between batches, with a reply to wait for."""

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
