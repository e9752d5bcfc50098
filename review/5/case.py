"""Slow clients and slow backends: what the nodes hold for them exceeds their memory limit."""

import os
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import deployment as d  # noqa: E402

HOST, UPLOADS, DOWNLOADS, READS = "inkwell4.example", "/drafts/", "/albums/", "/views/"
SERVICE, READ_SERVICE = "references", "gallery"
MEMORY_MB = 260
# A backend has 64 slots. On each of three machines, 60 clients upload and 60 clients download.
SLOTS, CLIENTS, READ_CLIENTS = 64, 60, 8
UPLOAD_BYTES, DOWNLOAD_BYTES = 8 << 20, 4_000_000
DEADLINE_MS = 12_000
# Slow readers take 64 KiB each 50 ms, or 8 KiB each 50 ms (clients).
PAUSE_S, BACKEND_PART, CLIENT_PART = 0.05, 65536, 8192
DURATION_S = 15.0
# The rule allows three.
MAX_LOST = 3


def behave(slow):
    album = bytes(DOWNLOAD_BYTES)

    def answer(backend, request):
        path = request.line.split()[1]
        if path.startswith(DOWNLOADS):
            if not request.read_body():
                return False
            backend.ran(request)
            backend.send(request, 200, {"Server-Seal": backend.seal(request)}, album)
            return True
        if path.startswith(UPLOADS) and slow:
            left = int(request.headers["content-length"]) - len(request.rest)
            while left > 0:
                part = request.sock.recv(BACKEND_PART)
                if not part:
                    return False
                left -= len(part)
                time.sleep(PAUSE_S)
            request.rest = b""
            backend.ran(request)
            backend.send(request, 200, {"Server-Seal": backend.seal(request)}, b"ok")
            return True
        return None

    return answer


def download(node, record, slow):
    attempt_id, size, status = d.new_id(), 0, None
    record.add("sent", id=attempt_id, kind="download")
    s = socket.socket()
    if slow:
        # Small windows, as on the platform's links.
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        s.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
    try:
        s.settimeout(DEADLINE_MS / 1000)
        s.connect(node)
        s.sendall(d.request_head("GET", HOST, DOWNLOADS + "a", attempt_id, DEADLINE_MS))
        while size < DOWNLOAD_BYTES:
            part = s.recv(CLIENT_PART if slow else 1 << 20)
            if not part:
                break
            status = status or part[9:12].decode()
            size += len(part)
            if slow:
                time.sleep(PAUSE_S)
    except OSError:
        pass
    finally:
        s.close()
    record.add("answered", id=attempt_id, kind="download", status=status, bytes=size)


def upload(node, record):
    attempt_id, status = d.new_id(), None
    record.add("sent", id=attempt_id, kind="upload")
    try:
        with socket.create_connection(node, timeout=DEADLINE_MS / 1000) as s:
            s.sendall(d.request_head("POST", HOST, UPLOADS + "a", attempt_id, DEADLINE_MS,
                                     [f"Content-Length: {UPLOAD_BYTES}"]))
            part = bytes(65536)
            for _ in range(UPLOAD_BYTES // len(part)):
                s.sendall(part)
            answer, _ = d.read_answer(s)
            status = answer.status if answer else None
    except OSError:
        pass
    record.add("answered", id=attempt_id, kind="upload", status=status)


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
                    record.add("sent", id=attempt_id, kind="read", kept=not first)
                    answer, rest = d.read_answer(s, rest)
                    if answer is None:
                        if not stop.is_set():
                            record.add("closed-without-answer", id=attempt_id, kept=not first)
                        break
                    record.add("answered", id=attempt_id, kind="read", status=answer.status)
                    first = False
                    if answer.headers.get("connection", "").lower() == "close":
                        break
        except OSError:
            stop.wait(0.3)


def resident_mb(m):
    try:
        with open(f"/proc/{m.process.pid}/status", encoding="ascii") as f:
            for line in f:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) // 1024
    except OSError:
        pass
    return 0


def case(record, trouble):
    deployment = d.Deployment([("cn-a", SERVICE)] * 3 + [("cn-a", READ_SERVICE)], record)
    deployment.start_all()
    nodes = deployment.sides[:3]
    backends = [d.Backend(m, SERVICE, SLOTS, record, behave(trouble)) for m in nodes]
    backends.append(d.Backend(deployment.sides[3], READ_SERVICE, SLOTS, record, None, 0.4))
    for b in backends:
        b.beat()
    routes = [("r-up", HOST, UPLOADS, "upload", DEADLINE_MS, 3000, 1, SERVICE, 2),
              ("r-down", HOST, DOWNLOADS, "idempotent", DEADLINE_MS, 3000, 2, SERVICE, 2),
              ("r-views", HOST, READS, "idempotent", 5000, 1200, 2, READ_SERVICE, 2)]
    if deployment.put_config(d.configuration(5, routes, [SERVICE, READ_SERVICE]), 0) != 200:
        raise d.CannotRun("the configuration was refused")
    deployment.wait_ready()
    time.sleep(3)
    stop = threading.Event()
    threads = []
    for m in nodes:
        address = (m.ip, deployment.ports["outbound"])
        threads += [threading.Thread(target=read_loop, args=(address, record, stop), daemon=True)
                    for _ in range(READ_CLIENTS)]
    for t in threads:
        t.start()
    time.sleep(2)
    for m in nodes:
        address = (m.ip, deployment.ports["outbound"])
        for _ in range(CLIENTS):
            threading.Thread(target=download, args=(address, record, trouble), daemon=True).start()
            threading.Thread(target=upload, args=(address, record), daemon=True).start()
    peak, killed = {m.name: 0 for m in nodes}, []
    end = time.monotonic() + DURATION_S
    while time.monotonic() < end:
        for m in nodes:
            used = resident_mb(m)
            peak[m.name] = max(peak[m.name], used)
            if used > MEMORY_MB and m.name not in killed:
                # The platform kills a process that uses more than its limit.
                record.add("killed-over-memory-limit", machine=m.name, mb=used, limit=MEMORY_MB)
                killed.append(m.name)
                m.process.kill()
                m.process.wait()
        time.sleep(0.02)
    stop.set()
    time.sleep(0.5)
    record.add("peak-memory-mb", **peak)
    passed_on = {e["id"] for e in record.of("run")}
    lost = [e for e in record.of("closed-without-answer") if e["kept"] and e["id"] in passed_on]
    reads = [e for e in record.of("answered") if e["kind"] == "read" and e["status"] == 200]
    served = [e for e in record.of("answered") if e["kind"] == "upload" and e["status"] == 200]
    print(f"peak memory in MB: {peak}, limit {MEMORY_MB}; killed: {killed}; {len(reads)} reads and "
          f"{len(served)} uploads answered, {len(lost)} reads cut after they were passed on")
    if not reads:
        raise d.CannotRun("nothing was served")
    return d.BROKEN if len(lost) > MAX_LOST else d.HELD


d.run_case(HERE, case)
