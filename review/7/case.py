"""A stream is taken up after its route has moved to another service."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from fleet_2 import SmallDeployment, run_case  # noqa: E402
from process.platform_fleet import new_id, read_answer  # noqa: E402
from process.platform_stand_in import Engine  # noqa: E402

OLD, NEW = "models", "drafts"
VERSIONS = {OLD: "v1", NEW: "v2"}
EVENTS = 24
EVENT_PAUSE_S = 0.15
EVENTS_BEFORE_KILL = 5
STREAMS = 6
# After the acknowledgement; callers take a stream up well within their limit.
TAKE_UP_PAUSE_S = 1.0
TIME_LIMIT_MS = 12000


class Model(Engine):
    """Each event names its service, besides the engine's version."""

    def answer(self, connection, request, fault=None):
        self.note_run(request.id)
        first = int(request.headers.get("last-event-id", "-1")) + 1
        connection.begin_stream(request.id, [self.seal(request)])
        for number in range(first, EVENTS):
            connection.chunk(f"id: {number}\ndata: {number} by {self.service} "
                             f"{self.version}\n\n".encode())
            time.sleep(EVENT_PAUSE_S)
        connection.send(b"0\r\n\r\n")


class Deployment(SmallDeployment):
    def _make_servers(self, stages):
        super()._make_servers(0)
        for engine in self.engines:
            engine.close()
        self.engines = [
            Model(f"{self.net}.200", service, f"{service}-{zone}", zone,
                  version=VERSIONS[service])
            for service in VERSIONS for zone in "ab"]
        self.list.servers = self.engines + self.plain

    def document_for(self, service):
        """Returns a desired state in which the route leads to this service."""
        document = self.make_document()
        document["services"] = [
            {"name": name, "engine": {"slots": 64}} for name in VERSIONS]
        document["services"].append({"name": "shop"})
        document["routes"][0]["service"] = service
        document["routes"][0]["timeout_ms"] = TIME_LIMIT_MS
        del document["routes"][0]["stages"]
        return document


def events_of(body):
    """Returns the whole events: their number and their text."""
    events = []
    for event in body.decode().split("\n\n")[:-1]:
        lines = dict(line.split(": ", 1) for line in event.split("\n"))
        events.append((int(lines["id"]), lines["data"]))
    return events


def send(fleet, gateway, **headers):
    """Returns the socket and the id of a request that was sent."""
    request_id = new_id()
    sock = fleet.connect(gateway)
    sock.sendall(fleet.head("POST", "/chat/x", request_id, b"hello",
                            X_Citronlane_Deadline_Ms=str(TIME_LIMIT_MS),
                            X_Citronlane_Pieces=None,
                            X_Citronlane_Piece_Key=None, **headers) + b"hello")
    return sock, request_id


def read(sock):
    with sock:
        answer = read_answer(sock)
    return answer, events_of(answer.body) if answer.status == 200 else []


def case(fleet, record, has_trouble):
    fleet.put_until_taken(fleet.document_for(OLD))
    fleet.wait_ready()
    time.sleep(2)

    streams = [send(fleet, 0) for _ in range(STREAMS)]
    time.sleep(EVENTS_BEFORE_KILL * EVENT_PAUSE_S)
    fleet.processes[fleet.gateway_ips[0]].kill()
    record.write("the gateway of the streams is killed")
    texts = []
    for sock, request_id in streams:
        answer, events = read(sock)
        record.write(f"request {request_id} answered {answer.status}, "
                     f"{'whole' if answer.whole else 'broken off'}: {events}")
        texts.append(events)
    fleet.start_gateway(fleet.gateway_ips[0])
    if not all(texts):
        raise RuntimeError("a stream had not begun when it was cut")

    if has_trouble:
        fleet.put_until_taken(fleet.document_for(NEW))
        record.write(f"acknowledged: the route moves from {OLD} to {NEW}")
    time.sleep(TAKE_UP_PAUSE_S)

    breaks = []
    taken_up = [send(fleet, 1, Last_Event_Id=str(begun[-1][0]))
                for begun in texts]
    for begun, (sock, request_id) in zip(texts, taken_up):
        answer, events = read(sock)
        record.write(f"request {request_id} takes the stream up at "
                     f"{begun[-1][0]}, answered {answer.status}, "
                     f"{'whole' if answer.whole else 'broken off'}: {events}")
        authors = {text.split(" by ")[1] for _, text in begun + events}
        numbers = [number for number, _ in begun + events]
        if len(authors) > 1:
            breaks.append("ORDER: the caller's text was joined from "
                          + " and ".join(sorted(authors)))
        elif answer.status == 200 and numbers != list(range(EVENTS)):
            breaks.append(f"ORDER: the caller got the events {numbers}")
        elif answer.status != 200 and not has_trouble:
            raise RuntimeError("the stream could not be taken up")
    return breaks


if __name__ == "__main__":
    run_case(FOLDER, lambda: Deployment(stages=0), case)
