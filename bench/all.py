"""make bench: every measurement, one after the other."""

from bench import (
    capacity,
    choice,
    core,
    cost,
    exposure,
    fleet,
    hedge,
    latency,
    overload,
    router,
    state,
    watch,
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
        watch,
    )
    for module in modules:
        module.main()


if __name__ == "__main__":
    main()
