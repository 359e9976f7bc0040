"""Pauses and kills of a simulated process."""

from __future__ import annotations

import asyncio
import collections.abc

Callback = collections.abc.Callable[[], None]

# Datagrams that the socket buffer of a paused process holds.
SOCKET_BUFFER = 256


class ProcessGate:
    """Suspends the activity of a simulated process while paused or killed.

    The waits of the process's clock and the replies of its ports pass the
    gate. They continue after a pause, and never after a kill.
    """

    __slots__ = (
        "_running",
        "_held_callbacks",
        "_is_cancellation_allowed",
        "is_killed",
    )

    def __init__(self) -> None:
        self._running = asyncio.Event()
        self._running.set()
        self._held_callbacks: list[Callback] = []
        self._is_cancellation_allowed = False
        self.is_killed = False

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused, as by SIGSTOP."""
        return not self._running.is_set()

    async def wait_until_running(self) -> None:
        """Returns at once, or after a pause; never returns after a kill."""
        while not self._running.is_set():
            await self._running.wait()
        if self.is_killed and not self._is_cancellation_allowed:
            await asyncio.get_running_loop().create_future()

    def deliver(self, callback: Callback, *, is_datagram: bool) -> None:
        """Calls a message handler, at the end of the pause if paused.

        After a kill the message is lost.

        Args:
            callback: Handler of the message.
            is_datagram: Whether the message is lost if the socket buffer
                is full. Others wait in the buffer of the sender.
        """
        if self.is_killed:
            return
        if not self.is_paused:
            callback()
        elif not is_datagram or len(self._held_callbacks) < SOCKET_BUFFER:
            self._held_callbacks.append(callback)

    def pause(self) -> None:
        """Pauses the process, as SIGSTOP does."""
        if not self.is_killed:
            self._running.clear()

    def resume(self) -> None:
        """Continues the process, as SIGCONT does.

        Messages are handled before timers, as in an event loop that finds
        both ready at once.
        """
        held_callbacks, self._held_callbacks = self._held_callbacks, []
        self._running.set()
        for callback in held_callbacks:
            self.deliver(callback, is_datagram=False)

    def kill(self) -> None:
        """Ends the process, as SIGKILL does."""
        self.is_killed = True
        self._held_callbacks.clear()
        self._running.set()

    def allow_cancellation(self) -> None:
        """Opens the gate of killed processes at the end of a run.

        Cancelled tasks pass the gate while they clean up. A closed gate
        would block them and keep the event loop from closing.
        """
        self._is_cancellation_allowed = True
        self._running.set()
