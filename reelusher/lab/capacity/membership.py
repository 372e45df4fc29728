"""Membership: bytes and processor time of a member, a death known, and full states by the fleet's size."""

from functools import partial
from random import Random
from statistics import median

from reelusher.fleet.membership.messages import Seal, State, StateReply, StateRequest, Update
from reelusher.fleet.membership.service import SYNC_S
from reelusher.fleet.membership.swim import Swim
from reelusher.lab.capacity.budgets import expected
from reelusher.lab.capacity.harness import Figures, Scale, each_us
from reelusher.lab.capacity.keys import bytes_of
from reelusher.lab.fleet.members import cost, time_to_know

DEATHS = 3


def _updates(size: int) -> list[Update]:
    return [Update(f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}:7946", f"node-{number}",
                   f"zone-{number % 17}", f"region-{number % 7}", 1_700_000_000_000 + number, State.ALIVE)
            for number in range(size)]


def rest(size: int) -> Figures:
    """Measure members at rest, and the time until a death is known to 99 %."""
    sent, sent_bytes, core = cost(size)
    return {"datagrams_per_s": sent, "bytes_per_s": sent_bytes, "core": core,
            "death_known_s": median(time_to_know(size, seed) for seed in range(DEATHS))}


def states(size: int) -> Figures:
    """Measure a full state of so many members, and the table that it makes."""
    updates = _updates(size)
    seal = Seal(b"a secret of sixteen", "lab", updates[0].place, 1)
    data = seal.close(StateRequest(updates[0].place, updates))

    def take() -> Swim:
        swim = Swim(updates[0], Random(1), 0.0)
        swim.merge(updates, 0.0)
        swim.quiet()
        return swim

    def given() -> None:
        seal.close(StateReply(swim.state()))

    held, swim = bytes_of(take)
    return {"state_kb": len(data) / 1000, "table_kb": held / 1000,
            "exchange_bytes_per_s": 2 * 2 * len(data) / (sum(SYNC_S) / 2),
            "give_ms": each_us(given) / 1000, "merge_ms": each_us(lambda: swim.merge(updates, 0.0)) / 1000,
            "tick_us": each_us(lambda: swim.tick(0.0))}


_OF = partial(Scale, of="members", target=expected("nodes"))
SCALES = [
    _OF("membership-rest", "members at rest on a virtual clock, no datagram lost",
        sizes=(50, 100, 200, 400), quick=(8, 12, 16, 24), measure=rest, repeats=1,
        units={"datagrams_per_s": "/s", "bytes_per_s": "B/s", "core": "", "death_known_s": "s"},
        notes=("core: the member's decisions and its seal; the sockets are not in it",
               "without full states, which membership-states tells of")),
    _OF("membership-states", "the full state of a fleet, exchanged with one member each 15 to 30 s",
        sizes=(200, 800, 1800, 3600), quick=(20, 40, 80, 160), measure=states,
        units={"state_kb": "KB", "table_kb": "KB", "exchange_bytes_per_s": "B/s", "give_ms": "ms",
               "merge_ms": "ms", "tick_us": "µs"},
        notes=("exchange: given and taken, by one exchange of its own and one that another begins, "
               "each 22.5 s",)),
]
