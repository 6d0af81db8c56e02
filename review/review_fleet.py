"""What the cases share: a small deployment with the commands of the deploy
file, and the record of a run."""

import os
import signal
import sys
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests"))

from process import platform_fleet  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2


def trouble():
    """Returns whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def command_of(role):
    """Returns the words of a role's command in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        run = tomllib.load(file)["roles"][role]["run"].split()
    return [os.path.join(ROOT, run[0]), *run[1:]]


class DeployedFleet:
    """Mixed into a fleet of tests/process: starts its processes as the platform
    does, with the settings file in CITRONLANE_CONFIG."""

    def _start(self, ip, role, settings):
        path = os.path.join(self.folder, f"{ip}.json")
        platform_fleet.json.dump(settings, open(path + ".new", "w"))
        os.replace(path + ".new", path)
        if ip in self.processes:
            self.processes[ip].start()
            return
        self.processes[ip] = platform_fleet.LoggedProcess(
            ip, ["env", f"CITRONLANE_CONFIG={path}", *command_of(role)],
            self.folder)


class Record:
    """Writes the lines of record.txt, each with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        print(line, flush=True)
        print(line, file=self.file, flush=True)


def end_group():
    """Ends what is left of the processes that the case started."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    os.killpg(0, signal.SIGTERM)


def run_case(folder, make_fleet, case):
    """Runs case(fleet, record), which returns whether the rule held. Ends with
    the exit code of the case, and all processes with it."""
    os.setpgrp()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(folder)
    fleet, result = None, NOT_RUN
    try:
        fleet = make_fleet()
        fleet.start()
        result = HELD if case(fleet, record) else BROKEN
    except Exception as error:
        record.write(f"not run: {error!r}")
    finally:
        if fleet is not None:
            fleet.close()
        end_group()
    record.write({HELD: "the rule held", BROKEN: "the rule was broken",
                  NOT_RUN: "the case could not run"}[result])
    sys.exit(result)
