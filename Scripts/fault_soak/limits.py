"""Rate limits that servers name in their responses."""

import asyncio

# Lowest and highest limit, in requests a second.
LOWEST_RATE = 0.5
HIGHEST_RATE = 4.0
# Share of the limits that all servers of a service name at the same time.
WHOLE_SERVICE_SHARE = 0.3
# Seconds for which a limit holds.
SHORTEST_TIME = 6.0
LONGEST_TIME = 12.0


class ServerLimits:
    """Lets servers name limits at random times; limits of a server may follow each
    other, change while they hold, and end."""

    def __init__(self, servers, random):
        self.servers = servers
        self.random = random

    async def run(self, count, seconds):
        """Names `count` limits within `seconds` and returns after the last ended."""
        await asyncio.gather(*(self._limit(seconds) for _ in range(count)))

    async def _limit(self, seconds):
        first = self.random.choice(self.servers)
        chosen = [first]
        if self.random.random() < WHOLE_SERVICE_SHARE:
            chosen = [s for s in self.servers if s.service == first.service]
        rate = round(self.random.uniform(LOWEST_RATE, HIGHEST_RATE), 2)
        duration = self.random.uniform(SHORTEST_TIME, LONGEST_TIME)
        await asyncio.sleep(self.random.uniform(0, max(0.0, seconds - duration)))
        chosen = [s for s in chosen if s.limit is None]
        for server in chosen:
            server.name_limit(rate)
        limits = [server.limit for server in chosen]
        await asyncio.sleep(duration)
        for server, limit in zip(chosen, limits):
            if server.limit is limit:
                server.end_limit()
