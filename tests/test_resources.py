"""Tests of ashlatch.resources."""

import testtools

from ashlatch.errors import FieldError, UnknownName
from ashlatch.resources import InvalidResource, encode_canonical, parse


class ParseTest(testtools.TestCase):
    def test_each_invalid_field_has_an_error(self) -> None:
        spec = b'{"model": "m", "input_price_microusd_per_ktoken": -1}'
        group = self.assertRaises(InvalidResource, parse, "version", spec)
        fields = {e.field for e in group.exceptions if isinstance(e, FieldError)}
        self.assertEqual(
            {"input_price_microusd_per_ktoken", "output_price_microusd_per_ktoken"},
            fields,
        )

    def test_unknown_fields_and_kinds_are_errors(self) -> None:
        self.assertRaises(InvalidResource, parse, "model", b'{"colour": 1}')
        self.assertRaises(UnknownName, parse, "modle", b"{}")

    def test_shares_of_stages_must_increase(self) -> None:
        spec = (
            b'{"from_version": "a", "to_version": "b",'
            b'"stages": [{"share_percent": 50}, {"share_percent": 10}]}'
        )
        self.assertRaises(InvalidResource, parse, "rollout", spec)

    def test_canonical_form_does_not_depend_on_spacing(self) -> None:
        one = parse("cascade", b'{"rungs": ["a", "b"]}')
        other = parse("cascade", b'{ "rungs":["a","b"] }')
        self.assertEqual(encode_canonical(one), encode_canonical(other))
