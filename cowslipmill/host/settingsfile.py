"""Detects changes of the settings file."""

from pathlib import Path


class SettingsFile:
    """A settings file that is checked for changes.

    Attributes:
        path: The file's path.
        signature: The file's inode, modification time and size at the last
            check; None if it was missing at the first one.
    """

    __slots__ = ('path', 'signature')

    def __init__(self, path: Path) -> None:
        """Records the file's present signature."""
        self.path = path
        self.signature = self.read_signature()

    def read_signature(self) -> tuple[int, int, int] | None:
        """Returns the file's inode, modification time and size.

        None if the file is missing, as it is while it is being replaced.
        """
        try:
            status = self.path.stat()
        except OSError:
            return None
        return status.st_ino, status.st_mtime_ns, status.st_size

    def detect_change(self) -> bool:
        """Tells whether the file has changed since the last check.

        A missing file is no change; the check compares again once it is back.
        """
        signature = self.read_signature()
        if signature is None or signature == self.signature:
            return False
        self.signature = signature
        return True
