"""The sections of a document that belong to one team."""

from collections.abc import Iterator
from typing import TypeVar

from msgspec.structs import replace

from cowslipmill.document.checker import check_document
from cowslipmill.document.difference import Change
from cowslipmill.document.difference import compare_documents
from cowslipmill.document.difference import Difference
from cowslipmill.document.difference import Section
from cowslipmill.document.document import Document
from cowslipmill.document.document import Route
from cowslipmill.document.document import Service
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.document.problem import Problem

T = TypeVar('T', bound=Service | Route)


def merge_team_sections(
    base: Document,
    team: str,
    *,
    services: tuple[Service, ...],
    routes: tuple[Route, ...],
) -> Document:
    """Replaces the services and routes of one team.

    Args:
        base: The document to build on.
        team: Name of the team.
        services: All services of the team.
        routes: All routes of the team.

    Returns:
        The next version, checked as a whole.

    Raises:
        InvalidDocument: If an item is another team's, or the whole is
            invalid.
    """
    merged = replace(
        base,
        version=base.version + 1,
        base=base.version,
        services=replace_items(base.services, services, team),
        routes=replace_items(base.routes, routes, team),
    )
    problems = tuple(find_foreign_changes(base, merged, team))
    problems = problems or tuple(check_document(merged))
    if problems:
        raise InvalidDocument(problems)
    return merged


def replace_items(
    old: tuple[T, ...], new: tuple[T, ...], team: str
) -> tuple[T, ...]:
    """Replaces one team's items, each in its old place where it had one."""
    left = {item.name: item for item in new}
    kept: list[T] = []
    for item in old:
        if item.team != team:
            kept.append(item)
        elif item.name in left:
            kept.append(left.pop(item.name))
    return (*kept, *(item for item in new if item.name in left))


def find_foreign_changes(
    base: Document, draft: Document, team: str
) -> Iterator[Problem]:
    """Yields a fault for each change outside one team's sections."""
    difference = compare_documents(base, draft)
    yield from check_change_ownership(difference, base, team)


def check_change_ownership(
    difference: Difference, base: Document, team: str
) -> Iterator[Problem]:
    """Yields a fault for each part of a difference that is not one team's.

    Args:
        difference: The changes.
        base: The document that they are applied to.
        team: The team that makes them.
    """
    for setting in difference.settings:
        yield Problem(f'$.{setting.field}', f'not a field of team {team!r}')
    for change in difference.changes:
        owners = find_owners(change, base) - {team}
        for owner in sorted(owners):
            place = f'$.{change.section.value}[{change.name}]'
            yield Problem(place, f'belongs to {owner!r}, not to {team!r}')


def find_owners(change: Change, base: Document) -> set[str]:
    """Returns the teams that a change takes from or gives to."""
    if change.section is Section.TEAMS:
        return {'the operators of all teams'}
    owners = {
        owner
        for field in change.fields
        if field.field == 'team'
        for owner in (field.before, field.after)
        if owner is not None
    }
    items: tuple[Service | Route, ...] = getattr(base, change.section.value)
    owners.update(item.team for item in items if item.name == change.name)
    return owners
