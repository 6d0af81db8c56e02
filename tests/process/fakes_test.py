"""Tests that the fakes reply as docs/design/backend-calls.md says, and that
their faults can be injected."""

import http.client
import json
import os
import tempfile
import unittest

from checker import content
from process import caller, deployments, processes
from process.processes import Process, write_json

TEXT = "is madder fast"
KEPT_CONNECTIONS = 64
ATTEMPT = {"X-Attempt-Id": "a-1-1/0/1"}


class FakesTest(unittest.TestCase):

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = write_json(os.path.join(folder.name, "fakes.json"),
                          deployments.fake_fleet([deployments.small()]))
        fakes = Process("fakes", [processes.FAKES, path], folder.name)
        self.addCleanup(processes.end, [fakes])
        ports = json.loads(fakes.child.stdout.readline())
        self.ports, self.control = ports["servers"], ports["control"]

    def call(self, server, path, body):
        return caller.exchange(self.ports[server], "POST", path, body, ATTEMPT)

    def fault(self, server, **order):
        caller.exchange(self.control, "POST", "/fault/" + server, order)

    def records(self):
        return caller.get_json(self.control, "/record")

    def stream(self, body):
        """Returns the tokens of a completion, also of one that breaks off."""
        try:
            data = self.call("t-engine-1", "/v1/completions", body)[2]
        except http.client.IncompleteRead as cut:
            data = cut.partial
        return [json.loads(line[6:])["choices"][0]["text"]
                for line in data.split(b"\n") if line.startswith(b"data: {")]

    def test_stop_is_answered_once_every_connection_is_closed(self):
        """Once the stop is confirmed, no kept connection can be used."""
        port = self.ports["t-encoder-1"]
        body = json.dumps({"model": "m", "input": TEXT})
        kept = [http.client.HTTPConnection("127.0.0.1", port)
                for _ in range(KEPT_CONNECTIONS)]
        for connection in kept:
            self.addCleanup(connection.close)
            connection.request("POST", "/v1/embeddings", body, ATTEMPT)
            connection.getresponse().read()
        self.fault("t-encoder-1", stop=True)
        left_open = 0
        for connection in kept:
            connection.sock.setblocking(False)
            try:
                self.assertEqual(connection.sock.recv(1), b"")
            except ConnectionResetError:
                pass
            except BlockingIOError:
                left_open += 1
        self.assertEqual(left_open, 0)

    def test_stages_feed_one_another(self):
        _, headers, body = self.call("t-encoder-1", "/v1/embeddings",
                                     {"model": "m", "input": TEXT})
        self.assertEqual(headers["X-Attempt-Id"], ATTEMPT["X-Attempt-Id"])
        embedding = json.loads(body)["data"][0]["embedding"]
        search = {"query": TEXT, "embedding": embedding, "top_k": 3}
        documents = [d["text"] for d in json.loads(self.call(
            "t-retriever-1", "/v1/search", search)[2])["documents"]]
        self.assertEqual(len(documents), 3)
        rank = {"query": TEXT, "documents": documents, "top_n": 2}
        results = json.loads(self.call("t-reranker-1", "/v1/rerank",
                                       rank)[2])["results"]
        self.assertEqual([r["index"] for r in results], [2, 1])
        prompt = f"Context:\n{documents[2]}\nQuestion: {TEXT}\n"
        tokens = self.stream({"prompt": prompt})
        self.assertEqual("".join(tokens),
                         content.answer(TEXT, deployments.TOKENS))
        self.assertFalse(any(run["mixed"] for run in self.records()))

    def test_inputs_of_two_requests_are_seen(self):
        for server, path, body in [
                ("t-retriever-1", "/v1/search",
                 {"query": TEXT, "embedding": [0.5] * 8}),
                ("t-reranker-1", "/v1/rerank",
                 {"query": TEXT, "documents": ["document 0 00000000"]}),
                ("t-engine-1", "/v1/completions",
                 {"prompt": f"Context:\nother\nQuestion: {TEXT}\n"})]:
            self.call(server, path, body)
            self.assertTrue(self.records()[-1]["mixed"], server)
            caller.get_json(self.control, "/clear")

    def test_cut_stream_resumes_at_its_offset_only_where_it_ran(self):
        prompt = f"Question: {TEXT}\n"
        self.fault("t-engine-1", cut_stream=1, cut_at=3)
        first = self.stream({"prompt": prompt})
        self.assertEqual(len(first), 3)
        resume = {"prompt": prompt, "resume": {"id": "a-1-1/0/1", "offset": 3}}
        rest = self.stream(resume)
        self.assertEqual("".join(first + rest),
                         content.answer(TEXT, deployments.TOKENS))
        status = self.call("t-engine-2", "/v1/completions", resume)[0]
        self.assertEqual(status, 404)

    def test_faults(self):
        for order, status, ran in [({"fail": 1}, 500, True),
                                   ({"reject": 1}, 503, False),
                                   ({"leave": "drain"}, 503, False),
                                   ({"close_after_read": 1}, None, True),
                                   ({"close_before_run": 1}, None, False),
                                   ({"stop": True}, "refused", None)]:
            with self.subTest(order):
                caller.get_json(self.control, "/clear")
                self.fault("t-desk-1", **{"reset": True, "leave": "no", **order})
                try:
                    got = self.call("t-desk-1", "/any", b"text")[0]
                except ConnectionRefusedError:
                    got = "refused"
                except (OSError, http.client.HTTPException):
                    got = None
                self.assertEqual(got, status)
                runs = self.records()
                self.assertEqual(runs[0]["ran"] if runs else None, ran)

    def test_orders_with_an_old_fencing_number_are_refused(self):
        for fencing, status in ((5, 200), (4, 409), (5, 200)):
            self.assertEqual(status, self.call(
                "t-engine-1", "/v1/orders", {"fencing": fencing})[0])


if __name__ == "__main__":
    unittest.main()
