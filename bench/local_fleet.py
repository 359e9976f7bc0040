"""Runs the programs of a small fleet as processes on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import sys
import typing

import aiohttp

from fuchsiacourse import service_file

GOSSIP_PORT = 7946
RPC_PORT = 7947
HTTP_PORT = 8080
ENTRY_STATUS_PORT = 9090
DISPATCH_STATUS_PORT = 9091
DISPATCH_GOSSIP_PORT = 7948
DISPATCH_RPC_PORT = 7949
PLATFORM_PORT = 8500
TARGET_PORT = 9500
DEPLOYMENT_KEY = "local-fleet-deployment-key"
# Longest wait for a program to listen or to be ready, in seconds.
START_TIMEOUT_S = 20.0
POLL_S = 0.05


def network_of_process() -> str:
    """Returns the first two octets of a loopback network for this process.

    It is derived from the process id, so that fleets that run on one machine
    at the same time rarely share addresses: only if their process ids differ
    by a multiple of 200.
    """
    return f"127.{20 + os.getpid() % 200}"


class HostLocation:
    """Address, zone and region of a simulated host.

    Args:
        ip: IP address of the host.
        availability_zone: Zone of the host.
        region: Region of the zone.
    """

    __slots__ = ("ip", "availability_zone", "region")

    def __init__(
        self, *, ip: str, availability_zone: str, region: str
    ) -> None:
        self.ip = ip
        self.availability_zone = availability_zone
        self.region = region


class LocalProcess:
    """Handle of a program that runs as a process.

    Args:
        name: Name of the process in its fleet.
        process: The process.
        log_path: File that receives stdout and stderr.
        status_address: Address of the status port; empty for none.
    """

    __slots__ = ("name", "process", "log_path", "status_address")

    def __init__(
        self,
        *,
        name: str,
        process: asyncio.subprocess.Process,
        log_path: pathlib.Path,
        status_address: str = "",
    ) -> None:
        self.name = name
        self.process = process
        self.log_path = log_path
        self.status_address = status_address

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal unless the process has exited."""
        if self.is_running:
            self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> int:
        """Waits for the process to exit and returns its exit code.

        Raises:
            TimeoutError: The process still runs after ``timeout_s``.
        """
        async with asyncio.timeout(timeout_s):
            return await self.process.wait()


class LocalFleet:
    """Starts and stops the processes of a fleet and writes its settings.

    Args:
        folder: Folder for settings, service files and logs.
        network: First two octets of the loopback addresses; empty for
            those of network_of_process.
    """

    def __init__(self, *, folder: pathlib.Path, network: str = "") -> None:
        self.folder = folder
        self.network = network or network_of_process()
        self.processes_by_name: dict[str, LocalProcess] = {}
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def platform_address(self) -> str:
        """Address of the platform stub."""
        return f"{self.network}.0.1:{PLATFORM_PORT}"

    @property
    def platform_url(self) -> str:
        """URL of the platform stub."""
        return f"http://{self.platform_address}"

    def host_ip(self, number: int) -> str:
        """Returns the IP address of a host; the first host is number 1."""
        return f"{self.network}.1.{number}"

    def target_ip(self, number: int) -> str:
        """Returns the IP address of a service's targets; the first is 1."""
        return f"{self.network}.2.{number}"

    def write_json(self, name: str, content: typing.Any) -> pathlib.Path:
        """Writes a JSON file into the folder and returns its path."""
        path = self.folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(content, indent=1), encoding="utf-8")
        return path

    async def start(
        self, name: str, program: str, *arguments: str, status: str = ""
    ) -> LocalProcess:
        """Starts a program of the package.

        Args:
            name: Name of the process in this fleet.
            program: Module within the package.
            *arguments: Command-line arguments.
            status: Address of the status port; empty for none.
        """
        log_path = self.folder / f"{name}.log"
        with log_path.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                f"fuchsiacourse.{program}",
                *arguments,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        started = LocalProcess(
            name=name,
            process=process,
            log_path=log_path,
            status_address=status,
        )
        self.processes_by_name[name] = started
        return started

    async def run(
        self, program: str, *arguments: str, timeout_s: float = 30.0
    ) -> tuple[int, str]:
        """Runs a program until it exits.

        Returns:
            The exit code and the output on stdout and stderr.

        Raises:
            TimeoutError: The program still runs after ``timeout_s``.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"fuchsiacourse.{program}",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            stdin=asyncio.subprocess.DEVNULL,
        )
        async with asyncio.timeout(timeout_s):
            output, _ = await process.communicate()
        return process.returncode or 0, output.decode()

    def node_settings(self, location: HostLocation, seeds: list[str]) -> dict:
        """Returns the settings common to entry and dispatch."""
        return {
            "host": location.ip,
            "availability_zone": location.availability_zone,
            "region": location.region,
            "seeds": seeds,
            "deployment_key": DEPLOYMENT_KEY,
            "platform": {"url": self.platform_url},
        }

    async def start_entry(
        self,
        location: HostLocation,
        *,
        seeds: list[str],
        **changes: typing.Any,
    ) -> LocalProcess:
        """Starts an entry; ``changes`` override its settings."""
        status = f"{location.ip}:{ENTRY_STATUS_PORT}"
        content = self.node_settings(location, seeds) | {
            "program": "entry",
            "gossip_address": f"{location.ip}:{GOSSIP_PORT}",
            "rpc_address": f"{location.ip}:{RPC_PORT}",
            "http_address": f"{location.ip}:{HTTP_PORT}",
            "status_address": status,
        }
        name = f"entry-{location.ip}"
        path = self.write_json(f"{name}.json", content | changes)
        return await self.start(
            name, "entry", "--settings", str(path), status=status
        )

    async def start_dispatch(
        self,
        location: HostLocation,
        *,
        seeds: list[str],
        **changes: typing.Any,
    ) -> LocalProcess:
        """Starts a dispatch; ``changes`` override its settings."""
        status = f"{location.ip}:{DISPATCH_STATUS_PORT}"
        content = self.node_settings(location, seeds) | {
            "program": "dispatch",
            "gossip_address": f"{location.ip}:{DISPATCH_GOSSIP_PORT}",
            "rpc_address": f"{location.ip}:{DISPATCH_RPC_PORT}",
            "status_address": status,
        }
        name = f"dispatch-{location.ip}"
        path = self.write_json(f"{name}.json", content | changes)
        return await self.start(
            name, "dispatch", "--settings", str(path), status=status
        )

    def write_operator_settings(self) -> pathlib.Path:
        """Writes the settings of publish, ctl and report."""
        return self.write_json(
            "operator.json",
            {
                "program": "operator",
                "platform": {"url": self.platform_url},
                "operator": "local",
            },
        )

    async def start_platform(self, **changes: typing.Any) -> LocalProcess:
        """Starts the platform stub; ``changes`` override its settings."""
        content = {
            "program": "platform-stub",
            "http_address": self.platform_address,
        }
        path = self.write_json("platform.json", content | changes)
        started = await self.start(
            "platform", "platform_stub", "--settings", str(path)
        )
        await self._wait_listening(self.platform_address)
        return started

    def copy_services(
        self, samples: pathlib.Path
    ) -> list[service_file.ServiceFile]:
        """Copies service files, replacing the addresses of their targets."""
        services = []
        for number, path in enumerate(sorted(samples.glob("*.json")), 1):
            content = json.loads(path.read_text(encoding="utf-8"))
            for index, target in enumerate(content["targets"]):
                port = TARGET_PORT + index
                target["address"] = f"{self.target_ip(number)}:{port}"
            copied = self.write_json(f"services/{path.name}", content)
            services.append(service_file.load(copied))
        return services

    async def start_targets(
        self, service: str, *arguments: str
    ) -> LocalProcess:
        """Starts the stub targets of a copied service and waits for them."""
        path = self.folder / "services" / f"{service}.json"
        started = await self.start(
            f"targets-{service}",
            "target_stub",
            "--service",
            str(path),
            *arguments,
        )
        for target in service_file.load(path).targets:
            await self._wait_listening(target.address)
        return started

    async def publish(self) -> str:
        """Publishes the copied services and returns the program's output.

        Raises:
            RuntimeError: The program exited with an error.
        """
        code, output = await self.run(
            "publish",
            str(self.folder / "services"),
            "--settings",
            str(self.folder / "operator.json"),
        )
        if code != 0:
            raise RuntimeError(f"publish exited with {code}:\n{output}")
        return output

    async def _wait_listening(self, address: str) -> None:
        ip, _, port = address.rpartition(":")
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(ip, int(port))
                except ConnectionError:
                    await asyncio.sleep(POLL_S)
                    continue
                writer.close()
                return

    async def wait_ready(self, names: typing.Iterable[str]) -> None:
        """Waits until /readyz of the named processes answers 200.

        Raises:
            RuntimeError: A process exited, or was not ready within
                START_TIMEOUT_S; the message contains its log.
        """
        async with aiohttp.ClientSession() as session:
            for name in names:
                await self._wait_process_ready(
                    session, self.processes_by_name[name]
                )

    async def _wait_process_ready(
        self, session: aiohttp.ClientSession, process: LocalProcess
    ) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + START_TIMEOUT_S
        url = f"http://{process.status_address}/readyz"
        while loop.time() < end:
            if not process.is_running:
                raise RuntimeError(
                    f"{process.name} exited:\n{process.log_path.read_text()}"
                )
            try:
                async with session.get(url) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(POLL_S)
        raise RuntimeError(
            f"{process.name} is not ready:\n{process.log_path.read_text()}"
        )

    async def stop(self, *, timeout_s: float = 20.0) -> dict[str, int]:
        """Stops all processes by SIGTERM, and by SIGKILL after a timeout.

        Args:
            timeout_s: Longest wait for each process after SIGTERM.

        Returns:
            Exit codes by process name.
        """
        running = [
            item for item in self.processes_by_name.values() if item.is_running
        ]
        for item in running:
            # A paused process would handle SIGTERM only after the pause.
            item.signal(signal.SIGCONT)
            item.signal(signal.SIGTERM)
        for item in running:
            try:
                await item.wait(timeout_s)
            except TimeoutError:
                item.signal(signal.SIGKILL)
                await item.process.wait()
        return {
            name: item.process.returncode or 0
            for name, item in self.processes_by_name.items()
        }
