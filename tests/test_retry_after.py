"""Tests of ashlatch.http.retry_after, and of the backoff that answers request."""

import h11
import testtools
from hypothesis import given
from hypothesis import strategies as st

from ashlatch.http.retry_after import (
    BACKOFF_MAX_MS,
    UNREADABLE_BACKOFF_MS,
    parse_retry_after_ms,
)
from ashlatch.platform.headers import decode_answer


class ParseTest(testtools.TestCase):
    def test_whole_and_fractional_seconds(self) -> None:
        for text, backoff_ms in (("3", 3000), ("0.25", 250), (".5", 500), ("2.", 2000)):
            self.assertEqual(backoff_ms, parse_retry_after_ms([text]), text)

    def test_no_header_and_zero_seconds(self) -> None:
        self.assertEqual(0.0, parse_retry_after_ms([]))
        self.assertEqual(0.0, parse_retry_after_ms(["0"]))

    def test_the_longest_of_several_times_is_used(self) -> None:
        self.assertEqual(5000.0, parse_retry_after_ms(["3, 5", "1"]))
        self.assertEqual(3000.0, parse_retry_after_ms(["soon", "3"]))

    def test_long_times_count_as_a_day(self) -> None:
        for text in ("86401", "9" * 30, "9" * 400):
            self.assertEqual(BACKOFF_MAX_MS, parse_retry_after_ms([text]), text)

    def test_unreadable_times_give_the_short_default(self) -> None:
        date = "Wed, 21 Oct 2026 07:28:00 GMT"
        for text in ("", "soon", "nan", "inf", "-3", "1e3", "1_000", "3 s", date):
            parsed_ms = parse_retry_after_ms([text])
            # A date is split at its comma, but its parts are not numbers either.
            self.assertEqual(UNREADABLE_BACKOFF_MS, parsed_ms, text)

    @given(st.lists(st.text(max_size=12), max_size=4))
    def test_any_text_gives_a_time_within_limits(self, values: list[str]) -> None:
        self.assertTrue(0.0 <= parse_retry_after_ms(values) <= BACKOFF_MAX_MS)


class AnswerTest(testtools.TestCase):
    def backoff_ms(self, status: int, *values: bytes) -> float:
        headers = [(b"X-Attempt-Id", b"r1"), *((b"Retry-After", v) for v in values)]
        response = h11.Response(status_code=status, headers=headers)
        return decode_answer(response).backoff_ms

    def test_refusals_request_a_backoff(self) -> None:
        self.assertEqual(1500.0, self.backoff_ms(503, b"1.5"))
        self.assertEqual(1500.0, self.backoff_ms(429, b"1.5"))
        self.assertEqual(0.0, self.backoff_ms(503))

    def test_other_answers_request_no_backoff(self) -> None:
        for status in (200, 301, 421, 500):
            self.assertEqual(0.0, self.backoff_ms(status, b"3"), str(status))

    def test_leaving_header(self) -> None:
        for value, leaving in (
            (b"1", True),
            (b"0", False),
            (b"", False),
            (b"x", False),
        ):
            headers = [(b"X-Attempt-Id", b"r1"), (b"Server-Leaving", value)]
            response = h11.Response(status_code=200, headers=headers)
            self.assertEqual(leaving, decode_answer(response).leaving, str(value))
