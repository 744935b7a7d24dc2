"""Applies a difference to its base document or to a newer one."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Any

from msgspec import convert
from msgspec import ValidationError
from msgspec.structs import replace

from cowslipmill.document.difference import Action
from cowslipmill.document.difference import Change
from cowslipmill.document.difference import Difference
from cowslipmill.document.difference import document_settings
from cowslipmill.document.difference import FieldChange
from cowslipmill.document.difference import Item
from cowslipmill.document.difference import item_fields
from cowslipmill.document.difference import ITEM_TYPES
from cowslipmill.document.difference import items_by_name
from cowslipmill.document.difference import Section
from cowslipmill.document.document import Document
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.document.problem import Problem

ABSENT = 'absent'
PRESENT = 'present'


@dataclass(frozen=True, slots=True)
class Conflict:
    """A field that both sides changed to different values.

    Attributes:
        place: Section and name of the item.
        field: The field, or '' for the item as a whole.
        base: The value in the base of the difference.
        theirs: The value in the document that the difference is applied to.
        mine: The value that the difference sets.
    """

    place: str
    field: str
    base: Any
    theirs: Any
    mine: Any


@dataclass(frozen=True, slots=True)
class RebaseResult:
    """The result of applying a difference to a document.

    Attributes:
        document: The next version of the document, not validated yet.
        conflicts: Fields and items that both sides changed.
    """

    document: Document
    conflicts: tuple[Conflict, ...]


def apply_difference(
    document: Document, difference: Difference
) -> RebaseResult:
    """Applies a difference; on a conflict the difference wins.

    A change to an item that no longer exists is reported as a conflict and
    not applied.

    Args:
        document: The difference's base or any later document.
        difference: The changes to apply.

    Returns:
        The next version of the document and the conflicts.

    Raises:
        InvalidDocument: If the fields of a changed item are invalid.
    """
    conflicts: list[Conflict] = []
    sections: dict[str, Any] = {}
    for section in Section:
        items = items_by_name(document, section)
        for change in difference.changes:
            if change.section is section:
                apply_change(items, change, conflicts)
        sections[section.value] = tuple(items.values())
    settings = apply_fields(
        document_settings(document), difference.settings, '$', conflicts
    )
    changed = replace(
        document,
        version=document.version + 1,
        base=document.version,
        **sections,
        **settings,
    )
    return RebaseResult(changed, tuple(conflicts))


def drop_conflicts(
    difference: Difference, dropped: Collection[Conflict]
) -> Difference:
    """Returns the difference without its changes in some conflicts."""
    places = {(conflict.place, conflict.field) for conflict in dropped}
    changes = [
        drop_fields(change, places)
        for change in difference.changes
        if not is_dropped(change, places)
    ]
    settings = tuple(
        field
        for field in difference.settings
        if ('$', field.field) not in places
    )
    return Difference(
        base=difference.base, changes=tuple(changes), settings=settings
    )


def preserve_base_values(
    difference: Difference, older: Difference
) -> Difference:
    """Returns a difference that keeps the base values of an older one.

    A draft may be edited further after a newer document came into force. If
    its base values were then taken from the newer document, a rebase would
    not find its conflicts.

    Args:
        difference: The changes from the document in force to the draft.
        older: The difference of the draft before its last edit.
    """
    before = {
        (change_place(change), field.field): field.before
        for change in older.changes
        for field in change.fields
    }
    changes = tuple(
        replace(
            change,
            fields=tuple(
                replace(
                    field,
                    before=before.get(
                        (change_place(change), field.field), field.before
                    ),
                )
                for field in change.fields
            ),
        )
        for change in difference.changes
    )
    return replace(difference, base=older.base, changes=changes)


def change_place(change: Change) -> str:
    """Returns the section and the name of a changed item."""
    return f'{change.section.value} {change.name}'


def is_dropped(change: Change, places: set[tuple[str, str]]) -> bool:
    """Returns whether a change is dropped as a whole.

    A removal is dropped if any conflict of its item is dropped.
    """
    place = change_place(change)
    if change.action is Action.REMOVED:
        return any(place == other for other, _ in places)
    return (place, '') in places


def drop_fields(change: Change, places: set[tuple[str, str]]) -> Change:
    """Returns a change without the fields that are dropped."""
    place = change_place(change)
    fields = tuple(
        field for field in change.fields if (place, field.field) not in places
    )
    return replace(change, fields=fields)


def apply_change(
    items: dict[str, Item], change: Change, conflicts: list[Conflict]
) -> None:
    """Applies one change to the items and appends its conflicts."""
    place = change_place(change)
    theirs = items.get(change.name)
    if change.action is Action.REMOVED:
        if theirs is not None:
            conflicts += find_removal_conflicts(theirs, change, place)
            del items[change.name]
        return
    if change.action is Action.CHANGED and theirs is None:
        conflicts.append(Conflict(place, '', PRESENT, ABSENT, PRESENT))
        return
    fields = apply_fields(item_fields(theirs), change.fields, place, conflicts)
    items[change.name] = make_item(change, fields)


def find_removal_conflicts(
    theirs: Item, change: Change, place: str
) -> list[Conflict]:
    """Returns a conflict for each changed field of an item to remove."""
    now = item_fields(theirs)
    return [
        Conflict(place, field.field, field.before, now[field.field], ABSENT)
        for field in change.fields
        if now.get(field.field) != field.before
    ]


def apply_fields(
    values: dict[str, Any],
    changes: tuple[FieldChange, ...],
    place: str,
    conflicts: list[Conflict],
) -> dict[str, Any]:
    """Returns the values with changes applied and appends conflicts.

    An empty mapping stands for an item that does not exist, which has no
    conflicts.
    """
    result = dict(values)
    for change in changes:
        theirs = values.get(change.field)
        if values and theirs not in (change.before, change.after):
            conflicts.append(
                Conflict(
                    place, change.field, change.before, theirs, change.after
                )
            )
        result[change.field] = change.after
    return result


def make_item(change: Change, fields: dict[str, Any]) -> Item:
    """Returns an item made of the given fields.

    Raises:
        InvalidDocument: If the fields are invalid for its type.
    """
    item_type = ITEM_TYPES[change.section]
    try:
        return convert(fields, item_type)
    except ValidationError as error:
        path = f'$.{change.section.value}[{change.name}]'
        raise InvalidDocument((Problem(path, str(error)),)) from error
