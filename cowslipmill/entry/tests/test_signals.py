"""Tests of the signals in response headers of servers."""

from hypothesis import given
from hypothesis import strategies
from multidict import CIMultiDict
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import Is

from cowslipmill.attempts.event import Load
from cowslipmill.attempts.event import Signals
from cowslipmill.entry.signals import MAX_METRIC_VALUE
from cowslipmill.entry.signals import parse_load_report
from cowslipmill.entry.signals import parse_signals


def test_load_and_leaving_signal_are_parsed() -> None:
    """Both headers become typed values."""
    headers = CIMultiDict(
        {
            'endpoint-load-metrics': (
                'TEXT named_metrics.in_flight=3, named_metrics.queue=2'
            ),
            'cowslipmill-leaving': '1',
        }
    )
    expected = Signals(Load(in_flight=3, queued=2), leaving=True)
    assert_that(parse_signals(headers), Equals(expected))


def test_response_without_headers_has_no_signals() -> None:
    """Both signals are optional."""
    assert_that(parse_signals(CIMultiDict()), Equals(Signals()))


@pytest.mark.parametrize(
    'report',
    [
        '',
        'JSON {"named_metrics": {"in_flight": 3}}',
        'TEXT named_metrics.queue=2',
        'TEXT named_metrics.in_flight=-3',
        'TEXT named_metrics.in_flight=\u0663',
        'TEXT ' + 'named_metrics.in_flight=1,' * 100,
    ],
)
def test_malformed_report_is_no_load(report: str) -> None:
    """A report that cannot be parsed counts as none."""
    assert_that(parse_load_report(report), Is(None))


@given(strategies.text(max_size=200))
def test_any_report_is_parsed_or_ignored(text: str) -> None:
    """No report raises an error, and every load is within its limits."""
    load = parse_load_report(f'TEXT {text}, named_metrics.in_flight=7{text}')
    if load is not None:
        assert_that(0 <= load.in_flight <= MAX_METRIC_VALUE, Is(True))
        assert_that(0 <= load.queued <= MAX_METRIC_VALUE, Is(True))
