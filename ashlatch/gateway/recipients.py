"""
ashlatch.gateway.recipients
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Selects which gateways receive an update about a prompt, a load or an endpoint that is
not listening. Gateways of the local hall each receive it directly; in every other hall
one gateway, drawn anew for each update, receives it and relays it to the others there.
No agreement on the relay is needed: a gateway that has crashed, frozen or lost its
network loses only its share of the updates until the core removes it, one in 39 on
average with 195 gateways in five halls.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import random
from dataclasses import dataclass

from ashlatch.catalog import GatewayVm
from ashlatch.policy.load_advertisement import FULL_LEVEL

__all__ = [
    "Recipients",
    "all_recipients",
    "load_recipients",
    "prompt_recipients",
    "gateways_in_hall",
]

# Prompts with a shorter prefill hardly delay other requests.
SEND_MIN_MS = 30.0
# Prompts that occupy an engine for longer than most answers take to begin matter to
# the gateways of all halls.
SEND_TO_ALL_MIN_MS = 300.0


@dataclass(frozen=True)
class Recipients:
    """Gateways to send to: `direct` for themselves, `relays` for their whole halls."""

    direct: tuple[GatewayVm, ...] = ()
    relays: tuple[GatewayVm, ...] = ()


def prompt_recipients(
    prefill_ms: float,
    endpoint_hall: str,
    local: GatewayVm,
    gateways: tuple[GatewayVm, ...],
    generator: random.Random,
) -> Recipients:
    """Returns the recipients of the update about a prompt with a given prefill time.

    There are none for a short prompt. For a longer one they are the gateways of the
    local hall and of the engine's, which are the most likely to send there; for a long
    one they are all gateways.
    """
    if prefill_ms < SEND_MIN_MS:
        return Recipients()
    return _recipients(
        prefill_ms >= SEND_TO_ALL_MIN_MS, endpoint_hall, local, gateways, generator
    )


def load_recipients(
    level: int,
    endpoint_hall: str,
    local: GatewayVm,
    gateways: tuple[GatewayVm, ...],
    generator: random.Random,
) -> Recipients:
    """Returns the recipients of the update about an endpoint's load.

    `level` is the share of its slots in use, in quarters. The gateways of the local
    hall and of the endpoint's receive it; all gateways if the endpoint is full, since
    requests for a cached prefix come from any hall.
    """
    return _recipients(level >= FULL_LEVEL, endpoint_hall, local, gateways, generator)


def all_recipients(
    local: GatewayVm, gateways: tuple[GatewayVm, ...], generator: random.Random
) -> Recipients:
    """Returns the recipients of an update that concerns all gateways.

    An endpoint whose process is not running looks idle, so every gateway would try it
    before the others; and the caller of a request that crashes endpoints may reach any
    gateway.
    """
    return _recipients(True, local.hall, local, gateways, generator)


def _recipients(
    all_halls: bool,
    endpoint_hall: str,
    local: GatewayVm,
    gateways: tuple[GatewayVm, ...],
    generator: random.Random,
) -> Recipients:
    halls = {gateway.hall for gateway in gateways} if all_halls else {endpoint_hall}
    relays = []
    for hall in sorted(halls - {local.hall}):
        candidates = gateways_in_hall(hall, local, gateways)
        if candidates:
            relays.append(generator.choice(candidates))
    return Recipients(gateways_in_hall(local.hall, local, gateways), tuple(relays))


def gateways_in_hall(
    hall: str, local: GatewayVm, gateways: tuple[GatewayVm, ...]
) -> tuple[GatewayVm, ...]:
    """Returns the gateways of a hall except the local one."""
    return tuple(g for g in gateways if g.hall == hall and g != local)
