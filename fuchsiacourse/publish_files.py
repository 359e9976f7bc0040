"""Reading and validation of the service files to publish."""

from __future__ import annotations

import collections.abc
import pathlib

from fuchsiacourse import errors
from fuchsiacourse import object_table
from fuchsiacourse import service_file


class Candidate:
    """A validated service file.

    Args:
        parsed: Content.
        body: Bytes to publish, as read.
        source: File or object key that it was read from.
    """

    __slots__ = ("parsed", "body", "source")

    def __init__(
        self, *, parsed: service_file.ServiceFile, body: bytes, source: str
    ) -> None:
        self.parsed = parsed
        self.body = body
        self.source = source

    @property
    def name(self) -> str:
        """Name of the service."""
        return self.parsed.service


def collect(directory: pathlib.Path) -> list[Candidate]:
    """Reads and validates every ``*.json`` file of a directory.

    Raises:
        ServiceFileError: There are no files, or some are invalid; the
            message has a line for each error with file, field and reason.
    """
    paths = sorted(directory.glob("*.json"))
    if not paths:
        raise errors.ServiceFileError(f"{directory}: no *.json files")
    candidates: list[Candidate] = []
    error_lines: list[str] = []
    for path in paths:
        try:
            candidates.append(load(path))
        except errors.ServiceFileError as error:
            error_lines.append(str(error))
    error_lines.extend(_duplicate_names(candidates))
    error_lines.extend(duplicate_routes(candidates))
    if error_lines:
        raise errors.ServiceFileError("\n".join(error_lines))
    return candidates


def load(path: pathlib.Path) -> Candidate:
    """Reads and validates one file.

    Raises:
        ServiceFileError: The file can't be read, is above the size limit
            of the platform or is invalid; names the file, each wrong field
            and the reason.
    """
    try:
        body = path.read_bytes()
    except OSError as error:
        raise errors.ServiceFileError(f"{path}: {error.strerror}") from error
    if len(body) > object_table.MAX_VALUE_BYTES:
        raise errors.ServiceFileError(
            f"{path}: (file): {len(body)} bytes, above the platform's"
            f" {object_table.MAX_VALUE_BYTES}"
        )
    parsed = service_file.parse(body, source=str(path))
    return Candidate(parsed=parsed, body=body, source=str(path))


def duplicate_routes(
    candidates: collections.abc.Iterable[Candidate],
) -> list[str]:
    """Returns one error line for each route that two services share."""
    owners_by_route: dict[tuple[str, str], Candidate] = {}
    lines = []
    for item in candidates:
        for kind in item.parsed.kinds:
            owner = owners_by_route.setdefault(kind.route, item)
            if owner.name != item.name:
                lines.append(
                    f"{item.source}: kinds.{kind.name}: duplicate route"
                    f" {' '.join(kind.route)}, also in {owner.source}"
                )
    return lines


def _duplicate_names(
    candidates: collections.abc.Iterable[Candidate],
) -> list[str]:
    first_by_name: dict[str, Candidate] = {}
    lines = []
    for item in candidates:
        first = first_by_name.setdefault(item.name, item)
        if first is not item:
            lines.append(
                f"{item.source}: service: {item.name} is also described by"
                f" {first.source}"
            )
    return lines
