"""A client of the wire: one session."""

import asyncio
import itertools
import random

IDS = itertools.count(1)


def new_id():
    return f"{random.getrandbits(32):08x}{next(IDS):08x}"


class Ended(Exception):
    """The connection ended, or no answer came in time."""


class Session:
    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None
        self.state = "I"

    async def open(self, database, who="u1", timeout=2.0):
        """Returns None, or the code of the refusal."""
        async with asyncio.timeout(timeout):
            self.reader, self.writer = await asyncio.open_connection(
                self.host, self.port, limit=8 << 20)
            self.writer.write(f"CONNECT {database} {who}\r\n".encode())
            line = await self._line()
        return None if line.startswith("READY") else line.split(" ")[1]

    async def _line(self):
        line = await self.reader.readline()
        if not line.endswith(b"\r\n"):
            raise Ended
        return line[:-2].decode()

    async def query(self, text, query=None, timeout=8.0):
        """Returns (rows, code or None, signature or None)."""
        query = query or new_id()
        rows, code, signature = [], None, None
        try:
            self.writer.write(f"QUERY {query} {text}\r\n".encode())
            async with asyncio.timeout(timeout):
                while True:
                    line = await self._line()
                    word, _, rest = line.partition(" ")
                    if word == "DATAROW":
                        rows.append(rest)
                    elif word == "COMPLETE":
                        signature = rest
                    elif word == "ERROR":
                        code = rest.split(" ")[0]
                    elif word == "READY":
                        self.state = rest.split(" ")[0]
                        return rows, code, signature
                    else:
                        raise Ended
        except (ConnectionError, OSError, asyncio.TimeoutError) as error:
            raise Ended from error

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None
