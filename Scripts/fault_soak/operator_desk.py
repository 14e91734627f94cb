"""The operator: writes configurations and probes which one each node uses."""

import asyncio

import aiohttp

import callers
from history import now

# Tokens that each account has paid for.
PREPAID_TOKENS = {"large": 10**9, "middle": 150_000, "small": 20_000}
# Number of added routes that are kept; the oldest beyond it is removed.
MAX_ADDED_ROUTES = 3
# Interval between probes of one node, in seconds.
PROBE_INTERVAL = 0.4


class Operator:
    def __init__(self, history, store, random, stream_attempts):
        self.history = history
        self.store = store
        self.random = random
        # Servers that one streaming request may be sent to.
        self.stream_attempts = stream_attempts
        self.version = 1
        # Versions of the routes that were added and not removed, oldest first.
        self.added = []

    def change_routes(self):
        """Adds a route and removes the oldest added one beyond the maximum."""
        self.version += self.random.randint(1, 5)
        self.added.append(self.version)
        removed = self.added.pop(0) if len(self.added) > MAX_ADDED_ROUTES else None
        self.publish_config()
        at = now()
        self.history.route_versions[self.version] = (at, None)
        if removed:
            written, _ = self.history.route_versions[removed]
            self.history.route_versions[removed] = (written, at)

    def publish_config(self):
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
                    {"name": name, "apiKeys": [key], "prepaid": PREPAID_TOKENS[name]}
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
            "maxAttempts": {
                "non_idempotent": 1,
                "idempotent": 3,
                "streaming": self.stream_attempts,
            }[kind],
            "sticky": kind == "streaming",
            "resumable": kind == "streaming",
        }

    async def probe(self, caller_pool, nodes):
        """Requests each recently added route from each node, until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(PROBE_INTERVAL)
                recent = list(self.history.route_versions)[-MAX_ADDED_ROUTES - 1 :]
                await asyncio.gather(
                    *(
                        self._probe_one(caller_pool, session, node, version)
                        for node in nodes
                        for version in recent
                    )
                )

    async def _probe_one(self, caller_pool, session, node, version):
        request = caller_pool.create_request(
            "idempotent", "orders", f"/added-{version}/", 2.0, "large", node
        )
        request.is_probe = True
        await caller_pool.send(session, request)
        # If the node was restarted meanwhile, the answer cannot be attributed to
        # one incarnation.
        if node.incarnation != request.node_incarnation or request.status not in (
            200,
            404,
        ):
            return
        served = request.status == 200
        at = request.ended_at if served else request.sent_at
        self.history.probes.append(
            (at, node.name, request.node_incarnation, version, served)
        )
