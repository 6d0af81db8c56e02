"""Tests that requests are served while most new connections reach one gateway,
which has capacity for a part of them only."""

import threading
import time
import unittest

from process.platform_fleet import Fleet, ask_at_intervals, new_id
from process.platform_stand_in import PlainServer
from process.platform_test import FleetTestCase

# Three requests for each: the crowded gateway serves fewer than arrive.
MEMORY_MB = 8
SECONDS = 6
GAP_SECONDS = 0.02
SERVER_SECONDS = 1.0
MIN_SERVED = 0.75


class SlowServer(PlainServer):
    """Takes a while for each request."""

    def answer(self, connection, request, fault=None):
        time.sleep(SERVER_SECONDS)
        super().answer(connection, request, fault)


class SmallFleet(Fleet):
    """Gateways with little memory."""

    def _make_servers(self, stages):
        super()._make_servers(stages)
        ip = f"{self.net}.200"
        for server in self.plain:
            server.close()
        self.plain = [SlowServer(ip, "shop", f"p{i}", "ab"[i % 2])
                      for i in range(2)]
        self.list.servers = self.engines + self.plain + self.stages

    def settings(self, ip, name, listen, **more):
        settings = super().settings(ip, name, listen, **more)
        if "front" in listen:
            settings["limits"]["memory_mb"] = MEMORY_MB
        return settings


class CrowdedGatewayTest(FleetTestCase):
    fleet_class = SmallFleet
    gateways = 3

    def try_once(self, path, gateway):
        """Returns the response's status, or None if the connection was closed
        without one."""
        try:
            return self.fleet.ask("GET", path, b"", new_id(),
                                  gateway=gateway).status or None
        except OSError:
            return None

    def check(self, path):
        lock = threading.Lock()
        first, later = [], []

        def ask(number):
            status = self.try_once(path, 0)
            with lock:
                first.append(status)
            if status is None:
                # Further attempts of callers reach other gateways.
                status = self.try_once(path, 1 + number % 2)
                with lock:
                    later.append(status)

        ask_at_intervals(ask, time.monotonic() + SECONDS, GAP_SECONDS)
        read = [status for status in first if status is not None]
        served = sum(status == 200 for status in read)
        served_later = sum(status == 200 for status in later)
        print(f"{path}: {len(first)} first attempts, {len(read)} read, "
              f"{served} served; {served_later} of {len(later)} served by "
              "other gateways", flush=True)
        self.assertGreater(served, 0)
        self.assertGreaterEqual(served, MIN_SERVED * len(read))
        self.assertGreater(len(later), 0)
        self.assertGreaterEqual(served + served_later,
                                MIN_SERVED * len(first))

    def test_requests_that_may_repeat(self):
        self.check("/look/x")

    def test_requests_that_may_run_once(self):
        self.check("/once/x")


if __name__ == "__main__":
    unittest.main()
