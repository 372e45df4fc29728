"""The scenario language, and the node and stand-ins that a scenario is played with.

Each line is one step, `PARTY send|expect|close ARGUMENTS` or `wait SECONDS`; # starts a comment. Lines
`with KEY=VALUE` change the configuration of the node before it starts.

The parties are
- c1, c2 and so on: callers,
- runtime, vault (the downstream service) and catalog (the service registry), and runtime2, vault2 and
  catalog2, which the node uses after `node send reload 2`,
- a1, a2 and so on: web servers; w1 and w2: AJP workers,
- admin: a client of the administration API,
- desk, d1, d2 and so on: operators at the second address,
- node: the node itself (`node send term`, `node expect left`, `node expect count NAME N`),
- node2: a second process of the node after `node send start`.

`as X` at the end of an expectation names the second word of the received line; `$X` stands for that word in
later steps.
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


class NodeUnderTest:
    """The party `node`, or `node2`, a second process of it in an upgrade, created by `node send start`."""

    def __init__(self, node: Node, environment: dict[str, Any]) -> None:
        self.node, self.environment = node, environment
        self.drain_results: list[bool] = []
        self.thread = threading.Thread(target=lambda: self.drain_results.append(node.drain()), daemon=True)

    def send(self, words: list[str]) -> None:
        """Carry out `start ...`, `idle US`, `reload ...`, `block owner|poller SECONDS` or `term`."""
        if (
            words[0] == "start"
        ):  # node2, with runtime2, its own address for operators, and classes as in `reload`
            config = platform_config(
                self.environment,
                settings=changed_settings(dict(word.split("=") for word in words[1:])),
                runtime="{}:{}".format(*self.environment["runtime2"].address),
                listen="{}:{}".format(*self.environment["places"]["platform"]),
            )
            second = self.environment["node2"] = NodeUnderTest(
                Node(merge(parse_platform(config, {"TMPDIR": self.environment["folder"]}), None)),
                self.environment,
            )
            second.node.start()
            assert second.node.parts.operations is not None
            self.environment["places"]["operator"] = second.node.parts.operations.address
        elif words[0] == "idle":  # the idle timeout that the policy would set
            self.node.parts.core.notices.idle_timeout_us = int(words[1])
        elif words[0] == "reload":  # 2: with runtime2, vault2 and catalog2; KEY=VALUE: with other changes
            changes = dict(word.split("=") for word in words[1:] if "=" in word)
            settings, removed_key = changed_settings(changes), changes.pop("lacks", "")
            new_config = platform_config(
                self.environment, "2" if words[1] == "2" else "", settings=settings, **changes
            )
            new_config.pop(removed_key, None)
            self.node.reload(lambda: merge(parse_platform(new_config, {}), self.node.config.operator))
        elif words[0] == "block":  # block the event loop (`owner`) or the poller for a number of seconds
            frontend, seconds = self.node.parts.frontends["platform"], float(words[2])
            assert isinstance(frontend, RpcFrontend)
            block = partial(time.sleep, seconds)
            if words[1] == "owner":
                self.node.parts.core.post(EventLoopTask(block))
            else:
                frontend._poller.call(block)
        else:
            self.thread.start()

    def expect(self, words: list[str]) -> None:
        """Wait for `left` (the end of the drain), `asked` or `count NAME N` (the value of a counter)."""
        if words[0] == "left":  # `left late`: the event loop did not answer all requests in time
            self.thread.join(parties.EXPECT_TIMEOUT_S)
            assert self.drain_results == [words[1:] != ["late"]]
            return
        if words == ["asked"]:  # a drain was requested
            assert self.node.drain_requested.wait(parties.EXPECT_TIMEOUT_S)
            return
        _, name, expected = words
        deadline_s = time.monotonic() + parties.EXPECT_TIMEOUT_S
        while (count := self.node.parts.counters.snapshot().get(name, 0)) != int(expected):
            assert time.monotonic() < deadline_s, f"counter {name} is {count}, expected {expected}"
            time.sleep(0.02)


def changed_settings(changes: dict[str, str]) -> dict[str, Any]:
    """Return a copy of SETTINGS with other classes.

    `add=CLASS`, `drop=CLASS`, `deadline=CLASS:US` and `keyed=CLASS` say which; these keys are removed from
    `changes`.
    """
    settings = copy.deepcopy(SETTINGS)
    dropped, added, (name, _, deadline), keyed = (
        changes.pop("drop", ""),
        changes.pop("add", ""),
        changes.pop("deadline", "").partition(":"),
        changes.pop("keyed", ""),
    )
    settings["categories"] = [
        request_class for request_class in settings["categories"] if request_class["name"] != dropped
    ]
    if added:
        settings["categories"].append({**settings["categories"][0], "name": added})
    for request_class in settings["categories"]:
        if request_class["name"] == name:
            request_class["deadline_us"] = int(deadline) if deadline.lstrip("-").isdigit() else deadline
        if request_class["name"] == keyed:
            request_class |= {"effect": "token", "repeat_window_us": 20_000_000}
    return settings


def platform_config(environment: dict[str, Any], suffix: str = "", **changes: Any) -> dict[str, Any]:
    """Return the platform's configuration of a node that uses the stand-ins.

    The suffix `2` selects runtime2, vault2 and catalog2; `changes` replace keys of the configuration.
    """
    addresses = {name: "{}:{}".format(*environment[name + suffix].address) for name in SERVERS}
    return {
        "name": "n3",
        "listen": "127.0.0.1:0",
        "runtime": addresses["runtime"],
        "seed": "8c1f",
        "directory": addresses["catalog"],
        "vault": addresses["vault"],
        "operator": "127.0.0.1:0",
        "stop_ms": 4000,
        "limits": {"sockets": 1024},
        "settings": SETTINGS,
        **changes,
    }


def operator_config(environment: dict[str, Any]) -> dict[str, Any]:
    """Return the table of an operator's file: AJP, the administration API, two workers and four tenants."""
    workers = [
        {"name": name, "port": environment[name].address[1], "recover_ms": 200} for name in ("w1", "w2")
    ]
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
    """Play a scenario on a node of its own. Raises `AssertionError` that names the step that failed."""
    steps = [line.split("#")[0].split() for line in text.strip().splitlines() if line.split("#")[0].strip()]
    changes = dict(word.split("=", 1) for step in steps if step[0] == "with" for word in step[1:])
    with tempfile.TemporaryDirectory() as folder, scenario_environment(folder, changes) as environment:
        for step in steps:
            if step[0] == "wait":
                time.sleep(float(step[1]))
            elif step[0] != "with":
                stand_in_class = {"c": parties.Caller, "a": parties.Web, "d": parties.OperationsClient}.get(
                    step[0][0]
                )
                party = environment.get(step[0]) or environment.setdefault(
                    step[0], stand_in_class(environment) if stand_in_class else None
                )
                try:
                    getattr(party, step[1])(step[2:])
                except Exception as error:
                    raise AssertionError(f"at {' '.join(step)!r}: {error!r}") from error


@contextlib.contextmanager
def scenario_environment(folder: str, changes: dict[str, str]) -> Iterator[dict[str, Any]]:
    """Start a node among stand-ins, yield their environment (see `parties.StandIn`), and close all of them.

    Of `changes`, `busy` makes the runtime report the gauges of a busy machine, `stop_ms` and `sockets` go
    into the platform's configuration, and all others into the settings of the AJP front end.
    """
    environment: dict[str, Any] = {"count": itertools.count(1), "folder": folder}
    for suffix in ("", "2"):
        environment |= {
            "runtime" + suffix: parties.Runtime(environment),
            "vault" + suffix: parties.VaultParty(environment),
            "catalog" + suffix: parties.CatalogParty(environment),
        }
    environment |= {
        "w1": parties.Container(environment),
        "w2": parties.Container(environment),
        "admin": parties.AdminClient(environment),
        "desk": parties.OperationsClient(environment),
    }
    if changes.pop("busy", ""):
        environment["stats"] = [1.0, 40, 0.5, 3]
    platform = parse_platform(
        platform_config(
            environment,
            stop_ms=int(changes.pop("stop_ms", 4000)),
            limits={"sockets": int(changes.pop("sockets", 1024))},
        ),
        {"TMPDIR": folder},
    )
    operator = operator_config(environment)
    operator["ajp"] |= {key: int(value) if value.isdigit() else value for key, value in changes.items()}
    node = Node(merge(platform, parse_operator(operator, tuple(platform.class_names), has_runtime=True)))
    environment["places"] = {name: frontend.address for name, frontend in node.parts.frontends.items()}
    assert node.parts.admin is not None
    assert node.parts.operations is not None
    environment["places"]["operator"] = node.parts.operations.address
    environment["places"]["admin"], environment["node"] = (
        node.parts.admin.address,
        NodeUnderTest(node, environment),
    )
    node.start()
    environment["runtime"].expect(["sync", "0"])
    try:
        yield environment
    finally:
        for party in environment.values():
            if isinstance(party, NodeUnderTest):
                party.node.close()
        for party in environment.values():
            if isinstance(party, parties.Server):
                party.close(["listener"])
