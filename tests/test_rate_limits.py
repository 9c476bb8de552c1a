"""Endpoints that name a rate limit in their answers: what all gateways send them.

What users saw: two of five engines in need named a limit of 2.1 and 1.6 requests a
second, and got 27 and 21 in four seconds from gateways that had passed such answers on,
while the other three had room.
"""

import h11
import testtools

from ashlatch.gateway.message import NO_LIMIT
from ashlatch.platform.headers import decode_answer


class HeaderTest(testtools.TestCase):
    def limit(self, *values: bytes) -> float | None:
        headers = [(b"X-Attempt-Id", b"r1"), *((b"Server-Limit", v) for v in values)]
        return decode_answer(h11.Response(status_code=200, headers=headers)).limit_per_s

    def test_a_limit_is_read(self) -> None:
        self.assertEqual(2.1, self.limit(b"2.1"))
        self.assertEqual(0.0, self.limit(b"0"))

    def test_none_is_named(self) -> None:
        self.assertEqual(NO_LIMIT, self.limit())

    def test_the_least_of_several(self) -> None:
        self.assertEqual(1.5, self.limit(b"3", b"1.5"))

    def test_what_cannot_be_read_says_nothing(self) -> None:
        for value in (b"", b"many", b"nan", b"inf", b"-1", b"2,1"):
            self.assertIs(None, self.limit(value), str(value))
