"""Tests that nothing is lost when a control VM loses its disk, is replaced, and
another one is lost."""

import os
import shutil
import unittest

from process import processes
from process.cluster_test_case import ClusterTestCase
from process.processes import LOOPBACK, Process, free_port, wait_until, \
    write_json

NEW_ID = 4
PARTS = ("replication", "control", "admin")


class LostDiskTest(ClusterTestCase):
    controls = 3

    def lose_disk(self, control):
        """Kills the process and removes its data folder."""
        control.kill()
        shutil.rmtree(os.path.join(self.cluster.folder,
                                   f"data-{self.id_of(control)}"))

    @staticmethod
    def id_of(control):
        return int(control.name.rpartition("-")[2])

    def follower(self, *others):
        """Returns a control process that is neither the leader nor one of the
        others."""
        leader = wait_until(self.cluster.leader, "a leader")
        return next(control for control in self.cluster.controls
                    if control is not leader and control not in others)

    def member(self, *arguments):
        code, _, err = self.cluster.command("member", *arguments,
                                            *self.cluster.admin_options())
        return code == 0 or self.refused(err)

    def refused(self, reason):
        self.refusal = reason
        return False

    def start_new(self, lost):
        """Starts a control process with an empty folder and a new id."""
        cluster = self.cluster
        name = f"control-{NEW_ID}"
        cluster.ports[name] = {part: free_port() for part in PARTS}
        names = [control.name for control in cluster.controls] + [lost, name]
        settings = cluster._control_settings(NEW_ID, sorted(names))
        settings["control"]["join"] = True
        path = write_json(os.path.join(cluster.folder, name + ".json"),
                          settings)
        new = Process(name, [processes.BINARY, "control", "--settings", path],
                      cluster.folder)
        self.addCleanup(lambda: new.running() and new.kill())
        return new

    def change(self, milliseconds):
        base = wait_until(self.cluster.config_version, "version known")
        patch = {"classes": {"interactive": {"answer_ms": milliseconds}}}
        wait_until(lambda: self.cluster.change(
            patch, f"change-{milliseconds}", base)[0] == 200, "a change")
        return base + 1

    def test_replaced_voter_keeps_all_when_another_is_lost(self):
        self.change(5001)
        lost = self.follower()
        self.lose_disk(lost)

        # With unchanged settings it reports what to do and does not serve.
        lost.start()
        self.assertEqual(lost.wait(), 1)
        self.assertIn("add this VM as a learner", lost.log())
        self.cluster.controls.remove(lost)
        self.change(5002)

        new = self.start_new(lost.name)
        ports = self.cluster.ports[new.name]
        addresses = [f"{LOOPBACK}:{ports[part]}" for part in PARTS]
        self.refusal = ""
        for arguments in (
                ["add", str(NEW_ID), "--replication", addresses[0],
                 "--control", addresses[1], "--admin-address", addresses[2]],
                ["promote", str(NEW_ID)], ["remove", str(self.id_of(lost))]):
            try:
                wait_until(lambda a=arguments: self.member(*a), arguments[0])
            except AssertionError as error:
                raise AssertionError(f"{error}: {self.refusal}") from error
        self.cluster.controls.append(new)
        before = self.change(5003)

        second = self.follower(new)
        self.lose_disk(second)
        self.cluster.controls.remove(second)
        after = self.change(5004)
        self.assertEqual(after, before + 1)
        self.cluster.wait_version(after)
        status, answer = self.cluster.admin("GET", "/v1/config",
                                            ports=[ports["admin"]])
        self.assertEqual((status, answer["version"]), (200, after))


if __name__ == "__main__":
    unittest.main()
