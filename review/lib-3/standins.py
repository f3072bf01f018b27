"""Stand-ins of the platform for the cases of review/11 to review/15.

Written from PROTOCOL.md, DEPLOY.md and RULES.md, with the standard library
only. Every address is a loopback address.
"""

import asyncio
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
MAX_MESSAGE_BYTES = 1 << 20
HEARTBEAT_S = 1.2
HANDSHAKE_S = 0.012


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, directory):
        self.start = time.monotonic()
        self.file = open(pathlib.Path(directory) / "record.txt", "w",
                         encoding="utf-8")

    def add(self, *words):
        line = f"{time.monotonic() - self.start:8.3f} " + \
            " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()


# Below the ports that the kernel gives to outgoing connections.
PORTS = iter(random.sample(range(15000, 30000), 12000))


def free_ports(count, adjacent=1):
    """Returns ports that nothing listens on, each with `adjacent` - 1 more."""
    ports = []
    while len(ports) < count:
        port = next(PORTS) // 2 * 2
        sockets = []
        try:
            for offset in range(adjacent):
                sockets.append(socket.socket())
                sockets[-1].bind(("127.0.0.1", port + offset))
            if port not in TAKEN:
                ports.append(port)
                TAKEN.add(port)
        except OSError:
            pass
        finally:
            for s in sockets:
                s.close()
    return ports


TAKEN = set()


# --- the platform's metadata store, and POST /promotion ---


class Store:
    """The objects and their history; the store loses nothing."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()

    def _store(self, kind, name, spec, finalizers, deleted=False):
        self.revision += 1
        old = self.objects.get((kind, name))
        created = old["meta"]["Created"] if old else self.revision
        stored = {"meta": {"Name": name, "Revision": self.revision,
                           "Created": created, "Finalizers": finalizers,
                           "Deleting": False},
                  "spec": spec, "status": {}}
        if deleted:
            self.objects.pop((kind, name), None)
        else:
            self.objects[kind, name] = stored
        self.history.append((self.revision, kind, stored, deleted))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return stored

    def create(self, kind, name, spec):
        if (kind, name) in self.objects:
            return 409, self.objects[kind, name]
        return 201, self._store(kind, name, spec, [])

    def replace(self, kind, name, spec, revision):
        old = self.objects.get((kind, name))
        if old is None:
            return 404, {}
        if revision is not None and revision != old["meta"]["Revision"]:
            return 409, old
        if old["spec"] == spec:
            return 200, old
        return 200, self._store(kind, name, spec, [])

    def put(self, kind, name, spec):
        """A write of the operator or of a backend."""
        if (kind, name) in self.objects:
            return self.replace(kind, name, spec, None)
        return self.create(kind, name, spec)

    def remove(self, kind, name):
        if (kind, name) in self.objects:
            self._store(kind, name, self.objects[kind, name]["spec"], [], True)


class StoreServer:
    """HTTP/1.1 for one machine, so that a case can disrupt it for one."""

    ANSWER_S = 0.004

    def __init__(self, store, groups, record, machine):
        self.store = store
        self.groups = groups
        self.record = record
        self.machine = machine
        self.port = 0
        self.server = None
        # The machine is partitioned from the store: bytes get lost silently.
        self.cut = False
        # When this machine last waited for changes of a kind.
        self.watched_at = {}

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        key, value = line.split(":", 1)
                        headers[key.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query))
                await self._hang_while_cut()
                await asyncio.sleep(self.ANSWER_S)
                status, answer = await self._answer(
                    method, urllib.parse.unquote(path), query, headers, body)
                await self._hang_while_cut()
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _hang_while_cut(self):
        """A connection that lost bytes is silent for good."""
        if self.cut:
            await asyncio.sleep(3600)

    async def _answer(self, method, path, query, headers, body):
        if path == "/promotion" and method == "POST":
            return self._promote(headers, json.loads(body))
        parts = path.strip("/").split("/", 3)
        if parts[:2] != ["-", "objects"] or len(parts) < 3:
            return 404, {}
        kind = parts[2]
        name = parts[3] if len(parts) > 3 else None
        if method == "GET" and name is None:
            if "Watch" in query:
                return await self._watch(kind, query)
            return self._list(kind, query.get("after", ""))
        if method == "GET":
            stored = self.store.objects.get((kind, name))
            return (404, {}) if stored is None else (200, stored)
        if method in ("POST", "PUT"):
            sent = json.loads(body)
            meta = sent.get("meta", {})
            if method == "POST":
                status, stored = self.store.create(
                    kind, meta["Name"], sent["spec"])
            else:
                status, stored = self.store.replace(
                    kind, name, sent["spec"], meta.get("Revision"))
            self.record.add("store", self.machine, method, kind,
                            name or meta.get("Name"), status,
                            json.dumps(sent["spec"], sort_keys=True)[:300])
            return status, stored
        return 404, {}

    def _list(self, kind, after):
        names = sorted(n for k, n in self.store.objects
                       if k == kind and n > after)
        return 200, {"items": [self.store.objects[kind, n]
                               for n in names[:500]],
                     "More": len(names) > 500,
                     "StoreRevision": self.store.revision}

    async def _watch(self, kind, query):
        after = int(query["Watch"])
        self.watched_at[kind] = time.monotonic()
        deadline = time.monotonic() + \
            min(int(query.get("WaitMs", "0")), 30000) / 1000
        while True:
            events = [{"Object": stored, "Deleted": deleted}
                      for revision, k, stored, deleted in self.store.history
                      if revision > after and k == kind]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events,
                             "StoreRevision": self.store.revision}
            try:
                async with asyncio.timeout(left):
                    await self.store.changed.wait()
            except TimeoutError:
                pass

    def _promote(self, headers, body):
        group = self.groups.get(body.get("Service"))
        status = group.promote(body.get("Id")) if group else 409
        self.record.add("promotion", body.get("Service"), body.get("Id"),
                        "holder", headers.get("duty-holder"), "token",
                        headers.get("fencing-token"), status)
        return status, {}


# --- backends ---


class Commit:
    def __init__(self, term, number, ids):
        self.term, self.number, self.ids = term, number, ids


class Session:
    """One connection of a backend."""

    def __init__(self):
        self.values, self.prepared = {}, {}
        self.writes = None  # ids of the open transaction's writes
        self.read_only = False
        self.failed = False

    def state(self):
        if self.writes is None:
            return "I"
        return "E" if self.failed else "T"

    def end(self):
        self.writes, self.failed, self.read_only = None, False, False


class Group:
    """A service: one primary and its replicas."""

    def __init__(self, name, record, lag_s=0.008, promote_s=0.6):
        self.name, self.record = name, record
        self.lag_s, self.promote_s = lag_s, promote_s
        self.backends = []
        self.leader = None
        self.term = 3

    def promote(self, name):
        chosen = next((b for b in self.backends if b.name == name), None)
        if chosen is None or not chosen.running:
            return 409
        if chosen is not self.leader:
            asyncio.get_running_loop().call_later(
                self.promote_s, self._take_over, chosen)
        return 200

    def _take_over(self, chosen):
        if not chosen.running or chosen is self.leader:
            return
        old, self.leader = self.leader, chosen
        self.term += 1
        chosen.term, chosen.is_primary = self.term, True
        chosen.applied = len(chosen.log)
        self.record.add("leads", chosen.name, "term", self.term)
        for backend in self.backends:
            if backend is not chosen and backend is not old:
                backend.follow(chosen)
        asyncio.get_running_loop().call_later(1.0, self._tell_old, old, chosen)

    def _tell_old(self, old, chosen):
        if old.term < chosen.term:
            old.follow(chosen)


class Backend:
    """A database process that speaks the wire protocol."""

    def __init__(self, group, name, zone, slots=5, connections=60,
                 work_s=0.0093):
        self.group, self.name, self.zone = group, name, zone
        self.slots, self.connections, self.work_s = slots, connections, work_s
        self.term, self.log, self.applied = group.term, [], 0
        self.is_primary = False
        self.running = False
        self.port = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.writers = set()
        self.free = asyncio.Semaphore(slots)
        self.queued = 0
        self.signatures = itertools.count(1)
        self.tables = {}  # rows of items that are not the usual ones
        self.arrived = set()  # ids of the requests that reached this backend
        group.backends.append(self)

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=2 * MAX_MESSAGE_BYTES)
        self.port = self.server.sockets[0].getsockname()[1]
        self.running = True

    def entry(self):
        self.sequence += 1
        return {"Service": self.group.name,
                "Address": f"127.0.0.1:{self.port}", "Zone": self.zone,
                "Version": "1", "Slots": self.slots, "State": "ready",
                "ColdRemainingMs": 0, "Sequence": self.sequence,
                "DbRole": "primary" if self.is_primary else "replica",
                "born": self.born}

    def follow(self, leader):
        self.is_primary, self.term = False, leader.term
        same = 0
        for own, other in zip(self.log, leader.log):
            if own is not other:
                break
            same += 1
        del self.log[same:]
        self.applied = min(self.applied, same)
        self.receive(leader)

    def receive(self, leader):
        if self.running and leader.running and self.term == leader.term:
            self.log.extend(leader.log[len(self.log):])
            asyncio.get_running_loop().call_later(
                self.group.lag_s, self._apply, len(self.log), self.term)

    def _apply(self, count, term):
        if term == self.term:
            self.applied = max(self.applied, min(count, len(self.log)))

    @staticmethod
    def _position(log):
        return f"{log[-1].term}.{len(log)}" if log else "1.0"

    def _commit(self, ids):
        self.log.append(Commit(self.term, len(self.log) + 1, tuple(ids)))
        self.applied = len(self.log)
        self.group.record.add("commit", self.name, "term", self.term, *ids)
        for other in self.group.backends:
            if other is not self:
                asyncio.get_running_loop().call_later(
                    0.002, other.receive, self)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        session = Session()
        try:
            words = (await reader.readline()).decode().split()
            if words[:2] != ["CONNECT", self.group.name] or \
                    (len(words) > 3 and words[3] != self.name):
                writer.write(f"ERROR WRONGNODE {self.name}\r\n".encode())
                return
            if len(self.writers) > self.connections:
                writer.write(f"ERROR OVERLOAD {self.name}\r\n".encode())
                return
            await asyncio.sleep(HANDSHAKE_S)
            writer.write(
                f"READY I {self._position(self.log[:self.applied])}\r\n"
                .encode())
            while True:
                line = await reader.readline()
                if not line.endswith(b"\r\n") or not line.startswith(b"QUERY"):
                    return
                _, query, text = line[:-2].decode().split(" ", 2)
                if query != "-":
                    self.arrived.add(query)
                rows, code, signature = await self._run(session, query, text)
                if code and session.writes is not None and \
                        code not in ("BUSY", "LAGGING"):
                    session.failed = True
                for row in rows:
                    writer.write(b"DATAROW " + row.encode() + b"\r\n")
                writer.write((f"ERROR {code} {self.name}\r\n" if code else
                              f"COMPLETE {signature}\r\n").encode())
                position = self._position(self.log[:self.applied])
                writer.write(
                    f"READY {session.state()} {position}\r\n".encode())
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError,
                ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _run(self, session, query, text):
        """Returns rows, error code or None, signature."""
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        word, _, rest = text.partition(" ")
        if word == "RESET":
            session.values, session.prepared = {}, {}
            return [], None, "-"
        if word == "SET":
            name, _, value = rest.partition(" ")
            session.values[name] = value
            return [], None, "-"
        if word == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            session.prepared[name] = (access, shape)
            return [], None, "-"
        if word == "RELEASE":
            known = session.prepared.pop(rest, None)
            return [], None if known else "NOSTMT", "-"
        if word in ("STATUS", "STEPDOWN"):
            return await self._status(word, rest)
        if word == "ROLLBACK":
            session.end()
            return [], None, "-"
        if session.failed:
            return [], "MALFORMED", "-"
        if after is not None and not self._has(after):
            return [], "LAGGING", "-"
        if word == "BEGIN":
            if rest != "READ" and not self.is_primary:
                return [], "READONLY", "-"
            session.writes, session.read_only = [], rest == "READ"
            return [], None, "-"
        return await self._run_in_slot(session, query, word, rest, text)

    def _has(self, after):
        term, number = (int(part) for part in after.split("."))
        if number == 0:
            return True
        return self.applied >= number and \
            self.log[self.applied - 1].term >= term

    async def _status(self, word, rest):
        async with self.free:
            await asyncio.sleep(0.001)
        if word == "STEPDOWN" and self.is_primary and self.term < int(rest):
            self.is_primary = False
        role = "primary" if self.is_primary else "replica"
        busy = self.slots - self.free._value
        return [f"{role} {self.term} {self._position(self.log)} {self.term} "
                f"0 {busy} {len(self.writers)}"], None, "-"

    def _refusal(self, session, word, writes):
        if self.is_primary:
            return None
        if word == "COMMIT":
            return "READONLY" if session.writes else None
        plain = session.writes is not None and not session.read_only
        return "READONLY" if writes or plain else None

    async def _run_in_slot(self, session, query, word, rest, text):
        writes = word == "WRITE"
        item = rest.split(" ", 1)[0]
        if word == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            if name not in session.prepared:
                return [], "NOSTMT", "-"
            writes = session.prepared[name][0] == "WRITE"
            item = arguments.split(" ", 1)[0]
        code = self._refusal(session, word, writes)
        if code is None and self.queued >= 8 * self.slots:
            code = "BUSY"
        if code:
            return [], code, "-"
        self.queued += 1
        try:
            async with self.free:
                await asyncio.sleep(self.work_s)
        finally:
            self.queued -= 1
        code = self._refusal(session, word, writes)
        if code:
            return [], code, "-"
        self.group.record.add("run", self.name, query, text[:60])
        if word == "COMMIT":
            ids = session.writes or []
            session.end()
            if ids:
                self._commit(ids)
        elif writes and session.writes is not None:
            session.writes.append(query)
        elif writes:
            self._commit([query])
        rows = [] if writes or word == "COMMIT" else \
            self.tables.get(item) or [f"v-{item}-{self.applied}"]
        return rows, None, f"{next(self.signatures)}.{self.name}.{query}"


# --- machines ---


class Machine:
    """A machine with the session proxy of the deploy file."""

    def __init__(self, name, zone, directory, run):
        self.name, self.zone, self.run = name, zone, run
        self.directory = pathlib.Path(directory)
        self.front, self.ready, self.admin = free_ports(3)
        # Relayed sessions arrive at the next port.
        self.peer = free_ports(1, adjacent=2)[0]
        self.store = None
        self.process = None

    def write_settings(self, bounds):
        """The text that deploy/proxy.toml.template gives."""
        path = self.directory / f"{self.name}.toml"
        address = f"127.0.0.1:{self.store.port}"
        path.write_text(
            f'vm = "{self.name}"\ndata_centre = "{self.zone}"\n'
            f'region = "region-{self.zone}"\n'
            f'caller_address = "127.0.0.1:{self.front}"\n'
            f'ready_address = "127.0.0.1:{self.ready}"\n'
            f'peer_address = "127.0.0.1:{self.peer}"\n'
            f'admin_address = "127.0.0.1:{self.admin}"\n'
            f'platform_address = "{address}"\n'
            f'promotion_address = "{address}"\n'
            f'shutdown_grace_s = {bounds["GraceS"]}\n'
            'cpu_share = 0.25\nlink_mbps = 1000.0\nmemory_mb = 260\n')
        return path

    async def start(self, bounds):
        words = self.run.split()
        words[words.index("--settings") + 1] = str(self.write_settings(bounds))
        log = open(self.directory / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=REPOSITORY, stdout=log, stderr=log)
        log.close()

    def running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.running():
            try:
                os.kill(self.process.pid, number)
            except ProcessLookupError:
                pass

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.ready)
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: a\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False


class Deployment:
    """The machines of kw-hirehub and one service of three backends."""

    BOUNDS = {"GraceS": 6}
    ZONES = ["zrh-a", "gva-a", "lug-a"]

    def __init__(self, record, machines=(4, 3, 2), service="hire-core"):
        self.record = record
        self.directory = tempfile.mkdtemp(prefix="review-")
        deploy = tomllib.loads(
            (REPOSITORY / "deploy/system.toml").read_text())
        run = deploy["roles"]["proxy"]["run"]
        self.service = service
        self.store = Store(record)
        self.group = Group(service, record)
        self.groups = {service: self.group}
        self.machines = [
            Machine(f"front-{zone}-{number}", zone, self.directory, run)
            for zone, count in zip(self.ZONES, machines)
            for number in range(1, count + 1)]
        self.tasks = []
        self.version = 4
        self.routes = [
            self.route("p1", "primary"),
            self.route("b1", "bounded_staleness"),
            self.route("r1", "read_your_writes")]

    def route(self, host, kind, timeout_ms=3000):
        return {"Host": host, "Service": self.service, "Kind": kind,
                "MaxStalenessMs": 1500, "TimeoutMs": timeout_ms,
                "SloMs": 1000, "Priority": 1}

    def write_config(self):
        self.version += 3
        self.store.put("config", "main", {
            "Version": self.version, "Routes": self.routes,
            "Services": [{"Name": self.service, "MaxConnections": 60,
                          "SyncReplicas": 0}],
            "Limits": {"TxIdleMs": 5000}})
        self.record.add("config", self.version, "acknowledged")

    async def start(self, first=()):
        """The machines named in `first` start 0.25 s before the others."""
        for i, zone in enumerate(self.ZONES):
            backend = Backend(self.group, f"i-{i}a4c{i}e7f", zone)
            if i == 0:
                self.group.leader, backend.is_primary = backend, True
            await backend.start()
            self.tasks.append(asyncio.create_task(self._beat(backend)))
        self.write_config()
        for machine in self.machines:
            machine.store = StoreServer(self.store, self.groups, self.record,
                                        machine.name)
            await machine.store.start()
        for early in (True, False):
            for machine in self.machines:
                if (machine.name in first) == early:
                    await machine.start(self.BOUNDS)
            if first and early:
                await asyncio.sleep(0.25)

    async def _beat(self, backend):
        """The entry changes when more than its sequence changes."""
        shown = None
        while True:
            if backend.running:
                entry = backend.entry()
                content = {k: v for k, v in entry.items() if k != "Sequence"}
                if content != shown:
                    shown = content
                    self.store.put("servers", backend.name, entry)
            await asyncio.sleep(0.1)

    async def wait_until_ready(self, seconds=15):
        """True once all machines are ready and serve the database."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            states = [await m.is_ready() for m in self.machines]
            if all(states) and await self._serves():
                return True
            await asyncio.sleep(0.2)
        return False

    async def _serves(self):
        for machine in self.machines:
            try:
                async with asyncio.timeout(2):
                    client = await Client.open(machine.front, "p1")
                    answer = await client.query("0a1b2c3d4e5f6071", "READ 1a4")
                    client.close()
                    if answer[-2].startswith("ERROR"):
                        return False
            except (OSError, TimeoutError, EOFError):
                return False
        return True

    def leader(self):
        """The machine that the leader record names."""
        stored = self.store.objects.get(("carawayhaven", "duty"))
        return stored["spec"]["holder"] if stored else None

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
            if machine.process is not None:
                await machine.process.wait()
        if "KEEP" in os.environ:
            return
        shutil.rmtree(self.directory, ignore_errors=True)


class Balancer:
    """The platform's choice of the machine for a new connection."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.misses = {m.name: 0 for m in deployment.machines}
        self.tasks = [asyncio.create_task(self._ask(m))
                      for m in deployment.machines]

    async def _ask(self, machine):
        while True:
            ready = await machine.is_ready()
            self.misses[machine.name] = \
                0 if ready else self.misses[machine.name] + 1
            await asyncio.sleep(1)

    def machines(self, zone):
        """The machines that get new connections of the zone's clients."""
        own = [m for m in self.deployment.machines if m.zone == zone]
        used = [m for m in own if self.misses[m.name] < 2]
        if not used:
            return [m for m in self.deployment.machines
                    if self.misses[m.name] < 2]
        return own if 2 * len(used) < len(own) else used

    def stop(self):
        for task in self.tasks:
            task.cancel()


# --- clients ---


class Client:
    """A session of a client."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, port, database):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", port, limit=2 * MAX_MESSAGE_BYTES)
        writer.write(f"CONNECT {database} u3f1\r\n".encode())
        line = await reader.readline()
        if not line.startswith(b"READY I"):
            writer.close()
            raise OSError(line.decode())
        return cls(reader, writer)

    async def query(self, query, text):
        """Returns the lines of the answer."""
        self.writer.write(f"QUERY {query} {text}\r\n".encode())
        lines = []
        while True:
            line = await self.reader.readline()
            if not line.endswith(b"\r\n"):
                raise EOFError(lines)
            lines.append(line[:-2].decode())
            if line.startswith(b"READY "):
                return lines

    def close(self):
        self.writer.close()


def query_ids(prefix):
    return (f"{prefix}{number:012x}" for number in itertools.count(1))


def run_case(case, directory):
    """Runs `case(record, trouble)`; it returns True if the rule held, False if
    it was broken and None if it could not be shown either way."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(directory)
    record.add("trouble", trouble)
    try:
        held = asyncio.run(
            asyncio.wait_for(case(record, trouble), timeout=110))
    except Exception as error:  # The case could not run.
        record.add("could not run:", repr(error))
        held = None
    code = 2 if held is None else 0 if held else 1
    record.add("result", {0: "held", 1: "BROKEN", 2: "could not run"}[code])
    sys.exit(code)
