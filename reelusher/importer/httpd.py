"""Imports Apache configuration: balancer:// with BalancerMember and ProxySet, ProxyPass, JkMount."""

import re
import shlex
from collections.abc import Callable
from typing import Any
from urllib.parse import urlsplit

from reelusher.importer.model import Imported

ACTIVATIONS = {"D": "stopped", "S": "stopped", "N": "disabled"}  # by status flag, if it has a counterpart
METHODS = {"byrequests": "requests", "bybusyness": "busyness"}  # balancing methods by `lbmethod`
DIRECTIVE = re.compile(r"\s*(\S+)\s*(.*)", re.DOTALL)
# skipped without an omission, as are all directives whose names do not begin with proxy, jk or balancer
IGNORED_DIRECTIVES = frozenset({"requestheader", "header", "servername", "listen", "loadmodule"})


def _milliseconds(text: str) -> int:
    """Convert a duration of Apache, in seconds unless it ends in `ms`. Raises ValueError for other units."""
    return int(text[:-2]) if text.endswith("ms") else int(text) * 1000


# for each parameter of a member, the key of a worker in an operator's file and the conversion of the value
MEMBER_PARAMETERS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "loadfactor": ("factor", lambda text: max(1, round(float(text)))),
    "route": ("route", str),
    "secret": ("secret", str),
    "retry": ("recover_ms", _milliseconds),
    "ping": ("cping_timeout_ms", _milliseconds),
    "timeout": ("reply_timeout_ms", _milliseconds),
    "connectiontimeout": ("connect_timeout_ms", _milliseconds),
    "max": ("connections", int),
}


class Reader:
    """Reads one file line by line and adds what it finds to the result of the import."""

    def __init__(self, file: str, imported: Imported) -> None:
        self._file = file
        self._imported = imported
        self._balancer = ""  # balancer of the <Proxy> block that is open
        self._line = 0  # number of the line that the current directive starts on
        self._handlers: dict[str, Callable[[list[str]], None]] = {
            "balancermember": self._balancer_member,
            "proxyset": self._proxy_set,
            "proxypass": self._proxy_pass,
            "jkmount": self._jk_mount,
        }

    def read(self, text: str) -> None:
        """Read all directives; a directive continues after a line that ends in a backslash."""
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
        for name in [name for name, balancer in self._imported.balancers.items() if not balancer["members"]]:
            self._omit(f"balancer {name} has no member that could be carried over")
            del self._imported.balancers[name]

    def _omit(self, reason: str) -> None:
        self._imported.add_omission(self._file, self._line, reason)

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
        handler = self._handlers.get(name.lower())
        if handler is not None:
            handler(words)
        elif name.lower() not in IGNORED_DIRECTIVES and name.lower().startswith(("proxy", "jk", "balancer")):
            self._omit(f"{name} has no counterpart")

    def _block(self, line: str) -> None:
        words = line.strip("<>").replace('"', "").split()
        if words and words[0].lower() == "proxy" and len(words) > 1 and words[1].startswith("balancer://"):
            self._balancer = _balancer_name(words[1])
            self._get_or_add_balancer(self._balancer)
        elif words and words[0].lower() == "/proxy":
            self._balancer = ""
        elif words and words[0].lower() in ("location", "virtualhost", "proxymatch", "locationmatch"):
            self._omit(f"{line}: what stands in such a block is read as if it stood outside")

    def _get_or_add_balancer(self, name: str) -> dict[str, Any]:
        return self._imported.balancers.setdefault(name, {"name": name, "members": [], "sticky": False})

    def _balancer_member(self, words: list[str]) -> None:
        name = self._balancer
        if words and words[0].startswith("balancer://"):
            name, words = _balancer_name(words[0]), words[1:]
        if not name or not words:
            self._omit("BalancerMember: no balancer or no member is named")
            return
        worker = self._worker(words[0], words[1:])
        if worker:
            self._get_or_add_balancer(name)["members"].append(worker)

    def _worker(self, url: str, words: list[str]) -> str:
        """Add a worker and return its name; return an empty string if it can't be imported."""
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
        worker: dict[str, Any] = {"name": name, "host": parts.hostname, "port": port}
        for key, value in self._key_value_pairs(words):
            if key == "status":
                self._status(value, worker)
            elif key in MEMBER_PARAMETERS:
                worker_key, convert = MEMBER_PARAMETERS[key]
                try:
                    worker[worker_key] = convert(value)
                except ValueError:
                    self._omit(f"{key}={value} is no value that can be read")
            else:
                self._omit(f"{url}: {key}={value} has no counterpart")
        earlier = self._imported.workers.setdefault(name, worker)
        if earlier != worker:
            self._omit(f"{url}: described before in another way, which stands")
        return name

    def _status(self, value: str, worker: dict[str, Any]) -> None:
        for flag in value.lstrip("+"):
            if flag in ACTIVATIONS:
                worker["activation"] = ACTIVATIONS[flag]
            else:
                self._omit(f"status={value}: the flag {flag} has no counterpart")

    def _key_value_pairs(self, words: list[str]) -> list[tuple[str, str]]:
        pairs = []
        for word in words:
            key, equals, value = word.partition("=")
            if equals:
                pairs.append((key.lower(), value))
            else:
                self._omit(f"{word}: not of the form KEY=VALUE")
        return pairs

    def _proxy_set(self, words: list[str]) -> None:
        name = self._balancer
        if words and words[0].startswith("balancer://"):
            name, words = _balancer_name(words[0]), words[1:]
        if not name:
            self._omit("ProxySet: outside a balancer it has no counterpart")
            return
        self._parameters(name, words)

    def _parameters(self, name: str, words: list[str]) -> None:
        balancer = self._get_or_add_balancer(name)
        for key, value in self._key_value_pairs(words):
            if key == "stickysession":
                balancer["sticky"] = True
                if not value.upper().startswith("JSESSIONID"):
                    self._omit(f"stickysession={value}: sessions are known by JSESSIONID only")
            elif key == "lbmethod" and value in METHODS:
                balancer["method"] = METHODS[value]
            else:
                self._omit(f"{key}={value} has no counterpart")

    def _proxy_pass(self, words: list[str]) -> None:
        if len(words) < 2 or not words[0].startswith("/"):
            self._omit("ProxyPass: a path and a target are needed here")
            return
        path, target, words = words[0].rstrip("/") or "/", words[1], words[2:]
        parts = urlsplit(target)
        if target == "!":
            self._omit(f"ProxyPass {path} !: paths that are left out have no counterpart")
        elif parts.scheme == "balancer":
            name = _balancer_name(target)
            self._omit_rewrite(path, parts.path)
            self._parameters(name, words)
            self._imported.mount(path, name, self._file, self._line)
        elif parts.scheme == "ajp":
            self._omit_rewrite(path, parts.path)
            worker = self._worker(f"ajp://{parts.netloc}", words)
            if worker:
                self._imported.mount(path, worker, self._file, self._line)
        else:
            self._omit(f"ProxyPass {path}: only balancer:// and ajp:// have a counterpart")

    def _omit_rewrite(self, path: str, target: str) -> None:
        """Record an omission if the path of a target differs from the one that its ProxyPass maps to it."""
        if (target.rstrip("/") or "/") != path:
            self._omit(f"ProxyPass {path} to {target or '/'}: paths are forwarded unchanged")

    def _jk_mount(self, words: list[str]) -> None:
        if len(words) != 2 or not words[0].startswith("/"):
            self._omit("JkMount: a path and a worker are needed here")
            return
        path, name = words
        prefix = path.removesuffix("*").rstrip("|/") or "/"
        if "*" in prefix or "?" in prefix:
            self._omit(f"JkMount {path}: only a * at the end has a counterpart")
        elif name not in self._imported.workers and name not in self._imported.balancers:
            self._omit(f"JkMount {path}: no worker is named {name}")
        else:
            self._imported.mount(prefix, name, self._file, self._line)


def _balancer_name(url: str) -> str:
    return urlsplit(url).netloc


def read(text: str, file: str, imported: Imported) -> None:
    """Add an Apache configuration to the result of an import; `file` is its name in omissions."""
    Reader(file, imported).read(text)
