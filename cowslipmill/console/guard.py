"""Middleware: security headers and errors as pages or problem details."""

from collections.abc import Awaitable
from collections.abc import Callable
from functools import singledispatch
from logging import getLogger

from aiohttp.web import HTTPException
from aiohttp.web import middleware
from aiohttp.web import Request
from aiohttp.web import Response
from aiohttp.web import StreamResponse
from msgspec import json

from cowslipmill.console.draft import BadDraft
from cowslipmill.console.messages import Fault
from cowslipmill.console.messages import Faulty
from cowslipmill.console.messages import ProblemDetails
from cowslipmill.console.openapi import PREFIX
from cowslipmill.console.signin import ask_again
from cowslipmill.console.site import render
from cowslipmill.console.site import SignInAgain
from cowslipmill.console.source import NothingInForce
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.outcomes.rendering import PROBLEM_TYPE

LOG = getLogger(__name__)

Handler = Callable[[Request], Awaitable[StreamResponse]]

SECURITY_HEADERS = {
    'Content-Security-Policy': (
        "default-src 'none'; style-src 'self'; form-action 'self'; "
        "base-uri 'none'; frame-ancestors 'none'"
    ),
    'X-Content-Type-Options': 'nosniff',
    'X-Frame-Options': 'DENY',
    'Referrer-Policy': 'no-referrer',
    'Cache-Control': 'no-store',
    'Cross-Origin-Opener-Policy': 'same-origin',
}


@middleware
async def add_security_headers(
    request: Request, handler: Handler
) -> StreamResponse:
    """Adds the headers to every answer, errors included."""
    try:
        answer = await handler(request)
    except HTTPException as error:
        error.headers.update(SECURITY_HEADERS)
        raise
    answer.headers.update(SECURITY_HEADERS)
    return answer


@middleware
async def turn_errors(request: Request, handler: Handler) -> StreamResponse:
    """Turns each layer's errors into answers."""
    try:
        return await handler(request)
    except SignInAgain as error:
        return ask_again(request, error.form)
    except Exception as error:
        if isinstance(error, HTTPException) and error.status < 400:
            raise
        details = describe_error(error)
        if details.status == 500:
            LOG.exception('request failed', extra={'path': request.path})
        if request.path.startswith(PREFIX):
            headers = error.headers if isinstance(error, Faulty) else {}
            return answer_details(details, headers)
        return show_details(request, details)


def answer_details(
    details: ProblemDetails, headers: dict[str, str]
) -> Response:
    """Returns problem details in JSON."""
    return Response(
        body=json.encode(details),
        status=details.status,
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


def show_details(request: Request, details: ProblemDetails) -> Response:
    """Returns problem details as a page."""
    lines = [f'{fault.path}: {fault.reason}' for fault in details.errors]
    return render(
        request,
        'error.html',
        status=details.status,
        title=details.title,
        lines=[*([details.detail] if details.detail else []), *lines],
    )


@singledispatch
def describe_error(error: Exception) -> ProblemDetails:
    """Returns what the caller is told of an error."""
    return ProblemDetails(status=500, title='internal-error')


@describe_error.register
def describe_faulty(error: Faulty) -> ProblemDetails:
    """Returns the details that it carries."""
    return error.details


@describe_error.register
def describe_invalid(error: InvalidDocument) -> ProblemDetails:
    """Lists every wrong field."""
    faults = tuple(
        Fault(path=problem.path, reason=problem.reason)
        for problem in error.problems
    )
    return ProblemDetails(status=422, title='invalid-document', errors=faults)


@describe_error.register
def describe_nothing(error: NothingInForce) -> ProblemDetails:
    """Says why there is nothing to build upon."""
    return ProblemDetails(
        status=503, title='nothing-in-force', detail=str(error)
    )


@describe_error.register
def describe_bad_draft(error: BadDraft) -> ProblemDetails:
    """Says why the draft cannot be taken."""
    return ProblemDetails(status=400, title='bad-draft', detail=str(error))


@describe_error.register
def describe_http(error: HTTPException) -> ProblemDetails:
    """Returns the status and its reason."""
    title = error.reason.lower().replace(' ', '-')
    return ProblemDetails(
        status=error.status, title=title, detail=error.reason
    )
