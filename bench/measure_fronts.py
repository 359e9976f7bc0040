"""Measures how fast fronts avoid unhealthy targets, and false suspicions.

Fronts of one zone run on virtual time with their real decisions; evidence
arrives at the other fronts 1 ms later. The load is that of the service with
the longest work at glenmorach-gw, in one region.
"""

from __future__ import annotations

import asyncio
import random
import statistics

from bench import figure
from bench import front_fakes
from bench import virtual_loop
from fuchsiacourse.front import caller_presence
from fuchsiacourse.front import evidence as evidences
from fuchsiacourse.front import evidence_collector
from fuchsiacourse.front import forwarder as forwarders
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_sender

FRONTS = 6
TARGETS = 8
RATE_PER_S = 10.7
# Median work time in seconds, and standard deviation of its logarithm.
WORK_S = 0.48
WORK_SPREAD = 0.5
# Share of the requests whose work takes longer, and by which factor.
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0
# Share of the requests that fail at a healthy target.
ERROR_SHARE = 0.012
# Share of the requests that fail at an unhealthy target.
FAILED_SHARE = 0.85
SLOW_FACTOR = 5.0
HANG_S = 60.0
EVIDENCE_DELAY_S = 0.001
FAULT_START_S = 8.0
# Time without a request after which a target counts as avoided, in seconds.
AVOIDED_AFTER_S = 3.0
MAX_DETECTION_S = 15.0
POLL_S = 0.02
SEEDS = 30
HEALTHY_RUN_S = 120.0
MEDIAN_BOUND_S = 1.0
P95_BOUND_S = 3.0
# Limit of false suspicions, in seconds per million target-seconds.
SUSPICION_BOUND = 1.0
_OK = 200

OUTCOMES_BY_FAULT = {
    "fails": outcomes.Outcome.FAILED,
    "resets": outcomes.Outcome.LOST,
    "spoils": outcomes.Outcome.BAD_ANSWER,
    "hangs": None,
    "slow": None,
}


class FrontWorld:
    """Fronts and targets, one of which may become unhealthy.

    Args:
        seed: Seed of the arrivals, the work times and the fronts' decisions.
    """

    def __init__(self, *, seed: int) -> None:
        self._rng = random.Random(seed)
        self.unhealthy_id = ""
        self.fault = ""
        records = [
            front_fakes.record(
                f"t{number}", availability_zone="ab"[number % 2]
            )
            for number in range(TARGETS)
        ]
        sender = front_fakes.FakeSender(self._behave)
        self.fronts = [
            front_fakes.forwarder(
                sender,
                *records,
                seed=seed * FRONTS + number,
                send_evidence=self._evidence_sender(number),
            )
            for number in range(FRONTS)
        ]
        config = front_fakes.config(
            front_fakes.route(timeout_s=4.0, objective_s=1.5)
        )
        for front in self.fronts:
            front.config = config
        self._tasks: set[asyncio.Task] = set()

    async def send(self, for_s: float) -> None:
        """Sends requests at ``RATE_PER_S`` for a time in seconds.

        The rate doesn't depend on the answers.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        number = 0
        while loop.time() < end_s:
            await asyncio.sleep(self._rng.expovariate(RATE_PER_S))
            number += 1
            request = front_fakes.request(
                f"/orders/{number}", deadline_ms=4000, received_s=loop.time()
            )
            task = asyncio.ensure_future(
                self._rng.choice(self.fronts).handle(
                    request, caller_presence.CallerPresence()
                )
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def last_used_s(self, id: str) -> float:
        """Returns the loop time of the last attempt at a target, in seconds.

        Args:
            id: Id of the target.
        """
        return max(front.table.by_id[id].last_used_s for front in self.fronts)

    def suspecting_fronts(self, id: str) -> int:
        """Returns how many fronts suspect a target."""
        now_s = asyncio.get_running_loop().time()
        return sum(
            front.table.by_id[id].health.probability(now_s)
            >= evidence_collector.SUSPECT_THRESHOLD
            for front in self.fronts
        )

    def _evidence_sender(
        self, number: int
    ) -> evidence_collector.EvidenceSender:
        def send_evidence(evidence: evidences.Evidence) -> None:
            loop = asyncio.get_running_loop()
            for other, front in enumerate(self.fronts):
                if other != number:
                    loop.call_later(
                        EVIDENCE_DELAY_S,
                        _apply_remote,
                        front,
                        evidence,
                        f"10.0.0.{number}",
                    )

        return send_evidence

    def _behave(
        self, target: targets.Target, count: int
    ) -> tuple[float, target_sender.AttemptResult]:
        work_s = WORK_S * self._rng.lognormvariate(0.0, WORK_SPREAD)
        if self._rng.random() < TAIL_SHARE:
            work_s *= TAIL_FACTOR
        if target.record.id == self.unhealthy_id:
            if self.fault == "slow":
                return work_s * SLOW_FACTOR, front_fakes.answered()
            if self._rng.random() < FAILED_SHARE:
                outcome = OUTCOMES_BY_FAULT[self.fault]
                if outcome is None:
                    return HANG_S, front_fakes.answered()
                return 0.001, front_fakes.result(outcome, 500)
        if self._rng.random() < ERROR_SHARE:
            return work_s, front_fakes.result(outcomes.Outcome.FAILED, 500)
        return work_s, front_fakes.answered()


def _apply_remote(
    front: forwarders.Forwarder, evidence: evidences.Evidence, ip: str
) -> None:
    front.collector.apply_remote(evidence, front=ip, is_same_zone=True)


def detection_time(fault: str, seed: int) -> float:
    """Returns the time until an unhealthy target gets no more requests.

    Args:
        fault: Fault of the target, a key of OUTCOMES_BY_FAULT.
        seed: Seed of the run.

    Returns:
        Seconds from the fault to the last request before the target counts
        as avoided, ``MAX_DETECTION_S`` if it never does.
    """

    async def main() -> float:
        world = FrontWorld(seed=seed)
        loop = asyncio.get_running_loop()
        load = asyncio.ensure_future(
            world.send(FAULT_START_S + MAX_DETECTION_S)
        )
        await asyncio.sleep(FAULT_START_S)
        world.fault, world.unhealthy_id = fault, f"t{seed % TARGETS}"
        begin_s = loop.time()
        while loop.time() - begin_s < MAX_DETECTION_S:
            last_s = max(begin_s, world.last_used_s(world.unhealthy_id))
            if loop.time() - last_s > AVOIDED_AFTER_S:
                load.cancel()
                return last_s - begin_s
            await asyncio.sleep(POLL_S)
        load.cancel()
        return MAX_DETECTION_S

    return virtual_loop.run(main())


def suspicion_time(seed: int) -> float:
    """Returns the time in which fronts suspect healthy targets, in seconds.

    The time is summed over all pairs of a front and a target.
    """

    async def main() -> float:
        world = FrontWorld(seed=seed)
        load = asyncio.ensure_future(world.send(HEALTHY_RUN_S))
        suspecting = 0
        for _ in range(int(HEALTHY_RUN_S / POLL_S)):
            await asyncio.sleep(POLL_S)
            for number in range(TARGETS):
                suspecting += world.suspecting_fronts(f"t{number}")
        load.cancel()
        return suspecting * POLL_S

    return virtual_loop.run(main())


def front_detection() -> list[figure.Figure]:
    """Measures the time until all fronts avoid an unhealthy target."""
    found = []
    for fault in OUTCOMES_BY_FAULT:
        times = sorted(detection_time(fault, seed) for seed in range(SEEDS))
        found += [
            figure.Figure(
                name=f"front_detection_{fault}_median",
                value=statistics.median(times),
                unit="s",
                bound=MEDIAN_BOUND_S,
            ),
            figure.Figure(
                name=f"front_detection_{fault}_p95",
                value=times[int(0.95 * (SEEDS - 1) + 0.5)],
                unit="s",
                bound=P95_BOUND_S,
            ),
        ]
    return found


def front_wrong_avoidance() -> list[figure.Figure]:
    """Measures how often fronts suspect healthy targets without faults."""
    suspected_s = suspicion_time(1)
    watched_s = HEALTHY_RUN_S * TARGETS * FRONTS
    return [
        figure.Figure(
            name="front_wrong_avoidance",
            value=suspected_s / watched_s * 1e6,
            unit="s/Ms",
            bound=SUSPICION_BOUND,
        )
    ]


MEASURES = {
    "front_detection": front_detection,
    "front_wrong_avoidance": front_wrong_avoidance,
}
