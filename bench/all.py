"""make bench: every measurement, one after the other."""

from bench import capacity, core, cost, exposure, latency, overload, router, state


def main() -> None:
    for module in (core, cost, exposure, latency, overload, state, router, capacity):
        module.main()


if __name__ == "__main__":
    main()
