"""Forms for teams, services and routes."""

from typing import Any

from aiohttp.web import HTTPBadRequest
from aiohttp.web import Request
from aiohttp.web import Response
from msgspec import convert
from msgspec.structs import replace

from cowslipmill.console.fields import explain
from cowslipmill.console.fields import make_fields
from cowslipmill.console.fields import parse_number
from cowslipmill.console.fields import parse_typed
from cowslipmill.console.fields import read_typed
from cowslipmill.console.fields import show_item
from cowslipmill.console.items import find_item
from cowslipmill.console.items import put_item
from cowslipmill.console.items import remove_item
from cowslipmill.console.items import sort_problems
from cowslipmill.console.work import find_own
from cowslipmill.console.work import open_work
from cowslipmill.console.work import Work
from cowslipmill.document.checker import check_document
from cowslipmill.document.decoder import find_problems
from cowslipmill.document.difference import Item
from cowslipmill.document.difference import ITEM_TYPES
from cowslipmill.document.difference import Section
from cowslipmill.document.document import Document
from cowslipmill.document.problem import Problem
from cowslipmill.document.teamsections import check_change_ownership

INVALID_STATUS = 422
NOUNS = {
    Section.TEAMS: 'team',
    Section.SERVICES: 'service',
    Section.ROUTES: 'route',
}


async def show_overview(request: Request) -> Response:
    """Shows the document in force with the draft applied."""
    return make_overview(await open_work(request))


def make_overview(
    work: Work,
    *,
    errors: tuple[str, ...] = (),
    document: Document | None = None,
    memory: str | None = None,
) -> Response:
    """Returns the overview.

    Args:
        work: The form at hand.
        errors: What kept its last action from being done.
        document: The changed document, or None if nothing changed.
        memory: What was typed as the memory for resends, if it was wrong.
    """
    shown = document or work.document
    sections = [(section, NOUNS[section]) for section in Section]
    own = {
        section: find_own(getattr(shown, section.value), work.operator)
        for section in Section
    }
    draft = work.seal(document)
    changed = document is not None or bool(
        work.draft.difference.changes or work.draft.difference.settings
    )
    return work.render(
        'overview.html',
        status=INVALID_STATUS if errors else 200,
        document=shown,
        draft=draft,
        sections=sections,
        own=own,
        errors=errors,
        changed=changed,
        memory=memory or str(shown.resend_memory_ms),
    )


def split_target(text: str) -> tuple[Section, str]:
    """Returns section and name of a button's value, such as `routes:x`.

    Raises:
        HTTPBadRequest: If it names no section.
    """
    label, _, name = text.partition(':')
    try:
        return Section(label), name
    except ValueError:
        raise HTTPBadRequest(reason='No such section') from None


async def show_form(request: Request) -> Response:
    """Shows the form of one item, or of a new one."""
    work = await open_work(request)
    section, name = split_target(work.read('target'))
    item = find_item(work.document, section, name)
    if item is None:
        typed = {field.name: field.default for field in make_fields(section)}
        typed |= {'team': work.operator.team or ''} if 'team' in typed else {}
        return make_form(work, section, '', typed)
    return make_form(work, section, name, show_item(item))


def make_form(
    work: Work,
    section: Section,
    original: str,
    typed: dict[str, str],
    beside: dict[str, str] | None = None,
    others: list[str] | None = None,
) -> Response:
    """Returns the form of one item.

    Args:
        work: The form at hand.
        section: The item's section.
        original: Its name so far, or '' for a new item.
        typed: Text of each field.
        beside: Problems by field.
        others: Problems of no one field.
    """
    failed = bool(beside or others)
    return work.render(
        'edit.html',
        status=INVALID_STATUS if failed else 200,
        section=section,
        noun=NOUNS[section],
        original=original,
        fields=make_fields(section),
        typed=typed,
        beside=beside or {},
        others=others or [],
        teams=[team.name for team in work.document.teams],
        services=[service.name for service in work.document.services],
    )


async def save(request: Request) -> Response:
    """Takes an item into the draft, or shows the form with its faults."""
    work = await open_work(request)
    section, original = split_target(work.read('target'))
    typed = read_typed(section, work.form)
    values, problems = parse_typed(section, typed)
    if problems:
        beside = {
            problem.path.removeprefix('$.').partition('[')[0]: explain(problem)
            for problem in problems
        }
        return make_form(work, section, original, typed, beside)
    item: Item = convert(values, ITEM_TYPES[section])
    wanted = put_item(work.document, section, original, item)
    found, others = sort_problems(
        find_faults(work, wanted), wanted, section, item.name
    )
    if found or others:
        return make_form(work, section, original, typed, found, others)
    return make_overview(work, document=wanted)


def find_faults(work: Work, wanted: Document) -> list[Problem]:
    """Returns what keeps a document from being the operator's draft."""
    problems = list(check_document(wanted))
    team = work.operator.team
    if not problems and team is not None:
        difference = work.lead_to(wanted).difference
        problems += check_change_ownership(
            difference, work.current.document, team
        )
    return problems


async def remove(request: Request) -> Response:
    """Takes an item out, unless the rest needs it."""
    work = await open_work(request)
    section, name = split_target(work.read('target'))
    wanted = remove_item(work.document, section, name)
    faults = tuple(str(problem) for problem in find_faults(work, wanted))
    if faults:
        return make_overview(work, errors=faults)
    return make_overview(work, document=wanted)


async def save_settings(request: Request) -> Response:
    """Takes the fields of the document itself into the draft."""
    work = await open_work(request)
    typed = work.read('resend_memory_ms').strip()
    content: dict[str, Any] = {'resend_memory_ms': parse_number(typed)}
    wanted = replace(work.document, **content)
    faults = find_problems(
        {
            'version': 1,
            'deployment': 'x',
            'teams': [],
            'services': [],
            'routes': [],
            **content,
        },
        Document,
        '$',
    ) or find_faults(work, wanted)
    if faults:
        errors = tuple(
            f'{problem.path}: {explain(problem)}' for problem in faults
        )
        return make_overview(work, errors=errors, memory=typed)
    return make_overview(work, document=wanted)
