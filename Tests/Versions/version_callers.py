"""Callers that ask for routes that move or were added."""
import asyncio
import random

from http11 import format_message, read_message
from soak import HOST, Caller, Request

# A fleet of ten nodes with callers gets about 100 requests a second.
PAUSE_SECONDS = 0.18


class VersionRequest(Request):
    """A request for a prefix of routes, judged once."""

    def __init__(self, request_id, prefix, machine):
        super().__init__(request_id, "read", machine)
        self.prefix = prefix
        self.is_violation = False


class VersionCaller(Caller):
    """Sends one request after the other to one node."""

    def __init__(self, fleet, machine):
        super().__init__(fleet, machine)
        self.random = random.Random(f"caller {fleet.seed} {machine.name}")

    def prefix(self):
        known = ["/read/", "/turn/", "/turn/"] + self.fleet.added[-2:]
        return self.random.choice(known)

    async def exchange(self, reader, writer):
        """Returns False if the connection cannot be used any more."""
        await asyncio.sleep(self.random.uniform(0, PAUSE_SECONDS))
        request = VersionRequest(f"q{self.fleet.next_number()}", self.prefix(),
                                 self.machine)
        self.fleet.records.sent(request)
        answer = await self.ask(request, reader, writer)
        self.fleet.records.answer(request, answer)
        return (answer is not None and answer.is_complete and
                answer.headers.get("connection", "") != "close")

    async def ask(self, request, reader, writer):
        try:
            writer.write(format_message(
                f"GET {request.prefix}1 HTTP/1.1",
                {"Host": HOST, "X-Request-Id": request.id,
                 "X-Deadline-Ms": "3000"}, b""))
            return await asyncio.wait_for(read_message(reader), 4.0)
        except (ConnectionError, OSError, asyncio.TimeoutError):
            return None


class Prober(VersionCaller):
    """Asks a node for a route that never existed, which no other node sees."""

    def prefix(self):
        return "/none/"
