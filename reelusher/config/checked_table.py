"""Validated access to parsed configuration. A `ConfigError` names the faulty key by its path."""

from collections.abc import Collection, Mapping, Sequence, Set
from typing import Any

Address = tuple[str, int]


class ConfigError(Exception):
    """A key is missing or has an invalid value; the text starts with the path of the key."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")
        self.key = key


class CheckedTable:
    """A table of the configuration, with the path of its key. All methods that read raise `ConfigError`.

    A required key is one that is read without a default.
    """

    def __init__(self, value: Any, path: str = "") -> None:
        if not isinstance(value, Mapping):
            raise ConfigError(path or "the whole", f"a table is wanted, not {value!r:.40}")
        self._value = value
        self._path = path

    def path(self, key: str) -> str:
        """Return the path of a key from the root of the configuration, separated by dots."""
        return f"{self._path}.{key}" if self._path else key

    def __contains__(self, key: str) -> bool:
        return self._value.get(key) is not None

    @property
    def is_empty(self) -> bool:
        """Return whether the table has no keys."""
        return not self._value

    def raw(self, key: str) -> Any:
        """Return the value of a required key, unchecked."""
        if key not in self:
            raise ConfigError(self.path(key), "missing")
        return self._value[key]

    def reject_unknown_keys(self, *known: str) -> None:
        """Raise `ConfigError` for a key that is not known, which is most likely misspelled."""
        for key in self._value:
            if key not in known:
                raise ConfigError(self.path(str(key)), "unknown key")

    def _error(self, key: str, expected: str) -> ConfigError:
        return ConfigError(self.path(key), f"{expected} is wanted, not {self._value[key]!r:.60}")

    def string(self, key: str, default: str | None = None) -> str:
        """Return a string that is not empty. The default is not checked, and may be empty."""
        if default is not None and key not in self:
            return default
        value = self.raw(key)
        if not isinstance(value, str) or not value:
            raise self._error(key, "a string")
        return value

    def choice(self, key: str, choices: Collection[str], default: str | None = None) -> str:
        """Return a string that is one of `choices`."""
        value = self.string(key, default)
        if value not in choices:
            listed = sorted(choices) if isinstance(choices, Set) else choices
            raise self._error(key, "one of " + ", ".join(listed))
        return value

    def number(
        self, key: str, default: float | None = None, minimum: float = 0.0, maximum: float = float("inf")
    ) -> float:
        """Return a number from `minimum` to `maximum`, both included. The default is not checked."""
        if default is not None and key not in self:
            return default
        value = self.raw(key)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not minimum <= value <= maximum:
            bounds = (
                f"at least {minimum:g}" if maximum == float("inf") else f"from {minimum:g} to {maximum:g}"
            )
            raise self._error(key, f"a number {bounds}")
        return float(value)

    def integer(self, key: str, default: int | None = None, minimum: int = 0, maximum: int = 1 << 53) -> int:
        """Return an integer from `minimum` to `maximum`, both included."""
        value = self.number(key, default, minimum, maximum)
        if value != int(value):
            raise self._error(key, "a whole number")
        return int(value)

    def boolean(self, key: str, default: bool) -> bool:
        """Return true or false."""
        value = self._value.get(key, default)
        if not isinstance(value, bool):
            raise self._error(key, "true or false")
        return value

    def strings(self, key: str, default: Sequence[str] | None = None) -> tuple[str, ...]:
        """Return the strings of a list as a tuple, none of them empty. The default is not checked."""
        if default is not None and key not in self:
            return tuple(default)
        value = self.raw(key)
        if not isinstance(value, list) or not all(isinstance(item, str) and item for item in value):
            raise self._error(key, "a list of strings")
        return tuple(value)

    def table(self, key: str) -> "CheckedTable":
        """Return a table within this one; an empty one if the key is absent."""
        return CheckedTable(self._value.get(key, {}), self.path(key))

    def tables(self, key: str) -> list["CheckedTable"]:
        """Return a list of tables; an empty list if the key is absent."""
        value = self._value.get(key, [])
        if not isinstance(value, list):
            raise self._error(key, "a list of tables")
        return [CheckedTable(item, f"{self.path(key)}[{index}]") for index, item in enumerate(value)]

    def address(self, key: str) -> Address:
        """Return the address of a required key, which is written as HOST:PORT."""
        return address_of(self.raw(key), self.path(key))


def address_of(value: Any, key: str) -> Address:
    """Parse HOST:PORT. Raises a `ConfigError` that names `key`."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not colon or not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ConfigError(key, f"HOST:PORT is wanted, not {value!r:.60}")
    return host, int(port)
