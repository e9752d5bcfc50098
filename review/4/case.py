"""A backend has left; the node beside it restarts and gets a report from before, late."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import deployment as d  # noqa: E402

HOST, DEPOSITS, SERVICE = "inkwell4.example", "/deposits/", "bookings"
WORK_S = 0.3
DRAIN_S, STABILITY_WINDOW_S = 2.5, 3.0
# The report is sent right before the deregistration and arrives two seconds later.
LATE_S = 2.0
# Platform: a process that was killed is back after a short delay.
RESTART_S = 0.5
# The backend serves for this long after the ack: "at times many seconds".
SERVES_ON_S = 9.0


def post_loop(node, record, stop):
    while not stop.is_set():
        attempt_id = d.new_id()
        record.add("sent", id=attempt_id)
        answer = None
        try:
            with d.socket.create_connection(node, timeout=3) as s:
                s.settimeout(3)
                s.sendall(d.request_head("POST", HOST, DEPOSITS + "a", attempt_id, 3000,
                                         ["Content-Length: 0"]))
                answer, _ = d.read_answer(s)
        except OSError:
            pass
        record.add("answered", id=attempt_id, status=answer.status if answer else None)
        stop.wait(0.02)


def case(record, trouble):
    # One of eight nodes is killed: a share of 0.125.
    deployment = d.Deployment([("cn-a", "gallery"), ("cn-a", SERVICE), ("cn-a", SERVICE)] +
                              [("cn-b", "gallery")] * 5, record)
    deployment.start_all()
    sender, leaving_machine, other = deployment.sides[:3]
    leaving = d.Backend(leaving_machine, SERVICE, 16, record, None, WORK_S)
    backends = [d.Backend(sender, "gallery", 16, record), leaving,
                d.Backend(other, SERVICE, 16, record, None, WORK_S)]
    backends += [d.Backend(m, "gallery", 16, record) for m in deployment.sides[3:]]
    for b in backends:
        b.beat()
    route = ("r-deposits", HOST, DEPOSITS, "non_idempotent", 3000, 1200, 0, SERVICE, 2)
    if deployment.put_config(d.configuration(5, [route], ["gallery", SERVICE]), 0) != 200:
        raise d.CannotRun("the configuration was refused")
    deployment.wait_ready()
    time.sleep(3)
    stop = threading.Event()
    for _ in range(8):
        threading.Thread(target=post_loop, args=((sender.ip, deployment.ports["outbound"]), record,
                                                 stop), daemon=True).start()
    time.sleep(2)
    # Some backends never report `draining`: they deregister, serve on, and exit. The last report
    # is on its way when the deregistration is acknowledged.
    leaving.beats = False
    late_report = leaving.next_report()
    control = (leaving_machine.ip, deployment.ports["control"])
    answer = d.call_json(control, "DELETE", f"/fescuedyke/instances/{leaving.identity}",
                         {"born": leaving.born})
    if answer is None or not 200 <= answer.status < 300:
        raise d.CannotRun("the deregistration was not acknowledged")
    acked = time.monotonic()
    record.add("left", backend=leaving.identity)
    if trouble:
        leaving_machine.process.kill()
        leaving_machine.process.wait()
        time.sleep(RESTART_S)
        deployment.start(leaving_machine, False)
        record.add("restarted", machine=leaving_machine.name)
    in_touch = time.monotonic() + STABILITY_WINDOW_S
    time.sleep(max(0.0, acked + LATE_S - time.monotonic()))
    status = d.call_json(control, "PUT", f"/fescuedyke/instances/{leaving.identity}", late_report)
    record.add("late-report", status=status.status if status else None)
    # From here on both nodes are in touch, and Drain has passed since the ack.
    judged_from = max(in_touch, acked + DRAIN_S)
    time.sleep(max(0.0, judged_from + 0.2 - time.monotonic()))
    record.add("judged-from-here")
    time.sleep(max(0.0, acked + SERVES_ON_S - time.monotonic()))
    leaving.exit()
    record.add("exited", backend=leaving.identity)
    time.sleep(1)
    stop.set()
    time.sleep(0.5)
    start = record.of("judged-from-here")[0]["t"]
    late = [e for e in record.of("run") if e["backend"] == leaving.identity and e["t"] > start]
    before = [e for e in record.of("run") if e["backend"] == leaving.identity and e["t"] <= start]
    failed = {e["id"] for e in record.of("answered") if e["status"] in (None, 502, 504)}
    lost = [e for e in late if e["id"] in failed]
    print(f"the backend that left ran {len(before)} requests before, and {len(late)} later than "
          f"Drain after the ack, with both nodes in touch; {len(lost)} of these ran and were cut "
          f"off without their answer when it exited")
    if not before:
        raise d.CannotRun("the backend got no requests at all")
    return d.BROKEN if late else d.HELD


# With TROUBLE=0 the same is done without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
d.run_case(HERE, case, TROUBLE)
