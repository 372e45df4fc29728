"""The notices of the controller that front ends pass on to callers."""

from dataclasses import dataclass


@dataclass(slots=True)
class CallerNotices:
    """What callers are told at present. Written by the event loop thread, read by front ends."""

    healthy: bool = True  # according to the controller
    handing_over: bool = False  # another process of this node keeps serving, so the node stays healthy
    diverting_callers: bool = False  # set by operators, from their own threads
    advertised_capacity: float | None = None
    idle_timeout_us: int = 0
    draining: bool = False

    @property
    def reports_healthy(self) -> bool:
        """Return the result of health checks."""
        return (self.healthy or self.handing_over) and not self.diverting_callers
