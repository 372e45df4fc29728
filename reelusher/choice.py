"""Settings, events and actions: reelusher/interface.py. This module holds every decision of a worker.

A PI loop on the busy cores sets G, the fraction of clients whose requests skip optional calls. Around it
stand the cap on what runs, the level of calls, the random refusal and the guards of the four rules.
The design, what was changed and when each departure acts: docs/design.md.
"""

import math
import random
from collections import deque
from collections.abc import Callable, Collection
from enum import IntEnum
from typing import Any

from reelusher.interface import (
    Action,
    Advise,
    Call,
    CallEnded,
    CallNeeded,
    CloseIdle,
    Decline,
    Drain,
    Effect,
    Event,
    Fail,
    Forget,
    Gone,
    Halt,
    Health,
    Join,
    Keep,
    Learnt,
    Outcome,
    Pause,
    Request,
    Run,
    RunEnded,
    Say,
    Settings,
    Skip,
    Standing,
    Tick,
    Timer,
)

PERIOD_US = 100_000  # of the one timer: loop, cap, sweep; an answer is at most this late for its margin
MARGIN_US = 60_000  # answers are given this long, a period and two ticks before they are due
TARGET = 0.88  # Ut, the busy share of the cores that the loop steers to
KP, KI = 0.25, 0.015  # of the loop: what one unit of error adds to G at once, and each period
GROWTH = 1  # running requests added to the cap each period in which cores are free and work is held
CROWDED = 1.5  # runnable for each core above which the cap shrinks again
CROWD_PART = 0.8  # part of the survivable crowd that may run, all at a call included
MEMORY_RUN = 0.85  # part of the memory up to which work is started
MEMORY_HOLD = 0.93  # part of the memory up to which arrivals are held and keys kept
ROOM_MOST = 8.0  # requests in the worker for each core that callers are told of at most
LATE = 0.08  # part of the shortest aim: waits above it refuse arrivals and shrink the room told
COMING, USUAL = 0.05, 0.02  # weights of the newest period in the mean arrivals, lately and with short waits
MORE = 1.2  # times the usual arrivals: the fleet is full, refused callers should not try elsewhere
SICK, SICK_US = 0.7, 4_000_000  # unread for that part of the shortest aim: health bad, for so long at least
ROOM_CUT, ROOM_GROWTH = 0.85, 0.2  # the room left each period of such waits; won back for each core without
IDLE_MOST, IDLE_LEAST_US = 4.0, 500_000  # connections a core above which idle ones go sooner; the soonest
CALLERS_MOST = 1_000  # callers remembered; past that those unheard for longest are forgotten
REUSED = 0.8  # part of arrivals by callers heard before: above it idle connections are left alone
SPENT_FADE, SPENT_LEAST = 0.15, 0.1  # weight of G lost each period that G leaves the cores full; its least
SPENT_BACK = 0.005  # weight that G wins back each period in which the cores are under the target
CALL_TIMES = 2  # a call is made only if it may last this many times the mean
CALL_MOST, CALL_PART = 8, 0.25  # it may last so many times the mean, or that part of the call time still free
CALL_AGAIN = 2  # times that an optional call that was turned away is made again before it is left out
CALL_FADE = 0.99  # what is left of the mean call time each period without a call: the way back
CALL_SAFE = 0.4  # the level: part of our share that calls in hand stay under in the mean
CALL_AHEAD_US = 250_000  # of the level may be used at once
REFUSE_MOST = 0.9  # the likeliest refusal of an arrival
REFUSE_FADE = 0.7  # what is left of that likelihood a period after its cause has gone
AWAY_US = 100_000  # how long the caller of a turned-away request is asked to stay away
LEARN = 0.1  # weight of the newest run in the mean time of its class
NEED_SAFE = 1.3  # times the mean that a run is reckoned to take; the mean ends late half the time
NEED_MOST = 0.5  # part of an aim that the mean time may claim, so that a slow spell can't lock a class out
NEVER = 1 << 62  # a time that does not come
GOLDEN, MASK = 0x9E3779B97F4A7C15, (1 << 64) - 1  # odd multiplier and width of the client hash


# Where a request stands; AT_CALL waits for the level of calls
State = IntEnum("State", ["HELD", "RUNNING", "AT_CALL", "CALLING", "JOINED"], start=0)


class Work:
    """A request that is not over."""

    __slots__ = (
        "aim_us",
        "answered",
        "arrived_us",
        "asked_again",
        "due_us",
        "kb",
        "kind",
        "ran",
        "request",
        "state",
        "until_us",
    )

    def __init__(self, request: Request, settings: Settings, now: int) -> None:
        self.request = request
        self.kind = settings.classes[request.kind]
        self.state: State | None = None
        self.kb = 0.0  # memory that it takes as it stands
        self.arrived_us = now - request.waited_us
        self.aim_us = self.arrived_us + (self.kind.aim_us or self.kind.deadline_us)
        self.due_us = max(
            now, now + request.left_us if request.left_us else self.arrived_us + self.kind.deadline_us
        )
        self.answered = self.ran = False
        self.asked_again = 0  # calls made again since they never ran
        self.until_us = 0  # at a call: not made before then; calling: given up then


def client_point(request: Request) -> float:
    """Map a client to N in (0, 1], always the same: clients with N <= G are degraded."""
    x = (request.subject or request.caller + 1) * GOLDEN & MASK
    x = (x ^ x >> 32) * GOLDEN & MASK
    return ((x ^ x >> 29) % (1 << 32) + 1) / (1 << 32)


class Controller:
    """Decides for one worker. It knows what its own events say and nothing else."""

    def __init__(self, settings: Settings, seed: int, standing: Standing | None = None) -> None:
        self.settings = settings
        self.standing = standing  # of the tenants, where there are several
        self.random = random.Random(seed)
        self.now = self.began_us = self.last_us = -1
        self.out: list[Action] = []
        self.work: dict[int, Work] = {}
        self.at: list[dict[int, Work]] = [{} for _ in State]  # the same work, by state
        self.work_kb = 0.0  # memory that it takes
        self.kept: dict[int, int] = {}  # request id: when its entry in the table of keys runs out
        self.lingering: deque[int] = deque()  # when each given-up call has stopped at the latest
        self.error_sum = self.degraded = 0.0  # of the loop: the sum, and G
        self.weight = 1.0  # of G: falls while skipping everything leaves the cores full
        self.ages = [0, 0, 0]  # age of the oldest held request at the last periods
        self.room = ROOM_MOST * settings.cores  # requests that callers are told this worker has room for
        self.idle_us = settings.idle_us  # connections idle for this long are closed
        self.waited_us = 0  # longest wait before reading in this period
        self.heard: dict[int, int] = {}  # callers and when they were last heard, as long as they remember us
        self.last_heard: dict[int, int] = {}  # the same for all callers ever heard
        self.reused = 1.0  # part of arrivals whose caller could still have its connection
        self.arrived = 0  # requests read in this period
        self.coming = self.usual = 0.0  # their mean lately, and while waits are short
        self.good, self.good_us = True, 0  # health, and until when it stays bad at least
        self.late = False  # do waits take more than their part of the aim
        self.refusal = 0.0  # likelihood that an arrival is refused
        self.cap = float(settings.cores)
        self.call_us = 0.0  # mean time of a call
        self.debt = 0.0  # calls in hand beyond the level, summed over time
        self.ran_us: list[float] = []  # mean time of a run, by class
        self.hints: list[float] = []  # mean hint of the same runs
        self.stop_us = self.grace_us = NEVER  # draining: the stop, and the last arrival that may run
        self.retune(settings, range(len(settings.classes)))
        self.react: dict[type, Callable[[Any], None]] = {
            Request: self._arrive,
            Gone: self._gone,
            CallNeeded: self._stand_at_call,
            CallEnded: self._call_ended,
            RunEnded: self._run_ended,
            Drain: self._drain,
            Tick: self._period,
            Learnt: self._learn,
        }

    def retune(self, settings: Settings, current: Collection[int]) -> None:
        """Go by these settings from now on. Classes keep their numbers; those not `current` come no more."""
        self.settings = settings
        kinds = [settings.classes[number] for number in current]
        self.aim_us = min(kind.aim_us or kind.deadline_us for kind in kinds)  # the shortest
        self.lowest = min((kind.worth for kind in kinds if kind.worth > 0), default=1.0)
        self.margin_us = PERIOD_US + 2 * settings.tick_us + MARGIN_US
        self.share = min(settings.call_share, float(NEVER))  # mean of calls in hand that may be ours
        self.call_time_us = self.share * max(settings.call_over_us, 1)  # the same, summed over its span
        fresh = [0.0] * (len(settings.classes) - len(self.ran_us))
        self.ran_us, self.hints = self.ran_us + fresh, self.hints + fresh
        self.room = min(self.room, ROOM_MOST * settings.cores)
        self.idle_us = settings.idle_us

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Take what happened at this time and return what to do, in order."""
        self.now, self.out = now_us, []
        if self.began_us < 0:
            self.began_us = self.last_us = now_us
            self.out += [Health(True, True), Timer(PERIOD_US, 0)]
            if self._cold():
                self._set_room()  # who is told nothing sends as much as it likes
        self._count_calls()
        for event in events:
            self.react[type(event)](event)
        self._serve_calls()
        self._start_held()
        return self.out

    # The design's loop and what hangs on it

    def _period(self, event: Tick) -> None:
        """Run the loop once, then sweep. Readings that are no numbers are left out."""
        gauges = event.gauges
        self.out.append(Timer(PERIOD_US, 0))
        busy, runnable, connections = (
            x if x is not None and math.isfinite(x) else None
            for x in (gauges.busy, gauges.runnable, gauges.connections)
        )
        if busy is not None:
            self._steer(min(max(busy, 0.0), 1.0))
        if runnable is not None:
            self._set_cap(runnable)
        self._set_health()
        self._set_refusal()
        if not self._in_hand():
            self.call_us *= CALL_FADE
        self._set_room()
        if connections is not None and self.settings.idle_us:
            self._set_idle(connections)
        if len(self.last_heard) > CALLERS_MOST:  # callers come and go: the longest unheard half is forgotten
            order = sorted(self.last_heard.items(), key=lambda item: item[1])
            self.last_heard = dict(order[CALLERS_MOST // 2 :])
        self.kept = {key: end for key, end in self.kept.items() if end > self.now}
        if self.standing:
            self.standing.period(self.now)
            for key in self.standing.expired(self.now):
                self.standing.forgets(key, self.settings.entry_kb)
        self._sweep()

    def _sweep(self) -> None:
        """Answer what must be answered now."""
        for work in list(self.work.values()):
            if not work.answered and self._hopeless(work):
                self._answer(work)

    def _steer(self, busy: float) -> None:
        """PI loop: G follows the busy cores; the sum is kept inside the clamp."""
        error = busy - TARGET
        self.error_sum = min(max(self.error_sum + error, 0.0), 1 / KI)
        self.degraded = min(max(KP * error + KI * self.error_sum, 0.0), 1.0)
        if error > 0:  # departure: skipping so much does not free the cores, so it is in vain
            self.weight = max(SPENT_LEAST, self.weight * (1 - SPENT_FADE * self.degraded))
        else:
            self.weight = min(1.0, self.weight + SPENT_BACK)

    def _set_cap(self, runnable: float) -> None:
        """Grow the cap while cores are free and work is held; let it go when they are crowded."""
        if runnable < self.settings.cores and self.at[State.HELD]:
            self.cap = min(self.cap + GROWTH, self._ceiling())
        elif runnable > CROWDED * self.settings.cores:
            self.cap = max(self.cap - GROWTH, float(self.settings.cores))

    def _cold(self) -> bool:
        """Tell whether the cores may still be cold."""
        return self.settings.fresh and self.now - self.began_us < self.settings.cold_us

    def _crowd(self) -> float:
        """The requests on the cores that the settings allow by now, of cold ones by their slowest warming."""
        rules, speed = self.settings, 1.0
        if self._cold():
            speed = rules.cold_from + (1 - rules.cold_from) * (self.now - self.began_us) / rules.cold_us
        return (1 + (rules.crowd_per_core - 1) * speed) * rules.cores

    def _ceiling(self) -> float:
        """The crowd that may run: part of what the cores survive."""
        return max(1.0, CROWD_PART * self._crowd())

    def _set_refusal(self) -> None:
        """Refuse at random when G is at 1 and the oldest age rises; departure: long waits do so at any G."""
        oldest = min((w.arrived_us for w in self.at[State.HELD].values()), default=self.now)
        self.ages = [*self.ages[1:], max(self.now - oldest, self.waited_us)]
        self.waited_us = 0
        self.coming += COMING * (self.arrived - self.coming)
        if not self.late and self.good:
            self.usual += USUAL * (self.arrived - self.usual)
        self.arrived = 0
        grown = self.ages[2] / self.aim_us
        self.late = grown > LATE
        self.refusal *= REFUSE_FADE
        if self.late or (self.degraded >= 1 and self.ages[0] < self.ages[1] < self.ages[2]):
            self.refusal = min(max(self.refusal, grown), REFUSE_MOST)

    def _set_health(self) -> None:
        """Leave the list while slow by itself: long unread waits, no more come. Harm: others get its load."""
        good = self.good
        if self.waited_us > SICK * self.aim_us and 0 < self.coming <= MORE * self.usual:
            self.good, self.good_us = False, self.now + SICK_US
        elif self.now > self.good_us and not self.late:
            self.good = True
        if self.good is not good and self.stop_us == NEVER:
            self.out.append(Health(self.good, True))

    def _set_room(self) -> None:
        """Tell callers how much this worker has room for: less while what arrives or is held waits long.

        While it is cold, all of them together are told of no more than its settings allow on its cores, and
        those not heard yet count too: each was told of all the room there was for those before it.
        """
        say, cores = self.settings.say, self.settings.cores
        since = self.now - self.settings.heard_us
        self.heard = {caller: when for caller, when in self.heard.items() if when > since}
        most, callers = ROOM_MOST * cores, max(len(self.heard), 1)
        self.room = self.room * ROOM_CUT if self.late else min(self.room + ROOM_GROWTH * cores, most)
        if self._cold():
            self.room, callers = min(self.room, self._crowd()), max(callers, self.settings.callers)
        if say is not Say.NONE:
            part = self.room / most
            self.out.append(
                Advise(self.room / callers if say is Say.TOKENS else part if say is Say.BIAS else 1 - part)
            )

    def _set_idle(self, connections: float) -> None:
        """Keep the table from filling, which turns callers away. Harm: who comes back pays a handshake."""
        most = IDLE_MOST * self.settings.cores
        few = self.reused > REUSED or connections < most / 2
        wanted = self.idle_us * (2 if few else 0.5 if connections > most else 1)
        wanted = min(max(int(wanted), IDLE_LEAST_US), self.settings.idle_us)
        if wanted != self.idle_us:
            self.idle_us = wanted
            self.out.append(CloseIdle(wanted))

    # Requests

    def _arrive(self, request: Request) -> None:
        """Hold a request, or answer it at once."""
        self.waited_us = max(self.waited_us, request.waited_us)
        self.arrived += 1
        known = self.now - self.last_heard.get(request.caller, -NEVER) < self.settings.idle_us
        self.reused += USUAL * (known - self.reused)
        self.heard[request.caller] = self.last_heard[request.caller] = self.now
        work = self.work[request.id] = Work(request, self.settings, self.now)
        work.due_us = min(work.due_us, self.stop_us - self.margin_us)
        keyed = work.kind.effect is Effect.KEYED
        joined = keyed and request.original > 0
        self._move(work, State.JOINED if joined else State.HELD)
        if joined:
            self.out.append(Join(request.id))
        full = self._memory() + self.settings.entry_kb * keyed > MEMORY_HOLD * self.settings.memory_kb
        # what callers were told wears off while they wait, and some heed nothing: no more than that is held
        full = full or (self._cold() and len(self.work) > self._crowd())
        chance = self.refusal ** (max(work.kind.worth, self.lowest) / self.lowest)
        if self.standing and not joined:
            self.standing.arrived(request, self.now)
            chance = self.standing.chance(request.tenant, chance)
            full = full or self.standing.full(request, self.settings.entry_kb * keyed, keyed, self._memory())
        refused = (self.late and request.retry) or self.random.random() < chance
        if self._hopeless(work) or (not joined and (full or refused or work.arrived_us > self.grace_us)):
            self._answer(work)
        elif keyed and not joined:
            span = work.arrived_us + work.kind.window_us + self.settings.slack_us - self.now
            self.kept[request.id] = self.now + max(span, 1)
            self.out.append(Keep(request.id, max(span, 1)))
            if self.standing:
                self.standing.keeps(request, self.kept[request.id], self.settings.entry_kb)

    def _hopeless(self, work: Work) -> bool:
        """Tell whether a request must be answered now: due, or held with nothing left to gain."""
        lost = work.state is State.HELD and not work.kind.late_share and not self._reachable(work)
        return lost or self.now + self.margin_us >= work.due_us

    def _reachable(self, work: Work) -> bool:
        """Tell whether a request started now would likely end within its aim."""
        kind, hint = work.request.kind, work.request.hint_us or 1
        need = NEED_SAFE * self.ran_us[kind] * hint / (self.hints[kind] or 1)
        return self.now + min(need, NEED_MOST * (work.aim_us - work.arrived_us)) <= work.aim_us

    def _answer(self, work: Work) -> None:
        """Give the final answer without service; what may have run is failed, never turned away."""
        ref = work.request.id
        away = min(max(AWAY_US, self.ages[2]), self.settings.retry_after_us)
        last = self.late and self.coming > MORE * self.usual  # else it is slow by itself, others have room
        self.out.append(Fail(ref) if work.ran or work.state is State.JOINED else Decline(ref, away, last))
        self._let_go(work)

    def _let_go(self, work: Work) -> None:
        """Let go of work that nobody waits for; what has started counts until its end is told."""
        work.answered = True
        if work.state in (State.HELD, State.JOINED):
            del self.work[work.request.id]
            self._move(work, None)
            if self.kept.pop(work.request.id, None) is not None:  # it never ran
                self.out.append(Forget(work.request.id))
                if self.standing:
                    self.standing.forgets(work.request.id, self.settings.entry_kb)
        elif (
            work.state is State.RUNNING
            and self.settings.halt is not Halt.NONE
            and work.kind.effect is Effect.SAFE
        ):
            self.out.append(Pause(work.request.id))

    def _gone(self, event: Gone) -> None:
        """No answer is owed any more."""
        work = self.work.get(event.id)
        if work and not work.answered:
            self._let_go(work)

    def _run_ended(self, event: RunEnded) -> None:
        """A run or a join is over."""
        work = self.work.pop(event.id, None)
        if work is None:
            return
        state = work.state
        self._move(work, None)
        if self.standing and work.ran:
            self.standing.ended(work.request, event.took_us, self.now)
        if state is State.CALLING:  # its call is given up, but not yet out of the hands below
            self.lingering.append(self.now + self.settings.linger_us)
        if event.outcome is Outcome.OK and state is not State.JOINED:
            hint, kind = work.request.hint_us or 1, work.request.kind
            weight = LEARN if self.hints[kind] else 1.0
            self.ran_us[kind] += weight * (event.took_us - self.ran_us[kind])
            self.hints[kind] += weight * (hint - self.hints[kind])

    def _learn(self, event: Learnt) -> None:
        """Reckon with what others saw until something is seen here: a first run outweighs a hint of 1 us."""
        for kind, pace in event.pace.items():
            if not self.hints[kind]:
                self.ran_us[kind], self.hints[kind] = pace, 1.0
        self.call_us = self.call_us or event.call_us

    # Running

    def _move(self, work: Work, state: State | None) -> None:
        """Change where a request stands; nothing else changes the counts. None: it is over."""
        if work.state is not None:
            del self.at[work.state][work.request.id]
        kb = 0.0 if state is None else work.request.held_kb
        if state is not None:
            self.at[state][work.request.id] = work
            kb *= 1 if state in (State.HELD, State.JOINED) else self.settings.run_factor
        self.work_kb += kb - work.kb
        if self.standing:
            began = (state is State.HELD) - (work.state is State.HELD)
            self.standing.moved(work.request, began, kb - work.kb)
        work.state, work.kb = state, kb

    def _memory(self) -> float:
        """Kilobytes that held, running and kept requests take."""
        return len(self.kept) * self.settings.entry_kb + self.work_kb

    def _start_held(self) -> None:
        """Start the worthiest held requests while the cap, the crowd and the memory allow."""
        held = self.at[State.HELD]
        if not held:
            return
        at_calls = len(self.at[State.AT_CALL]) + len(self.at[State.CALLING])
        most = int(self._ceiling()) - at_calls - len(self.at[State.RUNNING])
        room = min(int(self.cap) - len(self.at[State.RUNNING]), most)
        lent = self.standing.lent() if self.standing else 0
        if room + lent <= 0 or most <= 0:
            return
        order = sorted(held.values(), key=lambda w: (not self._reachable(w), -w.kind.worth, w.aim_us))
        for work in self.standing.order(order, self.now) if self.standing else order[:room]:
            extra = work.request.held_kb * (self.settings.run_factor - 1)
            if self._memory() + extra > MEMORY_RUN * self.settings.memory_kb:
                break
            if self.standing:
                if room + lent <= 0 or most <= 0:
                    break
                if room <= 0 and room + self.standing.lent(work.request.tenant) <= 0:
                    continue
                room, most = room - 1, most - 1
                self.standing.started(work.request, self.now)
            self._move(work, State.RUNNING)
            work.ran = True
            self.out.append(Run(work.request.id))

    # Calls

    def _stand_at_call(self, event: CallNeeded) -> None:
        """A running request needs a call."""
        work = self.work.get(event.id)
        if work:
            self._move(work, State.AT_CALL)
            work.until_us = 0
            degraded = client_point(work.request) <= self.degraded * self.weight
            if degraded and work.kind.skip_share > 0 and not work.answered:
                self._skip(work)

    def _skip(self, work: Work) -> None:
        """Go on without the call."""
        self._move(work, State.RUNNING)
        self.out.append(Skip(work.request.id))

    def _call_ended(self, event: CallEnded) -> None:
        """Go on after a call; repeat it only if it is proved never to have run."""
        work = self.work.get(event.id)
        if work is None or work.state is not State.CALLING:
            return
        self._move(work, State.RUNNING if event.outcome is Outcome.OK else State.AT_CALL)
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT):
            self.call_us += LEARN * (event.took_us - self.call_us) if self.call_us else event.took_us
        if event.outcome is Outcome.TIMEOUT:
            self.lingering.append(self.now + self.settings.linger_us)
        if event.outcome is Outcome.OK or work.answered:
            return
        full, optional = event.outcome is Outcome.REJECTED, work.kind.skip_share > 0
        if optional and full and work.asked_again < CALL_AGAIN and self._reachable(work):
            work.asked_again += 1
            work.until_us = self.now + PERIOD_US
        elif optional:
            self._skip(work)
        elif full or event.outcome is Outcome.UNREACHABLE:
            work.until_us = self.now + PERIOD_US
        else:
            self._answer(work)

    def _spare(self) -> float:
        """Call time still free, a leaky bucket's room: the mean over any span stays under our share."""
        linger = self.settings.linger_us
        used = sum(work.until_us + linger - self.now for work in self.at[State.CALLING].values())
        used += sum(end - self.now for end in self.lingering)
        return (1 - CALL_SAFE) * self.call_time_us - self.debt - used - linger

    def _in_hand(self) -> int:
        """Calls that still load what lies below."""
        while self.lingering and self.lingering[0] <= self.now:
            self.lingering.popleft()
        return len(self.lingering) + len(self.at[State.CALLING])

    def _count_calls(self) -> None:
        """Keep account of the mean of calls in hand."""
        over = self._in_hand() - CALL_SAFE * self.share
        self.debt = max(0.0, self.debt + over * (self.now - self.last_us))
        self.last_us = self.now

    def _serve_calls(self) -> None:
        """Make the calls that the level allows, worthiest first; past it skip where allowed, else wait."""
        waiting = [w for w in self.at[State.AT_CALL].values() if not w.answered]
        waiting.sort(key=lambda w: (w.kind.skip_share > 0, -w.kind.worth, w.due_us))
        if not waiting:
            return
        ahead, spare = CALL_AHEAD_US * CALL_SAFE * self.share, self._spare()
        for work in waiting:
            if work.until_us > self.now:
                continue
            longest = min(
                spare,
                max(CALL_MOST * self.call_us, CALL_PART * spare),
                work.due_us - self.margin_us - self.now,
            )
            if self.debt <= ahead and longest > CALL_TIMES * self.call_us:
                spare -= int(longest) + self.settings.linger_us
                work.until_us = self.now + int(longest)
                self._move(work, State.CALLING)
                self.out.append(Call(work.request.id, work.until_us))
            elif work.kind.skip_share > 0:
                self._skip(work)

    # Leaving

    def _drain(self, event: Drain) -> None:
        """Leave: callers are told at once, and everything is due before the stop."""
        self.stop_us = self.now + event.left_us
        self.grace_us = min(self.grace_us, self.now - event.since_us + self.settings.grace_us)
        self.out.append(Health(False, True))
        for work in self.work.values():
            work.due_us = min(work.due_us, self.stop_us - self.margin_us)
        self._sweep()
