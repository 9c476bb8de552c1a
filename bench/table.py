"""Prints the results of benchmarks, with the median and range over seeds."""

import statistics
from collections.abc import Sequence


def format_spread(values: Sequence[float]) -> str:
    """Formats the median with the minimum and the maximum."""
    median_value = statistics.median(values)
    return f"{median_value:.4g} ({min(values):.4g}..{max(values):.4g})"


def percentile(values: Sequence[float], percent: float) -> float:
    """Returns a percentile by the nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100.0))]


def print_title(text: str) -> None:
    print(f"\n## {text}", flush=True)


def print_row(name: str, **figures: str | float | int) -> None:
    columns = "  ".join(
        f"{key}={value:.4g}" if isinstance(value, float) else f"{key}={value}"
        for key, value in figures.items()
    )
    print(f"{name:28} {columns}", flush=True)
