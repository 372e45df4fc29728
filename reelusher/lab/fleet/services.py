"""The stand-ins for what is not the program, without sockets: they live on any `Timeline`.

The live rig puts wires before them and has them on the event loop; the model has them on a virtual clock.
All of them report what happens to the account, which is kept apart from the program.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from math import exp, inf
from typing import Any, Protocol

from reelusher.lab.fleet.account import Account
from reelusher.lab.fleet.plan import BelowPlan, Kind, ListPlan, NodePlan

GAUGE_S = 0.5  # the span over which busy cores are a mean
Tell = Callable[..., None]


class Handle(Protocol):
    """Something that is to be done later."""

    def cancel(self) -> None:
        """Don't do it."""


class Timeline(Protocol):
    """A clock with an order of things to do; an event loop is one."""

    def time(self) -> float:
        """Return the time in seconds."""

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> Handle:
        """Do something so many seconds from now."""


class ListService:
    """Knows which nodes reported of late. Past its capacity of reports it answers late, then never."""

    def __init__(self, line: Timeline, plan: ListPlan, account: Account) -> None:
        self.line, self.plan, self.account = line, plan, account
        self.away, self.late_s = False, 0.0
        self._free_s = 0.0  # when it is done with what it has
        self._last: dict[str, float] = {}
        self._gone_s = 0.0  # when it last went or came back
        self._seen: list[tuple[float, frozenset[str]]] = []  # what was listed since when

    def report(self, name: str, answer: Tell) -> None:
        """Take a report; `answer` is called once it counts, or never."""
        now = self.line.time()
        self.account.note_report(now, not self.away)
        if self.away:
            return
        self._free_s = max(now, self._free_s) + 1 / self.plan.capacity
        if self._free_s - now > 1.0:  # a second's worth is queued: it turns away without a word
            self._free_s -= 1 / self.plan.capacity
            return
        took_s = self._free_s - now + self.plan.answer_ms / 1000 + self.late_s
        self.line.call_later(took_s, self._counts, name, answer)

    def _counts(self, name: str, answer: Tell) -> None:
        if self.away:
            return
        now = self.line.time()
        if now - self._last.get(name, -inf) >= self.plan.lapse_s:
            self.account.note_listed(now, name)
        self._last[name] = now
        answer()

    def _listed(self, now: float) -> list[str]:
        return [name for name, last in self._last.items() if now - last < self.plan.lapse_s]

    def outage(self, away: bool) -> None:
        """Go away, or come back; no entry lapses meanwhile."""
        if self.away and not away:
            now = self.line.time()
            self._last = dict.fromkeys(self._listed(self._gone_s), now)
        self.away, self._gone_s = away, self.line.time()

    def count(self) -> int:
        """Return how many are listed at present."""
        return len(self._listed(self._gone_s if self.away else self.line.time()))

    def look(self) -> None:
        """Note what is listed now: callers see it `notice_s` later. Called ten times a second."""
        now = self.line.time()
        if not self.away:
            self._seen.append((now, frozenset(self._listed(now))))
        while len(self._seen) > 1 and self._seen[1][0] <= now - self.plan.notice_s:
            del self._seen[0]

    def as_seen(self) -> frozenset[str]:
        """Return the list as callers have it."""
        if not self._seen or self._seen[0][0] > self.line.time() - self.plan.notice_s:
            return frozenset()
        return self._seen[0][1]


def warmed(now: float, since_s: float, cold_from: float, cold_s: float) -> float:
    """Return the speed of what has been up since a time, as a part of what it does warm."""
    return cold_from + (1 - cold_from) * min(1.0, (now - since_s) / cold_s)


class Mean:
    """The mean of what holds for a while each, over an exponential window in seconds."""

    def __init__(self, over_s: float, now: float) -> None:
        self.over_s, self.value = over_s, 0.0
        self._at_s, self._held = now, 0.0

    def note(self, now: float, held: float) -> float:
        """Note what holds from now on; return the mean up to now."""
        weight = exp(-(now - self._at_s) / self.over_s)
        self.value = self._held * (1 - weight) + self.value * weight
        self._at_s, self._held = now, held
        return self.value


class Below:
    """A service that slows down when crowded, turns calls away, and falls over when it holds too many.

    A call takes what it takes by how crowded the service is as it comes. What it holds is averaged with the
    exponential window `over_s`.
    """

    def __init__(self, line: Timeline, plan: BelowPlan, name: str, account: Account) -> None:
        self.line, self.plan, self.name, self.account = line, plan, name, account
        self.held: dict[int, tuple[Handle, Tell]] = {}
        self.slow, self.down, self.falls = 1.0, False, 0
        self._mean, self._number = Mean(plan.over_s, line.time()), 0
        self._up_s = line.time() - (0.0 if plan.starts_cold else plan.cold_s)

    def speed(self) -> float:
        """Return its speed as a part of what it does warm and well."""
        return warmed(self.line.time(), self._up_s, self.plan.cold_from, self.plan.cold_s) * self.slow

    def call(self, reply: Tell) -> int:
        """Take a call; `reply` hears `yes`, `notnow` or `failed`. Returns its number, 0 where it is over."""
        self._note()
        self.account.note_call(self.line.time())
        if self.down:
            reply("failed")
            return 0
        if len(self.held) >= self.plan.most:
            reply("notnow")
            return 0
        self._number += 1
        number = self._number
        crowd = max(1.0, (len(self.held) + 1) / self.plan.slots)
        took_s = self.plan.service_ms / 1000 * crowd / self.speed()
        self.held[number] = self.line.call_later(took_s, self._done, number), reply
        self._note()
        return number

    def give_up(self, number: int) -> None:
        """Hear that a call is given up."""
        found = self.held.pop(number, None)
        if found:
            found[0].cancel()
            self._note()

    def _done(self, number: int) -> None:
        _, reply = self.held.pop(number)
        self._note()
        reply("yes")

    def _note(self) -> None:
        now, held = self.line.time(), len(self.held)
        mean = self._mean.note(now, held)
        self.account.note_held(now, self.name, held)
        if mean > self.plan.capacity and not self.down:
            self.fall()

    def fall(self) -> None:
        """Fall over: all that it holds fails, and it comes back cold."""
        self.down, self.falls = True, self.falls + 1
        self.account.mark(self.line.time(), f"{self.name} falls over")
        held, self.held = self.held, {}
        for handle, reply in held.values():
            handle.cancel()
            reply("failed")
        self._mean = Mean(self.plan.over_s, self.line.time())
        self.line.call_later(self.plan.down_s, self._rise)

    def _rise(self) -> None:
        self.down, self._up_s = False, self.line.time()
        self.account.mark(self.line.time(), f"{self.name} is back, cold")


@dataclass(slots=True)
class Job:
    """A run on a node's cores."""

    call: str
    kind: Kind
    body: bytes
    began_s: float
    omitted: bool = False
    handle: Handle | None = None


class Runtime:
    """Does a node's work on its cores; a run of a class that calls stops half way for its call.

    A piece of work takes what it takes by how many share the cores as it begins. Runs can't be stopped.
    """

    def __init__(
        self, line: Timeline, plan: NodePlan, kinds: dict[str, Kind], name: str, account: Account, seed: int
    ) -> None:
        self.line, self.plan, self.kinds, self.name, self.account = line, plan, kinds, name, account
        self.random = random.Random(f"{seed} {name}")
        self.jobs: dict[str, Job] = {}
        self.busy = 0  # pieces of work on the cores
        self.slow, self.began_s = 1.0, line.time() - (0.0 if plan.starts_cold else plan.cold_s)
        self.ended: Tell = lambda job: None  # the transport's
        self.wants: Tell = lambda job, ms: None
        self._mean = Mean(GAUGE_S, line.time())

    def restart(self) -> None:
        """Start anew, cold and with nothing; a node that dies takes its runs along."""
        for job in self.jobs.values():
            if job.handle:
                job.handle.cancel()
        self.jobs.clear()
        self.busy, self.began_s = 0, self.line.time()
        self._note()

    def speed(self) -> float:
        """Return the speed of its cores as a part of what they do warm and well."""
        return warmed(self.line.time(), self.began_s, self.plan.cold_from, self.plan.cold_s) * self.slow

    def gauges(self) -> list[float]:
        """Return busy cores as a part, what wants a core, memory in use, and open connections."""
        return [self._note(), float(self.busy), min(1.0, len(self.jobs) / 100), 0.0]

    def _note(self) -> float:
        return self._mean.note(self.line.time(), min(1.0, self.busy / self.plan.cores))

    def _work(self, ms: float, done: Tell, *args: Any) -> Handle:
        self.busy += 1
        self._note()
        took_s = ms / 1000 * max(1.0, self.busy / self.plan.cores) / self.speed()
        return self.line.call_later(took_s, self._worked, done, *args)

    def _worked(self, done: Tell, *args: Any) -> None:
        self.busy = max(0, self.busy - 1)
        self._note()
        done(*args)

    def read(self) -> None:
        """Spend what reading a request costs."""
        if self.plan.read_ms:
            self._work(self.plan.read_ms, lambda: None)

    def start(self, call: str, kind: str, body: bytes) -> None:
        """Begin a run, unless it runs already."""
        if call in self.jobs:
            return
        job = self.jobs[call] = Job(call, self.kinds[kind], body, self.line.time())
        self.account.note_run(job.began_s, self.name, call)
        ms = self.random.gammavariate(4, job.kind.work_ms / 4)
        half = ms / 2 if job.kind.calls else ms
        job.handle = self._work(half, self._half, job, half)

    def _half(self, job: Job, ms: float) -> None:
        if job.kind.calls:
            job.handle = None
            self.wants(job, ms)
        else:
            self._end(job)

    def go_on(self, call: str, ms: float, omitted: bool) -> None:
        """Go on after the call, or without it."""
        job = self.jobs.get(call)
        if job is not None and job.handle is None:
            job.omitted = omitted
            job.handle = self._work(ms, self._end, job)

    def _end(self, job: Job) -> None:
        if self.jobs.pop(job.call, None) is job:
            self.ended(job)


def result_of(job: Job) -> bytes:
    """Return what a run makes: its body, and whether its call was left out."""
    return (b"-" if job.omitted else b"+") + job.body
