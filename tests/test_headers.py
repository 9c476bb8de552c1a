"""
tests.test_headers
~~~~~~~~~~~~~~~~~~

Tests for `ashlatch.platform.headers`: the load that an endpoint reports, and how many
rejections it tolerates.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import h11
import testtools

from ashlatch.gateway.message import LoadFigures
from ashlatch.platform.headers import decode_answer


def decode_load(value: str) -> LoadFigures | None:
    headers = [(b"X-Server-Load", value.encode())]
    return decode_answer(h11.Response(status_code=200, headers=headers)).load


class LoadFiguresTest(testtools.TestCase):
    def test_three_figures(self) -> None:
        self.assertEqual(LoadFigures(3, 1, 8), decode_load("3,1,8"))

    def test_duration_of_work(self) -> None:
        self.assertEqual(LoadFigures(3, 1, 8, 250.0), decode_load("3, 1, 8, 250"))
        self.assertEqual(LoadFigures(3, 1, 8, 99.5), decode_load("3,1,8,99.5"))

    def test_an_invalid_fourth_figure_keeps_the_others(self) -> None:
        for figure in ("", "0", "-1", "nan", "1e9", "fast", "9" * 400):
            self.assertEqual(LoadFigures(3, 1, 8), decode_load(f"3,1,8,{figure}"))

    def test_further_figures_are_ignored(self) -> None:
        self.assertEqual(LoadFigures(3, 1, 8, 120.0), decode_load("3,1,8,120,7,x"))

    def test_less_than_three_figures_are_no_load(self) -> None:
        for value in ("", "3", "3,1", "3,1,x", "3,1,8 120"):
            self.assertIsNone(decode_load(value))


class RejectionsMaxTest(testtools.TestCase):
    def decode(self, *values: bytes) -> int | None:
        headers = [(b"Server-Brittle", value) for value in values]
        response = h11.Response(status_code=503, headers=headers)
        return decode_answer(response).rejections_max

    def test_the_lowest_number_counts(self) -> None:
        self.assertIsNone(self.decode())
        self.assertEqual(5, self.decode(b"5"))
        self.assertEqual(3, self.decode(b"5", b"3.7"))

    def test_an_invalid_number_tolerates_nothing(self) -> None:
        for value in (b"", b"-1", b"nan", b"1e99", b"many"):
            self.assertEqual(0, self.decode(value))
