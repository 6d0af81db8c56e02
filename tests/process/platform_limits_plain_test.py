"""Tests the limit of a plain server, which no single gateway decides on."""

import unittest

from process.platform_limits_test import LimitTestCase


class PlainServerTest(LimitTestCase):

    def test_plain_server_that_names_a_limit(self):
        self.check(self.fleet.plain, "GET", "/look/x", 20)


if __name__ == "__main__":
    unittest.main()
