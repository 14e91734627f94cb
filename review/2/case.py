"""A drill of the store while an account spends: its prepaid tokens are spent twice."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

import fleet  # noqa: E402
import servers  # noqa: E402
import store  # noqa: E402
import wire  # noqa: E402

PREFIX = "127.49.2"
HOST = "assist.example"
KEY = "key-of-the-account"
PREPAID = 400_000
PROMPT, OUTPUT, STRIDE = 1400, 100, 5
# Clients ask for about 23,000 tokens a second: the prepaid tokens last 17 s.
INTERVAL = 1 / 15
LENGTH = 40.0
# The drill: the store is away for a second and comes back from a copy 4 s old.
DRILL_AT, COPY_AGE, AWAY = 9.0, 4.0, 1.0

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "ask",
            "host": HOST,
            "prefix": "/ask/",
            "kind": "streaming",
            "timeoutMs": 8000,
            "targetLatencyMs": 600,
            "gapAimMs": 500,
            "priority": 1,
            "service": "models",
            "maxAttempts": 1,
            "public": False,
            "sticky": True,
            "resumable": False,
        }
    ],
    "services": [
        {
            "name": "models",
            "healthPath": "/health",
            "maxConns": 360,
            "protocol": "h1",
            "tls": False,
            "engine": {"slots": 64, "kvCapacity": 414234, "stride": STRIDE},
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [
        {"name": "account", "apiKeys": [KEY], "priority": 1, "prepaid": PREPAID}
    ],
}


class Client:
    """Sends one stream after another on new connections, without repeats."""

    def __init__(self, record, gateways):
        self.record = record
        self.gateways = gateways
        # Tokens of the events that clients got, by request.
        self.delivered = {}
        self.answers = {}

    async def ask(self, number):
        request_id = f"{number:016x}"
        headers = [
            ("Host", HOST),
            ("Lentilswitch-Request-Id", request_id),
            ("Lentilswitch-Model", "m"),
            ("Lentilswitch-Token-Counts", f"{PROMPT},{OUTPUT}"),
            ("Lentilswitch-Prompt-Prefix", f"5c1e07a2:400,{number:08x}:{PROMPT - 400}"),
            ("Lentilswitch-Deadline-Ms", "8000"),
            ("Authorization", f"Bearer {KEY}"),
            ("Content-Length", "64"),
        ]
        host, port = self.gateways[number % len(self.gateways)].rsplit(":", 1)
        events = 0

        def count(part):
            nonlocal events
            events += part.count(b"\n\n")

        status = "no answer"
        writer = None
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(wire.head("POST /ask/it HTTP/1.1", headers) + b"x" * 64)
            message = await wire.read_head(reader)
            status = message.first.split(" ")[1]
            await wire.read_body(reader, message, count if status == "200" else None)
        except (wire.Closed, OSError) as error:
            status += f" ({error!r})"
        finally:
            if writer:
                writer.close()
        self.delivered[request_id] = events * STRIDE
        self.answers[status] = self.answers.get(status, 0) + 1
        self.record(f"{request_id} to {host}: {status}, {events} events")


async def case(record, trouble):
    platform = store.Store(record)
    await platform.listen("127.49.2.200")
    engines = [servers.Server(f"i-{n}", "models", record) for n in range(3)]
    for engine in engines:
        engine.events = OUTPUT // STRIDE
        engine.gap = 0.02
        await engine.open("127.49.2.%d" % (100 + engines.index(engine)), platform)
    platform.put("op", "config", CONFIG)
    gateways = fleet.Fleet(record, ["z1", "z1", "z1"], PREFIX)
    try:
        await gateways.start(platform.address)
        await asyncio.sleep(5)
        addresses = await gateways.resolve(HOST)
        record(f"the directory names {addresses}")
        client = Client(record, addresses)
        begin = asyncio.get_running_loop().time()
        tasks = []
        drill = None
        number = 0
        while (now := asyncio.get_running_loop().time() - begin) < LENGTH:
            if trouble and drill is None and now >= DRILL_AT:
                drill = asyncio.create_task(platform.drill(COPY_AGE, AWAY))
            number += 1
            tasks.append(asyncio.create_task(client.ask(number)))
            await asyncio.sleep(INTERVAL)
        await asyncio.gather(*tasks)
    finally:
        await gateways.end()
    runs = {run[1] for engine in engines for run in engine.runs}
    prompts = PROMPT * len(runs)
    output = sum(client.delivered.values())
    used = prompts + output
    record.result(f"answers: {client.answers}")
    record.result(
        f"{len(runs)} requests ran: {prompts} tokens in, {output} tokens delivered, "
        f"{used} in all; prepaid {PREPAID}"
    )
    return used > PREPAID


fleet.main(case, HERE)
