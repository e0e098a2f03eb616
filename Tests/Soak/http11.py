"""A small HTTP/1.1 reader and writer on asyncio streams."""
import asyncio
import socket
import struct


class Message:
    """One request or response; header names are lower case."""

    def __init__(self, start, headers, body, is_complete):
        self.start = start
        self.headers = headers
        self.body = body
        self.is_complete = is_complete

    @property
    def status(self):
        return int(self.start.split()[1])


async def read_message(reader):
    """Returns a Message, or None if the connection ends before its header."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Message(lines[0], headers, b"", False)
    return Message(lines[0], headers, body, True)


def format_message(start, headers, body):
    lines = [start]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Ends a connection so that its peer gets a reset. abort() alone closes it
    like an answer that ends with its connection."""
    connection = writer.get_extra_info("socket")
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
    except OSError:
        pass  # It has ended already.
    writer.transport.abort()


async def call(address, method, target, headers, body, timeout):
    """Sends one request on a connection of its own. Returns None without an
    answer."""
    host, port = address.split(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(format_message(
                f"{method} {target} HTTP/1.1",
                {"Host": address, **headers, "Connection": "close"}, body))
            return await read_message(reader)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None
