"""Learning from warm members: what is believed, whom a fresh node asks, and hosted nodes that do it."""

import itertools
import socket
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import parties
import pytest
from helpers import soon
from hypothesis import given
from hypothesis import strategies as st

from reelusher import node as node_module
from reelusher.config.load import merge
from reelusher.config.operator import parse
from reelusher.fleet.membership import requests
from reelusher.fleet.membership.messages import Observation, ObservationsReply
from reelusher.fleet.warm_start.facts import HALF_S, MOST_FACTS, donors, median, trust, weighed
from reelusher.node import Node
from reelusher.policy.controller import Controller
from reelusher.policy.events import Outcome, Request, RunEnded, WarmStartData
from reelusher.policy.settings import RequestClass, Settings

NOW = 1_700_000_000.0


def fact(value: float, age_s: float = 0.0, about: str = "run:slot-search") -> Observation:
    return Observation(about, value, NOW - age_s)


@pytest.mark.parametrize(
    ("told", "believed"),
    [
        ([[fact(1.0)], [fact(1.2)], [fact(900.0)]], 1.2),  # a wrong donor is outvoted by two
        ([[fact(1.0)], [fact(1.2)], [fact(9.0, 230.0)]], 1.2),  # a stale one counts for little
        ([[fact(2.0, 500.0)]], None),
        ([[fact(2.0, 479.0)]], None),  # too old, or too little all together
        ([[fact(float("nan"))], [fact(0.0)], [fact(1e10)]], None),  # no such value
        ([[fact(1.0, -60.0)]], None),  # from the future
        ([[fact(1.0, about="odd:thing")]], None),
        ([[fact(3.0, 9.0), fact(2.0, 1.0)]], 2.0),  # the newest of one donor
        ([], None),
    ],
)
def test_what_donors_say_is_weighed_by_age_and_by_median(
    told: list[list[Observation]], believed: float | None
) -> None:
    known = weighed(told, NOW)
    assert list(known.values()) == ([] if believed is None else [believed])


def test_a_worker_is_away_only_if_most_of_the_trust_says_so() -> None:
    away, here = fact(1.0, about="away:w"), fact(0.0, about="away:w")
    assert weighed([[away], [here]], NOW) == {"away:w": 0.0}
    assert weighed([[away], [away], [here]], NOW) == {"away:w": 1.0}
    assert weighed([[away], [away], [fact(0.0, 30.0, "away:w")]], NOW) == {"away:w": 1.0}


@given(st.floats(0, 2000), st.floats(0, 2000))
def test_trust_falls_with_age_and_stays_between_0_and_1(one: float, other: float) -> None:
    young, old = sorted((one, other))
    assert 0 <= trust(fact(1.0, old), NOW) <= trust(fact(1.0, young), NOW) <= 1
    assert trust(fact(1.0, HALF_S["run"]), NOW) == pytest.approx(0.5)


@given(st.lists(st.tuples(st.floats(0, 100), st.floats(0.01, 1)), min_size=1, max_size=9))
def test_a_median_is_a_value_that_half_of_the_weight_is_not_above(values: list[tuple[float, float]]) -> None:
    made, whole = median(values), sum(weight for _, weight in values)
    assert made in [value for value, _ in values]
    assert sum(weight for value, weight in values if value > made) <= whole / 2 + 1e-9
    assert sum(weight for value, weight in values if value < made) <= whole / 2 + 1e-9


def test_no_donor_is_asked_by_all_and_each_fresh_node_asks_the_same_ones_again() -> None:
    members = [f"127.0.0.1:{number}" for number in range(20)]
    asked = Counter(donor for number in range(200) for donor in donors(f"fresh-{number}", members))
    assert len(asked) == 20
    assert max(asked.values()) < 3 * 200 * 3 / 20
    assert donors("x", members) == donors("x", list(reversed(members)))
    assert len(donors("x", members[:2])) == 2
    assert donors("x", []) == []


def test_a_donor_that_tells_too_much_is_heard_to_a_bound() -> None:
    assert len(weighed([[fact(1.0, about=f"run:{number}") for number in range(2000)]], NOW)) == MOST_FACTS


def test_the_module_reckons_with_what_was_learnt_until_it_sees_for_itself() -> None:
    kinds = [RequestClass(5_000_000, latency_objective_us=1_000_000)]
    module = Controller(Settings(kinds, 2, 1e6, 4, 6, 2_000_000, 1.0, 0, 2_500_000), 1)
    module.handle(0, [WarmStartData({0: 30.0}, 7000.0)])
    module.handle(1, [Request(1, 0, 1, 0, 0, 1.0, 20_000, 0, 0, 0)])
    work = module.in_flight.by_id[1]
    assert module.dependency.mean_duration_us == 7000.0
    assert work.objective_us == 1_000_001
    now_us = 600_000  # 20 ms of work are reckoned to take 0.5 s: more than half of an aim counts as half
    assert not module.run_times.can_meet_objective(work, now_us)
    module.handle(600_001, [RunEnded(1, Outcome.OK, 20_000)])
    assert module.run_times.ratio(0) == pytest.approx(1.0, rel=0.02)  # what was seen wins at once
    module.handle(600_002, [WarmStartData({0: 30.0}, 9.0)])
    assert module.run_times.ratio(0) == pytest.approx(1.0, rel=0.02)
    assert module.dependency.mean_duration_us == 7000.0


# Hosted nodes


class Hosted:
    """Nodes of one fleet with two workers, of which the second is not there."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.nodes = folder, list[Node]()
        (folder / "secret").write_text("a secret of sixteen or more")
        self.worker = parties.Container({})
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.gone = free.getsockname()[1]

    def start(self, name: str) -> Node:
        seeds = ["{}:{}".format(*node.fleet.address) for node in self.nodes if node.fleet]
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
                            {"name": "gone", "port": self.gone, "recover_ms": 60_000},
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

    def ask(self, node: Node) -> None:
        """Have a node serve two requests, of which one meets the worker that is gone."""
        web = parties.Web({"places": {"ajp": node.fronts["ajp"].address}, "count": itertools.count(1)})
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
    monkeypatch.setattr(node_module, "WARM_S", 0.0)
    made = Hosted(tmp_path)
    yield made
    made.close()


def learnt(node: Node) -> dict[str, int]:
    return {name: count for name, count in node.counters.snapshot().items() if name.startswith("learning.")}


def test_a_fresh_node_passes_a_worker_by_that_warm_ones_found_gone(hosted: Hosted) -> None:
    for name in "ab":
        hosted.ask(hosted.start(name))
    assert soon(lambda: all(len(node.fleet.live()) == 2 for node in hosted.nodes if node.fleet))
    assert hosted.nodes[0].counters.snapshot()["workers.unreachable"] == 1  # found by failing
    fresh = hosted.start("c")
    assert soon(lambda: "learning.believed" in learnt(fresh))
    assert learnt(fresh)["learning.believed"] == 3  # both workers, and how long a run takes
    members = fresh._pool.members
    assert members["gone"].doubted
    assert not members["here"].doubted
    assert fresh.core.run_on_loop(lambda: fresh.core._controller.run_times._expected_us) == [1.0]
    hosted.ask(fresh)
    assert fresh.counters.snapshot().get("workers.unreachable", 0) == 0
    assert fresh._pool.seen().keys() == {"away:here"}  # what others told is not told on as seen here


@pytest.mark.parametrize("spoil", ["cold", "silent", "gone", "wrong"])
def test_with_donors_that_are_of_no_use_a_node_starts_as_if_blind(
    hosted: Hosted, spoil: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    donor = hosted.start("a")
    hosted.ask(donor)
    assert donor.fleet is not None
    if spoil == "cold":
        donor.fleet.observations = lambda: ObservationsReply(False, [])
    elif spoil == "silent":
        monkeypatch.setattr(requests, "REQUEST_TIMEOUT_S", 30.0)
        donor.fleet.observations = lambda: time.sleep(20) or ObservationsReply(False, [])  # type: ignore[func-returns-value]
    elif spoil == "wrong":
        donor.fleet.observations = lambda: ObservationsReply(
            True,
            [
                Observation("away:here", 1e99, time.time()),
                Observation("run:look", -1.0, time.time()),
                Observation("nothing", 1.0, time.time()),
            ],
        )
    else:
        donor.fleet.close()
    fresh = hosted.start("c")
    began = time.monotonic()
    hosted.ask(fresh)
    assert time.monotonic() - began < 10  # it waits for nobody
    assert not fresh._pool.members["here"].doubted
    assert learnt(fresh).get("learning.believed", 0) == 0
