"""Tests of orders to drain failure domains while control VMs and gateways are
lost, frozen or started again."""

import json
import time

from process.platform_test import DrainTestCase
from process.processes import wait_until


class DrainFaultsTest(DrainTestCase):

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        # From then on the fleet bears the loss of a control VM.
        wait_until(lambda: all('"log format recorded"' in
                               cls.fleet.processes[ip].log()
                               for ip in cls.fleet.control_ips),
                   "control VMs that know what all of them apply")

    def tearDown(self):
        for process in self.fleet.processes.values():
            if process.running():
                process.resume()
        self.acknowledge("a", "finish")
        self.in_force({"a", "b"})

    def leader(self):
        """Returns the address of the control VM that leads; None when none
        replies that it does."""
        for ip in self.fleet.control_ips:
            process = self.fleet.processes[ip]
            if not process.running():
                continue
            roles = [json.loads(line).get("role")
                     for line in process.log_since_start().splitlines()
                     if '"role changed"' in line]
            if roles and roles[-1] == "leader":
                return ip
        return None

    def acknowledge(self, domain, what, ips=None):
        """Sends an order as operators do, to any control VM until it is
        acknowledged. It may have no clear answer but is never refused. How
        soon that is, unit-drain-schedules shows: here it depends on what else
        the machine does."""
        def acknowledged():
            for ip in ips or self.fleet.control_ips:
                status = self.send(domain, what, ip)
                self.assertIn(status, (0, 200, 503))
                if status == 200:
                    return True
            return False
        wait_until(acknowledged, f"{what} for {domain} acknowledged")

    def send(self, domain, what, ip):
        return self.fleet.call_control(
            "POST", f"/v1/evacuations/{domain}/{what}", ip=ip, seconds=1)[0]

    def in_force(self, domains):
        self.wait_for_domains(domains)
        self.assertLessEqual(self.domains_used(), domains)

    def test_leader_frozen_in_an_order(self):
        for what, domains in (("start", {"b"}), ("finish", {"a", "b"})):
            leader = wait_until(self.leader, "a leader")
            others = [ip for ip in self.fleet.control_ips if ip != leader]
            self.fleet.processes[leader].pause()
            self.acknowledge("a", what, others)
            self.in_force(domains)
            # It wakes up with what it last knew.
            self.fleet.processes[leader].resume()
            self.in_force(domains)
            for ip in self.fleet.control_ips:
                self.acknowledge("a", what, [ip])
            self.in_force(domains)

    def test_no_quorum_acknowledges_nothing(self):
        frozen = self.fleet.control_ips[:2]
        for ip in frozen:
            self.fleet.processes[ip].pause()
        end = time.monotonic() + 2
        while time.monotonic() < end:
            status = self.send("a", "start", self.fleet.control_ips[2])
            self.assertIn(status, (0, 503))
        for ip in frozen:
            self.fleet.processes[ip].resume()
        self.acknowledge("a", "start")
        self.in_force({"b"})

    def test_taken_back_while_a_gateway_is_frozen(self):
        self.acknowledge("a", "start")
        self.in_force({"b"})
        for what, domains in (("finish", {"a", "b"}), ("start", {"b"})):
            gateway = self.fleet.processes[self.fleet.gateway_ips[1]]
            gateway.pause()
            self.acknowledge("a", what)
            time.sleep(1)
            gateway.resume()
            self.in_force(domains)

    def test_control_vms_start_again_beside_a_lost_one(self):
        lost = self.fleet.control_ips[2]
        for ip in self.fleet.control_ips:
            self.fleet.processes[ip].kill()
        self.addCleanup(self.fleet.start_control, lost)
        for ip in self.fleet.control_ips[:2]:
            self.fleet.start_control(ip)
        wait_until(self.fleet.get, "control VMs that serve")
        self.acknowledge("a", "start", self.fleet.control_ips[:2])
        self.in_force({"b"})
