"""
ashlatch.gateway.trials
~~~~~~~~~~~~~~~~~~~~~~~

Applies the quarantine to one request of a gateway: it is refused, sent, or sent as a
trial of what endpoints may have crashed on, one request at a time. The others wait for
the result for a moment, as most trials clear what they test. A trial is announced to
the other gateways before it begins.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
from collections.abc import Callable

from ashlatch.clock import unix_ms
from ashlatch.gateway.admission import Refused, quarantine_refusal
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.fingerprint import format_fingerprint
from ashlatch.gateway.logs import QuarantineTrial
from ashlatch.gateway.message import CallerRequest
from ashlatch.gateway.updates import TrialChanged
from ashlatch.log import emit
from ashlatch.policy.fingerprint import Fingerprints
from ashlatch.policy.quarantine import TRIAL_WAIT_MS, QuarantineAction

__all__ = ["QuarantineGate"]

log = logging.getLogger("ashlatch.gateway")

# How often a waiting request asks for the result.
WAIT_STEP_S = 0.02
# When an announcement is repeated.
ANNOUNCE_AGAIN_MS = 50.0


class QuarantineGate:
    """The quarantine before each send of one request.

    `has_endpoint` tells whether there is an endpoint for it now.
    """

    def __init__(
        self,
        context: GatewayContext,
        request: CallerRequest,
        fingerprints: Fingerprints,
        has_endpoint: Callable[[], bool],
    ) -> None:
        self._context = context
        self._request = request
        self._fingerprints = fingerprints
        self._has_endpoint = has_endpoint
        self._refused = False
        self._waited_s = 0.0
        self._unrepeated: TrialChanged | None = None

    def refusal(self, may_wait: bool = True) -> Refused | None:
        """Returns the final answer if the request is quarantined.

        Unless it `may_wait`, it is also refused while another request is a trial.
        """
        refusal = quarantine_refusal(
            self._context,
            self._request.request_id,
            self._fingerprints,
            logged=not self._refused,
            may_wait=may_wait,
        )
        self._refused |= refusal is not None
        return refusal

    async def wait(self) -> Refused | None:
        """Waits until the request may be sent; returns the final answer if it may not.

        Whether a trial has ended is asked at intervals: its result may come from here,
        from another gateway or from the core, and may be that it never ends.
        """
        passed = False
        try:
            passed = await self._wait()
        finally:
            if not passed:
                self.end_trial()
        return self.refusal(may_wait=passed)

    async def _wait(self) -> bool:
        """Waits for a trial, or announces one; returns False if it takes too long.

        Without an endpoint the request is announced as no trial: it would only keep
        others from being one.
        """
        loop = asyncio.get_running_loop()
        while (action := self._decide()).waits:
            if action is QuarantineAction.ANNOUNCE:
                if not self._has_endpoint():
                    return True
                self._announce_trial()
            if self._waited_s * 1000.0 >= TRIAL_WAIT_MS:
                return False
            self._context.metrics.count("quarantine_waits")
            begun_s = loop.time()
            await asyncio.sleep(WAIT_STEP_S)
            self._waited_s += loop.time() - begun_s
        return True

    def _announce_trial(self) -> None:
        """Announces the request as a trial, and repeats that once.

        A datagram may be lost.
        """
        now_unix_ms = unix_ms()
        quarantine = self._context.quarantine
        keys = quarantine.announce_trial(self._fingerprints, now_unix_ms)
        if keys:
            request = self._fingerprints.request
            update = TrialChanged(keys, request, announced_unix_ms=now_unix_ms)
            self._context.broadcast(update)
            self._unrepeated = update
            return
        first = self._unrepeated
        if first and now_unix_ms - first.announced_unix_ms >= ANNOUNCE_AGAIN_MS:
            self._context.broadcast(first)
            self._unrepeated = None

    @property
    def open(self) -> bool:
        """Checks whether the request may be sent now, as a trial or not."""
        return self._decide().sends

    def begin_trial(self) -> None:
        """Makes the request the trial of its suspected causes, if it has any."""
        now_unix_ms = unix_ms()
        decision = self._context.quarantine.decide(self._fingerprints, now_unix_ms)
        if decision.action is not QuarantineAction.TRIAL:
            return
        keys = self._context.quarantine.begin_trial(self._fingerprints, now_unix_ms)
        event = QuarantineTrial(
            self._request.request_id,
            format_fingerprint(decision.cause),
            self._fingerprints.part_of(decision.cause),
            self._context.quarantine.crash_count(decision.cause),
        )
        emit(log, event)
        self._context.metrics.count("quarantine_trials")
        self._context.broadcast(TrialChanged(keys, self._fingerprints.request))

    def end_trial(self) -> None:
        """Ends the trial that the request is or was going to be, if any."""
        keys = self._context.quarantine.end_trial(self._fingerprints)
        if keys:
            self._context.broadcast(
                TrialChanged(keys, self._fingerprints.request, ended=True)
            )

    def _decide(self) -> QuarantineAction:
        return self._context.quarantine.decide(self._fingerprints, unix_ms()).action
