"""The administration API."""

from aiohttp.web import Request
from aiohttp.web import Response
from msgspec import json
from msgspec import Struct

from cowslipmill.console.messages import Accepted
from cowslipmill.console.messages import Compared
from cowslipmill.console.messages import Faulty
from cowslipmill.console.messages import FleetStatus
from cowslipmill.console.messages import HostStatus
from cowslipmill.console.messages import ProblemDetails
from cowslipmill.console.messages import TeamSections
from cowslipmill.console.operator import find_operator
from cowslipmill.console.operator import Operator
from cowslipmill.console.proposal import make_proposal
from cowslipmill.console.proposal import Proposal
from cowslipmill.console.rollout import read_target
from cowslipmill.console.site import SITE
from cowslipmill.console.source import Current
from cowslipmill.document.checker import decode_document
from cowslipmill.document.decoder import decode
from cowslipmill.document.document import Document
from cowslipmill.document.teamsections import merge_team_sections
from cowslipmill.status.collector import HostReport
from cowslipmill.status.collector import HostResult
from cowslipmill.status.rolloutstate import all_agree
from cowslipmill.status.rolloutstate import find_rollout_state

BEARER = 'Bearer '


def require_token(request: Request) -> Operator:
    """Returns who calls.

    Raises:
        Faulty: If the token is missing or not known.
    """
    given = request.headers.get('Authorization', '')
    tokens = request.app[SITE].settings.tokens
    operator = find_operator(tokens, given.removeprefix(BEARER))
    if not given.startswith(BEARER) or operator is None:
        details = ProblemDetails(status=401, title='unknown-token')
        raise Faulty(details, **{'WWW-Authenticate': 'Bearer'})
    return operator


def require_match(request: Request, current: Current) -> None:
    """Refuses a call that was made upon another document.

    Raises:
        Faulty: If `If-Match` is missing or another.
    """
    given = request.headers.get('If-Match')
    if given is None:
        detail = 'send the ETag of the document that you changed in If-Match'
        raise Faulty(
            ProblemDetails(status=428, title='if-match-missing', detail=detail)
        )
    if given.strip() != current.entity_tag:
        detail = f'version {current.document.version} is in force now'
        raise Faulty(
            ProblemDetails(status=412, title='overtaken', detail=detail),
            ETag=current.entity_tag,
        )


def answer_json(value: Struct, status: int = 200) -> Response:
    """Returns a value as JSON."""
    return Response(
        body=json.encode(value), status=status, content_type='application/json'
    )


async def get_document(request: Request) -> Response:
    """Returns the document in force, with its entity tag."""
    require_token(request)
    current = await request.app[SITE].source.read_current()
    headers = {'ETag': current.entity_tag}
    if request.headers.get('If-None-Match') == current.entity_tag:
        return Response(status=304, headers=headers)
    return Response(
        body=current.raw, content_type='application/json', headers=headers
    )


async def propose_document(request: Request) -> Response:
    """Makes the next version from a whole document."""
    operator = require_token(request)
    current = await request.app[SITE].source.read_base()
    require_match(request, current)
    wanted = decode_document(await request.read())
    return await answer_proposal(request, operator, current, wanted)


async def propose_sections(request: Request) -> Response:
    """Makes the next version from one team's services and routes."""
    operator = require_token(request)
    current = await request.app[SITE].source.read_base()
    require_match(request, current)
    sections = decode(await request.read(), TeamSections)
    wanted = merge_team_sections(
        current.document,
        request.match_info['team'],
        services=sections.services,
        routes=sections.routes,
    )
    return await answer_proposal(request, operator, current, wanted)


async def answer_proposal(
    request: Request, operator: Operator, current: Current, wanted: Document
) -> Response:
    """Returns the next version once its dangers are confirmed.

    Raises:
        Faulty: If one is not.
        InvalidDocument: If it is invalid or beyond the caller's scope.
    """
    proposal = await propose(request, operator, current, wanted)
    confirmed = set(request.query.getall('confirm', []))
    missing = proposal.find_unconfirmed(confirmed)
    if missing:
        detail = 'repeat the call with confirm=KEY for each danger'
        raise Faulty(
            ProblemDetails(
                status=409,
                title='danger-not-confirmed',
                detail=detail,
                dangers=missing,
            )
        )
    return answer_json(
        Accepted(
            version=proposal.document.version,
            digest=proposal.digest,
            difference=proposal.difference,
            confirmed=proposal.notices,
            document=proposal.document,
        )
    )


async def propose(
    request: Request, operator: Operator, current: Current, wanted: Document
) -> Proposal:
    """Returns the proposal that a document makes."""
    counts = await request.app[SITE].source.count_servers()
    return make_proposal(operator, current, wanted, counts)


async def compare(request: Request) -> Response:
    """Returns what a document would change; accepts nothing."""
    operator = require_token(request)
    current = await request.app[SITE].source.read_current()
    wanted = decode_document(await request.read())
    proposal = await propose(request, operator, current, wanted)
    return answer_json(
        Compared(difference=proposal.difference, dangers=proposal.notices)
    )


async def get_fleet(request: Request) -> Response:
    """Returns what each host has in force."""
    require_token(request)
    answers = await request.app[SITE].source.read_hosts()
    hosts = tuple(describe(answer, '') for answer in answers)
    return answer_json(FleetStatus(agree=all_agree(answers), hosts=hosts))


async def get_rollout(request: Request) -> Response:
    """Returns where each host stands with one version."""
    require_token(request)
    version, digest = read_target(dict(request.query))
    answers = await request.app[SITE].source.read_hosts()
    hosts = tuple(
        describe(answer, find_rollout_state(answer, version, digest).value)
        for answer in answers
    )
    return answer_json(FleetStatus(agree=all_agree(answers), hosts=hosts))


def describe(answer: HostResult, standing: str) -> HostStatus:
    """Returns one agent's answer as the API gives it."""
    if isinstance(answer, HostReport):
        return HostStatus(
            address=answer.address, status=answer.status, standing=standing
        )
    return HostStatus(
        address=answer.address, no_answer=answer.reason, standing=standing
    )
