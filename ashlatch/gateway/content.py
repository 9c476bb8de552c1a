"""
ashlatch.gateway.content
~~~~~~~~~~~~~~~~~~~~~~~~

Tells equal requests apart from others. Each try of a caller has an id of its own
and may come to any gateway; what it asks for stays the same.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import xxhash

from ashlatch.gateway.message import CallerRequest

__all__ = ["content_digest", "digest_text"]


def content_digest(ask: CallerRequest, organisation: str) -> int:
    """A number that requests share which ask for the same, at every gateway.

    They come from the same organisation, or caller's key where there is none, and
    have the same method, host, target and body::

        content_digest(first, "acme") == content_digest(repeated, "acme")
    """
    hasher = xxhash.xxh3_64()
    for part in (ask.method, ask.host, ask.target, organisation or ask.key):
        text = part.encode()
        hasher.update(len(text).to_bytes(4, "big"))
        hasher.update(text)
    hasher.update(ask.body)
    return hasher.intdigest()


def digest_text(digest: int) -> str:
    """A digest as logs show it."""
    return f"{digest:016x}"
