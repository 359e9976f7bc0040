"""Stand-in for the platform's metadata store.

It lists and watches objects as PROTOCOL.md describes it. It never fails,
is never slow and forgets nothing.
"""

from __future__ import annotations

import asyncio
import json
import typing
import urllib.parse

import standin_wire as wire

PAGE = 50
MAX_WAIT_S = 30.0
_BASE = "/fuchsiacourse/objects/"


class Store:
    """Objects by kind and name, served over HTTP."""

    def __init__(self) -> None:
        self.revision = 100
        self.address = ("", 0)
        self._objects: dict[tuple[str, str], dict] = {}
        # Revision, kind, object, whether it was deleted.
        self._events: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()

    async def start(self, ip: str, port: int) -> None:
        """Serves at an address."""
        self.address = ip, port
        await asyncio.start_server(self._serve, ip, port)

    def put(
        self, kind: str, name: str, spec: typing.Any, status: typing.Any = None
    ) -> None:
        """Writes an object; a write that changes nothing has no effect."""
        known = self._objects.get((kind, name))
        if known and (known["spec"], known["status"]) == (spec, status):
            return
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        found = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self._objects[kind, name] = found
        self._notify(kind, found, False)

    def delete(self, kind: str, name: str) -> None:
        """Removes an object if it exists."""
        known = self._objects.pop((kind, name), None)
        if known is not None:
            self.revision += 1
            self._notify(kind, known, True)

    def _notify(self, kind: str, found: dict, is_deleted: bool) -> None:
        self._events.append((self.revision, kind, found, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                message = await wire.read_message(reader)
                status, content = await self._handle(message)
                writer.write(
                    wire.answer(
                        status,
                        json.dumps(content).encode(),
                        {"Content-Type": "application/json"},
                    )
                )
                await writer.drain()
        except (EOFError, OSError):
            pass
        finally:
            writer.close()

    async def _handle(self, message: wire.Message) -> tuple[int, typing.Any]:
        path, _, query = message.first[1].partition("?")
        options = dict(urllib.parse.parse_qsl(query))
        kind, _, name = path.removeprefix(_BASE).partition("/")
        if message.first[0] != "GET":
            return 404, {}
        if name:
            found = self._objects.get((kind, name))
            return (200, found) if found else (404, {})
        if "watch" in options:
            return 200, await self._watch(kind, options)
        return 200, self._list(kind, options.get("after", ""))

    def _list(self, kind: str, after: str) -> dict:
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        return {
            "items": [self._objects[kind, name] for name in names[:PAGE]],
            "has_more": len(names) > PAGE,
            "as_of": self.revision,
        }

    async def _watch(self, kind: str, options: dict[str, str]) -> dict:
        after = int(options["watch"])
        wait_s = min(MAX_WAIT_S, int(options.get("wait_ms", "0")) / 1000.0)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while True:
            changed = self._changed
            events = [
                {"object": found, "deleted": is_deleted}
                for revision, item_kind, found, is_deleted in self._events
                if revision > after and item_kind == kind
            ]
            left_s = end_s - loop.time()
            if events or left_s <= 0.0:
                return {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass
