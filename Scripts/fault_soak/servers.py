"""Simulated engines and plain servers that record the requests they run."""

import asyncio
import time

from aiohttp import web

import brittleness
import crashing
import promises
from history import Arrival, RateLimit, Run, now
from proxy import Proxy

# Interval between writes of a server's entry to the store, in seconds.
HEARTBEAT_INTERVAL = 1.2
# A draining server keeps serving for twice this time, in seconds.
DRAIN_TIME = 2.0


class Server:
    def __init__(
        self, history, store, random, address, name, service, engine, software
    ):
        self.history = history
        self.store = store
        self.random = random
        self.address = address
        self.name = name
        self.service = service
        self.engine = engine
        # Version of its software.
        self.software = software
        history.software[name] = software
        self.slots = 16 if engine else 12
        self.proxy = Proxy()
        self.running = 0
        self.sequence = 0
        self.run_count = 0
        self.state = "ready"
        # Shares of responses that are cut off, or have status 500.
        self.truncated_share = 0.0
        self.error_share = 0.0
        # Share of streams that break in the whole run, apart from faults.
        self.broken_share = 0.0
        # The `RateLimit` that responses name, or None.
        self.limit = None
        # The `Brittleness` of the servers of the service, or None.
        self.brittleness = None
        # (time, request) of what the server turned away in the last second.
        self._rejections = []
        # Another fault decides when the server ends and starts.
        self.busy = False
        self._runner = None
        self._heartbeat = None
        self._restart = None

    async def open(self):
        await self.proxy.listen(self.address)
        await self.start()

    async def start(self):
        self.started_at_ms = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self._rejections = []
        self.state = "ready"
        self.end_limit()
        self.history.draining_servers.pop(self.name, None)
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.address, 0, shutdown_timeout=0.1)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        await self.proxy.restart_target((self.address, port))
        self._heartbeat = asyncio.create_task(self._send_heartbeats())

    async def crash(self):
        """Ends at once; the entry stays in the store until it expires."""
        self._heartbeat.cancel()
        self.proxy.end_target()
        await self._runner.cleanup()

    def _end_under(self, request):
        """Ends the server, by a crashing request, until it starts again."""
        self.history.crashes.append((request.name, self.name, now()))
        self._end(crashing.RESTART_DELAY, silent=request.end == "silence")

    def _end(self, downtime_range, silent=False):
        """Ends the server until it starts again after a random time."""
        self.busy = True
        downtime = self.random.uniform(*downtime_range)
        self.history.record_fault("crash", self.name, downtime)
        self._restart = asyncio.create_task(self._end_and_restart(downtime, silent))

    async def _end_and_restart(self, downtime, silent):
        if silent:
            self.proxy.silent = True
            self._heartbeat.cancel()
            await asyncio.sleep(downtime)
            await self.crash()
            self.proxy.silent = False
        else:
            await self.crash()
            await asyncio.sleep(downtime)
        await self.start()
        self.busy = False

    async def drain(self):
        """Announces that it drains, keeps serving for a time, and ends."""
        self.state = "draining"
        self._publish_entry()
        self.history.draining_servers[self.name] = now()
        await asyncio.sleep(DRAIN_TIME * 2)
        self.history.record_fault("leave", self.name, 0)
        await self.crash()
        self.store.remove("servers", self.name)

    def _publish_entry(self):
        self.sequence += 1
        self.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": f"{self.address}:{self.proxy.port}",
                "zone": "z1",
                "version": self.software,
                "slots": self.slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "seq": self.sequence,
                "born": self.started_at_ms,
            },
        )

    async def _send_heartbeats(self):
        while True:
            self._publish_entry()
            await asyncio.sleep(HEARTBEAT_INTERVAL)

    def _refusal(self, request, status):
        request_id = request.headers.get("Lentilswitch-Request-Id", "")
        headers = {
            "Lentilswitch-Not-Executed": "1",
            "Lentilswitch-Request-Id": request_id,
        }
        if status != 421:
            headers |= self._state_headers(request_id)
        return web.Response(status=status, headers=headers)

    def _reject(self, request):
        """Turns a request away for want of room; a brittle server may fall."""
        brittle = self.brittleness
        at = now()
        if brittle is not None and at > brittle.started_at + brittleness.NOTICE_TIME:
            request_id = request.headers.get("Lentilswitch-Request-Id", "")
            self._rejections = [r for r in self._rejections if r[0] > at - 1]
            self._rejections.append((at, request_id))
            if len(self._rejections) > brittle.max_rejections and not self.busy:
                rejected = [id for _, id in self._rejections]
                brittle.falls.append((self.name, at, rejected))
                self._end(brittleness.DOWNTIME)
        return self._refusal(request, 503)

    def name_limit(self, rate):
        self.limit = RateLimit(self.name, rate, now())
        self.history.rate_limits.append(self.limit)

    def end_limit(self):
        """Ends the limit; a server that starts again names none either."""
        if self.limit is not None:
            self.limit.ended_at = now()
            self.limit = None

    def _limit_header(self, request_id):
        if self.limit is None:
            return {}
        self.history.limit_responses.append((self.name, request_id, now()))
        return {"Server-Limit": str(self.limit.rate)}

    async def _serve(self, request):
        request_id = request.headers.get("Lentilswitch-Request-Id", "")
        payload = await request.read()
        self.history.arrivals.append(
            Arrival(request_id, self.service, self.name, now())
        )
        if request.headers.get("Lentilswitch-Expect-Instance") != self.name:
            return self._refusal(request, 421)
        if self.running >= self.slots:
            return self._reject(request)
        tenant = request.headers.get("Lentilswitch-Tenant", "")
        crashing_request = self.history.crashing.get(
            (tenant, request.path, payload)
        ) or self._crashing_segment(request)
        if crashing_request and self.busy:
            return self._refusal(request, 503)
        self.run_count += 1
        run = Run(
            id=request_id,
            server=self.name,
            service=self.service,
            tenant=request.headers.get("Lentilswitch-Tenant", ""),
            path=request.path,
            started_at=now(),
            resumed_after=int(request.headers.get("Last-Event-Id", "0")),
            stamp=f"{self.name}.{self.started_at_ms}.{self.run_count}",
            software=self.software,
        )
        self.history.runs.append(run)
        self.running += 1
        try:
            if self.brittleness is not None:
                await asyncio.sleep(self.brittleness.extra_run_time)
            if crashing_request:
                return await self._run_crashing(request, run, crashing_request)
            if self.engine:
                return await self._send_stream(request, run)
            return await self._send_plain(request, run)
        except ConnectionError:
            # The caller disconnected; run.events_sent says what was sent to it.
            return None
        finally:
            self.running -= 1
            run.ended_at = now()

    def _crashing_segment(self, request):
        """The crashing segment that the request's prompt shares, or None."""
        prompt = request.headers.get("Lentilswitch-Prompt-Prefix", "").split(",")
        for entry in prompt[:-1]:
            found = self.history.crashing_segments.get(entry.split(":")[0])
            if found:
                return found
        return None

    def _headers(self, run):
        return {
            "Lentilswitch-Request-Id": run.id,
            "Lentilswitch-Server-Stamp": run.stamp,
            **self._state_headers(run.id),
        }

    def _state_headers(self, request_id):
        """What all responses say about the server."""
        headers = self._limit_header(request_id)
        if self.brittleness is not None:
            headers["Server-Brittle"] = str(self.brittleness.max_rejections)
        return headers

    async def _run_crashing(self, request, run, crashing_request):
        await asyncio.sleep(self.random.uniform(0.0, 0.05))
        if crashing_request.phase != "before":
            response = web.StreamResponse(headers=self._headers(run))
            if self.engine:
                response.content_type = "text/event-stream"
            response.enable_chunked_encoding()
            await response.prepare(request)
            if crashing_request.phase == "stream":
                await response.write(promises.stream_event(run.id, 1))
            await asyncio.sleep(0.02)
        if not self.busy:
            self._end_under(crashing_request)
        # The end of the server ends this run.
        await asyncio.sleep(60)

    async def _send_plain(self, request, run):
        await asyncio.sleep(self.random.uniform(0.005, 0.05))
        if self.random.random() < self.truncated_share:
            if request.transport is not None:
                request.transport.abort()
            raise ConnectionError("response cut off by fault injection")
        if self.random.random() < self.error_share:
            run.status = 500
        return web.Response(
            status=run.status,
            body=promises.plain_body(run.id, run.stamp),
            headers=self._headers(run),
        )

    async def _send_stream(self, request, run):
        sent = self.history.requests.get(run.id)
        events = sent.events if sent else 1
        event_bytes = sent.event_bytes if sent else 0
        interval = sent.duration / events if sent else 0.0
        await asyncio.sleep(0.02 + 0.004 * self.running)
        response = web.StreamResponse(headers=self._headers(run))
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        truncated_at = 0
        if self.random.random() < max(self.truncated_share, self.broken_share):
            truncated_at = self.random.randint(run.resumed_after + 1, events)
        for number in range(run.resumed_after + 1, events + 1):
            if request.transport is None or request.transport.is_closing():
                raise ConnectionError("the caller disconnected")
            event = promises.stream_event(run.id, number, event_bytes)
            if number == truncated_at:
                # Sends half an event, then closes the connection.
                run.broken_off = True
                await response.write(event[: len(event) // 2])
                if request.transport is not None:
                    request.transport.abort()
                raise ConnectionError("response cut off by fault injection")
            await response.write(event)
            run.events_sent += 1
            await asyncio.sleep(interval or self.random.uniform(0.01, 0.04))
        await response.write_eof()
        return response
