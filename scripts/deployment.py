"""Starts stand-ins and proxies as processes on loopback and stops them again.

Used by scripts/run and scripts/faults. Ends only processes that it started.
"""

import json
import os
import pathlib
import re
import signal
import subprocess
import tempfile
import time
import tomllib
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
IP = "127.0.0.1"
# All ports are relative to this one, so that several deployments with different
# bases can run on one machine.
DEFAULT_PORT_BASE = 7000
PORT_BASE = int(os.environ.get("CARAWAYHAVEN_PORT_BASE", DEFAULT_PORT_BASE))
PLATFORM_PORT = PORT_BASE
# The admin port of an endpoint is its port plus this offset.
ENDPOINT_ADMIN_OFFSET = 1000
CALLER_PORT = PORT_BASE + 500
PEER_PORT = PORT_BASE + 600
ADMIN_PORT = PORT_BASE + 700
LOAD_CONTROL_PORT = PORT_BASE + 800
# One-way delay of the replication stream between data centres, microseconds.
LINK_DELAY_US = {"registro": 1500, "hire-core": 1000}
OPERATORS_TOKEN = "operators-token"
TEAM_TOKEN = "team-token"


def http(method, address, path, body=None, headers=None, timeout=3):
    """Returns (status, text) of a call; status is 0 without an answer."""
    data = body.encode() if body is not None else None
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method,
        headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError:
        return 0, ""


def environment(**extra):
    """Returns the environment for a process of the project.

    The proxy refuses unknown variables that start with CARAWAYHAVEN_.
    """
    inherited = {name: value for name, value in os.environ.items()
           if name != "CARAWAYHAVEN_PORT_BASE"}
    return {**inherited, **extra}


def shift_ports(text):
    """Moves the endpoints' ports of a team's text to PORT_BASE."""
    return re.sub(
        re.escape(IP) + r":(\d+)",
        lambda match: f"{IP}:{int(match[1]) - DEFAULT_PORT_BASE + PORT_BASE}",
        text)


class Deployment:
    """One platform, the endpoints of a team's text, and its proxies."""

    def __init__(self, users, build="build", proxies=3, verbose=False):
        self.users = users
        self.build = ROOT / build
        self.verbose = verbose
        self.text = shift_ports(
            (ROOT / "examples" / f"{users}.toml").read_text())
        self.team = tomllib.loads(self.text)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="carawayhaven-"))
        self.processes = {}
        self.proxy_count = proxies
        self.data_centres = [
            endpoint["data_centre"]
            for endpoint in self.team["service"][0]["endpoint"]]

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def start(self):
        self._spawn("platform", "test/standins/platform_standin",
                    [IP, str(PLATFORM_PORT)])
        for service in self.team["service"]:
            self._start_endpoints(service)
        self._wait(lambda: http("GET", self.platform, "/counters")[0] == 200)
        for number in range(self.proxy_count):
            self._register_vm(number)
        # The first version of a team is written to the store directly, as the
        # platform's own tools do.
        value = json.dumps({"submission": "first", "text": self.text})
        self._put(f"teams/{self.team['team']}", value)
        for number in range(self.proxy_count):
            self.start_proxy(number)
        for number in range(self.proxy_count):
            self._wait(lambda n=number: self.is_ready(n))

    def stop(self):
        for process in self.processes.values():
            # Unlike SIGTERM, SIGKILL also ends a process stopped by SIGSTOP.
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes = {}

    def start_proxy(self, number):
        settings = self.directory / f"proxy-{number}.toml"
        settings.write_text("\n".join([
            f'vm = "{self.vm(number)}"',
            f'data_centre = "{self.data_centre(number)}"',
            f'region = "{self.data_centre(number)}"',
            f'caller_address = "{IP}:{CALLER_PORT + number}"',
            f'peer_address = "{IP}:{PEER_PORT + number}"',
            f'admin_address = "{IP}:{ADMIN_PORT + number}"',
            f'platform_address = "{self.platform}"',
            "[admin_tokens]",
            f'operators = "{OPERATORS_TOKEN}"',
            f'{self.team["team"]} = "{TEAM_TOKEN}"', ""]))
        self._spawn(self.vm(number), "src/carawayhaven",
                    ["proxy", "--settings", str(settings)])

    def is_ready(self, number):
        return http("GET", self.admin(number), "/readyz")[0] == 200

    def set_faults(self, address, faults):
        status, _ = http("POST", address, "/faults", json.dumps(faults))
        if status != 200:
            raise RuntimeError(f"cannot set faults at {address}: {status}")

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def vm(self, number):
        return f"vm-{number}"

    def data_centre(self, number):
        return self.data_centres[number % len(self.data_centres)]

    def admin(self, number):
        return f"{IP}:{ADMIN_PORT + number}"

    @property
    def platform(self):
        return f"{IP}:{PLATFORM_PORT}"

    @property
    def caller_addresses(self):
        return [f"{IP}:{CALLER_PORT + n}" for n in range(self.proxy_count)]

    @property
    def services(self):
        return [service["name"] for service in self.team["service"]]

    def endpoint_admin(self, name):
        for service in self.team["service"]:
            for endpoint in service["endpoint"]:
                if endpoint["name"] == name:
                    ip, port = endpoint["address"].split(":")
                    return f"{ip}:{int(port) + ENDPOINT_ADMIN_OFFSET}"
        raise KeyError(name)

    def endpoint_names(self, service_name):
        for service in self.team["service"]:
            if service["name"] == service_name:
                return [endpoint["name"] for endpoint in service["endpoint"]]
        raise KeyError(service_name)

    def primary_of(self, service_name):
        """Returns the endpoint that is primary in the highest term."""
        best = None
        for name in self.endpoint_names(service_name):
            status, text = http("GET", self.endpoint_admin(name), "/status")
            if status != 200:
                continue
            state = json.loads(text)
            if state["primary"] and (best is None or state["term"] > best[0]):
                best = (state["term"], name)
        return best[1] if best else None

    @property
    def load_control(self):
        return f"{IP}:{LOAD_CONTROL_PORT}"

    def mark_failure(self, service):
        """Starts the measurement of the service's failover gap."""
        status, text = http("POST", self.load_control, f"/mark/{service}", "{}")
        if status != 200:
            raise RuntimeError(f"cannot mark the failure: {status} {text}")

    def load_command(self, seconds, callers, seed=1, fault=None, service=None,
                     endpoint=None, think_ms=20):
        command = [str(self.build / "util/carawayhaven_load"),
                   "--users", self.users,
                   "--proxies", ",".join(self.caller_addresses),
                   "--services", ",".join(self.services),
                   "--seconds", str(seconds), "--callers", str(callers),
                   "--seed", str(seed), "--think-ms", str(think_ms),
                   "--control-address", self.load_control]
        if fault is not None:
            command += ["--fault-address", self.endpoint_admin(endpoint),
                        "--fault-service", service, "--fault", fault]
        return command

    def _start_endpoints(self, service):
        endpoints = service["endpoint"]
        for endpoint in endpoints:
            port = int(endpoint["address"].split(":")[1])
            peers = [f"{other['name']}={other['address']}"
                     for other in endpoints if other is not endpoint]
            self._spawn(endpoint["name"], "test/standins/endpoint_standin",
                        [endpoint["name"], IP, str(port),
                         str(port + ENDPOINT_ADMIN_OFFSET),
                         str(service["slots"]), str(service["connections"]),
                         endpoints[0]["name"], *peers])
        for endpoint in endpoints:
            address = self.endpoint_admin(endpoint["name"])
            self._wait(lambda a=address: http("GET", a, "/status")[0] == 200)
            self.set_faults(address,
                            {"link_delay_us": LINK_DELAY_US[self.users]})

    def _register_vm(self, number):
        value = json.dumps({"vm": self.vm(number),
                            "data_centre": self.data_centre(number),
                            "address": f"{IP}:{PEER_PORT + number}"})
        self._put(f"vms/{self.vm(number)}", value)

    def _put(self, path, value):
        status, text = http("PUT", self.platform, f"/objects/{path}", value,
                            {"If-Match": '"0"'})
        if status != 200:
            raise RuntimeError(f"cannot write {path}: {status} {text}")

    def _spawn(self, name, program, arguments):
        log = open(self.directory / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [str(self.build / program), *arguments], stdout=log, stderr=log,
            env=environment())

    def _wait(self, condition, timeout_s=20):
        deadline = time.monotonic() + timeout_s
        while not condition():
            for name, process in self.processes.items():
                if process.poll() not in (None, 0):
                    raise RuntimeError(f"{name} ended with exit code "
                                       f"{process.returncode}; logs in "
                                       f"{self.directory}")
            if time.monotonic() > deadline:
                raise RuntimeError(
                    f"not ready after {timeout_s} s; logs in {self.directory}")
            time.sleep(0.05)
