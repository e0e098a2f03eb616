"""A link to the store whose connections go silent for good one by one."""
import asyncio

from http11 import reset
from link import Link


class Connection:
    """What the link knows of one connection of a node."""

    def __init__(self):
        self.is_silent = False
        self.is_watching = False
        self.is_asking = False


class StoreLink(Link):
    """Forwards connections to the store. The kernel of this process goes on to
    acknowledge bytes and to answer probes on a connection that is silent."""

    def __init__(self, address, target, chance):
        super().__init__(address, target)
        self.lost_share = 0.0
        self._chance = chance
        self._open = set()

    def silence_watches(self):
        """Silences the connections on which a watch waits."""
        self._silence(lambda connection: connection.is_watching)

    def silence_open(self):
        self._silence(lambda connection: True)

    def lose_answers(self, share):
        """A connection on which an answer is lost returns nothing further."""
        self._note()
        self.lost_share = share

    def is_harmed(self):
        return self.lost_share > 0 or super().is_harmed()

    def _silence(self, is_chosen):
        chosen = [connection for connection in self._open
                  if is_chosen(connection) and not connection.is_silent]
        for connection in chosen:
            connection.is_silent = True
        if chosen:
            self._note()

    async def _serve(self, reader, writer):
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = Connection()
        self._open.add(connection)
        self._writers |= {writer, far_writer}
        await asyncio.gather(
            self._carry(reader, far_writer, connection, self._on_call),
            self._carry(far_reader, writer, connection, self._on_answer))
        self._writers -= {writer, far_writer}
        self._open.discard(connection)

    def _on_call(self, connection, data):
        connection.is_asking = True
        connection.is_watching = (connection.is_watching or
                                  data.startswith(b"GET /-/kv-watch"))

    def _on_answer(self, connection, _):
        if connection.is_asking and self._chance.random() < self.lost_share:
            connection.is_silent = True
        connection.is_asking = connection.is_watching = False

    async def _carry(self, reader, writer, connection, on_data):
        try:
            while data := await reader.read(65536):
                on_data(connection, data)
                if not connection.is_silent:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, OSError):
            if not connection.is_silent:
                reset(writer)
        finally:
            if not connection.is_silent:
                writer.close()
