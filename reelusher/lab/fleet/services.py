"""Stand-ins for everything outside the program, without sockets; they run on any `Scheduler`.

The live rig puts connections in front of them and runs them on its event loop; the model runs them on a
virtual clock. All of them record what happens in the history, independently of the program under test.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from math import exp, inf
from typing import Any, Protocol

from reelusher.lab.fleet.account import RunHistory
from reelusher.lab.fleet.plan import DownstreamPlan, NodePlan, RegistryPlan, RequestClass

GAUGE_WINDOW_S = 0.5  # over which the gauge of busy cores is averaged
Callback = Callable[..., None]


class TimerHandle(Protocol):
    """A callback that is scheduled for later."""

    def cancel(self) -> None:
        """Cancel the callback."""


class Scheduler(Protocol):
    """A clock with timers; an event loop is one."""

    def time(self) -> float:
        """Return the current time in seconds."""

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> TimerHandle:
        """Call `callback` after `delay` seconds."""


class ServiceRegistry:
    """The service registry: lists the nodes that reported recently.

    Above its capacity it answers reports late; while a second's worth is queued it ignores further ones.
    """

    def __init__(self, scheduler: Scheduler, plan: RegistryPlan, history: RunHistory) -> None:
        self.scheduler, self.plan, self.history = scheduler, plan, history
        self.unavailable, self.extra_delay_s = False, 0.0
        self._queue_end_s = 0.0  # when the queued reports are processed
        self._last_report_s: dict[str, float] = {}
        self._outage_change_s = 0.0  # when the last outage began or ended
        # the lists that callers may still see, each with the time from which it held
        self._snapshots: list[tuple[float, frozenset[str]]] = []

    def report(self, name: str, answer: Callback) -> None:
        """Accept a report; `answer` is called once the node is listed, or never."""
        now = self.scheduler.time()
        self.history.record_report(now, not self.unavailable)
        if self.unavailable:
            return
        self._queue_end_s = max(now, self._queue_end_s) + 1 / self.plan.capacity
        if self._queue_end_s - now > 1.0:  # a second's worth is queued: the report is ignored
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
        """Begin or end an outage, during which no entry expires."""
        if self.unavailable and not unavailable:
            now = self.scheduler.time()
            self._last_report_s = dict.fromkeys(self._registered_nodes(self._outage_change_s), now)
        self.unavailable, self._outage_change_s = unavailable, self.scheduler.time()

    def count(self) -> int:
        """Return the number of nodes that are listed now."""
        return len(
            self._registered_nodes(self._outage_change_s if self.unavailable else self.scheduler.time())
        )

    def take_snapshot(self) -> None:
        """Store the current list, which callers see after `notice_s`. Called ten times a second."""
        now = self.scheduler.time()
        if not self.unavailable:
            self._snapshots.append((now, frozenset(self._registered_nodes(now))))
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= now - self.plan.notice_s:
            del self._snapshots[0]

    def visible_nodes(self) -> frozenset[str]:
        """Return the list as callers see it now."""
        if not self._snapshots or self._snapshots[0][0] > self.scheduler.time() - self.plan.notice_s:
            return frozenset()
        return self._snapshots[0][1]


def warm_up_speed(now: float, since_s: float, cold_from: float, cold_s: float) -> float:
    """Return the speed of a service that is up since a time, as a fraction of its speed when warm."""
    return cold_from + (1 - cold_from) * min(1.0, (now - since_s) / cold_s)


class ExponentialMean:
    """The mean of a piecewise constant value with exponentially decaying weights."""

    def __init__(self, window_s: float, now: float) -> None:
        self.window_s, self.value = window_s, 0.0
        self._at_s, self._current = now, 0.0

    def update(self, now: float, current: float) -> float:
        """Set the value that holds from now on, and return the mean up to now."""
        weight = exp(-(now - self._at_s) / self.window_s)
        self.value = self._current * (1 - weight) + self.value * weight
        self._at_s, self._current = now, current
        return self.value


class DownstreamService:
    """A downstream service: slows down under load, rejects calls above a limit, and crashes when overloaded.

    How long a call takes depends on the number of calls in progress when it begins. The service crashes when
    that number, averaged with time constant `over_s`, exceeds its capacity.
    """

    def __init__(self, scheduler: Scheduler, plan: DownstreamPlan, name: str, history: RunHistory) -> None:
        self.scheduler, self.plan, self.name, self.history = scheduler, plan, name, history
        self.active_calls: dict[int, tuple[TimerHandle, Callback]] = {}
        self.speed_factor, self.down, self.crash_count = 1.0, False, 0
        self._mean, self._number = ExponentialMean(plan.over_s, scheduler.time()), 0
        self._up_since_s = scheduler.time() - (0.0 if plan.starts_cold else plan.cold_s)

    def speed(self) -> float:
        """Return the speed as a fraction of that of a warm service without faults."""
        return (
            warm_up_speed(self.scheduler.time(), self._up_since_s, self.plan.cold_from, self.plan.cold_s)
            * self.speed_factor
        )

    def call(self, reply: Callback) -> int:
        """Begin a call and return its number, or 0 if it was rejected or failed at once.

        `reply` is called with `yes`, `notnow` or `failed`.
        """
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
        """Cancel a call whose caller no longer waits."""
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
        mean = self._mean.update(now, call_count)
        self.history.record_downstream_calls(now, self.name, call_count)
        if mean > self.plan.capacity and not self.down:
            self.crash()

    def crash(self) -> None:
        """Crash: all calls in progress fail, and the service returns cold after `down_s`."""
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
    """A run on the cores of a node."""

    run_id: str
    request_class: RequestClass
    body: bytes
    started_s: float
    call_skipped: bool = False
    timer: TimerHandle | None = None


class Runtime:
    """The runtime of a node: executes its runs; a run whose class makes a call pauses halfway for it.

    How long work takes depends on how much of it shares the cores when it begins. Runs can't be stopped.
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
        self.active_work = 0  # units of work that are on the cores now
        self.speed_factor, self.started_s = 1.0, scheduler.time() - (0.0 if plan.starts_cold else plan.cold_s)
        self.on_finished: Callback = lambda job: None  # set by the transport
        self.on_call_needed: Callback = lambda job, ms: None
        self._mean = ExponentialMean(GAUGE_WINDOW_S, scheduler.time())

    def restart(self) -> None:
        """Drop all runs, as when the node's process ends, and start cold."""
        for job in self.jobs.values():
            if job.timer:
                job.timer.cancel()
        self.jobs.clear()
        self.active_work, self.started_s = 0, self.scheduler.time()
        self._update_busy_mean()

    def speed(self) -> float:
        """Return the speed of the cores as a fraction of that of warm cores without faults."""
        return (
            warm_up_speed(self.scheduler.time(), self.started_s, self.plan.cold_from, self.plan.cold_s)
            * self.speed_factor
        )

    def gauges(self) -> list[float]:
        """Return the mean fraction of busy cores, the work on the cores, memory in use, and open sockets.

        The memory is a fraction, a hundredth for each run, and the number of sockets is always 0.
        """
        return [self._update_busy_mean(), float(self.active_work), min(1.0, len(self.jobs) / 100), 0.0]

    def _update_busy_mean(self) -> float:
        return self._mean.update(self.scheduler.time(), min(1.0, self.active_work / self.plan.cores))

    def _run_work(self, ms: float, done: Callback, *args: Any) -> TimerHandle:
        self.active_work += 1
        self._update_busy_mean()
        duration_s = ms / 1000 * max(1.0, self.active_work / self.plan.cores) / self.speed()
        return self.scheduler.call_later(duration_s, self._on_work_done, done, *args)

    def _on_work_done(self, done: Callback, *args: Any) -> None:
        self.active_work = max(0, self.active_work - 1)
        self._update_busy_mean()
        done(*args)

    def read_request(self) -> None:
        """Spend the work of reading one request."""
        if self.plan.read_ms:
            self._run_work(self.plan.read_ms, lambda: None)

    def start(self, run_id: str, class_name: str, body: bytes) -> None:
        """Start a run unless one with this id exists."""
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
        """Continue a run that waits for its call, which has been answered or skipped."""
        job = self.jobs.get(run_id)
        if job is not None and job.timer is None:
            job.call_skipped = call_skipped
            job.timer = self._run_work(ms, self._finish, job)

    def _finish(self, job: Job) -> None:
        if self.jobs.pop(job.run_id, None) is job:
            self.on_finished(job)


def result_body(job: Job) -> bytes:
    """Return the result of a run: a byte that tells whether its call was skipped, and the request's body."""
    return (b"-" if job.call_skipped else b"+") + job.body
