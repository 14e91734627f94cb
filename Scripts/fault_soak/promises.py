"""Checks the invariants of the gateway against a recorded history.

Each check yields a text for every violation that it finds.
"""

import collections
import json

# Status codes by which the gateway states that a request was not executed and
# will not be.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# Seconds within which every node applies a change of the configuration.
CONFIG_TIMEOUT = 2.0
# Seconds without a fault that must precede an event before its time is checked.
MIN_FAULT_FREE_TIME = 4.0
# Seconds by which a response may exceed the request's time limit.
LIMIT_TOLERANCE = 0.5
# Seconds within which servers must end the work for a disconnected caller.
CANCEL_TIMEOUT = 0.5
# Seconds by which this process may record an event too late; added to all bounds.
OBSERVER_DELAY = 0.25
# A request under which this many servers ended must not be sent again, except
# for MAX_LATE_SENDS sends, by nodes that had CRASH_NOTICE_TIME seconds to learn
# of it.
MAX_CRASHES = 3
MAX_LATE_SENDS = 3
CRASH_NOTICE_TIME = 3.0
# The same for requests whose prompts share a segment.
MAX_SEGMENT_CRASHES = 5
# Faults of a node that excuse it from CRASH_NOTICE_TIME; faults of the store and
# of connections do not.
NODE_FAULTS = ("kill", "kill_all", "stop", "pause", "observer")
# Faults of a node under which it may cut off requests.
UNPLANNED_NODE_FAULTS = ("kill", "kill_all", "pause", "observer")
# A stopping node may break off requests sent up to this many seconds after the
# signal, but only from this share of the grace period on.
LAST_CUT_SEND = 3.0
CUT_SHARE = 5 / 6
# Faults of a server that end its responses early.
SERVER_FAULTS = ("crash", "leave", "connections", "torn", "observer")
# Seconds after the start of a partition in which its nodes may not have noticed it.
# Their responses may end early; from then on callers are compared with those of the
# other nodes.
PARTITION_NOTICE_TIME = 3.0
# Reasons in the response to a request that is refused because servers end under it,
# or under others with a segment of its prompt.
CRASHING_REASONS = (b"request_crashes_servers", b"prompt_crashes_servers")
# Seconds for which a node may still use an older configuration after it was seen
# to use a newer one.
ROLLBACK_TOLERANCE = 0.25

# Streams that may hold events of two software versions.
MAX_MIXED_STREAMS = 2
# Number of resumed streams from which on their share that goes on is judged against
# that of new streams that begin.
MIN_RESUMED_STREAMS = 12

# From LIMIT_NOTICE_TIME after a server first named a rate limit on, it gets in any
# LIMIT_WINDOW at most LIMIT_FACTOR times what the limit allows, and LIMIT_ALLOWANCE
# requests more, from nodes that had a response with the limit LIMIT_TOLD_TIME ago.
LIMIT_NOTICE_TIME = 3.0
LIMIT_WINDOW = 4.0
LIMIT_FACTOR = 1.5
LIMIT_ALLOWANCE = 5
LIMIT_TOLD_TIME = 0.5


def stream_event(request_id, number, padding=0):
    """Returns the bytes of one event of a response stream."""
    return f"id: {number}\ndata: {request_id}:{number}{'.' * padding}\n\n".encode()


def stream_body(request):
    first = request.resumed_after + 1
    return b"".join(
        stream_event(request.id, n, request.event_bytes)
        for n in range(first, request.events + 1)
    )


def plain_body(request_id, stamp):
    return json.dumps({"id": request_id, "stamp": stamp}).encode()


def _runs_by_id(history):
    runs = collections.defaultdict(list)
    for run in history.runs:
        runs[run.id].append(run)
    return runs


def non_idempotent_requests_run_once(history):
    """A request that is not idempotent runs at most once."""
    for request_id, runs in _runs_by_id(history).items():
        request = history.requests.get(request_id)
        if request and request.kind == "non_idempotent" and len(runs) > 1:
            yield f"{request_id} ran {len(runs)} times on " + ", ".join(
                run.server for run in runs
            )


def refused_requests_never_run(history):
    """A refused request that is not idempotent never runs."""
    runs = _runs_by_id(history)
    for request in history.requests.values():
        if request.status in NOT_EXECUTED_STATUSES and request.id in runs:
            if request.kind == "non_idempotent":
                yield f"{request.id} was refused with {request.status} and ran on " + (
                    runs[request.id][0].server
                )


def only_sent_requests_run(history):
    """Servers run only requests that callers sent, under the caller's account."""
    for run in history.runs:
        request = history.requests.get(run.id)
        if request is None:
            yield f"{run.server} ran {run.id}, which no caller sent"
        elif run.tenant != request.tenant:
            yield f"{run.id} of {request.tenant} ran as {run.tenant!r}"
        elif run.path != request.path:
            yield f"{run.id} for {request.path} ran as {run.path}"
        elif run.service != request.service:
            yield f"{run.id} for {request.service} ran on {run.service}"


def bodies_are_intact(history):
    """A successful response carries the stamp of a run of that request, and its
    body is the whole expected body, or a prefix of it if it was cut off."""
    runs = _runs_by_id(history)
    for request in history.requests.values():
        if not 200 <= request.status < 300:
            continue
        stamps = {run.stamp for run in runs[request.id] if run.status == 200}
        if request.stamp not in stamps:
            yield f"{request.id} has the stamp {request.stamp!r} of none of its runs"
            continue
        if request.kind == "streaming":
            whole = stream_body(request)
        else:
            whole = plain_body(request.id, request.stamp)
        if request.complete and request.body != whole:
            yield f"{request.id} is complete with {len(request.body)} of {len(whole)} bytes"
        if not whole.startswith(request.body):
            yield f"{request.id} has bytes that its server did not send"


def prepaid_tokens_are_not_exceeded(history, prepaid, tokens_per_event):
    """No account consumes more tokens than it has paid for.

    Prompt tokens count once per request that ran, output tokens as far as the
    caller received them.
    """
    used = collections.Counter()
    runs = _runs_by_id(history)
    for request in history.requests.values():
        if request.kind != "streaming" or request.id not in runs:
            continue
        used[request.tenant] += request.prompt_tokens
        received = request.body.count(b"\n\n") * tokens_per_event
        used[request.tenant] += min(received, request.output_tokens)
    for tenant, tokens in used.items():
        if tenant in prepaid and tokens > prepaid[tenant]:
            yield f"{tenant} consumed {tokens} of {prepaid[tenant]} tokens"


def retries_are_bounded(history, ratio, allowance, window):
    """Retries of a service stay within ratio * requests + allowance in any window.

    The window is in seconds. The requests counted are the most that were sent in
    the same window, or in one that ends half a window or a whole window earlier.
    """
    seen_ids = set()
    retries = collections.defaultdict(list)
    for arrival in sorted(history.arrivals, key=lambda a: a.at):
        if arrival.id in seen_ids:
            retries[arrival.service].append(arrival.at)
        seen_ids.add(arrival.id)
    for service, times in retries.items():
        sent = sorted(
            r.sent_at for r in history.requests.values() if r.service == service
        )
        start = 0
        for end, at in enumerate(times):
            while times[start] <= at - window:
                start += 1
            count = max(
                sum(1 for t in sent if at - window - shift < t <= at - shift)
                for shift in (0, window / 2, window)
            )
            if end - start + 1 > ratio * count + allowance:
                yield f"{service}: {end - start + 1} retries, {count} requests in {window} s"
                break


def time_limits_are_met(history):
    """Requests end within their time limit unless a fault hit their node."""
    overdue = []
    for request in history.requests.values():
        if request.read_pause:
            # The caller itself decides when it has read the response.
            continue
        ended = request.ended_at or request.disconnected_at
        bound = request.sent_at + request.time_limit + LIMIT_TOLERANCE + OBSERVER_DELAY
        if ended and ended > bound and history.is_fault_free(
            request.sent_at - MIN_FAULT_FREE_TIME, ended, request.node
        ):
            overdue.append(request.id)
    if overdue:
        yield f"{len(overdue)} requests exceeded the time limit, first {overdue[0]}"


def draining_servers_get_no_requests(history, drain_limit):
    """A draining server gets no request after `drain_limit` seconds."""
    request_counts = collections.Counter()
    for arrival in history.arrivals:
        drain_start = history.draining_servers.get(arrival.server)
        if drain_start is None or arrival.at < drain_start + drain_limit + OBSERVER_DELAY:
            continue
        request = history.requests.get(arrival.id)
        if request and history.is_fault_free(
            drain_start - MIN_FAULT_FREE_TIME, arrival.at, request.node
        ):
            request_counts[arrival.server] += 1
    for server, count in request_counts.items():
        yield f"{server} got {count} requests >{drain_limit} s after it began to drain"


def disconnects_end_work(history):
    """Servers end the work for disconnected callers.

    At most a quarter of the runs may exceed the bound.
    """
    runs = _runs_by_id(history)
    overdue = []
    total = 0
    for request in history.requests.values():
        if not request.disconnected_at or request.kind != "streaming":
            continue
        for run in runs[request.id]:
            bound = request.disconnected_at + CANCEL_TIMEOUT + OBSERVER_DELAY
            if run.started_at > request.disconnected_at or not history.is_fault_free(
                request.disconnected_at - MIN_FAULT_FREE_TIME,
                bound,
                request.node,
                run.server,
            ):
                continue
            total += 1
            if run.ended_at > bound:
                overdue.append(run.id)
    if len(overdue) * 4 > total:
        yield f"{len(overdue)} of {total} runs continued after a caller disconnected"


def config_changes_are_applied(history):
    """Nodes apply added and removed routes in time, and no incarnation of a node
    returns to an older configuration."""
    first_served = {}
    for at, node, incarnation, version, served in sorted(history.probes):
        written, removed = history.route_versions[version]
        if served:
            first_served.setdefault((node, incarnation, version), at)
            if removed and at > removed + CONFIG_TIMEOUT and history.is_fault_free(
                removed - MIN_FAULT_FREE_TIME, at, node
            ):
                yield f"{node} serves route {version}, removed >{CONFIG_TIMEOUT} s ago"
            continue
        if removed:
            continue
        first_served_at = first_served.get((node, incarnation, version))
        if first_served_at is not None and at > first_served_at + ROLLBACK_TOLERANCE:
            yield f"{node} returned to a configuration older than {version}"
        elif at > written + CONFIG_TIMEOUT and history.is_fault_free(
            written - MIN_FAULT_FREE_TIME, at, node
        ):
            yield f"{node} lacks route {version} {CONFIG_TIMEOUT} s after its addition"


def nodes_exit_cleanly(history):
    """A node exits only when asked to stop, and then with code 0."""
    for node, incarnation, code, stop_requested in history.exits:
        if stop_requested and code != 0:
            yield f"{node} incarnation {incarnation} exited with {code} on SIGTERM"
        elif not stop_requested:
            yield f"{node} incarnation {incarnation} exited unasked with {code}"


def service_recovers(history, faults_ended_at, recovery_timeout):
    """At least 90 % of requests are served after the recovery timeout.

    Counts the requests of the account with ample tokens; at least 10 are needed.
    """
    requests = [
        r
        for r in history.requests.values()
        if r.sent_at > faults_ended_at + recovery_timeout
        and r.tenant == "large"
        and not r.disconnected_at
        and not r.is_probe
    ]
    served = sum(1 for r in requests if r.complete and r.status == 200)
    if len(requests) < 10 or served < 0.9 * len(requests):
        yield f"{served} of {len(requests)} requests are served after the faults"


def crashing_requests_are_stopped(history):
    """A request under which three servers ended is not sent on and on, nor are
    requests whose prompts share a segment under which five ended."""
    limits = collections.defaultdict(lambda: MAX_CRASHES)
    for segment in history.crashing_segments.values():
        limits[segment.name] = MAX_SEGMENT_CRASHES
    crash_times = collections.defaultdict(list)
    for name, _, at in sorted(history.crashes, key=lambda crash: crash[2]):
        crash_times[name].append(at)
    late_sends = collections.Counter()
    for arrival in history.arrivals:
        request = history.requests.get(arrival.id)
        times = crash_times[request.crashing] if request else []
        if not request:
            continue
        limit = limits[request.crashing]
        if len(times) < limit or arrival.at < (
            times[limit - 1] + CRASH_NOTICE_TIME + OBSERVER_DELAY
        ):
            continue
        if history.is_fault_free(
            arrival.at - MIN_FAULT_FREE_TIME,
            arrival.at,
            request.node,
            kinds=NODE_FAULTS,
        ):
            late_sends[request.crashing] += 1
    for name, count in late_sends.items():
        if count > MAX_LATE_SENDS:
            yield (
                f"{name} was sent {count} times after {limits[name]} servers ended, "
                f"{len(crash_times[name])} ended in all"
            )


def rate_limits_are_kept(history):
    """Servers get no more requests than the rate limits that they name allow."""
    arrivals = collections.defaultdict(list)
    for arrival in history.arrivals:
        arrivals[arrival.server].append(arrival)
    told = collections.defaultdict(list)
    for server, request_id, at in history.limit_responses:
        request = history.requests.get(request_id)
        if request:
            told[server, request.node].append(at)
    for limit in history.rate_limits:
        allowed = LIMIT_FACTOR * limit.rate * LIMIT_WINDOW + LIMIT_ALLOWANCE
        counted = []
        for arrival in arrivals[limit.server]:
            request = history.requests.get(arrival.id)
            if (
                request
                and limit.started_at <= arrival.at <= limit.ended_at
                and any(
                    limit.started_at <= at <= arrival.at - LIMIT_TOLD_TIME
                    for at in told[limit.server, request.node]
                )
                and history.is_fault_free(
                    arrival.at - MIN_FAULT_FREE_TIME,
                    arrival.at,
                    request.node,
                    kinds=(*NODE_FAULTS, "cut"),
                )
            ):
                counted.append(arrival.at)
        for end in counted:
            count = sum(1 for at in counted if end - LIMIT_WINDOW < at <= end)
            if end > limit.started_at + LIMIT_NOTICE_TIME and count > allowed:
                yield (
                    f"{limit.server} named {limit.rate} requests a second and got "
                    f"{count} in {LIMIT_WINDOW} s, allowed {allowed:.1f}"
                )
                break


def may_end_at_stop(history, request):
    """Whether a stopping node may break the request off: it was sent early, and the
    server was still at work in the last sixth of the grace period."""
    stop = history.stop_under(request)
    if stop is None or request.sent_at > stop.signalled_at + LAST_CUT_SEND:
        return False
    begin = stop.signalled_at + CUT_SHARE * stop.grace
    return request.ended_at >= begin and any(
        run.id == request.id and (not run.ended_at or run.ended_at >= begin)
        for run in history.runs
    )


def requests_are_not_cut_off(history):
    """Callers whose requests reached a sound server get a complete response.

    Faults of the store excuse nothing, and planned stops only what they may end.
    """
    servers = collections.defaultdict(set)
    for arrival in history.arrivals:
        servers[arrival.id].add(arrival.server)
    broken_off = {run.id for run in history.runs if run.broken_off}
    for request in history.requests.values():
        if not request.cut_off or request.id not in servers or request.crashing:
            continue
        if request.id in broken_off or may_end_at_stop(history, request) or any(
            request.node in partition.nodes
            and request.sent_at < partition.started_at + PARTITION_NOTICE_TIME
            and request.ended_at > partition.started_at
            for partition in history.partitions
        ):
            continue
        begin = request.sent_at - MIN_FAULT_FREE_TIME
        if history.is_fault_free(
            begin, request.ended_at, request.node, kinds=UNPLANNED_NODE_FAULTS
        ) and history.is_fault_free(
            begin, request.ended_at, *servers[request.id], kinds=SERVER_FAULTS
        ):
            yield (
                f"{request.id} for {request.path} on {request.node} was cut off after "
                f"{request.ended_at - request.sent_at:.2f} s"
            )


def harmless_requests_are_not_taken_for_crashing(history):
    """Only copies of a crashing request are refused because servers end."""
    for request in history.requests.values():
        if not request.crashing and any(
            reason in request.body for reason in CRASHING_REASONS
        ):
            yield f"{request.id} for {request.path} was refused as crashing"


def streams_keep_their_version(history):
    """A stream holds events from servers of one software version only, in one
    response or over the caller's tries. Faults excuse nothing."""
    runs = _runs_by_id(history)
    software = collections.defaultdict(set)
    for request in history.requests.values():
        received = request.events_received()
        if request.kind != "streaming" or not received:
            continue
        ordered = sorted(runs[request.id], key=lambda run: run.started_at)
        # The caller has a run's events up to the one at which the next run resumed.
        ends = [run.resumed_after for run in ordered[1:]]
        ends.append(request.resumed_after + received)
        for run, end in zip(ordered, ends):
            if run.events_sent and run.resumed_after < end:
                software[request.resumes or request.id].add(run.software)
    mixed = [stream for stream, versions in software.items() if len(versions) > 1]
    if len(mixed) > MAX_MIXED_STREAMS:
        yield f"{len(mixed)} streams of two software versions, first {mixed[0]}"


def resumed_streams_go_on(history):
    """Streams that callers take up again go on at least half as often as new ones
    begin, at nodes without a fault of their own, while two servers of their version
    are sound."""
    runs = _runs_by_id(history)
    resumed = collections.defaultdict(list)
    excused = set()
    new = []
    for request in history.requests.values():
        if request.kind != "streaming" or request.crashing or request.disconnected_at:
            continue
        begin = request.sent_at - MIN_FAULT_FREE_TIME
        at_sound_node = history.is_fault_free(
            begin, request.ended_at, request.node, kinds=NODE_FAULTS
        )
        began = request.events_received() > 0
        if not request.resumes:
            if at_sound_node:
                new.append(began)
            continue
        versions = {run.software for run in runs[request.resumes] if run.events_sent}
        sound = [
            server
            for server, software in history.software.items()
            if software in versions
            and history.is_fault_free(
                begin, request.ended_at, server, kinds=SERVER_FAULTS
            )
        ]
        if not at_sound_node or len(sound) < 2:
            excused.add(request.resumes)
        resumed[request.resumes].append(began)
    going_on = [any(tries) for s, tries in resumed.items() if s not in excused]
    if len(going_on) >= MIN_RESUMED_STREAMS and (
        sum(going_on) / len(going_on) < 0.5 * sum(new) / len(new)
    ):
        yield (
            f"{sum(going_on)} of {len(going_on)} resumed streams go on, "
            f"{sum(new)} of {len(new)} new ones begin"
        )
