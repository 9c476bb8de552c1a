"""Unit tests of ashlatch.raft; each tests one safety rule of the protocol."""

import testtools

from ashlatch.raft import election
from ashlatch.raft.core import RaftConfig, RaftCore, Role
from ashlatch.raft.effect import (
    AddLearner,
    AppendLog,
    Apply,
    Effect,
    Event,
    LeadershipChanged,
    LeaveGroup,
    PersistentState,
    Propose,
    Received,
    SaveVote,
    Send,
    Synced,
    Tick,
)
from ashlatch.raft.message import (
    AppendReply,
    AppendRequest,
    Entry,
    Member,
    Members,
    SnapshotMeta,
    VoteReply,
    VoteRequest,
)

_HANDLER_MODULES = (election,)

A, B, C = (Member(name, name, name) for name in "abc")
D = Member("d", "d", "d")
THREE = Members((A, B, C))
START_MS = 1000.0
LEADER_TIMEOUT_MS = 700.0


def core(member: Member = A, members: Members = THREE, voters_min: int = 0) -> RaftCore:
    boot = PersistentState(member.member_id, snapshot=SnapshotMeta(0, 0, members))
    return RaftCore(RaftConfig(voters_min=voters_min), boot, START_MS)


def heartbeat(term: int, previous: int = 0, previous_term: int = 0) -> Received:
    return Received(
        AppendRequest(0, "b", term, previous, previous_term, 0, START_MS, ())
    )


def vote_request(term: int, pre: bool, sender: str = "c") -> Received:
    return Received(VoteRequest(0, sender, term, 0, 0, pre))


def replies(effects: list[Effect]) -> list[VoteReply]:
    sends = [e.message for e in effects if isinstance(e, Send)]
    return [m for m in sends if isinstance(m, VoteReply)]


def elect(member: RaftCore, now_ms: float) -> float:
    """Makes the member the leader of three, with the votes of member b."""
    now_ms += 2000.0
    member.step(now_ms, Tick())
    member.step(now_ms, Received(VoteReply(0, "b", member.term + 1, True, True)))
    member.step(now_ms, Received(VoteReply(0, "b", member.term, True, False)))
    assert member.role is Role.LEADER
    return now_ms


def acknowledge(
    member: RaftCore, now_ms: float, sender: str, index: int, sent_ms: float = -1.0
) -> list[Effect]:
    sent_ms = now_ms if sent_ms < 0 else sent_ms
    reply = AppendReply(0, sender, member.term, True, index, sent_ms)
    return member.step(now_ms, Received(reply))


def fresh_core() -> RaftCore:
    boot = PersistentState("a", snapshot=SnapshotMeta(0, 0, THREE))
    return RaftCore(RaftConfig(fresh_start_poll_ms=100.0), boot, START_MS)


def fresh_vote(sender: str, pre: bool = True) -> Received:
    return Received(VoteReply(0, sender, 1, True, pre, fresh_start=pre))


class FreshStartTest(testtools.TestCase):
    """Votes that need not wait until an earlier leader's lease has expired."""

    def vote_requests(self, member: RaftCore, now_ms: float) -> list[VoteRequest]:
        effects = member.step(now_ms, Tick())
        sends = [e.message for e in effects if isinstance(e, Send)]
        return [m for m in sends if isinstance(m, VoteRequest)]

    def test_all_voters_have_just_started(self) -> None:
        member = fresh_core()
        requests = self.vote_requests(member, START_MS + 160.0)
        self.assertEqual([(True, True)] * 2, [(r.pre, r.fresh_start) for r in requests])
        member.step(START_MS + 161.0, fresh_vote("b"))
        self.assertIs(Role.FOLLOWER, member.role)
        member.step(START_MS + 162.0, fresh_vote("c"))
        self.assertEqual((Role.CANDIDATE, 1), (member.role, member.term))
        member.step(START_MS + 163.0, fresh_vote("b", pre=False))
        self.assertIs(Role.LEADER, member.role)

    def test_voter_that_received_from_a_leader_grants_no_such_vote(self) -> None:
        member = fresh_core()
        request = Received(VoteRequest(0, "c", 1, 0, 0, True, True))
        (reply,) = replies(member.step(START_MS + 10.0, request))
        self.assertEqual((True, True), (reply.granted, reply.fresh_start))
        member.step(START_MS + 20.0, heartbeat(0))
        (reply,) = replies(member.step(START_MS + 30.0, request))
        self.assertEqual((False, False), (reply.granted, reply.fresh_start))

    def test_member_that_received_from_a_leader_stops_asking(self) -> None:
        member = fresh_core()
        member.step(START_MS + 20.0, heartbeat(0))
        self.assertEqual([], self.vote_requests(member, START_MS + 160.0))
        for sender in ("b", "c"):
            member.step(START_MS + 161.0, fresh_vote(sender))
        self.assertIs(Role.FOLLOWER, member.role)

    def test_ordinary_vote_request_is_refused(self) -> None:
        """The request does not state that all voters have just started."""
        member = fresh_core()
        for pre in (True, False):
            request = Received(VoteRequest(0, "c", 1, 0, 0, pre))
            (reply,) = replies(member.step(START_MS + 10.0, request))
            self.assertFalse(reply.granted)
        self.assertEqual(0, member.term)


class VotingTest(testtools.TestCase):
    def test_no_vote_while_a_leader_is_live(self) -> None:
        member = core()
        member.step(START_MS + LEADER_TIMEOUT_MS, heartbeat(1))
        later = START_MS + LEADER_TIMEOUT_MS + 500.0
        for pre in (True, False):
            (reply,) = replies(member.step(later, vote_request(2, pre)))
            self.assertFalse(reply.granted)
        self.assertEqual(1, member.term)
        (reply,) = replies(
            member.step(later + LEADER_TIMEOUT_MS, vote_request(2, True))
        )
        self.assertTrue(reply.granted)

    def test_no_vote_right_after_a_start(self) -> None:
        """The member may have acknowledged a leader just before it restarted."""
        member = core()
        (reply,) = replies(member.step(START_MS + 100.0, vote_request(1, False)))
        self.assertFalse(reply.granted)

    def test_one_vote_per_term(self) -> None:
        member = core()
        now_ms = START_MS + LEADER_TIMEOUT_MS
        (first,) = replies(member.step(now_ms, vote_request(1, False, "b")))
        (second,) = replies(member.step(now_ms, vote_request(1, False, "c")))
        self.assertEqual([True, False], [first.granted, second.granted])

    def test_a_vote_waits_for_the_disk(self) -> None:
        member = core()
        effects = member.step(START_MS + LEADER_TIMEOUT_MS, vote_request(1, False))
        kinds = [type(effect) for effect in effects]
        self.assertLess(kinds.index(SaveVote), kinds.index(Send))
        sends = [e for e in effects if isinstance(e, Send)]
        self.assertTrue(all(send.after_sync for send in sends))

    def test_a_candidates_own_vote_waits_for_the_disk(self) -> None:
        member = core()
        now_ms = START_MS + 2000.0
        member.step(now_ms, Tick())
        granted = Received(VoteReply(0, "b", 1, True, True))
        effects = member.step(now_ms, granted)
        requests = [e for e in effects if isinstance(e, Send)]
        self.assertEqual(2, len(requests))
        self.assertTrue(all(send.after_sync for send in requests))

    def test_a_partitioned_member_does_not_raise_the_term(self) -> None:
        member = core()
        for step in range(20):
            member.step(START_MS + 2000.0 * step, Tick())
        self.assertEqual(0, member.term)

    def test_a_newer_term_of_a_voter_is_adopted(self) -> None:
        member = core()
        now_ms = START_MS + 2000.0
        member.step(now_ms, Tick())
        member.step(now_ms, Received(VoteReply(0, "b", 1, False, True, 7)))
        self.assertEqual(7, member.term)


class CommitTest(testtools.TestCase):
    def test_the_leaders_own_disk_counts_only_when_synced(self) -> None:
        member = core()
        now_ms = elect(member, START_MS)
        effects = acknowledge(member, now_ms, "b", 1)
        self.assertEqual([], [e for e in effects if isinstance(e, Apply)])
        effects = member.step(now_ms, Synced(1, member.term))
        self.assertEqual(1, len([e for e in effects if isinstance(e, Apply)]))

    def test_a_reply_waits_for_the_disk(self) -> None:
        member = core()
        entries = (Entry(1, 1, b"x"),)
        request = AppendRequest(0, "b", 1, 0, 0, 0, START_MS, entries)
        effects = member.step(START_MS, Received(request))
        kinds = [type(effect) for effect in effects]
        self.assertIn(AppendLog, kinds)
        (send,) = [e for e in effects if isinstance(e, Send)]
        self.assertTrue(send.after_sync)

    def test_an_earlier_terms_entry_is_not_committed_by_counting(self) -> None:
        boot = PersistentState(
            "a", 1, "", SnapshotMeta(0, 0, THREE), b"", (Entry(1, 1, b"x"),)
        )
        member = RaftCore(RaftConfig(), boot, START_MS)
        now_ms = elect(member, START_MS)
        acknowledge(member, now_ms, "b", 1)
        self.assertEqual(0, member.commit_index)
        member.step(now_ms, Synced(2, member.term))
        acknowledge(member, now_ms, "b", 2)
        self.assertEqual(2, member.commit_index)


class LeaseTest(testtools.TestCase):
    def leader(self) -> tuple[RaftCore, float]:
        member = core()
        now_ms = elect(member, START_MS)
        member.step(now_ms, Synced(1, member.term))
        acknowledge(member, now_ms, "b", 1)
        return member, now_ms

    def test_a_leader_reads_until_its_voters_may_vote_again(self) -> None:
        member, now_ms = self.leader()
        self.assertTrue(member.may_read(now_ms + 500.0))
        self.assertFalse(member.may_read(now_ms + 580.0))

    def test_the_lease_starts_when_the_message_was_sent(self) -> None:
        member, now_ms = self.leader()
        acknowledge(member, now_ms + 400.0, "b", 1, sent_ms=now_ms + 100.0)
        self.assertTrue(member.may_read(now_ms + 600.0))
        self.assertFalse(member.may_read(now_ms + 700.0))

    def test_a_leader_without_a_quorum_steps_down(self) -> None:
        member, now_ms = self.leader()
        member.step(now_ms + 2000.0, Tick())
        self.assertFalse(member.leading)


class MembersTest(testtools.TestCase):
    def leader(self, voters_min: int = 0) -> tuple[RaftCore, float]:
        member = core(voters_min=voters_min)
        now_ms = elect(member, START_MS)
        member.step(now_ms, Synced(1, member.term))
        acknowledge(member, now_ms, "b", 1)
        return member, now_ms

    def test_a_learner_becomes_a_voter_only_when_caught_up(self) -> None:
        member, now_ms = self.leader()
        member.step(now_ms, AddLearner(D))
        member.step(now_ms, Synced(2, member.term))
        acknowledge(member, now_ms, "b", 2)
        member.step(now_ms, Tick())
        self.assertEqual((D,), member.members.learners)
        acknowledge(member, now_ms, "d", 2)
        member.step(now_ms, Tick())
        self.assertIn(D, member.members.voters)

    def test_a_removed_learner_notices_that_it_has_no_leader(self) -> None:
        """No member sends to it any more, so it has to ask to join again."""
        member = core(D, Members((A, B, C), (D,)))
        member.step(START_MS, heartbeat(1))
        self.assertEqual("b", member.leader_id)
        effects = member.step(START_MS + 3000.0, Tick())
        self.assertEqual("", member.leader_id)
        self.assertEqual([], [e for e in effects if isinstance(e, Send)])
        self.assertTrue(any(isinstance(e, LeadershipChanged) for e in effects))

    def test_one_change_at_a_time(self) -> None:
        member, now_ms = self.leader()
        member.step(now_ms, AddLearner(D))
        other = Member("e", "e", "e")
        member.step(now_ms, AddLearner(other))
        self.assertEqual((D,), member.members.learners)

    def test_no_change_before_an_entry_of_the_current_term_is_committed(self) -> None:
        member = core()
        now_ms = elect(member, START_MS)
        member.step(now_ms, AddLearner(D))
        self.assertEqual((), member.members.learners)

    def advance(
        self, member: RaftCore, now_ms: float, answering: tuple[str, ...]
    ) -> set[str]:
        """Commits all entries, lets the leader change members; returns the voters."""
        member.step(now_ms, Synced(member.log.last_index, member.term))
        for voter in answering:
            acknowledge(member, now_ms, voter, member.log.last_index)
        member.step(now_ms, Tick())
        return set(member.members.voter_ids())

    def test_a_vm_with_a_new_folder_never_has_two_voters(self) -> None:
        """A VM that loses its disk twice would otherwise count for two lost voters."""
        member, now_ms = self.leader()
        member.step(now_ms, AddLearner(Member("c2", "c", "c")))
        self.assertEqual({"a", "b"}, self.advance(member, now_ms, ("b", "c2")))
        for _ in range(2):
            voters = self.advance(member, now_ms, ("b", "c2"))
            self.assertEqual({"a", "b", "c2"}, voters)

    def test_the_quorum_does_not_rise_while_a_voter_is_silent(self) -> None:
        """A learner of a new VM takes the place of the silent voter instead."""
        member, now_ms = self.leader(voters_min=3)
        member.step(now_ms, AddLearner(D))
        unchanged = self.advance(member, now_ms + 900.0, ("b", "d"))
        self.assertEqual({"a", "b", "c"}, unchanged)
        now_ms += 1100.0
        self.assertEqual({"a", "b"}, self.advance(member, now_ms, ("b", "d")))
        self.assertEqual({"a", "b", "d"}, self.advance(member, now_ms, ("b", "d")))

    def test_a_voter_that_answered_only_before_the_learner_came_is_silent(self) -> None:
        """A VM may be removed for good at the moment when its successor joins."""
        member, now_ms = self.leader(voters_min=3)
        acknowledge(member, now_ms, "c", 1)
        member.step(now_ms + 100.0, AddLearner(D))
        unchanged = self.advance(member, now_ms + 200.0, ("b", "d"))
        self.assertEqual({"a", "b", "c"}, unchanged)

    def test_only_a_spare_voter_leaves(self) -> None:
        member, now_ms = self.leader(voters_min=3)
        member.step(now_ms, LeaveGroup("c"))
        self.assertEqual({"a", "b", "c"}, set(member.members.voter_ids()))
        member.step(now_ms, AddLearner(D))
        everybody = ("b", "c", "d")
        self.assertEqual(
            {"a", "b", "c", "d"}, self.advance(member, now_ms + 1.0, everybody)
        )
        self.advance(member, now_ms + 2.0, everybody)
        member.step(now_ms + 2.0, LeaveGroup("c"))
        self.assertEqual({"a", "b", "d"}, set(member.members.voter_ids()))

    def test_proposals_are_refused_by_followers(self) -> None:
        event: Event = Propose(1, b"x")
        effects = core().step(START_MS, event)
        self.assertEqual(1, len(effects))
