"""The operator: writes configurations and probes what is in force."""

import asyncio

import aiohttp

import callers
from history import now

PREPAID = {"large": 10**9, "middle": 150_000, "small": 20_000}
# Routes that were added last and still stand.
STANDING = 3
# Pause between probes of one node, in seconds.
PROBE_PAUSE = 0.4


class Operator:
    def __init__(self, history, store, random):
        self.history = history
        self.store = store
        self.random = random
        self.version = 1
        self.added = []

    def change(self):
        """Adds a route, and removes the oldest one that was added."""
        self.version += self.random.randint(1, 5)
        self.added.append(self.version)
        removed = self.added.pop(0) if len(self.added) > STANDING else None
        self.write()
        at = now()
        self.history.route_versions[self.version] = (at, None)
        if removed:
            written, _ = self.history.route_versions[removed]
            self.history.route_versions[removed] = (written, at)

    def write(self):
        routes = [
            self._route(path.strip("/"), path, kind, service, limit)
            for kind, service, path, limit, _ in callers.KINDS
        ]
        for version in self.added:
            routes.append(
                self._route(
                    f"added-{version}",
                    f"/added-{version}/",
                    "idempotent",
                    "orders",
                    2.0,
                )
            )
        self.store.put(
            "op",
            "config",
            {
                "version": self.version,
                "routes": routes,
                "services": [
                    {
                        "name": "engines",
                        "maxConns": 200,
                        "engine": {
                            "slots": 16,
                            "kvCapacity": 60000,
                            "stride": callers.TOKENS_PER_EVENT,
                        },
                    },
                    {"name": "orders", "maxConns": 200},
                ],
                "tenants": [
                    {"name": name, "apiKeys": [key], "prepaid": PREPAID[name]}
                    for name, key in callers.KEYS.items()
                ],
            },
        )

    def _route(self, name, prefix, kind, service, limit):
        return {
            "name": name,
            "host": callers.HOST,
            "prefix": prefix,
            "kind": kind,
            "service": service,
            "timeoutMs": int(limit * 1000),
            "targetLatencyMs": int(limit * 250),
            "gapAimMs": 600,
            "priority": 1,
            "maxAttempts": 1 if kind == "non_idempotent" else 3,
            "sticky": kind == "streaming",
            "resumable": kind == "streaming",
        }

    async def probe(self, senders, nodes):
        """Asks each node for the routes that were added, until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(PROBE_PAUSE)
                recent = list(self.history.route_versions)[-STANDING - 1 :]
                await asyncio.gather(
                    *(
                        self._probe_one(senders, session, node, version)
                        for node in nodes
                        for version in recent
                    )
                )

    async def _probe_one(self, senders, session, node, version):
        request = senders.make(
            "idempotent", "orders", f"/added-{version}/", 2.0, "large", node
        )
        request.probe = True
        await senders.send(session, request)
        # A restarted node is another run; its answer belongs to neither.
        if node.run != request.node_run or request.status not in (200, 404):
            return
        served = request.status == 200
        at = request.ended_at if served else request.sent_at
        self.history.probes.append(
            (at, node.name, request.node_run, version, served)
        )
