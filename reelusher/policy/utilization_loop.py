"""The control loop for the utilization of the cores.

It follows section 4.2 of Abdelzaher and Bhatti, "Web content adaptation to improve server overload behavior"
(1999): a PI loop sets G, the fraction of clients whose requests skip optional calls.
"""

from reelusher.policy.events import Request

TARGET_BUSY_FRACTION = 0.88  # utilization that the loop regulates the cores to
PROPORTIONAL_GAIN = 0.25  # immediate change of G for one unit of error
INTEGRAL_GAIN = 0.015  # change of G in each period for one unit of error
EFFECTIVENESS_DECAY = 0.15  # fraction lost per period with the cores above the target, multiplied by G
EFFECTIVENESS_RECOVERY = 0.005  # regained per period in which the cores are not above the target
MIN_EFFECTIVENESS = 0.1

HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # 2^64 over the golden ratio, as in Fibonacci hashing
HASH_MASK = (1 << 64) - 1
HASH_RANGE = 1 << 32


def client_hash(request: Request) -> float:
    """Map the client of a request to a fixed number N in (0, 1].

    Clients with N <= G, multiplied by its effectiveness, are degraded. The client is the subject of the
    request where it is known, else its caller.
    """
    x = (request.subject or request.caller + 1) * HASH_MULTIPLIER & HASH_MASK
    x = (x ^ x >> 32) * HASH_MULTIPLIER & HASH_MASK
    return ((x ^ x >> 29) % HASH_RANGE + 1) / HASH_RANGE


class UtilizationLoop:
    """Sets G and its effectiveness, which limits skipping of calls where that does not free the cores."""

    def __init__(self) -> None:
        self.error_sum = 0.0
        self.degraded_fraction = 0.0  # G
        self.effectiveness = 1.0  # factor on G

    def update(self, busy_fraction: float) -> None:
        """Run the loop once with the busy fraction of the cores; the error sum is clamped against windup."""
        error = min(max(busy_fraction, 0.0), 1.0) - TARGET_BUSY_FRACTION
        self.error_sum = min(max(self.error_sum + error, 0.0), 1 / INTEGRAL_GAIN)
        control = PROPORTIONAL_GAIN * error + INTEGRAL_GAIN * self.error_sum
        self.degraded_fraction = min(max(control, 0.0), 1.0)
        if error > 0:
            decayed = self.effectiveness * (1 - EFFECTIVENESS_DECAY * self.degraded_fraction)
            self.effectiveness = max(MIN_EFFECTIVENESS, decayed)
        else:
            self.effectiveness = min(1.0, self.effectiveness + EFFECTIVENESS_RECOVERY)

    @property
    def saturated(self) -> bool:
        """Return whether G is 1. All clients are then degraded, unless the effectiveness is below 1."""
        return self.degraded_fraction >= 1

    def degrades(self, request: Request) -> bool:
        """Return whether a request gets a degraded reply, without its optional calls."""
        return client_hash(request) <= self.degraded_fraction * self.effectiveness
