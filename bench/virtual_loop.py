"""Runs asyncio code on virtual time, without waiting."""

from __future__ import annotations

import asyncio
import selectors
import typing

from fuchsiacourse import clock

# Unix time at the start of a virtual run, in seconds.
START_WALL_S = 1_800_000_000.0


class _JumpingSelector(selectors.SelectSelector):
    """Selector that advances virtual time instead of blocking."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[typing.Any]:
        if timeout is None:
            raise RuntimeError(
                "virtual loop is blocked: no timer is scheduled"
            )
        if timeout > 0:
            self.now_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time jumps to the next scheduled timer."""

    def __init__(self) -> None:
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self) -> float:
        """Returns virtual seconds since the start of the loop."""
        return self._jumping_selector.now_s


class VirtualClock(clock.Clock):
    """Clock of the running virtual loop.

    Args:
        wall_offset_s: Error of this clock's wall time, in seconds.
    """

    __slots__ = ("_wall_offset_s", "suspended_s")

    def __init__(self, *, wall_offset_s: float = 0.0) -> None:
        self._wall_offset_s = wall_offset_s
        # Time for which the host has been suspended, in seconds.
        self.suspended_s = 0.0

    def now(self) -> float:
        """Returns virtual monotonic time without suspensions, in seconds."""
        return asyncio.get_running_loop().time()

    def time_since_boot(self) -> float:
        """Returns virtual monotonic time with suspensions, in seconds."""
        return self.now() + self.suspended_s

    def wall(self) -> float:
        """Returns virtual Unix time, in seconds."""
        return START_WALL_S + self._wall_offset_s + self.now()

    async def sleep(self, delay_s: float) -> None:
        """Sleeps for virtual time.

        Args:
            delay_s: Time to sleep, in seconds.
        """
        await asyncio.sleep(delay_s)


def run(main: typing.Coroutine[typing.Any, typing.Any, typing.Any]):
    """Runs a coroutine on a new virtual loop and returns its result.

    Tasks that are left at its end are cancelled.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        try:
            return runner.run(main)
        finally:
            runner.run(_cancel_rest())


async def _cancel_rest() -> None:
    """Cancels all other tasks until none is left.

    A task whose timer is due when it is cancelled runs one more step and may
    start another task, which a single round would leave pending.
    """
    while rest := asyncio.all_tasks() - {asyncio.current_task()}:
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)
