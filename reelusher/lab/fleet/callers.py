"""Callers, without sockets: they pick by the list, try again by their habits, and follow advice or not."""

import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from reelusher.lab.fleet.account import Account, Ask, Try
from reelusher.lab.fleet.plan import Plan
from reelusher.lab.fleet.services import Timeline

PICKS = 8  # at random, before all are looked through
TOKENS_S = 1.0  # advice is borne in mind for so long


class Way(Protocol):
    """Carries tries to nodes and answers back."""

    def send(self, caller: "Caller", one: Try) -> None:
        """Send a try; its end comes back by `Caller.answered` or `Caller.broken`."""


class Caller:
    """One caller, with clients behind it that ask at random times whatever comes back."""

    def __init__(
        self,
        line: Timeline,
        plan: Plan,
        zone: str,
        number: int,
        account: Account,
        listed: Callable[[], frozenset[str]],
        way: Way,
        rate: float,
        names: "itertools.count[int]",
    ) -> None:
        self.line, self.plan, self.number, self.account = line, plan, number, account
        self.listed, self.way, self.rate, self.names = listed, way, rate, names
        self.random = random.Random(f"{plan.run.seed} caller {number}")
        self.heeds = self.random.random() < plan.habits.heeds
        self.out: Counter[str] = Counter()
        self.tokens: dict[str, tuple[float, float]] = {}  # of nodes: how many, until when
        self.stays_away: dict[str, float] = {}
        self.party = f"callers.{zone}"
        self._listed: frozenset[str] = frozenset()
        self._order: list[str] = []  # the same, in an order that is the same in each play

    def begin(self) -> None:
        """Ask from now on to the end of the load."""
        if self.rate:
            self._next()

    def _next(self) -> None:
        now = self.line.time() - self.account.zero_s
        wait_s = self.random.expovariate(self.rate * max(0.001, self.plan.factor(now)))
        if now + wait_s < self.plan.run.seconds:
            self.line.call_later(wait_s, self._ask)

    def _ask(self) -> None:
        self._next()
        kinds = self.plan.kinds
        kind = self.random.choices(kinds, [one.share for one in kinds])[0]
        number = next(self.names)
        body = f"{kind.name}-{number}".encode()
        ask = Ask(kind, f"{number:032x}" if kind.keyed else "", body, self.line.time() - self.account.zero_s)
        self.account.asks.append(ask)
        self._try(ask, set())

    def _left_s(self, ask: Ask) -> float:
        return ask.born_s + ask.kind.deadline_ms / 1000 - (self.line.time() - self.account.zero_s)

    def _pick(self, past: set[str]) -> str | None:
        """Return a node from the list, one that was not tried before where there is one."""
        listed = self.listed()
        if listed is not self._listed:
            self._listed, self._order = listed, sorted(listed)
        for _ in range(PICKS if self._order else 0):  # a look at all would cost more than the request
            node = self.random.choice(self._order)
            if node not in past and self._able(node):
                return node
        able = [node for node in self._order if self._able(node)]
        fresh = [node for node in able if node not in past] or able
        return self.random.choice(fresh) if fresh else None

    def _able(self, node: str) -> bool:
        """Tell whether advice allows a try at a node."""
        now = self.line.time()
        most, until = self.tokens.get(node, (0.0, 0.0))
        away = self.stays_away.get(node, 0.0) > now or (until > now and self.out[node] >= most)
        return not (self.heeds and away)

    def _try(self, ask: Ask, past: set[str], node: str | None = None) -> None:
        if ask.over or self._left_s(ask) <= 0:
            ask.over = True
            return
        habits = self.plan.habits
        if habits.tries and ask.tries >= habits.tries:
            ask.over = True
            return
        node = node or self._pick(past)
        if node is None:  # nobody to ask: looked for again until the client has gone
            self.line.call_later(0.1, self._try, ask, past)
            return
        past.add(node)
        self.out[node] += 1
        one = self.account.note_sent(self.line.time(), f"{next(self.names):016x}", node, ask)
        self.way.send(self, one)

    def answered(self, one: Try, verdict: str, fields: dict[str, str], body: bytes) -> None:
        """Take an answer: `served`, `refused` or `failed`."""
        now, ask, node = self.line.time(), one.ask, one.node
        first = not one.answers
        self.account.note_answer(now, one, verdict, body)
        if not first:
            return
        self.out[node] -= 1
        if "feedback" in fields:
            most = float(fields["feedback"])
            whole = int(most) + (self.random.random() < most - int(most))
            self.tokens[node] = whole, now + TOKENS_S
        if "later" in fields:
            self.stays_away[node] = now + float(fields["later"]) / 1000
        if verdict == "served":
            if not ask.over and self._left_s(ask) > 0:
                ask.served_s, ask.omitted, ask.over = now - self.account.zero_s, body[:1] == b"-", True
        elif verdict == "refused" and self.heeds and fields.get("giveup") == "1":
            ask.over = True
        else:
            self._again(ask, node, verdict != "refused")

    def broken(self, one: Try, excused: bool, ran: bool = True) -> None:
        """Hear that a try had no answer; `ran`: it may have run."""
        self.account.note_ended(self.line.time(), one, excused)
        self.out[one.node] -= 1
        self._again(one.ask, one.node, ran)

    def _again(self, ask: Ask, node: str, ran: bool) -> None:
        """Try again; a keyed try that may have run goes back to the same node."""
        wait_s = self.plan.habits.wait_ms / 1000 * self.random.uniform(0.5, 1.5)
        back = node if ask.key and ran else None
        self.line.call_later(max(0.001, wait_s), self._try, ask, {node}, back)
