"""Waits for futures with a deadline of the injected clock."""

from __future__ import annotations

import asyncio

from fuchsiacourse import clock as clocks


async def wait_any(
    clock: clocks.Clock, *futures: asyncio.Future, at: float
) -> bool:
    """Waits until one of the futures is done or the deadline has passed.

    The futures are never cancelled, not even if the wait itself is.

    Args:
        clock: Source of time.
        *futures: Futures or tasks.
        at: Deadline, as monotonic time in seconds.

    Returns:
        Whether a future is done.
    """
    if any(future.done() for future in futures):
        return True
    delay_s = at - clock.now()
    if delay_s <= 0:
        return False
    timer = asyncio.ensure_future(clock.sleep(delay_s))
    try:
        await asyncio.wait(
            [timer, *futures], return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        timer.cancel()
    return any(future.done() for future in futures)


def cancel_unread(task: asyncio.Future) -> None:
    """Cancels a task whose result or error nobody reads.

    Its error is read when it ends, because asyncio logs errors that are
    never read.
    """
    task.cancel()
    task.add_done_callback(_read_error)


def _read_error(task: asyncio.Future) -> None:
    if not task.cancelled():
        task.exception()
