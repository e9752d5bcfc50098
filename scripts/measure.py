"""Measures real processes on loopback.

Usage: measure.py BUILD latency|upload|in-force|in-force-frozen|control [NODES...]"""

import os
import shutil
import signal
import statistics
import sys
import time

from mesh import MEMBERS, ROOT, Mesh, wait_for

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def node_settings(name, owner, region, http):
    members = "".join(
        f"    - {{name: {n}, control: 127.0.0.1:{p + 2}, api: 127.0.0.1:{p}}}\n"
        for n, p in MEMBERS.items()
    )
    return (
        f"instance: {name}\nowner: {owner}\nregion: {region}\nzone: a\n"
        f"listen:\n  http: 127.0.0.1:{http}\n  peer: 127.0.0.1:{http + 1}\n"
        f"control:\n  members:\n{members}"
        "operators:\n  - {name: platform, token: platform-demo-token, owners: ['*']}\n"
    )


def start_extra(mesh, count):
    """Starts nodes in addition to the example mesh, without targets."""
    for i in range(count):
        name = f"extra-{i}"
        path = os.path.join(mesh.folder, name + ".yaml")
        with open(path, "w") as file:
            file.write(node_settings(name, "inkwell", ["cascadia-north", "puget"][i % 2], 20000 + 10 * i))
        mesh.start(name, "fescuedyke", "--config", path)


def announce(name, http, service):
    """Announces a target that receives no calls, so that views and owner tables have a realistic size."""
    import json
    import urllib.request

    body = {"service": service, "address": f"127.0.0.1:{http + 2}", "slots": 50, "lease_ms": 600000}
    request = urllib.request.Request(
        f"http://127.0.0.1:{http}/v1/target/announce", data=json.dumps(body).encode())
    with urllib.request.urlopen(request) as answer:
        answer.read()


def cpu_seconds(mesh, name):
    with open(f"/proc/{mesh.processes[name].pid}/stat") as file:
        fields = file.read().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_mib(mesh, name):
    with open(f"/proc/{mesh.processes[name].pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)


def peak_mib(mesh, name):
    with open(f"/proc/{mesh.processes[name].pid}/status") as file:
        line = next(l for l in file if l.startswith("VmHWM:"))
    return int(line.split()[1]) / 1024


def upload(mesh):
    """Measures what an upload of 64 MiB adds to the peak memory of each node after a warm-up."""
    mesh.start_all()
    for _, result in mesh.apply_policies():
        assert result.returncode == 0, result.stderr
    wait_for("the mesh", mesh.ready)
    upload_load = ["--node", "127.0.0.1:7401", "--path", "/call/calendar/reference", "--method", "POST",
                   "--labels", "operation=upload", "--keys", "-", "--rate", 2]
    mesh.load(*upload_load, "--duration", 3000, "--body-bytes", 1 << 10)
    nodes = ["bookings-1", "calendar-1", "calendar-2"]
    before = {name: peak_mib(mesh, name) for name in nodes}
    result = mesh.load(*upload_load, "--duration", 1000, "--body-bytes", 64 << 20)
    print(f"uploads: {result['outcomes']}")
    for name in nodes:
        after = peak_mib(mesh, name)
        print(f"{name:11s} peak {before[name]:.1f} MiB before, {after:.1f} MiB after, "
              f"added {after - before[name]:.2f} MiB")


def latency(mesh):
    """Measures the latency of a target directly and through nodes, alternating, at a low constant rate."""
    mesh.start_all()
    for _, result in mesh.apply_policies():
        assert result.returncode == 0, result.stderr
    wait_for("the mesh", mesh.ready)
    for name in ["fees-1-target", "fees-2-target"]:
        mesh.stop([name])
    for name, base in [("fees-1", 7441), ("fees-2", 7451)]:
        mesh.start_target(name, "fees", base, slots=50, service_time=1)
    wait_for("the targets", mesh.ready)
    paths = {
        "direct": ["--node", "127.0.0.1:7443", "--path", "/fees/x"],
        "own node": ["--node", "127.0.0.1:7441", "--path", "/call/fees/x"],
        "another node": ["--node", "127.0.0.1:7401", "--path", "/call/fees/x"],
    }
    latencies = {path: [] for path in paths}
    for _ in range(5):
        for path, arguments in paths.items():
            result = mesh.load(*arguments, "--rate", 100, "--duration", 4000)
            latencies[path].append((result["p50_us"], result["p99_us"]))
    for path, rounds in latencies.items():
        p50 = statistics.median(r[0] for r in rounds)
        p99 = statistics.median(r[1] for r in rounds)
        base = latencies["direct"]
        print(f"{path:13s} p50 {p50:6.0f} us, p99 {p99:6.0f} us, added "
              f"{p50 - statistics.median(r[0] for r in base):5.0f} and "
              f"{p99 - statistics.median(r[1] for r in base):5.0f} us; rounds {rounds}")


def in_force(mesh, extra, frozen=False):
    """Measures, for 100 changes, the time to durability and from there to being in force everywhere."""
    mesh.start_all()
    start_extra(mesh, extra)
    wait_for("the mesh", lambda: mesh.ctl_json("platform", "progress")["regions"]["puget"]["nodes"] >= extra // 2)
    time.sleep(2)
    import json
    import urllib.request

    leader = MEMBERS[mesh.leader()]
    silent = next(m for m in MEMBERS if m != mesh.leader())
    if frozen:
        # The member keeps its connections open but sends nothing.
        mesh.processes[silent].send_signal(signal.SIGSTOP)
    headers = {"Authorization": "Bearer platform-demo-token"}

    def fetch(path, body=None):
        data = json.dumps(body).encode() if body else None
        request = urllib.request.Request(f"http://127.0.0.1:{leader}{path}", data=data, headers=headers)
        with urllib.request.urlopen(request) as answer:
            return json.load(answer)

    durable_times, in_force_times = [], []
    for i in range(100):
        start = time.monotonic()
        policy = f"policy: p\nowner: inkwell\norder: {i}\ngovern: {{class: low, idempotent: true}}\n"
        result = fetch("/v1/policies", {"change_id": f"m{i}", "based_on": i, "policy": policy})
        answered = time.monotonic()
        durable_times.append(answered - start)
        while any(r["lowest"] < result["version"] for r in fetch("/v1/progress")["regions"].values()):
            time.sleep(0.005)
        in_force_times.append(time.monotonic() - answered)
    if frozen:
        mesh.processes[silent].send_signal(signal.SIGCONT)
    for label, times in [("durable", durable_times), ("in force everywhere after that", in_force_times)]:
        times.sort()
        print(f"{label}: p50 {1000 * times[50]:.0f} ms, p99 {1000 * times[98]:.0f} ms, "
              f"maximum {1000 * times[-1]:.0f} ms ({9 + extra} nodes)")


def control(mesh, counts):
    """Measures control traffic, CPU and memory per process, without calls, for each number of nodes."""
    mesh.start_all()
    started = 0
    for count in counts:
        extra = count - 9
        for i in range(started, extra):
            name = f"extra-{i}"
            path = os.path.join(mesh.folder, name + ".yaml")
            with open(path, "w") as file:
                file.write(node_settings(name, "inkwell", ["cascadia-north", "puget"][i % 2], 20000 + 10 * i))
            mesh.start(name, "fescuedyke", "--config", path)
        wait_for("the new nodes", lambda: mesh.state(20000 + 10 * (extra - 1)) if extra > 0 else True)
        for i in range(started, extra):
            announce(f"extra-{i}", 20000 + 10 * i, f"service-{i % 15}")
        started = max(started, extra)
        wait_for("all nodes", lambda: sum(
            r["nodes"] for r in mesh.ctl_json("platform", "progress")["regions"].values()) >= count, 60)
        time.sleep(20)
        leader = mesh.leader()
        names = {"leader": leader, "follower": next(m for m in MEMBERS if m != leader), "node": "fees-1"}
        ports = {"leader": MEMBERS[leader], "follower": MEMBERS[names["follower"]], "node": 7441}
        before = {r: (cpu_seconds(mesh, n), mesh.state(ports[r])["subscription"]) for r, n in names.items()}
        start = time.monotonic()
        time.sleep(10)
        elapsed = time.monotonic() - start
        for role, name in names.items():
            cpu = (cpu_seconds(mesh, name) - before[role][0]) / elapsed
            current, earlier = mesh.state(ports[role])["subscription"], before[role][1]
            sent = (current["poll_bytes_sent"] - earlier["poll_bytes_sent"]) / elapsed
            received = (current["poll_bytes_received"] - earlier["poll_bytes_received"]) / elapsed
            polls = (current["polls_sent"] - earlier["polls_sent"]) / elapsed
            print(f"{count:4d} nodes {role:8s}: {100 * cpu:5.2f}% of a core, "
                  f"{resident_mib(mesh, name):6.1f} MiB, polls {polls:.1f}/s, "
                  f"{sent:.0f} B/s out, {received:.0f} B/s in")


def main():
    folder = os.path.join(ROOT, "demo-run")
    shutil.rmtree(folder, ignore_errors=True)
    mesh = Mesh(os.path.abspath(sys.argv[1]), folder)
    numbers = [int(a) for a in sys.argv[3:]]
    try:
        if sys.argv[2] == "latency":
            latency(mesh)
        elif sys.argv[2] == "upload":
            upload(mesh)
        elif sys.argv[2] == "in-force":
            in_force(mesh, numbers[0] if numbers else 0)
        elif sys.argv[2] == "in-force-frozen":
            in_force(mesh, numbers[0] if numbers else 0, frozen=True)
        else:
            control(mesh, numbers or [9, 32, 128])
    finally:
        mesh.stop_all()


if __name__ == "__main__":
    main()
