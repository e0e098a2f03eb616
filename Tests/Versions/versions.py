#!/usr/bin/env python3
"""Runs real nodes while connections to the store go silent for good, and checks
that each version is in force at calm nodes within its bound.

    versions.py --build DIR [--seed N] [--seconds S] [--machines N]
                [--callers all|half|none] [--faults NAME,...] [--busy N]

The machines without callers get requests that no other node sees. --faults
takes names of VersionFaults, `all` or `none`; --busy starts processes that take
processor time. Exits with 1 if a version was late. Processes keep their logs if
so.
"""
import argparse
import asyncio
import collections
import pathlib
import shutil
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "Soak"))
sys.path.insert(0, str(HERE.parent.parent / "Meta"))

from fleet import Fleet
from node_logs import NodeLog
from version_callers import Prober, VersionCaller
from version_faults import VersionFaults
from version_fleet import VersionFleet

CALLED_SHARES = {"all": 1.0, "half": 0.5, "none": 0.0}
START_SECONDS = 2.5
# Long enough for the last version to be judged.
END_SECONDS = 4.0


class LoopLag:
    """Measures how late this process is; its links add that to all delays."""

    def __init__(self):
        self.longest = 0.0

    async def run(self):
        while True:
            begin = time.monotonic()
            await asyncio.sleep(0.01)
            self.longest = max(self.longest, time.monotonic() - begin - 0.01)


async def write_versions(fleet, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        await fleet.apply()
        await asyncio.sleep(fleet.operator_random.uniform(0.3, 6.0))


def start_callers(fleet, share):
    called = round(len(fleet.machines) * share)
    kinds = [VersionCaller] * called + [Prober] * (len(fleet.machines) - called)
    return [asyncio.create_task(kind(fleet, machine).run())
            for kind, machine in zip(kinds, fleet.machines)]


async def play(fleet, options):
    """Plays a series; returns its faults and the lag of this process."""
    await fleet.apply()
    for machine in fleet.machines:
        await machine.start()
    await asyncio.sleep(START_SECONDS)
    callers = start_callers(fleet, CALLED_SHARES[options.callers])
    lag = LoopLag()
    measuring = asyncio.create_task(lag.run())
    faults = VersionFaults(fleet, options.faults.split(","))
    await asyncio.gather(faults.run(options.seconds),
                         write_versions(fleet, options.seconds))
    await asyncio.sleep(END_SECONDS)
    measuring.cancel()
    fleet.is_stopping = True
    await asyncio.gather(*callers)
    for machine in fleet.machines:
        machine.stop()
    await asyncio.sleep(0.2)
    return faults.log, lag.longest


def longest_times(fleet, logs, epoch):
    """Returns the time of each version from its acknowledgement to the last
    node, longest first. One that is passed over counts as its follower."""
    times = []
    for version in fleet.records.versions[1:]:
        arrivals = [log.arrival(version.number) for log in logs.values()]
        if version.accepted and all(arrivals):
            times.append(max(entry[0] for entry in arrivals) -
                         version.accepted - epoch)
    return sorted(times, reverse=True)


def print_violations(fleet, logs, epoch):
    """Prints the violations of one node and version in one line."""
    groups = collections.defaultdict(list)
    for violation in fleet.records.violations:
        groups[violation.node, violation.version.number].append(violation)
    for (node, number), group in groups.items():
        worst = max(group, key=lambda violation: violation.late_seconds)
        fits = logs[node].hypothesis(number, worst.version.accepted + epoch)
        print(f"  {node} version {number}: {len(group)} requests handled "
              f"{worst.handling}, up to {worst.late_seconds:.2f} s after the "
              f"acknowledgement, {worst.calm_seconds:.2f} s after the last "
              f"disturbance; fits {fits}")


def count_faults(fault_log):
    return dict(collections.Counter(line.split()[1] for line in fault_log))


def report(fleet, options, fault_log, lag):
    epoch = time.time() - time.monotonic()
    folder = fleet.processes_fleet.folder
    logs = {machine.name: NodeLog(folder / f"{machine.name}.node.log")
            for machine in fleet.machines}
    records = fleet.records
    times = longest_times(fleet, logs, epoch)
    worst = max((violation.late_seconds for violation in records.violations),
                default=0.0)
    visible = sum(violation.is_visible for violation in records.violations)
    print(f"seed={options.seed} callers={options.callers} "
          f"busy={options.busy} faults={count_faults(fault_log)} "
          f"versions={len(records.versions)} "
          f"answers={records.statuses} judged={records.judged} "
          f"violations={len(records.violations)} visible={visible} "
          f"worst={worst:.2f} "
          f"longest={[round(value, 2) for value in times[:5]]} "
          f"lag={lag:.3f}", flush=True)
    print_violations(fleet, logs, epoch)
    return not records.violations


def keep_logs(folder, options, fault_log):
    kept = pathlib.Path(f"versions-{options.callers}-{options.seed}.logs")
    shutil.copytree(folder, kept.resolve(), dirs_exist_ok=True)
    (kept / "faults.log").write_text("\n".join(fault_log) + "\n")
    print(f"  logs: {kept.resolve()}")


async def run(options):
    with Fleet(options.build.resolve()) as processes_fleet:
        processes_fleet.start_store()
        for index in range(options.busy):
            processes_fleet.spawn(f"busy{index}", sys.executable, "-c",
                                  "while True: pass")
        await asyncio.sleep(0.5)
        fleet = VersionFleet(processes_fleet, options.seed, options.machines)
        fault_log, lag = await play(fleet, options)
        holds = report(fleet, options, fault_log, lag)
        if not holds:
            keep_logs(processes_fleet.folder, options, fault_log)
        return holds


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--machines", type=int, default=10)
    parser.add_argument("--callers", choices=CALLED_SHARES, default="all")
    parser.add_argument("--faults", default="all")
    parser.add_argument("--busy", type=int, default=0)
    sys.exit(0 if asyncio.run(run(parser.parse_args())) else 1)


if __name__ == "__main__":
    main()
