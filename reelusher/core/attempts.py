"""The open attempts. An attempt is open until it is answered and its run, if there is one, has ended."""

from collections import Counter
from collections.abc import Iterator
from enum import Enum

from reelusher.core.messages import IncomingRequest, Runner


class AttemptState(Enum):
    """The state of an attempt in its life cycle."""

    HELD = "held"  # it waits for a decision of the controller
    RUNNING = "running"
    AWAITING_CALL = "at_call"  # its run waits for a decision on a call
    CALLING = "calling"  # its run waits for the reply to a call
    PREEMPTED = "paused"
    ATTACHED = "joined"  # waits for the result of its original


class Attempt:
    """An open attempt, with the state of its run and of the latest call of its run."""

    __slots__ = (
        "abandoned",
        "answered",
        "awaiting_key",
        "call_body",
        "call_serial",
        "call_started_us",
        "call_ticket",
        "due_us",
        "id",
        "request",
        "runner",
        "started",
        "state",
    )

    def __init__(self, attempt_id: int, request: IncomingRequest, runner: Runner, due_us: int) -> None:
        self.id = attempt_id
        self.request = request
        self.runner = runner
        self.state = AttemptState.HELD
        self.answered = False  # it has its answer, or nobody waits for it
        self.abandoned = False  # its caller has disconnected; retries attached to it may still wait
        self.started = False  # its run was started, or waits for its key to be locked and durable
        self.awaiting_key = False  # its run starts once its key is locked and durable
        self.due_us = due_us
        self.call_ticket = 0  # identifies its latest call
        self.call_body = b""  # body of the call that its run waits for
        self.call_serial = 0  # serial number of the notice that requested this call
        self.call_started_us = 0  # when its latest call was made

    def is_calling(self, ticket: int) -> bool:
        """Return whether the run waits for the reply to the call with this ticket."""
        return self.state is AttemptState.CALLING and self.call_ticket == ticket


class Attempts:
    """The open attempts by id and by run id; for the event loop thread, except for `unanswered`."""

    def __init__(self) -> None:
        self._by_id: dict[int, Attempt] = {}
        self._by_run_id: dict[str, Attempt] = {}
        self._last_id = 0
        self._count_by_tenant: Counter[int] = Counter()
        self.unanswered = 0  # number of open attempts without an answer; any thread may read it

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[Attempt]:
        """Iterate over a copy, so that attempts may be removed meanwhile."""
        return iter(list(self._by_id.values()))

    def __contains__(self, attempt_id: int) -> bool:
        return attempt_id in self._by_id

    def add(self, request: IncomingRequest, runner: Runner, due_us: int) -> Attempt:
        """Add an attempt for a request, with an id that is never reused."""
        self._last_id += 1
        attempt = Attempt(self._last_id, request, runner, due_us)
        self._by_id[attempt.id] = self._by_run_id[request.run_id] = attempt
        self.unanswered += 1
        self._count_by_tenant[request.tenant_number] += 1
        return attempt

    def get(self, attempt_id: int) -> Attempt | None:
        """Return the open attempt with this id, if there is one."""
        return self._by_id.get(attempt_id)

    def by_run_id(self, run_id: str) -> Attempt | None:
        """Return the open attempt with this run id, if there is one."""
        return self._by_run_id.get(run_id)

    def of_request(self, request: IncomingRequest) -> Attempt | None:
        """Return the open attempt of this very request; None if its run id is that of another request."""
        attempt = self._by_run_id.get(request.run_id)
        return attempt if attempt is not None and attempt.request is request else None

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt, if it is still open."""
        if self._by_id.pop(attempt.id, None) is not None:
            self._decrement_tenant_count(attempt.request.tenant_number)
        if self._by_run_id.get(attempt.request.run_id) is attempt:
            del self._by_run_id[attempt.request.run_id]

    def _decrement_tenant_count(self, tenant_number: int) -> None:
        self._count_by_tenant[tenant_number] -= 1
        if not self._count_by_tenant[tenant_number]:
            del self._count_by_tenant[tenant_number]

    def count_of_tenant(self, tenant_number: int) -> int:
        """Return the number of open attempts of a tenant, including answered ones that still run."""
        return self._count_by_tenant[tenant_number]

    def mark_answered(self, attempt: Attempt) -> None:
        """Record that an attempt has its answer, or needs none any more."""
        if not attempt.answered:
            attempt.answered = True
            self.unanswered -= 1
