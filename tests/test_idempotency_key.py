"""Tests of the format of issued idempotency keys."""

import unittest

from fuchsiacourse import idempotency_key

INCARNATION = "0181f3b2c4000001"


class IdempotencyKeyTest(unittest.TestCase):
    """A key must have one spelling; malformed keys must be rejected."""

    def test_text_and_parts_agree(self):
        """Guards against a key that parses into another one."""
        text = f"fc1-{INCARNATION}-7-63"
        key = idempotency_key.parse(text)
        self.assertEqual(
            (INCARNATION, 7, 63), (key.incarnation, key.block, key.number)
        )
        self.assertEqual(text, str(key))

    def test_other_spellings_are_rejected(self):
        """Guards against two ledger records for one key."""
        for text in (
            f"fc1-{INCARNATION}-07-1",
            f"fc1-{INCARNATION}-7-01",
            f"fc1-{INCARNATION}-7-+1",
            f"fc1-{INCARNATION}-7-1 ",
            f"fc1-{INCARNATION.upper()[:-1]}A-7-1",
            f"fc1-{INCARNATION}-7",
            f"fc1-{INCARNATION}-7-1\n",
            f"fc1-{INCARNATION}-\u0667-1",
            "fc1-",
        ):
            self.assertIsNone(idempotency_key.parse(text), text)
            self.assertTrue(idempotency_key.is_issued_form(text))
