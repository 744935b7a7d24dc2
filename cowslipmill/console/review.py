"""From a draft to the next version: review, rebase, accept."""

from aiohttp.web import Request
from aiohttp.web import Response

from cowslipmill.console.draft import Draft
from cowslipmill.console.draft import seal_draft
from cowslipmill.console.forms import INVALID_STATUS
from cowslipmill.console.forms import make_overview
from cowslipmill.console.proposal import make_proposal
from cowslipmill.console.proposal import Proposal
from cowslipmill.console.site import SITE
from cowslipmill.console.work import open_work
from cowslipmill.console.work import Work
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.document.rebase import apply_difference
from cowslipmill.document.rebase import Conflict
from cowslipmill.document.rebase import drop_conflicts

CONFLICT_STATUS = 409


async def propose(work: Work) -> Proposal:
    """Returns the next version that a draft leads to.

    Raises:
        InvalidDocument: If there is none.
    """
    source = work.request.app[SITE].source
    counts = await source.count_servers()
    return make_proposal(work.operator, work.current, work.document, counts)


async def review(request: Request) -> Response:
    """Shows what a draft changes and what is dangerous in it."""
    work = await open_work(request)
    if not work.draft.starts_from(work.current):
        return make_rebase_page(work)
    try:
        proposal = await propose(work)
    except InvalidDocument as error:
        errors = tuple(str(problem) for problem in error.problems)
        return make_overview(work, errors=errors)
    return make_review_page(work, proposal, asked=False)


def make_review_page(
    work: Work, proposal: Proposal, *, asked: bool
) -> Response:
    """Returns the review page; `asked` if a confirmation was left out."""
    return work.render(
        'review.html',
        status=INVALID_STATUS if asked else 200,
        proposal=proposal,
        asked=asked,
        confirmed=set(work.form.getall('confirm', [])),
    )


def make_rebase_page(work: Work) -> Response:
    """Returns the page on which both sides' values stand."""
    return work.render(
        'rebase.html',
        status=CONFLICT_STATUS,
        conflicts=list(enumerate(work.conflicts)),
        base=work.draft.difference.base,
    )


async def rebase(request: Request) -> Response:
    """Moves a draft onto the document in force, as the operator chose."""
    work = await open_work(request)
    if work.read('seen') != work.current.digest:
        return make_rebase_page(work)
    dropped = [
        conflict
        for index, conflict in enumerate(work.conflicts)
        if not is_kept(work, index, conflict)
    ]
    rest = drop_conflicts(work.draft.difference, dropped)
    document = apply_difference(work.current.document, rest).document
    draft = Draft.lead_to(work.current, document)
    sealed = seal_draft(request.app[SITE].signer, draft)
    return work.render('rebased.html', moved=False, draft=sealed)


def is_kept(work: Work, index: int, conflict: Conflict) -> bool:
    """Tells whether the operator keeps the draft's side of a conflict."""
    return bool(conflict.field) and work.read(f'side-{index}') == 'mine'


async def accept(request: Request) -> Response:
    """Hands the next version over, once each danger is confirmed."""
    work = await open_work(request)
    answer = await try_accept(work)
    if isinstance(answer, Response):
        return answer
    return work.render('accepted.html', proposal=answer)


async def download(request: Request) -> Response:
    """Returns the next version as a file."""
    work = await open_work(request)
    answer = await try_accept(work)
    if isinstance(answer, Response):
        return answer
    name = f'{answer.document.deployment}-{answer.document.version}.json'
    return Response(
        body=answer.raw,
        content_type='application/json',
        headers={'Content-Disposition': f'attachment; filename="{name}"'},
    )


async def try_accept(work: Work) -> Proposal | Response:
    """Returns the next version, or the page that says what it needs.

    Raises:
        NothingInForce: If hosts have a newer version than the platform.
    """
    await work.request.app[SITE].source.read_base()
    if not work.draft.starts_from(work.current):
        return make_rebase_page(work)
    try:
        proposal = await propose(work)
    except InvalidDocument as error:
        errors = tuple(str(problem) for problem in error.problems)
        return make_overview(work, errors=errors)
    if proposal.find_unconfirmed(set(work.form.getall('confirm', []))):
        return make_review_page(work, proposal, asked=True)
    return proposal
