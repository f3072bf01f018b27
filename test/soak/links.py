"""Loopback connections that can be delayed, reset, cut or silenced."""

import asyncio
import dataclasses


@dataclasses.dataclass
class LinkState:
    """What happens to the bytes of a link; shared by its connections."""

    delay_s: float = 0.0
    # Nothing passes in that direction; it is lost, not kept.
    cut_to_server: bool = False
    cut_to_client: bool = False
    # New connections are reset.
    refuse: bool = False
    disrupted_at: float = -1e9


class Link:
    """Listens on a port of its own and passes each connection on."""

    def __init__(self, target):
        self.target = target
        self.state = LinkState()
        self.port = 0
        self.pairs = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset_all(self):
        for pair in list(self.pairs):
            for writer in pair.writers:
                writer.transport.abort()

    def silence_all(self):
        """Open connections go silent for good; new ones work."""
        for pair in self.pairs:
            pair.silent = True

    async def _accept(self, reader, writer):
        pair = _Pair(self, writer)
        if self.state.refuse:
            writer.transport.abort()
            return
        self.pairs.add(pair)
        try:
            # A cut link does not answer: the connection hangs.
            while self.state.cut_to_server or self.state.cut_to_client:
                await asyncio.sleep(0.02)
                if writer.is_closing():
                    return
            there, back = await asyncio.open_connection(
                *self.target, limit=1 << 20)
            pair.writers.append(back)
            await asyncio.gather(
                pair.pump(reader, back, "cut_to_server"),
                pair.pump(there, writer, "cut_to_client"))
        except (ConnectionError, OSError):
            pass
        finally:
            self.pairs.discard(pair)
            for end in pair.writers:
                end.transport.abort()


class _Pair:
    def __init__(self, link, writer):
        self.link = link
        self.writers = [writer]
        self.silent = False

    async def pump(self, source, sink, cut):
        state = self.link.state
        while True:
            data = await source.read(1 << 16)
            if not data:
                break
            if state.delay_s:
                await asyncio.sleep(state.delay_s)
            # A connection that lost bytes never works again.
            if getattr(state, cut):
                self.silent = True
            if self.silent:
                continue
            sink.write(data)
            await sink.drain()
        if self.silent:
            await asyncio.sleep(3600)
        sink.close()
