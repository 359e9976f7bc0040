"""Sends health probes to the targets of owned shards."""

from __future__ import annotations

import random

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import shard_runner
from fuchsiacourse import target_client as target_clients
from fuchsiacourse import target_row
from fuchsiacourse import timers as timer_service

# Seconds between checks for due probes.
TICK_S = 0.1
# Largest deviation from the interval of probes, as a share of it.
_JITTER = 0.2
# Seconds after which an unanswered probe counts as failed.
_PROBE_TIMEOUT_S = 1.0

ShardKey = tuple[str, str]


class _Probe:
    """Schedules the probes of one target, of which at most one runs."""

    __slots__ = ("due_s", "sent_s", "handle")

    def __init__(self, *, due_s: float) -> None:
        # Monotonic time in seconds from which the next probe may start.
        self.due_s = due_s
        # Monotonic start of the running probe in seconds; None without one.
        self.sent_s: float | None = None
        self.handle: timer_service.TimerHandle | None = None


class Prober:
    """Probes each target at an interval, with at most one probe at a time.

    Args:
        interval_s: Seconds between the probes of one target.
        clock: Source of time.
        timers: Runs the probes.
        rng: Source of the jitter.
        target_client: Client of the targets.
    """

    def __init__(
        self,
        *,
        interval_s: float,
        clock: clocks.Clock,
        timers: timer_service.Timers,
        rng: random.Random,
        target_client: target_clients.TargetClient,
    ) -> None:
        self._interval_s = interval_s
        self._clock = clock
        self._timers = timers
        self._rng = rng
        self._target_client = target_client
        self._probes_by_shard: dict[ShardKey, dict[str, _Probe]] = {}

    def forget(self, runner: shard_runner.ShardRunner) -> None:
        """Cancels and forgets the probes of a shard that is not served."""
        for probe in self._probes_by_shard.pop(runner.shard.key, {}).values():
            if probe.handle is not None:
                probe.handle.cancel()

    def expedite(
        self, runner: shard_runner.ShardRunner, row: target_row.TargetRow
    ) -> None:
        """Makes the next probe of a target due now."""
        probe = self._probes_by_shard.get(runner.shard.key, {}).get(row.id)
        if probe is not None:
            probe.due_s = self._clock.now()

    def probe_all(self, runner: shard_runner.ShardRunner) -> None:
        """Probes every target of a shard now.

        Running probes are cancelled and count neither as successful nor as
        failed, because this process may have been paused while they were
        answered.
        """
        now = self._clock.now()
        for probe in self._probes_by_shard.get(runner.shard.key, {}).values():
            probe.due_s = now
            if probe.sent_s is not None and probe.sent_s < now:
                probe.handle.cancel()
                probe.sent_s = None
        self.run_due([runner])

    def run_due(self, runners: list[shard_runner.ShardRunner]) -> None:
        """Starts the probes that are due."""
        now = self._clock.now()
        for runner in runners:
            probes = self._probes_by_shard.setdefault(runner.shard.key, {})
            rows = runner.shard.targets_by_id
            for target_id in probes.keys() - rows.keys():
                del probes[target_id]
            for row in rows.values():
                probe = probes.get(row.id)
                if probe is None:
                    probe = probes[row.id] = _Probe(due_s=now)
                self._run_if_due(runner, row, probe, now)

    def _run_if_due(
        self,
        runner: shard_runner.ShardRunner,
        row: target_row.TargetRow,
        probe: _Probe,
        now: float,
    ) -> None:
        if probe.sent_s is not None:
            if now - probe.sent_s > _PROBE_TIMEOUT_S:
                probe.handle.cancel()
                probe.sent_s = None
                runner.health.probe_failed(row, now)
            return
        # A probe uses one of the target's connections too.
        if now < probe.due_s or row.in_flight >= row.target.connection_limit:
            return
        spread = _JITTER * (2.0 * self._rng.random() - 1.0)
        probe.due_s = now + self._interval_s * (1.0 + spread)
        probe.sent_s = now
        probe.handle = self._timers.spawn(self._probe(runner, row, probe))

    async def _probe(
        self,
        runner: shard_runner.ShardRunner,
        row: target_row.TargetRow,
        probe: _Probe,
    ) -> None:
        started_s = self._clock.now()
        try:
            report = await self._target_client.probe(
                row.target.address, path=runner.shard.service.probe_path
            )
        except errors.TargetError:
            report = None
        now = self._clock.now()
        probe.sent_s = None
        if report is None:
            runner.health.probe_failed(row, now)
            return
        runner.health.record_report(row, report, now)
        runner.leaving.record(row, now, is_leaving=report.draining)
        runner.freshness_gate.record_contact(row.id, started_s)
        runner.bind(now)
