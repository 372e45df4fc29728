"""A core with a virtual clock, and a backend that records its commands, for tests of several packages."""

from collections.abc import Sequence
from typing import Any

from helpers import KEYED, MUST_CALL, SAFE, small_node_settings

from reelusher.core.clock import Clock
from reelusher.core.event_loop import Core
from reelusher.core.messages import (
    Answer,
    IncomingRequest,
    RequestArrived,
    Verdict,
)
from reelusher.policy.events import Outcome
from reelusher.policy.settings import RequestClass

OK, ERROR = Outcome.OK, Outcome.ERROR
CLASSES = (SAFE, MUST_CALL, KEYED)


class Backend:
    """Stands in for the runner and the dependency, and records the commands of the core."""

    def __init__(self) -> None:
        self.commands: list[tuple[Any, ...]] = []

    def start(self, request: IncomingRequest, class_name: str) -> None:
        self.commands.append(("start", request.run_id))

    def request_gauges(self, cookie: str) -> bool:
        return False

    def __getattr__(self, command: str) -> Any:
        return lambda *arguments: self.commands.append((command, *arguments))


class CoreHarness:
    """A core with a virtual clock, its backend, and the answers that it gave by run id."""

    def __init__(
        self,
        classes: Sequence[RequestClass] = CLASSES,
        class_names: Sequence[str] | None = None,
        **changes: Any,
    ) -> None:
        self.time = 1_000_000_000_000  # current time of the virtual clock, in microseconds
        self.backend = Backend()
        self.answers: dict[str, list[Answer]] = {}
        self.core = Core(
            small_node_settings(*classes, **changes),
            [],
            1,
            self.backend,
            self.backend,
            class_names=None if class_names is None else list(class_names),
            clock=Clock(*[lambda: self.time * 1000] * 2),
        )
        self.core.process_batch([])

    def request(
        self, run_id: str, class_index: int = 0, key: str = "", age_us: int = 0, tenant: str = "t"
    ) -> RequestArrived:
        """Return the arrival of a request that was received `age_us` ago, and record its answers."""
        answers = self.answers.setdefault(run_id, [])
        return RequestArrived(
            IncomingRequest(
                run_id, class_index, b"", self.time - age_us, answers.append, tenant, idempotency_key=key
            )
        )

    def process(self, *messages: Any, later_us: int = 0) -> None:
        """Advance the clock by `later_us`, then process the messages as one batch."""
        self.time += later_us
        self.core.process_batch(list(messages))

    def verdicts(self, run_id: str) -> list[Verdict]:
        return [answer.verdict for answer in self.answers[run_id]]

    def count(self, name: str) -> int:
        return self.core.counters.snapshot().get(name, 0)
