"""A complete system on loopback: fakes, control VMs and gateways."""

import hashlib
import http.client
import json
import os
import shutil
import subprocess
import tempfile
import urllib.parse

from process import caller
from process import deployments
from process import processes
from process.processes import Process, free_port, wait_until, write_json

OPERATOR_KEY = "operator-key"
ADMIN_SECONDS = 3.0


class Cluster:
    """Owns the processes, which it ends at exit, and a folder, which it removes
    then."""

    def __init__(self, fleet, controls=3, gateways=3, threads=1,
                 gateway_settings=None, control_settings=None):
        self.fleet = fleet
        self.folder = tempfile.mkdtemp(prefix="citronlane-")
        self.fakes = None
        self.controls = []
        self.gateways = []
        self.ports = {}
        self.admin_port = None
        self.gateway_settings = gateway_settings or {}
        self.control_settings = control_settings or {}
        try:
            self._write_keys()
            self._start_fakes(threads)
            self.document = deployments.document(fleet,
                                                 self.fake_ports["servers"])
            self._start_controls(controls)
            for i in range(gateways):
                self.add_gateway(f"gateway-{i + 1}")
            self.wait_ready()
        except BaseException:
            self.close()
            raise

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        """Ends all processes; returns {name: exit code}."""
        codes = processes.end(self.gateways)
        codes.update(processes.end(self.controls))
        codes.update(processes.end([self.fakes] if self.fakes else []))
        shutil.rmtree(self.folder, ignore_errors=True)
        return codes

    def _write_keys(self):
        for name, key in (("receipt.key", "receipt-key-of-the-tests"),
                          ("operator.key", OPERATOR_KEY)):
            path = os.path.join(self.folder, name)
            with open(path, "w", encoding="utf-8") as file:
                file.write(key + "\n")
            os.chmod(path, 0o600)

    # Fakes.

    def _start_fakes(self, threads):
        path = write_json(os.path.join(self.folder, "fakes.json"),
                          deployments.fake_fleet(self.fleet))
        self.fakes = Process("fakes", [processes.FAKES, path, str(threads)],
                             self.folder)
        self.fake_ports = json.loads(self.fakes.child.stdout.readline())

    def fault(self, server, **order):
        """Injects faults into a server, a whole pool, or "*" for all."""
        status, _, _ = caller.exchange(self.fake_ports["control"], "POST",
                                       "/fault/" + server, order)
        assert status == 200, server

    def runs(self):
        """Returns the records of all calls to the fakes, in order of time."""
        return sorted(caller.get_json(self.fake_ports["control"], "/record"),
                      key=lambda run: run["time"])

    def clear_runs(self):
        caller.get_json(self.fake_ports["control"], "/clear")

    # Control.

    def _start_controls(self, count):
        names = [f"control-{i + 1}" for i in range(count)]
        for name in names:
            self._take_control_ports(name)
        for name in names:
            self._start_control(name, names)
        if count:
            self.wait_control()
            self.apply(self.document, whole=True)

    def _take_control_ports(self, name):
        self.ports[name] = {part: free_port() for part in
                            ("replication", "control", "admin")}

    def _start_control(self, name, names, **more):
        settings = self._control_settings(int(name.split("-")[1]), names)
        settings["control"].update(more)
        path = write_json(os.path.join(self.folder, name + ".json"), settings)
        self.controls.append(Process(
            name, [processes.BINARY, "control", "--settings", path],
            self.folder))
        return self.controls[-1]

    def add_control(self, node):
        """Starts a new control VM that can be added to the running cluster."""
        name = "control-" + node
        self._take_control_ports(name)
        names = [control.name for control in self.controls] + [name]
        return self._start_control(name, names, join=True)

    def _control_settings(self, node, names):
        peers = [{"id": int(name.split("-")[1]),
                  **{part: f"{processes.LOOPBACK}:{port}"
                     for part, port in self.ports[name].items()}}
                 for name in names]
        digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
        platform = self.fake_ports["servers"]["platform"]
        return {"control": {
            "id": node, "peers": peers, "data_dir": f"data-{node}",
            "operators": [{"name": "operator", "key_digest": digest,
                           "role": "change"}],
            "vm_list": {"address": f"{processes.LOOPBACK}:{platform}",
                        "interval_ms": 200},
            **self.control_settings}}

    def restart(self, process):
        """Starts a killed process again."""
        process.start()

    def wait_control(self):
        wait_until(self.leader, "a control VM leads")

    def leader(self):
        """Returns the control process that is the leader, or None."""
        for process in self.controls:
            assert process.running(), process.log()[-2000:]
            status, body = self.admin("GET", "/v1/status", ports=[
                self.ports[process.name]["admin"]], follow=False)
            if status == 200 and body.get("role") == "leader":
                return process
        return None

    def admin(self, method, path, body=None, ports=None, follow=True):
        """Calls the administration API; returns (status, JSON or {})."""
        headers = {"Authorization": "Bearer " + OPERATOR_KEY,
                   "Content-Type": "application/json"}
        if not ports:
            ports = [self.ports[control.name]["admin"]
                     for control in self.controls]
            # The VM that replied last is most likely the leader.
            ports.sort(key=lambda port: port != self.admin_port)
        status, reply = None, b""
        while ports:
            port = ports.pop(0)
            try:
                status, head, reply = caller.exchange(
                    port, method, path, body, headers, ADMIN_SECONDS)
            except (OSError, http.client.HTTPException):
                continue
            if status == 200 and follow:
                self.admin_port = port
            if status == 307 and follow:
                ports.insert(0, urllib.parse.urlsplit(head["Location"]).port)
            elif status != 503 or not follow:
                break
        try:
            return status, json.loads(reply or b"{}")
        except ValueError:
            return status, {}

    def change(self, patch, change_id, base):
        """Sends one change by the API; returns (status, response)."""
        return self.admin("POST", "/v1/config/changes", {
            "change_id": change_id, "base_version": base, "patch": patch,
            "reason": "test"})

    def config_version(self):
        """Returns the current version, or None when control can't tell."""
        status, answer = self.admin("GET", "/v1/config")
        return int(answer["version"]) if status == 200 else None

    def apply(self, value, whole=False):
        """Runs `citronlane config apply`; returns the new version."""
        path = write_json(os.path.join(self.folder, "change.json"), value)
        code, out, err = self.command(
            "config", "apply", "--document" if whole else "--patch", path,
            "--reason", "test", "--json", *self.admin_options())
        assert code == 0, out + err
        return int(json.loads(out)["version"])

    def admin_options(self):
        addresses = ",".join(
            f"{processes.LOOPBACK}:{self.ports[control.name]['admin']}"
            for control in self.controls)
        return ["--admin", addresses, "--key-file",
                os.path.join(self.folder, "operator.key")]

    # Gateways.

    def add_gateway(self, name):
        self.ports[name] = {"callers": free_port()}
        path = write_json(os.path.join(self.folder, name + ".json"),
                          self._gateway_settings(name))
        gateway = Process(name, [processes.BINARY, "gateway", "--settings",
                                 path], self.folder)
        self.gateways.append(gateway)
        return gateway

    def _gateway_settings(self, name):
        source = {"control": [f"{processes.LOOPBACK}:{self.ports[c.name]['control']}"
                              for c in self.controls]}
        if not self.controls:
            source = {"bootstrap_config": write_json(
                os.path.join(self.folder, "cluster.json"), self.document)}
        domains = self.fleet[0].domains
        return {"gateway": {
            "name": name,
            "failure_domain": domains[len(self.gateways) % len(domains)],
            "listen": {"address": processes.LOOPBACK,
                       "port": self.ports[name]["callers"]},
            "receipt_key_file": "receipt.key", "drain_notice_ms": 200,
            **source, **self.gateway_settings}}

    def wait_ready(self):
        for gateway in self.gateways:
            wait_until(lambda g=gateway: self.is_ready(g),
                       gateway.name + " ready: " + gateway.log()[-2000:])

    def is_ready(self, gateway):
        assert gateway.running(), gateway.log()[-2000:]
        return caller.answers(self.ports[gateway.name]["callers"], "/readyz")

    def seen_version(self, gateway):
        """Returns the version that the gateway uses for new requests, or 0 when
        it accepts none."""
        try:
            status, head, _ = caller.exchange(
                self.ports[gateway.name]["callers"], "GET", "/none",
                seconds=2.0)
        except (OSError, http.client.HTTPException):
            return 0
        # A gateway that can't confirm its version refuses all work with 503.
        return 0 if status == 503 else int(head.get("X-Config-Version", 0))

    def wait_version(self, version, seconds=processes.WAIT_SECONDS):
        for gateway in self.gateways:
            wait_until(lambda g=gateway: self.seen_version(g) >= version,
                       f"version {version} at {gateway.name}", seconds)

    def caller(self, index=0, account="buyers"):
        """Returns a client of an account for the gateway of that index."""
        name = self.gateways[index].name
        return caller.Caller(self.ports[name]["callers"],
                             deployments.key_of(account))

    # Operators.

    def command(self, *arguments):
        """Runs the command line; returns (exit code, stdout, stderr)."""
        done = subprocess.run([processes.BINARY, *arguments],
                              capture_output=True, text=True, timeout=30,
                              check=False)
        return done.returncode, done.stdout, done.stderr
