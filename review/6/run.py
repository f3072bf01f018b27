"""LOST: an acknowledged commit is not in the log of the promoted backend."""

import asyncio
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from case import TROUBLE, Case, main  # noqa: E402
from client import Ended, Session, new_id  # noqa: E402
from database import Backend, Service  # noqa: E402
from deployment import Deployment, route  # noqa: E402
from standin_platform import Platform  # noqa: E402

SERVICE, DATABASE = "registro", "lepu270"
HEARTBEAT_S = 1.2
DOWN_S = 7.0          # the crash of the primary and of a replica
NEAR_S, FAR_S = 0.0014, 0.012  # one way to the replicas
PROXIES_DOWN_S = 2.0  # the kill of all proxies
PROXIES_KILLED_AT_S = 1.8
CLIENTS = 40


class LostCommit(Case):
    def __init__(self):
        super().__init__(HERE)
        self.platform = Platform(self.record)
        self.service = Service(SERVICE, self.platform, self.record,
                               sync_replicas=1, promote_s=0.6,
                               heartbeat_s=HEARTBEAT_S)
        self.service.on_promoted = self.check
        self.deployment = Deployment(
            self.platform, self.record,
            [("mendoza", 2), ("cordoba", 2), ("parana", 2)])
        self.acknowledged = []
        self.lost = []
        self.running = True

    def check(self, backend):
        """The rule: all acknowledged commits are in the promoted log."""
        missing = [c for c in self.acknowledged if c not in backend.log]
        for commit in missing:
            self.record(f"LOST: commit {commit} of {commit.ids[0]}, "
                        f"acknowledged to its client at "
                        f"{commit.acknowledged_at - self.started:.3f}, is not "
                        f"in the log of {backend.name}")
        self.lost += missing

    async def client(self, number):
        while self.running:
            vm = random.choice(self.deployment.vms)
            session = Session(vm.host, vm.front)
            try:
                if await session.open(DATABASE) is not None:
                    raise Ended
                for _ in range(20):
                    query = new_id()
                    self.record(f"client {number} sends {query} WRITE")
                    _, code, signature = await session.query(
                        f"WRITE {random.randrange(2000):x} data", query)
                    self.record(f"client {number} gets {query} "
                                f"{code or 'COMPLETE ' + signature}")
                    if code is None:
                        for commit in self.service.commits[query]:
                            commit.acknowledged_at = time.monotonic()
                            self.acknowledged.append(commit)
                    await asyncio.sleep(random.uniform(.03, .12))
            except (Ended, OSError, asyncio.TimeoutError):
                await asyncio.sleep(random.uniform(.1, .3))
            finally:
                session.close()

    async def run(self):
        await self.platform.start()
        backends = [Backend(self.service, f"i-{i}{random.getrandbits(24):06x}",
                            zone) for i, zone in
                    enumerate(["mendoza", "mendoza", "parana"])]
        for backend in backends:
            await backend.start()
        primary, near, far = backends
        near.replication_s, far.replication_s = NEAR_S, FAR_S
        self.deployment.write_config(
            [route(DATABASE, SERVICE, "primary")],
            [{"Name": SERVICE, "MaxConnections": 21, "SyncReplicas": 1}])
        clients = []
        try:
            await self.deployment.start()
            if not await self.deployment.wait_ready(25):
                self.record("the proxies do not get ready")
                return 2
            await asyncio.sleep(5)
            clients = [asyncio.create_task(self.client(n)) for n in range(CLIENTS)]
            await asyncio.sleep(5)
            before = len(self.acknowledged)
            self.record(f"{before} commits acknowledged")
            if before < 50:
                return 2
            if TROUBLE:
                await self.trouble(primary, near)
            else:
                await asyncio.sleep(DOWN_S)
            await asyncio.sleep(12)
            self.record(f"{len(self.acknowledged)} commits acknowledged, "
                        f"{len(self.platform.promotions)} promotions ordered, "
                        f"{len(self.lost)} acknowledged commits lost")
            return 1 if self.lost else 0
        finally:
            self.running = False
            for task in clients:
                task.cancel()
            await asyncio.gather(*clients, return_exceptions=True)
            await self.deployment.stop()

    async def trouble(self, primary, near):
        primary.crash()
        near.crash()
        await asyncio.sleep(PROXIES_KILLED_AT_S)
        self.record("all proxies are killed")
        await asyncio.gather(*(v.kill() for v in self.deployment.vms))
        await asyncio.sleep(PROXIES_DOWN_S)
        self.record("all proxies are started")
        await self.deployment.start()
        await asyncio.sleep(DOWN_S - PROXIES_KILLED_AT_S - PROXIES_DOWN_S)
        await primary.start()
        await near.start()


if __name__ == "__main__":
    sys.exit(main(LostCommit()))
