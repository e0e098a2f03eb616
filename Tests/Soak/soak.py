#!/usr/bin/env python3
"""Runs the real programs under random faults and checks their promises.

    soak.py --build DIR [--seed N] [--seconds S] [--machines N]
    soak.py --build DIR --regressions

Exits with 1 if a promise was broken. Processes keep their logs if so.
"""
import argparse
import asyncio
import base64
import json
import pathlib
import random
import shutil
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / "Meta"))

from backend import Backend
from checks import CALM_SECONDS, Records
from fleet import Fleet, free_ports
from http11 import call
from link import Link

HOST = "mesh.example"
SERVICES = ("reading", "writing")
TIMEOUT_SECONDS = 2.0
GRACE_SECONDS = 6
HEAL_SECONDS = 5.0
CALLERS_PER_MACHINE = 3


class Request:
    """One attempt of a caller."""

    def __init__(self, request_id, kind, machine):
        self.id = request_id
        self.kind = kind
        self.machine = machine
        self.incarnation = machine.incarnation
        self.timeout = TIMEOUT_SECONDS
        self.sent = time.monotonic()


class Machine:
    """A node, the upstream beside it, and the links of the node."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.name = f"n{index}"
        self.service = SERVICES[index % len(SERVICES)]
        ports = [f"127.0.0.1:{port}" for port in free_ports(7)]
        (self.caller, self.data, self.ready, self.announce, upstream,
         self.upstream_link_address, store_link) = ports
        self.store_link = Link(store_link, fleet.processes_fleet.store_address)
        self.upstream_link = Link(self.upstream_link_address, upstream)
        self.backend = Backend(upstream, self.upstream_link_address,
                               self.announce, self.service, fleet.records)
        self.backend.random = fleet.random
        self.backend.broken_random = fleet.broken_random
        self.backend.machine = self
        self.process = None
        self.incarnation = 0
        self.unplanned_at = time.monotonic()
        self.is_paused = False

    def settings(self):
        return f"""[node]
name = {self.name}
service = {self.service}
data_centre = dc{int(self.name[1:]) % 3}
region = one
environment = platform
distribution = direct
caller_address = {self.caller}
data_address = {self.data}
ready_address = {self.ready}
ready_path = /-/ready
announcement_address = {self.announce}
drain_timeout = {GRACE_SECONDS}s
[store]
address = {self.store_link.address}
[upstream]
address = {self.upstream_link_address}
drain = 2s
"""

    async def start(self):
        await self.store_link.start()
        await self.upstream_link.start()
        self.start_node()
        await self.backend.start()

    def start_node(self):
        path = self.fleet.processes_fleet.folder / f"{self.name}.ini"
        path.write_text(self.settings())
        self.incarnation = (self.name, self.fleet.next_number())
        self.started_at = time.monotonic()
        self.process = self.fleet.processes_fleet.spawn(
            f"{self.name}.node", "teaselholdd", f"--config={path}")

    def restart_node(self, ended):
        """Starts a node in place of one that ended, unless another fault did
        so already."""
        if self.process is ended:
            self.start_node()

    def stop(self):
        if self.backend.is_up:
            self.backend.crash()
        self.store_link.stop()
        self.upstream_link.stop()
        self.process.kill()

    def note_unplanned(self):
        self.unplanned_at = time.monotonic()

    def last_fault(self):
        return max(self.unplanned_at, self.store_link.harmed_at,
                   self.upstream_link.harmed_at)

    def is_calm(self, extra=0.0):
        is_harmed = (self.store_link.is_harmed() or
                     self.upstream_link.is_harmed() or self.is_paused)
        quiet = time.monotonic() - self.last_fault()
        return not is_harmed and quiet > CALM_SECONDS + extra

    def only_planned_since(self, moment):
        machines = self.fleet.machines
        return self.is_calm() and all(
            other.is_calm() and other.last_fault() < moment
            for other in machines)


class SoakFleet:
    """The machines, the store and what is known of them."""

    def __init__(self, processes_fleet, seed, count):
        self.processes_fleet = processes_fleet
        self.random = random.Random(seed)
        # Of its own, so that the other faults of a seed stay as they were.
        self.broken_random = random.Random(f"broken {seed}")
        self.records = Records()
        self.numbers = 0
        self.version = 0
        self.store_harmed_at = time.monotonic()
        self.is_store_harmed = False
        self.machines = [Machine(self, i) for i in range(count)]
        self.is_stopping = False

    def next_number(self):
        self.numbers += 1
        return self.numbers

    def is_store_calm(self, seconds):
        quiet = time.monotonic() - self.store_harmed_at
        return not self.is_store_harmed and quiet > seconds

    async def store_call(self, target, body):
        return await call(self.processes_fleet.store_address, "POST", target,
                          {"Content-Type": "application/json"},
                          json.dumps(body).encode(), 1.0)

    async def store_faults(self, **faults):
        self.store_harmed_at = time.monotonic()
        self.is_store_harmed = bool(faults)
        await self.store_call("/stand-in/faults", faults)

    def configuration(self):
        def route(name, prefix, kind, service):
            return {"name": name, "prefix": prefix, "kind": kind,
                    "timeout": f"{int(TIMEOUT_SECONDS * 1000)}ms",
                    "targetLatency": "500ms", "priority": 1,
                    "service": service, "maxAttempts": 2}
        extra = [route(f"x{i}", f"/x{i}/", "safe", SERVICES[0])
                 for i in range(self.version % 40)]
        return {
            "version": f"r{self.version}",
            "services": [{"name": name} for name in SERVICES],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20,
                       "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
            "virtualHosts": [{"host": HOST, "paths": [
                route("read", "/read/", "safe", "reading"),
                route("write", "/write/", "unsafe", "writing")] + extra}]}

    async def apply(self):
        """Writes a newer configuration as the operator does."""
        self.version += self.random.randint(1, 4)
        value = json.dumps(self.configuration()).encode()
        put = {"key": "op/config", "value": base64.b64encode(value).decode()}
        answer = await self.store_call(
            "/-/kv-txn", {"expected": [], "puts": [put], "deletes": []})
        if answer is not None and answer.status == 200:
            self.records.accepted.append((self.version, time.monotonic()))


class Caller:
    """Sends requests to one machine on connections that it keeps."""

    def __init__(self, fleet, machine):
        self.fleet = fleet
        self.machine = machine

    async def run(self):
        while not self.fleet.is_stopping:
            await self.session()
            await asyncio.sleep(0.05)

    async def session(self):
        host, port = self.machine.caller.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        try:
            is_open = True
            while is_open and not self.fleet.is_stopping:
                is_open = await self.exchange(reader, writer)
                await asyncio.sleep(self.fleet.random.random() * 0.05)
        finally:
            writer.close()

    async def exchange(self, reader, writer):
        """Returns False if the connection cannot be used any more."""
        from http11 import format_message, read_message
        kind = self.fleet.random.choice(("read", "read", "write"))
        request = Request(f"q{self.fleet.next_number()}", kind, self.machine)
        method = "POST" if kind == "write" else "GET"
        try:
            writer.write(format_message(
                f"{method} /{kind}/1 HTTP/1.1",
                {"Host": HOST, "X-Request-Id": request.id,
                 "X-Deadline-Ms": "3000"},
                b"x" * 200 if kind == "write" else b""))
            answer = await asyncio.wait_for(read_message(reader), 4.0)
        except (ConnectionError, OSError):
            return False
        except asyncio.TimeoutError:
            answer = None
        if answer is None and reader.at_eof():
            # The node may have closed an idle connection before it read this.
            is_run = request.id in self.fleet.records.runs
            if not is_run:
                return False
        self.fleet.records.answer(request, answer)
        return (answer is not None and answer.is_complete and
                answer.headers.get("connection", "") != "close")


class Faults:
    """Injects one random fault after the other; they overlap."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.random = fleet.random
        self.kinds = [self.kill, self.terminate, self.pause, self.hang_up,
                      self.store_down, self.store_slow, self.store_loses,
                      self.store_history, self.cut_store, self.harm_upstream,
                      self.crash_backend, self.leave, self.fail_backend,
                      self.forget_connections, self.apply, self.apply]
        self.tasks = set()
        self.log = []

    async def run(self, seconds):
        end = time.monotonic() + seconds
        departures = asyncio.create_task(self.run_departures(end))
        broken = asyncio.create_task(self.run_broken_answers(end))
        while time.monotonic() < end:
            fault = self.random.choice(self.kinds)
            machine = self.random.choice(self.fleet.machines)
            self.log.append(f"{time.monotonic():.2f} {fault.__name__} "
                            f"{machine.name}")
            task = asyncio.create_task(fault(machine))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
        await departures
        await broken
        await asyncio.gather(*self.tasks)

    async def run_departures(self, end):
        """A series beside the other faults, as each takes many seconds."""
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(1.0, 4.0))
            machine = self.random.choice(self.fleet.machines)
            self.log.append(f"{time.monotonic():.2f} leave_unseen "
                            f"{machine.name}")
            await self.leave_unseen(machine)

    async def run_broken_answers(self, end):
        """A series beside the other faults: an upstream in trouble sends bytes
        that are no whole answer. It excuses nothing."""
        chance = self.fleet.broken_random
        while time.monotonic() < end:
            await asyncio.sleep(chance.uniform(1.0, 4.0))
            machine = chance.choice(self.fleet.machines)
            self.log.append(f"{time.monotonic():.2f} broken_answers "
                            f"{machine.name}")
            machine.backend.broken_share = 0.3
            await asyncio.sleep(chance.uniform(0.5, 2.0))
            machine.backend.broken_share = 0.0

    async def exit_of(self, machine, process, seconds):
        end = time.monotonic() + seconds
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        return process.poll()

    async def kill(self, machine):
        if machine.process.poll() is not None:
            return
        machine.note_unplanned()
        process = machine.process
        process.kill()
        process.wait()
        await asyncio.sleep(self.random.uniform(0.1, 2.0))
        machine.note_unplanned()
        machine.restart_node(process)

    async def terminate(self, machine):
        process = machine.process
        if process.poll() is not None or machine.is_paused:
            return
        process.send_signal(signal.SIGTERM)
        paused = machine.unplanned_at
        code = await self.exit_of(machine, process, GRACE_SECONDS)
        if code is None and machine.unplanned_at == paused:
            self.fleet.records.fail("grace", f"{machine.name} still runs")
        if code not in (None, 0, -signal.SIGKILL):
            self.fleet.records.fail("exit", f"{machine.name} ended with {code}")
        if code is None:
            process.kill()
            process.wait()
        machine.restart_node(process)

    async def pause(self, machine):
        if machine.process.poll() is not None or machine.is_paused:
            return
        machine.is_paused = True
        process = machine.process
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.3, 4.0))
        process.send_signal(signal.SIGCONT)
        machine.note_unplanned()
        machine.is_paused = False

    async def hang_up(self, machine):
        if machine.process.poll() is None:
            machine.process.send_signal(signal.SIGHUP)

    async def store_down(self, _):
        await self.fleet.store_faults(down=True, reset=self.random.random() < .5)
        await asyncio.sleep(self.random.uniform(0.5, 5.0))
        await self.fleet.store_faults()

    async def store_slow(self, _):
        await self.fleet.store_faults(delay_milliseconds=300)
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        await self.fleet.store_faults()

    async def store_loses(self, _):
        late = self.random.choice((0, 1500))
        await self.fleet.store_faults(lose_write_answers=3,
                                      late_writes_milliseconds=late)
        await asyncio.sleep(2.0)
        await self.fleet.store_faults()

    async def store_history(self, _):
        fault = self.random.choice(({"compact": True}, {"lapse_leases": True},
                                    {"revoke": "teaselhold/nodes/"}))
        await self.fleet.store_faults(**fault)
        await self.fleet.store_faults()

    async def cut_store(self, machine):
        link = machine.store_link
        way = self.random.choice(("silence", "one way", "reset", "delay"))
        if way == "reset":
            link.reset()
            return
        if way == "delay":
            link.set_delay(0.2)
        else:
            link.silence(to_target=way == "silence")
        await asyncio.sleep(self.random.uniform(0.5, 5.0))
        link.heal()

    async def harm_upstream(self, machine):
        link = machine.upstream_link
        self.note_all()
        way = self.random.choice(("silence", "reset", "delay"))
        if way == "reset":
            link.reset()
            return
        if way == "delay":
            link.set_delay(0.1)
        else:
            link.silence()
        await asyncio.sleep(self.random.uniform(0.3, 3.0))
        link.heal()
        self.note_all()

    def note_all(self):
        """A fault of an upstream reaches the callers of every machine."""
        for machine in self.fleet.machines:
            machine.note_unplanned()

    async def crash_backend(self, machine):
        backend = machine.backend
        if not backend.is_up or backend.state != "ready":
            return
        self.note_all()
        backend.crash()
        await asyncio.sleep(self.random.uniform(0.3, 2.0))
        await backend.restart(keep_id=self.random.random() < 0.3)
        self.note_all()

    async def leave(self, machine):
        backend = machine.backend
        if not backend.is_up or backend.state != "ready":
            return
        await backend.leave(self.random.uniform(2.5, 5.0))
        await asyncio.sleep(0.3)
        await backend.restart(keep_id=False)

    async def leave_unseen(self, machine):
        """An upstream leaves while the store turns its node away, the node is
        restarted, and an announcement from before arrives late."""
        backend = machine.backend
        if not backend.is_up or backend.state != "ready":
            return
        link = machine.store_link
        link.silence(to_target=True)
        late = await backend.leave_at_once(self.random.uniform(9.0, 12.0))
        await self.random.choice((self.kill, self.terminate))(machine)
        await asyncio.sleep(self.random.uniform(0.0, 3.0))
        link.heal()
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        await backend.arrive_late(late)
        await backend.end()
        await asyncio.sleep(0.3)
        await backend.restart(keep_id=False)

    async def fail_backend(self, machine):
        backend = machine.backend
        self.note_all()
        backend.error_share = self.random.choice((0.0, 0.4))
        backend.lost_answer_share = self.random.choice((0.0, 0.2))
        backend.work_seconds = self.random.choice((0.02, 0.15))
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        backend.error_share = backend.lost_answer_share = 0.0
        backend.work_seconds = 0.02
        self.note_all()

    async def forget_connections(self, machine):
        self.note_all()
        machine.backend.forget_connections()

    async def apply(self, _):
        await self.fleet.apply()


async def check_recovery(fleet):
    """After the faults every machine serves again."""
    await asyncio.sleep(HEAL_SECONDS)
    before = dict(fleet.records.counts)
    await asyncio.sleep(2.0)
    asked = {name: count - before.get(name, 0)
             for name, count in fleet.records.counts.items()}
    served = asked.get("200", 0)
    if served < 0.95 * sum(asked.values()) or served == 0:
        fleet.records.fail("recovery", f"answers after the faults: {asked}")
    for machine in fleet.machines:
        code = machine.process.poll()
        if code is not None:
            fleet.records.fail("exit", f"{machine.name} ended with {code}")


async def soak(build, seed, seconds, machines):
    with Fleet(build) as processes_fleet:
        processes_fleet.start_store()
        await asyncio.sleep(0.5)
        fleet = SoakFleet(processes_fleet, seed, machines)
        await fleet.apply()
        for machine in fleet.machines:
            await machine.start()
        await asyncio.sleep(2.5)
        callers = [asyncio.create_task(Caller(fleet, machine).run())
                   for machine in fleet.machines
                   for _ in range(CALLERS_PER_MACHINE)]
        faults = Faults(fleet)
        await faults.run(seconds)
        await check_recovery(fleet)
        fleet.is_stopping = True
        await asyncio.gather(*callers)
        for machine in fleet.machines:
            machine.stop()
        await asyncio.sleep(0.2)
        violations = fleet.records.violations
        print(f"seed={seed} seconds={seconds} machines={machines} "
              f"faults={len(faults.log)} answers={fleet.records.counts} "
              f"violations={len(violations)}", flush=True)
        for violation in violations[:10]:
            print("  " + violation)
        if violations:
            kept = pathlib.Path(f"soak-{seed}.logs").resolve()
            shutil.copytree(processes_fleet.folder, kept, dirs_exist_ok=True)
            (kept / "faults.log").write_text("\n".join(faults.log) + "\n")
            print(f"  logs: {kept}")
        return not violations


def regressions():
    """Yields the seeds that once failed."""
    for line in (HERE / "seeds.txt").read_text().splitlines():
        if line and not line.startswith("#"):
            seed, seconds, machines = line.split()[:3]
            yield int(seed), float(seconds), int(machines)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--machines", type=int, default=6)
    parser.add_argument("--regressions", action="store_true")
    options = parser.parse_args()
    runs = [(options.seed, options.seconds, options.machines)]
    if options.regressions:
        runs = list(regressions())
    results = [asyncio.run(soak(options.build.resolve(), *run)) for run in runs]
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
