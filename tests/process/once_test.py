"""Tests that a non-idempotent request runs at most once, whichever process is
killed."""

import unittest

from process import caller
from process.cluster_test_case import ClusterTestCase
from process.processes import wait_until

# Points at which the first gateway is killed: pool that is held, and the token
# for the engine.
STEPS = [("t-encoder", 0), ("t-retriever", 0), ("t-reranker", 0),
         ("t-engine", 0), ("t-engine", 5)]
RUNNING = "idempotent_request_running"


class OnceTest(ClusterTestCase):
    controls = 3
    gateways = 2
    control_settings = {"gateway_timeout_ms": 4000}

    def resend(self, text, key, gateway=0):
        """Resends the request until it is not refused as still running."""
        calls = []

        def settled():
            calls.append(self.order(text, key, gateway))
            return calls[-1].reason != RUNNING
        wait_until(settled, "claim settled")
        return calls

    def test_gateway_killed_at_each_step_and_request_sent_again(self):
        outcomes = {}
        for pool, hold_at in STEPS:
            with self.subTest(pool=pool, hold_at=hold_at):
                text = key = f"killed-{pool}-{hold_at}"
                victim = self.cluster.add_gateway("victim-" + key)
                wait_until(lambda v=victim: self.cluster.is_ready(v), "ready: " + victim.log())
                self.cluster.fault(pool, hold=True, hold_at=hold_at)
                background = caller.Background()
                background.start(self.order, text, key,
                                 self.cluster.gateways.index(victim))
                wait_until(lambda p=pool, t=text: self.runs(p, t), "held")
                victim.kill()
                self.cluster.gateways.remove(victim)
                self.cluster.fault(pool, hold=False)
                calls = background.join()
                calls[0].server_killed = True
                calls += self.resend(text, key)
                self.assert_clean(calls)
                runs = [run for run in self.runs("t-engine", text)
                        if run["mode"] == "fresh"]
                self.assertLessEqual(len(runs), 1)
                outcomes[f"{pool}:{hold_at}"] = calls[-1].reason or "answer"
        self.figure(steps=len(STEPS), second_runs=0, **outcomes)

    def test_second_arrival_gets_the_first_ones_answer(self):
        self.cluster.fault("t-engine", hold=True)
        background = caller.Background()
        background.start(self.order, "twice", "twice", 0)
        wait_until(lambda: self.runs("t-engine", "twice"), "held")
        early = self.order("twice", "twice", 1)
        self.assertEqual(early.reason, RUNNING)
        self.cluster.fault("t-engine", hold=False)
        calls = background.join() + self.resend("twice", "twice", 1)
        self.assert_whole([calls[0], calls[-1]])
        self.assert_clean(calls + [early])
        self.assertEqual(len(self.runs("t-engine", "twice")), 1)

    def test_many_arrivals_at_once_run_once(self):
        background = caller.Background()
        for i in range(20):
            background.start(self.order, "burst", "burst", i % self.gateways)
        calls = background.join() + self.resend("burst", "burst")
        self.assert_clean(calls)
        self.assertTrue(calls[-1].whole)
        self.assertEqual(len(self.runs("t-engine", "burst")), 1)
        self.figure(arrivals=20, runs=1)

    def test_key_with_another_body_is_refused(self):
        self.assert_whole([self.order("body one", "body")])
        other = self.order("body two", "body", 1)
        self.assertEqual((other.reason, other.verdict),
                         ("idempotency_key_reused", "not_run"))
        self.assert_clean([other])

    def test_refused_before_any_stage_the_key_is_free_again(self):
        self.cluster.fault("t-encoder", stop=True)
        refused = self.order("free", "free")
        self.assertEqual(refused.verdict, "not_run")
        self.assert_clean([refused])
        self.cluster.fault("t-encoder", start=True)
        self.assert_whole(self.resend("free", "free", 1)[-1:])

    def test_service_call_runs_once_when_its_reply_is_lost(self):
        self.cluster.fault("t-desk", close_after_read=1)
        calls = [self.cluster.caller(i).service(
            "POST", "/services/t-desk/order", "cut 1", "t-desk", "cut-1")
            for i in (0, 1, 0)]
        self.assertEqual(len(self.runs("t-desk", "cut 1")), 1)
        self.assertEqual({call.verdict for call in calls}, {"may_have_run"})
        self.assert_clean(calls)


if __name__ == "__main__":
    unittest.main()
