"""What the cases of the second review share: a small deployment on loopback,
started with the commands of the deploy file, and the frame of a case."""

import json
import os
import re
import signal
import sys
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# Set before the project's stand-ins are imported, which read it.
os.environ["CITRONLANE_BINARY"] = os.path.join(ROOT, "target", "citronlane")
sys.path.insert(0, os.path.join(ROOT, "tests"))

from process.platform_fleet import Fleet, LoggedProcess  # noqa: E402

TIME_LIMIT_S = 112
HELD, BROKEN, NOT_RUN = 0, 1, 2


def commands():
    """Returns the command of each role, by the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"),
              encoding="utf-8") as file:
        text = file.read()
    roles = re.findall(r'\[roles\.(\w+)\]\s+run = "([^"]+)"', text)
    return {role: run.split(" ") for role, run in roles}


class DeployedProcess(LoggedProcess):
    """A process of the deploy file: it runs in the repository's root and finds
    its settings by the variable CITRONLANE_CONFIG."""

    def __init__(self, name, arguments, folder, settings):
        self.settings = settings
        super().__init__(name, arguments, folder)

    def start(self):
        import subprocess  # As in Process.start.
        with open(self.log_path, "ab") as log:
            self.log_begin = os.path.getsize(self.log_path)
            self.child = subprocess.Popen(
                self.arguments, stdout=log, stderr=log, cwd=ROOT,
                stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""),
                     "CITRONLANE_CONFIG": self.settings})


class SmallDeployment(Fleet):
    """Five control VMs and three gateways with the bounds of brazos-lane."""

    BOUNDS = {
        "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000,
        "ack_timeout_ms": 4000, "catch_up_s": 4, "drain_timeout_ms": 3000,
        "grace_period_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
        "rollback_slack_ms": 250, "outer_bound_ms": 5000,
        "strict_revocation": False, "revoke_ms": 5000,
        "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 52,
        "recover_s": 12, "pass_ms": 120, "reuse_window_s": 9.7}

    def __init__(self, controls=5, gateways=3, stages=5):
        super().__init__(controls, gateways, stages)

    def settings(self, ip, name, listen, **more):
        is_front = "front" in listen
        settings = super().settings(ip, name, listen, **more)
        settings.update({
            "role": "gateway" if is_front else "control",
            "machine_class": "front" if is_front else "core",
            "serves": ["front" if is_front else "control"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "in_tolerance": not is_front,
            "limits": {"cpu_share": 0.25 if is_front else 0.6, "cores": 1,
                       "memory_mb": 260 if is_front else 256,
                       "max_fds": 4100 if is_front else 4096,
                       "link_mbps": 1000.0,
                       "disk_mb": 0 if is_front else 128},
            "bounds": self.BOUNDS})
        return settings

    def _start(self, ip, role, settings):
        path = os.path.join(self.folder, f"{ip}.json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(settings, file)
        os.replace(path + ".new", path)
        if ip in self.processes:
            self.processes[ip].start()
        else:
            self.processes[ip] = DeployedProcess(
                ip, commands()[role], self.folder, path)


class Record:
    """Writes what was sent, answered and run to a file, with the time since
    the start of the case."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class TimeIsUp(Exception):
    pass


def run_case(folder, make_fleet, case):
    """Runs case(fleet, record, has_trouble), which returns the breaks of the
    rule as texts, and exits as the issue asks."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    def stop(*_):
        raise TimeIsUp

    signal.signal(signal.SIGALRM, stop)
    signal.signal(signal.SIGTERM, stop)
    signal.alarm(TIME_LIMIT_S)
    record = Record(os.path.join(folder, "record.txt"))
    record.write(f"case {os.path.basename(folder)}, "
                 f"TROUBLE={int(has_trouble)}")
    fleet = None
    result = NOT_RUN
    try:
        fleet = make_fleet()
        breaks = case(fleet, record, has_trouble)
        result = BROKEN if breaks else HELD
        for text in breaks:
            record.write(f"broken: {text}")
    except BaseException:  # Also at the time limit: all processes must end.
        record.write("the case could not run: " +
                     traceback.format_exc().replace(ROOT, "."))
    finally:
        signal.alarm(0)
        if fleet is not None:
            fleet.close()
    record.write(f"result {result} (0 held, 1 broken, 2 could not run)")
    # Threads of the stand-ins may still wait for connections.
    os._exit(result)
