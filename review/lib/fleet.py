"""Starts the gateway processes as the deploy file and its template say."""

import asyncio
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

import wire

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
# Bounds of the small deployments.
BOUNDS = {
    "drainMs": 2000,
    "configApplyMs": 2000,
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 54,
    "budgetWindowS": 10,
}


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def result(self, text):
        self(text)
        print(text)


def free_ports(host, count):
    sockets = [socket.socket() for _ in range(count)]
    for entry in sockets:
        entry.bind((host, 0))
    ports = [entry.getsockname()[1] for entry in sockets]
    for entry in sockets:
        entry.close()
    return ports


def render(template, fields):
    """Fills in the placeholders that the project's template uses."""
    import json

    def lookup(name, scope):
        value = scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value, inner = lookup(match[1], fields), match[2]
        if value is None or value is False:
            return ""
        if isinstance(value, dict):
            entries = list(value.items())
        elif isinstance(value, list):
            entries = list(enumerate(value))
        else:
            return plain(inner)
        text = []
        for index, (key, entry) in enumerate(entries):
            part = inner.replace("{{.|json}}", json.dumps(entry))
            part = part.replace("{{@}}", str(key))
            text.append(part.replace("{{,}}", "," if index + 1 < len(entries) else ""))
        return "".join(text)

    def value(match):
        found = lookup(match[1], fields)
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    def plain(text):
        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return plain(text)


class Node:
    """One machine with the gateway role; each start is a new process."""

    def __init__(self, number, zone, folder, record, prefix):
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.host = f"{prefix}.{number}"
        self.folder = folder
        self.record = record
        self.process = None
        names = ["front", "ready", "control", "directory", "peer"]
        self.ports = dict(zip(names, free_ports(self.host, len(names))))
        self.listen = {
            name: f"{self.host}:{self.ports[name]}"
            for name in ("front", "ready", "control", "directory")
        }

    def write_settings(self, nodes, store, memory_mb):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            template = file.read()
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "region": "r1",
            "zones": {zone: "r1" for zone in sorted({n.zone for n in nodes})},
            "ip": self.host,
            "listen": self.listen,
            "internalPorts": [self.ports["peer"], self.ports["peer"]],
            "seeds": [n.listen["control"] for n in nodes[:3]],
            "limits": {"cpuShare": 0.25, "linkMbps": 1000.0, "memoryMb": memory_mb},
            "bounds": BOUNDS,
            "platform": {"address": store},
        }
        self.settings = os.path.join(self.folder, f"{self.name}.json")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(template, fields))
        # The command of the deploy file, with the path of these settings.
        command = role["run"].split(" ")
        self.command = [os.path.join(ROOT, command[0]), *command[1:-1], self.settings]

    async def start(self):
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        with log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, stdout=log, stderr=log, cwd=ROOT
            )
        self.record(f"{self.name}: started, process {self.process.pid}")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            self.signal(signal.SIGCONT)
            await self.process.wait()
            self.record(f"{self.name}: killed")

    async def ready(self):
        try:
            status, _, _ = await wire.call(
                self.listen["ready"], "GET", "/v1/readiness", timeout=1.0
            )
            return status == 200
        except (OSError, wire.Closed, asyncio.TimeoutError):
            return False


class Fleet:
    """All machines of a case; ends every process that it started."""

    def __init__(self, record, zones, prefix, memory_mb=110):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.memory_mb = memory_mb
        self.nodes = [
            Node(number + 1, zone, self.folder, record, prefix)
            for number, zone in enumerate(zones)
        ]

    async def start(self, store):
        for node in self.nodes:
            node.write_settings(self.nodes, store, self.memory_mb)
        if not os.access(self.nodes[0].command[0], os.X_OK):
            raise RuntimeError("the program of the deploy file is not built")
        await asyncio.gather(*(node.start() for node in self.nodes))
        for _ in range(100):
            if all(await asyncio.gather(*(node.ready() for node in self.nodes))):
                self.record("all nodes are ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the nodes did not become ready")

    async def end(self):
        await asyncio.gather(*(node.kill() for node in self.nodes))
        shutil.rmtree(self.folder, ignore_errors=True)

    async def resolve(self, host):
        """The addresses that the first node names that answers."""
        for node in self.nodes:
            try:
                status, _, body = await wire.call(
                    node.listen["directory"],
                    "GET",
                    f"/v1/resolve?name={host}&region=r1&zone={node.zone}",
                    timeout=1.0,
                )
            except (OSError, wire.Closed, asyncio.TimeoutError):
                continue
            if status == 200:
                import json

                return json.loads(body)["addresses"]
        return []


def main(case, folder):
    """Runs a case; exits with 1 if the rule was broken, 0 if not, 2 if not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'yes' if trouble else 'no'}")

    async def run():
        # A case that is stopped from outside ends its processes as well.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(case(record, trouble), 110)

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # The case could not run.
        record.result(f"could not run: {error!r}")
        sys.exit(2)
    record.result("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
