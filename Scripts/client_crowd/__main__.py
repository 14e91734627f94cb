"""Plays crowds of misbehaving clients against a gateway process.

Each crowd stays within the limits on the size of a request. The gateway runs as a
process of its own on loopback; the store, its server and the clients run in this one.
Checked is what does not depend on the speed of the machine: that the process lives, that
its memory and descriptors stay within those of its host, and that an ordinary caller is
answered while the crowd is still connected. The exit code is 1 when a check fails.
"""

import argparse
import asyncio
import json
import os
import random
import resource
import signal
import socket
import sys
import tempfile

import aiohttp

import crowds
import processes

sys.path.insert(
    0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "fault_soak")
)

from store import Store  # noqa: E402

# Memory of the host. Its bound is checked against what the process holds.
MEMORY_MB = 64
# Descriptors that the node may have open beside those of the crowd.
OWN_DESCRIPTORS = 64
# Seconds for which a crowd plays on after each client has sent all it has once.
STAY = 1.5
# Seconds between two looks at the process.
SAMPLE_INTERVAL = 0.01
# An ordinary caller repeats a refused request this often, as told by Retry-After. The
# time limits only end a run that hangs.
MAX_TRIES = 15
TRY_TIMEOUT = 5.0
PLAY_TIMEOUT = 90.0
PORTS = {"clients": 7700, "readiness": 7701, "directory": 7702}
PEER_PORT = 7703
METRICS_PORT = 7704
SERVICE = "orders"


def free_address():
    """Returns a loopback address on which the ports of a node are free."""
    while True:
        address = f"127.{random.randint(1, 254)}.{random.randint(0, 254)}.1"
        try:
            for port in (*PORTS.values(), PEER_PORT, METRICS_PORT):
                with socket.socket() as probe:
                    probe.bind((address, port))
            return address
        except OSError:
            continue


class Client:
    """One connection of a crowd; keeps it open until the crowd leaves."""

    def __init__(self, node, crowd, number, rng):
        self.node = node
        self.crowd = crowd
        self.pieces = crowd.pieces(number, rng)
        self.refused = 0
        self.sent = asyncio.Event()
        self.task = asyncio.create_task(self._run())

    async def _run(self):
        try:
            for rounds_left in range(self.crowd.returns, -1, -1):
                await self._connect_and_send(stays=rounds_left == 0)
        finally:
            self.sent.set()

    async def _connect_and_send(self, stays):
        try:
            reader, writer = await asyncio.open_connection(
                self.node.address, PORTS[self.crowd.listener]
            )
        except OSError:
            return
        try:
            for i, piece in enumerate(self.pieces):
                if i:
                    await asyncio.sleep(self.crowd.pause)
                writer.write(piece)
                await writer.drain()
            self.sent.set()
            answer = await reader.read(64)
            self.refused += answer.startswith(b"HTTP/1.1 503")
            # What follows, until the end of the connection.
            while stays and await reader.read(65536):
                pass
        except OSError:
            pass
        finally:
            writer.transport.abort()


class Node:
    """The gateway process, its store and its server."""

    def __init__(self, options, folder, descriptors, service_time):
        self.options = options
        self.folder = folder
        self.descriptors = descriptors
        self.service_time = service_time
        self.address = free_address()
        self.store = Store()
        self.process = None
        self.server = None
        self.runners = []
        self.peak_memory = 0
        self.peak_resident = 0
        self.peak_unread = 0
        self.peak_descriptors = 0

    async def start(self):
        runner, store_port = await self.store.listen(self.address, "node")
        self.runners.append(runner)
        server_port = await self._start_server()
        self._publish(server_port)
        path = os.path.join(self.folder, "settings.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self._settings(store_port), file)

        def limit_descriptors():
            if self.descriptors is not None:
                resource.setrlimit(
                    resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors)
                )

        with open(os.path.join(self.folder, "node.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.options.binary,
                "gateway",
                path,
                stdout=log,
                stderr=log,
                preexec_fn=limit_descriptors,
            )

    def _settings(self, store_port):
        return {
            "name": "node",
            "zone": "z1",
            "region": "r1",
            "host": self.address,
            "listen": {n: f"{self.address}:{p}" for n, p in PORTS.items()},
            "peer_port": PEER_PORT,
            "metrics_port": METRICS_PORT,
            "seeds": [],
            "store": f"{self.address}:{store_port}",
            "cpu_share": 1.0,
            "link_mbps": 10000,
            "memory_mb": MEMORY_MB,
            "leave_limit_ms": 2000,
            "config_limit_ms": 2000,
            "grace_s": 4,
            "retry": {"ratio": 0.2, "allowance": 40, "window_s": 10},
        }

    async def _start_server(self):
        # Servers of libraries refuse heads of many fields.
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                await self._serve_one(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    async def _serve_one(self, reader, writer):
        request_id, length = "", 0
        while (line := await reader.readuntil(b"\n")) != b"\r\n":
            name, _, value = line.decode("latin-1").partition(":")
            if name.lower() == "lentilswitch-request-id":
                request_id = value.strip()
            elif name.lower() == "content-length":
                length = int(value)
        await reader.readexactly(length)
        if request_id.startswith("crowd-"):
            await asyncio.sleep(self.service_time)
        writer.write(
            f"HTTP/1.1 200 OK\r\nLentilswitch-Request-Id: {request_id}\r\n"
            "Lentilswitch-Server-Stamp: s\r\nContent-Length: 4\r\n\r\ndone".encode()
        )
        await writer.drain()

    def _publish(self, server_port):
        self.store.put(
            "servers",
            "o-1",
            {
                "service": SERVICE,
                "address": f"127.0.0.1:{server_port}",
                "zone": "z1",
                "version": "v1",
                "slots": 2000,
                "state": "ready",
                "coldRemainingMs": 0,
                "seq": 1,
                "born": 1,
            },
        )
        route = {
            "host": crowds.HOST,
            "service": SERVICE,
            "timeoutMs": 20_000,
            "targetLatencyMs": 5_000,
            "gapAimMs": 600,
            "priority": 1,
            "maxAttempts": 1,
            "sticky": False,
            "resumable": False,
            "kind": "non_idempotent",
        }
        self.store.put(
            "op",
            "config",
            {
                "version": 1,
                "routes": [
                    {"name": "order", "prefix": "/order/", **route},
                    {"name": "chat", "prefix": "/chat/", **route},
                ],
                "services": [{"name": SERVICE, "maxConns": 2000}],
                "limits": {
                    "maxHeaderBytes": crowds.MAX_HEADER_BYTES,
                    "maxBodyBytes": crowds.MAX_BODY_BYTES,
                    "headerTimeoutMs": crowds.IDLE_TIMEOUT_MS,
                    "idleTimeoutMs": crowds.IDLE_TIMEOUT_MS,
                },
                "tenants": [
                    {"name": "crowd", "apiKeys": ["key-crowd"], "prepaid": 10**9},
                    {"name": "caller", "apiKeys": ["key-caller"], "prepaid": 10**9},
                ],
            },
        )

    async def watch(self):
        """Records the peaks of memory and descriptors until it is cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL)

    def sample(self):
        try:
            pid = self.process.pid
            resident = processes.resident_bytes(pid)
            unread = processes.unread_bytes(self.address)
            self.peak_resident = processes.resident_bytes(pid, "VmHWM")
            self.peak_unread = max(self.peak_unread, unread)
            self.peak_memory = max(
                self.peak_memory, self.peak_resident, resident + unread
            )
            self.peak_descriptors = max(
                self.peak_descriptors, processes.open_descriptors(pid)
            )
        except OSError:
            # The process ended; its exit code is checked.
            pass

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), TRY_TIMEOUT)
            except asyncio.TimeoutError:
                self.process.kill()
                await self.process.wait()
        if self.server is not None:
            self.server.close()
        for runner in self.runners:
            await runner.cleanup()


async def ask(node, number, extra=b""):
    """Sends one whole request on a new connection; returns status and Retry-After."""
    request = crowds.request_head(
        f"ordinary-{number}", "key-caller", "Content-Length: 2\r\n"
    )
    request += extra + b"\r\nxx"
    try:
        reader, writer = await asyncio.open_connection(node.address, PORTS["clients"])
    except OSError:
        return 0, 0.2
    try:
        writer.write(request)
        answer = await reader.readuntil(b"\r\n\r\n")
        lines = answer.decode("latin-1").split("\r\n")
        retry_after = 0.2
        for line in lines:
            name, _, value = line.partition(":")
            if name.lower() == "retry-after":
                retry_after = float(value)
        return int(lines[0].split()[1]), retry_after
    except (OSError, asyncio.IncompleteReadError):
        return 0, 0.2
    finally:
        writer.transport.abort()


async def ask_until_served(node, extra=b""):
    """Returns the statuses of an ordinary caller that comes back as told."""
    statuses = []
    while len(statuses) < MAX_TRIES and 200 not in statuses:
        try:
            status, retry_after = await asyncio.wait_for(
                ask(node, len(statuses), extra), TRY_TIMEOUT
            )
        except asyncio.TimeoutError:
            status, retry_after = 0, 0.2
        statuses.append(status)
        if status != 200:
            await asyncio.sleep(retry_after)
    return statuses


async def endpoint_answers(node):
    """Whether readiness and directory are answered."""
    timeout = aiohttp.ClientTimeout(total=TRY_TIMEOUT)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for listener, path in [
            ("readiness", "/v1/readiness"),
            ("directory", f"/v1/resolve?name={crowds.HOST}&region=r1&zone=z1"),
        ]:
            url = f"http://{node.address}:{PORTS[listener]}{path}"
            for _ in range(MAX_TRIES):
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            break
                except (aiohttp.ClientError, asyncio.TimeoutError):
                    pass
                await asyncio.sleep(0.2)
            else:
                return False
    return True


async def play(node, crowd, rng):
    """Plays a crowd; returns the texts of failed checks, and a summary."""
    if not await endpoint_answers(node):
        return ["the node did not become ready"], "not played"
    calm = await ask_until_served(node)
    calm += await ask_until_served(
        node, crowds.filled(b"x" * 300, b"a:\r\n", crowds.MAX_HEADER_BYTES)[300:]
    )
    watcher = asyncio.create_task(node.watch())
    clients = []
    for part in [crowd, *crowd.others]:
        for number in range(part.connections):
            clients.append(Client(node, part, f"{len(clients)}", rng))
    await asyncio.gather(*(client.sent.wait() for client in clients))
    await asyncio.sleep(STAY)
    statuses = await ask_until_served(node)
    endpoints = await endpoint_answers(node)
    node.sample()
    open_connections = sum(not client.task.done() for client in clients)
    for client in clients:
        client.task.cancel()
    await asyncio.gather(*(c.task for c in clients), return_exceptions=True)
    after = await ask_until_served(node)
    watcher.cancel()

    failed = []
    if node.process.returncode is not None:
        failed.append(f"the process ended with {node.process.returncode}")
    if calm != [200, 200]:
        failed.append(f"requests in calm were answered {calm}")
    bound = MEMORY_MB * 1024 * 1024
    if node.peak_memory > bound and not node.options.no_memory_bound:
        failed.append(f"{node.peak_memory} bytes of memory (bound {bound})")
    # Each client may have a request in progress at the server.
    limit = 2 * len(clients) + OWN_DESCRIPTORS
    if node.descriptors is not None:
        limit = min(limit, node.descriptors)
    if node.peak_descriptors > limit:
        failed.append(f"{node.peak_descriptors} descriptors (bound {limit})")
    if 200 not in statuses:
        failed.append(f"an ordinary caller beside the crowd got {statuses}")
    if 200 not in after:
        failed.append(f"an ordinary caller after the crowd got {after}")
    if not endpoints:
        failed.append("readiness or directory were not answered beside the crowd")
    summary = (
        f"{len(clients)} clients, {open_connections} still connected, "
        f"{sum(c.refused for c in clients)} refusals, "
        f"{node.peak_memory / 1e6:.1f} MB "
        f"(resident {node.peak_resident / 1e6:.1f}, "
        f"unread {node.peak_unread / 1e6:.1f}), {node.peak_descriptors} descriptors, "
        f"ordinary {statuses}"
    )
    return failed, summary


async def run(options, name, crowd):
    with tempfile.TemporaryDirectory() as folder:
        times = [part.service_time for part in [crowd, *crowd.others]]
        node = Node(options, folder, crowd.descriptors, max(times))
        try:
            await node.start()
            failed, summary = await asyncio.wait_for(
                play(node, crowd, random.Random(options.seed)), PLAY_TIMEOUT
            )
        except asyncio.TimeoutError:
            failed, summary = ["the run did not end"], "hung"
        finally:
            await node.stop()
            if options.logs:
                with open(os.path.join(folder, "node.log"), "rb") as log:
                    sys.stdout.buffer.write(log.read())
        if not failed and node.process.returncode != 0:
            failed.append(f"the process ended with {node.process.returncode}")
    print(f"{name}: {summary}", flush=True)
    for text in failed:
        print(f"{name}: FAILED: {text}", flush=True)
    return not failed


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", default="build/Source/LentilSwitch/lentilswitch")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", action="store_true", help="prints the node's log")
    parser.add_argument(
        "--no-memory-bound",
        action="store_true",
        help="for builds under sanitizers, whose memory is not that of the program",
    )
    parser.add_argument(
        "--random",
        type=int,
        default=0,
        metavar="N",
        help="plays N random mixes, of the seed and those after it",
    )
    parser.add_argument("crowds", nargs="*", metavar="CROWD", help="default: all")
    options = parser.parse_args()
    # The clients take as many descriptors as the crowd has connections.
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192), hard))
    sound = True
    for i in range(options.random):
        name, crowd = crowds.random_crowd(options.seed + i)
        name = f"seed {options.seed + i}: {name}"
        sound = asyncio.run(run(options, name, crowd)) and sound
    if not options.random:
        for name in options.crowds or crowds.CROWDS:
            crowd = crowds.CROWDS[name]
            sound = asyncio.run(run(options, name, crowd)) and sound
    return 0 if sound else 1


if __name__ == "__main__":
    sys.exit(main())
