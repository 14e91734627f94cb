"""Stand-in for the platform's metadata store: versioned rows, conditional writes, feeds,
and a drill in which the store comes back from an older copy of its rows."""

import asyncio
import base64
import copy
import json
import time
from urllib.parse import parse_qs, urlsplit

import wire


class Store:
    def __init__(self, record):
        self.record = record
        self.began = time.monotonic()
        self.version = 0
        self.era = 1
        self.rows = {}
        self.changes = []
        self.lost_history_until = 0
        self.changed = asyncio.Event()
        # Whether the whole store is away, and the callers that it turns away.
        self.away = False
        self.rejected = set()
        self.connections = set()
        # Callers that know the newest state of each part, by table and part.
        self.known_by = {}

    def now_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    # -- What the operator and the servers write.

    def put(self, table, key, value):
        self._apply([((table, "", key), json.dumps(value).encode())], [])

    def drop(self, table, key):
        if (table, "", key) in self.rows:
            self._apply([], [(table, "", key)])

    # -- The drill.

    def take_copy(self):
        return self.version, copy.copy(self.rows)

    def restore(self, taken):
        """Comes back from the copy; what was written since is gone."""
        self.version, rows = taken[0], copy.copy(taken[1])
        self.rows = rows
        self.changes = []
        self.lost_history_until = self.version
        self.era += 1
        self._wake()

    def go_away(self):
        self.away = True
        for writer in list(self.connections):
            wire.abort(writer)

    def come_back(self):
        self.away = False

    # -- Calls.

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _apply(self, writes, removals):
        self.version += 1
        for key, value in writes:
            self.rows[key] = (self.version, value)
            self.changes.append((self.version, key, value))
        for key in removals:
            self.rows.pop(key, None)
            self.changes.append((self.version, key, None))
        self._wake()

    def _body(self, rows, **more):
        entries = []
        for (table, part, key), version, value in rows:
            entry = {"table": table, "part": part, "key": key, "ver": version}
            if value is None:
                entry["removed"] = True
            else:
                entry["value"] = base64.b64encode(value).decode()
            entries.append(entry)
        return {"rows": entries, "ver": self.version, "nowMs": self.now_ms(), **more}

    async def listen(self, address, caller):
        server = await asyncio.start_server(
            lambda r, w: self._serve(r, w, caller), address, 0, limit=2**22
        )
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer, caller):
        if self.away:
            wire.abort(writer)
            return
        self.connections.add(writer)
        try:
            while True:
                request = await wire.read_request(reader)
                if request is None or self.away:
                    break
                status, body = await self._answer(request, caller)
                if status == 0 or self.away:
                    wire.abort(writer)
                    return
                data = json.dumps(body).encode()
                writer.write(
                    wire.head_bytes(
                        f"HTTP/1.1 {status} S",
                        [
                            ("Content-Type", "application/json"),
                            ("Store-Era", str(self.era)),
                            ("Content-Length", str(len(data))),
                        ],
                    )
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, request, caller):
        await asyncio.sleep(0.004)
        if caller in self.rejected:
            return 503, {}
        method, target, _ = request.first.split(" ")
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if (method, url.path) == ("POST", "/v1/rows-tx"):
            return self._commit(json.loads(request.body), caller)
        if (method, url.path) == ("GET", "/v1/rows-get"):
            wanted = (query["table"], query.get("part", ""))
            self.known_by.setdefault(wanted, set()).add(caller)
            found = sorted(
                (key, *row)
                for key, row in self.rows.items()
                if key[:2] == wanted
                and key[2] >= query.get("from", "")
                and ("to" not in query or key[2] < query["to"])
            )
            limit = min(int(query.get("limit", 500)), 500)
            return 200, self._body(found[:limit], hasMore=len(found) > limit)
        if (method, url.path) == ("GET", "/v1/rows-feed"):
            return await self._feed(query, caller)
        return 404, {}

    def _commit(self, body, caller):
        key = lambda entry: (entry["table"], entry.get("part", ""), entry["key"])
        expected = [(key(entry), entry["ver"]) for entry in body.get("expectedRev", [])]
        if any(self.rows.get(k, (0, None))[0] != v for k, v in expected):
            current = [(k, *self.rows[k]) for k, _ in expected if k in self.rows]
            for (table, part, _), *_ in current:
                self.known_by.setdefault((table, part), set()).add(caller)
            return 412, self._body(current)
        writes = [
            (key(entry), base64.b64decode(entry["value"]))
            for entry in body.get("writes", [])
        ]
        self._apply(writes, [key(entry) for entry in body.get("remove", [])])
        for table, part, _ in (k for k, _ in writes):
            self.known_by[(table, part)] = {caller}
        return 200, self._body([])

    async def _feed(self, query, caller):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if self.away:
                return 0, {}
            if caller in self.rejected:
                return 503, {}
            if after < self.lost_history_until or after > self.version:
                return 410, {}
            rows = [
                (key, version, value)
                for version, key, value in self.changes
                if version > after and key[0] == table
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self._body(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
