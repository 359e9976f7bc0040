"""Copies of the store's objects that the fronts of a zone share."""

from __future__ import annotations

import abc
import asyncio
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse.front import copy_exchange
from fuchsiacourse.front import membership as memberships
from fuchsiacourse.front import object_copy
from fuchsiacourse.front import peer_state
from fuchsiacourse.front import relay_election
from fuchsiacourse.front import store_view
from fuchsiacourse import logs
from fuchsiacourse import store as stores
from fuchsiacourse import timers as timer_services

# Interval at which a front that watches for others asks the store for a sign
# of life, and the wait for it, in seconds. A watch that the store has given
# up looks like one without changes; the two together leave the others half
# of the two seconds that a leaving target allows.
PING_INTERVAL_S = 0.7
PING_TIMEOUT_S = 0.5
# A watch that was cut is opened again within this time, in seconds; a longer
# gap ends the contact.
MAX_CONTACT_GAP_S = 0.5
# A front that has lost the store is not chosen for this time, in seconds.
LOST_MEMORY_S = 10.0
# Interval at which silent fronts are noticed, in seconds.
DECIDE_S = 0.25
# Time in which the store's answer to a watch follows the news of a change
# from another front, in seconds; a slow store takes some hundred
# milliseconds.
NEWS_GRACE_S = 0.4
# A front whose relay has not looked around for this time was suspended or
# stopped, in seconds; slow hosts run late by some hundred milliseconds.
PAUSE_S = 1.0
# Time in which packets that arrived during a pause are read, in seconds.
SETTLE_S = 0.1
# A front that did not give its copy is not asked for this time, in seconds.
AVOID_S = 1.0


class CopyFollower(abc.ABC):
    """A copy that the relay keeps up to date."""

    prefix: str
    copy: object_copy.ObjectCopy

    @property
    @abc.abstractmethod
    def unreachable_s(self) -> float:
        """Seconds since the store was lost, 0 while it is reached."""

    @property
    @abc.abstractmethod
    def stale_s(self) -> float:
        """Seconds since the copy may lack changes, 0 if it has all."""

    @property
    @abc.abstractmethod
    def waited_s(self) -> float:
        """Seconds for which the present watch has waited, 0 without one."""

    @abc.abstractmethod
    def revision_of(self, view: store_view.StoreView) -> int:
        """Returns the revision of another front's copy."""

    @abc.abstractmethod
    def wake(self) -> None:
        """Looks for the source of the copy again."""

    @abc.abstractmethod
    def on_contact_confirmed(self) -> None:
        """Notes that a front of the zone vouches for the store."""

    @abc.abstractmethod
    def mark_stale(self) -> None:
        """Gives up the watch; the copy may lack changes."""

    @abc.abstractmethod
    def cancel_watch(self) -> None:
        """Gives up the watch that is waiting; the store is silent."""


class StoreRelay:
    """Decides where the copies of a front come from.

    Args:
        clock: Source of time.
        timers: Timer service.
        ip: IP number of this front.
        capacity: Bandwidth of the host's link in Mbit/s, at most 255.
        fleet: The other fronts.
        store: The platform's store.
        source: Copies of other fronts.
        log: Logger.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        timers: timer_services.Timers,
        ip: str,
        capacity: int,
        membership: memberships.Membership,
        store: stores.Store,
        source: copy_exchange.CopySource,
        log: typing.Any,
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._capacity = capacity
        self._membership = membership
        self._store = store
        self._source = source
        self._log = log
        self._plan = relay_election.RelayElection(ip=ip, start_s=clock.now())
        self._copying: list[CopyFollower] = []
        self._avoid_until_s_by_ip: dict[str, float] = {}
        # Monotonic time at which a newer copy was first heard of.
        self._behind_at_s_by_prefix: dict[str, float] = {}
        self._lost_until_s = float("-inf")
        self._silent_until_s = float("-inf")
        # Time of the last look at other fronts, on the clock that runs on
        # while the host is suspended, in seconds.
        self._looked_at_s = clock.time_since_boot()
        # Monotonic time before which packets say what was so before a pause.
        self._settled_at_s = float("-inf")
        self._has_proof = False
        self._was_proven = False
        # Fronts of the zone with proven contact, at the last decision.
        self._proven: list[peer_state.PeerState] = []

    @property
    def watches(self) -> bool:
        """Whether this front follows the store itself."""
        return self._plan.watches

    @property
    def has_store_contact(self) -> bool:
        """Whether this front or one that it copies from has contact.

        A front that has just started has read the store a moment ago.
        """
        return (
            self.watches
            or bool(self._proven)
            or self._plan.is_starting(self._clock.now())
        )

    @property
    def has_paused(self) -> bool:
        """Whether this front has stood still and not looked around since."""
        return self._clock.time_since_boot() - self._looked_at_s > PAUSE_S

    @property
    def is_contact_confirmed(self) -> bool:
        """Whether another front of the zone proves contact."""
        return bool(self._proven)

    @property
    def is_recovery_prober(self) -> bool:
        """Whether others wait for this front's word of a lost store."""
        return self._plan.is_recovery_prober

    def add(self, copying: CopyFollower) -> None:
        """Adds a copy; the configuration's comes first."""
        self._copying.append(copying)

    def find(self, prefix: str) -> object_copy.ObjectCopy | None:
        """Returns the copy under a prefix, None if there is none."""
        for copying in self._copying:
            if copying.prefix == prefix and copying.copy.revision > 0:
                return copying.copy
        return None

    def start(self) -> None:
        """Starts to take decisions."""
        self._membership.on_store_view_change(self.decide)
        self._timers.every(DECIDE_S, self.decide, jitter=0.1)
        self._timers.every(PING_INTERVAL_S, self._prove, jitter=0.1)

    def view(self) -> store_view.StoreView:
        """Returns what this front tells of its contact and copies."""
        revisions = [item.copy.changed_revision for item in self._copying]
        config, targets = revisions or (0, 0)
        return store_view.StoreView(
            is_proven=self._is_proven(),
            is_lost=self._clock.now()
            < max(self._lost_until_s, self._silent_until_s),
            capacity=self._capacity,
            config_revision=config,
            target_revision=targets,
        )

    def on_watch_opened(self) -> None:
        """Asks for a sign of life at the moment at which a watch is opened.

        A silence between two other signs may have swallowed the watch.
        """
        if self._has_proof:
            self._timers.spawn(self._prove())

    def on_copy_changed(self) -> None:
        """Tells the region that a copy of this front is newer."""
        if self._is_proven():
            self._membership.announce()

    def on_store_lost(self) -> None:
        """Notes that the store was not reached."""
        self._lost_until_s = self._clock.now() + LOST_MEMORY_S
        self._has_proof = False
        self._tell_contact()

    def on_store_regained(self) -> None:
        """Notes that the store was reached again."""
        self._lost_until_s = float("-inf")

    def decide(self) -> None:
        """Looks at the other fronts of the zone."""
        now_s = self._clock.now()
        if self.has_paused:
            self._resume(now_s)
        self._looked_at_s = self._clock.time_since_boot()
        peers = self._peers()
        self._proven = [
            peer
            for peer in peers
            if relay_election.is_proven(peer)
            and peer.last_packet_s > self._settled_at_s
        ]
        if self._plan.decide(now_s, self.view(), peers):
            logs.event(
                self._log,
                "store_relay_changed",
                watches=self.watches,
                chosen=self._plan.is_elected,
                proven_fronts=len(self._proven),
                heard_fronts=len(peers),
            )
            if self._plan.is_elected:
                self._timers.spawn(self._prove())
            self._change_source()
        if not self.watches and self._proven:
            for copying in self._copying:
                copying.on_contact_confirmed()
        for copying in self._copying:
            self._check_watch(copying)
            if self.source_of(copying) is not None:
                copying.wake()

    def source_of(self, copying: CopyFollower) -> str | None:
        """Returns the IP number of a front with a newer copy, if needed."""
        if copying.copy.revision == 0 and copying.unreachable_s > 0.0:
            # An old copy is better than none.
            peers = self._membership.live_members()
        elif not self.watches or copying.unreachable_s or copying.stale_s:
            peers = self._proven
        else:
            return None
        now_s = self._clock.now()
        for peer in peers:
            if (
                peer.view is not None
                and copying.revision_of(peer.view) > copying.copy.revision
                and self._avoid_until_s_by_ip.get(peer.ip, 0.0) <= now_s
            ):
                return peer.ip
        return None

    async def fetch(
        self, ip: str, copying: CopyFollower
    ) -> object_copy.CopyUpdate | None:
        """Returns what another front knows; None if it gives nothing."""
        revision = copying.copy.revision
        try:
            part = await self._source.fetch(ip, copying.prefix, revision)
            if part.revision <= revision:
                raise errors.PeerError(f"{ip} is at {part.revision}")
            return part
        except errors.PeerError as error:
            logs.warning(
                self._log,
                "copy_not_given",
                front=ip,
                prefix=copying.prefix,
                revision=revision,
                error=str(error),
            )
            self._avoid_until_s_by_ip[ip] = self._clock.now() + AVOID_S
            self.decide()
            return None

    def _check_watch(self, copying: CopyFollower) -> None:
        """Gives up a watch that has not brought what others know.

        Others may know it without a proof of contact: only the store gives
        revisions.
        """
        own = copying.copy.revision
        newest = max(
            (
                copying.revision_of(member.view)
                for member in self._membership.live_members()
                if member.view is not None
            ),
            default=0,
        )
        if newest <= own:
            self._behind_at_s_by_prefix.pop(copying.prefix, None)
            return
        now_s = self._clock.now()
        heard_s = self._behind_at_s_by_prefix.setdefault(copying.prefix, now_s)
        overdue_s = min(now_s - heard_s, copying.waited_s)
        if overdue_s < NEWS_GRACE_S or copying.stale_s:
            return
        logs.warning(
            self._log,
            "store_watch_given_up",
            prefix=copying.prefix,
            revision=own,
            newest=newest,
            waited_s=round(copying.waited_s, 2),
        )
        copying.mark_stale()

    def _resume(self, now_s: float) -> None:
        """Doubts all copies: changes may have been missed in a pause."""
        self._settled_at_s = now_s + SETTLE_S
        logs.warning(
            self._log,
            "pause_noticed",
            paused_s=round(
                self._clock.time_since_boot() - self._looked_at_s, 2
            ),
            watches=self.watches,
        )
        for copying in self._copying:
            copying.mark_stale()

    def _change_source(self) -> None:
        """Lets the copies follow the store, or other fronts again."""
        for copying in self._copying:
            copying.wake()
            if self.watches and not self._proven and copying.copy.revision:
                # Nobody has confirmed it since the last contact was lost.
                copying.mark_stale()

    async def _prove(self) -> None:
        if not (self.watches and self._plan.is_elected):
            self._has_proof = False
            return
        try:
            await asyncio.wait_for(self._store.ping(), PING_TIMEOUT_S)
        except (errors.StoreError, TimeoutError) as error:
            if self._has_proof:
                logs.warning(self._log, "store_silent", error=repr(error))
                for copying in self._copying:
                    copying.cancel_watch()
            self._silent_until_s = self._clock.now() + LOST_MEMORY_S
            self._has_proof = False
            self._tell_contact()
            return
        self._has_proof = True
        self._tell_contact()

    def _tell_contact(self) -> None:
        if self._was_proven != self._is_proven():
            self._was_proven = not self._was_proven
            logs.event(
                self._log, "store_contact_told", is_proven=self._was_proven
            )
            self._membership.announce_in_zone()

    def _is_proven(self) -> bool:
        return (
            self._has_proof
            and self.watches
            and all(
                item.copy.revision > 0
                and max(item.unreachable_s, item.stale_s) <= MAX_CONTACT_GAP_S
                for item in self._copying
            )
        )

    def _peers(self) -> list[peer_state.PeerState]:
        now_s = self._clock.now()
        return [
            member
            for member in self._membership.zone_members()
            if self._avoid_until_s_by_ip.get(member.ip, 0.0) <= now_s
        ]
