"""A short run of the soak with several software versions and a fixed seed."""

import unittest

from process.platform_soak import Soak, run_in_test


class PlatformVersionsSoakTest(unittest.TestCase):

    def test_short(self):
        soak = Soak(20261204, 8, versions=True)
        self.addCleanup(
            lambda: print(soak.report().splitlines()[1], flush=True))
        self.assertEqual(run_in_test(soak, f"versions-seed-{soak.seed}"), [])


if __name__ == "__main__":
    unittest.main()
