"""A short run of the soak with several software versions and a fixed seed."""

import sys
import unittest

from process.platform_soak import OUTPUT, Soak, write_apart


class PlatformVersionsSoakTest(unittest.TestCase):

    def test_short(self):
        soak = Soak(20261204, 8, versions=True)
        try:
            faults = soak.run()
        finally:
            print(soak.report().splitlines()[1], flush=True)
            if soak.faults:
                path = write_apart(OUTPUT, f"versions-seed-{soak.seed}",
                                   f"{soak.report()}\n{soak.account}\n")
                print(f"{soak.report()}\n  all of it: {path}",
                      file=sys.stderr, flush=True)
        self.assertEqual(faults, [])


if __name__ == "__main__":
    unittest.main()
