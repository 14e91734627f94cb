"""One server spoils some answers: behind the last chunk it sends bytes that are no
answer. Each process that reads them ends."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

import fleet  # noqa: E402
import servers  # noqa: E402
import store  # noqa: E402
import wire  # noqa: E402

PREFIX = "127.49.1"
HOST = "assist.example"
KEY = "key-of-the-account"
# Lookups a second, and streams that run beside them on kept connections.
RATE, STREAMS = 24.0, 24
LENGTH = 24.0
# One server of four spoils every fiftieth of its answers, for 5 s.
TROUBLE_AT, TROUBLE_TIME, SPOILED = 8.0, 5.0, 50
# Bytes behind the last chunk up to the first blank line.
GARBAGE = 80_000


def route(name, kind, service):
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 10000 if kind == "streaming" else 800,
        "targetLatencyMs": 500,
        "gapAimMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 1 if kind == "streaming" else 2,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
    }


CONFIG = {
    "version": 3,
    "routes": [
        route("ask", "streaming", "models"),
        route("lookup", "idempotent", "orders"),
    ],
    "services": [
        {
            "name": "models",
            "healthPath": "/health",
            "maxConns": 360,
            "protocol": "h1",
            "tls": False,
            "engine": {"slots": 64, "kvCapacity": 414234, "stride": 5},
        },
        {
            "name": "orders",
            "healthPath": "/health",
            "maxConns": 100,
            "protocol": "h1",
            "tls": False,
        },
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [
        {"name": "account", "apiKeys": [KEY], "priority": 1, "prepaid": 10**9}
    ],
}


class SpoilingServer(servers.Server):
    """A plain server whose answers come in chunks; some end in garbage."""

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, **named)
        self.faulty = False
        self.answers = 0
        self.spoiled = 0

    async def _answer(self, request, writer):
        self.answers += 1
        if not self.faulty or self.answers % SPOILED:
            await super()._answer(request, writer)
            return
        self.spoiled += 1
        request_id = request.get("Lentilswitch-Request-Id")
        self.record(f"{request_id}: {self.name} spoils its answer")
        headers = [
            ("Lentilswitch-Request-Id", request_id),
            ("Lentilswitch-Server-Stamp", f"{self.name}.{self.born}.s{self.spoiled}"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(wire.head("HTTP/1.1 200 OK", headers) + b"4\r\nbody\r\n0\r\n")
        # Bytes without end, until the caller closes.
        garbage = b"a:" + b"a" * GARBAGE + b"\r\n\r\n"
        for _ in range(20):
            writer.write(garbage)
            await writer.drain()
            await asyncio.sleep(0.05)
        raise wire.Closed("the caller did not close")


class Clients:
    def __init__(self, record, gateways, engines):
        self.record = record
        self.gateways = gateways
        self.engines = engines
        self.number = 0
        self.answers = {}
        self.lost = []

    def headers(self, deadline):
        self.number += 1
        return f"{self.number:016x}", [
            ("Host", HOST),
            ("Lentilswitch-Request-Id", f"{self.number:016x}"),
            ("Lentilswitch-Deadline-Ms", deadline),
            ("Authorization", f"Bearer {KEY}"),
        ]

    def count(self, kind, answer):
        key = f"{kind} {answer}"
        self.answers[key] = self.answers.get(key, 0) + 1

    def ran(self, request_id):
        return any(run[1] == request_id for e in self.engines for run in e.runs)

    async def stream(self, address):
        """Streams on a kept connection, one after another."""
        host, port = address.rsplit(":", 1)
        while True:
            writer = None
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                answered = 0
                while True:
                    request_id, headers = self.headers(10000)
                    headers += [
                        ("Lentilswitch-Model", "m"),
                        ("Lentilswitch-Token-Counts", "1400,100"),
                        ("Lentilswitch-Prompt-Prefix", f"5c1e07a2:400,{request_id}:1000"),
                        ("Content-Length", 64),
                    ]
                    writer.write(wire.head("POST /ask/it HTTP/1.1", headers) + b"x" * 64)
                    message = await wire.read_head(reader)
                    await wire.read_body(reader, message)
                    status = message.first.split(" ")[1]
                    answered += 1
                    self.count("stream", status)
                    if message.get("connection") == "close":
                        break
                    if status != "200":
                        await asyncio.sleep(0.3)
            except wire.Closed:
                self.count("stream", "cut")
                passed = self.ran(request_id)
                self.record(
                    f"{request_id} at {host}: the connection ended without a complete "
                    f"answer; passed on to a sound server: {passed}"
                )
                if passed and answered > 0:
                    self.lost.append(request_id)
            except OSError:
                await asyncio.sleep(0.2)
            finally:
                if writer:
                    writer.close()

    async def lookup(self, address):
        request_id, headers = self.headers(1500)
        try:
            status, _, _ = await wire.call(address, "GET", "/lookup/2f", headers)
        except (OSError, wire.Closed, asyncio.TimeoutError):
            status = "cut"
        self.count("lookup", status)
        self.record(f"{request_id} lookup at {address}: {status}")


async def restart(node, ended):
    """The platform starts a process that has ended again."""
    while True:
        code = await node.process.wait()
        node.record(f"{node.name}: the process ended by itself with code {code}")
        ended.append(code)
        await asyncio.sleep(0.5)
        await node.start()


async def case(record, trouble):
    platform = store.Store(record)
    await platform.listen("127.49.1.200")
    engines = [servers.Server(f"i-m{n}", "models", record) for n in range(3)]
    plain = [SpoilingServer(f"i-o{n}", "orders", record, slots=6) for n in range(4)]
    for number, server in enumerate(engines + plain):
        if server in engines:
            server.events, server.gap = 20, 0.15
        await server.open(f"127.49.1.{100 + number}", platform)
    platform.put("op", "config", CONFIG)
    gateways = fleet.Fleet(record, ["z1", "z1", "z1"], PREFIX)
    tasks = []
    ended = []
    try:
        await gateways.start(platform.address)
        tasks += [asyncio.create_task(restart(n, ended)) for n in gateways.nodes]
        await asyncio.sleep(1)
        addresses = await gateways.resolve(HOST)
        record(f"the directory names {addresses}")
        clients = Clients(record, gateways, engines)
        for number in range(STREAMS):
            address = addresses[number % len(addresses)]
            tasks.append(asyncio.create_task(clients.stream(address)))
        loop = asyncio.get_running_loop()
        begin = loop.time()
        number = 0
        while (now := loop.time() - begin) < LENGTH:
            number += 1
            address = addresses[number % len(addresses)]
            tasks.append(asyncio.create_task(clients.lookup(address)))
            faulty = trouble and TROUBLE_AT <= now < TROUBLE_AT + TROUBLE_TIME
            if faulty != plain[0].faulty:
                record(f"{plain[0].name}: {'faulty' if faulty else 'sound again'}")
                plain[0].faulty = faulty
            await asyncio.sleep(1 / RATE)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await gateways.end()
    record.result(f"answers: {dict(sorted(clients.answers.items()))}")
    record.result(
        f"{plain[0].spoiled} of {plain[0].answers} answers of one server spoiled; "
        f"{len(ended)} processes ended by themselves ({ended}); {len(clients.lost)} "
        f"streams on kept connections, passed on to sound servers, cut without a "
        f"complete answer"
    )
    return len(clients.lost) > 3


fleet.main(case, HERE)
