"""Tests of the checks in promises.py."""

import unittest

import brittleness
import promises
import stops
from crashing import CrashingSegment
from history import Arrival, Fault, History, RateLimit, Request, Run, Stop

# Time at which the default request is sent, in seconds.
SENT = 100.0


def request(kind="streaming", **changes):
    """Returns a request that was served, with the given fields changed."""
    values = {
        "id": "r1",
        "kind": kind,
        "service": "engines",
        "tenant": "large",
        "path": "/chat/1",
        "prompt_tokens": 10,
        "output_tokens": 15,
        "events": 3,
        "node": "n-0",
        "node_incarnation": 1,
        "sent_at": SENT,
        "time_limit": 6.0,
        "status": 200,
        "complete": True,
        "stamp": "e-0.1.1",
        "ended_at": SENT + 1,
    }
    made = Request(**{**values, **changes})
    if not made.body and made.status == 200 and "body" not in changes:
        made.body = promises.stream_body(made)
    return made


def run(**changes):
    """Returns the run that served `request()`, with the given fields changed."""
    values = {
        "id": "r1",
        "server": "e-0",
        "service": "engines",
        "tenant": "large",
        "path": "/chat/1",
        "started_at": SENT + 0.1,
        "resumed_after": 0,
        "stamp": "e-0.1.1",
        "ended_at": SENT + 1,
    }
    return Run(**{**values, **changes})


def history(requests, runs=()):
    recorded = History()
    recorded.requests = {r.id: r for r in requests}
    recorded.runs = list(runs)
    return recorded


class PromisesTest(unittest.TestCase):
    """Each test gives one check a valid history and at least one that violates it.

    It fails if the check misses the violation or reports one in the valid history.
    """

    def assert_violation(self, check):
        self.assertTrue(list(check))

    def assert_valid(self, check):
        self.assertEqual(list(check), [])

    def test_second_run_of_a_non_idempotent_request(self):
        sent = request(kind="non_idempotent")
        self.assert_valid(
            promises.non_idempotent_requests_run_once(history([sent], [run()]))
        )
        self.assert_violation(
            promises.non_idempotent_requests_run_once(history([sent], [run(), run()]))
        )

    def test_run_of_a_refused_request(self):
        sent = request(kind="non_idempotent", status=503)
        self.assert_valid(promises.refused_requests_never_run(history([sent])))
        self.assert_violation(
            promises.refused_requests_never_run(history([sent], [run()]))
        )

    def test_run_that_no_caller_sent(self):
        check = promises.only_sent_requests_run
        self.assert_valid(check(history([request()], [run()])))
        self.assert_violation(check(history([], [run()])))
        self.assert_violation(check(history([request()], [run(tenant="small")])))
        self.assert_violation(check(history([request()], [run(path="/chat/2")])))
        self.assert_violation(check(history([request()], [run(service="orders")])))

    def test_body_with_a_gap_a_wrong_stamp_or_an_early_end(self):
        check = promises.bodies_are_intact
        self.assert_valid(check(history([request()], [run()])))
        gap = promises.stream_event("r1", 1) + promises.stream_event("r1", 3)
        self.assert_violation(check(history([request(body=gap)], [run()])))
        early = promises.stream_event("r1", 1)
        self.assert_violation(check(history([request(body=early)], [run()])))
        cut = request(body=early, complete=False)
        self.assert_valid(check(history([cut], [run()])))
        self.assert_violation(check(history([request(stamp="other")], [run()])))

    def test_account_that_consumes_more_than_it_has_paid_for(self):
        used = history([request()], [run()])
        self.assert_valid(
            promises.prepaid_tokens_are_not_exceeded(used, {"large": 25}, 5)
        )
        self.assert_violation(
            promises.prepaid_tokens_are_not_exceeded(used, {"large": 24}, 5)
        )

    def test_more_retries_than_the_retry_budget_allows(self):
        recorded = history([request()])
        recorded.arrivals = [
            Arrival("r1", "engines", "e-0", SENT + i) for i in range(4)
        ]
        self.assert_valid(promises.retries_are_bounded(recorded, 0.2, 3, 10))
        self.assert_violation(promises.retries_are_bounded(recorded, 0.2, 2, 10))

    def test_answer_after_the_time_limit(self):
        late = request(ended_at=SENT + 7.0)
        self.assert_valid(promises.time_limits_are_met(history([request()])))
        self.assert_violation(promises.time_limits_are_met(history([late])))
        slow = request(ended_at=SENT + 7.0, read_pause=0.1)
        self.assert_valid(promises.time_limits_are_met(history([slow])))
        excused = history([late])
        excused.faults = [Fault("pause", "n-0", SENT, SENT + 1)]
        self.assert_valid(promises.time_limits_are_met(excused))

    def test_request_to_a_draining_server(self):
        recorded = history([request()])
        recorded.draining_servers = {"e-0": SENT - 5}
        recorded.arrivals = [Arrival("r1", "engines", "e-0", SENT - 4)]
        self.assert_valid(promises.draining_servers_get_no_requests(recorded, 2.0))
        recorded.arrivals = [Arrival("r1", "engines", "e-0", SENT)]
        self.assert_violation(promises.draining_servers_get_no_requests(recorded, 2.0))

    def test_work_for_a_disconnected_caller(self):
        left = request(disconnected_at=SENT + 0.2, ended_at=0.0)
        check = promises.disconnects_end_work
        self.assert_valid(check(history([left], [run(ended_at=SENT + 0.5)])))
        self.assert_violation(check(history([left], [run(ended_at=SENT + 3)])))

    def test_configuration_that_is_applied_late_or_reverted(self):
        check = promises.config_changes_are_applied
        recorded = History()
        recorded.route_versions = {4: (SENT, None)}
        recorded.probes = [
            (SENT + 1, "n-0", 1, 4, False),
            (SENT + 1.5, "n-0", 1, 4, True),
        ]
        self.assert_valid(check(recorded))
        recorded.probes.append((SENT + 2, "n-0", 1, 4, False))
        self.assert_violation(check(recorded))
        recorded.probes = [(SENT + 3, "n-0", 1, 4, False)]
        self.assert_violation(check(recorded))
        recorded.route_versions = {4: (SENT, SENT + 10)}
        recorded.probes = [(SENT + 13, "n-0", 1, 4, True)]
        self.assert_violation(check(recorded))

    def test_request_that_is_sent_after_three_servers_ended(self):
        check = promises.crashing_requests_are_stopped
        sent = request(crashing="c-0")
        recorded = history([sent])
        recorded.crashes = [("c-0", f"e-{i}", SENT + i) for i in range(3)]
        recorded.arrivals = [Arrival("r1", "engines", "e-0", SENT + 6)] * 3
        recorded.faults = [Fault("store silent", "all", SENT, SENT + 9)]
        self.assert_valid(check(recorded))
        recorded.arrivals = [Arrival("r1", "engines", "e-0", SENT + 6)] * 4
        self.assert_violation(check(recorded))
        recorded.faults = [Fault("kill", "n-0", SENT + 3, SENT + 4)]
        self.assert_valid(check(recorded))
        recorded.faults = []
        recorded.crashes.pop()
        self.assert_valid(check(recorded))

    def test_segment_that_is_sent_after_five_servers_ended(self):
        check = promises.crashing_requests_are_stopped
        recorded = history([request(crashing="s-0")])
        recorded.crashing_segments = {
            "bad": CrashingSegment("s-0", "bad", "reset", "after")
        }
        recorded.crashes = [("s-0", f"e-{i}", SENT + i) for i in range(5)]
        recorded.arrivals = [Arrival("r1", "engines", "e-0", SENT + 8)] * 3
        self.assert_valid(check(recorded))
        recorded.arrivals = [Arrival("r1", "engines", "e-0", SENT + 8)] * 4
        self.assert_violation(check(recorded))
        recorded.crashes.pop()
        self.assert_valid(check(recorded))

    def test_streams_of_two_software_versions(self):
        check = promises.streams_keep_their_version
        event = promises.stream_event

        def streams(count, software):
            requests, runs = [], []
            for i in range(count):
                first = request(id=f"a{i}", complete=False, body=event(f"a{i}", 1))
                second = request(
                    id=f"b{i}", resumes=f"a{i}", resumed_after=1, body=event("b", 2)
                )
                requests += [first, second]
                runs += [
                    run(id=f"a{i}", software="v0", events_sent=1),
                    run(id=f"b{i}", software=software, events_sent=2, resumed_after=1),
                ]
            return history(requests, runs)

        self.assert_valid(check(streams(5, "v0")))
        self.assert_valid(check(streams(2, "v1")))
        self.assert_violation(check(streams(3, "v1")))
        # Events that did not reach the node, which began anew, do not count.
        recorded = history(
            [request(id=f"a{i}") for i in range(3)],
            [
                run(id=f"a{i}", software=f"v{v}", events_sent=2, started_at=SENT + v)
                for i in range(3)
                for v in range(2)
            ],
        )
        self.assert_valid(check(recorded))
        for r in recorded.runs:
            if r.software == "v1":
                r.resumed_after = 1
        self.assert_violation(check(recorded))
        # Events that did not reach the caller do not count.
        recorded = streams(3, "v1")
        for r in recorded.requests.values():
            if r.resumes:
                r.body = b""
        self.assert_valid(check(recorded))

    def test_resumed_streams_that_are_refused(self):
        check = promises.resumed_streams_go_on

        def streams(going_on):
            new = [request(id=f"a{i}") for i in range(20)]
            resumed = [
                request(
                    id=f"b{i}",
                    resumes=f"a{i}",
                    status=200 if i < going_on else 503,
                    body=promises.stream_event("b", 2) if i < going_on else b"",
                )
                for i in range(12)
            ]
            recorded = history(
                new + resumed,
                [run(id=f"a{i}", software="v0", events_sent=1) for i in range(12)],
            )
            recorded.software = {"e-0": "v0", "e-1": "v0", "e-2": "v1"}
            return recorded

        self.assert_valid(check(streams(6)))
        self.assert_violation(check(streams(5)))
        refused = streams(5)
        refused.faults = [Fault("kill", "n-0", SENT - 1, SENT)]
        self.assert_valid(check(refused))
        refused.faults = [Fault("crash", "e-1", SENT - 1, SENT)]
        self.assert_valid(check(refused))
        refused.faults = [Fault("crash", "e-2", SENT - 1, SENT)]
        self.assert_violation(check(refused))

    def test_request_that_is_cut_off_by_a_planned_stop(self):
        check = promises.requests_are_not_cut_off
        cut = request(status=0, complete=False, cut_off=True)
        recorded = history([cut])
        recorded.faults = [Fault("stop", "n-0", SENT, SENT + 1)]
        # It did not reach a server.
        self.assert_valid(check(recorded))
        recorded.arrivals = [Arrival("r1", "engines", "e-0", SENT)]
        self.assert_violation(check(recorded))
        for fault in (
            Fault("kill", "n-0", SENT, SENT + 1),
            Fault("crash", "e-0", SENT, SENT + 1),
            Fault("leave", "e-0", SENT, SENT),
        ):
            recorded.faults = [fault]
            self.assert_valid(check(recorded))
        recorded.faults = []
        recorded.runs = [run(broken_off=True)]
        self.assert_valid(check(recorded))
        recorded.runs = [run()]
        self.assert_violation(check(recorded))
        recorded.requests = {"r1": request()}
        self.assert_valid(check(recorded))

    def test_request_that_a_stopping_node_breaks_off(self):
        check = stops.stops_break_nothing_off
        cut = request(status=0, complete=False, cut_off=True, ended_at=SENT + 4)
        recorded = history([cut], [run(ended_at=SENT + 4)])
        recorded.arrivals = [Arrival("r1", "engines", "e-0", SENT)]

        def signalled_at(seconds, grace=8.0):
            recorded.stops = [Stop("n-0", 1, SENT + seconds, grace, SENT + 5)]

        # Sent 2.9 s after the signal, broken off in the last sixth and before it.
        signalled_at(-2.9)
        self.assert_valid(check(recorded))
        self.assert_valid(promises.requests_are_not_cut_off(recorded))
        signalled_at(-2.5)
        self.assert_violation(check(recorded))
        self.assert_violation(promises.requests_are_not_cut_off(recorded))
        signalled_at(-2.5, grace=4.0)
        self.assert_valid(check(recorded))
        # The server was no longer at work.
        signalled_at(-2.9)
        recorded.runs = [run(ended_at=SENT + 3)]
        self.assert_violation(check(recorded))
        self.assert_violation(promises.requests_are_not_cut_off(recorded))
        recorded.runs = [run(ended_at=SENT + 4)]
        # Sent 3.5 s after the signal.
        signalled_at(-3.5)
        self.assert_violation(check(recorded))
        self.assert_violation(promises.requests_are_not_cut_off(recorded))
        recorded.faults = [Fault("store silent", "all", SENT, SENT + 4)]
        self.assert_violation(check(recorded))
        recorded.faults = [Fault("crash", "e-0", SENT, SENT + 4)]
        self.assert_valid(check(recorded))
        recorded.faults = []
        # Sent before the signal and broken off soon after it.
        signalled_at(1)
        self.assert_violation(check(recorded))
        # The same for a request that ends with an error instead of a broken response.
        signalled_at(-3.5)
        for status, reason, violated in (
            (504, "node_stopped", True),
            (502, "node_stopped", True),
            (504, "timeout", False),
            (503, "node_leaving", False),
        ):
            body = b'{"error":"%s"}' % reason.encode()
            ended = request(status=status, body=body, ended_at=SENT + 4)
            recorded.requests = {"r1": ended}
            (self.assert_violation if violated else self.assert_valid)(check(recorded))
        # Requests that no server got, or to which another node answered.
        recorded.requests = {"r1": cut}
        recorded.arrivals = []
        self.assert_valid(check(recorded))
        recorded.arrivals = [Arrival("r1", "engines", "e-0", SENT)]
        recorded.stops[0].node = "n-1"
        self.assert_valid(check(recorded))

    def test_brittle_servers_that_fall(self):
        check = brittleness.brittle_servers_stand
        recorded = history([request(), request(id="r2", node="n-1")])
        time = brittleness.Brittleness("engines", 9, 3, SENT, 1.0, SENT + 20)
        recorded.brittle_times = [time]
        time.falls = [("e-0", SENT + 5, ["r1", "r2"])] * 2
        self.assert_valid(check(recorded))
        time.falls = time.falls * 2
        self.assert_violation(check(recorded))
        recorded.faults = [Fault("pause", "n-0", SENT + 4, SENT + 5)]
        self.assert_valid(check(recorded))

    def test_requests_above_the_rate_limit_of_a_server(self):
        check = promises.rate_limits_are_kept
        recorded = history([request()])
        recorded.rate_limits = [RateLimit("e-0", 1.0, SENT, SENT + 20)]
        recorded.limit_responses = [("e-0", "r1", SENT + 1)]

        def arrivals(count, interval):
            return [
                Arrival("r1", "engines", "e-0", SENT + 4 + i * interval)
                for i in range(count)
            ]

        recorded.arrivals = arrivals(11, 0.3)
        self.assert_valid(check(recorded))
        recorded.arrivals = arrivals(12, 0.3)
        self.assert_violation(check(recorded))
        recorded.arrivals = arrivals(12, 1.0)
        self.assert_valid(check(recorded))
        recorded.arrivals = arrivals(12, 0.3)
        recorded.faults = [Fault("pause", "n-0", SENT + 2, SENT + 8)]
        self.assert_valid(check(recorded))
        recorded.faults = []
        recorded.limit_responses = [("e-0", "r1", SENT + 9)]
        self.assert_valid(check(recorded))

    def test_harmless_request_that_is_refused_as_crashing(self):
        check = promises.harmless_requests_are_not_taken_for_crashing
        refusal = b'{"error":"request_crashes_servers"}'
        copy = request(crashing="c-0", status=503, body=refusal)
        self.assert_valid(check(history([copy])))
        for reason in promises.CRASHING_REASONS:
            refusal = b'{"error":"%s"}' % reason
            refused = request(status=503, body=refusal)
            self.assert_violation(check(history([refused])))

    def test_node_that_exits_unasked_or_with_an_error(self):
        recorded = History()
        recorded.exits = [("n-0", 1, 0, True)]
        self.assert_valid(promises.nodes_exit_cleanly(recorded))
        recorded.exits = [("n-0", 1, 1, True)]
        self.assert_violation(promises.nodes_exit_cleanly(recorded))
        recorded.exits = [("n-0", 1, -11, False)]
        self.assert_violation(promises.nodes_exit_cleanly(recorded))

    def test_service_that_does_not_recover(self):
        served = [request(id=f"r{i}") for i in range(20)]
        self.assert_valid(promises.service_recovers(history(served), 80, 10))
        refused = [request(id=f"r{i}", status=503) for i in range(20)]
        self.assert_violation(promises.service_recovers(history(refused), 80, 10))


if __name__ == "__main__":
    unittest.main()
