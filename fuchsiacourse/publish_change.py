"""An operator's change to the manifest and its merge with others'."""

from __future__ import annotations

import collections.abc

from fuchsiacourse import errors
from fuchsiacourse import manifest as manifests
from fuchsiacourse import publish_files


class PublishResult:
    """Outcome of a publish.

    Args:
        number: Number of the configuration that holds the change.
        added: Services that are new.
        changed: Services that got another version.
        removed: Services that were removed.
        merged: Services that other operators changed since the base.
        is_dry_run: Whether nothing was written by request.
    """

    __slots__ = (
        "number",
        "added",
        "changed",
        "removed",
        "merged",
        "is_dry_run",
    )

    def __init__(
        self,
        *,
        number: int,
        added: collections.abc.Sequence[str] = (),
        changed: collections.abc.Sequence[str] = (),
        removed: collections.abc.Sequence[str] = (),
        merged: collections.abc.Sequence[str] = (),
        is_dry_run: bool = False,
    ) -> None:
        self.number = number
        self.added = list(added)
        self.changed = list(changed)
        self.removed = list(removed)
        self.merged = list(merged)
        self.is_dry_run = is_dry_run

    @property
    def is_empty(self) -> bool:
        """Whether there was nothing to change."""
        return not (self.added or self.changed or self.removed)


class PublishChange:
    """Services to put and to remove.

    Args:
        base: Manifest that the change was made on.
        candidates: Service files; those equal to the base are no change.
        removed: Names of services to remove.
        publish_id: Identifies the manifest that this publish writes.

    Raises:
        ServiceFileError: A service to remove is not in the base, or it is
            among the files.
    """

    __slots__ = ("base", "candidates_by_name", "publish_id", "_wanted")

    def __init__(
        self,
        *,
        base: manifests.Manifest,
        candidates: collections.abc.Iterable[publish_files.Candidate],
        removed: collections.abc.Iterable[str],
        publish_id: str,
    ) -> None:
        self.base = base
        self.candidates_by_name = {item.name: item for item in candidates}
        self.publish_id = publish_id
        self._wanted = self._wanted_versions(set(removed))

    def merged_into(self, current: manifests.Manifest) -> manifests.Manifest:
        """Applies the change to a manifest.

        A service counts as changed by this operator only if it differs
        from the base, so that an unchanged file of the directory does not
        undo another operator's change.

        Returns:
            The next manifest, or ``current`` if it holds the change.

        Raises:
            PublishConflict: Another operator changed a service of this
                change to something else since the base.
        """
        services = dict(current.services)
        conflicts = []
        for name, mine in self._wanted.items():
            theirs = services.get(name)
            if mine == theirs:
                continue
            if theirs != self.base.services.get(name):
                conflicts.append(name)
            elif mine is None:
                del services[name]
            else:
                services[name] = mine
        if conflicts:
            raise errors.PublishConflict(conflicts)
        if services == current.services:
            return current
        return manifests.Manifest(
            number=current.number + 1,
            publish_id=self.publish_id,
            services=services,
        )

    def bodies(
        self, current: manifests.Manifest
    ) -> dict[str, publish_files.Candidate]:
        """Returns the files that the manifest doesn't hold yet, by key."""
        return {
            manifests.body_key(name, mine.version): self.candidates_by_name[
                name
            ]
            for name, mine in self._wanted.items()
            if mine is not None and mine != current.services.get(name)
        }

    def result(
        self,
        before: manifests.Manifest,
        after: manifests.Manifest,
        *,
        is_dry_run: bool = False,
    ) -> PublishResult:
        """Returns what this change did between two manifests."""
        mine = [
            name
            for name in sorted(self._wanted)
            if before.services.get(name) != after.services.get(name)
        ]
        added = [name for name in mine if name not in before.services]
        removed = [name for name in mine if name not in after.services]
        others = {
            *after.changed_from(self.base),
            *after.removed_from(self.base),
        }
        return PublishResult(
            number=after.number,
            added=added,
            changed=[name for name in mine if name not in (*added, *removed)],
            removed=removed,
            merged=sorted(others - self._wanted.keys()),
            is_dry_run=is_dry_run,
        )

    def _wanted_versions(
        self, removed: set[str]
    ) -> dict[str, manifests.ServiceVersion | None]:
        unknown = removed - self.base.services.keys()
        if unknown:
            raise errors.ServiceFileError(
                "can't remove what is not published: "
                + ", ".join(sorted(unknown))
            )
        both = removed & self.candidates_by_name.keys()
        if both:
            raise errors.ServiceFileError(
                "both published and removed: " + ", ".join(sorted(both))
            )
        wanted: dict[str, manifests.ServiceVersion | None] = {
            name: manifests.version_of(item.body)
            for name, item in self.candidates_by_name.items()
        }
        wanted = {
            name: mine
            for name, mine in wanted.items()
            if mine != self.base.services.get(name)
        }
        wanted.update({name: None for name in removed})
        return wanted
