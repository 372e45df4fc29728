"""The settings object of the platform as the module's `Settings`: read here for the adapter and the node."""

import json
import math
from collections.abc import Mapping
from typing import Any

from reelusher import interface as io

EFFECTS = {"pure": io.Effect.SAFE, "token": io.Effect.KEYED, "side_effect": io.Effect.UNSAFE}
HALTS = {"silent": io.Halt.NONE, "drop": io.Halt.DROP, "pause": io.Halt.PAUSE}
SAYS = {"silent": io.Say.NONE, "min_rank": io.Say.MIN_RANK, "tokens": io.Say.TOKENS, "bias": io.Say.BIAS}
GAUGES = {"cpu_busy": "busy", "runnable": "runnable", "mem_used": "memory", "sockets": "connections"}


class SettingsError(Exception):
    """A settings key that the rules need is not there."""


def need(table: Mapping[str, Any], key: str, path: str = "") -> Any:
    """Return what stands under a key, or name the key that is missing."""
    if not isinstance(table, Mapping) or key not in table:
        raise SettingsError(f"settings: missing key {path}{key}")
    return table[key]


def word(words: Mapping[str, Any], value: Any, path: str) -> Any:
    """Translate one of the wire's words."""
    if value not in words:
        raise SettingsError(f"settings: {path} has the unknown value {value!r}")
    return words[value]


def positive(value: Any, path: str) -> int:
    """Return a time that is a number above 0."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < math.inf:
        raise SettingsError(f"settings: {path} is no number above 0: {value!r:.40}")
    return int(value) or 1


def settings_of(text: bytes) -> tuple[io.Settings, list[str]]:
    """Translate the settings of the wire; also return the field name of each gauge, in order."""
    try:
        info = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings: not JSON: {error}") from None
    return settings_from(info)


def settings_from(info: Any) -> tuple[io.Settings, list[str]]:
    """Translate settings that are parsed already."""
    own, rules = need(info, "family_info"), need(info, "rules")
    limits, goal = info.get("limits", {}), info.get("goal", {})
    calls, skips = own.get("class_calls", []), own.get("class_skip_worth", [])
    classes = []
    for number, entry in enumerate(need(info, "categories")):
        path = f"categories[{number}]."
        effect = word(EFFECTS, need(entry, "effect", path), path + "effect")
        classes.append(
            io.RequestClass(
                deadline_us=positive(need(entry, "deadline_us", path), path + "deadline_us"),
                effect=effect,
                aim_us=entry.get("objective_us", 0),
                worth=entry.get("worth", 1.0),
                late_share=entry.get("late_share", 0.0),
                window_us=(
                    need(entry, "repeat_window_us", path)
                    if effect is io.Effect.KEYED
                    else entry.get("repeat_window_us", 0)
                ),
                calls=bool(calls[number]) if number < len(calls) else False,
                skip_share=skips[number] if number < len(skips) else 0.0,
            )
        )
    keyed = any(kind.effect is io.Effect.KEYED for kind in classes)
    below = own.get("below", "silent") == "common"
    settings = io.Settings(
        classes=classes,
        cores=need(own, "cores", "family_info."),
        memory_kb=need(own, "ram_kb", "family_info."),
        run_factor=need(own, "blowup", "family_info."),
        crowd_per_core=need(rules, "tip_multiple", "rules."),
        crowd_over_us=need(rules, "fall_us", "rules."),
        cold_from=need(rules, "cold_from", "rules."),
        cold_us=need(rules, "cold_us", "rules."),
        grace_us=need(rules, "drain_grace_us", "rules."),
        slack_us=need(rules, "answer_slack_us", "rules."),
        tick_us=info.get("tick_us", 0),
        fresh=own.get("fresh_start", False),
        entry_kb=need(own, "entry_kb", "family_info.") if keyed else own.get("entry_kb", 0.0),
        linger_us=own.get("linger_us", 0),
        halt=word(HALTS, own.get("halt", "silent"), "family_info.halt"),
        say=word(SAYS, own.get("say", "silent"), "family_info.say"),
        heard_us=own.get("heard_for_us", 0),
        callers=own.get("clients_total", 0),
        peers=info.get("group_size", 0),
        idle_us=own.get("caller_idle_us", 0),
        stored_checks=own.get("full_checks", False),
        retry_after_us=limits.get("max_retry_after_us", 0) if limits.get("retry_after", False) else 0,
        shares=[tenant.get("share", 0.0) for tenant in info.get("tenants", [])],
        over_share_worth=info.get("over_share_worth", 1.0),
        goal_whole=goal.get("whole", 1.0) + goal.get("worst_window", 0.0),
        goal_worst_class=goal.get("worst_class", 0.0),
        goal_worst_tenant=goal.get("worst_tenant", 0.0),
        **(
            {
                "call_share": need(own, "calls_out", "family_info."),
                "call_over_us": need(own, "calls_over_us", "family_info."),
            }
            if below
            else {}
        ),
    )
    return settings, [GAUGES.get(name, "") for name in own.get("gauges", [])]
