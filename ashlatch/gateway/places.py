"""
ashlatch.gateway.places
~~~~~~~~~~~~~~~~~~~~~~~

Leases places at endpoints that must not get more requests than they have slots for: the
messages between the gateways, and the requests of this gateway that wait for a place.
The decisions are made in `ashlatch.policy.places` and `ashlatch.policy.arbiter`.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import itertools
import logging
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ashlatch.catalog import GatewayVm
from ashlatch.gateway.directory import Directory, EndpointState
from ashlatch.gateway.logs import ArbiterChanged, PlaceLimitLowered
from ashlatch.gateway.updates import (
    ArbiterClaimed,
    PeerUpdate,
    PlaceDecided,
    PlaceReleased,
    PlaceRequested,
    PlacesHeld,
)
from ashlatch.log import emit
from ashlatch.metrics import Metrics
from ashlatch.policy.arbiter import CLAIM_INTERVAL_MS, Claim, Election
from ashlatch.policy.brittleness import EXPIRES_MS
from ashlatch.policy.places import (
    HeldPlaces,
    PlaceArbiter,
    PlaceAsk,
    PlaceOutcome,
    PlaceReply,
    Verdict,
)

__all__ = ["PlaceTerms", "Places"]


log = logging.getLogger("ashlatch.gateway")

TICK_S = 0.05
# An ask is repeated after this time until the arbiter answers. While a request waits
# in the queue, it is repeated after half of the expected wait, as the answer may be
# lost.
ASK_INTERVAL_MS = 80.0
QUEUED_INTERVAL_MIN_MS = 250.0
# A gateway that was asked to be the arbiter answers within this time.
NOMINEE_ANSWERS_MS = 240.0
# A gateway that knows of no arbiter listens for claims so long before it asks for one.
LISTEN_MS = 250.0
# Callers of requests that no arbiter has decided about return within this span: another
# gateway becomes the arbiter meanwhile.
UNDECIDED_RETRY_MS = 500.0, 1500.0
# The intervals of reports to the arbiter, with and without requests.
REPORT_INTERVAL_MS = 100.0
IDLE_REPORT_INTERVAL_MS = 200.0
# The arbiter drops what a gateway holds if it does not report. A gateway whose timers
# have not run for this time was suspended, and does not use what was granted before.
SUSPENDED_MS = 250.0
# After this time others may take it that an arbiter has ended.
ARBITER_SUSPENDED_MS = 350.0
# A gateway leads, or reports, for this time after the last ask or announcement.
ACTIVE_MS = 5000.0
# Whether a service's endpoints are brittle is looked up again after this time.
GOVERNED_MS = 50.0


@dataclass(frozen=True)
class PlaceTerms:
    """What a request needs of a place; `candidates` is called for each ask.

    A place is of no use after `useful_until_ms`, and the answer would be late after
    `target_until_ms`.
    """

    request_id: str
    candidates: Callable[[], tuple[str, ...]]
    useful_until_ms: float
    target_until_ms: float
    urgency: int
    received_ms: float


@dataclass
class _Wait:
    """A request of this gateway that waits for the decision about a place."""

    number: int
    terms: PlaceTerms
    decided: asyncio.Future[PlaceReply]
    expected_ms: float = 0.0
    queued: bool = False
    suspensions: int = 0


@dataclass
class _ServicePlaces:
    election: Election
    arbiter: PlaceArbiter | None = None
    waits: dict[int, _Wait] = field(default_factory=dict)
    held: dict[int, str] = field(default_factory=dict)
    active_until_ms: float = float("-inf")
    governed: bool = False
    governed_ms: float = float("-inf")
    brittle_ms: float = float("-inf")
    claimed_ms: float = float("-inf")
    reported_ms: float = float("-inf")
    nominee: str = ""
    nominated_ms: float = 0.0
    listens_from_ms: float | None = None
    hold_ms: float = 0.0


class Places:
    """The places of all services, as one gateway sees them.

    `send_to` sends an update to one other gateway, `broadcast` to all.
    """

    def __init__(
        self,
        directory: Directory,
        metrics: Metrics,
        gateways: Callable[[], tuple[GatewayVm, ...]],
        broadcast: Callable[[PeerUpdate], None],
    ) -> None:
        self.stopping = False
        self.local = ""
        self.send_to: Callable[[str, PeerUpdate], None] = lambda address, update: None
        self._directory = directory
        self._metrics = metrics
        self._gateways = gateways
        self._broadcast = broadcast
        self._services: dict[str, _ServicePlaces] = {}
        # Not those of an earlier process of this gateway.
        self._numbers = itertools.count(random.getrandbits(48))
        self._ticked_ms = float("inf")
        self._suspensions = 0
        self._resumed_ms = float("-inf")

    def governs(self, service: str, now_ms: float) -> bool:
        """Checks whether requests for a service need a place.

        All endpoints of a service are alike: one that has just started is brittle
        before it says so.
        """
        if not self.local:
            return False
        places = self._places(service)
        if now_ms - places.governed_ms > GOVERNED_MS:
            places.governed_ms = now_ms
            was_governed = places.governed
            states = list(self._directory.of_service(service))
            places.governed = self._are_brittle(places, states, now_ms)
            if places.governed:
                places.active_until_ms = now_ms + ACTIVE_MS
            if places.governed or was_governed:
                for state in states:
                    state.leased = places.governed
        return places.governed

    @staticmethod
    def _are_brittle(
        places: _ServicePlaces, states: list[EndpointState], now_ms: float
    ) -> bool:
        if any(state.brittleness.active(now_ms) for state in states):
            places.brittle_ms = now_ms
            return True
        if now_ms - places.brittle_ms > EXPIRES_MS:
            return False
        # All may have fallen over and return under new ids.
        return not any(_is_not_brittle(state, now_ms) for state in states)

    def arbiter_of(self, service: str) -> Claim:
        """Returns the claim of the arbiter that is known last."""
        return self._places(service).election.claim

    def hold_ms(self, service: str) -> float:
        """Returns the mean time for which a request holds a place, 0 if unknown."""
        return self._places(service).hold_ms

    # Requests of this gateway.

    async def acquire(self, service: str, terms: PlaceTerms) -> PlaceReply:
        """Waits for a place; returns the decision about it.

        A granted place has to be released; it has no instance if the request needs no
        place any more. Cancelling the wait withdraws it.
        """
        while True:
            reply, suspensions = await self._decide(service, terms)
            granted = reply.verdict is Verdict.GRANTED and bool(reply.instance)
            if not granted or suspensions == self.suspensions():
                return reply
            # Another request may have got the place meanwhile.
            self.release(service, reply.number, PlaceOutcome.UNUSED)

    async def _decide(self, service: str, terms: PlaceTerms) -> tuple[PlaceReply, int]:
        """Waits for the decision about one ask.

        Returns it, and how often this process had been suspended when it arrived.
        """
        places = self._places(service)
        loop = asyncio.get_running_loop()
        wait = _Wait(next(self._numbers), terms, loop.create_future())
        places.waits[wait.number] = wait
        try:
            return await self._await_decision(service, wait), wait.suspensions
        except BaseException:
            self.release(service, wait.number, PlaceOutcome.UNUSED)
            raise
        finally:
            places.waits.pop(wait.number, None)

    async def _await_decision(self, service: str, wait: _Wait) -> PlaceReply:
        while True:
            now_ms = _now_ms()
            remaining_ms = wait.terms.useful_until_ms - now_ms
            if remaining_ms <= 0.0:
                self.release(service, wait.number, PlaceOutcome.UNUSED)
                retry_ms = wait.expected_ms or random.uniform(*UNDECIDED_RETRY_MS)
                retry_ms = max(retry_ms, ASK_INTERVAL_MS)
                return PlaceReply("", wait.number, Verdict.DENIED, wait_ms=retry_ms)
            self._ask(service, wait, now_ms)
            interval_ms = ASK_INTERVAL_MS
            if wait.queued:
                interval_ms = max(QUEUED_INTERVAL_MIN_MS, wait.expected_ms / 2.0)
            timeout_s = min(interval_ms, remaining_ms) / 1000.0
            await asyncio.wait((wait.decided,), timeout=timeout_s)
            if wait.decided.done():
                return wait.decided.result()

    def _end_waits(self, service: str) -> None:
        """Lets requests go on that do not need a place any more."""
        for wait in list(self._places(service).waits.values()):
            if not wait.decided.done():
                self.release(service, wait.number, PlaceOutcome.UNUSED)
                reply = PlaceReply(self.local, wait.number, Verdict.GRANTED)
                wait.decided.set_result(reply)

    def suspensions(self) -> int:
        """Returns how often this process was suspended; its places may be lost then."""
        self._notice_suspension(_now_ms())
        return self._suspensions

    def release(self, service: str, number: int, outcome: PlaceOutcome) -> None:
        """Ends the use of a place, or the wait for one."""
        places = self._places(service)
        places.held.pop(number, None)
        if places.arbiter is not None:
            self._release(service, self.local, number, outcome)
            return
        arbiter = places.election.arbiter(_now_ms())
        if arbiter:
            released = PlaceReleased(service, self.local, number, outcome.value)
            self.send_to(arbiter, released)

    def _ask(self, service: str, wait: _Wait, now_ms: float) -> None:
        """Asks the arbiter, or the gateway that should become the arbiter."""
        places, terms = self._places(service), wait.terms
        places.active_until_ms = now_ms + ACTIVE_MS
        target = places.election.arbiter(now_ms) or self._nominate(places, now_ms)
        if not target:
            return
        asked = PlaceRequested(
            service,
            self.local,
            wait.number,
            terms.candidates(),
            round(max(0.0, terms.useful_until_ms - now_ms), 1),
            round(max(0.0, terms.target_until_ms - now_ms), 1),
            terms.urgency,
            round(max(0.0, now_ms - terms.received_ms), 1),
        )
        if target == self.local:
            self.apply_ask(asked, now_ms)
        else:
            self.send_to(target, asked)

    def _ask_again(self, service: str, places: _ServicePlaces, now_ms: float) -> None:
        """Asks again for the requests that waited at an arbiter that has ended."""
        for wait in list(places.waits.values()):
            if wait.queued and not wait.decided.done():
                wait.queued = False
                self._ask(service, wait, now_ms)

    def _nominate(self, places: _ServicePlaces, now_ms: float) -> str:
        """Returns the gateway that should become the arbiter, empty while unknown."""
        if places.listens_from_ms is None:
            places.listens_from_ms = now_ms
        if now_ms - places.listens_from_ms < LISTEN_MS:
            return ""
        nominee = places.nominee
        if nominee and now_ms - places.nominated_ms > NOMINEE_ANSWERS_MS:
            places.election.record_unanswered(nominee, now_ms)
            nominee = ""
        addresses = {gateway.address for gateway in self._gateways()}
        if not nominee or nominee not in addresses:
            addresses.add(self.local)
            nominee = places.election.nominee(addresses, now_ms)
            places.nominee, places.nominated_ms = nominee, now_ms
        return nominee

    # Updates from other gateways.

    def apply_ask(self, asked: PlaceRequested, now_ms: float) -> None:
        """Decides about an ask, refers it to the arbiter, or becomes the arbiter."""
        self._notice_suspension(now_ms)
        places = self._places(asked.service)
        places.active_until_ms = now_ms + ACTIVE_MS
        election = places.election
        if places.arbiter is None:
            resumed_ms = now_ms - self._resumed_ms
            if not election.arbiter(now_ms) and resumed_ms < LISTEN_MS:
                # The ask may have arrived long ago.
                return
            if election.arbiter(now_ms):
                claim, age_ms = election.claim, election.age_ms(now_ms)
                claimed = ArbiterClaimed(
                    asked.service,
                    claim.term,
                    claim.gateway,
                    places.hold_ms,
                    round(age_ms, 1),
                )
                self.send_to(asked.origin, claimed)
                return
            self._begin(asked.service, places, now_ms)
            if self.stopping:
                self._hand_over(asked.service, places, now_ms)
                return
        assert places.arbiter is not None
        ask = PlaceAsk(
            asked.origin,
            asked.number,
            asked.candidates,
            asked.patience_ms,
            asked.urgency,
            asked.waited_ms,
            asked.target_ms,
        )
        self._deliver(asked.service, places.arbiter.ask(ask, now_ms))

    def apply_decision(self, decided: PlaceDecided, now_ms: float) -> None:
        """Applies the decision of another gateway, unless its term is over."""
        places = self._places(decided.service)
        if decided.term < places.election.claim.term:
            return
        self._notice_suspension(now_ms)
        reply = PlaceReply(
            self.local,
            decided.number,
            Verdict(decided.verdict),
            decided.instance,
            decided.wait_ms,
        )
        self._apply_reply(decided.service, reply)

    def apply_release(self, released: PlaceReleased, now_ms: float) -> None:
        """Applies the release of a place by another gateway."""
        self._notice_suspension(now_ms)
        outcome = PlaceOutcome(released.outcome)
        self._release(released.service, released.origin, released.number, outcome)

    def apply_report(self, held: PlacesHeld, now_ms: float) -> None:
        """Applies what another gateway holds."""
        self._notice_suspension(now_ms)
        places = self._places(held.service)
        if places.arbiter is None:
            return
        numbers = {n: instance for instance, asks in held.places for n in asks}
        report = HeldPlaces(held.origin, numbers, dict(held.unleased))
        self._deliver(held.service, places.arbiter.report(report, now_ms))

    def apply_claim(self, claimed: ArbiterClaimed, now_ms: float) -> None:
        """Applies the claim of an arbiter."""
        self._notice_suspension(now_ms)
        places = self._places(claimed.service)
        claim = Claim(claimed.term, claimed.gateway)
        if claimed.gateway == self.local:
            if claim.term > places.election.claim.term:
                # The last arbiter is about to end and has chosen this one.
                places.hold_ms = claimed.hold_ms
                places.election.claim = Claim(claim.term - 1, "")
                self._begin(claimed.service, places, now_ms)
            return
        places.nominee = ""
        if claim >= places.election.claim and claimed.hold_ms > 0.0:
            places.hold_ms = claimed.hold_ms
        if not places.election.apply(claim, now_ms - claimed.age_ms):
            return
        places.arbiter = None
        places.active_until_ms = now_ms + ACTIVE_MS
        emit(log, ArbiterChanged(claimed.service, claimed.gateway, claimed.term))
        self._report(claimed.service, places, now_ms)
        for wait in places.waits.values():
            wait.queued = True
        self._ask_again(claimed.service, places, now_ms)

    def stop(self) -> None:
        """Hands over to other gateways what this one leases, as it is about to end."""
        self.stopping = True
        now_ms = _now_ms()
        for service, places in self._services.items():
            if places.arbiter is not None:
                self._hand_over(service, places, now_ms)

    # The arbiter.

    def _hand_over(self, service: str, places: _ServicePlaces, now_ms: float) -> None:
        others = {g.address for g in self._gateways()} - {self.local}
        if not others:
            return
        term = places.election.claim.term + 1
        successor = places.election.nominee(others, now_ms)
        claimed = ArbiterClaimed(service, term, successor, places.hold_ms)
        self._broadcast(claimed)
        self.apply_claim(claimed, now_ms)

    def _begin(self, service: str, places: _ServicePlaces, now_ms: float) -> None:
        """Makes this gateway the arbiter of a service."""
        claim = places.election.begin(now_ms)
        places.nominee = ""
        places.arbiter = PlaceArbiter(self.local, now_ms, places.hold_ms)
        self._metrics.count("arbiter_begun")
        emit(log, ArbiterChanged(service, self.local, claim.term))
        self._lead(service, places, now_ms)

    def _lead(self, service: str, places: _ServicePlaces, now_ms: float) -> None:
        """Does what an arbiter does at intervals."""
        arbiter = places.arbiter
        assert arbiter is not None
        if now_ms - places.claimed_ms >= CLAIM_INTERVAL_MS:
            places.claimed_ms = now_ms
            claim = places.election.claim
            hold_ms = round(arbiter.hold_ms, 1)
            places.hold_ms = hold_ms
            claimed = ArbiterClaimed(service, claim.term, claim.gateway, hold_ms)
            self._broadcast(claimed)
        arbiter.set_gateways([gateway.address for gateway in self._gateways()])
        report = HeldPlaces(self.local, places.held, self._unleased(service, places))
        self._deliver(service, arbiter.report(report, now_ms))
        states = self._directory.of_service(service)
        slots = {s.endpoint.instance: _slots(s, now_ms) for s in states}
        self._deliver(service, arbiter.set_slots(slots, now_ms))
        self._deliver(service, arbiter.tick(now_ms))

    def _release(
        self, service: str, holder: str, number: int, outcome: PlaceOutcome
    ) -> None:
        arbiter = self._places(service).arbiter
        if arbiter is None:
            return
        instance = arbiter.instance_of(holder, number)
        replies = arbiter.release(holder, number, outcome, _now_ms())
        if outcome is PlaceOutcome.REJECTED and instance:
            limit = arbiter.limit_of(instance)
            emit(log, PlaceLimitLowered(instance, service, limit, holder))
        self._deliver(service, replies)

    def _deliver(self, service: str, replies: Iterable[PlaceReply]) -> None:
        term = self._places(service).election.claim.term
        for reply in replies:
            if reply.holder == self.local:
                self._apply_reply(service, reply)
                continue
            decided = PlaceDecided(
                service,
                term,
                reply.number,
                reply.verdict.value,
                reply.instance,
                round(reply.wait_ms, 1),
            )
            self.send_to(reply.holder, decided)

    def _apply_reply(self, service: str, reply: PlaceReply) -> None:
        places = self._places(service)
        wait = places.waits.get(reply.number)
        if wait is None or wait.decided.done():
            granted = reply.verdict is Verdict.GRANTED
            if granted and reply.number not in places.held:
                self.release(service, reply.number, PlaceOutcome.UNUSED)
            return
        if reply.verdict is Verdict.QUEUED:
            wait.queued, wait.expected_ms = True, reply.wait_ms
            return
        if reply.verdict is Verdict.GRANTED:
            places.held[reply.number] = reply.instance
            wait.suspensions = self._suspensions
        wait.decided.set_result(reply)

    # Time.

    async def run(self) -> None:
        """Leads and reports at intervals, for as long as that is needed."""
        while True:
            await asyncio.sleep(TICK_S)
            now_ms = _now_ms()
            self._notice_suspension(now_ms)
            self._ticked_ms = now_ms
            for service in list(self._services):
                if not self.governs(service, now_ms):
                    self._end_waits(service)
                self._tick(service, self._services[service], now_ms)

    def _notice_suspension(self, now_ms: float) -> None:
        """Drops the asks from before a suspension, as decisions are outdated."""
        gap_ms = now_ms - self._ticked_ms
        if gap_ms <= SUSPENDED_MS:
            return
        self._ticked_ms = now_ms
        self._suspensions += 1
        self._resumed_ms = now_ms
        for places in self._services.values():
            places.listens_from_ms = now_ms
            if places.arbiter is not None and gap_ms > ARBITER_SUSPENDED_MS:
                places.arbiter = None
                places.election.resign()
            waits = [w for w in places.waits.values() if not w.decided.done()]
            for wait in waits:
                del places.waits[wait.number]
                wait.number = next(self._numbers)
                wait.queued = False
                places.waits[wait.number] = wait

    def _tick(self, service: str, places: _ServicePlaces, now_ms: float) -> None:
        if places.arbiter is not None:
            if now_ms > places.active_until_ms:
                places.arbiter = None
                places.election.resign()
            else:
                self._lead(service, places, now_ms)
                return
        if now_ms > places.active_until_ms:
            return
        if not places.election.arbiter(now_ms):
            self._ask_again(service, places, now_ms)
        busy = bool(places.waits or places.held)
        interval_ms = REPORT_INTERVAL_MS if busy else IDLE_REPORT_INTERVAL_MS
        if now_ms - places.reported_ms >= interval_ms - TICK_S * 500.0:
            self._report(service, places, now_ms)

    def _report(self, service: str, places: _ServicePlaces, now_ms: float) -> None:
        arbiter = places.election.arbiter(now_ms)
        places.reported_ms = now_ms
        if not arbiter or arbiter == self.local:
            return
        by_instance: dict[str, list[int]] = {}
        for number, instance in places.held.items():
            by_instance.setdefault(instance, []).append(number)
        held = tuple((i, tuple(numbers)) for i, numbers in by_instance.items())
        unleased = tuple(self._unleased(service, places).items())
        self.send_to(arbiter, PlacesHeld(service, self.local, held, unleased))

    def _unleased(self, service: str, places: _ServicePlaces) -> dict[str, int]:
        """Returns the requests at each endpoint that hold no place."""
        leased = Counter(places.held.values())
        states = self._directory.of_service(service)
        counts = {
            s.endpoint.instance: s.load.in_flight - leased[s.endpoint.instance]
            for s in states
        }
        return {instance: count for instance, count in counts.items() if count > 0}

    def _places(self, service: str) -> _ServicePlaces:
        found = self._services.get(service)
        if found is None:
            election = Election(service, self.local)
            found = self._services[service] = _ServicePlaces(election)
        return found


def _is_not_brittle(state: EndpointState, now_ms: float) -> bool:
    """Checks whether an endpoint has answered without the announcement."""
    answered = state.last_received_ms > float("-inf") or state.brittleness.ended
    return answered and not state.brittleness.active(now_ms)


def _slots(state: EndpointState, now_ms: float) -> int:
    """Returns how many requests an endpoint may get at a time."""
    if not state.permission(now_ms).granted and not state.backoff.wait_ms(now_ms):
        return 0
    report = state.load.report
    reported = report.slots if report is not None else 0
    return min(reported, state.endpoint.slots) if reported else state.endpoint.slots


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000.0
