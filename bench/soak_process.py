"""Processes of the soak test: the real services on a fake network."""

from __future__ import annotations

import abc
import random
import typing

from bench import fake_datagrams
from bench import fake_links
from bench import fake_peers
from bench import fake_store
from bench import paused_clock
from bench import plain_health
from bench import soak_targets
from fuchsiacourse import caller_request
from fuchsiacourse import dispatch
from fuchsiacourse import dispatch_service
from fuchsiacourse import entry_service
from fuchsiacourse import logs
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import node as nodes
from fuchsiacourse import node_program
from fuchsiacourse import platform_model
from fuchsiacourse import settings as settings_files
from fuchsiacourse import shard_maintenance
from fuchsiacourse import timers as timer_services

DEPLOYMENT_KEY = "soak-deployment-key"


class Place:
    """Location of a process.

    Args:
        region: Region of the host.
        availability_zone: Availability zone of the host.
        ip: IP address, unique to this process.
    """

    __slots__ = ("region", "availability_zone", "ip")

    def __init__(
        self, *, region: str, availability_zone: str, ip: str
    ) -> None:
        self.region = region
        self.availability_zone = availability_zone
        self.ip = ip


class Surroundings:
    """Network, platform and targets that all processes of a run share.

    Args:
        links: Loss, delay and cuts of the network.
        platform: Platform's object API.
        targets: Targets of all services.
        seeds: Gossip addresses for new processes.
        on_broken: Called with a text for each broken guarantee.
        on_invariant_failure: Called with a text for each failed invariant
            of the product.
    """

    def __init__(
        self,
        *,
        links: fake_links.FakeLinks,
        platform: platform_model.PlatformModel,
        targets: soak_targets.SoakTargets,
        seeds: list[str],
        on_broken: typing.Callable[[str], None],
        on_invariant_failure: typing.Callable[[str], None],
    ) -> None:
        self.links = links
        self.platform = platform
        self.targets = targets
        self.seeds = seeds
        self.on_broken = on_broken
        self.on_invariant_failure = on_invariant_failure
        self.datagrams = fake_datagrams.FakeDatagramNetwork(links=links)
        self.network = fake_peers.FakeNetwork(links=links)


class SoakProcess(abc.ABC):
    """A process that joins the fleet when it is started.

    Args:
        place: Location of the process.
        surroundings: Resources shared by all processes.
        seed: Seed of its randomness.
    """

    role = ""

    def __init__(
        self, *, place: Place, surroundings: Surroundings, seed: str
    ) -> None:
        self.place = place
        self.surroundings = surroundings
        self.rng = random.Random(seed)
        self.gate = surroundings.links.gate(place.ip)
        self.clock = paused_clock.PausedClock(gate=self.gate)
        self.timers = timer_services.Timers(
            clock=self.clock, rng=self.rng, on_error=self._on_timer_error
        )
        self.store = fake_store.FakeStore(
            platform=surroundings.platform,
            clock=self.clock,
            timers=self.timers,
            rng=self.rng,
        )
        self.peers = fake_peers.FakePeers(
            network=surroundings.network, source=place.ip
        )
        self.settings = self._settings()
        self.node = nodes.Node(
            settings=self.settings,
            role=self.role,
            clock=self.clock,
            timers=self.timers,
            rng=self.rng,
            datagram=surroundings.datagrams.endpoint(
                self.settings.gossip_address
            ),
            store=self.store,
            peers=self.peers,
            log=logs.silent(),
            on_broken=self._on_broken,
        )
        self.started_s = self.clock.now()
        self.is_closed = False
        self.is_stopping = False

    @property
    def id(self) -> str:
        """Member id."""
        return self.node.members.self.id

    @property
    def is_running(self) -> bool:
        """Whether the process has neither ended nor begun its shutdown."""
        return not (self.is_closed or self.is_stopping or self.gate.is_killed)

    @abc.abstractmethod
    def _settings(self) -> settings_files.NodeSettings:
        """Returns the settings of the program."""

    @abc.abstractmethod
    def _serve(self) -> None:
        """Registers the handlers of the program."""

    @abc.abstractmethod
    async def _drain(self) -> None:
        """Finishes the work in flight as the program does."""

    def start(self) -> None:
        """Registers the handlers and joins the fleet."""
        self._serve()
        self.node.start()

    async def stop(self) -> None:
        """Shuts down as the program does on SIGTERM."""
        self.is_stopping = True
        await self._drain()
        if self.node.members.self.state is not member_rows.State.LEFT:
            self.node.set_state(member_rows.State.LEFT)
        await self.clock.sleep(node_program.GOSSIP_FLUSH_S)
        cut_off = self._close()
        if cut_off:
            self.surroundings.on_broken(
                f"graceful_stop: the stop of {self.role} {self.id} cut off"
                f" {', '.join(cut_off)}"
            )

    def kill(self) -> None:
        """Ends the process without notice."""
        self.is_closed = True
        self.surroundings.network.kill(self.place.ip)

    def base_settings(self) -> dict[str, typing.Any]:
        """Returns the settings that entry and dispatch share."""
        ip = self.place.ip
        return {
            "program": self.role,
            "host": ip,
            "availability_zone": self.place.availability_zone,
            "region": self.place.region,
            "gossip_address": f"{ip}:7000",
            "rpc_address": f"{ip}:7001",
            "status_address": f"{ip}:7002",
            "seeds": list(self.surroundings.seeds),
            "deployment_key": DEPLOYMENT_KEY,
            "platform": {"url": "http://10.0.0.1:80"},
        }

    def _close(self) -> list[str]:
        self.is_closed = True
        cut_off = self.surroundings.network.close(self.settings.rpc_address)
        self.node.close()
        self.timers.close()
        return cut_off

    def _on_timer_error(self, error: Exception) -> None:
        self.surroundings.on_broken(
            f"run: timer callback of {self.role} {self.id} failed: {error!r}"
        )

    def _on_broken(
        self, invariant_id: typing.Any, evidence: dict[str, typing.Any]
    ) -> None:
        self.surroundings.on_invariant_failure(
            f"{invariant_id.value}: {self.role} {self.id}: {evidence}"
        )


class SoakEntry(SoakProcess):
    """A process that runs the entry service."""

    role = member_tables.ENTRY

    def __init__(self, **options: typing.Any) -> None:
        super().__init__(**options)
        self.service = entry_service.EntryService(
            settings=self.settings,
            clock=self.clock,
            timers=self.timers,
            rng=self.rng,
            members=self.node.members,
            config=self.node.config,
            peers=self.peers,
            store=self.store,
            invariants=self.node.invariants,
            log=logs.silent(),
        )

    def _settings(self) -> settings_files.EntrySettings:
        return settings_files.EntrySettings.model_validate(
            {
                **self.base_settings(),
                "http_address": f"{self.place.ip}:8080",
                "claim_writes_per_s": 20.0,
                "drain_max_s": 60.0,
            }
        )

    def _serve(self) -> None:
        network = self.surroundings.network
        network.register(
            self.settings.rpc_address,
            relay=self.service.relay,
            hand_over=self.service.hand_over,
            fetch_config=self.node.config_agent.fetch,
        )
        network.register(
            self.settings.http_address,
            handle=self.service.handle,
            address_list=self._address_list,
        )

    async def _address_list(self, account: str) -> typing.Any:
        return self.service.address_list(account)

    async def _drain(self) -> None:
        await self.service.drain()

    def _close(self) -> list[str]:
        network = self.surroundings.network
        cut_off = network.close(self.settings.http_address)
        return cut_off + super()._close()


class SoakDispatch(SoakProcess):
    """A process that runs the dispatch service."""

    role = member_tables.DISPATCH

    def __init__(self, **options: typing.Any) -> None:
        super().__init__(**options)
        self.target_client = soak_targets.ProcessTargets(
            targets=self.surroundings.targets, gate=self.gate, rng=self.rng
        )
        self.service = dispatch_service.DispatchService(
            settings=self.settings,
            clock=self.clock,
            timers=self.timers,
            rng=self.rng,
            members=self.node.members,
            config=self.node.config,
            target_client=self.target_client,
            store=self.store,
            invariants=self.node.invariants,
            log=logs.silent(),
            health_factory=_health_factory(),
        )

    def _settings(self) -> settings_files.DispatchSettings:
        return settings_files.DispatchSettings.model_validate(
            {**self.base_settings(), "drain_max_s": 60.0}
        )

    def _serve(self) -> None:
        self.service.start()
        self.surroundings.network.register(
            self.settings.rpc_address,
            execute=self.service.execute,
            withdraw=self.service.withdraw,
            fetch_config=self.node.config_agent.fetch,
        )

    async def _drain(self) -> None:
        self.node.set_state(member_rows.State.LEAVING)
        await self.service.drain()
        await self.clock.sleep(dispatch.LINGER_S)

    def kill(self) -> None:
        """Ends the process without notice."""
        super().kill()
        self.target_client.kill()


def _health_factory() -> typing.Any:
    # A version without failure detection in dispatch uses plain health.
    if hasattr(shard_maintenance, "healths"):
        return None
    return lambda shard: plain_health.PlainHealth(shard=shard)


def new_request(
    *,
    path: str,
    account: str,
    key: str,
    attempt: int,
    body: bytes,
    deadline_ms: int,
) -> caller_request.CallerRequest:
    """Returns a caller's request; a request without a key is a lookup."""
    return caller_request.CallerRequest(
        method="POST" if key else "GET",
        path=path,
        body=body,
        account=account,
        key=key,
        attempt=attempt,
        request_id=f"{path}#{attempt}",
        deadline_ms=deadline_ms,
    )
