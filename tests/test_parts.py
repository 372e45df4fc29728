"""Sockets, configuration, the importer and the program itself."""

import errno
import json
import os
import queue
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

import pytest
import scenario
from core_harness import Backend
from helpers import small_node_settings

from reelusher.backends import downstream_client
from reelusher.backends.unacknowledged_commands import UnacknowledgedCommands
from reelusher.codecs import msgpack
from reelusher.config import ConfigError, load
from reelusher.config.load import merge
from reelusher.config.operator.file import parse as parse_operator
from reelusher.config.platform_config import parse as parse_platform
from reelusher.core.clock import Clock
from reelusher.core.counters import Counters
from reelusher.core.event_loop import Core
from reelusher.core.messages import CallFinished, Message
from reelusher.frontends.rpc.connection import Connection
from reelusher.frontends.rpc.frontend import RpcFrontend
from reelusher.importer import httpd, jk
from reelusher.importer.__main__ import main as run_importer
from reelusher.importer.model import Imported
from reelusher.lab.fleet import processes
from reelusher.net.listener import Listener
from reelusher.net.send_buffer import ByteBudget, SendBuffer
from reelusher.net.sockets import Address
from reelusher.policy.events import Outcome

ROOT = Path(__file__).parent.parent
PLATFORM = {"name": "n1", "listen": "127.0.0.1:0", "runtime": "127.0.0.1:1", "settings": scenario.SETTINGS}


def test_a_slow_reader_neither_blocks_the_sender_nor_holds_more_than_its_backlog() -> None:
    near, far = socket.socketpair()
    send_buffer, began = SendBuffer(near, limit=1 << 20), time.monotonic()
    sent = 0
    while send_buffer.send(b"x" * 65_536):
        sent += 65_536
    assert time.monotonic() - began < 5
    assert sent < 8 << 20
    assert send_buffer.closed
    send_buffer.release()
    far.close()


def test_what_waits_in_an_outbox_arrives_whole_and_in_order() -> None:
    near, far = socket.socketpair()
    send_buffer = SendBuffer(near, limit=8 << 20)
    data = bytes(range(256)) * 4096
    for at in range(0, len(data), 10_000):
        assert send_buffer.send(data[at : at + 10_000])
    got = bytearray()
    while len(got) < len(data):
        got += far.recv(1 << 16)
    until = time.monotonic() + 10
    while send_buffer.backlog and time.monotonic() < until:  # the writer counts what it sent later
        time.sleep(0.01)
    assert got == data
    assert not send_buffer.backlog
    send_buffer.release()
    far.close()


def test_accepting_goes_on_after_the_descriptors_ran_out() -> None:
    counters, served = Counters(), list[socket.socket]()
    listener = Listener("x", ("127.0.0.1", 0), counters, lambda sock, peer: served.append(sock))

    class Short:
        """A listening socket that fails twice."""

        def __init__(self, sock: socket.socket) -> None:
            self.sock, self.left = sock, 2

        def accept(self) -> Any:
            if self.left:
                self.left -= 1
                raise OSError(errno.EMFILE, "too many open files")
            return self.sock.accept()

        def __getattr__(self, name: str) -> Any:
            return getattr(self.sock, name)

    listener.sock = Short(listener.sock)  # type: ignore[assignment]
    listener.start()
    with socket.create_connection(listener.address):
        until = time.monotonic() + 10
        while not served and time.monotonic() < until:
            time.sleep(0.01)
    assert served
    assert counters.snapshot()["x.accept_failed"] == 2
    listener.stop()


def changed(table: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    """Return a copy with one key changed, or removed where the value is None."""
    made: dict[str, Any] = json.loads(json.dumps(table))
    *above, last = path.split(".")
    at: Any = made
    for key in above:
        at = at[int(key)] if key.isdigit() else at.setdefault(key, {})
    if value is None:
        del at[last]
    else:
        at[last] = value
    return made


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        ("name", None, "name"),
        ("name", 3, "name"),
        ("listen", "nowhere", "listen"),
        ("runtime", None, "runtime"),
        ("vault", "x:99999", "vault"),
        ("directory", "x:y", "directory"),
        ("seed", "xyz", "seed"),
        ("stop_ms", 1, "stop_ms"),
        ("stop_ms", True, "stop_ms"),
        ("limits", [], "limits"),
        ("limits.memory_mb", "much", "limits.memory_mb"),
        ("limits.sockets", 1.5, "limits.sockets"),
        ("settings", None, "settings"),
        ("settings.rules", None, "settings: missing key rules"),
        ("settings.family_info.cores", None, "family_info.cores"),
        ("settings.family_info.cores", -1, "settings"),
    ],
)
def test_a_fault_in_the_platforms_configuration_is_named(path: str, value: Any, named: str) -> None:
    with pytest.raises(ConfigError, match=named.replace("settings: missing", "missing")):
        parse_platform(changed(PLATFORM, path, value), {})


OPERATOR: dict[str, Any] = {
    "ajp": {"listen": "127.0.0.1:0"},
    "admin": {"listen": "127.0.0.1:0", "token": scenario.TOKEN},
    "classes": [{"name": "book", "effect": "keyed", "deadline_ms": 5000, "window_ms": 9000}],
    "fleet": {"listen": "127.0.0.1:0", "secret_file": "secret", "seeds": ["127.0.0.1:7946"]},
    "workers": [{"name": "w1"}],
    "balancers": [{"name": "b", "members": ["w1"]}],
    "tenants": [{"name": "t", "backend": "b", "routes": [{"class": "book"}]}],
}


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        ("ajp.listen", "0.0.0.0:8009", "ajp.secret"),
        ("ajp.listen", 3, "ajp.listen"),
        ("ajp.bogus", 1, "ajp.bogus"),
        ("ajp.packet_size", 100, "ajp.packet_size"),
        ("admin.listen", "10.0.0.1:1", "admin.listen"),
        ("admin.token", "short", "admin.token"),
        ("classes", None, "classes"),
        ("classes.0.name", None, "name"),
        ("classes.0.effect", "odd", r"classes\[0\].effect"),
        ("classes.0.window_ms", None, "window_ms"),
        ("workers.0.port", 0, r"workers\[0\].port"),
        ("workers.0.name", "runtime", r"workers\[0\].name"),
        ("balancers.0.members", ["w9"], r"balancers\[0\].members"),
        ("balancers.0.name", "w1", "workers"),
        ("tenants.0.backend", "w9", r"tenants\[0\].backend"),
        ("tenants.0.name", "a b", r"tenants\[0\].name"),
        ("tenants.0.routes.0.class", "none", r"tenants\[0\].routes\[0\].class"),
        ("fleet.listen", "localhost:7946", "fleet.listen"),
        ("fleet.seeds", ["there"], r"fleet.seeds\[0\]"),
        ("fleet.secret_file", None, "fleet.secret_file"),
        ("fleet.zone", "z" * 65, "fleet.zone"),
        ("fleet.bogus", 1, "fleet.bogus"),
        ("fleet.advertise", "there:1", "fleet.advertise"),
        ("tenants.0.prefix", "x", r"tenants\[0\].prefix"),
        ("bogus", 1, "bogus"),
        ("node.seed", "g", "node.seed"),
    ],
)
def test_a_fault_in_the_operators_file_is_named(path: str, value: Any, named: str) -> None:
    parse_operator(OPERATOR)
    with pytest.raises(ConfigError, match=f"^{named}|{named}: "):
        parse_operator(changed(OPERATOR, path, value))


REPLICATED = changed(
    {**OPERATOR, "replication": {"copy": "tenants.db", "control": ["c1", "c2"]}}, "tenants", None
)


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        ("replication.copy", None, "replication.copy"),
        ("replication.control", None, "replication.control"),
        ("replication.copy", "", "replication.copy"),
        ("replication.bogus", 1, "replication.bogus"),
        ("replication.control", [], "replication.control"),
        ("replication", ["c1"], "replication"),
        ("replication.control", "c1", "replication.control"),
        ("replication.control", [f"c{number}" for number in range(9)], "replication.control"),
        ("replication.control", ["c1", "c1"], "replication.control"),
        ("replication.control", ["c1", "c" * 65], r"replication.control\[1\]"),
        ("replication.control", ["a/b"], r"replication.control\[0\]"),
        ("tenants", OPERATOR["tenants"], "tenants"),
        ("admin.state_dir", "state", "admin.state_dir"),
        ("admin.state_file", "state.json", "admin.state_file"),
    ],
)
def test_a_fault_in_the_replication_of_an_operators_file_is_named(path: str, value: Any, named: str) -> None:
    made = parse_operator(REPLICATED).replication
    assert made is not None
    assert (made.store, made.control) == ("tenants.db", ("c1", "c2"))
    with pytest.raises(ConfigError, match=f"^{named}: "):
        parse_operator(changed(REPLICATED, path, value))


def test_with_replication_keys_can_not_be_durable_so_far() -> None:
    with pytest.raises(ConfigError, match=r"^admin.durable_keys: "):
        parse_operator(changed(changed(REPLICATED, "admin.state_dir", "state"), "admin.durable_keys", True))


@pytest.mark.parametrize(("control", "fits"), [(["n1"], True), (["own"], False), (["n1", "own"], False)])
def test_without_a_fleet_only_the_node_itself_can_write_the_table(control: list[str], fits: bool) -> None:
    """The platform's name for the node goes before the operator's."""
    table = changed(changed(REPLICATED, "fleet", None), "replication.control", control)
    own = parse_operator(changed(table, "node.name", "own"), ("book",))
    if fits:
        assert merge(parse_platform(PLATFORM, {}), own).operator is own
    else:
        with pytest.raises(ConfigError, match=r"^replication.control: "):
            merge(parse_platform(PLATFORM, {}), own)


def test_the_example_of_an_operators_file_is_valid() -> None:
    made = parse_operator(tomllib.loads((ROOT / "deploy" / "operator.toml").read_text()))
    assert made.ajp
    assert made.admin
    assert made.tenants
    assert made.settings


WORKERS = """\
# clinics
home=10.0.0.9
worker.list=lb, alone
worker.list=status
worker.template.type=ajp13
worker.template.host=$(home)
worker.template.socket_timeout=5
worker.n1.reference=worker.template
worker.n1.port=8101
worker.n1.lbfactor=3
worker.n2.reference=worker.template
worker.n2.port=8102
worker.n2.activation=D
worker.lb.type=lb
worker.lb.balance_workers=n1,\\
  n2
worker.lb.sticky_session=0
worker.lb.method=N
worker.alone.host=127.0.0.1
worker.alone.port=many
worker.alone.reply_timeout=2000
worker.status.type=status
worker.lost.host=1.2.3.4
"""
JK_LEFT = [
    "w:7: worker n1: socket_timeout has no counterpart",
    "w:7: worker n2: socket_timeout has no counterpart",
    "w:18: balancer lb: method=N has no counterpart",
    "w:20: worker alone: port=many is no value that can be read",
    "w:22: worker status: the type status has no counterpart",
    "w:23: worker lost is neither in worker.list nor in a balancer",
]


def test_worker_files_are_imported_and_the_rest_is_reported_by_line() -> None:
    made = Imported()
    jk.read(WORKERS, "w", made)
    assert made.workers == {
        "n1": {"name": "n1", "host": "10.0.0.9", "port": 8101, "factor": 3},
        "n2": {"name": "n2", "host": "10.0.0.9", "port": 8102, "activation": "disabled"},
        "alone": {"name": "alone", "host": "127.0.0.1", "reply_timeout_ms": 2000},
    }
    assert made.balancers == {"lb": {"name": "lb", "members": ["n1", "n2"], "sticky": False}}
    assert sorted(map(str, made.omissions)) == sorted(JK_LEFT)
    httpd.read("JkMount /a/* lb\n", "h", made)
    made.omissions.clear()
    made.add_unmounted_omissions()
    assert list(map(str, made.omissions)) == [
        "w:3: alone: no JkMount or ProxyPass leads to it, so no tenant names it"
    ]


HTTPD = """\
<Proxy "balancer://clinics">
    BalancerMember "ajp://127.0.0.1:8201" loadfactor=2 route=a ping=500ms
    BalancerMember ajp://127.0.0.1:8202/app retry=5 status=+H
    BalancerMember http://127.0.0.1:80
    ProxySet lbmethod=bybusyness stickysession=JSESSIONID|jsessionid
</Proxy>
ProxyPass "/clinics" "balancer://clinics/clinics" nofailover=On
ProxyPass /old \\
    ajp://127.0.0.1:8301/new
ProxyPass /static !
ProxyPassMatch ^/x ajp://127.0.0.1:1
ProxyPass / http://elsewhere/
JkMount /jk/* clinics
JkMount /jk/* nobody
ServerName ignored
"""
HTTPD_LEFT = [
    "h:3: ajp://127.0.0.1:8202/app: the path /app is dropped, paths are forwarded unchanged",
    "h:3: status=+H: the flag H has no counterpart",
    "h:4: http://127.0.0.1:80: only ajp:// has a counterpart",
    "h:7: nofailover=On has no counterpart",
    "h:8: ProxyPass /old to /new: paths are forwarded unchanged",
    "h:10: ProxyPass /static !: paths that are left out have no counterpart",
    "h:11: ProxyPassMatch has no counterpart",
    "h:12: ProxyPass /: only balancer:// and ajp:// have a counterpart",
    "h:14: JkMount /jk/*: no worker is named nobody",
]


def test_apaches_balancers_are_imported_and_the_rest_is_reported_by_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    made = Imported()
    httpd.read(HTTPD, "h", made)
    assert made.balancers == {
        "clinics": {
            "name": "clinics",
            "sticky": True,
            "method": "busyness",
            "members": ["127.0.0.1-8201", "127.0.0.1-8202"],
        }
    }
    assert made.workers["127.0.0.1-8201"] == {
        "name": "127.0.0.1-8201",
        "host": "127.0.0.1",
        "port": 8201,
        "factor": 2,
        "route": "a",
        "cping_timeout_ms": 500,
    }
    assert {name: made.tenants[name]["prefix"] for name in made.tenants} == {
        "clinics": "/clinics",
        "old": "/old",
        "jk": "/jk",
    }
    assert list(map(str, made.omissions)) == HTTPD_LEFT
    own = parse_operator(tomllib.loads(made.to_toml()))
    assert [balancer.method for balancer in own.balancers] == ["busyness"]
    path = tmp_path / "httpd.conf"
    path.write_text(HTTPD)
    assert run_importer(["--httpd", str(path)]) == 0
    assert run_importer(["--strict", "--httpd", str(path)]) == 1
    printed = capsys.readouterr()
    assert f"{path}:4: " in printed.err
    assert "tenants = [" in printed.out


def deploy_file_command(command: str) -> list[str]:
    """Return a command of the deploy file as the platform starts it, with the interpreter of the tests."""
    text = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[command]
    before, python, _ = text.partition(".venv/bin/python")
    # by exec, so that signals reach the program and not a shell
    assert python
    assert before in ("exec ", "trap '' HUP; MALLOC_ARENA_MAX=1 exec ")
    return processes.deploy_command(command)


def test_run_starts_answers_health_and_leaves_with_status_0(tmp_path: Path) -> None:
    """The command of the deploy file, in a release build, with no runtime there yet."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        place = free.getsockname()
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**PLATFORM, "listen": f"127.0.0.1:{place[1]}", "stop_ms": 1000}))
    command = deploy_file_command("run")
    assert " -O " in command[-1]
    process = subprocess.Popen(
        command, cwd=ROOT, env={**os.environ, "PROXY_CONFIG": str(path)}, stderr=subprocess.PIPE
    )
    try:
        until = time.monotonic() + 30
        while time.monotonic() < until:
            try:
                caller = socket.create_connection(place, 5)
                break
            except OSError:
                time.sleep(0.05)
        caller.sendall(bytes.fromhex("9400 01 a6 6865616c7468 91 80"))
        answer = caller.recv(100)
        assert answer[:5] == bytes.fromhex("940101c092")
        assert answer[5] == 0xC3
        # SIGHUP ended the program where nothing handled it; a file half written must not either
        path.write_text('{"name":')
        process.send_signal(signal.SIGHUP)
        assert process.stderr is not None
        while b"reload: rejected, the current configuration stays in use" not in (
            line := process.stderr.readline()
        ):
            assert line, "it has ended"
        process.send_signal(signal.SIGTERM)
        caller.close()
        assert process.wait(30) == 0
    finally:
        process.kill()


@pytest.mark.parametrize(
    ("environ", "named"),
    [
        ({}, "PROXY_CONFIG"),
        ({"PROXY_CONFIG": "/nowhere"}, "PROXY_CONFIG"),
        ({"REELUSHER_OPERATOR": "/nowhere"}, "REELUSHER_OPERATOR"),
    ],
)
def test_a_node_that_is_told_nothing_says_what_is_missing(environ: dict[str, str], named: str) -> None:
    with pytest.raises(ConfigError, match=named):
        load(environ)


def test_a_fault_in_the_configuration_ends_the_program_with_the_key_and_a_status(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(changed(PLATFORM, "runtime", None)))
    done = subprocess.run(
        deploy_file_command("run"),
        cwd=ROOT,
        env={**os.environ, "PROXY_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2
    assert "runtime: missing" in done.stderr


def test_a_start_survives_every_sighup_from_the_first_instruction_of_the_interpreter(tmp_path: Path) -> None:
    """The interpreter takes a while to come to the first line: a reload of all nodes may meet one there."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**PLATFORM, "listen": "127.0.0.1:0", "stop_ms": 1000}))
    process = subprocess.Popen(
        deploy_file_command("run"),
        cwd=ROOT,
        env={**os.environ, "PROXY_CONFIG": str(path)},
        stderr=subprocess.PIPE,
    )
    assert process.stderr is not None
    os.set_blocking(process.stderr.fileno(), False)
    try:
        command, told = Path(f"/proc/{process.pid}/cmdline"), b""
        # until then the shell has no trap; while `exec` replaces the process this reads empty
        while command.read_bytes().split(b"\0")[0] != sys.executable.encode():
            assert process.poll() is None
        until = time.monotonic() + 60
        while b"listens on" not in told and process.poll() is None and time.monotonic() < until:
            process.send_signal(signal.SIGHUP)
            told += process.stderr.read() or b""
            time.sleep(0.001)
        process.send_signal(signal.SIGTERM)
        assert b"listens on" in told
        assert process.wait(30) == 0
    finally:
        process.kill()


def test_sim_answers_an_empty_batch() -> None:
    batch = bytes.fromhex("01000000 5a5c800000000000 04000000 00000000")
    done = subprocess.run(
        deploy_file_command("sim"), cwd=ROOT, input=batch, capture_output=True, timeout=60, check=True
    )
    assert done.stdout == bytes.fromhex("01000000 00000000 00000000")


def test_what_lies_unread_when_an_idle_connection_is_closed_is_still_answered() -> None:
    """On a busy core the reader runs late: a close that did not wait for it lost what had come in."""
    front = RpcFrontend(Core(small_node_settings(), [], 1, Backend()), ("127.0.0.1", 0), "t", 8, 1 << 20)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        far = socket.create_connection(listener.getsockname(), 10)
        near, _ = listener.accept()
    connection = front._connections[near] = Connection(near, ByteBudget(1 << 20))
    far.sendall(msgpack.pack([0, 1, "health", [{}]]))
    front._close_idle(connection)  # before the poller has had its turn
    assert list(msgpack.Decoder().feed(far.recv(100))) == [[1, 1, None, [True, {}]]]
    assert far.recv(100) == b""
    assert front.open_connections() == 0
    far.close()
    front.close()


def test_young_commands_go_out_again_after_a_break_though_gauges_have_answered() -> None:
    """A break loses the last 50 ms of commands; gauges answered within them proved nothing about these."""
    now = 0.0
    sent = UnacknowledgedCommands(lambda: now)
    sent.add("a", b"start a")
    sent.add("b", b"start b")
    now = 0.1
    sent.add("a", b"give a")
    sent.add("c", b"start c")
    sent.mark("t1")
    sent.add("d", b"start d")
    sent.acknowledge_gauges("t1")
    assert sent.lines_to_resend() == [b"give a", b"start c", b"start d"]
    sent.acknowledge_run("c")  # its run has told something, so its start was carried out
    now = 0.2
    sent.mark("t2")
    sent.acknowledge_gauges("t2")
    assert sent.lines_to_resend() == []
    assert len(sent) == 0


def test_an_idle_connection_to_the_vault_is_not_used_again() -> None:
    """The vault forgets idle ones, and a call that is reset there would prove nothing and be failed."""
    came: queue.SimpleQueue[Message] = queue.SimpleQueue()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        made = downstream_client.DownstreamClient(listener.getsockname(), came.put, Counters(), Clock())
        lines_open = []
        for number, call in enumerate(("aa", "bb", "cc")):
            made.call(call, number, Clock().now() + 60_000_000, b"q")
            if call != "bb":  # the second goes out on the first one's connection
                lines_open.append(listener.accept()[0])
            assert lines_open[-1].recv(100).startswith(f"ask {call} ".encode())
            lines_open[-1].sendall(f"{call} notnow\r\n".encode())
            assert came.get(timeout=10) == CallFinished(call, number, Outcome.REJECTED)
            if call == "bb":
                made._idle[-1].last_used_s -= downstream_client.MAX_IDLE_S
        made.close()


def test_a_call_refused_at_an_old_address_goes_out_at_the_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """A refused connection proves that nothing ran; a reload had come while it was being opened."""
    came: queue.SimpleQueue[Message] = queue.SimpleQueue()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        made = downstream_client.DownstreamClient(("127.0.0.1", 1), came.put, Counters(), Clock())

        def refused(address: Address, timeout: float) -> socket.socket:
            monkeypatch.undo()
            made.move(listener.getsockname())
            raise ConnectionRefusedError

        monkeypatch.setattr(downstream_client, "connect", refused)
        made.call("aa", 1, Clock().now() + 60_000_000, b"q")
        sock = listener.accept()[0]
        assert sock.recv(100).startswith(b"ask aa ")
        sock.sendall(b"aa yes 1\r\nr\r\n")
        assert came.get(timeout=10) == CallFinished("aa", 1, Outcome.OK, b"r")
        made.close()


def test_a_call_given_up_goes_out_anew_on_another_connection() -> None:
    """A late reply to the first could be taken for the second one's: both carry one id."""
    came: queue.SimpleQueue[Message] = queue.SimpleQueue()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        made = downstream_client.DownstreamClient(listener.getsockname(), came.put, Counters(), Clock())
        made.call("aa", 1, Clock().now() + 60_000_000, b"q")
        first = listener.accept()[0]
        assert first.recv(100).startswith(b"ask aa ")
        made.cancel("aa", 1)
        assert first.recv(100) == b"unask aa\r\n"
        made.call("aa", 2, Clock().now() + 60_000_000, b"q")
        second = listener.accept()[0]
        assert second.recv(100).startswith(b"ask aa ")
        first.sendall(b"aa yes 4\r\nlate\r\n")
        second.sendall(b"aa yes 3\r\nnew\r\n")
        assert came.get(timeout=10) == CallFinished("aa", 2, Outcome.OK, b"new")
        made.close()
