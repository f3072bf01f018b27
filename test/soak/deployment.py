"""The processes of a run and the links between them."""

import asyncio
import copy
import os
import signal
import socket
import time

from database import Endpoint, Group
from links import Link
from platform_store import StoreServer, StoreTable

HEARTBEAT_INTERVAL_S = 0.6
SHUTDOWN_GRACE_S = 6
# A shutdown counts as undisturbed when no fault occurred for this long.
MIN_UNDISTURBED_S = 5.0


def free_ports(count):
    """Returns ports that no socket is bound to at present."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for s in sockets:
            s.bind(("127.0.0.1", 0))
        return [s.getsockname()[1] for s in sockets]
    finally:
        for s in sockets:
            s.close()


class Vm:
    """A VM with its proxy process."""

    def __init__(self, name, data_centre, directory, program):
        self.name = name
        self.data_centre = data_centre
        self.directory = directory
        self.program = program
        self.caller_port, self.ready_port, self.admin_port = free_ports(3)
        # Relayed sessions arrive on port peer_port + 1.
        self.peer_port = self._free_port_pair()
        self.store = None
        self.process = None
        self.log = None
        self.started_at = 0.0
        self.stop_sent_at = None
        self.disrupted_at = -1e9
        self.deployment = None

    @staticmethod
    def _free_port_pair():
        while True:
            port = free_ports(1)[0]
            with socket.socket() as s:
                try:
                    s.bind(("127.0.0.1", port + 1))
                    return port
                except OSError:
                    continue

    def write_settings(self):
        path = self.directory / f"{self.name}.toml"
        store = f"127.0.0.1:{self.store.port}"
        path.write_text(
            f'vm = "{self.name}"\ndata_centre = "{self.data_centre}"\n'
            f'region = "r-{self.data_centre}"\n'
            f'caller_address = "127.0.0.1:{self.caller_port}"\n'
            f'ready_address = "127.0.0.1:{self.ready_port}"\n'
            f'peer_address = "127.0.0.1:{self.peer_port}"\n'
            f'admin_address = "127.0.0.1:{self.admin_port}"\n'
            f'platform_address = "{store}"\npromotion_address = "{store}"\n'
            f'shutdown_grace_s = {SHUTDOWN_GRACE_S}\n')
        return path

    async def start(self):
        if self.process is not None and self.process.returncode is None:
            return
        self.stop_sent_at = None
        self.started_at = time.monotonic()
        if self.log is None:
            self.log = open(self.directory / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.program, "session-proxy", "--settings",
            str(self.write_settings()), stdout=self.log, stderr=self.log)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number):
        if self.is_running():
            try:
                os.kill(self.process.pid, number)
            except ProcessLookupError:
                pass  # It has just ended, and was not waited for yet.

    async def kill(self):
        self.disrupted_at = time.monotonic()
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def terminate(self):
        self.stop_sent_at = time.monotonic()
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(SHUTDOWN_GRACE_S):
                await self.process.wait()
        except asyncio.TimeoutError:
            await self.kill()
            return False
        return True

    def is_undisturbed_shutdown(self):
        """True while this VM stops gracefully and nothing else is disrupted."""
        return (self.stop_sent_at is not None and
                time.monotonic() - self.stop_sent_at < SHUTDOWN_GRACE_S and
                self.is_running() and
                self.deployment.undisturbed_s() > MIN_UNDISTURBED_S)


class Deployment:
    """Processes, links and stored data of one run."""

    def __init__(self, rng, checker, directory, program, vm_count,
                 services, sync_replicas=0, with_faulty_answers=False):
        self.rng = rng
        self.checker = checker
        self.table = StoreTable()
        self.directory = directory
        self.groups = {
            name: Group(name, checker, rng, sync_replicas)
            for name in services}
        self.sync_replicas = sync_replicas
        data_centres = ["mendoza", "cordoba", "parana"]
        self.vms = [Vm(f"vm-{i}", data_centres[i % 3], directory, program)
                    for i in range(vm_count)]
        self.links = {}
        self.disrupted_at = -1e9
        self.config_version = 3
        self.routes = {}
        self.config = {}
        # Endpoints publish nothing before this time.
        self.heartbeats_resume_at = {}
        self.tasks = []
        self.with_faulty_answers = with_faulty_answers
        self.faulty_answers = 0
        self.faulty_answers_log = None

    def record_faulty_answer(self, kind, description):
        self.faulty_answers += 1
        if self.faulty_answers_log is None:
            self.faulty_answers_log = open(
                self.directory / "faulty-answers.log", "a")
        # The wall clock, as in the logs of the proxies.
        self.faulty_answers_log.write(
            f"{time.time():.3f} {kind} {description}\n")

    def record_disruption(self):
        self.disrupted_at = time.monotonic()

    def undisturbed_s(self):
        return time.monotonic() - self.disrupted_at

    async def start(self):
        for group in self.groups.values():
            for number in range(3):
                endpoint = self.make_endpoint(
                    group, f"i-{group.name}-{number}")
                if group.current_primary is None:
                    group.current_primary = endpoint
                    endpoint.is_primary = True
                endpoint.returns_long_rows = self.with_faulty_answers
                await endpoint.start()
                for vm in self.vms:
                    link = Link(("127.0.0.1", endpoint.port))
                    await link.start()
                    self.links[vm.name, endpoint.name] = link
                self.tasks.append(asyncio.create_task(
                    self._publish_heartbeats(endpoint)))
        for vm in self.vms:
            vm.deployment = self
            vm.store = StoreServer(self.table, self.checker, self.groups,
                                   self._rewrite_address, vm)
            await vm.store.start()
        self.write_config()
        await asyncio.gather(*(vm.start() for vm in self.vms))

    def make_endpoint(self, group, name):
        return Endpoint(group, name)

    def write_config(self):
        self.config_version += self.rng.randrange(1, 5)
        kinds = ["primary", "bounded_staleness", "read_your_writes"]
        for service in self.groups:
            for kind in kinds:
                self.routes[f"{service}-{kind[0]}"] = {
                    "Host": f"{service}-{kind[0]}", "Service": service,
                    "Kind": kind, "MaxStalenessMs": 1500,
                    "TimeoutMs": self.rng.randrange(800, 1200),
                    "SloMs": 500, "Priority": 1}
        self.config = {
            "Version": self.config_version,
            "Routes": list(self.routes.values()),
            "Services": [{"Name": s, "MaxConnections": 24,
                          "SyncReplicas": self.sync_replicas}
                         for s in self.groups],
            "Limits": {"TxIdleMs": 3000}}
        self.rewrite_config()

    def rewrite_config(self):
        self.table.set("config", "main", self.config)

    def add_route(self, host):
        service = next(iter(self.groups))
        self.routes[host] = dict(self.routes[f"{service}-p"], Host=host)
        self.write_config()

    def _rewrite_address(self, vm, kind, stored):
        """Each VM reaches endpoints by links of its own."""
        # So the address of an endpoint is replaced by that of the VM's link.
        link = self.links.get((vm.name, stored["meta"]["Name"]))
        if kind != "servers" or link is None:
            return stored
        rewritten = copy.deepcopy(stored)
        rewritten["spec"]["Address"] = f"127.0.0.1:{link.port}"
        return rewritten

    async def _publish_heartbeats(self, endpoint):
        stopped_since = None
        while True:
            pause = self.heartbeats_resume_at.get(endpoint.name, 0) - \
                time.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            if endpoint.running:
                stopped_since = None
                endpoint.sequence += 1
                self.table.set("servers", endpoint.name, {
                    "Service": endpoint.group.name,
                    "Address": f"127.0.0.1:{endpoint.port}",
                    "Zone": "mendoza", "Version": "1",
                    "Slots": endpoint.slots,
                    "State": "draining" if endpoint.draining else "ready",
                    "ColdRemainingMs": 0, "Sequence": endpoint.sequence,
                    "DbRole": "primary" if endpoint.is_primary else "replica",
                    "born": endpoint.born})
            else:
                stopped_since = stopped_since or time.monotonic()
                if time.monotonic() - stopped_since > 3 * HEARTBEAT_INTERVAL_S:
                    self.table.remove("servers", endpoint.name)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for vm in self.vms:
            if vm.is_running():
                await vm.kill()
            if vm.log is not None:
                vm.log.close()
        if self.faulty_answers_log is not None:
            self.faulty_answers_log.close()
