"""Agent that keeps the newest configuration in force in a process.

Watchers, three dispatch processes of each region, watch the manifest and
poll it as well. All other processes learn the number from gossip and fetch
the configuration from a peer that announced it.

Calls to the platform, with R regions, W = 3 watchers each, P processes,
u configuration changes a second and c changed services in each:

    steady reads/s = R * W * (1 / POLL_S + 1 / WATCH_S + u * (1 + c))

This is 0.8/s with 2 regions, and 2.4/s + 36 * u with 6 regions and c = 1.
If no process can reach a peer, each of them considers itself a watcher. If
numbers arrive but no peer answers, each reads from the store after its
back-off, on average 0.75 * _STORE_MAX_S. The two bounds are:

    reads/s <= P * (1 / POLL_S + 1 / WATCH_S)
    reads/s <= P / 7.5

Both are 1,520/s for 11,400 processes. There are no writes.
"""

from __future__ import annotations

import asyncio
import collections
import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import config_bundle
from fuchsiacourse import config_peers
from fuchsiacourse import config_source
from fuchsiacourse import config_table
from fuchsiacourse import config_watch
from fuchsiacourse import errors
from fuchsiacourse import fleet_pb2
from fuchsiacourse import logs
from fuchsiacourse import manifest as manifests
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import peers as peer_calls
from fuchsiacourse import retry_backoff
from fuchsiacourse import service_file
from fuchsiacourse import store as stores
from fuchsiacourse import timers as timer_services

# Seconds, before jitter, during which a new process asks only peers and does
# not read from the store.
STORE_AFTER_S = 4.0
_BOOTSTRAP_BACKOFF_MAX_S = 2.0
# Minimum seconds between rounds of requests to peers.
_ROUND_MIN_S = 0.2
# Back-off between reads from the store, in seconds. Watchers are few and read
# at once; the other processes first give peers time to answer.
_STORE_FIRST_S = 1.0
_STORE_MAX_S = 10.0
_WATCHER_MAX_S = 2.0
# Number of past manifests kept as bases for differences sent to peers.
_HISTORY = 8

_SOURCE_ERRORS = (
    errors.PeerError,
    errors.StoreError,
    errors.ServiceFileError,
)


class ConfigAgent:
    """Finds, checks and adopts configurations and serves them to peers.

    Args:
        clock: Source of time.
        timers: Runs the watch, the poll and the fetches.
        rng: Source of jitter and of the choice of peers.
        members: Table of the fleet's members.
        config: Configuration in force.
        store: Client of the platform's object API.
        peers: Client of the other processes.
        gossip: Its ``set_config_number`` is called after an adoption; may
            be assigned later as an attribute.
        log: Logger.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        timers: timer_services.Timers,
        rng: random.Random,
        members: member_tables.Members,
        config: config_table.ConfigTable,
        store: stores.Store,
        peers: peer_calls.Peers,
        gossip: typing.Any = None,
        log: typing.Any,
    ) -> None:
        self.gossip = gossip
        self._clock = clock
        self._timers = timers
        self._rng = rng
        self._members = members
        self._config = config
        self._watch = config_watch.ConfigWatch(
            clock=clock,
            timers=timers,
            rng=rng,
            members=members,
            store=store,
            on_manifest=self._on_manifest,
            log=log,
        )
        self._source = config_source.ConfigSource(store=store, peers=peers)
        self._log = log
        self._bundle = config_bundle.ConfigBundle()
        self._history: collections.OrderedDict[int, manifests.Manifest] = (
            collections.OrderedDict()
        )
        self._bodies_by_digest: config_source.Bodies = {}
        self._stored_offer: config_source.Offer | None = None
        self._wanted_number = 0
        # Highest number whose bodies this process can't parse.
        self._refused_number = 0
        self._peer_choice = config_peers.ConfigPeers(members=members, rng=rng)
        self._is_syncing = False
        self._new_peer = asyncio.Event()
        self._adopting = asyncio.Lock()
        self._handles: list[timer_services.TimerHandle] = []

    def start(self) -> None:
        """Starts the bootstrap and the watch in the background."""
        self._handles = [self._timers.spawn(self._bootstrap())]
        self._watch.start()

    def close(self) -> None:
        """Stops all activity; the configuration stays in force."""
        self._watch.close()
        for handle in self._handles:
            handle.cancel()
        self._handles = []

    def on_number(self, number: int, member: member_rows.Member) -> None:
        """Starts to fetch a configuration that a member announces, if newer.

        Args:
            number: Number of the configuration in force there.
            member: Member to fetch it from.
        """
        if number <= max(self._config.number, self._refused_number):
            return
        if self._peer_choice.record_announcer(member.id):
            self._new_peer.set()
        self._start_sync(number)

    async def fetch(
        self, request: fleet_pb2.FetchRequest
    ) -> fleet_pb2.FetchReply:
        """Answers a peer's request from the configuration in force."""
        base = self._history.get(request.number)
        if request.number == 0:
            base = manifests.EMPTY
        return self._bundle.reply(request, base)

    def _start_sync(self, number: int) -> None:
        self._wanted_number = max(self._wanted_number, number)
        if self._is_syncing:
            return
        self._is_syncing = True
        self._handles[1:] = [self._timers.spawn(self._sync())]

    async def _sync(self) -> None:
        is_watcher = self._watch.is_watcher
        store_backoff = retry_backoff.RetryBackoff(
            rng=self._rng,
            first_s=_STORE_FIRST_S,
            max_s=_WATCHER_MAX_S if is_watcher else _STORE_MAX_S,
        )
        backoff = retry_backoff.RetryBackoff(rng=self._rng)
        store_due_s = self._clock.now()
        if not is_watcher:
            store_due_s += store_backoff.next()
        try:
            while self._wanted_number > max(
                self._config.number, self._refused_number
            ):
                is_store_due = self._clock.now() >= store_due_s
                if is_store_due:
                    store_due_s = self._clock.now() + store_backoff.next()
                if await self._sync_round(is_store_due):
                    continue
                due_s = self._clock.now() + backoff.next()
                await self._pause(min(due_s, store_due_s))
        finally:
            self._is_syncing = False

    async def _sync_round(self, is_store_due: bool) -> bool:
        if is_store_due and await self._adopt_from_store():
            return True
        for address in self._peer_choice.holders(self._wanted_number):
            if await self._adopt_from_peer(address):
                return True
        return False

    async def _pause(self, until_s: float) -> None:
        """Waits until a monotonic time or until a new peer announces."""
        await self._clock.sleep(_ROUND_MIN_S)
        self._new_peer.clear()
        handle = self._timers.after(
            until_s - self._clock.now(), self._new_peer.set
        )
        await self._new_peer.wait()
        handle.cancel()

    async def _adopt_from_peer(self, address: str) -> bool:
        offer = await self._peer_offer(address)
        return offer is not None and await self._adopt(offer)

    async def _peer_offer(self, address: str) -> config_source.Offer | None:
        try:
            return await self._source.peer_offer(
                address, self._bundle.manifest
            )
        except _SOURCE_ERRORS as error:
            self._log_failed(address, error)
            return None

    async def _adopt_from_store(self) -> bool:
        stored = self._stored_offer
        if (
            stored is not None
            and stored.manifest.number >= self._wanted_number
        ):
            return await self._adopt(stored)
        try:
            offer = await self._source.store_offer()
        except _SOURCE_ERRORS as error:
            self._log_failed("store", error)
            return False
        return offer is not None and await self._adopt(offer)

    async def _adopt(self, offer: config_source.Offer) -> bool:
        """Puts an offered configuration in force.

        Returns:
            Whether no other source is needed: the offer is in force now, or
            this process can't parse it and keeps the previous configuration.
        """
        async with self._adopting:
            number = offer.manifest.number
            held = self._bundle
            if number <= max(held.manifest.number, self._refused_number):
                return False
            try:
                bodies = await self._source.complete(
                    offer, held.manifest, self._bodies_by_digest
                )
            except _SOURCE_ERRORS as error:
                self._log_failed(offer.address or "store", error)
                return False
            try:
                services = await self._parsed(offer.manifest, bodies)
            except errors.ServiceFileError as error:
                self._refuse(number, error)
                return True
            self._put_in_force(
                held.with_manifest(offer.manifest, bodies), services
            )
            return True

    async def _parsed(
        self, manifest: manifests.Manifest, bodies: config_source.Bodies
    ) -> dict[str, service_file.ServiceFile]:
        services = {
            name: held
            for name, held in self._config.services_by_name.items()
            if name in manifest.services
        }
        for name, body in bodies.items():
            version = manifest.services[name].version
            source = manifests.body_key(name, version)
            parsed = service_file.parse(body, source=source)
            if parsed.service != name:
                raise errors.ServiceFileError(
                    f"{source}: body is of service {parsed.service}"
                )
            services[name] = parsed
            # Yields to requests between the bodies of a large change.
            await self._clock.sleep(0)
        return services

    def _put_in_force(
        self,
        bundle: config_bundle.ConfigBundle,
        services: dict[str, service_file.ServiceFile],
    ) -> None:
        number = bundle.manifest.number
        self._bundle = bundle
        self._history[number] = bundle.manifest
        while len(self._history) > _HISTORY:
            self._history.popitem(last=False)
        self._bodies_by_digest = {}
        self._stored_offer = None
        self._peer_choice.clear_announcers()
        self._config.adopt(number, services)
        logs.event(
            self._log,
            "config_adopted",
            number=number,
            publish_id=bundle.manifest.publish_id,
            services=len(services),
        )
        if self.gossip is not None:
            self.gossip.set_config_number(number)
        else:
            own = self._members.self
            own.config_number = number
            self._members.notify(own)

    def _refuse(self, number: int, error: Exception) -> None:
        self._refused_number = max(self._refused_number, number)
        logs.warning(
            self._log,
            "config_refused",
            number=number,
            in_force=self._config.number,
            reason=str(error),
        )

    async def _bootstrap(self) -> None:
        backoff = retry_backoff.RetryBackoff(
            rng=self._rng, max_s=_BOOTSTRAP_BACKOFF_MAX_S
        )
        store_backoff = retry_backoff.RetryBackoff(
            rng=self._rng, first_s=STORE_AFTER_S, max_s=_STORE_MAX_S
        )
        store_due_s = self._clock.now() + store_backoff.next()
        while not self._config.number:
            if await self._bootstrap_from_peers():
                return
            if self._clock.now() >= store_due_s:
                store_due_s = self._clock.now() + store_backoff.next()
                await self._adopt_from_store()
            await self._clock.sleep(backoff.next())

    async def _bootstrap_from_peers(self) -> bool:
        """Adopts the higher number offered by peers in two zones."""
        addresses = self._peer_choice.peers_in_two_zones()
        offers = await asyncio.gather(
            *(self._peer_offer(address) for address in addresses)
        )
        found = sorted(
            (offer for offer in offers if offer is not None),
            key=lambda offer: -offer.manifest.number,
        )
        for offer in found:
            if await self._adopt(offer):
                return True
        return False

    def _on_manifest(self, found: manifests.Manifest) -> None:
        if found.number < self._config.number:
            logs.warning(
                self._log,
                "stored_manifest_is_older",
                number=found.number,
                in_force=self._config.number,
            )
        if found.number <= max(self._config.number, self._refused_number):
            return
        self._stored_offer = config_source.Offer(
            manifest=found, bodies_by_name={}
        )
        self._start_sync(found.number)

    def _log_failed(self, source: str, error: Exception) -> None:
        logs.event(
            self._log, "config_fetch_failed", source=source, reason=str(error)
        )
