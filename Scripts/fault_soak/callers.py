"""Simulated callers: they resolve addresses, connect to them, retry once and resume
streams that break."""

import asyncio
import socket

import aiohttp

from history import Request, now

HOST = "soak.example"
# Output tokens in one event of a response stream; the engines' stride.
TOKENS_PER_EVENT = 5

KEYS = {"large": "key-large", "middle": "key-middle", "small": "key-small"}

# Times that a caller takes a broken stream up.
MAX_RESUMPTIONS = 2

# Streams of planned stops; see stops.py.
LONG_PATH = "/long/"

# (kind, service, path prefix, time limit in seconds, weight in the random choice)
KINDS = [
    ("streaming", "engines", "/chat/", 6.0, 5),
    ("non_idempotent", "orders", "/order/", 2.0, 3),
    ("idempotent", "orders", "/lookup/", 2.0, 3),
    ("streaming", "engines", LONG_PATH, 6.5, 0),
]


class Callers:
    def __init__(self, history, nodes, random, prompts_in_payloads):
        self.history = history
        self.nodes = nodes
        self.random = random
        # Whether requests with different prompts have different payloads.
        self.prompts_in_payloads = prompts_in_payloads
        self.stopping = False
        self._tasks = set()
        self._request_count = 0

    async def run(self, rate):
        """Starts on average `rate` requests a second until `stopping` is set."""
        # Each session has its own connections and address cache, like one caller.
        self.sessions = [
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
            for _ in range(8)
        ]
        self.addresses = [[] for _ in self.sessions]
        self.refresh_at = [0.0 for _ in self.sessions]
        while not self.stopping:
            await asyncio.sleep(self.random.expovariate(rate))
            task = asyncio.create_task(self._call_with_retry())
            self._tasks.add(task)
            task.add_done_callback(self._on_task_done)
        await asyncio.gather(*self._tasks)
        for session in self.sessions:
            await session.close()

    def _on_task_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            raise task.exception()

    async def _resolve_address(self, index):
        """Returns an address from the directory, cached for the answer's TTL.

        A third of the answers is used for three times the TTL, as by callers that
        refresh too late.
        """
        if now() >= self.refresh_at[index] or not self.addresses[index]:
            for node in self.random.sample(self.nodes, min(3, len(self.nodes))):
                url = f"http://{node.address}:{node.ports['directory']}/v1/resolve"
                try:
                    async with self.sessions[index].get(
                        url,
                        params={"name": HOST, "region": "r1", "zone": "z1"},
                        timeout=aiohttp.ClientTimeout(total=1),
                    ) as response:
                        answer = await response.json()
                except (aiohttp.ClientError, asyncio.TimeoutError):
                    continue
                if response.status == 200 and answer.get("addresses"):
                    self.addresses[index] = answer["addresses"]
                    factor = self.random.choice([1, 1, 3])
                    self.refresh_at[index] = now() + factor * answer["ttlS"]
                    break
        known = self.addresses[index]
        return self.random.choice(known) if known else None

    async def _call_with_retry(self):
        weights = [kind[4] for kind in KINDS]
        kind, service, path, limit, _ = self.random.choices(KINDS, weights)[0]
        tenant = self.random.choices(list(KEYS), [6, 3, 1])[0]
        index = self.random.randrange(len(self.sessions))
        request = await self._attempt(index, kind, service, path, limit, tenant)
        if request is None:
            return
        delay = request.retry_after
        if delay is not None and delay < limit / 3:
            await asyncio.sleep(delay)
            request = await self._attempt(
                index, kind, service, path, limit, tenant, first=False
            )
        if request is not None and request.kind == "streaming":
            await self._resume(request)

    async def _resume(self, first):
        """Takes a broken stream up at any node, at most MAX_RESUMPTIONS times."""
        end = first.sent_at + first.time_limit
        last_event = first.events_received()
        for _ in range(MAX_RESUMPTIONS):
            if not last_event or last_event >= first.events or now() > end - 0.5:
                return
            if first.disconnected_at:
                return
            index, node = await self.pick_node()
            if node is None:
                return
            request = self.create_request(
                first.kind,
                first.service,
                "",
                end - now(),
                first.tenant,
                node,
                path=first.path,
            )
            request.events = first.events
            request.output_tokens = first.output_tokens
            request.prompt_tokens = first.prompt_tokens
            request.segments = first.segments
            request.payload = first.payload
            request.resumes = first.id
            request.is_first_try = False
            request.resumed_after = last_event
            await self.send(self.sessions[index], request)
            last_event += request.events_received()
            if request.complete and request.status == 200:
                return
            if request.retry_after is not None:
                if request.retry_after > (end - now()) / 3:
                    return
                await asyncio.sleep(request.retry_after)

    async def pick_node(self, index=None):
        """Returns a session's index and a node from the directory, or None."""
        if index is None:
            index = self.random.randrange(len(self.sessions))
        address = await self._resolve_address(index)
        node = next(
            (n for n in self.nodes if address == f"{n.address}:{n.ports['clients']}"),
            None,
        )
        return index, node

    async def _attempt(
        self, index, kind, service, path, limit, tenant, first=True
    ):
        """Sends a new request; returns it, or None if no node is known."""
        _, node = await self.pick_node(index)
        if node is None:
            return None
        disconnect_after = 0.0
        if self.random.random() < 0.05:
            disconnect_after = self.random.uniform(0.02, 0.4)
        request = self.create_request(kind, service, path, limit, tenant, node)
        request.is_first_try = first
        await self.send(self.sessions[index], request, disconnect_after)
        return request

    def create_request(self, kind, service, prefix, limit, tenant, node, path=None):
        """Records a new request for `path`, or for a random path of `prefix`."""
        self._request_count += 1
        streaming = kind == "streaming"
        events = self.random.randint(3, 25) if streaming else 0
        request = Request(
            id=f"{self.random.getrandbits(64):016x}",
            kind=kind,
            service=service,
            tenant=tenant,
            path=path or f"{prefix}{self.random.randrange(100)}",
            prompt_tokens=self.random.randint(50, 900) if streaming else 0,
            output_tokens=events * TOKENS_PER_EVENT,
            events=events,
            node=node.name,
            node_incarnation=node.incarnation,
            sent_at=now(),
            time_limit=limit,
        )
        request.url = f"http://{node.address}:{node.ports['clients']}{request.path}"
        if streaming:
            request.segments = (f"{self.random.randrange(6):x}",)
            if self.prompts_in_payloads:
                request.payload = b'{"prompt": "%s"}' % request.id.encode()
        self.history.requests[request.id] = request
        return request

    async def send(self, session, request, disconnect_after=0.0):
        """Sends the request; closes after `disconnect_after` seconds unless 0."""
        headers = {
            "Host": HOST,
            "Lentilswitch-Request-Id": request.id,
            "Lentilswitch-Deadline-Ms": str(int(request.time_limit * 1000)),
            "Authorization": "Bearer " + KEYS[request.tenant],
        }
        if request.kind == "streaming":
            headers["Lentilswitch-Model"] = "m"
            headers["Lentilswitch-Token-Counts"] = (
                f"{request.prompt_tokens},{request.output_tokens}"
            )
            share = request.prompt_tokens // (len(request.segments) + 1)
            own = request.prompt_tokens - share * len(request.segments)
            headers["Lentilswitch-Prompt-Prefix"] = ",".join(
                [f"{name}:{share}" for name in request.segments]
                + [f"{request.id}:{own}"]
            )
        if request.resumes:
            headers["Resumes"] = request.resumes
            headers["Last-Event-Id"] = str(request.resumed_after)
        # A paused node does not answer, so callers give up 3 s after the time limit.
        timeout = disconnect_after or request.time_limit + 3
        try:
            await asyncio.wait_for(
                self._exchange(session, request, headers), timeout=timeout
            )
        except asyncio.TimeoutError:
            request.disconnected_at = now()
        except aiohttp.ClientError as error:
            # Connections break when nodes end. The history records what was received,
            # and the checks decide whether it is acceptable.
            request.cut_off = not isinstance(error, aiohttp.ClientConnectorError)
        if not request.disconnected_at:
            request.ended_at = now()

    async def _exchange(self, session, request, headers):
        async with session.post(
            request.url,
            data=request.payload,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=1),
        ) as response:
            request.status = response.status
            request.stamp = response.headers.get("Lentilswitch-Server-Stamp", "")
            retry_delay = response.headers.get("Retry-After")
            request.retry_after = float(retry_delay) if retry_delay else None
            received = bytearray()
            if request.receive_buffer and response.connection:
                response.connection.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, request.receive_buffer
                )
            try:
                async for chunk in response.content.iter_any():
                    received += chunk
                    if request.read_pause:
                        await asyncio.sleep(request.read_pause)
                request.complete = True
            finally:
                request.body = bytes(received)
