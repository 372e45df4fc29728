"""The simulated fleet at small sizes: propagation, partitions, shards and the traffic that it counts."""

import json
from math import inf
from pathlib import Path

import pytest

from reelusher.fleet.membership.authentication import MessageAuthenticator
from reelusher.fleet.membership.messages import Datagram, DatagramKind
from reelusher.lab.capacity import fleet, simulated_fleet
from reelusher.lab.capacity.fleet import read_spread, to_json
from reelusher.lab.capacity.fleet_figures import (
    Meter,
    count_inconsistent_nodes,
    leader_rows,
    spread_figures,
)
from reelusher.lab.capacity.parts import QUANTUM_S, ShardedFleet, ShardFailedError
from reelusher.lab.capacity.simulated_fleet import Fleet
from reelusher.lab.capacity.simulated_network import region_of


def inconsistency_counts(model: Fleet) -> dict[str, int]:
    return count_inconsistent_nodes(model, leader_rows(model), model.changes)


def test_changes_reach_all_nodes_in_time_while_nodes_restart_and_a_rack_is_cut_off() -> None:
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
    propagation = spread_figures([read_spread(model)])
    assert propagation["changes"] == 20
    assert len(model.steady) == 120 - 10 - 4
    assert propagation["to_999_permille_most_s"] < 8
    assert propagation["to_all_most_s"] < 16
    assert inconsistency_counts(model) == {"nodes_with_other_rows": 0, "nodes_not_at_the_last_change": 0}
    assert model.reply_faults == {}
    assert figures["core_percent"] < 3.5


def test_a_cut_off_region_with_changes_on_both_sides_converges_soon_after_it_heals() -> None:
    model = Fleet(70, 5)
    model.run(2.0)
    region = {node.index for node in model.nodes if region_of(node.zone) == 2}
    model.isolate(region)
    for number in range(60):
        model.clock.call_later(number * 0.15, model.change, number)
    model.run(12.0)
    sides = {change.partition_index in region for change in model.changes}
    assert sides == {True, False}
    assert not model.has_converged()
    model.isolate(set())
    assert model.until(model.has_converged, 30) < 16
    assert inconsistency_counts(model) == {"nodes_with_other_rows": 0, "nodes_not_at_the_last_change": 0}


def test_a_change_that_does_not_reach_a_node_is_reported() -> None:
    model = Fleet(20, 1)
    model.run(1.0)
    model.isolate({19})
    assert model.change(1)
    model.run(5.0)
    propagation = spread_figures([read_spread(model)])
    assert propagation["to_all_most_s"] == inf
    assert propagation["past_16_s_for_all"] == 1
    assert inconsistency_counts(model) == {"nodes_with_other_rows": 1, "nodes_not_at_the_last_change": 1}


def run_steady_changes(shard_count: int) -> tuple[dict[str, float], dict[str, float]]:
    """Run changes without faults on 120 nodes; return the traffic and propagation figures."""
    with ShardedFleet(120, 3, shard_count=shard_count) as model:
        model.run(2.0)
        model.each(fleet.begin_meter)
        model.each(fleet.begin_changes, 16.0, 4.0, 100, 0.0)
        model.run(20.0)
        return fleet.read_figures(model), spread_figures(model.each(read_spread))


def test_several_shards_give_the_same_figures_as_one() -> None:
    (traffic, propagation), (sharded_traffic, sharded_propagation) = (
        run_steady_changes(1),
        run_steady_changes(7),
    )
    assert sharded_propagation["changes"] == propagation["changes"] > 40
    for figure in ("datagrams_a_second", "sent_bytes_a_second_mean", "exchanges_a_second"):
        assert sharded_traffic[figure] == pytest.approx(traffic[figure], rel=0.1), figure
    assert sharded_propagation["to_all_median_s"] == pytest.approx(propagation["to_all_median_s"], rel=0.15)


def test_several_shards_lose_no_change_while_nodes_restart_and_a_rack_is_cut_off() -> None:
    with ShardedFleet(120, 3, shard_count=7) as model:
        model.run(2.0)
        model.each(fleet.exclude_from_steady, set(range(110, 120)))
        model.each(fleet.begin_changes, 10.0, 2.0, 20, 4.0)
        model.run(2.0)
        model.each(fleet.isolate, set(range(110, 120)))
        model.run(4.0)
        model.each(fleet.isolate, set())
        model.run(6.0)
        assert model.until(lambda: fleet.has_converged(model), 30) < 16
        assert model.until(lambda: fleet.memberships_agree(model), 30) < 16
        spreads = model.each(read_spread)
        propagation = spread_figures(spreads)
        assert propagation["changes"] > 10
        assert propagation["steady_nodes"] == 120 - 10 - 2
        assert propagation["to_999_permille_most_s"] < 8
        assert propagation["to_all_most_s"] < 16
        counts = fleet.inconsistency_counts(model, spreads)
        assert counts == {"nodes_with_other_rows": 0, "nodes_not_at_the_last_change": 0}


def min_delay_between_shards(model: Fleet) -> float:
    return min(
        model.one_way_s[one.zone][other.zone]
        for one in model.local_nodes
        for other in model.nodes
        if model.shard_of(other) != model.shard
    )


@pytest.mark.parametrize("shard_count", [2, 3, 7])
def test_no_delay_between_two_shards_is_shorter_than_the_quantum(shard_count: int) -> None:
    with ShardedFleet(34, 1, shard_count=shard_count) as model:
        assert min(model.each(min_delay_between_shards)) >= QUANTUM_S


def fail(model: Fleet) -> None:
    raise ValueError("a planted fault")


def test_an_error_in_a_shard_is_raised_with_the_number_of_the_shard() -> None:
    with (
        ShardedFleet(20, 1, shard_count=2) as model,
        pytest.raises(ShardFailedError, match=r"part 0.*a planted fault"),
    ):
        model.each(fail)


def test_more_shards_than_regions_are_refused() -> None:
    with pytest.raises(ValueError, match="1 to 7 parts, not 8"):
        ShardedFleet(20, 1, shard_count=8)


def test_the_simulation_counts_the_sizes_of_sealed_datagrams() -> None:
    model = Fleet(6, 1)
    model.run(4.0)
    node = model.nodes[0]
    assert 80 < node.sent_bytes / node.sent < 400
    message = Datagram(DatagramKind.PING, node.address, 9, "", [node.swim.own], node.replica.announce())
    authenticator = MessageAuthenticator(
        b"a secret of sixteen", "reelusher", node.address, simulated_fleet.FIRST_INCARNATION_MS
    )
    authenticator._number = 1 << 20
    counted_bytes = len(model._encoder.encode(message)) + model._envelope
    assert counted_bytes == pytest.approx(len(authenticator.seal(message)), abs=2)


def test_an_infinite_figure_is_null_in_json() -> None:
    assert to_json({"a": inf, "b": {"c": inf, "d": 1.5}}) == {"a": None, "b": {"c": None, "d": 1.5}}


def test_a_report_is_written_with_its_command(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(fleet, "FOLDER", tmp_path)
    arguments = [
        "changes",
        "--size",
        "20",
        "--seconds",
        "3",
        "--rate",
        "2",
        "--restart",
        "0",
        "--name",
        "small",
    ]
    assert fleet.main(arguments) == 0
    report = json.loads((tmp_path / "small.json").read_text())
    assert report["command"] == "python -m reelusher.lab.capacity.fleet " + " ".join(arguments)
    assert report["size"] == 20
    assert report["figures"]["changes"] > 0
    assert json.loads(capsys.readouterr().out) == report
