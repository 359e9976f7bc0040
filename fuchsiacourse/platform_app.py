"""HTTP application of the platform stub: object API and control path."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import typing

import falcon
import falcon.asgi
import pydantic

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import object_table
from fuchsiacourse import platform_model
from fuchsiacourse import store

VERSION_HEADER = "Object-Version"
# Longest wait of a watch for a change, in seconds.
MAX_WATCH_S = 300.0
# Seconds for which a lost reply is withheld, above the timeout of any
# client.
LOST_REPLY_HOLD_S = 60.0


class HostItem(pydantic.BaseModel):
    """A host of the host list."""

    model_config = pydantic.ConfigDict(extra="forbid")

    host: str
    availability_zone: str
    region: str
    leaving: bool = False
    address: str = ""

    def record(self) -> store.HostRecord:
        """Returns the item as a record of the store's host list."""
        return store.HostRecord(**self.model_dump())


class ControlRequest(pydantic.BaseModel):
    """A change of faults and hosts; omitted fields stay unchanged."""

    model_config = pydantic.ConfigDict(extra="forbid")

    outage: bool | None = None
    delay_s: float | None = pydantic.Field(default=None, ge=0)
    lose_write_replies: int | None = pydantic.Field(default=None, ge=0)
    hang_watches: bool | None = None
    hosts: list[HostItem] = []
    remove_hosts: list[HostItem] = []
    host_lag_s: float | None = pydantic.Field(default=None, ge=0)


class PlatformApp:
    """Serves a platform model over HTTP with falcon.

    Args:
        model: Objects, hosts, limits and faults.
        clock: Source of time.
    """

    def __init__(
        self, *, model: platform_model.PlatformModel, clock: clocks.Clock
    ) -> None:
        self.model = model
        self._clock = clock
        self._closing = asyncio.Event()
        self.asgi = falcon.asgi.App()
        self.asgi.add_error_handler(errors.StoreError, _handle_store_error)
        self.asgi.add_route("/objects", self, suffix="list")
        self.asgi.add_route("/objects/{key:path}", self, suffix="object")
        self.asgi.add_route("/watch", self, suffix="watch")
        self.asgi.add_route("/hosts", self, suffix="hosts")
        self.asgi.add_route("/control", self, suffix="control")

    def close(self) -> None:
        """Releases withheld replies, so that a shutdown doesn't wait."""
        self._closing.set()

    async def on_get_object(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, key: str
    ) -> None:
        """Returns the value of an object and its version as a header."""
        await self._admit("get", is_write=False)
        found = self.model.table.get(key)
        if found is None:
            raise falcon.HTTPNotFound(title="no such object")
        resp.content_type = "application/octet-stream"
        resp.set_header(VERSION_HEADER, str(found.version))
        resp.data = found.value

    async def on_put_object(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, key: str
    ) -> None:
        """Writes an object on the condition of If-Match or If-None-Match."""
        if (req.content_length or 0) > object_table.MAX_VALUE_BYTES:
            raise falcon.HTTPContentTooLarge(title="value above a megabyte")
        value = await req.stream.read()
        condition = _version_condition(req)
        await self._admit("put", is_write=True)
        version = self.model.table.put(key, value, if_version=condition)
        resp.set_header(VERSION_HEADER, str(version))
        await self._withhold_lost_reply()

    async def on_delete_object(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, key: str
    ) -> None:
        """Deletes an object on the condition of If-Match, if there is one."""
        condition = _version_condition(req)
        await self._admit("delete", is_write=True)
        self.model.table.delete(key, if_version=condition)
        await self._withhold_lost_reply()

    async def on_get_list(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Returns the objects under a prefix."""
        await self._admit("list", is_write=False)
        found = self.model.table.list(req.get_param("prefix", default=""))
        resp.media = _batch_as_dict(
            store.WatchBatch(revision=self.model.table.revision, objects=found)
        )

    async def on_get_watch(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Returns the changes under a prefix, or none after the timeout."""
        prefix = req.get_param("prefix", default="")
        after = req.get_param_as_int("after", default=0)
        timeout_s = req.get_param_as_float(
            "timeout_s", default=30.0, min_value=0.0, max_value=MAX_WATCH_S
        )
        await self._admit("watch", is_write=False)
        if self.model.faults.hang_watches:
            await self._withhold(MAX_WATCH_S)
        batch = await self.model.wait_for_change(
            prefix, after_revision=after, timeout_s=timeout_s
        )
        resp.media = _batch_as_dict(batch)

    async def on_get_hosts(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Returns the host list, which lags behind changes of hosts."""
        await self._admit("hosts", is_write=False)
        resp.media = {
            "hosts": [
                {
                    "host": item.host,
                    "availability_zone": item.availability_zone,
                    "region": item.region,
                    "leaving": item.leaving,
                    "address": item.address,
                }
                for item in self.model.hosts()
            ]
        }

    async def on_get_control(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Returns the injected faults and the counts of calls."""
        resp.media = self.model.summary()

    async def on_post_control(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Changes the injected faults and the hosts."""
        content = await req.stream.read()
        try:
            change = ControlRequest.model_validate_json(content)
        except pydantic.ValidationError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error
        for name in (
            "outage",
            "delay_s",
            "lose_write_replies",
            "hang_watches",
        ):
            value = getattr(change, name)
            if value is not None:
                setattr(self.model.faults, name, value)
        for item in change.hosts:
            self.model.set_host(item.record(), lag_s=change.host_lag_s)
        for item in change.remove_hosts:
            self.model.remove_host(item.host, item.address)
        resp.media = self.model.summary()

    async def _admit(self, name: str, *, is_write: bool) -> None:
        if self.model.faults.delay_s > 0:
            await self._clock.sleep(self.model.faults.delay_s)
        self.model.admit(name, is_write=is_write)

    async def _withhold_lost_reply(self) -> None:
        if self.model.consume_reply_loss():
            await self._withhold(LOST_REPLY_HOLD_S)

    async def _withhold(self, hold_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._closing.wait(), hold_s)


def _version_condition(req: falcon.asgi.Request) -> int | None:
    if req.get_header("If-None-Match") == "*":
        return store.CREATE_ONLY
    text = req.get_header("If-Match")
    if text is None:
        return None
    try:
        return int(text.strip('"'))
    except ValueError as error:
        raise falcon.HTTPInvalidHeader(
            "not an object version", "If-Match"
        ) from error


def _batch_as_dict(batch: store.WatchBatch) -> dict[str, typing.Any]:
    objects = []
    for item in batch.objects:
        content: dict[str, typing.Any] = {
            "key": item.key,
            "version": item.version,
            "value": base64.b64encode(item.value).decode(),
        }
        if item.deleted:
            content["deleted"] = True
        objects.append(content)
    return {"revision": batch.revision, "objects": objects}


async def _handle_store_error(
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
    error: Exception,
    params: dict[str, typing.Any],
) -> None:
    resp.status = _status(error)
    resp.media = {"title": str(error)}


def _status(error: Exception) -> str:
    if isinstance(error, errors.VersionConflict):
        return falcon.HTTP_412
    if isinstance(error, errors.StoreRateLimited):
        return falcon.HTTP_429
    if isinstance(error, object_table.ValueTooLarge):
        return falcon.HTTP_413
    return falcon.HTTP_503
