#!/usr/bin/env python3
"""Measures convergence, control traffic, store calls and the cost of a node.

Prints one JSON object a line. Each figure of the relay distribution stands
beside the same figure of the direct baseline from the same run."""
import argparse
import json
import os
import pathlib
import random
import re
import signal
import statistics
import subprocess
import sys
import time

from fleet import Fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEFAULT_SIZES = [10, 30, 100]
CHANGES = 10
QUIET_SECONDS = 20
SETTLE_SECONDS = 6
RANDOM_SEED = 20261204
SERVICES = 20
LATENCY_CALLS = 5000
LATENCY_RATE = 500
DATA_CENTRES = [("dc-1", "region-1"), ("dc-2", "region-1"),
                ("dc-3", "region-2")]
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def make_text(services, version):
    """Each service depends on the next two; the first two are entries."""
    parts = ["[mesh]\ncycles = refused\n"]
    for index in range(services):
        depends = [f"service-{i}" for i in (index + 1, index + 2)
                   if i < services]
        parts.append(f"[service service-{index}]\n"
                     f"depends = {', '.join(depends)}\n"
                     f"entry = {'yes' if index < 2 else 'no'}\n")
        timeout = 1000 + (version if index == 0 else 0)
        parts.append(f"[route route-{index}]\nmatch = GET /path-{index}\n"
                     f"service = service-{index}\nclass = lookup\n"
                     f"idempotent = yes\ntimeout = {timeout}ms\n")
    return "\n".join(parts)


class MeasuredFleet(Fleet):
    """A fleet whose nodes share one upstream, to save processes."""

    def __init__(self, build, distribution, size):
        super().__init__(build, distribution)
        self.size = size

    def start(self):
        self.start_store()
        for index in range(self.size):
            data_centre, region = DATA_CENTRES[index % len(DATA_CENTRES)]
            self.add_measured_node(f"service-{index % SERVICES}", data_centre,
                                   region)
        if self.distribution == "direct":
            self.start_direct_nodes()

    def add_measured_node(self, service, data_centre, region):
        node = self.make_node(service, data_centre, region)
        if len(self.nodes) == 1:
            node.start_upstream()
        node.upstream_address = self.nodes[0].upstream_address
        if self.distribution == "relay":
            node.start_node([other.control for other in self.nodes[:3]])

    def store(self, *arguments):
        return subprocess.run(
            [self.build / "store_stand_in_control",
             f"--address={self.store_address}", *arguments],
            capture_output=True, text=True, check=True).stdout

    def store_counters(self):
        counters = json.loads(self.store("--counters"))
        counters["calls"] = (counters["reads"] + counters["writes"] +
                             counters["watches"])
        return counters

    def control_bytes(self, node):
        """Bytes sent and received by one node, without the store's."""
        text = self.control(node, "metrics").stdout
        values = re.findall(
            r"teaselhold_control_(?:sent|received)_bytes\S* (\d+)", text)
        return sum(int(value) for value in values)


def report(name, value, unit, nodes, variant):
    print(json.dumps({"name": name, "value": round(value, 4), "unit": unit,
                      "nodes": nodes, "variant": variant}), flush=True)


def process_cost(pid):
    """Processor seconds and resident bytes of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    fields = fields.split()
    seconds = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
    return seconds, int(fields[21]) * PAGE_BYTES


def report_convergence(fleet, name, per_node, totals):
    variant, nodes = fleet.distribution, fleet.size
    per_node.sort()
    report(f"{name}_node_p50", statistics.median(per_node) * 1000, "ms", nodes,
           variant)
    report(f"{name}_node_p99",
           per_node[min(len(per_node) - 1, len(per_node) * 99 // 100)] * 1000,
           "ms", nodes, variant)
    report(f"{name}_last_node_max", max(totals) * 1000, "ms", nodes, variant)


def measure_changes(fleet, name, before_change=None):
    """Applies changes one after the other and reports their convergence."""
    before = fleet.store_counters()
    bytes_before = {n.node.pid: fleet.control_bytes(n)
                    for n in fleet.running()}
    start = time.monotonic()
    per_node, totals = [], []
    for _ in range(CHANGES):
        fleet.text_version += 1
        if before_change:
            before_change(fleet)
        version = fleet.apply(make_text(SERVICES, fleet.text_version))
        taken = fleet.convergence(version)
        per_node += taken
        totals.append(max(taken))
    report_convergence(fleet, name, per_node, totals)
    elapsed = time.monotonic() - start
    after = fleet.store_counters()
    quiet_calls = fleet.quiet_calls * elapsed
    calls = after["calls"] - before["calls"] - quiet_calls
    report(f"{name}_store_calls_per_change", calls / CHANGES, "calls",
           fleet.size, fleet.distribution)
    # Counters start at zero in a restarted process.
    used = [fleet.control_bytes(n) - bytes_before[n.node.pid]
            for n in fleet.running() if n.node.pid in bytes_before]
    store_bytes = (after["bytes"] - before["bytes"] -
                   fleet.quiet_store_bytes * elapsed) / fleet.size
    change_bytes = (statistics.mean(used) - fleet.quiet_bytes * elapsed +
                    store_bytes) / CHANGES
    report(f"{name}_bytes_per_node_and_change", change_bytes, "B", fleet.size,
           fleet.distribution)


def measure_quiet(fleet):
    time.sleep(SETTLE_SECONDS)
    before = fleet.store_counters()
    nodes = fleet.running()
    bytes_before = [fleet.control_bytes(n) for n in nodes]
    cost_before = [process_cost(n.node.pid) for n in nodes]
    start = time.monotonic()
    time.sleep(QUIET_SECONDS)
    elapsed = time.monotonic() - start
    cost_after = [process_cost(n.node.pid) for n in nodes]
    used = [(fleet.control_bytes(n) - b) / elapsed
            for n, b in zip(nodes, bytes_before)]
    after = fleet.store_counters()
    fleet.quiet_bytes = statistics.mean(used)
    fleet.quiet_calls = (after["calls"] - before["calls"]) / elapsed
    fleet.quiet_store_bytes = (after["bytes"] - before["bytes"]) / elapsed
    variant, size = fleet.distribution, fleet.size
    report("quiet_control_bytes_mean",
           fleet.quiet_bytes + fleet.quiet_store_bytes / size, "B/s", size,
           variant)
    report("quiet_store_bytes_mean", fleet.quiet_store_bytes / size, "B/s",
           size, variant)
    report("quiet_control_bytes_max", max(used), "B/s", size, variant)
    report("quiet_store_calls", fleet.quiet_calls, "calls/s", size, variant)
    cpu = [(a[0] - b[0]) / elapsed * 100
           for a, b in zip(cost_after, cost_before)]
    report("quiet_cpu_mean", statistics.mean(cpu), "% of a core", size, variant)
    report("quiet_cpu_max", max(cpu), "% of a core", size, variant)
    memory = [c[1] / 1e6 for c in cost_after]
    report("resident_memory_mean", statistics.mean(memory), "MB", size, variant)
    report("resident_memory_max", max(memory), "MB", size, variant)


def kill_reader(fleet):
    """Kills one node that holds a reader lease and restarts the last one."""
    restart_stopped(fleet)
    for node in fleet.running()[:-1]:
        log = (fleet.folder / f"{node.name}.node.log").read_text()
        if log.count("Slot taken.") > log.count("Slot lost."):
            node.node.send_signal(signal.SIGKILL)
            node.node.wait()
            return


def restart_stopped(fleet):
    """Restarts killed nodes and gives them time to take up their work."""
    seeds = [other.control for other in fleet.nodes[:3]]
    for node in fleet.nodes:
        if node.node.poll() is not None:
            node.start_node(seeds)
            time.sleep(SETTLE_SECONDS)


def restart_some(fleet):
    """Replaces one node in twenty, as in a busy day."""
    nodes = fleet.running()[3:-1]
    for node in fleet.random.sample(nodes, max(1, len(nodes) // 20)):
        node.node.send_signal(signal.SIGKILL)
        node.node.wait()
        node.start_node([other.control for other in fleet.nodes[:3]]
                        if fleet.distribution == "relay"
                        else [other.control for other in fleet.nodes])


def measure_fleet(build, size, variant):
    with MeasuredFleet(build, variant, size) as fleet:
        fleet.random = random.Random(RANDOM_SEED)
        fleet.text_version = 1
        fleet.start()
        version = fleet.apply(make_text(SERVICES, 1))
        fleet.wait_for_version(version)
        measure_quiet(fleet)
        measure_changes(fleet, "convergence_quiet")
        measure_changes(fleet, "convergence_churn", restart_some)
        if variant == "relay":
            time.sleep(SETTLE_SECONDS)
            measure_changes(fleet, "convergence_reader_killed", kill_reader)


def measure_latency(build):
    """Sends the same calls straight to the upstream and through two nodes."""
    with Fleet(build) as fleet:
        fleet.start_store()
        for service in ("service-0", "service-1"):
            fleet.add_node(service, "dc-1", "region-1")
        fleet.wait_for_version(fleet.apply(make_text(2, 1)))
        fleet.wait_until_ready()
        entry, target = fleet.nodes
        before = process_cost(entry.node.pid)[0]
        output = subprocess.run(
            [build / "load_generator", f"--nodes={entry.caller}",
             "--requests=lookup GET /path-1",
             f"--straight={target.upstream_address}",
             f"--count={LATENCY_CALLS}", f"--rate={LATENCY_RATE}"],
            capture_output=True, text=True, check=True).stdout
        cost = process_cost(entry.node.pid)[0] - before
    for line in output.splitlines():
        words = line.split()
        if words[0] in ("latency", "straight", "added"):
            report(f"call_{words[0]}_{words[1]}", float(words[2]), "ms", 2,
                   "relay")
    report("entry_node_cpu_per_call", cost / LATENCY_CALLS * 1e6, "us", 2,
           "relay")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--nodes", type=int)
    parser.add_argument("--variant", choices=["relay", "direct"])
    options = parser.parse_args()
    sizes = [options.nodes] if options.nodes else DEFAULT_SIZES
    variants = [options.variant] if options.variant else ["direct", "relay"]
    print(f"seed {RANDOM_SEED}", file=sys.stderr)
    measure_latency(options.build)
    for size in sizes:
        for variant in variants:
            measure_fleet(options.build, size, variant)
    return 0


if __name__ == "__main__":
    sys.exit(main())
