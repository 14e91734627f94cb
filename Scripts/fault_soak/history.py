"""What callers and servers saw during a soak."""

import dataclasses
import time


def now():
    """Seconds on the steady clock."""
    return time.monotonic()


@dataclasses.dataclass
class Request:
    """A request as its caller sent it, and what came back."""

    id: str
    kind: str
    service: str
    tenant: str
    path: str
    prompt_tokens: int
    output_tokens: int
    events: int
    node: str
    node_run: int
    sent_at: float
    time_limit: float
    status: int = 0
    complete: bool = False
    body: bytes = b""
    stamp: str = ""
    ended_at: float = 0.0
    # The caller closed the connection itself at this time.
    left_at: float = 0.0
    # Pause that a refusal asks for, in seconds.
    retry_after: float | None = None
    # Sent to see which configuration is in force.
    probe: bool = False


@dataclasses.dataclass
class Run:
    """A request that a server began to work on."""

    id: str
    server: str
    service: str
    tenant: str
    path: str
    started_at: float
    resumed_after: int
    stamp: str
    status: int = 200
    events_sent: int = 0
    ended_at: float = 0.0


@dataclasses.dataclass
class Arrival:
    """A request that reached a server, whether it ran or not."""

    id: str
    service: str
    server: str
    at: float


@dataclasses.dataclass
class Fault:
    kind: str
    target: str
    began_at: float
    ends_at: float


class History:
    def __init__(self):
        self.requests = {}
        self.runs = []
        self.arrivals = []
        self.faults = []
        # (server, time from which it may get no request)
        self.left_servers = {}
        # (node, run, exit code, whether it was asked to stop)
        self.exits = []
        # (time, node, run, route version, served)
        self.probes = []
        # route version -> (written at, removed at)
        self.route_versions = {}

    def fault(self, kind, target, seconds):
        began = now()
        self.faults.append(Fault(kind, target, began, began + seconds))

    def calm(self, begin, end, *targets):
        """Whether no fault of the targets, or of everything, was active."""
        return all(
            f.ends_at < begin or f.began_at > end
            for f in self.faults
            if f.target == "all" or f.target in targets
        )
