"""Tests that reload signals do not disturb a stop."""

import glob
import os
import signal
import sys
import time
import unittest

from process.platform_test import FleetTestCase

# For a process without requests in flight; well below its grace period.
STOP_SECONDS = 5
# Signals between two checks of the process, which would slow their stream down.
SIGNALS_PER_CHECK = 1000


def threads(pid):
    """Returns the state of each thread of a process, and the signals that wait
    for it."""
    lines = []
    for folder in glob.glob(f"/proc/{pid}/task/*"):
        try:
            with open(folder + "/status", encoding="utf-8") as file:
                fields = [" ".join(line.split()) for line in file]
            with open(folder + "/wchan", encoding="utf-8") as file:
                lines.append(f"{folder} in {file.read()}: " + ", ".join(
                    field for field in fields if field.startswith(
                        ("Name:", "State:", "SigPnd:", "ShdPnd:", "SigBlk:"))))
        except OSError as error:
            lines.append(f"{folder}: {error}")  # The thread has ended.
    return "\n".join(lines)


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
                    for _ in range(SIGNALS_PER_CHECK):
                        os.kill(process.child.pid, signal.SIGHUP)
                passed = time.monotonic() - sent_at
                if process.running():
                    print(threads(process.child.pid), file=sys.stderr)
                    process.kill()
                code = process.wait()
                start(ip)
                self.fleet.wait_ready()
                self.assertEqual(code, 0)
                self.assertLess(passed, STOP_SECONDS)


if __name__ == "__main__":
    unittest.main()
