"""Runs proxies as processes under random faults and checks the promises.

Exit code 1 when a seed breaks a promise. Each seed is a run of its own.
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
from deployment import World
from faults import run_schedule
from promises import Promises

# Faults strike for this long; then everything has to come back.
FAULT_S = 12.0
RECOVERY_S = 12.0
# The longest fault has ended by then.
SCHEDULE_LIMIT_S = FAULT_S + 30
JUDGED_S = 3.0
# Share of the operations that is served again after the recovery.
SERVED_SHARE = 0.8


async def play(seed, program, directory):
    """Plays one seed; returns findings and figures."""
    rng = random.Random(seed)
    promises = Promises()
    world = World(rng, promises, directory, program, rng.choice([3, 4, 6, 12]),
                  ["registro", "hire-core"][:rng.choice([1, 2])])
    schedule = []
    balancer = Balancer(world.vms)
    tasks = []
    try:
        await world.start()
        tasks.append(asyncio.create_task(balancer.run()))
        await asyncio.sleep(3)
        started = time.monotonic()
        until = started + 1000
        callers = [Caller(balancer, promises, world.routes,
                          random.Random(rng.random())) for _ in range(24)]
        tasks += [asyncio.create_task(c.run(until)) for c in callers]
        async with asyncio.timeout(SCHEDULE_LIMIT_S):
            await run_schedule(
                world, random.Random(f"faults of {seed}"), FAULT_S,
                lambda name: schedule.append(
                    f"{time.monotonic() - promises.started:.2f} {name}"))
        await asyncio.sleep(RECOVERY_S)
        judged_from = time.monotonic()
        await asyncio.sleep(JUDGED_S)
        served = sum(1 for at, _ in promises.served if at >= judged_from)
        refused = sum(1 for at, _ in promises.refused if at >= judged_from)
        if served < SERVED_SHARE * max(1, served + refused):
            promises.found("RECOVER", f"{served} operations served, "
                           f"{refused} not, after the recovery")
        broken = [t for t in tasks if t.done() and not t.cancelled()]
        for task in broken:
            raise task.exception() or RuntimeError("a caller ended")
        promises.review_logs(world.groups.values())
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await world.stop()
    return promises, schedule


def regression_seeds():
    path = pathlib.Path(__file__).with_name("regressions.txt")
    lines = [line for line in path.read_text().splitlines()
             if line and not line.startswith("#")]
    return [int(line.split()[0]) for line in lines]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    chosen = parser.add_mutually_exclusive_group(required=True)
    chosen.add_argument("--seeds", help="A-B or A")
    chosen.add_argument("--regressions", action="store_true",
                        help="the seeds that failed once")
    parser.add_argument("--program", default="build/src/carawayhaven")
    parser.add_argument("--keep", help="folder for the logs of failed seeds")
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
            promises, schedule = asyncio.run(
                play(seed, options.program, directory))
        print(f"seed {seed}: {len(promises.served)} served, "
              f"{len(promises.refused)} not, {len(promises.commits)} writes, "
              f"{len(promises.tokens)} promotions, "
              f"{len(promises.findings)} findings", flush=True)
        if promises.findings:
            failed.append(seed)
            for line in schedule + promises.findings[:20]:
                print("  " + line, flush=True)
    if failed:
        print("failed seeds:", *failed)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
