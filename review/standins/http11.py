"""A small HTTP/1.1 reader and writer on asyncio streams."""
import asyncio

MAX_HEAD_BYTES = 64 * 1024
STREAM_LIMIT = 4 * 1024 * 1024


class Message:
    """A request or an answer; header names are lower case."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.start.split()[1])

    @property
    def method(self):
        return self.start.split()[0]

    @property
    def target(self):
        return self.start.split()[1]


async def read_message(reader):
    """Returns a message, or None if the connection ends before a whole one."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await read_chunks(reader)
        else:
            body = await reader.readexactly(
                int(headers.get("content-length", "0")))
        return Message(lines[0], headers, body)
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            ConnectionError, OSError):
        return None


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readuntil(b"\r\n")
        if size == 0:
            return body


def format_message(start, headers, body=b""):
    lines = [start]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def connect(address):
    host, port = address.split(":")
    return await asyncio.open_connection(host, int(port), limit=STREAM_LIMIT)


async def call(address, method, target, headers, body=b"", timeout=1.0):
    """Sends one request on a connection of its own. Returns None without a
    whole answer."""

    async def exchange():
        reader, writer = await connect(address)
        try:
            writer.write(format_message(f"{method} {target} HTTP/1.1",
                                        {"Host": address, **headers}, body))
            return await read_message(reader)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None
