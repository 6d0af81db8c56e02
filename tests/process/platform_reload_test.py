"""Tests that reload signals do not disturb a stop."""

import signal
import time
import unittest

from process.platform_test import FleetTestCase

# For a process without requests in flight; well below its grace period.
STOP_SECONDS = 5


class ReloadTest(FleetTestCase):

    def test_reload_signals_neither_delay_nor_break_a_stop(self):
        """Operators' tools repeat the reload signal until the process ends."""
        for ip, start in ((self.fleet.gateway_ips[-1], self.fleet.start_gateway),
                          (self.fleet.control_ips[-1],
                           self.fleet.start_control)):
            with self.subTest(ip):
                process = self.fleet.processes[ip]
                process.send(signal.SIGTERM)
                sent_at = time.monotonic()
                while process.running() and \
                        time.monotonic() < sent_at + STOP_SECONDS:
                    process.send(signal.SIGHUP)
                passed = time.monotonic() - sent_at
                if process.running():
                    process.kill()
                code = process.wait()
                start(ip)
                self.fleet.wait_ready()
                self.assertEqual(code, 0)
                self.assertLess(passed, STOP_SECONDS)


if __name__ == "__main__":
    unittest.main()
