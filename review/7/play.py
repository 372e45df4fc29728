"""The link to the runtime breaks now and then; replies to calls must reach the call that they belong to."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import parts

PLAY_S = 50.0
BREAK_S = 1.2
DEADLINE_MS = 13000


def play(case: parts.Case) -> list[str]:
    """Return the calls that were given the reply to another call."""
    violations: list[str] = []

    def on_reply(run: parts.Run, reply: bytes) -> None:
        expected = parts.reply_to(parts.call_body(run.call, run.call_number))
        if reply != expected:
            violations.append(f"call {run.call_number} of {run.call} got {reply!r} in place of {expected!r}")

    runtime = parts.Runtime(case, lambda service, body: (0.02, 5))
    runtime.on_reply = on_reply
    relay = parts.Relay(case, runtime.port)
    vault = parts.Vault(case, lambda body: 0.005)
    classes = [parts.category("patient-file", "pure", DEADLINE_MS, 3800, 2)]
    node = parts.Node(
        case, "node", parts.settings(classes, [True], [0.0]), relay.port, vault=f"{parts.HOST}:{vault.port}"
    ).start()
    end_s = time.monotonic() + PLAY_S
    tries: list[parts.Try] = []

    def load(number: int) -> None:
        caller = parts.Caller(case, node.port, number)
        while time.monotonic() < end_s:
            attempt = caller.send("patient-file", b"file")
            tries.append(attempt)
            while not attempt.answers and not attempt.reset:
                time.sleep(0.002)

    threads = [threading.Thread(target=load, args=(number,), daemon=True) for number in range(16)]
    for thread in threads:
        thread.start()
    while time.monotonic() < end_s:
        time.sleep(BREAK_S)
        if parts.TROUBLE:
            case.note("the link to the runtime breaks")
            relay.break_all()
    time.sleep(3)
    case.note(f"{len(tries)} requests were sent")
    return violations


parts.main(__file__, play)
