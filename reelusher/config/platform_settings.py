"""Reads the settings object of the platform, for the simulator's adapter and the node.

The platform's names of fields and values are mapped to those of `policy.settings` in this module only.
A worker is the node itself here, as in `policy`.
"""

import json
import math
from collections.abc import Mapping
from typing import Any

from reelusher.policy.settings import CapacityHint, Idempotency, PreemptionMode, RequestClass, Settings

IDEMPOTENCY = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.IDEMPOTENCY_KEY,
    "side_effect": Idempotency.NON_IDEMPOTENT,
}
PREEMPTION = {"silent": PreemptionMode.NONE, "drop": PreemptionMode.DROP, "pause": PreemptionMode.PAUSE}
CAPACITY_HINT = {
    "silent": CapacityHint.NONE,
    "min_rank": CapacityHint.MIN_RANK,
    "tokens": CapacityHint.TOKENS,
    "bias": CapacityHint.BIAS,
}
GAUGE_FIELDS = {
    "cpu_busy": "busy_fraction",
    "runnable": "runnable",
    "mem_used": "memory_fraction",
    "sockets": "connections",
}
SHARED_DOWNSTREAM = "common"  # value of `below` for a worker that shares a downstream service with others


class SettingsError(Exception):
    """The text is not JSON, a required key is missing, or a value is invalid; the message names the key."""


def required(table: Mapping[str, Any], key: str, path: str = "") -> Any:
    """Return the value of a key. Raises `SettingsError` if it is missing."""
    if not isinstance(table, Mapping) or key not in table:
        raise SettingsError(f"settings: missing key {path}{key}")
    return table[key]


def map_value(values: Mapping[str, Any], value: Any, path: str) -> Any:
    """Return what a value of the platform is mapped to. Raises `SettingsError` if it is unknown."""
    if value not in values:
        raise SettingsError(f"settings: {path} has the unknown value {value!r}")
    return values[value]


def positive_time_us(value: Any, path: str) -> int:
    """Return a time in whole microseconds, at least 1. Raises `SettingsError` if it is no number above 0."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < math.inf:
        raise SettingsError(f"settings: {path} is no number above 0: {value!r:.40}")
    return int(value) or 1


def settings_from_json(text: bytes) -> tuple[Settings, list[str]]:
    """Parse settings; also return for each reported gauge its field of `Gauges`, "" for an unknown one.

    Raises `SettingsError`, or ValueError, TypeError or AttributeError for values that no worker can run with.
    """
    try:
        parsed = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings: not JSON: {error}") from None
    return settings_from_parsed(parsed)


def settings_from_parsed(parsed: Any) -> tuple[Settings, list[str]]:
    """Return and raise the same as `settings_from_json`, for JSON that is already parsed."""
    worker, rules = required(parsed, "family_info"), required(parsed, "rules")
    limits, goal = parsed.get("limits", {}), parsed.get("goal", {})
    classes = _classes(required(parsed, "categories"), worker)
    keyed = any(request_class.idempotency is Idempotency.IDEMPOTENCY_KEY for request_class in classes)
    settings = Settings(
        classes=classes,
        cores=required(worker, "cores", "family_info."),
        memory_kb=required(worker, "ram_kb", "family_info."),
        running_memory_factor=required(worker, "blowup", "family_info."),
        max_runnable_per_core=required(rules, "tip_multiple", "rules."),
        runnable_window_us=required(rules, "fall_us", "rules."),
        initial_speed=required(rules, "cold_from", "rules."),
        warm_up_us=required(rules, "cold_us", "rules."),
        drain_grace_us=required(rules, "drain_grace_us", "rules."),
        answer_slack_us=required(rules, "answer_slack_us", "rules."),
        tick_us=parsed.get("tick_us", 0),
        cold_start=worker.get("fresh_start", False),
        key_entry_kb=required(worker, "entry_kb", "family_info.") if keyed else worker.get("entry_kb", 0.0),
        abandoned_call_us=worker.get("linger_us", 0),
        preemption=map_value(PREEMPTION, worker.get("halt", "silent"), "family_info.halt"),
        capacity_hint=map_value(CAPACITY_HINT, worker.get("say", "silent"), "family_info.say"),
        hint_ttl_us=worker.get("heard_for_us", 0),
        caller_count=worker.get("clients_total", 0),
        worker_count=parsed.get("group_size", 0),
        idle_timeout_us=worker.get("caller_idle_us", 0),
        health_checks_cost_work=worker.get("full_checks", False),
        max_retry_after_us=limits.get("max_retry_after_us", 0) if limits.get("retry_after", False) else 0,
        tenant_quotas=[tenant.get("share", 0.0) for tenant in parsed.get("tenants", [])],
        over_quota_value_fraction=parsed.get("over_share_worth", 1.0),
        goal_weight=goal.get("whole", 1.0) + goal.get("worst_window", 0.0),
        worst_class_goal_weight=goal.get("worst_class", 0.0),
        worst_tenant_goal_weight=goal.get("worst_tenant", 0.0),
        **_dependency_quota(worker),
    )
    return settings, [GAUGE_FIELDS.get(name, "") for name in worker.get("gauges", [])]


def _dependency_quota(worker: Mapping[str, Any]) -> dict[str, Any]:
    """Return the fields of the quota on calls to a shared downstream service; none if it is not shared."""
    if worker.get("below", "silent") != SHARED_DOWNSTREAM:
        return {}
    return {
        "dependency_concurrency_quota": required(worker, "calls_out", "family_info."),
        "dependency_window_us": required(worker, "calls_over_us", "family_info."),
    }


def _classes(categories: Any, worker: Mapping[str, Any]) -> list[RequestClass]:
    makes_calls, degraded_values = worker.get("class_calls", []), worker.get("class_skip_worth", [])
    return [
        _request_class(
            category,
            f"categories[{index}].",
            bool(makes_calls[index]) if index < len(makes_calls) else False,
            degraded_values[index] if index < len(degraded_values) else 0.0,
        )
        for index, category in enumerate(categories)
    ]


def _request_class(
    category: Any, path: str, makes_calls: bool, degraded_value_fraction: float
) -> RequestClass:
    idempotency = map_value(IDEMPOTENCY, required(category, "effect", path), path + "effect")
    deadline_us = positive_time_us(required(category, "deadline_us", path), path + "deadline_us")
    window_us = category.get("repeat_window_us", 0)
    if idempotency is Idempotency.IDEMPOTENCY_KEY:
        window_us = required(category, "repeat_window_us", path)
    return RequestClass(
        deadline_us=deadline_us,
        idempotency=idempotency,
        latency_objective_us=category.get("objective_us", 0),
        priority_weight=category.get("worth", 1.0),
        late_value_fraction=category.get("late_share", 0.0),
        idempotency_window_us=window_us,
        makes_calls=makes_calls,
        degraded_value_fraction=degraded_value_fraction,
    )
