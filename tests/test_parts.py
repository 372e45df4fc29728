"""Send buffer, listener, configuration, importer, the program as it is deployed, and the back-end clients."""

import errno
import json
import os
import queue
import signal
import socket
import struct
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

import pytest
import scenario
from core_harness import Backend
from helpers import free_address, small_node_settings, wait_until

from reelusher.backends import downstream_client
from reelusher.backends.unacknowledged_commands import Command, UnacknowledgedCommands
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


def test_slow_reader_neither_blocks_the_sender_nor_exceeds_its_backlog() -> None:
    near, far = socket.socketpair()
    send_buffer, started_s = SendBuffer(near, limit=1 << 20), time.monotonic()
    sent = 0
    while send_buffer.send(b"x" * 65_536):
        sent += 65_536
    assert time.monotonic() - started_s < 5
    assert sent < 8 << 20
    assert send_buffer.closed
    send_buffer.release()
    far.close()


def test_buffered_data_is_sent_completely_and_in_order() -> None:
    near, far = socket.socketpair()
    send_buffer = SendBuffer(near, limit=8 << 20)
    data = bytes(range(256)) * 4096
    for offset in range(0, len(data), 10_000):
        assert send_buffer.send(data[offset : offset + 10_000])
    received = bytearray()
    while len(received) < len(data):
        received += far.recv(1 << 16)
    deadline_s = time.monotonic() + 10
    while send_buffer.backlog and time.monotonic() < deadline_s:  # the writer updates it after it has sent
        time.sleep(0.01)
    assert received == data
    assert not send_buffer.backlog
    send_buffer.release()
    far.close()


def test_listener_accepts_again_after_it_ran_out_of_descriptors() -> None:
    counters, served = Counters(), list[socket.socket]()
    listener = Listener("x", ("127.0.0.1", 0), counters, lambda sock, peer: served.append(sock))

    class FailingSocket:
        """A listening socket whose first two calls of `accept` fail for lack of descriptors."""

        def __init__(self, sock: socket.socket) -> None:
            self.sock, self.failures_left = sock, 2

        def accept(self) -> Any:
            if self.failures_left:
                self.failures_left -= 1
                raise OSError(errno.EMFILE, "too many open files")
            return self.sock.accept()

        def __getattr__(self, name: str) -> Any:
            return getattr(self.sock, name)

    listener.sock = FailingSocket(listener.sock)  # type: ignore[assignment]
    listener.start()
    with socket.create_connection(listener.address):
        deadline_s = time.monotonic() + 10
        while not served and time.monotonic() < deadline_s:
            time.sleep(0.01)
    assert served
    assert counters.snapshot()["x.accept_failed"] == 2
    listener.stop()


def with_change(table: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    """Return a copy of a table with the value at a dotted path replaced, or removed if the value is None."""
    result: dict[str, Any] = json.loads(json.dumps(table))
    *parents, last = path.split(".")
    table_at_path: Any = result
    for key in parents:
        table_at_path = table_at_path[int(key)] if key.isdigit() else table_at_path.setdefault(key, {})
    if value is None:
        del table_at_path[last]
    else:
        table_at_path[last] = value
    return result


@pytest.mark.parametrize(
    ("path", "value", "error_key"),
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
def test_a_fault_in_the_platforms_configuration_is_named(path: str, value: Any, error_key: str) -> None:
    with pytest.raises(ConfigError, match=error_key.replace("settings: missing", "missing")):
        parse_platform(with_change(PLATFORM, path, value), {})


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
    ("path", "value", "error_key"),
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
def test_a_fault_in_the_operators_file_is_named(path: str, value: Any, error_key: str) -> None:
    parse_operator(OPERATOR)
    with pytest.raises(ConfigError, match=f"^{error_key}|{error_key}: "):
        parse_operator(with_change(OPERATOR, path, value))


REPLICATED = with_change(
    {**OPERATOR, "replication": {"copy": "tenants.db", "control": ["c1", "c2"]}}, "tenants", None
)


@pytest.mark.parametrize(
    ("path", "value", "error_key"),
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
def test_a_fault_in_the_replication_of_an_operators_file_is_named(
    path: str, value: Any, error_key: str
) -> None:
    replication = parse_operator(REPLICATED).replication
    assert replication is not None
    assert (replication.store, replication.control) == ("tenants.db", ("c1", "c2"))
    with pytest.raises(ConfigError, match=f"^{error_key}: "):
        parse_operator(with_change(REPLICATED, path, value))


def test_replication_and_durable_keys_exclude_each_other() -> None:
    with pytest.raises(ConfigError, match=r"^admin.durable_keys: "):
        parse_operator(
            with_change(with_change(REPLICATED, "admin.state_dir", "state"), "admin.durable_keys", True)
        )


@pytest.mark.parametrize(("control", "is_valid"), [(["n1"], True), (["own"], False), (["n1", "own"], False)])
def test_without_a_fleet_only_the_node_itself_can_write_the_table(control: list[str], is_valid: bool) -> None:
    """The node's name in the platform's configuration takes precedence over that in the operator's file."""
    table = with_change(with_change(REPLICATED, "fleet", None), "replication.control", control)
    operator_file = parse_operator(with_change(table, "node.name", "own"), ("book",))
    if is_valid:
        assert merge(parse_platform(PLATFORM, {}), operator_file).operator is operator_file
    else:
        with pytest.raises(ConfigError, match=r"^replication.control: "):
            merge(parse_platform(PLATFORM, {}), operator_file)


def test_example_of_an_operators_file_is_valid() -> None:
    operator_file = parse_operator(tomllib.loads((ROOT / "deploy" / "operator.toml").read_text()))
    assert operator_file.ajp
    assert operator_file.admin
    assert operator_file.tenants
    assert operator_file.settings


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
JK_OMISSIONS = [
    "w:7: worker n1: socket_timeout has no counterpart",
    "w:7: worker n2: socket_timeout has no counterpart",
    "w:18: balancer lb: method=N has no counterpart",
    "w:20: worker alone: port=many is no value that can be read",
    "w:22: worker status: the type status has no counterpart",
    "w:23: worker lost is neither in worker.list nor in a balancer",
]


def test_worker_files_are_imported_and_omissions_are_reported_by_line() -> None:
    imported = Imported()
    jk.read(WORKERS, "w", imported)
    assert imported.workers == {
        "n1": {"name": "n1", "host": "10.0.0.9", "port": 8101, "factor": 3},
        "n2": {"name": "n2", "host": "10.0.0.9", "port": 8102, "activation": "disabled"},
        "alone": {"name": "alone", "host": "127.0.0.1", "reply_timeout_ms": 2000},
    }
    assert imported.balancers == {"lb": {"name": "lb", "members": ["n1", "n2"], "sticky": False}}
    assert sorted(map(str, imported.omissions)) == sorted(JK_OMISSIONS)
    httpd.read("JkMount /a/* lb\n", "h", imported)
    imported.omissions.clear()
    imported.add_unmounted_omissions()
    assert list(map(str, imported.omissions)) == [
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
HTTPD_OMISSIONS = [
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


def test_httpd_balancers_are_imported_and_omissions_are_reported_by_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    imported = Imported()
    httpd.read(HTTPD, "h", imported)
    assert imported.balancers == {
        "clinics": {
            "name": "clinics",
            "sticky": True,
            "method": "busyness",
            "members": ["127.0.0.1-8201", "127.0.0.1-8202"],
        }
    }
    assert imported.workers["127.0.0.1-8201"] == {
        "name": "127.0.0.1-8201",
        "host": "127.0.0.1",
        "port": 8201,
        "factor": 2,
        "route": "a",
        "cping_timeout_ms": 500,
    }
    assert {name: imported.tenants[name]["prefix"] for name in imported.tenants} == {
        "clinics": "/clinics",
        "old": "/old",
        "jk": "/jk",
    }
    assert list(map(str, imported.omissions)) == HTTPD_OMISSIONS
    operator_file = parse_operator(tomllib.loads(imported.to_toml()))
    assert [balancer.method for balancer in operator_file.balancers] == ["busyness"]
    path = tmp_path / "httpd.conf"
    path.write_text(HTTPD)
    assert run_importer(["--httpd", str(path)]) == 0
    assert run_importer(["--strict", "--httpd", str(path)]) == 1
    printed = capsys.readouterr()
    assert f"{path}:4: " in printed.err
    assert "tenants = [" in printed.out


def deploy_file_command(command: str) -> list[str]:
    """Return a command of the deploy file as an argument list, with the interpreter of the tests."""
    text = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[command]
    before, python, _ = text.partition(".venv/bin/python")
    # It must use exec, so that signals reach the program and not a shell.
    assert python
    assert before in ("exec ", "trap '' HUP; MALLOC_ARENA_MAX=1 exec ")
    return processes.deploy_command(command)


def test_deployed_node_starts_answers_health_and_exits_with_status_0(tmp_path: Path) -> None:
    """Run the command of the deploy file, with optimization, while its runtime is not reachable."""
    listen_address = free_address()
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**PLATFORM, "listen": f"127.0.0.1:{listen_address[1]}", "stop_ms": 1000}))
    command = deploy_file_command("run")
    assert " -O " in command[-1]
    process = subprocess.Popen(
        command, cwd=ROOT, env={**os.environ, "PROXY_CONFIG": str(path)}, stderr=subprocess.PIPE
    )
    try:
        deadline_s = time.monotonic() + 30
        while time.monotonic() < deadline_s:
            try:
                caller = socket.create_connection(listen_address, 5)
                break
            except OSError:
                time.sleep(0.05)
        caller.sendall(bytes.fromhex("9400 01 a6 6865616c7468 91 80"))
        answer = caller.recv(100)
        assert answer[:5] == bytes.fromhex("940101c092")
        assert answer[5] == 0xC3
        # A program that does not handle SIGHUP is ended by it; an incomplete file must not end it either.
        path.write_text('{"name":')
        process.send_signal(signal.SIGHUP)
        assert process.stderr is not None
        while b"reload: rejected, the current configuration stays in use" not in (
            line := process.stderr.readline()
        ):
            assert line, "the process has ended"
        process.send_signal(signal.SIGTERM)
        caller.close()
        assert process.wait(30) == 0
    finally:
        process.kill()


@pytest.mark.parametrize(
    ("environment", "error_key"),
    [
        ({}, "PROXY_CONFIG"),
        ({"PROXY_CONFIG": "/nowhere"}, "PROXY_CONFIG"),
        ({"REELUSHER_OPERATOR": "/nowhere"}, "REELUSHER_OPERATOR"),
    ],
)
def test_unset_or_unreadable_configuration_is_reported_by_its_variable(
    environment: dict[str, str], error_key: str
) -> None:
    with pytest.raises(ConfigError, match=error_key):
        load(environment)


def test_invalid_configuration_ends_the_program_with_its_key_and_status_2(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(with_change(PLATFORM, "runtime", None)))
    process = subprocess.run(
        deploy_file_command("run"),
        cwd=ROOT,
        env={**os.environ, "PROXY_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert process.returncode == 2
    assert "runtime: missing" in process.stderr


def test_start_survives_sighup_from_the_first_instruction_of_the_interpreter(tmp_path: Path) -> None:
    """A reload of all nodes may reach a process whose interpreter has not come to the first line yet."""
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
        command_line, log = Path(f"/proc/{process.pid}/cmdline"), b""
        # Until the interpreter runs, the shell may not have set its trap; during `exec` the file is empty.
        while command_line.read_bytes().split(b"\0")[0] != sys.executable.encode():
            assert process.poll() is None
        deadline_s = time.monotonic() + 60
        while b"listens on" not in log and process.poll() is None and time.monotonic() < deadline_s:
            process.send_signal(signal.SIGHUP)
            log += process.stderr.read() or b""
            time.sleep(0.001)
        process.send_signal(signal.SIGTERM)
        assert b"listens on" in log
        assert process.wait(30) == 0
    finally:
        process.kill()


def test_simulator_adapter_answers_an_empty_batch() -> None:
    batch = bytes.fromhex("01000000 5a5c800000000000 04000000 00000000")
    process = subprocess.run(
        deploy_file_command("sim"), cwd=ROOT, input=batch, capture_output=True, timeout=60, check=True
    )
    assert process.stdout == bytes.fromhex("01000000 00000000 00000000")


def test_unread_request_of_an_idle_connection_that_is_closed_is_answered() -> None:
    """On a busy core the poller reads late: a close without a last read lost received requests."""
    front = RpcFrontend(Core(small_node_settings(), [], 1, Backend()), ("127.0.0.1", 0), "t", 8, 1 << 20)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        far = socket.create_connection(listener.getsockname(), 10)
        near, _ = listener.accept()
    connection = front._connections[near] = Connection(near, ByteBudget(1 << 20))
    far.sendall(msgpack.pack([0, 1, "health", [{}]]))
    front._close_idle(connection)  # before the poller has read the request
    assert list(msgpack.Decoder().feed(far.recv(100))) == [[1, 1, None, [True, {}]]]
    assert far.recv(100) == b""
    assert front.open_connections() == 0
    far.close()
    front.close()


def test_commands_of_the_last_50_ms_are_resent_although_gauges_were_acknowledged() -> None:
    """A broken link loses the commands of the last 50 ms, even if gauges were answered within that time."""
    now_s = 0.0
    commands = UnacknowledgedCommands(lambda: now_s)

    def add(run_id: str, line: bytes) -> None:
        command = Command(run_id, "", line)
        commands.add(command, command)

    add("a", b"start a")
    add("b", b"start b")
    now_s = 0.1
    add("a", b"stop a")
    add("c", b"start c")
    commands.mark("t1")
    add("d", b"start d")
    commands.acknowledge_gauges("t1")
    assert commands.lines_to_resend() == [b"stop a", b"start c", b"start d"]
    commands.acknowledge_run("c")  # a notice of its run shows that its start was carried out
    now_s = 0.2
    commands.mark("t2")
    commands.acknowledge_gauges("t2")
    assert commands.lines_to_resend() == []
    assert len(commands) == 0


def test_idle_connection_to_the_downstream_service_is_not_reused() -> None:
    """The service drops idle connections; a call that is reset there may have run, and has to be failed."""
    messages: queue.SimpleQueue[Message] = queue.SimpleQueue()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = downstream_client.DownstreamClient(listener.getsockname(), messages.put, Counters(), Clock())
        connections = []
        for number, call in enumerate(("aa", "bb", "cc")):
            client.call(call, number, Clock().now() + 60_000_000, b"q")
            if call != "bb":  # the second call uses the connection of the first
                connections.append(listener.accept()[0])
            assert connections[-1].recv(100).startswith(f"ask {call} ".encode())
            connections[-1].sendall(f"{call} notnow\r\n".encode())
            assert messages.get(timeout=10) == CallFinished(call, number, Outcome.REJECTED)
            if call == "bb":
                client._idle[-1].last_used_s -= downstream_client.MAX_IDLE_S
        client.close()


def test_call_refused_at_the_old_address_is_sent_to_the_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """A refused connection shows that nothing ran; here a reload changes the address during the attempt."""
    messages: queue.SimpleQueue[Message] = queue.SimpleQueue()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = downstream_client.DownstreamClient(("127.0.0.1", 1), messages.put, Counters(), Clock())

        def refused(address: Address, timeout: float) -> socket.socket:
            monkeypatch.undo()
            client.move(listener.getsockname())
            raise ConnectionRefusedError

        monkeypatch.setattr(downstream_client, "connect", refused)
        client.call("aa", 1, Clock().now() + 60_000_000, b"q")
        sock = listener.accept()[0]
        assert sock.recv(100).startswith(b"ask aa ")
        sock.sendall(b"aa yes 1\r\nr\r\n")
        assert messages.get(timeout=10) == CallFinished("aa", 1, Outcome.OK, b"r")
        client.close()


def test_call_repeated_after_a_cancel_uses_another_connection() -> None:
    """Both calls have one id, so a late reply to the first could be taken for the reply to the second."""
    messages: queue.SimpleQueue[Message] = queue.SimpleQueue()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = downstream_client.DownstreamClient(listener.getsockname(), messages.put, Counters(), Clock())
        client.call("aa", 1, Clock().now() + 60_000_000, b"q")
        first = listener.accept()[0]
        assert first.recv(100).startswith(b"ask aa ")
        client.cancel("aa", 1)
        assert first.recv(100) == b"unask aa\r\n"
        client.call("aa", 2, Clock().now() + 60_000_000, b"q")
        second = listener.accept()[0]
        assert second.recv(100).startswith(b"ask aa ")
        first.sendall(b"aa yes 4\r\nlate\r\n")
        second.sendall(b"aa yes 3\r\nnew\r\n")
        assert messages.get(timeout=10) == CallFinished("aa", 2, Outcome.OK, b"new")
        client.close()


def test_end_of_a_connection_is_counted_by_its_cause() -> None:
    """Guard against a connection that ended for a reason which no counter tells."""
    counters = Counters()
    core = Core(small_node_settings(), [], 1, Backend(), counters=counters)
    front = RpcFrontend(core, ("127.0.0.1", 0), "t", 32, 1 << 20)
    front.start()
    ends = {"closed_by_caller": 0, "closed_broken": 0, "closed_backlog": 0}
    for cause in ends:
        far = socket.create_connection(front.address, 10)
        far.sendall(msgpack.pack([0, 1, "health", [{}]]))
        assert far.recv(100)
        (connection,) = front.connections()
        if cause == "closed_broken":
            far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if cause == "closed_backlog":
            connection.send_buffer.send(b"x" * (64 << 20))
        else:
            far.close()
        assert wait_until(lambda: front.open_connections() == 0)
        far.close()
        ends[cause] += 1
        counted = counters.snapshot()
        assert {name: counted.get(f"platform.{name}", 0) for name in ends} == ends
    front.close()
