"""Endpoints of a front for readiness, address discovery and metrics."""

from __future__ import annotations

import typing

from fuchsiacourse.front import caller_presence
from fuchsiacourse.front import directory
from fuchsiacourse.front import front_adapter
from fuchsiacourse.front import front_metrics
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request

METRICS_PATH = "/metrics"
_OK = 200
_NOT_FOUND = 404


class StatusEndpoints:
    """Serves readiness, the addresses for callers and the metrics.

    Args:
        adapter: Formats answers as the platform expects them.
        addresses: Addresses that callers should use.
        metrics: Metrics of the front.
        is_ready: Returns whether the front accepts callers.
    """

    __slots__ = ("_adapter", "_addresses", "_metrics", "_is_ready")

    def __init__(
        self,
        *,
        adapter: front_adapter.FrontAdapter,
        addresses: directory.Directory,
        metrics: front_metrics.FrontMetrics,
        is_ready: typing.Callable[[], bool],
    ) -> None:
        self._adapter = adapter
        self._addresses = addresses
        self._metrics = metrics
        self._is_ready = is_ready

    async def ready(
        self,
        request: http_request.HttpRequest,
        presence: caller_presence.CallerPresence,
    ) -> http_answer.HttpAnswer:
        """Returns the answer of the readiness endpoint."""
        return self._adapter.answer_ready(request, self._is_ready())

    async def resolve(
        self,
        request: http_request.HttpRequest,
        presence: caller_presence.CallerPresence,
    ) -> http_answer.HttpAnswer:
        """Returns the addresses that a caller should use."""
        return self._adapter.answer_resolve(request, self._addresses)

    async def metrics(
        self,
        request: http_request.HttpRequest,
        presence: caller_presence.CallerPresence,
    ) -> http_answer.HttpAnswer:
        """Returns the metrics as text, 404 for any path but ``/metrics``."""
        if request.path != METRICS_PATH:
            return http_answer.HttpAnswer(status=_NOT_FOUND, headers=[])
        return http_answer.HttpAnswer(
            status=_OK,
            headers=[(b"content-type", b"text/plain; version=0.0.4")],
            body=self._metrics.render(),
        )
