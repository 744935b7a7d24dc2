"""Names in messages, and what is kept for each of them."""

from typing import Annotated
from typing import TypeVar

from msgspec import Meta

# Longest name of a host, a backend server or a failure domain.
MAX_NAME_CHARACTERS = 200
# Longest name of a service or a route.
MAX_LONG_NAME_CHARACTERS = 1_024
# Names for which something learned is kept, of each kind.
MAX_NAMES = 4_096

Name = Annotated[str, Meta(max_length=MAX_NAME_CHARACTERS)]
LongName = Annotated[str, Meta(max_length=MAX_LONG_NAME_CHARACTERS)]

K = TypeVar('K')
V = TypeVar('V')


class BoundedDict(dict[K, V]):
    """A dictionary that forgets the first key added once it is full.

    Attributes:
        max_entries: Most keys that it holds.
    """

    __slots__ = ('max_entries',)

    def __init__(self, max_entries: int = MAX_NAMES) -> None:
        """Starts empty."""
        super().__init__()
        self.max_entries = max_entries

    def __setitem__(self, key: K, value: V) -> None:
        """Sets the value of a key, in place of the first one if full."""
        if key not in self and len(self) >= self.max_entries:
            del self[next(iter(self))]
        super().__setitem__(key, value)

    def setdefault(self, key: K, default: V) -> V:
        """Returns the value of a key, which is set if there is none."""
        value = self.get(key)
        if value is None:
            self[key] = value = default
        return value
