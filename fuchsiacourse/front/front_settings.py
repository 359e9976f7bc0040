"""Settings of a front, independent of the format of the settings file."""

from __future__ import annotations

Address = tuple[str, int]

# Settings whose change needs no restart: the first two are applied at once,
# and the last one describes only how the process started.
_NO_RESTART_NEEDED = frozenset(("seeds", "bounds", "is_first_start"))


class Bounds:
    """Operator's bounds that the front must keep.

    Args:
        stop_s: Time from SIGTERM until the process is killed, in seconds.
        drain_s: Time within which requests to a draining target must end, in
            seconds.
        retry_share: Retry budget, as a share of the requests in a window.
        retry_extra: Retries in a window beyond that share.
        retry_window_s: Length of the window, in seconds.
        max_address_ttl_s: Longest lifetime of a caller's address list, in
            seconds.
        floor_share: Smallest share of a service's healthy targets that stays
            in use.
    """

    __slots__ = (
        "stop_s",
        "drain_s",
        "retry_share",
        "retry_extra",
        "retry_window_s",
        "max_address_ttl_s",
        "floor_share",
    )

    def __init__(
        self,
        *,
        stop_s: float,
        drain_s: float,
        retry_share: float,
        retry_extra: float,
        retry_window_s: float,
        max_address_ttl_s: float,
        floor_share: float,
    ) -> None:
        self.stop_s = stop_s
        self.drain_s = drain_s
        self.retry_share = retry_share
        self.retry_extra = retry_extra
        self.retry_window_s = retry_window_s
        self.max_address_ttl_s = max_address_ttl_s
        self.floor_share = floor_share

    def update_from(self, newer: Bounds) -> None:
        """Copies all bounds from newer ones."""
        for name in self.__slots__:
            setattr(self, name, getattr(newer, name))


class FrontSettings:
    """Location, addresses and operator's bounds of a front.

    Args:
        name: Name of the host.
        ip: IP address of the host.
        availability_zone: Availability zone of the host.
        region: Region of that availability zone.
        regions_by_zone: Region of each availability zone.
        front_address: Address that callers connect to.
        ready_address: Address of the readiness probe.
        directory_address: Address that callers resolve front addresses at,
            None if it isn't served.
        control_address: Address that other hosts name as a seed; nothing is
            served there.
        peer_port: UDP and TCP port for the other fronts, the same on each
            host.
        metrics_address: Address that serves metrics, None if none does.
        seeds: Control addresses of some hosts; they may be stale.
        store_address: Address of the platform's object API.
        cores: Processor cores that the front may use; may be a fraction.
        link_mbps: Bandwidth of the host's link, in Mbit/s.
        is_first_start: Whether the whole deployment starts for the first
            time.
        registration_lifetime_s: Time after which the store removes the
            registration of a silent target, in seconds.
        bounds: Operator's bounds.
    """

    __slots__ = (
        "name",
        "ip",
        "availability_zone",
        "region",
        "regions_by_zone",
        "front_address",
        "ready_address",
        "directory_address",
        "control_address",
        "peer_port",
        "metrics_address",
        "seeds",
        "store_address",
        "cores",
        "link_mbps",
        "is_first_start",
        "registration_lifetime_s",
        "bounds",
    )

    def __init__(
        self,
        *,
        name: str,
        ip: str,
        availability_zone: str,
        region: str,
        regions_by_zone: dict[str, str],
        front_address: Address,
        ready_address: Address,
        directory_address: Address | None,
        control_address: Address | None,
        peer_port: int,
        metrics_address: Address | None,
        seeds: tuple[Address, ...],
        store_address: Address,
        cores: float,
        link_mbps: float,
        is_first_start: bool,
        registration_lifetime_s: float,
        bounds: Bounds,
    ) -> None:
        self.name = name
        self.ip = ip
        self.availability_zone = availability_zone
        self.region = region
        self.regions_by_zone = regions_by_zone
        self.front_address = front_address
        self.ready_address = ready_address
        self.directory_address = directory_address
        self.control_address = control_address
        self.peer_port = peer_port
        self.metrics_address = metrics_address
        self.seeds = seeds
        self.store_address = store_address
        self.cores = cores
        self.link_mbps = link_mbps
        self.is_first_start = is_first_start
        self.registration_lifetime_s = registration_lifetime_s
        self.bounds = bounds

    def update_from(self, newer: FrontSettings) -> list[str]:
        """Applies the settings that may change while the process runs.

        Args:
            newer: Settings as read from the changed file.

        Returns:
            Names of the changed settings that take effect only after a
            restart.
        """
        self.seeds = newer.seeds
        self.bounds.update_from(newer.bounds)
        return [
            name
            for name in self.__slots__
            if name not in _NO_RESTART_NEEDED
            and getattr(self, name) != getattr(newer, name)
        ]
