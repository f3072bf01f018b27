"""The proxies' processes, started as the deploy file says, and the operator."""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = {"SeedLagS": 3, "ReuseDelayS": 2, "StableMs": 5000, "AckMs": 6000,
          "CatchUpS": 4, "DrainMs": 7000, "GraceS": 6, "LossSlackMs": 200,
          "ConfigApplyMs": 3000, "RevertSlackMs": 250, "SkewMaxMs": 15000,
          "RecoveryS": 12, "FencingRequired": False, "ThawMs": 300}


def free_port(host):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


def free_pair(host):
    while True:
        port = free_port(host)
        with socket.socket() as s:
            try:
                s.bind((host, port + 1))
                return port
            except OSError:
                continue


def render(template, fields):
    """Sections of a value and plain placeholders, as DEPLOY.md has them."""
    def find(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(match):
        return match.group(2) if find(match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: str(find(m.group(1))), text)


class Vm:
    def __init__(self, name, zone, number, platform, directory, record):
        self.name = name
        self.zone = zone
        self.host = f"127.0.1.{number}"
        self.front = free_port(self.host)
        self.ready = free_port(self.host)
        self.peer = free_pair(self.host)
        self.admin = free_port(self.host)
        self.platform = platform
        self.directory = directory
        self.record = record
        self.process = None
        self.log = None

    def settings(self):
        address = f"127.0.0.1:{self.platform.port}"
        return {
            "NodeName": self.name, "Role": "proxy", "MachineClass": "front",
            "Serves": ["front"], "Ip": self.host, "Zone": self.zone,
            "Region": f"r-{self.zone}",
            "Listen": {"Front": f"{self.host}:{self.front}",
                       "Ready": f"{self.host}:{self.ready}"},
            "InternalPorts": [self.peer, self.admin],
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260,
                       "FileDescriptors": 4300, "LinkMbps": 1000.0},
            "HeartbeatMs": 1200, "Bounds": BOUNDS,
            "platform": {"Address": address},
            "Cloud": {"Address": address}}

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["proxy"]
        path = self.directory / f"{self.name}.settings"
        path.write_text(render((ROOT / role["template"]).read_text(),
                               self.settings()))
        words = [str(path) if word == "/etc/carawayhaven/boot.json" else word
                 for word in role["run"].split(" ")]
        if self.log is None:
            self.log = open(self.directory / f"{self.name}.log", "ab")
        environment = {key: value for key, value in os.environ.items()
                       if key in ("PATH", "HOME", "LANG")}
        environment["CARAWAYHAVEN_SETTINGS"] = str(path)
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=self.log,
            stderr=self.log)

    def running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)

    async def kill(self):
        if self.running():
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self):
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(
                    self.host, self.ready)
                writer.write(b"GET /-/readiness HTTP/1.1\r\n"
                             b"Host: vm\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Deployment:
    def __init__(self, platform, record, zones):
        self.temporary = tempfile.TemporaryDirectory()
        self.directory = pathlib.Path(self.temporary.name)
        self.platform = platform
        self.record = record
        self.vms = [
            Vm(f"front-{zone}-{i + 1}", zone, 10 * z + i + 1, platform,
               self.directory, record)
            for z, (zone, count) in enumerate(zones, 1)
            for i in range(count)]
        self.version = 7

    def write_config(self, routes, services, limits=None):
        self.version += random.randrange(1, 4)
        self.platform.store.set("config", "main", {
            "Version": self.version, "Routes": routes, "Services": services,
            "Limits": limits or {"TxIdleMs": 10000}})

    async def start(self):
        await asyncio.gather(*(vm.start() for vm in self.vms))

    async def wait_ready(self, seconds):
        """True once all proxies are ready."""
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            if all(await asyncio.gather(*(v.is_ready() for v in self.vms))):
                return True
            await asyncio.sleep(0.2)
        return False

    async def stop(self):
        await asyncio.gather(*(vm.kill() for vm in self.vms))
        for vm in self.vms:
            if vm.log is not None:
                vm.log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        self.temporary.cleanup()


def route(host, service, kind, timeout_ms=1000, slo_ms=500, stale_ms=None):
    entry = {"Host": host, "Service": service, "Kind": kind,
             "TimeoutMs": timeout_ms, "SloMs": slo_ms, "Priority": 1}
    if stale_ms is not None:
        entry["MaxStalenessMs"] = stale_ms
    return entry
