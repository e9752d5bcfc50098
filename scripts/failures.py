"""Kills real processes under load and checks, by what truly ran, that every promise was kept."""

import json
import os
import shutil
import sys
import time

from mesh import API, MEMBERS, ROOT, Mesh, wait_for

INKWELL = ["127.0.0.1:7401", "127.0.0.1:7411"]
faults = []


def expect(what, holds, detail=""):
    print(("  ok    " if holds else "  WRONG ") + what + (f" ({detail})" if detail else ""))
    if not holds:
        faults.append(what)


def deposits(mesh, file, seconds, seed):
    return mesh.start_load(
        "--node", *INKWELL, "--path", "/call/bookings/deposit", "--method", "POST",
        "--labels", "operation=deposit", "--keys", "-", "--rate", 60, "--duration", seconds * 1000,
        "--client-retries", 10, "--outcomes", file, "--seed", seed,
    )


def check_runs(mesh, file):
    doubled, false_not_run, lost, ran = mesh.compare_runs("bookings", file)
    expect(f"{file}: no key ran twice", not doubled, f"{ran} keys ran")
    expect(f"{file}: nothing told 'not run' had run", not false_not_run)
    expect(f"{file}: everything answered had run", not lost)


def kill_a_node(mesh):
    print("== kill -9 of a node under load, and its return")
    load = deposits(mesh, "node-killed.outcomes", 6, 11)
    time.sleep(1.5)
    mesh.kill("bookings-2")
    time.sleep(1.5)
    mesh.start_node("bookings-2")
    print("  " + json.dumps(json.loads(load.communicate()[0])["outcomes"]))
    check_runs(mesh, "node-killed.outcomes")
    wait_for("the node to own keys again", mesh.ready, 60)


def kill_a_target(mesh):
    print("== kill -9 of a target under load, and its return")
    load = deposits(mesh, "target-killed.outcomes", 5, 12)
    time.sleep(1.5)
    mesh.kill("bookings-1-target")
    time.sleep(1)
    mesh.start_target("bookings-1", "bookings", 7401, slots=4, service_time=20, calls_on="calendar")
    print("  " + json.dumps(json.loads(load.communicate()[0])["outcomes"]))
    check_runs(mesh, "target-killed.outcomes")
    wait_for("the target to be back", mesh.ready, 60)


def kill_the_leader(mesh):
    print("== kill -9 of the leader during a change, and its return")
    leader = mesh.leader()
    policy = os.path.join(mesh.folder, "seasonal.yaml")
    with open(policy, "w") as file:
        file.write("policy: seasonal\nowner: inkwell\norder: -5\ngovern: {class: high, idempotent: true}\n")
    command = [
        os.path.join(mesh.bin, "fescuedykectl"), "--members", API, "--token", "inkwell-demo-token",
        "--json", "--change-id", "seasonal-1", "--wait", "20000", "policy", "apply", policy,
    ]
    import subprocess

    change = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
    mesh.kill(leader)
    out, error = change.communicate()
    expect("the change is accepted and in force", change.returncode == 0, error.strip())
    first = json.loads(out)
    again = mesh.ctl_json("inkwell", "--change-id", "seasonal-1", "policy", "apply", policy)
    expect("a resend gets the first answer", again["version"] == first["version"])
    wait_for("another leader", lambda: mesh.leader() != leader)
    mesh.start_node(leader)
    port = MEMBERS[leader]
    wait_for("the member to catch up",
             lambda: mesh.state(port)["member"]["configuration"] >= first["version"])
    conflict = mesh.ctl("inkwell", "--change-id", "seasonal-2", "policy", "apply", policy)
    expect("a change against an old version gets a conflict", conflict.returncode == 3)


def lose_a_disk(mesh):
    print("== a member loses its disk and comes back")
    leader = mesh.leader()
    name = next(n for n in MEMBERS if n != leader)
    mesh.kill(name)
    shutil.rmtree(os.path.join(mesh.folder, "data", name))
    mesh.start_node(name)
    port = MEMBERS[name]

    def votes_again():
        member = mesh.state(port)["member"]
        return any(m["disk"] == member["disk"] and m["voter"] for m in member["members"])

    wait_for("the member to vote again", votes_again, 60)
    expect("the member is a voter under a new identity", True)
    mesh.kill(mesh.leader())
    policy = os.path.join(mesh.folder, "seasonal.yaml")
    held = mesh.ctl_json("inkwell", "policy", "get", "seasonal")
    done = mesh.ctl("inkwell", "--based-on", str(held["version"]), "--wait", "20000",
                    "policy", "apply", policy)
    expect("a second failure right after the repair loses nothing", done.returncode == 0,
           done.stderr.strip())


def main():
    folder = os.path.join(ROOT, "demo-run")
    shutil.rmtree(folder, ignore_errors=True)
    mesh = Mesh(sys.argv[1], folder)
    try:
        mesh.start_all()
        for policy, done in mesh.apply_policies():
            expect(f"policy {policy} is in force", done.returncode == 0, done.stderr.strip())
        wait_for("all targets ready and keys owned", mesh.ready)
        kill_a_node(mesh)
        kill_a_target(mesh)
        kill_the_leader(mesh)
        lose_a_disk(mesh)
        time.sleep(2.5)
        account = mesh.ctl_json("inkwell", "account", "inkwell")
        expect("the account is conserved", account["conserved"])
        expect("the killed node's first life shows as a gap",
               any(g["instance"] == "bookings-2" and g["replaced"] for g in account["gaps"]))
    finally:
        codes = mesh.stop_all()
    expect("the rest stopped gracefully", all(c == 0 for c in codes.values()),
           str({n: c for n, c in codes.items() if c != 0} or len(codes)))
    print("failures: " + ("FAILED: " + "; ".join(faults) if faults else "every promise was kept"))
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
