"""A fleet of hollow nodes in several processes: each holds the nodes of some regions.

All go on by `QUANTUM_S`, the shortest way between two regions, and then exchange what they posted to each
other: a conservative parallel simulation with that way as its lookahead (Chandy and Misra 1979). Nothing
comes later than it would in one process. One seed, number of parts and PYTHONHASHSEED give the same play.
"""

import gc
import multiprocessing
import pickle
from collections.abc import Callable
from multiprocessing.connection import Connection
from types import TracebackType
from typing import Any, Concatenate, ParamSpec, TypeVar

from reelusher.lab.capacity.hollow_fleet import REGION_DELAY_RANGE_S, REGIONS, Fleet

QUANTUM_S = REGION_DELAY_RANGE_S[0]
CLOSE_S = 5.0  # for a part's process to end by itself
P = ParamSpec("P")
T = TypeVar("T")


class ShardFailedError(Exception):
    """A part failed; the text is its fault."""


def _serve(
    link: Connection, others: list[Connection], size: int, seed: int, replicate: bool, part: int, parts: int
) -> None:
    """Hold a part and carry out what its parent says, until that has ended."""
    for other in others:  # came over in the fork; kept, an end of the parent's would not be seen
        other.close()
    gc.disable()
    fleet = Fleet(size, seed, replicate=replicate, part=part, parts=parts)
    gc.freeze()
    while True:
        try:
            what, told = pickle.loads(link.recv_bytes())
        except EOFError:
            return
        try:
            if what is None:
                until_s, posts = told
                for data in posts:
                    fleet.take_in(pickle.loads(data))
                fleet.run_to(until_s)
                answer: Any = [pickle.dumps(outbox) if outbox else b"" for outbox in fleet.collect()]
            else:
                answer = what(fleet, *told[0], **told[1])
        except Exception as error:
            answer = ShardFailedError(f"part {part}: {error!r}")
        link.send_bytes(pickle.dumps(answer))


class ShardedFleet:
    """All parts of a fleet. Leaving the block ends their processes."""

    def __init__(self, size: int, seed: int = 1, replicate: bool = True, shard_count: int = REGIONS) -> None:
        """`parts` is at most the number of regions, else ValueError."""
        if not 1 <= shard_count <= REGIONS:
            raise ValueError(f"1 to {REGIONS} parts, not {shard_count}")
        self.now = 0.0
        self._posts: list[list[bytes]] = [[] for _ in range(shard_count)]
        self._links: list[Connection] = []
        self._processes = []
        context = multiprocessing.get_context("fork")
        for part in range(shard_count):
            link, far = context.Pipe()
            self._links.append(link)
            process = context.Process(
                target=_serve,
                daemon=True,
                args=(far, list(self._links), size, seed, replicate, part, shard_count),
            )
            process.start()
            far.close()
            self._processes.append(process)

    def __enter__(self) -> "ShardedFleet":
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for link in self._links:
            link.close()
        for process in self._processes:
            process.join(CLOSE_S)
            process.kill()

    def _all(self, messages: list[bytes]) -> list[Any]:
        """Have each part do something at the same time; return what came of it. Raises `ShardFailedError`."""
        for link, message in zip(self._links, messages, strict=True):
            link.send_bytes(message)
        answers = [pickle.loads(link.recv_bytes()) for link in self._links]
        for answer in answers:
            if isinstance(answer, ShardFailedError):
                raise answer
        return answers

    def each(self, what: Callable[Concatenate[Fleet, P], T], *args: P.args, **named: P.kwargs) -> list[T]:
        """Call a function of a module with each part."""
        return self._all([pickle.dumps((what, (args, named)))] * len(self._links))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until_s = self.now + seconds
        while self.now < until_s:
            self.now = min(until_s, self.now + QUANTUM_S)
            posts, self._posts = self._posts, [[] for _ in self._links]
            for outboxes in self._all([pickle.dumps((None, (self.now, post))) for post in posts]):
                for part, data in enumerate(outboxes):
                    if data:
                        self._posts[part].append(data)

    def until(self, holds: Callable[[], bool], most_s: float, step_s: float = 0.1) -> float:
        """Let time pass until something holds; return the seconds, infinity past the most."""
        began = self.now
        while not holds():
            if self.now - began > most_s:
                return float("inf")
            self.run(step_s)
        return self.now - began
