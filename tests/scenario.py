"""The scenario language: one step a line, `PARTY send|expect|close ...` or `wait SECONDS`; # begins a remark.

Parties: c1, c2 … callers; runtime, vault, catalog, and runtime2, vault2, catalog2 after `node send reload
2`; a1, a2 … web servers; w1, w2 … AJP workers; admin; desk, an operator at the second address; node
(`node send term`, `node expect left`, `node expect count NAME N`). `as X` at the end of an expectation names
the second word of what came; `$X` stands for it.
"""

import contextlib
import copy
import hashlib
import itertools
import tempfile
import threading
import time
from collections.abc import Iterator
from functools import partial
from typing import Any

import parties

from reelusher.config.load import merge
from reelusher.config.operator.file import parse as parse_operator
from reelusher.config.platform_config import parse as parse_platform
from reelusher.core.messages import EventLoopTask
from reelusher.frontends.rpc.frontend import RpcFrontend
from reelusher.node import Node

TOKEN = "a-token-for-tests"
CLASSES = [
    {"name": "slot-search", "effect": "pure", "deadline_us": 10_000_000, "objective_us": 3_100_000},
    {"name": "day-view", "effect": "pure", "deadline_us": 1_000_000, "objective_us": 900_000},
    {
        "name": "book-visit",
        "effect": "token",
        "deadline_us": 7_700_000,
        "objective_us": 2_600_000,
        "worth": 4.0,
        "repeat_window_us": 20_000_000,
    },
]
SETTINGS: dict[str, Any] = {
    "categories": CLASSES,
    "family_info": {
        "cores": 2,
        "ram_kb": 20_000.0,
        "blowup": 16.0,
        "entry_kb": 43.0,
        "below": "next_hop",
        "class_calls": [True, False, True],
        "class_skip_worth": [0.6, 0.0, 0.0],
        "say": "tokens",
        "halt": "pause",
        "caller_idle_us": 30_000_000,
        "heard_for_us": 1_000_000,
        "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
    },
    "rules": {
        "tip_multiple": 6.0,
        "fall_us": 2_000_000,
        "cold_from": 0.31,
        "cold_us": 18_000_000,
        "drain_grace_us": 300_000,
        "answer_slack_us": 80_000,
    },
    "limits": {"retry_after": True, "max_retry_after_us": 1_000_000},
    "tick_us": 5_000,
}
SERVERS = ("runtime", "vault", "catalog")
ROUTES = [
    {"method": "POST", "path": "/visits", "class": "book-visit"},
    {"method": "*", "path": "/days", "class": "day-view"},
]


class NodeParty:
    """The node itself, or node2: a second process of it in an upgrade, which `send start` makes."""

    def __init__(self, node: Node, world: dict[str, Any]) -> None:
        self.node, self.world = node, world
        self.left: list[bool] = []
        self.thread = threading.Thread(target=lambda: self.left.append(node.drain()), daemon=True)

    def send(self, words: list[str]) -> None:
        if words[0] == "start":  # a second one, with runtime2 and a second address of its own
            told = platform_config(
                self.world,
                runtime="{}:{}".format(*self.world["runtime2"].address),
                listen="{}:{}".format(*self.world["places"]["platform"]),
            )
            second = self.world["node2"] = NodeParty(
                Node(merge(parse_platform(told, {"TMPDIR": self.world["folder"]}), None)), self.world
            )
            second.node.start()
            assert second.node.parts.operations is not None
            self.world["places"]["operator"] = second.node.parts.operations.address
        elif words[0] == "idle":  # as the module would say
            self.node.parts.core.notices.idle_timeout_us = int(words[1])
        elif words[0] == "reload":  # 2: at the second addresses; KEY=VALUE: with something else changed
            changes = dict(word.split("=") for word in words[1:] if "=" in word)
            settings, lacks = retuned(changes), changes.pop("lacks", "")
            new = platform_config(self.world, "2" if words[1] == "2" else "", settings=settings, **changes)
            new.pop(lacks, None)
            self.node.reload(lambda: merge(parse_platform(new, {}), self.node.config.operator))
        elif words[0] == "block":  # the owner or the front's poller, for so many seconds
            front, seconds = self.node.parts.frontends["platform"], float(words[2])
            assert isinstance(front, RpcFrontend)
            work = partial(time.sleep, seconds)
            if words[1] == "owner":
                self.node.parts.core.post(EventLoopTask(work))
            else:
                front._poller.call(work)
        else:
            self.thread.start()

    def expect(self, words: list[str]) -> None:
        if words[0] == "left":  # `left late`: not all was answered by the owner
            self.thread.join(parties.EXPECT_TIMEOUT_S)
            assert self.left == [words[1:] != ["late"]]
            return
        if words == ["asked"]:
            assert self.node.drain_requested.wait(parties.EXPECT_TIMEOUT_S)
            return
        _, name, wanted = words
        until = time.monotonic() + parties.EXPECT_TIMEOUT_S
        while (got := self.node.parts.counters.snapshot().get(name, 0)) != int(wanted):
            assert time.monotonic() < until, f"{name} is {got}, not {wanted}"
            time.sleep(0.02)


def retuned(changes: dict[str, str]) -> dict[str, Any]:
    """Return other settings, by what it takes from the changes: `add=`, `drop=`, `deadline=CLASS:US`."""
    made = copy.deepcopy(SETTINGS)
    drop, added, (name, _, deadline) = (
        changes.pop("drop", ""),
        changes.pop("add", ""),
        changes.pop("deadline", "").partition(":"),
    )
    made["categories"] = [kind for kind in made["categories"] if kind["name"] != drop]
    if added:
        made["categories"].append({**made["categories"][0], "name": added})
    for kind in made["categories"]:
        if kind["name"] == name:
            kind["deadline_us"] = int(deadline) if deadline.lstrip("-").isdigit() else deadline
    return made


def platform_config(world: dict[str, Any], which: str = "", **changes: Any) -> dict[str, Any]:
    """Return the platform's configuration for a node among the stand-ins."""
    places = {name: "{}:{}".format(*world[name + which].address) for name in SERVERS}
    return {
        "name": "n3",
        "listen": "127.0.0.1:0",
        "runtime": places["runtime"],
        "seed": "8c1f",
        "directory": places["catalog"],
        "vault": places["vault"],
        "operator": "127.0.0.1:0",
        "stop_ms": 4000,
        "limits": {"sockets": 1024},
        "settings": SETTINGS,
        **changes,
    }


def operator_config(world: dict[str, Any]) -> dict[str, Any]:
    """Return an operator's file: a clinic on two workers, and AJP for the platform's own tenant."""
    workers = [{"name": name, "port": world[name].address[1], "recover_ms": 200} for name in ("w1", "w2")]
    return {
        "ajp": {"listen": "127.0.0.1:0", "max_body_kb": 64, "max_response_kb": 64},
        "admin": {
            "listen": "127.0.0.1:0",
            "token": TOKEN,
            "tokens": [
                {"name": "member", "sha256": hashlib.sha256(b"a-member").hexdigest(), "tenant": "clinic"},
                {"name": "second", "sha256": hashlib.sha256(b"a-second").hexdigest()},
            ],
        },
        "workers": workers,
        "balancers": [{"name": "both", "members": ["w1", "w2"]}],
        "tenants": [
            {
                "name": "clinic",
                "backend": "both",
                "hosts": ["clinic"],
                "routes": ROUTES,
                "default_class": "slot-search",
            },
            {"name": "single", "backend": "w1", "hosts": ["single"], "routes": ROUTES, "max_open": 2},
            {
                "name": "narrow",
                "backend": "w1",
                "hosts": ["narrow"],
                "routes": ROUTES,
                "share": {"connections": 1},
            },
            {"name": "platform", "backend": "runtime", "routes": ROUTES},
        ],
    }


def play(text: str) -> None:
    """Play a scenario against a node of its own. Lines that begin with `with` come first and change it."""
    steps = [line.split("#")[0].split() for line in text.strip().splitlines() if line.split("#")[0].strip()]
    changes = dict(word.split("=", 1) for step in steps if step[0] == "with" for word in step[1:])
    with tempfile.TemporaryDirectory() as folder, scenario_environment(folder, changes) as world:
        for step in steps:
            if step[0] == "wait":
                time.sleep(float(step[1]))
            elif step[0] != "with":
                kind = {"c": parties.Caller, "a": parties.Web, "d": parties.Desk}.get(step[0][0])
                party = world.get(step[0]) or world.setdefault(step[0], kind(world) if kind else None)
                try:
                    getattr(party, step[1])(step[2:])
                except Exception as error:
                    raise AssertionError(f"at {' '.join(step)!r}: {error!r}") from error


@contextlib.contextmanager
def scenario_environment(folder: str, changes: dict[str, str]) -> Iterator[dict[str, Any]]:
    """Have a node of its own among stand-ins, and take all of them down again."""
    world: dict[str, Any] = {"count": itertools.count(1), "folder": folder}
    for which in ("", "2"):
        world |= {
            "runtime" + which: parties.Runtime(world),
            "vault" + which: parties.VaultParty(world),
            "catalog" + which: parties.CatalogParty(world),
        }
    world |= {
        "w1": parties.Container(world),
        "w2": parties.Container(world),
        "admin": parties.Operator(world),
        "desk": parties.Desk(world),
    }
    if changes.pop("busy", ""):
        world["stats"] = [1.0, 40, 0.5, 3]
    told = parse_platform(
        platform_config(
            world,
            stop_ms=int(changes.pop("stop_ms", 4000)),
            limits={"sockets": int(changes.pop("sockets", 1024))},
        ),
        {"TMPDIR": folder},
    )
    own = operator_config(world)
    own["ajp"] |= {key: int(value) if value.isdigit() else value for key, value in changes.items()}
    node = Node(merge(told, parse_operator(own, tuple(told.class_names), has_runtime=True)))
    world["places"] = {name: front.address for name, front in node.parts.frontends.items()}
    assert node.parts.admin is not None
    assert node.parts.operations is not None
    world["places"]["operator"] = node.parts.operations.address
    world["places"]["admin"], world["node"] = node.parts.admin.address, NodeParty(node, world)
    node.start()
    world["runtime"].expect(["sync", "0"])
    try:
        yield world
    finally:
        for party in world.values():
            if isinstance(party, NodeParty):
                party.node.close()
        for party in world.values():
            if isinstance(party, parties.Server):
                party.close(["listener"])
