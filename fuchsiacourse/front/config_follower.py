"""Follows the operator's configuration in the store."""

from __future__ import annotations

import typing

from fuchsiacourse import errors
from fuchsiacourse.front import object_copy
from fuchsiacourse.front import route_table
from fuchsiacourse.front import store_follower
from fuchsiacourse.front import store_view
from fuchsiacourse import logs
from fuchsiacourse import store as stores

Decode = typing.Callable[[bytes], route_table.RouteTable]
Adopt = typing.Callable[[route_table.RouteTable], None]
PeerVersion = typing.Callable[[], int]

# Most log lines about the unreadable parts of one configuration, so that a
# faulty configuration does not crowd out other events.
MAX_UNREADABLE_ROUTE_LINES = 20


class ConfigFollower(store_follower.StoreFollower):
    """Follows the configuration and puts each newer version in force.

    Attributes:
        version: Version in force, 0 for none.
        content: Content of the object that holds the version in force, empty
            for none.

    Args:
        key: Store key of the configuration.
        decode: Decodes the content of the object.
        adopt: Puts a decoded configuration in force.
        peer_version: Returns the newest version in force at a live peer.
        **options: Arguments of StoreFollower.
    """

    def __init__(
        self,
        *,
        key: str,
        decode: Decode,
        adopt: Adopt,
        peer_version: PeerVersion,
        **options: typing.Any,
    ) -> None:
        super().__init__(**options)
        self._key = key
        self._decode = decode
        self._adopt = adopt
        self._peer_version = peer_version
        self.version = 0
        # Whether the newest content could not be decoded.
        self._is_rejected = False
        self.content = b""

    @property
    def is_newest(self) -> bool:
        """Whether the configuration in force is known to be the newest."""
        return (
            self.is_up_to_date
            and not self._is_rejected
            and self._peer_version() <= self.version
        )

    def apply_snapshot(self, objects: list[stores.StoredObject]) -> None:
        """Applies a snapshot: all objects under the prefix."""
        for item in objects:
            self.apply_change(item)

    def apply_change(self, item: stores.StoredObject) -> None:
        """Applies one changed or deleted object."""
        if item.key == self._key and not item.deleted:
            self.adopt_if_newer(item.value, source=f"revision {item.version}")

    def position_of(self, view: store_view.StoreView) -> object_copy.Position:
        """Returns the position of a peer's copy of the configuration."""
        return view.config_era, view.config_revision

    def adopt_if_newer(self, content: bytes, *, source: str) -> None:
        """Puts a configuration in force if it is newer.

        An invalid configuration is logged; the one in force remains.

        Args:
            content: Content of the object.
            source: Origin of the content, for the log.
        """
        try:
            table = self._decode(content)
        except errors.ConfigRejected as error:
            logs.warning(
                self.log, "config_refused", source=source, error=str(error)
            )
            self._is_rejected = True
            return
        self._is_rejected = False
        if table.version <= self.version:
            return
        logs.event(
            self.log,
            "config_adopted",
            version=table.version,
            before=self.version,
            routes=table.route_count,
            source=source,
        )
        for unreadable in table.unreadable_routes[:MAX_UNREADABLE_ROUTE_LINES]:
            logs.warning(
                self.log,
                "config_part_refused",
                version=table.version,
                route_host=unreadable.host,
                path_prefix=unreadable.path_prefix,
                error=unreadable.reason,
            )
        self.version = table.version
        self.content = content
        self._adopt(table)
