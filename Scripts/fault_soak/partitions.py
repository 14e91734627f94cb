"""Cuts nodes off from all servers, while callers, the store and peers reach them."""

import asyncio
import contextlib
import dataclasses
import os
import socket
import struct

from history import now
from promises import PARTITION_NOTICE_TIME

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
    """Links of the nodes to all servers. Connections are told apart by the process
    that owns them, because nodes may learn the servers' addresses from each other."""

    def __init__(self, history, servers, nodes, random):
        self.history = history
        self.servers = servers
        self.nodes = nodes
        self.random = random
        self._kind = None
        self._cut_nodes = set()

    async def run(self, count, linked, seconds):
        """Makes `count` partitions of some of the first `linked` nodes, one after the
        other within `seconds`."""
        names = [node.name for node in self.nodes[:linked]]
        for _ in range(count):
            await asyncio.sleep(self.random.uniform(0.5, seconds / count / 2))
            self._cut_nodes = set(
                self.random.sample(names, self.random.randint(1, len(names)))
            )
            duration = self.random.uniform(*DURATION)
            self._kind = self.random.choice(KINDS)
            started_at = now()
            owners = self._owners()
            peers = {p for p, name in owners.items() if name in self._cut_nodes}
            for server in self.servers:
                server.proxy.link_cut = self._cut_of
                server.proxy.cut_links(self._kind, peers)
            await asyncio.sleep(duration)
            for server in self.servers:
                server.proxy.link_cut = lambda peer: None
                server.proxy.heal_links()
            self.history.partitions.append(
                Partition(self._kind, self._cut_nodes, started_at, now())
            )

    def _cut_of(self, peer):
        return self._kind if self._owners().get(peer) in self._cut_nodes else None

    def _owners(self):
        """Returns a map from the (address, port) of sockets to their nodes."""
        nodes = {}
        for node in self.nodes:
            folder = f"/proc/{node.process.pid}/fd"
            with contextlib.suppress(OSError):
                # The process, or one of its descriptors, may end meanwhile.
                for name in os.listdir(folder):
                    with contextlib.suppress(OSError):
                        nodes[os.readlink(f"{folder}/{name}")] = node.name
        owners = {}
        with open("/proc/net/tcp", encoding="ascii") as table:
            next(table)
            for line in table:
                fields = line.split()
                name = nodes.get(f"socket:[{fields[9]}]")
                if name:
                    address, port = fields[1].split(":")
                    address = socket.inet_ntoa(struct.pack("<I", int(address, 16)))
                    owners[address, int(port, 16)] = name
        return owners


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
