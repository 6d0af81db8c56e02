"""Stand-in of the platform: its list of servers, and servers of each kind, by
the platform's published protocol. Each server is a thread a connection."""

import json
import re
import socket
import threading
import time

SEAL = "X-Citronlane-Response-Seal"
REQUEST_ID = "x-citronlane-request-id"


class Request:
    """One request as a server reads it."""

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
        self.sock.sendall(data)

    def reply(self, status, body=b"", headers=(), request_id=""):
        lines = [f"HTTP/1.1 {status} X"]
        if request_id:
            lines.append(f"X-Citronlane-Request-Id: {request_id}")
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def begin_stream(self, request_id, headers=()):
        lines = ["HTTP/1.1 200 OK",
                 f"X-Citronlane-Request-Id: {request_id}",
                 "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers]
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
    """A backend server: `service` and `id` as the list names them. `faults`
    holds what to do to the next requests instead of serving them. Each is one
    start of it: the list tells starts apart by `born`, where that is set."""

    def __init__(self, ip, service, identity, domain, port=0, born=None):
        self.service = service
        self.id = identity
        self.domain = domain
        self.state = "ready"
        self.born = born
        self.requests = []
        self.runs = {}
        self.faults = []
        self.lock = threading.Lock()
        self.listener = socket.create_server((ip, port))
        self.address = f"{ip}:{self.listener.getsockname()[1]}"
        self.sockets = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self):
        entry = {"id": self.id, "service": self.service,
                 "address": self.address, "zone": self.domain, "slots": 8,
                 "version": "v1", "state": self.state, "cold_left_ms": 0}
        if self.born is not None:
            entry["born"] = self.born
        return entry

    def next_start(self, born):
        """A later start of the same server, at the same address. This one
        takes no connection any more; what it has is cut by cut_connections."""
        # Wakes the thread that accepts, which a close would not.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        ip, port = self.address.split(":")
        return type(self)(ip, self.service, self.id, self.domain, int(port),
                          born)

    def has(self, request_id):
        """Whether the request, or a piece of it, came here."""
        with self.lock:
            return any(request.id == request_id or
                       f'"id":"{request_id}"'.encode() in request.body
                       for request in self.requests)

    def cut_connections(self):
        """As the end of its process does."""
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
                self._serve_one(connection, connection.read())
        except (OSError, ValueError):
            pass
        finally:
            self.sockets.discard(sock)
            sock.close()

    def _serve_one(self, connection, request):
        with self.lock:
            self.requests.append(request)
            fault = self.faults.pop(0) if self.faults else None
        expected = request.headers.get("x-citronlane-expect-instance")
        if expected not in (None, self.id):
            connection.reply(421, request_id=request.id)
        elif fault == "not_run":
            connection.reply(503, headers=[("X-Citronlane-Not-Run", "1")],
                             request_id=request.id)
        elif fault == "close":
            self.note_run(request.id)
            raise ConnectionError
        elif fault == "extra":
            # A second reply that nobody asked for, with another id.
            self.note_run(request.id)
            connection.reply(200, b"stale", request_id="ffffffffffffffff")
            self.answer(connection, request)
        else:
            self.answer(connection, request, fault)

    def note_run(self, request_id):
        with self.lock:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1

    def answer(self, connection, request, fault=None):
        raise NotImplementedError


class PlainServer(Server):
    """Answers with what it was asked; "wait" takes half a second more, "hang"
    says nothing until the gateway is gone."""

    def answer(self, connection, request, fault=None):
        self.note_run(request.id)
        if fault == "hang":
            while not connection.caller_is_gone():
                time.sleep(0.05)
            raise ConnectionError
        if fault == "wait":
            time.sleep(0.5)
        if fault == "error":
            connection.reply(500, b"no", [(SEAL, self.id)], request.id)
            return
        body = json.dumps({"method": request.method, "target": request.target,
                           "body": request.body.decode("latin-1")}).encode()
        connection.reply(200, body, [(SEAL, self.id)], request.id)


class StageServer(Server):
    """Makes pieces; a handle names its request and stage, so that inputs of
    another request show."""

    def __init__(self, *args, call_seconds=0.02):
        super().__init__(*args)
        self.call_seconds = call_seconds
        self.made = set()
        self.held = set()
        self.wrong = []

    def answer(self, connection, request, fault=None):
        document = json.loads(request.body)
        if request.target == "/v1/stage-free":
            with self.lock:
                self.held -= set(document["handles"])
            connection.reply(200)
            return
        time.sleep(self.call_seconds)
        items = []
        for item in document["items"]:
            for handle in item.get("inputs", []):
                if f"/{item['id']}-" not in handle:
                    self.wrong.append((item, handle))
            handle = (f"{self.address}/{item['id']}-{item['stage']}"
                      f"-{item['piece']}")
            with self.lock:
                self.made.add(handle)
                self.held.add(handle)
            items.append({"handle": handle})
        connection.reply(200, json.dumps({"items": items}).encode())


class Engine(Server):
    """Streams `events` numbered events; goes on behind Last-Event-Id. "break"
    closes in the middle of the third event."""

    events = 6
    pause = 0.0

    def answer(self, connection, request, fault=None):
        self.note_run(request.id)
        inputs = request.headers.get("x-citronlane-inputs", "")
        for handle in filter(None, inputs.split(",")):
            if f"/{request.id}-" not in handle:
                connection.reply(400, b"wrong inputs", request_id=request.id)
                return
        first = int(request.headers.get("last-event-id", "-1")) + 1
        connection.begin_stream(request.id, [(SEAL, self.id)])
        for number in range(first, self.events):
            event = f"id: {number}\ndata: {request.id} {number}\n\n".encode()
            if fault == "break" and number == 2:
                connection.chunk(event[:7])
                raise ConnectionError
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
        # Two entries a page, so that pages are followed.
        match = re.search(r"page_token=(\d+)", request.target)
        begin = int(match.group(1)) if match else 0
        entries = [server.entry() for server in self.servers]
        more = begin + 2 < len(entries)
        return {"instances": entries[begin:begin + 2],
                "next": str(begin + 2) if more else None}
