"""Every fault, and each two in a row, at every step of the core."""

from collections.abc import Callable
from itertools import product

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from cowslipmill.attempts.action import Action
from cowslipmill.attempts.action import Choose
from cowslipmill.attempts.action import Confirm
from cowslipmill.attempts.action import Finish
from cowslipmill.attempts.action import Send
from cowslipmill.attempts.action import Write
from cowslipmill.attempts.advance import MAX_VIEW_AGE_MS
from cowslipmill.attempts.event import AnswerRead
from cowslipmill.attempts.event import CallerLeft
from cowslipmill.attempts.event import Connected
from cowslipmill.attempts.event import ConnectFailed
from cowslipmill.attempts.event import DeadlinePassed
from cowslipmill.attempts.event import ExchangeBroken
from cowslipmill.attempts.event import ServerConfirmed
from cowslipmill.attempts.event import ServerRefused
from cowslipmill.attempts.event import ServerUnconfirmed
from cowslipmill.attempts.event import Shed
from cowslipmill.attempts.tests.model import DEADLINE_S
from cowslipmill.attempts.tests.model import Model
from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.outcomes.outcome import Unknown

STALE_MS = MAX_VIEW_AGE_MS + 1


def crash_before_run(model: Model) -> None:
    """The server crashes with the request unread."""
    model.lose()


def crash_after_run(model: Model) -> None:
    """The server runs the request and its answer is lost."""
    model.run()
    model.lose()


def answer_badly(model: Model) -> None:
    """The server runs the request and sends too large an answer."""
    model.run()
    model.lose(Reason.ANSWER_TOO_LARGE)


def freeze(model: Model) -> None:
    """The server never answers; the request may have run."""
    model.run()
    model.now = DEADLINE_S
    model.feed(DeadlinePassed())


def leave(model: Model) -> None:
    """The caller closes its connection."""
    model.feed(CallerLeft())


def wake_late(model: Model) -> None:
    """The process pauses past the deadline and its timer comes last."""
    model.now = DEADLINE_S + 1


FAULTS: dict[type, dict[str, Callable[[Model], object]]] = {
    Choose: {
        'leave': leave,
        'wake-late': wake_late,
        'no-server': lambda model: model.feed(
            ServerRefused(NotRun(Reason.NO_SERVER, 1_000))
        ),
        'stale-view': lambda model: model.choose(age_ms=STALE_MS),
    },
    Confirm: {
        'leave': leave,
        'wake-late': wake_late,
        'leaving': lambda model: model.feed(ServerUnconfirmed()),
    },
    Send: {
        'leave': leave,
        'wake-late': wake_late,
        'refused': lambda model: model.feed(ConnectFailed()),
        'lost': lambda model: model.feed(
            ExchangeBroken(Reason.CONNECTION_LOST)
        ),
    },
    Write: {
        'leave': leave,
        'crash-before-run': crash_before_run,
        'crash-after-run': crash_after_run,
        'answer-too-large': answer_badly,
        'freeze': freeze,
        'shed': lambda model: model.feed(Shed(500)),
    },
}
CELLS = [(step, fault) for step, faults in FAULTS.items() for fault in faults]
NONE = (Finish, 'none')


def proceed(model: Model) -> None:
    """Takes the next step without a fault."""
    action: Action = model.action
    if isinstance(action, Choose):
        model.choose()
    if isinstance(action, Confirm):
        model.feed(ServerConfirmed())
    if isinstance(action, Send):
        model.feed(Connected())
    if isinstance(action, Write):
        model.run()
        model.feed(AnswerRead(200, (), b''))


def play(model: Model, cells: list[tuple[type, str]]) -> Outcome:
    """Runs a request to its end with faults at their steps, in order."""
    while not isinstance(model.action, Finish):
        if cells and isinstance(model.action, cells[0][0]):
            step, fault = cells.pop(0)
            FAULTS[step][fault](model)
        else:
            proceed(model)
    return model.action.outcome


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize(
    ('first', 'second'), list(product(CELLS, [NONE, *CELLS])), ids=str
)
def test_each_pair_of_faults(
    first: tuple[type, str], second: tuple[type, str], idempotent: bool
) -> None:
    """The model checks each write and the outcome against its ledger."""
    model = Model(idempotent=idempotent)
    play(model, [first, second])
    assert_that(len(model.outcomes), Equals(1))


@pytest.mark.parametrize(
    ('cell', 'idempotent', 'kind'),
    [
        ((Choose, 'wake-late'), False, NotRun),
        ((Send, 'wake-late'), False, NotRun),
        ((Send, 'leave'), False, NotRun),
        ((Send, 'refused'), False, Answered),
        ((Send, 'lost'), False, Answered),
        ((Choose, 'stale-view'), False, Answered),
        ((Write, 'shed'), False, Answered),
        ((Write, 'crash-before-run'), False, Unknown),
        ((Write, 'crash-before-run'), True, Answered),
        ((Write, 'crash-after-run'), False, Unknown),
        ((Write, 'freeze'), False, Unknown),
        ((Write, 'leave'), False, Unknown),
        ((Write, 'answer-too-large'), True, Unknown),
    ],
    ids=str,
)
def test_outcome_of_a_fault(
    cell: tuple[type, str], idempotent: bool, kind: type
) -> None:
    """One fault leads to the outcome that callers are promised."""
    outcome = play(Model(idempotent=idempotent), [cell])
    assert_that(outcome, IsInstance(kind))


def test_two_crashed_servers_end_an_idempotent_request() -> None:
    """No third server is given a request that broke two connections."""
    crash = (Write, 'crash-before-run')
    outcome = play(Model(idempotent=True), [crash, crash])
    assert_that(outcome, IsInstance(Unknown))
