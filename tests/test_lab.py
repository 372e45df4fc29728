"""The laboratory: plans, and a load run against a stand-in worker."""

import asyncio
from typing import Any

import pytest

from reelusher.config import ConfigError
from reelusher.lab.__main__ import main, report, table
from reelusher.lab.load import StandIn, play
from reelusher.lab.plan import Worker, parse

CALLER = {"name": "a", "rate": 50}


@pytest.mark.parametrize(
    ("plan", "key"),
    [
        ({"run": {"target": "10.0.0.1:8009"}, "callers": [CALLER]}, "run.target"),
        ({"run": {"target": "127.0.0.1:8009"}}, "callers"),
        ({"run": {"target": "127.0.0.1:8009"}, "callers": [{"name": "a"}]}, "callers[0].rate"),
        ({"run": {"target": "127.0.0.1:8009"}, "callers": [{**CALLER, "bogus": 1}]}, "callers[0].bogus"),
        (
            {"run": {"target": "127.0.0.1:8009"}, "callers": [CALLER], "workers": [{"listen": "0.0.0.0:1"}]},
            "workers[0].listen",
        ),
    ],
)
def test_invalid_plan_raises_an_error_that_names_the_key(plan: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigError) as caught:
        parse(plan)
    assert caught.value.key == key


def test_missing_plan_ends_with_status_2(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["/nowhere.toml"]) == 2
    assert "/nowhere.toml" in capsys.readouterr().err


def test_run_counts_the_outcome_of_each_request_and_latency_includes_waiting() -> None:
    """One slot of 40 ms gets 55 requests per second: the queue grows, and latencies must grow with it."""

    async def run() -> dict[str, Any]:
        stand_in = StandIn(Worker(("127.0.0.1", 0), 1, 40.0))
        server = await asyncio.start_server(stand_in.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        plan = parse(
            {
                "run": {"target": f"{host}:{port}", "seconds": 1.0, "warm_up_s": 0},
                "callers": [
                    {**CALLER, "body_bytes": 100, "method": "POST", "aim_ms": 100},
                    {"name": "b", "rate": 5, "keeps": False},
                ],
            }
        )
        figures = report(plan, *await play(plan))
        server.close()
        assert stand_in.completed_runs == sum(row["served"] for row in figures["callers"])
        return figures

    figures = asyncio.run(run())
    first, second = figures["callers"]
    assert first["served"] == first["asked"] == first["tries"] > 20
    assert second["lost"] == 0
    assert first["p50_ms"] > 100
    assert first["in_time"] < 0.5
    assert first["max_ms"] >= first["p99_ms"]
    assert "in_time" in table(figures)
    assert figures["jain"] < 1
