"""Gateways as separate processes, with stand-ins for the store, servers and clients.

Every part listens on loopback addresses of its own; the settings are those that the bench
fills in for dormivia-cl, from the project's template."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import wire
from servers import Server
from store import Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/Source/LentilSwitch/lentilswitch")
HOST = "sueno.example"
STRIDE = 5
PORTS = {"front": 8227, "ready": 8220, "directory": 8224}
PEER_PORT = 7340


class CannotRun(Exception):
    pass


def free_network():
    """First three octets of a loopback network that nobody uses."""
    for _ in range(50):
        network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        try:
            for host in range(1, 10):
                for port in (*PORTS.values(), PEER_PORT, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{host}", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback network")


class Gateway:
    def __init__(self, world, index):
        self.world = world
        self.name = f"front-scl-a-{index + 1}"
        self.ip = f"{world.network}.{index + 1}"
        self.process = None

    def write_settings(self, store_port, seeds):
        settings = {
            "name": self.name,
            "zone": "scl-a",
            "region": "scl",
            "host": self.ip,
            "listen": {
                "clients": f"{self.ip}:{PORTS['front']}",
                "readiness": f"{self.ip}:{PORTS['ready']}",
                "directory": f"{self.ip}:{PORTS['directory']}",
            },
            "peer_port": PEER_PORT,
            "metrics_port": 9464,
            "seeds": seeds,
            "store": f"{self.world.network}.100:{store_port}",
            "cpu_share": 0.25,
            "link_mbps": 1000.0,
            "memory_mb": 110,
            "leave_limit_ms": 2000,
            "config_limit_ms": 2000,
            "zones": [{"name": "scl-a", "region": "scl"}],
            "grace_s": 8,
            "retry": {"ratio": 0.2, "allowance": 54, "window_s": 10},
        }
        self.settings = os.path.join(self.world.folder, self.name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start(self):
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        with log:
            self.process = subprocess.Popen(
                [PROGRAM, "gateway", self.settings],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                cwd=ROOT,
            )

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_end(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.01)

    async def ready(self):
        try:
            answer = await asyncio.wait_for(
                get(self.ip, PORTS["ready"], "/v1/readiness"), 1
            )
        except (OSError, asyncio.TimeoutError):
            return False
        return answer is not None and answer.first.split(" ")[1] == "200"


async def get(ip, port, path):
    reader, writer = await asyncio.open_connection(ip, port)
    writer.write(wire.head_bytes(f"GET {path} HTTP/1.1", [("Host", ip)]))
    try:
        return await wire.read_head(reader)
    finally:
        writer.close()


class Answer:
    """What a client saw of one attempt."""

    def __init__(self):
        self.id = ""
        self.status = 0
        self.reason = ""
        self.retry_after = None
        self.stamp = ""
        self.events = []
        self.body = b""
        self.complete = False
        self.sent = 0.0
        self.ended = 0.0


class World:
    def __init__(self, gateways, record_path):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program isn't built")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record_file = open(record_path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.random = random.Random(7)
        self.arrivals = []
        self.runs = []
        self.answers = []
        self.servers = []
        self.network = free_network()
        self.store = Store(self.record)
        self.gateways = [Gateway(self, i) for i in range(gateways)]
        self.count = 0

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.record_file.flush()

    async def add_server(self, name, service, engine, host=200, **more):
        server = Server(
            self, name, service, f"{self.network}.{host}", engine, **more
        )
        self.servers.append(server)
        await server.start()
        return server

    async def start(self, config):
        self.config = config
        self.store.put("op", "config", config)
        seeds = [f"{g.ip}:8229" for g in self.gateways[:3]]
        for gateway in self.gateways:
            port = await self.store.listen(f"{self.network}.100", gateway.name)
            gateway.write_settings(port, seeds)
            gateway.start()
        until = time.monotonic() + 10
        while time.monotonic() < until:
            states = await asyncio.gather(*(g.ready() for g in self.gateways))
            if all(states):
                self.record("all gateways are ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the gateways did not become ready")

    def stop(self):
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.process.wait()
        self.record_file.close()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def new_id(self):
        self.count += 1
        return f"{self.random.getrandbits(48):012x}{self.count:04x}"

    async def call(
        self, gateway, path, key, prompt=0, most=0, deadline=8.0, method="POST",
        body=b"{}", headers=(), request_id=None,
    ):
        """One client attempt on a new connection."""
        answer = Answer()
        answer.id = request_id or self.new_id()
        answer.path, answer.key, answer.gateway = path, key, gateway.name
        answer.prompt = prompt
        answer.sent = time.monotonic()
        self.answers.append(answer)
        fields = [
            ("Host", HOST),
            ("Lentilswitch-Request-Id", answer.id),
            ("Lentilswitch-Deadline-Ms", str(int(deadline * 1000))),
            ("Authorization", f"Bearer {key}"),
            ("Content-Length", str(len(body))),
        ]
        if prompt:
            shared = min(prompt // 2, 300)
            fields += [
                ("Lentilswitch-Model", "m"),
                ("Lentilswitch-Token-Counts", f"{prompt},{most}"),
                (
                    "Lentilswitch-Prompt-Prefix",
                    f"5c1e07a2:{shared},{answer.id[:8]}:{prompt - shared}",
                ),
            ]
        fields += list(headers)
        writer = None
        try:
            async with asyncio.timeout(deadline + 3):
                reader, writer = await asyncio.open_connection(
                    gateway.ip, PORTS["front"], limit=2**22
                )
                writer.write(wire.head_bytes(f"{method} {path} HTTP/1.1", fields) + body)
                head = await wire.read_head(reader)
                if head is None:
                    return answer
                answer.status = int(head.first.split(" ")[1])
                answer.stamp = head.get("lentilswitch-server-stamp")
                text = head.get("retry-after")
                answer.retry_after = float(text) if text else None
                if "chunked" in head.get("transfer-encoding"):
                    while True:
                        data = await wire.read_chunk(reader)
                        if not data:
                            answer.complete = True
                            break
                        answer.body += data
                else:
                    answer.body = await reader.readexactly(
                        int(head.get("content-length", "0"))
                    )
                    answer.complete = True
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            answer.ended = time.monotonic()
            if writer is not None:
                writer.close()
            if answer.body.startswith(b'{"error"'):
                answer.reason = answer.body.decode("latin-1")
            answer.events = [
                line[4:] for line in answer.body.decode("latin-1").split("\n")
                if line.startswith("id: ")
            ]
        return answer


def run(main, seconds=115):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    here = os.path.dirname(os.path.abspath(sys.argv[0]))
    try:
        sys.exit(asyncio.run(asyncio.wait_for(main(here), seconds)))
    except CannotRun as problem:
        print(f"can't run: {problem}", file=sys.stderr)
        sys.exit(2)
    except asyncio.TimeoutError:
        print("can't run: out of time", file=sys.stderr)
        sys.exit(2)
