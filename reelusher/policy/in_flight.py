"""Requests in flight: the record of each, and where all of them stand. Times are microseconds."""

from enum import IntEnum

from reelusher.policy.events import Request
from reelusher.policy.settings import RequestClass, Settings
from reelusher.policy.tenant_scheduler import TenantScheduler


class RequestState(IntEnum):
    """Where a request stands; the values are indices of `InFlightRequests.by_state`."""

    HELD = 0
    RUNNING = 1
    AWAITING_CALL = 2  # its run waits for a decision on its call
    CALLING = 3
    ATTACHED = 4  # waits for the result of its original


class InFlightRequest:
    """A request that is not over."""

    __slots__ = (
        "answered",
        "arrived_us",
        "call_not_before_us",
        "call_retries",
        "call_until_us",
        "calls_are_optional",
        "due_us",
        "memory_kb",
        "objective_us",
        "request",
        "request_class",
        "started",
        "state",
    )

    def __init__(self, request: Request, request_class: RequestClass, now_us: int) -> None:
        self.request = request
        self.request_class = request_class
        self.state: RequestState | None = None
        self.memory_kb = 0.0  # that it takes in this state
        self.arrived_us = now_us - request.waited_us
        self.objective_us = self.arrived_us + request_class.objective_us  # full value until then
        self.calls_are_optional = request_class.degraded_value_fraction > 0
        due_us = self.arrived_us + request_class.deadline_us
        if request.time_left_us:
            due_us = now_us + request.time_left_us
        self.due_us = max(now_us, due_us)
        self.answered = False
        self.started = False  # may have had an effect
        self.call_retries = 0  # calls made again that were proved never to have run
        self.call_not_before_us = 0  # while it awaits its call
        self.call_until_us = 0  # while it calls: when the call is abandoned


class InFlightRequests:
    """All requests in flight, by id and by state, and the memory that they take.

    `move` alone changes where a request stands, so counts, memory and the tenants' accounts stay in step.
    """

    def __init__(self, settings: Settings, scheduler: TenantScheduler | None) -> None:
        self.settings = settings
        self._scheduler = scheduler
        self.by_id: dict[int, InFlightRequest] = {}
        self.held: dict[int, InFlightRequest] = {}
        self.running: dict[int, InFlightRequest] = {}
        self.awaiting_call: dict[int, InFlightRequest] = {}
        self.calling: dict[int, InFlightRequest] = {}
        self.attached: dict[int, InFlightRequest] = {}
        self.by_state = (self.held, self.running, self.awaiting_call, self.calling, self.attached)
        self.memory_kb = 0.0

    def __len__(self) -> int:
        return len(self.by_id)

    def add(self, in_flight: InFlightRequest, state: RequestState) -> None:
        """Add a request that was just read."""
        self.by_id[in_flight.request.id] = in_flight
        self.move(in_flight, state)

    def remove(self, in_flight: InFlightRequest) -> None:
        """Remove a request that is over."""
        del self.by_id[in_flight.request.id]
        self.move(in_flight, None)

    def move(self, in_flight: InFlightRequest, state: RequestState | None) -> None:
        """Change where a request stands; None where it is over."""
        request, before = in_flight.request, in_flight.state
        if before is not None:
            del self.by_state[before][request.id]
        memory_kb = 0.0
        if state is not None:
            self.by_state[state][request.id] = in_flight
            memory_kb = request.held_kb
            if state not in (RequestState.HELD, RequestState.ATTACHED):
                memory_kb *= self.settings.running_memory_factor
        change_kb = memory_kb - in_flight.memory_kb
        self.memory_kb += change_kb
        if self._scheduler:
            held = (state is RequestState.HELD) - (before is RequestState.HELD)
            self._scheduler.holding_changed(request, held, change_kb)
        in_flight.state, in_flight.memory_kb = state, memory_kb
