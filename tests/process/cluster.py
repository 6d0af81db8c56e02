"""A whole system on loopback: fakes, control VMs and gateways."""

import json
import os
import shutil
import subprocess
import tempfile

import caller
import deployments
import processes
from processes import Process, free_port, wait_until, write_json

OPERATOR_KEY = "operator-key"


class Cluster:
    """Owns its processes and its folder; ends and removes them at exit."""

    def __init__(self, fleet, controls=3, gateways=3, threads=1,
                 gateway_settings=None):
        self.fleet = fleet
        self.folder = tempfile.mkdtemp(prefix="citronlane-")
        self.controls = []
        self.gateways = []
        self.ports = {}
        self.gateway_settings = gateway_settings or {}
        try:
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
        """Ends every process by its id; returns {name: exit code}."""
        codes = processes.end(self.gateways)
        codes.update(processes.end(self.controls))
        codes.update(processes.end([self.fakes]))
        shutil.rmtree(self.folder, ignore_errors=True)
        return codes

    # Fakes.

    def _start_fakes(self, threads):
        path = write_json(os.path.join(self.folder, "fakes.json"),
                          deployments.fake_fleet(self.fleet))
        self.fakes = Process("fakes", [processes.FAKES, path, str(threads)],
                             self.folder)
        self.fake_ports = json.loads(self.fakes.child.stdout.readline())

    def fault(self, server, **order):
        """Tells a server, a whole pool, or "*" what to do wrong."""
        status, _, _ = caller.exchange(self.fake_ports["control"], "POST",
                                       "/fault/" + server, order)
        assert status == 200, server

    def runs(self):
        """Records of every call that a fake received."""
        return caller.get_json(self.fake_ports["control"], "/record")

    # Control.

    def _start_controls(self, count):
        names = [f"control-{i + 1}" for i in range(count)]
        for name in names:
            self.ports[name] = {part: free_port() for part in
                                ("replication", "control", "admin")}
        for index, name in enumerate(names):
            path = write_json(os.path.join(self.folder, name + ".json"),
                              self._control_settings(index + 1, names))
            self.controls.append(Process(
                name, [processes.BINARY, "control", "--settings", path],
                self.folder))
        if count:
            self.wait_control()
            self.apply(self.document, base=0)

    def _control_settings(self, node, names):
        return {}

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
        return {}

    def wait_ready(self):
        for gateway in self.gateways:
            wait_until(lambda g=gateway: self.is_ready(g),
                       gateway.name + " ready: " + gateway.log()[-2000:])

    def is_ready(self, gateway):
        assert gateway.running(), gateway.log()[-2000:]
        return caller.answers(self.ports[gateway.name]["callers"], "/readyz")

    def caller(self, index=0, account="buyers"):
        """An account's way to the gateway of that index."""
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
