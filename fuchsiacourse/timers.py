"""Runs callbacks after delays and at intervals on the event loop."""

from __future__ import annotations

import asyncio
import inspect
import random
import typing

from fuchsiacourse import clock as clocks

# A timer that fires later than this, in seconds, means that the process was
# paused.
PAUSE_THRESHOLD_S = 1.0

Callback = typing.Callable[[], typing.Any]


class TimerHandle:
    """Handle that cancels a timer or a background task."""

    __slots__ = ("_task",)

    def __init__(self, *, task: asyncio.Task) -> None:
        self._task = task

    def cancel(self) -> None:
        """Cancels the timer; a second call has no effect."""
        self._task.cancel()


class Timers:
    """Runs callbacks after a delay or at an interval.

    Callbacks are plain functions or coroutine functions. The exception of a
    failing callback is passed to ``on_error``; its interval goes on.

    Args:
        clock: Source of time.
        rng: Random number generator for the jitter.
        on_error: Called with the exception of a failing callback.
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
        self._pause_callbacks: list[typing.Callable[[float], None]] = []
        self._tasks: set[asyncio.Task] = set()

    def on_pause(self, callback: typing.Callable[[float], None]) -> None:
        """Registers a callback for pauses of the process.

        Args:
            callback: Called with the length of the pause in seconds, before
                the callback of the timer that fired late.
        """
        self._pause_callbacks.append(callback)

    def every(
        self, interval_s: float, callback: Callback, *, jitter: float = 0.0
    ) -> TimerHandle:
        """Calls a function at an interval, first after one interval.

        Args:
            interval_s: Seconds between calls.
            callback: Function or coroutine function without arguments.
            jitter: Fraction of the interval by which each wait may differ
                in either direction.

        Returns:
            Handle that stops the calls.
        """
        return self._start(self._repeat(interval_s, callback, jitter))

    def after(self, delay_s: float, callback: Callback) -> TimerHandle:
        """Calls a function once, after a delay in seconds."""
        return self._start(self._once(delay_s, callback))

    def spawn(self, coroutine: typing.Coroutine) -> TimerHandle:
        """Runs a coroutine in the background.

        Its exception is passed to ``on_error``.
        """
        return self._start(self._report_failure(coroutine))

    def close(self) -> None:
        """Cancels all timers and background tasks."""
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
            for callback in self._pause_callbacks:
                callback(late_s)

    async def _call(self, callback: Callback) -> None:
        try:
            result = callback()
            if inspect.isawaitable(result):
                await result
        except Exception as error:
            self._on_error(error)

    async def _report_failure(self, coroutine: typing.Coroutine) -> None:
        try:
            await coroutine
        except Exception as error:
            self._on_error(error)
