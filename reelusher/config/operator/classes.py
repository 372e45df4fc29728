"""The sections `classes` and `capacity` of the operator's file: settings of a node without a platform."""

from reelusher.config.checked_table import CheckedTable, ConfigError
from reelusher.policy.settings import Idempotency, RequestClass, Settings

EFFECTS = {  # by value of the key `effect`
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.IDEMPOTENCY_KEY,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}


GAUGES = ["busy_fraction", "runnable", "memory_fraction", "connections"]  # as `WorkerPool` posts them


def read_settings(table: CheckedTable) -> tuple[Settings | None, tuple[str, ...]]:
    """Return the settings and the names of the classes; without classes, None. Raises `ConfigError`."""
    entries, names, classes = table.tables("classes"), [], []
    for entry in entries:
        entry.reject_unknown_keys(
            "name", "deadline_ms", "aim_ms", "worth", "late_share", "effect", "window_ms"
        )
        effect = EFFECTS[entry.choice("effect", list(EFFECTS), "safe")]
        names.append(entry.string("name"))
        if names[-1] in names[:-1]:
            raise ConfigError(entry.path("name"), "two classes have this name")
        keyed = effect is Idempotency.IDEMPOTENCY_KEY
        classes.append(
            RequestClass(
                deadline_us=entry.integer("deadline_ms", minimum=1) * 1000,
                latency_objective_us=entry.integer("aim_ms", 0) * 1000,
                priority_weight=entry.number("worth", 1.0, 0.0, 1e6),
                late_value_fraction=entry.number("late_share", 0.0, 0.0, 1.0),
                idempotency=effect,
                idempotency_window_us=entry.integer("window_ms", None if keyed else 0, minimum=int(keyed))
                * 1000,
            )
        )
    if not classes:
        return None, ()
    capacity = table.table("capacity")
    capacity.reject_unknown_keys(
        "cores",
        "memory_kb",
        "run_factor",
        "crowd_per_core",
        "entry_kb",
        "drain_grace_ms",
        "idle_ms",
        "retry_after_ms",
    )
    return Settings(
        classes=classes,
        cores=capacity.integer("cores", 4, 1, 1024),
        memory_kb=capacity.number("memory_kb", 65_536.0, 1),
        running_memory_factor=capacity.number("run_factor", 4.0, 1.0),
        max_runnable_per_core=capacity.number("crowd_per_core", 6.0, 1.0),
        runnable_window_us=2_000_000,
        initial_speed=1.0,
        warm_up_us=0,
        drain_grace_us=capacity.integer("drain_grace_ms", 2500) * 1000,
        answer_slack_us=80_000,
        tick_us=5_000,
        key_entry_kb=capacity.number("entry_kb", 16.0),
        idle_timeout_us=capacity.integer("idle_ms", 60_000) * 1000,
        max_retry_after_us=capacity.integer("retry_after_ms", 10_000) * 1000,
    ), tuple(names)
