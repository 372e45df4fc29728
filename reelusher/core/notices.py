"""The state of the node that front ends report to callers."""

from dataclasses import dataclass


@dataclass(slots=True)
class CallerNotices:
    """Notices to callers. The event loop thread writes them unless noted otherwise; front ends read them."""

    healthy: bool = True  # according to the controller
    # another process of this node takes over, so the node stays healthy; set by the thread of the drain
    handing_over: bool = False
    diverting_callers: bool = False  # operators set this, from other threads, to fail health checks
    advertised_capacity: float | None = None
    idle_timeout_us: int = 0
    draining: bool = False

    @property
    def reports_healthy(self) -> bool:
        """Return whether health checks succeed."""
        return (self.healthy or self.handing_over) and not self.diverting_callers
