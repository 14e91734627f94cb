"""Requests and prompt segments that end every server that runs them, and callers
that send them."""

import asyncio
import dataclasses

import callers

# A server that ended under such a request starts again after this many seconds.
RESTART_DELAY = (1.5, 4.0)
# Pause between two sends of the same request, in seconds.
REPEAT_INTERVAL = (0.1, 0.8)
# Duration of the store fault that may accompany the requests, in seconds.
STORE_FAULT_TIME = 8.0


@dataclasses.dataclass
class CrashingRequest:
    """A request identified by tenant, path and payload, and how servers end."""

    name: str
    kind: str
    service: str
    limit: float
    tenant: str
    path: str
    payload: bytes
    # "reset" closes all connections, "silence" stops to send and to receive.
    end: str
    # When the server ends: "before" or "after" the response head, or in the
    # "stream", which for a plain response is within its body.
    phase: str


@dataclasses.dataclass
class CrashingSegment:
    """A prompt segment, and how servers end that run a request with it.

    `end` and `phase` are as for `CrashingRequest`.
    """

    name: str
    segment: str
    end: str
    phase: str


def choose_segments(random, count):
    """Returns `count` different segments; servers end at random in each way."""
    return [
        CrashingSegment(
            name=f"s-{number}",
            segment=f"bad{number:x}",
            end=random.choice(["reset", "silence"]),
            phase=random.choice(["before", "after"]),
        )
        for number in range(count)
    ]


def choose(random, count):
    """Returns `count` different requests chosen by `random`."""
    chosen = []
    for number in range(count):
        kind, service, path, limit, _ = random.choice(callers.KINDS)
        chosen.append(
            CrashingRequest(
                name=f"c-{number}",
                kind=kind,
                service=service,
                limit=limit,
                tenant="large",
                path=f"{path}crash-{number}",
                payload=b'{"crash": %d}' % number,
                end=random.choice(["reset", "silence"]),
                phase=random.choice(["before", "after", "stream"]),
            )
        )
    return chosen


class CrashingCallers:
    """Repeat crashing requests on all nodes, with similar harmless ones between."""

    def __init__(self, history, caller_pool, nodes, store, random):
        self.history = history
        self.callers = caller_pool
        self.nodes = nodes
        self.store = store
        self.random = random

    async def run(self, requests, segments, seconds):
        """Sends the requests and segments for `seconds`, under a random state of
        the store."""
        self.history.crashing = {(c.tenant, c.path, c.payload): c for c in requests}
        self.history.crashing_segments = {c.segment: c for c in segments}
        await asyncio.gather(
            self._disturb_store(min(seconds, STORE_FAULT_TIME)),
            *(self._repeat(crashing, seconds) for crashing in requests),
            *(self._vary(crashing, seconds) for crashing in segments),
        )

    async def _disturb_store(self, seconds):
        state = self.random.choice(["well", "slow", "away"])
        if state == "well":
            return
        self.history.record_fault("store " + state, "all", seconds)
        if state == "slow":
            self.store.delay = 0.8
        else:
            self.store.mode = "silent"
        await asyncio.sleep(seconds)
        self.store.delay = 0.0
        self.store.mode = "sound"

    async def _repeat(self, crashing, seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        sends = []
        while loop.time() < end:
            await asyncio.sleep(self.random.uniform(*REPEAT_INTERVAL))
            sends.append(asyncio.create_task(self._send(crashing, crashing.tenant)))
            if self.random.random() < 0.3:
                # Same content from another account, or other content.
                tenant, payload = self.random.choice(
                    [("middle", crashing.payload), (crashing.tenant, b"{}")]
                )
                sends.append(
                    asyncio.create_task(self._send(crashing, tenant, payload))
                )
        await asyncio.gather(*sends)

    async def _send(self, crashing, tenant, payload=None):
        index, node = await self.callers.pick_node()
        if node is None:
            return
        request = self.callers.create_request(
            crashing.kind,
            crashing.service,
            "",
            crashing.limit,
            tenant,
            node,
            path=crashing.path,
        )
        request.payload = crashing.payload if payload is None else payload
        if tenant == crashing.tenant and payload is None:
            request.crashing = crashing.name
        await self.callers.send(self.callers.sessions[index], request)

    async def _vary(self, crashing, seconds):
        """Sends different requests whose prompts share the segment, and sound
        ones that share their account and first segment."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        sends = []
        while loop.time() < end:
            await asyncio.sleep(self.random.uniform(*REPEAT_INTERVAL))
            sends.append(asyncio.create_task(self._send_prompt(crashing)))
            if self.random.random() < 0.5:
                sends.append(asyncio.create_task(self._send_prompt(None)))
        await asyncio.gather(*sends)

    async def _send_prompt(self, crashing):
        index, node = await self.callers.pick_node()
        if node is None:
            return
        kind, service, path, limit, _ = callers.KINDS[0]
        request = self.callers.create_request(kind, service, path, limit, "large", node)
        request.payload = request.id.encode()
        if crashing is None:
            request.segments = ("first",)
        else:
            request.segments = ("first", crashing.segment)
            request.crashing = crashing.name
        await self.callers.send(self.callers.sessions[index], request)
