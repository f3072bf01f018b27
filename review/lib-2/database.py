"""Stand-in of a service's backends: log, replication, promotion, the wire.

A backend that crashes keeps its log. It comes back as a replica if another
one was promoted meanwhile, and as the primary otherwise.
"""

import asyncio
import contextlib
import itertools
import random
import time

SIGNATURES = itertools.count(1)
HANDSHAKE_S = 0.012
WORK_S = 0.007


class Commit:
    def __init__(self, term, number, ids):
        self.term = term
        self.number = number
        self.ids = ids
        self.acknowledged_at = None  # by a client's receipt

    def __str__(self):
        return f"{self.term}.{self.number}"


class Service:
    """One primary and its replicas."""

    def __init__(self, name, platform, record, sync_replicas, promote_s,
                 heartbeat_s):
        self.name = name
        self.platform = platform
        self.record = record
        self.sync_replicas = sync_replicas
        self.promote_s = promote_s
        self.heartbeat_s = heartbeat_s
        self.backends = []
        self.leader = None
        self.term = 1
        # Called with (promoted backend, its log) when a promote takes effect.
        self.on_promoted = None
        # Called with each statement that runs.
        self.on_run = None
        self.commits = {}
        platform.services[name] = self

    def promote(self, name):
        backend = next((b for b in self.backends if b.name == name), None)
        if backend is None or not backend.running:
            return 409
        if backend is not self.leader:
            asyncio.get_running_loop().call_later(
                self.promote_s, self._take_effect, backend)
        return 200

    def _take_effect(self, backend):
        if not backend.running or backend is self.leader:
            return
        self.term += 1
        old = self.leader
        self.leader = backend
        backend.role, backend.term = "primary", self.term
        self.record(f"{backend.name} leads term {self.term} with "
                    f"{len(backend.log)} commits")
        if self.on_promoted:
            self.on_promoted(backend)
        for other in self.backends:
            if other not in (backend, old) and other.running:
                other.follow(backend)
        asyncio.get_running_loop().call_later(1.0, self._demote, old, backend)

    def _demote(self, old, leader):
        if old.running and old.role == "primary" and old is not self.leader:
            old.follow(leader)


class Backend:
    def __init__(self, service, name, zone, slots=3, max_connections=21):
        self.service = service
        self.name = name
        self.zone = zone
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.max_connections = max_connections
        self.role = "replica"
        self.term = 1
        self.log = []
        self.running = False
        self.deaf = False
        # One way from the primary, in seconds.
        self.replication_s = 0.012
        self.port = 0
        self.server = None
        self.writers = set()
        self.born = 0
        self.sequence = 0
        self.tasks = []
        service.backends.append(self)

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=2 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.born, self.sequence = int(time.time() * 1000), 0
        self.running = True
        leader = self.service.leader
        if leader is None or leader is self:
            self.service.leader = self
            self.role, self.term = "primary", self.service.term
        elif leader.running:
            self.follow(leader)
        else:
            self.role = "replica"
        self.service.record(f"{self.name} runs as {self.role}")
        self.tasks.append(asyncio.create_task(self._beat()))

    def crash(self):
        self.service.record(f"{self.name} ({self.role}, {len(self.log)} "
                            f"commits) crashes")
        self.running = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()
        self.tasks = []
        silence = 3 * self.service.heartbeat_s
        asyncio.get_running_loop().call_later(silence, self._expire)

    def _expire(self):
        if not self.running:
            self.service.record(f"{self.name} is removed from the store")
            self.service.platform.store.remove("servers", self.name)

    async def _beat(self):
        while True:
            self.publish()
            await asyncio.sleep(self.service.heartbeat_s)

    def publish(self):
        self.sequence += 1
        self.service.platform.store.set("servers", self.name, {
            "Service": self.service.name,
            "Address": f"127.0.0.1:{self.port}", "Zone": self.zone,
            "Version": "v1", "Slots": self.slot_count, "State": "ready",
            "ColdRemainingMs": 0, "DbRole": self.role,
            "Sequence": self.sequence, "born": self.born})

    def follow(self, leader):
        self.role, self.term = "replica", leader.term
        same = 0
        while same < min(len(self.log), len(leader.log)) and \
                self.log[same] is leader.log[same]:
            same += 1
        del self.log[same:]
        self.receive(leader)
        if self.running:
            self.publish()

    def receive(self, leader, count=None):
        """Receives the first `count` commits of the leader's log."""
        if self.running and leader.running and not self.deaf and \
                self.role == "replica" and leader is self.service.leader:
            self.term = leader.term
            self.log.extend(leader.log[len(self.log):count])

    def position(self):
        return f"{self.log[-1].term}.{len(self.log)}" if self.log else "1.0"

    def _has(self, position):
        term, number = (int(part) for part in position.split("."))
        return len(self.log) >= number and (
            number == 0 or self.log[-1].term >= term)

    async def _commit(self, ids):
        commit = Commit(self.term, len(self.log) + 1, tuple(ids))
        for one in ids:
            self.service.commits.setdefault(one, []).append(commit)
        self.log.append(commit)
        loop = asyncio.get_running_loop()
        replicas = [b for b in self.service.backends if b is not self]
        for other in replicas:
            loop.call_later(other.replication_s, other.receive, self,
                            commit.number)
        need = self.service.sync_replicas

        def holders():
            return [b for b in replicas if b.running and
                    len(b.log) >= commit.number and
                    b.log[commit.number - 1] is commit]

        while self.running and len(holders()) < need:
            await asyncio.sleep(0.001)
        if need and self.running:
            # The way back of the receipt.
            await asyncio.sleep(min(b.replication_s for b in holders()))

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        values, prepared, writes, state, read_only = {}, {}, [], "I", False
        try:
            words = (await reader.readline()).decode().rstrip("\r\n").split()
            if words[:2] != ["CONNECT", self.service.name] or \
                    (len(words) > 3 and words[3] != self.name):
                writer.write(b"ERROR WRONGNODE -\r\n")
                return
            if len(self.writers) > self.max_connections:
                writer.write(b"ERROR OVERLOAD -\r\n")
                return
            await asyncio.sleep(HANDSHAKE_S)
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                line = (await reader.readline()).decode()
                if not line.endswith("\r\n"):
                    return
                words = line[:-2].split(" ", 2)
                if words[0] != "QUERY" or len(words) < 3:
                    return
                query, text = words[1], words[2]
                after = None
                if text.startswith("AFTER "):
                    _, after, text = text.split(" ", 2)
                word = text.split(" ", 1)[0]
                rows, code, signature = [], None, "-"
                if word in ("SET", "PREPARE", "RELEASE", "RESET"):
                    parts = text.split(" ", 3)
                    if word == "SET":
                        values[parts[1]] = text.split(" ", 2)[2]
                    elif word == "PREPARE":
                        prepared[parts[1]] = parts[2]
                    elif word == "RELEASE":
                        prepared.pop(parts[1], None)
                    else:
                        values, prepared = {}, {}
                elif word == "STATUS" or word == "STEPDOWN":
                    async with self.slots:
                        await asyncio.sleep(0.001)
                    if word == "STEPDOWN" and self.role == "primary" and \
                            self.term < int(text.split()[1]):
                        self.role = "replica"
                    rows = [f"{self.role} {self.term} {self.position()} "
                            f"{self.term} 0 0 {len(self.writers)}"]
                elif word == "ROLLBACK":
                    state, writes = "I", []
                elif state == "E":
                    code = "MALFORMED"
                elif after is not None and not self._has(after):
                    code = "LAGGING"
                elif word == "BEGIN":
                    read_only = text == "BEGIN READ"
                    if self.role != "primary" and not read_only:
                        code = "READONLY"
                    else:
                        state, writes = "T", []
                else:
                    async with self.slots:
                        await asyncio.sleep(WORK_S * random.uniform(.5, 1.5))
                    is_write = word == "WRITE" or (
                        word == "EXECUTE" and
                        prepared.get(text.split(" ")[1]) == "WRITE")
                    if word == "EXECUTE" and text.split(" ")[1] not in prepared:
                        code = "NOSTMT"
                    elif self.role != "primary" and (
                            is_write or (state == "T" and not read_only and
                                         (word != "COMMIT" or writes))):
                        code = "READONLY"
                    else:
                        signature = f"{next(SIGNATURES):x}." \
                            f"{random.getrandbits(48):012x}"
                        if self.service.on_run:
                            self.service.on_run(self, query, text)
                        if word == "COMMIT":
                            done, state, writes = writes, "I", []
                            if done:
                                await self._commit(done)
                        elif is_write and state == "T":
                            writes.append(query)
                        elif is_write:
                            await self._commit([query])
                        else:
                            rows = [f"row-{signature}"]
                    if code and state == "T":
                        state = "E"
                answer = "".join(f"DATAROW {row}\r\n" for row in rows)
                answer += f"ERROR {code} {self.name}\r\n" if code else \
                    f"COMPLETE {signature}\r\n"
                writer.write((answer + f"READY {state} {self.position()}\r\n"
                              ).encode())
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError,
                ValueError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(RuntimeError):
                writer.close()
