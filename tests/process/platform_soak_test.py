"""A short run of the soak with a fixed seed."""

import unittest

from process.platform_soak import Soak, run_in_test


class PlatformSoakTest(unittest.TestCase):

    def test_short(self):
        soak = Soak(20261202, 5)
        self.assertEqual(run_in_test(soak, f"seed-{soak.seed}"), [])


if __name__ == "__main__":
    unittest.main()
