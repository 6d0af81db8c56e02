"""Compares complete sessions with the files in tests/golden, after replacing
ids and times by constants. To write the files again, run
`CITRONLANE_RENEW=1 ctest --test-dir build -R process-golden`."""

import json
import os
import re
import unittest

from process import caller, deployments
from process.cluster_test_case import ClusterTestCase
from process.processes import ROOT, wait_until

GOLDEN = os.path.join(ROOT, "tests", "golden")
RENEW = os.environ.get("CITRONLANE_RENEW")
SHOWN_HEADERS = ("Content-Type", "X-Verdict", "X-Config-Version",
                 "X-Cost-By-Stage")
# Patterns of the texts that differ between runs, and their replacements.
STABLE = [
    (r"gateway-1-\d+-r\d+", "<refusal>"),
    (r"gateway-1-\d+-\d+", "<request>"),
    (r"gateway-1-\d+", "<gateway>"),
    (r'"(time_ms|since_ms|lease_ms|retry_after_ms)":\d+', r'"\1":0'),
    (r'"(receipt|digest|config_digest)":"[0-9a-f]{16,}"', r'"\1":"<hash>"'),
    (r'"port":\d+', '"port":0'),
]


def chat(pipeline, text, **more):
    return {"model": pipeline, **more,
            "messages": [{"role": "user", "content": text}]}


# Name, method, path, body, headers.
CALLERS = [
    ("whole answer", "POST", "/v1/chat/completions",
     chat("t-ask", "golden one"), {}),
    ("stream", "POST", "/v1/chat/completions",
     chat("t-ask", "golden two", stream=True, max_tokens=3), {}),
    ("pipeline", "POST", "/v1/pipelines/t-ask", {"input": "golden three"}, {}),
    ("plain service", "GET", "/services/t-desk/shelf?row=1", None, {}),
    ("runs once", "POST", "/v1/chat/completions",
     chat("t-order", "golden order"), {"Idempotency-Key": "golden"}),
    ("sent again", "POST", "/v1/chat/completions",
     chat("t-order", "golden order"), {"Idempotency-Key": "golden"}),
    ("key of another body", "POST", "/v1/chat/completions",
     chat("t-order", "golden other"), {"Idempotency-Key": "golden"}),
    ("key missing", "POST", "/v1/chat/completions",
     chat("t-order", "golden order"), {}),
    ("unknown pipeline", "POST", "/v1/chat/completions",
     chat("none", "golden"), {}),
    ("unknown class", "POST", "/v1/chat/completions",
     chat("t-ask", "golden"), {"X-Class": "none"}),
    ("unknown account", "POST", "/v1/chat/completions",
     chat("t-ask", "golden"), {"Authorization": "Bearer nobody"}),
    ("malformed", "POST", "/v1/chat/completions", b'{"model":', {}),
]
TARGET = {"classes": {"interactive": {"answer_ms": 5500}}}
# Name, change id, base version, patch.
CHANGES = [
    ("change", "golden-1", 1, TARGET),
    ("sent again", "golden-1", 1, TARGET),
    ("same base", "golden-2", 1, TARGET),
    ("unknown class", "golden-3", 2,
     {"accounts": {"buyers": {"default_class": "none"}}}),
    ("no change of addresses by name", "golden-4", 2,
     {"pools": {"t-desk": {"servers": {"t-desk-1": {"address": "host"}}}}}),
]


def stable(text):
    for pattern, replacement in STABLE:
        text = re.sub(pattern, replacement, text)
    return text


class GoldenTest(ClusterTestCase):
    controls = 3
    # A hedged call would change the costs.
    gateway_settings = {"hedge_budget": 0}

    def compare(self, name, session):
        path = os.path.join(GOLDEN, name)
        if RENEW:
            with open(path, "w", encoding="utf-8") as file:
                file.write(session)
        with open(path, encoding="utf-8") as file:
            self.assertEqual(session, file.read())

    def exchange(self, name, method, path, body, headers):
        """Makes a call; returns it and the response as text."""
        headers = {"Authorization": "Bearer " + deployments.key_of("buyers"),
                   **headers}
        status, head, answer = caller.exchange(
            self.cluster.caller().port, method, path, body, headers)
        shown = [f"{key}: {head[key]}" for key in SHOWN_HEADERS if head[key]]
        return "\n".join([f"# {name}", f"{method} {path}", str(status),
                          *shown, "", answer.decode().rstrip(), "", ""])

    def test_callers(self):
        self.compare("callers.txt", "".join(
            stable(self.exchange(*call)) for call in CALLERS))

    def test_changes_and_refusals(self):
        base = wait_until(self.cluster.config_version, "version") - 1
        lines = []
        for name, change_id, version, patch in CHANGES:
            status, answer = self.cluster.change(patch, change_id,
                                                 base + version)
            lines += [f"# {name}", str(status), json.dumps(
                answer, indent=1).replace('": "', '":"').replace('": ', '":')]
        # Control commits a change before the gateways use its version.
        self.cluster.wait_version(base + 2)
        refused = self.ask("golden refusal", class_name="none")
        record = wait_until(lambda: (lambda reply: reply[0] == 200 and reply)(
            self.cluster.admin("GET", "/v1/refusals/" + refused.refusal_id)),
            "refusal in the journal")
        lines += ["# refusal", json.dumps(record[1], indent=1).replace(
            '": "', '":"').replace('": ', '":')]
        self.compare("changes.txt", stable("\n".join(lines) + "\n"))


if __name__ == "__main__":
    unittest.main()
