"""Runs fault cases, each against a fresh deployment under load.

Exit code 1 when a case breaks an invariant of docs/design.md or another check.
"""

import argparse
import json
import signal
import subprocess
import sys
import threading
import time

from deployment import (Deployment, OPERATORS_TOKEN, TEAM_TOKEN,
                        environment, http)

# Internal target and hard limit of a failover gap.
TARGET_GAP_MS = 2000
LIMIT_GAP_MS = 8000
CONFIG_LIMIT_S = 3
LEAVING_LIMIT_S = 2
CASES = {}


def case(name, **options):
    """Registers a case; the options are those of Run.start_load."""

    def register(function):
        CASES[name] = (function, options)
        return function

    return register


class Run:
    """One case: its deployment, its load and what was found."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.seed = seed
        self.load = None
        self.output = deployment.directory / "load.out"
        self.service = deployment.services[0]
        self.primary = deployment.primary_of(self.service)
        self.terms = self.read_terms()
        self.findings = []
        self.notes = []
        self.gap_limit_ms = TARGET_GAP_MS
        self.expected_promotions = 0
        self.allow_errors = True
        # Reasons of errors that callers may get even if allow_errors is False.
        self.allowed_reasons = set()
        self.timers = []

    def check(self, condition, text):
        if not condition:
            self.findings.append(text)
        return condition

    def start_load(self, seconds=6, callers=40, transactions=0, think_ms=20):
        command = self.deployment.load_command(
            seconds, callers, self.seed, think_ms=think_ms)
        command += ["--transactions", str(transactions)]
        self.load = subprocess.Popen(
            command, stdout=open(self.output, "wb"), stderr=subprocess.STDOUT)
        self.deployment.processes["load"] = self.load
        time.sleep(1.5)

    def finish_load(self):
        try:
            self.load.wait(timeout=120)
        except subprocess.TimeoutExpired:
            self.findings.append("the load did not end within 120 s")
            return {}
        lines = self.output.read_text().strip().splitlines()
        try:
            return json.loads(lines[-1])
        except (IndexError, ValueError):
            self.findings.append("the load gave no result: " +
                                 (lines[-1] if lines else "no output"))
            return {}

    def read_terms(self):
        terms = {}
        for service in self.deployment.services:
            terms[service] = max(
                (state["term"] for state in map(
                    self.endpoint_status,
                    self.deployment.endpoint_names(service))
                 if state), default=0)
        return terms

    def endpoint_status(self, name):
        status, text = http("GET", self.deployment.endpoint_admin(name),
                            "/status", timeout=1)
        return json.loads(text) if status == 200 else None

    def executed(self, name):
        state = self.endpoint_status(name)
        return state["executed"] if state else None

    def status(self, number=0):
        """Returns what `carawayhaven status --json` of a proxy says."""
        result = self.command("status", "--json", proxy=number)
        if not self.check(result.returncode == 0,
                          f"status: exit {result.returncode}, "
                          f"{result.stderr.strip()}"):
            return None
        return json.loads(result.stdout)

    def owner_of(self, endpoint):
        """Returns the number of the proxy that owns the endpoint's pool."""
        for group in self.status()["groups"]:
            for entry in group["endpoints"]:
                if entry["name"] == endpoint:
                    return int(entry["owner"].split("-")[1])
        raise KeyError(endpoint)

    def command(self, *arguments, proxy=None, token=TEAM_TOKEN):
        program = str(self.deployment.build / "src/carawayhaven")
        command_line = [program, *map(str, arguments)]
        if proxy is not None:
            command_line += ["--admin", self.deployment.admin(proxy)]
        start = time.monotonic()
        result = subprocess.run(command_line,
                                env=environment(CARAWAYHAVEN_TOKEN=token),
                                capture_output=True,
                                text=True, timeout=60, check=False)
        elapsed = time.monotonic() - start
        if elapsed > 8:
            self.findings.append(f"{arguments[0]} took {elapsed:.1f} s")
        return result

    def write_text(self, name, text):
        path = self.deployment.directory / name
        path.write_text(text)
        return path

    def version(self, number=0):
        status, text = http(
            "GET", self.deployment.admin(number),
            f"/teams/{self.deployment.team['team']}")
        return json.loads(text)["version"] if status == 200 else None

    def submit(self, text, proxy=0, based_on=None):
        path = self.write_text(f"submit-{time.monotonic_ns()}.toml", text)
        if based_on is None:
            based_on = self.version(proxy)
        return self.command("submit", path, "--based-on", based_on,
                            proxy=proxy)

    def submitted_version(self, result):
        """Checks that a submit succeeded and returns its version."""
        if not self.check(result.returncode == 0,
                          f"submit: exit {result.returncode}, "
                          f"{result.stderr.strip()}"):
            return None
        return int(result.stdout.split()[1])

    def await_version(self, version, proxies, limit=CONFIG_LIMIT_S):
        """Returns the time until the version is in force on all proxies."""
        start = time.monotonic()
        while time.monotonic() < start + limit:
            versions = [self.version(n) for n in proxies]
            if all(v is not None and v >= version for v in versions):
                return time.monotonic() - start
            time.sleep(0.02)
        self.findings.append(f"version {version} not in force after {limit} s: "
                             f"{[self.version(n) for n in proxies]}")
        return None

    def mark(self):
        """Marks the failure. Call this once it is in effect, or an earlier
        write counts as the recovery."""
        self.deployment.mark_failure(self.service)

    def later(self, delay, action):
        timer = threading.Timer(delay, action)
        timer.start()
        self.timers.append(timer)

    def fault(self, endpoint, **faults):
        self.deployment.set_faults(self.deployment.endpoint_admin(endpoint),
                                   faults)

    def store_fault(self, **faults):
        self.deployment.set_faults(self.deployment.platform, faults)

    def leaving_text(self, endpoint):
        """The team's text with the endpoint marked as leaving."""
        lines = []
        for line in self.deployment.text.splitlines():
            lines.append(line)
            if line.strip() == f'name = "{endpoint}"':
                lines.append("leaving = true")
        return "\n".join(lines) + "\n"

    def await_exit(self, name, limit):
        """Waits for a process that ends by itself; returns its exit code."""
        try:
            code = self.deployment.processes[name].wait(timeout=limit)
        except subprocess.TimeoutExpired:
            self.findings.append(f"{name} runs {limit} s after its end began")
            return None
        del self.deployment.processes[name]
        return code

    def check_no_new_work(self, endpoint):
        time.sleep(LEAVING_LIMIT_S)
        first = self.executed(endpoint)
        time.sleep(2)
        second = self.executed(endpoint)
        self.check(first is not None and first == second,
                   f"{endpoint} executed {second - first} statements later "
                   f"than {LEAVING_LIMIT_S} s after it began to leave")

    def await_primary_change(self, old, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            now = self.deployment.primary_of(self.service)
            if now is not None and now != old:
                return now
            time.sleep(0.05)
        self.findings.append(f"no new primary within {limit} s")
        return None

    def replica(self):
        names = self.deployment.endpoint_names(self.service)
        return next(name for name in names if name != self.primary)


@case("kill-primary")
def kill_primary(run):
    """SIGKILL of a primary endpoint."""
    run.expected_promotions = 1
    run.deployment.kill(run.primary)
    run.mark()


@case("crash-restart", seconds=8)
def crash_restart(run):
    """The primary crashes and is back after 2 s."""
    run.expected_promotions = 1
    run.fault(run.primary, crash_ms=2000)
    run.mark()


@case("stop-primary", seconds=8)
def stop_primary(run):
    """SIGSTOP of the primary, SIGCONT after 4 s."""
    run.expected_promotions = 1
    run.deployment.signal(run.primary, signal.SIGSTOP)
    run.mark()
    time.sleep(4)
    run.deployment.signal(run.primary, signal.SIGCONT)


@case("freeze-primary", seconds=8)
def freeze_primary(run):
    """The primary freezes and thaws after 4 s."""
    run.expected_promotions = 1
    run.fault(run.primary, frozen=True)
    run.mark()
    time.sleep(4)
    run.fault(run.primary, frozen=False)


@case("cut-primary", seconds=8)
def cut_primary(run):
    """The primary is cut from its peers and joined again after 4 s."""
    run.expected_promotions = 1
    run.fault(run.primary, cut=True)
    run.mark()
    time.sleep(4)
    run.fault(run.primary, cut=False)


@case("silent-connections")
def silent_connections(run):
    """All open connections to the primary go silent; new ones work."""
    run.fault(run.primary, silent=True)
    run.mark()


@case("kill-owner")
def kill_owner(run):
    """SIGKILL of the proxy that owns the primary's pool."""
    owner = run.owner_of(run.primary)
    run.deployment.kill(run.deployment.vm(owner))
    run.mark()


@case("kill-proxy-in-transactions", seconds=8, transactions=30, think_ms=5)
def kill_proxy_in_transactions(run):
    """SIGKILL of a proxy in the middle of transactions, and its restart."""
    owner = run.owner_of(run.primary)
    run.deployment.kill(run.deployment.vm(owner))
    run.mark()
    time.sleep(2)
    run.deployment.start_proxy(owner)
    run.deployment._wait(lambda: run.deployment.is_ready(owner))


@case("pause-proxy", seconds=9)
def pause_proxy(run):
    """SIGSTOP of a proxy for 3 s, in which the primary it owns fails."""
    run.expected_promotions = 1
    owner = run.deployment.vm(run.owner_of(run.primary))
    run.deployment.signal(owner, signal.SIGSTOP)
    run.deployment.kill(run.primary)
    run.mark()
    time.sleep(3)
    run.deployment.signal(owner, signal.SIGCONT)


@case("terminate-proxy", transactions=10)
def terminate_proxy(run):
    """SIGTERM of the proxy that owns the primary's pool."""
    run.allow_errors = False
    run.allowed_reasons = {"leaving"}
    owner = run.deployment.vm(run.owner_of(run.primary))
    run.deployment.signal(owner, signal.SIGTERM)
    code = run.await_exit(owner, 14)
    run.check(code in (0, None), f"exit code {code}")


@case("drain-command", transactions=10)
def drain_command(run):
    """`drain` of the proxy that owns the primary's pool."""
    run.allow_errors = False
    run.allowed_reasons = {"leaving"}
    number = run.owner_of(run.primary)
    result = run.command("drain", proxy=number, token=OPERATORS_TOKEN)
    run.check(result.returncode == 0, f"drain: exit {result.returncode}, "
              f"{result.stderr.strip()}")
    code = run.await_exit(run.deployment.vm(number), 14)
    run.check(code in (0, None), f"exit code {code}")


@case("replica-leaves-by-configuration", seconds=9)
def replica_leaves_by_configuration(run):
    """A replica is marked as leaving by a submitted configuration."""
    run.allow_errors = False
    endpoint = run.replica()
    run.submitted_version(run.submit(run.leaving_text(endpoint)))
    run.check_no_new_work(endpoint)


@case("primary-leaves-by-configuration", seconds=9)
def primary_leaves_by_configuration(run):
    """The primary is marked as leaving by a submitted configuration."""
    run.allow_errors = False
    run.expected_promotions = 1
    run.submitted_version(run.submit(run.leaving_text(run.primary)))
    run.check_no_new_work(run.primary)


@case("replica-leaves-by-answer", seconds=9)
def replica_leaves_by_answer(run):
    """A replica says in its answers that it leaves."""
    run.allow_errors = False
    endpoint = run.replica()
    run.fault(endpoint, leaving=True)
    run.check_no_new_work(endpoint)


@case("primary-leaves-by-answer", seconds=9)
def primary_leaves_by_answer(run):
    """The primary says in its answers that it leaves."""
    run.allow_errors = False
    run.expected_promotions = 1
    run.fault(run.primary, leaving=True)
    run.check_no_new_work(run.primary)


@case("store-down-failover", seconds=8)
def store_down_failover(run):
    """The store is down for a whole failover."""
    run.expected_promotions = 1
    run.store_fault(down=True)
    time.sleep(0.5)
    run.deployment.kill(run.primary)
    run.mark()
    primary = run.await_primary_change(run.primary)
    # Sent over HTTP, not by the submit command: this answer may arrive later
    # than Run.command() allows.
    status, text = http(
        "PUT", run.deployment.admin(0),
        f"/teams/{run.deployment.team['team']}",
        run.deployment.text + "# store down\n",
        {"If-Match": f'"{run.version()}"',
         "Authorization": f"Bearer {TEAM_TOKEN}"}, timeout=12)
    run.check(status in (503, 504) and "error" in text,
              f"submit with the store down: {status} {text}")
    run.store_fault(down=False)
    end = time.monotonic() + 8
    found = ""
    while time.monotonic() < end and found != primary:
        _, text = http("GET", run.deployment.platform,
                       f"/objects/groups/{run.service}")
        found = json.loads(text).get("primary", "") if text else ""
        time.sleep(0.1)
    run.check(found == primary, "the new primary was not announced in the "
              "store within 8 s after it was back")


@case("store-slow", seconds=12)
def store_slow(run):
    """The store takes 2 s an answer during a submit and a failover."""
    run.expected_promotions = 1
    run.store_fault(delay_ms=2000)
    result = run.submit(run.deployment.text + "# slow store\n")
    version = run.submitted_version(result)
    if version is not None:
        run.await_version(version, range(run.deployment.proxy_count))
    run.deployment.kill(run.primary)
    run.mark()


@case("store-answer-lost", seconds=12)
def store_answer_lost(run):
    """The answer of the store to a submit is lost."""
    run.allow_errors = False
    before = run.version()
    run.store_fault(lose_answers=1)
    version = run.submitted_version(
        run.submit(run.deployment.text + "# answer lost\n"))
    if version is None:
        return
    run.check(version > before, f"version {version} after {before}")
    run.await_version(version, range(run.deployment.proxy_count))
    _, text = http("GET", run.deployment.platform,
                   f"/objects/teams/{run.deployment.team['team']}")
    run.check("# answer lost" in text, "the store has another text")
    run.check(run.version() == version, f"submit said {version}, in force is "
              f"{run.version()}")


@case("submit-race")
def submit_race(run):
    """Two operators submit at the same time, based on the same version."""
    run.allow_errors = False
    based_on = run.version()
    results = {}

    def submit(number):
        results[number] = run.submit(
            run.deployment.text + f"# operator {number}\n", number, based_on)

    threads = [threading.Thread(target=submit, args=(n,)) for n in (0, 1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    codes = sorted(result.returncode for result in results.values())
    if not run.check(codes == [0, 1], f"exit codes {codes}: " + "; ".join(
            r.stderr.strip() for r in results.values())):
        return
    winner = next(r for r in results.values() if r.returncode == 0)
    loser = next(r for r in results.values() if r.returncode == 1)
    version = winner.stdout.split()[1]
    run.check(version in loser.stderr,
              f"winner {version}, the loser was told: {loser.stderr.strip()}")
    run.await_version(int(version), range(run.deployment.proxy_count))


@case("configuration-everywhere", proxies=6)
def configuration_everywhere(run):
    """Five configurations in a row are in force on all proxies within 3 s."""
    run.allow_errors = False
    slowest = 0
    for number in range(5):
        version = run.submitted_version(run.submit(
            run.deployment.text + f"# change {number}\n",
            number % run.deployment.proxy_count))
        if version is None:
            return
        duration = run.await_version(version,
                                     range(run.deployment.proxy_count))
        slowest = max(slowest, duration or 0)
    run.notes.append(f"slowest {slowest * 1000:.0f} ms")


@case("proxy-starts-while-store-is-down", seconds=10)
def proxy_starts_while_store_is_down(run):
    """A proxy that starts while the store is down asks its peers."""
    run.allow_errors = False
    number = run.deployment.proxy_count
    version = run.submitted_version(
        run.submit(run.deployment.text + "# newest\n"))
    run.deployment._register_vm(number)
    time.sleep(1)
    run.store_fault(down=True)
    start = time.monotonic()
    run.deployment.start_proxy(number)
    older = []
    while time.monotonic() < start + 6:
        seen = run.version(number)
        if seen is not None and version is not None:
            if seen >= version:
                break
            older.append(seen)
        time.sleep(0.02)
    run.check(not older, f"older versions were in force: {older}")
    if run.check(run.version(number) == version,
                 f"no configuration 6 s after the start: "
                 f"{run.version(number)}"):
        run.notes.append(f"after {(time.monotonic() - start) * 1000:.0f} ms")
    run.store_fault(down=False)


@case("replica-lag", seconds=8)
def replica_lag(run):
    """Replicas lag by 3 s under acknowledge = "replica"."""
    for name in run.deployment.endpoint_names(run.service):
        run.fault(name, lag_ms=3000)


@case("primary-and-owner")
def primary_and_owner(run):
    """The primary and the proxy that owns its pool fail at the same time."""
    run.expected_promotions = 1
    owner = run.owner_of(run.primary)
    run.deployment.kill(run.primary)
    run.deployment.kill(run.deployment.vm(owner))
    run.mark()


@case("primary-twice", seconds=14)
def primary_twice(run):
    """The second primary fails after the first change."""
    run.expected_promotions = 2
    # The failure detection threshold is doubled for 10 s after a promotion.
    run.gap_limit_ms = 3000
    run.fault(run.primary, crash_ms=2500)
    run.mark()
    second = run.await_primary_change(run.primary)
    time.sleep(4)
    if second is None:
        return
    run.fault(second, crash_ms=2500)
    run.mark()


@case("commands")
def commands(run):
    """check, status, resolve and version."""
    run.allow_errors = False
    path = run.write_text("good.toml", run.deployment.text)
    run.check(run.command("check", path).returncode == 0, "check: not 0")
    path = run.write_text("bad.toml", run.deployment.text + "unknown = 1\n")
    result = run.command("check", path)
    run.check(result.returncode == 1 and
              "bad.toml:" in result.stdout + result.stderr,
              f"check of a bad text: {result.returncode} {result.stderr}")
    run.check(run.command("version").returncode == 0, "version: not 0")
    result = run.command("resolve", run.service, "never-sent", proxy=0)
    run.check(result.returncode == 0 and result.stdout.strip() == "not_run",
              f"resolve: {result.returncode} {result.stdout} {result.stderr}")
    for number in range(run.deployment.proxy_count):
        status = run.status(number)
        if status is None:
            continue
        run.check(all(g["primary"] == run.deployment.primary_of(g["service"])
                      for g in status["groups"]), "status: wrong primary")
        run.check(all(m["state"] == "alive" for m in status["members"]),
                  "status: a VM is not alive")
        run.check(status["store_reachable"], "status: store not reachable")


def check_result(run, result, options):
    """Adds to the findings the problems that the load and the groups show."""
    for name in ("lost", "doubled", "stale_own_reads", "torn_transactions",
                 "untrue_not_run", "unresolved"):
        if result.get(name, 0):
            run.findings.append(f"{name} {result[name]}")
    verdicts = result.get("verdicts", {})
    if result and not result.get("data_checked"):
        run.findings.append("the final data could not be read")
    if verdicts.get("foreign_answer"):
        run.findings.append(f"{verdicts['foreign_answer']} foreign answers")
    errors = sum(n for name, n in verdicts.items() if name != "ran")
    allowed = sum(n for name, n in (result.get("reasons") or {}).items()
                  if name in run.allowed_reasons)
    if errors > allowed and not run.allow_errors:
        run.findings.append(f"{errors} errors to callers: {verdicts} "
                            f"{result.get('reasons')}")
    gap = result.get("failover_gap_ms", 0)
    if gap < 0:
        run.findings.append("no write was acknowledged after the failure")
    elif gap > LIMIT_GAP_MS:
        run.findings.append(f"gap {gap:.0f} ms above the hard limit")
    elif gap > run.gap_limit_ms:
        run.findings.append(f"gap {gap:.0f} ms above {run.gap_limit_ms} ms")
    terms = run.read_terms()
    promotions = sum(terms.values()) - sum(run.terms.values())
    if promotions != run.expected_promotions:
        run.findings.append(f"{promotions} terms, expected "
                            f"{run.expected_promotions}")
    return errors, promotions


def run_case(name, options):
    function, case_options = CASES[name]
    load_options = dict(case_options)
    proxies = load_options.pop("proxies", 3)
    deployment = Deployment(options.users, options.build, proxies=proxies)
    started = time.monotonic()
    with deployment:
        run = Run(deployment, options.seed)
        run.start_load(**load_options)
        try:
            function(run)
        except Exception as error:  # continue with the other cases
            run.findings.append(f"{type(error).__name__}: {error}")
        result = run.finish_load()
        errors, promotions = check_result(run, result, options)
        row = {
            "case": name,
            "lost": result.get("lost"),
            "doubled": result.get("doubled"),
            "stale_own_reads": result.get("stale_own_reads"),
            "torn_transactions": result.get("torn_transactions"),
            "untrue_not_run": result.get("untrue_not_run"),
            "unresolved": result.get("unresolved"),
            "failover_gap_ms": result.get("failover_gap_ms"),
            "promotions": promotions,
            "errors": errors,
            "acknowledged": result.get("acknowledged_writes"),
            "verdict": "broken" if run.findings else "ok",
            "findings": run.findings,
            "notes": run.notes,
            "reasons": result.get("reasons"),
            "verdicts": result.get("verdicts"),
            "logs": str(deployment.directory),
            "seconds": round(time.monotonic() - started, 1),
        }
    return row


COLUMNS = ["case", "lost", "doubled", "stale_own_reads", "torn_transactions",
           "untrue_not_run", "unresolved", "failover_gap_ms", "promotions",
           "errors", "acknowledged", "verdict"]
TITLES = ["case", "lost", "dbl", "stale", "torn", "untrue", "unres", "gap ms",
          "prom", "errors", "acked", "verdict"]
WIDTHS = [34, 5, 4, 6, 5, 7, 6, 8, 5, 7, 7, 8]


def print_row(values):
    cells = []
    for value, width in zip(values, WIDTHS):
        text = f"{value:.0f}" if isinstance(value, float) else str(value)
        cells.append(text.ljust(width))
    print(" ".join(cells).rstrip(), flush=True)


def main():
    parser = argparse.ArgumentParser(prog="scripts/faults")
    parser.add_argument("--case", action="append", choices=list(CASES),
                        metavar="NAME", help="may be given several times")
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--users", choices=["registro", "hire-core"],
                        default="registro")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--build", default="build")
    options = parser.parse_args()
    if options.list:
        for name, (function, _) in CASES.items():
            print(f"{name:34} {function.__doc__}")
        return 0
    print_row(TITLES)
    rows = []
    for name in options.case or CASES:
        row = run_case(name, options)
        rows.append(row)
        print_row([row[column] for column in COLUMNS])
        for text in row["findings"]:
            print(f"    {text}", flush=True)
        for text in row["notes"]:
            print(f"    note: {text}", flush=True)
    broken = [row["case"] for row in rows if row["verdict"] != "ok"]
    print(json.dumps({"users": options.users, "seed": options.seed,
                      "broken": broken, "cases": rows}))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
