"""Signing in with a token, and out."""

import re

from aiohttp.web import HTTPSeeOther
from aiohttp.web import Request
from aiohttp.web import Response
from msgspec import json

from cowslipmill.console.operator import find_operator
from cowslipmill.console.operator import Operator
from cowslipmill.console.operator import Session
from cowslipmill.console.operator import SESSION_PURPOSE
from cowslipmill.console.site import CSRF_FIELD
from cowslipmill.console.site import Form
from cowslipmill.console.site import make_csrf
from cowslipmill.console.site import make_nonce
from cowslipmill.console.site import render
from cowslipmill.console.site import require_csrf
from cowslipmill.console.site import SESSION_COOKIE
from cowslipmill.console.site import SITE
from cowslipmill.console.site import VISIT_COOKIE

KEPT_PREFIX = 'kept-'
RESUMABLE = re.compile(r'^(/draft(/[a-z]+)?|/rollout)$')

Kept = tuple[tuple[str, str], ...]


async def show_sign_in(request: Request) -> Response:
    """Shows the sign-in form to a new visit."""
    return make_sign_in_page(request, '')


def make_sign_in_page(
    request: Request,
    error: str,
    *,
    resume: str = '',
    kept: Kept = (),
) -> Response:
    """Returns the form, bound to a fresh visit of this browser.

    Args:
        request: The browser's request.
        error: Why nobody is signed in, or ''.
        resume: Path of a form that goes on after the sign-in, or ''.
        kept: Fields of that form.
    """
    visit = make_nonce()
    csrf = make_csrf(request, visit)
    status = 401 if error else 200
    page = render(
        request,
        'sign_in.html',
        status=status,
        csrf=csrf,
        operator=None,
        error=error,
        resume=resume,
        kept=kept,
    )
    page.del_cookie(SESSION_COOKIE)
    set_cookie(request, page, VISIT_COOKIE, visit)
    return page


def ask_again(request: Request, form: Form) -> Response:
    """Returns the sign-in that a form goes on after."""
    kept = tuple(
        (name, str(value))
        for name, value in form.items()
        if name != CSRF_FIELD
    )
    reason = 'Your session has ended. What you sent goes on afterwards.'
    return make_sign_in_page(request, reason, resume=request.path, kept=kept)


def read_kept(form: Form) -> Kept:
    """Returns the fields of a form that waits for the sign-in."""
    return tuple(
        (name.removeprefix(KEPT_PREFIX), str(value))
        for name, value in form.items()
        if name.startswith(KEPT_PREFIX)
    )


async def sign_in(request: Request) -> Response:
    """Takes a token, starts a session, and shows a form that waits for it.

    Raises:
        HTTPSeeOther: To the overview, if no form waits.
    """
    form = await request.post()
    require_csrf(request, str(form.get(CSRF_FIELD, '')))
    tokens = request.app[SITE].settings.tokens
    operator = find_operator(tokens, str(form.get('token', '')).strip())
    resume, kept = str(form.get('resume', '')), read_kept(form)
    if operator is None:
        error = 'This token is not known.'
        return make_sign_in_page(request, error, resume=resume, kept=kept)
    session = seal(request, operator)
    if not RESUMABLE.match(resume):
        answer = HTTPSeeOther('/')
        set_cookie(request, answer, SESSION_COOKIE, session)
        raise answer
    page = render(
        request,
        'resume.html',
        csrf=make_csrf(request, session),
        operator=operator,
        resume=resume,
        kept=kept,
    )
    set_cookie(request, page, SESSION_COOKIE, session)
    return page


async def sign_out(request: Request) -> Response:
    """Ends the session.

    Raises:
        HTTPSeeOther: To the sign-in.
    """
    form = await request.post()
    require_csrf(request, str(form.get(CSRF_FIELD, '')))
    answer = HTTPSeeOther('/sign-in')
    answer.del_cookie(SESSION_COOKIE)
    raise answer


def seal(request: Request, operator: Operator) -> str:
    """Returns a new session as the browser keeps it."""
    site = request.app[SITE]
    session = Session(
        token=operator.name,
        ends_at=site.wall_clock() + site.settings.session_ms / 1000,
        nonce=make_nonce(),
    )
    return site.signer.seal(SESSION_PURPOSE, json.encode(session))


def set_cookie(
    request: Request, answer: Response, name: str, value: str
) -> None:
    """Sets a cookie that no script and no other site can use."""
    answer.set_cookie(
        name,
        value,
        httponly=True,
        samesite='Strict',
        secure=request.app[SITE].settings.secure_cookies,
    )
