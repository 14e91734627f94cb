"""Simulates the platform's store and its faults: rows, transactions, feeds."""

import asyncio
import base64
import json
import time

from aiohttp import web

# Seconds for which changes stay readable by feeds; older ones get status 410.
CHANGE_LOG_RETENTION = 20


class Store:
    """Versioned rows in memory; the version grows with each transaction."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.changes = []
        self.changed = asyncio.Event()
        # Faults that affect calls of nodes, see `_apply_fault`. The mode is "sound",
        # "down" or "silent"; the delay is in seconds.
        self.mode = "sound"
        self.refused_nodes = set()
        self.delay = 0.0
        self.random = None
        self.lost_reply_share = 0.0
        self._tasks = set()

    async def listen(self, address, node):
        """Serves one node; returns the runner and the port."""
        app = web.Application(client_max_size=2**21)
        app["node"] = node
        app.router.add_post("/v1/rows-tx", self._transaction)
        app.router.add_get("/v1/rows-get", self._get)
        app.router.add_get("/v1/rows-feed", self._feed)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, address, 0)
        await site.start()
        return runner, site._server.sockets[0].getsockname()[1]

    # -- Calls of the operator and the servers, which no fault affects.

    def put(self, table, key, value, part=""):
        self._apply([((table, part, key), json.dumps(value).encode())], [])

    def remove(self, table, key, part=""):
        if (table, part, key) in self.rows:
            self._apply([], [(table, part, key)])

    def drop_change_log(self):
        self.changes.clear()

    # -- Calls of nodes.

    def _apply(self, writes, removals):
        self.version += 1
        at = time.monotonic()
        for key, value in writes:
            self.rows[key] = (self.version, value)
            self.changes.append((self.version, at, key, value))
        for key in removals:
            self.rows.pop(key, None)
            self.changes.append((self.version, at, key, None))
        while self.changes and self.changes[0][1] < at - CHANGE_LOG_RETENTION:
            self.changes.pop(0)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def _reply(self, rows, status=200, **more):
        entries = []
        for (table, part, key), version, value in rows:
            entry = {"table": table, "part": part, "key": key, "ver": version}
            if value is None:
                entry["removed"] = True
            else:
                entry["value"] = base64.b64encode(value).decode()
            entries.append(entry)
        body = {
            "rows": entries,
            "ver": self.version,
            "nowMs": int(time.monotonic() * 1000),
            **more,
        }
        return web.json_response(body, status=status)

    async def _apply_fault(self, request):
        """Applies the active fault to a call; returns an error response or None."""
        node = request.app["node"]
        if self.delay:
            await asyncio.sleep(self.delay)
        if self.mode == "silent":
            await asyncio.sleep(60)
        if self.mode == "down" or node in self.refused_nodes:
            return web.Response(status=503)
        return None

    async def _transaction(self, request):
        body = await request.json()
        refusal = await self._apply_fault(request)
        if refusal:
            return refusal
        reply_lost = self.random and self.random.random() < self.lost_reply_share
        if reply_lost and self.random.random() < 0.5:
            # Committed 0.5 to 4 s later if the expected versions still match.
            task = asyncio.create_task(self._commit_later(body))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif reply_lost:
            self._commit(body)
        if reply_lost:
            # A proxy may have closed the connection already.
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)
        current = self._commit(body)
        if current is None:
            return self._reply([])
        return self._reply(current, status=412)

    async def _commit_later(self, body):
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        self._commit(body)

    def _commit(self, body):
        """Applies a transaction; returns the current rows if a version differs."""
        key = lambda entry: (entry["table"], entry.get("part", ""), entry["key"])
        expected = [(key(e), e["ver"]) for e in body.get("expectedRev", [])]
        if any(self.rows.get(k, (0, None))[0] != v for k, v in expected):
            return [(k, *self.rows[k]) for k, _ in expected if k in self.rows]
        writes = [(key(e), base64.b64decode(e["value"])) for e in body["writes"]]
        self._apply(writes, [key(e) for e in body.get("remove", [])])
        return None

    async def _get(self, request):
        refusal = await self._apply_fault(request)
        if refusal:
            return refusal
        query = request.query
        found = sorted(
            (key, *row)
            for key, row in self.rows.items()
            if key[:2] == (query["table"], query["part"])
            and key[2] >= query.get("from", "")
        )
        return self._reply(found[:500], hasMore=len(found) > 500)

    async def _feed(self, request):
        refusal = await self._apply_fault(request)
        if refusal:
            return refusal
        table, after = request.query["table"], int(request.query["after"])
        deadline = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            oldest = self.changes[0][0] if self.changes else self.version + 1
            if after + 1 < oldest:
                return web.Response(status=410)
            rows = [
                (key, version, value)
                for version, _, key, value in self.changes
                if version > after and key[0] == table
            ]
            remaining = deadline - time.monotonic()
            if rows or remaining <= 0:
                return self._reply(rows)
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass
            refusal = await self._apply_fault(request)
            if refusal:
                return refusal
