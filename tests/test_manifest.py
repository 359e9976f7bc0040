"""Tests of manifests and their differences."""

import unittest

from fuchsiacourse import errors
from fuchsiacourse import manifest


def make(number: int, **bodies: str) -> manifest.Manifest:
    """Returns a manifest of services with the given bodies."""
    return manifest.Manifest(
        number=number,
        publish_id=f"p{number}",
        services={
            name: manifest.version_of(body.encode())
            for name, body in bodies.items()
        },
    )


class ManifestTest(unittest.TestCase):
    """A difference must reproduce the manifest it was computed from."""

    def test_difference(self):
        """Guards against a difference that loses a removal or a change."""
        base, current = make(3, a="1", b="1"), make(5, b="2", c="1")
        difference = manifest.delta(base, current).model_dump_json().encode()
        found = manifest.resolve(difference, base, source="test")
        self.assertEqual(current.encode(), found.encode())
        whole = manifest.resolve(current.encode(), base, source="test")
        self.assertEqual(current, whole)

    def test_difference_to_another_base(self):
        """Guards against mixing the services of two manifests."""
        difference = manifest.delta(make(3, a="1", b="1"), make(5, a="2"))
        content = difference.model_dump_json().encode()
        for base in (make(4, a="1", b="1"), make(3, a="1", b="1", c="1")):
            with self.assertRaises(errors.ServiceFileError):
                manifest.resolve(content, base, source="test")

    def test_unreadable_manifest(self):
        """Guards against an error that does not name the wrong field."""
        with self.assertRaises(errors.ServiceFileError) as caught:
            manifest.decode(b'{"number": "x"}', source="manifest")
        self.assertIn("manifest: number", str(caught.exception))
