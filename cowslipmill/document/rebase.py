"""Applying a difference to a document, also to a newer one."""

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
    """A field that both sides changed, and not to the same value.

    Attributes:
        place: Section and name of the item.
        field: The field, or '' for the item itself.
        base: The value that the difference starts from.
        theirs: The value in the document that it is applied to.
        mine: The value that the difference sets.
    """

    place: str
    field: str
    base: Any
    theirs: Any
    mine: Any


@dataclass(frozen=True, slots=True)
class Applied:
    """A document with a difference applied.

    Attributes:
        document: The new document, one version on, not yet checked.
        conflicts: Where the difference overrode another change.
    """

    document: Document
    conflicts: tuple[Conflict, ...]


def apply_difference(document: Document, difference: Difference) -> Applied:
    """Applies a difference; where both sides changed, the difference wins.

    A change of an item that is gone is a conflict and is left out.

    Args:
        document: The difference's base or any later document.
        difference: The changes.

    Returns:
        The document of the next version and what was overridden.

    Raises:
        InvalidDocument: If a change leaves no valid item.
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
    return Applied(changed, tuple(conflicts))


def drop_conflicts(
    difference: Difference, dropped: Collection[Conflict]
) -> Difference:
    """Returns the difference without its side of some conflicts."""
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
    """Returns a difference whose fields start where an older one does.

    A draft that goes on after a newer document came into force would else
    forget which values it once started from, and hide its conflicts.

    Args:
        difference: From the document in force to the draft.
        older: The draft's difference before its last edit.
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
    """Returns section and name of a changed item."""
    return f'{change.section.value} {change.name}'


def is_dropped(change: Change, places: set[tuple[str, str]]) -> bool:
    """Tells whether a whole change is given up."""
    place = change_place(change)
    if change.action is Action.REMOVED:
        return any(place == other for other, _ in places)
    return (place, '') in places


def drop_fields(change: Change, places: set[tuple[str, str]]) -> Change:
    """Returns a change without the fields that are given up."""
    place = change_place(change)
    fields = tuple(
        field for field in change.fields if (place, field.field) not in places
    )
    return replace(change, fields=fields)


def apply_change(
    items: dict[str, Item], change: Change, conflicts: list[Conflict]
) -> None:
    """Applies one change to the items of its section."""
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
    """Returns a conflict for each field changed in an item to be removed."""
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
    """Returns the values with changes applied, and notes conflicts."""
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
    """Returns the item that its fields describe.

    Raises:
        InvalidDocument: If they describe none.
    """
    kind = ITEM_TYPES[change.section]
    try:
        return convert(fields, kind)
    except ValidationError as error:
        place = f'$.{change.section.value}[{change.name}]'
        raise InvalidDocument((Problem(place, str(error)),)) from error
