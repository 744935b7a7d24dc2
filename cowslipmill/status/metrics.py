"""Collects metrics of entries."""

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
from cowslipmill.status.collector import MAX_CONCURRENT_CALLS
from cowslipmill.status.collector import NoResponse

REQUESTS = 'cowslipmill_requests_total'
OUTCOMES = ('answered', 'not-run', 'unknown')
LISTED_WORDS = ('budget', 'suspect')
IGNORED_SUFFIXES = ('_created', '_bucket')
MAX_OTHER_SAMPLES = 500


@dataclass(frozen=True, slots=True)
class EntryMetrics:
    """The metrics of one entry that the console shows.

    Attributes:
        address: Administration address of the entry.
        requests: Number of requests by route and outcome.
        other_samples: Samples about budgets and suspects.
    """

    address: str
    requests: Counter[tuple[str, str]]
    other_samples: tuple[Sample, ...]


EntryResult = EntryMetrics | NoResponse


async def collect_metrics(
    session: ClientSession, addresses: Sequence[str]
) -> tuple[EntryResult, ...]:
    """Fetches the metrics of entries; returns one result each, in order."""
    semaphore = Semaphore(MAX_CONCURRENT_CALLS)

    async def fetch_metrics(address: str) -> EntryResult:
        async with semaphore:
            raw = await fetch_page(session, address, '/metrics')
        if isinstance(raw, NoResponse):
            return raw
        try:
            return parse_metrics(address, raw.decode())
        except ValueError as error:
            return NoResponse(address, f'no metrics: {error}')

    return tuple(
        await gather(*(fetch_metrics(address) for address in addresses))
    )


def parse_metrics(address: str, text: str) -> EntryMetrics:
    """Parses one page of metrics in the Prometheus text format.

    Raises:
        ValueError: If the page is malformed.
    """
    requests: Counter[tuple[str, str]] = Counter()
    other_samples: list[Sample] = []
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == REQUESTS:
                labels = sample.labels
                key = (labels.get('route', ''), labels.get('outcome', ''))
                requests[key] += int(sample.value)
            elif is_listed(sample.name):
                other_samples.append(sample)
    return EntryMetrics(
        address, requests, tuple(other_samples[:MAX_OTHER_SAMPLES])
    )


def is_listed(name: str) -> bool:
    """Returns whether a sample is about budgets or suspects."""
    if name.endswith(IGNORED_SUFFIXES):
        return False
    return any(word in name for word in LISTED_WORDS)


@singledispatch
def request_counts(result: EntryResult) -> Counter[tuple[str, str]]:
    """Returns the requests of an entry by route and outcome.

    Raises:
        TypeError: If the result's type has no handler.
    """
    raise TypeError(f'not an entry result: {result!r}')


@request_counts.register
def entry_request_counts(result: EntryMetrics) -> Counter[tuple[str, str]]:
    """Returns the requests that the metrics count."""
    return result.requests


@request_counts.register
def no_request_counts(result: NoResponse) -> Counter[tuple[str, str]]:
    """Returns no requests for an entry without metrics."""
    return Counter()


def count_outcomes(
    results: Iterable[EntryResult],
) -> dict[str, Counter[str]]:
    """Returns the requests of all entries by route, then by outcome.

    A reason after the outcome, separated by a semicolon, is left out.
    """
    total: dict[str, Counter[str]] = {}
    for result in results:
        for (route, outcome), count in request_counts(result).items():
            label = outcome.partition(';')[0]
            total.setdefault(route, Counter())[label] += count
    return total
