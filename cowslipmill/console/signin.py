"""Signing in with a token, and out."""

from aiohttp.web import HTTPSeeOther
from aiohttp.web import Request
from aiohttp.web import Response
from msgspec import json

from cowslipmill.console.operator import find_operator
from cowslipmill.console.operator import Operator
from cowslipmill.console.operator import Session
from cowslipmill.console.operator import SESSION_PURPOSE
from cowslipmill.console.site import CSRF_FIELD
from cowslipmill.console.site import make_csrf
from cowslipmill.console.site import make_nonce
from cowslipmill.console.site import render
from cowslipmill.console.site import require_csrf
from cowslipmill.console.site import SESSION_COOKIE
from cowslipmill.console.site import SITE
from cowslipmill.console.site import VISIT_COOKIE


async def show_sign_in(request: Request) -> Response:
    """Shows the sign-in form to a new visit."""
    return make_sign_in_page(request, '')


def make_sign_in_page(request: Request, error: str) -> Response:
    """Returns the form, bound to a fresh visit of this browser."""
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
    )
    page.del_cookie(SESSION_COOKIE)
    set_cookie(request, page, VISIT_COOKIE, visit)
    return page


async def sign_in(request: Request) -> Response:
    """Takes a token and starts a session.

    Raises:
        HTTPSeeOther: To the overview, if the token is known.
    """
    form = await request.post()
    require_csrf(request, str(form.get(CSRF_FIELD, '')))
    tokens = request.app[SITE].settings.tokens
    operator = find_operator(tokens, str(form.get('token', '')).strip())
    if operator is None:
        return make_sign_in_page(request, 'This token is not known.')
    answer = HTTPSeeOther('/')
    set_cookie(request, answer, SESSION_COOKIE, seal(request, operator))
    raise answer


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
