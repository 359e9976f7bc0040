"""Finds out by connections whether this front still reaches targets."""

from __future__ import annotations

import abc
import asyncio
import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_reach
from fuchsiacourse.front import target_table
from fuchsiacourse import logs
from fuchsiacourse import timers as timer_services

# Targets that are connected to when one could not be reached. With the first
# one they suffice to tell that this front is cut off.
PROBED_TARGETS = target_reach.MIN_UNREACHED
# Shortest time between two rounds of connections, in seconds. Each connection
# has a price and may hold a slot of the target.
ROUND_INTERVAL_S = 0.5
# Targets that a front that is cut off connects to each ROUND_INTERVAL_S.
RECHECKED_TARGETS = 2

# Number of unreached targets from which the end of a doubt is logged; a single
# target that is down says nothing about the others.
MIN_LOGGED_UNREACHED = 2

# Outcomes that show that the target was reached.
_REACHED = frozenset(
    (
        outcomes.Outcome.ANSWERED,
        outcomes.Outcome.FAILED,
        outcomes.Outcome.DECLINED,
        outcomes.Outcome.BAD_ANSWER,
        outcomes.Outcome.MISDIRECTED,
    )
)
# Outcomes that a partition of the network may have caused.
_DOUBTFUL = frozenset(
    (
        outcomes.Outcome.UNREACHED,
        outcomes.Outcome.LOST,
        outcomes.Outcome.LATE,
        outcomes.Outcome.TIMED_OUT,
    )
)

RecordOutcome = typing.Callable[[outcomes.Outcome], None]


class TargetConnector(abc.ABC):
    """Interface for opening connections to targets."""

    __slots__ = ()

    @abc.abstractmethod
    async def connect(self, target: targets.Target) -> bool:
        """Opens and closes a connection; returns whether it was accepted."""


class ReachMonitor:
    """Watches the attempts of this front and connects to targets if in doubt.

    A front that is cut off reports no failures of its network path and serves
    no callers, so it opens connections to find out when the partition ends.

    Args:
        clock: Source of time.
        timers: Timer service.
        rng: Source of randomness.
        table: Targets.
        connector: Opens connections to targets.
        on_change: Called when the front is cut off or reaches targets again.
        log: Logger.
    """

    __slots__ = (
        "_timers",
        "_rng",
        "_clock",
        "_table",
        "_connector",
        "_on_change",
        "_log",
        "_reach",
        "_held",
        "_round_at_s",
        "_cut_off_since_s",
        "return_count",
    )

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        timers: timer_services.Timers,
        rng: random.Random,
        table: target_table.TargetTable,
        connector: TargetConnector,
        on_change: typing.Callable[[], None],
        log: typing.Any,
    ) -> None:
        self._timers = timers
        self._rng = rng
        self._clock = clock
        self._table = table
        self._connector = connector
        self._on_change = on_change
        self._log = log
        self._reach = target_reach.TargetReach(clock=clock)
        # Outcomes that are recorded after the running round of connections.
        self._held: list[tuple[outcomes.Outcome, RecordOutcome]] = []
        # Monotonic time at which the last round ended, in seconds.
        self._round_at_s = float("-inf")
        self._cut_off_since_s = 0.0
        # How often targets were reached again after a cut.
        self.return_count = 0

    @property
    def is_cut_off(self) -> bool:
        """Whether this front reaches no target while other fronts do."""
        return self._reach.is_cut_off

    def resolve(
        self,
        target: targets.Target,
        outcome: outcomes.Outcome,
        record: RecordOutcome,
        *,
        connected_s: float | None = None,
    ) -> None:
        """Records the outcome of an attempt once its cause is known.

        If the front may be cut off, that is after a round of connections. An
        outcome that the partition has caused becomes CANCELLED, because it
        says nothing about the target.

        Args:
            target: Target of the attempt.
            outcome: How it ended; LATE if it still runs.
            record: Called with the outcome to record.
            connected_s: Monotonic time at which the connection of the attempt
                was opened, in seconds, None if it has none or still runs.
        """
        if outcome in _REACHED and connected_s is not None:
            self._record_reached(target, connected_s, by="answer")
        if outcome not in _DOUBTFUL:
            record(outcome)
            return
        if outcome is outcomes.Outcome.UNREACHED:
            self._record_unreached(target)
        if self.is_cut_off:
            record(outcomes.Outcome.CANCELLED)
            return
        now_s = self._clock.now()
        if not self._held and now_s - self._round_at_s < ROUND_INTERVAL_S:
            record(outcome)
            return
        self._held.append((outcome, record))
        if len(self._held) == 1:
            self._timers.spawn(self._probe(target, outcome))

    def record_peer_answer(self) -> None:
        """Records that a target has answered another front."""
        self._reach.record_peer_answer()

    async def _probe(
        self, doubted: targets.Target, outcome: outcomes.Outcome
    ) -> None:
        """Connects to the doubted target, then to others if it fails."""
        is_unreached = outcome is outcomes.Outcome.UNREACHED
        is_allowed = _may_connect(doubted, self._clock.now())
        if is_unreached or not is_allowed or not await self._connects(doubted):
            others = [item for item in self._usable() if item is not doubted]
            await self._connect_to(others, PROBED_TARGETS)
        self._round_at_s = self._clock.now()
        self._release()

    def _release(self) -> None:
        """Records the outcomes that were held for a round of connections."""
        held, self._held = self._held, []
        for outcome, record in held:
            record(outcomes.Outcome.CANCELLED if self.is_cut_off else outcome)

    async def _recheck(self) -> None:
        while self.is_cut_off:
            await self._clock.sleep(ROUND_INTERVAL_S)
            if self.is_cut_off:
                await self._connect_to(self._usable(), RECHECKED_TARGETS)

    async def _connect_to(
        self, found: list[targets.Target], count: int
    ) -> None:
        chosen = self._rng.sample(found, min(count, len(found)))
        await asyncio.gather(*(self._connects(item) for item in chosen))

    async def _connects(self, target: targets.Target) -> bool:
        if await self._connector.connect(target):
            now_s = self._clock.now()
            self._record_reached(target, now_s, by="connection")
            return True
        self._record_unreached(target)
        return False

    def _usable(self) -> list[targets.Target]:
        now_s = self._clock.now()
        return [
            item
            for item in self._table.by_id.values()
            if _may_connect(item, now_s)
        ]

    def _record_reached(
        self, target: targets.Target, connected_s: float, *, by: str
    ) -> None:
        unreached = self._reach.unreached
        was_cut_off = self._reach.record_reached(connected_s)
        if self._reach.unreached:
            return
        self._release()
        if not was_cut_off:
            self._log_doubt_ended(target, by, unreached)
            return
        self.return_count += 1
        logs.event(
            self._log,
            "targets_reached_again",
            cut_off_s=round(self._clock.now() - self._cut_off_since_s, 2),
            target=target.record.id,
            by=by,
        )
        self._on_change()

    def _log_doubt_ended(
        self, target: targets.Target, by: str, unreached: int
    ) -> None:
        """Logs what showed that targets are reached, if some were not."""
        if unreached < MIN_LOGGED_UNREACHED:
            return
        logs.event(
            self._log,
            "targets_not_cut_off",
            target=target.record.id,
            by=by,
            unreached=unreached,
        )

    def _record_unreached(self, target: targets.Target) -> None:
        known = len(self._usable())
        if not self._reach.record_unreached(target.key, known=known):
            return
        self._cut_off_since_s = self._clock.now()
        logs.warning(
            self._log,
            "targets_cut_off",
            target=target.record.id,
            targets=known,
        )
        self._release()
        self._on_change()
        self._timers.spawn(self._recheck())


def _may_connect(target: targets.Target, now_s: float) -> bool:
    return target.is_usable and target.held_until_s <= now_s
