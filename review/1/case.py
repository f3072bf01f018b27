"""A planned hand-over loses acknowledged commits; nothing crashes."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import standins  # noqa: E402

DRAIN_S = 8.5


async def replace(deployment, record, old, name):
    """Drains a backend and starts a new one at its address with its log."""
    record.say(f"{old.name}, {old.role}, is to be replaced and drains")
    old.draining = True
    old.publish()
    await asyncio.sleep(DRAIN_S)
    new = standins.Backend(deployment.group, name, old.zone)
    new.log, new.applied = list(old.log), old.applied
    new.term, new.port = old.term, old.port
    was_primary = deployment.group.primary is old
    old.crash()
    deployment.group.backends.remove(old)
    deployment.store.remove("servers", old.name)
    await asyncio.sleep(0.3)
    if was_primary:
        deployment.group.primary, new.role = new, "primary"
    await new.start()
    deployment.backends.append(new)
    deployment.spawn(new.heartbeats())
    record.say(f"{old.name} has ended, {new.name} has its log")


async def disrupt(deployment, record):
    primary, in_time, deaf = deployment.backends
    record.say(f"{deaf.name} receives nothing for 6.5 s")
    deaf.deaf = True
    await asyncio.sleep(1)
    first = deployment.spawn(replace(deployment, record, in_time, "i-4"))
    await asyncio.sleep(1)
    second = deployment.spawn(replace(deployment, record, primary, "i-5"))
    await asyncio.sleep(4.5)
    record.say(f"{deaf.name} receives again; primary: "
               f"{deployment.group.primary.name}; {primary.name} runs: "
               f"{primary.running}, {in_time.name} runs: {in_time.running}")
    deaf.deaf = False
    if deployment.group.primary is not deaf:
        deaf.follow(deployment.group.primary)
    await asyncio.gather(first, second)


async def case(record, trouble):
    deployment = standins.Deployment(record, sync=1)
    broken = []

    def on_promoted(old, chosen):
        record.say(f"{chosen.name} is promoted; {old.name} runs: "
                   f"{old.running}")
        for commit in old.log[len(chosen.log):]:
            if commit.acked_at is not None:
                broken.append(
                    f"LOST: commit {commit} of write {commit.ids[0]} was "
                    f"acknowledged and isn't in the log of {chosen.name}")

    try:
        await deployment.start()
        deployment.group.on_promoted = on_promoted
        load = standins.Load(deployment)
        load.start(busy_hour=0.5)
        await asyncio.sleep(4)
        if trouble:
            await disrupt(deployment, record)
        else:
            await asyncio.sleep(11)
        await asyncio.sleep(3)
        record.say(f"primary now: {deployment.group.primary.name}; "
                   f"attempts by result: {load.counts}")
        return broken
    finally:
        await deployment.stop()


standins.run_case(pathlib.Path(__file__).parent, case)
