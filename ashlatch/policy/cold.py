"""
ashlatch.policy.cold
~~~~~~~~~~~~~~~~~~~~

How often each gateway may send to an endpoint that is cold: one that has started a
moment ago, and falls over when all gateways together send it more in a second than
operators say it bears. Gateways know of each other's sends too late to count them, so
the bound has to hold by what each does alone.

The load it answers: a hall's endpoints come back together, idle, while requests wait
everywhere, and each gateway finds them the best choice at the same moment. Left alone
by all, they stand idle for seconds while the others are overrun; taken by all, they
get as many requests at once as there are gateways.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

from ashlatch.catalog import GatewayVm
from ashlatch.policy.endpoint import rank

__all__ = ["ColdEndpoint", "send_interval_ms"]

SECOND_MS = 1000.0
# Requests that are sent this much more than a second apart also arrive so: each takes
# some ms, and a new connection some more.
ARRIVAL_JITTER_MS = 100.0
# The part of an endpoint's senders that are of its own hall, where most requests come
# from that it should answer. The others serve callers of halls that have nothing else.
LOCAL_SHARE = 0.7


@dataclass(frozen=True)
class ColdEndpoint:
    """A cold endpoint, and how many requests a second it bears from all gateways."""

    instance: str
    hall: str
    requests_per_s: float


def send_interval_ms(
    endpoint: ColdEndpoint, local: GatewayVm, gateways: tuple[GatewayVm, ...]
) -> float | None:
    """The least time between two sends of the own gateway to a cold endpoint.

    None if it may send nothing: a few gateways do, chosen by rendezvous hashing among
    all that are known. There are as many as requests a second, so each sends one in a
    little more than that; where there are fewer gateways, each more. Two gateways that
    do not know the same ones differ in one sender for each that one of them lacks, and
    that costs one request a second. Shared out among all gateways alike, the bound
    would be passed at the first moment, when all send one.

    Left alone until they are warm, endpoints would stand idle for seconds.
    """
    count = min(int(endpoint.requests_per_s), len(gateways))
    senders = _choose_senders(endpoint, gateways, max(1, count))
    if local not in senders:
        return None
    each = max(1, int(endpoint.requests_per_s) // len(senders))
    least_ms = SECOND_MS / endpoint.requests_per_s
    return max(least_ms, (SECOND_MS + ARRIVAL_JITTER_MS) / each)


def _choose_senders(
    endpoint: ColdEndpoint, gateways: tuple[GatewayVm, ...], count: int
) -> frozenset[GatewayVm]:
    """The gateways that send to an endpoint, most of them of its hall."""
    by_address = {gateway.address: gateway for gateway in gateways}
    ranked = [by_address[a] for a in rank(tuple(by_address), endpoint.instance)]
    near = [gateway for gateway in ranked if gateway.hall == endpoint.hall]
    far = [gateway for gateway in ranked if gateway.hall != endpoint.hall]
    near_count = max(round(LOCAL_SHARE * count), count - len(far))
    chosen = near[:near_count]
    return frozenset((*chosen, *far[: count - len(chosen)]))
