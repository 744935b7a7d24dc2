"""The services and routes of a document that belong to one team."""

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
        The next version; the whole document has been validated.

    Raises:
        InvalidDocument: If an item belongs to another team, or the merged
            document is invalid.
    """
    merged = replace(
        base,
        version=base.version + 1,
        base=base.version,
        services=replace_items(base.services, services, team),
        routes=replace_items(base.routes, routes, team),
    )
    problems = tuple(check_draft_ownership(base, merged, team))
    problems = problems or tuple(check_document(merged))
    if problems:
        raise InvalidDocument(problems)
    return merged


def replace_items(
    old: tuple[T, ...], new: tuple[T, ...], team: str
) -> tuple[T, ...]:
    """Returns the items with those of one team replaced.

    An item that existed before keeps its position; new ones are appended.
    """
    remaining = {item.name: item for item in new}
    result: list[T] = []
    for item in old:
        if item.team != team:
            result.append(item)
        elif item.name in remaining:
            result.append(remaining.pop(item.name))
    return (*result, *(item for item in new if item.name in remaining))


def check_draft_ownership(
    base: Document, draft: Document, team: str
) -> Iterator[Problem]:
    """Yields a problem for each change to what the team does not own."""
    difference = compare_documents(base, draft)
    yield from check_change_ownership(difference, base, team)


def check_change_ownership(
    difference: Difference, base: Document, team: str
) -> Iterator[Problem]:
    """Yields a problem for each change to what the team does not own.

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
            path = f'$.{change.section.value}[{change.name}]'
            yield Problem(path, f'belongs to {owner!r}, not to {team!r}')


def find_owners(change: Change, base: Document) -> set[str]:
    """Returns the owners whose permission a change needs.

    These are the owners of the item before and after the change. The list
    of teams belongs to the operators of all teams.
    """
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
