"""Two operators at once, on two consoles."""

import json
from typing import Any

from msgspec.structs import replace
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import Not

from cowslipmill.agent.status import MemberStatus
from cowslipmill.console.tests.browser import Browser
from cowslipmill.console.tests.conftest import World


async def change(browser: Browser, route: str, **values: str) -> None:
    """Takes a change of one route into the draft."""
    await browser.press(f'Edit route {route}')
    await browser.press('Take into the draft', dict(values))
    assert_that(browser.heading(), Equals('Your draft'))


async def hand_over(browser: Browser) -> bytes:
    """Accepts the draft, dangers confirmed, and downloads it."""
    await browser.press('Review changes')
    await browser.press('Accept', {'confirm': browser.confirmations()})
    page = browser.page
    await browser.press('Download')
    browser.page = page
    return browser.body


def route_of(raw: bytes, name: str) -> Any:
    """Returns one route of a document's JSON."""
    routes = json.loads(raw)['routes']
    return next(route for route in routes if route['name'] == name)


@pytest.mark.asyncio
async def test_a_later_draft_is_rebased_and_loses_nothing(
    world: World,
) -> None:
    """Changes of different fields are both in the next version."""
    first = await world.sign_in(0)
    second = await world.sign_in(1)
    await change(first, 'book-exam', deadline_ms='7000')
    await change(second, 'book-exam', priority='critical')
    world.publish(await hand_over(first))
    await second.press('Review changes')
    assert_that(second.status, Equals(409))
    assert_that(second.text(), Contains('There are no conflicts'))
    await second.press('Rebase onto version 2')
    raw = await hand_over(second)
    route = route_of(raw, 'book-exam')
    assert_that(route['deadline_ms'], Equals(7000))
    assert_that(route['priority'], Equals('critical'))
    assert_that(json.loads(raw)['version'], Equals(3))


@pytest.mark.asyncio
@pytest.mark.parametrize(
    ('side', 'expected'), [('theirs', 7000), ('mine', 9000)]
)
async def test_a_conflict_is_shown_and_chosen(
    world: World, side: str, expected: int
) -> None:
    """Both values of a field stand on the page, and one is chosen."""
    first = await world.sign_in(0)
    second = await world.sign_in(1)
    await change(first, 'book-exam', deadline_ms='7000')
    await change(second, 'book-exam', deadline_ms='9000', priority='bulk')
    world.publish(await hand_over(first))
    await second.press('Review changes')
    assert_that(second.text(), Contains('routes book-exam: deadline_ms'))
    assert_that(second.text(), Contains('Keep what is in force: 7000'))
    assert_that(second.text(), Contains("Take the draft's: 9000"))
    await second.press('Rebase onto version 2', {'side-0': side})
    raw = await hand_over(second)
    route = route_of(raw, 'book-exam')
    assert_that(route['deadline_ms'], Equals(expected))
    assert_that(route['priority'], Equals('bulk'))


@pytest.mark.asyncio
async def test_editing_on_does_not_hide_a_conflict(world: World) -> None:
    """A draft that went on after an overtaking still shows its conflict."""
    first = await world.sign_in(0)
    second = await world.sign_in(1)
    await change(second, 'book-exam', deadline_ms='9000')
    await change(first, 'book-exam', deadline_ms='7000')
    world.publish(await hand_over(first))
    await change(second, 'list-exams', deadline_ms='2500')
    assert_that(second.text(), Contains('Another version came into force'))
    await second.press('Review changes')
    assert_that(second.text(), Contains('Keep what is in force: 7000'))


@pytest.mark.asyncio
async def test_an_overtaking_before_accept_is_a_conflict(
    world: World,
) -> None:
    """A version that came between review and accept stops the accept."""
    first = await world.sign_in(0)
    second = await world.sign_in(1)
    await change(first, 'book-exam', deadline_ms='7000')
    await change(second, 'list-exams', deadline_ms='2500')
    await second.press('Review changes')
    world.publish(await hand_over(first))
    await second.press('Accept')
    assert_that(second.status, Equals(409))
    assert_that(second.heading(), Contains('overtook your draft'))


@pytest.mark.asyncio
async def test_two_versions_of_one_base_are_visible_to_both(
    world: World,
) -> None:
    """The operator whose version lost the race is told so."""
    first = await world.sign_in(0)
    second = await world.sign_in(1)
    await change(first, 'book-exam', deadline_ms='7000')
    await change(second, 'list-exams', deadline_ms='2500')
    mine = await hand_over(second)
    theirs = await hand_over(first)
    world.publish(mine)
    world.publish(theirs)
    await second.press('Watch it come into force')
    assert_that(second.text(), Contains('Overtaken: the platform serves'))
    assert_that(second.text(), Contains('1 overtaken'))
    await second.press('Rebase the draft')
    assert_that(second.status, Equals(409))
    await second.press('Rebase onto version 2')
    assert_that(json.loads(await hand_over(second))['version'], Equals(3))


@pytest.mark.asyncio
async def test_a_draft_goes_on_at_another_console(world: World) -> None:
    """A console that is replaced loses no draft."""
    first = await world.sign_in(0)
    await change(first, 'book-exam', deadline_ms='7000')
    second = await world.sign_in(1)
    fields = {'csrf': second.field('csrf'), 'draft': first.field('draft')}
    await second.post('/draft/review', fields)
    assert_that(second.text(), Contains('deadline_ms 5000 7000'))


@pytest.mark.asyncio
async def test_a_draft_larger_than_its_bound_is_refused(
    world: World,
) -> None:
    """A draft does not grow without end, and what it held stays."""
    browser = await world.sign_in()
    csrf = browser.field('csrf')
    await browser.post(
        '/draft/review', {'csrf': csrf, 'draft': 'x' * 2_000_000}
    )
    assert_that(browser.status, Equals(413))


@pytest.mark.asyncio
async def test_nothing_is_built_on_an_older_document(world: World) -> None:
    """While the platform serves an older version nothing is accepted."""
    browser = await world.sign_in()
    await change(browser, 'book-exam', deadline_ms='7000')
    await browser.press('Review changes')
    newer = json.dumps({'version': 8}).encode()
    world.put_in_force(newer)
    await browser.press('Accept')
    assert_that(browser.status, Equals(503))
    assert_that(browser.text(), Contains('hosts have version 8 in force'))


@pytest.mark.asyncio
async def test_with_the_platform_down_every_page_says_so(
    world: World,
) -> None:
    """Pages that need the document fail whole, the fleet page still works."""
    browser = await world.sign_in()
    world.platform.down = True
    await browser.open('/')
    assert_that(browser.status, Equals(503))
    assert_that(browser.text(), Contains('the platform is unavailable'))
    await browser.open('/fleet')
    assert_that(browser.status, Equals(200))
    await browser.open('/rollout?version=1')
    assert_that(browser.text(), Contains('Not known whether'))


@pytest.mark.asyncio
async def test_a_change_of_a_removed_route_is_a_conflict(
    world: World,
) -> None:
    """The rebase says that the route is gone and goes on without it."""
    first = await world.sign_in(0)
    second = await world.sign_in(1)
    await first.press('Remove route list-exams')
    await change(second, 'list-exams', deadline_ms='2500')
    await change(second, 'book-exam', deadline_ms='7000')
    world.publish(await hand_over(first))
    await second.press('Review changes')
    assert_that(second.text(), Contains('routes list-exams'))
    assert_that(second.text(), Contains('It was removed'))
    await second.press('Rebase onto version 2')
    names = [
        route['name']
        for route in json.loads(await hand_over(second))['routes']
    ]
    assert_that(names, HasLength(6))


@pytest.mark.asyncio
async def test_a_host_that_nobody_asks_is_named(world: World) -> None:
    """A host that joined after the settings were written is not passed."""
    member = MemberStatus(
        name='host-7',
        address='10.20.0.8:8090',
        failure_domain='tt-south-b',
        incarnation=1,
        state='live',
        age_ms=10,
        entries=(),
    )
    gone = replace(member, name='host-8', state='gone')
    own = replace(member, name='host-0')
    world.status = replace(world.status, members=(own, member, gone))
    browser = await world.sign_in()
    for path in ('/rollout?version=1', '/fleet'):
        await browser.open(path)
        alert = browser.page.find('div', {'class': 'alert'})
        assert alert is not None
        assert_that(alert.get_text(), Contains('host-7'))
        assert_that(alert.get_text(), Not(Contains('host-8')))
        assert_that(alert.get_text(), Not(Contains('host-0')))
