"""Starts and stops a small local mesh of real processes for the demo and the process tests."""

import json
import os
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
MEMBERS = {"c1": 7301, "c2": 7311, "c3": 7321}
API = ",".join(f"127.0.0.1:{port}" for port in MEMBERS.values())
TOKENS = {
    "platform": "platform-demo-token",
    "inkwell": "inkwell-demo-token",
    "chenab": "chenab-demo-token",
}


class Mesh:
    """The processes of one mesh, by name; ends only what it started."""

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

    def stop(self, names=None, limit=30):
        """Ends processes by SIGTERM; returns their exit codes."""
        names = list(self.processes) if names is None else names
        codes = {}
        for name in names:
            if self.processes[name].poll() is None:
                self.processes[name].send_signal(signal.SIGTERM)
        for name in names:
            process = self.processes.pop(name)
            try:
                codes[name] = process.wait(limit)
            except subprocess.TimeoutExpired:
                process.kill()
                codes[name] = "killed after the limit"
        return codes

    def kill(self, name):
        self.processes[name].kill()
        self.processes.pop(name).wait()

    def run(self, program, *args):
        command = [os.path.join(self.bin, program), *[str(a) for a in args]]
        return subprocess.run(command, cwd=self.folder, capture_output=True, text=True)

    def ctl(self, owner, *args):
        command = ["--members", API, "--token", TOKENS[owner], *args]
        return self.run("fescuedykectl", *command)

    def ctl_json(self, owner, *args):
        done = self.ctl(owner, "--json", *args)
        if done.returncode != 0:
            raise RuntimeError(f"{args}: exit {done.returncode}: {done.stderr}")
        return json.loads(done.stdout)

    def load(self, *args):
        done = self.run("load_driver", *args)
        if done.returncode != 0:
            raise RuntimeError(done.stderr)
        return json.loads(done.stdout)

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
        """Every run that the stand-ins of a service logged."""
        found = []
        for name in os.listdir(self.folder):
            if name.startswith(service) and name.endswith(".runs"):
                with open(os.path.join(self.folder, name)) as file:
                    found += [json.loads(line) for line in file]
        return found


def wait_for(what, condition, limit=30):
    """Waits until the condition holds; fails loudly when it does not."""
    until = time.monotonic() + limit
    while time.monotonic() < until:
        try:
            if condition():
                return
        except (OSError, RuntimeError, KeyError, urllib.error.URLError):
            pass
        time.sleep(0.05)
    raise RuntimeError("waited in vain for " + what)
