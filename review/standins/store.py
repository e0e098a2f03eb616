"""A stand-in of the platform's metadata store, as PROTOCOL.md describes it."""
import asyncio
import base64
import json
import time
import urllib.parse

from http11 import format_message, read_message, STREAM_LIMIT

PAGE_ITEMS = 500
EXPIRY_INTERVAL_SECONDS = 0.05
MAX_VALUE_BYTES = 1048576
ANSWER_SECONDS = 0.004


def seconds_of(text):
    return float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])


class Door:
    """The store's address for one machine, which it can turn away."""

    def __init__(self, address):
        self.address = address
        # "": works. "silent": reads calls and never answers them. "busy": 503.
        # "reset": resets the connection. None of them does anything.
        self.outage = ""
        self.writers = set()

    def begin_outage(self, how):
        self.outage = how
        # Calls and watches that wait get no answer any more.
        if how == "reset":
            self.abort_all()

    def end_outage(self):
        self.outage = ""
        # Connections on which an answer was lost return nothing further.
        self.abort_all()

    def abort_all(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    def __init__(self):
        self.doors = []
        self.revision = 10
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Condition()
        # Leases pause while the whole store is down, unless this is set.
        self.leases_run_on = False
        self.delay_seconds = ANSWER_SECONDS
        # Called with the body of each transaction; True loses the answer of a
        # write that was done.
        self.loses_answer = lambda transaction: False

    async def start(self):
        self.expiry = asyncio.create_task(self._expire())

    async def open_door(self, address):
        door = Door(address)
        host, port = address.split(":")
        door.server = await asyncio.start_server(
            lambda reader, writer: self._serve(door, reader, writer),
            host, int(port), limit=STREAM_LIMIT)
        self.doors.append(door)
        return door

    def begin_outage(self, how):
        for door in self.doors:
            door.begin_outage(how)

    def end_outage(self):
        for door in self.doors:
            door.end_outage()

    def is_down(self):
        return bool(self.doors) and all(door.outage for door in self.doors)

    async def _expire(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            now = time.monotonic()
            passed, last = now - last, now
            if self.is_down() and not self.leases_run_on:
                for lease in self.leases.values():
                    lease["until"] += passed
            for number in [n for n, lease in self.leases.items()
                           if lease["until"] <= now]:
                await self._end_lease(number)

    async def _end_lease(self, number):
        if self.leases.pop(number, None) is None:
            return False
        for key in [k for k, item in self.items.items()
                    if item["leaseId"] == number]:
            await self._remove(key)
        return True

    async def _remove(self, key):
        self.revision += 1
        del self.items[key]
        self.events.append({"key": key, "revision": self.revision,
                            "tombstone": True})
        await self._wake()

    async def _wake(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value, lease=0):
        await self._put_all([(key, value, lease)])

    async def _put_all(self, puts):
        self.revision += 1
        for key, value, lease in puts:
            old = self.items.get(key)
            item = {"key": key, "value": base64.b64encode(value).decode(),
                    "revision": self.revision,
                    "createdRev": old["createdRev"] if old else self.revision,
                    "leaseId": lease}
            self.items[key] = item
            self.events.append(item)
        await self._wake()

    async def _serve(self, door, reader, writer):
        door.writers.add(writer)
        try:
            while request := await read_message(reader):
                if door.outage == "reset":
                    writer.transport.abort()
                    return
                if door.outage == "silent":
                    await asyncio.sleep(3600)
                if door.outage == "busy":
                    writer.write(format_message(
                        "HTTP/1.1 503 Service Unavailable", {}, b"{}"))
                    continue
                await asyncio.sleep(self.delay_seconds)
                answer = await self._answer(door, request)
                if answer is None or door.outage:
                    await asyncio.sleep(3600)
                status, body = answer
                writer.write(format_message(
                    f"HTTP/1.1 {status} -",
                    {"Content-Type": "application/json"},
                    json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            door.writers.discard(writer)
            writer.close()

    async def _answer(self, door, request):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        body = json.loads(request.body) if request.body else {}
        if url.path == "/-/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"atRev": self.revision}
            return 200, {**item, "atRev": self.revision}
        if url.path == "/-/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:PAGE_ITEMS]],
                         "hasMore": len(keys) > PAGE_ITEMS,
                         "atRev": self.revision}
        if url.path == "/-/kv-watch":
            return await self._watch(door, query)
        if url.path == "/-/kv-txn":
            return await self._transact(body)
        if url.path == "/-/kv-lease":
            self.next_lease += 1
            ttl = body["ttl_time"]
            self.leases[self.next_lease] = {
                "ttl": ttl, "until": time.monotonic() + seconds_of(ttl)}
            return 200, {"leaseId": self.next_lease, "ttl_time": ttl}
        number = int(url.path.rsplit("/", 1)[1])
        if url.path.startswith("/-/kv-keep/"):
            lease = self.leases.get(number)
            if lease is None:
                return 404, {}
            lease["until"] = time.monotonic() + seconds_of(lease["ttl"])
            return 200, {"ttl_time": lease["ttl"]}
        ended = await self._end_lease(number)
        return (200 if ended else 404), {}

    async def _watch(self, door, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [event for event in self.events
                      if event["revision"] > after
                      and event["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0 or door.outage:
                return 200, {"events": events, "atRev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
                except asyncio.TimeoutError:
                    pass

    async def _transact(self, body):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [
                    self.items[r["key"]] for r in body["expected"]
                    if r["key"] in self.items]}
        puts = []
        for put in body.get("puts", []):
            lease = put.get("leaseId", 0)
            if lease and lease not in self.leases:
                return 404, {}
            value = base64.b64decode(put["value"])
            if len(value) > MAX_VALUE_BYTES:
                return 413, {}
            puts.append((put["key"], value, lease))
        if puts:
            await self._put_all(puts)
        for key in body.get("deletes", []):
            if key in self.items:
                await self._remove(key)
        lost = self.loses_answer(body)
        return None if lost else (200, {"revision": self.revision})
