#!/usr/bin/env python3
"""Starts a small fleet, sends it real requests, changes the text and the
upstreams under load and checks the promises. Exit 0 only if every one held."""
import pathlib
import sys
import time

from fleet import Fleet, parse_load_output

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVICES = ["pass-validation", "member-visits", "lounges", "uploads"]
DATA_CENTRES = ["budapest-1", "budapest-2", "budapest-3"]
REQUESTS = ("check GET /passes/7,order POST /visits/redeem,"
            "lookup GET /lounges/list,batch PUT /documents/today")
LOAD_COUNT = 4000
LOAD_RATE = 400


def main():
    failures = []
    with Fleet(pathlib.Path(sys.argv[1])) as fleet:
        fleet.start_store()
        for data_centre in DATA_CENTRES:
            for service in SERVICES:
                fleet.add_node(service, data_centre, "hungary")
        print(f"started {len(fleet.nodes)} nodes with upstreams, "
              f"{len(DATA_CENTRES)} data centres, 1 store")
        text = (ROOT / "Base/budapest.mesh.ini").read_text()
        first = fleet.apply(text)
        print(f"accepted version {first} in force everywhere after "
              f"{max(fleet.convergence(first)) * 1000:.0f} ms")
        fleet.wait_until_ready()

        load = fleet.start_load(REQUESTS, LOAD_COUNT, LOAD_RATE)
        time.sleep(2)
        second = fleet.apply(text.replace("timeout = 800ms", "timeout = 900ms"))
        change = max(fleet.convergence(second))
        time.sleep(1)
        drained = fleet.nodes[0]
        drained.stop_node()
        print(f"drained {drained.name}, exit {drained.node_exit}")
        if drained.node_exit != 0:
            failures.append("the drained node did not exit with 0")
        time.sleep(1)
        killed = fleet.nodes[5]
        killed.kill_upstream()
        print(f"killed the upstream of {killed.name}")
        output = load.communicate(timeout=60)[0]
        outcomes, not_run = parse_load_output(output)
        runs = fleet.run_counts()

        print(f"\n{'class':10}{'answered':>10}{'not run':>10}{'unknown':>10}")
        for request_class, counts in sorted(outcomes.items()):
            print(f"{request_class:10}{counts.get('answered', 0):>10}"
                  f"{counts.get('not-run', 0):>10}"
                  f"{counts.get('unknown', 0):>10}")
        orders_repeated = sum(
            1 for run, count in runs.items()
            if count > 1 and int(run.rsplit("-", 1)[1]) % 4 == 1)
        ran_anyway = sum(1 for run in not_run if runs.get(run, 0) > 0)
        foreign = sum(c.get("foreign-answer", 0) for c in outcomes.values())
        total = sum(sum(c.values()) for c in outcomes.values())
        backwards = fleet.versions_backwards()
        print(f"non-idempotent requests run more than once: {orders_repeated}")
        print(f"requests reported as not run that ran: {ran_anyway}")
        print(f"answers to another request: {foreign}")
        print(f"convergence of the change: {change * 1000:.0f} ms")
        print(f"versions that went backwards: {backwards}")
        print("latency " + ", ".join(
            line.removeprefix("latency ") for line in output.splitlines()
            if line.startswith("latency")))
        for name, value in (("repeated", orders_repeated),
                            ("not run but ran", ran_anyway),
                            ("foreign answers", foreign),
                            ("versions backwards", backwards)):
            if value:
                failures.append(f"{name}: {value}")
        if total != LOAD_COUNT:
            failures.append(f"{LOAD_COUNT - total} requests have no outcome")
        if change > 7:
            failures.append(f"the change took {change:.1f} s")
    for failure in failures:
        print(f"FAILED: {failure}")
    print("every promise held" if not failures else "a promise was broken")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
