"""A fleet of simulated nodes in several processes, its shards: each holds the nodes of some regions.

All shards advance by `QUANTUM_S`, the shortest delay between two regions, and then exchange their calls to
each other: a conservative parallel simulation with that delay as its lookahead (Chandy and Misra 1979).
Nothing arrives later than it would in one process. A simulation repeats exactly with the same seed, number of
shards and PYTHONHASHSEED.
"""

import gc
import multiprocessing
import pickle
from collections.abc import Callable
from multiprocessing.connection import Connection
from types import TracebackType
from typing import Any, Concatenate, ParamSpec, TypeVar

from reelusher.lab.capacity.simulated_fleet import Fleet
from reelusher.lab.capacity.simulated_network import REGION_DELAY_RANGE_S, REGIONS

QUANTUM_S = REGION_DELAY_RANGE_S[0]
CLOSE_S = 5.0  # in which the process of a shard may end by itself
P = ParamSpec("P")
T = TypeVar("T")


class ShardFailedError(Exception):
    """A shard failed; the text names its number and its error."""


def _serve(
    pipe: Connection,
    inherited_pipes: list[Connection],
    size: int,
    seed: int,
    replicate: bool,
    shard: int,
    shard_count: int,
) -> None:
    """Hold a shard and execute the parent's commands until the parent closes its end of the pipe.

    A command is a pair. With a function, the shard calls it with the arguments given; with None, it receives
    calls of other shards, advances to a time and returns its outboxes.
    """
    # The fork copied the parent's ends of these pipes. While a copy is open, no end of file arrives here when
    # the parent closes its own.
    for inherited_pipe in inherited_pipes:
        inherited_pipe.close()
    gc.disable()
    fleet = Fleet(size, seed, replicate=replicate, shard=shard, shard_count=shard_count)
    gc.freeze()
    while True:
        try:
            function, arguments = pickle.loads(pipe.recv_bytes())
        except EOFError:
            return
        try:
            if function is None:
                until_s, calls = arguments
                for data in calls:
                    fleet.receive_calls(pickle.loads(data))
                fleet.run_to(until_s)
                answer: Any = [pickle.dumps(outbox) if outbox else b"" for outbox in fleet.take_outboxes()]
            else:
                answer = function(fleet, *arguments[0], **arguments[1])
        except Exception as error:
            answer = ShardFailedError(f"part {shard}: {error!r}")
        pipe.send_bytes(pickle.dumps(answer))


class ShardedFleet:
    """A fleet whose shards run in processes of their own. Leaving the block ends the processes."""

    def __init__(self, size: int, seed: int = 1, replicate: bool = True, shard_count: int = REGIONS) -> None:
        """Start the processes. Raises ValueError unless `shard_count` is from 1 to the number of regions."""
        if not 1 <= shard_count <= REGIONS:
            raise ValueError(f"1 to {REGIONS} parts, not {shard_count}")
        self.now = 0.0
        self._calls: list[list[bytes]] = [[] for _ in range(shard_count)]
        self._pipes: list[Connection] = []
        self._processes = []
        context = multiprocessing.get_context("fork")
        for shard in range(shard_count):
            pipe, shard_pipe = context.Pipe()
            self._pipes.append(pipe)
            process = context.Process(
                target=_serve,
                daemon=True,
                args=(shard_pipe, list(self._pipes), size, seed, replicate, shard, shard_count),
            )
            process.start()
            shard_pipe.close()
            self._processes.append(process)

    def __enter__(self) -> "ShardedFleet":
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for pipe in self._pipes:
            pipe.close()
        for process in self._processes:
            process.join(CLOSE_S)
            process.kill()

    def _execute(self, commands: list[bytes]) -> list[Any]:
        """Send each shard its command, and return their answers. Raises `ShardFailedError`."""
        for pipe, command in zip(self._pipes, commands, strict=True):
            pipe.send_bytes(command)
        answers = [pickle.loads(pipe.recv_bytes()) for pipe in self._pipes]
        for answer in answers:
            if isinstance(answer, ShardFailedError):
                raise answer
        return answers

    def each(self, function: Callable[Concatenate[Fleet, P], T], *args: P.args, **named: P.kwargs) -> list[T]:
        """Call a module-level function on each shard, and return the results in the order of the shards."""
        return self._execute([pickle.dumps((function, (args, named)))] * len(self._pipes))

    def run(self, seconds: float) -> None:
        """Advance the virtual clock by a number of seconds."""
        until_s = self.now + seconds
        while self.now < until_s:
            self.now = min(until_s, self.now + QUANTUM_S)
            calls, self._calls = self._calls, [[] for _ in self._pipes]
            for outboxes in self._execute(
                [pickle.dumps((None, (self.now, shard_calls))) for shard_calls in calls]
            ):
                for shard, data in enumerate(outboxes):
                    if data:
                        self._calls[shard].append(data)

    def until(self, condition: Callable[[], bool], timeout_s: float, step_s: float = 0.1) -> float:
        """Advance the clock until a condition holds; return the seconds that took, infinity on a timeout."""
        began_s = self.now
        while not condition():
            if self.now - began_s > timeout_s:
                return float("inf")
            self.run(step_s)
        return self.now - began_s
