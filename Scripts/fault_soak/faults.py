"""Injects random faults, one after another and overlapping."""

import asyncio
import signal

from history import now

# Mean time between the starts of two faults, in seconds.
MEAN_FAULT_INTERVAL = 0.9


class Faults:
    """Chooses faults by weight and ends each after a random time of up to 4 s."""

    def __init__(self, history, store, proxies, nodes, servers, operator, random):
        self.history = history
        self.store = store
        # Proxies between each node and the store, by node name.
        self.proxies = proxies
        self.nodes = nodes
        self.servers = servers
        self.operator = operator
        self.random = random
        self._tasks = set()

    async def run(self, seconds):
        """Injects faults for `seconds`, waits until all have ended, and returns
        their number."""
        kinds = [
            (self._kill_node, 3),
            (self._stop_node, 3),
            (self._pause_node, 3),
            (self._reload_node, 2),
            (self._kill_all_nodes, 0.4),
            (self._store_fault, 3),
            (self._disturb_store_connections, 3),
            (self._drop_change_log, 1),
            (self._crash_server, 3),
            (self._drain_server, 2),
            (self._disturb_server_connections, 4),
            (self._truncate_responses, 2),
            (self._change_routes, 4),
        ]
        end = now() + seconds
        while now() < end:
            chosen = self.random.choices(
                [k for k, _ in kinds], [weight for _, weight in kinds]
            )[0]
            longest = max(0.2, min(4.0, end - now()))
            task = asyncio.create_task(chosen(self.random.uniform(0.2, longest)))
            self._tasks.add(task)
            await asyncio.sleep(self.random.expovariate(1 / MEAN_FAULT_INTERVAL))
        results = await asyncio.gather(*self._tasks)
        return len(results)

    def _pick_idle(self, entries):
        """Returns a random entry that no other fault uses, or None."""
        free = [entry for entry in entries if not getattr(entry, "busy", False)]
        return self.random.choice(free) if free else None

    async def _kill_node(self, seconds):
        node = self._pick_idle(self.nodes)
        if node is None:
            return
        node.busy = True
        self.history.record_fault("kill", node.name, seconds)
        await node.kill()
        await asyncio.sleep(seconds)
        await node.start()
        node.busy = False

    async def _kill_all_nodes(self, seconds):
        nodes = [node for node in self.nodes if not node.busy]
        self.history.record_fault("kill_all", "all", seconds)
        # Marks all nodes first, so that no other fault starts one of them as well.
        for node in nodes:
            node.busy = True
        for node in nodes:
            await node.kill()
        await asyncio.sleep(min(seconds, 1.0))
        for node in nodes:
            await node.start()
            node.busy = False

    async def _stop_node(self, seconds):
        node = self._pick_idle(self.nodes)
        if node is None:
            return
        node.busy = True
        self.history.record_fault("stop", node.name, seconds)
        await node.stop()
        await node.start()
        node.busy = False

    async def _pause_node(self, seconds):
        node = self._pick_idle(self.nodes)
        if node is None:
            return
        node.busy = True
        self.history.record_fault("pause", node.name, seconds)
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        node.signal(signal.SIGCONT)
        node.busy = False

    async def _reload_node(self, _):
        node = self._pick_idle(self.nodes)
        if node is not None:
            node.signal(signal.SIGHUP)

    async def _store_fault(self, seconds):
        kind = self.random.choice(["down", "silent", "slow", "lossy", "refusing"])
        self.history.record_fault("store " + kind, "all", seconds)
        if kind in ("down", "silent"):
            self.store.mode = kind
        elif kind == "slow":
            self.store.delay = self.random.uniform(0.05, 1.0)
        elif kind == "lossy":
            self.store.lost_reply_share = self.random.uniform(0.2, 0.9)
        else:
            self.store.refused_nodes = {
                node.name for node in self.nodes if self.random.random() < 0.5
            }
        await asyncio.sleep(seconds)
        if kind in ("down", "silent"):
            self.store.mode = "sound"
        elif kind == "slow":
            self.store.delay = 0.0
        elif kind == "lossy":
            self.store.lost_reply_share = 0.0
        else:
            self.store.refused_nodes = set()

    async def _disturb_store_connections(self, seconds):
        name, proxy = self.random.choice(list(self.proxies.items()))
        self.history.record_fault("cut", name, seconds)
        await self._disturb_connections(proxy, seconds)

    async def _drop_change_log(self, _):
        self.history.record_fault("history", "all", 0)
        self.store.drop_change_log()

    async def _disturb_server_connections(self, seconds):
        server = self.random.choice(self.servers)
        self.history.record_fault("connections", server.name, seconds)
        await self._disturb_connections(server.proxy, seconds)

    async def _disturb_connections(self, proxy, seconds):
        kind = self.random.choice(["delay", "reset", "up", "down", "both", "refuse"])
        if kind == "delay":
            proxy.delay = self.random.uniform(0.01, 0.3)
        elif kind == "reset":
            proxy.reset_connections()
        elif kind == "refuse":
            proxy.rejecting = True
        else:
            proxy.dropped_directions = {"up", "down"} if kind == "both" else {kind}
        await asyncio.sleep(seconds)
        if kind == "delay":
            proxy.delay = 0.0
        elif kind == "refuse":
            proxy.rejecting = False
        elif kind != "reset":
            proxy.dropped_directions = set()
            # Bytes were dropped from these streams, so they cannot continue.
            proxy.reset_connections()

    async def _crash_server(self, seconds):
        server = self._pick_idle(self.servers)
        if server is None:
            return
        server.busy = True
        self.history.record_fault("crash", server.name, seconds)
        await server.crash()
        await asyncio.sleep(seconds)
        await server.start()
        server.busy = False

    async def _drain_server(self, seconds):
        server = self._pick_idle(self.servers)
        if server is None:
            return
        server.busy = True
        await server.drain()
        await asyncio.sleep(seconds)
        await server.start()
        server.busy = False

    async def _truncate_responses(self, seconds):
        server = self.random.choice(self.servers)
        self.history.record_fault("torn", server.name, seconds)
        server.truncated_share = self.random.uniform(0.05, 0.5)
        server.error_share = self.random.uniform(0.0, 0.2)
        await asyncio.sleep(seconds)
        server.truncated_share = 0.0
        server.error_share = 0.0

    async def _change_routes(self, _):
        self.operator.change_routes()
