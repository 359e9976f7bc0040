"""An operator's change to the manifest and its three-way merge.

Does no I/O, so that a publisher can repeat the merge on each manifest that
it reads.
"""

from __future__ import annotations

import collections.abc

from fuchsiacourse import errors
from fuchsiacourse import manifest as manifests
from fuchsiacourse import publish_files


class PublishResult:
    """Result of a publish.

    Args:
        number: Number of the configuration that contains the change.
        added: Names of new services.
        changed: Names of services with a new version.
        removed: Names of removed services.
        merged: Names of services that other operators changed since the
            base.
        is_dry_run: Whether the change was computed without being written.
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
        """Whether the publish changes no service."""
        return not (self.added or self.changed or self.removed)


class PublishChange:
    """Services that an operator sets or removes, relative to a base.

    Args:
        base: Manifest that the change was made on.
        candidates: Service files; those equal to the base are no change.
        removed: Names of services to remove.
        publish_id: Identifies the manifest that this publish writes.

    Raises:
        ServiceFileError: A service to remove is not in the base, or is
            also among the files.
    """

    __slots__ = ("base", "candidates_by_name", "publish_id", "_desired")

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
        self._desired = self._desired_versions(set(removed))

    def merged_into(self, current: manifests.Manifest) -> manifests.Manifest:
        """Merges the change into a manifest.

        A service counts as changed by this operator only if it differs
        from the base, so that an unchanged file of the directory does not
        undo another operator's change.

        Returns:
            The next manifest, or ``current`` if it contains the change.

        Raises:
            PublishConflict: Another operator has changed a service of this
                change in a different way since the base.
        """
        services = dict(current.services)
        conflicts = []
        for name, ours in self._desired.items():
            theirs = services.get(name)
            if ours == theirs:
                continue
            if theirs != self.base.services.get(name):
                conflicts.append(name)
            elif ours is None:
                del services[name]
            else:
                services[name] = ours
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
        """Returns the files to write, by the object key of their bodies.

        Files whose version is in the manifest already are left out.
        """
        return {
            manifests.body_key(name, ours.version): self.candidates_by_name[
                name
            ]
            for name, ours in self._desired.items()
            if ours is not None and ours != current.services.get(name)
        }

    def result(
        self,
        before: manifests.Manifest,
        after: manifests.Manifest,
        *,
        is_dry_run: bool = False,
    ) -> PublishResult:
        """Returns the effect of this change between two manifests.

        Args:
            before: Manifest read before the publish.
            after: Manifest that contains the change.
            is_dry_run: Whether the change was not written.
        """
        ours = [
            name
            for name in sorted(self._desired)
            if before.services.get(name) != after.services.get(name)
        ]
        added = [name for name in ours if name not in before.services]
        removed = [name for name in ours if name not in after.services]
        others = {
            *after.changed_from(self.base),
            *after.removed_from(self.base),
        }
        return PublishResult(
            number=after.number,
            added=added,
            changed=[name for name in ours if name not in (*added, *removed)],
            removed=removed,
            merged=sorted(others - self._desired.keys()),
            is_dry_run=is_dry_run,
        )

    def _desired_versions(
        self, removed: set[str]
    ) -> dict[str, manifests.ServiceVersion | None]:
        unknown = removed - self.base.services.keys()
        if unknown:
            raise errors.ServiceFileError(
                "can't remove services that are not published: "
                + ", ".join(sorted(unknown))
            )
        contradictory = removed & self.candidates_by_name.keys()
        if contradictory:
            raise errors.ServiceFileError(
                "services both published and removed: "
                + ", ".join(sorted(contradictory))
            )
        desired: dict[str, manifests.ServiceVersion | None] = {
            name: manifests.version_of(item.body)
            for name, item in self.candidates_by_name.items()
        }
        desired = {
            name: ours
            for name, ours in desired.items()
            if ours != self.base.services.get(name)
        }
        desired.update({name: None for name in removed})
        return desired
