"""Mix of request kinds that a load run sends."""

from __future__ import annotations

import collections.abc
import pathlib
import random

from fuchsiacourse import service_file

# Share of the requests that belong to short kinds.
SHORT_SHARE = 0.8


class LoadItem:
    """A request kind of a mix with its frequency.

    Args:
        service: Name of the service.
        kind: Request kind of the service file.
        weight: Relative frequency.
    """

    __slots__ = ("service", "kind", "weight")

    def __init__(
        self, *, service: str, kind: service_file.RequestKind, weight: float
    ) -> None:
        self.service = service
        self.kind = kind
        self.weight = weight

    @property
    def name(self) -> str:
        """Service and kind, as ``service/kind``."""
        return f"{self.service}/{self.kind.name}"


class LoadMix:
    """Weighted choice among the request kinds of some services.

    Short kinds together make up 80 % of the requests and long kinds the
    rest, unless all kinds have the same length.

    Args:
        services: Service files whose kinds are sent.
    """

    def __init__(
        self, *, services: collections.abc.Iterable[service_file.ServiceFile]
    ) -> None:
        pairs = [(item, kind) for item in services for kind in item.kinds]
        short = sum(1 for _, kind in pairs if kind.is_short)
        self.items = [
            LoadItem(
                service=service.service,
                kind=kind,
                weight=(
                    SHORT_SHARE / short
                    if kind.is_short
                    else (1 - SHORT_SHARE) / (len(pairs) - short)
                ),
            )
            for service, kind in pairs
        ]
        self._weights = [item.weight for item in self.items]

    def choose(self, rng: random.Random) -> LoadItem:
        """Draws the kind of the next request."""
        return rng.choices(self.items, self._weights)[0]


def from_folder(folder: pathlib.Path) -> LoadMix:
    """Returns the mix of all service files of a folder.

    A folder without service files gives a mix without items.

    Raises:
        ServiceFileError: A file can't be read or is invalid.
    """
    services = [
        service_file.load(path) for path in sorted(folder.glob("*.json"))
    ]
    return LoadMix(services=services)
