"""Tests of ashlatch.codec: successive versions of the program can read each other's
messages and records.
"""

import msgspec
import testtools

from ashlatch.codec import decode, encode
from ashlatch.store.command import Claim, Command, RequestKey, VersionCandidate
from ashlatch.store.machine import State, StoreMachine


class NewClaim(msgspec.Struct, frozen=True, tag="claim"):
    """A claim as a later version of the program might write it."""

    key: RequestKey
    claim_id: str
    body_digest: str
    router: str
    repeatable: bool
    candidate: VersionCandidate
    session: str = ""
    at_ms: int = 0
    colour: str = "blue"


class OldClaim(msgspec.Struct, frozen=True, tag="claim"):
    """A claim as an earlier version without sessions wrote it."""

    key: RequestKey
    claim_id: str
    body_digest: str
    router: str
    repeatable: bool
    candidate: VersionCandidate


class NewState(State):
    """A snapshot as a later version of the program might write it."""

    tides: list[int] = []


class UpgradeTest(testtools.TestCase):
    key = RequestKey("org", "k")
    candidate = VersionCandidate("v", 1)

    def test_unknown_fields_are_skipped(self) -> None:
        new = NewClaim(self.key, "c", "d", "r", True, self.candidate, "s", 7)
        decoded = decode(encode(new), Command)
        self.assertEqual(
            Claim(self.key, "c", "d", "r", True, self.candidate, "s", 7), decoded
        )

    def test_missing_fields_get_their_defaults(self) -> None:
        old = OldClaim(self.key, "c", "d", "r", True, self.candidate)
        decoded = decode(encode(old), Command)
        self.assertEqual(Claim(self.key, "c", "d", "r", True, self.candidate), decoded)

    def test_a_snapshot_with_unknown_fields_is_decoded(self) -> None:
        machine = StoreMachine()
        machine.step(Claim(self.key, "c", "d", "r", True, self.candidate))
        old = machine.state
        new = NewState(
            old.now_ms, old.configuration, old.ledger, old.control, tides=[1, 2]
        )
        self.assertEqual(old, decode(encode(new), State))

    def test_invalid_messages_raise_a_typed_error(self) -> None:
        for data in (b"", b"\xff\x00", encode({"type": "claim"}), encode([1])):
            self.assertRaises(msgspec.DecodeError, decode, data, Command)
