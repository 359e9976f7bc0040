"""Port to the targets."""

from __future__ import annotations

import abc


class TargetCall:
    """One request to one target.

    Args:
        target_id: Identifier of the target.
        address: Address of the target, ``ip:port``.
        request_id: Identifier that the target echoes.
        method: HTTP method.
        path: Path with query string.
        headers: Header names and values.
        body: Request body.
        deadline_s: Seconds left until the caller's deadline.
        connection_limit: Connections that the target accepts.
    """

    __slots__ = (
        "target_id",
        "address",
        "request_id",
        "method",
        "path",
        "headers",
        "body",
        "deadline_s",
        "connection_limit",
    )

    def __init__(
        self,
        *,
        target_id: str,
        address: str,
        request_id: str,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        deadline_s: float,
        connection_limit: int = 100,
    ) -> None:
        self.target_id = target_id
        self.address = address
        self.request_id = request_id
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.deadline_s = deadline_s
        self.connection_limit = connection_limit


class TargetAnswer:
    """Complete answer of a target.

    Args:
        request_id: Identifier echoed by the target; empty if it has none.
        status: HTTP status code.
        headers: Header names and values.
        body: Whole body.
    """

    __slots__ = ("request_id", "status", "headers", "body")

    def __init__(
        self,
        *,
        request_id: str,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        self.request_id = request_id
        self.status = status
        self.headers = headers
        self.body = body

    def header(self, name: str, default: str = "") -> str:
        """Returns the first header of a name, without regard to case."""
        wanted = name.lower()
        for other, value in self.headers:
            if other.lower() == wanted:
                return value
        return default


class TargetReport:
    """What a target reports of itself; may lag or mislead.

    Args:
        healthy: Whether the target calls itself healthy.
        draining: Whether it is leaving.
        load: Requests that it says it is running.
        incarnation: Identifier of the target's process start.
        warming: Whether it is still in its cold start.
    """

    __slots__ = ("healthy", "draining", "load", "incarnation", "warming")

    def __init__(
        self,
        *,
        healthy: bool,
        draining: bool = False,
        load: int = 0,
        incarnation: str = "",
        warming: bool = False,
    ) -> None:
        self.healthy = healthy
        self.draining = draining
        self.load = load
        self.incarnation = incarnation
        self.warming = warming


class TargetClient(abc.ABC):
    """Calls targets over their own protocol."""

    __slots__ = ()

    @abc.abstractmethod
    async def send(self, call: TargetCall) -> TargetAnswer:
        """Sends a request and returns the complete answer.

        Cancelling the call cancels the request at the target.

        Raises:
            TargetUnreachable: Nothing was sent.
            TargetOutcomeUnknown: The request was sent and no answer came.
            TargetBadAnswer: The answer is truncated.
        """

    @abc.abstractmethod
    async def probe(self, address: str, *, path: str) -> TargetReport:
        """Asks a target for its health and load report.

        Raises:
            TargetError: No usable report came.
        """
