"""Warm start: combining observations, selecting donors, and a node that starts beside warm ones."""

import itertools
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import parties
import pytest
from helpers import free_address, wait_until
from hypothesis import given
from hypothesis import strategies as st

from reelusher.assembly import fleet as fleet_assembly
from reelusher.config.load import merge
from reelusher.config.operator.file import parse
from reelusher.fleet.membership import requests
from reelusher.fleet.membership.messages import Observation, ObservationsReply
from reelusher.fleet.warm_start.observations import (
    HALF_LIFE_S,
    MAX_OBSERVATIONS,
    combine,
    select_donors,
    weight,
    weighted_median,
)
from reelusher.node import Node
from reelusher.policy.controller import Controller
from reelusher.policy.events import Outcome, Request, RunEnded, WarmStartData
from reelusher.policy.settings import RequestClass, Settings

NOW = 1_700_000_000.0


def observation(value: float, age_s: float = 0.0, subject: str = "run:slot-search") -> Observation:
    return Observation(subject, value, NOW - age_s)


@pytest.mark.parametrize(
    ("reports", "combined"),
    [
        # two donors outvote a wrong one
        ([[observation(1.0)], [observation(1.2)], [observation(900.0)]], 1.2),
        # a stale observation has little weight
        ([[observation(1.0)], [observation(1.2)], [observation(9.0, 230.0)]], 1.2),
        ([[observation(2.0, 500.0)]], None),  # too old
        ([[observation(2.0, 479.0)]], None),  # the total weight is too small
        ([[observation(float("nan"))], [observation(0.0)], [observation(1e10)]], None),  # invalid values
        ([[observation(1.0, -60.0)]], None),  # observed in the future
        ([[observation(1.0, subject="odd:thing")]], None),  # unknown kind of subject
        ([[observation(3.0, 9.0), observation(2.0, 1.0)]], 2.0),  # the newest of one donor counts
        ([], None),
    ],
)
def test_reports_are_combined_by_age_and_weighted_median(
    reports: list[list[Observation]], combined: float | None
) -> None:
    values = combine(reports, NOW)
    assert list(values.values()) == ([] if combined is None else [combined])


def test_worker_is_unreachable_only_by_the_majority_of_the_weight() -> None:
    unreachable, reachable = observation(1.0, subject="away:w"), observation(0.0, subject="away:w")
    assert combine([[unreachable], [reachable]], NOW) == {"away:w": 0.0}
    assert combine([[unreachable], [unreachable], [reachable]], NOW) == {"away:w": 1.0}
    assert combine([[unreachable], [unreachable], [observation(0.0, 30.0, "away:w")]], NOW) == {"away:w": 1.0}


@given(st.floats(0, 2000), st.floats(0, 2000))
def test_weight_falls_with_age_and_stays_between_0_and_1(one: float, other: float) -> None:
    young, old = sorted((one, other))
    assert 0 <= weight(observation(1.0, old), NOW) <= weight(observation(1.0, young), NOW) <= 1
    assert weight(observation(1.0, HALF_LIFE_S["run"]), NOW) == pytest.approx(0.5)


@given(st.lists(st.tuples(st.floats(0, 100), st.floats(0.01, 1)), min_size=1, max_size=9))
def test_half_of_the_weight_is_not_above_the_weighted_median(values: list[tuple[float, float]]) -> None:
    median, total_weight = weighted_median(values), sum(weight for _, weight in values)
    assert median in [value for value, _ in values]
    assert sum(weight for value, weight in values if value > median) <= total_weight / 2 + 1e-9
    assert sum(weight for value, weight in values if value < median) <= total_weight / 2 + 1e-9


def test_new_nodes_ask_different_donors_and_each_the_same_ones_again() -> None:
    members = [f"127.0.0.1:{number}" for number in range(20)]
    request_counts = Counter(
        donor for number in range(200) for donor in select_donors(f"fresh-{number}", members)
    )
    assert len(request_counts) == 20
    assert max(request_counts.values()) < 3 * 200 * 3 / 20
    assert select_donors("x", members) == select_donors("x", list(reversed(members)))
    assert len(select_donors("x", members[:2])) == 2
    assert select_donors("x", []) == []


def test_observations_of_one_donor_are_limited() -> None:
    assert (
        len(combine([[observation(1.0, subject=f"run:{number}") for number in range(2000)]], NOW))
        == MAX_OBSERVATIONS
    )


def test_controller_uses_warm_start_data_until_it_observes_for_itself() -> None:
    classes = [RequestClass(5_000_000, latency_objective_us=1_000_000)]
    controller = Controller(Settings(classes, 2, 1e6, 4, 6, 2_000_000, 1.0, 0, 2_500_000), 1)
    controller.handle(0, [WarmStartData({0: 30.0}, 7000.0)])
    controller.handle(1, [Request(1, 0, 1, 0, 0, 1.0, 20_000, 0, 0, 0)])
    in_flight = controller.in_flight.by_id[1]
    assert controller.dependency.mean_duration_us == 7000.0
    assert in_flight.objective_us == 1_000_001
    # The estimate for 20 ms of work is limited to half the objective, 0.5 s, but only 0.4 s are left.
    now_us = 600_000
    assert not controller.run_times.can_meet_objective(in_flight, now_us)
    controller.handle(600_001, [RunEnded(1, Outcome.OK, 20_000)])
    # the node's own observation outweighs the warm start data at once
    assert controller.run_times.ratio(0) == pytest.approx(1.0, rel=0.02)
    controller.handle(600_002, [WarmStartData({0: 30.0}, 9.0)])
    assert controller.run_times.ratio(0) == pytest.approx(1.0, rel=0.02)
    assert controller.dependency.mean_duration_us == 7000.0


# Hosted nodes


class Hosted:
    """Nodes of one fleet with two workers, the second of which is unreachable."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.nodes = folder, list[Node]()
        (folder / "secret").write_text("a secret of sixteen or more")
        self.worker = parties.Container({})
        self.unreachable_port = free_address()[1]

    def start(self, name: str) -> Node:
        seeds = ["{}:{}".format(*node.parts.fleet.address) for node in self.nodes if node.parts.fleet]
        node = Node(
            merge(
                None,
                parse(
                    {
                        "node": {"name": name},
                        "ajp": {"listen": "127.0.0.1:0"},
                        "fleet": {
                            "listen": "127.0.0.1:0",
                            "seeds": seeds[:1],
                            "secret_file": str(self.folder / "secret"),
                        },
                        "classes": [{"name": "look", "deadline_ms": 5000}],
                        "workers": [
                            {"name": "here", "port": self.worker.address[1]},
                            {"name": "gone", "port": self.unreachable_port, "recover_ms": 60_000},
                        ],
                        "balancers": [{"name": "both", "members": ["here", "gone"]}],
                        "tenants": [{"name": "t", "backend": "both", "default_class": "look"}],
                    }
                ),
            )
        )
        self.nodes.append(node)
        node.start()
        return node

    def serve_requests(self, node: Node) -> None:
        """Have a node serve two requests.

        One of them is assigned to the unreachable worker first, unless the node suspects that worker.
        """
        web = parties.Web(
            {"places": {"ajp": node.parts.frontends["ajp"].address}, "count": itertools.count(1)}
        )
        for _ in range(2):
            web.send(["GET", "/x"])
            self.worker.expect(["GET", "/x"])
            self.worker.send(["200", "made"])
            web.expect(["200"])

    def close(self) -> None:
        for node in self.nodes:
            node.close()
        self.worker.close(["listener"])


@pytest.fixture
def hosted(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Hosted]:
    monkeypatch.setattr(fleet_assembly, "MIN_SHARING_UPTIME_S", 0.0)
    fleet = Hosted(tmp_path)
    yield fleet
    fleet.close()


def warm_start_counters(node: Node) -> dict[str, int]:
    return {
        name: count for name, count in node.parts.counters.snapshot().items() if name.startswith("learning.")
    }


def test_new_node_skips_a_worker_that_warm_nodes_found_unreachable(hosted: Hosted) -> None:
    for name in "ab":
        hosted.serve_requests(hosted.start(name))
    assert wait_until(
        lambda: all(len(node.parts.fleet.live()) == 2 for node in hosted.nodes if node.parts.fleet)
    )
    assert hosted.nodes[0].parts.counters.snapshot()["workers.unreachable"] == 1  # a connection was refused
    fresh = hosted.start("c")
    assert wait_until(lambda: "learning.believed" in warm_start_counters(fresh))
    assert warm_start_counters(fresh)["learning.believed"] == 3  # both workers and a run time
    members = fresh.parts.worker_pool.workers
    assert members["gone"].suspected
    assert not members["here"].suspected
    assert fresh.parts.core.run_on_loop(lambda: fresh.parts.core._controller.run_times._expected_us) == [1.0]
    hosted.serve_requests(fresh)
    assert fresh.parts.counters.snapshot().get("workers.unreachable", 0) == 0
    # values received from other members are not shared as the node's own observations
    assert fresh.parts.worker_pool.observations().keys() == {"away:here"}


@pytest.mark.parametrize("fault", ["cold", "silent", "gone", "wrong"])
def test_node_starts_without_observations_if_donors_are_useless(
    hosted: Hosted, fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    donor = hosted.start("a")
    hosted.serve_requests(donor)
    assert donor.parts.fleet is not None
    if fault == "cold":
        donor.parts.fleet.observations = lambda: ObservationsReply(False, [])
    elif fault == "silent":
        monkeypatch.setattr(requests, "REQUEST_TIMEOUT_S", 30.0)
        donor.parts.fleet.observations = lambda: time.sleep(20) or ObservationsReply(False, [])  # type: ignore[func-returns-value]
    elif fault == "wrong":
        donor.parts.fleet.observations = lambda: ObservationsReply(
            True,
            [
                Observation("away:here", 1e99, time.time()),
                Observation("run:look", -1.0, time.time()),
                Observation("nothing", 1.0, time.time()),
            ],
        )
    else:
        donor.parts.fleet.close()
    fresh = hosted.start("c")
    started_s = time.monotonic()
    hosted.serve_requests(fresh)
    assert time.monotonic() - started_s < 10  # it serves without waiting for donors
    assert not fresh.parts.worker_pool.workers["here"].suspected
    assert warm_start_counters(fresh).get("learning.believed", 0) == 0
