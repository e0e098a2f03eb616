"""A TCP proxy on loopback whose connections can be delayed, reset or silenced."""
import asyncio

from http11 import reset


class Link:
    """Forwards connections to one address."""

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.delay = 0.0
        self.harmed_at = -1e9
        self._silent_to = False
        self._silent_from = False
        self._writers = set()
        self._server = None

    async def start(self):
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self):
        self._server.close()
        self.reset()

    def _note(self):
        self.harmed_at = asyncio.get_running_loop().time()

    def heal(self):
        """New connections work; those that were silenced stay silent."""
        if self.delay or self._silent_to or self._silent_from:
            self._note()
        self.delay = 0.0
        self._silent_to = self._silent_from = False

    def set_delay(self, seconds):
        self._note()
        self.delay = seconds

    def silence(self, to_target=True, from_target=True):
        self._note()
        self._silent_to, self._silent_from = to_target, from_target

    def reset(self):
        self._note()
        for writer in list(self._writers):
            writer.transport.abort()

    def is_harmed(self):
        return self.delay > 0 or self._silent_to or self._silent_from

    async def _serve(self, reader, writer):
        host, port = self.target.split(":")
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(far_writer)
        # A connection that once lost bytes stays silent for good.
        lost = {"to": False, "from": False}
        await asyncio.gather(
            self._pump(reader, far_writer, "to", lost),
            self._pump(far_reader, writer, "from", lost))
        self._writers -= {writer, far_writer}

    async def _pump(self, reader, writer, direction, lost):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                silent = (self._silent_to if direction == "to"
                          else self._silent_from)
                lost[direction] = lost[direction] or silent
                if not lost[direction]:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, OSError):
            reset(writer)
        finally:
            if not lost[direction]:
                writer.close()
