"""Tests that callers of a gateway that is cut off from all backend servers are
served, and that such a gateway harms no others."""

import json
import time
import unittest

from process.platform_fleet import Fleet, new_id
from process.platform_test import FleetTestCase
from process.processes import wait_until
from process.source_proxy import SourceProxy

# From this time after the cut on, callers are served everywhere.
CONTACT_SECONDS = 3
ROUNDS = 12
KINDS = (("POST", "/chat/x"), ("GET", "/look/x"), ("GET", "/once/x"))


class ProxiedFleet(Fleet):
    """A fleet with a proxy before each server, which can cut gateways off."""

    def _make_servers(self, stages):
        super()._make_servers(stages)
        self.proxies = []
        for server in self.engines + self.plain + self.stages:
            proxy = SourceProxy(f"{self.net}.201", server.address)
            # Handles begin with the address that the list names.
            server.address = proxy.address
            self.proxies.append(proxy)

    def cut_off(self, gateways):
        """Cuts these gateways, by number, off from all servers."""
        pids = [self.processes[self.gateway_ips[gateway]].child.pid
                for gateway in gateways]
        for proxy in self.proxies:
            proxy.cut(pids)

    def found_cut_off(self, gateway):
        """Returns when a gateway last found that it is cut off; 0 if never."""
        ip = self.gateway_ips[gateway]
        lines = [json.loads(line) for line in
                 self.processes[ip].log_since_start().splitlines()]
        found = [line["time_ms"] / 1000 for line in lines
                 if line["event"] == "cut off from servers"]
        return found[-1] if found else 0

    def owners(self):
        """Returns the number of the gateway that owns each pool, by service."""
        latest = {}
        for gateway, ip in enumerate(self.gateway_ips):
            lines = [json.loads(line) for line in
                     self.processes[ip].log_since_start().splitlines()]
            changes = [line for line in lines
                       if line["event"] == "owners changed"]
            for service in (changes[-1]["own"] if changes else "").split():
                latest[service] = gateway
        return latest

    def close(self):
        super().close()
        for proxy in self.proxies:
            proxy.close()


class CutOffTest(FleetTestCase):
    fleet_class = ProxiedFleet
    gateways = 3

    def setUp(self):
        super().setUp()
        wait_until(lambda: len(self.fleet.owners()) == 2, "owners of the pools")

    def tearDown(self):
        self.fleet.cut_off([])
        time.sleep(2)

    def served(self, gateway):
        """Returns how many of some requests a gateway serves."""
        count = 0
        for _ in range(ROUNDS):
            for method, path in KINDS:
                answer = self.fleet.ask(method, path, b"", new_id(), gateway)
                count += answer.status == 200 and answer.whole
        return count

    def check(self, cut):
        """Cuts gateways off and checks that callers of all are served."""
        self.fleet.cut_off(cut)
        end = time.monotonic() + CONTACT_SECONDS
        while time.monotonic() < end:
            for gateway in range(self.gateways):
                for method, path in KINDS:
                    self.fleet.ask(method, path, b"", new_id(), gateway)
        served = [self.served(gateway) for gateway in range(self.gateways)]
        print(f"cut off: {cut}; served of {ROUNDS * len(KINDS)} each: {served}",
              flush=True)
        self.assertGreaterEqual(min(served), 0.9 * ROUNDS * len(KINDS))
        runs = [count for server in self.fleet.plain
                for request, count in server.runs.items()]
        self.assertLessEqual(max(runs), 1)

    def test_gateway_without_pools(self):
        owners = self.fleet.owners().values()
        self.check([min(set(range(self.gateways)) - set(owners))])

    def test_owner_of_a_stage_pool(self):
        self.check([self.fleet.owners()["cut"]])

    def test_placement_owner_of_engines(self):
        self.check([self.fleet.owners()["models"]])

    def test_all_but_one(self):
        first = self.fleet.owners()["cut"]
        self.check([first, (first + 1) % self.gateways])

    def set_links(self, name, value):
        """Sets a property of all links to servers until the test ends."""
        for proxy in self.fleet.proxies:
            self.addCleanup(setattr, proxy, name, getattr(proxy, name))
            setattr(proxy, name, value)

    def test_links_that_reset_new_connections_late(self):
        """Such a probe counted as reached, and the gateway served nobody."""
        self.set_links("reset_delay", 0.15)
        self.check([0])

    def test_links_that_reset_new_connections_later(self):
        """Each call ends later than a probe, and the probe's connection, too."""
        self.set_links("reset_delay", 0.45)
        self.check([0])

    def test_links_that_lose_all_data(self):
        """Connections are taken and stay open."""
        self.set_links("hangs", True)
        cut = time.time()
        self.check([0])
        found = self.fleet.found_cut_off(0)
        print(f"found {found - cut:.3f} s after the cut", flush=True)
        self.assertGreater(found, cut)
        self.assertLess(found, cut + CONTACT_SECONDS)

    def test_served_after_a_cut(self):
        self.fleet.cut_off([0])
        time.sleep(CONTACT_SECONDS)
        self.fleet.cut_off([])
        time.sleep(2)
        self.assertEqual(self.served(0), ROUNDS * len(KINDS))


if __name__ == "__main__":
    unittest.main()
