"""The errors of stored state."""


class StorageError(Exception):
    """State can't be read or written."""


class JournalError(StorageError):
    """The state can't be read, or can't be changed any more; the text names file and position."""


class DamagedFileError(StorageError):
    """A file holds data that can't be read and is no incomplete append."""

    def __init__(self, position: int, reason: str) -> None:
        super().__init__(f"at byte {position}: {reason}")
        self.position = position


class UnreadableStateError(StorageError):
    """A change or a state has a form that this version does not know; the text names the field."""


class DirectoryLockedError(StorageError, OSError):
    """Another process uses the directory."""
