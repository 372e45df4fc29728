"""Tests of the registry of tenants."""

from dataclasses import replace

import pytest
from core_harness import Backend
from helpers import KEYED, SAFE, small_node_settings

from reelusher.config.operator.tenants import QuotaSettings
from reelusher.core.event_loop import Core
from reelusher.tenancy.fair_queue import FairQueue
from reelusher.tenancy.registry import TenantRegistry
from tenancy.test_lifecycle import tenant

WEIGHTS = (("visits", 3.0), ("search", 1.0))
CHANGED = {  # names and classes of the new settings
    "a changed class": (["search", "visits"], [SAFE, replace(KEYED, deadline_us=9_000_000)]),
    "a class above": (["new", "search", "visits"], [replace(SAFE, priority_weight=9), SAFE, KEYED]),
    "all changed": (
        ["visits", "search"],
        [replace(KEYED, deadline_us=9_000_000), replace(SAFE, deadline_us=9_000_000)],
    ),
}


def order_of_runs(fair_queue: FairQueue, indexes: dict[str, int]) -> str:
    """Return the classes of eight runs in a row of one tenant that has enough requests of both classes."""
    flow, runs = fair_queue.flows[1], ""
    for _ in range(8):
        chosen = flow.next_class(indexes.values())
        flow.advance_class_time(chosen)
        flow.charge(1000.0, chosen, 0)
        runs += next(name for name, index in indexes.items() if index == chosen)[0]
    return runs


@pytest.mark.parametrize("change", CHANGED)
def test_weights_of_classes_hold_after_a_reload(change: str) -> None:
    """Guard against shares without weights: they were kept by the indexes of classes at the start."""
    node_settings = small_node_settings(SAFE, KEYED)
    fair_queue = FairQueue(node_settings.cores, node_settings.memory_kb)
    core = Core(node_settings, [], 1, Backend(), class_names=["search", "visits"], scheduler=fair_queue)
    core.process_batch([])
    record = replace(tenant("a"), share=QuotaSettings(classes=WEIGHTS))
    registry = TenantRegistry([], ("search", "visits"), lambda backend: None, core, fair_queue, frozenset())
    registry.put(record)
    names, classes = CHANGED[change]
    core.apply_settings(small_node_settings(*classes), [], names)
    indexes = {name: core.current_classes.index_of(name) or 0 for name in ("visits", "search")}
    assert order_of_runs(fair_queue, indexes).count("v") == 6
