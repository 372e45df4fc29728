"""Attempts in hand: one for each request read, until it is answered and nothing of it runs."""

from collections import Counter
from collections.abc import Iterator
from enum import Enum

from reelusher.core.messages import IncomingRequest, Runner


class Stage(Enum):
    """Where an attempt stands."""

    HELD = "held"
    RUNNING = "running"
    AT_CALL = "at_call"  # its run waits for a decision on a call
    CALLING = "calling"  # its run waits for the reply to a call
    PAUSED = "paused"
    JOINED = "joined"  # waits for the result of another try


class Attempt:
    """A request in hand."""

    __slots__ = (
        "answered",
        "due_us",
        "id",
        "ran",
        "request",
        "runner",
        "serial",
        "since_us",
        "stage",
        "ticket",
        "waits",
        "wanted",
    )

    def __init__(self, number: int, request: IncomingRequest, runner: Runner, due_us: int) -> None:
        self.id = number
        self.request = request
        self.runner = runner
        self.stage = Stage.HELD
        self.answered = self.ran = False
        self.waits = False  # its run begins once its key is durable
        self.due_us = due_us
        self.ticket = 0  # of its newest call below
        self.wanted = b""  # body of the call that its run waits for
        self.serial = 0  # of the notice that asked for it
        self.since_us = 0  # when the newest call was made


class Attempts:
    """Attempts by id and by the name that backends know."""

    def __init__(self) -> None:
        self._by_id: dict[int, Attempt] = {}
        self._by_call: dict[str, Attempt] = {}
        self._last = 0
        self._of_tenant: Counter[int] = Counter()
        self.unanswered = 0  # answers, for any thread to look at

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[Attempt]:
        return iter(list(self._by_id.values()))

    def __contains__(self, number: int) -> bool:
        return number in self._by_id

    def add(self, request: IncomingRequest, runner: Runner, due_us: int) -> Attempt:
        """Take a request in hand."""
        self._last += 1
        attempt = Attempt(self._last, request, runner, due_us)
        self._by_id[attempt.id] = self._by_call[request.run_id] = attempt
        self.unanswered += 1
        self._of_tenant[request.tenant_number] += 1
        return attempt

    def get(self, number: int) -> Attempt | None:
        """Return the attempt with this id, if it is in hand."""
        return self._by_id.get(number)

    def by_run_id(self, call: str) -> Attempt | None:
        """Return the attempt that backends know by this name, if it is in hand."""
        return self._by_call.get(call)

    def drop(self, attempt: Attempt) -> None:
        """Let go of an attempt."""
        if self._by_id.pop(attempt.id, None) is not None:
            number = attempt.request.tenant_number
            self._of_tenant[number] -= 1
            if not self._of_tenant[number]:
                del self._of_tenant[number]
        if self._by_call.get(attempt.request.run_id) is attempt:
            del self._by_call[attempt.request.run_id]

    def of_tenant(self, number: int) -> int:
        """Count those of one tenant, those that are answered and still run among them."""
        return self._of_tenant[number]

    def answer(self, attempt: Attempt) -> None:
        """Note that no answer is owed any more."""
        if not attempt.answered:
            attempt.answered = True
            self.unanswered -= 1
