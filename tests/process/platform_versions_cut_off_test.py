"""Tests that streams which are taken up at a gateway that is cut off from all
servers go on, and only at the software version that began them."""

import time
import unittest

from process.platform_cut_off_test import CONTACT_SECONDS, ProxiedFleet
from process.platform_fleet import new_id
from process.platform_streams import VersionedFleet
from process.platform_versions_test import STREAMS, VersionsTestCase
from process.processes import wait_until


class CutOffVersionedFleet(ProxiedFleet, VersionedFleet):
    """The engines of two versions, each behind a proxy."""


class CutOffGatewayTest(VersionsTestCase):
    fleet_class = CutOffVersionedFleet

    def setUp(self):
        super().setUp()
        wait_until(lambda: len(self.fleet.owners()) == 2, "owners of the pools")

    def test_taken_up_at_a_gateway_without_servers(self):
        streams = self.cut_streams(lambda index: 1 + index % 2)
        self.addCleanup(time.sleep, 2)
        self.addCleanup(self.fleet.cut_off, [])
        self.fleet.cut_off([0])
        end = time.monotonic() + CONTACT_SECONDS
        while time.monotonic() < end:
            for gateway in range(self.gateways):
                self.fleet.ask("GET", "/look/x", b"", new_id(), gateway)
        self.ask_all(streams, lambda _: 0)
        self.check("gateway cut off", streams, STREAMS // 2)


if __name__ == "__main__":
    unittest.main()
