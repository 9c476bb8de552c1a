"""Tests of ashlatch.platform.document: what is taken and what is refused."""

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
    def refused(self, field: str, body: bytes) -> None:
        error = self.assertRaises(DocumentError, decode_catalog, body)
        fields = [problem.field for problem in error.problems]
        self.assertTrue(any(f.endswith(field) for f in fields), fields)

    def with_routes(self, *routes: dict[str, Any], **more: Any) -> bytes:
        return encode_document(document(routes=list(routes), **more))

    def test_whole(self) -> None:
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

    def test_cut_short(self) -> None:
        whole = encode_document(document())
        for length in range(0, len(whole), 97):
            self.refused("(document)", whole[:length])

    def test_unknown_fields_are_passed_over(self) -> None:
        body = encode_document(document(later={"a": 1}))
        self.assertEqual(1, decode_catalog(body).version)

    def test_service(self) -> None:
        self.refused("service", self.with_routes(route("a", "/a/", service="none")))
        split = [{"service": "app", "weight": 1}, {"service": "none", "weight": 1}]
        self.refused("service", self.with_routes(route("a", "/a/", split=split)))

    def test_same_place(self) -> None:
        self.refused(
            "pathPrefix", self.with_routes(route("a", "/a/"), route("b", "/a/"))
        )

    def test_weights(self) -> None:
        split = [{"service": "app", "weight": 0}]
        self.refused("split", self.with_routes(route("a", "/a/", split=split)))

    def test_timeout(self) -> None:
        self.refused("timeoutMs", self.with_routes(route("a", "/a/", timeoutMs=0)))

    def test_shared_key(self) -> None:
        tenants = [
            {"name": "a", "apiKeys": ["k1", "k2"]},
            {"name": "b", "apiKeys": ["k2"]},
        ]
        self.refused("apiKeys", encode_document(document(tenants=tenants)))

    def test_rollouts(self) -> None:
        order = decode_rollout_request(
            b'{"service":"app","targetVersion":"v2","durationS":12}'
        )
        self.assertEqual(
            ("app", "v2", 12_000.0), (order.service, order.version, order.duration_ms)
        )
        self.assertRaises(DocumentError, decode_rollout_request, b'{"service":"app"}')
        rollout = Rollout("app", "v2", RolloutStage.SHIFT, 0.3, 4, 12_000.0)
        self.assertEqual(
            b'{"state":"in_progress","targetVersion":"v2"}',
            encode_rollout_state(rollout),
        )
