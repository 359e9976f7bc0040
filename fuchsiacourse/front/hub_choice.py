"""Chooses the fronts of a zone through which the others report.

Covers zones of many fronts, in which reports of each front to each other
would take more packets than small hosts can receive.
"""

from __future__ import annotations

import collections.abc

from fuchsiacourse.front import peer_state

# Hubs of a zone. Reports go through the first one. Heartbeats go through all
# of them, so that a front that is up isn't taken for down while a hub is
# replaced.
HUBS_PER_ZONE = 3
# A hub passes something on in each heartbeat interval. Without a packet from
# it for this time it is replaced, in seconds; the time is shorter than the one
# after which the fronts that report through it would count as down.
HUB_TIMEOUT_S = 0.65
# Time for which a silent hub is not chosen again, in seconds.
HUB_BACKOFF_S = 5.0
# Fewest fronts of a zone, this one included, for which hubs are used.
MIN_FRONTS = 13


class HubChoice:
    """Ranks the fronts of a zone by capacity, then by IP address.

    The first ``HUBS_PER_ZONE`` are hubs. Fronts rank by what they know, so
    two of them may choose differently; whoever gets a report to pass on does
    so, whether it counts itself as a hub or not.

    Args:
        ip: IP address of this front.
    """

    __slots__ = ("_ip", "_chosen_at_s_by_ip", "_silent_until_s_by_ip")

    def __init__(self, *, ip: str) -> None:
        self._ip = ip
        # Monotonic time at which a hub was chosen, in seconds.
        self._chosen_at_s_by_ip: dict[str, float] = {}
        self._silent_until_s_by_ip: dict[str, float] = {}

    def choose(
        self,
        now_s: float,
        capacity: int,
        peers: collections.abc.Iterable[peer_state.PeerState],
    ) -> list[str]:
        """Returns the IP addresses of the hubs, which may include this front.

        Args:
            now_s: Monotonic time in seconds.
            capacity: Bandwidth of this front's link in Mbit/s.
            peers: Live peers of the zone.
        """
        ranked = [(-capacity, self._ip)]
        for peer in peers:
            if not peer.is_leaving and not self._is_silent(peer, now_s):
                ranked.append((-_capacity_of(peer), peer.ip))
        ranked.sort()
        hubs = [ip for _, ip in ranked[:HUBS_PER_ZONE]]
        self._chosen_at_s_by_ip = {
            ip: self._chosen_at_s_by_ip.get(ip, now_s) for ip in hubs
        }
        return hubs

    def _is_silent(self, peer: peer_state.PeerState, now_s: float) -> bool:
        if now_s < self._silent_until_s_by_ip.get(peer.ip, now_s):
            return True
        chosen_at_s = self._chosen_at_s_by_ip.get(peer.ip)
        if chosen_at_s is None:
            return False
        heard_s = max(chosen_at_s, peer.last_bundle_s)
        if now_s - heard_s <= HUB_TIMEOUT_S:
            return False
        self._silent_until_s_by_ip[peer.ip] = now_s + HUB_BACKOFF_S
        return True


def rank_remote(
    now_s: float, peers: collections.abc.Iterable[peer_state.PeerState]
) -> list[str]:
    """Returns the likely hubs of another zone, by IP address.

    Those from which a bundle has come lately are preferred to those that only
    rank high, because deaths in another zone are noticed late.

    Args:
        now_s: Monotonic time in seconds.
        peers: Peers of the zone that aren't known to be down.
    """
    ranked = sorted(
        peers,
        key=lambda peer: (peer.is_leaving, -_capacity_of(peer), peer.ip),
    )
    heard = [
        peer for peer in ranked if now_s - peer.last_bundle_s <= HUB_TIMEOUT_S
    ]
    return [peer.ip for peer in (heard or ranked)[:HUBS_PER_ZONE]]


def _capacity_of(peer: peer_state.PeerState) -> int:
    return 0 if peer.view is None else peer.view.capacity
