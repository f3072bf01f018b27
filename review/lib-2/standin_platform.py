"""Stand-in of the platform: the metadata store and the promotion service.

HTTP/1.1 over asyncio, no library. One listener serves all callers; with
`rejecting` it refuses calls as the pages allow.
"""

import asyncio
import contextlib
import json
import urllib.parse

ANSWER_DELAY_S = 0.004
HISTORY = 5000


class Store:
    """Objects by kind and name with one revision counter."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()

    def put(self, kind, name, spec, expected=None, create=False):
        old = self.objects.get((kind, name))
        if create and old is not None:
            return 409, old
        if not create and old is None:
            return 404, None
        if expected is not None and old["meta"]["Revision"] != expected:
            return 409, old
        if old is not None and old["spec"] == spec:
            return 200, old
        self.revision += 1
        created = old["meta"]["Created"] if old else self.revision
        item = {"meta": {"Name": name, "Revision": self.revision,
                         "Created": created, "Finalizers": [],
                         "Deleting": False},
                "spec": spec, "status": {}}
        self.objects[kind, name] = item
        self._record(kind, item, False)
        return 200, item

    def set(self, kind, name, spec):
        self.put(kind, name, spec, create=(kind, name) not in self.objects)

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._record(kind, item, True)

    def _record(self, kind, item, deleted):
        self.events.append((self.revision, kind, item, deleted))
        del self.events[:-HISTORY]
        event, self.changed = self.changed, asyncio.Event()
        event.set()


class Platform:
    """Serves the store and POST /promotion on one loopback address."""

    def __init__(self, record):
        self.store = Store()
        self.record = record
        self.services = {}
        self.promotions = []
        self.server = None
        self.port = 0

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    key, _, value = line.partition(":")
                    headers[key.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                status, answer = await self._handle(
                    method, target, headers, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def _handle(self, method, target, headers, body):
        await asyncio.sleep(ANSWER_DELAY_S)
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        if path == "/promotion" and method == "POST":
            return await self._promote(headers, json.loads(body))
        parts = [urllib.parse.unquote(p) for p in path.split("/")[3:]]
        if not path.startswith("/-/objects/") or not parts:
            return 404, {}
        kind, name = parts[0], "/".join(parts[1:])
        if method == "GET" and not name:
            if "Watch" in query:
                return await self._watch(kind, query)
            return self._list(kind, query)
        if method == "GET":
            item = self.store.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if method in ("POST", "PUT"):
            value = json.loads(body)
            meta = value.get("meta", {})
            status, item = self.store.put(
                kind, name or meta["Name"], value.get("spec"),
                meta.get("Revision"), create=method == "POST")
            return status, item or {}
        if method == "DELETE":
            self.store.remove(kind, name)
            return 200, {}
        return 404, {}

    def _list(self, kind, query):
        names = sorted(n for k, n in self.store.objects
                       if k == kind and n > query.get("after", ""))
        items = [self.store.objects[kind, n] for n in names[:500]]
        return 200, {"items": items, "More": len(names) > 500,
                     "StoreRevision": self.store.revision}

    async def _watch(self, kind, query):
        after = int(query["Watch"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query.get("WaitMs", "0")) / 1000
        while True:
            events = [{"Object": item, "Deleted": deleted}
                      for revision, k, item, deleted in self.store.events
                      if revision > after and k == kind]
            left = end - loop.time()
            if events or left <= 0:
                return 200, {"events": events,
                             "StoreRevision": self.store.revision}
            try:
                async with asyncio.timeout(left):
                    await self.store.changed.wait()
            except asyncio.TimeoutError:
                pass

    async def _promote(self, headers, body):
        service = self.services.get(body["Service"])
        status = service.promote(body["Id"]) if service else 409
        self.promotions.append((body["Id"], headers.get("duty-holder"),
                                int(headers.get("fencing-token", "0"))))
        self.record(f"promotion of {body['Id']} ordered by "
                    f"{headers.get('duty-holder')} with token "
                    f"{headers.get('fencing-token')}: {status}")
        return status, {}
