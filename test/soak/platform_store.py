"""Simulation of the platform's store and its promotion service."""

import asyncio
import random
import time

import aiohttp.web


class StoreTable:
    """Objects with their revisions and the history of updates."""

    def __init__(self):
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        # Watches from an earlier revision are answered with HTTP 410.
        self.history_start = 0
        # Rises with each restore.
        self.era = 0
        # Time, key and previous object of each change, to undo it.
        self._changes = []

    def put(self, kind, name, spec, expected=None, create=False):
        """Returns an HTTP status and the stored object."""
        existing = self.objects.get((kind, name))
        if create and existing is not None:
            return 409, existing
        if not create and existing is None:
            return 404, None
        if expected is not None and existing is not None and \
                existing["meta"]["Revision"] != expected:
            return 409, existing
        if existing is not None and existing["spec"] == spec:
            return 200, existing
        self.revision += 1
        created = existing["meta"]["Created"] if existing else self.revision
        stored = {"meta": {"Name": name, "Revision": self.revision,
                           "Created": created}, "spec": spec}
        self._changes.append((time.monotonic(), (kind, name), existing))
        self.objects[kind, name] = stored
        self._record(kind, stored, False)
        return 200, stored

    def remove(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self._changes.append((time.monotonic(), (kind, name), stored))
            self.revision += 1
            self._record(kind, stored, True)

    def set(self, kind, name, spec):
        self.put(kind, name, spec, create=(kind, name) not in self.objects)

    def drop_history(self):
        self.history_start = self.revision
        self.history.clear()

    def restore(self, copied_at):
        """Returns to the state of an earlier time and begins a new era."""
        while self._changes and self._changes[-1][0] > copied_at:
            _, key, previous = self._changes.pop()
            self.revision -= 1
            if previous is None:
                del self.objects[key]
            else:
                self.objects[key] = previous
        self.history = [h for h in self.history if h[0] <= self.revision]
        self.history_start = min(self.history_start, self.revision)
        self.era += 1

    def _record(self, kind, stored, deleted):
        self.history.append((self.revision, kind, stored, deleted))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class StoreFaults:
    """How the store fails for one VM."""

    def __init__(self):
        # None, "busy" (HTTP 503), "many" (HTTP 429), "reset" or "silent".
        self.outage = None
        self.delay_s = 0.0
        # Share of the writes that are applied without a reply.
        self.reply_loss_ratio = 0.0
        # Upper bound of the delay before such a write is applied.
        self.max_write_delay_s = 0.0


class StoreServer:
    """Serves one VM on a port of its own, with its own faults."""

    def __init__(self, table, checker, groups, rewrite, vm):
        self.table = table
        self.checker = checker
        self.groups = groups
        self.rewrite = rewrite
        self.vm = vm
        self.faults = StoreFaults()
        self.port = 0
        self.calls = 0
        # Holds a reference: the server stops when the runner is collected.
        self.runner = None

    async def start(self):
        app = aiohttp.web.Application()
        app.on_response_prepare.append(self._add_era)
        app.router.add_post("/promotion", self._promote)
        app.router.add_route("*", "/-/objects/{kind}", self._collection)
        app.router.add_route("*", "/-/objects/{kind}/{name}", self._object)
        self.runner = aiohttp.web.AppRunner(app, access_log=None)
        await self.runner.setup()
        site = aiohttp.web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def _add_era(self, _request, response):
        response.headers["Store-Era"] = str(self.table.era)

    async def _apply_faults(self, request):
        """Returns a faulty answer in place of the store's own, or None."""
        self.calls += 1
        await asyncio.sleep(0.002 + self.faults.delay_s)
        outage = self.faults.outage
        if outage == "busy":
            return aiohttp.web.Response(status=503)
        if outage == "many":
            return aiohttp.web.Response(status=429)
        if outage == "reset":
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError
        if outage == "silent":
            await self._hang(request)
        return None

    @staticmethod
    async def _hang(request):
        await asyncio.sleep(30)
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError

    def _rewritten(self, kind, stored):
        return self.rewrite(self.vm, kind, stored)

    async def _collection(self, request):
        fault_response = await self._apply_faults(request)
        if fault_response is not None:
            return fault_response
        kind = request.match_info["kind"]
        if request.method == "POST":
            return await self._write(request, kind, None)
        if "Watch" in request.query:
            return await self._watch(request, kind)
        names = sorted(n for k, n in self.table.objects
                       if k == kind and n > request.query.get("after", ""))
        items = [self._rewritten(kind, self.table.objects[kind, n])
                 for n in names[:50]]
        return aiohttp.web.json_response(
            {"items": items, "More": len(names) > 50,
             "StoreRevision": self.table.revision})

    async def _watch(self, request, kind):
        after = int(request.query["Watch"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(request.query.get("WaitMs", "0")) / 1000
        while True:
            if not self.table.history_start <= after <= self.table.revision:
                return aiohttp.web.Response(status=410)
            events = [{"Object": self._rewritten(kind, stored),
                       "Deleted": deleted}
                      for at, k, stored, deleted in self.table.history
                      if at > after and k == kind]
            remaining_s = deadline - loop.time()
            if events or remaining_s <= 0:
                return aiohttp.web.json_response(
                    {"events": events, "StoreRevision": self.table.revision})
            try:
                async with asyncio.timeout(min(remaining_s, 0.3)):
                    await self.table.changed.wait()
            except asyncio.TimeoutError:
                pass
            fault_response = await self._apply_faults(request) \
                if self.faults.outage else None
            if fault_response is not None:
                return fault_response

    async def _object(self, request):
        fault_response = await self._apply_faults(request)
        if fault_response is not None:
            return fault_response
        kind, name = request.match_info["kind"], request.match_info["name"]
        if request.method == "PUT":
            return await self._write(request, kind, name)
        if request.method == "DELETE":
            self.table.remove(kind, name)
            return aiohttp.web.json_response({})
        stored = self.table.objects.get((kind, name))
        if stored is None:
            return aiohttp.web.Response(status=404)
        return aiohttp.web.json_response(self._rewritten(kind, stored))

    async def _write(self, request, kind, name):
        body = await request.json()
        meta = body["meta"]
        expected = meta.get("Revision")
        drop_reply = random.random() < self.faults.reply_loss_ratio
        if drop_reply and self.faults.max_write_delay_s:
            await asyncio.sleep(
                self.faults.max_write_delay_s * random.random())
        status, stored = self.table.put(
            kind, name or meta["Name"], body["spec"], expected,
            create=name is None)
        if drop_reply:
            await self._hang(request)
        if stored is None:
            return aiohttp.web.Response(status=status)
        return aiohttp.web.json_response(self._rewritten(kind, stored),
                                         status=status)

    async def _promote(self, request):
        fault_response = await self._apply_faults(request)
        if fault_response is not None:
            return fault_response
        body = await request.json()
        self.checker.on_promotion(body["Service"],
                                  request.headers["Duty-Holder"],
                                  int(request.headers["Fencing-Token"]))
        group = self.groups.get(body["Service"])
        status = await group.promote(body["Id"]) if group else 409
        return aiohttp.web.json_response({}, status=status)
