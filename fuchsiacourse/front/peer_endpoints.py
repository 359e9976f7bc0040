"""Serves what this front tells its peers."""

from __future__ import annotations

from fuchsiacourse.front import caller_connection
from fuchsiacourse.front import caller_presence
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request

_NOT_FOUND = 404


class PeerEndpoints:
    """Passes the requests of peers to the handler of their path.

    Args:
        handlers_by_path: Handlers by path, without the query.
    """

    __slots__ = ("_handlers_by_path",)

    def __init__(
        self, *, handlers_by_path: dict[str, caller_connection.Handler]
    ) -> None:
        self._handlers_by_path = handlers_by_path

    async def handle(
        self,
        request: http_request.HttpRequest,
        presence: caller_presence.CallerPresence,
    ) -> http_answer.HttpAnswer:
        """Returns the answer to a peer, 404 if the path is unknown."""
        handler = self._handlers_by_path.get(request.path)
        if handler is None:
            return http_answer.HttpAnswer(status=_NOT_FOUND, headers=[])
        return await handler(request, presence)
