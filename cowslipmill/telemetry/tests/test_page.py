"""Tests that the operators' page lists the existing metrics."""

from pathlib import Path
import re
from subprocess import check_output
import sys

from testtools.assertions import assert_that
from testtools.matchers import Equals

ROOT = Path(__file__).resolve().parents[3]
PAGE = ROOT / 'docs' / 'operators' / 'telemetry.md'
METRIC_ROW = re.compile(
    r'^\| `(cowslipmill_\w+)` \| (\w+) \|([^|]*)\|', re.MULTILINE
)
LIST_METRICS = """
import cowslipmill.entry.main
from prometheus_client import REGISTRY
for collector in list(REGISTRY._collector_to_names):
    if not hasattr(collector, '_labelnames'):
        continue
    for metric in collector.collect():
        total = '_total' if metric.type == 'counter' else ''
        print(metric.name + total, metric.type, *collector._labelnames)
"""


def existing_metrics() -> dict[str, tuple[str, ...]]:
    """Returns type and labels of each metric of a new entry, by name."""
    output = check_output([sys.executable, '-c', LIST_METRICS], text=True)
    lines = [line.split() for line in output.splitlines()]
    return {
        name: tuple(rest)
        for name, *rest in lines
        if name.startswith('cowslipmill_')
    }


def test_page_lists_every_metric_of_an_entry() -> None:
    """Names, types and labels on the page equal those of the process."""
    named = {
        name: (kind, *re.findall(r'\w+', labels))
        for name, kind, labels in METRIC_ROW.findall(PAGE.read_text())
    }
    assert_that(named, Equals(existing_metrics()))
