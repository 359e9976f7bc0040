"""Testbed of the floods: front processes, a store and a sound target."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import sys

import uvicorn

from bench import fault_checker
from bench import fault_testbed
from bench import fault_wire
from bench import flood_form
from bench import local_fleet
from fuchsiacourse.platform import objects_app
from fuchsiacourse import platform_model
from fuchsiacourse import system_clock

FRONTS = 2
# Number of targets of the flooding service, and their port.
TARGETS = 3
TARGET_PORT = 9600
# Work of the sound service in seconds, and timeout of all routes in
# milliseconds.
WORK_S = 0.05
TIMEOUT_MS = 5000
# Path prefixes of the sound service and of the other one; the requests of
# the last are safe to repeat.
STEADY_ROUTE = "/steady/"
FLOOD_ROUTES = ("/flood/", "/flood-safe/")
HOST = fault_testbed.HOST
# Time within which the processes must be ready, in seconds.
START_S = 20.0
_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 67_108_864,
    "header_timeout_ms": 5000,
    "idle_timeout_ms": 15_000,
}
_ID_FIELD = "x-fuchsiacourse-request-id"


class FloodTestbed:
    """Starts the store, the sound target and fronts, and runs floods.

    Args:
        folder: Directory for settings and logs.
        number: Number of the testbed in the run, for different addresses.
    """

    def __init__(self, *, folder: pathlib.Path, number: int) -> None:
        # FaultFront uses these four.
        self.folder = folder
        self.checker = fault_checker.FaultChecker(
            clock=system_clock.SystemClock()
        )
        self._network = f"{local_fleet.network_of_process()}.{100 + number}"
        self.front_ips = [
            f"{self._network}.{10 + index}" for index in range(FRONTS)
        ]
        self.is_stopping = False
        self._target_addresses = [
            f"{self._network}.{100 + index}:{TARGET_PORT}"
            for index in range(TARGETS)
        ]
        self._fronts: list[fault_testbed.FaultFront] = []
        self._tasks: list[asyncio.Future] = []
        self._connections: set[asyncio.Task] = set()
        self._programs: list[asyncio.subprocess.Process] = []
        clock = system_clock.SystemClock()
        self._model = platform_model.PlatformModel(clock=clock)
        self._app = objects_app.ObjectsApp(model=self._model, clock=clock)

    @property
    def front_addresses(self) -> list[tuple[str, int]]:
        """IP address and port of each front."""
        return [(ip, fault_testbed.FRONT_PORT) for ip in self.front_ips]

    async def start(self) -> None:
        """Starts everything and waits until all fronts are ready."""
        store = await self._start_store()
        self._steady = await asyncio.start_server(
            self._serve, f"{self._network}.2", TARGET_PORT
        )
        self._write_objects()
        for ip in self.front_ips:
            front = fault_testbed.FaultFront(
                ip=ip, zone="a", store=store, testbed=self
            )
            self._fronts.append(front)
            self._tasks.append(asyncio.ensure_future(front.run()))
        async with asyncio.timeout(START_S):
            for ip in self.front_ips:
                while not await _is_ready(ip):
                    await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Ends the started processes, by their ids, and the stand-ins."""
        self.is_stopping = True
        for program in self._programs:
            if program.returncode is None:
                program.kill()
                await program.wait()
        for front in self._fronts:
            front.signal(signal.SIGKILL)
        for front in self._fronts:
            if front.process is not None:
                await front.process.wait()
            await front.store.close()
        self._steady.close()
        for task in list(self._connections):
            task.cancel()
        self._app.close()
        self._server.should_exit = True
        await asyncio.gather(
            *self._tasks, *self._connections, return_exceptions=True
        )

    def memory_bytes(self, field: str) -> list[int]:
        """Returns a memory figure of each front, in bytes.

        Args:
            field: Field of the process status, such as VmHWM or VmRSS.

        Raises:
            RuntimeError: A front has ended by itself.
        """
        if self.checker.violations:
            raise RuntimeError("; ".join(self.checker.violations))
        return [
            _status_bytes(front.process.pid, field) for front in self._fronts
        ]

    def processor_s(self) -> list[tuple[float, float]]:
        """Returns the processor time of each front.

        Returns:
            The time that a front has used, and the time that it was ready
            and waited for a processor, in seconds.
        """
        return [_processor_s(front.process.pid) for front in self._fronts]

    async def prepare_flood(
        self, form: flood_form.Form, *, callers: int, seconds: float
    ) -> None:
        """Starts the targets and callers of a flood as processes.

        Args:
            form: Form of the answers or uploads.
            callers: Number of callers a front.
            seconds: Time of the flood.
        """
        self._targets = await self._start_program(
            "bench.flood_target",
            form,
            seconds + START_S,
            *(f"--address={address}" for address in self._target_addresses),
        )
        self._callers = await self._start_program(
            "bench.flood_callers",
            form,
            seconds,
            f"--callers={callers}",
            f"--host={HOST}",
            *(f"--route={route}" for route in FLOOD_ROUTES),
            *("--front=%s:%d" % address for address in self.front_addresses),
        )
        async with asyncio.timeout(START_S):
            await self._targets.stdout.readline()
            await self._callers.stdout.readline()

    async def run_flood(self) -> dict[str, dict[str, int]]:
        """Begins the prepared flood and waits for its end.

        Returns:
            What the targets and what the callers have sent and read.
        """
        self._callers.stdin.write(b"\n")
        callers = await _result(self._callers)
        self._targets.terminate()
        return {"callers": callers, "targets": await _result(self._targets)}

    async def _start_program(
        self, module: str, form: flood_form.Form, seconds: float, *options: str
    ) -> asyncio.subprocess.Process:
        program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            f"--form={form.value}",
            f"--seconds={seconds:g}",
            *options,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self._programs.append(program)
        return program

    async def _start_store(self) -> tuple[str, int]:
        self._server = uvicorn.Server(
            uvicorn.Config(
                self._app.asgi,
                host=f"{self._network}.1",
                port=0,
                lifespan="off",
                log_config=None,
                timeout_graceful_shutdown=0,
            )
        )
        self._tasks.append(asyncio.ensure_future(self._server._serve()))
        while not self._server.started:
            await asyncio.sleep(0.01)
        return self._server.servers[0].sockets[0].getsockname()

    def _write_objects(self) -> None:
        self._put("servers/s-1", _registration("steady", self._steady_address))
        for number, address in enumerate(self._target_addresses):
            self._put(f"servers/f-{number}", _registration("flood", address))
        paths = [
            {
                "name": prefix.strip("/"),
                "path_prefix": prefix,
                "kind": "safe" if prefix.endswith("safe/") else "unsafe",
                "timeout_ms": TIMEOUT_MS,
                "target_latency_ms": 500,
                "service": prefix.strip("/").partition("-")[0],
                "max_attempts": 3,
            }
            for prefix in (STEADY_ROUTE, *FLOOD_ROUTES)
        ]
        self._put(
            "config/main",
            {
                "version": "r1",
                "services": [],
                "limits": _LIMITS,
                "hosts": [{"host": HOST, "paths": paths}],
            },
        )

    @property
    def _steady_address(self) -> str:
        return f"{self._network}.2:{TARGET_PORT}"

    def _put(self, key: str, spec: dict[str, object]) -> None:
        value = json.dumps({"spec": spec, "status": None}).encode()
        self._model.table.put(key, value, if_version=None)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the requests of one connection after ``WORK_S``."""
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            while True:
                _, fields = await fault_wire.read_head(reader)
                await fault_wire.read_body(reader, fields)
                await asyncio.sleep(WORK_S)
                writer.write(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                    f"{_ID_FIELD}: {fields.get(_ID_FIELD, '')}\r\n"
                    "x-fuchsiacourse-response-signature: s\r\n\r\nok".encode()
                )
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The front has closed the connection, or the testbed stops.
            pass
        finally:
            writer.transport.abort()
            self._connections.discard(task)


async def _result(program: asyncio.subprocess.Process) -> dict[str, int]:
    """Returns what a program has printed, after its end."""
    assert program.stdout is not None
    output = await program.stdout.read()
    await program.wait()
    return json.loads(output)


def _registration(service: str, address: str) -> dict[str, object]:
    return {
        "address": address,
        "born": 1,
        "info": {
            "service": service,
            "zone": "a",
            "slots": 64,
            "version": "v1",
        },
        "status": {"state": "ready", "sequence": 1, "cold_remaining_ms": 0},
    }


def _processor_s(pid: int) -> tuple[float, float]:
    path = pathlib.Path(f"/proc/{pid}/schedstat")
    used_ns, waited_ns, _ = path.read_text(encoding="ascii").split()
    return int(used_ns) / 1e9, int(waited_ns) / 1e9


def _status_bytes(pid: int, field: str) -> int:
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    for line in status.splitlines():
        if line.startswith(field + ":"):
            return int(line.split()[1]) * 1024
    raise RuntimeError(f"the process status has no {field}")


async def _is_ready(ip: str) -> bool:
    """Returns whether a front says that it is ready."""
    try:
        reader, writer = await asyncio.open_connection(
            ip, fault_testbed.READY_PORT
        )
    except OSError:
        # The process doesn't listen yet.
        return False
    try:
        writer.write(
            f"GET /fuchsiacourse/ready HTTP/1.1\r\nHost: {ip}\r\n\r\n".encode()
        )
        status, _ = await fault_wire.read_answer_head(reader)
    except (OSError, asyncio.IncompleteReadError):
        return False
    finally:
        writer.transport.abort()
    return status == 200
