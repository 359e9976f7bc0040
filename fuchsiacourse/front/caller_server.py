"""Listens for callers on one address and closes overdue connections."""

from __future__ import annotations

import asyncio
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse.front import body_budget
from fuchsiacourse.front import caller_connection
from fuchsiacourse.front import front_settings
from fuchsiacourse.front import http_request
from fuchsiacourse.front import rejection_log
from fuchsiacourse.front import route_table
from fuchsiacourse.front import work_share

# Connections that the kernel queues until the front accepts them.
_BACKLOG = 1024
# Interval between two checks for slow and idle connections, in seconds.
SWEEP_INTERVAL_S = 0.5

IsCurrent = typing.Callable[[], bool]
Limits = typing.Callable[[], route_table.CallerLimits]
OnError = typing.Callable[[Exception], None]


class CallerServer:
    """HTTP server that owns the connections of callers on one address.

    Args:
        clock: Source of time.
        address: IP address and port to listen on; port 0 chooses a free one.
        handler: Answers a request.
        limits: Returns the current limits on callers.
        budget: Memory budget for the bodies of requests.
        rejections: Log of rejected requests.
        on_error: Called with an exception that a handler raised.
        is_config_current: Returns whether the limits are confirmed to be up
            to date.
        work: Share of the front's work that all connections divide; None for
            one of this server's own.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        address: front_settings.Address,
        handler: caller_connection.Handler,
        limits: Limits,
        budget: body_budget.BodyBudget,
        rejections: rejection_log.RejectionLog,
        on_error: OnError,
        is_config_current: IsCurrent = lambda: True,
        work: work_share.WorkShare | None = None,
    ) -> None:
        self.clock = clock
        self.address = address
        self.handler = handler
        self.budget = budget
        self.work = work or work_share.WorkShare(clock=clock)
        self.is_stopping = False
        self._limits = limits
        self._is_config_current = is_config_current
        self._rejections = rejections
        self._on_error = on_error
        self._connections: set[caller_connection.CallerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def limits(self) -> route_table.CallerLimits:
        """Current limits on callers."""
        return self._limits()

    @property
    def is_config_current(self) -> bool:
        """Whether the limits are confirmed to be up to date."""
        return self._is_config_current()

    @property
    def busy(self) -> int:
        """Number of connections that a stop must wait for.

        A request is read, answered or expected on them, or its caller has not
        taken the whole answer or is still sending.
        """
        return sum(
            item.is_busy
            or item.is_reading
            or item.may_lose_answer
            or item.awaits_first_request
            or item.has_unsent_answer
            for item in self._connections
        )

    @property
    def requests(self) -> list[http_request.HttpRequest]:
        """Requests that are being read or answered."""
        return [
            request
            for item in self._connections
            if (request := item.open_request) is not None
        ]

    @property
    def writing(self) -> int:
        """Number of connections whose caller has not taken an answer."""
        return sum(item.has_unsent_answer for item in self._connections)

    async def start(self) -> None:
        """Starts listening and sets ``address`` to the bound address.

        Raises:
            OSError: The address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: caller_connection.CallerConnection(server=self),
            *self.address,
            backlog=_BACKLOG,
            reuse_address=True,
        )
        bound_address = self._server.sockets[0].getsockname()
        self.address = bound_address[0], bound_address[1]

    def stop_listening(self) -> None:
        """Accepts no more connections; open ones continue."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> None:
        """Closes the connections on which no request is in progress."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def refuse_unread(self, refuse: caller_connection.Refuse) -> None:
        """Refuses requests whose bodies are still being read.

        Args:
            refuse: Returns the answer to such a request, None if its body is
                waited for.
        """
        for connection in list(self._connections):
            connection.refuse_unread(refuse)

    def sweep(self) -> None:
        """Closes connections that exceed a timeout of the limits."""
        now_s = self.clock.now()
        for connection in list(self._connections):
            connection.close_if_overdue(now_s)

    def add_connection(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Registers a new connection."""
        self._connections.add(connection)

    def remove_connection(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Unregisters a closed connection."""
        self._connections.discard(connection)

    def record_rejection(
        self,
        request: http_request.HttpRequest,
        rejection: errors.RequestRejected,
        *,
        served: int,
        limits: route_table.CallerLimits,
        parts: int,
        read_bytes: int,
    ) -> None:
        """Logs a rejected request.

        Args:
            request: The request as far as it has been read.
            rejection: Status and reason.
            served: Number of requests on the connection before it.
            limits: Limits that applied to the request.
            parts: Number of parts that were read on the connection.
            read_bytes: Bytes of heads and bodies among them.
        """
        self._rejections.record_rejection(
            request,
            rejection.status,
            str(rejection),
            port=self.address[1],
            served=served,
            max_head_bytes=limits.max_head_bytes,
            max_body_bytes=limits.max_body_bytes,
            parts=parts,
            read_bytes=read_bytes,
        )

    def report_failure(self, error: Exception) -> None:
        """Reports an exception of the handler."""
        self._on_error(error)
