"""The platform's store and its promotion service."""

import asyncio
import random

import aiohttp.web


class Table:
    """Objects with revisions and their history."""

    def __init__(self):
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.history_from = 0

    def put(self, kind, name, spec, expected=None, create=False):
        """Returns an HTTP status and the object."""
        known = self.objects.get((kind, name))
        if create and known is not None:
            return 409, known
        if not create and known is None:
            return 404, None
        if expected is not None and known is not None and \
                known["meta"]["Revision"] != expected:
            return 409, known
        if known is not None and known["spec"] == spec:
            return 200, known
        self.revision += 1
        created = known["meta"]["Created"] if known else self.revision
        stored = {"meta": {"Name": name, "Revision": self.revision,
                           "Created": created}, "spec": spec}
        self.objects[kind, name] = stored
        self._record(kind, stored, False)
        return 200, stored

    def remove(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self._record(kind, stored, True)

    def set(self, kind, name, spec):
        self.put(kind, name, spec, create=(kind, name) not in self.objects)

    def forget_history(self):
        self.history_from = self.revision
        self.history.clear()

    def _record(self, kind, stored, deleted):
        self.history.append((self.revision, kind, stored, deleted))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class StoreFaults:
    """How the store treats one VM."""

    def __init__(self):
        # None, "busy", "many", "reset" or "silent".
        self.down = None
        self.delay_s = 0.0
        # Share of the writes that are done and not answered.
        self.lose = 0.0
        # These are done that much later.
        self.late_s = 0.0


class Store:
    """Serves one VM; each has a port of its own, and its own faults."""

    def __init__(self, table, promises, groups, rewrite, vm):
        self.table = table
        self.promises = promises
        self.groups = groups
        self.rewrite = rewrite
        self.vm = vm
        self.faults = StoreFaults()
        self.port = 0
        self.calls = 0
        # Kept: without a reference it stops to serve.
        self.runner = None

    async def start(self):
        app = aiohttp.web.Application()
        app.router.add_post("/promotion", self._promote)
        app.router.add_route("*", "/-/objects/{kind}", self._collection)
        app.router.add_route("*", "/-/objects/{kind}/{name}", self._object)
        self.runner = aiohttp.web.AppRunner(app, access_log=None)
        await self.runner.setup()
        site = aiohttp.web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def _gate(self, request):
        """Returns an answer instead of the store's own, or None."""
        self.calls += 1
        await asyncio.sleep(0.002 + self.faults.delay_s)
        down = self.faults.down
        if down == "busy":
            return aiohttp.web.Response(status=503)
        if down == "many":
            return aiohttp.web.Response(status=429)
        if down == "reset":
            request.transport.abort()
            raise asyncio.CancelledError
        if down == "silent":
            await self._never(request)
        return None

    @staticmethod
    async def _never(request):
        await asyncio.sleep(30)
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError

    def _shown(self, kind, stored):
        return self.rewrite(self.vm, kind, stored)

    async def _collection(self, request):
        refused = await self._gate(request)
        if refused is not None:
            return refused
        kind = request.match_info["kind"]
        if request.method == "POST":
            return await self._write(request, kind, None)
        if "Watch" in request.query:
            return await self._watch(request, kind)
        names = sorted(n for k, n in self.table.objects
                       if k == kind and n > request.query.get("after", ""))
        items = [self._shown(kind, self.table.objects[kind, n])
                 for n in names[:50]]
        return aiohttp.web.json_response(
            {"items": items, "More": len(names) > 50,
             "StoreRevision": self.table.revision})

    async def _watch(self, request, kind):
        after = int(request.query["Watch"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query.get("WaitMs", "0")) / 1000
        while True:
            if after < self.table.history_from:
                return aiohttp.web.Response(status=410)
            events = [{"Object": self._shown(kind, stored), "Deleted": gone}
                      for at, k, stored, gone in self.table.history
                      if at > after and k == kind]
            left = until - loop.time()
            if events or left <= 0:
                return aiohttp.web.json_response(
                    {"events": events, "StoreRevision": self.table.revision})
            try:
                async with asyncio.timeout(min(left, 0.3)):
                    await self.table.changed.wait()
            except asyncio.TimeoutError:
                pass
            refused = await self._gate(request) if self.faults.down else None
            if refused is not None:
                return refused

    async def _object(self, request):
        refused = await self._gate(request)
        if refused is not None:
            return refused
        kind, name = request.match_info["kind"], request.match_info["name"]
        if request.method == "PUT":
            return await self._write(request, kind, name)
        if request.method == "DELETE":
            self.table.remove(kind, name)
            return aiohttp.web.json_response({})
        stored = self.table.objects.get((kind, name))
        if stored is None:
            return aiohttp.web.Response(status=404)
        return aiohttp.web.json_response(self._shown(kind, stored))

    async def _write(self, request, kind, name):
        body = await request.json()
        meta = body["meta"]
        expected = meta.get("Revision")
        lost = random.random() < self.faults.lose
        if lost and self.faults.late_s:
            await asyncio.sleep(self.faults.late_s * random.random())
        status, stored = self.table.put(
            kind, name or meta["Name"], body["spec"], expected,
            create=name is None)
        if lost:
            await self._never(request)
        if stored is None:
            return aiohttp.web.Response(status=status)
        return aiohttp.web.json_response(self._shown(kind, stored),
                                         status=status)

    async def _promote(self, request):
        refused = await self._gate(request)
        if refused is not None:
            return refused
        body = await request.json()
        self.promises.promoted(body["Service"], request.headers["Duty-Holder"],
                               int(request.headers["Fencing-Token"]))
        group = self.groups.get(body["Service"])
        status = await group.promote(body["Id"]) if group else 409
        return aiohttp.web.json_response({}, status=status)
