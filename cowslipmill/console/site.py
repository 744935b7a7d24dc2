"""What every handler of the console needs."""

from collections.abc import Callable
from dataclasses import dataclass
from secrets import token_urlsafe
from typing import Any

from aiohttp.web import AppKey
from aiohttp.web import HTTPForbidden
from aiohttp.web import HTTPSeeOther
from aiohttp.web import Request
from aiohttp.web import Response
from jinja2 import Environment
from jinja2 import PackageLoader
from jinja2 import StrictUndefined
from multidict import MultiDictProxy

from cowslipmill.console.operator import open_session
from cowslipmill.console.operator import Operator
from cowslipmill.console.signer import Signer
from cowslipmill.console.source import Source
from cowslipmill.settings.settings import ConsoleSettings

SESSION_COOKIE = 'cowslipmill-session'
VISIT_COOKIE = 'cowslipmill-visit'
CSRF_FIELD = 'csrf'
CSRF_PURPOSE = 'csrf'
NONCE_BYTES = 16

Form = MultiDictProxy[Any]


@dataclass(frozen=True, slots=True)
class Site:
    """The console's parts; none of them changes.

    Attributes:
        settings: Settings of the process.
        signer: Signs drafts and sessions.
        source: Reads what is in force.
        wall_clock: Tells Unix seconds.
    """

    settings: ConsoleSettings
    signer: Signer
    source: Source
    wall_clock: Callable[[], float]


SITE: AppKey[Site] = AppKey('site', Site)

TEMPLATES = Environment(
    loader=PackageLoader('cowslipmill.console'),
    autoescape=True,
    undefined=StrictUndefined,
    trim_blocks=True,
    lstrip_blocks=True,
)


def find_visitor(request: Request) -> Operator | None:
    """Returns who is signed in, or None."""
    site = request.app[SITE]
    sealed = request.cookies.get(SESSION_COOKIE, '')
    tokens = site.settings.tokens
    return open_session(site.signer, tokens, sealed, site.wall_clock())


class SignInAgain(Exception):
    """A form of a browser whose session has ended.

    Attributes:
        form: What was sent; it goes on after the sign-in.
    """

    def __init__(self, form: Form) -> None:
        """Keeps the form."""
        super().__init__('the session has ended')
        self.form = form


async def take_form(request: Request) -> tuple[Operator, Form]:
    """Returns who is signed in and what was sent.

    Raises:
        HTTPForbidden: If the form is not from this console.
        HTTPSeeOther: If nobody is signed in.
        SignInAgain: The same for a form, which is not lost.
    """
    form = await request.post()
    if request.method != 'POST':
        return require_visitor(request), form
    require_csrf(request, str(form.get(CSRF_FIELD, '')))
    operator = find_visitor(request)
    if operator is None:
        raise SignInAgain(form)
    return operator, form


def require_visitor(request: Request) -> Operator:
    """Returns who is signed in, or sends the browser to the sign-in.

    Raises:
        HTTPSeeOther: If nobody is.
    """
    operator = find_visitor(request)
    if operator is None:
        raise HTTPSeeOther('/sign-in')
    return operator


def make_csrf(request: Request, visit: str | None = None) -> str:
    """Returns the CSRF token of a browser's session or visit."""
    visit = visit or find_visit(request)
    return request.app[SITE].signer.make_code(CSRF_PURPOSE, visit.encode())


def find_visit(request: Request) -> str:
    """Returns what tells this browser from others, or ''."""
    cookies = request.cookies
    return cookies.get(SESSION_COOKIE) or cookies.get(VISIT_COOKIE) or ''


def require_csrf(request: Request, given: str) -> None:
    """Refuses a form that this browser did not get from the console.

    Raises:
        HTTPForbidden: If its token is missing or wrong.
    """
    visit = find_visit(request)
    signer = request.app[SITE].signer
    if visit and signer.verify(CSRF_PURPOSE, visit.encode(), given):
        return
    raise HTTPForbidden(reason='The form has expired: load its page again')


def make_nonce() -> str:
    """Returns text that nobody can guess."""
    return token_urlsafe(NONCE_BYTES)


def render(
    request: Request, template: str, *, status: int = 200, **values: Any
) -> Response:
    """Returns a page."""
    values.setdefault('csrf', make_csrf(request))
    values.setdefault('operator', find_visitor(request))
    text = TEMPLATES.get_template(template).render(
        deployment=request.app[SITE].settings.deployment, **values
    )
    return Response(text=text, status=status, content_type='text/html')
