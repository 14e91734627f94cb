"""Gateway nodes: starts, signals and monitors processes of the real program."""

import asyncio
import json
import os
import signal

import aiohttp

# Usual grace period from SIGTERM to SIGKILL, in seconds.
STOP_GRACE_PERIOD = 4.0
LISTENERS = ["clients", "readiness", "directory"]
RETRY = {"ratio": 0.2, "allowance": 40, "window_s": 10}
# Seconds after which a draining server must get no more requests; the setting
# leave_limit_ms.
DRAIN_LIMIT = 2.0


class Node:
    """A node; each start of its process is a new incarnation."""

    def __init__(self, history, binary, folder, address, name, grace):
        self.history = history
        self.binary = binary
        self.folder = folder
        self.address = address
        self.name = name
        # Grace period from SIGTERM to SIGKILL, in seconds.
        self.grace = grace
        self.ports = {}
        self.incarnation = 0
        self.process = None
        self.busy = False
        self._stop_requested = False
        self._killed = False

    def write_settings(self, seeds, store_port, first_port):
        self.ports = {name: first_port + i for i, name in enumerate(LISTENERS)}
        settings = {
            "name": self.name,
            "zone": "z1",
            "region": "r1",
            "host": self.address,
            "listen": {n: f"{self.address}:{p}" for n, p in self.ports.items()},
            "peer_port": first_port + len(LISTENERS),
            "metrics_port": first_port + len(LISTENERS) + 1,
            "seeds": seeds,
            "store": f"{self.address}:{store_port}",
            "cpu_share": 1.0,
            "link_mbps": 1000,
            "memory_mb": 256,
            "leave_limit_ms": int(DRAIN_LIMIT * 1000),
            "config_limit_ms": int(DRAIN_LIMIT * 1000),
            "grace_s": self.grace,
            "retry": RETRY,
        }
        self.settings = os.path.join(self.folder, f"{self.name}.json")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self):
        self.incarnation += 1
        self._stop_requested = False
        self._killed = False
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        with log:
            self.process = await asyncio.create_subprocess_exec(
                self.binary, "gateway", self.settings, stdout=log, stderr=log
            )
        asyncio.create_task(self._watch(self.process, self.incarnation))

    async def _watch(self, process, incarnation):
        code = await process.wait()
        # The exit code of a killed process is not checked.
        if not self._killed:
            self.history.exits.append(
                (self.name, incarnation, code, self._stop_requested)
            )

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self._killed = True
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def stop(self):
        """Sends SIGTERM, and SIGKILL after the grace period."""
        self._stop_requested = True
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), self.grace)
        except asyncio.TimeoutError:
            self.history.exits.append((self.name, self.incarnation, "a kill", True))
            await self.kill()

    async def ready(self, session):
        url = f"http://{self.address}:{self.ports['readiness']}/v1/readiness"
        try:
            async with session.get(
                url, timeout=aiohttp.ClientTimeout(total=1)
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return False
