"""What an experiment prints."""

from typing import Any

from msgspec import json

from cowslipmill.bench.experiment import Result


def table_lines(result: Result) -> list[str]:
    """Returns the figures as a table for a person."""
    lines = [
        f'{name:34} {value:>12.4g}' for name, value in result.figures.items()
    ]
    if not result.arms:
        return lines
    names = list(dict.fromkeys(n for arm in result.arms.values() for n in arm))
    width = max(len(name) for name in (*result.arms, 'arm')) + 2
    lines.append(''.join(['arm'.ljust(width), *(f'{n:>28}' for n in names)]))
    for arm, figures in result.arms.items():
        cells = [
            f'{figures[name]:>28.4g}' if name in figures else f'{"-":>28}'
            for name in names
        ]
        lines.append(''.join([arm.ljust(width), *cells]))
    return lines


def json_line(
    experiment: str, deployment: str, seed: int, result: Result
) -> str:
    """Returns the one JSON object that ends the output."""
    content: dict[str, Any] = {
        'experiment': experiment,
        'deployment': deployment,
        'seed': seed,
        'hosts': result.hosts,
        'figures': result.figures,
        'arms': result.arms,
    }
    return json.encode(content).decode()
