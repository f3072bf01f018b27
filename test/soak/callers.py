"""Callers with sessions, and the balancer that places them."""

import asyncio
import itertools
import time

from promises import Attempt, Statement

IDS = itertools.count(1)
# Callers give up on a statement that is not answered by then.
PATIENCE_S = 4.0


class Broken(Exception):
    """The connection ended, or nothing came in time."""


class Balancer:
    """Asks each VM whether it is ready, as the platform does."""

    def __init__(self, vms):
        self.vms = vms
        self.ready = []
        self.misses = {vm: 2 for vm in vms}

    async def run(self):
        while True:
            await asyncio.gather(*(self._ask(vm) for vm in self.vms))
            self.ready = [vm for vm in self.vms if self.misses[vm] < 2]
            await asyncio.sleep(0.5)

    async def _ask(self, vm):
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", vm.ready_port)
                writer.write(
                    b"GET /-/readiness HTTP/1.1\r\nHost: vm\r\n\r\n")
                line = await reader.readline()
                writer.close()
            ready = b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            ready = False
        self.misses[vm] = 0 if ready else self.misses[vm] + 1


class Caller:
    """One session after the other, each with some operations."""

    def __init__(self, balancer, promises, routes, rng):
        self.balancer = balancer
        self.promises = promises
        self.routes = routes
        self.rng = rng
        self.reader = self.writer = self.vm = None
        self.values = {}
        self.prepared = {}
        self.route = self.session = None
        self.state = "I"

    async def run(self, until):
        while time.monotonic() < until:
            if not self.balancer.ready:
                await asyncio.sleep(0.1)
                continue
            try:
                await self._session(until)
            except (Broken, OSError, asyncio.TimeoutError):
                await asyncio.sleep(self.rng.uniform(0.02, 0.1))
            finally:
                if self.writer is not None:
                    self.writer.transport.abort()
                    self.writer = None

    async def _session(self, until):
        self.vm = self.rng.choice(self.balancer.ready)
        name = self.rng.choice(sorted(self.routes))
        self.route = self.routes[name]
        self.values, self.prepared, self.state = {}, {}, "I"
        # What it has written counts for this session only.
        self.session = object()
        async with asyncio.timeout(2):
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.vm.caller_port)
        self.writer.write(f"CONNECT {name} soak\r\n".encode())
        if not (await self._line(2)).startswith("READY"):
            raise Broken
        for variable in range(self.rng.randrange(3)):
            await self._set(f"v{variable}", str(self.rng.randrange(3)))
        for number in range(self.rng.randrange(1, 12)):
            if time.monotonic() > until:
                return
            if self.rng.random() < 0.2:
                await self._prepare(f"p{number % 3}")
            await self._operation()
            await asyncio.sleep(self.rng.uniform(0, 0.3))
        self.writer.write(b"TERMINATE\r\n")

    async def _operation(self):
        kind = self.route["Kind"]
        attempt = Attempt(self.session, kind, self.route["Service"],
                          self.route["MaxStalenessMs"] / 1000)
        started = time.monotonic()
        attempt.started = started
        failed = True
        try:
            if self.rng.random() < 0.3:
                failed = not await self._transaction(attempt)
            else:
                failed = await self._work(attempt) is not None
        finally:
            taken = time.monotonic() - started
            log = self.promises.refused if failed else self.promises.served
            log.append((started, taken))

    async def _transaction(self, attempt):
        attempt.transaction = True
        read_only = self.rng.random() < 0.3
        begin = "BEGIN READ" if read_only else "BEGIN"
        if await self._run(attempt, begin) is not None:
            return False
        for _ in range(self.rng.randrange(1, 5)):
            if await self._work(attempt, read_only) is not None:
                await self._run(attempt, "ROLLBACK")
                return False
            await asyncio.sleep(self.rng.uniform(0, 0.08))
        end = self.rng.random()
        if end < 0.05:
            raise Broken
        if end < 0.2:
            await self._run(attempt, "ROLLBACK")
            return True
        attempt.wants_commit = True
        return await self._run(attempt, "COMMIT") is None

    async def _work(self, attempt, read_only=False):
        """Runs a read or a write; returns an error code or None."""
        item = f"{self.rng.randrange(40):x}"
        writes = self.rng.random() < 0.4 and not read_only and \
            self.route["Kind"] != "bounded_staleness"
        names = [n for n, p in self.prepared.items()
                 if (p[0] == "WRITE") == writes]
        if names and self.rng.random() < 0.5:
            name = self.rng.choice(names)
            data = f" {item} data" if writes else f" {item}"
            return await self._run(attempt, f"EXECUTE {name}{data}",
                                   self.prepared[name])
        text = f"WRITE {item} data" if writes else f"READ {item}"
        return await self._run(attempt, text)

    async def _set(self, name, value):
        self.values[name] = value
        if await self._run(None, f"SET {name} {value}") is not None:
            raise Broken

    async def _prepare(self, name):
        access = self.rng.choice(["READ", "WRITE"])
        shape = f"q{self.rng.randrange(4)}"
        self.prepared[name] = (access, shape)
        if await self._run(None, f"PREPARE {name} {access} {shape}"):
            raise Broken

    async def _run(self, attempt, text, prepared=None):
        """Sends a statement; returns the error code, None for success."""
        query_id = f"{next(IDS):08x}"
        if attempt is not None:
            statement = Statement(query_id, text, attempt, time.monotonic(),
                                  dict(self.values), prepared)
            self.promises.sent(statement)
        self.writer.write(f"QUERY {query_id} {text}\r\n".encode())
        rows, code, signature = [], None, "-"
        while True:
            line = await self._line(PATIENCE_S)
            word, _, rest = line.partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            elif word == "ERROR":
                code = rest.split(" ")[0]
                if attempt is not None and code == "ABORTED":
                    attempt.promised = code
            elif word == "READY":
                self.state = rest.split(" ")[0]
                break
            else:
                self.promises.found("MIXED", f"{query_id} got {line!r}")
                raise Broken
        if attempt is not None:
            self.promises.answered(statement, code, signature, rows)
        return code

    async def _line(self, patience):
        try:
            async with asyncio.timeout(patience):
                line = await self.reader.readline()
        except asyncio.TimeoutError:
            raise Broken from None
        if not line.endswith(b"\r\n"):
            self._check_planned_end()
            raise Broken
        return line.decode().rstrip("\r\n")

    def _check_planned_end(self):
        """A VM that is told to stop ends no statement without an answer."""
        if self.vm.stopping_alone():
            self.promises.found("LOST", f"{self.vm.name} ended a session "
                                f"during a statement while it stopped")
