"""Stand-ins for model servers and plain servers. They record what they run."""

import asyncio
import time

import wire

HEARTBEAT = 1.2


class Run:
    def __init__(self, server, request, began):
        self.server = server.name
        self.service = server.service
        self.software = server.software
        self.id = request.get("lentilswitch-request-id")
        self.tenant = request.get("lentilswitch-tenant")
        counts = request.get("lentilswitch-token-counts", "0,0").split(",")
        self.prompt, self.most = int(counts[0]), int(counts[1])
        self.after = int(request.get("last-event-id", "0") or 0)
        self.began = began
        self.ended = None
        self.events = 0


class Server:
    """One server; `start` begins a new incarnation under the same id and address."""

    def __init__(self, world, name, service, address, engine, software="1.0", slots=64):
        self.world = world
        self.name = name
        self.service = service
        self.address = address
        self.engine = engine
        self.software = software
        self.slots = slots
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.port = 0
        self.first_event_s = 0.02
        self.event_gap_s = 0.01
        self.events_of = lambda run: 4
        self.work_s = 0.03
        self.extra_headers = []
        self.registers = True
        self._beat = None
        self._listener = None
        self.writers = set()

    async def start(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._listener = await asyncio.start_server(
            self._serve, self.address, self.port, limit=2**22
        )
        self.port = self._listener.sockets[0].getsockname()[1]
        self._beat = asyncio.create_task(self._heartbeats())

    def crash(self):
        """Ends at once; all connections are reset."""
        self._beat.cancel()
        self._listener.close()
        for writer in list(self.writers):
            wire.abort(writer)

    async def _heartbeats(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT)

    def write_entry(self):
        if not self.registers or self.world.store.away:
            return
        self.sequence += 1
        self.world.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": f"{self.address}:{self.port}",
                "zone": "scl-a",
                "version": self.software,
                "slots": self.slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "seq": self.sequence,
                "born": self.born,
            },
        )

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await wire.read_request(reader)
                if request is None:
                    break
                if not await self._answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _refusal(self, request, status):
        return wire.head_bytes(
            f"HTTP/1.1 {status} Refused",
            [
                ("Lentilswitch-Request-Id", request.get("lentilswitch-request-id")),
                ("Lentilswitch-Not-Executed", "1"),
                ("Content-Length", "0"),
                *(self.extra_headers if status != 421 else []),
            ],
        )

    async def _answer(self, request, reader, writer):
        method, target, _ = request.first.split(" ")
        if target.startswith("/health"):
            writer.write(
                wire.head_bytes(
                    "HTTP/1.1 200 OK",
                    [("Lentilswitch-Instance-Id", self.name), ("Content-Length", "0")],
                )
            )
            return True
        self.world.arrivals.append(
            (time.monotonic(), self.name, request.get("lentilswitch-request-id"))
        )
        if request.get("lentilswitch-expect-instance") not in ("", self.name):
            writer.write(self._refusal(request, 421))
            return True
        if self.running >= self.slots:
            writer.write(self._refusal(request, 503))
            return True
        run = Run(self, request, time.monotonic())
        run.target, run.body = target, request.body
        self.world.runs.append(run)
        self.running += 1
        try:
            return await self._run(run, writer)
        finally:
            self.running -= 1
            run.ended = time.monotonic()

    def _headers(self, run):
        return [
            ("Lentilswitch-Request-Id", run.id),
            ("Lentilswitch-Server-Stamp", f"{self.name}.{self.born}.{id(run)}"),
            *self.extra_headers,
        ]

    async def _run(self, run, writer):
        if not self.engine:
            await asyncio.sleep(self.work_s)
            body = b"plain answer of " + run.id.encode()
            writer.write(
                wire.head_bytes(
                    "HTTP/1.1 200 OK",
                    self._headers(run) + [("Content-Length", str(len(body)))],
                )
                + body
            )
            await writer.drain()
            return True
        await asyncio.sleep(self.first_event_s)
        writer.write(
            wire.head_bytes(
                "HTTP/1.1 200 OK",
                self._headers(run)
                + [
                    ("Content-Type", "text/event-stream"),
                    ("Transfer-Encoding", "chunked"),
                ],
            )
        )
        for number in range(run.after + 1, self.events_of(run) + 1):
            event = f"id: {number}\ndata: {self.software} {self.name} {run.id} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.transport.is_closing():
                raise ConnectionError("the caller left")
            run.events += 1
            await asyncio.sleep(self.event_gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
