"""Runs a mixed load on a small local mesh and checks the figures against the logged runs."""

import json
import os
import shutil
import sys
import time
import urllib.request

from mesh import ROOT, Mesh, wait_for

failed_checks = []


def expect(check, passed, detail=""):
    print(("  ok    " if passed else "  FAIL  ") + check + (f" ({detail})" if detail else ""))
    if not passed:
        failed_checks.append(check)


def start(mesh):
    mesh.start_all()
    for policy, result in mesh.apply_policies():
        print("  " + result.stdout.strip().replace("\n", "; ") + result.stderr.strip())
        expect(f"policy {policy} is in force everywhere", result.returncode == 0)
    wait_for("all targets ready and keys owned", mesh.ready)


def send_mixed(mesh):
    inkwell = ["127.0.0.1:7401", "127.0.0.1:7411"]
    chenab = ["127.0.0.1:7441", "127.0.0.1:7451"]
    results = {}
    results["browsing"] = mesh.load(
        "--node", *inkwell, "--path", "/call/bookings/slots", "--rate", 40, "--duration", 1500
    )
    results["deposits"] = mesh.load(
        "--node", *inkwell, "--path", "/call/bookings/deposit", "--method", "POST",
        "--labels", "operation=deposit", "--keys", "-", "--rate", 20, "--duration", 1500,
        "--client-retries", 4, "--outcomes", "deposits.outcomes",
    )
    results["fees"] = mesh.load(
        "--node", *chenab, "--path", "/call/fees/post", "--method", "POST",
        "--labels", "operation=fee-posting", "--keys", "-", "--rate", 20, "--duration", 1500,
        "--client-retries", 4, "--outcomes", "fees.outcomes",
    )
    results["upload"] = mesh.load(
        "--node", inkwell[0], "--path", "/call/calendar/reference", "--method", "POST",
        "--labels", "operation=upload", "--keys", "-", "--rate", 2, "--duration", 1000,
        "--body-bytes", 64 << 20,
    )
    return results


def send_overload(mesh):
    """Sends browsing requests at several times the capacity of the calendar, together with deposits."""
    inkwell = ["127.0.0.1:7401", "127.0.0.1:7411"]
    browsing = mesh.start_load(
        "--node", *inkwell, "--path", "/call/bookings/slots", "--rate", 800, "--duration", 3000
    )
    deposits = mesh.load(
        "--node", *inkwell, "--path", "/call/bookings/deposit", "--method", "POST",
        "--labels", "operation=deposit", "--keys", "-", "--rate", 40, "--duration", 3000,
        "--client-retries", 4, "--outcomes", "overload.outcomes", "--seed", 7,
    )
    return {"browsing": json.loads(browsing.communicate()[0]), "deposits": deposits}


def print_outcomes(results):
    for name, result in results.items():
        outcomes = ", ".join(f"{count} {outcome}" for outcome, count in result["outcomes"].items())
        print(f"  {name}: {result['sent']} sent: {outcomes}")


def check_runs(mesh, service, file):
    repeated, false_not_run, lost, run_count = mesh.compare_runs(service, file)
    expect(f"{file}: no key ran twice", not repeated, f"{run_count} keys ran")
    expect(f"{file}: nothing told 'not run' had run", not false_not_run)
    expect(f"{file}: everything answered had run", not lost)


def account_total(mesh, owner, side, service, field):
    account = mesh.ctl_json(owner, "account", owner)
    rows = [r for r in account["rows"] if r["side"] == side and r["service"] == service]
    return sum(r[field] for r in rows)


def metric_total(port, name, **labels):
    """Returns the sum of the series of a metric that have these labels."""
    with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics") as answer:
        lines = answer.read().decode().splitlines()
    label_pairs = [f'{label}="{value}"' for label, value in labels.items()]
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines
               if line.startswith(name + "{") and all(pair in line for pair in label_pairs))


def is_settled(mesh):
    account = mesh.ctl_json("inkwell", "account", "inkwell")
    return account["rows"] and all(r["in_progress"] == 0 for r in account["rows"])


def main():
    build = sys.argv[1]
    folder = os.path.join(ROOT, "demo-run")
    shutil.rmtree(folder, ignore_errors=True)
    mesh = Mesh(build, folder)
    try:
        print("== starting three members, six nodes and six targets")
        start(mesh)
        print("== mixed load of both owners")
        results = send_mixed(mesh)
        print_outcomes(results)
        for name, result in results.items():
            expect(f"{name}: all answered", result["outcomes"] == {"answered": result["sent"]})
        print("== overload: browsing at 800/s against a capacity of about 190/s of the bookings service")
        overload_results = send_overload(mesh)
        print_outcomes(overload_results)
        deposits = overload_results["deposits"]
        expect("deposits: all answered", deposits["outcomes"] == {"answered": deposits["sent"]})
        refused = sum(n for outcome, n in overload_results["browsing"]["outcomes"].items()
                      if "not-run" in outcome)
        expect("browsing was refused where it had to be", refused > 0, f"{refused} refused")
        for service, file in [
            ("bookings", "deposits.outcomes"),
            ("bookings", "overload.outcomes"),
            ("fees", "fees.outcomes"),
        ]:
            check_runs(mesh, service, file)
        print("== accounts compared with the run logs of the stand-in targets")
        wait_for("the accounts to settle", lambda: is_settled(mesh), 15)
        time.sleep(2.5)
        for service, owner in [("bookings", "inkwell"), ("calendar", "inkwell"), ("fees", "chenab")]:
            run_count = sum(1 for run in mesh.runs(service) if run["status"] != 499)
            answered = account_total(mesh, owner, "served", service, "answered")
            expect(f"{service}: answered in the account = runs logged", answered == run_count,
                   f"{answered} and {run_count}")
        for owner in ["inkwell", "chenab"]:
            print(mesh.ctl(owner, "account", owner).stdout.rstrip())
            expect(f"{owner}: received = answered + not run + unknown + in progress",
                   mesh.ctl_json(owner, "account", owner)["conserved"])
        measured = sum(metric_total(port, "fescuedyke_target_seconds_count", service="fees")
                    for port in [7447, 7457])
        answered = account_total(mesh, "chenab", "served", "fees", "answered")
        expect("fees: answers in the metrics = answered in the account", measured == answered,
               f"{measured:.0f} and {answered}")
        private = mesh.ctl("inkwell", "policy", "get", "fees", "--owner", "chenab")
        expect("a neighbour's private policy cannot be read", private.returncode == 1)
        neighbour = mesh.ctl("inkwell", "account", "chenab")
        expect("a neighbour's account cannot be read", neighbour.returncode == 1)
    finally:
        print("== stopping")
        codes = mesh.stop_all()
    expect("every process stopped gracefully", all(c == 0 for c in codes.values()),
           str({n: c for n, c in codes.items() if c != 0} or f"{len(codes)} processes"))
    print("demo: " + ("FAILED: " + "; ".join(failed_checks) if failed_checks else "all figures agree"))
    return 1 if failed_checks else 0


if __name__ == "__main__":
    sys.exit(main())
