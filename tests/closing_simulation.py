"""Compares which connections to close first when clients hold too much memory.

Run with `python -m tests.closing_simulation`: for each closing order and crowd, the
share of honest uploads that complete and of honest idle connections that stay open.
"""

import random
from dataclasses import dataclass

from ashlatch.clients import (
    CLOSING_ORDERS,
    MEMORY_AFTER_CLOSING_RATIO,
    PROGRESS_BYTES,
    ClientUse,
)

HELD_MAX_BYTES = 41_943_040
BASE_BYTES = 8_192
STEP_S = 0.05
DURATION_S = 20.0
ORDERS = ("largest", "slowest", "costliest")


@dataclass(frozen=True)
class Kind:
    """Clients of one kind: how many arrive, and what each sends."""

    arrivals_per_s: float
    size_bytes: int
    bytes_per_s: float
    completes: bool = False


# Honest uploads: small and quick, large and quick, large over a slow line.
HONEST = (
    Kind(20.0, 20_000, 2e6, True),
    Kind(2.0, 4_000_000, 8e6, True),
    Kind(0.5, 4_000_000, 1e6, True),
)
CROWDS = {
    "none": (),
    "short of their end": (Kind(60.0, 4_194_303, 4e7),),
    "trickled": (Kind(100.0, 400_000, 2e3),),
    "middle": (Kind(200.0, 300_000, 1e6),),
    "idle": (Kind(300.0, 1, 1.0),),
}


@dataclass
class Upload:
    kind: Kind
    since_s: float
    received_bytes: float = 0.0
    progress_bytes: float = 0.0

    @property
    def complete(self) -> bool:
        return self.received_bytes >= self.kind.size_bytes

    def receive(self, now_s: float) -> None:
        received = self.received_bytes + self.kind.bytes_per_s * STEP_S
        self.received_bytes = min(received, self.kind.size_bytes)
        if self.received_bytes - self.progress_bytes >= PROGRESS_BYTES:
            self.progress_bytes = self.received_bytes
            self.since_s = now_s

    def use(self) -> ClientUse:
        return ClientUse(BASE_BYTES + int(self.received_bytes), self.since_s)


IDLE = Kind(0.0, 1, 0.0)
IDLE_COUNT = 200
IDLE_MAX_S = 12.0


def simulate(order: str, crowd: tuple[Kind, ...], seed: int) -> tuple[float, float]:
    """Returns the shares of uploads that complete and idle connections that stay."""
    generator = random.Random(seed)
    rank = CLOSING_ORDERS.get(order).rank
    uploads = [
        Upload(IDLE, -generator.uniform(0.0, IDLE_MAX_S)) for _ in range(IDLE_COUNT)
    ]
    completed = closed = idle_closed = 0
    for step in range(int(DURATION_S / STEP_S)):
        now_s = step * STEP_S
        for kind in (*HONEST, *crowd):
            count = int(kind.arrivals_per_s * STEP_S + generator.random())
            uploads += [Upload(kind, now_s) for _ in range(count)]
        for upload in uploads:
            upload.receive(now_s)
        honest = [u for u in uploads if u.kind.completes and u.complete]
        completed += len(honest)
        uploads = [u for u in uploads if not (u.kind.completes and u.complete)]
        held = sum(upload.use().held_bytes for upload in uploads)
        if held <= HELD_MAX_BYTES:
            continue
        uploads.sort(key=lambda u: rank(u.use(), now_s))
        while held > HELD_MAX_BYTES * MEMORY_AFTER_CLOSING_RATIO:
            upload = uploads.pop()
            held -= upload.use().held_bytes
            closed += upload.kind.completes
            idle_closed += upload.kind is IDLE
    return completed / (completed + closed), 1.0 - idle_closed / IDLE_COUNT


def main() -> None:
    for name, crowd in CROWDS.items():
        for order in ORDERS:
            shares = [simulate(order, crowd, seed) for seed in range(5)]
            uploads, idle = (
                sum(column) / len(shares) for column in zip(*shares, strict=True)
            )
            print(f"{name}: {order} uploads={uploads:.3f} idle={idle:.3f}")


if __name__ == "__main__":
    main()
