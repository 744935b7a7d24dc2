"""Prints the outcomes of the loads of docs/design/hard-load.md as a table.

Run with `python -m cowslipmill.bench.mixedtable SEEDS`.
"""

from concurrent.futures import ProcessPoolExecutor
import sys

from cowslipmill.bench.mixedloads import IMAGING
from cowslipmill.bench.mixedloads import KindOutcome
from cowslipmill.bench.mixedloads import LoadOutcome
from cowslipmill.bench.mixedloads import make_loads
from cowslipmill.bench.mixedloads import play
from cowslipmill.bench.mixedloads import SERVICES
from cowslipmill.bench.mixedloads import WAYS

# Leaves most of a machine to others.
PROCESSES = 3


def play_index(service: int, load: int, way: str, seeds: int) -> LoadOutcome:
    """Returns the outcome of a load, both by their index."""
    chosen = SERVICES[service]
    return play(chosen, make_loads(chosen)[load], way, range(1, seeds + 1))


def format_kind(name: str, kind: KindOutcome) -> str:
    """Returns the figures of one kind."""
    return (
        f'{name} {kind.in_time:.3f} {kind.served:.3f} '
        f'{1000 * kind.wait_p99_s:.0f} {kind.refused:.3f} '
        f'{1000 * kind.refused_after_s:.0f}'
    )


def main(seeds: int) -> None:
    """Prints one row for each service, load and way."""
    loads = len(make_loads(IMAGING))
    cases = [
        (service, load, way)
        for service in range(len(SERVICES))
        for load in range(loads)
        for way in WAYS
    ]
    with ProcessPoolExecutor(PROCESSES) as pool:
        outcomes = [
            pool.submit(play_index, service, load, way, seeds)
            for service, load, way in cases
        ]
        for (service, load, way), future in zip(cases, outcomes, strict=True):
            outcome = future.result()
            name = make_loads(SERVICES[service])[load].name
            kinds = (format_kind(*item) for item in outcome.kinds.items())
            row = (
                SERVICES[service].name,
                name,
                way,
                f'{outcome.benefit:.3f}',
                *kinds,
            )
            print('|', ' | '.join(row), '|')


if __name__ == '__main__':
    main(int(sys.argv[1]))
