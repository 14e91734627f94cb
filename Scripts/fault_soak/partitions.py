"""Cuts nodes off from all servers, while callers, the store and peers reach them."""

import asyncio
import dataclasses

from history import now
from promises import PARTITION_NOTICE_TIME
from proxy import Proxy

# How long nodes are cut off, in seconds.
DURATION = (7.0, 10.0)
# How the connections between a node and the servers behave.
KINDS = ("hang", "reset", "refuse")
# Callers of cut-off nodes may be served worse by this factor, or this many requests
# and this share of all may fail there.
MIN_SERVED_RATIO = 2 / 3
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50


@dataclasses.dataclass
class Partition:
    """Nodes that were cut off from all servers."""

    kind: str
    nodes: set
    started_at: float
    ended_at: float


class Links:
    """Ways from some nodes to the servers that can be cut for each node."""

    def __init__(self, history, store, servers, nodes, random):
        self.history = history
        self.store = store
        self.servers = servers
        self.nodes = nodes
        self.random = random
        # node -> proxies to the servers
        self.proxies = {}

    async def open(self, count):
        for node in self.nodes[:count]:
            self.proxies[node.name] = []
            routes = {}
            for server in self.servers:
                proxy = Proxy()
                proxy.target = (server.address, server.proxy.port)
                await proxy.listen(node.address)
                self.proxies[node.name].append(proxy)
                address = f"{server.address}:{server.proxy.port}"
                routes[address] = f"{node.address}:{proxy.port}"
            self.store.server_routes[node.name] = routes

    async def run(self, count, seconds):
        """Makes `count` partitions one after the other within `seconds`."""
        for _ in range(count):
            await asyncio.sleep(self.random.uniform(0.5, seconds / count / 2))
            names = list(self.proxies)
            chosen = self.random.sample(names, self.random.randint(1, len(names)))
            duration = self.random.uniform(*DURATION)
            kind = self.random.choice(KINDS)
            started_at = now()
            self._cut(chosen, kind)
            await asyncio.sleep(duration)
            self._heal(chosen)
            self.history.partitions.append(
                Partition(kind, set(chosen), started_at, now())
            )

    def _cut(self, names, kind):
        for proxy in (p for name in names for p in self.proxies[name]):
            if kind == "hang":
                proxy.silent = True
                continue
            proxy.rejecting = True
            if kind == "reset":
                proxy.reset_connections()

    def _heal(self, names):
        for proxy in (p for name in names for p in self.proxies[name]):
            if proxy.silent:
                # Bytes were dropped from these streams, so they cannot continue.
                proxy.reset_connections()
            proxy.silent = False
            proxy.rejecting = False


def cut_off_nodes_serve_their_callers(history, node_faults):
    """Callers of cut-off nodes are served nearly as often as the others."""
    for partition in history.partitions:
        begin = partition.started_at + PARTITION_NOTICE_TIME
        # First tries at nodes that were not harmed in another way.
        tries = [
            r
            for r in history.requests.values()
            if begin < r.sent_at < partition.ended_at - r.time_limit
            and r.tenant == "large"
            and r.is_first_try
            and not (r.disconnected_at and r.disconnected_at < r.sent_at + 1.0)
            and history.is_fault_free(
                partition.started_at, r.sent_at + 0.5, r.node, kinds=node_faults
            )
        ]
        cut = [r for r in tries if r.node in partition.nodes]
        others = [r for r in tries if r.node not in partition.nodes]
        served = lambda found: sum(1 for r in found if r.complete and r.status == 200)
        failed = len(cut) - served(cut)
        if not cut or not others or failed <= MAX_FAILED + MAX_FAILED_SHARE * len(tries):
            continue
        ratio = served(others) / len(others)
        if served(cut) < MIN_SERVED_RATIO * ratio * len(cut):
            yield (
                f"nodes cut off from all servers ({partition.kind}) serve "
                f"{served(cut)} of {len(cut)} first tries, others {served(others)} "
                f"of {len(others)}"
            )
