"""Loopback connections that can be delayed, reset, cut or blackholed."""

import asyncio
import dataclasses


@dataclasses.dataclass
class LinkState:
    """How a link handles bytes; shared by its connections."""

    delay_s: float = 0.0
    # Data in that direction is discarded, not buffered.
    cut_to_server: bool = False
    cut_to_client: bool = False
    reset_new_connections: bool = False
    disrupted_at: float = -1e9


class Link:
    """Listens on a port of its own and forwards each connection to target."""

    def __init__(self, target):
        self.target = target
        self.state = LinkState()
        self.port = 0
        self.connections = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset_all(self):
        for connection in list(self.connections):
            for writer in connection.writers:
                writer.transport.abort()

    def blackhole_all(self):
        """Open connections go silent for good; new ones work."""
        for connection in self.connections:
            connection.blackholed = True

    async def _accept(self, reader, writer):
        connection = _ForwardedConnection(self, writer)
        if self.state.reset_new_connections:
            writer.transport.abort()
            return
        self.connections.add(connection)
        try:
            # While the link is cut, a new connection is accepted but hangs.
            while self.state.cut_to_server or self.state.cut_to_client:
                await asyncio.sleep(0.02)
                if writer.is_closing():
                    return
            server_reader, server_writer = await asyncio.open_connection(
                *self.target, limit=1 << 20)
            connection.writers.append(server_writer)
            await asyncio.gather(
                connection.forward(reader, server_writer, "cut_to_server"),
                connection.forward(server_reader, writer, "cut_to_client"))
        except (ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(connection)
            for stream in connection.writers:
                stream.transport.abort()


class _ForwardedConnection:
    def __init__(self, link, writer):
        self.link = link
        self.writers = [writer]
        self.blackholed = False

    async def forward(self, source, sink, cut_flag):
        state = self.link.state
        while True:
            data = await source.read(1 << 16)
            if not data:
                break
            if state.delay_s:
                await asyncio.sleep(state.delay_s)
            # A connection that lost data stays blackholed after the cut ends:
            # TCP never skips a part of the stream.
            if getattr(state, cut_flag):
                self.blackholed = True
            if self.blackholed:
                continue
            sink.write(data)
            await sink.drain()
        if self.blackholed:
            await asyncio.sleep(3600)
        sink.close()
