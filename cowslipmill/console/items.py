"""Putting items into a document and finding what is wrong with them."""

from collections.abc import Iterable
import re
from typing import Any

from msgspec.structs import replace

from cowslipmill.console.fields import explain
from cowslipmill.document.difference import Item
from cowslipmill.document.difference import Section
from cowslipmill.document.document import Document
from cowslipmill.document.problem import Problem

FIELD_PATH = re.compile(r'^\$\.(\w+)\[(\d+)\]\.(\w+)')


def find_item(document: Document, section: Section, name: str) -> Item | None:
    """Returns an item by name, or None."""
    items: tuple[Item, ...] = getattr(document, section.value)
    return next((item for item in items if item.name == name), None)


def put_item(
    document: Document, section: Section, original: str, item: Item
) -> Document:
    """Returns a document with an item in the place of the original.

    Args:
        document: The document.
        section: The item's section.
        original: Name that it had so far, or '' for a new item.
        item: The item.
    """
    items: tuple[Item, ...] = getattr(document, section.value)
    known = {other.name for other in items}
    changed = tuple(
        item if other.name == original else other for other in items
    )
    if original not in known:
        changed = (*items, item)
    return replace_section(document, section, changed)


def remove_item(document: Document, section: Section, name: str) -> Document:
    """Returns a document without an item."""
    items: tuple[Item, ...] = getattr(document, section.value)
    left = tuple(item for item in items if item.name != name)
    return replace_section(document, section, left)


def replace_section(
    document: Document, section: Section, items: tuple[Item, ...]
) -> Document:
    """Returns a document with other items in one section."""
    content: dict[str, Any] = {section.value: items}
    return replace(document, **content)


def sort_problems(
    problems: Iterable[Problem],
    document: Document,
    section: Section,
    name: str,
) -> tuple[dict[str, str], list[str]]:
    """Sorts the problems of a document for the form of one item.

    Returns:
        Problems by field of the item, and all others.
    """
    items: tuple[Item, ...] = getattr(document, section.value)
    names = [item.name for item in items]
    beside: dict[str, str] = {}
    others: list[str] = []
    for problem in problems:
        found = FIELD_PATH.match(problem.path)
        if found and found[1] == section.value:
            if names[int(found[2])] == name:
                beside[found[3]] = explain(problem)
                continue
        others.append(str(problem))
    return beside, others
