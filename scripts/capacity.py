"""Measures the resource use of a proxy, with real processes on loopback.

Usage: CARAWAYHAVEN_PORT_BASE=20000 python3 scripts/capacity.py MEASUREMENT
One subcommand a measurement; each prints one JSON line a result. The results
include wall-clock and processor times, so no test checks them.
Bounded in time and requests; ends only processes that it started.
"""

import argparse
import asyncio
import json
import os
import resource
import socket
import statistics
import struct
import sys
import time

import deployment
from deployment import Deployment, http

FLEET_PORT = deployment.PORT_BASE + 2000
MAX_PROCESSES = 150


class Fleet(Deployment):
    """Any number of VMs in three data centres and of teams with one database
    each; one process serves all endpoints."""

    def __init__(self, vms, teams, build="build", descriptors=None):
        super().__init__("registro", build, vms)
        if vms + 2 > MAX_PROCESSES:
            raise ValueError("too many processes")
        self.descriptors = descriptors
        self.data_centres = ["a-1", "a-2", "a-3"]
        self.teams = [f"team-{n}" for n in range(teams)]
        self.team = {"team": "team-0", "service": [
            {"name": f"db-{n}", "endpoint": []} for n in range(teams)]}

    def text_of(self, number, comment="first"):
        lines = [f"# {comment}", f'team = "team-{number}"', "[[service]]",
                 f'name = "db-{number}"', 'acknowledge = "replica"',
                 "slots = 3", "connections = 20"]
        for member, suffix in enumerate("abc"):
            port = FLEET_PORT + 3 * number + member
            lines += ["[[service.endpoint]]", f'name = "db-{number}-{suffix}"',
                      f'address = "127.0.0.1:{port}"',
                      f'data_centre = "{self.data_centres[member]}"']
        return "\n".join(lines) + "\n"

    def start(self):
        self._spawn("platform", "test/standins/platform_standin",
                    [deployment.IP, str(deployment.PLATFORM_PORT)])
        self._spawn("endpoints", "test/standins/endpoint_fleet",
                    [deployment.IP, str(FLEET_PORT), str(len(self.teams)), "3",
                     "20"])
        self._wait(lambda: http("GET", self.platform, "/counters")[0] == 200)
        for number in range(self.proxy_count):
            self._register_vm(number)
        for number, team in enumerate(self.teams):
            self._put(f"teams/{team}", json.dumps(
                {"submission": "first", "text": self.text_of(number)}))
        if self.descriptors:
            limits = resource.getrlimit(resource.RLIMIT_NOFILE)
            resource.setrlimit(resource.RLIMIT_NOFILE,
                               (self.descriptors, limits[1]))
        for number in range(self.proxy_count):
            self.start_proxy(number)
        if self.descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        for number in range(self.proxy_count):
            self._wait(lambda n=number: self.is_ready(n), 60)


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/schedstat") as file:
        return int(file.read().split()[0]) / 1e9


def resident_kib(process):
    with open(f"/proc/{process.pid}/status") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


def descriptors_of(process):
    return len(os.listdir(f"/proc/{process.pid}/fd"))


def metric(fleet, number, name):
    text = http("GET", fleet.admin(number), "/metrics")[1]
    return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines()
               if line.split("{")[0].split(" ")[0] == name)


def mean(values):
    return statistics.fmean(values) if values else 0.0


def report(**figures):
    print(json.dumps({key: round(value, 4) if isinstance(value, float)
                      else value for key, value in figures.items()}),
          flush=True)


class Sample:
    """Counters of all proxies at one time."""

    def __init__(self, fleet):
        self.at = time.monotonic()
        proxies = [fleet.processes[fleet.vm(n)]
                   for n in range(fleet.proxy_count)]
        self.cpu = [cpu_seconds(process) for process in proxies]
        self.bytes = [
            metric(fleet, n, "carawayhaven_peer_bytes_sent_total") +
            metric(fleet, n, "carawayhaven_peer_bytes_received_total")
            for n in range(fleet.proxy_count)]
        self.calls = [metric(fleet, n, "carawayhaven_store_calls_total")
                      for n in range(fleet.proxy_count)]
        self.rss = [resident_kib(process) for process in proxies]
        self.descriptors = [descriptors_of(process) for process in proxies]


def measure_idle(fleet, seconds, settle_s):
    time.sleep(settle_s)
    before = Sample(fleet)
    time.sleep(seconds)
    after = Sample(fleet)
    elapsed = after.at - before.at

    def rate(name):
        return [(b - a) / elapsed for a, b in
                zip(getattr(before, name), getattr(after, name))]
    cpu = [100 * value for value in rate("cpu")]
    return dict(cpu_percent=mean(cpu), cpu_percent_max=max(cpu),
                peer_bytes_s=mean(rate("bytes")),
                store_calls_s_all=sum(rate("calls")),
                rss_kib=mean(after.rss), descriptors=mean(after.descriptors))


def idle(options):
    cases = [(int(vms), int(teams)) for vms, teams in
             (case.split("x") for case in options.cases.split(","))]
    for vms, teams in cases:
        with Fleet(vms, teams) as fleet:
            report(measurement="idle", vms=vms, teams=teams,
                   load=os.getloadavg()[0],
                   **measure_idle(fleet, options.seconds, 4))


def open_session(address):
    ip, port = address.split(":")
    connection = socket.create_connection((ip, int(port)), timeout=5)
    connection.sendall((f"GET / HTTP/1.1\r\nHost: {address}\r\n"
                        "Upgrade: websocket\r\nConnection: Upgrade\r\n"
                        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
                        "Sec-WebSocket-Version: 13\r\n\r\n").encode())
    answer = connection.recv(4096)
    if not answer.startswith(b"HTTP/1.1 101"):
        connection.close()
        raise OSError(f"no upgrade: {answer[:40]!r}")
    return connection


def sessions(options):
    with Fleet(3, 1, descriptors=options.descriptors) as fleet:
        proxy = fleet.processes[fleet.vm(0)]
        address = fleet.caller_addresses[0]
        sockets = []
        time.sleep(3)
        for count in [int(text) for text in options.counts.split(",")]:
            failed = ""
            start = time.monotonic()
            while len(sockets) < count and not failed:
                try:
                    sockets.append(open_session(address))
                except OSError as error:
                    failed = str(error) or type(error).__name__
            opened = time.monotonic() - start
            time.sleep(1)
            before = cpu_seconds(proxy)
            time.sleep(3)
            report(measurement="sessions", wanted=count, held=len(sockets),
                   open_s=opened, failure=failed, rss_kib=resident_kib(proxy),
                   cpu_percent=(cpu_seconds(proxy) - before) / 3 * 100,
                   descriptors=descriptors_of(proxy),
                   sessions=metric(fleet, 0, "carawayhaven_sessions"),
                   refused=metric(fleet, 0,
                                  "carawayhaven_sessions_refused_total"),
                   ready=http("GET", fleet.admin(0), "/readyz")[0],
                   load=os.getloadavg()[0])
            if failed:
                break
        for connection in sockets:
            connection.close()


class Client:
    """A WebSocket client that waits for the answer to each message."""

    async def connect(self, address):
        ip, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))
        self.writer.write(
            (f"GET / HTTP/1.1\r\nHost: {address}\r\nUpgrade: websocket\r\n"
             "Connection: Upgrade\r\n"
             "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
             "Sec-WebSocket-Version: 13\r\n\r\n").encode())
        await self.reader.readuntil(b"\r\n\r\n")
        return self

    async def call(self, message):
        payload = json.dumps(message).encode()
        # An all-zero mask leaves the payload unchanged.
        length = (bytes([0x80 | len(payload)]) if len(payload) < 126
                  else bytes([0xFE]) + struct.pack(">H", len(payload)))
        self.writer.write(b"\x81" + length + b"\0\0\0\0" + payload)
        while True:
            head = await self.reader.readexactly(2)
            size = head[1] & 0x7F
            if size == 126:
                size = struct.unpack(">H", await self.reader.readexactly(2))[0]
            elif size == 127:
                size = struct.unpack(">Q", await self.reader.readexactly(8))[0]
            body = await self.reader.readexactly(size)
            if head[0] & 0x0F == 1:
                return json.loads(body)

    def close(self):
        self.writer.close()


class ProxyWork:
    """The three kinds of work through a proxy."""

    def __init__(self, service):
        self.service = service
        self.last_id = 0

    def _message(self, kind="request", **fields):
        self.last_id += 1
        return dict(id=self.last_id, type=kind, service=self.service,
                    timeout_ms=2000, **fields)

    async def run(self, client, kind, number):
        if kind == "read":
            answer = await client.call(self._message(
                statement="get", parameters=[f"k{number % 50}"],
                max_age_ms=2000))
        elif kind == "write":
            answer = await client.call(self._message(
                statement="put", parameters=[f"k{number % 50}", number],
                access="write", idempotent=True))
        else:
            answer = await client.call(self._message("begin"))
            transaction = answer.get("transaction", "")
            for step in range(2):
                await client.call(self._message(
                    statement="append", access="write",
                    parameters=[f"t{number}-{step}", "m"],
                    transaction=transaction))
            answer = await client.call(self._message(
                "commit", transaction=transaction, request_id=f"c{number}"))
        return answer.get("verdict") == "ran"


class DirectWork:
    """The same work over the endpoint's own protocol, including the
    confirmation by a replica, which a proxy requires before it acknowledges a
    write."""

    last_id = 0

    async def _call(self, client, op, **fields):
        DirectWork.last_id += 1
        return await client.call(
            dict(id=DirectWork.last_id, op=op, term=1, **fields))

    async def run(self, client, kind, number):
        if kind == "read":
            answer = await self._call(
                client, "execute", statement="get", write=False,
                parameters=json.dumps([f"k{number % 50}"]),
                max_age_us=2_000_000)
            return answer["status"] == "ok"
        if kind == "write":
            answer = await self._call(
                client, "execute", statement="put", write=True,
                parameters=json.dumps([f"k{number % 50}", number]),
                request=f"d{number}", attempt=0)
        else:
            await self._call(client, "begin")
            for step in range(2):
                await self._call(client, "execute", statement="append",
                                 write=True,
                                 parameters=json.dumps([f"d{number}-{step}",
                                                        "m"]))
            answer = await self._call(client, "commit", request=f"e{number}",
                                      attempt=0)
        await self._call(client, "confirm", min_term=answer["position_term"],
                         min_index=answer["position_index"])
        return answer["status"] == "ok"


async def run_at_rate(addresses, work, kind, rate, seconds, connections,
                      first_id):
    """Sends at a fixed rate, independent of the answers (open loop). Returns
    the latencies in ms, the number of failures and the duration in s."""
    clients = []
    for number in range(connections):
        clients.append(
            await Client().connect(addresses[number % len(addresses)]))
    free_clients = asyncio.Queue()
    for client in clients:
        free_clients.put_nowait(client)
    latencies, failures, tasks = [], 0, []

    async def send_one(due, number):
        nonlocal failures
        client = await free_clients.get()
        if await work.run(client, kind, number):
            latencies.append((time.perf_counter() - due) * 1e3)
        else:
            failures += 1
        free_clients.put_nowait(client)
    start = time.perf_counter()
    for number in range(int(rate * seconds)):
        due = start + number / rate
        wait = due - time.perf_counter()
        if wait > 0:
            await asyncio.sleep(wait)
        tasks.append(asyncio.create_task(send_one(due, first_id + number)))
    await asyncio.gather(*tasks)
    elapsed = time.perf_counter() - start
    for client in clients:
        client.close()
    return latencies, failures, elapsed


def percentile(values, share):
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))] if ordered else 0.0


def load(options):
    service = "registro-1"
    with Deployment("registro", proxies=options.vms) as fleet:
        time.sleep(4)
        status = json.loads(http("GET", fleet.admin(0), "/status")[1])
        group = next(group for group in status["groups"]
                     if group["service"] == service)
        owners = {endpoint["owner"] for endpoint in group["endpoints"]}
        non_owners = [n for n in range(options.vms)
                      if fleet.vm(n) not in owners]
        forwarder = non_owners[0] if non_owners else 0
        names = fleet.endpoint_names(service)
        direct_address = {
            name: f"{deployment.IP}:" + endpoint["address"].split(":")[1]
            for entry in fleet.team["service"]
            for endpoint in entry["endpoint"]
            for name in [endpoint["name"]]}
        proxies = [fleet.processes[fleet.vm(n)] for n in range(options.vms)]
        endpoints = [fleet.processes[name] for name in names]

        idle_connections = [open_session(fleet.caller_addresses[forwarder])
                            for _ in range(options.idle_sessions)]

        def cpu():
            return ([cpu_seconds(process) for process in proxies],
                    sum(cpu_seconds(process) for process in endpoints))
        idle_s = 4
        before = cpu()
        time.sleep(idle_s)
        after = cpu()
        idle_cpu = [(b - a) / idle_s for a, b in zip(before[0], after[0])]
        idle_endpoint_cpu = (after[1] - before[1]) / idle_s
        first_id = 0
        for kind in options.kinds.split(","):
            # Direct clients share the endpoint's connection limit with the
            # proxies and may use only what these leave free
            # (--direct-connections).
            for rate in [float(text) for text in options.rates.split(",")]:
                if kind == "transaction":
                    rate = rate / 4
                first_id += 1_000_000
                targets = ([direct_address[name] for name in names[1:]]
                           if kind == "read" else [direct_address[names[0]]])
                before = cpu()
                direct_ms, failed_direct, elapsed = asyncio.run(run_at_rate(
                    targets, DirectWork(), kind, rate, options.seconds,
                    options.direct_connections, first_id))
                middle = cpu()
                direct_cpu = (middle[1] - before[1] -
                              idle_endpoint_cpu * elapsed)
                before = cpu()
                proxy_ms, failures, elapsed = asyncio.run(run_at_rate(
                    [fleet.caller_addresses[forwarder]], ProxyWork(service),
                    kind, rate, options.seconds, 40, first_id))
                after = cpu()
                proxy_cpu = [b - a - idle_rate * elapsed for a, b, idle_rate in
                             zip(before[0], after[0], idle_cpu)]
                endpoint_cpu = (after[1] - before[1] -
                                idle_endpoint_cpu * elapsed)
                count = max(1, len(proxy_ms))
                forwarder_us = proxy_cpu[forwarder] / count * 1e6
                owner_us = (sum(proxy_cpu) -
                            proxy_cpu[forwarder]) / count * 1e6
                direct_us = direct_cpu / max(1, len(direct_ms)) * 1e6
                report(measurement="load", kind=kind, rate=rate,
                       front_is_owner=not non_owners,
                       idle_sessions=len(idle_connections),
                       front_percent=(after[0][forwarder] -
                                      before[0][forwarder]) /
                       elapsed * 100, done=len(proxy_ms),
                       failures=failures, direct_failures=failed_direct,
                       front_us=forwarder_us, owner_us=owner_us,
                       endpoint_us=endpoint_cpu / count * 1e6,
                       direct_endpoint_us=direct_us,
                       ratio=(forwarder_us + owner_us) / direct_us
                       if direct_us else 0.0,
                       p50_ms=percentile(proxy_ms, 0.5),
                       p99_ms=percentile(proxy_ms, 0.99),
                       direct_p50_ms=percentile(direct_ms, 0.5),
                       direct_p99_ms=percentile(direct_ms, 0.99),
                       load=os.getloadavg()[0])


def config(options):
    for vms in [int(text) for text in options.vms.split(",")]:
        with Fleet(vms, options.teams) as fleet:
            time.sleep(3)
            delays, submits = [], []
            version = json.loads(
                http("GET", fleet.admin(0), "/teams/team-0")[1])["version"]
            for run in range(options.runs):
                start = time.monotonic()
                status, text = http(
                    "PUT", fleet.admin(run % vms), "/teams/team-0",
                    fleet.text_of(0, f"run {run}"),
                    {"If-Match": f'"{version}"',
                     "Authorization": f"Bearer {deployment.TEAM_TOKEN}"})
                accepted = time.monotonic()
                if status != 200:
                    raise RuntimeError(f"not accepted: {status} {text}")
                version = json.loads(text)["version"]
                submits.append(accepted - start)
                last = 0.0
                for number in range(vms):
                    while True:
                        document = json.loads(http(
                            "GET", fleet.admin(number), "/teams/team-0")[1])
                        seen = [entry for entry in document["seen"]
                                if entry["version"] == version]
                        if seen:
                            break
                        if time.monotonic() > accepted + 20:
                            raise RuntimeError("not in force after 20 s")
                        time.sleep(0.005)
                    applied = (time.monotonic() -
                               seen[0]["applied_ago_ms"] / 1e3)
                    last = max(last, applied - accepted)
                delays.append(last)
                time.sleep(0.5)
            report(measurement="config", vms=vms, teams=options.teams,
                   runs=options.runs, submit_ms=mean(submits) * 1e3,
                   in_force_ms_median=statistics.median(delays) * 1e3,
                   in_force_ms_max=max(delays) * 1e3,
                   load=os.getloadavg()[0])


def main():
    parser = argparse.ArgumentParser(prog="scripts/capacity.py")
    commands = parser.add_subparsers(dest="measurement", required=True)
    command = commands.add_parser("idle")
    command.add_argument(
        "--cases", default="3x3,6x3,9x3,20x3,40x3,9x1,9x10,9x50,9x100",
        help="pairs VMsxTEAMS; a team has one database")
    command.add_argument("--seconds", type=int, default=10)
    command.set_defaults(run=idle)
    command = commands.add_parser("sessions")
    command.add_argument("--counts", default="0,500,1000,2000,4000")
    command.add_argument("--descriptors", type=int, default=None)
    command.set_defaults(run=sessions)
    command = commands.add_parser("load")
    command.add_argument("--kinds", default="read,write,transaction")
    command.add_argument("--rates", default="100,300,600")
    command.add_argument("--seconds", type=int, default=5)
    command.add_argument("--vms", type=int, default=9)
    command.add_argument("--direct-connections", type=int, default=3)
    command.add_argument("--idle-sessions", type=int, default=0,
                         help="sessions without requests at the same front")
    command.set_defaults(run=load)
    command = commands.add_parser("config")
    command.add_argument("--vms", default="9,20,40")
    command.add_argument("--teams", type=int, default=10)
    command.add_argument("--runs", type=int, default=10)
    command.set_defaults(run=config)
    options = parser.parse_args()
    options.run(options)
    return 0


if __name__ == "__main__":
    sys.exit(main())
