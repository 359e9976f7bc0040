"""Tests of the status object's codec."""

import unittest

from fuchsiacourse import errors
from fuchsiacourse import service_status


class ServiceStatusTest(unittest.TestCase):
    """Every process must read what another one wrote."""

    def test_round_trip(self):
        """Guards against a field that is lost on its way."""
        entry = service_status.Ejection(
            since=1.5,
            reason="latency",
            evidence={"kind": "lookup"},
            by="m1",
            backoff_s=5.0,
            incarnation="i1",
        )
        written = service_status.ServiceStatus(
            service="larder",
            config_number=3,
            ejected={"larder-1": entry},
            leaving={"larder-2": "i2"},
            cold={"larder-3": "i3"},
            released={"larder-4": "m1/0"},
        )
        read = service_status.decode(written.encode(), service="larder")
        self.assertEqual(written.encode(), read.encode())
        self.assertEqual("i1", read.ejected["larder-1"].incarnation)

    def test_wrong_content_is_refused(self):
        """Guards against using another service's or a damaged object."""
        other = service_status.ServiceStatus(service="horaires").encode()
        for value in (other, b"{", b"[]", b'{"service": "larder"}'):
            with self.assertRaises(errors.StoreError):
                service_status.decode(value, service="larder")
