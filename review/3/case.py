"""Reads with an age run on replicas that are further behind than that age."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import standins  # noqa: E402

MAX_AGE_S = {"bounded_staleness": 1.5, "read_your_writes": 2.5}


async def case(record, trouble):
    deployment = standins.Deployment(record)
    broken = []
    reads = {"replica": 0, "primary": 0}

    def on_read(backend, query_id, _in_transaction):
        reads[backend.role] += 1
        first_byte_at = load.sent_at[query_id]
        oldest = first_byte_at - MAX_AGE_S[load.database_of[query_id]]
        for commit in backend.log_of_primary()[backend.applied:]:
            if commit.acked_at is not None and commit.acked_at < oldest and \
                    not commit.rolled_back:
                broken.append(
                    f"STALE: read {query_id} ({load.database_of[query_id]}) ran "
                    f"on {backend.name} without commit {commit}, which was "
                    f"acknowledged {first_byte_at - commit.acked_at:.2f} s "
                    f"before the read was sent")
                return

    try:
        await deployment.start()
        deployment.group.on_read = on_read
        load = standins.Load(deployment)
        primary, *replicas = deployment.backends
        primary.busy_without_position = True
        load.start()
        await asyncio.sleep(5)
        record.say(f"reads so far: {reads}; STATUS answers of "
                   f"{primary.name}: {primary.status_counts}")
        if trouble:
            record.say("both replicas apply 150 times as late for 7 s")
            for replica in replicas:
                replica.lag_x = 150
        await asyncio.sleep(7)
        for replica in replicas:
            replica.lag_x = 1
        record.say(f"reads so far: {reads}; STATUS answers of "
                   f"{primary.name}: {primary.status_counts}")
        await asyncio.sleep(4)
        record.say(f"primary now: {deployment.group.primary.name}; "
                   f"attempts by result: {load.counts}; reads: {reads}")
        return broken
    finally:
        await deployment.stop()


standins.run_case(pathlib.Path(__file__).parent, case)
