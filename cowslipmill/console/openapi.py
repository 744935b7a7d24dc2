"""The OpenAPI description of the administration API."""

from functools import cache
from typing import Any

from aiohttp.web import Request
from aiohttp.web import Response
from msgspec import json

from cowslipmill import VERSION
from cowslipmill.console.messages import Accepted
from cowslipmill.console.messages import Compared
from cowslipmill.console.messages import FleetStatus
from cowslipmill.console.messages import ProblemDetails
from cowslipmill.console.messages import TeamSections
from cowslipmill.console.site import render
from cowslipmill.console.site import require_visitor
from cowslipmill.document.document import Document

PREFIX = '/api/v1'
REFERENCE = '#/components/schemas/{name}'
TYPES = (Accepted, Compared, Document, FleetStatus, ProblemDetails)

IF_MATCH = ('If-Match', 'header', True, 'ETag of the document in force.')
CONFIRM = ('confirm', 'query', False, 'Key of a danger; may be repeated.')
TEAM = ('team', 'path', True, 'Name of the team.')
IF_NONE_MATCH = ('If-None-Match', 'header', False, 'ETag already known.')
VERSION_QUERY = ('version', 'query', True, 'Version of the document.')
DIGEST_QUERY = ('digest', 'query', True, 'Digest of the document.')

PROPOSAL_ERRORS = {
    409: 'A danger is not confirmed.',
    412: 'Another version is in force than If-Match names.',
    422: 'The document is invalid or beyond the scope of the token.',
    428: 'If-Match is missing.',
}


def make_operation(
    summary: str,
    answer: type,
    parameters: tuple[tuple[str, str, bool, str], ...] = (),
    body: type | None = None,
    errors: dict[int, str] | None = None,
) -> dict[str, Any]:
    """Returns one operation."""
    errors = {
        401: 'The token is missing or not known.',
        **(errors or {}),
        503: 'There is no document in force to build upon.',
    }
    operation: dict[str, Any] = {
        'summary': summary,
        'parameters': [
            {
                'name': name,
                'in': place,
                'required': required,
                'description': description,
                'schema': {'type': 'string'},
            }
            for name, place, required, description in parameters
        ],
        'responses': {
            '200': make_content('Done.', answer, 'application/json'),
            **{
                str(status): make_content(
                    text, ProblemDetails, 'application/problem+json'
                )
                for status, text in errors.items()
            },
        },
    }
    if body is not None:
        operation['requestBody'] = make_content(
            '', body, 'application/json'
        ) | {'required': True}
    return operation


def make_content(text: str, kind: type, media_type: str) -> dict[str, Any]:
    """Returns a body by its type."""
    schema = {'$ref': REFERENCE.format(name=kind.__name__)}
    return {'description': text, 'content': {media_type: {'schema': schema}}}


@cache
def make_description() -> dict[str, Any]:
    """Returns the whole description."""
    _, components = json.schema_components(
        [*TYPES, TeamSections], ref_template=REFERENCE
    )
    proposal = (IF_MATCH, CONFIRM)
    return {
        'openapi': '3.1.0',
        'info': {'title': 'cowslipmill administration', 'version': VERSION},
        'security': [{'token': []}],
        'paths': {
            f'{PREFIX}/document': {
                'get': make_operation(
                    'The document in force; its ETag names it.',
                    Document,
                    (IF_NONE_MATCH,),
                )
            },
            f'{PREFIX}/proposals': {
                'post': make_operation(
                    'Makes the next version from a whole document.',
                    Accepted,
                    proposal,
                    Document,
                    PROPOSAL_ERRORS,
                )
            },
            f'{PREFIX}/teams/{{team}}/sections': {
                'put': make_operation(
                    "Makes the next version from one team's sections.",
                    Accepted,
                    (TEAM, *proposal),
                    TeamSections,
                    PROPOSAL_ERRORS,
                )
            },
            f'{PREFIX}/difference': {
                'post': make_operation(
                    'What a document would change; nothing is accepted.',
                    Compared,
                    (),
                    Document,
                    {422: PROPOSAL_ERRORS[422]},
                )
            },
            f'{PREFIX}/fleet': {
                'get': make_operation(
                    'What each host has in force.', FleetStatus
                )
            },
            f'{PREFIX}/rollout': {
                'get': make_operation(
                    'Where each host stands with one version.',
                    FleetStatus,
                    (VERSION_QUERY, DIGEST_QUERY),
                )
            },
        },
        'components': {
            'schemas': components,
            'securitySchemes': {'token': {'type': 'http', 'scheme': 'bearer'}},
        },
    }


async def get_description(request: Request) -> Response:
    """Returns the description as JSON; it holds no secret."""
    return Response(
        body=json.encode(make_description()), content_type='application/json'
    )


async def show_description(request: Request) -> Response:
    """Shows the description as a page."""
    operator = require_visitor(request)
    paths = make_description()['paths']
    return render(request, 'api.html', operator=operator, paths=paths)
