"""Kills real processes under load and checks the guarantees against the logged runs."""

import json
import os
import shutil
import sys
import time

from mesh import MEMBER_ADDRESSES, MEMBERS, ROOT, Mesh, wait_for

INKWELL = ["127.0.0.1:7401", "127.0.0.1:7411"]
failed_checks = []


def expect(check, passed, detail=""):
    print(("  ok    " if passed else "  FAIL  ") + check + (f" ({detail})" if detail else ""))
    if not passed:
        failed_checks.append(check)


def start_deposits(mesh, file, seconds, seed):
    return mesh.start_load(
        "--node", *INKWELL, "--path", "/call/bookings/deposit", "--method", "POST",
        "--labels", "operation=deposit", "--keys", "-", "--rate", 60, "--duration", seconds * 1000,
        "--client-retries", 10, "--outcomes", file, "--seed", seed,
    )


def check_runs(mesh, file):
    repeated, false_not_run, lost, run_count = mesh.compare_runs("bookings", file)
    expect(f"{file}: no key ran twice", not repeated, f"{run_count} keys ran")
    expect(f"{file}: no request with the outcome 'not run' had run", not false_not_run)
    expect(f"{file}: every answered request had run", not lost)


def kill_node(mesh):
    print("== a node is killed with SIGKILL under load and restarts")
    load = start_deposits(mesh, "node-killed.outcomes", 6, 11)
    time.sleep(1.5)
    mesh.kill("bookings-2")
    time.sleep(1.5)
    mesh.start_node("bookings-2")
    print("  " + json.dumps(json.loads(load.communicate()[0])["outcomes"]))
    check_runs(mesh, "node-killed.outcomes")
    wait_for("the node to own keys again", mesh.ready, 60)


def kill_target(mesh):
    print("== a target is killed with SIGKILL under load and restarts")
    load = start_deposits(mesh, "target-killed.outcomes", 5, 12)
    time.sleep(1.5)
    mesh.kill("bookings-1-target")
    time.sleep(1)
    mesh.start_target("bookings-1", "bookings", 7401, slots=4, service_time=20, calls_on="calendar")
    print("  " + json.dumps(json.loads(load.communicate()[0])["outcomes"]))
    check_runs(mesh, "target-killed.outcomes")
    wait_for("the target to be ready again", mesh.ready, 60)


def kill_leader(mesh):
    print("== the leader is killed with SIGKILL during a change and restarts")
    leader = mesh.leader()
    policy = os.path.join(mesh.folder, "seasonal.yaml")
    with open(policy, "w") as file:
        file.write("policy: seasonal\nowner: inkwell\norder: -5\ngovern: {class: high, idempotent: true}\n")
    command = [
        os.path.join(mesh.bin, "fescuedykectl"), "--members", MEMBER_ADDRESSES,
        "--token", "inkwell-demo-token", "--json", "--change-id", "seasonal-1", "--wait", "20000",
        "policy", "apply", policy,
    ]
    import subprocess

    change = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
    mesh.kill(leader)
    out, error = change.communicate()
    expect("the change is accepted and in force", change.returncode == 0, error.strip())
    first = json.loads(out)
    resent = mesh.ctl_json("inkwell", "--change-id", "seasonal-1", "policy", "apply", policy)
    expect("a resend gets the answer to the first request", resent["version"] == first["version"])
    wait_for("another leader", lambda: mesh.leader() != leader)
    mesh.start_node(leader)
    port = MEMBERS[leader]
    wait_for("the member to catch up",
             lambda: mesh.state(port)["member"]["configuration"] >= first["version"])
    conflict = mesh.ctl("inkwell", "--change-id", "seasonal-2", "policy", "apply", policy)
    expect("a change against an old version gets a conflict", conflict.returncode == 3)


def lose_disk(mesh):
    print("== a member loses its disk and restarts")
    leader = mesh.leader()
    name = next(n for n in MEMBERS if n != leader)
    mesh.kill(name)
    shutil.rmtree(os.path.join(mesh.folder, "data", name))
    mesh.start_node(name)
    port = MEMBERS[name]

    def is_voter_again():
        member = mesh.state(port)["member"]
        return any(m["disk"] == member["disk"] and m["voter"] for m in member["members"])

    wait_for("the member to vote again", is_voter_again, 60)
    expect("the member is a voter under a new identity", True)
    mesh.kill(mesh.leader())
    policy = os.path.join(mesh.folder, "seasonal.yaml")
    current = mesh.ctl_json("inkwell", "policy", "get", "seasonal")
    result = mesh.ctl("inkwell", "--based-on", str(current["version"]), "--wait", "20000",
                    "policy", "apply", policy)
    expect("a second failure right after the repair loses nothing", result.returncode == 0,
           result.stderr.strip())


def main():
    folder = os.path.join(ROOT, "demo-run")
    shutil.rmtree(folder, ignore_errors=True)
    mesh = Mesh(sys.argv[1], folder)
    try:
        mesh.start_all()
        for policy, result in mesh.apply_policies():
            expect(f"policy {policy} is in force", result.returncode == 0, result.stderr.strip())
        wait_for("all targets ready and keys owned", mesh.ready)
        kill_node(mesh)
        kill_target(mesh)
        kill_leader(mesh)
        lose_disk(mesh)
        time.sleep(2.5)
        account = mesh.ctl_json("inkwell", "account", "inkwell")
        expect("the account is conserved", account["conserved"])
        expect("the account shows a gap for the first incarnation of the killed node",
               any(g["instance"] == "bookings-2" and g["replaced"] for g in account["gaps"]))
    finally:
        codes = mesh.stop_all()
    expect("the remaining processes stopped gracefully", all(c == 0 for c in codes.values()),
           str({n: c for n, c in codes.items() if c != 0} or len(codes)))
    print("failures: " + ("FAILED: " + "; ".join(failed_checks) if failed_checks
                           else "all checks passed"))
    return 1 if failed_checks else 0


if __name__ == "__main__":
    sys.exit(main())
