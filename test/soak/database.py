"""Endpoints with replication, as the platform's pages describe them."""

import asyncio
import itertools
import random
import time

from promises import Commit

NUMBERS = itertools.count(1)


class Group:
    """The endpoints of one service."""

    def __init__(self, name, promises, rng, promote_s=0.4, lag_s=0.02):
        self.name = name
        self.promises = promises
        self.rng = rng
        self.promote_s = promote_s
        self.lag_s = lag_s
        self.term = 1
        self.endpoints = []
        self.leader = None

    def primary(self):
        return self.leader

    def primary_runs(self):
        return self.leader.running

    async def promote(self, name):
        """Returns the HTTP status of the order."""
        chosen = next((e for e in self.endpoints if e.name == name), None)
        if chosen is None or not chosen.running:
            return 409
        if chosen is self.leader:
            return 200
        asyncio.get_running_loop().create_task(self._lead(chosen))
        return 200

    async def _lead(self, chosen):
        await asyncio.sleep(self.promote_s)
        if not chosen.running or chosen is self.leader:
            return
        self.term += 1
        old = self.leader
        self.leader = chosen
        for commit in old.log[len(chosen.log):]:
            commit.lost = True
        chosen.lead(self.term)
        for endpoint in self.endpoints:
            if endpoint is not chosen and endpoint is not old:
                endpoint.follow(chosen)
        asyncio.get_running_loop().create_task(self._demote(old, chosen))

    async def _demote(self, old, chosen):
        await asyncio.sleep(1.0)
        while old.isolated:
            await asyncio.sleep(0.1)
        if old.term < chosen.term:
            old.follow(chosen)


class Connection:
    """A connection that an endpoint has accepted."""

    def __init__(self):
        self.values = {}
        self.prepared = {}
        # Writes of the open transaction; None outside of one.
        self.open = None
        self.read_only = False
        self.failed = False
        self.owner = None

    def end(self):
        self.open = None
        self.failed = False
        self.owner = None


class Endpoint:
    """One database process. `log` is what it received, `applied` how much of
    it reads see."""

    def __init__(self, group, name, slots=3, connections=24):
        self.group = group
        self.name = name
        self.slots = slots
        self.max_connections = connections
        self.born = 0
        self.sequence = 0
        self.log = []
        self.applied = 0
        self.term = 1
        self.is_primary = False
        self.running = False
        self.draining = False
        self.work_factor = 1.0
        self.lag_factor = 1.0
        # Receives nothing from the others and is not demoted.
        self.isolated = False
        self.lose_answers = 0.0
        self.port = 0
        self.server = None
        self.writers = set()
        self.slot = None
        self.waiting = 0
        group.endpoints.append(self)

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.slot = asyncio.Semaphore(self.slots)
        self.waiting = 0
        self.draining = False
        self.running = True
        if self.group.leader is not self:
            self.follow(self.group.leader)

    async def crash(self):
        self.running = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def lead(self, term):
        self.term = term
        self.is_primary = True
        self.applied = len(self.log)

    def follow(self, leader):
        self.is_primary = False
        self.term = leader.term
        shared = 0
        for own, other in zip(self.log, leader.log):
            if own is not other:
                break
            shared += 1
        del self.log[shared:]
        self.applied = min(self.applied, shared)
        if not self.isolated and self.running:
            self.receive(leader, leader.log[shared:])

    def receive(self, leader, commits):
        if self.isolated or not self.running or self.is_primary or \
                self.term != leader.term:
            return
        behind = leader.log[len(self.log):]
        if len(behind) < len(commits):
            return
        self.log.extend(behind)
        lag = self.group.lag_s * self.lag_factor * self.group.rng.uniform(.5, 2)
        asyncio.get_running_loop().call_later(
            lag, self._apply, len(self.log), self.term)

    def _apply(self, count, term):
        if term == self.term:
            self.applied = max(self.applied, min(count, len(self.log)))

    def holds(self, commit):
        at = commit.number - 1
        return at < self.applied and self.log[at] is commit

    def position(self):
        log = self.log[:self.applied]
        return f"{log[-1].term}.{len(log)}" if log else f"{1}.0"

    def received(self):
        return f"{self.log[-1].term}.{len(self.log)}" if self.log else "1.0"

    def _commit(self, ids):
        commit = Commit(self.group, self.term, len(self.log) + 1, tuple(ids),
                        time.monotonic(), self.group.leader is not self)
        commit.lost = commit.late
        self.log.append(commit)
        self.applied = len(self.log)
        self.group.promises.committed(commit)
        for other in self.group.endpoints:
            if other is not self:
                asyncio.get_running_loop().call_later(
                    0.002, other.receive, self, [commit])

    async def _serve(self, reader, writer):
        connection = Connection()
        self.writers.add(writer)
        try:
            line = (await reader.readline()).decode().rstrip("\r\n").split(" ")
            wrong = (line[0] != "CONNECT" or line[1] != self.group.name or
                     (len(line) > 3 and line[3] != self.name))
            if wrong or len(self.writers) > self.max_connections:
                code = "WRONGNODE" if wrong else "OVERLOAD"
                writer.write(f"ERROR {code} -\r\n".encode())
                return
            await asyncio.sleep(0.008)
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                line = await reader.readline()
                if not line.endswith(b"\r\n"):
                    return
                words = line.decode().rstrip("\r\n").split(" ", 2)
                if words[0] != "QUERY":
                    return
                rows, code, signature = await self._run(
                    connection, words[1], words[2])
                if self.lose_answers and words[1] != "-" and \
                        self.group.rng.random() < self.lose_answers:
                    return
                text = "".join(f"DATAROW {row}\r\n" for row in rows)
                text += f"ERROR {code} {self.name}\r\n" if code \
                    else f"COMPLETE {signature}\r\n"
                state = "I" if connection.open is None else \
                    "E" if connection.failed else "T"
                text += f"READY {state} {self.position()}\r\n"
                writer.write(text.encode())
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _run(self, connection, query_id, text):
        """Returns rows, error code or None, and signature."""
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        word = text.split(" ", 1)[0]
        if word in ("SET", "PREPARE", "RELEASE", "RESET"):
            return self._set_up(connection, word, text)
        if word in ("STATUS", "STEPDOWN"):
            return await self._administer(word, text)
        if connection.failed and word != "ROLLBACK":
            return [], "MALFORMED", "-"
        if word == "ROLLBACK":
            connection.end()
            return [], None, "-"
        if after is not None and not self._reached(after):
            return [], "LAGGING", "-"
        if word == "BEGIN":
            read_only = text == "BEGIN READ"
            if not read_only and not self.is_primary:
                return [], "READONLY", "-"
            connection.open = []
            connection.read_only = read_only
            return [], None, "-"
        return await self._work(connection, query_id, word, text)

    def _reached(self, position):
        term, number = (int(part) for part in position.split("."))
        if self.applied < number:
            return False
        return number == 0 or self.log[self.applied - 1].term >= term

    @staticmethod
    def _set_up(connection, word, text):
        words = text.split(" ", 3)
        if word == "RESET":
            connection.values, connection.prepared = {}, {}
        elif word == "SET":
            connection.values[words[1]] = text.split(" ", 2)[2]
        elif word == "PREPARE":
            connection.prepared[words[1]] = (words[2], words[3])
        else:
            connection.prepared.pop(words[1], None)
        return [], None, "-"

    async def _administer(self, word, text):
        async with self.slot:
            await asyncio.sleep(0.001)
        if word == "STEPDOWN" and self.is_primary and \
                self.term < int(text.split()[1]):
            self.is_primary = False
        role = "primary" if self.is_primary else "replica"
        row = (f"{role} {self.term} {self.received()} {self.term} 0 "
               f"{self.slots - self.slot._value} {len(self.writers)}")
        return [row], None, "-"

    async def _work(self, connection, query_id, word, text):
        writes = word == "WRITE"
        if word == "EXECUTE":
            prepared = connection.prepared.get(text.split(" ", 2)[1])
            if prepared is None:
                return [], "NOSTMT", "-"
            writes = prepared[0] == "WRITE"
        refused = self._refusal(connection, writes, word)
        if refused is None and self.waiting >= 8 * self.slots:
            refused = "BUSY"
        if refused is None:
            self.waiting += 1
            try:
                async with self.slot:
                    await asyncio.sleep(
                        self.work_factor * self.group.rng.uniform(.002, .02))
            finally:
                self.waiting -= 1
            refused = self._refusal(connection, writes, word)
        if refused is not None:
            connection.failed = connection.open is not None
            return [], refused, "-"
        signature = f"{next(NUMBERS):x}.{random.getrandbits(32):x}"
        rows = [] if writes or word == "COMMIT" else [f"r{signature}"]
        self.group.promises.ran(self, connection, query_id, text, signature,
                                rows)
        if word == "COMMIT":
            ids = connection.open
            connection.end()
            if ids:
                self._commit(ids)
        elif writes and connection.open is not None:
            connection.open.append(query_id)
        elif writes:
            self._commit([query_id])
        return rows, None, signature

    def _refusal(self, connection, writes, word):
        if self.is_primary:
            return None
        if word == "COMMIT":
            return "READONLY" if connection.open else None
        plain = connection.open is not None and not connection.read_only
        return "READONLY" if writes or plain else None
