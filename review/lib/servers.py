"""Model servers and plain servers that record what reaches them and what runs."""

import asyncio
import time

import wire

HEARTBEAT = 1.2


class Server:
    """A server that keeps to the pages: it checks whom a request is meant for."""

    def __init__(self, name, service, record, slots=64, software="v1", zone="z1"):
        self.name = name
        self.service = service
        self.record = record
        self.slots = slots
        self.software = software
        self.zone = zone
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        # (time, request id, tenant, target, number of bytes) of each run.
        self.runs = []
        self.connections = set()
        self.work = 0.02
        # Of streams: time to the first event, between events, events, tokens of
        # one event.
        self.first = 0.1
        self.gap = 0.03
        self.events = 0

    async def open(self, host, store):
        self.store = store
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self._serve, host, 0, limit=2**16)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beating = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.publish()
            await asyncio.sleep(HEARTBEAT)

    def publish(self):
        self.sequence += 1
        self.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.software,
                "slots": self.slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "seq": self.sequence,
                "born": self.born,
            },
        )

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await wire.read_request(reader)
                await self._answer(request, writer)
                await writer.drain()
        except (wire.Closed, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, request, writer):
        request_id = request.get("Lentilswitch-Request-Id")
        if request.target == "/health":
            named = [("Lentilswitch-Instance-Id", self.name)]
            writer.write(wire.response(200, named, b""))
            return
        expected = request.get("Lentilswitch-Expect-Instance")
        if expected and expected != self.name:
            named = [("Lentilswitch-Instance-Id", self.name)]
            writer.write(wire.response(421, named, b""))
            return
        echoed = [("Lentilswitch-Request-Id", request_id)]
        if not request_id or self.running >= self.slots:
            refused = [*echoed, ("Lentilswitch-Not-Executed", "1")]
            writer.write(wire.response(503 if request_id else 400, refused, b""))
            return
        stamp = f"{self.name}.{self.born}.{len(self.runs)}"
        self.runs.append(
            (
                time.monotonic(),
                request_id,
                request.get("Lentilswitch-Tenant"),
                request.target,
                len(request.body),
            )
        )
        headers = [*echoed, ("Lentilswitch-Server-Stamp", stamp)]
        self.running += 1
        try:
            if self.events:
                await self._stream(request, writer, headers)
            else:
                await asyncio.sleep(self.work)
                body = f"{request_id} {self.service} {len(request.body)}\n".encode()
                writer.write(wire.response(200, headers, body))
        finally:
            self.running -= 1

    async def _stream(self, request, writer, headers):
        await asyncio.sleep(self.first)
        headers.append(("Content-Type", "text/event-stream"))
        headers.append(("Transfer-Encoding", "chunked"))
        writer.write(wire.head("HTTP/1.1 200 OK", headers))
        for number in range(int(request.get("Last-Event-Id") or 0) + 1, self.events + 1):
            if writer.transport.is_closing():
                raise wire.Closed("the caller has left")
            event = f"id: {number}\ndata: {request.get('Lentilswitch-Request-Id')}\n\n"
            data = event.encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.gap)
        writer.write(b"0\r\n\r\n")
