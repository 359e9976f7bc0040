"""Randomized soak test of front processes under injected faults.

A run starts fronts, a store, targets and callers on loopback, injects
overlapping faults, and checks the guarantees meanwhile. The seed determines
the faults; the machine schedules the processes, so a run is not exactly
reproducible.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import tempfile
import typing

import typer

from bench import fault_busy
from bench import fault_callers
from bench import fault_checker
from bench import fault_late_callers
from bench import fault_limits
from bench import fault_series
from bench import fault_target
from bench import fault_testbed
from bench import fault_wishes

# Time within which callers must be served after the start, in seconds.
START_TIMEOUT_S = 30.0
# Number of concurrent callers, and of those that stay with one front, by
# front.
CALLERS = 12
LATE_CALLERS = 6
# Range of the time between two faults, in seconds.
FAULT_INTERVAL_S = (0.2, 1.5)
# Range of the length of a process pause, in seconds.
PAUSE_S = (0.3, 4.0)
# Ranges of the length of a store fault, and of the delay that a slow store
# adds to each call, in seconds.
STORE_FAULT_S = (0.5, 5.0)
STORE_DELAY_S = (0.1, 1.0)
# Range of the time for which a target stays in a fault mode, in seconds.
TARGET_MODE_S = (1.0, 6.0)
# Ranges of the length of a fault of a target's link, and of the delay that a
# slow link adds, in seconds.
LINK_FAULT_S = (0.5, 4.0)
LINK_DELAY_S = (0.05, 0.5)
# Range of the time for which a draining target still works, in seconds.
DRAINING_S = (4.0, 8.0)
# Range of the time until the registration of a crashed target lapses, in
# seconds; at most three heartbeats.
LAPSE_S = (0.5, 4.5)
# Ranges of the rate limit that a target states, in requests per second, and of
# the time for which it does, in seconds.
LIMIT_PER_S = (0.5, 6.0)
LIMIT_S = (5.0, 12.0)
# Range of the time for which a target wants nothing from a front that it has
# turned away, in seconds.
HOLD_S = (0.8, 5.0)
# Ranges of the age of the copy from which the store comes back, of the time
# for which it is away, and until what was lost is written again, in seconds.
COPY_AGE_S = (0.5, 6.0)
RESTORE_S = (0.1, 2.0)
WRITTEN_AGAIN_S = (0.1, 2.0)
# Share of the "kill_all" faults that do kill all fronts. If all of them did,
# the fronts would serve too few requests to check.
KILL_ALL_SHARE = 0.3
# Share of the disconnections from the store that block both directions.
BOTH_WAYS_SHARE = 0.7
# Number of fronts that a rolling restart restarts.
ROLLING_RESTART_FRONTS = 3
# Most answers of the store to one front that a fault drops, and range of the
# time in which it does so, in seconds.
MAX_DROPPED_ANSWERS = 3
DROPPING_S = (0.5, 2.0)
# Texts of which a request must contain the chosen one for its answer to be
# dropped.
DROPPED_REQUEST_MARKS = (b"", b"watch=", b"/config?watch=")
# Range of the operator's retry budget, as a share of the requests.
RETRY_SHARE = (0.2, 0.4)
# Time after the faults within which callers must be served again, in seconds,
# and least share of served requests for that.
RECOVER_S = 15.0
RECOVERED_SHARE = 0.9
# Delay of a wake-up above which the machine is too busy for time bounds to
# hold, and interval of the check, in seconds.
LAG_S = 0.2
LAG_CHECK_S = 0.05
# Length of the windows in which the share of served requests is measured after
# the faults, in seconds.
SERVED_WINDOW_S = 3.0


class FaultSoak:
    """Injects faults into a testbed and waits for its recovery.

    Args:
        testbed: Processes and stand-ins that the faults affect.
        seconds: Time with faults, in seconds.
        caller_rng: Source of the callers' randomness.
        only: Names of the faults to inject, without faults in series; all
            and those in series if empty.
        busy: Number of busy processes that run beside the faults.

    Raises:
        ValueError: There is no fault of such a name.
    """

    def __init__(
        self,
        *,
        testbed: fault_testbed.FaultTestbed,
        seconds: float,
        caller_rng: random.Random,
        only: tuple[str, ...] = (),
        busy: int = 0,
    ) -> None:
        self._testbed = testbed
        self._clock = testbed.clock
        self._rng = testbed.rng
        self._caller_rng = caller_rng
        self._checker = testbed.checker
        self._seconds = seconds
        self._tasks: set[asyncio.Task] = set()
        self._busy = fault_busy.BusyProcesses(count=busy)
        # Faults that run in series, concurrently with the others.
        self._series = fault_series.FaultSeries(testbed=testbed)
        self._faults_by_name = {
            "kill": self._kill,
            "kill_all": self._kill_all,
            "pause": self._pause,
            "stop": self._stop,
            "rolling_restart": self._rolling_restart,
            "stop_several": self._stop_several,
            "reload": self._reload,
            "store_away": self._store_outage,
            "store_slow": self._store_slow,
            "store_history": self._store_history,
            "store_cut": self._store_cut,
            "store_resets": self._store_resets,
            "store_loses": self._store_drops_answers,
            "target_mode": self._target_mode,
            "target_link": self._target_link,
            "store_restored": self._store_restored,
            "target_limit": self._target_limit,
            "target_leaves": self._target_leaves,
            "target_says_leaving": self._target_says_leaving,
            "target_holds": self._target_holds,
            "target_crashes": self._target_crashes,
            "route_moves": self._series.move_route,
            "route_added": self._series.add_route,
        }
        unknown = set(only) - set(self._faults_by_name)
        if unknown:
            raise ValueError(f"unknown faults: {sorted(unknown)}")
        self._chosen = list(only or self._faults_by_name)
        self._repeated = () if only else self._series.all

    async def run(self) -> None:
        """Injects faults, then waits until callers are served again."""
        callers = fault_callers.FaultCallers(
            testbed=self._testbed, count=CALLERS, rng=self._caller_rng
        )
        await self._testbed.start()
        late_callers = fault_late_callers.LateCallers(
            testbed=self._testbed, count=LATE_CALLERS, rng=self._caller_rng
        )
        monitor = asyncio.ensure_future(self._monitor_machine())
        try:
            await self._wait_served(callers)
            late_callers.start()
            self._busy.start()
            end_s = self._clock.now() + self._seconds
            for inject in self._repeated:
                self._spawn(self._repeat_fault(inject, end_s))
            while self._clock.now() < end_s:
                name = self._rng.choice(self._chosen)
                self._checker.faults[name] += 1
                self._spawn(self._faults_by_name[name]())
                await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL_S))
            await asyncio.gather(*self._tasks)
            await late_callers.stop()
            self._busy.stop()
            await self._recover(callers)
            await callers.stop()
        finally:
            monitor.cancel()
            self._busy.stop()
            await self._testbed.stop()

    async def _monitor_machine(self) -> None:
        while True:
            for front in self._testbed.fronts:
                self._checker.record_memory(front.ip, front.peak_bytes())
            due_s = self._clock.now() + LAG_CHECK_S
            await asyncio.sleep(LAG_CHECK_S)
            if self._clock.now() > due_s + LAG_S:
                self._checker.faults["machine is busy"] += 1
                self._checker.record_fault(fault_checker.MACHINE)

    def _spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)

    async def _repeat_fault(
        self,
        inject: typing.Callable[[], typing.Awaitable[None]],
        end_s: float,
    ) -> None:
        while self._clock.now() < end_s:
            await inject()
            await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL_S))

    async def _wait_served(self, callers: fault_callers.FaultCallers) -> None:
        callers.start()
        deadline_s = self._clock.now() + START_TIMEOUT_S
        while callers.served_share(self._clock.now() - 0.5) < RECOVERED_SHARE:
            if self._clock.now() > deadline_s:
                self._checker.record_no_recovery(callers.served_share(0.0))
                return
            await asyncio.sleep(0.1)

    async def _recover(self, callers: fault_callers.FaultCallers) -> None:
        deadline_s = self._clock.now() + RECOVER_S + SERVED_WINDOW_S
        while True:
            await asyncio.sleep(SERVED_WINDOW_S)
            share = callers.served_share(self._clock.now() - SERVED_WINDOW_S)
            if share >= RECOVERED_SHARE:
                return
            if self._clock.now() > deadline_s:
                self._checker.record_no_recovery(share)
                return

    def _random_front(self) -> fault_testbed.FaultFront:
        return self._rng.choice(self._testbed.fronts)

    def _random_target(self) -> fault_target.FaultTarget:
        return self._rng.choice(list(self._testbed.targets_by_id.values()))

    async def _kill(self) -> None:
        self._kill_front(self._random_front(), signal.SIGKILL)

    async def _kill_all(self) -> None:
        if self._rng.random() < KILL_ALL_SHARE:
            for front in self._testbed.fronts:
                self._kill_front(front, signal.SIGKILL)

    def _kill_front(
        self, front: fault_testbed.FaultFront, number: int
    ) -> None:
        # Suspends the time bounds until the process has restarted.
        is_planned = number == signal.SIGTERM
        self._checker.record_fault(front.ip, 1.0, is_planned=is_planned)
        front.signal(number)

    async def _pause(self) -> None:
        front = self._random_front()
        length_s = self._rng.uniform(*PAUSE_S)
        self._checker.record_fault(front.ip, length_s)
        front.signal(signal.SIGSTOP)
        await asyncio.sleep(length_s)
        self._checker.record_fault(front.ip)
        front.signal(signal.SIGCONT)

    async def _stop(self) -> None:
        await self._stop_one(self._random_front())

    async def _stop_one(self, front: fault_testbed.FaultFront) -> None:
        process = front.process
        if process is None or not front.is_up:
            return
        self._checker.record_fault(
            front.ip, fault_testbed.STOP_S, is_planned=True
        )
        front.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), fault_testbed.STOP_S)
        except TimeoutError:
            self._checker.checked["killed after the time for a stop"] += 1
            front.signal(signal.SIGKILL)

    async def _rolling_restart(self) -> None:
        for front in self._rng.sample(
            self._testbed.fronts, ROLLING_RESTART_FRONTS
        ):
            await self._stop_one(front)

    async def _stop_several(self) -> None:
        """Stops one half of the fronts at the same moment."""
        fronts = self._testbed.fronts
        chosen = self._rng.sample(fronts, len(fronts) // 2)
        await asyncio.gather(*(self._stop_one(front) for front in chosen))

    async def _reload(self) -> None:
        front = self._random_front()
        front.retry_share = self._rng.uniform(*RETRY_SHARE)
        front.write_settings()
        front.signal(signal.SIGHUP)

    async def _store_outage(self) -> None:
        await self._store_fault("outage", True, False)

    async def _store_slow(self) -> None:
        await self._store_fault(
            "delay_s", self._rng.uniform(*STORE_DELAY_S), 0.0
        )

    async def _store_fault(self, name: str, value, restored) -> None:
        length_s = self._rng.uniform(*STORE_FAULT_S)
        self._checker.record_fault("store", length_s)
        setattr(self._testbed.model.faults, name, value)
        await asyncio.sleep(length_s)
        self._checker.record_fault("store")
        setattr(self._testbed.model.faults, name, restored)

    async def _store_history(self) -> None:
        self._checker.record_fault("store")
        for number in range(fault_testbed.HISTORY + 10):
            self._testbed.put("fillers/one", b'{"spec": %d}' % number)

    async def _store_restored(self) -> None:
        """Brings the store back from a copy that is some seconds old."""
        table = self._testbed.model.table
        saved = table.saved()
        await asyncio.sleep(self._rng.uniform(*COPY_AGE_S))
        faults = self._testbed.model.faults
        away_s = self._rng.uniform(*RESTORE_S)
        again_s = self._rng.uniform(*WRITTEN_AGAIN_S)
        self._checker.record_fault("store", away_s + again_s)
        faults.outage = True
        await asyncio.sleep(away_s)
        table.restore(saved)
        faults.outage = False
        await asyncio.sleep(again_s)
        self._checker.record_fault("store")
        self._testbed.write_again()
        # The registrations of targets that are gone lapse.
        await asyncio.sleep(self._rng.uniform(*LAPSE_S))
        self._testbed.remove_unknown_targets()

    async def _target_limit(self) -> None:
        target = self._random_target()
        target.limit = fault_limits.LimitCheck(
            rate_per_s=self._rng.uniform(*LIMIT_PER_S),
            now_s=self._clock.now(),
        )
        await asyncio.sleep(self._rng.uniform(*LIMIT_S))
        target.limit = None

    async def _store_cut(self) -> None:
        fronts = self._rng.sample(
            self._testbed.fronts, self._rng.randint(1, 3)
        )
        length_s = self._rng.uniform(*STORE_FAULT_S)
        for front in fronts:
            self._checker.record_fault(front.ip, length_s)
            front.store.block(
                to_server=self._rng.random() < BOTH_WAYS_SHARE, to_client=True
            )
        await asyncio.sleep(length_s)
        for front in fronts:
            self._checker.record_fault(front.ip)
            front.store.heal()

    async def _store_resets(self) -> None:
        front = self._random_front()
        self._checker.record_fault(front.ip)
        front.store.reset_all()

    async def _store_drops_answers(self) -> None:
        """Drops answers, often the one with a configuration change."""
        fronts = self._rng.sample(
            self._testbed.fronts, self._rng.randint(1, 3)
        )
        for front in fronts:
            front.store.drop_answers(
                self._rng.randint(1, MAX_DROPPED_ANSWERS),
                self._rng.choice(DROPPED_REQUEST_MARKS),
            )
        await self._series.add_route()
        await asyncio.sleep(self._rng.uniform(*DROPPING_S))
        for front in fronts:
            front.store.drop_answers(0)

    async def _target_mode(self) -> None:
        target = self._random_target()
        length_s = self._rng.uniform(*TARGET_MODE_S)
        self._checker.record_fault(target.id, length_s)
        target.mode = self._rng.choice(list(fault_target.Mode))
        await asyncio.sleep(length_s)
        self._checker.record_fault(target.id)
        target.mode = fault_target.Mode.HEALTHY

    async def _target_link(self) -> None:
        target = self._random_target()
        proxy = target.proxy
        length_s = self._rng.uniform(*LINK_FAULT_S)
        self._checker.record_fault(target.id, length_s)
        kind = self._rng.randrange(4)
        if kind == 0:
            proxy.delay_s = self._rng.uniform(*LINK_DELAY_S)
        elif kind == 1:
            proxy.block(to_server=False)
        elif kind == 2:
            proxy.refuses = True
            proxy.reset_all()
        else:
            proxy.block()
        await asyncio.sleep(length_s)
        self._checker.record_fault(target.id)
        proxy.heal()

    async def _target_leaves(self) -> None:
        target = self._random_target()
        if target.draining_s is not None:
            return
        await self._testbed.add_target(target.service)
        target.draining_s = self._clock.now()
        self._testbed.put(f"servers/{target.id}", target.registration())
        await asyncio.sleep(self._rng.uniform(*DRAINING_S))
        await self._testbed.remove_target(target)

    async def _target_says_leaving(self) -> None:
        """Lets a target leave that says so in its answers only."""
        target = self._random_target()
        if target.draining_s is not None or target.wish is not None:
            return
        await self._testbed.add_target(target.service)
        target.wish = fault_wishes.WishCheck(hold_s=None)
        await asyncio.sleep(self._rng.uniform(*DRAINING_S))
        await self._testbed.remove_target(target)

    async def _target_holds(self) -> None:
        target = self._random_target()
        if target.wish is not None:
            return
        target.wish = fault_wishes.WishCheck(hold_s=self._rng.uniform(*HOLD_S))
        await asyncio.sleep(self._rng.uniform(*LIMIT_S))
        target.wish = None

    async def _target_crashes(self) -> None:
        target = self._random_target()
        if target.draining_s is not None:
            return
        await target.stop()
        await asyncio.sleep(self._rng.uniform(*LAPSE_S))
        await self._testbed.remove_target(target)
        await self._testbed.add_target(target.service)


def run_seed(
    seed: int, seconds: float, only: tuple[str, ...] = (), busy: int = 0
) -> fault_testbed.FaultTestbed:
    """Runs the soak once and keeps the logs if there are violations.

    Args:
        seed: Seed of the faults.
        seconds: Time with faults, in seconds.
        only: Names of the faults to inject, all if empty.
        busy: Number of busy processes that run beside the faults.

    Returns:
        The stopped testbed with the results.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"fault-soak-{seed}-"))

    async def main() -> fault_testbed.FaultTestbed:
        testbed = fault_testbed.FaultTestbed(
            folder=folder, rng=random.Random(seed)
        )
        await FaultSoak(
            testbed=testbed,
            seconds=seconds,
            # Callers have a generator of their own, so that they don't change
            # the faults of a seed.
            caller_rng=random.Random(f"callers {seed}"),
            only=only,
            busy=busy,
        ).run()
        return testbed

    testbed = asyncio.run(main())
    if not testbed.checker.violations:
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
    return testbed


def main(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 30.0,
    only: str = "",
    busy: int = 0,
) -> None:
    """Runs the soak with successive seeds; exits with 1 on a violation.

    Args:
        seed: First seed.
        seeds: Number of runs.
        seconds: Time with faults in each run, in seconds.
        only: Names of the faults to inject, with commas between them; all if
            empty.
        busy: Number of busy processes that run beside the faults.
    """
    chosen = tuple(only.split(",")) if only else ()
    failed_seeds = []
    for number in range(seed, seed + seeds):
        testbed = run_seed(number, seconds, chosen, busy)
        checker = testbed.checker
        print(
            f"seed={number} checked={dict(checker.checked)}"
            f" faults={dict(checker.faults)} broken={len(checker.violations)}"
            f" peak_mb={testbed.peak_mb}",
            flush=True,
        )
        for text in checker.violations:
            print(f"  {text}", flush=True)
        if checker.violations:
            failed_seeds.append(number)
            print(f"  logs in {testbed.folder}", flush=True)
    print(f"{seeds} runs, broken: {failed_seeds}")
    if failed_seeds:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
