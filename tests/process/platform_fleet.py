"""A fleet on loopback: control VMs and gateways as real processes, each with an
address of its own, and the simulated platform."""

import http.client
import json
import os
import shutil
import socket
import tempfile
import threading
import time


from process.platform_stand_in import (Engine, PlainServer, ServerList,
                                       StageServer, piece_key)
from process.processes import BINARY, Process, end, free_port, wait_until

KEY = "key-one"
ACCOUNT = "acc"
HOST = "svc.example"
LOG_LINES = 600


def new_id():
    return os.urandom(8).hex()


def with_more_routes(document, count):
    """Returns the document with `count` routes of a plain service added."""
    routes = list(document["routes"])
    first = len(routes)
    routes += [{"name": f"more-{i}", "hostname": HOST,
                "path_prefix": f"/more/{i}/", "kind": "safe",
                "timeout_ms": 3000, "target_latency_ms": 300, "priority": 0,
                "max_attempts": 2, "service": "shop"}
               for i in range(first, first + count)]
    return dict(document, routes=routes)


def ask_at_intervals(ask, until, gap):
    """Calls ask(number) in turn, each in a thread of its own and `gap` seconds
    after the one before, until the time is over. Waits until all are done."""
    threads = []
    while time.monotonic() < until:
        threads.append(threading.Thread(target=ask, args=(len(threads),)))
        threads[-1].start()
        time.sleep(gap)
    for thread in threads:
        thread.join()


class Answer:
    """The response to a caller; `whole` tells whether it was complete."""

    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole


class Fleet:
    """Owns the processes and the simulated platform. `controls`, `gateways` and
    `stages` (servers of the stage pool) are their numbers."""

    BUDGET_WINDOW_S = 10

    def __init__(self, controls=3, gateways=2, stages=2):
        self.folder = tempfile.mkdtemp(prefix="citronlane-platform-")
        self.net = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self.ports = {name: free_port() for name in
                      ("front", "ready", "control", "inner")}
        self.version = 0
        self.document = None
        self._make_servers(stages)
        self.control_ips = [f"{self.net}.{i + 1}" for i in range(controls)]
        self.gateway_ips = [f"{self.net}.{i + 101}" for i in range(gateways)]
        self.seeds = [f"{ip}:{self.ports['control']}"
                      for ip in self.control_ips[:3]]
        self.processes = {}
        for ip in self.control_ips:
            self.start_control(ip, first_start=True)
        for ip in self.gateway_ips:
            self.start_gateway(ip)

    def _make_servers(self, stages):
        ip = f"{self.net}.200"
        self.engines = [Engine(ip, "models", f"e{i}", "ab"[i])
                        for i in range(2)]
        self.plain = [PlainServer(ip, "shop", f"p{i}", "ab"[i])
                      for i in range(2)]
        self.stages = [StageServer(ip, "cut", f"c{i}", "ab"[i % 2])
                       for i in range(stages)]
        self.list = ServerList(ip, self.engines + self.plain + self.stages)

    def settings(self, ip, name, listen, **more):
        return {
            "node_name": name, "ip": ip, "zone": "a", "listen": listen,
            "internal_ports": [self.ports["inner"], self.ports["inner"] + 2],
            "seeds": self.seeds, "fault_tolerance": {"machines": 1},
            "limits": {"memory_mb": 256, "max_fds": 1000},
            "bounds": {"grace_period_s": 8, "drain_timeout_ms": 3000,
                       "retry_budget_ratio": 0.2, "budget_extra": 50,
                       "budget_window_s": self.BUDGET_WINDOW_S},
            "cloud_api": {"address": self.list.address, "rate_per_s": 40},
            **more}

    def _start(self, ip, role, settings):
        path = os.path.join(self.folder, f"{ip}.json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(settings, file)
        os.replace(path + ".new", path)
        if ip in self.processes:
            self.processes[ip].start()
            return
        self.processes[ip] = LoggedProcess(
            ip, [BINARY, "platform", role, "--settings", path], self.folder)

    def start_control(self, ip, first_start=False):
        self._start(ip, "control", self.settings(
            ip, f"control-{ip}", {"control": f"{ip}:{self.ports['control']}"},
            bootstrap=first_start, data_dir=self.data_dir(ip)))

    def start_gateway(self, ip):
        self._start(ip, "gateway", self.settings(
            ip, f"gateway-{ip}",
            {"front": f"{ip}:{self.ports['front']}",
             "readiness_addr": f"{ip}:{self.ports['ready']}"}))

    def data_dir(self, ip):
        return os.path.join(self.folder, "data-" + ip)

    def lose_disk(self, ip):
        """Kills a control VM and empties its disk."""
        self.processes[ip].kill()
        self.lose_disk_of_dead(ip)

    def lose_disk_of_dead(self, ip):
        shutil.rmtree(self.data_dir(ip))

    def is_voter(self, ip):
        """Returns whether the last role that the process logged is a voter's.
        Lines of the previous process do not count, since this one may not have
        logged its role yet."""
        lines = [json.loads(line) for line in
                 self.processes[ip].log_since_start().splitlines()]
        roles = [line.get("role") for line in lines
                 if line["event"] == "role changed"]
        return bool(roles) and roles[-1] in ("follower", "leader")

    def close(self):
        codes = end(list(self.processes.values()))
        for server in self.engines + self.plain + self.stages + [self.list]:
            server.close()
        shutil.rmtree(self.folder)
        return codes

    # The operator.

    def make_document(self, **changes):
        self.version += 3
        routes = [
            {"name": "chat", "hostname": HOST, "path_prefix": "/chat/",
             "kind": "streaming", "timeout_ms": 8000,
             "target_latency_ms": 1500, "target_gap_ms": 400, "priority": 1,
             "max_attempts": 2, "resumable": True, "sticky": True,
             "service": "models",
             "stages": [
                 {"service": "cut", "after": [], "size_bytes": 1000},
                 {"service": "cut", "after": [0], "size_bytes": 1000}]},
            {"name": "once", "hostname": HOST, "path_prefix": "/once/",
             "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 300,
             "priority": 0, "max_attempts": 1, "service": "shop"},
            {"name": "look", "hostname": HOST, "path_prefix": "/look/",
             "kind": "safe", "timeout_ms": 3000, "target_latency_ms": 300,
             "priority": 0, "max_attempts": 2, "service": "shop"}]
        document = {
            "version": self.version, "routes": routes,
            "services": [
                {"name": "models", "engine": {"slots": 64}},
                {"name": "shop"},
                {"name": "cut", "pieces": {
                    "slots": 1, "queue": 2, "batch": 8, "call_ms": 20,
                    "item_ms": 1, "headroom_mb": 1, "handle_s": 4}}],
            "tenants": [{"name": ACCOUNT, "api_keys": [KEY]}]}
        document.update(changes)
        return document

    def call_control(self, method, path, body=None, ip=None, seconds=3):
        """Makes an operator's call, following up to two redirects."""
        host = f"{ip or self.control_ips[0]}:{self.ports['control']}"
        for _ in range(3):
            connection = http.client.HTTPConnection(host, timeout=seconds)
            try:
                connection.request(method, path, body)
                reply = connection.getresponse()
                text = reply.read()
            except OSError:
                return 0, b""
            finally:
                connection.close()
            if reply.status != 307:
                return reply.status, text
            host = reply.headers["Location"].split("/")[2]
        return 0, b""

    def put(self, document, ip=None):
        return self.call_control("POST", "/v1/config/replace",
                                 json.dumps(document), ip)[0]

    def get(self, ip=None):
        status, text = self.call_control("GET", "/v1/config/get", ip=ip)
        return json.loads(text) if status == 200 else None

    def put_until_taken(self, document):
        def taken():
            return any(self.put(document, ip) == 200
                       for ip in self.control_ips
                       if self.processes[ip].running())
        wait_until(taken, "a configuration acknowledged")
        self.document = document

    # Callers.

    def is_ready(self, ip):
        connection = http.client.HTTPConnection(ip, self.ports["ready"],
                                                timeout=1)
        try:
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def wait_ready(self):
        """Returns whether all gateways have the newest configuration."""
        def in_force():
            return all(self.is_ready(ip) and self.route_version(ip) ==
                       self.document["version"] for ip in self.gateway_ips)
        wait_until(in_force, "the configuration in force")

    def metrics(self, gateway):
        """Returns a gateway's metrics; "" when it does not reply."""
        connection = http.client.HTTPConnection(self.gateway_ips[gateway],
                                                9464, timeout=1)
        try:
            connection.request("GET", "/metrics")
            return connection.getresponse().read().decode()
        except OSError:
            return ""
        finally:
            connection.close()

    def route_version(self, ip):
        for line in self.metrics(self.gateway_ips.index(ip)).splitlines():
            if line.startswith("citronlane_config_version "):
                return int(float(line.split()[1]))
        return None

    def start(self):
        self.put_until_taken(self.make_document())
        self.wait_ready()

    def head(self, method, path, request_id, body=b"", **headers):
        lines = {"Host": HOST, "X-Citronlane-Request-Id": request_id,
                 "X-Citronlane-Deadline-Ms": "6000", "Api-Key": KEY}
        if path.startswith("/chat/"):
            lines.update({"X-Citronlane-Model": "m",
                          "X-Citronlane-Token-Usage": "100,20",
                          "X-Citronlane-Prompt-Prefix": "aa:60,bb:40",
                          "X-Citronlane-Pieces": "2,3",
                          "X-Citronlane-Piece-Key": piece_key(request_id)})
        if body or method == "POST":
            lines["Content-Length"] = str(len(body))
        lines.update({name.replace("_", "-"): value
                      for name, value in headers.items()})
        text = f"{method} {path} HTTP/1.1\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in lines.items()
            if value is not None)
        return text.encode() + b"\r\n"

    def connect(self, gateway=0):
        return socket.create_connection(
            (self.gateway_ips[gateway], self.ports["front"]), timeout=10)

    def ask(self, method, path, body=b"", request_id=None, gateway=0,
            **headers):
        with self.connect(gateway) as sock:
            sock.sendall(self.head(method, path, request_id or new_id(), body,
                                   **headers) + body)
            return read_answer(sock)

    def log(self):
        return "".join(process.log() for process in self.processes.values())

    def account(self):
        """Returns the logs of all processes and the calls of each stage server,
        for the report of a failed test."""
        parts = []
        for ip, process in self.processes.items():
            parts.append(f"--- {process.name} ({ip}), "
                         f"{'runs' if process.running() else 'ended'}")
            parts += process.log().splitlines()[-LOG_LINES:]
        for stage in self.stages:
            parts.append(f"--- stage server {stage.id} at {stage.address}, "
                         f"holds {sorted(stage.held)}")
            parts += stage.call_log[-LOG_LINES:]
        return "\n".join(parts)


class LoggedProcess(Process):
    """Also writes standard output, which has the event log, to the log file."""

    def start(self):
        import subprocess  # As in Process.start.
        with open(self.log_path, "ab") as log:
            self.log_begin = os.path.getsize(self.log_path)
            self.child = subprocess.Popen(
                self.arguments, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL)

    def wait(self, seconds=20.0):
        return self.child.wait(seconds)

    def log_since_start(self):
        """Returns the complete lines; the last one may be partly written."""
        with open(self.log_path, "rb") as log:
            log.seek(self.log_begin)
            text = log.read().decode(errors="replace")
        return text[:text.rfind("\n") + 1]


def read_answer(sock):
    """Reads a response, or what there is of one that breaks off."""
    reply = http.client.HTTPResponse(sock)
    try:
        reply.begin()
    except (http.client.HTTPException, OSError):
        return Answer(0, {}, b"", False)
    body = b""
    try:
        while True:
            part = reply.read1(65536)
            if not part:
                break
            body += part
        whole = True
    except (http.client.HTTPException, OSError):
        whole = False
    headers = {name.lower(): value for name, value in reply.getheaders()}
    return Answer(reply.status, headers, body, whole)




