"""Suspicion timers: when a suspect is declared dead. Free of I/O."""

from dataclasses import dataclass
from heapq import heappop, heappush
from math import inf, log, log2

from reelusher.fleet.membership.member_table import MemberTable
from reelusher.fleet.membership.messages import MemberState

MAX_CONFIRMATIONS = 3  # accusers besides the first at which a suspicion has its shortest duration
MIN_SUSPICION_S = 0.5  # shortest duration, before the addition for the fleet size
SUSPICION_PER_DOUBLING_S = 0.05  # added for each doubling of the fleet size
MAX_SUSPICION_MULTIPLE = 3.0  # duration with a single accuser, divided by the shortest duration
# Shortest time-out of the answer to the ping that an accuser sends before it declares a death. Other members
# wait twice as long in addition to the duration of the suspicion.
FINAL_PING_TIMEOUT_S = 0.2


@dataclass(slots=True)
class Suspicion:
    """The timer of one suspicion that this node knows of."""

    since_s: float
    due_s: float = inf  # when the suspicion is checked


class SuspicionTimers:
    """The suspicions of one node and when they end.

    Accusers ping a suspect a final time before they declare it dead, so that a late refutation can arrive.
    There are only a few accusers; the other members wait longer for them to announce the death, and declare
    it themselves only if no announcement arrives.
    """

    def __init__(self, own_address: str, table: MemberTable) -> None:
        self._own_address, self._table = own_address, table
        self._suspicions: dict[str, Suspicion] = {}
        # a heap of due times and addresses; stale entries are skipped
        self._due: list[tuple[float, str]] = []
        # suspects that were sent a final ping, and until when they may answer
        self._final_pings: dict[str, float] = {}

    def duration_s(self, accuser_count: int) -> float:
        """Return the duration of a suspicion, which is shorter the more accusers there are."""
        fleet_size = self._table.fleet_size()
        shortest_s = MIN_SUSPICION_S + SUSPICION_PER_DOUBLING_S * log2(fleet_size + 1)
        longest_s = shortest_s * MAX_SUSPICION_MULTIPLE
        confirmations = max(1, min(MAX_CONFIRMATIONS, fleet_size - 3))
        fraction = log(max(1, accuser_count)) / log(confirmations + 1)
        return max(shortest_s, longest_s - (longest_s - shortest_s) * fraction)

    def next_due_s(self) -> float:
        """Return when the next suspicion is due; infinity if there is none."""
        return self._due[0][0] if self._due else inf

    def start(self, address: str, now: float) -> None:
        """Start the timer of a new suspicion."""
        self._suspicions[address] = Suspicion(now)
        self.reschedule(address)

    def reschedule(self, address: str) -> None:
        """Recompute when a suspicion is due, after its start, accusers, final ping or fleet size changed."""
        suspicion = self._suspicions.get(address)
        if suspicion is not None:
            suspicion.due_s = self._end_s(address, suspicion.since_s)
            heappush(self._due, (suspicion.due_s, address))

    def drop(self, address: str) -> None:
        """End the suspicion of a member."""
        self._suspicions.pop(address, None)
        self._final_pings.pop(address, None)
        if not self._suspicions:
            self._due.clear()

    def clear(self) -> list[str]:
        """End all suspicions; return the addresses of the suspects."""
        suspects = list(self._suspicions)
        for address in suspects:
            self.drop(address)
        return suspects

    def postpone(self, duration_s: float) -> None:
        """Extend all suspicions by `duration_s`, in which this process did not run."""
        self._final_pings.clear()
        self._due.clear()
        for address, suspicion in self._suspicions.items():
            suspicion.since_s += duration_s
            self.reschedule(address)

    def pop_expired(self, now: float) -> str | None:
        """Return a suspect to send the final ping to or to declare dead; None if no suspicion has expired."""
        while self._due and self._due[0][0] <= now:
            due_s, address = heappop(self._due)
            suspicion, member = self._suspicions.get(address), self._table.members.get(address)
            if suspicion is None or suspicion.due_s != due_s:
                continue
            if member is None or member.update.state is not MemberState.SUSPECT:
                self.drop(address)
            elif now < self._end_s(address, suspicion.since_s):  # the fleet has grown in the meantime
                self.reschedule(address)
            else:
                return address
        return None

    def needs_final_ping(self, address: str) -> bool:
        """Return whether this node is an accuser and has not sent the suspect the final ping."""
        return address not in self._final_pings and self._own_address in self._table.members[address].accusers

    def await_final_ping(self, address: str, until_s: float) -> None:
        """Give a suspect until `until_s` to answer the final ping."""
        self._final_pings[address] = until_s
        self.reschedule(address)

    def _end_s(self, address: str, since_s: float) -> float:
        accusers = self._table.members[address].accusers
        end_s = since_s + self.duration_s(len(accusers))
        if self._own_address not in accusers:
            end_s += 2 * FINAL_PING_TIMEOUT_S
        return self._final_pings.get(address, end_s)
