"""Tokens, sessions, CSRF and headers."""

from aiohttp.test_utils import TestClient
from aiohttp.test_utils import TestServer
from msgspec.structs import replace
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals

from cowslipmill.console.application import make_application
from cowslipmill.console.signer import Signer
from cowslipmill.console.site import SESSION_COOKIE
from cowslipmill.console.site import SITE
from cowslipmill.console.site import Site
from cowslipmill.console.site import VISIT_COOKIE
from cowslipmill.console.tests.conftest import ALL_TEAMS_TOKEN
from cowslipmill.console.tests.conftest import TEAM_TOKEN
from cowslipmill.console.tests.conftest import World

FORM_PATHS = (
    '/draft',
    '/draft/edit',
    '/draft/save',
    '/draft/remove',
    '/draft/settings',
    '/draft/review',
    '/draft/rebase',
    '/draft/accept',
    '/draft/download',
    '/rollout',
    '/sign-out',
    '/sign-in',
)


@pytest.mark.asyncio
@pytest.mark.parametrize('token', ['', 'wrong', ALL_TEAMS_TOKEN[:-1], 'é'])
async def test_a_wrong_token_does_not_sign_in(
    world: World, token: str
) -> None:
    """The form comes back with a reason and no page opens."""
    browser = await world.visit()
    await browser.sign_in(token)
    assert_that(browser.status, Equals(401))
    assert_that(browser.text(), Contains('This token is not known'))
    for path in ('/', '/fleet', '/api', '/rollout?version=1'):
        await browser.open(path)
        assert_that(browser.heading(), Equals('Sign in'))


@pytest.mark.asyncio
@pytest.mark.parametrize('path', FORM_PATHS)
async def test_a_form_without_its_csrf_token_is_refused(
    world: World, path: str
) -> None:
    """Each form needs the token of its own browser."""
    browser = await world.sign_in()
    other = await world.sign_in(token=TEAM_TOKEN)
    forged: list[dict[str, str | list[str]]] = [
        {'token': ALL_TEAMS_TOKEN},
        {'csrf': 'x'},
        {'csrf': other.field('csrf')},
    ]
    for fields in forged:
        await browser.post(path, fields)
        assert_that(browser.status, Equals(403))


@pytest.mark.asyncio
async def test_a_session_ends_with_its_time_and_its_token(
    world: World,
) -> None:
    """An expired or forged session signs nobody in."""
    browser = await world.sign_in()
    assert_that(browser.heading(), Equals('Document in force'))
    world.clock += 28_801
    await browser.open('/')
    assert_that(browser.heading(), Equals('Sign in'))
    world.clock -= 28_801
    forged = Signer(['another-key-of-thirty-two-characters']).seal(
        'session', b'{"token":"operators","ends_at":9e12,"nonce":"x"}'
    )
    stranger = await world.visit()
    cookies = stranger.client.session.cookie_jar
    url = stranger.client.make_url('/')
    cookies.update_cookies({SESSION_COOKIE: forged}, url)
    await stranger.open('/')
    assert_that(stranger.heading(), Equals('Sign in'))


@pytest.mark.asyncio
async def test_a_form_goes_on_after_its_session_has_ended(
    world: World,
) -> None:
    """What was typed survives the sign-in, also one that fails first."""
    browser = await world.sign_in()
    await browser.press('Edit route book-exam')
    world.clock += 28_801
    await browser.press('Take into the draft', {'deadline_ms': '7777'})
    assert_that(browser.status, Equals(401))
    assert_that(browser.text(), Contains('Your session has ended'))
    await browser.press('Sign in', {'token': 'wrong'})
    await browser.press('Sign in', {'token': ALL_TEAMS_TOKEN})
    assert_that(browser.heading(), Equals('You are signed in again'))
    await browser.press('Go on')
    await browser.press('Review changes')
    assert_that(browser.text(), Contains('deadline_ms 5000 7777'))


@pytest.mark.asyncio
async def test_a_forged_form_does_not_wait_for_a_sign_in(
    world: World,
) -> None:
    """Only a form of this console goes on, and only to one of its forms."""
    stranger = await world.visit()
    await stranger.post('/draft/save', {'name': 'x', 'csrf': 'x'})
    assert_that(stranger.status, Equals(403))
    await stranger.open('/sign-in')
    elsewhere = {'token': ALL_TEAMS_TOKEN, 'resume': '//elsewhere.example'}
    await stranger.press('Sign in', elsewhere)
    assert_that(stranger.heading(), Equals('Document in force'))


@pytest.mark.asyncio
async def test_signing_out_ends_the_session(world: World) -> None:
    """After it the browser must sign in again."""
    browser = await world.sign_in()
    await browser.press('Sign out')
    await browser.open('/')
    assert_that(browser.heading(), Equals('Sign in'))


@pytest.mark.asyncio
async def test_every_answer_carries_the_security_headers(
    world: World,
) -> None:
    """Pages, errors, files and the API forbid framing and scripts."""
    browser = await world.sign_in()
    paths = ('/', '/nowhere', '/static/console.css', '/api/v1/document')
    for path in (*paths, '/sign-in', '/rollout?version=x'):
        await browser.open(path)
        policy = browser.headers['Content-Security-Policy']
        assert_that(policy, Contains("default-src 'none'"))
        assert_that(policy, Contains("frame-ancestors 'none'"))
        assert_that(
            browser.headers['X-Content-Type-Options'], Equals('nosniff')
        )
        assert_that(browser.headers['Referrer-Policy'], Equals('no-referrer'))
    stranger = await world.visit()
    answer = await stranger.client.get('/', allow_redirects=False)
    assert_that(answer.status, Equals(303))
    assert_that(
        answer.headers['Content-Security-Policy'],
        Contains("default-src 'none'"),
    )


@pytest.mark.asyncio
async def test_cookies_are_out_of_reach_for_scripts_and_other_sites(
    world: World,
) -> None:
    """Session and visit are HttpOnly and SameSite=Strict."""
    browser = await world.sign_in()
    cookies = list(browser.client.session.cookie_jar)
    names = {cookie.key for cookie in cookies}
    assert_that(names, Equals({SESSION_COOKIE, VISIT_COOKIE}))
    for cookie in cookies:
        assert_that(cookie['httponly'], Equals(True))
        assert_that(cookie['samesite'], Equals('Strict'))


@pytest.mark.asyncio
async def test_behind_tls_cookies_are_sent_over_tls_only(
    world: World,
) -> None:
    """The default setting marks each cookie as secure."""
    app = world.consoles[0].app
    assert app is not None
    site = app[SITE]
    settings = replace(site.settings, secure_cookies=True)
    secure = Site(
        settings=settings,
        signer=site.signer,
        source=site.source,
        wall_clock=site.wall_clock,
    )
    server = TestServer(make_application(secure))
    async with TestClient(server) as client:
        answer = await client.get('/sign-in')
        assert_that(answer.cookies[VISIT_COOKIE]['secure'], Equals(True))


def test_a_seal_holds_for_one_purpose_and_any_of_the_keys() -> None:
    """Keys can be rotated; a session is no draft."""
    old, new = Signer(['a' * 32]), Signer(['b' * 32, 'a' * 32])
    sealed = old.seal('draft', b'content')
    assert_that(new.unseal('draft', sealed), Equals(b'content'))
    assert_that(new.unseal('session', sealed), Equals(None))
    assert_that(old.unseal('draft', new.seal('draft', b'x')), Equals(None))
    assert_that(old.unseal('draft', 'x' + sealed), Equals(None))
