"""Plots latency curves."""

from pathlib import Path

from matplotlib.figure import Figure

from cowslipmill.bench.recorder import Recorder

PERCENTILES = (0, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99)


def plot_latency(
    path: Path, title: str, recorders: dict[str, Recorder]
) -> None:
    """Writes a picture with one latency curve for each recorder.

    Args:
        path: A file name that ends in `.png`.
        title: Heading.
        recorders: Recorders by the name of their curve.
    """
    figure = Figure(figsize=(9, 5), layout='constrained')
    axes = figure.add_subplot()
    for name, recorder in recorders.items():
        values = [recorder.percentile_ms(share) for share in PERCENTILES]
        axes.plot(range(len(PERCENTILES)), values, marker='o', label=name)
    labels = [str(share) for share in PERCENTILES]
    axes.set_xticks(range(len(PERCENTILES)), labels)
    axes.set_yscale('log')
    axes.set_xlabel('percentile of answered requests')
    axes.set_ylabel('latency, ms')
    axes.set_title(title)
    axes.legend()
    figure.savefig(path)
