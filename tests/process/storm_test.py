"""Tests that the invariants hold under load with repeated, overlapping faults
of every kind."""

import random
import threading
import time
import unittest

from checker.checker import Seen
from process.cluster_test_case import ClusterTestCase
from process.processes import wait_until

SEED = 20
STEPS = 24
STEP_SECONDS = 0.25
CALLERS = 8
BURST = 300
FAULTS = [{"slow_ms": 400}, {"stop": True}, {"fail": 3}, {"reject": 3},
          {"close_after_read": 2}, {"close_before_run": 2}, {"wrong_id": 2},
          {"garbage": 2}, {"cut_stream": 2, "cut_at": 6}]


class StormTest(ClusterTestCase):
    controls = 3
    gateways = 3

    def setUp(self):
        super().setUp()
        self.random = random.Random(SEED)
        self.calls, self.versions = [], []
        self.running = True
        self.down = set()

    def call_all_the_time(self, index):
        """Sends orders and questions to random gateways. Orders without an
        answer are sent again with the same idempotency key."""
        source = random.Random(index)
        count = 0
        while self.running:
            count += 1
            text = f"storm {index} {count}"
            gateway = source.randrange(self.gateways)
            if source.random() < 0.3:
                for again in range(3):
                    self.send(self.order, text, f"key-{index}-{count}",
                              (gateway + again) % self.gateways)
                    if self.calls[-1].whole:
                        break
            else:
                self.send(self.ask, text, gateway,
                          stream=source.random() < 0.5)

    def send(self, function, *arguments, **options):
        gateway = self.cluster.gateways[arguments[-1]]
        process_id = gateway.child.pid
        call = function(*arguments[:-1], gateway=arguments[-1], **options)
        call.server_killed = (gateway.name in self.down or
                              gateway.child.pid != process_id)
        self.calls.append(call)

    def watch_versions(self):
        while self.running:
            for gateway in self.cluster.gateways:
                version = self.cluster.seen_version(gateway)
                if version:
                    self.versions.append(
                        Seen(gateway.name, time.time(), version))
            time.sleep(0.02)

    def one_fault(self, step):
        """Injects one fault and ends an earlier one."""
        kind = self.random.randrange(4)
        servers = [server["id"] for server in
                   self.cluster.fleet[0].fakes()]
        server = self.random.choice(servers)
        if kind <= 1:
            self.cluster.fault(server, reset=True, start=True)
            self.cluster.fault(server, **self.random.choice(FAULTS))
        elif kind == 2:
            process = self.random.choice(self.cluster.gateways)
            self.down.add(process.name)
            process.kill()
            process.start()
            wait_until(lambda: self.cluster.is_ready(process), "ready again")
            self.down.discard(process.name)
        else:
            process = self.cluster.leader() or self.cluster.controls[0]
            process.kill()
            process.start()
        base = self.cluster.config_version()
        if base:
            self.cluster.change({"classes": {"interactive": {
                "answer_ms": 5000 + step}}}, f"storm-{step}", base)

    def test_faults_together_and_twice(self):
        threads = [threading.Thread(target=self.call_all_the_time, args=(i,))
                   for i in range(CALLERS)]
        threads.append(threading.Thread(target=self.watch_versions))
        for thread in threads:
            thread.start()
        try:
            for step in range(STEPS):
                self.one_fault(step)
                time.sleep(STEP_SECONDS)
        finally:
            self.running = False
            for thread in threads:
                thread.join()
        self.assert_clean(self.calls, self.versions)
        whole = sum(call.whole for call in self.calls)
        self.figure(faults=STEPS, requests=len(self.calls), whole=whole,
                    broken_invariants=0)

    def test_burst_is_answered_or_refused_truly(self):
        calls = self.ask_at_once(BURST, "burst")
        self.assert_clean(calls)
        whole = sum(call.whole for call in calls)
        self.assertGreater(whole, 0)
        self.figure(requests=BURST, whole=whole, refused=BURST - whole)


if __name__ == "__main__":
    unittest.main()
