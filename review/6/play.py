"""A client sends the id of a request that another caller has open, and then what can't be read."""

import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import parts

ROUNDS = 20
DEADLINE_MS = 5100
SLACK_S = 0.080 + 0.050  # of the site, and that of sockets


def bad_client(case: parts.Case, port: int, txn: str) -> None:
    """Send a request under the id of an open one, then what begins no message; read the answer."""
    fields = {
        "txn": txn,
        "door": str(time.time_ns() // 1_000_000),
        "lb": "9",
        "cpu": "12.50",
        "ram": "24.5",
        "standing": "0.5",
    }
    with socket.create_connection((parts.HOST, port), 3) as sock:
        case.note(f"bad client sends {txn} and what can't be read")
        sock.sendall(parts.pack([0, 1, "day-view", [fields, b"bad"]]) + b"\xc1")
        sock.settimeout(3)
        try:
            while data := sock.recv(4096):
                case.note(f"bad client read {data!r}")
        except OSError as error:
            case.note(f"bad client: {error}")


def play(case: parts.Case) -> list[str]:
    """Return the requests of the usual caller that have no answer."""
    runtime = parts.Runtime(case, lambda service, body: (0.3, 0))
    classes = [parts.category("day-view", "pure", DEADLINE_MS, 1500)]
    node = parts.Node(case, "node", parts.settings(classes, [False], [0.0]), runtime.port).start()
    caller = parts.Caller(case, node.port)
    tries = []
    for number in range(ROUNDS):
        attempt = caller.send("day-view", f"good {number}".encode())
        tries.append(attempt)
        time.sleep(0.1)
        if parts.TROUBLE:
            bad_client(case, node.port, attempt.txn)
        time.sleep(0.3)
    time.sleep(DEADLINE_MS / 1000 + SLACK_S + 0.5)
    if node.process.poll() is not None:
        return ["the node ended by itself"]
    return [
        f"{attempt.txn} was written and has {len(attempt.answers)} whole answers in its time"
        for attempt in tries
        if len(attempt.answers) != 1 or attempt.answers[0][0] > DEADLINE_MS / 1000 + SLACK_S
    ]


parts.main(__file__, play)
