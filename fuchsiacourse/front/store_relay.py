"""Shares the copies of the store's objects among the fronts of a zone.

It connects the followers, which keep the copies, with the membership, which
reports the peers' contact with the store and the revisions of their copies.
"""

from __future__ import annotations

import abc
import asyncio
import typing
import zlib

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

# Interval at which a front that watches for its zone pings the store, and
# timeout of a ping, in seconds. Pings are needed because a watch that the
# store has dropped looks like one without changes. The two together leave the
# peers about half of the two seconds in which they must stop using a leaving
# target.
PING_INTERVAL_S = 0.7
PING_TIMEOUT_S = 0.5
# Longest gap after a cut watch that still counts as contact with the store, in
# seconds. A cut watch is reopened within it.
MAX_CONTACT_GAP_S = 0.5
# Time for which a front that failed to reach the store is not elected, in
# seconds.
STORE_LOST_HOLD_S = 10.0
# Interval at which the peers are evaluated, in seconds. It delays the
# detection of a peer that has stopped sending packets.
EVALUATION_INTERVAL_S = 0.25
# Delay between a change of a peer's view and the evaluation, in seconds. Other
# changes of that time are evaluated with it.
CHANGES_DELAY_S = 0.02
# Longest time by which the store's answer to a watch may trail a peer's
# report of the change, in seconds. A slow store takes some hundred
# milliseconds.
WATCH_LAG_S = 0.4
# If the peers were not evaluated for this time, in seconds, the process was
# suspended or stopped. Slow hosts are late by some hundred milliseconds only.
PAUSE_THRESHOLD_S = 1.0
# Time after a pause in which packets that arrived during it may still be read,
# in seconds.
BACKLOG_S = 0.1
# Time for which a peer that failed to provide its copy is not used, in
# seconds.
PEER_BACKOFF_S = 1.0


class CopyFollower(abc.ABC):
    """Interface of the followers that the relay coordinates.

    Attributes:
        prefix: Prefix of the keys.
        copy: Copy of the objects.
    """

    prefix: str
    copy: object_copy.ObjectCopy

    @property
    @abc.abstractmethod
    def unreachable_s(self) -> float:
        """Seconds since the store became unreachable, 0 if it is reached."""

    @property
    @abc.abstractmethod
    def stale_s(self) -> float:
        """Seconds for which the copy may be stale, 0 if it is up to date."""

    @property
    @abc.abstractmethod
    def waited_s(self) -> float:
        """Seconds for which the open watch has waited, 0 without one."""

    @abc.abstractmethod
    def position_of(self, view: store_view.StoreView) -> object_copy.Position:
        """Returns the position of a peer's copy of the same objects."""

    @abc.abstractmethod
    def wake(self) -> None:
        """Makes the follower choose the source of its copy again."""

    @abc.abstractmethod
    def on_contact_confirmed(self) -> None:
        """Records that a peer of the zone has contact with the store."""

    @abc.abstractmethod
    def mark_stale(self) -> None:
        """Marks the copy as possibly stale and gives up the open watch."""

    @abc.abstractmethod
    def cancel_watch(self) -> None:
        """Cancels the open watch because the store does not answer."""

    @abc.abstractmethod
    def retry_now(self) -> None:
        """Calls a lost store again at once, in place of an open call."""


class StoreRelay:
    """Decides whether copies follow the store or are fetched from a peer.

    An elected front pings the store and reports its contact to the peers of
    its zone, which fetch changes from it.

    Args:
        clock: Source of time.
        timers: Timer service.
        ip: IP address of this front.
        capacity: Bandwidth of the host's link in Mbit/s, at most 255.
        membership: Membership of the fronts.
        store: The platform's store.
        source: Fetches copies from peers.
        is_first_start: Whether the whole deployment starts for the first
            time.
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
        is_first_start: bool,
        log: typing.Any,
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._capacity = capacity
        self._membership = membership
        self._store = store
        self._source = source
        self._log = log
        self._election = relay_election.RelayElection(
            ip=ip, start_s=clock.now(), is_first_start=is_first_start
        )
        self._spread = zlib.crc32(ip.encode())
        self._followers: list[CopyFollower] = []
        # Whether the peers are evaluated within CHANGES_DELAY_S.
        self._is_evaluation_due = False
        self._backoff_until_s_by_ip: dict[str, float] = {}
        # Monotonic time at which a peer first reported a newer copy, by the
        # prefix of the copy's keys.
        self._behind_since_s_by_prefix: dict[str, float] = {}
        # Monotonic times until which failed calls and unanswered pings keep
        # this front from being elected.
        self._lost_until_s = float("-inf")
        self._silent_until_s = float("-inf")
        # Time of the last evaluation of the peers in seconds, on the clock
        # that includes time spent in suspend.
        self._evaluated_at_s = clock.time_since_boot()
        # Packets that arrive before this monotonic time may date from before a
        # pause.
        self._backlog_until_s = float("-inf")
        # Latest era that the store has stated to this front.
        self._store_era = 0
        # Whether the last ping was answered.
        self._has_proof = False
        # Monotonic time of the first ping in a row without an answer, None
        # if the last one was answered.
        self._silent_since_s: float | None = None
        # Whether the last report to the peers stated proven contact.
        self._was_proven = False
        # Peers of the zone with proven contact, as of the last evaluation.
        self._proven_peers: list[peer_state.PeerState] = []

    @property
    def watches(self) -> bool:
        """Whether this front watches the store itself."""
        return self._election.watches

    @property
    def store_era(self) -> int:
        """Latest era that the store has stated to this front."""
        return self._store_era

    @property
    def may_read_store(self) -> bool:
        """Whether a copy that was never filled may be read from the store."""
        return self._election.may_read(self._clock.now())

    @property
    def has_store_contact(self) -> bool:
        """Whether this front or a peer of its zone has contact.

        It is also true just after the start, because the front has just read
        the store.
        """
        return (
            self.watches
            or bool(self._proven_peers)
            or self._election.is_starting(self._clock.now())
        )

    @property
    def has_paused(self) -> bool:
        """Whether the process was paused and has not evaluated peers since."""
        return (
            self._clock.time_since_boot() - self._evaluated_at_s
            > PAUSE_THRESHOLD_S
        )

    @property
    def has_proven_peer(self) -> bool:
        """Whether a peer of the zone has proven contact with the store."""
        return bool(self._proven_peers)

    @property
    def is_recovery_poller(self) -> bool:
        """Whether this front polls a lost store on behalf of its zone."""
        return self._election.is_recovery_poller

    def add(self, follower: CopyFollower) -> None:
        """Adds a follower: the configuration's first, then the targets'."""
        self._followers.append(follower)

    def find(self, prefix: str) -> object_copy.ObjectCopy | None:
        """Returns the copy of a prefix's objects, None if there is none."""
        for follower in self._followers:
            if follower.prefix == prefix and follower.copy.revision > 0:
                return follower.copy
        return None

    def start(self) -> None:
        """Starts to evaluate the peers and to ping the store."""
        self._membership.on_store_view_change(self._evaluate_soon)
        self._timers.every(
            EVALUATION_INTERVAL_S, self.evaluate_peers, jitter=0.1
        )
        self._timers.every(PING_INTERVAL_S, self._ping_store, jitter=0.1)
        self._timers.after(relay_election.FIRST_READ_S, self._wake_followers)

    def view(self) -> store_view.StoreView:
        """Returns this front's store contact and its copies' revisions."""
        positions = [
            (item.copy.era, item.copy.changed_revision)
            for item in self._followers
        ]
        config, targets = positions or ((0, 0), (0, 0))
        return store_view.StoreView(
            has_proven_contact=self._is_proven(),
            has_lost_store=self._clock.now()
            < max(self._lost_until_s, self._silent_until_s),
            capacity=self._capacity,
            config_era=config[0],
            config_revision=config[1],
            target_era=targets[0],
            target_revision=targets[1],
        )

    def on_watch_opened(self) -> None:
        """Pings the store when a watch is opened.

        The store may have dropped the watch in a short outage between two
        periodic pings.
        """
        if self._has_proof:
            self._timers.spawn(self._ping_store())

    def on_copy_changed(self) -> None:
        """Reports a changed copy to the region, if contact is proven."""
        if self._is_proven():
            self._membership.announce()

    def observe_era(self, era: int) -> None:
        """Records the era that an answer of the store states.

        Copies of an earlier era are stale: the store has lost changes that
        they hold, and gives out their revisions again.
        """
        if era <= self._store_era:
            return
        before, self._store_era = self._store_era, era
        logs.event(
            self._log,
            "store_era_changed",
            era=era,
            before=before,
            revisions=[item.copy.revision for item in self._followers],
        )
        for follower in self._followers:
            if follower.copy.revision and follower.copy.era < era:
                follower.mark_stale()

    def on_store_lost(self) -> None:
        """Records that the store is unreachable."""
        self._lost_until_s = self._clock.now() + STORE_LOST_HOLD_S
        self._has_proof = False
        self._report_contact()

    def on_store_regained(self) -> None:
        """Records that the store is reachable again.

        A front that was silent to pings stays unelected for its time only
        if a peer has contact; otherwise nobody would prove the contact.
        """
        self._lost_until_s = float("-inf")
        if not self._proven_peers:
            self._silent_until_s = float("-inf")

    def _wake_followers(self) -> None:
        for follower in self._followers:
            follower.wake()

    def _evaluate_soon(self) -> None:
        """Evaluates the peers after CHANGES_DELAY_S, once for all changes.

        A change of the store changes the views of all fronts of the region.
        """
        if not self._is_evaluation_due:
            self._is_evaluation_due = True
            self._timers.after(CHANGES_DELAY_S, self.evaluate_peers)

    def evaluate_peers(self) -> None:
        """Evaluates the peers of the zone and chooses the copies' source."""
        self._is_evaluation_due = False
        now_s = self._clock.now()
        if self.has_paused:
            self._recover_from_pause(now_s)
        self._evaluated_at_s = self._clock.time_since_boot()
        peers = self._peers()
        own = self.view()
        self._proven_peers = [
            peer
            for peer in peers
            if relay_election.is_proven(peer, own.era)
            and peer.last_packet_s > self._backlog_until_s
        ]
        if self._election.update(now_s, own, peers):
            logs.event(
                self._log,
                "store_relay_changed",
                watches=self.watches,
                chosen=self._election.is_elected,
                proven_fronts=len(self._proven_peers),
                heard_fronts=len(peers),
            )
            if self._election.is_elected:
                self._timers.spawn(self._ping_store())
            self._change_source()
        if not self.watches and self._proven_peers:
            for follower in self._followers:
                follower.on_contact_confirmed()
        for follower in self._followers:
            self._check_watch(follower)
            if self.source_of(follower) is not None:
                follower.wake()

    def source_of(self, follower: CopyFollower) -> str | None:
        """Returns the IP address of the peer to fetch a newer copy from.

        The result is None if the follower needs no peer, or if no peer has
        a newer copy.
        """
        if follower.copy.revision == 0 and follower.unreachable_s > 0.0:
            # A stale copy is better than none.
            peers = self._membership.peers.live()
        elif not self.watches or follower.unreachable_s or follower.stale_s:
            peers = self._proven_peers
        else:
            return None
        now_s = self._clock.now()
        newer = [
            peer
            for peer in peers
            if peer.view is not None
            and follower.position_of(peer.view) > follower.copy.position
            and self._backoff_until_s_by_ip.get(peer.ip, 0.0) <= now_s
        ]
        zone = self._membership.peers.zone
        found = [peer for peer in newer if peer.zone == zone] or newer
        # Each front keeps to one of them, and the fronts divide among them.
        return found[self._spread % len(found)].ip if found else None

    async def fetch(
        self, ip: str, follower: CopyFollower
    ) -> object_copy.CopyUpdate | None:
        """Returns the newer changes of a peer's copy, None on failure.

        A peer that fails or has none is not used for ``PEER_BACKOFF_S``.
        """
        position = follower.copy.position
        try:
            update = await self._source.fetch(ip, follower.prefix, position)
            if update.position <= position:
                raise errors.PeerError(
                    f"{ip} has no newer revision than {update.revision}"
                    f" of era {update.era}"
                )
            if update.era != position[0] and not update.is_snapshot:
                raise errors.PeerError(
                    f"{ip} has sent changes of era {update.era} in place of"
                    " a snapshot"
                )
            return update
        except errors.PeerError as error:
            logs.warning(
                self._log,
                "copy_not_given",
                front=ip,
                prefix=follower.prefix,
                revision=position[1],
                era=position[0],
                error=str(error),
            )
            self._backoff_until_s_by_ip[ip] = (
                self._clock.now() + PEER_BACKOFF_S
            )
            self.evaluate_peers()
            return None

    def _check_watch(self, follower: CopyFollower) -> None:
        """Gives up a watch that has not delivered changes that peers have.

        A peer's position counts even without proven contact, because only
        the store assigns revisions and eras.
        """
        own = follower.copy.position
        newest = max(
            (
                follower.position_of(peer.view)
                for peer in self._membership.peers.live()
                if peer.view is not None
            ),
            default=(0, 0),
        )
        if newest <= own:
            self._behind_since_s_by_prefix.pop(follower.prefix, None)
            return
        now_s = self._clock.now()
        behind_since_s = self._behind_since_s_by_prefix.setdefault(
            follower.prefix, now_s
        )
        overdue_s = min(now_s - behind_since_s, follower.waited_s)
        if overdue_s < WATCH_LAG_S or follower.stale_s:
            return
        logs.warning(
            self._log,
            "store_watch_given_up",
            prefix=follower.prefix,
            revision=own[1],
            newest=newest[1],
            era=own[0],
            newest_era=newest[0],
            waited_s=round(follower.waited_s, 2),
        )
        follower.mark_stale()

    def _recover_from_pause(self, now_s: float) -> None:
        """Marks all copies as stale: changes may have been missed."""
        self._backlog_until_s = now_s + BACKLOG_S
        logs.warning(
            self._log,
            "pause_noticed",
            paused_s=round(
                self._clock.time_since_boot() - self._evaluated_at_s, 2
            ),
            watches=self.watches,
        )
        for follower in self._followers:
            follower.mark_stale()

    def _change_source(self) -> None:
        """Switches the followers between the store and the peers."""
        for follower in self._followers:
            follower.wake()
            if (
                self.watches
                and not self._proven_peers
                and follower.copy.revision
            ):
                # Nothing has confirmed the copy since the zone lost contact.
                follower.mark_stale()

    async def _ping_store(self) -> None:
        if not (self.watches and self._must_ping()):
            self._has_proof = False
            return
        try:
            era = await asyncio.wait_for(self._store.ping(), PING_TIMEOUT_S)
        except (errors.StoreError, TimeoutError) as error:
            self._record_silence(error)
            return
        self.observe_era(era)
        self._record_answer()

    def _must_ping(self) -> bool:
        """Returns whether this front pings the store on behalf of its zone.

        In an outage nobody is elected. A ping then finds out that the store
        answers again, long before the calls that it has swallowed time out.
        """
        is_lost = any(item.unreachable_s for item in self._followers)
        return self._election.is_elected or (
            is_lost and self._election.is_recovery_poller
        )

    def _record_silence(self, error: Exception) -> None:
        now_s = self._clock.now()
        if self._has_proof:
            logs.warning(self._log, "store_silent", error=repr(error))
            for follower in self._followers:
                follower.cancel_watch()
        if self._silent_since_s is None:
            self._silent_since_s = now_s
        self._silent_until_s = now_s + STORE_LOST_HOLD_S
        self._has_proof = False
        self._report_contact()

    def _record_answer(self) -> None:
        if self._silent_since_s is not None:
            logs.event(
                self._log,
                "store_answers_again",
                silent_s=round(self._clock.now() - self._silent_since_s, 2),
            )
            self._silent_since_s = None
            for follower in self._followers:
                follower.retry_now()
        self._has_proof = True
        self._report_contact()

    def _report_contact(self) -> None:
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
                and item.copy.era >= self._store_era
                and max(item.unreachable_s, item.stale_s) <= MAX_CONTACT_GAP_S
                for item in self._followers
            )
        )

    def _peers(self) -> list[peer_state.PeerState]:
        now_s = self._clock.now()
        return [
            peer
            for peer in self._membership.peers.live_in_zone(
                self._membership.peers.zone
            )
            if self._backoff_until_s_by_ip.get(peer.ip, 0.0) <= now_s
        ]
