"""A promotion doesn't wait for the slow replica that has the last commits."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import standins  # noqa: E402


async def case(record, trouble):
    deployment = standins.Deployment(record, sync=1)
    broken = []

    def on_promoted(old, chosen):
        for commit in old.log[len(chosen.log):]:
            if commit.acked_at is not None:
                broken.append(
                    f"LOST: commit {commit} of write {commit.ids[0]} was "
                    f"acknowledged and isn't in the log of {chosen.name}")

    try:
        await deployment.start()
        deployment.group.on_promoted = on_promoted
        for backend in deployment.backends:
            backend.status_waits = True
        load = standins.Load(deployment)
        load.start()
        await asyncio.sleep(5)
        primary, slow, deaf = deployment.backends
        if trouble:
            record.say(f"{deaf.name} receives nothing for 6.5 s")
            deaf.deaf = True
        await asyncio.sleep(2)
        if trouble:
            record.say(f"work takes 5 times as long on {slow.name} for 6.5 s")
            slow.work_x = 5.0
        await asyncio.sleep(1)
        for backend in deployment.backends:
            backend.status_counts = {"row": 0, "busy": 0}
        if trouble:
            primary.crash()
            record.say(f"{primary.name}, the primary, crashes for 7 s; "
                       f"commits received: {len(primary.log)}, "
                       f"{slow.name} {len(slow.log)}, "
                       f"{deaf.name} {len(deaf.log)}")
        await asyncio.sleep(3.5)
        record.say(f"STATUS answers of {slow.name} since: "
                   f"{slow.status_counts}")
        deaf.deaf = False
        if deployment.group.primary is not deaf:
            deaf.follow(deployment.group.primary)
        await asyncio.sleep(2)
        slow.work_x = 1.0
        await asyncio.sleep(1.5)
        if trouble:
            await primary.start()
        await asyncio.sleep(3)
        record.say(f"primary now: {deployment.group.primary.name}; "
                   f"attempts by result: {load.counts}")
        return broken
    finally:
        await deployment.stop()


standins.run_case(pathlib.Path(__file__).parent, case)
