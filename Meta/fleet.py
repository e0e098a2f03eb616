"""Starts and stops a fleet of real processes on loopback."""
import collections
import itertools
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

STARTUP_LIMIT_SECONDS = 30


def is_free(port):
    """Tells whether a port is free for both TCP and UDP."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, \
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


# Below the kernel's ephemeral range; otherwise an outgoing connection of a
# process that already runs can take the port before its owner starts.
PORTS = itertools.cycle(range(10000, 30000))
for _ in range(os.getpid() * 251 % 20000):
    next(PORTS)


def free_ports(count):
    """Returns ports that no process uses and that were not returned lately."""
    return list(itertools.islice(filter(is_free, PORTS), count))


class Node:
    """One node daemon and the upstream beside it."""

    def __init__(self, fleet, name, service, data_centre, region):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.region = region
        addresses = [f"127.0.0.1:{port}" for port in free_ports(5)]
        (self.caller, self.data, self.control, self.admin,
         self.upstream_address) = addresses
        self.node = None
        self.upstream = None
        self.node_exit = None

    def settings(self, seeds):
        return f"""[node]
name = {self.name}
service = {self.service}
data_centre = {self.data_centre}
region = {self.region}
caller_address = {self.caller}
data_address = {self.data}
control_address = {self.control}
admin_address = {self.admin}
seeds = {", ".join(seeds)}
distribution = {self.fleet.distribution}

[store]
address = {self.fleet.store_address}

[upstream]
address = {self.upstream_address}
slots = 12
"""

    def start_upstream(self):
        self.upstream = self.fleet.spawn(
            f"{self.name}.upstream", "upstream_stand_in",
            f"--address={self.upstream_address}", f"--name={self.name}",
            f"--run_log={self.fleet.folder / (self.name + '.runs')}")

    def start_node(self, seeds):
        path = self.fleet.folder / f"{self.name}.ini"
        path.write_text(self.settings(seeds))
        self.node = self.fleet.spawn(
            f"{self.name}.node", "teaselholdd", f"--config={path}")

    def stop_node(self):
        self.node.send_signal(signal.SIGTERM)
        self.node_exit = self.node.wait(timeout=60)

    def kill_upstream(self):
        self.upstream.kill()
        self.upstream.wait()


class Fleet:
    """A store, nodes and upstreams; ends all of them on exit."""

    def __init__(self, build, distribution="direct"):
        self.build = build
        self.distribution = distribution
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="teaselhold-"))
        self.processes = []
        self.nodes = []
        self.store_address = f"127.0.0.1:{free_ports(1)[0]}"

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(self, name, program, *arguments, **options):
        with open(self.folder / f"{name}.log", "ab") as log:
            options.setdefault("stdout", log)
            process = subprocess.Popen(
                [self.build / program, *arguments], stderr=log, **options)
        self.processes.append(process)
        return process

    def start_store(self):
        self.spawn("store", "store_stand_in", f"--address={self.store_address}")

    def make_node(self, service, data_centre, region):
        index = len(self.nodes) + 1
        node = Node(self, f"{service}-{index}", service, data_centre, region)
        self.nodes.append(node)
        return node

    def add_node(self, service, data_centre, region):
        """Starts a node; the first three nodes are the seeds of all."""
        node = self.make_node(service, data_centre, region)
        node.start_upstream()
        if self.distribution == "relay":
            seeds = [other.control for other in self.nodes[:3]]
            node.start_node(seeds)
        return node

    def start_direct_nodes(self):
        """The direct baseline needs the addresses of all nodes at its start."""
        seeds = [node.control for node in self.nodes]
        for node in self.nodes:
            if node.node is None:
                node.start_node(seeds)

    def control(self, node, *arguments, check=True):
        result = subprocess.run(
            [self.build / "teaselctl", f"--node={node.admin}", *arguments],
            capture_output=True, text=True, check=False)
        if check and result.returncode != 0:
            raise RuntimeError(f"teaselctl {arguments}: {result.stdout}"
                               f"{result.stderr}")
        return result

    def apply(self, text):
        """Applies a text through the last node; returns its version."""
        if self.distribution == "direct":
            self.start_direct_nodes()
        path = self.folder / "applied.mesh.ini"
        path.write_text(text)
        deadline = time.monotonic() + STARTUP_LIMIT_SECONDS
        while True:
            result = self.control(self.nodes[-1], "apply", str(path),
                                  check=False)
            if result.returncode == 0:
                return int(re.search(r"generation=(\d+)", result.stdout)[1])
            if time.monotonic() > deadline:
                raise RuntimeError(result.stdout + result.stderr)
            time.sleep(0.2)

    def running(self):
        return [n for n in self.nodes if n.node and n.node.poll() is None]

    def versions_in_log(self, node):
        log = (self.folder / f"{node.name}.node.log").read_text()
        return [int(v) for v in
                re.findall(r"Version in force\. generation=(\d+)", log)]

    def wait_for_version(self, version):
        """Returns the seconds until every running node logged the version."""
        start = time.monotonic()
        while time.monotonic() - start < STARTUP_LIMIT_SECONDS:
            if all(version <= max(self.versions_in_log(n), default=0)
                   for n in self.running()):
                return time.monotonic() - start
            time.sleep(0.01)
        raise RuntimeError(f"version {version} is not in force everywhere")

    def log_times(self, node, pattern):
        """Seconds of the day of each log line that matches."""
        times = []
        log = (self.folder / f"{node.name}.node.log").read_text()
        for line in log.splitlines():
            if pattern in line:
                hours, minutes, seconds = re.search(
                    r"(\d\d):(\d\d):(\d\d\.\d+)", line).groups()
                times.append(int(hours) * 3600 + int(minutes) * 60 +
                             float(seconds))
        return times

    def convergence(self, version):
        """Seconds from acceptance to force on each running node."""
        self.wait_for_version(version)
        accepted = [t for n in self.nodes
                    for t in self.log_times(n, f"Accepted. generation={version}")]
        begin = min(accepted)
        taken = []
        for node in self.running():
            for later in range(version, version + 3):
                times = self.log_times(
                    node, f"Version in force. generation={later}")
                if times:
                    taken.append(max(0.0, times[0] - begin))
                    break
        return taken

    def versions_backwards(self):
        backwards = 0
        for node in self.nodes:
            versions = self.versions_in_log(node)
            backwards += sum(b < a for a, b in zip(versions, versions[1:]))
        return backwards

    def wait_until_ready(self):
        """Waits until each upstream is ready and known to the entry nodes."""
        deadline = time.monotonic() + STARTUP_LIMIT_SECONDS
        while time.monotonic() < deadline:
            states = [(self.folder / f"{n.name}.node.log").read_text()
                      for n in self.nodes]
            if all("state=ready" in log for log in states):
                time.sleep(1)
                return
            time.sleep(0.1)
        raise RuntimeError("not every upstream became ready")

    def start_load(self, requests, count, rate):
        addresses = ",".join(node.caller for node in self.running())
        return self.spawn("load", "load_generator", f"--nodes={addresses}",
                          f"--requests={requests}", f"--count={count}",
                          f"--rate={rate}", stdout=subprocess.PIPE, text=True)

    def run_counts(self):
        """Returns how often each request was run by an upstream."""
        counts = collections.Counter()
        for node in self.nodes:
            path = self.folder / f"{node.name}.runs"
            if path.exists():
                counts.update(path.read_text().split())
        return counts


def parse_load_output(output):
    outcomes, not_run = collections.defaultdict(dict), []
    for line in output.splitlines():
        words = line.split()
        if words[0] == "outcome":
            outcomes[words[1]][words[2]] = int(words[3])
        elif words[0] == "not-run":
            not_run.append(words[1])
    return outcomes, not_run
