"""The platform's key-value store, as PROTOCOL.md and TERMS.md describe it.

One process-local server: items with revisions, leases, waiting watches and
conditional transactions. It does not enforce call rates. `drill` brings back an
earlier copy and raises Store-Era, as TERMS.md tells.
"""
import base64
import copy
import json
import socketserver
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler

TIME_UNITS = {"ms": 0.001, "s": 1.0}


def parse_time(text):
    unit = "ms" if text.endswith("ms") else "s"
    return float(text[: -len(unit)]) * TIME_UNITS[unit]


class Contents:
    """All that a copy of the store holds."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.leases = {}
        self.next_lease = 1
        self.events = []


class Store:
    def __init__(self, address, note):
        self.note = note
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.now = Contents()
        self.era = 1
        self.is_away = False
        self.connections = set()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def setup(self):
                super().setup()
                store.connections.add(self.connection)

            def finish(self):
                store.connections.discard(self.connection)
                super().finish()

            def log_message(self, *arguments):
                pass

            def handle_call(self):
                length = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(length)) if length else {}
                target = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(target.query))
                status, answer = store.call(self.command, target.path, query, body)
                if store.is_away:
                    self.close_connection = True
                    return
                data = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.send_header("Store-Era", str(store.era))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_DELETE = handle_call

        class Server(socketserver.ThreadingTCPServer):
            allow_reuse_address = True
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass

        host, port = address.split(":")
        self.server = Server((host, int(port)), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._expire, daemon=True).start()

    # --- what the operator does

    def write(self, key, value):
        """The operator's own write. Returns the revision."""
        with self.lock:
            return self._put({key: (value, 0)}, [])

    def copy(self):
        with self.lock:
            return copy.deepcopy(self.now)

    def drill(self, earlier, away_s):
        """The store is away for a moment and returns with an earlier copy."""
        with self.lock:
            self.is_away = True
            lost = self.now.revision
        self._cut()
        time.sleep(away_s)
        with self.lock:
            operator = {
                key: (item["data"], 0)
                for key, item in self.now.items.items()
                if key.startswith("op/")
                and earlier.items.get(key, {}).get("data") != item["data"]
            }
            for lease in earlier.leases.values():
                lease["until"] = time.monotonic() + lease["ttl"]
            self.now = copy.deepcopy(earlier)
            if operator:
                self._put(operator, [])
            self.era += 1
            self.is_away = False
            self.changed.notify_all()
        self._cut()
        self.note(
            f"store: returned with an earlier copy, era={self.era} "
            f"revision={self.now.revision} was={lost}"
        )

    def _cut(self):
        for connection in list(self.connections):
            try:
                connection.shutdown(2)
            except OSError:
                pass

    # --- calls

    def call(self, method, path, query, body):
        with self.lock:
            if self.is_away:
                return 503, {}
            if path == "/-/kv-key":
                item = self.now.items.get(query["key"])
                if item is None:
                    return 404, {"atRev": self.now.revision}
                return 200, dict(self._show(query["key"]), atRev=self.now.revision)
            if path == "/-/kv-range":
                return self._range(query)
            if path == "/-/kv-watch":
                return self._watch(query)
            if path == "/-/kv-txn":
                return self._transact(body)
            if path == "/-/kv-lease":
                lease = self.now.next_lease
                self.now.next_lease += 1
                ttl = parse_time(body["ttl_time"])
                self.now.leases[lease] = {"ttl": ttl, "until": time.monotonic() + ttl}
                return 200, {"leaseId": lease, "ttl_time": body["ttl_time"]}
            if path.startswith("/-/kv-keep/"):
                lease = self.now.leases.get(int(path.rsplit("/", 1)[1]))
                if lease is None:
                    return 404, {}
                lease["until"] = time.monotonic() + lease["ttl"]
                return 200, {}
            if path.startswith("/-/kv-lease-end/"):
                return (200, {}) if self._end(int(path.rsplit("/", 1)[1])) else (404, {})
        return 404, {}

    def _show(self, key):
        item = self.now.items[key]
        return {
            "key": key,
            "value": base64.b64encode(item["data"]).decode(),
            "revision": item["revision"],
            "createdRev": item["created"],
            "leaseId": item["lease"],
        }

    def _range(self, query):
        keys = sorted(
            key
            for key in self.now.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        return 200, {
            "items": [self._show(key) for key in keys[:500]],
            "hasMore": len(keys) > 500,
            "atRev": self.now.revision,
        }

    def _watch(self, query):
        after = int(query["after"])
        era = self.era
        end = time.monotonic() + int(query["waitMs"]) / 1000
        if after > self.now.revision:
            return 410, {}
        while True:
            events = [
                event
                for event in self.now.events
                if event["revision"] > after and event["key"].startswith(query["prefix"])
            ]
            left = end - time.monotonic()
            if events or left <= 0 or self.is_away or era != self.era:
                return 200, {"events": events, "atRev": self.now.revision}
            self.changed.wait(left)

    def _transact(self, body):
        expected = body.get("expected", [])
        current = {row["key"]: self.now.items.get(row["key"]) for row in expected}
        for row in expected:
            item = current[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                shown = [self._show(key) for key, item in current.items() if item]
                return 412, {"items": shown}
        puts = {}
        for put in body.get("puts", []):
            lease = put.get("leaseId", 0)
            if lease and lease not in self.now.leases:
                return 404, {}
            puts[put["key"]] = (base64.b64decode(put["value"]), lease)
        if puts or body.get("deletes"):
            self._put(puts, body.get("deletes", []))
        return 200, {"revision": self.now.revision}

    def _put(self, puts, deletes):
        now = self.now
        now.revision += 1
        for key, (data, lease) in puts.items():
            created = now.items[key]["created"] if key in now.items else now.revision
            now.items[key] = {
                "data": data,
                "revision": now.revision,
                "created": created,
                "lease": lease,
            }
            now.events.append(self._show(key))
        for key in deletes:
            if now.items.pop(key, None):
                now.events.append(
                    {"key": key, "revision": now.revision, "tombstone": True}
                )
        self.changed.notify_all()
        return now.revision

    def _end(self, lease):
        if self.now.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.now.items.items() if item["lease"] == lease]
        if keys:
            self._put({}, keys)
        return True

    def _expire(self):
        while True:
            time.sleep(0.1)
            with self.lock:
                if self.is_away:
                    continue
                now = time.monotonic()
                for lease, state in list(self.now.leases.items()):
                    if now >= state["until"]:
                        self._end(lease)
