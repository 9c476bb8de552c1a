"""
ashlatch.gateway.fingerprint
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Identifies equal requests. Each time that a caller repeats a request, the repeat has
another id and may arrive at any gateway; only its content stays the same.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import xxhash

from ashlatch.gateway.message import CallerRequest
from ashlatch.policy.fingerprint import Fingerprints

__all__ = ["request_fingerprint", "request_fingerprints", "format_fingerprint"]


def request_fingerprint(request: CallerRequest, organisation: str) -> int:
    """Returns a hash that is the same at every gateway for equal requests.

    Equal requests come from the same organisation, or have the same key where there is
    none, and have the same method, host, target and body::

        request_fingerprint(first, "acme") == request_fingerprint(repeated, "acme")
    """
    hasher = xxhash.xxh3_64()
    for part in (
        request.method,
        request.host,
        request.target,
        organisation or request.key,
    ):
        text = part.encode()
        hasher.update(len(text).to_bytes(4, "big"))
        hasher.update(text)
    hasher.update(request.body)
    return hasher.intdigest()


def request_fingerprints(request: CallerRequest, organisation: str) -> Fingerprints:
    """Returns the fingerprints of a request and of the shared parts of its prompt."""
    return Fingerprints(
        request_fingerprint(request, organisation), request.shared_parts
    )


def format_fingerprint(fingerprint: int) -> str:
    """Formats a fingerprint for logs."""
    return f"{fingerprint:016x}"
