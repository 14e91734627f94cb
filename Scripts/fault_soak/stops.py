"""Planned stops of nodes under long streams."""

import asyncio
import collections
import json
import signal

import aiohttp

import callers
import promises
from history import Stop, now

KINDS = ("one", "several", "series", "store", "slow", "twice")
# Grace period of the nodes if none is given, in seconds.
DEFAULT_GRACE_PERIOD = 8.0
# Length of the streams in seconds, and the time limit that their callers state.
DURATION = (0.2, 6.0)
TIME_LIMIT = 6.5
# Seconds after the last stop within which service must have recovered.
RECOVERY_TIMEOUT = 2.0
# Share of the callers that use one connection until it cannot be established.
KEPT_SHARE = 0.5
KEPT_CONNECTIONS = 40
# Rate of the usual callers as a share of that of the streams.
USUAL_CALLERS_SHARE = 0.25
# Nodes that stop at once or one after the other.
NODES_PER_ROUND = 3
# Seconds of streams before the first stop.
LEAD_TIME = 3.0
# Pauses between stops, and between those that overlap, in seconds.
PAUSE = (0.3, 1.5)
OVERLAP_DELAY = (0.0, 3.0)
# Time from the first SIGTERM to the second, in seconds.
SECOND_SIGNAL_DELAY = (0.2, 5.0)
# The store is away this many seconds before the signal.
STORE_LEAD_TIME = 1.0
# Share of slow readers, their pause before each read in seconds, the size of their
# events and of their receive buffers: more than the kernel buffers of a connection.
SLOW_SHARE = 0.1
READ_PAUSE = (0.02, 0.12)
EVENT_BYTES = 160_000
RECEIVE_BUFFER_BYTES = 8192


class StreamCallers:
    """Send long streams, half of them on connections to one node that are kept until
    the process is gone."""

    def __init__(self, caller_pool, nodes, random, slow):
        self.caller_pool = caller_pool
        self.nodes = nodes
        self.random = random
        self.slow = slow
        self.stopping = False
        self._tasks = set()

    async def run(self, rate):
        """Starts on average `rate` streams a second until `stopping` is set."""
        self.sessions = [
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
            for _ in range(KEPT_CONNECTIONS)
        ]
        self.kept = [
            self.nodes[i % len(self.nodes)] for i in range(len(self.sessions))
        ]
        while not self.stopping:
            await asyncio.sleep(self.random.expovariate(rate))
            task = asyncio.create_task(self._call())
            self._tasks.add(task)
        await asyncio.gather(*self._tasks)
        for session in self.sessions:
            await session.close()

    async def _call(self):
        """Sends a stream. The caller of a kept connection changes to a node of the
        directory after a failure to connect, not after a refusal."""
        pool = self.caller_pool
        index = self.random.randrange(len(self.sessions))
        kept = self.random.random() < KEPT_SHARE
        tenant = self.random.choices(list(callers.KEYS), [6, 3, 1])[0]
        duration = self.random.uniform(*DURATION)
        slow = self.slow and self.random.random() < SLOW_SHARE
        read_pause = self.random.uniform(*READ_PAUSE) if slow else 0.0
        if kept:
            node, session = self.kept[index], self.sessions[index]
        else:
            session_index, node = await pool.pick_node()
            session = pool.sessions[session_index]
        if node is None:
            return
        request = pool.create_request(
            "streaming", "engines", callers.LONG_PATH, TIME_LIMIT, tenant, node
        )
        request.duration = duration
        if slow:
            request.read_pause = read_pause
            request.event_bytes = EVENT_BYTES
            request.receive_buffer = RECEIVE_BUFFER_BYTES
        await pool.send(session, request)
        if kept and not request.status and not request.cut_off:
            _, other = await pool.pick_node()
            self.kept[index] = other or node


class PlannedStops:
    """Stops nodes by SIGTERM, each followed by a start after its process ended."""

    def __init__(self, history, store, nodes, random):
        self.history = history
        self.store = store
        self.nodes = nodes
        self.random = random

    async def run(self, kind, seconds):
        end = now() + seconds
        await asyncio.sleep(LEAD_TIME)
        while now() < end:
            await asyncio.sleep(self.random.uniform(*PAUSE))
            many = kind in ("several", "series")
            count = min(NODES_PER_ROUND if many else 1, len(self.nodes))
            chosen = self.random.sample(self.nodes, count)
            if kind == "store":
                mode = self.random.choice(["down", "silent"])
                duration = STORE_LEAD_TIME + chosen[0].grace
                self.history.record_fault("store " + mode, "all", duration)
                self.store.mode = mode
                await asyncio.sleep(STORE_LEAD_TIME)
            if kind == "several":
                await asyncio.gather(*(self._stop_later(node) for node in chosen))
            else:
                for node in chosen:
                    await self._stop(node, kind == "twice")
            self.store.mode = "sound"

    async def _stop_later(self, node):
        await asyncio.sleep(self.random.uniform(*OVERLAP_DELAY))
        await self._stop(node)

    async def _stop(self, node, twice=False):
        delay = self.random.uniform(*SECOND_SIGNAL_DELAY)
        self.history.record_fault("stop", node.name, node.grace)
        stop = Stop(node.name, node.incarnation, now(), node.grace)
        self.history.stops.append(stop)
        ending = asyncio.create_task(node.stop())
        if twice:
            await asyncio.wait([ending], timeout=delay)
            node.signal(signal.SIGTERM)
        await ending
        stop.ended_at = now()
        await node.start()


def _reason(request):
    """The reason in the body of a refusal or failure."""
    try:
        return json.loads(request.body)["error"]
    except (ValueError, KeyError, TypeError):
        return str(request.status)


def broken_off(request):
    """Whether a node broke the response off or ended the request because of a stop."""
    ended = request.status in (502, 504) and b"node_stopped" in request.body
    return request.cut_off or ended


def stops_break_nothing_off(history):
    """Of the requests that a stopping node passed on to a sound server, it breaks off
    none that was sent later than LAST_CUT_SEND after the signal, and others not
    before the last sixth of the grace period."""
    servers = collections.defaultdict(set)
    for arrival in history.arrivals:
        servers[arrival.id].add(arrival.server)
    server_ended = {run.id for run in history.runs if run.broken_off}
    for request in history.requests.values():
        stop = history.stop_under(request)
        if (
            stop is None
            or not broken_off(request)
            or request.id not in servers
            or request.id in server_ended
            or request.ended_at >= request.sent_at + request.time_limit
            or promises.may_end_at_stop(history, request)
        ):
            continue
        if history.is_fault_free(
            request.sent_at,
            request.ended_at,
            *servers[request.id],
            kinds=promises.SERVER_FAULTS,
        ):
            sent = request.sent_at - stop.signalled_at
            cut = request.ended_at - stop.signalled_at
            yield (
                f"{request.id} for {request.path} on {request.node} was sent "
                f"{sent:.2f} s and broken off {cut:.2f} s after SIGTERM, "
                f"grace period {stop.grace} s"
            )


def _is_during(request, begin, end):
    return begin <= request.sent_at < end


def report(history):
    """Yields a line on each planned stop, and one on streams refused for tokens."""
    requests = [r for r in history.requests.values() if not r.is_probe]
    streams = collections.Counter()
    for stop in history.stops:
        begin, end = stop.signalled_at, stop.ended_at
        at_node = [r for r in requests if r.node == stop.node]
        sent = [r for r in at_node if _is_during(r, begin, end)]
        served = sum(1 for r in sent if r.complete and r.status == 200)
        refused = collections.Counter(
            _reason(r) for r in sent if r.complete and r.status != 200
        )
        reasons = ", ".join(f"{n} {name}" for name, n in refused.most_common())
        ended = [r for r in at_node if history.stop_under(r) is stop]
        cut = [r for r in ended if broken_off(r)]
        late = sum(1 for r in cut if r.sent_at > begin + promises.LAST_CUT_SEND)
        times = sorted(r.ended_at - begin for r in cut)
        yield (
            f"stop of {stop.node}: {len(sent)} sent, {served} served, "
            f"refused: {reasons or 'none'}; {len(cut)} cut"
            + (f" from {times[0]:.2f} to {times[-1]:.2f} s" if times else "")
            + f", {late} of them sent late; exit after {end - begin:.2f} s"
        )
        elsewhere = [r for r in requests if r.node != stop.node]
        for name, found in (
            ("before", [r for r in at_node if _is_during(r, 2 * begin - end, begin)]),
            ("after", sent),
            ("elsewhere", [r for r in elsewhere if _is_during(r, begin, end)]),
        ):
            for r in found:
                if r.kind == "streaming" and r.status:
                    streams[name] += 1
                    streams[name, _reason(r) if r.status != 200 else ""] += 1
    for name in ("before", "after", "elsewhere"):
        exhausted = streams[name, "prepaid_exhausted"]
        unavailable = streams[name, "prepaid_unavailable"]
        yield (
            f"streams {name}: {streams[name]}, refused as prepaid_exhausted "
            f"{exhausted}, as prepaid_unavailable {unavailable}"
        )
