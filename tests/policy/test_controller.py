"""The order in which held requests start."""

from helpers import MUST_CALL, SAFE, ids, started_controller

from reelusher.policy.actions import (
    Run,
)
from reelusher.policy.events import (
    Request,
)


def test_held_requests_start_by_priority_then_by_objective() -> None:
    controller = started_controller(SAFE, MUST_CALL)
    actions = controller.handle(0, [Request(1, 0), Request(2, 0, waited_us=1_000), Request(3, 1)])
    assert ids(actions, Run) == [3, 2]
