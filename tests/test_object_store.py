"""Tests of the object store's client against the store's stand-in."""

import asyncio
import json
import unittest

import uvicorn

from bench import front_fakes
from fuchsiacourse import errors
from fuchsiacourse.platform import object_store
from fuchsiacourse.platform import objects_app
from fuchsiacourse import platform_model
from fuchsiacourse import store as stores
from fuchsiacourse import system_clock


def value(number: int) -> bytes:
    return json.dumps({"spec": {"n": number}, "status": None}).encode()


class ObjectStoreTest(unittest.IsolatedAsyncioTestCase):
    """Guards against lost objects and errors that hide a call's effect."""

    async def asyncSetUp(self) -> None:
        clock = system_clock.SystemClock()
        self.model = platform_model.PlatformModel(clock=clock, history_limit=5)
        self.app = objects_app.ObjectsApp(model=self.model, clock=clock)
        self.server = uvicorn.Server(
            uvicorn.Config(
                self.app.asgi,
                host="127.0.0.1",
                port=0,
                lifespan="off",
                log_config=None,
                timeout_graceful_shutdown=0,
            )
        )
        self.task = asyncio.ensure_future(self.server._serve())
        while not self.server.started:
            await asyncio.sleep(0.01)
        address = self.server.servers[0].sockets[0].getsockname()
        self.store = object_store.ObjectStore(
            address=address, limits=front_fakes.limits_on_answers()
        )

    async def asyncTearDown(self) -> None:
        self.store.close()
        self.app.close()
        self.server.should_exit = True
        await self.task

    async def fill(self, count: int, kind: str = "boxes") -> None:
        for number in range(count):
            await self.store.put(
                f"{kind}/b{number:03}",
                value(number),
                if_version=stores.CREATE_ONLY,
            )

    async def test_answers_state_the_era(self):
        """Guards against revisions whose history isn't known."""
        await self.fill(2)
        saved = self.model.table.saved()
        await self.fill(3, "other")
        batch = await self.store.watch(
            "boxes/", after_revision=0, timeout_s=1.0
        )
        waiting = asyncio.ensure_future(
            self.store.watch(
                "boxes/", after_revision=batch.revision, timeout_s=9.0
            )
        )
        await asyncio.sleep(0.1)
        self.model.table.restore(saved)
        with self.assertRaises(errors.StoreHistoryGone):
            await waiting
        self.assertEqual(1, batch.era)
        self.assertEqual(2, await self.store.ping())
        after = await self.store.watch(
            "boxes/", after_revision=0, timeout_s=1.0
        )
        self.assertEqual((2, 2), (after.era, after.revision))

    async def test_objects_and_conditions(self):
        """Guards against writes that ignore their version condition."""
        version = await self.store.put(
            "boxes/b", value(1), if_version=stores.CREATE_ONLY
        )
        found = await self.store.get("boxes/b")
        self.assertEqual(version, found.version)
        self.assertEqual({"n": 1}, json.loads(found.value)["spec"])
        self.assertIsNone(await self.store.get("boxes/c"))
        with self.assertRaises(errors.VersionConflict):
            await self.store.put(
                "boxes/b", value(2), if_version=stores.CREATE_ONLY
            )
        with self.assertRaises(errors.VersionConflict):
            await self.store.put("boxes/b", value(2), if_version=version + 7)
        newer = await self.store.put("boxes/b", value(2), if_version=version)
        self.assertGreater(newer, version)
        with self.assertRaises(errors.VersionConflict):
            await self.store.delete("boxes/b", if_version=version)
        await self.store.delete("boxes/b", if_version=newer)
        self.assertIsNone(await self.store.get("boxes/b"))

    async def test_list_reads_all_pages(self):
        """Guards against objects missing from lists of several pages."""
        await self.fill(2 * objects_app.PAGE_ITEMS + 3)
        await self.fill(2, kind="others")
        found = await self.store.list("boxes/")
        self.assertEqual(2 * objects_app.PAGE_ITEMS + 3, len(found))
        self.assertEqual(len(found), len({item.key for item in found}))

    async def test_watch_returns_changes_and_their_revision(self):
        """Guards against a watch that misses a change or its revision."""
        await self.fill(1)
        listed = await self.store.watch(
            "boxes/", after_revision=0, timeout_s=1.0
        )
        self.assertEqual(["boxes/b000"], [i.key for i in listed.objects])
        waiting = asyncio.ensure_future(
            self.store.watch(
                "boxes/", after_revision=listed.revision, timeout_s=5.0
            )
        )
        await asyncio.sleep(0.05)
        await self.store.delete("boxes/b000", if_version=None)
        batch = await asyncio.wait_for(waiting, 2.0)
        self.assertTrue(batch.objects[0].deleted)
        self.assertGreater(batch.revision, listed.revision)
        empty = await self.store.watch(
            "boxes/", after_revision=batch.revision, timeout_s=0.05
        )
        self.assertEqual([], empty.objects)

    async def test_lost_history_raises(self):
        """Guards against changes that a watch skips without an error."""
        await self.fill(9)
        with self.assertRaises(errors.StoreHistoryGone):
            await self.store.watch("boxes/", after_revision=1, timeout_s=1.0)

    async def test_list_after_lost_history_is_not_stale(self):
        """Guards against a stale list after a watch that lost its history."""
        await self.fill(9)
        queries: list[str] = []
        call = self.store._call

        async def record(method, path, **options):
            queries.append(path)
            return await call(method, path, **options)

        self.store._call = record
        # This client has not listed yet: the snapshot that it watches from
        # came from another front.
        with self.assertRaises(errors.StoreHistoryGone):
            await self.store.watch("boxes/", after_revision=1, timeout_s=1.0)
        await self.store.watch("boxes/", after_revision=0, timeout_s=1.0)
        self.assertNotIn("serializable", queries[-1])

    async def test_first_list_may_be_stale_at_the_first_start_only(self):
        """Guards against a stale list of a history that the store lost."""
        for is_first_start in (True, False):
            client = object_store.ObjectStore(
                address=self.store._address,
                limits=front_fakes.limits_on_answers(),
                is_first_start=is_first_start,
            )
            queries: list[str] = []
            call = client._call

            async def record(method, path, call=call, queries=queries):
                queries.append(path)
                return await call(method, path)

            client._call = record
            for _ in range(2):
                await client.watch("boxes/", after_revision=0, timeout_s=1.0)
            client.close()
            self.assertEqual(
                [is_first_start, False],
                ["serializable" in query for query in queries],
            )

    async def test_outage_and_rate_limit(self):
        """Guards against refusals that are taken for other failures."""
        self.model.faults.outage = True
        with self.assertRaises(errors.StoreRefused):
            await self.store.get("boxes/b")
        self.model.faults.outage = False
        self.model._read_rate = platform_model.CallRateLimiter(calls_per_s=1.0)
        await self.store.get("boxes/b")
        with self.assertRaises(errors.StoreRateLimited):
            await self.store.get("boxes/b")

    async def test_write_without_an_answer_may_have_been_applied(self):
        """Guards against an applied write that is taken for failed."""
        self.model.faults.lose_write_replies = 1
        timeout_s = object_store.CALL_TIMEOUT_S
        object_store.CALL_TIMEOUT_S = 0.1
        try:
            with self.assertRaises(errors.StoreOutcomeUnknown):
                await self.store.put(
                    "boxes/b", value(1), if_version=stores.CREATE_ONLY
                )
        finally:
            object_store.CALL_TIMEOUT_S = timeout_s
        self.assertIsNotNone(await self.store.get("boxes/b"))

    async def test_store_that_does_not_listen(self):
        """Guards against a refused connection that raises another error."""
        self.store.close()
        unreachable = object_store.ObjectStore(
            address=("127.0.0.1", 1), limits=front_fakes.limits_on_answers()
        )
        with self.assertRaises(errors.StoreUnavailable):
            await unreachable.get("boxes/b")


class UnresponsiveConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against calls that wait for idle connections without answers.

    Open connections may become unresponsive while new ones work.
    """

    async def asyncSetUp(self) -> None:
        self.tasks: set[asyncio.Task] = set()
        self.unresponsive: set[asyncio.Task] = set()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        address = self.server.sockets[0].getsockname()
        self.store = object_store.ObjectStore(
            address=address, limits=front_fakes.limits_on_answers()
        )

    async def asyncTearDown(self) -> None:
        self.store.close()
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                if task in self.unresponsive:
                    await asyncio.Event().wait()
                await asyncio.sleep(0.02)
                writer.write(
                    b"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}"
                )
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def stop_answering(self) -> None:
        """Opens four connections that the server no longer answers."""
        await asyncio.gather(*(self.store.get("boxes/b") for _ in range(4)))
        self.assertEqual(4, len(self.tasks))
        self.unresponsive = set(self.tasks)

    async def test_call_after_a_cancelled_one_is_answered(self):
        """Guards against idle connections kept after a cancelled call."""
        await self.stop_answering()
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(self.store.ping(), 0.1)
        self.assertIsNone(
            await asyncio.wait_for(self.store.get("boxes/b"), 1.0)
        )

    async def test_call_after_a_timed_out_one_is_answered(self):
        """Guards against idle connections kept after a timeout."""
        await self.stop_answering()
        timeout_s = object_store.CALL_TIMEOUT_S
        object_store.CALL_TIMEOUT_S = 0.1
        try:
            with self.assertRaises(errors.StoreUnavailable):
                await self.store.get("boxes/b")
            self.assertIsNone(await self.store.get("boxes/b"))
        finally:
            object_store.CALL_TIMEOUT_S = timeout_s


class ObjectsAppTest(ObjectStoreTest):
    """Guards against a stand-in that differs from the platform's store."""

    async def test_finalizers_keep_an_object_marked(self):
        """Guards against deletions that ignore an object's finalizers."""
        await self.fill(1)
        content = json.loads(self.model.table.get("boxes/b000").value)
        content["finalizers"] = ["ours"]
        self.model.table.put(
            "boxes/b000", json.dumps(content).encode(), if_version=None
        )
        await self.store.delete("boxes/b000", if_version=None)
        self.assertIsNotNone(await self.store.get("boxes/b000"))
        await self.store.put("boxes/b000", value(0), if_version=None)
        self.assertIsNone(self.model.table.get("boxes/b000"))

    async def test_write_without_a_change_creates_no_revision(self):
        """Guards against new revisions without a change."""
        await self.fill(1)
        before = self.model.table.revision
        await self.store.put("boxes/b000", value(0), if_version=None)
        self.assertEqual(before, self.model.table.revision)
