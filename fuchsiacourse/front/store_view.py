"""A front's contact with the platform's store, as reported to its peers."""

from __future__ import annotations


class StoreView:
    """Contact of a front with the store, and the revisions of its copies.

    Args:
        has_proven_contact: Whether the front watches the store itself, its
            copies are up to date and the store has answered its last ping.
        has_lost_store: Whether the front has recently failed to reach the
            store.
        capacity: Bandwidth of its host's link in Mbit/s, at most 255.
        config_revision: Store-wide revision of the last change of its copy
            of the configuration, 0 without a copy.
        target_revision: The same for its copy of the targets' registrations.
        config_era: Era of the first of these revisions, 0 if it isn't known.
        target_era: Era of the second one.
    """

    __slots__ = (
        "has_proven_contact",
        "has_lost_store",
        "capacity",
        "config_revision",
        "target_revision",
        "config_era",
        "target_era",
    )

    def __init__(
        self,
        *,
        has_proven_contact: bool,
        has_lost_store: bool,
        capacity: int,
        config_revision: int,
        target_revision: int,
        config_era: int = 0,
        target_era: int = 0,
    ) -> None:
        self.has_proven_contact = has_proven_contact
        self.has_lost_store = has_lost_store
        self.capacity = capacity
        self.config_revision = config_revision
        self.target_revision = target_revision
        self.config_era = config_era
        self.target_era = target_era

    @property
    def era(self) -> int:
        """Era that both copies have reached."""
        return min(self.config_era, self.target_era)

    def is_equal(self, other: StoreView | None) -> bool:
        """Returns whether another view has the same values."""
        return other is not None and all(
            getattr(self, name) == getattr(other, name)
            for name in self.__slots__
        )
