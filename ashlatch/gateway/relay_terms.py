"""
ashlatch.gateway.relay_terms
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The header that a gateway puts before those of a caller's request when it has another
gateway serve it.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
from dataclasses import dataclass

from ashlatch.http.connection import Headers

__all__ = [
    "ANSWERS_TARGET",
    "REACHABILITY_TARGET",
    "RESTRICTIONS_TARGET",
    "RelayTerms",
    "decode_terms",
    "encode_terms",
]

_HEADER = b"ashlatch-relay"
# Asks a gateway whether it can reach any endpoint.
REACHABILITY_TARGET = "/reachability"
# Asks a gateway whether anything that endpoints send arrives there.
ANSWERS_TARGET = "/answers"
# Asks a gateway what endpoints have asked of all gateways.
RESTRICTIONS_TARGET = "/restrictions"
_NUMBER_MAX = 1e9


@dataclass(frozen=True)
class RelayTerms:
    """The state of a request at the gateway that relays it.

    `configuration` is the version that it was admitted under, `elapsed_ms` the time
    since it was received, `sends` the number of endpoints that it was sent to.
    `counted` is set if it was counted for the budget of repeats there.
    """

    configuration: int
    elapsed_ms: float
    sends: int
    counted: bool


def encode_terms(terms: RelayTerms) -> tuple[bytes, bytes]:
    """Returns the header for a relayed request::

    encode_terms(RelayTerms(12, 3.25, 0, False))
    # (b"ashlatch-relay", b"12,3.25,0,0")
    """
    text = (
        f"{terms.configuration},{terms.elapsed_ms:.2f},{terms.sends},"
        f"{int(terms.counted)}"
    )
    return _HEADER, text.encode()


def decode_terms(headers: Headers) -> tuple[RelayTerms, Headers] | None:
    """Splits the headers of a relayed request; returns None if it is not one.

    Later headers of the same name belong to the caller's request.
    """
    names = [name.lower() for name, _ in headers]
    if _HEADER not in names:
        return None
    position = names.index(_HEADER)
    terms = _parse_terms(headers[position][1])
    if terms is None:
        return None
    return terms, [*headers[:position], *headers[position + 1 :]]


def _parse_terms(value: bytes) -> RelayTerms | None:
    try:
        numbers = [float(part) for part in value.split(b",")]
        configuration, elapsed_ms, sends, counted = numbers
    except ValueError:
        return None
    if not all(math.isfinite(n) and 0.0 <= n <= _NUMBER_MAX for n in numbers):
        return None
    return RelayTerms(int(configuration), elapsed_ms, int(sends), counted > 0.0)
