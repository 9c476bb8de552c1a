"""Tests of ashlatch.platform.document: valid and invalid documents."""

from typing import Any

import testtools

from ashlatch.catalog import RepeatPolicy, Rollout, RolloutStage
from ashlatch.platform.document import (
    DocumentError,
    decode_catalog,
    decode_rollout_request,
    encode_rollout_state,
)
from tests.stub_server import document, encode_document, route


class DocumentTest(testtools.TestCase):
    def assert_refused(self, field: str, body: bytes) -> None:
        error = self.assertRaises(DocumentError, decode_catalog, body)
        fields = [problem.field for problem in error.problems]
        self.assertTrue(any(f.endswith(field) for f in fields), fields)

    def encode_routes(self, *routes: dict[str, Any], **more: Any) -> bytes:
        return encode_document(document(routes=list(routes), **more))

    def test_valid_document(self) -> None:
        catalog = decode_catalog(encode_document(document(7)))
        self.assertEqual(7, catalog.version)
        repeats = [route.repeat for route in catalog.routes]
        expected = [
            RepeatPolicy.FREELY,
            RepeatPolicy.NEVER,
            RepeatPolicy.FREELY,
            RepeatPolicy.RESUME,
        ]
        self.assertEqual(expected, repeats)
        self.assertEqual(("small", "middle", "large"), catalog.routes[3].models)
        self.assertEqual(2, catalog.organisations[0].priority)

    def test_truncated_document(self) -> None:
        encoded = encode_document(document())
        for length in range(0, len(encoded), 97):
            self.assert_refused("(document)", encoded[:length])

    def test_unknown_fields_are_ignored(self) -> None:
        body = encode_document(document(later={"a": 1}))
        self.assertEqual(1, decode_catalog(body).version)

    def test_unknown_service(self) -> None:
        self.assert_refused(
            "service", self.encode_routes(route("a", "/a/", service="none"))
        )
        split = [{"service": "app", "weight": 1}, {"service": "none", "weight": 1}]
        self.assert_refused(
            "service", self.encode_routes(route("a", "/a/", split=split))
        )

    def test_duplicate_path_prefix(self) -> None:
        self.assert_refused(
            "pathPrefix", self.encode_routes(route("a", "/a/"), route("b", "/a/"))
        )

    def test_weights_without_a_positive_sum(self) -> None:
        split = [{"service": "app", "weight": 0}]
        self.assert_refused("split", self.encode_routes(route("a", "/a/", split=split)))

    def test_timeout_of_zero(self) -> None:
        self.assert_refused(
            "timeoutMs", self.encode_routes(route("a", "/a/", timeoutMs=0))
        )

    def test_duplicate_key(self) -> None:
        tenants = [
            {"name": "a", "apiKeys": ["k1", "k2"]},
            {"name": "b", "apiKeys": ["k2"]},
        ]
        self.assert_refused("apiKeys", encode_document(document(tenants=tenants)))

    def test_weight_of_a_tenant(self) -> None:
        """A weight of 0 or infinity would leave no share for some organisation."""
        for weight, accepted in ((2.5, True), (1, True), (0, False), (-1, False)):
            tenants = [{"name": "a", "weight": weight}, {"name": "b"}]
            body = encode_document(document(tenants=tenants))
            if accepted:
                weights = [o.weight for o in decode_catalog(body).organisations]
                self.assertEqual([weight, 1.0], weights)
            else:
                self.assert_refused("tenants.a.weight", body)
        self.assert_refused("(document)", body.replace(b"-1", b"1e999"))

    def test_rollouts(self) -> None:
        request = decode_rollout_request(
            b'{"service":"app","targetVersion":"v2","durationS":12}'
        )
        self.assertEqual(
            ("app", "v2", 12_000.0),
            (request.service, request.version, request.duration_ms),
        )
        self.assertRaises(DocumentError, decode_rollout_request, b'{"service":"app"}')
        rollout = Rollout("app", "v2", RolloutStage.SHIFT, 0.3, 4, 12_000.0)
        self.assertEqual(
            b'{"state":"in_progress","targetVersion":"v2"}',
            encode_rollout_state(rollout),
        )
