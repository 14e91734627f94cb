"""Servers that say that they are brittle: they fall if they turn too many requests
away."""

import asyncio
import dataclasses

from history import now
from promises import MIN_FAULT_FREE_TIME, NODE_FAULTS

# Requests that a brittle server may turn away in a second.
MAX_REJECTIONS = (2, 5)
# Seconds for which the servers of a service are brittle.
DURATION = (8.0, 12.0)
# Seconds after which nodes must have noticed. Until then servers do not fall.
NOTICE_TIME = 3.0
# Time that requests take at brittle servers beyond the usual, in seconds, so that the
# servers become full.
EXTRA_RUN_TIME = (0.4, 1.2)
# Seconds after which a server that fell is back.
DOWNTIME = (2.0, 4.0)
# Servers of a service that may fall in one time, and the share of all that may fall
# beyond them.
MAX_FALLS = 2
MAX_FALL_SHARE = 0.1


@dataclasses.dataclass
class Brittleness:
    """A time in which the servers of a service are brittle."""

    service: str
    servers: int
    max_rejections: int
    started_at: float
    extra_run_time: float
    ended_at: float = 0.0
    # (server, time, requests turned away in the second before) of each fall
    falls: list = dataclasses.field(default_factory=list)


class BrittleServers:
    """Makes the servers of a service brittle, one time after the other."""

    def __init__(self, history, servers, random):
        self.history = history
        self.servers = servers
        self.random = random

    async def run(self, count, seconds):
        for _ in range(count):
            await asyncio.sleep(self.random.uniform(0.2, seconds / count / 3))
            service = self.random.choice(sorted({s.service for s in self.servers}))
            chosen = [s for s in self.servers if s.service == service]
            brittleness = Brittleness(
                service,
                len(chosen),
                self.random.randint(*MAX_REJECTIONS),
                now(),
                self.random.uniform(*EXTRA_RUN_TIME),
            )
            self.history.brittle_times.append(brittleness)
            for server in chosen:
                server.brittleness = brittleness
            await asyncio.sleep(self.random.uniform(*DURATION))
            for server in chosen:
                server.brittleness = None
            brittleness.ended_at = now()


def brittle_servers_stand(history):
    """Servers that say that they are brittle fall at most a few times.

    Falls count if most of what was turned away came from nodes without a fault.
    """
    for time in history.brittle_times:
        falls = 0
        for _, at, rejected in time.falls:
            nodes = [
                history.requests[id].node for id in rejected if id in history.requests
            ]
            sound = sum(
                history.is_fault_free(
                    at - MIN_FAULT_FREE_TIME, at, node, kinds=NODE_FAULTS
                )
                for node in nodes
            )
            falls += sound * 2 > len(rejected)
        if falls > MAX_FALLS + MAX_FALL_SHARE * time.servers:
            yield (
                f"brittle servers of {time.service} ({time.servers}) fell "
                f"{falls} times"
            )
