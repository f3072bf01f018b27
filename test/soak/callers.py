"""Callers with sessions, and the balancer that selects their VMs."""

import asyncio
import itertools
import time

from promises import Attempt, Statement

QUERY_IDS = itertools.count(1)
# A caller closes its session when a statement has no reply by then.
REPLY_TIMEOUT_S = 4.0


class SessionAborted(Exception):
    """The connection was ended by either side, or nothing came in time."""


class Balancer:
    """Probes whether each VM is ready, as the platform does."""

    def __init__(self, vms):
        self.vms = vms
        # VMs whose last two probes did not both fail.
        self.ready = []
        self.failed_probes = {vm: 2 for vm in vms}

    async def run(self):
        while True:
            await asyncio.gather(*(self._probe(vm) for vm in self.vms))
            self.ready = [vm for vm in self.vms if self.failed_probes[vm] < 2]
            await asyncio.sleep(0.5)

    async def _probe(self, vm):
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
        self.failed_probes[vm] = 0 if ready else self.failed_probes[vm] + 1


class Caller:
    """Opens one session after the other, with some operations in each."""

    def __init__(self, balancer, checker, routes, rng):
        self.balancer = balancer
        self.checker = checker
        self.routes = routes
        self.rng = rng
        self.reader = self.writer = self.vm = None
        self.values = {}
        self.prepared = {}
        self.route = self.session = None
        self.state = "I"

    async def run(self, end_time):
        while time.monotonic() < end_time:
            if not self.balancer.ready:
                await asyncio.sleep(0.1)
                continue
            try:
                await self._run_session(end_time)
            except (SessionAborted, OSError, asyncio.TimeoutError):
                await asyncio.sleep(self.rng.uniform(0.02, 0.1))
            finally:
                if self.writer is not None:
                    self.writer.transport.abort()
                    self.writer = None

    async def _run_session(self, end_time):
        self.vm = self.rng.choice(self.balancer.ready)
        name = self.rng.choice(sorted(self.routes))
        self.route = self.routes[name]
        self.values, self.prepared, self.state = {}, {}, "I"
        # Identifies the session: read-your-writes holds within one session.
        self.session = object()
        async with asyncio.timeout(2):
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.vm.caller_port)
        self.writer.write(f"CONNECT {name} soak\r\n".encode())
        if not (await self._read_line(2)).startswith("READY"):
            raise SessionAborted
        for variable in range(self.rng.randrange(3)):
            await self._set_variable(f"v{variable}",
                                     str(self.rng.randrange(3)))
        for number in range(self.rng.randrange(1, 12)):
            if time.monotonic() > end_time:
                return
            if self.rng.random() < 0.2:
                await self._prepare(f"p{number % 3}")
            await self._run_operation()
            await asyncio.sleep(self.rng.uniform(0, 0.3))
        self.writer.write(b"TERMINATE\r\n")

    async def _run_operation(self):
        kind = self.route["Kind"]
        attempt = Attempt(self.session, kind, self.route["Service"],
                          self.route["MaxStalenessMs"] / 1000)
        start_time = time.monotonic()
        attempt.started_at = start_time
        failed = True
        try:
            if self.rng.random() < 0.3:
                failed = not await self._run_transaction(attempt)
            else:
                failed = await self._read_or_write(attempt) is not None
        finally:
            duration = time.monotonic() - start_time
            operations = self.checker.refused if failed \
                else self.checker.served
            operations.append((start_time, duration))

    async def _run_transaction(self, attempt):
        attempt.transaction = True
        read_only = self.rng.random() < 0.3
        begin = "BEGIN READ" if read_only else "BEGIN"
        if await self._run_statement(attempt, begin) is not None:
            return False
        for _ in range(self.rng.randrange(1, 5)):
            if await self._read_or_write(attempt, read_only) is not None:
                await self._run_statement(attempt, "ROLLBACK")
                return False
            await asyncio.sleep(self.rng.uniform(0, 0.08))
        end = self.rng.random()
        if end < 0.05:
            raise SessionAborted
        if end < 0.2:
            await self._run_statement(attempt, "ROLLBACK")
            return True
        attempt.commit_requested = True
        return await self._run_statement(attempt, "COMMIT") is None

    async def _read_or_write(self, attempt, read_only=False):
        """Runs a read or a write; returns an error code or None."""
        item = f"{self.rng.randrange(40):x}"
        is_write = self.rng.random() < 0.4 and not read_only and \
            self.route["Kind"] != "bounded_staleness"
        names = [n for n, p in self.prepared.items()
                 if (p[0] == "WRITE") == is_write]
        if names and self.rng.random() < 0.5:
            name = self.rng.choice(names)
            arguments = f" {item} data" if is_write else f" {item}"
            return await self._run_statement(
                attempt, f"EXECUTE {name}{arguments}", self.prepared[name])
        text = f"WRITE {item} data" if is_write else f"READ {item}"
        return await self._run_statement(attempt, text)

    async def _set_variable(self, name, value):
        self.values[name] = value
        if await self._run_statement(None, f"SET {name} {value}") is not None:
            raise SessionAborted

    async def _prepare(self, name):
        access = self.rng.choice(["READ", "WRITE"])
        shape = f"q{self.rng.randrange(4)}"
        self.prepared[name] = (access, shape)
        if await self._run_statement(None, f"PREPARE {name} {access} {shape}"):
            raise SessionAborted

    async def _run_statement(self, attempt, text, prepared=None):
        """Sends a statement; returns the error code, None for success."""
        query_id = f"{next(QUERY_IDS):08x}"
        if attempt is not None:
            statement = Statement(query_id, text, attempt, time.monotonic(),
                                  dict(self.values), prepared)
            self.checker.on_statement_sent(statement)
        self.writer.write(f"QUERY {query_id} {text}\r\n".encode())
        rows, code, signature = [], None, "-"
        while True:
            line = await self._read_line(REPLY_TIMEOUT_S)
            keyword, _, rest = line.partition(" ")
            if keyword == "DATAROW":
                rows.append(rest)
            elif keyword == "COMPLETE":
                signature = rest
            elif keyword == "ERROR":
                code = rest.split(" ")[0]
                if attempt is not None and code == "ABORTED":
                    attempt.not_applied_code = code
            elif keyword == "READY":
                self.state = rest.split(" ")[0]
                break
            else:
                self.checker.report(
                    "MIXED", f"{query_id} received unexpected {line!r}")
                raise SessionAborted
        if attempt is not None:
            self.checker.on_reply(statement, code, signature, rows)
        elif code is None:
            self.checker.on_unsigned_reply(query_id, text, signature, rows)
        return code

    async def _read_line(self, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                line = await self.reader.readline()
        except asyncio.TimeoutError:
            raise SessionAborted from None
        if not line.endswith(b"\r\n"):
            self._check_graceful_shutdown()
            raise SessionAborted
        return line.decode().rstrip("\r\n")

    def _check_graceful_shutdown(self):
        """A VM that shuts down gracefully gives each statement an answer."""
        if self.vm.is_undisturbed_shutdown():
            self.checker.report("LOST", f"{self.vm.name} ended a session "
                                f"during a statement while it stopped")
