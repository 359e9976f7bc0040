"""Running state of a fake process."""

from __future__ import annotations

import asyncio
import collections.abc

Callback = collections.abc.Callable[[], None]

# Datagrams that a paused process keeps in its socket buffer.
SOCKET_BUFFER = 256


class ProcessGate:
    """Stops and ends what a fake process does.

    Everything that a process waits for passes its gate: waits of its clock
    and replies of its ports go on after a pause, and never after a kill.
    """

    __slots__ = ("_running", "_waiting", "_is_run_over", "is_killed")

    def __init__(self) -> None:
        self._running = asyncio.Event()
        self._running.set()
        self._waiting: list[Callback] = []
        self._is_run_over = False
        self.is_killed = False

    @property
    def is_paused(self) -> bool:
        """Whether the process is stopped for a while."""
        return not self._running.is_set()

    async def wait_until_running(self) -> None:
        """Waits for the end of a pause; never returns after a kill."""
        while not self._running.is_set():
            await self._running.wait()
        if self.is_killed and not self._is_run_over:
            await asyncio.get_running_loop().create_future()

    def deliver(self, callback: Callback, *, is_datagram: bool) -> None:
        """Runs a callback in the process, after a pause if there is one.

        Args:
            callback: Handles a message.
            is_datagram: Whether the message is lost if the socket buffer
                is full; others wait in the sender's.
        """
        if self.is_killed:
            return
        if not self.is_paused:
            callback()
        elif not is_datagram or len(self._waiting) < SOCKET_BUFFER:
            self._waiting.append(callback)

    def pause(self) -> None:
        """Stops the process."""
        if not self.is_killed:
            self._running.clear()

    def resume(self) -> None:
        """Continues the process.

        Messages are handled before timers, as an event loop does that
        finds both due at once.
        """
        waiting, self._waiting = self._waiting, []
        self._running.set()
        for callback in waiting:
            self.deliver(callback, is_datagram=False)

    def kill(self) -> None:
        """Ends the process."""
        self.is_killed = True
        self._waiting.clear()
        self._running.set()

    def allow_cancellation(self) -> None:
        """Lets the tasks of ended processes be cancelled.

        What a task does after its cancellation passes the gate as well,
        and would keep the event loop from closing.
        """
        self._is_run_over = True
        self._running.set()
