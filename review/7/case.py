"""Streams are taken up after all processes were killed at the same moment."""

import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from fleet_2 import SmallDeployment, run_case  # noqa: E402
from process.platform_fleet import new_id, read_answer  # noqa: E402
from process.platform_stand_in import Engine  # noqa: E402

STREAMS = 24
EVENTS = 50
EVENT_PAUSE_S = 0.2
TIME_LIMIT_S = 12.0
STREAM_TIME_BEFORE_KILL_S = 1.5
DOWN_S = 0.5
# Twice contact_ms, as after a final fault, and a little more.
CONTACT_S = 6.2
# When callers try again, once as the sheet says, counted from the break. The
# pages name no pause.
TRY_AFTER_S = (DOWN_S + CONTACT_S + 0.5,)
# The rule's least number of streams.
LEAST_STREAMS = 12


class Model(Engine):
    def answer(self, connection, request, fault=None):
        self.note_run(request.id)
        first = int(request.headers.get("last-event-id", "-1")) + 1
        connection.begin_stream(request.id, [self.seal(request)])
        for number in range(first, EVENTS):
            connection.chunk(f"id: {number}\ndata: {number} by {self.id} "
                             f"{self.version}\n\n".encode())
            time.sleep(EVENT_PAUSE_S)
            if connection.caller_is_gone():
                raise ConnectionError
        connection.send(b"0\r\n\r\n")


class Deployment(SmallDeployment):
    def _make_servers(self, stages):
        super()._make_servers(0)
        for engine in self.engines:
            engine.close()
        self.engines = [Model(f"{self.net}.200", "models", f"e{i}", "ab"[i % 2])
                        for i in range(4)]
        self.list.servers = self.engines + self.plain

    def streams_document(self):
        document = self.make_document()
        document["services"] = [service for service in document["services"]
                                if service["name"] != "cut"]
        document["routes"][0]["timeout_ms"] = int(TIME_LIMIT_S * 1000)
        del document["routes"][0]["stages"]
        return document

    def kill_all(self):
        for process in self.processes.values():
            process.kill()

    def start_all(self):
        for ip in self.control_ips:
            self.start_control(ip)
        for ip in self.gateway_ips:
            self.start_gateway(ip)


class Caller:
    """One caller's stream. It names the attempt that brought its first event
    when it takes the stream up."""

    def __init__(self, fleet, record, number, has_own_break):
        self.fleet = fleet
        self.record = record
        self.number = number
        self.has_own_break = has_own_break
        self.began = time.monotonic()
        self.first_id = None
        self.last_event = None
        self.is_whole = False
        # Time of each try after the first, and whether it brought an event.
        self.tries = []
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _ask(self):
        left_ms = int((TIME_LIMIT_S - (time.monotonic() - self.began)) * 1000)
        if left_ms <= 0:
            return None
        request_id = new_id()
        headers = {}
        if self.last_event is not None:
            headers = {"Last_Event_Id": str(self.last_event),
                       "Resumes": self.first_id}
        at = time.monotonic()
        try:
            sock = self.fleet.connect(self.number % len(self.fleet.gateway_ips))
        except OSError as error:
            self.record.write(f"caller {self.number}: no connection, {error}")
            return at, False
        with sock:
            sock.sendall(self.fleet.head(
                "POST", "/chat/x", request_id, b"hello",
                X_Citronlane_Deadline_Ms=str(left_ms),
                X_Citronlane_Pieces=None, X_Citronlane_Piece_Key=None,
                X_Citronlane_Prompt_Prefix=f"{new_id()}:60,{new_id()}:40",
                **headers) + b"hello")
            if self.has_own_break and self.last_event is None:
                # Without the disruption the caller itself breaks the stream.
                threading.Timer(STREAM_TIME_BEFORE_KILL_S, sock.shutdown,
                                (socket.SHUT_RDWR,)).start()
            answer = read_answer(sock)
        events = []
        if answer.status == 200:
            events = [int(event.split("\n")[0].split(" ")[1])
                      for event in answer.body.decode().split("\n\n")[:-1]]
        self.record.write(
            f"caller {self.number}: request {request_id} {headers} answered "
            f"{answer.status}, {'whole' if answer.whole else 'broken off'}, "
            f"events {events[:1]} to {events[-1:]}")
        if events:
            self.first_id = self.first_id or request_id
            self.last_event = events[-1]
        self.is_whole = answer.status == 200 and answer.whole
        return at, bool(events)

    def _run(self):
        self._ask()
        broke = time.monotonic()
        for after in TRY_AFTER_S:
            if self.is_whole or self.last_event is None:
                return
            time.sleep(max(0.0, broke + after - time.monotonic()))
            tried = self._ask()
            if tried is not None:
                self.tries.append(tried)


def case(fleet, record, has_trouble):
    fleet.put_until_taken(fleet.streams_document())
    fleet.wait_ready()
    time.sleep(3)
    callers = [Caller(fleet, record, number, not has_trouble)
               for number in range(STREAMS)]
    time.sleep(STREAM_TIME_BEFORE_KILL_S)
    in_touch = time.monotonic()  # Nothing has disturbed the gateways.
    if has_trouble:
        fleet.kill_all()
        record.write("all processes are killed")
        time.sleep(DOWN_S)
        fleet.start_all()
        in_touch = time.monotonic() + CONTACT_S
        record.write("all processes start again")
    time.sleep(max(0.0, in_touch - time.monotonic()))
    record.write("the gateways are in touch")
    new = [Caller(fleet, record, STREAMS + number, False)
           for number in range(LEAST_STREAMS)]
    for caller in callers + new:
        caller.thread.join()

    tries = [is_going_on for caller in callers
             for at, is_going_on in caller.tries if at >= in_touch]
    going_on = sum(tries)
    begun = sum(caller.last_event is not None for caller in new)
    record.write(f"at gateways in touch: {going_on} of {len(tries)} streams "
                 f"that were taken up go on; {begun} of {len(new)} new ones "
                 "begin")
    if len(tries) < LEAST_STREAMS:
        raise RuntimeError("too few streams were taken up")
    if going_on / len(tries) < begun / len(new) / 2:
        return [f"LOST: {going_on} of {len(tries)} streams that were taken up "
                f"go on, {begun} of {len(new)} new ones begin"]
    return []


if __name__ == "__main__":
    run_case(FOLDER, lambda: Deployment(stages=0), case)
