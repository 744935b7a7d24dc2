"""Tests of what experiments print."""

import json

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.bench.experiment import Result
from cowslipmill.bench.recorder import Recorder
from cowslipmill.bench.report import json_line
from cowslipmill.bench.report import table_lines


def test_json_line_has_every_key() -> None:
    """The last line is one object with figures and arms."""
    result = Result(hosts=3, figures={'p99_ms': 1.5}, arms={'random': {}})
    line = json_line('overhead', 'caroni', 7, result)
    assert_that(
        json.loads(line),
        Equals(
            {
                'experiment': 'overhead',
                'deployment': 'caroni',
                'seed': 7,
                'hosts': 3,
                'figures': {'p99_ms': 1.5},
                'arms': {'random': {}},
            }
        ),
    )


def test_table_shows_a_dash_for_a_missing_figure() -> None:
    """Arms may lack figures that others have."""
    arms = {'random': {'a': 1.0}, 'oracle': {'b': 2.0}}
    lines = table_lines(Result(hosts=1, figures={}, arms=arms))
    assert_that(lines[2].split(), Equals(['oracle', '-', '2']))


def test_refused_requests_have_no_latency() -> None:
    """Only answers count in the percentiles."""
    recorder = Recorder()
    recorder.record('answered', 0.010)
    recorder.record('not-run', 5.0)
    assert_that(round(recorder.percentile_ms(99)), Equals(10))
    assert_that(recorder.share('not-run'), Equals(0.5))
