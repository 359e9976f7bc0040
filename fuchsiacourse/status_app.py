"""ASGI application of the status port: metrics and health checks."""

from __future__ import annotations

import typing

import aioprometheus
import falcon
import falcon.asgi

from fuchsiacourse import metrics as metric_tables

Ready = typing.Callable[[], bool]
Refresh = typing.Callable[[], None]


class _MetricsResource:
    def __init__(
        self, *, metrics: metric_tables.Metrics, refresh: Refresh
    ) -> None:
        self._metrics = metrics
        self._refresh = refresh

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        self._refresh()
        accepted = request.get_header("Accept")
        content, headers = aioprometheus.render(
            self._metrics.registry, [accepted] if accepted else []
        )
        for name, value in headers.items():
            response.set_header(name, value)
        response.data = content


class _HealthResource:
    def __init__(self, *, check: Ready) -> None:
        self._check = check

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        if not self._check():
            response.status = falcon.HTTP_503
            response.text = "not ready\n"
            return
        response.text = "ok\n"


def create(
    *, metrics: metric_tables.Metrics, ready: Ready, refresh: Refresh
) -> falcon.asgi.App:
    """Returns an application that serves /metrics, /healthz and /readyz.

    /healthz always answers 200; /readyz answers 503 while not ready.

    Args:
        metrics: Metrics to serve.
        ready: Returns whether the process can serve requests.
        refresh: Called before each rendering of the metrics.
    """
    app = falcon.asgi.App()
    app.add_route(
        "/metrics", _MetricsResource(metrics=metrics, refresh=refresh)
    )
    app.add_route("/healthz", _HealthResource(check=lambda: True))
    app.add_route("/readyz", _HealthResource(check=ready))
    return app
