"""Upgrades: claims of keys that hold between processes, who is there, and two real processes in turn."""

import json
import os
import socket
import subprocess
import threading
import time
from functools import partial
from pathlib import Path
from typing import Any

import parties
import pytest
from helpers import soon
from scenario import SETTINGS
from test_parts import ROOT, deployed

from reelusher.codecs import http1, msgpack
from reelusher.core.messages import KeyLockRequest, Result
from reelusher.upgrade.key_locks import KeyLockFiles
from reelusher.upgrade.process_registry import ProcessRegistry

KEY = "platform", 2, "k1"
SECOND_US = 1_000_000


class Both:
    """Two processes' claims in one folder, and a clock."""

    def __init__(self, folder: Path) -> None:
        self.now_us = 100 * SECOND_US
        self.claims = [KeyLockFiles(folder, "n3", lambda: self.now_us) for _ in range(2)]
        for claims in self.claims:
            claims.start()

    def ask(self, which: int, body: str = "b", door_s: float = 0.0, due_s: float = 60.0) -> list[Any]:
        """Claim the key at one of the two; what it is told comes into the list."""
        told: list[Any] = []
        self.claims[which].acquire(
            KeyLockRequest(
                KEY,
                self.now_us + int(door_s * 1e6),
                self.now_us + 20 * SECOND_US,
                self.now_us + int(due_s * 1e6),
                body,
                told.append,
                told.append,
            )
        )
        return told

    def close(self) -> None:
        for claims in self.claims:
            claims.close()


@pytest.fixture
def both(tmp_path: Path) -> Any:
    made = Both(tmp_path)
    yield made
    made.close()


def test_one_of_two_runs_a_key_and_the_other_hears_what_it_came_to(both: Both) -> None:
    first = both.ask(0)
    assert comes(first, True)
    second = both.ask(1)
    assert not soon_changes(second)
    both.claims[0].complete(KEY, Result(b"made", 201, (("a", "b"),)))
    assert comes(second, Result(b"made", 201, (("a", "b"),)))
    other = both.ask(1, body="c")
    assert comes(other, None)  # another body under the key is told nothing


def comes(told: list[Any], wanted: Any) -> bool:
    return soon(lambda: told == [wanted])


def soon_changes(told: list[Any]) -> bool:
    time.sleep(0.2)
    return bool(told)


def test_a_key_whose_run_failed_or_is_never_heard_of_again_fails_elsewhere(both: Both) -> None:
    assert comes(both.ask(0), True)
    waits = both.ask(1, due_s=3)
    assert not soon_changes(waits)
    both.now_us += 4 * SECOND_US  # whoever claimed it is gone, and may have run it
    assert comes(waits, None)
    both.claims[0].complete(KEY, None)
    assert comes(both.ask(1), None)


def test_a_key_that_never_ran_or_whose_window_is_over_is_claimed_anew(both: Both) -> None:
    assert comes(both.ask(0), True)
    waits = both.ask(1)
    both.claims[0].release(KEY)
    assert comes(waits, True)
    both.now_us += 21 * SECOND_US
    late = both.ask(0, door_s=-2.0)  # came within the window, was read after it
    assert not soon_changes(late)
    assert comes(both.ask(0), True)


@pytest.mark.parametrize("garbage", [b"", b"{", b"[]", b'{"until_us": "x"}'])
def test_a_claim_that_nobody_of_us_wrote_fails_its_key_and_no_other(both: Both, garbage: bytes) -> None:
    claims = both.claims[0]
    claims._path(KEY).write_bytes(garbage)
    assert comes(both.ask(0), None)  # it may have been run: it is neither run again nor turned away
    told: list[Any] = []
    claims.acquire(
        KeyLockRequest(("platform", 2, "k2"), 0, both.now_us, both.now_us, "b", told.append, told.append)
    )
    assert comes(told, True)


@pytest.mark.parametrize("garbage", [b"", b'{"until_us": 9000000000000000}'])
def test_a_claim_that_is_spoilt_while_it_is_waited_for_fails_its_try(both: Both, garbage: bytes) -> None:
    assert comes(both.ask(0), True)
    waits = both.ask(1)
    assert not soon_changes(waits)
    both.claims[0]._path(KEY).write_bytes(garbage)
    assert comes(waits, None)


def test_a_key_that_can_not_be_claimed_is_turned_away(both: Both, monkeypatch: pytest.MonkeyPatch) -> None:
    def full(path: Path, value: dict[str, Any]) -> None:
        raise OSError(28, "no space left")

    monkeypatch.setattr(KeyLockFiles, "_write", staticmethod(full))
    assert comes(both.ask(0), False)


def test_a_key_that_many_threads_of_two_processes_claim_at_once_is_run_by_one(tmp_path: Path) -> None:
    for _ in range(20):
        both = Both(tmp_path)
        gate = threading.Barrier(2)
        told: list[list[Any]] = []

        def go(which: int, both: Both, gate: threading.Barrier, told: list[list[Any]]) -> None:
            gate.wait()
            told.append(both.ask(which, due_s=0.0))

        threads = [threading.Thread(target=go, args=(which, both, gate, told)) for which in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert soon(partial(all, told))
        assert sum(one == [True] for one in told) == 1
        both.claims[0].release(KEY)
        both.close()
        assert soon(lambda: not [path for path in (tmp_path / "n3.keys").iterdir() if path.name != "lock"])


def test_a_later_process_that_is_ready_takes_over_and_one_that_has_died_does_not(tmp_path: Path) -> None:
    old = ProcessRegistry(tmp_path, "n/3")
    assert not old.successor()
    new, other = ProcessRegistry(tmp_path, "n/3"), ProcessRegistry(tmp_path, "n4")
    other.ready()
    assert not old.successor()  # it does not serve yet
    new.ready()
    assert old.successor()
    assert not new.successor()
    os.close(new._file)  # as the kernel does when a process ends
    assert not old.successor()
    assert not new._path.exists()


# Two processes


class Process:
    """A process of the node, with a runtime that ends every run at once."""

    def __init__(self, folder: Path, number: int, listen: str, catalog: str) -> None:
        self.runtime = parties.Runtime({})
        self.runtime.at_once = True
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.operator = free.getsockname()
        path = folder / f"p{number}.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n3",
                    "listen": listen,
                    "seed": f"{number:x}",
                    "stop_ms": 4000,
                    "directory": catalog,
                    "runtime": "{}:{}".format(*self.runtime.address),
                    "operator": "{}:{}".format(*self.operator),
                    "limits": {"sockets": 256},
                    "settings": SETTINGS,
                }
            )
        )
        self.process = subprocess.Popen(
            deployed("run"),
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "PROXY_CONFIG": str(path), "TMPDIR": str(folder)},
        )

    def ready(self) -> bool:
        try:
            with socket.create_connection(self.operator, 2) as sock:
                sock.settimeout(5)
                sock.sendall(http1.request("GET", "/healthcheck"))
                return sock.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


def test_callers_lose_nothing_while_one_process_takes_over_from_another(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    catalog = parties.CatalogParty({})
    old = Process(tmp_path, 1, f"127.0.0.1:{port}", "{}:{}".format(*catalog.address))
    new: Process | None = None
    lost: list[str]
    answered: list[int]
    stop, lost, answered = threading.Event(), [], []

    def call(caller: int) -> None:
        """Ask on new connections and kept ones in turn; a try that can't be sent is made once more."""
        number, sock, decoder = 0, None, msgpack.Decoder(1 << 14)
        while not stop.is_set():
            number += 1
            try:
                if sock is None:
                    sock, decoder = socket.create_connection(("127.0.0.1", port), 5), msgpack.Decoder(1 << 14)
                    sock.settimeout(10)
                fields = {"txn": f"{caller:08x}{number:08x}", "lb": str(caller), "ram": "10", "cpu": "1"}
                sock.sendall(msgpack.pack([0, number, "slot-search", [fields, b"x"]]))
                got: list[Any] = []
                while not any(message[0] == 1 for message in got):
                    data = sock.recv(1 << 12)
                    if not data:
                        raise OSError("closed")
                    got += decoder.feed(data)
                last = any(message[0] == 2 for message in got)
                answered.append(caller)
                if last or number % 3 == 0:
                    sock.close()
                    sock = None
            except OSError as error:
                lost.append(f"{caller} {number}: {error!r}")
                sock = None

    threads = [threading.Thread(target=call, args=(caller,), daemon=True) for caller in range(1, 5)]
    try:
        assert soon(old.ready)
        for thread in threads:
            thread.start()
        assert soon(lambda: len(answered) > 50)
        new = Process(tmp_path, 2, f"127.0.0.1:{port}", "{}:{}".format(*catalog.address))
        assert soon(new.ready)
        old.process.terminate()
        assert old.process.wait(10) == 0
        before = len(answered)
        assert soon(lambda: len(answered) > before + 50)
        stop.set()
        for thread in threads:
            thread.join(10)
        assert len(lost) <= 2, lost  # a request that crosses a close, or meets the listener's last instant
        new.process.terminate()
        assert new.process.wait(10) == 0
    finally:
        stop.set()
        for one in (old, new):
            if one is not None:
                one.process.kill()
                one.process.wait()
                one.runtime.close(["listener"])
        catalog.close(["listener"])
