"""Tests of invalid entries in the platform's list and of invalid values from endpoints:
an unreadable entry names no endpoint, and the other entries stay valid.

Guards against three faults: one such entry (an unknown type, a missing field, invalid
UTF-8) made the whole list unreadable, an unknown state counted as leaving, and JSON
nested some thousand levels deep ended the process of a core VM.
"""

import asyncio
import contextlib
import copy
import json
import time
from typing import Any

import h11
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ashlatch.fleet.discovery import ListReader, ListUnreadable
from ashlatch.http.connection import HttpRequest
from ashlatch.http.upstream import Upstream, UpstreamBroken
from ashlatch.platform.document import DocumentError, decode_catalog
from ashlatch.platform.headers import MalformedRequest, decode_answer, decode_request
from ashlatch.platform.instances import decode_page
from ashlatch.platform.json_decoding import ELEMENTS_MAX, JsonUnreadable
from ashlatch.platform.prefix_cache import decode_prefix_cache
from tests import stub_server
from tests.stub_server import StubServer

ENTRY = {
    "id": "i-1",
    "service": "app",
    "address": "10.0.0.1:8080",
    "zone": "hall-1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
}
DEEP = b"[" * 100_000 + b"]" * 100_000

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20)
    | st.sampled_from(["ready", "draining", "10.0.0.1:80", "", "\r\nX: y", "²"]),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


class CutEntryTest(testtools.TestCase):
    """Entries that are cut off in the middle of a text."""

    GOOD = tuple(
        json.dumps({**ENTRY, "id": name}).encode() for name in ("i-1", "i-2", "i-3")
    )

    def listed(self, *entries: bytes) -> list[str]:
        decoded = decode_page(page(*entries, next_token=b'"p"'))
        self.assertEqual("p", decoded.next_page)
        self.assertNotEqual({}, decoded.left_out)
        return [endpoint.instance for endpoint in decoded.endpoints]

    def test_entries_beside_a_cut_one_are_read(self) -> None:
        """The whole list stayed unread, and endpoints that drained got requests."""
        whole = json.dumps({**ENTRY, "id": "i-9"}).encode()
        for length in range(1, len(whole)):
            cut = whole[:length]
            for position in range(4):
                entries = [*self.GOOD[:position], cut, *self.GOOD[position:]]
                names = self.listed(*entries)
                self.assertEqual(["i-1", "i-2", "i-3"], names, f"{position} {cut!r}")

    def test_many_cut_entries_do_not_hold_the_process_up(self) -> None:
        """Each of them is read to the end of the page."""
        cut = b'{"id":"i-9","service":"ap'
        body = page(*(cut, *self.GOOD) * 5_000)
        begun_s = time.monotonic()
        with testtools.ExpectedException(JsonUnreadable):
            decode_page(body)
        self.assertLess(time.monotonic() - begun_s, 2.0)

    def test_entries_between_two_cut_ones_are_read(self) -> None:
        cut = b'{"id":"i-9","service":"ap'
        first, second, third = self.GOOD
        names = self.listed(cut, first, second, cut, third, cut)
        self.assertEqual(["i-1", "i-2", "i-3"], names)


class LineFeedTest(testtools.TestCase):
    """Texts that end with a line feed, which no header can hold."""

    def test_an_entry_with_a_line_feed_in_a_text_is_left_out(self) -> None:
        """Each leader of the core ended when it sent such an id as a header."""
        for name in ("id", "service", "address", "zone", "version"):
            bad = {**ENTRY, "id": "i-2", name: f"{ENTRY[name]}\n"}
            listed = decode_page(page(*(json.dumps(e).encode() for e in (bad, ENTRY))))
            self.assertEqual(["i-1"], [e.instance for e in listed.endpoints], name)

    def test_a_header_that_cannot_be_sent_breaks_only_its_call(self) -> None:
        async def send() -> None:
            server = StubServer([stub_server.answer_with()])
            await server.start()
            connection = await Upstream.connect(server.address, 1.0)
            connection.send("GET", "/", [(b"Host", b"a"), (b"X-A", b"b\n")], b"")

        with testtools.ExpectedException(UpstreamBroken):
            asyncio.run(send())


def page(*entries: bytes, next_token: bytes = b"null") -> bytes:
    listed = b",".join(entries)
    return b'{"instances":[' + listed + b'],"nextToken":' + next_token + b"}"


def entry(instance: str = "i-1", **more: Any) -> bytes:
    return json.dumps({**ENTRY, "id": instance, **more}).encode()


def without(name: str) -> bytes:
    return json.dumps({k: v for k, v in ENTRY.items() if k != name}).encode()


class ListEntryTest(testtools.TestCase):
    INVALID = (
        *(without(name) for name in ENTRY),
        b"null",
        b"5",
        b'"i-1"',
        b"[]",
        b"{}",
        b"NaN",
        b"{not json}",
        b'{"id":"\xff\xfe"}',
        b'{"id":"i-1","more":' + DEEP + b"}",
        entry(service=5),
        entry(slots="8"),
        entry(slots=10**30),
        entry(slots=-1),
        entry(state="resting"),
        entry(state=None),
        entry(address="here"),
        entry(address="10.0.0.1:0"),
        entry(address="10.0.0.1:99999"),
        entry(address="10.0.0.999:80"),
        entry("i-1\r\nX-Tenant: other"),
        entry(""),
        entry("i" * 1000),
        entry(born="today"),
        entry(born=1.5),
        entry(born=-1),
    )

    def test_other_entries_stay_valid(self) -> None:
        for invalid in self.INVALID:
            read = decode_page(page(entry("i-0"), invalid, entry("i-2")))
            names = [endpoint.instance for endpoint in read.endpoints]
            self.assertEqual(["i-0", "i-2"], names, str(invalid[:80]))
            self.assertEqual(1, sum(read.left_out.values()))

    def test_the_number_of_reasons_is_bounded(self) -> None:
        """Reasons contain no positions, as each new reason is logged."""
        broken = [b'{"id":"' + b"i" * n + b'",}' for n in range(1, 60)]
        broken += [entry(slots=-n) for n in range(1, 60)]
        left_out = decode_page(page(*broken)).left_out
        self.assertEqual(118, sum(left_out.values()))
        self.assertTrue(len(left_out) <= 3, left_out)

    def test_a_valid_entry(self) -> None:
        (endpoint,) = decode_page(page(entry(born=1234, state="draining"))).endpoints
        self.assertEqual(1234, endpoint.started_unix_ms)
        self.assertTrue(endpoint.leaving)
        self.assertEqual((), decode_page(b'{"instances":[]}').endpoints)
        self.assertEqual((), decode_page(b'{ "instances" : [ ] }').endpoints)

    def test_delimiters_within_strings(self) -> None:
        unusual = entry("i-0", zone='a"]},')
        read = decode_page(page(unusual, entry("i-2", zone="a\\]")))
        self.assertEqual(2, len(read.endpoints) + sum(read.left_out.values()))
        self.assertEqual("i-2", read.endpoints[-1].instance)

    def test_an_unreadable_document(self) -> None:
        for body in (b"", b"{}", b"[]", b"\xff", DEEP, page(entry())[:-30], b'{"in'):
            self.assertRaises(JsonUnreadable, decode_page, body)

    @settings(max_examples=300, deadline=None)
    @given(
        st.sampled_from([*ENTRY, "born", "more"]),
        json_values,
        st.integers(min_value=0, max_value=2),
    )
    def test_any_value_in_any_field(self, name: str, value: Any, at: int) -> None:
        mutated = copy.copy(ENTRY)
        mutated[name] = value
        entries = [entry("i-0"), entry("i-2")]
        entries.insert(at, json.dumps(mutated).encode("utf-8", "surrogatepass"))
        read = decode_page(page(*entries))
        names = {endpoint.instance for endpoint in read.endpoints}
        self.assertTrue({"i-0", "i-2"} <= names)

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=200), st.integers(min_value=0, max_value=400))
    def test_bytes_anywhere(self, noise: bytes, at: int) -> None:
        body = page(entry("i-0"), entry("i-2"))
        # This error is the only one allowed; any other fails the test.
        with contextlib.suppress(JsonUnreadable):
            decode_page(body[:at] + noise + body[at:])

    def test_an_array_with_too_many_elements_is_not_decoded(self) -> None:
        """Guards against seconds without any answer while a broken list is read."""
        for elements, readable in ((ELEMENTS_MAX, True), (ELEMENTS_MAX + 1, False)):
            body = b'{"instances":[' + b",".join([b"1"] * elements) + b"]}"
            if readable:
                self.assertEqual(elements, sum(decode_page(body).left_out.values()))
            else:
                self.assertRaises(JsonUnreadable, decode_page, body)

    def test_time_and_size_stay_bounded(self) -> None:
        started_s = time.monotonic()
        for body in (DEEP, b'{"instances":[' + b"," * 500_000 + b"]}", b'"' * 10**6):
            try:
                decode_page(body)
            except JsonUnreadable:
                continue
        self.assertTrue(time.monotonic() - started_s < 5.0)


class ListReaderTest(testtools.TestCase):
    def read(self, *bodies: bytes) -> tuple[list[str], int]:
        """Returns the ids that a reader finds on these pages, and its skipped count."""

        async def run() -> tuple[list[str], int]:
            scripts = [stub_server.answer_with(body) for body in bodies]
            platform = StubServer(scripts)
            await platform.start()
            reader = ListReader(platform.address)
            found = await reader.read()
            platform.stop()
            return [e.instance for e in found], reader.skipped_total

        return asyncio.run(run())

    def test_pages_after_an_invalid_entry(self) -> None:
        first = page(entry("i-0"), b"null", next_token=b'"p-2"')
        second = page(entry("i-0", address="10.0.0.9:1"), entry("i-2"))
        self.assertEqual((["i-0", "i-2"], 2), self.read(first, second))

    def test_an_unreadable_list_raises_one_error_type(self) -> None:
        for body in (b"\xff", DEEP, page(entry(), next_token=b"5")):
            self.assertRaises(ListUnreadable, self.read, body)


class HeaderNumbersTest(testtools.TestCase):
    """Values that endpoints and callers send in headers, and engines' caches."""

    NUMBERS = ("nan", "inf", "-inf", "1e999", "²", "9" * 5000, "-5", "", "x")

    def decode(self, name: str, value: str) -> None:
        headers = [
            (b"Host", b"shop.example"),
            (b"X-Attempt-Id", b"r1"),
            (name.encode(), value.encode("latin-1")),
        ]
        request = HttpRequest("GET", "/get/1", headers, b"", 0.0, "")
        try:
            asked = decode_request(request)
        except MalformedRequest:
            return
        self.assertTrue(0 <= asked.prompt_tokens <= 10**9)
        self.assertTrue(asked.timeout_ms is None or asked.timeout_ms >= 0)

    def test_numbers_of_callers(self) -> None:
        for number in self.NUMBERS:
            self.decode("X-Token-Count", f"{number},{number}")
            self.decode("X-Prompt-Prefix", f"aa:{number},bb:{number}")
            self.decode("X-Deadline-Ms", number)

    @settings(max_examples=200, deadline=None)
    @given(
        st.sampled_from(["X-Server-Load", "X-Confidence", "Keep-Alive", "X-Other"]),
        st.sampled_from(NUMBERS),
    )
    def test_numbers_of_endpoints(self, name: str, number: str) -> None:
        for value in (number, f"{number},{number},{number}", f"timeout={number}"):
            headers = [(name.encode(), value.encode("latin-1"))]
            head = decode_answer(h11.Response(status_code=200, headers=headers))
            if head.load is not None:
                self.assertTrue(0 <= head.load.running < 10**7)

    def test_memory(self) -> None:
        held = b'[["","aa",600,"small"],["","bb",-1,"small"],5,["","cc",700,"small"]]'
        parts = decode_prefix_cache(b'{"epoch":"odd","held":' + held + b"}")
        self.assertEqual(["aa", "cc"], [part.part_id for part in parts])
        self.assertRaises(JsonUnreadable, decode_prefix_cache, DEEP)


class DocumentTest(testtools.TestCase):
    def test_nested_deeply(self) -> None:
        self.assertRaises(DocumentError, decode_catalog, DEEP)
        body = (
            stub_server.encode_document(stub_server.document())[:-1]
            + b',"more":'
            + DEEP
            + b"}"
        )
        self.assertRaises(DocumentError, decode_catalog, body)

    @settings(max_examples=200, deadline=None)
    @given(st.binary(max_size=50), st.integers(min_value=0, max_value=2000))
    def test_bytes_anywhere(self, noise: bytes, at: int) -> None:
        body = stub_server.encode_document(stub_server.document())
        # This error is the only one allowed; any other fails the test.
        with contextlib.suppress(DocumentError):
            decode_catalog(body[:at] + noise + body[at:])
