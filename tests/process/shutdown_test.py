"""Tests that a planned stop of a gateway interrupts no request."""

import unittest

from process import caller
from process.cluster_test_case import ClusterTestCase
from process.processes import wait_until

STREAMS = 24
HOLD_AT = 4


class ShutdownTest(ClusterTestCase):
    gateways = 2

    def streams(self, count, gateway):
        """Starts streams; returns once all are held after HOLD_AT tokens."""
        self.cluster.fault("t-engine", hold=True, hold_at=HOLD_AT)
        begun = []
        background = caller.Background()
        for i in range(count):
            background.start(
                self.ask, f"stream {i}", gateway, stream=True,
                on_token=lambda call: len(call.answer.split()) == HOLD_AT and
                begun.append(call))
        wait_until(lambda: len(begun) == count, "streams held")
        return background

    def test_sigterm_under_streams_cuts_none(self):
        background = self.streams(STREAMS, gateway=0)
        stopping = self.cluster.gateways[0]
        stopping.terminate()
        wait_until(lambda: not self.cluster.is_ready(stopping), "not ready")
        self.assertTrue(stopping.running())
        # The load balancer now routes new requests to the other gateway.
        background.start(self.ask, "moved", 1)
        late = caller.Background()
        late.start(self.ask, "late", 0)
        self.cluster.fault("t-engine", hold=False)
        calls = background.join()
        self.assertEqual(stopping.wait(), 0)
        self.cluster.gateways.remove(stopping)
        self.assertEqual(len(calls), STREAMS + 1)
        self.assert_whole(calls)
        # A late request is either served, refused with a correct reason, or not
        # accepted because the listener is closed.
        self.assert_clean(calls + [c for c in late.join() if c.status])
        self.figure(streams=STREAMS, cut=0)


if __name__ == "__main__":
    unittest.main()
