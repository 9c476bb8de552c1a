"""Simulates several gateways before engines with too little capacity, in virtual time.

Organisations send requests to random gateways, which count them and decide by the
product's own code whether they are within the shares. Engines are one pool: it serves
the requests within the shares first, then the excess, and refuses those that have
waited for too long. Datagrams take a time and may be lost.
"""

import random
from collections import Counter
from collections.abc import Callable

from ashlatch.gateway.shares import INTERVAL_MS, OrganisationShares
from ashlatch.gateway.updates import OrganisationDemand

WORK_MS = 100.0
STEP_MS = 10.0
# A request that has waited this long is refused.
WAIT_MAX_MS = 1000.0


class ShareWorld:
    """Gateways before one pool; `rates` are the requests per second by organisation.

    `down` are the gateways that are stopped or suspended, and `cut_off` those without a
    network to the others. `listed` is the number of gateways that the core lists.
    Requests are counted by organisation, and idle capacity is, from `measured_from_ms`
    on.
    """

    def __init__(
        self,
        gateways: int,
        rates: dict[str, float],
        capacity_ms_per_s: float,
        seed: int = 7,
        lost_ratio: float = 0.0,
        delay_ms: float = 5.0,
        measured_from_ms: float = 2000.0,
    ) -> None:
        self.random = random.Random(seed)
        self.rates, self.capacity_ms_per_s = rates, capacity_ms_per_s
        self.lost_ratio, self.delay_ms = lost_ratio, delay_ms
        self.measured_from_ms = measured_from_ms
        self.listed = gateways
        self.down: set[int] = set()
        self.cut_off: set[int] = set()
        self.datagrams: list[tuple[float, int, OrganisationDemand]] = []
        # The requests within the shares, and the excess: arrival and organisation.
        self.queues: tuple[list[tuple[float, str]], ...] = ([], [])
        self.demanded: Counter[str] = Counter()
        self.excess: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.idle_ms = 0.0
        self.now_ms = 0.0
        self.gateways = [self.new_gateway(n) for n in range(gateways)]

    def new_gateway(self, number: int) -> OrganisationShares:
        """Returns the shares of a gateway that has just started."""

        def broadcast(update: OrganisationDemand) -> None:
            for other in range(len(self.gateways)):
                if other == number or self.random.random() < self.lost_ratio:
                    continue
                if not {number, other} & self.cut_off:
                    at_ms = self.now_ms + self.delay_ms
                    self.datagrams.append((at_ms, other, update))

        return OrganisationShares(
            f"g-{number}",
            lambda: self.listed,
            broadcast,
            lambda service, now_ms: sum(map(len, self.queues)) > 7,
            lambda service, now_ms: self.capacity_ms_per_s,
        )

    def run(
        self, end_ms: float, faults: dict[float, Callable[[], None]] | None = None
    ) -> None:
        """Simulates the load, with faults at given times."""
        left_ms = 0.0
        while self.now_ms < end_ms:
            (faults or {}).get(self.now_ms, lambda: None)()
            self._deliver()
            for number in self.running():
                if (self.now_ms + STEP_MS * number) % INTERVAL_MS == 0:
                    self.gateways[number].tick(self.now_ms)
            for organisation, per_s in self.rates.items():
                if self.random.random() < per_s * STEP_MS / 1000.0:
                    self._arrive(organisation)
            left_ms = self._serve(left_ms + self.capacity_ms_per_s * STEP_MS / 1000.0)
            self.now_ms += STEP_MS

    def running(self) -> list[int]:
        """Returns the gateways that are neither stopped nor suspended."""
        return sorted(set(range(len(self.gateways))) - self.down)

    def over(self, number: int, organisation: str) -> float:
        """Returns the fraction over its share of an organisation, as a gateway sees."""
        return self.gateways[number].over_share("chat", organisation, self.now_ms)

    def served_ratio(self, *organisations: str) -> float:
        """Returns the ratio of their requests that were served."""
        served = sum(self.served[name] for name in organisations)
        return served / sum(self.demanded[name] for name in organisations)

    def excess_ratio(self, *organisations: str) -> float:
        """Returns the ratio of their requests that counted as excess."""
        excess = sum(self.excess[name] for name in organisations)
        return excess / sum(self.demanded[name] for name in organisations)

    def idle_ratio(self) -> float:
        """Returns the ratio of the capacity that nobody used."""
        measured_s = (self.now_ms - self.measured_from_ms) / 1000.0
        return self.idle_ms / (self.capacity_ms_per_s * measured_s)

    def _deliver(self) -> None:
        """Delivers datagrams; a suspended gateway receives them when it resumes."""
        due = [d for d in self.datagrams if d[0] <= self.now_ms]
        due = [d for d in due if d[1] not in self.down]
        for datagram in due:
            self.datagrams.remove(datagram)
            self.gateways[datagram[1]].apply_peer(datagram[2], self.now_ms)

    def _arrive(self, organisation: str) -> None:
        number = self.random.choice(self.running())
        shares = self.gateways[number]
        shares.record_request("chat", organisation, WORK_MS, self.now_ms)
        is_excess = self.random.random() < self.over(number, organisation)
        self.queues[is_excess].append((self.now_ms, organisation))
        if self.now_ms >= self.measured_from_ms:
            self.demanded[organisation] += 1
            self.excess[organisation] += is_excess

    def _serve(self, left_ms: float) -> float:
        for queue in self.queues:
            while queue and self.now_ms - queue[0][0] > WAIT_MAX_MS:
                queue.pop(0)
            while queue and left_ms >= WORK_MS:
                left_ms -= WORK_MS
                at_ms, organisation = queue.pop(0)
                self.served[organisation] += at_ms >= self.measured_from_ms
        if any(self.queues):
            return left_ms
        if self.now_ms >= self.measured_from_ms:
            self.idle_ms += max(0.0, left_ms - WORK_MS)
        return min(left_ms, WORK_MS)
