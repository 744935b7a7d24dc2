"""From a form to a document in force, as a person goes through it."""

import json
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import Not

from cowslipmill.console.tests.browser import Fields
from cowslipmill.console.tests.conftest import TEAM_TOKEN
from cowslipmill.console.tests.conftest import World
from cowslipmill.document.checker import decode_document

NEW_ROUTE = {
    'name': 'cancel-exam',
    'team': 'examinations',
    'service': 'scheduler',
    'methods': 'delete, post',
    'path': '/exams/{id}/cancellations',
    'idempotent': 'false',
}


def route_of(raw: bytes, name: str) -> Any:
    """Returns one route of a document's JSON."""
    routes = json.loads(raw)['routes']
    return next(route for route in routes if route['name'] == name)


@pytest.mark.asyncio
async def test_from_a_new_route_to_a_document_in_force(world: World) -> None:
    """Form, review, accept, download, publish, watch."""
    browser = await world.sign_in()
    await browser.press('New route')
    await browser.press('Take into the draft', NEW_ROUTE)
    assert_that(browser.heading(), Equals('Your draft'))
    await browser.press('Review changes')
    assert_that(browser.heading(), Equals('Review version 2'))
    assert_that(browser.text(), Contains('routes cancel-exam added'))
    await browser.press('Accept')
    assert_that(browser.heading(), Equals('Version 2 is ready to publish'))
    page = browser.page
    await browser.press('Download')
    raw = browser.body
    assert_that(decode_document(raw).version, Equals(2))
    assert_that(decode_document(raw).base, Equals(1))
    route = route_of(raw, 'cancel-exam')
    assert_that(route['methods'], Equals(['DELETE', 'POST']))
    assert_that(route['idempotent'], Equals(False))
    browser.page = page
    await browser.press('Watch it come into force')
    assert_that(browser.text(), Contains('Not published yet'))
    assert_that(browser.text(), Contains('1 not yet in force, 1 no answer'))
    world.publish(raw)
    await browser.press('Read again')
    assert_that(browser.text(), Contains('The platform serves it.'))
    assert_that(browser.text(), Contains('1 in force, 1 no answer'))
    await browser.open('/')
    assert_that(browser.heading(), Equals('Document in force'))
    assert_that(browser.text(), Contains('cancel-exam'))


@pytest.mark.asyncio
async def test_errors_stand_beside_their_fields_and_typing_is_kept(
    world: World,
) -> None:
    """A wrong form comes back whole, with each fault where it belongs."""
    browser = await world.sign_in()
    await browser.press('New route')
    typed = NEW_ROUTE | {
        'name': 'Cancel Exam',
        'deadline_ms': 'soon',
        'max_answer_bytes': '-1',
        'path': '/exams/<id>',
    }
    del typed['idempotent']
    await browser.press('Take into the draft', typed)
    assert_that(browser.status, Equals(422))
    for name in ('name', 'path', 'max_answer_bytes'):
        assert_that(browser.error(name), Not(Equals('')))
    assert_that(browser.error('deadline_ms'), Equals('must be a whole number'))
    assert_that(browser.error('idempotent'), Equals('must be given'))
    assert_that(browser.error('service'), Equals(''))
    for name, value in typed.items():
        assert_that(browser.field(name), Equals(value))
    mended = NEW_ROUTE | {'deadline_ms': '', 'max_answer_bytes': ''}
    await browser.press('Take into the draft', mended)
    assert_that(browser.heading(), Equals('Your draft'))


@pytest.mark.asyncio
async def test_faults_across_fields_stand_beside_the_field(
    world: World,
) -> None:
    """An overlap and a bound below the slots name their own fields."""
    browser = await world.sign_in()
    await browser.press('New route')
    taken = {'methods': 'POST', 'path': '/exams/{other}/bookings'}
    await browser.press('Take into the draft', NEW_ROUTE | taken)
    assert_that(browser.error('path'), Contains("overlaps route 'book-exam'"))
    assert_that(browser.field('path'), Equals(taken['path']))
    await browser.open('/')
    await browser.press('Edit service registry')
    await browser.press('Take into the draft', {'connections_per_server': '2'})
    assert_that(
        browser.error('connections_per_server'), Contains('slots_per_server')
    )


@pytest.mark.asyncio
async def test_an_idempotent_choice_is_never_made_for_the_operator(
    world: World,
) -> None:
    """A new route has neither choice checked and both are spelled out."""
    browser = await world.sign_in()
    await browser.press('New route')
    radios = browser.page.find_all('input', {'name': 'idempotent'})
    assert_that(radios, HasLength(2))
    assert_that([r for r in radios if r.has_attr('checked')], HasLength(0))
    assert_that(browser.text(), Contains('at most once (non-idempotent)'))
    assert_that(browser.text(), Contains('more than once (idempotent)'))


@pytest.mark.asyncio
async def test_a_danger_asks_again(world: World) -> None:
    """Without its confirmation nothing is handed over."""
    browser = await world.sign_in()
    await browser.press('Edit route book-exam')
    await browser.press(
        'Take into the draft', {'idempotent': 'true', 'deadline_ms': '4000'}
    )
    await browser.press('Review changes')
    keys = browser.confirmations()
    assert_that(keys, HasLength(2))
    assert_that(browser.text(), Contains('may run more than once'))
    await browser.press('Accept')
    assert_that(browser.status, Equals(422))
    assert_that(browser.text(), Contains('Confirm each danger'))
    await browser.press('Accept', {'confirm': keys[:1]})
    assert_that(browser.status, Equals(422))
    await browser.press('Accept', {'confirm': keys})
    assert_that(browser.heading(), Equals('Version 2 is ready to publish'))


@pytest.mark.asyncio
async def test_a_service_without_servers_asks_again(world: World) -> None:
    """A route to a service that the host list does not know is a danger."""
    browser = await world.sign_in()
    await browser.press('New service')
    service = {'name': 'mail', 'team': 'standing', 'slots_per_server': '2'}
    await browser.press('Take into the draft', service)
    await browser.press('New route')
    route = {'service': 'mail', 'path': '/mail', 'name': 'mail'}
    await browser.press('Take into the draft', NEW_ROUTE | route)
    await browser.press('Review changes')
    assert_that(browser.text(), Contains('Service mail has no live server'))


@pytest.mark.asyncio
async def test_a_used_service_is_not_removed(world: World) -> None:
    """The overview says why, and the draft stays as it was."""
    browser = await world.sign_in()
    await browser.press('Remove service registry')
    assert_that(browser.status, Equals(422))
    assert_that(browser.text(), Contains("no service is named 'registry'"))
    assert_that(browser.heading(), Equals('Document in force'))


@pytest.mark.asyncio
async def test_the_memory_for_resends_is_checked_and_set(
    world: World,
) -> None:
    """A wrong figure is kept as typed and named."""
    browser = await world.sign_in()
    await browser.press('Set', {'resend_memory_ms': '5'})
    assert_that(browser.status, Equals(422))
    assert_that(browser.field('resend_memory_ms'), Equals('5'))
    await browser.press('Set', {'resend_memory_ms': '5000'})
    await browser.press('Review changes')
    assert_that(browser.text(), Contains('resend_memory_ms 600000 5000'))


@pytest.mark.asyncio
async def test_a_team_sees_forms_for_its_own_sections_only(
    world: World,
) -> None:
    """Others' buttons are absent, and a forged form is refused."""
    browser = await world.sign_in(token=TEAM_TOKEN)
    assert_that(browser.text(), Contains('check-standing'))
    browser.find_button('Edit route book-exam')
    with pytest.raises(AssertionError):
        browser.find_button('Edit route check-standing')
    await browser.press('Edit route book-exam')
    form = browser.read_form(browser.form_of('Cancel'))
    stolen: Fields = {
        'target': 'routes:check-standing',
        'name': 'check-standing',
        'team': 'standing',
        'service': 'registry',
        'methods': 'GET',
        'path': '/technicians/{id}/standing',
    }
    await browser.post('/draft/save', form | stolen)
    assert_that(browser.status, Equals(422))
    assert_that(browser.text(), Contains("not to 'examinations'"))
    await browser.post('/draft/remove', form | stolen)
    assert_that(browser.status, Equals(422))


@pytest.mark.asyncio
async def test_a_draft_of_another_scope_is_refused(world: World) -> None:
    """A team cannot go on with a draft that reaches beyond it."""
    browser = await world.sign_in()
    await browser.press('Remove route check-standing')
    draft = browser.field('draft')
    other = await world.sign_in(token=TEAM_TOKEN)
    csrf = other.field('csrf')
    await other.post('/draft/review', {'csrf': csrf, 'draft': draft})
    assert_that(other.status, Equals(422))
    assert_that(other.text(), Contains("belongs to 'standing'"))


@pytest.mark.asyncio
async def test_what_is_typed_is_never_markup(world: World) -> None:
    """Script in any field comes back as text, on every page."""
    script = '"><script>alert(1)</script>'
    browser = await world.sign_in()
    await browser.press('New route')
    typed = dict.fromkeys([*NEW_ROUTE, 'host', 'deadline_ms'], script)
    await browser.press('Take into the draft', typed)
    assert_that(browser.page.find_all('script'), HasLength(0))
    assert_that(browser.field('name'), Equals(script))
    await browser.open(f'/rollout?version=1&digest={script}')
    assert_that(browser.page.find_all('script'), HasLength(0))
    assert_that(browser.text(), Contains('<script>'))


@pytest.mark.asyncio
@pytest.mark.parametrize('draft', ['x', 'e30=.00', 'é.é', 'e30=.'])
async def test_a_forged_draft_is_refused(world: World, draft: str) -> None:
    """A draft that no console sealed changes nothing."""
    browser = await world.sign_in()
    csrf = browser.field('csrf')
    await browser.post('/draft/review', {'csrf': csrf, 'draft': draft})
    assert_that(browser.status, Equals(400))
    assert_that(browser.text(), Contains('not made by a console'))


@pytest.mark.asyncio
async def test_every_field_has_a_label_and_a_page_works_by_keyboard(
    world: World,
) -> None:
    """Labels, a skip link, a language and no script stand on each page."""
    browser = await world.sign_in()
    for path in ('/', '/fleet', '/api', '/rollout?version=1'):
        await browser.open(path)
        page = browser.page
        assert_that(page.find_all('script'), HasLength(0))
        assert page.find('a', {'class': 'skip'}) is not None
        assert page.find('html', {'lang': 'en'}) is not None
        assert page.find('meta', {'name': 'viewport'}) is not None
    await browser.open('/')
    await browser.press('New route')
    for tag in browser.page.find_all(('input', 'select')):
        if tag.get('type') in ('hidden', 'radio'):
            continue
        label = browser.page.find('label', {'for': tag['id']})
        assert label is not None


@pytest.mark.asyncio
async def test_the_fleet_page_says_ages_and_who_is_silent(
    world: World,
) -> None:
    """Figures stand with their age; a host that is silent is named."""
    browser = await world.sign_in()
    await browser.open('/fleet')
    text = browser.text()
    assert_that(text, Contains('127.0.0.1:1: '))
    assert_that(text, Contains('host-0 tt-south-a 1 61.5 s 0.4 s'))
    assert_that(text, Contains('leaving at 1 2.5 s peer'))
    assert_that(text, Contains('book-exam 7 0 2'))
    assert_that(text, Contains('retry_budget_tokens registry 3.5'))
