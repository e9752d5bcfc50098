"""A request with one long header, within the configured limit, ends the node that reads it."""

import os
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import deployment as d  # noqa: E402

HOST, READS, SERVICE = "inkwell4.example", "/views/", "gallery"
MAX_HEADER_BYTES = 128 << 10
# Both stay within the limit. Only the first one is longer than 64 KiB.
TROUBLE_BYTES, NO_TROUBLE_BYTES = 70_000, 60_000
READ_CLIENTS = 8
# The rule allows three.
MAX_LOST = 3


def read_loop(node, record, stop):
    """Sends one request after the other on a kept connection."""
    while not stop.is_set():
        try:
            with socket.create_connection(node, timeout=6) as s:
                s.settimeout(6)
                rest, first = b"", True
                while not stop.is_set():
                    attempt_id = d.new_id()
                    s.sendall(d.request_head("GET", HOST, READS + "a", attempt_id, 5000))
                    record.add("sent", id=attempt_id, kept=not first)
                    answer, rest = d.read_answer(s, rest)
                    if answer is None:
                        if not stop.is_set():
                            record.add("closed-without-answer", id=attempt_id, kept=not first)
                        break
                    record.add("answered", id=attempt_id, status=answer.status)
                    first = False
                    if answer.headers.get("connection", "").lower() == "close":
                        break
        except OSError:
            stop.wait(0.3)


def case(record, trouble):
    deployment = d.Deployment([("cn-a", "bookings"), ("cn-a", SERVICE)], record)
    deployment.start_all()
    sender, other = deployment.sides
    backends = [d.Backend(sender, "bookings", 16, record), d.Backend(other, SERVICE, 64, record,
                                                                    None, 0.4)]
    for b in backends:
        b.beat()
    routes = [("r-views", HOST, READS, "idempotent", 5000, 1200, 2, SERVICE, 2)]
    document = d.configuration(5, routes, ["bookings", SERVICE])
    document["Limits"]["MaxHeaderBytes"] = MAX_HEADER_BYTES
    if deployment.put_config(document, 0) != 200:
        raise d.CannotRun("the configuration was refused")
    deployment.wait_ready()
    time.sleep(3)
    node = (sender.ip, deployment.ports["outbound"])
    stop = threading.Event()
    threads = [threading.Thread(target=read_loop, args=(node, record, stop), daemon=True)
               for _ in range(READ_CLIENTS)]
    for t in threads:
        t.start()
    time.sleep(3)
    value = "a" * (TROUBLE_BYTES if trouble else NO_TROUBLE_BYTES)
    head = d.request_head("GET", HOST, READS + "a", d.new_id(), 5000, ["Cookie: " + value])
    assert len(head) < MAX_HEADER_BYTES
    record.add("sent-long-header", head_bytes=len(head), limit=MAX_HEADER_BYTES)
    status = None
    try:
        with socket.create_connection(node, timeout=6) as s:
            s.settimeout(6)
            s.sendall(head)
            answer, _ = d.read_answer(s)
            status = answer.status if answer else None
    except OSError:
        pass
    record.add("answered-long-header", status=status)
    time.sleep(1.5)
    ended = deployment.ended_by_itself(sender)
    stop.set()
    if ended is not None:
        with open(sender.log, "rb") as f:
            last = f.read().decode("utf-8", "replace").strip().split("\n")[-1]
        record.add("process-ended-by-itself", machine=sender.name, status=ended, last_line=last)
        print(f"the node ended by itself with status {ended}: {last}")
    passed_on = {e["id"] for e in record.of("run")}
    lost = [e for e in record.of("closed-without-answer") if e["kept"] and e["id"] in passed_on]
    answered = [e for e in record.of("answered") if e["status"] == 200]
    print(f"the long header got {status}; {len(answered)} reads answered, "
          f"{len(lost)} reads cut after they were passed on")
    if not answered:
        raise d.CannotRun("nothing was served")
    return d.BROKEN if len(lost) > MAX_LOST or ended is not None else d.HELD


d.run_case(HERE, case)
