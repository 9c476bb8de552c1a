"""Runs all benchmarks in turn; called by `make bench`."""

from bench import (
    capacity,
    choice,
    core,
    cost,
    exposure,
    fleet,
    hedge,
    latency,
    liveness,
    overload,
    router,
    state,
)


def main() -> None:
    modules = (
        core,
        choice,
        cost,
        exposure,
        latency,
        overload,
        hedge,
        state,
        router,
        fleet,
        capacity,
        liveness,
    )
    for module in modules:
        module.main()


if __name__ == "__main__":
    main()
