"""An upstream that announces itself to the node beside it and records what it
runs."""
import asyncio
import hashlib
import itertools
import json
import time

from broken import WAYS
from http11 import call, format_message, read_message, reset

HEARTBEAT_SECONDS = 0.5
ACKNOWLEDGEMENT_SECONDS = 1.0
SLOTS = 12
IDS = itertools.count(1)


def body_of(request_id):
    """The body that answers a request; long enough to be cut in the middle."""
    digest = hashlib.sha256(request_id.encode()).hexdigest()
    return (request_id + " " + digest * 40).encode()


class Backend:
    """One process's worth of an upstream; restart() makes a new incarnation."""

    def __init__(self, address, announced, announce_to, service, records):
        self.address = address
        self.announced = announced
        self.announce_to = announce_to
        self.service = service
        self.records = records
        self.is_up = False
        self.work_seconds = 0.02
        self.error_share = 0.0
        self.lost_answer_share = 0.0
        self.broken_share = 0.0
        self.random = None
        self.broken_random = None
        self._start_run()

    def _start_run(self, keep_id=False):
        if not keep_id:
            self.id = f"i-{next(IDS)}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.leaving_acknowledged = None
        self.leaving_sent = None
        self._running = 0
        self._writers = set()

    async def start(self):
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True)
        self.is_up = True
        self._beat = asyncio.create_task(self._announce())

    def crash(self):
        self.is_up = False
        self._beat.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def restart(self, keep_id):
        self._start_run(keep_id)
        await self.start()

    def forget_connections(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def leave(self, serve_seconds):
        """Announces that it leaves, serves on and ends."""
        self.state = "draining"
        await self._say_heartbeat()
        await asyncio.sleep(serve_seconds)
        await self._say("instances.deregister", {"born": self.born})
        self.crash()

    async def leave_at_once(self, serve_seconds):
        """Deregisters without a word before, serves on and ends. Returns an
        announcement from before that can still arrive."""
        late = self._make_heartbeat()
        self._beat.cancel()
        self.state = "draining"
        self.ends_at = time.monotonic() + serve_seconds
        await self._say("instances.deregister", {"born": self.born})
        return late

    async def arrive_late(self, heartbeat):
        # Its acknowledgement says nothing of the departure, which may not have
        # reached the node.
        await self._call("instances.heartbeat", heartbeat)

    async def end(self):
        await asyncio.sleep(self.ends_at - time.monotonic())
        self.crash()

    async def _announce(self):
        while True:
            await self._say_heartbeat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _say_heartbeat(self):
        await self._say("instances.heartbeat", self._make_heartbeat())

    def _make_heartbeat(self):
        self.sequence += 1
        return {
            "address": self.announced, "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": "one",
                     "slots": SLOTS},
            "status": {"state": self.state, "seq": self.sequence,
                       "coldLeft": "0ms"}}

    async def _say(self, name, body):
        is_leaving = self.state == "draining"
        answer = await self._call(name, body)
        acknowledged = answer is not None and answer.status == 200
        if is_leaving and acknowledged and self.leaving_acknowledged is None:
            self.leaving_acknowledged = time.monotonic()

    async def _call(self, name, body):
        return await call(
            self.announce_to, "POST", f"/-/rpc?call={name}&of={self.id}",
            {"Content-Type": "application/json"}, json.dumps(body).encode(),
            ACKNOWLEDGEMENT_SECONDS)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while request := await read_message(reader):
                answer = await self._answer(request)
                if answer is None:
                    writer.transport.abort()
                    return
                is_broken = (self.broken_share > 0.0 and
                             self.broken_random.random() < self.broken_share)
                if is_broken and await self._break_answer(request, writer):
                    return
                if not is_broken:
                    writer.write(answer)
                    await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _break_answer(self, request, writer):
        """Sends bytes in place of the answer. Returns True if the connection
        is reset behind them."""
        request_id = request.headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id,
                "X-Response-Seal": f"seal.{self.id}.{request_id}"}
        way = self.broken_random.choice(WAYS)
        broken, is_reset = way(echo, body_of(request_id))
        writer.write(broken)
        await writer.drain()
        if is_reset:
            reset(writer)
        return is_reset

    async def _answer(self, request):
        request_id = request.headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id}
        expected = request.headers.get("x-expected-instance", self.id)
        if expected != self.id:
            return format_message("HTTP/1.1 421 Misdirected Request",
                                  {**echo, "X-Not-Executed": "1"}, b"")
        if self._running >= SLOTS:
            return format_message("HTTP/1.1 503 Service Unavailable",
                                  {**echo, "X-Not-Executed": "1"}, b"")
        self.records.run(request_id, request, self)
        self._running += 1
        try:
            await asyncio.sleep(self.work_seconds * (0.5 + self.random.random()))
        finally:
            self._running -= 1
        if self.random.random() < self.lost_answer_share:
            return None
        seal = {**echo, "X-Response-Seal": f"seal.{self.id}.{request_id}"}
        if self.random.random() < self.error_share:
            return format_message("HTTP/1.1 500 Internal Server Error", seal,
                                  b"error")
        return format_message("HTTP/1.1 200 OK", seal, body_of(request_id))
