"""Endpoints of a simulated platform, with replication."""

import asyncio
import itertools
import random
import time

from faulty_answers import release
from promises import Commit

SIGNATURE_NUMBERS = itertools.count(1)


class Group:
    """The endpoints of one service."""

    def __init__(self, name, checker, rng, sync_replicas=0,
                 promotion_delay_s=0.4, lag_s=0.02):
        self.name = name
        self.checker = checker
        self.rng = rng
        # Number of replicas that hold a commit before it is acknowledged.
        self.sync_replicas = sync_replicas
        self.promotion_delay_s = promotion_delay_s
        self.lag_s = lag_s
        self.term = 1
        self.endpoints = []
        self.current_primary = None

    def primary(self):
        return self.current_primary

    def primary_runs(self):
        return self.current_primary.running

    async def promote(self, name):
        """Returns the HTTP status; the promotion completes later."""
        candidate = next((e for e in self.endpoints if e.name == name), None)
        if candidate is None or not candidate.running:
            return 409
        if candidate is self.current_primary:
            return 200
        asyncio.get_running_loop().create_task(
            self._complete_promotion(candidate))
        return 200

    async def _complete_promotion(self, candidate):
        await asyncio.sleep(self.promotion_delay_s)
        if not candidate.running or candidate is self.current_primary:
            return
        self.term += 1
        old_primary = self.current_primary
        self.current_primary = candidate
        for commit in old_primary.log[len(candidate.log):]:
            commit.lost = True
        if self.sync_replicas:
            self.checker.on_rolled_back(
                candidate, old_primary.log[len(candidate.log):])
        candidate.become_primary(self.term)
        for endpoint in self.endpoints:
            if endpoint is not candidate and endpoint is not old_primary:
                endpoint.become_replica_of(candidate)
        asyncio.get_running_loop().create_task(
            self._demote_old_primary(old_primary, candidate))

    async def _demote_old_primary(self, old_primary, candidate):
        await asyncio.sleep(1.0)
        while old_primary.isolated:
            await asyncio.sleep(0.1)
        if old_primary.term < candidate.term:
            old_primary.become_replica_of(candidate)


class Connection:
    """One connection that an endpoint has accepted."""

    def __init__(self):
        self.values = {}
        self.prepared = {}
        # Query ids of the writes of the open transaction; None outside a
        # transaction.
        self.open_writes = None
        self.read_only = False
        self.transaction_failed = False
        # Attempt that runs in the open transaction; set by GuaranteeChecker.
        self.transaction_attempt = None
        # Second answers that are sent while the next statement runs.
        self.held_answers = []

    def end_transaction(self):
        self.open_writes = None
        self.transaction_failed = False
        self.transaction_attempt = None


class Endpoint:
    """One database process. `log` holds the received commits; reads see the
    first `applied` of them."""

    # Maximum length of a received line.
    READ_LIMIT_BYTES = 1 << 20

    def __init__(self, group, name, slots=3, connections=24):
        self.group = group
        self.name = name
        self.slots = slots
        self.max_connections = connections
        # Start time of the process in ms since the Unix epoch.
        self.born = 0
        self.sequence = 0
        self.log = []
        self.applied = 0
        self.term = 1
        self.is_primary = False
        self.running = False
        # Never starts again.
        self.lost = False
        self.draining = False
        self.work_factor = 1.0
        self.lag_factor = 1.0
        # Receives no commits from other endpoints and is not demoted.
        self.isolated = False
        # Receives no commits from other endpoints.
        self.deaf = False
        # Answers STATUS with BUSY, and states no position in it.
        self.refuses_status = False
        # Share of the statements with a query id after which the connection
        # is closed without a reply. The statement itself has run.
        self.reply_loss_ratio = 0.0
        # AnswerFaults in force; the last one applies.
        self.answer_faults = []
        # Reads return several rows, each long enough for the proxy to compare.
        self.returns_long_rows = False
        self.port = 0
        self.server = None
        self.writers = set()
        self.semaphore = None
        self.queued_statements = 0
        group.endpoints.append(self)

    async def start(self):
        if self.lost:
            return
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=self.READ_LIMIT_BYTES)
        self.port = self.server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.semaphore = asyncio.Semaphore(self.slots)
        self.queued_statements = 0
        self.draining = False
        self.running = True
        if self.group.current_primary is not self:
            self.become_replica_of(self.group.current_primary)
            return
        for other in self.group.endpoints:
            if other.running and not other.is_primary and not other.isolated:
                other.become_replica_of(self)

    async def crash(self):
        self.running = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def become_primary(self, term):
        self.term = term
        self.is_primary = True
        self.applied = len(self.log)

    def become_replica_of(self, primary):
        self.is_primary = False
        if not primary.running:
            return
        self.term = primary.term
        common_length = 0
        for own_commit, other in zip(self.log, primary.log):
            if own_commit is not other:
                break
            common_length += 1
        del self.log[common_length:]
        self.applied = min(self.applied, common_length)
        if not self.isolated and self.running:
            self.receive(primary, primary.log[common_length:])

    def receive(self, primary, commits):
        if self.isolated or self.deaf or not self.running or \
                not primary.running or self.is_primary or \
                self.term != primary.term:
            return
        missing = primary.log[len(self.log):]
        if len(missing) < len(commits):
            return
        self.log.extend(missing)
        lag = self.group.lag_s * self.lag_factor * \
            self.group.rng.uniform(.5, 2)
        asyncio.get_running_loop().call_later(
            lag, self._set_applied, len(self.log), self.term)

    def _set_applied(self, count, term):
        if term == self.term:
            self.applied = max(self.applied, min(count, len(self.log)))

    def has_applied(self, commit):
        index = commit.log_index - 1
        return index < self.applied and self.log[index] is commit

    def position(self):
        log = self.log[:self.applied]
        return f"{log[-1].term}.{len(log)}" if log else f"{1}.0"

    def received_position(self):
        return f"{self.log[-1].term}.{len(self.log)}" if self.log else "1.0"

    async def _commit(self, query_ids):
        """Returns when the commit may be acknowledged."""
        commit = Commit(self.group, self.term, len(self.log) + 1,
                        tuple(query_ids), time.monotonic(),
                        self.group.current_primary is not self)
        commit.lost = commit.after_replacement
        self.log.append(commit)
        self.applied = len(self.log)
        self.group.checker.on_commit(commit)
        for other in self.group.endpoints:
            if other is not self:
                asyncio.get_running_loop().call_later(
                    0.002, other.receive, self, [commit])
        while self.running and self._count_holders(commit) < \
                self.group.sync_replicas:
            await asyncio.sleep(0.002)

    def _count_holders(self, commit):
        index = commit.log_index - 1
        return sum(1 for other in self.group.endpoints
                   if other is not self and other.running and
                   len(other.log) > index and other.log[index] is commit)

    async def _serve(self, reader, writer):
        connection = Connection()
        self.writers.add(writer)
        try:
            line = (await reader.readline()).decode().rstrip("\r\n").split(" ")
            wrong_target = (line[0] != "CONNECT" or
                            line[1] != self.group.name or
                            (len(line) > 3 and line[3] != self.name))
            if wrong_target or len(self.writers) > self.max_connections:
                code = "WRONGNODE" if wrong_target else "OVERLOAD"
                writer.write(f"ERROR {code} -\r\n".encode())
                return
            await asyncio.sleep(0.008)
            await self._send(connection, writer,
                             [f"READY I {self.position()}"], "CONNECT")
            while True:
                line = await reader.readline()
                if not line.endswith(b"\r\n"):
                    return
                words = line.decode().rstrip("\r\n").split(" ", 2)
                if words[0] != "QUERY":
                    return
                release(writer, connection.held_answers)
                rows, code, signature = await self._run_statement(
                    connection, words[1], words[2])
                if self.reply_loss_ratio and words[1] != "-" and \
                        self.group.rng.random() < self.reply_loss_ratio:
                    return
                lines = [f"DATAROW {row}" for row in rows]
                lines.append(f"ERROR {code} {self.name}" if code
                             else f"COMPLETE {signature}")
                state = "I" if connection.open_writes is None else \
                    "E" if connection.transaction_failed else "T"
                position = "-" if code == "BUSY" and self.refuses_status \
                    else self.position()
                lines.append(f"READY {state} {position}")
                await self._send(connection, writer, lines,
                                 f"{words[1]} {words[2]}")
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _send(self, connection, writer, lines, name):
        if self.answer_faults:
            port = writer.get_extra_info("peername")[1]
            await self.answer_faults[-1].send(
                writer, lines, f"{self.name} port {port} {name}",
                connection.held_answers)
        else:
            writer.write(
                "".join(line + "\r\n" for line in lines).encode())

    async def _run_statement(self, connection, query_id, text):
        """Returns rows, error code (None for success), and signature."""
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        keyword = text.split(" ", 1)[0]
        if keyword in ("SET", "PREPARE", "RELEASE", "RESET"):
            return self._change_session_state(connection, keyword, text)
        if keyword in ("STATUS", "STEPDOWN"):
            return await self._run_admin_statement(keyword, text)
        if connection.transaction_failed and keyword != "ROLLBACK":
            return [], "MALFORMED", "-"
        if keyword == "ROLLBACK":
            connection.end_transaction()
            return [], None, "-"
        if after is not None and not self._has_reached(after):
            return [], "LAGGING", "-"
        if keyword == "BEGIN":
            read_only = text == "BEGIN READ"
            if not read_only and not self.is_primary:
                return [], "READONLY", "-"
            connection.open_writes = []
            connection.read_only = read_only
            return [], None, "-"
        return await self._run_in_slot(connection, query_id, keyword, text)

    def _has_reached(self, position):
        term, index = (int(part) for part in position.split("."))
        if self.applied < index:
            return False
        return index == 0 or self.log[self.applied - 1].term >= term

    @staticmethod
    def _change_session_state(connection, keyword, text):
        words = text.split(" ", 3)
        if keyword == "RESET":
            connection.values, connection.prepared = {}, {}
        elif keyword == "SET":
            connection.values[words[1]] = text.split(" ", 2)[2]
        elif keyword == "PREPARE":
            connection.prepared[words[1]] = (words[2], words[3])
        else:
            connection.prepared.pop(words[1], None)
        return [], None, "-"

    async def _run_admin_statement(self, keyword, text):
        if keyword == "STATUS" and self.refuses_status:
            return [], "BUSY", "-"
        async with self.semaphore:
            await asyncio.sleep(0.001)
        if keyword == "STEPDOWN" and self.is_primary and \
                self.term < int(text.split()[1]):
            self.is_primary = False
        role = "primary" if self.is_primary else "replica"
        row = (f"{role} {self.term} {self.received_position()} {self.term} 0 "
               f"{self.slots - self.semaphore._value} {len(self.writers)}")
        return [row], None, "-"

    async def _run_in_slot(self, connection, query_id, keyword, text):
        is_write = keyword == "WRITE"
        if keyword == "EXECUTE":
            prepared = connection.prepared.get(text.split(" ", 2)[1])
            if prepared is None:
                return [], "NOSTMT", "-"
            is_write = prepared[0] == "WRITE"
        error = self._not_primary_error(connection, is_write, keyword)
        if error is None and self.queued_statements >= 8 * self.slots:
            error = "BUSY"
        if error is None:
            self.queued_statements += 1
            try:
                async with self.semaphore:
                    await asyncio.sleep(
                        self.work_factor * self.group.rng.uniform(.002, .02))
            finally:
                self.queued_statements -= 1
            error = self._not_primary_error(connection, is_write, keyword)
        if error is not None:
            connection.transaction_failed = connection.open_writes is not None
            return [], error, "-"
        signature = f"{next(SIGNATURE_NUMBERS):x}.{random.getrandbits(32):x}"
        rows = [] if is_write or keyword == "COMMIT" \
            else self._rows(signature)
        self.group.checker.on_executed(self, connection, query_id, text,
                                       signature, rows)
        if keyword == "COMMIT":
            query_ids = connection.open_writes
            connection.end_transaction()
            if query_ids:
                await self._commit(query_ids)
        elif is_write and connection.open_writes is not None:
            connection.open_writes.append(query_id)
        elif is_write:
            await self._commit([query_id])
        return rows, None, signature

    def _rows(self, signature):
        if not self.returns_long_rows:
            return [f"r{signature}"]
        return [f"row-{number}-of-{signature}-of-{self.name}"
                for number in range(
                    1 + int(signature.split(".")[0], 16) % 3)]

    def _not_primary_error(self, connection, is_write, keyword):
        if self.is_primary:
            return None
        if keyword == "COMMIT":
            return "READONLY" if connection.open_writes else None
        in_write_transaction = connection.open_writes is not None and \
            not connection.read_only
        return "READONLY" if is_write or in_write_transaction else None
