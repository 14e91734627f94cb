"""Runs gateway nodes as processes under random faults and checks invariants.

Callers, servers, the store and the proxies between them run in this process;
the nodes are processes of the real program. Faults are injected from outside
the nodes: by signals, by the proxies and by the simulated store. The exit code
is 1 when an invariant is violated.
"""

import argparse
import asyncio
import os
import random
import signal
import socket
import sys
import tempfile

import aiohttp

import brittleness
import callers
import crashing
import limits
import nodes as gateway_nodes
import operator_desk
import partitions
import promises
import stops
from callers import Callers
from faults import Faults
from history import History, now
from operator_desk import Operator
from proxy import Proxy
from servers import Server
from store import Store

# Seconds after the last fault within which service must have recovered.
RECOVERY_TIMEOUT = 8.0
# Seconds of fault-free traffic after RECOVERY_TIMEOUT; the share of its requests
# that are served decides whether service has recovered.
EVALUATION_PERIOD = 4.0
# Seconds between the start of the nodes and the first requests.
WARM_UP_DELAY = 3.0
# Interval in seconds at which this process measures its own scheduling lag, and
# the lag in seconds above which the times it records are not used in checks.
LAG_CHECK_INTERVAL = 0.05
MAX_LAG = 0.15
# Each node has its own loopback address and uses these ports there.
FIRST_PORT = 7600
PORTS_PER_NODE = 5


def free_network(count):
    """Returns the first three octets of a /24 loopback network whose hosts 1 to
    `count` have every port of a node free."""
    while True:
        network = f"127.{random.randint(1, 254)}.{random.randint(0, 254)}"
        try:
            for host in range(1, count + 1):
                for port in range(FIRST_PORT, FIRST_PORT + PORTS_PER_NODE):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{host}", port))
            return network
        except OSError:
            continue


class Soak:
    """One run with a seed: a fleet, its servers, store, callers and faults."""

    def __init__(self, options, folder):
        self.options = options
        self.folder = folder
        # Planned stops leave less to recover from than random faults.
        self.recovery_timeout = (
            stops.RECOVERY_TIMEOUT if options.stops else RECOVERY_TIMEOUT
        )
        self.random = random.Random(options.seed)
        self.history = History()
        self.store = Store()
        self.store.random = random.Random(options.seed + 1)
        self.operator = Operator(
            self.history, self.store, self.random, options.attempts
        )
        self.nodes = []
        self.servers = []
        self.proxies = {}

    async def open(self):
        count = self.options.nodes
        network = free_network(count)
        server_address = f"{network}.250"
        versions = self.options.versions
        for name, service, engine, software in [
            *(
                (f"e-{i}", "engines", True, f"v{i % versions}")
                for i in range(self.options.engines)
            ),
            *((f"o-{i}", "orders", False, "v0") for i in range(3)),
        ]:
            server = Server(
                self.history,
                self.store,
                self.random,
                server_address,
                name,
                service,
                engine,
                software,
            )
            self.servers.append(server)
            await server.open()
        self.operator.publish_config()
        peer_port = FIRST_PORT + len(gateway_nodes.LISTENERS)
        seeds = [f"{network}.{i + 1}:{peer_port}" for i in range(min(3, count))]
        for i in range(count):
            address = f"{network}.{i + 1}"
            node = gateway_nodes.Node(
                self.history,
                self.options.binary,
                self.folder,
                address,
                f"n-{i}",
                self.options.grace,
            )
            _, port = await self.store.listen(server_address, node.name)
            proxy = Proxy()
            proxy.target = (server_address, port)
            await proxy.listen(address)
            self.proxies[node.name] = proxy
            node.write_settings(seeds, proxy.port, FIRST_PORT)
            self.nodes.append(node)
        self.links = partitions.Links(
            self.history,
            self.servers,
            self.nodes,
            random.Random(self.options.seed + 5),
        )
        for node in self.nodes:
            await node.start()

    async def run(self):
        await self.open()
        lag_task = asyncio.create_task(self.watch_lag())
        await asyncio.sleep(WARM_UP_DELAY)
        caller_pool = Callers(
            self.history,
            self.nodes,
            random.Random(self.options.seed),
            prompts_in_payloads=self.options.segments > 0,
        )
        rate = self.options.rate
        if self.options.stops:
            rate *= stops.USUAL_CALLERS_SHARE
        traffic_task = asyncio.create_task(caller_pool.run(rate))
        await asyncio.sleep(1)
        probe_task = asyncio.create_task(self.operator.probe(caller_pool, self.nodes))
        faults = Faults(
            self.history,
            self.store,
            self.proxies,
            self.nodes,
            self.servers,
            self.operator,
            self.random,
        )
        crashing_random = random.Random(self.options.seed + 2)
        crashing_callers = crashing.CrashingCallers(
            self.history, caller_pool, self.nodes, self.store, crashing_random
        )
        chosen = crashing.choose(crashing_random, self.options.crashing)
        segments = crashing.choose_segments(
            random.Random(self.options.seed + 4), self.options.segments
        )
        # It disturbs the store also without a crashing request.
        crash_task = None
        if not self.options.stops:
            crash_task = asyncio.create_task(
                crashing_callers.run(chosen, segments, self.options.seconds)
            )
        server_limits = limits.ServerLimits(
            self.servers, random.Random(self.options.seed + 3)
        )
        limit_task = asyncio.create_task(
            server_limits.run(self.options.limits, self.options.seconds)
        )
        partition_task = asyncio.create_task(
            self.links.run(
                self.options.partitions, self.options.linked, self.options.seconds
            )
        )
        brittle_servers = brittleness.BrittleServers(
            self.history, self.servers, random.Random(self.options.seed + 6)
        )
        brittle_task = asyncio.create_task(
            brittle_servers.run(self.options.brittle, self.options.seconds)
        )
        for server in self.servers:
            server.broken_share = self.options.broken
        if self.options.stops:
            fault_count = await self.run_stops(caller_pool)
        else:
            fault_count = await faults.run(self.options.seconds)
        for server in self.servers:
            server.broken_share = 0.0
        if crash_task:
            await crash_task
        await limit_task
        await partition_task
        await brittle_task
        faults_ended_at = now()
        await asyncio.sleep(self.recovery_timeout + EVALUATION_PERIOD)
        caller_pool.stopping = True
        await traffic_task
        probe_task.cancel()
        # Waits for delayed store writes (up to 4 s, none without random faults) and
        # for late runs on servers.
        await asyncio.sleep(1 if self.options.stops else 5)
        await self.close()
        lag_task.cancel()
        return fault_count, faults_ended_at

    async def run_stops(self, caller_pool):
        """Stops nodes under long streams, without other faults, and returns the
        number of stops."""
        kind = self.options.stops
        seed = self.options.seed
        stream_callers = stops.StreamCallers(
            caller_pool, self.nodes, random.Random(seed + 7), kind == "slow"
        )
        stream_task = asyncio.create_task(stream_callers.run(self.options.rate))
        planned_stops = stops.PlannedStops(
            self.history, self.store, self.nodes, random.Random(seed + 8)
        )
        await planned_stops.run(kind, self.options.seconds)
        stream_callers.stopping = True
        await stream_task
        return len(self.history.stops)

    async def watch_lag(self):
        """Records a fault of everything whenever this process was not scheduled.

        Times recorded during such a stall are not reliable.
        """
        while True:
            before = now()
            await asyncio.sleep(LAG_CHECK_INTERVAL)
            lag = now() - before - LAG_CHECK_INTERVAL
            if lag > MAX_LAG:
                self.history.record_fault("observer", "all", 0)
                self.history.faults[-1].started_at = before

    async def close(self):
        await asyncio.gather(
            *(n.stop() for n in self.nodes if n.process.returncode is None)
        )

    async def kill(self):
        """Kills the node processes that still run; also called after an error."""
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.signal(signal.SIGCONT)
                await node.kill()


def find_violations(history, faults_ended_at, recovery_timeout):
    """Returns a text for each violated invariant, with the name of its check."""
    checks = {
        "at most once": promises.non_idempotent_requests_run_once(history),
        "refused requests": promises.refused_requests_never_run(history),
        "only sent requests": promises.only_sent_requests_run(history),
        "response bodies": promises.bodies_are_intact(history),
        "prepaid": promises.prepaid_tokens_are_not_exceeded(
            history, operator_desk.PREPAID_TOKENS, callers.TOKENS_PER_EVENT
        ),
        "retry budget": promises.retries_are_bounded(
            history,
            gateway_nodes.RETRY["ratio"],
            gateway_nodes.RETRY["allowance"],
            gateway_nodes.RETRY["window_s"],
        ),
        "time limits": promises.time_limits_are_met(history),
        "drained servers": promises.draining_servers_get_no_requests(
            history, gateway_nodes.DRAIN_LIMIT
        ),
        "disconnected callers": promises.disconnects_end_work(history),
        "configuration": promises.config_changes_are_applied(history),
        "crashing requests": promises.crashing_requests_are_stopped(history),
        "cut off requests": promises.requests_are_not_cut_off(history),
        "rate limits": promises.rate_limits_are_kept(history),
        "harmless requests": promises.harmless_requests_are_not_taken_for_crashing(
            history
        ),
        "software versions": promises.streams_keep_their_version(history),
        "resumed streams": promises.resumed_streams_go_on(history),
        "partitions": partitions.cut_off_nodes_serve_their_callers(
            history, promises.NODE_FAULTS
        ),
        "brittle servers": brittleness.brittle_servers_stand(history),
        "planned stops": stops.stops_break_nothing_off(history),
        "stops": promises.nodes_exit_cleanly(history),
        "recovery": promises.service_recovers(
            history, faults_ended_at, recovery_timeout
        ),
    }
    return [f"{name}: {text}" for name, found in checks.items() for text in found]


async def soak_once(options, folder):
    """Runs one seed, prints a summary and returns the violations."""
    soak = Soak(options, folder)
    try:
        fault_count, faults_ended_at = await soak.run()
    finally:
        await soak.kill()
    found = find_violations(soak.history, faults_ended_at, soak.recovery_timeout)
    crashing_causes = [
        *soak.history.crashing.values(),
        *soak.history.crashing_segments.values(),
    ]
    for c in crashing_causes:
        copies = [r for r in soak.history.requests.values() if r.crashing == c.name]
        ended = sum(1 for name, _, _ in soak.history.crashes if name == c.name)
        print(
            f"seed {options.seed}: {c.name}, {c.end}, {c.phase}: "
            f"{len(copies)} requests, {ended} servers ended"
        )
    for time in soak.history.brittle_times:
        print(
            f"seed {options.seed}: {time.servers} brittle servers of {time.service}, "
            f"{len(time.falls)} falls"
        )
    for line in stops.report(soak.history) if options.stops else ():
        print(f"seed {options.seed}: {line}")
    requests = soak.history.requests.values()
    resumed = [r for r in requests if r.resumes]
    if resumed:
        going_on = sum(1 for r in resumed if r.events_received())
        print(f"seed {options.seed}: {going_on} of {len(resumed)} resumptions go on")
    served = sum(1 for r in requests if r.complete and r.status == 200)
    print(
        f"seed {options.seed}: {len(requests)} requests, {served} served, "
        f"{len(soak.history.runs)} runs, {fault_count} faults, "
        f"{len(soak.history.probes)} probes, {len(found)} violations",
        flush=True,
    )
    for text in found[:20]:
        print(f"  {text}")
    return found


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", default="build/Source/LentilSwitch/lentilswitch")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds to run"
    )
    parser.add_argument(
        "--seconds", type=float, default=20, help="time during which faults start"
    )
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--rate", type=float, default=60, help="requests a second")
    parser.add_argument(
        "--crashing", type=int, default=2, help="number of crashing requests"
    )
    parser.add_argument(
        "--segments", type=int, default=1, help="number of crashing prompt segments"
    )
    parser.add_argument(
        "--versions", type=int, default=2, help="number of versions of the engines"
    )
    parser.add_argument(
        "--attempts", type=int, default=3, help="servers that a stream is sent to"
    )
    parser.add_argument(
        "--broken", type=float, default=0.0, help="share of streams that break"
    )
    parser.add_argument(
        "--limits", type=int, default=3, help="number of rate limits of servers"
    )
    parser.add_argument(
        "--partitions", type=int, default=0, help="number of partitions from servers"
    )
    parser.add_argument(
        "--linked", type=int, default=2, help="nodes that partitions may cut off"
    )
    parser.add_argument(
        "--brittle", type=int, default=0, help="times of brittle servers"
    )
    parser.add_argument(
        "--stops",
        choices=stops.KINDS,
        help="kind of planned stops under long streams, instead of random faults",
    )
    parser.add_argument(
        "--grace", type=float, help="grace period of the nodes in seconds"
    )
    parser.add_argument("--logs", help="folder for the logs of failed seeds")
    options = parser.parse_args()
    if options.grace is None:
        options.grace = (
            stops.DEFAULT_GRACE_PERIOD
            if options.stops
            else gateway_nodes.STOP_GRACE_PERIOD
        )
    failed_seeds = []
    for seed in range(options.seed, options.seed + options.seeds):
        options.seed = seed
        with tempfile.TemporaryDirectory() as folder:
            if asyncio.run(soak_once(options, folder)):
                failed_seeds.append(seed)
                if options.logs:
                    os.makedirs(options.logs, exist_ok=True)
                    for name in os.listdir(folder):
                        os.replace(
                            os.path.join(folder, name),
                            os.path.join(options.logs, f"{seed}-{name}"),
                        )
    print(f"broken seeds: {failed_seeds or 'none'}")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
