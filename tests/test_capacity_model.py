"""The model of hollow nodes at a small size: what it says must hold there too."""

import json
from math import inf
from pathlib import Path

import pytest

from reelusher.fleet.membership.authentication import MessageAuthenticator
from reelusher.fleet.membership.messages import Datagram, DatagramKind
from reelusher.lab.capacity import fleet, hollow_fleet
from reelusher.lab.capacity.fleet import spread, told
from reelusher.lab.capacity.hollow_fleet import (
    Fleet,
    Meter,
    count_inconsistent_nodes,
    leader_rows,
    spread_figures,
)
from reelusher.lab.capacity.parts import QUANTUM_S, ShardedFleet, ShardFailedError


def lost_of(model: Fleet) -> dict[str, int]:
    return count_inconsistent_nodes(model, leader_rows(model), model.changes)


def test_changes_are_everywhere_in_time_while_nodes_restart_and_a_rack_is_away() -> None:
    model = Fleet(120, 3)
    model.run(2.0)
    meter = Meter(model)
    rack = set(range(110, 120))
    model.steady -= rack
    model.schedule_restarts(model.clock.now + 16, 4.0)
    model.clock.call_later(3.0, model.isolate, rack)
    model.clock.call_later(8.0, model.isolate, set())
    for number in range(20):
        model.clock.call_later(number * 0.4, model.change, number % 7)
    model.run(16.0)
    figures = meter.figures()
    assert model.until(model.has_converged, 30) < 16
    figures_of_spread = spread_figures([spread(model)])
    assert figures_of_spread["changes"] == 20
    assert len(model.steady) == 120 - 10 - 4
    assert figures_of_spread["to_999_permille_most_s"] < 8
    assert figures_of_spread["to_all_most_s"] < 16
    assert lost_of(model) == {"nodes_with_other_rows": 0, "nodes_not_at_the_last_change": 0}
    assert model.reply_faults == {}
    assert figures["core_percent"] < 3.5


def test_a_region_apart_with_changes_on_both_sides_is_level_soon_after_its_return() -> None:
    model = Fleet(70, 5)
    model.run(2.0)
    region = {node.index for node in model.nodes if hollow_fleet.region_of(node.zone) == 2}
    model.isolate(region)
    for number in range(60):
        model.clock.call_later(number * 0.15, model.change, number)
    model.run(12.0)
    sides = {change.partition_index in region for change in model.changes}
    assert sides == {True, False}
    assert not model.has_converged()
    model.isolate(set())
    assert model.until(model.has_converged, 30) < 16
    assert lost_of(model) == {"nodes_with_other_rows": 0, "nodes_not_at_the_last_change": 0}


def test_a_change_that_does_not_come_everywhere_is_told_so() -> None:
    model = Fleet(20, 1)
    model.run(1.0)
    model.isolate({19})
    assert model.change(1)
    model.run(5.0)
    figures_of_spread = spread_figures([spread(model)])
    assert figures_of_spread["to_all_most_s"] == inf
    assert figures_of_spread["past_16_s_for_all"] == 1
    assert lost_of(model) == {"nodes_with_other_rows": 1, "nodes_not_at_the_last_change": 1}


def steadily(parts: int) -> tuple[dict[str, float], dict[str, float]]:
    """Play changes and nothing else with 120 nodes; return what was sent, and how changes spread."""
    with ShardedFleet(120, 3, shard_count=parts) as model:
        model.run(2.0)
        model.each(fleet.begin_meter)
        model.each(fleet.begin_changes, 16.0, 4.0, 100, 0.0)
        model.run(20.0)
        return fleet.measured(model), spread_figures(model.each(spread))


def test_a_fleet_in_several_processes_tells_what_one_in_one_process_tells() -> None:
    (sent, spread_told), (sent_by_parts, spread_by_parts) = steadily(1), steadily(7)
    assert spread_by_parts["changes"] == spread_told["changes"] > 40
    for what in ("datagrams_a_second", "sent_bytes_a_second_mean", "exchanges_a_second"):
        assert sent_by_parts[what] == pytest.approx(sent[what], rel=0.1), what
    assert spread_by_parts["to_all_median_s"] == pytest.approx(spread_told["to_all_median_s"], rel=0.15)


def test_in_several_processes_nothing_is_lost_while_nodes_restart_and_a_rack_is_away() -> None:
    with ShardedFleet(120, 3, shard_count=7) as model:
        model.run(2.0)
        model.each(fleet.unsteady, set(range(110, 120)))
        model.each(fleet.begin_changes, 10.0, 2.0, 20, 4.0)
        model.run(2.0)
        model.each(fleet.cut_off, set(range(110, 120)))
        model.run(4.0)
        model.each(fleet.cut_off, set())
        model.run(6.0)
        assert model.until(lambda: fleet.level(model), 30) < 16
        assert model.until(lambda: fleet.agreed(model), 30) < 16
        spreads = model.each(spread)
        told_of = spread_figures(spreads)
        assert told_of["changes"] > 10
        assert told_of["steady_nodes"] == 120 - 10 - 2
        assert told_of["to_999_permille_most_s"] < 8
        assert told_of["to_all_most_s"] < 16
        missing = fleet.missing(model, spreads)
        assert missing == {"nodes_with_other_rows": 0, "nodes_not_at_the_last_change": 0}


def ways_between(model: Fleet) -> float:
    return min(
        model.one_way_s[one.zone][other.zone]
        for one in model.local_nodes
        for other in model.nodes
        if model.shard_of(other) != model.shard
    )


@pytest.mark.parametrize("parts", [2, 3, 7])
def test_no_way_between_two_parts_is_shorter_than_the_time_between_two_exchanges(parts: int) -> None:
    with ShardedFleet(34, 1, shard_count=parts) as model:
        assert min(model.each(ways_between)) >= QUANTUM_S


def fails(model: Fleet) -> None:
    raise ValueError("a planted fault")


def test_a_fault_in_one_part_is_told_with_its_number() -> None:
    with (
        ShardedFleet(20, 1, shard_count=2) as model,
        pytest.raises(ShardFailedError, match=r"part 0.*a planted fault"),
    ):
        model.each(fails)


def test_more_parts_than_regions_are_refused() -> None:
    with pytest.raises(ValueError, match="1 to 7 parts, not 8"):
        ShardedFleet(20, 1, shard_count=8)


def test_the_model_counts_sealed_sizes() -> None:
    model = Fleet(6, 1)
    model.run(4.0)
    node = model.nodes[0]
    assert 80 < node.sent_bytes / node.sent < 400
    message = Datagram(DatagramKind.PING, node.address, 9, "", [node.swim.own], node.replica.announce())
    seal = MessageAuthenticator(
        b"a secret of sixteen", "reelusher", node.address, hollow_fleet.FIRST_INCARNATION_MS
    )
    seal._number = 1 << 20
    counted = len(model._encoder.encode(message)) + model._envelope
    assert counted == pytest.approx(len(seal.seal(message)), abs=2)


def test_what_did_not_come_about_is_null_and_not_a_number() -> None:
    assert told({"a": inf, "b": {"c": inf, "d": 1.5}}) == {"a": None, "b": {"c": None, "d": 1.5}}


def test_a_play_is_written_with_its_command(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(fleet, "FOLDER", tmp_path)
    words = ["changes", "--size", "20", "--seconds", "3", "--rate", "2", "--restart", "0", "--name", "small"]
    assert fleet.main(words) == 0
    made = json.loads((tmp_path / "small.json").read_text())
    assert made["command"] == "python -m reelusher.lab.capacity.fleet " + " ".join(words)
    assert made["size"] == 20
    assert made["figures"]["changes"] > 0
    assert json.loads(capsys.readouterr().out) == made
