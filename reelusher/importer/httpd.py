"""Apache: balancer:// with BalancerMember and ProxySet, ProxyPass, JkMount."""

import re
import shlex
from collections.abc import Callable
from typing import Any
from urllib.parse import urlsplit

from reelusher.importer.model import Imported

ACTIVATIONS = {"D": "stopped", "S": "stopped", "N": "disabled"}  # status flags that have a counterpart
METHODS = {"byrequests": "requests", "bybusyness": "busyness"}
DIRECTIVE = re.compile(r"\s*(\S+)\s*(.*)", re.DOTALL)
PASSED_ON = frozenset({"requestheader", "header", "servername", "listen", "loadmodule"})  # say nothing to us


def _seconds(text: str) -> int:
    return int(text[:-2]) if text.endswith("ms") else int(text) * 1000


MEMBER: dict[str, tuple[str, Callable[[str], Any]]] = {
    "loadfactor": ("factor", lambda text: max(1, round(float(text)))),
    "route": ("route", str),
    "secret": ("secret", str),
    "retry": ("recover_ms", _seconds),
    "ping": ("cping_timeout_ms", _seconds),
    "timeout": ("reply_timeout_ms", _seconds),
    "connectiontimeout": ("connect_timeout_ms", _seconds),
    "max": ("connections", int),
}


class Reader:
    """Reads one file, line by line, and keeps the block that it is in."""

    def __init__(self, file: str, into: Imported) -> None:
        self._file = file
        self._into = into
        self._balancer = ""  # of the <Proxy> block that is open
        self._line = 0
        self._known: dict[str, Callable[[list[str]], None]] = {
            "balancermember": self._member,
            "proxyset": self._set,
            "proxypass": self._pass,
            "jkmount": self._mount,
        }

    def read(self, text: str) -> None:
        """Read all directives."""
        continued, started_at = "", 0
        for number, line in enumerate(text.splitlines(), 1):
            started_at = started_at or number
            if line.rstrip().endswith("\\"):
                continued += line.rstrip()[:-1] + " "
                continue
            self._line, started_at = started_at, 0
            directive, continued = (continued + line).strip(), ""
            if directive and not directive.startswith("#"):
                self._directive(directive)
        if continued.strip():
            self._line = started_at
            self._directive(continued.strip())
        for name in [name for name, made in self._into.balancers.items() if not made["members"]]:
            self._omit(f"balancer {name} has no member that could be carried over")
            del self._into.balancers[name]

    def _omit(self, why: str) -> None:
        self._into.add_omission(self._file, self._line, why)

    def _directive(self, line: str) -> None:
        if line.startswith("<"):
            self._block(line)
            return
        match = DIRECTIVE.match(line)
        assert match is not None
        name, rest = match.groups()
        try:
            words = shlex.split(rest)
        except ValueError as error:
            self._omit(f"{name}: {error}")
            return
        react = self._known.get(name.lower())
        if react is not None:
            react(words)
        elif name.lower() not in PASSED_ON and name.lower().startswith(("proxy", "jk", "balancer")):
            self._omit(f"{name} has no counterpart")

    def _block(self, line: str) -> None:
        words = line.strip("<>").replace('"', "").split()
        if words and words[0].lower() == "proxy" and len(words) > 1 and words[1].startswith("balancer://"):
            self._balancer = _balancer_name(words[1])
            self._open(self._balancer)
        elif words and words[0].lower() == "/proxy":
            self._balancer = ""
        elif words and words[0].lower() in ("location", "virtualhost", "proxymatch", "locationmatch"):
            self._omit(f"{line}: what stands in such a block is read as if it stood outside")

    def _open(self, name: str) -> dict[str, Any]:
        return self._into.balancers.setdefault(name, {"name": name, "members": [], "sticky": False})

    def _member(self, words: list[str]) -> None:
        name = self._balancer
        if words and words[0].startswith("balancer://"):
            name, words = _balancer_name(words[0]), words[1:]
        if not name or not words:
            self._omit("BalancerMember: no balancer or no member is named")
            return
        worker = self._worker(words[0], words[1:])
        if worker:
            self._open(name)["members"].append(worker)

    def _worker(self, url: str, words: list[str]) -> str:
        """Add a worker and return its name; nothing where it can't be carried over."""
        parts = urlsplit(url)
        try:
            port = parts.port or 8009
        except ValueError:
            self._omit(f"{url}: the port is no number")
            return ""
        if parts.scheme != "ajp" or not parts.hostname:
            self._omit(f"{url}: only ajp:// has a counterpart")
            return ""
        if parts.path.strip("/"):
            self._omit(f"{url}: the path {parts.path} is dropped, paths are forwarded unchanged")
        name = f"{parts.hostname}-{port}"
        made: dict[str, Any] = {"name": name, "host": parts.hostname, "port": port}
        for key, value in self._pairs(words):
            if key == "status":
                self._status(value, made)
            elif key in MEMBER:
                ours, convert = MEMBER[key]
                try:
                    made[ours] = convert(value)
                except ValueError:
                    self._omit(f"{key}={value} is no value that can be read")
            else:
                self._omit(f"{url}: {key}={value} has no counterpart")
        earlier = self._into.workers.setdefault(name, made)
        if earlier != made:
            self._omit(f"{url}: described before in another way, which stands")
        return name

    def _status(self, value: str, made: dict[str, Any]) -> None:
        for flag in value.lstrip("+"):
            if flag in ACTIVATIONS:
                made["activation"] = ACTIVATIONS[flag]
            else:
                self._omit(f"status={value}: the flag {flag} has no counterpart")

    def _pairs(self, words: list[str]) -> list[tuple[str, str]]:
        found = []
        for word in words:
            key, equals, value = word.partition("=")
            if equals:
                found.append((key.lower(), value))
            else:
                self._omit(f"{word}: not of the form KEY=VALUE")
        return found

    def _set(self, words: list[str]) -> None:
        name = self._balancer
        if words and words[0].startswith("balancer://"):
            name, words = _balancer_name(words[0]), words[1:]
        if not name:
            self._omit("ProxySet: outside a balancer it has no counterpart")
            return
        self._parameters(name, words)

    def _parameters(self, balancer: str, words: list[str]) -> None:
        made = self._open(balancer)
        for key, value in self._pairs(words):
            if key == "stickysession":
                made["sticky"] = True
                if not value.upper().startswith("JSESSIONID"):
                    self._omit(f"stickysession={value}: sessions are known by JSESSIONID only")
            elif key == "lbmethod" and value in METHODS:
                made["method"] = METHODS[value]
            else:
                self._omit(f"{key}={value} has no counterpart")

    def _pass(self, words: list[str]) -> None:
        if len(words) < 2 or not words[0].startswith("/"):
            self._omit("ProxyPass: a path and a target are needed here")
            return
        path, target, words = words[0].rstrip("/") or "/", words[1], words[2:]
        parts = urlsplit(target)
        if target == "!":
            self._omit(f"ProxyPass {path} !: paths that are left out have no counterpart")
        elif parts.scheme == "balancer":
            name = _balancer_name(target)
            self._rewrites(path, parts.path)
            self._parameters(name, words)
            self._into.mount(path, name, self._file, self._line)
        elif parts.scheme == "ajp":
            self._rewrites(path, parts.path)
            worker = self._worker(f"ajp://{parts.netloc}", words)
            if worker:
                self._into.mount(path, worker, self._file, self._line)
        else:
            self._omit(f"ProxyPass {path}: only balancer:// and ajp:// have a counterpart")

    def _rewrites(self, path: str, target: str) -> None:
        if (target.rstrip("/") or "/") != path:
            self._omit(f"ProxyPass {path} to {target or '/'}: paths are forwarded unchanged")

    def _mount(self, words: list[str]) -> None:
        if len(words) != 2 or not words[0].startswith("/"):
            self._omit("JkMount: a path and a worker are needed here")
            return
        path, name = words
        prefix = path.removesuffix("*").rstrip("|/") or "/"
        if "*" in prefix or "?" in prefix:
            self._omit(f"JkMount {path}: only a * at the end has a counterpart")
        elif name not in self._into.workers and name not in self._into.balancers:
            self._omit(f"JkMount {path}: no worker is named {name}")
        else:
            self._into.mount(prefix, name, self._file, self._line)


def _balancer_name(url: str) -> str:
    return urlsplit(url).netloc


def read(text: str, file: str, into: Imported) -> None:
    """Read an Apache configuration."""
    Reader(file, into).read(text)
