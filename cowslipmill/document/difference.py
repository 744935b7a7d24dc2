"""Differences between two documents as typed values."""

from collections.abc import Iterator
from enum import Enum
from typing import Any

from msgspec import json
from msgspec import Struct

from cowslipmill.document.document import Document
from cowslipmill.document.document import Route
from cowslipmill.document.document import Service
from cowslipmill.document.document import Team

Item = Team | Service | Route


class Section(Enum):
    """A list of named items in a document."""

    TEAMS = 'teams'
    SERVICES = 'services'
    ROUTES = 'routes'


class Action(Enum):
    """What happens to an item."""

    ADDED = 'added'
    CHANGED = 'changed'
    REMOVED = 'removed'


ITEM_TYPES: dict[Section, type[Item]] = {
    Section.TEAMS: Team,
    Section.SERVICES: Service,
    Section.ROUTES: Route,
}


class FieldChange(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """One field's JSON value before and after; None where it has none."""

    field: str
    before: Any = None
    after: Any = None


class Change(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One item that was added, changed or removed.

    An added or removed item lists all its fields, a changed one those that
    differ.
    """

    action: Action
    section: Section
    name: str
    fields: tuple[FieldChange, ...]


class Difference(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """What leads from one document to another.

    Attributes:
        base: Version that the changes start from.
        changes: Items in the order of the document.
        settings: Fields of the document itself.
    """

    base: int
    changes: tuple[Change, ...] = ()
    settings: tuple[FieldChange, ...] = ()


def items_by_name(document: Document, section: Section) -> dict[str, Item]:
    """Returns the items of a section by name, in document order."""
    items: tuple[Item, ...] = getattr(document, section.value)
    return {item.name: item for item in items}


def compare_documents(before: Document, after: Document) -> Difference:
    """Returns the changes that turn one document into the other."""
    changes = tuple(
        change
        for section in Section
        for change in compare_sections(before, after, section)
    )
    settings = compare_fields(
        document_settings(before), document_settings(after)
    )
    return Difference(base=before.version, changes=changes, settings=settings)


def document_settings(document: Document) -> dict[str, Any]:
    """Returns the top-level fields that operators edit."""
    return {'resend_memory_ms': document.resend_memory_ms}


def compare_sections(
    before: Document, after: Document, section: Section
) -> Iterator[Change]:
    """Yields the changes of one section."""
    old = items_by_name(before, section)
    new = items_by_name(after, section)
    for name in [*old, *(name for name in new if name not in old)]:
        change = compare_items(section, name, old.get(name), new.get(name))
        if change is not None:
            yield change


def compare_items(
    section: Section, name: str, before: Item | None, after: Item | None
) -> Change | None:
    """Returns the change of one item, or None if it is unchanged."""
    if before == after:
        return None
    action = Action.CHANGED
    if before is None:
        action = Action.ADDED
    if after is None:
        action = Action.REMOVED
    return Change(
        action=action,
        section=section,
        name=name,
        fields=compare_fields(item_fields(before), item_fields(after)),
    )


def item_fields(item: Item | None) -> dict[str, Any]:
    """Returns the fields of an item as JSON values."""
    if item is None:
        return {}
    # The round trip through JSON turns tuples into lists, as in a decoded
    # difference, so that values of both compare equal.
    fields: dict[str, Any] = json.decode(json.encode(item))
    return fields


def compare_fields(
    before: dict[str, Any], after: dict[str, Any]
) -> tuple[FieldChange, ...]:
    """Returns the fields that differ."""
    return tuple(
        FieldChange(field=name, before=before.get(name), after=after.get(name))
        for name in {**before, **after}
        if before.get(name) != after.get(name)
    )
