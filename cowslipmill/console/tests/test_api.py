"""The administration API as a program calls it."""

import json
from typing import Any

from aiohttp import ClientResponse
from jsonschema import Draft202012Validator
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import MatchesListwise

from cowslipmill.console.tests.conftest import ALL_TEAMS_TOKEN
from cowslipmill.console.tests.conftest import TEAM_TOKEN
from cowslipmill.console.tests.conftest import World
from cowslipmill.document.digest import document_digest

PROBLEM = 'application/problem+json'


class Caller:
    """A program with a token.

    Attributes:
        world: The consoles.
        token: Its token.
    """

    __slots__ = ('token', 'world')

    def __init__(self, world: World, token: str = ALL_TEAMS_TOKEN) -> None:
        """Keeps both."""
        self.world = world
        self.token = token

    async def call(
        self, method: str, path: str, content: Any = None, **headers: str
    ) -> ClientResponse:
        """Makes one call."""
        browser = await self.world.visit()
        named = {key.replace('_', '-'): headers[key] for key in headers}
        raw = content if isinstance(content, bytes) else json.dumps(content)
        return await browser.client.request(
            method,
            f'/api/v1/{path}',
            data=None if content is None else raw,
            headers={'Authorization': f'Bearer {self.token}'} | named,
        )

    async def read(self) -> tuple[Any, str]:
        """Returns the document in force and its entity tag."""
        answer = await self.call('GET', 'document')
        return await answer.json(), answer.headers['ETag']


def find_route(document: Any, name: str) -> Any:
    """Returns one route."""
    routes = document['routes']
    return next(route for route in routes if route['name'] == name)


@pytest.mark.asyncio
async def test_a_proposal_becomes_the_next_version(world: World) -> None:
    """Read, change, propose with If-Match, publish, watch."""
    caller = Caller(world)
    document, tag = await caller.read()
    find_route(document, 'book-exam')['deadline_ms'] = 7000
    answer = await caller.call('POST', 'proposals', document, If_Match=tag)
    assert_that(answer.status, Equals(200))
    accepted = await answer.json()
    assert_that(accepted['document']['version'], Equals(2))
    raw = json.dumps(accepted['document'], separators=(',', ':')).encode()
    assert_that(document_digest(raw), Equals(accepted['digest']))
    world.publish(raw)
    query = f'rollout?version=2&digest={accepted["digest"]}'
    rollout = await (await caller.call('GET', query)).json()
    assert_that(
        [host['standing'] for host in rollout['hosts']],
        Equals(['in force', 'no answer']),
    )
    assert_that(rollout['agree'], Equals(False))


@pytest.mark.asyncio
async def test_an_entity_tag_saves_and_guards(world: World) -> None:
    """A known document is not sent again; an overtaken one is refused."""
    caller = Caller(world)
    document, tag = await caller.read()
    same = await caller.call('GET', 'document', If_None_Match=tag)
    assert_that(same.status, Equals(304))
    missing = await caller.call('POST', 'proposals', document)
    assert_that(missing.status, Equals(428))
    world.publish(json.dumps(document | {'version': 2, 'base': 1}).encode())
    late = await caller.call('POST', 'proposals', document, If_Match=tag)
    assert_that(late.status, Equals(412))
    assert_that(late.content_type, Equals(PROBLEM))
    assert_that(late.headers['ETag'], Contains('"2-'))


@pytest.mark.asyncio
async def test_a_danger_needs_its_key(world: World) -> None:
    """The keys come with the refusal and hold for just these dangers."""
    caller = Caller(world)
    document, tag = await caller.read()
    find_route(document, 'book-exam')['idempotent'] = True
    answer = await caller.call('POST', 'proposals', document, If_Match=tag)
    assert_that(answer.status, Equals(409))
    dangers = (await answer.json())['dangers']
    assert_that(dangers, HasLength(1))
    path = f'proposals?confirm={dangers[0]["key"]}'
    answer = await caller.call('POST', path, document, If_Match=tag)
    assert_that(answer.status, Equals(200))
    find_route(document, 'issue-certificate')['idempotent'] = True
    answer = await caller.call('POST', path, document, If_Match=tag)
    assert_that(answer.status, Equals(409))


@pytest.mark.asyncio
async def test_every_wrong_field_is_named(world: World) -> None:
    """Problem details list each field by its JSON path."""
    caller = Caller(world)
    document, tag = await caller.read()
    find_route(document, 'check-standing')['deadline_ms'] = 'soon'
    document['services'][1]['colour'] = 'red'
    answer = await caller.call('POST', 'proposals', document, If_Match=tag)
    assert_that(answer.status, Equals(422))
    assert_that(answer.content_type, Equals(PROBLEM))
    errors = (await answer.json())['errors']
    assert_that(
        sorted(error['path'] for error in errors),
        Equals(['$.routes[0].deadline_ms', '$.services[1].colour']),
    )


@pytest.mark.asyncio
@pytest.mark.parametrize('token', ['', 'wrong', ALL_TEAMS_TOKEN + 'x'])
async def test_without_a_known_token_nothing_is_told(
    world: World, token: str
) -> None:
    """Each call but the description needs a token."""
    caller = Caller(world, token)
    calls = [
        ('GET', 'document'),
        ('GET', 'fleet'),
        ('GET', 'rollout?version=1'),
        ('POST', 'proposals'),
        ('POST', 'difference'),
        ('PUT', 'teams/standing/sections'),
    ]
    for method, path in calls:
        answer = await caller.call(method, path)
        assert_that(answer.status, Equals(401))
        assert_that(answer.headers['WWW-Authenticate'], Equals('Bearer'))


@pytest.mark.asyncio
async def test_a_session_cookie_does_not_open_the_api(world: World) -> None:
    """So that no other site's form can call it."""
    browser = await world.sign_in()
    await browser.open('/api/v1/document')
    assert_that(browser.status, Equals(401))


@pytest.mark.asyncio
async def test_a_team_changes_its_own_sections_only(world: World) -> None:
    """Its sections are replaced whole; another's are refused."""
    caller = Caller(world, TEAM_TOKEN)
    document, tag = await caller.read()
    own = {
        'services': [document['services'][1]],
        'routes': [
            find_route(document, 'list-exams') | {'deadline_ms': 2500},
            find_route(document, 'book-exam'),
        ],
    }
    path = 'teams/examinations/sections'
    answer = await caller.call('PUT', path, own, If_Match=tag)
    assert_that(answer.status, Equals(200))
    merged = (await answer.json())['document']
    assert_that(merged['routes'], HasLength(7))
    cases = [
        ('PUT', 'teams/standing/sections', {'services': [], 'routes': []}),
        ('POST', 'proposals', document | {'resend_memory_ms': 5000}),
        ('POST', 'proposals', document | {'teams': [], 'routes': []}),
    ]
    for method, path, content in cases:
        answer = await caller.call(method, path, content, If_Match=tag)
        assert_that(answer.status, Equals(422))


@pytest.mark.asyncio
async def test_a_team_may_not_take_anothers_requests(world: World) -> None:
    """A narrower route in its own section is refused, not just confirmed."""
    caller = Caller(world, TEAM_TOKEN)
    document, tag = await caller.read()
    narrower = find_route(document, 'list-exams') | {
        'name': 'all-standings',
        'path': '/technicians/1/standing',
    }
    document['routes'].append(narrower)
    answer = await caller.call('POST', 'proposals', document, If_Match=tag)
    assert_that(answer.status, Equals(422))
    assert_that(await answer.text(), Contains("'check-standing' of another"))


@pytest.mark.asyncio
async def test_a_difference_accepts_nothing(world: World) -> None:
    """It needs no If-Match and returns no document."""
    caller = Caller(world)
    document, _ = await caller.read()
    find_route(document, 'book-exam')['deadline_ms'] = 4000
    answer = await caller.call('POST', 'difference', document)
    compared = await answer.json()
    fields = compared['difference']['changes'][0]['fields']
    assert_that(
        fields,
        MatchesListwise(
            [Equals({'field': 'deadline_ms', 'before': 5000, 'after': 4000})]
        ),
    )
    assert_that(compared['dangers'], HasLength(1))


@pytest.mark.asyncio
@pytest.mark.parametrize(
    ('content', 'status'),
    [(b'', 422), (b'[', 422), (b'null', 422), (b' ' * 2_000_000, 413)],
)
async def test_bodies_that_hold_no_document_are_refused(
    world: World, content: bytes, status: int
) -> None:
    """Any body ends in problem details."""
    caller = Caller(world)
    _, tag = await caller.read()
    answer = await caller.call('POST', 'proposals', content, If_Match=tag)
    assert_that(answer.status, Equals(status))
    assert_that(answer.content_type, Equals(PROBLEM))


@pytest.mark.asyncio
async def test_the_description_names_every_call_and_type(
    world: World,
) -> None:
    """Each path of the API is described and each schema is valid."""
    caller = Caller(world)
    answer = await caller.call('GET', 'openapi.json')
    description = await answer.json()
    app = world.consoles[0].app
    served = {
        resource.canonical
        for resource in app.router.resources()
        if resource.canonical.startswith('/api/v1/')
    }
    described = set(description['paths']) | {'/api/v1/openapi.json'}
    assert_that(described, Equals(served))
    for schema in description['components']['schemas'].values():
        Draft202012Validator.check_schema(schema)
