"""Reads figures from the metrics of entries."""

from asyncio import gather
from asyncio import Semaphore
from collections import Counter
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch

from aiohttp import ClientSession
from prometheus_client.parser import text_string_to_metric_families
from prometheus_client.samples import Sample

from cowslipmill.status.collector import fetch_page
from cowslipmill.status.collector import MAX_CALLS_AT_ONCE
from cowslipmill.status.collector import NoResponse

REQUESTS = 'cowslipmill_requests_total'
OUTCOMES = ('answered', 'not-run', 'unknown')
WORDS = ('budget', 'suspect')
IGNORED_SUFFIXES = ('_created', '_bucket')
MAX_FIGURES = 500


@dataclass(frozen=True, slots=True)
class EntryMetrics:
    """What the metrics of one entry say.

    Attributes:
        address: Administration address of the entry.
        requests: Requests by route and outcome.
        other_samples: Samples about budgets and suspects.
    """

    address: str
    requests: Counter[tuple[str, str]]
    other_samples: tuple[Sample, ...]


EntryResult = EntryMetrics | NoResponse


async def collect_metrics(
    session: ClientSession, addresses: Sequence[str]
) -> tuple[EntryResult, ...]:
    """Asks entries for their metrics; one answer each, in order."""
    gate = Semaphore(MAX_CALLS_AT_ONCE)

    async def ask(address: str) -> EntryResult:
        async with gate:
            raw = await fetch_page(session, address, '/metrics')
        if isinstance(raw, NoResponse):
            return raw
        try:
            return parse_metrics(address, raw.decode())
        except ValueError as error:
            return NoResponse(address, f'no metrics: {error}')

    return tuple(await gather(*(ask(address) for address in addresses)))


def parse_metrics(address: str, text: str) -> EntryMetrics:
    """Returns the figures of one page of metrics.

    Raises:
        ValueError: If the page holds no metrics.
    """
    requests: Counter[tuple[str, str]] = Counter()
    others: list[Sample] = []
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == REQUESTS:
                labels = sample.labels
                key = (labels.get('route', ''), labels.get('outcome', ''))
                requests[key] += int(sample.value)
            elif is_listed(sample.name):
                others.append(sample)
    return EntryMetrics(address, requests, tuple(others[:MAX_FIGURES]))


def is_listed(name: str) -> bool:
    """Tells whether a sample is about budgets or suspects."""
    if name.endswith(IGNORED_SUFFIXES):
        return False
    return any(word in name for word in WORDS)


@singledispatch
def request_counts(answer: EntryResult) -> Counter[tuple[str, str]]:
    """Returns the requests that an entry tells of."""
    raise TypeError(f'not an answer: {answer!r}')


@request_counts.register
def requests_of_figures(answer: EntryMetrics) -> Counter[tuple[str, str]]:
    """Returns the counters."""
    return answer.requests


@request_counts.register
def requests_of_nobody(answer: NoResponse) -> Counter[tuple[str, str]]:
    """Returns none."""
    return Counter()


def count_outcomes(
    answers: Iterable[EntryResult],
) -> dict[str, Counter[str]]:
    """Returns requests of all entries by route and then by outcome."""
    total: dict[str, Counter[str]] = {}
    for answer in answers:
        for (route, outcome), count in request_counts(answer).items():
            label = outcome.partition(';')[0]
            total.setdefault(route, Counter())[label] += count
    return total
