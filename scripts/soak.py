"""A soak under faults: real processes, loopback proxies and signals. Usage: soak.py BUILD SEED...

Each seed draws faults of processes and links during a load of unrepeatable work and of reads, and a
change of a policy beside it. Afterwards all is healed, and what clients were told is compared with
what ran, the policy with what was accepted, and the account with itself."""

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

LOAD_SECONDS = 6
FAULTS = 4
HEAL_LIMIT = 60  # seconds
SERVICE_PORTS = {name: base for name, (_, base) in NODES.items() if name.startswith("bookings")}
# Callers reach a node, and a node its target, through a proxy.
CALLERS = {name: base + 100 for name, base in SERVICE_PORTS.items()}
TARGETS = {name: base + 102 for name, base in SERVICE_PORTS.items()}


class Soak:
    def __init__(self, build):
        self.folder = os.path.join(ROOT, "soak-run")
        shutil.rmtree(self.folder, ignore_errors=True)
        self.mesh = Mesh(os.path.abspath(build), self.folder)
        routes = {port: SERVICE_PORTS[name] for name, port in CALLERS.items()}
        routes.update({port: SERVICE_PORTS[name] + 2 for name, port in TARGETS.items()})
        self.proxies = Proxies(routes)
        self.faults = []
        # Names of processes that were asked to stop and did not start again.
        self.asked_to_stop = set()

    def expect(self, seed, what, holds, detail=""):
        if not holds:
            self.faults.append(f"seed {seed}: {what} ({detail})")
            print("  WRONG " + self.faults[-1])

    def start_target(self, name):
        service, base = NODES[name]
        more = {"announce": f"127.0.0.1:{TARGETS[name]}"} if name in TARGETS else {}
        if service == "bookings":
            more["calls_on"] = "calendar"
        self.mesh.start_target(name, service, base, slots=4, service_time=20, **more)

    def start(self):
        self.mesh.start_all()
        for name in SERVICE_PORTS:
            self.mesh.stop([name + "-target"])
            self.start_target(name)
        for policy, done in self.mesh.apply_policies():
            assert done.returncode == 0, (policy, done.stderr)
        wait_for("the mesh", self.mesh.ready, HEAL_LIMIT)

    def start_again(self, name):
        self.asked_to_stop.discard(name)
        if name.endswith("-target"):
            self.start_target(name[: -len("-target")])
        else:
            self.mesh.start_node(name)

    def draw(self, rng):
        """A fault: when it begins, how long it lasts, what it does and what ends it."""
        processes = list(SERVICE_PORTS) + [n + "-target" for n in SERVICE_PORTS] + list(MEMBERS)
        at, lasts = rng.uniform(0.3, LOAD_SECONDS - 2), rng.uniform(0.3, 2)
        if rng.random() < 0.5:
            port = rng.choice(list(CALLERS.values()) + list(TARGETS.values()))
            mode = rng.choice(["cut", "hold", "deaf", "slow"])
            return at, lasts, f"{mode} {port}", lambda: self.proxies.set(port, mode), \
                lambda: self.proxies.set(port, "pass")
        name, how = rng.choice(processes), rng.choice(["kill", "freeze", "stop"])
        return at, lasts, f"{how} {name}", lambda: self.hurt(name, how), lambda: self.heal(name)

    def hurt(self, name, how):
        process = self.mesh.processes.get(name)
        if process is None:
            return
        if how == "freeze":
            process.send_signal(signal.SIGSTOP)
        elif how == "kill":
            self.mesh.kill(name)
        else:
            process.send_signal(signal.SIGTERM)
            self.asked_to_stop.add(name)

    def heal(self, name):
        process = self.mesh.processes.get(name)
        if process is not None:
            process.send_signal(signal.SIGCONT)
            if process.poll() is None and name not in self.asked_to_stop:
                return
            process.wait(HEAL_LIMIT)
            self.mesh.processes.pop(name)
        self.start_again(name)

    def load(self, seed, path, rate, file, *more):
        nodes = [f"127.0.0.1:{port}" for port in CALLERS.values()]
        return self.mesh.start_load(
            "--node", *nodes, "--path", path, "--rate", rate, "--duration", LOAD_SECONDS * 1000,
            "--client-retries", 10, "--outcomes", file, "--seed", seed, *more)

    def change_policy(self, seed):
        """Applies a policy that only this seed has; returns whether it was accepted."""
        path = os.path.join(self.folder, "soak.yaml")
        with open(path, "w") as file:
            file.write(f"policy: soak\nowner: inkwell\norder: -5\ngovern: {{class: high, "
                       f"idempotent: true, deadline: {1000 + seed}ms}}\n"
                       "select: {request: [{label: operation, equals: none}]}\n")
        held = self.mesh.ctl("inkwell", "--json", "policy", "get", "soak")
        base = ["--based-on", str(json.loads(held.stdout)["version"])] if held.returncode == 0 else []
        done = self.mesh.ctl("inkwell", "--change-id", f"soak-{seed}", *base, "--wait", "10000",
                             "policy", "apply", path)
        return done.returncode == 0

    def play(self, seed):
        rng = random.Random(seed)
        drawn = [self.draw(rng) for _ in range(FAULTS)]
        steps = [(at, begin) for at, _, _, begin, _ in drawn]
        steps += [(at + lasts, end) for at, lasts, _, _, end in drawn]
        print(f"seed {seed}: " + ", ".join(f"{what} at {at:.1f} s for {lasts:.1f} s"
                                           for at, lasts, what, _, _ in sorted(drawn, key=lambda d: d[0])))
        file = f"deposits-{seed}.outcomes"
        deposits = self.load(seed, "/call/bookings/deposit", 40, file, "--method", "POST",
                             "--labels", "operation=deposit", "--keys", "-")
        reads = self.load(seed, "/call/bookings/slots", 40, f"reads-{seed}.outcomes")
        begun = time.monotonic()
        for at, step in sorted(steps, key=lambda s: s[0]):
            time.sleep(max(0, at + begun - time.monotonic()))
            step()
        accepted = self.change_policy(seed)
        told = [json.loads(load.communicate(timeout=HEAL_LIMIT)[0])["outcomes"]
                for load in (deposits, reads)]
        wait_for(f"the mesh after seed {seed}", self.mesh.ready, HEAL_LIMIT)
        self.check(seed, file, accepted)
        return told + [f"change {'accepted' if accepted else 'not accepted'}"]

    def check(self, seed, file, accepted):
        doubled, false_not_run, lost, ran = self.mesh.compare_runs("bookings", file)
        self.expect(seed, "a key ran twice", not doubled, f"{doubled[:3]}")
        self.expect(seed, "told 'not run' and had run", not false_not_run, f"{false_not_run[:3]}")
        self.expect(seed, "answered and had not run", not lost, f"{lost[:3]}")
        self.expect(seed, "nothing ran", ran > 0)
        if accepted:
            held = self.mesh.ctl_json("inkwell", "policy", "get", "soak")
            self.expect(seed, "an accepted change is gone", f"{1000 + seed}" in json.dumps(held),
                        json.dumps(held))
        self.expect(seed, "the account is not conserved",
                    self.mesh.ctl_json("inkwell", "account", "inkwell")["conserved"])


def main():
    soak = Soak(sys.argv[1])
    try:
        soak.start()
        for seed in [int(s) for s in sys.argv[2:]]:
            try:
                print(f"  deposits and reads: {soak.play(seed)}", flush=True)
            except (RuntimeError, subprocess.TimeoutExpired) as error:
                soak.expect(seed, str(error), False)
                break
    finally:
        codes = soak.mesh.stop_all()
    soak.expect("all", "a process did not stop gracefully", all(c == 0 for c in codes.values()),
                str({n: c for n, c in codes.items() if c != 0}))
    print("soak: " + ("FAILED: " + "; ".join(soak.faults) if soak.faults else "every promise was kept"))
    return 1 if soak.faults else 0


if __name__ == "__main__":
    sys.exit(main())
