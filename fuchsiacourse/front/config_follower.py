"""Follows the operator's configuration."""

from __future__ import annotations

import typing

from fuchsiacourse import errors
from fuchsiacourse.front import route_table
from fuchsiacourse.front import store_follower
from fuchsiacourse.front import store_view
from fuchsiacourse import logs
from fuchsiacourse import store as stores

Decode = typing.Callable[[bytes], route_table.RouteTable]
Adopt = typing.Callable[[route_table.RouteTable], None]
HeardVersion = typing.Callable[[], int]

# Lines on unreadable parts of one configuration, so that a faulty one does
# not crowd out other lines.
MAX_GAP_LINES = 20


class ConfigFollower(store_follower.StoreFollower):
    """Puts each newer configuration in force.

    Args:
        key: Key of the configuration.
        decode: Decodes the object.
        adopt: Puts a configuration in force.
        heard_version: Returns the newest version that other fronts run.
        **options: Arguments of the follower.
    """

    def __init__(
        self,
        *,
        key: str,
        decode: Decode,
        adopt: Adopt,
        peer_version: HeardVersion,
        **options: typing.Any,
    ) -> None:
        super().__init__(**options)
        self._key = key
        self._decode = decode
        self._adopt = adopt
        self._heard_version = peer_version
        self.version = 0
        # Whether the newest object could not be read at all.
        self._is_refused = False
        # Object that the configuration in force came from.
        self.content = b""

    @property
    def is_newest(self) -> bool:
        """Whether the configuration in force is known to be the newest."""
        return (
            self.is_up_to_date
            and not self._is_refused
            and self._heard_version() <= self.version
        )

    def apply_snapshot(self, objects: list[stores.StoredObject]) -> None:
        """Takes over all objects."""
        for item in objects:
            self.apply_change(item)

    def apply_change(self, item: stores.StoredObject) -> None:
        """Takes over one change."""
        if item.key == self._key and not item.deleted:
            self.offer(item.value, source=f"revision {item.version}")

    def revision_of(self, view: store_view.StoreView) -> int:
        """Returns the revision of another front's copy."""
        return view.config_revision

    def offer(self, content: bytes, *, source: str) -> None:
        """Puts a configuration in force if it is newer.

        Args:
            content: The object.
            source: Where it comes from, for the logs.
        """
        try:
            table = self._decode(content)
        except errors.ConfigRejected as error:
            logs.warning(
                self.log, "config_refused", source=source, error=str(error)
            )
            self._is_refused = True
            return
        self._is_refused = False
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
        for unreadable in table.unreadable_routes[:MAX_GAP_LINES]:
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
