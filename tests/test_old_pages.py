"""Tests of lists whose pages have different revisions."""

import json
import unittest

from bench import front_fakes
from fuchsiacourse.front import http_answer
from fuchsiacourse.platform import object_store


class PagedStore(object_store.ObjectStore):
    """Client that receives two pages, the second one older."""

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
    """Guards against a watch that misses changes between two pages.

    The store may serve a later page from an older revision, so the watch must
    start from the oldest page.
    """

    async def test_list_has_the_revision_of_its_oldest_page(self):
        store = PagedStore(
            address=("127.0.0.1", 1),
            limits=front_fakes.limits_on_answers(),
        )
        batch = await store.watch("boxes/", after_revision=0, timeout_s=1.0)
        self.assertEqual(2, len(batch.objects))
        self.assertLessEqual(batch.revision, 12)
