"""Records what callers and servers observed during a soak."""

import dataclasses
import time


def now():
    """Returns seconds on the monotonic clock."""
    return time.monotonic()


@dataclasses.dataclass
class Request:
    """A request as its caller sent it, and the response that was received."""

    id: str
    kind: str
    service: str
    tenant: str
    path: str
    prompt_tokens: int
    output_tokens: int
    events: int
    node: str
    node_incarnation: int
    sent_at: float
    time_limit: float
    status: int = 0
    complete: bool = False
    body: bytes = b""
    stamp: str = ""
    ended_at: float = 0.0
    # Time at which the caller closed the connection or gave up; 0 if it did not.
    disconnected_at: float = 0.0
    # The connection was established and ended before the response was complete.
    cut_off: bool = False
    # Retry-After of a refusal, in seconds.
    retry_after: float | None = None
    # Sent by the operator to see whether a route is configured.
    is_probe: bool = False
    # Not a repetition of a refused request, nor a resumption.
    is_first_try: bool = True
    payload: bytes = b"{}"
    # Name of the `CrashingRequest` that this is a copy of, or of the
    # `CrashingSegment` in its prompt; empty for others.
    crashing: str = ""
    # Segments that the prompt shares with other requests, in order.
    segments: tuple[str, ...] = ()
    # Request that brought the first event of the stream that this one resumes, and
    # the number of the last event that the caller has.
    resumes: str = ""
    resumed_after: int = 0
    # Length of the stream in seconds; 0 if each event takes a random time.
    duration: float = 0.0
    # Slow readers: pause before each read in seconds, size of the events and of the
    # receive buffer; 0 for others.
    read_pause: float = 0.0
    event_bytes: int = 0
    receive_buffer: int = 0

    def events_received(self):
        """Number of whole events in the response."""
        return self.body.count(b"\n\n") if self.kind == "streaming" else 0


@dataclasses.dataclass
class Run:
    """One execution of a request on a server."""

    id: str
    server: str
    service: str
    tenant: str
    path: str
    started_at: float
    resumed_after: int
    stamp: str
    # Version of the server's software.
    software: str = ""
    # The server broke the response off itself.
    broken_off: bool = False
    status: int = 200
    events_sent: int = 0
    ended_at: float = 0.0


@dataclasses.dataclass
class Arrival:
    """A request that reached a server, whether or not it was executed."""

    id: str
    service: str
    server: str
    at: float


@dataclasses.dataclass
class RateLimit:
    """A rate limit that a server named from `started_at` to `ended_at`."""

    server: str
    # Requests a second from all nodes together.
    rate: float
    started_at: float
    # 0 while the limit holds.
    ended_at: float = 0.0


@dataclasses.dataclass
class Fault:
    """An injected fault; the target is a node, a server or "all"."""

    kind: str
    target: str
    started_at: float
    ends_at: float


@dataclasses.dataclass
class Stop:
    """A planned stop of a node by SIGTERM."""

    node: str
    node_incarnation: int
    signalled_at: float
    # Grace period in seconds.
    grace: float
    # Time at which the process was gone; 0 before.
    ended_at: float = 0.0


class History:
    """All requests, runs, faults and observations of one soak run."""

    def __init__(self):
        self.requests = {}
        self.runs = []
        self.arrivals = []
        self.faults = []
        # server -> time at which it announced that it drains
        self.draining_servers = {}
        # (node, incarnation, exit code, whether it was asked to stop)
        self.exits = []
        # (time, node, incarnation, route version, served)
        self.probes = []
        # (tenant, path, payload) -> CrashingRequest
        self.crashing = {}
        # server -> version of its software
        self.software = {}
        # segment -> CrashingSegment
        self.crashing_segments = {}
        # (name of the crashing request or segment, server that ended, time)
        self.crashes = []
        self.rate_limits = []
        # `Partition` of nodes from all servers
        self.partitions = []
        # `Brittleness` of the servers of a service
        self.brittle_times = []
        self.stops = []
        # (server, request, time) of each response that named a limit
        self.limit_responses = []
        # route version -> (time written, time removed or None)
        self.route_versions = {}

    def record_fault(self, kind, target, seconds):
        start = now()
        self.faults.append(Fault(kind, target, start, start + seconds))

    def is_fault_free(self, begin, end, *targets, kinds=None):
        """Whether no fault of a target or of "all" was active from begin to end.

        Counts only faults of the given kinds, or of any kind.
        """
        return all(
            f.ends_at < begin or f.started_at > end
            for f in self.faults
            if (f.target == "all" or f.target in targets)
            and (kinds is None or f.kind in kinds)
        )

    def stop_under(self, request):
        """The planned stop during which the request ended, or None."""
        for stop in self.stops:
            if (
                stop.node == request.node
                and request.sent_at < (stop.ended_at or request.ended_at + 1)
                and request.ended_at >= stop.signalled_at
            ):
                return stop
        return None
