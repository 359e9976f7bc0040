"""State that a front reports to the other fronts."""

from __future__ import annotations

from fuchsiacourse.front import store_view


class FrontStatus:
    """State of this front, as its membership packets report it.

    Args:
        is_ready: Whether it serves callers.
        is_leaving: Whether it is shutting down.
        config_version: Version of the configuration in force.
        store_contact_s: Time for which it has been in contact with the
            store, in seconds; 0 without contact.
        view: Its contact with the store and the revisions of its copies.
    """

    __slots__ = (
        "is_ready",
        "is_leaving",
        "config_version",
        "store_contact_s",
        "view",
    )

    def __init__(
        self,
        *,
        is_ready: bool,
        is_leaving: bool,
        config_version: int,
        store_contact_s: float,
        view: store_view.StoreView | None = None,
    ) -> None:
        self.is_ready = is_ready
        self.is_leaving = is_leaving
        self.config_version = config_version
        self.store_contact_s = store_contact_s
        self.view = view
