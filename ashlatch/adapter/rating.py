"""
ashlatch.adapter.rating
~~~~~~~~~~~~~~~~~~~~~~~

Submits sampled answers to the rating service and reads the ratings, which arrive late
and in any order.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import json
from dataclasses import dataclass

from pydantic import BaseModel, ValidationError

from ashlatch.errors import AshlatchError, TransportError
from ashlatch.http.client import Call, fetch

__all__ = ["RatingService", "RatingUnreadable", "RatingRecord"]

TIMEOUT_MS = 2000.0


@dataclass
class RatingUnreadable(AshlatchError):
    """The rating service did not answer, or not in the agreed format."""

    url: str
    reason: str


class RatingRecord(BaseModel):
    """One rating (0 to 1) of one answer; `number` counts all ratings."""

    number: int
    request: str
    route: str
    version: str
    rating: float


class _Ratings(BaseModel):
    ratings: tuple[RatingRecord, ...]


class RatingService:
    """The rating service at a URL; tracks the last rating read."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._after = -1

    def submit(self, request: str, route: str, version: str, answer: bytes) -> None:
        """Requests a rating of an answer. A failure loses only this rating."""
        body = {
            "request": request,
            "route": route,
            "version": version,
            "answer": answer.decode("utf-8", "replace"),
        }
        call = Call(
            f"{self._url}/v1/answers",
            "POST",
            {"Content-Type": "application/json"},
            json.dumps(body).encode(),
            TIMEOUT_MS,
        )
        try:
            fetch(call)
        except TransportError as error:
            raise RatingUnreadable(self._url, error.reason) from error

    def read(self) -> tuple[RatingRecord, ...]:
        """Returns the ratings since the last call; the first call skips old ones."""
        url = f"{self._url}/v1/ratings?after={self._after}"
        try:
            reply = fetch(Call(url, timeout_ms=TIMEOUT_MS))
            found = _Ratings.model_validate_json(reply.body).ratings
        except TransportError as error:
            raise RatingUnreadable(url, error.reason) from error
        except ValidationError as error:
            raise RatingUnreadable(url, str(error)) from error
        self._after = max((r.number for r in found), default=self._after)
        return found
