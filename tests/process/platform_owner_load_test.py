"""Tests of a pool whose owner has less processor than its work needs, with real
processes and a simulated platform."""

import json
import threading
import unittest

from process.platform_fleet import Fleet, new_id
from process.platform_test import FleetTestCase
from process.processes import wait_until

POOL = "cut"
# The pool and the engines; then one partition for each of two failure domains,
# and the engines.
WHOLE = 2
DIVIDED = 3


class SmallGateways(Fleet):
    """Each gateway may use so little of a core that a few requests a second
    overload the owner of a pool."""

    def settings(self, ip, name, listen, **more):
        settings = super().settings(ip, name, listen, **more)
        settings["limits"].update(cpu_share=0.03, cores=1, link_mbps=1000)
        return settings


class OwnerLoadTest(FleetTestCase):
    fleet_class = SmallGateways
    gateways = 4
    # Few enough for one owner by their number.
    stages = 8

    def lines(self, ip, event):
        lines = [json.loads(line) for line in
                 self.fleet.processes[ip].log_since_start().splitlines()]
        return [line for line in lines if line["event"] == event]

    def owned(self):
        """Returns how many pools and partitions each gateway owns, by its
        metrics: under load it drops log lines."""
        name = "citronlane_partitions_owned "
        return [int(float(line[len(name):]))
                for gateway in range(len(self.fleet.gateway_ips))
                for line in self.fleet.metrics(gateway).splitlines()
                if line.startswith(name)]

    def divisions(self):
        return [line for ip in self.fleet.control_ips
                for line in self.lines(ip, "pool divided")
                if line["partition"] == POOL]

    def test_a_pool_is_divided_once_its_owner_is_overloaded(self):
        wait_until(lambda: sum(self.owned()) == WHOLE, "owners of the pools")
        statuses = []
        is_over = threading.Event()

        def ask(caller):
            while not is_over.is_set():
                statuses.append(self.fleet.ask(
                    "POST", "/chat/x", b"hello", new_id(),
                    caller % len(self.fleet.gateway_ips)).status)

        callers = [threading.Thread(target=ask, args=(i,)) for i in range(8)]
        for caller in callers:
            caller.start()
        try:
            wait_until(self.divisions, "a division of the pool")
            wait_until(lambda: sum(self.owned()) == DIVIDED,
                       "an owner of each part")
        finally:
            is_over.set()
            for caller in callers:
                caller.join()
        self.assertEqual(set(statuses), {200})
        division = self.divisions()[0]
        self.assertIn(division["owner"].split(":")[0], self.fleet.gateway_ips)
        self.assertGreaterEqual(division["processor_percent"], 75)
        self.assertEqual(len(self.divisions()), 1)


if __name__ == "__main__":
    unittest.main()
