"""
ashlatch.gateway.audience
~~~~~~~~~~~~~~~~~~~~~~~~~

Which gateways are told of a prompt that an engine has got, of its load, or that it
is not there. Those of the own hall are told each by itself; of another hall one
gateway is told, drawn anew each time, and tells the others there. Nobody has to
agree on who that is: a gateway that has died, frozen or been cut off takes its
share of the news with it and no more, one in 39 on average with 195 gateways in
five halls, until the fleet forgets it.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import random
from dataclasses import dataclass

from ashlatch.policy.load_advertisement import FULL

from ashlatch.catalog import GatewayVm

__all__ = [
    "Recipients",
    "all_recipients",
    "load_recipients",
    "prompt_recipients",
    "gateways_in_hall",
]


# Prompts that are read sooner hardly make anybody wait.
SEND_MIN_MS = 30.0
# Those that hold an engine for longer than most answers take to begin matter to
# gateways of all halls.
SEND_TO_ALL_MIN_MS = 300.0


@dataclass(frozen=True)
class Recipients:
    """`near` are told for themselves, each of `relays` for its whole hall."""

    direct: tuple[GatewayVm, ...] = ()
    relays: tuple[GatewayVm, ...] = ()


def prompt_recipients(
    read_ms: float,
    engine_hall: str,
    own: GatewayVm,
    gateways: tuple[GatewayVm, ...],
    generator: random.Random,
) -> Recipients:
    """Who is told of a prompt that an engine reads for `read_ms`.

    Short prompts concern nobody, others the gateways of the own hall and of the
    engine's, which are the likely ones to send there; long ones concern all.
    """
    if read_ms < SEND_MIN_MS:
        return Recipients()
    return _recipients(
        read_ms >= SEND_TO_ALL_MIN_MS, engine_hall, own, gateways, generator
    )


def load_recipients(
    level: int,
    engine_hall: str,
    own: GatewayVm,
    gateways: tuple[GatewayVm, ...],
    generator: random.Random,
) -> Recipients:
    """Who is told of an endpoint's load, by the quarter of its places taken.

    The gateways of the own hall and of the endpoint's; all when it is full, since
    those that look for a kept prompt come from any hall.
    """
    return _recipients(level >= FULL, engine_hall, own, gateways, generator)


def all_recipients(
    own: GatewayVm, gateways: tuple[GatewayVm, ...], generator: random.Random
) -> Recipients:
    """Who is told of what concerns everybody.

    An endpoint whose process is not there looks idle, so all would try it before the
    others; and the caller of a request that crashes endpoints may come to any gateway.
    """
    return _recipients(True, own.hall, own, gateways, generator)


def _recipients(
    everywhere: bool,
    engine_hall: str,
    own: GatewayVm,
    gateways: tuple[GatewayVm, ...],
    generator: random.Random,
) -> Recipients:
    halls = {gateway.hall for gateway in gateways} if everywhere else {engine_hall}
    relays = []
    for hall in sorted(halls - {own.hall}):
        there = gateways_in_hall(hall, own, gateways)
        if there:
            relays.append(generator.choice(there))
    return Recipients(gateways_in_hall(own.hall, own, gateways), tuple(relays))


def gateways_in_hall(
    hall: str, own: GatewayVm, gateways: tuple[GatewayVm, ...]
) -> tuple[GatewayVm, ...]:
    """The gateways of a hall but for the own one."""
    return tuple(g for g in gateways if g.hall == hall and g != own)
