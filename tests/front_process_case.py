"""Test case with a front process, a store and a target over loopback."""

import asyncio
import json
import os
import pathlib
import socket
import sys
import tempfile
import unittest

import uvicorn

from fuchsiacourse.platform import objects_app
from fuchsiacourse.platform import settings_file
from fuchsiacourse import platform_model
from fuchsiacourse import system_clock
from tests import test_platform_codecs
from tests import test_pooled_sender
from tests import test_target_follower

# Time within which a front must be ready after its start, in seconds.
START_S = 20.0
IP = "127.0.0.1"
PATH = "/a/b/1"


class FrontProcessCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store, a target and a front process for each test."""

    async def asyncSetUp(self) -> None:
        self.work_s = 0.05
        # Bytes that the target adds to its answers.
        self.answer_filler = b""
        self.runs: list[str] = []
        self.tasks: set[asyncio.Task] = set()
        await self.start_store()
        self.target = await asyncio.start_server(self.serve, IP, 0)
        port = self.target.sockets[0].getsockname()[1]
        self.put("config/main", test_platform_codecs.config_value())
        spec = json.loads(test_target_follower.target_object("t1"))["spec"]
        spec["address"] = f"{IP}:{port}"
        spec["info"]["service"] = "s3"
        self.put("servers/t1", json.dumps({"spec": spec}).encode())
        self.folder = tempfile.TemporaryDirectory()
        self.settings = pathlib.Path(self.folder.name) / "node.conf"
        self.ports = _free_ports(6)
        self.settings.write_text(self.settings_text(), encoding="utf-8")
        self.lines: list[str] = []
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "fuchsiacourse.front",
            stdout=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                settings_file.PATH_VARIABLE: str(self.settings),
                settings_file.METRICS_VARIABLE: str(self.ports[5]),
            },
        )
        self.reading = asyncio.ensure_future(self.read_lines())
        await self.wait_until_ready()

    async def asyncTearDown(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.reading
        self.target.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.app.close()
        self.store_server.should_exit = True
        await self.store_task
        self.folder.cleanup()

    async def start_store(self) -> None:
        clock = system_clock.SystemClock()
        self.model = platform_model.PlatformModel(clock=clock)
        self.app = objects_app.ObjectsApp(model=self.model, clock=clock)
        self.store_server = uvicorn.Server(
            uvicorn.Config(
                self.app.asgi,
                host=IP,
                port=0,
                lifespan="off",
                log_config=None,
                timeout_graceful_shutdown=0,
            )
        )
        self.store_task = asyncio.ensure_future(self.store_server._serve())
        while not self.store_server.started:
            await asyncio.sleep(0.01)
        server = self.store_server.servers[0]
        self.store_address = server.sockets[0].getsockname()

    def put(self, key: str, value: bytes) -> None:
        content = {"spec": json.loads(value)["spec"], "status": None}
        self.model.table.put(
            key, json.dumps(content).encode(), if_version=None
        )

    def settings_text(self) -> str:
        front, ready, directory, control, peer, _ = self.ports
        store = f"{self.store_address[0]}:{self.store_address[1]}"
        text = test_platform_codecs.SETTINGS
        for old, new in (
            ("10.1.0.34:8548", f"{IP}:{front}"),
            ("10.1.0.34:8542", f"{IP}:{ready}"),
            ("10.1.0.34:8546", f"{IP}:{directory}"),
            ("10.1.0.34:8544,10.2.0.34:8544", f"{IP}:{control}"),
            ("10.1.0.34:8544", f"{IP}:{control}"),
            ("10.1.0.34", IP),
            ("7540,7555", f"{peer},{peer}"),
            ("10.200.1.7:8541", store),
        ):
            text = text.replace(old, new)
        return text

    async def serve(self, reader, writer) -> None:
        """Answers the requests of one connection, as a target does."""
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await test_pooled_sender.read_request(reader)
                fields = dict(
                    line.split(": ", 1)
                    for line in head.decode().lower().split("\r\n")[1:]
                    if line
                )
                length = int(fields.get("content-length", 0))
                await reader.readexactly(length)
                id = fields["x-fuchsiacourse-request-id"]
                self.runs.append(id)
                await asyncio.sleep(self.work_s)
                body = id.encode() + self.answer_filler
                writer.write(test_pooled_sender.answer(id, body))
        except (asyncio.IncompleteReadError, OSError):
            # The front has closed the connection.
            pass
        finally:
            writer.close()

    async def read_lines(self) -> None:
        async for line in self.process.stdout:
            self.lines.append(line.decode())

    async def call(
        self, port: int, path: str, id: str = "q1"
    ) -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection(IP, port)
        try:
            writer.write(
                f"POST {path} HTTP/1.1\r\nHost: one.example\r\n"
                f"X-Fuchsiacourse-Request-Id: {id}\r\n"
                "X-Fuchsiacourse-Request-Deadline: 5000\r\n"
                "Content-Length: 2\r\n\r\nab".encode()
            )
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = int(head.split(b"content-length: ")[1].split()[0])
            return int(head.split()[1]), await reader.readexactly(length)
        finally:
            writer.close()

    async def wait_until_ready(self) -> None:
        deadline_s = asyncio.get_running_loop().time() + START_S
        while asyncio.get_running_loop().time() < deadline_s:
            try:
                status, _ = await self.call(
                    self.ports[1], "/fuchsiacourse/ready"
                )
            except OSError:
                # The process doesn't listen yet.
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.05)
        self.fail("the front was not ready in time")


def _free_ports(count: int) -> list[int]:
    """Returns different ports that are not in use."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((IP, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
