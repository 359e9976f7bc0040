"""Starts front processes with the command and settings of a deployment."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import sys
import tempfile
import tomllib

import standin_record as records
import standin_store as stores
import standin_wire as wire

ROOT = pathlib.Path(__file__).resolve().parents[1]
READY_TIMEOUT_S = 25.0
_PORTS = ("front", "ready", "control", "directory", "internal")


class CannotRun(Exception):
    """The case can't run on this machine."""


class Front:
    """One machine with a front process.

    Args:
        name: Name of the machine.
        ip: Its loopback address.
        zone: Its availability zone.
        settings: Path of its settings file.
    """

    def __init__(
        self, *, name: str, ip: str, zone: str, settings: pathlib.Path
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.settings = settings
        self.process: asyncio.subprocess.Process | None = None


class Fleet:
    """Front processes of a small deployment on loopback addresses.

    Args:
        store: The platform's store.
        record: Record of the case.
        zones_by_region: Names of the zones, one for each front, by region.
    """

    def __init__(
        self,
        *,
        store: stores.Store,
        record: records.Record,
        zones_by_region: dict[str, list[str]],
    ) -> None:
        self.store = store
        self.record = record
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._role = self._read_role()
        self._network = self._free_network()
        self.regions_by_zone = {
            zone: region
            for region, zones in zones_by_region.items()
            for zone in zones
        }
        zones = [zone for found in zones_by_region.values() for zone in found]
        self.fronts = [
            Front(
                name=f"front-{zone}-{number}",
                ip=f"{self._network}.1.{number}",
                zone=zone,
                settings=self._folder / f"front-{number}.conf",
            )
            for number, zone in enumerate(zones, 1)
        ]
        first = _free_ports(
            [front.ip for front in self.fronts] + [self.ip(2, 1)], len(_PORTS)
        )
        self.ports = {name: first + n for n, name in enumerate(_PORTS)}

    def ip(self, third: int, last: int) -> str:
        """Returns a loopback address of the deployment."""
        return f"{self._network}.{third}.{last}"

    @property
    def port(self) -> int:
        """Port that is free at all addresses, for upstreams and the store."""
        return self.ports["front"]

    def _free_network(self) -> str:
        """Returns a loopback network in which the metrics port is free.

        The deploy file sets that port, so two fleets can't share addresses.
        """
        port = int(self._role.get("env", {}).get("METRICS_PORT", "0"))
        for _ in range(100):
            network = f"127.{random.randint(20, 220)}"
            if _is_free(f"{network}.1.1", port):
                return network
        raise CannotRun("no free loopback network")

    def _read_role(self) -> dict:
        deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        (role,) = deploy["roles"].values()
        return role

    async def start_store(self) -> None:
        """Starts the store at an address of its own."""
        await self.store.start(self.ip(0, 1), self.port)

    async def start(
        self, front: Front, *, is_first: bool = False
    ) -> asyncio.subprocess.Process:
        """Starts the process of a machine."""
        front.settings.write_text(
            self._settings(front, is_first), encoding="utf-8"
        )
        words = shlex.split(self._role["run"])
        if words[0] == "python3":
            words[0] = sys.executable
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment.update(self._role.get("env", {}))
        environment["FUCHSIACOURSE_CONFIG"] = str(front.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._folder / f"{front.name}.log").open("ab") as log:
            front.process = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.note(f"started   {front.name} {front.ip}")
        return front.process

    async def start_all(self) -> None:
        """Starts all machines and waits until they are ready.

        Raises:
            CannotRun: A machine did not get ready.
        """
        for front in self.fronts:
            await self.start(front, is_first=True)
        for front in self.fronts:
            await self.wait_ready(front)

    async def wait_ready(self, front: Front) -> None:
        """Waits until a machine counts as ready.

        Raises:
            CannotRun: It did not get ready.
        """
        assert front.process is not None
        loop = asyncio.get_running_loop()
        end_s = loop.time() + READY_TIMEOUT_S
        while loop.time() < end_s and front.process.returncode is None:
            try:
                found = await self.call(
                    front.ip, "ready", "/fuchsiacourse/ready"
                )
                if found.status == 200:
                    self.record.note(f"ready     {front.name}")
                    return
            except (OSError, EOFError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{front.name} is not ready, see {self._folder}")

    async def call(self, ip: str, port: str, path: str) -> wire.Message:
        """Calls one of a machine's own interfaces."""

        async def exchange() -> wire.Message:
            reader, writer = await asyncio.open_connection(
                ip, self.ports[port]
            )
            try:
                writer.write(wire.request("GET", path, ip))
                return await wire.read_message(reader)
            finally:
                writer.close()

        return await asyncio.wait_for(exchange(), 1.0)

    async def resolve(self, front: Front, zone: str) -> list[str]:
        """Asks a machine's directory for addresses; returns IP addresses."""
        region = self.regions_by_zone[zone]
        found = await self.call(
            front.ip,
            "directory",
            "/fuchsiacourse/resolve?name=shop.example"
            f"&region={region}&zone={zone}",
        )
        if found.status != 200:
            return []
        content = json.loads(found.body)
        return [item.rpartition(":")[0] for item in content["addresses"]]

    def send_signal(self, front: Front, number: signal.Signals) -> None:
        """Sends a signal to a machine's process."""
        assert front.process is not None
        self.record.note(f"signal    {number.name} to {front.name}")
        front.process.send_signal(number)

    async def stop_all(self) -> None:
        """Ends all processes that were started."""
        for front in self.fronts:
            process = front.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()

    def _settings(self, front: Front, is_first: bool) -> str:
        ports = self.ports
        seeds = [item.ip for item in self.fronts[:3]]
        fields = {
            "self.node": front.name,
            "self.role": "node",
            "self.machine_class": "front",
            "self.serves": "front,control,directory",
            "self.ip": front.ip,
            "self.zone": front.zone,
            "self.region": self.regions_by_zone[front.zone],
            "self.in_fault_budget": "false",
            "self.bootstrap": "true" if is_first else "false",
            "self.limits.cpu_share": "0.86",
            "self.limits.cores": "1",
            "self.limits.memory_mb": "300",
            "self.limits.max_fds": "4100",
            "self.limits.link_mbps": "1000.0",
            "self.limits.disk_mb": "0",
            "network.internal_ports": f"{ports['internal']}"
            f",{ports['internal'] + 15}",
            "network.seeds": ",".join(
                f"{ip}:{ports['control']}" for ip in seeds
            ),
            "platform.discovery": "platform",
            "platform.entry": "directory",
            "platform.heartbeat_ms": "1500",
            "platform.platform.address": "%s:%d" % self.store.address,
            "platform.platform.form": "objects",
            "platform.platform.writes_per_s": "400",
            "platform.platform.reads_per_s": "2000",
            "platform.platform.history_s": "20",
            "platform.platform.value_bytes": "1048576",
            "platform.platform.min_ttl_ms": "1000",
            "terms.contracts": "base,drain,config,cost,retry,recover,health"
            ",platform",
            "terms.fault_tolerance.machines": "2",
            "terms.fault_tolerance.zones": "0",
            "terms.fault_tolerance.regions": "0",
        }
        for name in ("front", "ready", "control", "directory"):
            fields[f"network.listen.{name}"] = f"{front.ip}:{ports[name]}"
        for zone, region in self.regions_by_zone.items():
            fields[f"network.zones.{zone}"] = region
        for name, value in BOUNDS.items():
            fields[f"terms.bounds.{name}"] = str(value)
        return "".join(f"{name}={value}\n" for name, value in fields.items())


# Bounds of the site file glenmorach-gw.toml, as the settings name them.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "stability_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_extra": 62,
    "recovery_s": 15,
    "ttl_max_s": 5,
    "probes_per_s": 3,
    "floor_share": 0.7,
}


def configuration(
    services: list[str], paths: list[dict], *, version: int = 7
) -> dict:
    """Returns a configuration of one host, as the operator writes it."""
    return {
        "version": f"r{version}",
        "services": [
            {
                "name": name,
                "health_check_path": "/health",
                "max_connections": 330,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "hosts": [{"host": "shop.example", "paths": paths}],
    }


def _free_ports(ips: list[str], count: int) -> int:
    """Returns the first of some ports that are free at all addresses."""
    for _ in range(100):
        first = random.randint(20_000, 30_000)
        if all(
            _is_free(ip, port)
            for ip in ips
            for port in range(first, first + count + 16)
        ):
            return first
    raise CannotRun("no free ports")


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True
