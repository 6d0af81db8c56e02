"""Tests that requests are refused at once, before their stages, when all engines
have named limits."""

import time
import unittest

from process.platform_limits_test import LIMIT, LimitTestCase, allowed


class AllEnginesTest(LimitTestCase):

    def test_all_engines_name_limits(self):
        for engine in self.fleet.engines:
            engine.limit = LIMIT
        answers = self.send("POST", "/chat/x", time.monotonic() + 12, 20)
        for engine in self.fleet.engines:
            most = self.most_in_a_window(engine)
            self.assertLessEqual(most, allowed(LIMIT))
        refused = [answer for answer in answers if answer.status != 200]
        not_run = [answer for answer in refused if answer.status == 503]
        served = len(answers) - len(refused)
        print(f"all limited: {served} of {len(answers)} served, "
              f"{len(refused) - len(not_run)} refused after their stages",
              flush=True)
        # Half of what the engines take at least, over all the time.
        self.assertGreaterEqual(served, 12 * LIMIT * self.fleet.ENGINES / 2)
        # Refused at once and as not run, but for some that met a limit later.
        self.assertGreaterEqual(len(not_run), 0.9 * len(refused))
        for answer in not_run:
            self.assertIn(b"server_limits", answer.body)
            self.assertIn("retry-after", answer.headers)


if __name__ == "__main__":
    unittest.main()
