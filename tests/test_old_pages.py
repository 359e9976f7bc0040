"""Tests of lists whose pages are of different age."""

import json
import unittest

from fuchsiacourse.front import http_answer
from fuchsiacourse.platform import object_store


class PagedStore(object_store.ObjectStore):
    """Client that gets two pages, the second one older."""

    async def _call(self, method, path, *, body=None, wait_s=0.0):
        is_first = "after=" not in path
        name = "a" if is_first else "b"
        metadata = {"name": name, "revision": 3, "finalizers": []}
        content = {
            "items": [{"metadata": metadata, "spec": {}, "status": None}],
            "has_more": is_first,
            "as_of": 20 if is_first else 12,
        }
        return http_answer.HttpAnswer(
            status=200, headers=[], body=json.dumps(content).encode()
        )


class OldPagesTest(unittest.IsolatedAsyncioTestCase):
    """A watch must go on after the oldest page of a list."""

    async def test_changes_between_an_old_page_and_a_newer_one(self):
        store = PagedStore(address=("127.0.0.1", 1))
        batch = await store.watch("boxes/", after_revision=0, timeout_s=1.0)
        self.assertEqual(2, len(batch.objects))
        self.assertLessEqual(batch.revision, 12)
