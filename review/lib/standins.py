"""Stand-ins for the scripts of this review: the platform's store, the promotion
service, database backends and clients, as the users' pages describe them.

Only the standard library is used. All of them run in one process and on one
clock, so that the checks can compare what clients, backends and the platform
have seen. The proxies are separate processes, started with the command and the
settings template of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
STORE_DELAY_S = 0.004
GRACE_S = 6


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        at = time.monotonic() - self.started_at
        self.file.write(f"{at:8.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


# Ports that were given out and may not be bound yet.
TAKEN_PORTS = set()


def free_ports(*offsets):
    """Returns a port such that this port plus each offset is free."""
    for _ in range(200):
        base = random.randrange(20000, 32000)
        if TAKEN_PORTS & {base + offset for offset in offsets}:
            continue
        sockets = []
        try:
            for offset in offsets:
                s = socket.socket()
                sockets.append(s)
                s.bind((HOST, base + offset))
            TAKEN_PORTS.update(base + offset for offset in offsets)
            return base
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
    raise CannotRun("no free ports")


# ---------------------------------------------------------------- the store


class Store:
    """The platform's store and the service that takes promotions."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.promote = None
        self.server = None
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def set(self, kind, name, spec):
        """A write of the operator or of a backend."""
        old = self.objects.get((kind, name))
        if old is None or old["spec"] != spec:
            self._store(kind, name, spec, old)

    def remove(self, kind, name):
        old = self.objects.pop((kind, name), None)
        if old is not None:
            self.revision += 1
            self._note(kind, old, True)

    def _store(self, kind, name, spec, old):
        self.revision += 1
        created = old["meta"]["Created"] if old else self.revision
        entry = {"meta": {"Name": name, "Revision": self.revision,
                          "Created": created, "Finalizers": [],
                          "Deleting": False}, "spec": spec, "status": {}}
        self.objects[kind, name] = entry
        self._note(kind, entry, False)
        return entry

    def _note(self, kind, entry, deleted):
        self.history.append((self.revision, kind, entry, deleted))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                await asyncio.sleep(STORE_DELAY_S)
                status, answer = await self._answer(
                    method, target, headers, body)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/promotion" and method == "POST":
            order = json.loads(body)
            token = int(headers["fencing-token"])
            holder = headers["duty-holder"]
            status = self.promote(order["Service"], order["Id"])
            self.record.write(f"promotion of {order['Id']} ordered by {holder} "
                              f"with token {token}: {status}")
            return status, {}
        words = [urllib.parse.unquote(w) for w in url.path.split("/")[3:]]
        if not url.path.startswith("/-/objects/") or not words:
            return 404, {}
        kind = words[0]
        if len(words) == 1 and method == "GET":
            if "Watch" in query:
                return await self._watch(kind, int(query["Watch"]),
                                         int(query.get("WaitMs", "0")))
            items = [self.objects[key] for key in sorted(self.objects)
                     if key[0] == kind and key[1] > query.get("after", "")]
            return 200, {"items": items[:500], "More": len(items) > 500,
                         "StoreRevision": self.revision}
        content = json.loads(body) if body else {}
        meta = content.get("meta", {})
        name = words[1] if len(words) > 1 else meta.get("Name", "")
        old = self.objects.get((kind, name))
        if method == "GET":
            return (200, old) if old else (404, {})
        if method == "POST":
            if old:
                return 409, old
            return 201, self._store(kind, name, content["spec"], None)
        if old is None:
            return 404, {}
        expected = meta.get("Revision", query.get("Revision"))
        if expected is not None and int(expected) != old["meta"]["Revision"]:
            return 409, old
        if method == "DELETE":
            self.remove(kind, name)
            return 200, old
        if old["spec"] == content["spec"]:
            return 200, old
        return 200, self._store(kind, name, content["spec"], old)

    async def _watch(self, kind, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [{"Object": entry, "Deleted": deleted}
                      for at, k, entry, deleted in self.history
                      if at > after and k == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ------------------------------------------------------------- the backends


class Commit:
    """A commit with writes."""

    def __init__(self, term, number, ids, at):
        self.term = term
        self.number = number
        self.ids = ids
        self.committed_at = at
        # When a client received the success.
        self.acked_at = None
        self.rolled_back = False

    def __str__(self):
        return f"{self.term}.{self.number}"


class Group:
    """The backends of one service."""

    def __init__(self, store, record, name, sync=0, promote_s=1.0,
                 net_s=0.012, lag_s=0.02):
        self.store = store
        self.record = record
        self.name = name
        self.sync = sync
        self.promote_s = promote_s
        self.net_s = net_s
        self.lag_s = lag_s
        self.backends = []
        self.primary = None
        self.commits = {}
        self.on_read = None
        self.on_promoted = None
        store.promote = self.promote

    def promote(self, service, name):
        chosen = next((b for b in self.backends if b.name == name), None)
        if service != self.name or chosen is None or not chosen.running:
            return 409
        if chosen is not self.primary:
            asyncio.get_running_loop().call_later(
                self.promote_s, self._promoted, chosen)
        return 200

    def _promoted(self, chosen):
        if not chosen.running or chosen is self.primary:
            return
        old = self.primary
        self.record.write(
            f"{chosen.name} leads term {old.term + 1} with "
            f"{len(chosen.log)} commits; {old.name} has {len(old.log)}")
        if self.on_promoted:
            self.on_promoted(old, chosen)
        for commit in old.log[len(chosen.log):]:
            commit.rolled_back = True
        chosen.term = old.term + 1
        chosen.role = "primary"
        chosen.applied = len(chosen.log)
        self.primary = chosen
        chosen.publish()
        for backend in self.backends:
            if backend is not chosen and backend.running:
                if backend is old:
                    asyncio.get_running_loop().call_later(
                        1.0, backend.follow, chosen)
                else:
                    backend.follow(chosen)


class Backend:
    """One database process: 3 slots, 21 connections, 12 ms a connection."""

    def __init__(self, group, name, zone, slots=3, connections=21, queue=24):
        self.group = group
        self.name = name
        self.zone = zone
        self.slots = slots
        self.max_connections = connections
        self.max_queue = queue
        self.role = "replica"
        self.term = 1
        self.log = []
        self.applied = 0
        self.running = False
        self.draining = False
        self.deaf = False
        self.lag_x = 1.0
        self.work_x = 1.0
        self.port = 0
        self.server = None
        self.writers = set()
        self.busy = 0
        self.waiting = []
        self.born = 0
        self.sequence = 0
        # Whether the READY line after BUSY has "-" in place of a position.
        self.busy_without_position = False
        # Whether STATUS waits for a slot like a statement, and is answered with
        # BUSY only when the queue is full.
        self.status_waits = False
        self.status_counts = {"row": 0, "busy": 0}
        group.backends.append(self)

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=1 << 21)
        self.port = self.server.sockets[0].getsockname()[1]
        self.running = True
        self.busy = 0
        self.waiting = []
        self.born = int(time.time() * 1000)
        self.sequence = 0
        if self.group.primary not in (None, self):
            self.follow(self.group.primary)
        self.publish()

    def crash(self):
        self.group.record.write(f"{self.name} crashes")
        self.running = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def publish(self):
        if not self.running:
            return
        self.sequence += 1
        self.group.store.set("servers", self.name, {
            "Service": self.group.name, "Address": f"{HOST}:{self.port}",
            "Zone": self.zone, "Version": "1", "Slots": self.slots,
            "State": "draining" if self.draining else "ready",
            "ColdRemainingMs": 0, "Sequence": self.sequence,
            "DbRole": self.role, "born": self.born})

    async def heartbeats(self):
        silent_since = None
        while True:
            await asyncio.sleep(1.2)
            if self.running:
                silent_since = None
                self.publish()
            else:
                silent_since = silent_since or time.monotonic()
                if time.monotonic() - silent_since > 3.6:
                    self.group.store.remove("servers", self.name)

    # Replication.

    def follow(self, primary):
        """Becomes a replica; what the primary doesn't have is rolled back."""
        if not self.running or primary is self:
            return
        self.role = "replica"
        self.term = primary.term
        common = 0
        for own, other in zip(self.log, primary.log):
            if own is not other:
                break
            common += 1
        for commit in self.log[common:]:
            commit.rolled_back = True
        del self.log[common:]
        self.applied = min(self.applied, common)
        self.receive(primary)
        self.publish()

    def receive(self, primary):
        """Receives all that the primary has and this backend lacks."""
        if self.deaf or not self.running or self.role != "replica" or \
                primary.term != self.term or not primary.running:
            return
        missing = primary.log[len(self.log):]
        if not missing:
            return
        self.log.extend(missing)
        lag = self.group.lag_s * self.lag_x * random.uniform(0.9, 1.1)
        asyncio.get_running_loop().call_later(
            lag, self._apply, len(self.log), self.term)

    def _apply(self, count, term):
        if term == self.term:
            self.applied = max(self.applied, min(count, len(self.log)))

    def log_of_primary(self):
        return self.group.primary.log

    def position(self):
        log = self.log[:self.applied]
        return f"{log[-1].term}.{len(log)}" if log else "1.0"

    def received(self):
        return f"{self.log[-1].term}.{len(self.log)}" if self.log else "1.0"

    def _has(self, position):
        term, number = (int(word) for word in position.split("."))
        if self.applied < number:
            return False
        return number == 0 or self.log[self.applied - 1].term >= term

    async def _commit(self, ids):
        """Returns once the commit may be acknowledged."""
        commit = Commit(self.term, len(self.log) + 1, ids, time.monotonic())
        self.log.append(commit)
        self.applied = len(self.log)
        self.group.commits.update((i, commit) for i in ids)
        loop = asyncio.get_running_loop()
        for other in self.group.backends:
            if other is not self:
                loop.call_later(self.group.net_s, other.receive, self)
        if self.group.sync:
            while self.running and not any(
                    commit in other.log[-200:] for other in self.group.backends
                    if other is not self and other.running):
                await asyncio.sleep(0.002)
            # The way back of the replica's receipt.
            await asyncio.sleep(self.group.net_s)

    # Connections.

    async def _take_slot(self):
        """Waits for a slot; False when the queue is full."""
        if self.busy < self.slots:
            self.busy += 1
            return True
        if len(self.waiting) >= self.max_queue:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self.waiting:
                self.waiting.remove(turn)
            raise
        return True

    def _free_slot(self):
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.busy -= 1

    async def _serve(self, reader, writer):
        connection = {"values": {}, "prepared": {}, "tx": None, "failed": False,
                      "read_only": False}
        self.writers.add(writer)
        try:
            line = (await reader.readline()).decode().rstrip("\r\n").split(" ")
            if line[0] != "CONNECT" or line[1] != self.group.name or \
                    (len(line) > 3 and line[3] != self.name):
                writer.write(b"ERROR WRONGNODE -\r\n")
                return
            if len(self.writers) > self.max_connections:
                writer.write(b"ERROR OVERLOAD -\r\n")
                return
            await asyncio.sleep(0.012)
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                line = await reader.readline()
                if not line.endswith(b"\r\n") or not line.startswith(b"QUERY "):
                    return
                _, query_id, text = line.decode().rstrip("\r\n").split(" ", 2)
                rows, code, signature = await self._run(
                    connection, query_id, text)
                if not self.running:
                    return
                state = "I" if connection["tx"] is None else \
                    "E" if connection["failed"] else "T"
                position = self.position()
                if code == "BUSY" and self.busy_without_position:
                    position = "-"
                answer = "".join(f"DATAROW {row}\r\n" for row in rows)
                answer += f"ERROR {code} {self.name}\r\n" if code else \
                    f"COMPLETE {signature}\r\n"
                answer += f"READY {state} {position}\r\n"
                writer.write(answer.encode())
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _run(self, connection, query_id, text):
        """Returns rows, error code (None for a success) and signature."""
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        word = text.split(" ", 1)[0]
        if word in ("STATUS", "STEPDOWN"):
            return await self._admin(word, text)
        if word == "RESET":
            connection["values"], connection["prepared"] = {}, {}
            return [], None, "-"
        if word == "SET":
            _, name, value = text.split(" ", 2)
            connection["values"][name] = value
            return [], None, "-"
        if word == "PREPARE":
            _, name, access, shape = text.split(" ", 3)
            connection["prepared"][name] = (access, shape)
            return [], None, "-"
        if word == "ROLLBACK":
            connection["tx"], connection["failed"] = None, False
            return [], None, "-"
        if connection["failed"]:
            return [], "MALFORMED", "-"
        if after and not self._has(after):
            return [], "LAGGING", "-"
        if word == "BEGIN":
            read_only = text == "BEGIN READ"
            if not read_only and self.role != "primary":
                return [], "READONLY", "-"
            connection["tx"], connection["read_only"] = [], read_only
            return [], None, "-"
        return await self._work(connection, query_id, word, text, after)

    async def _admin(self, word, text):
        # STATUS takes a slot, or is answered with BUSY.
        if self.status_waits:
            has_slot = await self._take_slot()
        else:
            has_slot = self.busy < self.slots
            self.busy += has_slot
        if not has_slot:
            self.status_counts["busy"] += 1
            return [], "BUSY", "-"
        await asyncio.sleep(0.001)
        self._free_slot()
        self.status_counts["row"] += 1
        if word == "STEPDOWN" and self.role == "primary" and \
                int(text.split()[1]) > self.term:
            self.role = "replica"
            self.publish()
        row = (f"{self.role} {self.term} {self.received()} {self.term} 0 "
               f"{self.busy} {len(self.writers)}")
        return [row], None, "-"

    def _refusal(self, connection, writes, word):
        if self.role == "primary":
            return None
        if word == "COMMIT":
            return "READONLY" if connection["tx"] else None
        plain = connection["tx"] is not None and not connection["read_only"]
        return "READONLY" if writes or plain else None

    async def _work(self, connection, query_id, word, text, after):
        writes = word == "WRITE"
        if word == "EXECUTE":
            prepared = connection["prepared"].get(text.split(" ", 2)[1])
            if prepared is None:
                return [], "NOSTMT", "-"
            writes = prepared[0] == "WRITE"
        code = self._refusal(connection, writes, word)
        if code is None and not await self._take_slot():
            code = "BUSY"
        elif code is None:
            mean_s = 0.0068 if writes or word == "COMMIT" else 0.03
            await asyncio.sleep(
                self.work_x * mean_s * random.uniform(0.6, 1.4))
            self._free_slot()
            code = self._refusal(connection, writes, word)
        if code is not None:
            connection["failed"] = connection["tx"] is not None
            return [], code, "-"
        signature = f"{self.name}.{random.getrandbits(48):x}"
        self.group.record.write(
            f"{self.name} runs {query_id} {text}"
            f"{' after ' + after if after else ''} at {self.position()}")
        if word == "COMMIT":
            ids, connection["tx"] = connection["tx"], None
            if ids:
                await self._commit(ids)
            return [], None, signature
        if writes and connection["tx"] is not None:
            connection["tx"].append(query_id)
            return [], None, signature
        if writes:
            await self._commit([query_id])
            return [], None, signature
        if self.group.on_read:
            self.group.on_read(self, query_id, connection["tx"] is not None)
        return [f"r{signature}"], None, signature


# ------------------------------------------------------------------ proxies


def render(template, fields):
    """Fills in the placeholders of the settings template."""

    def value_of(match):
        value = fields
        for part in match.group(1).strip().split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return str(value)

    return re.sub(r"\{\{([^}]*)\}\}", value_of, template)


class Vm:
    """A machine with its proxy, started with the command of the deploy file."""

    def __init__(self, name, zone, directory, store):
        self.name = name
        self.zone = zone
        self.directory = directory
        base = free_ports(0, 1, 2, 3, 4, 5)
        self.front, self.ready = base, base + 1
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["proxy"]
        settings = directory / f"{name}.toml"
        settings.write_text(render((ROOT / role["template"]).read_text(), {
            "NodeName": name, "Zone": zone, "Region": f"r-{zone}", "Ip": HOST,
            "Listen": {"Front": f"{HOST}:{self.front}",
                       "Ready": f"{HOST}:{self.ready}"},
            "InternalPorts": [base + 3, base + 5],
            "platform": {"Address": store.address},
            "Cloud": {"Address": store.address},
            "Bounds": {"GraceS": GRACE_S}}))
        words = role["run"].split()
        self.command = [str(ROOT / words[0])] + [
            str(settings) if w == "/etc/carawayhaven/boot.json" else w
            for w in words[1:]]
        self.process = None
        self.log = None

    async def start(self):
        if not os.path.exists(self.command[0]):
            raise CannotRun(f"{self.command[0]} is not built")
        self.log = open(self.directory / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.command, stdout=self.log, stderr=self.log, cwd=ROOT)

    def signal(self, number):
        if self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()
        if self.log is not None:
            self.log.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: vm\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Deployment:
    """Store, one service with three backends, six proxies in three zones."""

    ZONES = ["mendoza", "cordoba", "parana"]

    def __init__(self, record, sync=0, vms=6):
        self.record = record
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(record)
        self.sync = sync
        self.vm_count = vms
        self.vms = []
        self.group = None
        self.backends = []
        self.tasks = []
        self.config_version = 7

    async def start(self):
        await self.store.start()
        self.group = Group(self.store, self.record, "dahu75a", sync=self.sync)
        for number, zone in enumerate(self.ZONES):
            backend = Backend(self.group, f"i-{number + 1}", zone)
            if self.group.primary is None:
                self.group.primary = backend
                backend.role = "primary"
            await backend.start()
            self.backends.append(backend)
            self.spawn(backend.heartbeats())
        self.write_config()
        for number in range(self.vm_count):
            zone = self.ZONES[number % 3]
            self.vms.append(Vm(f"front-{zone}-{number // 3 + 1}", zone,
                               self.directory, self.store))
        for vm in self.vms:
            await vm.start()
        end = time.monotonic() + 25
        while not all([await vm.is_ready() for vm in self.vms]):
            if time.monotonic() > end:
                raise CannotRun("the proxies are not ready within 25 s")
            await asyncio.sleep(0.3)

    def write_config(self):
        self.config_version += 3
        limits = {"primary": (1000, 0, 500, 1),
                  "bounded_staleness": (2000, 1500, 1000, 2),
                  "read_your_writes": (1000, 2500, 1000, 2)}
        self.store.set("config", "main", {
            "Version": self.config_version,
            "Routes": [{"Name": kind, "Host": kind, "Service": "dahu75a",
                        "Kind": kind, "TimeoutMs": timeout,
                        "MaxStalenessMs": age, "SloMs": slo,
                        "Priority": priority}
                       for kind, (timeout, age, slo, priority)
                       in limits.items()],
            "Services": [{"Name": "dahu75a", "MaxConnections": 21,
                          "SyncReplicas": self.sync}],
            "Limits": {"TxIdleMs": 3000}})

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for vm in self.vms:
            await vm.stop()
        for backend in self.backends:
            if backend.running:
                backend.crash()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)


# ------------------------------------------------------------------ clients

IDS = itertools.count(1)


class SessionEnded(Exception):
    """The connection ended, or no answer came in time."""


class Session:
    """A client's session with one proxy."""

    def __init__(self, record, vm, database):
        self.record = record
        self.vm = vm
        self.database = database
        self.reader = self.writer = None
        self.state = "I"

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(HOST, self.vm.front), 2)
        self.writer.write(f"CONNECT {self.database} review\r\n".encode())
        if not (await self._line(2)).startswith("READY"):
            raise SessionEnded

    async def query(self, text, query_id=None):
        """Returns id, rows, error code (None for a success), signature."""
        query_id = query_id or f"{next(IDS):016x}"
        self.record.write(f"{query_id} sent to {self.vm.name} "
                          f"({self.database}): {text}")
        self.writer.write(f"QUERY {query_id} {text}\r\n".encode())
        rows, code, signature = [], None, "-"
        while True:
            word, _, rest = (await self._line(8)).partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            elif word == "ERROR":
                code = rest.split(" ")[0]
            elif word == "READY":
                self.state = rest.split(" ")[0]
                self.record.write(f"{query_id} answered: {code or 'success'}")
                return query_id, rows, code, signature

    async def _line(self, seconds):
        try:
            line = await asyncio.wait_for(self.reader.readline(), seconds)
        except (asyncio.TimeoutError, ConnectionError, OSError):
            raise SessionEnded from None
        if not line.endswith(b"\r\n"):
            raise SessionEnded
        return line.decode().rstrip("\r\n")

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()


class Load:
    """Clients that come at a rate and reuse open sessions, one operation each.

    An operation is tried again twice after a refusal, as the pages say."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.idle = {}
        self.sent_at = {}
        self.database_of = {}
        self.counts = {}

    async def arrivals(self, database, per_s, text):
        while True:
            await asyncio.sleep(random.expovariate(per_s))
            self.deployment.spawn(self._operation(database, text()))
            if len(self.deployment.tasks) > 4000:
                self.deployment.tasks = [
                    t for t in self.deployment.tasks if not t.done()]

    def start(self, busy_hour=1.55):
        """Starts clients at the rates of the site file, for one of its three
        services, at the crest of the wave."""
        def item():
            return f"{random.randrange(2000):x}"
        spawn = self.deployment.spawn
        spawn(self.arrivals("primary", 59.4 / 3 * busy_hour,
                            lambda: f"WRITE {item()} data"))
        spawn(self.arrivals("bounded_staleness", 59.4 / 3 * busy_hour,
                            lambda: f"READ {item()}"))
        spawn(self.arrivals("read_your_writes", 277 / 3 * busy_hour,
                            lambda: f"READ {item()}"))

    async def _operation(self, database, text):
        for _ in range(3):
            code = await self._attempt(database, text)
            self.counts[code or "success"] = \
                self.counts.get(code or "success", 0) + 1
            if code not in ("BUSY", "OVERLOAD", "LAGGING", "READONLY"):
                return
            await asyncio.sleep(random.uniform(0.05, 0.2))

    async def _attempt(self, database, text):
        vm = random.choice(self.deployment.vms)
        pool = self.idle.setdefault((vm.name, database), [])
        session = pool.pop() if pool else None
        query_id = f"{next(IDS):016x}"
        try:
            if session is None:
                session = Session(self.deployment.record, vm, database)
                await session.open()
            self.database_of[query_id] = database
            self.sent_at[query_id] = time.monotonic()
            _, _, code, _ = await session.query(text, query_id)
        except (SessionEnded, OSError, asyncio.TimeoutError):
            if session is not None:
                session.close()
            return "closed"
        if code is None and query_id in self.deployment.group.commits:
            commit = self.deployment.group.commits[query_id]
            commit.acked_at = time.monotonic()
        if len(pool) < 12:
            pool.append(session)
        else:
            session.close()
        return code


def run_case(folder, case, seconds=115):
    """Runs a case: `case(record, trouble)` returns a list of broken rules."""
    folder = pathlib.Path(folder).resolve()
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"disruption: {'yes' if trouble else 'no'}")

    async def bounded():
        async with asyncio.timeout(seconds):
            return await case(record, trouble)

    try:
        broken = asyncio.run(bounded())
    # A fault of the stand-ins says nothing about the rule.
    except Exception as error:
        record.say(f"could not run: {error!r}")
        record.close()
        sys.exit(2)
    for line in broken[:20]:
        record.say(line)
    record.say(f"result: {'the rule was broken, ' if broken else 'held, '}"
               f"{len(broken)} findings")
    record.close()
    sys.stdout.flush()
    # Without the noise of connections that are still open.
    os._exit(1 if broken else 0)
