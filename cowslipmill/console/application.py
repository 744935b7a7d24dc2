"""The console's routes."""

from pathlib import Path

from aiohttp.web import Application
from aiohttp.web import FileResponse
from aiohttp.web import get
from aiohttp.web import post
from aiohttp.web import put
from aiohttp.web import Request
from aiohttp.web import Response

from cowslipmill.console.api import compare
from cowslipmill.console.api import get_document
from cowslipmill.console.api import get_fleet
from cowslipmill.console.api import get_rollout
from cowslipmill.console.api import propose_document
from cowslipmill.console.api import propose_sections
from cowslipmill.console.fleet import show_fleet
from cowslipmill.console.forms import remove
from cowslipmill.console.forms import save
from cowslipmill.console.forms import save_settings
from cowslipmill.console.forms import show_form
from cowslipmill.console.forms import show_overview
from cowslipmill.console.guard import add_security_headers
from cowslipmill.console.guard import turn_errors
from cowslipmill.console.openapi import get_description
from cowslipmill.console.openapi import PREFIX
from cowslipmill.console.openapi import show_description
from cowslipmill.console.review import accept
from cowslipmill.console.review import download
from cowslipmill.console.review import rebase
from cowslipmill.console.review import review
from cowslipmill.console.rollout import show_rollout
from cowslipmill.console.signin import show_sign_in
from cowslipmill.console.signin import sign_in
from cowslipmill.console.signin import sign_out
from cowslipmill.console.site import SITE
from cowslipmill.console.site import Site

MAX_REQUEST_BYTES = 1_572_864
STYLE = Path(__file__).parent / 'static' / 'console.css'

ROUTES = (
    get('/', show_overview),
    get('/sign-in', show_sign_in),
    post('/sign-in', sign_in),
    post('/sign-out', sign_out),
    post('/draft', show_overview),
    post('/draft/edit', show_form),
    post('/draft/save', save),
    post('/draft/remove', remove),
    post('/draft/settings', save_settings),
    post('/draft/review', review),
    post('/draft/rebase', rebase),
    post('/draft/accept', accept),
    post('/draft/download', download),
    get('/rollout', show_rollout),
    post('/rollout', show_rollout),
    get('/fleet', show_fleet),
    get('/api', show_description),
    get(f'{PREFIX}/openapi.json', get_description),
    get(f'{PREFIX}/document', get_document),
    post(f'{PREFIX}/proposals', propose_document),
    put(f'{PREFIX}/teams/{{team}}/sections', propose_sections),
    post(f'{PREFIX}/difference', compare),
    get(f'{PREFIX}/fleet', get_fleet),
    get(f'{PREFIX}/rollout', get_rollout),
)


def make_application(site: Site) -> Application:
    """Returns the console as an application."""
    app = Application(
        middlewares=[add_security_headers, turn_errors],
        client_max_size=MAX_REQUEST_BYTES,
    )
    app[SITE] = site
    app.add_routes(ROUTES)
    app.router.add_get('/static/console.css', get_style)
    app.router.add_get('/livez', answer_livez)
    return app


async def get_style(request: Request) -> FileResponse:
    """Returns the one style sheet."""
    return FileResponse(STYLE)


async def answer_livez(request: Request) -> Response:
    """Says that the process runs."""
    return Response(text='live\n')
