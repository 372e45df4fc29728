"""The stand-ins for what is not the program, without sockets: they live on any `Timeline`.

The live rig puts wires before them and has them on the event loop; the model has them on a virtual clock.
All of them report what happens to the account, which is kept apart from the program.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from math import exp, inf
from typing import Any, Protocol

from reelusher.lab.fleet.account import RunHistory
from reelusher.lab.fleet.plan import DownstreamPlan, NodePlan, RegistryPlan, RequestClass

GAUGE_WINDOW_S = 0.5  # the span over which busy cores are a mean
Callback = Callable[..., None]


class TimerHandle(Protocol):
    """Something that is to be done later."""

    def cancel(self) -> None:
        """Don't do it."""


class Scheduler(Protocol):
    """A clock with an order of things to do; an event loop is one."""

    def time(self) -> float:
        """Return the time in seconds."""

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> TimerHandle:
        """Do something so many seconds from now."""


class ServiceRegistry:
    """Knows which nodes reported of late. Past its capacity of reports it answers late, then never."""

    def __init__(self, scheduler: Scheduler, plan: RegistryPlan, history: RunHistory) -> None:
        self.scheduler, self.plan, self.history = scheduler, plan, history
        self.unavailable, self.extra_delay_s = False, 0.0
        self._queue_end_s = 0.0  # when it is done with what it has
        self._last_report_s: dict[str, float] = {}
        self._outage_change_s = 0.0  # when it last went or came back
        self._snapshots: list[tuple[float, frozenset[str]]] = []  # what was listed since when

    def report(self, name: str, answer: Callback) -> None:
        """Take a report; `answer` is called once it counts, or never."""
        now = self.scheduler.time()
        self.history.record_report(now, not self.unavailable)
        if self.unavailable:
            return
        self._queue_end_s = max(now, self._queue_end_s) + 1 / self.plan.capacity
        if self._queue_end_s - now > 1.0:  # a second's worth is queued: it turns away without a word
            self._queue_end_s -= 1 / self.plan.capacity
            return
        duration_s = self._queue_end_s - now + self.plan.answer_ms / 1000 + self.extra_delay_s
        self.scheduler.call_later(duration_s, self._register, name, answer)

    def _register(self, name: str, answer: Callback) -> None:
        if self.unavailable:
            return
        now = self.scheduler.time()
        if now - self._last_report_s.get(name, -inf) >= self.plan.lapse_s:
            self.history.record_listed(now, name)
        self._last_report_s[name] = now
        answer()

    def _registered_nodes(self, now: float) -> list[str]:
        return [name for name, last in self._last_report_s.items() if now - last < self.plan.lapse_s]

    def set_unavailable(self, unavailable: bool) -> None:
        """Go away, or come back; no entry lapses meanwhile."""
        if self.unavailable and not unavailable:
            now = self.scheduler.time()
            self._last_report_s = dict.fromkeys(self._registered_nodes(self._outage_change_s), now)
        self.unavailable, self._outage_change_s = unavailable, self.scheduler.time()

    def count(self) -> int:
        """Return how many are listed at present."""
        return len(
            self._registered_nodes(self._outage_change_s if self.unavailable else self.scheduler.time())
        )

    def take_snapshot(self) -> None:
        """Note what is listed now: callers see it `notice_s` later. Called ten times a second."""
        now = self.scheduler.time()
        if not self.unavailable:
            self._snapshots.append((now, frozenset(self._registered_nodes(now))))
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= now - self.plan.notice_s:
            del self._snapshots[0]

    def visible_nodes(self) -> frozenset[str]:
        """Return the list as callers have it."""
        if not self._snapshots or self._snapshots[0][0] > self.scheduler.time() - self.plan.notice_s:
            return frozenset()
        return self._snapshots[0][1]


def warm_up_speed(now: float, since_s: float, cold_from: float, cold_s: float) -> float:
    """Return the speed of what has been up since a time, as a part of what it does warm."""
    return cold_from + (1 - cold_from) * min(1.0, (now - since_s) / cold_s)


class ExponentialMean:
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


class DownstreamService:
    """A service that slows down when crowded, turns calls away, and falls over when it holds too many.

    A call takes what it takes by how crowded the service is as it comes. What it holds is averaged with the
    exponential window `over_s`.
    """

    def __init__(self, scheduler: Scheduler, plan: DownstreamPlan, name: str, history: RunHistory) -> None:
        self.scheduler, self.plan, self.name, self.history = scheduler, plan, name, history
        self.active_calls: dict[int, tuple[TimerHandle, Callback]] = {}
        self.speed_factor, self.down, self.crash_count = 1.0, False, 0
        self._mean, self._number = ExponentialMean(plan.over_s, scheduler.time()), 0
        self._up_since_s = scheduler.time() - (0.0 if plan.starts_cold else plan.cold_s)

    def speed(self) -> float:
        """Return its speed as a part of what it does warm and well."""
        return (
            warm_up_speed(self.scheduler.time(), self._up_since_s, self.plan.cold_from, self.plan.cold_s)
            * self.speed_factor
        )

    def call(self, reply: Callback) -> int:
        """Take a call; `reply` hears `yes`, `notnow` or `failed`. Returns its number, 0 where it is over."""
        self._record_load()
        self.history.record_call(self.scheduler.time())
        if self.down:
            reply("failed")
            return 0
        if len(self.active_calls) >= self.plan.most:
            reply("notnow")
            return 0
        self._number += 1
        number = self._number
        load = max(1.0, (len(self.active_calls) + 1) / self.plan.slots)
        duration_s = self.plan.service_ms / 1000 * load / self.speed()
        self.active_calls[number] = self.scheduler.call_later(duration_s, self._finish, number), reply
        self._record_load()
        return number

    def cancel(self, number: int) -> None:
        """Hear that a call is given up."""
        call = self.active_calls.pop(number, None)
        if call:
            call[0].cancel()
            self._record_load()

    def _finish(self, number: int) -> None:
        _, reply = self.active_calls.pop(number)
        self._record_load()
        reply("yes")

    def _record_load(self) -> None:
        now, call_count = self.scheduler.time(), len(self.active_calls)
        mean = self._mean.note(now, call_count)
        self.history.record_downstream_calls(now, self.name, call_count)
        if mean > self.plan.capacity and not self.down:
            self.crash()

    def crash(self) -> None:
        """Fall over: all that it holds fails, and it comes back cold."""
        self.down, self.crash_count = True, self.crash_count + 1
        self.history.record_event(self.scheduler.time(), f"{self.name} falls over")
        interrupted, self.active_calls = self.active_calls, {}
        for handle, reply in interrupted.values():
            handle.cancel()
            reply("failed")
        self._mean = ExponentialMean(self.plan.over_s, self.scheduler.time())
        self.scheduler.call_later(self.plan.down_s, self._restart)

    def _restart(self) -> None:
        self.down, self._up_since_s = False, self.scheduler.time()
        self.history.record_event(self.scheduler.time(), f"{self.name} is back, cold")


@dataclass(slots=True)
class Job:
    """A run on a node's cores."""

    run_id: str
    request_class: RequestClass
    body: bytes
    started_s: float
    call_skipped: bool = False
    timer: TimerHandle | None = None


class Runtime:
    """Does a node's work on its cores; a run of a class that calls stops half way for its call.

    A piece of work takes what it takes by how many share the cores as it begins. Runs can't be stopped.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        plan: NodePlan,
        classes: dict[str, RequestClass],
        name: str,
        history: RunHistory,
        seed: int,
    ) -> None:
        self.scheduler, self.plan, self.classes, self.name, self.history = (
            scheduler,
            plan,
            classes,
            name,
            history,
        )
        self.random = random.Random(f"{seed} {name}")
        self.jobs: dict[str, Job] = {}
        self.active_work = 0  # pieces of work on the cores
        self.speed_factor, self.started_s = 1.0, scheduler.time() - (0.0 if plan.starts_cold else plan.cold_s)
        self.on_finished: Callback = lambda job: None  # the transport's
        self.on_call_needed: Callback = lambda job, ms: None
        self._mean = ExponentialMean(GAUGE_WINDOW_S, scheduler.time())

    def restart(self) -> None:
        """Start anew, cold and with nothing; a node that dies takes its runs along."""
        for job in self.jobs.values():
            if job.timer:
                job.timer.cancel()
        self.jobs.clear()
        self.active_work, self.started_s = 0, self.scheduler.time()
        self._note()

    def speed(self) -> float:
        """Return the speed of its cores as a part of what they do warm and well."""
        return (
            warm_up_speed(self.scheduler.time(), self.started_s, self.plan.cold_from, self.plan.cold_s)
            * self.speed_factor
        )

    def gauges(self) -> list[float]:
        """Return busy cores as a part, what wants a core, memory in use, and open connections."""
        return [self._note(), float(self.active_work), min(1.0, len(self.jobs) / 100), 0.0]

    def _note(self) -> float:
        return self._mean.note(self.scheduler.time(), min(1.0, self.active_work / self.plan.cores))

    def _run_work(self, ms: float, done: Callback, *args: Any) -> TimerHandle:
        self.active_work += 1
        self._note()
        duration_s = ms / 1000 * max(1.0, self.active_work / self.plan.cores) / self.speed()
        return self.scheduler.call_later(duration_s, self._on_work_done, done, *args)

    def _on_work_done(self, done: Callback, *args: Any) -> None:
        self.active_work = max(0, self.active_work - 1)
        self._note()
        done(*args)

    def read_request(self) -> None:
        """Spend what reading a request costs."""
        if self.plan.read_ms:
            self._run_work(self.plan.read_ms, lambda: None)

    def start(self, run_id: str, class_name: str, body: bytes) -> None:
        """Begin a run, unless it runs already."""
        if run_id in self.jobs:
            return
        job = self.jobs[run_id] = Job(run_id, self.classes[class_name], body, self.scheduler.time())
        self.history.record_run(job.started_s, self.name, run_id)
        ms = self.random.gammavariate(4, job.request_class.work_ms / 4)
        first_ms = ms / 2 if job.request_class.calls else ms
        job.timer = self._run_work(first_ms, self._on_first_part_done, job, first_ms)

    def _on_first_part_done(self, job: Job, ms: float) -> None:
        if job.request_class.calls:
            job.timer = None
            self.on_call_needed(job, ms)
        else:
            self._finish(job)

    def continue_run(self, run_id: str, ms: float, call_skipped: bool) -> None:
        """Go on after the call, or without it."""
        job = self.jobs.get(run_id)
        if job is not None and job.timer is None:
            job.call_skipped = call_skipped
            job.timer = self._run_work(ms, self._finish, job)

    def _finish(self, job: Job) -> None:
        if self.jobs.pop(job.run_id, None) is job:
            self.on_finished(job)


def result_body(job: Job) -> bytes:
    """Return what a run makes: its body, and whether its call was left out."""
    return (b"-" if job.call_skipped else b"+") + job.body
