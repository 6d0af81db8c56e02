"""HTTP clients for gateways, fakes and the administration API."""

import http.client
import json
import threading
import time

from checker import content
from checker.checker import Call

CALL_SECONDS = 30.0


def exchange(port, method, path, body=None, headers=None,
             seconds=CALL_SECONDS):
    """Returns (status, headers, body bytes)."""
    connection = http.client.HTTPConnection("127.0.0.1", port,
                                            timeout=seconds)
    try:
        data = body if isinstance(body, (bytes, type(None))) else (
            json.dumps(body).encode())
        connection.request(method, path, data, headers or {})
        reply = connection.getresponse()
        return reply.status, reply.headers, reply.read()
    finally:
        connection.close()


def get_json(port, path, headers=None):
    status, _, body = exchange(port, "GET", path, headers=headers)
    return json.loads(body) if status == 200 else None


def answers(port, path, status=200):
    """Returns whether a GET of the path gets that status now."""
    try:
        return exchange(port, "GET", path, seconds=2.0)[0] == status
    except OSError:
        return False


def take_problem(call, problem):
    """Sets the refusal of the call from a problem document."""
    call.reason = problem.get("reason_name")
    call.verdict = problem.get("verdict")
    call.refusal_id = problem.get("refusal_id")


class Caller:
    """Sends requests of one client account to one gateway."""

    def __init__(self, port, key):
        self.port = port
        self.key = key

    def chat(self, pipeline, text, tokens, stream=False, once_pool=None,
             idempotency_key=None, class_name=None, on_token=None):
        """Sends a request; returns its Call, also when it failed."""
        call = Call(text=text, expected=content.answer(text, tokens),
                    once_pool=once_pool, sent=time.time())
        headers = {"Authorization": "Bearer " + self.key,
                   "Content-Type": "application/json"}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        if class_name:
            headers["X-Class"] = class_name
        body = {"model": pipeline, "stream": stream,
                "messages": [{"role": "user", "content": text}]}
        connection = http.client.HTTPConnection("127.0.0.1", self.port,
                                                timeout=CALL_SECONDS)
        try:
            connection.request("POST", "/v1/chat/completions",
                               json.dumps(body).encode(), headers)
            reply = connection.getresponse()
            _take_head(call, reply.status, reply.headers)
            if reply.status != 200:
                take_problem(call, json.loads(reply.read()))
            elif stream:
                _read_stream(reply, call, on_token)
            else:
                answer = json.loads(reply.read())
                _take_report(call, answer)
                choice = answer["choices"][0]
                call.answer = choice["message"]["content"]
                call.finished = choice["finish_reason"] in ("stop", "length")
        except (OSError, http.client.HTTPException, ValueError):
            pass  # The call has what was read so far.
        finally:
            connection.close()
        call.ended = time.time()
        return call

    def service(self, method, path, body, once_pool=None,
                idempotency_key=None):
        """Calls a plain service, whose response contains a digest."""
        call = Call(text=body, expected=content.service_digest(body),
                    once_pool=once_pool, sent=time.time())
        headers = {"Authorization": "Bearer " + self.key}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        try:
            status, head, answer = exchange(self.port, method, path,
                                            body.encode(), headers)
            _take_head(call, status, head)
            if status == 200:
                call.answer = json.loads(answer)["digest"]
                call.finished = True
            else:
                take_problem(call, json.loads(answer))
        except (OSError, http.client.HTTPException, ValueError):
            pass
        call.ended = time.time()
        return call


def _take_head(call, status, headers):
    call.status = status
    call.request_id = headers.get("X-Request-Id")
    call.config_version = int(headers.get("X-Config-Version", 0))


def _take_report(call, answer):
    call.cost_by_stage = answer.get("citronlane", {}).get("cost_by_stage",
                                                          call.cost_by_stage)


def _read_stream(reply, call, on_token):
    for line in reply:
        if not line.startswith(b"data: "):
            continue
        data = line[len(b"data: "):].strip()
        if data == b"[DONE]":
            call.finished = True
            continue
        event = json.loads(data)
        if "reason_name" in event:
            take_problem(call, event)
            continue
        _take_report(call, event)
        text = event["choices"][0]["delta"].get("content", "")
        call.answer += text
        if on_token and text:
            on_token(call)


class Background:
    """Runs calls on threads of their own and collects their results."""

    def __init__(self):
        self.calls = []
        self._threads = []

    def start(self, function, *arguments, **options):
        def run():
            self.calls.append(function(*arguments, **options))
        thread = threading.Thread(target=run, daemon=True)
        self._threads.append(thread)
        thread.start()

    def join(self):
        for thread in self._threads:
            thread.join(CALL_SECONDS + 5)
            assert not thread.is_alive(), "a call did not end"
        return self.calls
