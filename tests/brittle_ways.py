"""The ways in which simulated gateways send requests to brittle endpoints."""

import functools
import itertools
from collections import Counter, deque
from dataclasses import dataclass
from typing import Any, ClassVar

import xxhash

from ashlatch.policy.brittleness import Brittleness
from ashlatch.policy.load import EndpointLoad, LoadReport
from ashlatch.policy.places import (
    HeldPlaces,
    PlaceArbiter,
    PlaceAsk,
    PlaceOutcome,
    PlaceReply,
    Verdict,
)
from ashlatch.registry import Variants
from tests.brittle_simulation import TICK_MS, BrittleWorld, Gateway, Request

ATTEMPTS_MAX = 3
RETRY_MIN_MS, RETRY_MAX_MS, RETRY_STEP_MS = 100.0, 5000.0, 20.0
REJECTED_PAUSE_MS = 300.0
REPORT_MS = 100.0
# A queued ask is repeated after this time, in case its place was granted in a message
# that was lost.
QUEUED_REPEAT_MS = 500.0
CLAIM_LOST_MS = 650.0
# Gateways that could be the next arbiter begin this long after each other.
CLAIM_STEP_MS = 50.0
SUSPENDED_MS = 300.0


class Way:
    """Sends the requests of one gateway."""

    name: ClassVar[str]
    # Whether it decides for other gateways.
    decides = False

    def __init__(self, world: BrittleWorld, gateway: Gateway) -> None:
        self.world = world
        self.gateway = gateway

    def request(self, request: Request) -> None:
        raise NotImplementedError

    def ended(
        self, request: Request, instance: str, outcome: PlaceOutcome, load: int
    ) -> None:
        raise NotImplementedError

    def receive(self, sender: int, message: Any) -> None:
        pass

    def tick(self) -> None:
        pass

    def nearest(self) -> list[str]:
        """Returns the listed endpoints, those in its hall first."""
        listed = list(self.world.listed.items())
        self.world.random.shuffle(listed)
        listed.sort(key=lambda item: item[1].hall != self.gateway.hall)
        return [instance for instance, _ in listed]

    def patience_ms(self, request: Request) -> float:
        waited_ms = self.world.now_ms - request.begun_ms
        return self.world.form.patience_ms - waited_ms

    def broadcast(self, message: object) -> None:
        for number in self.world.members:
            if number != self.gateway.number:
                self.world.datagram(self.gateway, number, message)


WAYS = Variants[type[Way]]("way")


@WAYS.add
class Closing(Way):
    """Each gateway closes an endpoint for some time after rejections."""

    name = "closing"

    def __init__(self, world: BrittleWorld, gateway: Gateway) -> None:
        super().__init__(world, gateway)
        self._states: dict[str, tuple[Brittleness, EndpointLoad]] = {}
        self._attempts: Counter[Request] = Counter()
        self._retry_ms = 0.0

    def _state(self, instance: str) -> tuple[Brittleness, EndpointLoad]:
        return self._states.setdefault(instance, (Brittleness(), EndpointLoad()))

    def _wait_ms(self, instance: str) -> float:
        brittleness, load = self._state(instance)
        full = load.requests() >= self.world.form.slots
        return brittleness.wait_ms(full, self.world.now_ms)

    def request(self, request: Request) -> None:
        now_ms = self.world.now_ms
        waits = {instance: self._wait_ms(instance) for instance in self.nearest()}
        open_now = [instance for instance, wait_ms in waits.items() if not wait_ms]
        if self._attempts[request] == ATTEMPTS_MAX or not waits:
            self.world.refuse(request, None)
        elif open_now:
            self._attempts[request] += 1
            instance = min(open_now, key=lambda i: self._state(i)[1].requests())
            self._state(instance)[1].record_sent(now_ms)
            self.world.send(self.gateway, request, instance)
            return
        else:
            opens_ms = now_ms + min(waits.values())
            retry_ms = max(opens_ms, self._retry_ms)
            self._retry_ms = min(retry_ms + RETRY_STEP_MS, now_ms + RETRY_MAX_MS)
            after_ms = min(max(RETRY_MIN_MS, retry_ms - now_ms), RETRY_MAX_MS)
            self.world.refuse(request, after_ms)
        del self._attempts[request]

    def ended(
        self, request: Request, instance: str, outcome: PlaceOutcome, load: int
    ) -> None:
        now_ms, slots = self.world.now_ms, self.world.form.slots
        brittleness, state = self._state(instance)
        state.record_finished(now_ms, None)
        if outcome in (PlaceOutcome.ANSWERED, PlaceOutcome.REJECTED):
            state.apply_report(
                LoadReport(instance, now_ms, load, 0, slots, frozenset())
            )
            brittleness.record_announced(self.world.form.rejections_max, now_ms)
        if outcome is PlaceOutcome.REJECTED:
            self._record_rejection(instance)
            self.broadcast(instance)
        if outcome is PlaceOutcome.ANSWERED:
            self.world.serve(request)
        elif not request.done:
            self.request(request)
            return
        self._attempts.pop(request, None)

    def _record_rejection(self, instance: str) -> None:
        draw = self.world.random.random()
        self._state(instance)[0].record_rejection(draw, self.world.now_ms)

    def receive(self, sender: int, message: Any) -> None:
        now_ms, rejections_max = self.world.now_ms, self.world.form.rejections_max
        self._state(message)[0].record_announced(rejections_max, now_ms)
        self._record_rejection(message)


@functools.cache
def chosen_members(key: str, members: tuple[int, ...], count: int) -> tuple[int, ...]:
    """Returns the members with the highest hashes."""

    def rank(member: int) -> int:
        return xxhash.xxh64_intdigest(f"{key} {member}".encode())

    return tuple(sorted(members, key=rank)[-count:])


class OwnSlots(Way):
    """A gateway with slots of its own, for which its requests wait."""

    def __init__(self, world: BrittleWorld, gateway: Gateway) -> None:
        super().__init__(world, gateway)
        self._queue: deque[Request] = deque()
        self._used: Counter[str] = Counter()
        self._paused_ms: dict[str, float] = {}
        self._retry_ms = 0.0

    def own_slots(self, instance: str) -> int:
        raise NotImplementedError

    def request(self, request: Request) -> None:
        if request.done:
            return
        slots = sum(self.own_slots(instance) for instance in self.world.listed)
        if not slots:
            self.world.refuse(request, None)
            return
        now_ms, step_ms = self.world.now_ms, self.world.form.hold_ms / slots
        wait_ms = (len(self._queue) + 1) * step_ms
        if wait_ms > self.patience_ms(request):
            self._retry_ms = max(self._retry_ms + step_ms, now_ms + wait_ms)
            self.world.refuse(request, self._retry_ms - now_ms)
            return
        self._queue.append(request)
        self._send_queued()

    def _send_queued(self) -> None:
        now_ms = self.world.now_ms
        for instance in self.nearest():
            if now_ms < self._paused_ms.get(instance, 0.0):
                continue
            free = self.own_slots(instance) - self._used[instance]
            while self._queue and free > 0:
                request = self._queue.popleft()
                if not request.done:
                    free -= 1
                    self._used[instance] += 1
                    self.world.send(self.gateway, request, instance)

    def ended(
        self, request: Request, instance: str, outcome: PlaceOutcome, load: int
    ) -> None:
        self._used[instance] -= 1
        if outcome is PlaceOutcome.ANSWERED:
            self.world.serve(request)
        else:
            self._paused_ms[instance] = self.world.now_ms + REJECTED_PAUSE_MS
            if not request.done:
                self._queue.appendleft(request)
        self._send_queued()

    def tick(self) -> None:
        while self._queue and self.patience_ms(self._queue[0]) <= 0.0:
            self.world.refuse(self._queue.popleft(), RETRY_MIN_MS)
        self._send_queued()


@WAYS.add
class FixedShare(OwnSlots):
    """Each slot of an endpoint belongs to one gateway."""

    name = "fixed_share"

    def own_slots(self, instance: str) -> int:
        owners = [
            chosen_members(f"{instance} {slot}", self.world.members, 1)
            for slot in range(self.world.form.slots)
        ]
        return owners.count((self.gateway.number,))


@WAYS.add
class FewSenders(OwnSlots):
    """Two gateways send to an endpoint, and get the requests of the others."""

    name = "few_senders"
    SENDERS = 2

    def _senders(self, instance: str) -> tuple[int, ...]:
        return chosen_members(instance, self.world.members, self.SENDERS)

    def own_slots(self, instance: str) -> int:
        senders = self._senders(instance)
        if self.gateway.number not in senders:
            return 0
        return self.world.form.slots // len(senders)

    def request(self, request: Request) -> None:
        if request.done or request.at is not request.origin:
            super().request(request)
            return
        senders = [
            sender
            for instance in self.world.listed
            for sender in self._senders(instance)
            if sender not in request.tried
        ]
        if not senders:
            self.world.refuse(request, None)
            return
        sender = self.world.random.choice(senders)
        if sender == self.gateway.number:
            super().request(request)
        else:
            self.world.hand(request, self.world.gateways[sender])


@dataclass(frozen=True)
class Claim:
    """Tells that a gateway is the arbiter; the highest claim is valid."""

    epoch: int
    number: int


@dataclass(frozen=True)
class Release:
    number: int
    outcome: PlaceOutcome


@dataclass
class _Ask:
    request: Request
    until_ms: float
    asked_ms: float
    wait_ms: float | None = None

    @property
    def repeat_ms(self) -> float:
        return REPORT_MS if self.wait_ms is None else QUEUED_REPEAT_MS


@WAYS.add
class Leased(Way):
    """One gateway leases slots to all of them."""

    name = "leased"

    def __init__(self, world: BrittleWorld, gateway: Gateway) -> None:
        super().__init__(world, gateway)
        self._arbiter: PlaceArbiter | None = None
        self._claim = Claim(0, -1)
        self._ticked_ms = world.now_ms
        # The system begins with an arbiter.
        self._claim_ms = world.now_ms or -CLAIM_LOST_MS
        self._claimed_ms = self._reported_ms = 0.0
        # Numbers of an earlier process must not appear again.
        self._numbers = itertools.count(gateway.life << 24)
        self._asks: dict[int, _Ask] = {}
        self._held: dict[int, str] = {}

    @property
    def decides(self) -> bool:  # type: ignore[override]
        return self._arbiter is not None

    def request(self, request: Request) -> None:
        patience_ms = self.patience_ms(request)
        if patience_ms <= 0.0:
            self.world.refuse(request, RETRY_MIN_MS)
            return
        now_ms = self.world.now_ms
        request.number = next(self._numbers)
        self._asks[request.number] = _Ask(request, now_ms + patience_ms, now_ms)
        self._send_ask(request.number)

    def _send_ask(self, number: int) -> None:
        ask = self._asks[number]
        ask.asked_ms = self.world.now_ms
        patience_ms = ask.until_ms - self.world.now_ms
        candidates = tuple(self.nearest())
        waited_ms = self.world.now_ms - ask.request.begun_ms
        self._to_arbiter(
            PlaceAsk(
                self.gateway.name, number, candidates, patience_ms, waited_ms=waited_ms
            )
        )

    def ended(
        self, request: Request, instance: str, outcome: PlaceOutcome, load: int
    ) -> None:
        self._held.pop(request.number)
        unused = outcome is PlaceOutcome.UNUSED
        released = PlaceOutcome.FAILED if unused else outcome
        self._to_arbiter(Release(request.number, released))
        if outcome is PlaceOutcome.ANSWERED:
            self.world.serve(request)
        elif not request.done:
            self.request(request)

    # Messages.

    def _to_arbiter(self, message: object) -> None:
        if self._arbiter is not None:
            self._arbitrate(self.gateway.name, message)
        elif self._claim.epoch:
            self.world.datagram(self.gateway, self._claim.number, message)

    def receive(self, sender: int, message: Any) -> None:
        if isinstance(message, Claim):
            self._receive_claim(message)
        elif isinstance(message, PlaceReply):
            self._receive_reply(message)
        else:
            self._arbitrate(f"g-{sender}", message)

    def _arbitrate(self, holder: str, message: Any) -> None:
        arbiter, now_ms = self._arbiter, self.world.now_ms
        if arbiter is None:
            return
        if isinstance(message, PlaceAsk):
            replies = arbiter.ask(message, now_ms)
        elif isinstance(message, HeldPlaces):
            replies = arbiter.report(message, now_ms)
        else:
            number, outcome = message.number, message.outcome
            replies = arbiter.release(holder, number, outcome, now_ms)
        self._reply(replies)

    def _reply(self, replies: list[PlaceReply]) -> None:
        for reply in replies:
            if reply.holder == self.gateway.name:
                self._receive_reply(reply)
            else:
                number = int(reply.holder.partition("-")[2])
                self.world.datagram(self.gateway, number, reply)

    def _receive_reply(self, reply: PlaceReply) -> None:
        if reply.verdict is Verdict.QUEUED:
            if reply.number in self._asks:
                self._asks[reply.number].wait_ms = reply.wait_ms
            return
        ask = self._asks.pop(reply.number, None)
        if reply.verdict is Verdict.GRANTED:
            if ask is not None:
                self._held[reply.number] = reply.instance
                self.world.send(self.gateway, ask.request, reply.instance)
            elif reply.number not in self._held:
                self._to_arbiter(Release(reply.number, PlaceOutcome.UNUSED))
        elif ask is not None:
            self.world.refuse(ask.request, reply.wait_ms)

    def _receive_claim(self, claim: Claim) -> None:
        if (claim.epoch, claim.number) < (self._claim.epoch, self._claim.number):
            return
        is_new, self._claim = claim != self._claim, claim
        self._claim_ms = self.world.now_ms
        if is_new:
            self._arbiter = None
            self._send_report()
            for number in list(self._asks):
                self._send_ask(number)

    def _send_report(self) -> None:
        self._reported_ms = self.world.now_ms
        self._to_arbiter(HeldPlaces(self.gateway.name, dict(self._held)))

    # Time.

    def tick(self) -> None:
        now_ms = self.world.now_ms
        if now_ms - self._ticked_ms > SUSPENDED_MS:
            # Another arbiter may have begun, and places that were granted may be lost.
            self._arbiter, self._claim_ms = None, now_ms
            asks, self._asks = self._asks, {}
            for number, ask in asks.items():
                self._to_arbiter(Release(number, PlaceOutcome.UNUSED))
                self.request(ask.request)
        self._ticked_ms = now_ms
        self._begin_arbiter()
        if now_ms - self._reported_ms >= REPORT_MS - TICK_MS / 2.0:
            self._send_report()
        for number, ask in list(self._asks.items()):
            if now_ms >= ask.until_ms:
                del self._asks[number]
                self._to_arbiter(Release(number, PlaceOutcome.UNUSED))
                known = ask.wait_ms is not None
                self.world.refuse(ask.request, RETRY_MIN_MS if known else None)
            elif now_ms - ask.asked_ms >= ask.repeat_ms:
                self._send_ask(number)
        if self._arbiter is not None:
            self._run_arbiter(self._arbiter)

    def _begin_arbiter(self) -> None:
        others = [m for m in self.world.members if m != self._claim.number]
        if self._arbiter is not None or self.gateway.number not in others:
            return
        after_ms = CLAIM_LOST_MS + CLAIM_STEP_MS * others.index(self.gateway.number)
        now_ms = self.world.now_ms
        if now_ms - self._claim_ms < after_ms:
            return
        self._claim = Claim(self._claim.epoch + 1, self.gateway.number)
        hold_ms = self.world.form.hold_ms
        self._arbiter = PlaceArbiter(self.gateway.name, now_ms, hold_ms)
        self._claimed_ms = 0.0
        self._run_arbiter(self._arbiter)
        self._send_report()

    def _run_arbiter(self, arbiter: PlaceArbiter) -> None:
        now_ms, slots = self.world.now_ms, self.world.form.slots
        arbiter.set_gateways([f"g-{number}" for number in self.world.members])
        self._reply(arbiter.set_slots(dict.fromkeys(self.world.listed, slots), now_ms))
        self._reply(arbiter.tick(now_ms))
        if now_ms - self._claimed_ms >= REPORT_MS - TICK_MS / 2.0:
            self._claimed_ms = now_ms
            self.broadcast(self._claim)
