"""Tests of control VMs that lose their disks, or the connection to the cluster
for a long time."""

import os
import shutil
import signal
import unittest

from process.cluster_test_case import ClusterTestCase
from process.control_test import target
from process.processes import wait_until

CHANGES = 150
# Small, so that a VM that was paused has to receive a snapshot.
SNAPSHOT_INTERVAL = 50


class RecoveryTest(ClusterTestCase):
    controls = 3
    control_settings = {"snapshot_interval": SNAPSHOT_INTERVAL}

    def change(self, count, name):
        """Makes `count` changes; returns the last version."""
        base = wait_until(self.cluster.config_version, "version known")
        for i in range(count):
            wait_until(lambda i=i: self.cluster.change(
                target(4000 + i), f"{name}-{i}", base + i)[0] == 200,
                f"change {name}-{i}")
        return base + count

    def member(self, *arguments):
        """Runs `citronlane member`; returns whether it succeeded."""
        return self.cluster.command("member", *arguments,
                                    *self.cluster.admin_options())[0] == 0

    def lose(self, control):
        """Kills the process and removes its data folder; returns its id."""
        control.kill()
        self.cluster.controls.remove(control)
        node = control.name.split("-")[1]
        shutil.rmtree(os.path.join(self.cluster.folder, "data-" + node))
        return node

    def replace(self, lost, node):
        """Adds a new VM as a voter under a new id and removes the lost one."""
        new = self.cluster.add_control(node)
        ports = self.cluster.ports[new.name]
        address = "127.0.0.1:{}".format
        wait_until(lambda: self.member(
            "add", node, "--replication", address(ports["replication"]),
            "--control", address(ports["control"]),
            "--admin-address", address(ports["admin"])), "learner added")
        wait_until(lambda: self.member("promote", node), "learner promoted")
        wait_until(lambda: self.member("remove", lost), "lost VM removed")
        return new

    def test_second_vm_lost_right_after_a_repair(self):
        self.assert_whole([self.order("kept", "kept")])
        version = self.change(CHANGES, "before")
        document = self.cluster.admin("GET", "/v1/config")[1]
        leader = self.cluster.leader()
        follower = next(control for control in self.cluster.controls
                        if control is not leader)
        new = self.replace(self.lose(follower), "4")
        self.lose(leader)
        # The quorum of two now needs the new VM.
        self.assertEqual(wait_until(self.cluster.config_version, "version"),
                         version)
        self.assertEqual(self.cluster.admin("GET", "/v1/config")[1], document)
        again = wait_until(lambda: (lambda call: call.whole and call)(
            self.order("kept", "kept")), "stored answer")
        self.assert_clean([again])
        self.assertEqual(len(self.runs("t-engine", "kept")), 1)
        self.assertEqual(self.change(1, "after"), version + 1)
        self.cluster.wait_version(version + 1)
        self.assertTrue(new.running())
        self.figure(changes=CHANGES, disks_lost=2, entries_lost=0)
        # Back to three VMs for the following tests.
        self.replace("1" if leader.name == "control-1" else
                     leader.name.split("-")[1], "5")

    def test_vm_cut_off_through_many_changes_catches_up(self):
        leader = self.cluster.leader()
        away = next(control for control in self.cluster.controls
                    if control is not leader)
        away.pause()
        version = self.change(CHANGES, "away")
        away.send(signal.SIGCONT)
        port = self.cluster.ports[away.name]["admin"]
        wait_until(lambda: self.cluster.admin(
            "GET", "/v1/status", ports=[port], follow=False)[1].get(
                "config_version") == version, "caught up")
        self.assertEqual(self.cluster.config_version(), version)
        self.figure(changes=CHANGES, snapshot_interval=SNAPSHOT_INTERVAL)


if __name__ == "__main__":
    unittest.main()
