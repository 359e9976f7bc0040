"""Stand-in for the platform's object store, served over HTTP for tests."""

from __future__ import annotations

import asyncio
import contextlib
import json
import typing

import falcon
import falcon.asgi

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import platform_model
from fuchsiacourse import store

# Most objects in a page of a list.
PAGE_ITEMS = 50
# Longest wait of a watch, in milliseconds.
MAX_WAIT_MS = 30_000
# Time for which an answer that is to be lost is delayed, in seconds. It is
# longer than any client waits.
LOST_ANSWER_DELAY_S = 60.0
_MS_PER_S = 1000.0

Json = dict[str, typing.Any]


class ObjectsApp:
    """HTTP API for the objects of a platform model, by kind and name.

    Args:
        model: Objects, rate limits and faults.
        clock: Source of time.
    """

    def __init__(
        self, *, model: platform_model.PlatformModel, clock: clocks.Clock
    ) -> None:
        self.model = model
        self._clock = clock
        self._closing = asyncio.Event()
        self.asgi = falcon.asgi.App(middleware=[self])
        self.asgi.add_error_handler(errors.StoreError, _answer_store_error)
        base = "/fuchsiacourse/objects/{kind}"
        self.asgi.add_route(base, self, suffix="kind")
        self.asgi.add_route(base + "/{name}", self, suffix="object")
        self.asgi.add_route(base + "/{name}/status", self, suffix="status")

    async def process_response(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        resource: typing.Any,
        req_succeeded: bool,
    ) -> None:
        """States the store's era in an answer."""
        resp.set_header("Store-Era", str(self.model.table.era))

    def close(self) -> None:
        """Ends pending calls, so that a server's shutdown needn't wait."""
        self._closing.set()

    async def on_get_kind(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        kind: str,
    ) -> None:
        """Answers with a page of a kind's objects, or watches the kind."""
        await self._admit("list", is_write=False)
        after = req.get_param_as_int("watch")
        if after is None:
            resp.media = self._page(kind, req.get_param("after", default=""))
            return
        era = self.model.table.era
        if not self.model.table.covers_revision(after):
            raise falcon.HTTPGone(title="this history is gone")
        wait_ms = req.get_param_as_int("wait_ms", default=0)
        waiting = asyncio.ensure_future(
            self.model.wait_for_change(
                f"{kind}/",
                after_revision=after,
                timeout_s=min(wait_ms, MAX_WAIT_MS) / _MS_PER_S,
            )
        )
        batch = await self._wait_unless_closing(waiting)
        table = self.model.table
        if era != table.era or not table.covers_revision(after):
            raise falcon.HTTPGone(title="this history is gone")
        resp.media = {
            "events": [
                {"deleted": item.deleted, "object": _representation(item)}
                for item in batch.objects
            ],
            "as_of": batch.revision,
        }

    async def on_post_kind(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        kind: str,
    ) -> None:
        """Creates an object."""
        body = await req.get_media()
        await self._admit("create", is_write=True)
        key = f"{kind}/{body['metadata']['name']}"
        if self.model.table.get(key) is not None:
            raise errors.VersionConflict(key)
        self._write(key, {"spec": body.get("spec"), "status": None}, body)
        resp.status = falcon.HTTP_201
        resp.media = _representation(self._existing(key))
        await self._delay_lost_answer()

    async def on_get_object(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        kind: str,
        name: str,
    ) -> None:
        """Answers with an object."""
        await self._admit("get", is_write=False)
        resp.media = _representation(self._existing(f"{kind}/{name}"))

    async def on_put_object(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        kind: str,
        name: str,
    ) -> None:
        """Replaces ``spec`` and ``finalizers`` of an object."""
        await self._replace(req, resp, f"{kind}/{name}", "spec")

    async def on_put_status(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        kind: str,
        name: str,
    ) -> None:
        """Replaces ``status`` of an object."""
        await self._replace(req, resp, f"{kind}/{name}", "status")

    async def on_delete_object(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        kind: str,
        name: str,
    ) -> None:
        """Deletes an object, or marks it as deleting if it has finalizers."""
        await self._admit("delete", is_write=True)
        current = self._existing(f"{kind}/{name}")
        _require_revision(current, req.get_param_as_int("revision"))
        content = json.loads(current.value)
        if content.get("finalizers"):
            content["deleting"] = True
            self._store(current.key, content)
            resp.media = _representation(self._existing(current.key))
            return
        self.model.table.delete(current.key, if_version=None)
        await self._delay_lost_answer()

    async def _replace(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        key: str,
        part: str,
    ) -> None:
        body = await req.get_media()
        await self._admit("put", is_write=True)
        current = self._existing(key)
        _require_revision(current, body.get("metadata", {}).get("revision"))
        content = json.loads(current.value)
        changed = {**content, part: body.get(part)}
        self._write(key, changed, body)
        written = self.model.table.get(key)
        resp.media = _representation(current if written is None else written)
        await self._delay_lost_answer()

    def _write(self, key: str, content: Json, body: Json) -> None:
        metadata = body.get("metadata", {})
        if "finalizers" in metadata:
            content["finalizers"] = metadata["finalizers"]
        if content.get("deleting") and not content.get("finalizers"):
            self.model.table.delete(key, if_version=None)
            return
        current = self.model.table.get(key)
        # A write that changes nothing creates no revision.
        if current is None or json.loads(current.value) != content:
            self._store(key, content)

    def _store(self, key: str, content: Json) -> None:
        value = json.dumps(content).encode()
        self.model.table.put(key, value, if_version=None)

    def _existing(self, key: str) -> store.StoredObject:
        current = self.model.table.get(key)
        if current is None:
            raise falcon.HTTPNotFound(title="no such object")
        return current

    def _page(self, kind: str, after: str) -> Json:
        prefix = f"{kind}/"
        found = [
            item
            for item in self.model.table.list(prefix)
            if item.key > prefix + after
        ]
        return {
            "items": [_representation(item) for item in found[:PAGE_ITEMS]],
            "has_more": len(found) > PAGE_ITEMS,
            "as_of": self.model.table.revision,
        }

    async def _wait_unless_closing(
        self, waiting: asyncio.Future[store.WatchBatch]
    ) -> store.WatchBatch:
        closing = asyncio.ensure_future(self._closing.wait())
        try:
            await asyncio.wait(
                (waiting, closing), return_when=asyncio.FIRST_COMPLETED
            )
            if not waiting.done():
                raise falcon.HTTPServiceUnavailable(title="closing")
            return waiting.result()
        finally:
            waiting.cancel()
            closing.cancel()

    async def _admit(self, name: str, *, is_write: bool) -> None:
        if self.model.faults.delay_s > 0:
            await self._clock.sleep(self.model.faults.delay_s)
        self.model.admit(name, is_write=is_write)

    async def _delay_lost_answer(self) -> None:
        if self.model.consume_reply_loss():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._closing.wait(), LOST_ANSWER_DELAY_S
                )


def _representation(item: store.StoredObject) -> Json:
    content = json.loads(item.value) if item.value else {}
    name = item.key.partition("/")[2]
    return {
        "metadata": {
            "name": name,
            "revision": item.version,
            "created": item.version,
            "finalizers": content.get("finalizers", []),
            "deleting": content.get("deleting", False),
        },
        "spec": content.get("spec"),
        "status": content.get("status"),
    }


def _require_revision(
    current: store.StoredObject, revision: int | None
) -> None:
    if revision is not None and revision != current.version:
        raise errors.VersionConflict(current.key)


async def _answer_store_error(
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
    error: Exception,
    params: typing.Any,
) -> None:
    if isinstance(error, errors.VersionConflict):
        resp.status = falcon.HTTP_409
    elif isinstance(error, errors.StoreRateLimited):
        resp.status = falcon.HTTP_429
    else:
        resp.status = falcon.HTTP_503
    resp.media = {"error": str(error)}
