"""The timers of the controller, which cause ticks with current gauges."""

from reelusher.core.context import CoreContext
from reelusher.core.messages import GaugesReceived, Runner
from reelusher.policy.actions import SetTimer
from reelusher.policy.events import Gauges, Tick

GAUGES_TIMEOUT_US = 50_000  # a tick is sent without gauges if they do not arrive within this time
REARM_DELAY_US = 100_000  # delay of the next tick after an exception lost the timer of the controller


class GaugeTicks:
    """Sets the timers that the controller requests, and reads the gauges when a timer is due."""

    def __init__(self, context: CoreContext, runner: Runner) -> None:
        """Initialize without timers. `runner` provides the gauges."""
        self._context = context
        self._runner = runner
        self._last_cookie = 0
        self._label_by_cookie: dict[str, int] = {}  # labels of the ticks that wait for gauges
        self.pending = 0  # number of timers that are set or wait for their gauges

    def set_timer(self, action: SetTimer) -> None:
        """Set a timer for the controller; its tick carries the label of the action."""
        self.pending += 1
        due_us = self._context.now_us + action.delay_us
        self._context.timers.call_at(due_us, lambda: self._request_gauges(action.label))

    def rearm_if_lost(self) -> None:
        """Set the timer of the controller again if an exception has lost it."""
        if not self.pending:
            self.set_timer(SetTimer(REARM_DELAY_US, 0))

    def on_gauges(self, message: GaugesReceived) -> None:
        """Report the tick that waits for these gauges; gauges after the timeout are ignored."""
        label = self._label_by_cookie.pop(message.cookie, None)
        if label is None:
            return
        readings = zip(self._context.gauge_fields, message.values, strict=False)
        self._tick(label, Gauges(**{name: value for name, value in readings if name}))

    def _request_gauges(self, label: int) -> None:
        self._last_cookie += 1
        cookie = f"t{self._last_cookie}"
        if not self._runner.request_gauges(cookie):
            self._tick(label, Gauges())
            return
        self._label_by_cookie[cookie] = label
        timeout_us = self._context.now_us + GAUGES_TIMEOUT_US
        self._context.timers.call_at(timeout_us, lambda: self._on_gauges_timeout(cookie))

    def _on_gauges_timeout(self, cookie: str) -> None:
        label = self._label_by_cookie.pop(cookie, None)
        if label is not None:
            self._context.counters.add("gauges.missing")
            self._tick(label, Gauges())

    def _tick(self, label: int, gauges: Gauges) -> None:
        self.pending -= 1
        self._context.pending_events.append(Tick(label, gauges))
