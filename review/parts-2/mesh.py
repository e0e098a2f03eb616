"""A small deployment on loopback: the node program beside each backend."""
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from store import Store

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST_BASE = "127.0.0."

BOUNDS = {
    "drain": "2000ms",
    "grace": "6s",
    "configApply": "2000ms",
    "retryBudgetRatio": "0.2",
    "budgetWindow": "10s",
    "budgetSlack": "64",
}


def free_address(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()


def render(template, values):
    """The subset of DEPLOY.md's templates that node.ini.template uses."""

    def lookup(name):
        value = values
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        kind, name, inner = match.groups()
        shown = bool(lookup(name)) == (kind == "#")
        return inner if shown else ""

    text = re.sub(
        r"\{\{([#^])([\w.]+)\}\}\n(.*?)\{\{/\2\}\}\n", section, template, flags=re.S
    )
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(lookup(match.group(1))), text)


class Node:
    """One machine: its node process and the addresses of its settings."""

    def __init__(self, mesh, index, service, app):
        self.mesh = mesh
        self.name = f"side-{index}"
        self.service = service
        self.app = app
        host = f"{HOST_BASE}{10 + index}"
        self.outbound = free_address(host)
        self.inbound = free_address(host)
        self.ready = free_address(host)
        self.control = free_address(host)
        self.path = os.path.join(mesh.folder, self.name + ".ini")
        self.process = None

    def start(self):
        values = {
            "node": self.name,
            "service": self.service,
            "zone": "zone-a",
            "region": "region-a",
            "listen": {
                "outbound": self.outbound,
                "inbound": self.inbound,
                "readyAddr": self.ready,
                "control": self.control,
            },
            "limits": {
                "linkMbps": 1000.0,
                "cpuShare": 0.2,
                "memoryMb": 260,
                "maxFds": 4100,
            },
            "bounds": dict(BOUNDS, **self.mesh.bounds),
            "provider": {"address": self.mesh.store_address},
            "app": self.app,
        }
        with open(os.path.join(ROOT, "platform/node.ini.template")) as file:
            text = render(file.read(), values)
        with open(self.path, "w") as file:
            file.write(text)
        log = open(os.path.join(self.mesh.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen(
            ["target/teaselholdd", "--config_variable", "TEASELHOLD_BOOT"],
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", "/"),
                "LANG": "C",
                "TEASELHOLD_BOOT": self.path,
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.mesh.note(f"node: start {self.name}")

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.mesh.note(f"node: killed {self.name}")

    def is_ready(self):
        try:
            return simple_call(self.ready, "GET", "/-/ready")[0] == 200
        except OSError:
            return False

    def log(self):
        with open(os.path.join(self.mesh.folder, self.name + ".log")) as file:
            return file.read()


class Mesh:
    def __init__(self, record, bounds=None):
        self.note = record
        self.bounds = bounds or {}
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.store_address = free_address()
        self.store = Store(self.store_address, record)
        self.nodes = []

    def add(self, service, app):
        node = Node(self, len(self.nodes), service, app)
        self.nodes.append(node)
        return node

    def configure(self, document):
        revision = self.store.write("op/config", json.dumps(document).encode())
        self.note(f"operator: {document['version']} acknowledged, revision={revision}")

    def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, services, tenants=None):
    document = {
        "version": version,
        "services": [{"name": name} for name in services],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeout": "3s",
            "idleTimeout": "15000ms",
        },
        "virtualHosts": [{"host": "mesh.example", "paths": routes}],
    }
    if tenants:
        document["tenants"] = tenants
    return document


def route(name, prefix, kind, service, attempts=2, timeout="3s"):
    return {
        "name": name,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout": timeout,
        "targetLatency": "600ms",
        "priority": 1,
        "maxAttempts": attempts,
    }


# --- HTTP


def connect(address, timeout=5):
    host, port = address.split(":")
    connection = socket.create_connection((host, int(port)), timeout)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


class Reader:
    """Reads messages from a connection."""

    def __init__(self, connection):
        self.connection = connection
        self.rest = b""

    def _more(self):
        data = self.connection.recv(65536)
        self.rest += data
        return bool(data)

    def line(self):
        while b"\r\n" not in self.rest:
            if not self._more():
                return None
        line, self.rest = self.rest.split(b"\r\n", 1)
        return line.decode("latin-1")

    def exactly(self, count):
        while len(self.rest) < count:
            if not self._more():
                return None
        data, self.rest = self.rest[:count], self.rest[count:]
        return data

    def message(self):
        """The first line, the fields as a list of pairs, and the body."""
        first = self.line()
        if first is None:
            return None
        fields = []
        while True:
            line = self.line()
            if line is None:
                return None
            if not line:
                break
            name, value = line.split(":", 1)
            fields.append((name.strip(), value.strip()))
        length = get(fields, "Content-Length")
        coding = get(fields, "Transfer-Encoding")
        if coding and coding.lower() == "chunked":
            body = b""
            while True:
                size = int(self.line().split(";")[0], 16)
                if size == 0:
                    while self.line():
                        pass
                    break
                body += self.exactly(size)
                self.exactly(2)
        else:
            body = self.exactly(int(length)) if length else b""
        return None if body is None else (first, fields, body)


def get(fields, name):
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return None


def request_bytes(method, path, fields, body=b""):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def simple_call(address, method, path, fields=(), body=b"", timeout=5):
    """One call on a connection of its own.
    @return status, fields and body."""
    with connect(address, timeout) as connection:
        head = [("Host", address), ("Connection", "close"), *fields]
        connection.sendall(request_bytes(method, path, head, body))
        message = Reader(connection).message()
    if message is None:
        raise ConnectionError("closed without an answer")
    first, answered, data = message
    return int(first.split()[1]), answered, data


def client_call(node, method, path, request_id, fields=(), body=b"", deadline=3000):
    """A client's request at the machine of `node`.
    @return the status, or None if the connection ended without an answer."""
    head = [
        ("Host", "mesh.example"),
        ("X-Request-Id", request_id),
        ("X-Deadline-Ms", str(deadline)),
        *fields,
    ]
    note = node.mesh.note
    note(f"client: send id={request_id} {method} {path} at={node.name}")
    try:
        with connect(node.outbound, deadline / 1000 + 1) as connection:
            connection.sendall(request_bytes(method, path, head, body))
            message = Reader(connection).message()
    except OSError as error:
        note(f"client: no answer id={request_id} error={error}")
        return None
    if message is None:
        note(f"client: closed without an answer id={request_id}")
        return None
    first, answered, data = message
    status = int(first.split()[1])
    note(
        f"client: answer id={request_id} status={status} "
        f"seal={get(answered, 'X-Response-Seal')} "
        f"own={get(answered, 'Teaselhold-Reason')} bytes={len(data)}"
    )
    return status


class Backend:
    """A sound backend of PROTOCOL.md, with hooks for the cases."""

    def __init__(self, service, note, slots=12, work_s=0.05):
        self.service = service
        self.note = note
        self.slots = slots
        self.work_s = work_s
        self.address = free_address()
        self.id = f"i-{service}-{self.address.split(':')[1]}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.node = None
        self.beats = True
        self.runs = []
        self.lock = threading.Lock()
        # before_answer(connection, id, sequence on the connection)
        self.before_answer = None
        self.server = socket.socket()
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        host, port = self.address.split(":")
        self.server.bind((host, int(port)))
        self.server.listen(128)
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def attach(self, node):
        self.node = node

    def message(self, state=None, sequence=None):
        return {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "zone": "zone-a",
                "version": "v1",
                "slots": self.slots,
            },
            "status": {
                "state": state or self.state,
                "seq": sequence,
                "coldLeft": "0ms",
            },
        }

    def next_sequence(self):
        with self.lock:
            self.sequence += 1
            return self.sequence

    def send_beat(self, state=None, sequence=None):
        """@return the status of the acknowledgement, or None."""
        state = state or self.state
        sequence = sequence or self.next_sequence()
        body = json.dumps(self.message(state, sequence)).encode()
        path = f"/-/rpc?call=instances.heartbeat&of={self.id}"
        fields = [("Content-Type", "application/json")]
        try:
            status = simple_call(self.node.control, "POST", path, fields, body, 1)[0]
        except OSError:
            status = None
        if state != "ready" or not self.beats:
            self.note(
                f"backend: heartbeat id={self.id} state={state} seq={sequence} "
                f"answer={status}"
            )
        return status

    def deregister(self):
        body = json.dumps({"address": self.address, "born": self.born}).encode()
        path = f"/-/rpc?call=instances.deregister&of={self.id}"
        fields = [("Content-Type", "application/json")]
        status = simple_call(self.node.control, "POST", path, fields, body, 1)[0]
        self.note(f"backend: deregister id={self.id} answer={status}")
        return status

    def _beat(self):
        while True:
            if self.node is not None and self.beats:
                self.send_beat()
            time.sleep(1.5 if self.sequence > 2 else 0.3)

    def _accept(self):
        while True:
            connection, _ = self.server.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        reader = Reader(connection)
        count = 0
        try:
            while True:
                message = reader.message()
                if message is None:
                    return
                count += 1
                self._answer(connection, message, count)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def _answer(self, connection, message, count):
        first, fields, body = message
        method, path, _ = first.split()
        request_id = get(fields, "X-Request-Id")
        expected = get(fields, "X-Expected-Instance")
        if path == "/health":
            self._send(connection, 200, [("X-Instance-Id", self.id)], b"")
            return
        if expected not in (None, self.id):
            self.note(f"backend: {self.id} rejects id={request_id} 421")
            self._send(connection, 421, [("X-Not-Executed", "1")], b"")
            return
        if request_id is None:
            self.note(f"backend: {self.id} rejects a request without an id")
            self._send(connection, 400, [("X-Not-Executed", "1")], b"")
            return
        with self.lock:
            self.runs.append((time.monotonic(), request_id, method, path, fields, body))
        self.note(
            f"backend: {self.id} runs id={request_id} {method} {path} "
            f"bytes={len(body)} caller={get(fields, 'X-Caller-Service')} "
            f"tenant={get(fields, 'X-Tenant-Name')}"
        )
        time.sleep(self.work_s)
        if self.before_answer:
            self.before_answer(connection, request_id, count)
        seal = f"seal.{self.id}.{request_id}"
        answer = [("X-Request-Id", request_id), ("X-Response-Seal", seal)]
        self._send(connection, 200, answer, request_id.encode() * 10)

    @staticmethod
    def _send(connection, status, fields, body):
        lines = [f"HTTP/1.1 {status} x"]
        lines += [f"{name}: {value}" for name, value in fields]
        lines.append(f"Content-Length: {len(body)}")
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def wait_for(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError(what)


def run_case(folder, play):
    """Runs play(record, with_trouble) -> True if the rule held."""
    record = Record(os.path.join(folder, "record.txt"))
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"case: trouble={'yes' if with_trouble else 'no'}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    meshes = []

    def make(bounds=None):
        meshes.append(Mesh(record, bounds))
        return meshes[-1]

    try:
        held = play(make, record, with_trouble)
        code = 0 if held else 1
    except Exception as error:  # the case could not run
        record(f"case: could not run: {error!r}")
        code = 2
    finally:
        for mesh in meshes:
            mesh.stop()
    record(f"case: exit={code}")
    sys.stdout.flush()
    os._exit(code)
