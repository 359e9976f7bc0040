"""Stand-ins for the scripts of the second review: store, upstream, client.

They need the standard library only. They speak what the users' pages say and
listen on loopback addresses. All of one run share one event loop; the fronts
are processes of their own, started with the command of the deploy file.
"""

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
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "bookings.example"
PREFIX = "x-fuchsiacourse-"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class CouldNotRun(Exception):
    """The case can't be played here."""


class Record:
    """Writes what happens to ``record.txt``, with the time in seconds."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():9.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


async def read_head(reader: asyncio.StreamReader):
    """Returns the first line, the headers in lower case and the raw head."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers) -> bytes:
    """Returns a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size)
            await reader.readline()
            if not size:
                return b"".join(parts)
            parts.append(part)
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's store: lists, reads and watches of objects by kind.

    ``loses`` decides for each answer whether it is lost; a connection on
    which an answer was lost returns nothing further.
    """

    def __init__(self, ip: str, record: Record) -> None:
        self.ip = ip
        self.record = record
        self.revision = 100
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self.loses = lambda path, events: False
        # Whether a call is turned away with 503.
        self.refuses = lambda peer, path: False
        self.answers = 0
        self.lost = 0
        self._changed = asyncio.Condition()
        self._server = None
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"

    async def put(self, kind: str, name: str, spec: dict) -> float:
        """Writes an object; returns the time of the acknowledgement."""
        self.revision += 1
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = item
        self.history.append((self.revision, kind, item, False))
        async with self._changed:
            self._changed.notify_all()
        return self.record.now()

    async def delete(self, kind: str, name: str) -> float:
        item = self.objects.pop((kind, name))
        self.revision += 1
        item["metadata"]["revision"] = self.revision
        self.history.append((self.revision, kind, item, True))
        async with self._changed:
            self._changed.notify_all()
        return self.record.now()

    async def _serve(self, reader, writer) -> None:
        peer = writer.get_extra_info("peername")[0]
        is_silent = False
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                if is_silent:
                    continue
                path = line.split()[1]
                status, content, events = await self._answer(peer, path)
                self.answers += 1
                if self.loses(path, events):
                    self.lost += 1
                    self.record.write(f"store loses the answer to {path}")
                    is_silent = True
                    continue
                body = json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (status, len(body), body)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, peer: str, path: str):
        if self.refuses(peer, path):
            return 503, {}, 0
        path, _, query = path.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        parts = path.removeprefix("/fuchsiacourse/objects/").split("/")
        kind = parts[0]
        if len(parts) > 1:
            item = self.objects.get((kind, urllib.parse.unquote(parts[1])))
            return (200, item, 0) if item else (404, {}, 0)
        if "watch" in fields:
            return await self._watch(kind, fields)
        items = sorted(
            (name, item)
            for (of, name), item in self.objects.items()
            if of == kind and name > fields.get("after", "")
        )
        page = [item for _, item in items[:500]]
        return (
            200,
            {
                "items": page,
                "has_more": len(items) > 500,
                "as_of": self.revision,
            },
            0,
        )

    async def _watch(self, kind: str, fields: dict):
        since = int(fields["watch"])
        until_s = time.monotonic() + int(fields.get("wait_ms", 0)) / 1000.0
        while True:
            events = [
                {"object": item, "deleted": deleted}
                for revision, of, item, deleted in self.history
                if of == kind and revision > since
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                content = {"events": events, "as_of": self.revision}
                return 200, content, len(events)
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    pass


class Upstream:
    """A server of one service that runs requests and records them."""

    def __init__(
        self,
        ip: str,
        id: str,
        service: str,
        zone: str,
        record: Record,
        *,
        work_s: float = 0.1,
        slots: int = 8,
    ) -> None:
        self.ip = ip
        self.id = id
        self.service = service
        self.zone = zone
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.address = ""
        # (time of arrival, request id, method, path) of what it has run.
        self.runs: list[tuple[float, str, str, str]] = []
        # Called before the work; may return bytes to answer instead.
        self.before = None
        # Headers that all answers carry besides, one a line.
        self.extra = ""
        self._server = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Ids of the requests that are running.
        self._running: set[str] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"

    def entry(self) -> dict:
        """Returns what the server says of itself in the store."""
        return {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": 1,
                "cold_remaining_ms": 0,
            },
        }

    def at_work(self) -> set[str]:
        """Returns the ids of the requests that run now."""
        return set(self._running)

    def exit(self) -> None:
        """Ends like a process that exits: its connections end as well."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        line, headers = await read_head(reader)
        arrived_s = self.record.now()
        body = await read_body(reader, headers)
        method, path, _ = line.split()
        id = headers.get(PREFIX + "request-id", "")
        if headers.get(PREFIX + "expected-instance", self.id) != self.id:
            writer.write(self.answer(421, id, b"", is_run=False))
            return True
        if self.before is not None:
            found = self.before(id, path, body)
            if found is not None:
                writer.write(found)
                return True
        self.record.write(
            f"upstream {self.id} ({self.service}) runs {id} {method} {path}"
        )
        self.runs.append((arrived_s, id, method, path))
        self._running.add(id)
        await asyncio.sleep(self.work_s)
        self._running.discard(id)
        writer.write(self.answer(200, id, b"done " + id.encode()))
        await writer.drain()
        return True

    def answer(
        self,
        status: int,
        id: str,
        body: bytes,
        *,
        is_run: bool = True,
        extra: str = "",
    ) -> bytes:
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        if id:
            lines.append(f"X-Fuchsiacourse-Request-Id: {id}")
        if is_run:
            lines.append(f"X-Fuchsiacourse-Response-Signature: s.{self.id}")
        else:
            lines.append("X-Fuchsiacourse-Not-Executed: 1")
        lines += [item for item in (self.extra, extra) if item]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Answer:
    """What a client got: status None if the connection ended first."""

    def __init__(self, status, headers, body, sent_s, ended_s) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.sent_s = sent_s
        self.ended_s = ended_s


async def request(
    address: str,
    id: str,
    path: str,
    record: Record,
    *,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 2500,
) -> Answer:
    """Sends one request on a new connection and returns what came."""
    ip, _, port = address.rpartition(":")
    sent_s = record.now()
    status, headers, got = None, {}, b""
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000.0 + 0.5):
            reader, writer = await asyncio.open_connection(ip, int(port))
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Fuchsiacourse-Request-Id: {id}\r\n"
                f"X-Fuchsiacourse-Request-Deadline: {deadline_ms}\r\n"
            )
            if body or method == "POST":
                head += f"Content-Length: {len(body)}\r\n"
            sent_s = record.now()
            writer.write(head.encode() + b"\r\n" + body)
            line, headers = await read_head(reader)
            got = await read_body(reader, headers)
            status = int(line.split()[1])
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    record.write(f"client: {id} {method} {path} at {sent_s:.3f} -> {status}")
    return Answer(status, headers, got, sent_s, record.now())


class Front:
    """A front process with its settings file."""

    def __init__(self, fleet: Fleet, ip: str, zone: str) -> None:
        self.fleet = fleet
        self.ip = ip
        self.zone = zone
        self.settings = fleet.folder / f"{ip}.conf"
        self.process: asyncio.subprocess.Process | None = None
        self.store_address = ""

    @property
    def address(self) -> str:
        return f"{self.ip}:{self.fleet.ports['front']}"

    async def start(self, *, is_first_start: bool = True) -> None:
        fleet = self.fleet
        self.settings.write_text(self.text(is_first_start), encoding="utf-8")
        deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )["roles"]["node"]
        words = shlex.split(deploy["run"])
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env.update(deploy.get("env", {}))
        env["METRICS_PORT"] = str(fleet.ports["metrics"])
        env["FUCHSIACOURSE_CONFIG"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (fleet.folder / f"{self.ip}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        fleet.record.write(f"front {self.ip} starts")

    def text(self, is_first_start: bool) -> str:
        ports = self.fleet.ports
        lines = [
            f"self.node=front-{self.ip}",
            "self.role=node",
            "self.machine_class=front",
            "self.serves=front,directory,control",
            f"self.ip={self.ip}",
            f"self.zone={self.zone}",
            f"self.region={self.fleet.regions[self.zone]}",
            "self.in_fault_budget=false",
            f"self.bootstrap={str(is_first_start).lower()}",
            "self.limits.cpu_share=0.86",
            "self.limits.cores=1",
            "self.limits.memory_mb=300",
            "self.limits.max_fds=4100",
            "self.limits.link_mbps=1000.0",
            "self.limits.disk_mb=0",
        ]
        for name in ("front", "ready", "control", "directory"):
            lines.append(f"network.listen.{name}={self.ip}:{ports[name]}")
        lines.append(f"network.internal_ports={ports['peer']},{ports['peer']}")
        seeds = [f"{ip}:{ports['control']}" for ip in self.fleet.ips[:3]]
        lines.append("network.seeds=" + ",".join(seeds))
        for zone, region in self.fleet.regions.items():
            lines.append(f"network.zones.{zone}={region}")
        lines += [
            "platform.discovery=platform",
            "platform.entry=directory",
            "platform.heartbeat_ms=1500",
            "platform.platform.address="
            + (self.store_address or self.fleet.store.address),
            "platform.platform.form=objects",
            "platform.platform.writes_per_s=400",
            "platform.platform.reads_per_s=2000",
            "platform.platform.history_s=20",
            "platform.platform.value_bytes=1048576",
            "platform.platform.min_ttl_ms=1000",
        ]
        bounds = {
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
        lines += [f"terms.bounds.{k}={v}" for k, v in bounds.items()]
        return "\n".join(lines) + "\n"

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.fleet.record.write(
                f"front {self.ip} gets {signal.Signals(number).name}"
            )

    async def wait_until_ready(self, limit_s: float = 20.0) -> None:
        ip, port = self.ip, self.fleet.ports["ready"]
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(ip, port)
                    writer.write(
                        b"GET /fuchsiacourse/ready HTTP/1.1\r\nHost: x\r\n\r\n"
                    )
                    line, _ = await read_head(reader)
                    writer.close()
                    if " 200 " in line + " ":
                        self.fleet.record.write(f"front {self.ip} is ready")
                        return
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"front {self.ip} was not ready in {limit_s} s")

    async def end(self) -> None:
        if self.process is None:
            return
        if self.process.returncode is None:
            for number in (signal.SIGCONT, signal.SIGKILL):
                self.process.send_signal(number)
        await self.process.wait()


class Fleet:
    """A store, upstreams and fronts on loopback addresses of their own."""

    def __init__(
        self,
        record: Record,
        zones: list[str],
        regions: dict[str, str] | None = None,
    ) -> None:
        self.record = record
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.ips = [f"{net}.{10 + i}" for i in range(len(zones))]
        self.upstream_ip = f"{net}.100"
        self.regions = regions or {zone: "tunis-nord" for zone in zones}
        self.store = Store(f"{net}.1", record)
        self.fronts = [Front(self, ip, z) for ip, z in zip(self.ips, zones)]
        self.upstreams: list[Upstream] = []
        self.version = 3
        names = ("front", "ready", "control", "directory", "peer", "metrics")
        self.ports = dict(zip(names, self._free_ports(len(names))))

    def _free_ports(self, count: int) -> list[int]:
        found: list[int] = []
        while len(found) < count:
            port = random.randint(20_000, 32_000)
            if port not in found and all(
                _is_free(ip, port) for ip in self.ips
            ):
                found.append(port)
        return found

    async def add_upstream(self, service: str, zone: str, **options):
        id = f"i-{len(self.upstreams):02d}{random.randint(0, 2**32):08x}"
        item = Upstream(
            self.upstream_ip, id, service, zone, self.record, **options
        )
        await item.start()
        self.upstreams.append(item)
        await self.store.put("servers", id, item.entry())
        return item

    async def write_config(self, paths: list[dict], **limits) -> float:
        """Writes a newer configuration; returns when it is acknowledged."""
        self.version += random.randint(1, 4)
        spec = {
            "version": f"r{self.version}",
            "services": [
                {
                    "name": name,
                    "health_check_path": "/health",
                    "max_connections": 390,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in sorted({p["service"] for p in paths})
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
                **limits,
            },
            "hosts": [{"host": HOST, "paths": paths}],
        }
        at_s = await self.store.put("config", "main", spec)
        routes = ", ".join(f"{p['path_prefix']} {p['service']}" for p in paths)
        self.record.write(f"operator: r{self.version} is stored ({routes})")
        return at_s

    async def start(self) -> None:
        for front in self.fronts:
            await front.start()
        for front in self.fronts:
            await front.wait_until_ready()

    async def end(self) -> None:
        for front in self.fronts:
            await front.end()
        self._temporary.cleanup()


def path_entry(
    prefix: str,
    service: str,
    kind: str,
    *,
    timeout_ms: int = 2500,
    max_attempts: int = 2,
) -> dict:
    """Returns a route as the operator writes it."""
    return {
        "name": "r" + prefix.replace("/", "-"),
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 1000,
        "priority": 1,
        "service": service,
        "max_attempts": max_attempts,
    }


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


def main(play, folder: pathlib.Path) -> int:
    """Plays a case: ``play(record, has_trouble)`` returns what was broken."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={int(has_trouble)}")
    if not (ROOT / "target" / "deps").is_dir():
        record.write(
            "target/deps is missing: run the build of the deploy file"
        )
        return COULD_NOT_RUN
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, has_trouble), 115))
    except Exception as error:
        # An error of the script itself must not look like a broken rule.
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return COULD_NOT_RUN
    for line in broken:
        record.write(f"BROKEN {line}")
    print("\n".join(broken[-3:]) if broken else "held")
    record.write("the rule was broken" if broken else "the rule held")
    record.close()
    return BROKEN if broken else HELD
