"""Results of reading the platform's store."""

from dataclasses import dataclass

from msgspec import Struct

from cowslipmill.runtime.names import Name
from cowslipmill.view.configuration import Configuration
from cowslipmill.view.server import ServerRecord


class ConfigurationUpdated(Struct, frozen=True, array_like=True, tag='config'):
    """The operator published a version of the configuration."""

    configuration: Configuration


class ServerUpdated(Struct, frozen=True, array_like=True, tag='server'):
    """A server wrote its entry.

    Attributes:
        record: The record in the entry.
        revision: Store revision of the entry.
    """

    record: ServerRecord
    revision: int


class ServerRemoved(Struct, frozen=True, array_like=True, tag='removed'):
    """A server's entry was removed from the store.

    Attributes:
        name: The server's name.
        revision: Store revision of the removal.
    """

    name: Name
    revision: int


class EvacuationChanged(
    Struct, frozen=True, array_like=True, tag='evacuation'
):
    """The evacuation of a failure domain began or ended.

    Hosts of older builds can't decode it among the events of an update.

    Attributes:
        failure_domain: The failure domain.
        revision: Store revision of the change.
        active: Whether the evacuation is in force.
    """

    failure_domain: Name
    revision: int
    active: bool


StoreEvent = (
    ConfigurationUpdated | ServerUpdated | ServerRemoved | EvacuationChanged
)


@dataclass(frozen=True, slots=True)
class InvalidEntry:
    """An entry that could not be decoded.

    Attributes:
        key: The entry's key.
        field: The invalid field.
        reason: Why the field is invalid.
    """

    key: str
    field: str
    reason: str


@dataclass(frozen=True, slots=True)
class EntryPage:
    """One page of a full read of the store.

    Attributes:
        revision: The store's revision when the page was read.
        events: One event for each valid entry that concerns a view.
        invalid: The entries that could not be decoded.
        next_key: Key after which the next page begins; empty on the last
            page.
    """

    revision: int
    events: tuple[StoreEvent, ...]
    invalid: tuple[InvalidEntry, ...]
    next_key: str


@dataclass(frozen=True, slots=True)
class EntryChanges:
    """The changes of the store since a revision.

    Attributes:
        revision: Revision from which the next read continues.
        events: The changes that concern a view, in store order.
        invalid: Changed entries that could not be decoded.
        count: Number of all changes in the response, including invalid ones
            and those that don't concern a view.
    """

    revision: int
    events: tuple[StoreEvent, ...]
    invalid: tuple[InvalidEntry, ...]
    count: int


@dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """The store no longer keeps the history since the requested revision."""


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store did not respond, or not with a valid response.

    Attributes:
        reason: Description of the failure, for log lines.
        too_large: Whether the response was larger than a host takes.
    """

    reason: str
    too_large: bool = False
