"""
ashlatch.gateway.audience
~~~~~~~~~~~~~~~~~~~~~~~~~

Which gateways are told of a prompt that an engine has got. Those of the own hall
are told each by itself; of another hall one gateway is told, drawn anew each time,
and tells the others there. Nobody has to agree on who that is: a gateway that has
died, frozen or been cut off takes its share of the news with it and no more, one
in 39 on average with 195 gateways in five halls, until the fleet forgets it.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import random
from dataclasses import dataclass

from ashlatch.catalog import GatewayVm

__all__ = ["Audience", "audience_of_prompt", "gateways_of_hall"]

# Prompts that are read sooner hardly make anybody wait.
TOLD_MIN_MS = 30.0
# Those that hold an engine for longer than most answers take to begin matter to
# gateways of all halls.
TOLD_TO_ALL_MS = 300.0


@dataclass(frozen=True)
class Audience:
    """`near` are told for themselves, each of `relays` for its whole hall."""

    near: tuple[GatewayVm, ...] = ()
    relays: tuple[GatewayVm, ...] = ()


def audience_of_prompt(
    read_ms: float,
    engine_hall: str,
    own: GatewayVm,
    gateways: tuple[GatewayVm, ...],
    generator: random.Random,
) -> Audience:
    """Who is told of a prompt that an engine reads for `read_ms`.

    Short prompts concern nobody, others the gateways of the own hall and of the
    engine's, which are the likely ones to send there; long ones concern all.
    """
    if read_ms < TOLD_MIN_MS:
        return Audience()
    halls = {engine_hall}
    if read_ms >= TOLD_TO_ALL_MS:
        halls = {gateway.hall for gateway in gateways}
    relays = []
    for hall in sorted(halls - {own.hall}):
        there = gateways_of_hall(hall, own, gateways)
        if there:
            relays.append(generator.choice(there))
    return Audience(gateways_of_hall(own.hall, own, gateways), tuple(relays))


def gateways_of_hall(
    hall: str, own: GatewayVm, gateways: tuple[GatewayVm, ...]
) -> tuple[GatewayVm, ...]:
    """The gateways of a hall but for the own one."""
    return tuple(g for g in gateways if g.hall == hall and g != own)
