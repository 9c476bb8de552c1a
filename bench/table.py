"""Prints what was measured: the median over seeds, and the spread."""

import statistics
from collections.abc import Sequence


def format_spread(values: Sequence[float]) -> str:
    """The median with the least and the most."""
    middle = statistics.median(values)
    return f"{middle:.4g} ({min(values):.4g}..{max(values):.4g})"


def percentile(values: Sequence[float], percent: float) -> float:
    """The value below which so many percent lie, by nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100.0))]


def print_title(text: str) -> None:
    print(f"\n## {text}", flush=True)


def print_row(name: str, **figures: str | float | int) -> None:
    shown = "  ".join(
        f"{key}={value:.4g}" if isinstance(value, float) else f"{key}={value}"
        for key, value in figures.items()
    )
    print(f"{name:28} {shown}", flush=True)
