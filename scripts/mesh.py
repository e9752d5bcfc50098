"""Starts and stops a small local mesh of real processes for the demo, measurements and tests."""

import collections
import json
import os
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
MEMBERS = {"c1": 7301, "c2": 7311, "c3": 7321}
MEMBER_ADDRESSES = ",".join(f"127.0.0.1:{port}" for port in MEMBERS.values())
TOKENS = {
    "platform": "platform-demo-token",
    "inkwell": "inkwell-demo-token",
    "chenab": "chenab-demo-token",
}


NODES = {
    "bookings-1": ("bookings", 7401),
    "bookings-2": ("bookings", 7411),
    "calendar-1": ("calendar", 7421),
    "calendar-2": ("calendar", 7431),
    "fees-1": ("fees", 7441),
    "fees-2": ("fees", 7451),
}
POLICIES = {
    "inkwell-browsing": "inkwell",
    "inkwell-deposits": "inkwell",
    "inkwell-uploads": "inkwell",
    "chenab-lookups": "chenab",
    "chenab-fees": "chenab",
}


class Mesh:
    """The processes of one mesh, by name. Ends only processes that it started."""

    def __init__(self, build, folder):
        self.bin = os.path.join(build, "bin")
        self.folder = folder
        self.processes = {}
        os.makedirs(folder, exist_ok=True)

    def start(self, name, program, *args):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        command = [os.path.join(self.bin, program), *[str(a) for a in args]]
        self.processes[name] = subprocess.Popen(
            command, cwd=self.folder, stdout=log, stderr=log
        )

    def start_node(self, name):
        settings = os.path.join(ROOT, "examples", "settings", name + ".yaml")
        self.start(name, "fescuedyke", "--config", settings)

    def start_target(self, name, service, base, **options):
        arguments = ["--service", service, "--listen", f"127.0.0.1:{base + 2}"]
        arguments += ["--node", f"127.0.0.1:{base}", "--run-log", name + ".runs"]
        for key, value in options.items():
            arguments += ["--" + key.replace("_", "-"), value]
        self.start(name + "-target", "standin_target", *arguments)

    def start_with_target(self, name):
        service, base = NODES[name]
        self.start_node(name)
        options = {"slots": 4, "service_time": 20}
        if service == "bookings":
            options["calls_on"] = "calendar"
        self.start_target(name, service, base, **options)

    def start_all(self):
        for name in MEMBERS:
            self.start_node(name)
        for name in NODES:
            self.start_with_target(name)
        time.sleep(1)
        # A process whose port is already in use exits; another program on that port must not be taken
        # for a running mesh.
        exited = [n for n, process in self.processes.items() if process.poll() is not None]
        if exited:
            raise RuntimeError(
                f"processes ended during start-up: {exited}; see their logs in {self.folder}")
        wait_for("a leader", lambda: self.ctl("platform", "progress").returncode == 0)

    def apply_policies(self):
        """Applies all example policies; yields each name with the result of the command."""
        for policy, owner in POLICIES.items():
            path = os.path.join(ROOT, "examples", "policies", policy + ".yaml")
            yield policy, self.ctl(owner, "policy", "apply", path)

    def ready(self):
        """Returns whether every node knows all services and owns keys under a lease."""
        for _, base in NODES.values():
            node = self.state(base)["node"]
            if not node["ready"] or len(node.get("targets", {})) != 3:
                return False
            if node["keys"]["buckets"] == 0 or node["keys"]["lease_ms"] <= 0:
                return False
        return True

    def leader(self):
        """Returns the name of the leader."""
        for name, port in MEMBERS.items():
            if name in self.processes:
                member = self.state(port)["member"]
                if member["leader"]:
                    return member["leader"]
        raise RuntimeError("no member reports a leader")

    def compare_runs(self, service, file):
        """Compares the outcomes that clients received with the logged runs, by key.

        Returns the keys that ran twice, the outcomes "not run" whose key ran, the outcomes "answered"
        whose key did not run, and the number of keys that ran."""
        runs = collections.Counter(run["key"] for run in self.runs(service))
        with open(os.path.join(self.folder, file)) as lines:
            outcomes = [json.loads(line) for line in lines]
        keys = {o["key"] for o in outcomes}
        repeated = [key for key in keys if runs[key] > 1]
        false_not_run = [o for o in outcomes if o["outcome"].startswith("not-run") and runs[o["key"]]]
        lost = [o for o in outcomes if o["outcome"] == "answered" and not runs[o["key"]]]
        return repeated, false_not_run, lost, sum(1 for key in keys if runs[key])

    def stop_all(self):
        """Stops the targets, then the nodes, then the members gracefully; returns their exit codes."""
        codes = self.stop([n for n in self.processes if n.endswith("-target")])
        codes.update(self.stop([n for n in self.processes if n not in MEMBERS]))
        codes.update(self.stop())
        return codes

    def stop(self, names=None, timeout=30):
        """Stops processes by SIGTERM, or by SIGKILL after the timeout; returns their exit codes."""
        names = list(self.processes) if names is None else names
        codes = {}
        for name in names:
            if self.processes[name].poll() is None:
                self.processes[name].send_signal(signal.SIGTERM)
        for name in names:
            process = self.processes.pop(name)
            try:
                codes[name] = process.wait(timeout)
            except subprocess.TimeoutExpired:
                process.kill()
                codes[name] = "killed after the timeout"
        return codes

    def kill(self, name):
        self.processes[name].kill()
        self.processes.pop(name).wait()

    def run(self, program, *args):
        command = [os.path.join(self.bin, program), *[str(a) for a in args]]
        return subprocess.run(command, cwd=self.folder, capture_output=True, text=True)

    def ctl(self, owner, *args):
        command = ["--members", MEMBER_ADDRESSES, "--token", TOKENS[owner], *args]
        return self.run("fescuedykectl", *command)

    def ctl_json(self, owner, *args):
        result = self.ctl(owner, "--json", *args)
        if result.returncode != 0:
            raise RuntimeError(f"{args}: exit status {result.returncode}: {result.stderr}")
        return json.loads(result.stdout)

    def load(self, *args):
        result = self.run("load_driver", *args)
        if result.returncode != 0:
            raise RuntimeError(result.stderr)
        return json.loads(result.stdout)

    def start_load(self, *args):
        command = [os.path.join(self.bin, "load_driver"), *[str(a) for a in args]]
        return subprocess.Popen(
            command, cwd=self.folder, stdout=subprocess.PIPE, text=True
        )

    def state(self, port):
        request = urllib.request.Request(
            f"http://127.0.0.1:{port}/v1/state",
            headers={"Authorization": "Bearer " + TOKENS["platform"]},
        )
        with urllib.request.urlopen(request, timeout=5) as answer:
            return json.load(answer)

    def runs(self, service):
        """Returns every run that the stand-in targets of a service logged."""
        runs = []
        for name in os.listdir(self.folder):
            if name.startswith(service) and name.endswith(".runs"):
                with open(os.path.join(self.folder, name)) as file:
                    runs += [json.loads(line) for line in file]
        return runs


def wait_for(description, condition, timeout=30):
    """Waits until the condition holds. Raises RuntimeError if it does not hold within the timeout."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, RuntimeError, KeyError, urllib.error.URLError):
            pass
        time.sleep(0.05)
    raise RuntimeError("timed out waiting for " + description)
