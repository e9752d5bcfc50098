"""Machines of the core lose their disks one after the other while the configuration changes."""

import json
import os
import shutil
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import deployment as d  # noqa: E402

ROUTE_HOST = "inkwell4.example"
# One change each 75 ms: some hundred in all.
CHANGE_INTERVAL_S = 0.075
# Each machine is down for one second. CatchUp is 4 s; the next machine follows 8 s after the last.
DOWN_S, INTERVAL_S, MACHINES = 1.0, 8.0, 3
# The bound `Recover`, counted from the time at which all are back, and a few seconds more.
RECOVER_S, READ_S = 15.0, 20.0


def configuration(version):
    route = ("r-views", ROUTE_HOST, "/views/", "idempotent", 5000 + version, 1200, 2, "gallery", 2)
    return d.configuration(version, [route], ["gallery"])


class Operator:
    """Sends one change after the other, each on top of the last acknowledged one."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.acknowledged = 0
        self.stop = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self):
        members = [(c.ip, self.deployment.ports["control"]) for c in self.deployment.core]
        address, turn = members[0], 0
        while not self.stop.is_set():
            started = time.monotonic()
            version = self.acknowledged + 1
            body = json.dumps(configuration(version)).encode()
            while not self.stop.is_set():
                answer, leader = call_leader(address, "PUT", body, self.acknowledged)
                if answer is not None and answer.status == 200:
                    self.acknowledged = version
                    self.record.add("acknowledged", version=version)
                    address = leader
                    break
                if answer is not None and answer.status in (400, 412):
                    self.record.add("refused", version=version, status=answer.status)
                    return
                turn += 1
                address = members[turn % len(members)]
                time.sleep(0.05)
            self.stop.wait(max(0.0, CHANGE_INTERVAL_S - (time.monotonic() - started)))


def call_leader(address, method, body=b"", base=None):
    """Sends a call and follows up to two redirects. Returns the answer and who gave it."""
    headers = {} if base is None else {"If-Match": f"{base:08x}"}
    answer = None
    for _ in range(3):
        answer = d.call_json(address, method, "/fescuedyke/config", body, headers)
        if answer is None or answer.status != 307:
            break
        host, port = answer.headers["location"].split("//")[1].split("/")[0].split(":")
        address = (host, int(port))
    return answer, address


def lose_disk(deployment, record, m):
    m.process.kill()
    m.process.wait()
    record.add("killed", machine=m.name)
    shutil.rmtree(os.path.join(deployment.folder, m.name + ".data"))
    time.sleep(DOWN_S)
    deployment.start(m, False)
    record.add("started-with-an-empty-disk", machine=m.name)


def case(record, trouble):
    deployment = d.Deployment([], record)
    deployment.start_all()
    operator = Operator(deployment, record)
    operator.thread.start()
    deployment.wait(lambda: operator.acknowledged > 0, 15, "the first change is acknowledged")
    # All five machines of the core have started long ago when the first one is lost.
    time.sleep(8)
    for m in deployment.core[:MACHINES]:
        if trouble:
            lose_disk(deployment, record, m)
            time.sleep(INTERVAL_S - DOWN_S)
        else:
            time.sleep(INTERVAL_S)
    operator.stop.set()
    operator.thread.join()
    newest = operator.acknowledged
    time.sleep(RECOVER_S)
    read = None
    deadline = time.monotonic() + READ_S
    turn = 0
    statuses = {}
    while read is None and time.monotonic() < deadline:
        c = deployment.core[turn % len(deployment.core)]
        turn += 1
        answer, _ = call_leader((c.ip, deployment.ports["control"]), "GET")
        status = answer.status if answer else None
        statuses[str(status)] = statuses.get(str(status), 0) + 1
        if status == 200:
            read = int(json.loads(answer.body)["Version"], 16)
        else:
            time.sleep(0.2)
    record.add("read-back", version=read, newest_acknowledged=newest, statuses=statuses)
    print(f"acknowledged up to version {newest}; read back: {read}; answers to reads: {statuses}")
    if any(m.process.poll() is not None for m in deployment.core):
        raise d.CannotRun("a process of the core has ended")
    return d.HELD if read is not None and read >= newest else d.BROKEN


# With TROUBLE=0 the same is done without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
d.run_case(HERE, case, TROUBLE)
