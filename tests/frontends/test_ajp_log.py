"""What one web server can make the AJP front end write to its log."""

import tempfile
from collections.abc import Iterator
from typing import Any

import parties
import pytest
from loguru import logger
from scenario import scenario_environment

REQUESTS = 200


@pytest.fixture
def environment() -> Iterator[dict[str, Any]]:
    with tempfile.TemporaryDirectory() as folder, scenario_environment(folder, {}) as running:
        yield running


def test_unsound_requests_under_new_names_are_counted_and_logged_once(environment: dict[str, Any]) -> None:
    """Guard against a log that grows with each unsound request of one connection, by 0.4 MB a second."""
    lines: list[str] = []
    sink = logger.add(lambda line: lines.append(str(line)), level="WARNING")
    web_server = parties.Web(environment)
    for number in range(REQUESTS):
        web_server.send(["GET", f"/no-route-{number}"])
        web_server.expect(["404"])
    logger.remove(sink)
    assert environment["node"].node.parts.counters.snapshot()["ajp.rejected_404"] == REQUESTS
    assert len([line for line in lines if "ajp: request answered 404" in line]) == 1
