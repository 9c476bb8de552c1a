"""Prints a table of ways and forms: `python -m tests.brittle_table --ways leased`."""

import argparse
from collections.abc import Callable
from dataclasses import replace

from tests.brittle_simulation import BrittleWorld, Figures, Form
from tests.brittle_ways import WAYS

EVEN = Form()
FORMS = {
    "even": EVEN,
    "pulses": replace(EVEN, demand=0.9, pulses=True),
    "killed": replace(EVEN, kill_ms=1000.0),
    "killed_arbiter": replace(EVEN, kill_arbiter_ms=3000.0),
    "suspended": replace(EVEN, suspend_ms=1000.0),
    "lost_2": replace(EVEN, lost=0.02),
    "lost_5": replace(EVEN, lost=0.05),
    "same_ids": replace(EVEN, end_ms=1500.0),
    "new_ids": replace(EVEN, end_ms=1500.0, new_ids=True),
    "regions": replace(EVEN, regions=True),
}
COLUMNS: dict[str, Callable[[Figures], float]] = {
    "falls": lambda f: f.falls,
    "rejected": lambda f: f.rejections,
    "served": lambda f: f.served / f.possible,
    "fast": lambda f: f.fast / f.possible,
    "untimed": lambda f: f.untimed,
    "failed": lambda f: f.failed,
    "lost": lambda f: f.lost,
    "messages": lambda f: f.messages_per_s,
}


def run_form(way: str, form: Form, seeds: int) -> list[Figures]:
    return [BrittleWorld(WAYS.get(way), form, 1 + n).run() for n in range(seeds)]


def row(figures: list[Figures]) -> str:
    """Returns the means, and the worst falls and share served."""
    cells = []
    for name, value in COLUMNS.items():
        mean = sum(map(value, figures)) / len(figures)
        cells.append(f"{mean:8.3f}" if name in ("served", "fast") else f"{mean:8.1f}")
    falls = max(f.falls for f in figures)
    served = min(f.served / f.possible for f in figures)
    return " ".join([*cells, f"{falls:8}", f"{served:8.3f}"])


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ways", nargs="*", default=WAYS.names())
    parser.add_argument("--forms", nargs="*", default=list(FORMS))
    parser.add_argument("--gateways", nargs="*", type=int, default=[12, 24, 61])
    parser.add_argument("--rejections", nargs="*", type=int, default=[2, 4])
    parser.add_argument("--patience-ms", type=float, default=EVEN.patience_ms)
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    titles = " ".join(f"{name:>8}" for name in [*COLUMNS, "falls_>", "served_<"])
    print(f"{'way':11} {'form':14} {'gw':>2} N {titles}", flush=True)
    for gateways in options.gateways:
        for rejections_max in options.rejections:
            for name in options.forms:
                form = replace(
                    FORMS[name],
                    gateways=gateways,
                    rejections_max=rejections_max,
                    patience_ms=options.patience_ms,
                )
                for way in options.ways:
                    cells = row(run_form(way, form, options.seeds))
                    place = f"{gateways:2} {rejections_max}"
                    print(f"{way:11} {name:14} {place} {cells}", flush=True)


if __name__ == "__main__":
    main()
