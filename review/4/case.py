"""A drill of the store between two changes of the configuration: the second one is
acknowledged and never takes effect."""

import asyncio
import copy
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

import fleet  # noqa: E402
import servers  # noqa: E402
import store  # noqa: E402
import wire  # noqa: E402

PREFIX = "127.49.4"
HOST = "assist.example"
KEY, REVOKED = "key-that-stays", "key-that-is-taken-away"
# The drill: the store is away for a second and comes back from a copy 4 s old.
COPY_AGE, AWAY = 4.0, 1.0
# Time between the changes and the drill.
BEFORE, AFTER = 1.0, 0.3
# configApplyMs + outerMs + stableMs, and some seconds.
WAIT = 2.0 + 5.0 + 3.0 + 5.0
PROBES = 10


def route(name, service):
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "idempotent",
        "timeoutMs": 800,
        "targetLatencyMs": 300,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
    }


def service(name):
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": 100,
        "protocol": "h1",
        "tls": False,
    }


FIRST = {
    "version": 7,
    "routes": [route("lookup", "orders"), route("dropped", "orders")],
    "services": [service("orders"), service("shop")],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "account", "apiKeys": [KEY, REVOKED], "priority": 1}],
}


class Client:
    def __init__(self, record):
        self.record = record
        self.number = 0

    async def ask(self, node, path, key):
        """One request at a node; returns its status and the service that ran it."""
        self.number += 1
        request_id = f"{self.number:016x}"
        headers = [
            ("Lentilswitch-Request-Id", request_id),
            ("Lentilswitch-Deadline-Ms", "1500"),
            ("Authorization", f"Bearer {key}"),
        ]
        named = "the key that was taken away" if key == REVOKED else "the key"
        try:
            status, _, body = await wire.call(
                node.listen["front"], "GET", f"/{path}/2f", [*headers, ("Host", HOST)]
            )
        except (OSError, wire.Closed, asyncio.TimeoutError) as error:
            self.record(f"{request_id} {path} at {node.name}: {error!r}")
            return None, None
        ran = body.decode().split(" ")[1] if status == 200 else None
        self.record(
            f"{request_id} {path} with {named} at {node.name}: {status}"
            + (f", run by {ran}" if ran else f" {body.decode()}")
        )
        return status, ran


async def change(record, platform, config, text):
    version = platform.put("op", "config", config)
    record(f"configuration {config['version']} is acknowledged at {version}: {text}")


async def case(record, trouble):
    platform = store.Store(record)
    await platform.listen("127.49.4.200")
    names = [("orders", n) for n in range(4)] + [("shop", n) for n in range(4)]
    for number, (kind, n) in enumerate(names):
        server = servers.Server(f"i-{kind}-{n}", kind, record, slots=6)
        await server.open(f"127.49.4.{100 + number}", platform)
        await asyncio.sleep(0.1)
    await change(record, platform, FIRST, "the first one")
    gateways = fleet.Fleet(record, ["z1", "z1", "z1"], PREFIX)
    client = Client(record)
    try:
        await gateways.start(platform.address)
        await asyncio.sleep(8)
        second = copy.deepcopy(FIRST)
        second["version"] = 9
        second["routes"][0]["timeoutMs"] = 700
        await change(record, platform, second, "another time-out")
        await asyncio.sleep(BEFORE)
        if trouble:
            await platform.drill(COPY_AGE, AWAY)
        await asyncio.sleep(AFTER)
        third = copy.deepcopy(second)
        third["version"] = 14
        third["routes"] = [
            route("lookup", "shop"),
            route("added", "orders"),
        ]
        third["tenants"][0]["apiKeys"] = [KEY]
        await change(
            record,
            platform,
            third,
            "/lookup/ moves to shop, /dropped/ is removed, /added/ is added, "
            "a key is taken away",
        )
        await asyncio.sleep(WAIT)
        old = total = 0
        for _ in range(PROBES):
            for node in gateways.nodes:
                wrong = [
                    (await client.ask(node, "lookup", KEY))[1] == "orders",
                    (await client.ask(node, "dropped", KEY))[0] == 200,
                    (await client.ask(node, "added", KEY))[0] in (401, 403, 404),
                    (await client.ask(node, "lookup", REVOKED))[0] == 200,
                ]
                old += sum(wrong)
                total += len(wrong)
            await asyncio.sleep(0.2)
    finally:
        await gateways.end()
    record.result(
        f"{old} of {total} requests sent {WAIT:.0f} s after the acknowledgement of "
        f"version 14 and later were handled as only an older version allows"
    )
    return old > 0


fleet.main(case, HERE)
