"""Soak test with fault injection into real processes. Usage: soak.py BUILD SEED...

Each seed draws faults of processes (signals) and of links (loopback proxies) and injects them during
a load of non-idempotent requests and of reads, together with a policy change. After all faults are
cleared, the test compares the outcomes that clients received with the logged runs, checks that an
accepted policy change was kept, and checks that the account is conserved."""

import json
import os
import random
import shutil
import signal
import subprocess
import sys
import time

from mesh import MEMBERS, NODES, ROOT, Mesh, wait_for
from proxy import Proxies

LOAD_DURATION_S = 6
FAULT_COUNT = 4
RECOVERY_TIMEOUT_S = 60
NODE_PORTS = {name: base for name, (_, base) in NODES.items() if name.startswith("bookings")}
# Proxies between callers and each node, and between each node and its target.
CALLER_PROXY_PORTS = {name: base + 100 for name, base in NODE_PORTS.items()}
TARGET_PROXY_PORTS = {name: base + 102 for name, base in NODE_PORTS.items()}


class SoakTest:
    def __init__(self, build):
        self.folder = os.path.join(ROOT, "soak-run")
        shutil.rmtree(self.folder, ignore_errors=True)
        self.mesh = Mesh(os.path.abspath(build), self.folder)
        routes = {port: NODE_PORTS[name] for name, port in CALLER_PROXY_PORTS.items()}
        routes.update({port: NODE_PORTS[name] + 2 for name, port in TARGET_PROXY_PORTS.items()})
        self.proxies = Proxies(routes)
        self.failures = []
        # Names of processes that received SIGTERM and have not been started again.
        self.terminated = set()

    def expect(self, seed, failure, passed, detail=""):
        if not passed:
            self.failures.append(f"seed {seed}: {failure} ({detail})")
            print("  FAIL  " + self.failures[-1])

    def start_target(self, name):
        service, base = NODES[name]
        options = {"announce": f"127.0.0.1:{TARGET_PROXY_PORTS[name]}"} \
            if name in TARGET_PROXY_PORTS else {}
        if service == "bookings":
            options["calls_on"] = "calendar"
        self.mesh.start_target(name, service, base, slots=4, service_time=20, **options)

    def start(self):
        self.mesh.start_all()
        for name in NODE_PORTS:
            self.mesh.stop([name + "-target"])
            self.start_target(name)
        for policy, result in self.mesh.apply_policies():
            assert result.returncode == 0, (policy, result.stderr)
        wait_for("the mesh", self.mesh.ready, RECOVERY_TIMEOUT_S)

    def restart(self, name):
        self.terminated.discard(name)
        if name.endswith("-target"):
            self.start_target(name[: -len("-target")])
        else:
            self.mesh.start_node(name)

    def draw_fault(self, rng):
        """Returns a random fault: start, duration, description, and functions that begin and end it."""
        processes = list(NODE_PORTS) + [n + "-target" for n in NODE_PORTS] + list(MEMBERS)
        start, duration = rng.uniform(0.3, LOAD_DURATION_S - 2), rng.uniform(0.3, 2)
        if rng.random() < 0.5:
            port = rng.choice(list(CALLER_PROXY_PORTS.values()) + list(TARGET_PROXY_PORTS.values()))
            mode = rng.choice(["reset", "stall", "stall-answers", "slow"])
            return start, duration, f"{mode} {port}", lambda: self.proxies.set_mode(port, mode), \
                lambda: self.proxies.set_mode(port, "pass")
        name, fault = rng.choice(processes), rng.choice(["kill", "freeze", "stop"])
        return start, duration, f"{fault} {name}", lambda: self.inject(name, fault), \
            lambda: self.recover(name)

    def inject(self, name, fault):
        process = self.mesh.processes.get(name)
        if process is None:
            return
        if fault == "freeze":
            process.send_signal(signal.SIGSTOP)
        elif fault == "kill":
            self.mesh.kill(name)
        else:
            process.send_signal(signal.SIGTERM)
            self.terminated.add(name)

    def recover(self, name):
        process = self.mesh.processes.get(name)
        if process is not None:
            process.send_signal(signal.SIGCONT)
            if process.poll() is None and name not in self.terminated:
                return
            process.wait(RECOVERY_TIMEOUT_S)
            self.mesh.processes.pop(name)
        self.restart(name)

    def start_load(self, seed, path, rate, file, *arguments):
        nodes = [f"127.0.0.1:{port}" for port in CALLER_PROXY_PORTS.values()]
        return self.mesh.start_load(
            "--node", *nodes, "--path", path, "--rate", rate, "--duration", LOAD_DURATION_S * 1000,
            "--client-retries", 10, "--outcomes", file, "--seed", seed, *arguments)

    def change_policy(self, seed):
        """Applies a policy whose text is unique to the seed; returns whether it was accepted."""
        path = os.path.join(self.folder, "soak.yaml")
        with open(path, "w") as file:
            file.write(f"policy: soak\nowner: inkwell\norder: -5\ngovern: {{class: high, "
                       f"idempotent: true, deadline: {1000 + seed}ms}}\n"
                       "select: {request: [{label: operation, equals: none}]}\n")
        current = self.mesh.ctl("inkwell", "--json", "policy", "get", "soak")
        based_on = ["--based-on", str(json.loads(current.stdout)["version"])] \
            if current.returncode == 0 else []
        result = self.mesh.ctl("inkwell", "--change-id", f"soak-{seed}", *based_on, "--wait", "10000",
                             "policy", "apply", path)
        return result.returncode == 0

    def run_seed(self, seed):
        rng = random.Random(seed)
        faults = [self.draw_fault(rng) for _ in range(FAULT_COUNT)]
        steps = [(start, begin) for start, _, _, begin, _ in faults]
        steps += [(start + duration, end) for start, duration, _, _, end in faults]
        print(f"seed {seed}: " + ", ".join(f"{fault} at {start:.1f} s for {duration:.1f} s"
                                           for start, duration, fault, _, _
                                           in sorted(faults, key=lambda f: f[0])))
        file = f"deposits-{seed}.outcomes"
        deposits = self.start_load(seed, "/call/bookings/deposit", 40, file, "--method", "POST",
                             "--labels", "operation=deposit", "--keys", "-")
        reads = self.start_load(seed, "/call/bookings/slots", 40, f"reads-{seed}.outcomes")
        started_at = time.monotonic()
        for at, step in sorted(steps, key=lambda s: s[0]):
            time.sleep(max(0, at + started_at - time.monotonic()))
            step()
        accepted = self.change_policy(seed)
        outcomes = [json.loads(load.communicate(timeout=RECOVERY_TIMEOUT_S)[0])["outcomes"]
                for load in (deposits, reads)]
        wait_for(f"the mesh after seed {seed}", self.mesh.ready, RECOVERY_TIMEOUT_S)
        self.check(seed, file, accepted)
        return outcomes + [f"change {'accepted' if accepted else 'not accepted'}"]

    def check(self, seed, file, accepted):
        repeated, false_not_run, lost, run_count = self.mesh.compare_runs("bookings", file)
        self.expect(seed, "a key ran twice", not repeated, f"{repeated[:3]}")
        self.expect(seed, "a request with the outcome 'not run' had run", not false_not_run,
                    f"{false_not_run[:3]}")
        self.expect(seed, "an answered request had not run", not lost, f"{lost[:3]}")
        self.expect(seed, "no request ran", run_count > 0)
        if accepted:
            current = self.mesh.ctl_json("inkwell", "policy", "get", "soak")
            self.expect(seed, "an accepted policy change was lost",
                        f"{1000 + seed}" in json.dumps(current), json.dumps(current))
        self.expect(seed, "the account is not conserved",
                    self.mesh.ctl_json("inkwell", "account", "inkwell")["conserved"])


def main():
    soak = SoakTest(sys.argv[1])
    try:
        soak.start()
        for seed in [int(s) for s in sys.argv[2:]]:
            try:
                print(f"  deposits and reads: {soak.run_seed(seed)}", flush=True)
            except (RuntimeError, subprocess.TimeoutExpired) as error:
                soak.expect(seed, str(error), False)
                break
    finally:
        codes = soak.mesh.stop_all()
    soak.expect("all", "a process did not stop gracefully", all(c == 0 for c in codes.values()),
                str({n: c for n, c in codes.items() if c != 0}))
    print("soak: " + ("FAILED: " + "; ".join(soak.failures) if soak.failures else "all checks passed"))
    return 1 if soak.failures else 0


if __name__ == "__main__":
    sys.exit(main())
