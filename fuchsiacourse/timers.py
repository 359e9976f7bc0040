"""Timer service that the parts of a process subscribe to."""

from __future__ import annotations

import asyncio
import inspect
import random
import typing

from fuchsiacourse import clock as clocks

# A tick that is later than this means that the process was paused.
PAUSE_THRESHOLD_S = 1.0

Callback = typing.Callable[[], typing.Any]


class TimerHandle:
    """Subscription to the timer service."""

    __slots__ = ("_task",)

    def __init__(self, *, task: asyncio.Task) -> None:
        self._task = task

    def cancel(self) -> None:
        """Ends the subscription; a second call has no effect."""
        self._task.cancel()


class Timers:
    """Runs callbacks after a delay or at an interval.

    Callbacks may be plain functions or coroutine functions. A failing
    callback is reported to ``on_error`` and does not end its interval.

    Args:
        clock: Source of time.
        rng: Source of the jitter.
        on_error: Receives the exception of a failing callback.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        rng: random.Random,
        on_error: typing.Callable[[Exception], None],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._on_error = on_error
        self._wake_callbacks: list[typing.Callable[[float], None]] = []
        self._tasks: set[asyncio.Task] = set()

    def on_pause(self, callback: typing.Callable[[float], None]) -> None:
        """Subscribes to pauses of the process.

        Args:
            callback: Called with the length of the pause in seconds before
                the timer callback that was late.
        """
        self._wake_callbacks.append(callback)

    def every(
        self, interval_s: float, callback: Callback, *, jitter: float = 0.0
    ) -> TimerHandle:
        """Calls a function at an interval, first after one interval.

        Args:
            interval_s: Seconds between calls.
            callback: Function or coroutine function without arguments.
            jitter: Share of the interval by which each wait may differ.
        """
        return self._start(self._repeat(interval_s, callback, jitter))

    def after(self, delay_s: float, callback: Callback) -> TimerHandle:
        """Calls a function once after a delay in seconds."""
        return self._start(self._once(delay_s, callback))

    def spawn(self, coroutine: typing.Coroutine) -> TimerHandle:
        """Runs a coroutine in the background and reports its failure."""
        return self._start(self._guard(coroutine))

    def close(self) -> None:
        """Ends every subscription."""
        for task in list(self._tasks):
            task.cancel()

    def _start(self, coroutine: typing.Coroutine) -> TimerHandle:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return TimerHandle(task=task)

    async def _repeat(
        self, interval_s: float, callback: Callback, jitter: float
    ) -> None:
        while True:
            spread = jitter * (2.0 * self._rng.random() - 1.0)
            await self._wait(interval_s * (1.0 + spread))
            await self._call(callback)

    async def _once(self, delay_s: float, callback: Callback) -> None:
        await self._wait(delay_s)
        await self._call(callback)

    async def _wait(self, delay_s: float) -> None:
        due = self._clock.now() + delay_s
        await self._clock.sleep(delay_s)
        late_s = self._clock.now() - due
        if late_s > PAUSE_THRESHOLD_S:
            for callback in self._wake_callbacks:
                callback(late_s)

    async def _call(self, callback: Callback) -> None:
        try:
            result = callback()
            if inspect.isawaitable(result):
                await result
        except Exception as error:
            self._on_error(error)

    async def _guard(self, coroutine: typing.Coroutine) -> None:
        try:
            await coroutine
        except Exception as error:
            self._on_error(error)
