"""Interface of the clients that call targets."""

from __future__ import annotations

import abc


class TargetCall:
    """One attempt of a request at one target.

    Args:
        target_id: Identifier of the target.
        address: Address of the target, ``ip:port``.
        request_id: Identifier that the target echoes.
        method: HTTP method.
        path: Path with query string.
        headers: Header names and values.
        body: Request body.
        deadline_s: Seconds left until the caller's deadline.
        connection_limit: Maximum number of connections to the target.
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
        request_id: Identifier that the target echoed; empty without any.
        status: HTTP status code.
        headers: Header names and values.
        body: Complete body.
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
        """Returns the first header value of a name, ignoring case."""
        wanted = name.lower()
        for other, value in self.headers:
            if other.lower() == wanted:
                return value
        return default


class TargetReport:
    """Health and load as the target reports them; they may lag or be wrong.

    Args:
        healthy: Whether the target reports itself healthy.
        draining: Whether it is draining.
        load: Number of requests that it reports in progress.
        incarnation: Incarnation of the target's process.
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
    """Sends requests and health probes to targets."""

    __slots__ = ()

    @abc.abstractmethod
    async def send(self, call: TargetCall) -> TargetAnswer:
        """Sends a request and returns the complete answer.

        Cancelling the call closes its connection, so that the target can
        stop working on the request.

        Raises:
            TargetUnreachable: Nothing was sent.
            TargetOutcomeUnknown: The request was sent and not answered.
            TargetBadAnswer: The answer may be truncated or is too large.
        """

    @abc.abstractmethod
    async def probe(self, address: str, *, path: str) -> TargetReport:
        """Probes a target and returns its health and load report.

        Raises:
            TargetError: No usable report arrived.
        """
