"""Suspicion timers: when a suspect is declared dead. Free of I/O."""

from dataclasses import dataclass
from heapq import heappop, heappush
from math import inf, log, log2

from reelusher.fleet.membership.member_table import MemberTable
from reelusher.fleet.membership.messages import MemberState

MAX_CONFIRMATIONS = 3  # accusers beside the first that bring a suspicion to its shortest duration
MIN_SUSPICION_S = 0.5  # to which `SUSPICION_PER_DOUBLING_S` is added for each doubling of the fleet
SUSPICION_PER_DOUBLING_S = 0.05
MAX_SUSPICION_MULTIPLE = 3.0  # of the shortest duration: with a single accuser
LAST_PING_TIMEOUT_S = 0.2  # for the answer to an accuser's last ping


@dataclass(slots=True)
class Suspicion:
    """A suspicion that this node holds."""

    since_s: float
    due_s: float = inf  # when it is looked at


class SuspicionTimers:
    """The suspicions of one node and when they end.

    Accusers ping a suspect once more before they declare it dead, so that a late refutation is received. They
    are few; other members wait for their verdict, and declare the death themselves only if none arrives.
    """

    def __init__(self, own_address: str, table: MemberTable) -> None:
        self._own_address, self._table = own_address, table
        self._suspicions: dict[str, Suspicion] = {}
        self._due: list[tuple[float, str]] = []  # a heap; some entries are superseded
        self._last_pings: dict[str, float] = {}  # suspects pinged once more, and until when they may answer

    def duration_s(self, accuser_count: int) -> float:
        """Return how long a suspicion with so many accusers lasts: the more, the shorter."""
        fleet_size = self._table.fleet_size()
        shortest_s = MIN_SUSPICION_S + SUSPICION_PER_DOUBLING_S * log2(fleet_size + 1)
        longest_s = shortest_s * MAX_SUSPICION_MULTIPLE
        confirmations = max(1, min(MAX_CONFIRMATIONS, fleet_size - 3))
        fraction = log(max(1, accuser_count)) / log(confirmations + 1)
        return max(shortest_s, longest_s - (longest_s - shortest_s) * fraction)

    def next_s(self) -> float:
        """Return when the next suspicion is due; infinity where there is none."""
        return self._due[0][0] if self._due else inf

    def start(self, address: str, now: float) -> None:
        """Begin to suspect a member."""
        self._suspicions[address] = Suspicion(now)
        self.reschedule(address)

    def reschedule(self, address: str) -> None:
        """Set anew when a suspicion is due, after what that depends on has changed."""
        suspicion = self._suspicions.get(address)
        if suspicion is not None:
            suspicion.due_s = self._end_s(address, suspicion.since_s)
            heappush(self._due, (suspicion.due_s, address))

    def drop(self, address: str) -> None:
        """Suspect a member no longer."""
        self._suspicions.pop(address, None)
        self._last_pings.pop(address, None)
        if not self._suspicions:
            self._due.clear()

    def clear(self) -> list[str]:
        """Drop all suspicions; return the suspects."""
        suspects = list(self._suspicions)
        for address in suspects:
            self.drop(address)
        return suspects

    def postpone(self, duration_s: float) -> None:
        """Extend all suspicions by a time in which this process did not run."""
        self._last_pings.clear()
        self._due.clear()
        for address, suspicion in self._suspicions.items():
            suspicion.since_s += duration_s
            self.reschedule(address)

    def pop_expired(self, now: float) -> str | None:
        """Return a suspect whose time is up, to be pinged once more or declared dead, if there is one."""
        while self._due and self._due[0][0] <= now:
            due_s, address = heappop(self._due)
            suspicion, member = self._suspicions.get(address), self._table.members.get(address)
            if suspicion is None or suspicion.due_s != due_s:
                continue
            if member is None or member.update.state is not MemberState.SUSPECT:
                self.drop(address)
            elif now < self._end_s(address, suspicion.since_s):  # the fleet has grown
                self.reschedule(address)
            else:
                return address
        return None

    def needs_last_ping(self, address: str) -> bool:
        """Return whether this node is an accuser and has not pinged the suspect once more."""
        return address not in self._last_pings and self._own_address in self._table.members[address].accusers

    def await_last_ping(self, address: str, until_s: float) -> None:
        """Give a suspect until then to answer the last ping."""
        self._last_pings[address] = until_s
        self.reschedule(address)

    def _end_s(self, address: str, since_s: float) -> float:
        accusers = self._table.members[address].accusers
        end_s = since_s + self.duration_s(len(accusers))
        if self._own_address not in accusers:
            end_s += 2 * LAST_PING_TIMEOUT_S
        return self._last_pings.get(address, end_s)
