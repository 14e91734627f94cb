"""Checks the invariants of the gateway against a recorded history.

Each check yields a text for every violation that it finds.
"""

import collections
import json

# Status codes by which the gateway states that a request was not executed and
# will not be.
NOT_RUN = (408, 421, 429, 503)
# Seconds within which every node applies a change of the configuration.
CONFIG_APPLY = 2.0
# Seconds without a fault that must precede an event before its time is checked.
STABLE = 4.0
# Seconds by which a response may exceed the request's time limit.
LIMIT_SLACK = 0.5
# Seconds within which servers must end the work for a disconnected caller.
GONE_SLACK = 0.5
# Seconds by which this process may record an event too late; added to all bounds.
OBSERVER_DELAY = 0.25
# Seconds for which a node may still use an older configuration after it was seen
# to use a newer one.
ROLLBACK_SLACK = 0.25


def event(request_id, number):
    """Returns the bytes of one event of a response stream."""
    return f"id: {number}\ndata: {request_id}:{number}\n\n".encode()


def stream_body(request):
    return b"".join(event(request.id, n) for n in range(1, request.events + 1))


def plain_body(request_id, stamp):
    return json.dumps({"id": request_id, "stamp": stamp}).encode()


def _runs_by_id(history):
    runs = collections.defaultdict(list)
    for run in history.runs:
        runs[run.id].append(run)
    return runs


def at_most_once(history):
    """A request that is not idempotent runs at most once."""
    for request_id, runs in _runs_by_id(history).items():
        request = history.requests.get(request_id)
        if request and request.kind == "non_idempotent" and len(runs) > 1:
            yield f"{request_id} ran {len(runs)} times on " + ", ".join(
                run.server for run in runs
            )


def refusals_are_true(history):
    """A refused request that is not idempotent never runs."""
    runs = _runs_by_id(history)
    for request in history.requests.values():
        if request.status in NOT_RUN and request.id in runs:
            if request.kind == "non_idempotent":
                yield f"{request.id} was refused with {request.status} and ran on " + (
                    runs[request.id][0].server
                )


def only_asked_requests_run(history):
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


def bodies_are_whole(history):
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


def prepaid_holds(history, prepaid, tokens_per_event):
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

    The requests are the most that were sent in the same window, or in one that
    ends half a window or a whole window earlier.
    """
    first = set()
    repeats = collections.defaultdict(list)
    for arrival in sorted(history.arrivals, key=lambda a: a.at):
        if arrival.id in first:
            repeats[arrival.service].append(arrival.at)
        first.add(arrival.id)
    for service, times in repeats.items():
        sent = sorted(
            r.sent_at for r in history.requests.values() if r.service == service
        )
        start = 0
        for end, at in enumerate(times):
            while times[start] <= at - window:
                start += 1
            most = max(
                sum(1 for t in sent if at - window - back < t <= at - back)
                for back in (0, window / 2, window)
            )
            if end - start + 1 > ratio * most + allowance:
                yield (
                    f"{service} got {end - start + 1} retries for {most} requests "
                    f"in {window} s, the limit is {ratio * most + allowance:.1f}"
                )
                break


def answers_are_in_time(history):
    """Requests end within their time limit unless a fault hit their node."""
    late = []
    for request in history.requests.values():
        ended = request.ended_at or request.left_at
        bound = request.sent_at + request.time_limit + LIMIT_SLACK + OBSERVER_DELAY
        if ended and ended > bound and history.calm(
            request.sent_at - STABLE, ended, request.node
        ):
            late.append(request.id)
    if late:
        yield f"{len(late)} requests exceeded their time limit, the first is {late[0]}"


def left_servers_rest(history, leave_limit):
    """A draining server gets no request after `leave_limit` seconds."""
    late = collections.Counter()
    for arrival in history.arrivals:
        left = history.left_servers.get(arrival.server)
        if left is None or arrival.at < left + leave_limit + OBSERVER_DELAY:
            continue
        request = history.requests.get(arrival.id)
        if request and history.calm(left - STABLE, arrival.at, request.node):
            late[arrival.server] += 1
    for server, count in late.items():
        yield f"{server} got {count} requests over {leave_limit} s after it began to drain"


def work_ends_with_its_caller(history):
    """Servers end the work for disconnected callers.

    At most a quarter of the runs may exceed the bound.
    """
    runs = _runs_by_id(history)
    kept = []
    total = 0
    for request in history.requests.values():
        if not request.left_at or request.kind != "streaming":
            continue
        for run in runs[request.id]:
            bound = request.left_at + GONE_SLACK + OBSERVER_DELAY
            if run.started_at > request.left_at or not history.calm(
                request.left_at - STABLE, bound, request.node, run.server
            ):
                continue
            total += 1
            if run.ended_at > bound:
                kept.append(run.id)
    if len(kept) * 4 > total:
        yield f"{len(kept)} of {total} runs continued after their caller had disconnected"


def configuration_is_followed(history):
    """Nodes apply added and removed routes in time, and no incarnation of a node
    returns to an older configuration."""
    seen = {}
    for at, node, run, version, served in sorted(history.probes):
        written, removed = history.route_versions[version]
        if served:
            seen.setdefault((node, run, version), at)
            if removed and at > removed + CONFIG_APPLY and history.calm(
                removed - STABLE, at, node
            ):
                yield (
                    f"{node} serves route {version} over {CONFIG_APPLY} s after "
                    "it was removed"
                )
            continue
        if removed:
            continue
        first = seen.get((node, run, version))
        if first is not None and at > first + ROLLBACK_SLACK:
            yield f"{node} returned to a configuration older than {version}"
        elif at > written + CONFIG_APPLY and history.calm(
            written - STABLE, at, node
        ):
            yield (
                f"{node} does not serve route {version} {CONFIG_APPLY} s after "
                "it was added"
            )


def stops_are_clean(history):
    """A node exits only when asked to stop, and then with code 0."""
    for node, run, code, asked in history.exits:
        if asked and code != 0:
            yield f"{node} incarnation {run} exited with {code} after a request to stop"
        elif not asked:
            yield f"{node} incarnation {run} exited unasked with {code}"


def service_recovers(history, calm_from, recover):
    """At least 90 % of requests are served after the recovery timeout.

    Counts the requests of the account with ample tokens; at least 10 are needed.
    """
    late = [
        r
        for r in history.requests.values()
        if r.sent_at > calm_from + recover
        and r.tenant == "large"
        and not r.left_at
        and not r.probe
    ]
    served = sum(1 for r in late if r.complete and r.status == 200)
    if len(late) < 10 or served < 0.9 * len(late):
        yield f"{served} of {len(late)} requests are served after the faults"
