"""Testbed of the fault soak: front processes, a store and targets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import sys

import uvicorn

from bench import fault_checker
from bench import fault_proxy
from bench import fault_target
from bench import local_fleet
from fuchsiacourse.platform import objects_app
from fuchsiacourse.platform import settings_file
from fuchsiacourse import platform_model
from fuchsiacourse import system_clock

# Ports of each front; the fronts have different IP addresses.
FRONT_PORT = 8100
READY_PORT = 8101
DIRECTORY_PORT = 8102
CONTROL_PORT = 8103
PEER_PORT = 8104
# Availability zone of each front.
ZONES = ("a", "a", "a", "a", "b", "b")
SERVICES = ("larder", "dispatch")
# Services by route of the requests whose work is as long as their path says,
# and timeout of these routes and of the others, in milliseconds.
LONG_ROUTES = {"safe-long": "larder", "unsafe-long": "dispatch"}
LONG_TIMEOUT_MS = 8000
TIMEOUT_MS = 2500
# Number of targets of each service.
TARGETS = 5
# Time allowed for a graceful shutdown, and delay before a front that has ended
# is started again, in seconds.
STOP_S = fault_checker.GRACE_S
RESTART_S = 0.3
# Number of changes that the store keeps for watches; a history fault writes
# more than these.
HISTORY = 60
HOST = "soak.example"
_INITIAL_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 1_000_000,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class FaultFront:
    """A front process and its proxy to the store.

    Args:
        ip: IP address of the front.
        zone: Availability zone of the front.
        store: IP address and port of the store.
        testbed: Testbed that the front belongs to.
    """

    def __init__(
        self,
        *,
        ip: str,
        zone: str,
        store: tuple[str, int],
        testbed: FaultTestbed,
    ) -> None:
        self.ip = ip
        self.zone = zone
        self.testbed = testbed
        self.store = fault_proxy.FaultProxy(ip=ip, server=store)
        # A dropped answer leaves the front without contact with the store,
        # which counts as a fault.
        self.store.on_lost = lambda: testbed.checker.record_fault(ip)
        self.retry_share = 0.3
        self.settings = testbed.folder / f"{ip}.conf"
        self.process: asyncio.subprocess.Process | None = None
        # Signal that was sent to end the process.
        self.end_signal: int | None = None

    @property
    def is_up(self) -> bool:
        """Whether the process runs and was not signalled to end."""
        return (
            self.process is not None
            and self.process.returncode is None
            and self.end_signal is None
        )

    async def run(self) -> None:
        """Runs the process and restarts it after each exit.

        Records an exit that no signal explains.
        """
        await self.store.start()
        self.write_settings()
        while True:
            log_path = self.testbed.folder / f"{self.ip}.log"
            with log_path.open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "fuchsiacourse.front",
                    stdout=log,
                    stderr=log,
                    env={
                        **os.environ,
                        settings_file.PATH_VARIABLE: str(self.settings),
                    },
                )
            self.end_signal = None
            if self.testbed.is_stopping:
                self.signal(signal.SIGKILL)
            self.testbed.checker.record_fault(self.ip)
            code = await self.process.wait()
            # A front installs its SIGTERM handler before it listens, so one
            # that was ended by the signal itself had accepted no requests.
            is_stop = self.end_signal == signal.SIGTERM and code in (
                0,
                -signal.SIGTERM,
            )
            if self.end_signal != signal.SIGKILL and not is_stop:
                self.testbed.checker.record_unexpected_exit(self.ip, code)
            if self.testbed.is_stopping:
                return
            await asyncio.sleep(RESTART_S)

    def signal(self, number: int) -> None:
        """Sends a signal to the process, if it runs.

        Args:
            number: Signal number.
        """
        if self.process is None or self.process.returncode is not None:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.end_signal = self.end_signal or number
        if number == signal.SIGKILL:
            self.end_signal = number
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def peak_bytes(self) -> int:
        """Returns the peak memory of the process, in bytes, 0 if it ended."""
        if self.process is None or self.process.returncode is not None:
            return 0
        status = pathlib.Path(f"/proc/{self.process.pid}/status")
        with contextlib.suppress(OSError):
            for line in status.read_text(encoding="ascii").splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) * 1024
        return 0

    def write_settings(self) -> None:
        """Writes the settings file in the platform's format."""
        address = "%s:%d" % self.store.address
        seeds = ",".join(
            f"{ip}:{CONTROL_PORT}" for ip in self.testbed.front_ips[:3]
        )
        lines = [
            f"self.node=front-{self.ip}",
            f"self.ip={self.ip}",
            f"self.zone={self.zone}",
            "self.region=east",
            "self.bootstrap=false",
            "self.limits.cpu_share=1",
            "self.limits.link_mbps=100",
            f"network.listen.front={self.ip}:{FRONT_PORT}",
            f"network.listen.ready={self.ip}:{READY_PORT}",
            f"network.listen.directory={self.ip}:{DIRECTORY_PORT}",
            f"network.listen.control={self.ip}:{CONTROL_PORT}",
            f"network.internal_ports={PEER_PORT},{PEER_PORT}",
            f"network.seeds={seeds}",
            "network.zones.a=east",
            "network.zones.b=east",
            f"platform.platform.address={address}",
            f"terms.bounds.grace_s={STOP_S:g}",
            f"terms.bounds.retry_budget_ratio={self.retry_share:g}",
            "terms.bounds.retry_budget_extra=60",
        ]
        self.settings.write_text("\n".join(lines), encoding="utf-8")


class FaultTestbed:
    """Starts and stops the store, targets and fronts of a fault soak run.

    Args:
        folder: Directory for settings and logs.
        rng: Source of randomness.
    """

    def __init__(self, *, folder: pathlib.Path, rng: random.Random) -> None:
        self.folder = folder
        self.rng = rng
        self.clock = system_clock.SystemClock()
        self.checker = fault_checker.FaultChecker(clock=self.clock)
        self._network = f"{local_fleet.network_of_process()}.77"
        self.front_ips = [
            f"{self._network}.{10 + number}" for number in range(len(ZONES))
        ]
        self.model = platform_model.PlatformModel(
            clock=self.clock, history_limit=HISTORY
        )
        self._app = objects_app.ObjectsApp(model=self.model, clock=self.clock)
        self.fronts: list[FaultFront] = []
        self.targets_by_id: dict[str, fault_target.FaultTarget] = {}
        # Monotonic time at which the store accepted each route, in seconds.
        self.stored_s_by_route: dict[str, float] = {}
        self.service_by_route: dict[str, str] = {}
        # Limits on callers, with the monotonic time at which the store
        # accepted them, in seconds.
        self._limits_history = [(0.0, _INITIAL_LIMITS)]
        # Whether processes that exit are not restarted.
        self.is_stopping = False
        self._version = 0
        # What the operator and the targets have written last, by key.
        self._written_by_key: dict[str, bytes] = {}
        self._target_count = 0
        self._tasks: list[asyncio.Task] = []
        self._server: uvicorn.Server | None = None

    async def start(self) -> None:
        """Starts the store, the targets and the fronts."""
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
        store = self._server.servers[0].sockets[0].getsockname()
        for route, service in LONG_ROUTES.items():
            self.checker.services_by_path[route] = {service}
        for service in SERVICES:
            self.set_route(f"safe-{service}", service)
            self.set_route(f"unsafe-{service}", service)
            self.checker.permanent_routes.update(
                (*self.service_by_route, *LONG_ROUTES)
            )
            for _ in range(TARGETS):
                await self.add_target(service)
        for ip, zone in zip(self.front_ips, ZONES):
            front = FaultFront(ip=ip, zone=zone, store=store, testbed=self)
            self.fronts.append(front)
            self._tasks.append(asyncio.ensure_future(front.run()))

    async def stop(self) -> None:
        """Ends the started processes, by their ids, and the stand-ins."""
        self.is_stopping = True
        for front in self.fronts:
            front.signal(signal.SIGCONT)
            front.signal(signal.SIGKILL)
        for front in self.fronts:
            if front.process is not None:
                await front.process.wait()
            await front.store.close()
        for target in list(self.targets_by_id.values()):
            await target.stop()
        self._app.close()
        assert self._server is not None
        self._server.should_exit = True
        for task in self._tasks[1:]:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def peak_mb(self) -> int:
        """Highest peak memory of a front, in megabytes."""
        return max(self.checker.peak_bytes_by_front.values()) // 1_000_000

    def put(self, key: str, value: bytes) -> None:
        """Writes an object to the store, as the operator or a target does."""
        self._written_by_key[key] = value
        self.model.table.put(key, value, if_version=None)

    def write_again(self) -> None:
        """Writes again what a store that was restored has lost."""
        for key, value in self._written_by_key.items():
            held = self.model.table.get(key)
            if held is None or held.value != value:
                self.model.table.put(key, value, if_version=None)

    def remove_unknown_targets(self) -> None:
        """Removes the registrations of targets that are gone."""
        for item in self.model.table.list("servers/"):
            if item.key not in self._written_by_key:
                self.model.table.delete(item.key, if_version=None)

    def set_route(self, route: str, service: str) -> None:
        """Adds a route, or moves it to another service."""
        now_s = self.clock.now()
        before = self.service_by_route.get(route)
        moved = self.checker.moved_at_s_by_service
        if before not in (None, service):
            moved[route, before] = now_s
        moved.pop((route, service), None)
        self.service_by_route[route] = service
        if before is None:
            self.stored_s_by_route[route] = now_s
        self.checker.services_by_path.setdefault(route, set()).add(service)
        self._write_config()

    def remove_route(self, route: str) -> None:
        """Removes a route."""
        self.service_by_route.pop(route)
        self._write_config()

    def change_limits(self, **limits: int) -> None:
        """Changes limits on callers."""
        self._limits_history.append(
            (self.clock.now(), {**self._limits_history[-1][1], **limits})
        )
        self._write_config()

    def lowest_limits_since(self, since_s: float) -> dict[str, int]:
        """Returns the lowest limits on callers in force since some time.

        Args:
            since_s: Monotonic time, in seconds.
        """
        found = [
            limits for at_s, limits in self._limits_history if at_s > since_s
        ]
        # The limits that were in force at that time count as well.
        earlier = [item for item in self._limits_history if item[0] <= since_s]
        found.append(earlier[-1][1])
        return {
            name: min(limits[name] for limits in found)
            for name in _INITIAL_LIMITS
        }

    def _write_config(self) -> None:
        self._version += self.rng.randint(1, 5)
        paths = [
            {
                "name": name,
                "path_prefix": f"/{name}/",
                "kind": "safe" if name.startswith("safe") else "unsafe",
                "timeout_ms": (
                    LONG_TIMEOUT_MS if name in LONG_ROUTES else TIMEOUT_MS
                ),
                "target_latency_ms": 500,
                "service": used,
                "max_attempts": 3,
            }
            for name, used in (
                *self.service_by_route.items(),
                *LONG_ROUTES.items(),
            )
        ]
        spec = {
            "version": f"r{self._version}",
            "services": [],
            "limits": self._limits_history[-1][1],
            "hosts": [{"host": HOST, "paths": paths}],
        }
        self.put(
            "config/main", json.dumps({"spec": spec, "status": None}).encode()
        )

    async def add_target(self, service: str) -> None:
        """Starts a target and registers it."""
        self._target_count += 1
        target = fault_target.FaultTarget(
            id=f"i-{self._target_count}",
            service=service,
            availability_zone="ab"[self._target_count % 2],
            ip=f"{self._network}.{100 + self._target_count % 100}",
            checker=self.checker,
            clock=self.clock,
            rng=self.rng,
        )
        await target.start()
        self.targets_by_id[target.id] = target
        self.put(f"servers/{target.id}", target.registration())

    async def remove_target(self, target: fault_target.FaultTarget) -> None:
        """Stops a target and deletes its registration."""
        if self.targets_by_id.pop(target.id, None) is None:
            return
        await target.stop()
        self._written_by_key.pop(f"servers/{target.id}", None)
        self.model.table.delete(f"servers/{target.id}", if_version=None)
