"""Simulated platform: its list of servers, and servers of each kind, by the
platform's published protocol. A server uses a thread for each connection."""

import json
import re
import socket
import threading
import time

SEAL = "X-Citronlane-Response-Seal"
REQUEST_ID = "x-citronlane-request-id"
# Faults that send a second, late reply: a copy of the first one, the same
# without the request id, or one that ends within the header.
SECOND_ANSWERS = ("twice", "twice_no_id", "twice_cut")


class Request:
    """A request that a server read."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived = time.monotonic()

    @property
    def id(self):
        return self.headers.get(REQUEST_ID, "")


class Connection:
    """Reads requests from a socket and writes replies to it."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""
        self.sent = b""
        # Sent before the reply to the next request.
        self.late = b""
        # Headers of all replies.
        self.extra_headers = ()

    def _fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError
        self.buffer += data

    def read(self):
        while b"\r\n\r\n" not in self.buffer:
            self._fill()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        while len(self.buffer) < size:
            self._fill()
        body, self.buffer = self.buffer[:size], self.buffer[size:]
        return Request(method, target, headers, body)

    def send(self, data):
        self.sent += data
        self.sock.sendall(data)

    def reply(self, status, body=b"", headers=(), request_id=""):
        lines = [f"HTTP/1.1 {status} X"]
        if request_id:
            lines.append(f"X-Citronlane-Request-Id: {request_id}")
        lines += [f"{name}: {value}"
                  for name, value in (*headers, *self.extra_headers)]
        lines.append(f"Content-Length: {len(body)}")
        self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def begin_stream(self, request_id, headers=()):
        lines = ["HTTP/1.1 200 OK",
                 f"X-Citronlane-Request-Id: {request_id}",
                 "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}"
                  for name, value in (*headers, *self.extra_headers)]
        self.send("\r\n".join(lines).encode() + b"\r\n\r\n")

    def chunk(self, data):
        self.send(b"%x\r\n%s\r\n" % (len(data), data))

    def caller_is_gone(self):
        self.sock.setblocking(False)
        try:
            return self.sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self.sock.setblocking(True)


class Server:
    """One incarnation of a backend server, with `service` and `id` as in the
    list. `faults` has the faults for the next requests, one for each. The list
    distinguishes incarnations by `born`, where that is set. `version` is that
    of the server's software. While `retry_after` is set, a text, all requests
    are refused with it. `extra_headers` are added to all replies."""

    retry_after = None
    extra_headers = ()

    def __init__(self, ip, service, identity, domain, port=0, born=None,
                 version="v1"):
        self.service = service
        self.id = identity
        self.listed_id = None  # Id in an outdated list; None for `id`.
        self.next_start_options = {}  # Arguments of the next incarnation.
        self.domain = domain
        self.state = "ready"
        self.born = born
        self.version = version
        self.requests = []
        self.refused = []
        self.runs = {}
        self.faults = []
        self.lock = threading.Lock()
        self.second_answers = 0
        self.listener = socket.create_server((ip, port))
        self.address = f"{ip}:{self.listener.getsockname()[1]}"
        self.sockets = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self):
        entry = {"id": self.listed_id or self.id, "service": self.service,
                 "address": self.address, "zone": self.domain, "slots": 8,
                 "version": self.version, "state": self.state, "cold_left_ms": 0}
        if self.born is not None:
            entry["born"] = self.born
        return entry

    def next_start(self, born):
        """Returns a new incarnation of the server at the same address. This one
        accepts no more connections; cut_connections closes its open ones."""
        self.stop_listening()
        ip, port = self.address.split(":")
        options = {"version": self.version, **self.next_start_options}
        return type(self)(ip, self.service, self.id, self.domain, int(port),
                          born, **options)

    def stop_listening(self):
        """Refuses connections from now on."""
        # Wakes the accepting thread, which a close alone would not.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def has(self, request_id):
        """Returns whether the request or a piece of it was received."""
        with self.lock:
            return any(request.id == request_id or
                       f'"id":"{request_id}"'.encode() in request.body
                       for request in self.requests)

    def cut_connections(self):
        """Closes all connections, as the end of the process would."""
        for sock in list(self.sockets):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def close(self):
        self.listener.close()
        for sock in list(self.sockets):
            sock.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.sockets.add(sock)
            threading.Thread(target=self._serve, args=(sock,),
                             daemon=True).start()

    def _serve(self, sock):
        connection = Connection(sock)
        try:
            while True:
                request = connection.read()
                connection.sent, late = b"", connection.late
                if late:
                    connection.late = b""
                    with self.lock:
                        self.second_answers += 1
                    connection.sock.sendall(late)
                self._serve_one(connection, request)
        except ConnectionResetError:
            self.reply_unread(connection)
        except (OSError, ValueError):
            pass
        finally:
            self.sockets.discard(sock)
            sock.close()

    def _serve_one(self, connection, request):
        if request.target == "/v1/report":
            self._report(connection, request)
            return
        connection.extra_headers = self.extra_headers
        with self.lock:
            self.requests.append(request)
            fault = self.faults.pop(0) if self.faults else None
        expected = request.headers.get("x-citronlane-expect-instance")
        if expected not in (None, self.id):
            connection.reply(421, request_id=request.id)
        elif self.retry_after is not None:
            with self.lock:
                self.refused.append(request)
            connection.reply(503, headers=[("X-Citronlane-Not-Run", "1"),
                                           ("Retry-After", self.retry_after)],
                             request_id=request.id)
        elif fault == "not_run":
            connection.reply(503, headers=[("X-Citronlane-Not-Run", "1")],
                             request_id=request.id)
        elif fault == "close":
            self.note_run(request.id)
            raise ConnectionError
        elif fault == "extra":
            # An additional reply with another id, before the real one.
            self.note_run(request.id)
            connection.reply(200, b"stale", request_id="ffffffffffffffff")
            self.answer(connection, request)
        else:
            self.answer(connection, request, fault)
            if fault in SECOND_ANSWERS:
                connection.late = self._second_answer(fault, connection.sent)

    def _report(self, connection, request):
        """Replies to a probe, which runs nothing and takes no fault."""
        report = {} if self.born is None else {"born": self.born}
        connection.reply(200, json.dumps(report).encode(),
                         [("Content-Type", "application/json")], request.id)

    def _second_answer(self, fault, answer):
        if fault == "twice_no_id":
            return re.sub(rb"X-Citronlane-Request-Id: [^\r]*\r\n", b"", answer)
        if fault == "twice_cut":
            # In turn at each sixth of the header, and right after the id.
            size = answer.index(b"\r\n\r\n")
            cuts = [size * part // 6 for part in range(1, 6)]
            if b"-Id: " in answer[:size]:
                cuts.append(answer.index(b"\r\n", answer.index(b"-Id: ")))
            return answer[:cuts[self.second_answers % len(cuts)]]
        return answer

    def reply_unread(self, connection):
        """Called when a connection was reset before its last reply was read
        completely."""

    def note_run(self, request_id):
        with self.lock:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1

    def seal(self, request):
        return (SEAL, f"{self.id}.{request.id}")

    def answer(self, connection, request, fault=None):
        raise NotImplementedError


def fault_of_inputs(request_id, handles):
    """Returns an error in the input handles of a request: from another request,
    from two stages, or not each piece once; None if they are right."""
    names = [handle.rsplit("/", 1)[-1].split("-") for handle in handles]
    if any(len(name) != 3 or name[0] != request_id for name in names):
        return "another request's"
    if len({stage for _, stage, _ in names}) > 1:
        return "of two stages"
    if (sorted(int(piece.split("~")[0]) for _, _, piece in names) !=
            list(range(len(names)))):
        return "not each piece once"
    return None


class PlainServer(Server):
    """Replies with the content of the request. Fault "wait" delays the reply by
    half a second, "late" by `pause_seconds`, "hang" sends none until the gateway
    closes the connection, at the time that is then in `given_up` by request id.
    "error" and "absent" reply with 500 and 404; "late_error", "late_not_run" and
    "late_close" fail, refuse or break off after `pause_seconds`."""

    pause_seconds = 2.0

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.given_up = {}

    def answer(self, connection, request, fault=None):
        self.note_run(request.id)
        if fault in ("late", "late_error", "late_not_run", "late_close"):
            time.sleep(self.pause_seconds)
        if fault == "hang":
            while not connection.caller_is_gone():
                time.sleep(0.02)
            self.given_up[request.id] = time.monotonic()
            raise ConnectionError
        if fault == "late_close":
            raise ConnectionError
        if fault == "late_not_run":
            connection.reply(503, headers=[("X-Citronlane-Not-Run", "1")],
                             request_id=request.id)
            return
        if fault == "wait":
            time.sleep(0.5)
        if fault in ("error", "late_error"):
            connection.reply(500, b"no", [self.seal(request)], request.id)
            return
        if fault == "absent":
            connection.reply(404, b"no", [self.seal(request)], request.id)
            return
        body = json.dumps({"id": request.id, "method": request.method,
                           "target": request.target,
                           "body": request.body.decode("latin-1")}).encode()
        connection.reply(200, body, [self.seal(request)], request.id)


def piece_key(request_id):
    """Returns the key that a caller gives for the pieces of a request."""
    return "key-of-" + request_id


class StageServer(Server):
    """Runs pieces. A handle contains its request, stage and piece, so that
    inputs of another request are detected, and a number that is new each time.

    A result is stored until it is freed or `handle_seconds` after its call
    ended. Callers that received the handle have to free it before; `left` has
    the handles that they did not."""

    handle_seconds = 4

    def __init__(self, *args, call_seconds=0.02, **options):
        super().__init__(*args, **options)
        self.call_seconds = call_seconds
        self.makings = 0
        self.made = set()
        self.results = {}  # Expiry time by handle.
        self.unreported = set()
        self.left = []
        self.wrong = []
        self.call_log = []

    @property
    def held(self):
        """The handles of the stored results."""
        with self.lock:
            self._drop_old()
            return set(self.results)

    def _drop_old(self):
        now = time.monotonic()
        for handle in [handle for handle, until in self.results.items()
                       if until <= now]:
            del self.results[handle]
            if handle in self.unreported:
                self.unreported.remove(handle)
            else:
                self.left.append(handle)

    def log_call(self, what, names, connection):
        """Records a line for the report of a failed test, with the time in the
        format of the fleet's logs."""
        try:
            peer = connection.sock.getpeername()
        except OSError as error:
            peer = error
        with self.lock:
            self.call_log.append(f"{time.time():.3f} {what} {' '.join(names)} "
                             f"by {peer}")

    def answer(self, connection, request, fault=None):
        document = json.loads(request.body)
        connection.handles = []
        if request.target == "/v1/stage-free":
            with self.lock:
                self._drop_old()
                for handle in document["handles"]:
                    self.results.pop(handle, None)
            self.log_call("free", document["handles"], connection)
            connection.reply(200)
            return
        names = [f"{item['id']}-{item['stage']}-{item['piece']}"
                 for item in document["items"]]
        self.log_call("run", names, connection)
        time.sleep(self.call_seconds)
        handles = []
        for item, name in zip(document["items"], names):
            why = fault_of_inputs(item["id"], item.get("inputs", []))
            if why:
                self.wrong.append((item, f"pieces {why}: {item['inputs']}"))
            if ("inputs" not in item and
                    item.get("key") != piece_key(item["id"])):
                self.wrong.append((item, f"pieces key: {item.get('key')}"))
            with self.lock:
                self.makings += 1
                handles.append(f"{self.address}/{name}~{self.makings}")
        with self.lock:
            self._drop_old()
            for handle in handles:
                self.made.add(handle)
                self.results[handle] = time.monotonic() + self.handle_seconds
        connection.handles = handles
        if connection.caller_is_gone():
            with self.lock:
                self.unreported |= set(handles)
            self.log_call("made, but not reported", handles, connection)
        else:
            self.log_call("made", handles, connection)
        items = [{"handle": handle} for handle in handles]
        connection.reply(200, json.dumps({"items": items}).encode())

    def reply_unread(self, connection):
        handles = getattr(connection, "handles", [])
        with self.lock:
            self.unreported |= set(handles)
        self.log_call("reset, possibly not reported", handles, connection)


class Engine(Server):
    """Streams `events` numbered events, from the one after Last-Event-Id. Each
    has the id of the request, its number and the engine's version. Fault
    "break" closes the connection within the third event, "silent" sends no
    reply. "pause" and "late" are those of a sound engine that falls silent for
    `pause_seconds` and then goes on, within the third event or before its
    reply; "pause_twice" also pauses within the fifth. "absent" replies with
    404, "inputs_gone" refuses since the inputs are lost."""

    events = 6
    silence = 10
    pause_seconds = 2.0
    pause = 0.0

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.wrong = []

    def answer(self, connection, request, fault=None):
        self.note_run(request.id)
        inputs = request.headers.get("x-citronlane-inputs", "")
        handles = list(filter(None, inputs.split(",")))
        why = fault_of_inputs(request.id, handles)
        if why:
            self.wrong.append(({"id": request.id}, f"pieces {why}: {handles}"))
            connection.reply(400, b"wrong inputs", request_id=request.id)
            return
        if fault == "silent":
            time.sleep(self.silence)
            raise ConnectionError
        if fault == "absent":
            connection.reply(404, b"no", [self.seal(request)], request.id)
            return
        if fault == "inputs_gone":
            connection.reply(409, headers=[("X-Citronlane-Not-Run", "1")],
                             request_id=request.id)
            return
        if fault == "late":
            time.sleep(self.pause_seconds)
        first = int(request.headers.get("last-event-id", "-1")) + 1
        connection.begin_stream(request.id, [self.seal(request)])
        for number in range(first, self.events):
            event = (f"id: {number}\ndata: {request.id} {number} "
                     f"{self.version}\n\n").encode()
            if fault == "break" and number == 2:
                connection.chunk(event[:7])
                raise ConnectionError
            if ((fault in ("pause", "pause_twice") and number == 2) or
                    (fault == "pause_twice" and number == 4)):
                connection.chunk(event[:7])
                event = event[7:]
                time.sleep(self.pause_seconds)
            connection.chunk(event)
            time.sleep(self.pause)
            if self.pause and connection.caller_is_gone():
                with self.lock:
                    self.faults_seen = time.monotonic()
                raise ConnectionError
        connection.send(b"0\r\n\r\n")


class ServerList:
    """The platform's list of servers."""

    def __init__(self, ip, servers):
        self.servers = servers
        self.calls = 0
        self.listener = socket.create_server((ip, 0))
        self.address = f"{ip}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self.listener.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,),
                             daemon=True).start()

    def _serve(self, sock):
        connection = Connection(sock)
        try:
            while True:
                request = connection.read()
                self.calls += 1
                connection.reply(200, json.dumps(self._page(request)).encode())
        except (OSError, ValueError):
            sock.close()

    def _page(self, request):
        # Two entries per page, so that gateways have to read several pages.
        match = re.search(r"page_token=(\d+)", request.target)
        begin = int(match.group(1)) if match else 0
        entries = [server.entry() for server in self.servers]
        more = begin + 2 < len(entries)
        return {"instances": entries[begin:begin + 2],
                "next": str(begin + 2) if more else None}
