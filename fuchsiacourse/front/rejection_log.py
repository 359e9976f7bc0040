"""Logs and counts requests that the front itself rejects."""

from __future__ import annotations

import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import front_metrics
from fuchsiacourse.front import http_request
from fuchsiacourse.front import route_table
from fuchsiacourse.front import wire_protocol
from fuchsiacourse import logs

# Most characters of a path in a log line; longer paths are truncated.
MAX_PATH_CHARS = 80


class RejectionLog:
    """Writes a log line and increments a counter for each rejected request.

    Args:
        clock: Source of time.
        protocol: Reads the request id from the headers.
        metrics: Metrics of the front.
        log: Logger.
    """

    __slots__ = (
        "_clock",
        "_protocol",
        "_metrics",
        "_log",
        "_config",
        "_config_since_s",
    )

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        protocol: wire_protocol.WireProtocol,
        metrics: front_metrics.FrontMetrics,
        log: typing.Any,
    ) -> None:
        self._clock = clock
        self._protocol = protocol
        self._metrics = metrics
        self._log = log
        self._config: route_table.RouteTable | None = None
        # Monotonic time at which the configuration came into force, in
        # seconds.
        self._config_since_s = clock.now()

    def set_config(self, config: route_table.RouteTable) -> None:
        """Sets the configuration that the log lines name."""
        self._config = config
        self._config_since_s = self._clock.now()

    def record_rejection(
        self,
        request: http_request.HttpRequest,
        status: int,
        reason: str,
        *,
        port: int | None = None,
        served: int | None = None,
        max_head_bytes: int | None = None,
        max_body_bytes: int | None = None,
        parts: int | None = None,
        read_bytes: int | None = None,
    ) -> None:
        """Logs and counts a rejection, with the limits that were applied.

        Args:
            request: The request, or the part of it that was read.
            status: Status of the answer.
            reason: Why the request was rejected.
            port: Port that received the request. This and the arguments
                below are None if the request was read whole.
            served: Number of earlier requests on the connection.
            max_head_bytes: Limit on the header section that the connection
                applied, in bytes.
            max_body_bytes: Limit on the body that the connection applied, in
                bytes.
            parts: Number of body parts, heads, trailers and surplus header
                lines that were read on the connection.
            read_bytes: Bytes of heads and bodies among them.
        """
        self._metrics.count(
            "front_rejections_total", status=str(status), reason=reason
        )
        config = self._config
        logs.event(
            self._log,
            "request_rejected",
            request_id=self._protocol.request_fields(request).request_id,
            method=request.method.decode("latin-1"),
            host=request.host,
            path=request.path[:MAX_PATH_CHARS],
            status=status,
            reason=reason,
            port=port,
            served=served,
            max_head_bytes=max_head_bytes,
            max_body_bytes=max_body_bytes,
            parts=parts,
            read_bytes=read_bytes,
            config_version=None if config is None else config.version,
            config_age_s=round(self._clock.now() - self._config_since_s, 2),
        )
