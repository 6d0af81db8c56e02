"""Tests that a configuration change comes into force on all gateways, is
decided once and is never reverted."""

import threading
import time
import unittest

from checker.checker import Seen
from process import caller
from process.cluster_test_case import ClusterTestCase
from process.processes import wait_until

# Required time from a change until it is in force on all gateways.
IN_FORCE_SECONDS = 4.0
MANY_CHANGES = 300


def target(milliseconds):
    return {"classes": {"interactive": {"answer_ms": milliseconds}}}


class Load:
    """Sends streamed requests and records configuration versions until it is
    stopped."""

    def __init__(self, test):
        self.test = test
        self.calls, self.versions = [], []
        self.running = True
        self.threads = [threading.Thread(target=self.run, args=(index,))
                        for index in range(len(test.cluster.gateways))]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.running = False
        for thread in self.threads:
            thread.join()

    def run(self, index):
        gateway = self.test.cluster.gateways[index]
        while self.running:
            self.calls.append(self.test.ask(
                f"load {index} {len(self.calls)} {time.time()}", index,
                stream=True))
            version = self.test.cluster.seen_version(gateway)
            if version:
                self.versions.append(Seen(gateway.name, time.time(), version))


class ControlTest(ClusterTestCase):
    controls = 3
    gateways = 2

    def setUp(self):
        super().setUp()
        for control in self.cluster.controls:
            control.resume()
            if not control.running():
                control.start()
        self.cluster.wait_control()
        self.cluster.wait_ready()

    def change(self, patch, change_id):
        """Makes a change based on the current version; returns the new one."""
        base = wait_until(self.cluster.config_version, "version known")
        answers = []

        def send():
            answers.append(self.cluster.change(patch, change_id, base))
            return answers[-1][0] == 200
        try:
            wait_until(send, f"change {change_id} committed")
        except AssertionError as error:
            raise AssertionError(f"{error}: {answers[-3:]}") from error
        return int(answers[-1][1]["version"])

    def test_change_is_in_force_everywhere(self):
        times = []
        with Load(self) as load:
            for i in range(5):
                version = self.change(target(5000 + i), f"force-{i}")
                start = time.monotonic()
                self.cluster.wait_version(version, IN_FORCE_SECONDS)
                times.append(time.monotonic() - start)
        self.assert_whole(load.calls)
        self.assert_clean(load.calls, load.versions)
        self.figure(changes=5, slowest_ms=round(max(times) * 1000))

    def test_of_two_racing_changes_one_wins(self):
        for i in range(5):
            base = wait_until(self.cluster.config_version, "version")
            race = caller.Background()
            for name in "ab":
                race.start(self.cluster.change, target(4000 + ord(name)),
                           f"race-{i}-{name}", base)
            answers = sorted(race.join(), key=lambda answer: answer[0])
            self.assertEqual([status for status, _ in answers], [200, 409])
            self.assertEqual(self.cluster.config_version(), base + 1)
            # The response to the loser names the winner. The winner's change
            # sent again has the same result.
            winner = answers[1][1]["winner_change_id"]
            self.assertIn(winner, (f"race-{i}-a", f"race-{i}-b"))
            again = self.cluster.change(target(4000 + ord(winner[-1])), winner,
                                        base)
            self.assertEqual((again[0], again[1]["version"]), (200, base + 1))

    def test_change_sent_again_changes_nothing_more(self):
        base = wait_until(self.cluster.config_version, "version")
        first = self.cluster.change(target(4100), "again", base)
        self.change(target(4200), "between")
        second = self.cluster.change(target(4100), "again", base)
        self.assertEqual((first[0], second[0]), (200, 200))
        self.assertEqual(first[1]["version"], second[1]["version"])
        self.assertEqual(self.cluster.config_version(), base + 2)
        # Another change with the same id is refused.
        self.assertEqual(self.cluster.change(target(9), "again", base)[0], 409)

    def test_leader_killed_while_gateways_serve(self):
        with Load(self) as load:
            leader = self.cluster.leader()
            before = self.change(target(4300), "before-kill")
            leader.kill()
            after = self.change(target(4301), "after-kill")
            self.cluster.wait_version(after)
            leader.start()
            wait_until(self.cluster.leader, "a leader")
        self.assertGreater(after, before)
        self.assert_whole(load.calls)
        self.assert_clean(load.calls, load.versions)
        self.figure(requests=len(load.calls), refused=0, lost=0)

    def test_cut_off_leader_reverts_nothing(self):
        with Load(self) as load:
            leader = self.cluster.leader()
            leader.pause()
            after = self.change(target(4400), "while-paused")
            self.cluster.wait_version(after)
            leader.resume()
            wait_until(lambda: self.cluster.admin("GET", "/v1/config", ports=[
                self.cluster.ports[leader.name]["admin"]])[1].get("version")
                == after, "old leader follows")
        self.assert_whole(load.calls)
        self.assert_clean(load.calls, load.versions)
        self.figure(requests=len(load.calls), refused=0, reverted=0)

    def test_all_control_vms_restart_after_many_changes(self):
        for i in range(MANY_CHANGES):
            version = self.change(target(4500 + i), f"many-{i}")
        document = self.cluster.admin("GET", "/v1/config")[1]
        for control in self.cluster.controls:
            control.kill()
        start = time.monotonic()
        for control in self.cluster.controls:
            control.start()
        self.cluster.wait_control()
        restarted = time.monotonic() - start
        self.assertEqual(wait_until(self.cluster.config_version, "version"),
                         version)
        self.assertEqual(self.cluster.admin("GET", "/v1/config")[1], document)
        self.assertEqual(self.change(target(4999), "after"), version + 1)
        self.cluster.wait_version(version + 1)
        self.figure(changes=MANY_CHANGES,
                    restart_ms=round(restarted * 1000))

    def test_without_a_quorum_nothing_new_is_accepted(self):
        version = wait_until(self.cluster.config_version, "version")
        for control in self.cluster.controls[:2]:
            control.pause()
        def refused(index):
            call = self.ask(f"no quorum {time.time()}", index)
            return call.status == 503 and call
        calls = [wait_until(lambda i=i: refused(i), "lease lapsed")
                 for i in range(self.gateways)]
        once = self.order("no quorum", "no-quorum")
        self.assertEqual({call.verdict for call in calls + [once]},
                         {"not_run"})
        self.assert_clean(calls + [once])
        for control in self.cluster.controls[:2]:
            control.resume()
        self.cluster.wait_ready()
        self.assertEqual(wait_until(self.cluster.config_version, "version"),
                         version)
        self.assert_whole([self.ask("quorum again", i)
                           for i in range(self.gateways)])


if __name__ == "__main__":
    unittest.main()
