"""The errors of stored state."""


class StorageError(Exception):
    """State can't be read or written."""


class JournalError(StorageError):
    """The state can't be read, or a change can't be stored; the text names file and position, if known."""


class DamagedFileError(StorageError):
    """A file holds invalid data that is not an incomplete append."""

    def __init__(self, position: int, reason: str) -> None:
        super().__init__(f"at byte {position}: {reason}")
        self.position = position


class UnreadableStateError(StorageError):
    """A stored state or change has an unknown format, or a change does not fit the state before it.

    The text names the field or the change.
    """


class DirectoryLockedError(StorageError, OSError):
    """Another process uses the directory."""
