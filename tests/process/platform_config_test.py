"""Tests of large configurations in quick succession, with real processes and a
simulated platform."""

import json
import time
import unittest

from process.platform_fleet import new_id, with_more_routes
from process.platform_test import FleetTestCase
from process.processes import wait_until

ROUTES = 1400
# The platform's limit, counted from the acknowledgement.
IN_FORCE_SECONDS = 2.5
# Memory limit of a control VM: 256 MB.
CONTROL_MEGABYTES = 128
# Time after which control does not wait for a gateway that confirms nothing.
GIVEN_UP_SECONDS = 1.5


class LargeConfigTest(FleetTestCase):
    gateways = 4

    def change(self, document):
        """Sends the next version; returns the document and the time of the
        acknowledgement."""
        self.fleet.version += 1
        document = dict(document, version=self.fleet.version)
        wait_until(lambda: self.fleet.put(document) == 200, "an answer")
        return document, time.monotonic()

    def lines(self, ip, event):
        lines = [json.loads(line) for line in
                 self.fleet.processes[ip].log_since_start().splitlines()]
        return [line for line in lines if line["event"] == event]

    def newest_in_force(self, ip):
        return max(line["version"] for line in self.lines(ip, "config in force"))

    def assert_in_force(self, version, acknowledged, ips):
        wait_until(lambda: all(self.newest_in_force(ip) >= version
                               for ip in ips), "the newest version in force")
        self.assertLess(time.monotonic() - acknowledged, IN_FORCE_SECONDS)

    # Guards against queueing the complete document of each version for each
    # gateway: control then held all of them in memory, and gateways used
    # versions that had been replaced.
    def test_1_changes_overtake_what_a_stopped_gateway_has_not_read(self):
        ips = self.fleet.gateway_ips
        stopped = ips[0]
        document = self.fleet.document
        self.fleet.processes[stopped].pause()
        for _ in range(3):
            document, acknowledged = self.change(
                with_more_routes(document, ROUTES))
            for _ in range(8):
                document, acknowledged = self.change(document)
        self.assert_in_force(document["version"], acknowledged, ips[1:])
        self.fleet.processes[stopped].resume()
        self.assert_in_force(document["version"], time.monotonic(), ips)
        for ip in self.fleet.control_ips:
            self.assertLess(self.peak_megabytes(ip), CONTROL_MEGABYTES)
        last = document["routes"][-1]["path_prefix"]
        for i in range(len(ips)):
            answer = self.fleet.ask("GET", last + "x", b"", new_id(), i)
            self.assertEqual(answer.status, 200)
        # A running gateway receives only differences after the first document.
        for ip in ips[1:]:
            for line in self.lines(ip, "config in force")[1:]:
                self.assertGreater(line["base"], 0)
                self.assertLess(line["bytes"], line["document_bytes"] / 4)

    # Guards against an acknowledgement to the operator while gateways still use
    # the previous version.
    def test_2_what_is_acknowledged_is_held_by_every_gateway(self):
        document = with_more_routes(self.fleet.document, ROUTES)
        for _ in range(10):
            document, _ = self.change(document)
            held = [self.fleet.route_version(ip)
                    for ip in self.fleet.gateway_ips]
            self.assertGreaterEqual(min(held), document["version"])
        texts = [self.fleet.call_control("GET", "/metrics", ip=ip)[1].decode()
                 for ip in self.fleet.control_ips]
        leaders = [text for text in texts
                   if "\ncitronlane_control_leads 1\n" in text]
        self.assertEqual(len(leaders), 1)
        for name, value in (("watchers", self.gateways),
                            ("config_version", document["version"]),
                            ("config_lowest_version", document["version"]),
                            ("config_gateways_behind", 0)):
            self.assertIn(f"\ncitronlane_control_{name} {value}\n",
                          leaders[0])

    def test_3_a_gateway_that_is_stopped_holds_up_no_operator_for_long(self):
        document = self.fleet.document
        stopped = self.fleet.processes[self.fleet.gateway_ips[0]]
        stopped.pause()
        try:
            document, _ = self.change(document)
            time.sleep(GIVEN_UP_SECONDS)

            def did_not_wait():
                nonlocal document
                document, _ = self.change(document)
                return self.was_in_force(document["version"])
            wait_until(did_not_wait, "a change that waits for the others only")
        finally:
            stopped.resume()

    def was_in_force(self, version):
        """Returns whether the version was in force on all gateways when control
        acknowledged it."""
        return any(line["version"] == version and line["in_force"] == "yes"
                   for ip in self.fleet.control_ips
                   for line in self.lines(ip, "config acknowledged"))

    def peak_megabytes(self, ip):
        path = f"/proc/{self.fleet.processes[ip].child.pid}/status"
        with open(path, encoding="ascii") as status:
            for line in status:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        raise AssertionError("no peak in " + path)


if __name__ == "__main__":
    unittest.main()
