"""Runs proxies as processes under random faults; checks their guarantees.

Exit code 1 when a seed violates a guarantee. Each seed is a run of its own.
"""

import argparse
import asyncio
import logging
import pathlib
import random
import sys
import tempfile
import time

from callers import Balancer, Caller
from deployment import Deployment
from faults import run_answer_faults, run_replica_faults, run_restarts, \
    run_restores, run_schedule
from promises import GuaranteeChecker

# Faults start during this time; then the deployment must recover.
FAULT_DURATION_S = 12.0
RECOVERY_DURATION_S = 12.0
# By then all faults, also the longest, must have been undone.
SCHEDULE_TIMEOUT_S = FAULT_DURATION_S + 30
MEASUREMENT_DURATION_S = 3.0
# Time within which an added route must be served everywhere.
CONFIG_LIMIT_S = 3.0
# Minimum share of served operations after the recovery.
MIN_SERVED_RATIO = 0.8


async def check_added_route(deployment, balancer, checker):
    """A route that the operator adds must be known to all ready VMs."""
    host = "added-at-the-end"
    deployment.add_route(host)
    await asyncio.sleep(CONFIG_LIMIT_S)
    for vm in list(balancer.ready):
        try:
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", vm.caller_port)
                writer.write(f"CONNECT {host} soak\r\n".encode())
                answer = await reader.readline()
                writer.close()
        except (OSError, asyncio.TimeoutError) as error:
            answer = repr(error).encode()
        if not answer.startswith(b"READY"):
            checker.report("CONFIG", f"{vm.name} answers {answer!r} to a "
                           f"session of a route that was added "
                           f"{CONFIG_LIMIT_S} s before")


async def run_seed(seed, program, directory, with_restores=False,
                   sync_replicas=0, with_faulty_answers=False):
    """Runs one seed; returns the checker with its findings, a schedule, and
    the number of faulty answers."""
    rng = random.Random(seed)
    checker = GuaranteeChecker()
    deployment = Deployment(rng, checker, directory, program,
                            rng.choice([3, 4, 6, 12]),
                            ["registro", "hire-core"][:rng.choice([1, 2])],
                            sync_replicas, with_faulty_answers)
    schedule = []

    def on_fault_started(name):
        schedule.append(f"{time.monotonic() - checker.started_at:.2f} {name}")

    balancer = Balancer(deployment.vms)
    tasks = []
    try:
        await deployment.start()
        tasks.append(asyncio.create_task(balancer.run()))
        await asyncio.sleep(3)
        start_time = time.monotonic()
        end_time = start_time + 1000
        callers = [Caller(balancer, checker, deployment.routes,
                          random.Random(rng.random())) for _ in range(24)]
        tasks += [asyncio.create_task(c.run(end_time)) for c in callers]
        async with asyncio.timeout(SCHEDULE_TIMEOUT_S):
            schedules = [run_schedule(
                deployment, random.Random(f"faults of {seed}"),
                FAULT_DURATION_S, on_fault_started)]
            if with_restores:
                schedules.append(run_restores(
                    deployment, random.Random(f"restores of {seed}"),
                    FAULT_DURATION_S, on_fault_started))
            if sync_replicas:
                schedules.append(run_replica_faults(
                    deployment, random.Random(f"replicas of {seed}"),
                    FAULT_DURATION_S, on_fault_started))
                schedules.append(run_restarts(
                    deployment, random.Random(f"restarts of {seed}"),
                    FAULT_DURATION_S, on_fault_started))
            if with_faulty_answers:
                schedules.append(run_answer_faults(
                    deployment, random.Random(f"answers of {seed}"),
                    FAULT_DURATION_S, on_fault_started))
            await asyncio.gather(*schedules)
        await asyncio.sleep(RECOVERY_DURATION_S)
        measured_from = time.monotonic()
        await asyncio.sleep(MEASUREMENT_DURATION_S)
        served = sum(1 for at, _ in checker.served if at >= measured_from)
        refused = sum(1 for at, _ in checker.refused if at >= measured_from)
        if served < MIN_SERVED_RATIO * max(1, served + refused):
            checker.report("RECOVER", f"{served} operations served, "
                           f"{refused} not, after the recovery")
        if with_restores:
            await check_added_route(deployment, balancer, checker)
        ended_tasks = [t for t in tasks if t.done() and not t.cancelled()]
        for task in ended_tasks:
            raise task.exception() or RuntimeError(
                "a caller or the balancer ended early")
        if with_faulty_answers and not deployment.faulty_answers:
            raise RuntimeError("no endpoint gave a faulty answer")
        checker.check_logs(deployment.groups.values())
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await deployment.stop()
    return checker, schedule, deployment.faulty_answers


def regression_seeds():
    path = pathlib.Path(__file__).with_name("regressions.txt")
    lines = [line for line in path.read_text().splitlines()
             if line and not line.startswith("#")]
    return [int(line.split()[0]) for line in lines]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    mode = parser.add_mutually_exclusive_group(required=True)
    mode.add_argument("--seeds", help="A-B or A")
    mode.add_argument("--regressions", action="store_true",
                      help="the seeds that failed before")
    parser.add_argument("--program", default="build/src/carawayhaven")
    parser.add_argument("--keep", help="folder for the logs of failed seeds")
    parser.add_argument("--restores", action="store_true",
                        help="also restore the store from older copies")
    parser.add_argument("--sync-replicas", type=int, default=0,
                        help="replicas that hold each acknowledged commit; "
                        "above 0 also faults of replicas")
    parser.add_argument("--faulty-answers", action="store_true",
                        help="also endpoints that answer twice, late, with "
                        "another result or not whole")
    options = parser.parse_args()
    if options.regressions:
        seeds = regression_seeds()
    else:
        first, _, last = options.seeds.partition("-")
        seeds = range(int(first), int(last or first) + 1)
    failed = []
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    for seed in seeds:
        with tempfile.TemporaryDirectory() as temporary:
            directory = pathlib.Path(temporary)
            if options.keep:
                directory = pathlib.Path(options.keep) / f"seed-{seed}"
                directory.mkdir(parents=True, exist_ok=True)
            checker, schedule, faulty_answers = asyncio.run(
                run_seed(seed, options.program, directory, options.restores,
                         options.sync_replicas, options.faulty_answers))
        faulty_text = f"{faulty_answers} faulty answers, " \
            if options.faulty_answers else ""
        print(f"seed {seed}: {len(checker.served)} served, "
              f"{len(checker.refused)} not, {len(checker.commits)} writes, "
              f"{len(checker.holder_of_token)} promotions, {faulty_text}"
              f"{len(checker.findings)} findings", flush=True)
        if checker.findings:
            failed.append(seed)
            for line in schedule + checker.findings[:20]:
                print("  " + line, flush=True)
    if failed:
        print("failed seeds:", *failed)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
