"""The soak notices each broken promise."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals

from cowslipmill.soak.ledger import Ask
from cowslipmill.soak.ledger import CALLERS
from cowslipmill.soak.ledger import CRASHER
from cowslipmill.soak.ledger import Evacuated
from cowslipmill.soak.ledger import Ledger
from cowslipmill.soak.ledger import process_of
from cowslipmill.soak.plan import draw_plan
from cowslipmill.standin.backend import Arrival
from cowslipmill.standin.backend import Run
from cowslipmill.standin.backend import StandinBackend


def make_backend(*request_ids: str) -> StandinBackend:
    backend = StandinBackend('one')
    for request_id in request_ids:
        headers = {'x-request-id': request_id}
        backend.runs.append(Run('GET', '/', headers, b''))
    return backend


def make_ledger(*asks: Ask) -> Ledger:
    ledger = Ledger()
    ledger.asks = {ask.request_id: ask for ask in asks}
    return ledger


def answered(request_id: str, *, idempotent: bool = False) -> Ask:
    body = f'one {request_id}'.encode()
    mark = f'{request_id}.ok'.encode()
    return Ask(request_id, idempotent, 0.0, 200, body, mark)


def test_kept_promises_are_no_fault() -> None:
    ledger = make_ledger(answered('q1'), answered('q2', idempotent=True))
    backends = [make_backend('q1', 'q2'), make_backend('q2')]
    assert_that(ledger.check(backends), Equals([]))


@pytest.mark.parametrize(
    ('ask', 'runs', 'fault'),
    [
        (answered('q1'), ('q1', 'q1'), 'ran 2 times'),
        (Ask('q1', False, 0.0, 503), ('q1',), 'told as not run'),
        (answered('q2'), ('q1', 'q2'), 'nobody sent it'),
        (Ask('q1', False, 0.0, 200, b'one q2', b'q1.ok'), ('q1',), 'got'),
        (Ask('q1', False, 0.0, 200, b'one q1', b''), ('q1',), 'no mark'),
    ],
)
def test_a_broken_promise_is_told(
    ask: Ask, runs: tuple[str, ...], fault: str
) -> None:
    broken = make_ledger(ask).check([make_backend(*runs)])
    assert_that('\n'.join(broken), Contains(fault))


def test_a_request_that_goes_on_to_crash_servers_is_told() -> None:
    times = (0.0, 0.1, 0.2, 3.0, 4.0, 5.0, 6.0, 7.0)
    backend = StandinBackend('one')
    for number, began_at in enumerate(times):
        headers = {'x-request-id': f'q{number}'}
        backend.runs.append(Run('POST', '/', headers, CRASHER, began_at))
    asks = [Ask(f'q{number}', False, 0.0) for number in range(len(times))]
    broken = make_ledger(*asks).check([backend])
    assert_that(broken, Equals(['a request crashed 4 servers late']))
    for _ in times[1:]:
        backend.runs.pop()
        assert_that(make_ledger(*asks).check([backend]), Equals([]))


def test_a_server_above_its_limit_is_told() -> None:
    backend = StandinBackend('one')
    # Eleven requests in 4 s are allowed at a limit of 1 a second.
    for number in range(12):
        headers = {'x-request-id': f'q{number}'}
        backend.runs.append(Run('GET', '/', headers, b'', 3.0 + 0.36 * number))
    asks = [Ask(f'q{number}', True, 0.0) for number in range(12)]
    ledger = make_ledger(*asks)
    ledger.limits['one'] = (1.0, 0.0)
    broken = ledger.check([backend])
    assert_that(broken, Equals(['one: 12 at a limit of 1.0 a second']))
    backend.runs.pop()
    ledger.broken.clear()
    assert_that(ledger.check([backend]), Equals([]))


def make_pause(*arrived_at: float) -> StandinBackend:
    """Returns a server that told a host at 1.0 to send nothing for 2 s."""
    backend = StandinBackend('one')
    backend.turned_away.append(('10.0.0.1', 1.0, '2.0'))
    for at in arrived_at:
        backend.arrivals.append(Arrival('10.0.0.1', at, for_health=True))
    return backend


def test_a_host_that_does_not_heed_a_pause_is_told() -> None:
    """Two requests are allowed, and any before and after it."""
    allowed = (1.0, 1.2, 1.49, 1.6, 2.9, 3.1, 3.2)
    assert_that(make_ledger().check([make_pause(*allowed)]), Equals([]))
    backend = make_pause(*allowed, 2.0)
    broken = make_ledger().check([backend])
    assert_that(broken, Equals(['one: 3 from 10.0.0.1 in a pause of 2.0 s']))
    ledger = make_ledger()
    ledger.excuse('10.0.0.1', 2.5, 0.1)
    assert_that(ledger.check([backend]), Equals([]))


def test_a_host_that_does_not_heed_a_word_of_leaving_is_told() -> None:
    """Questions for its health are no requests of callers."""
    backend = StandinBackend('one')
    backend.told_leaving['10.0.0.1'] = 1.0
    backend.arrivals += [
        Arrival('10.0.0.1', 2.9, for_health=False),
        Arrival('10.0.0.1', 3.5, for_health=True),
        Arrival('10.0.0.2', 3.5, for_health=False),
    ]
    assert_that(make_ledger().check([backend]), Equals([]))
    backend.arrivals.append(Arrival('10.0.0.1', 3.5, for_health=False))
    broken = make_ledger().check([backend])
    assert_that(
        broken,
        Equals(['one: a request of 10.0.0.1 2.500 s after it said it leaves']),
    )


def test_the_served_share_counts_the_recent_attempts_only() -> None:
    late = Ask('q3', True, 5.0, 504)
    ledger = make_ledger(answered('q1'), late, Ask('q2', True, 6.0, 200))
    assert_that(ledger.served_share(5.0), Equals(0.5))


def test_a_seed_always_gives_the_same_plan() -> None:
    assert_that(draw_plan(7, 8.0), Equals(draw_plan(7, 8.0)))
    assert_that(draw_plan(7, 8.0) == draw_plan(8, 8.0), Equals(False))


def cut_off(after_s: float) -> Ask:
    return Ask('q1', False, 10.0, host='1.2.3.4', cut_at=10.0 + after_s)


@pytest.mark.parametrize(
    ('after_s', 'ran', 'excused', 'told'),
    [
        (0.1, True, '1.2.3.4', 1),
        (0.1, True, 'another', 1),
        (0.1, True, CALLERS, 1),
        (0.1, True, 'one', 0),
        (0.1, True, process_of('1.2.3.4'), 0),
        (0.1, False, 'another', 0),
        (0.3, False, 'another', 1),
        (0.3, False, CALLERS, 0),
        (0.3, False, process_of('1.2.3.4'), 0),
    ],
)
def test_a_request_that_its_host_cuts_off_is_told(
    after_s: float, ran: bool, excused: str, told: int
) -> None:
    ledger = make_ledger(cut_off(after_s))
    ledger.excuse(excused, 9.0, 5.0)
    broken = ledger.check([make_backend(*(['q1'] if ran else []))])
    assert_that(len(broken), Equals(told))


def test_a_disturbance_that_was_over_excuses_no_cut() -> None:
    ledger = make_ledger(cut_off(0.1))
    ledger.excuse(process_of('1.2.3.4'), 8.0, 1.9)
    broken = ledger.check([make_backend('q1')])
    assert_that(
        broken, Equals(['q1: cut off by 1.2.3.4 after 0.100 s, at one'])
    )


@pytest.mark.parametrize(
    ('at', 'excused', 'broken'),
    [
        (5.5, '10.0.0.1', 0),
        (6.5, '', 1),
        (6.5, '10.0.0.1', 0),
        (6.5, '10.0.0.2', 1),
        (9.5, '', 0),
    ],
)
def test_a_request_into_an_evacuated_domain_is_told(
    at: float, excused: str, broken: int
) -> None:
    """From the allowed time on until the evacuation ends."""
    ledger = make_ledger()
    ledger.evacuated.append(Evacuated(['one'], 1.0, 9.0))
    ledger.excuse(excused, 5.0, 0.5)
    backend = StandinBackend('one')
    backend.arrivals.append(Arrival('10.0.0.1', at, False))
    assert_that(len(ledger.check([backend])), Equals(broken))
