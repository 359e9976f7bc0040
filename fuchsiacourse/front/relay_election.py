"""Elects the fronts of a zone that watch the store for the others.

Each watch is a priced call, and each change crosses the link between the
regions once per front that watches. Therefore two fronts of a zone watch and
the others copy from them. A front that is not elected watches too as soon as
no other front of its zone has proven contact with the store.
"""

from __future__ import annotations

from fuchsiacourse.front import peer_state
from fuchsiacourse.front import store_view

# Fronts per zone that watch the store. One would suffice, but another front
# takes over only after a second without packets from it.
WATCHERS_PER_ZONE = 2
# Time after its start for which a front waits for packets of its peers before
# it may watch, in seconds. Seeds are polled at once and 0.25 s later.
DISCOVERY_S = 0.4
# Time after its start for which a front that doesn't watch waits for a copy of
# a peer before it reads the store, in seconds. If all fronts of a region read
# it at once, they fill the link between the regions.
FIRST_READ_S = 1.0
# Time in which fronts of a zone that start together prove contact with the
# store, in seconds. After it a front without a proven peer watches even if it
# is not elected.
STARTUP_S = 2.0
# Time for which a front that is no longer needed goes on watching, in seconds.
# It keeps the front from switching each time the contact of its peers flaps.
STEP_DOWN_S = 2.0


class RelayElection:
    """Decides whether a front watches the store itself.

    Fronts rank by capacity, then by IP address. The first two are elected,
    except for those that are leaving or have lost the store.

    Attributes:
        watches: Whether the front watches the store itself.
        is_elected: Whether it does so on behalf of its zone.
        is_recovery_poller: Whether it polls an unreachable store on behalf
            of its zone; the other fronts poll less often.

    Args:
        ip: IP address of the front.
        start_s: Monotonic time of its start, in seconds.
        is_first_start: Whether the whole deployment starts for the first
            time.
    """

    __slots__ = (
        "watches",
        "is_elected",
        "is_recovery_poller",
        "_ip",
        "_start_s",
        "_is_first_start",
        "_redundant_since_s",
    )

    def __init__(
        self, *, ip: str, start_s: float, is_first_start: bool
    ) -> None:
        self.watches = False
        self.is_elected = False
        self.is_recovery_poller = True
        self._ip = ip
        self._start_s = start_s
        self._is_first_start = is_first_start
        self._redundant_since_s: float | None = None

    def is_starting(self, now_s: float) -> bool:
        """Returns whether the startup time still lasts.

        Until it ends, peers may not have proven their contact yet.
        """
        return now_s - self._start_s < STARTUP_S

    def may_read(self, now_s: float) -> bool:
        """Returns whether a front without a copy may read the store.

        After a loss of power callers are waiting, so only the first start of
        the whole deployment is delayed.
        """
        if self.watches or not self._is_first_start:
            return True
        return now_s - self._start_s >= FIRST_READ_S

    def update(
        self,
        now_s: float,
        own: store_view.StoreView,
        peers: list[peer_state.PeerState],
    ) -> bool:
        """Updates whether this front watches the store.

        Args:
            now_s: Monotonic time in seconds.
            own: This front's view of the store.
            peers: Live peers of the zone.

        Returns:
            Whether ``watches`` has changed.
        """
        before = self.watches
        candidates = [peer for peer in peers if not peer.is_leaving]
        self.is_recovery_poller = self._ranks_first(own, candidates)
        candidates = [peer for peer in candidates if not _is_lost(peer)]
        self.is_elected = not own.has_lost_store and self._ranks_first(
            own, candidates
        )
        proven = sum(1 for peer in peers if is_proven(peer, own.era))
        if self.watches:
            self.watches = self._keeps_watching(now_s, proven)
        else:
            self.watches = self._starts_watching(now_s, proven)
        return self.watches != before

    def _starts_watching(self, now_s: float, proven: int) -> bool:
        age_s = now_s - self._start_s
        if age_s < DISCOVERY_S:
            return False
        return self.is_elected or (proven == 0 and not self.is_starting(now_s))

    def _keeps_watching(self, now_s: float, proven: int) -> bool:
        if self.is_elected or proven < WATCHERS_PER_ZONE:
            self._redundant_since_s = None
            return True
        if self._redundant_since_s is None:
            self._redundant_since_s = now_s
        if now_s - self._redundant_since_s < STEP_DOWN_S:
            return True
        self._redundant_since_s = None
        return False

    def _ranks_first(
        self,
        own: store_view.StoreView,
        candidates: list[peer_state.PeerState],
    ) -> bool:
        """Returns whether this front is among the first WATCHERS_PER_ZONE."""
        rank = (-own.capacity, self._ip)
        better_count = sum(
            1
            for peer in candidates
            if peer.view is not None and (-peer.view.capacity, peer.ip) < rank
        )
        return better_count < WATCHERS_PER_ZONE


def is_proven(peer: peer_state.PeerState, era: int) -> bool:
    """Returns whether a peer reports proven contact with the store.

    Args:
        peer: The peer.
        era: Era that its copies must have reached. A build that doesn't know
            eras can't tell whether its copies are of this one.
    """
    return (
        peer.view is not None
        and peer.view.has_proven_contact
        and peer.view.era >= era
    )


def _is_lost(peer: peer_state.PeerState) -> bool:
    return peer.view is not None and peer.view.has_lost_store
