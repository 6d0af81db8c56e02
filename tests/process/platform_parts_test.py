"""Tests of a stage pool so large that it is partitioned by failure domain, with
real processes and a simulated platform."""

import collections
import concurrent.futures
import json
import unittest

from process.platform_fleet import new_id
from process.platform_test import FleetTestCase
from process.processes import wait_until

PARTS = ("cut/a", "cut/b")


class DividedPoolTest(FleetTestCase):
    gateways = 4
    # More servers than one gateway may own as a whole pool.
    stages = 26

    def setUp(self):
        super().setUp()
        wait_until(lambda: set(self.owners()) >= set(PARTS),
                   "a gateway for each part")

    def lines(self, ip):
        return [json.loads(line) for line in
                self.fleet.processes[ip].log_since_start().splitlines()]

    def owners(self):
        """Returns the owner of each partition, from the logs of running
        gateways, by the assignment with the highest number."""
        newest, found = 0, {}
        for ip in self.fleet.gateway_ips:
            changes = [line for line in self.lines(ip)
                    if line["event"] == "owners changed"]
            if not changes or not self.fleet.processes[ip].running():
                continue
            number = changes[-1]["number"]
            if number > newest:
                newest, found = number, {}
            if number == newest:
                found.update({part: ip for part in changes[-1]["own"].split()})
        return found

    def ask_all(self, count, gateways):
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            return list(pool.map(
                lambda i: self.fleet.ask("POST", "/chat/x", b"hello", new_id(),
                                         gateways[i % len(gateways)]).status,
                range(count)))

    def callers(self, begun):
        """Returns the gateways that called each partition's servers, by the log
        lines after the numbers in `begun`."""
        callers = collections.defaultdict(set)
        for ip in self.fleet.gateway_ips:
            for line in self.lines(ip)[begun.get(ip, 0):]:
                if line["event"] == "call" and line["part"] == "stages":
                    callers[line["service"]].add(ip)
        return callers

    def log_sizes(self):
        return {ip: len(self.lines(ip)) for ip in self.fleet.gateway_ips}

    def test_1_each_part_is_called_by_its_gateway_alone(self):
        owners = self.owners()
        self.assertEqual(len({owners[part] for part in PARTS}), 2)
        begun = self.log_sizes()
        self.assertEqual(set(self.ask_all(80, range(4))), {200})
        callers = self.callers(begun)
        self.assertTrue(callers)
        for part, called_by in callers.items():
            self.assertEqual(called_by, {owners[part]})
        self.assertLessEqual(set(callers), set(PARTS))

    def test_2_a_lost_part_is_made_elsewhere_until_control_names_another(self):
        owners = self.owners()
        lost = owners[PARTS[0]]
        others = [i for i, ip in enumerate(self.fleet.gateway_ips)
                  if ip != lost]
        self.fleet.processes[lost].kill()
        begun = self.log_sizes()
        begun[lost] = len(self.lines(lost))
        self.assertEqual(set(self.ask_all(60, others)), {200})
        wait_until(lambda: self.owners().get(PARTS[0]) not in (None, lost),
                   "another gateway for the part")
        following = self.owners()[PARTS[0]]
        # No third gateway called the partition's servers in between.
        self.assertLessEqual(self.callers(begun)[PARTS[0]], {following})
        self.assertEqual(set(self.ask_all(60, others)), {200})
        self.fleet.start_gateway(lost)
        self.fleet.wait_ready()
        self.assertEqual(set(self.ask_all(40, range(4))), {200})


if __name__ == "__main__":
    unittest.main()
