"""Tests of roll-outs in a control process while operators change their resources."""

import testtools

from ashlatch.control import membership, placement, rollout
from ashlatch.control.core import ControlCore
from ashlatch.control.event import ChangeResource, LeaseAnswered, StateRead
from ashlatch.policy.detector import TokenTimes
from ashlatch.policy.pace import bucket_of
from ashlatch.resources import (
    Rollout,
    RolloutProgress,
    RolloutStage,
    Spec,
    Version,
    encode_canonical,
    parse,
)
from ashlatch.store.command import Resource
from ashlatch.store.configuration import ResourceId
from ashlatch.store.protocol import VersionReport

_HANDLER_MODULES = (membership, placement, rollout)

OLD, NEW = "v1", "v2"
ANSWERS_MIN = 10


def stages(*shares: float) -> Rollout:
    listed = tuple(
        RolloutStage(share_percent=share, answers_min=ANSWERS_MIN) for share in shares
    )
    return Rollout(from_version=OLD, to_version=NEW, stages=listed)


class ReplacedRolloutTest(testtools.TestCase):
    """Guards against look-ups of a stage that an operator has removed.

    An exception in a handler ends the control process, and the next active one.
    """

    def setUp(self) -> None:
        super().setUp()
        self.core = ControlCore("me")
        self.core.step(0.0, LeaseAnswered("me", 1, float("inf")))
        self.answers = 0
        self.new_times: TokenTimes = {}
        self.old_times: TokenTimes = {}
        self.revision = 0
        self.resources: dict[ResourceId, Resource] = {}
        version = Version(
            model="m",
            input_price_microusd_per_ktoken=1,
            output_price_microusd_per_ktoken=1,
        )
        for name in (OLD, NEW):
            self.put(name, version)
        self.put("r", stages(10.0, 50.0, 100.0))

    def put(self, name: str, spec: Spec) -> None:
        self.put_encoded(spec.name, name, encode_canonical(spec))

    def put_encoded(self, kind: str, name: str, spec: bytes) -> None:
        self.revision += 1
        resource = Resource(kind, name, self.revision, spec)
        self.resources[ResourceId(kind, name)] = resource

    def read_state(self, new_answers: int = 0) -> None:
        """Lets the process read the state, and makes the changes that it wants."""
        self.answers += new_answers
        totals = (
            VersionReport(NEW, self.answers, 0, 0.0, token_times=self.new_times),
            VersionReport(OLD, 0, 0, 0.0, token_times=self.old_times),
        )
        resources = tuple(self.resources.values())
        event = StateRead(self.revision, self.revision, resources, totals)
        for effect in self.core.step(self.revision * 100.0, event):
            if isinstance(effect, ChangeResource):
                self.put_encoded(effect.kind, effect.name, effect.spec)

    @property
    def progress(self) -> RolloutProgress:
        spec = self.resources[ResourceId("rollout-progress", "r")].spec
        parsed = parse("rollout-progress", spec)
        assert isinstance(parsed, RolloutProgress)
        return parsed

    def reach_last_stage(self) -> None:
        self.read_state()
        for _ in range(2):
            self.read_state()
            self.read_state(ANSWERS_MIN)
        self.assertEqual((2, 100.0), (self.progress.stage, self.progress.share_percent))

    def test_a_rollout_with_fewer_stages_continues_in_its_last_one(self) -> None:
        self.reach_last_stage()
        self.put("r", stages(5.0, 20.0))
        self.read_state()
        progress = self.progress
        reached = (progress.stage, progress.share_percent, progress.state)
        self.assertEqual((1, 20.0, "running"), reached)

    def test_the_last_stage_needs_its_answers_anew(self) -> None:
        """Guards against counting answers from before the stage was entered again."""
        self.reach_last_stage()
        self.put("r", stages(5.0, 20.0))
        self.read_state()
        self.read_state()
        self.read_state(ANSWERS_MIN - 1)
        self.assertEqual("running", self.progress.state)
        self.read_state(1)
        done = (self.progress.share_percent, self.progress.state)
        self.assertEqual((20.0, "done"), done)

    def test_a_rollout_with_more_stages_continues_in_its_stage(self) -> None:
        self.reach_last_stage()
        self.put("r", stages(10.0, 50.0, 60.0, 100.0))
        self.read_state()
        self.read_state(ANSWERS_MIN)
        self.assertEqual((3, 100.0), (self.progress.stage, self.progress.share_percent))

    def read_times(self, late: int, answers: int) -> None:
        """Lets the process read answers; late ones take 4 times as long."""
        fast, slow = bucket_of(2000.0), bucket_of(8000.0)
        self.read_state()
        self.read_state()
        self.old_times = {route: {0: {fast: 40}} for route in ("a", "b")}
        count = answers // 2
        times = {fast: count - late // 2, slow: late // 2}
        self.new_times = {"a": {0: dict(times)}, "b": {1: dict(times)}}
        self.read_state(ANSWERS_MIN)

    def test_a_version_that_is_slow_in_half_of_its_answers_is_rolled_back(self) -> None:
        self.read_times(late=6, answers=12)
        reason = self.progress.reason
        self.assertEqual("rolled_back", self.progress.state)
        self.assertEqual("slower: 6 of 12 were late", reason)

    def test_a_version_that_may_be_slower_stays_in_its_stage(self) -> None:
        self.read_times(late=4, answers=32)
        stayed = (self.progress.stage, self.progress.state)
        self.assertEqual((0, "running"), stayed)
        times = {bucket_of(2000.0): 60, bucket_of(8000.0): 2}
        self.new_times = {"a": {0: dict(times)}, "b": {1: dict(times)}}
        self.read_state()
        self.assertEqual(1, self.progress.stage)

    def test_one_slow_endpoint_does_not_roll_back_its_version(self) -> None:
        self.read_times(late=0, answers=24)
        self.new_times["a"][2] = {bucket_of(8000.0): 8}
        self.read_state()
        self.assertEqual("running", self.progress.state, self.progress.reason)

    def test_a_version_as_fast_as_the_old_one_goes_on(self) -> None:
        self.read_times(late=0, answers=12)
        self.assertEqual(1, self.progress.stage)
