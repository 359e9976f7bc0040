"""Which fronts of a zone follow the store for the others.

Each watch is a priced call, and each change crosses the link between the
regions once for each front that watches. Two fronts of a zone watch and the
others copy from them. A front watches itself as soon as no other front of its
zone proves contact with the store.
"""

from __future__ import annotations

from fuchsiacourse.front import peer_state
from fuchsiacourse.front import store_view

# Fronts of a zone that watch: one more than are needed, because the next
# front takes over only after a second without packets.
WATCHERS = 2
# After its start a front waits for this time for the packets of others, in
# seconds; seeds are asked at once and a quarter of a second later.
LEARN_S = 0.6
# Time in which the fronts of a zone that start together prove their contact,
# in seconds; after it a front without such a neighbour watches itself.
FIRST_PROOF_S = 2.0
# A front that is not needed any more watches for this time, in seconds, so
# that a contact that comes and goes does not make it change each time.
STEP_DOWN_S = 2.0


class RelayElection:
    """Decides whether a front watches the store itself.

    Args:
        ip: IP number of the front.
        start_s: Monotonic time of its start, in seconds.
    """

    __slots__ = (
        "watches",
        "is_elected",
        "is_recovery_prober",
        "_ip",
        "_start_s",
        "_spare_since_s",
    )

    def __init__(self, *, ip: str, start_s: float) -> None:
        # Whether the front watches the store itself.
        self.watches = False
        # Whether it does so for the others of its zone, too.
        self.is_elected = False
        # Whether the others of its zone wait for its word that a store that
        # they have lost is back.
        self.is_recovery_prober = True
        self._ip = ip
        self._start_s = start_s
        self._spare_since_s: float | None = None

    def is_starting(self, now_s: float) -> bool:
        """Returns whether the contact of the zone may still be unknown."""
        return now_s - self._start_s < FIRST_PROOF_S

    def decide(
        self,
        now_s: float,
        own: store_view.StoreView,
        peers: list[peer_state.PeerState],
    ) -> bool:
        """Takes a decision.

        Args:
            now_s: Monotonic time in seconds.
            own: View of this front.
            peers: Other fronts of the zone that are heard.

        Returns:
            Whether the decision has changed.
        """
        before = self.watches
        rivals = [peer for peer in peers if not peer.is_leaving]
        self.is_recovery_prober = self._leads(own, rivals)
        rivals = [peer for peer in rivals if not _is_lost(peer)]
        self.is_elected = not own.is_lost and self._leads(own, rivals)
        proven = sum(1 for peer in peers if is_proven(peer))
        if self.watches:
            self.watches = self._is_needed(now_s, proven)
        else:
            self.watches = self._is_missed(now_s, proven)
        return self.watches != before

    def _is_missed(self, now_s: float, proven: int) -> bool:
        age_s = now_s - self._start_s
        if age_s < LEARN_S:
            return False
        return self.is_elected or (proven == 0 and not self.is_starting(now_s))

    def _is_needed(self, now_s: float, proven: int) -> bool:
        if self.is_elected or proven < WATCHERS:
            self._spare_since_s = None
            return True
        if self._spare_since_s is None:
            self._spare_since_s = now_s
        if now_s - self._spare_since_s < STEP_DOWN_S:
            return True
        self._spare_since_s = None
        return False

    def _leads(
        self,
        own: store_view.StoreView,
        rivals: list[peer_state.PeerState],
    ) -> bool:
        """Returns whether fewer fronts rank higher than are to watch."""
        rank = (-own.capacity, self._ip)
        better = sum(
            1
            for peer in rivals
            if peer.view is not None and (-peer.view.capacity, peer.ip) < rank
        )
        return better < WATCHERS


def is_proven(peer: peer_state.PeerState) -> bool:
    """Returns whether a front vouches for its contact with the store."""
    return peer.view is not None and peer.view.is_proven


def _is_lost(peer: peer_state.PeerState) -> bool:
    return peer.view is not None and peer.view.is_lost
