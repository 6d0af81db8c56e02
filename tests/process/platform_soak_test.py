"""A short run of the soak with a fixed seed."""

import unittest

from process.platform_soak import Soak


class PlatformSoakTest(unittest.TestCase):

    def test_short(self):
        self.assertEqual(Soak(20261202, 5).run(), [])


if __name__ == "__main__":
    unittest.main()
