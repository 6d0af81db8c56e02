"""A short run of the soak with a fixed seed."""

import sys
import unittest

from process.platform_soak import OUTPUT, Soak, write_apart


class PlatformSoakTest(unittest.TestCase):

    def test_short(self):
        soak = Soak(20261202, 5)
        try:
            faults = soak.run()
        finally:
            if soak.faults:
                path = write_apart(OUTPUT, f"seed-{soak.seed}",
                                   f"{soak.report()}\n{soak.account}\n")
                print(f"{soak.report()}\n  all of it: {path}",
                      file=sys.stderr, flush=True)
        self.assertEqual(faults, [])


if __name__ == "__main__":
    unittest.main()
