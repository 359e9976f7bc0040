"""A front's contact with the platform's store, as reported to its peers."""

from __future__ import annotations


class StoreView:
    """Contact of a front with the store, and the revisions of its copies.

    Args:
        is_proven: Whether the front watches the store itself, its copies are
            up to date and the store has answered its last ping.
        is_lost: Whether the front has recently failed to reach the store.
        capacity: Bandwidth of its host's link in Mbit/s, at most 255.
        config_revision: Store-wide revision of the last change of its copy
            of the configuration, 0 without a copy.
        target_revision: The same for its copy of the targets' registrations.
    """

    __slots__ = (
        "is_proven",
        "is_lost",
        "capacity",
        "config_revision",
        "target_revision",
    )

    def __init__(
        self,
        *,
        is_proven: bool,
        is_lost: bool,
        capacity: int,
        config_revision: int,
        target_revision: int,
    ) -> None:
        self.is_proven = is_proven
        self.is_lost = is_lost
        self.capacity = capacity
        self.config_revision = config_revision
        self.target_revision = target_revision

    def is_equal(self, other: StoreView | None) -> bool:
        """Returns whether another view has the same values."""
        return other is not None and all(
            getattr(self, name) == getattr(other, name)
            for name in self.__slots__
        )
