"""
ashlatch.policy.relay
~~~~~~~~~~~~~~~~~~~~~

Chooses the gateway that serves a request for another one, which cannot reach the
endpoints itself.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from random import Random

from ashlatch.catalog import GatewayVm

__all__ = ["RelayPeers"]

# How long a gateway counts as isolated after it said so; it repeats that more often.
ISOLATED_MS = 1500.0
# How long a gateway that cannot be reached, or that refuses, comes last; doubled with
# each further failure in a row.
UNAVAILABLE_MS = 500.0
UNAVAILABLE_DOUBLED_MAX = 3
# While at least this share of the other gateways of a hall can serve, requests stay in
# the hall; otherwise the few that are left would get the requests of the whole hall.
HALL_SHARE_MIN = 0.5
# After this many gateways that did not serve a request, all halls are considered: a
# whole hall may have lost its links at once.
HALL_TRIES_MAX = 2


@dataclass
class _PeerState:
    isolated_until_ms: float = float("-inf")
    unavailable_until_ms: float = float("-inf")
    failures: int = 0
    in_flight: int = 0


@dataclass
class RelayPeers:
    """What a gateway knows of the others, by their addresses::

    peers = RelayPeers()
    peers.record_isolated("10.0.0.2:7340", True, now_ms=0.0)
    peers.choose(local, gateways, tried=(), generator=Random(), now_ms=1.0)
    """

    _states: dict[str, _PeerState] = field(default_factory=dict)

    def retain(self, gateways: Sequence[GatewayVm]) -> None:
        """Forgets gateways that no longer exist."""
        addresses = {gateway.address for gateway in gateways}
        gone = [a for a in self._states if a not in addresses]
        for address in gone:
            if not self._states[address].in_flight:
                del self._states[address]

    def record_isolated(self, address: str, isolated: bool, now_ms: float) -> None:
        """Records that a gateway reaches no endpoint, or reaches them again."""
        until_ms = now_ms + ISOLATED_MS if isolated else now_ms
        self._state(address).isolated_until_ms = until_ms

    def record_unavailable(self, address: str, now_ms: float) -> None:
        """Records that a gateway could not be reached or refused to serve."""
        state = self._state(address)
        doubled = min(state.failures, UNAVAILABLE_DOUBLED_MAX)
        state.unavailable_until_ms = now_ms + UNAVAILABLE_MS * 2.0**doubled
        state.failures += 1

    def record_available(self, address: str) -> None:
        """Records that a gateway served a request."""
        self._state(address).failures = 0

    def record_sent(self, address: str) -> None:
        """Records that a request is sent to a gateway."""
        self._state(address).in_flight += 1

    def record_finished(self, address: str) -> None:
        """Records the end of a request that was sent to a gateway."""
        self._state(address).in_flight -= 1

    def candidates(
        self,
        local: GatewayVm,
        gateways: Sequence[GatewayVm],
        tried: Collection[str],
        now_ms: float,
    ) -> list[GatewayVm]:
        """Returns the gateways that may serve a request, if enough only of the hall."""
        others = [g for g in gateways if g.address != local.address]
        able = self._able(others, now_ms)
        untried = [g for g in able if g.address not in tried]
        in_hall = [g for g in others if g.hall == local.hall]
        able_in_hall = [g for g in able if g.hall == local.hall]
        if len(tried) >= HALL_TRIES_MAX:
            return untried
        if len(able_in_hall) < HALL_SHARE_MIN * max(1, len(in_hall)):
            return untried
        return [g for g in untried if g.hall == local.hall] or untried

    def representatives(
        self,
        local: GatewayVm,
        gateways: Sequence[GatewayVm],
        most: int,
        generator: Random,
        now_ms: float,
    ) -> list[GatewayVm]:
        """Returns some of the gateways that may serve, of as many halls as possible."""
        others = [g for g in gateways if g.address != local.address]
        able = self._able(others, now_ms)
        generator.shuffle(able)
        counts: dict[str, int] = {}
        ranked = []
        for gateway in able:
            rank = counts[gateway.hall] = counts.get(gateway.hall, 0) + 1
            ranked.append((rank, gateway))
        ranked.sort(key=lambda pair: pair[0])
        return [gateway for _, gateway in ranked[:most]]

    def choose(
        self,
        local: GatewayVm,
        gateways: Sequence[GatewayVm],
        tried: Collection[str],
        generator: Random,
        now_ms: float,
    ) -> GatewayVm | None:
        """Returns the gateway for a request, of two drawn ones that with fewer."""
        candidates = self.candidates(local, gateways, tried, now_ms)
        if not candidates:
            candidates = self._last_resort(local, gateways, tried, now_ms)
        if not candidates:
            return None
        drawn = generator.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda g: self._state(g.address).in_flight)

    def _last_resort(
        self,
        local: GatewayVm,
        gateways: Sequence[GatewayVm],
        tried: Collection[str],
        now_ms: float,
    ) -> list[GatewayVm]:
        """Returns gateways that have failed lately, but are not isolated."""
        untried = [
            g for g in gateways if g.address != local.address and g.address not in tried
        ]
        return [g for g in untried if not self._isolated(g.address, now_ms)]

    def _able(self, gateways: Sequence[GatewayVm], now_ms: float) -> list[GatewayVm]:
        """Returns the gateways that neither are isolated nor have failed lately."""
        return [
            gateway
            for gateway in gateways
            if not self._isolated(gateway.address, now_ms)
            and not self._failed_lately(gateway.address, now_ms)
        ]

    def _isolated(self, address: str, now_ms: float) -> bool:
        state = self._states.get(address)
        return state is not None and now_ms < state.isolated_until_ms

    def _failed_lately(self, address: str, now_ms: float) -> bool:
        state = self._states.get(address)
        return state is not None and now_ms < state.unavailable_until_ms

    def _state(self, address: str) -> _PeerState:
        return self._states.setdefault(address, _PeerState())
