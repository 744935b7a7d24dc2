"""What a read of the store tells."""

from dataclasses import dataclass

from msgspec import Struct

from cowslipmill.view.configuration import Configuration
from cowslipmill.view.server import ServerRecord


class ConfigurationUpdated(Struct, frozen=True, array_like=True, tag='config'):
    """The operator published a configuration."""

    configuration: Configuration


class ServerUpdated(Struct, frozen=True, array_like=True, tag='server'):
    """A server described itself.

    Attributes:
        record: What it says.
        revision: Revision of its entry in the store.
    """

    record: ServerRecord
    revision: int


class ServerRemoved(Struct, frozen=True, array_like=True, tag='removed'):
    """A server's entry is gone from the store."""

    name: str
    revision: int


StoreEvent = ConfigurationUpdated | ServerUpdated | ServerRemoved


@dataclass(frozen=True, slots=True)
class InvalidEntry:
    """An entry that can't be used.

    Attributes:
        key: The entry's key.
        field: The faulty field.
        reason: What is wrong with it.
    """

    key: str
    field: str
    reason: str


@dataclass(frozen=True, slots=True)
class EntryPage:
    """Part of what the store holds.

    Attributes:
        revision: The store's revision when it was read.
        events: One for each usable entry.
        invalid: The entries that can't be used.
        next_key: Key after which the next page begins, or nothing.
    """

    revision: int
    events: tuple[StoreEvent, ...]
    invalid: tuple[InvalidEntry, ...]
    next_key: str


@dataclass(frozen=True, slots=True)
class EntryChanges:
    """What changed since a revision.

    Attributes:
        revision: Where to continue.
        events: The changes in their order.
        invalid: Entries that can't be used.
        count: Changes told, also those of no concern.
    """

    revision: int
    events: tuple[StoreEvent, ...]
    invalid: tuple[InvalidEntry, ...]
    count: int


@dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """The store no longer has the history asked for."""


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store gave no usable answer.

    Attributes:
        reason: One sentence.
    """

    reason: str
