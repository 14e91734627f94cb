"""The platform's metadata store: rows, transactions, feeds, and a drill."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

import wire

# Seconds of history, and the interval of the copies for a drill.
HISTORY = 20.0
COPY_INTERVAL = 0.1
TRANSACTION_TIME = 0.005


class Store:
    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.era = 1
        self.changes = []
        self.copies = []
        # Rows of the operator and of the servers, which write them again.
        self.written = {}
        self.away = False
        self.changed = asyncio.Event()
        self.connections = set()

    async def listen(self, host):
        self.server = await asyncio.start_server(self._serve, host, 0, limit=2**21)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.copying = asyncio.create_task(self._copy())

    # -- Calls of the operator and of the servers.

    def put(self, table, key, value):
        """Writes a row; returns its version, or None while the store is away."""
        row = (table, "", key)
        self.written[row] = json.dumps(value).encode()
        return None if self.away else self._apply([(row, self.written[row])], [])

    # -- The drill.

    async def drill(self, age, away):
        """Is away, then comes back from a copy that was `age` seconds old."""
        at = time.monotonic()
        copy = [c for c in self.copies if c[0] <= at - age][-1]
        lost = self.version - copy[1]
        self.away = True
        self._cut()
        self.record(f"drill: the store is away at version {self.version}")
        await asyncio.sleep(away)
        _, self.version, rows = copy
        self.rows = dict(rows)
        self.changes = [c for c in self.changes if c[0] <= self.version]
        self.copies = []
        self.era += 1
        self.away = False
        self.record(
            f"drill: back from a copy {age} s old: version {self.version}, "
            f"{lost} versions lost, Store-Era {self.era}"
        )
        # What the operator and the servers wrote is written again.
        again = 0
        for row, value in self.written.items():
            if self.rows.get(row, (0, None))[1] != value:
                self._apply([(row, value)], [])
                again += 1
        self.record(
            f"drill: {again} rows of the operator and the servers are written again, "
            f"version {self.version}"
        )

    def _cut(self):
        for writer in list(self.connections):
            wire.reset(writer)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _copy(self):
        while True:
            now = time.monotonic()
            self.copies.append((now, self.version, dict(self.rows)))
            while self.copies[0][0] < now - HISTORY:
                self.copies.pop(0)
            await asyncio.sleep(COPY_INTERVAL)

    # -- Calls of nodes.

    def _apply(self, writes, removals):
        self.version += 1
        now = time.monotonic()
        for row, value in writes:
            self.rows[row] = (self.version, value)
            self.changes.append((self.version, now, row, value))
        for row in removals:
            if self.rows.pop(row, None):
                self.changes.append((self.version, now, row, None))
        while self.changes and self.changes[0][1] < now - HISTORY:
            self.changes.pop(0)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    async def _serve(self, reader, writer):
        if self.away:
            wire.reset(writer)
            return
        self.connections.add(writer)
        try:
            while True:
                request = await wire.read_request(reader)
                status, body = await self._answer(request)
                text = json.dumps(body).encode()
                headers = [
                    ("Content-Type", "application/json"),
                    ("Store-Era", self.era),
                ]
                writer.write(wire.response(status, headers, text))
                await writer.drain()
        except (wire.Closed, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, request):
        url = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/v1/rows-tx":
            await asyncio.sleep(TRANSACTION_TIME)
            return self._transaction(json.loads(request.body))
        if url.path == "/v1/rows-get":
            return 200, self._rows_get(query)
        if url.path == "/v1/rows-feed":
            return await self._feed(query)
        return 400, {}

    def _reply(self, rows, **more):
        entries = []
        for (table, part, key), version, value in rows:
            entry = {"table": table, "part": part, "key": key, "ver": version}
            if value is None:
                entry["removed"] = True
            else:
                entry["value"] = base64.b64encode(value).decode()
            entries.append(entry)
        return {
            "rows": entries,
            "ver": self.version,
            "nowMs": int(time.monotonic() * 1000),
            **more,
        }

    def _transaction(self, body):
        def row(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        expected = [(row(e), e["ver"]) for e in body.get("expectedRev", [])]
        writes = [(row(e), base64.b64decode(e["value"])) for e in body["writes"]]
        removals = [row(e) for e in body.get("remove", [])]
        if any(r[0] in ("op", "servers") for r, _ in writes):
            return 403, {}
        if any(self.rows.get(r, (0, None))[0] != ver for r, ver in expected):
            current = [(r, *self.rows[r]) for r, _ in expected if r in self.rows]
            return 412, self._reply(current)
        self._apply(writes, removals)
        return 200, self._reply([])

    def _rows_get(self, query):
        first, last = query.get("from", ""), query.get("to")
        found = sorted(
            (row, *entry)
            for row, entry in self.rows.items()
            if row[0] == query["table"]
            and row[1] == unquote(query.get("part", ""))
            and row[2] >= first
            and (last is None or row[2] < last)
        )
        limit = min(int(query.get("limit", 500)), 500)
        return self._reply(found[:limit], hasMore=len(found) > limit)

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            oldest = self.changes[0][0] if self.changes else self.version + 1
            # A version that is out of history, or that the store does not have.
            if after + 1 < oldest or after > self.version:
                return 410, {"ver": self.version}
            rows = [
                (row, version, value)
                for version, _, row, value in self.changes
                if version > after and row[0] == table
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self._reply(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            if self.away:
                raise wire.Closed("the store is away")
