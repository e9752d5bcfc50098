"""An answer without a length is reset on its way while the node still sends the request."""

import os
import socket
import struct
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import deployment as d  # noqa: E402

HOST, PREFIX, SERVICE = "refs9.example", "/drafts/", "references"
CLIENTS, WINDOW_S = 12, 5.0
UPLOAD_BYTES = 8 << 20
# Links have small windows: a backend that does not read soon blocks the sender.
RECEIVE_BUFFER_BYTES = 32 << 10
# The dose of the site file: garble, how = "unframed", x = 0.05, for_s = 5; share (.5). One of two
# backends resets one answer in 20.
ONE_IN = 20
# The whole answer of the backend. The part that it sends before it breaks off is a prefix.
WHOLE_BYTES, SENT_BYTES = 60_000, 20_000


def whole_answer(attempt_id):
    return (attempt_id.encode() * (WHOLE_BYTES // len(attempt_id) + 1))[:WHOLE_BYTES]


class Behaviour:
    """The backends answer once they have read the head of an upload. Their answers have no length
    and end with the connection, which is closed in order after the rest of the upload was read. A
    faulty backend resets the connection of one answer in 20 in the middle of the answer."""

    def __init__(self, faulty):
        self._faulty = faulty
        self._count = 0
        self._lock = threading.Lock()

    def _is_reset(self):
        with self._lock:
            self._count += 1
            return self._faulty and self._count % ONE_IN == 0

    def __call__(self, backend, request):
        if not request.line.startswith("POST"):
            return None
        backend.ran(request)
        head = (f"HTTP/1.1 200 OK\r\nAttempt-Id: {request.attempt_id}\r\n"
                f"Server-Seal: {backend.seal(request)}\r\nConnection: close\r\n\r\n").encode()
        body = whole_answer(request.attempt_id)
        if not self._is_reset():
            request.sock.sendall(head + body)
            request.read_body()
            return False
        request.sock.sendall(head + body[:SENT_BYTES])
        time.sleep(0.1)
        backend.record.add("reset", id=request.attempt_id, sent=SENT_BYTES, whole=WHOLE_BYTES)
        request.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return False


def upload(node, record):
    attempt_id = d.new_id()
    head = d.request_head("POST", HOST, PREFIX + "a", attempt_id, 5000,
                          [f"Content-Length: {UPLOAD_BYTES}", "Content-Type: image/png"])
    record.add("sent", id=attempt_id, bytes=UPLOAD_BYTES)
    answer = None
    try:
        with socket.create_connection(node, timeout=10) as s:
            s.settimeout(10)

            def send():
                try:
                    s.sendall(head)
                    part = bytes(65536)
                    for _ in range(UPLOAD_BYTES // len(part)):
                        s.sendall(part)
                except OSError:
                    pass

            sender = threading.Thread(target=send, daemon=True)
            sender.start()
            answer, _ = d.read_answer(s)
            sender.join(6)
            if sender.is_alive():
                # The socket must not be closed while a thread sends on it.
                s.shutdown(socket.SHUT_RDWR)
                sender.join()
    except OSError:
        pass
    if answer is None:
        record.add("answered", id=attempt_id, status=None)
        return
    record.add("answered", id=attempt_id, status=answer.status, complete=answer.complete,
               length=answer.headers.get("content-length"), body_bytes=len(answer.body),
               seal=answer.headers.get("server-seal"),
               body_is_whole=answer.body == whole_answer(attempt_id))


def case(record, trouble):
    # The faulty backend is the nearer one.
    deployment = d.Deployment([("cn-a", SERVICE), ("cn-b", SERVICE), ("cn-a", "gallery")], record)
    deployment.start_all()
    behaviours = [Behaviour(trouble), Behaviour(False), None]
    backends = [d.Backend(m, m.service, 64, record, b, receive_buffer=RECEIVE_BUFFER_BYTES)
                for m, b in zip(deployment.sides, behaviours)]
    for b in backends:
        b.beat()
    route = ("r-drafts", HOST, PREFIX, "upload", 5000, 1000, 1, SERVICE, 2)
    if deployment.put_config(d.configuration(5, [route], [SERVICE, "gallery"]), 0) != 200:
        raise d.CannotRun("the first configuration was refused")
    deployment.wait_ready()
    time.sleep(3)
    # The clients are on the machine of another service, as all clients may be.
    node = (deployment.sides[2].ip, deployment.ports["outbound"])
    end = time.monotonic() + WINDOW_S

    def client():
        while time.monotonic() < end:
            upload(node, record)

    threads = [threading.Thread(target=client, daemon=True) for _ in range(CLIENTS)]
    for t in threads:
        t.start()
    for t in threads:
        t.join(30)
    answers = record.of("answered")
    resets = {e["id"] for e in record.of("reset")}
    complete = [a for a in answers if a["status"] == 200 and a["complete"]]
    wrong = [a for a in complete if not a["body_is_whole"]]
    print(f"{len(answers)} uploads, {len(complete) - len(wrong)} whole answers, {len(resets)} "
          f"answers reset, {len(wrong)} truncated answers that look complete")
    if len(complete) == len(wrong) or (trouble and not resets):
        raise d.CannotRun("too few uploads reached the backends")
    return d.BROKEN if wrong else d.HELD


# With TROUBLE=0 the same is done without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
d.run_case(HERE, case, TROUBLE)
