"""Probes of the targets of owned shards."""

from __future__ import annotations

import collections.abc
import random

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import shard_runner
from fuchsiacourse import target_client as target_clients
from fuchsiacourse import target_row
from fuchsiacourse import timers as timer_service

TICK_S = 0.1
_JITTER = 0.2
# An unanswered probe counts as failed after this time.
_PROBE_TIMEOUT_S = 1.0
# Attempts lost within this time before a crash were in flight at it.
_CRASH_WINDOW_S = 2.0

ShardKey = tuple[str, str]
CrashCallback = collections.abc.Callable[[str, str, str], None]


class _Probe:
    __slots__ = ("due_s", "sent_s", "handle", "incarnation", "lost")

    def __init__(self, *, due_s: float) -> None:
        self.due_s = due_s
        self.sent_s: float | None = None
        self.handle: timer_service.TimerHandle | None = None
        self.incarnation = ""
        # Fingerprints of lost attempts and when they were lost.
        self.lost: list[tuple[float, str]] = []


class Prober:
    """Probes each target at an interval and finds crashes.

    A lost connection alone is no crash. A crash is confirmed when a probe
    right after it can't reach the target or meets a new incarnation.

    Args:
        interval_s: Seconds between the probes of one target.
        clock: Source of time.
        timers: Runs the probes.
        rng: Source of the jitter.
        target_client: Port to the targets.
        on_crash: Called with service, fingerprint and target of each
            attempt that was in flight at a crash.
    """

    def __init__(
        self,
        *,
        interval_s: float,
        clock: clocks.Clock,
        timers: timer_service.Timers,
        rng: random.Random,
        target_client: target_clients.TargetClient,
        on_crash: CrashCallback,
    ) -> None:
        self._interval_s = interval_s
        self._clock = clock
        self._timers = timers
        self._rng = rng
        self._target_client = target_client
        self._on_crash = on_crash
        self._probes_by_shard: dict[ShardKey, dict[str, _Probe]] = {}

    def forget(self, runner: shard_runner.ShardRunner) -> None:
        """Forgets a shard that was dropped."""
        for probe in self._probes_by_shard.pop(runner.shard.key, {}).values():
            if probe.handle is not None:
                probe.handle.cancel()

    def run_due(self, runners: list[shard_runner.ShardRunner]) -> None:
        """Starts the probes that are due."""
        now = self._clock.now()
        for runner in runners:
            probes = self._probes_by_shard.setdefault(runner.shard.key, {})
            rows = runner.shard.targets_by_id
            for target_id in set(probes) - set(rows):
                del probes[target_id]
            for row in rows.values():
                probe = probes.get(row.id)
                if probe is None:
                    first_s = now + self._rng.random() * self._interval_s
                    probe = probes[row.id] = _Probe(due_s=first_s)
                self._run_if_due(runner, row, probe, now)

    def connection_lost(
        self,
        key: ShardKey,
        row: target_row.TargetRow,
        attempt: target_row.Attempt,
    ) -> None:
        """Notes a lost attempt and probes its target at once."""
        probe = self._probes_by_shard.get(key, {}).get(row.id)
        if probe is None:
            return
        now = self._clock.now()
        probe.lost.append((now, attempt.fingerprint))
        probe.due_s = now

    def _run_if_due(
        self,
        runner: shard_runner.ShardRunner,
        row: target_row.TargetRow,
        probe: _Probe,
        now: float,
    ) -> None:
        if probe.sent_s is not None:
            if now - probe.sent_s > _PROBE_TIMEOUT_S:
                self._give_up(runner, row, probe, now)
            return
        # A probe takes a connection as well.
        if now < probe.due_s or row.in_flight >= row.target.connection_limit:
            return
        spread = _JITTER * (2.0 * self._rng.random() - 1.0)
        probe.due_s = now + self._interval_s * (1.0 + spread)
        probe.sent_s = now
        probe.handle = self._timers.spawn(self._probe(runner, row, probe))

    def _give_up(
        self,
        runner: shard_runner.ShardRunner,
        row: target_row.TargetRow,
        probe: _Probe,
        now: float,
    ) -> None:
        probe.handle.cancel()
        probe.sent_s = None
        runner.health.probe_failed(row, now)

    async def _probe(
        self,
        runner: shard_runner.ShardRunner,
        row: target_row.TargetRow,
        probe: _Probe,
    ) -> None:
        try:
            report = await self._target_client.probe(
                row.target.address, path=runner.shard.service.probe_path
            )
        except errors.TargetError as error:
            self._failed(runner, row, probe, error)
            return
        now = self._clock.now()
        probe.sent_s = None
        self._confirm(
            runner, row, probe, report.incarnation != probe.incarnation
        )
        probe.incarnation = report.incarnation
        runner.health.reported(row, report, now)
        runner.leaving.note(row, now, is_leaving=report.draining)

    def _failed(
        self,
        runner: shard_runner.ShardRunner,
        row: target_row.TargetRow,
        probe: _Probe,
        error: errors.TargetError,
    ) -> None:
        probe.sent_s = None
        runner.health.probe_failed(row, self._clock.now())
        is_down = isinstance(error, errors.TargetUnreachable)
        self._confirm(runner, row, probe, is_down)

    def _confirm(
        self,
        runner: shard_runner.ShardRunner,
        row: target_row.TargetRow,
        probe: _Probe,
        is_crash: bool,
    ) -> None:
        lost, probe.lost = probe.lost, []
        if not is_crash or not lost:
            return
        first_s = lost[-1][0] - _CRASH_WINDOW_S
        for fingerprint in {item for at_s, item in lost if at_s >= first_s}:
            self._on_crash(runner.shard.service.service, fingerprint, row.id)
