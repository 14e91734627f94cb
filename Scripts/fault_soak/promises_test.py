"""Guards against checks that miss a violation or report one in a valid history."""

import unittest

import promises
from history import Arrival, Fault, History, Request, Run

SENT = 100.0


def request(kind="streaming", **changes):
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
        "node_run": 1,
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
    made = History()
    made.requests = {r.id: r for r in requests}
    made.runs = list(runs)
    return made


class PromisesTest(unittest.TestCase):
    def broken(self, check):
        self.assertTrue(list(check))

    def kept(self, check):
        self.assertEqual(list(check), [])

    def test_second_run_of_a_request_that_may_not_repeat(self):
        sent = request(kind="non_idempotent")
        self.kept(promises.at_most_once(history([sent], [run()])))
        self.broken(promises.at_most_once(history([sent], [run(), run()])))

    def test_run_of_a_refused_request(self):
        sent = request(kind="non_idempotent", status=503)
        self.kept(promises.refusals_are_true(history([sent])))
        self.broken(promises.refusals_are_true(history([sent], [run()])))

    def test_run_that_nobody_asked_for(self):
        asked = promises.only_asked_requests_run
        self.kept(asked(history([request()], [run()])))
        self.broken(asked(history([], [run()])))
        self.broken(asked(history([request()], [run(tenant="small")])))
        self.broken(asked(history([request()], [run(path="/chat/2")])))
        self.broken(asked(history([request()], [run(service="orders")])))

    def test_body_with_a_gap_a_wrong_signature_or_an_early_end(self):
        whole = promises.bodies_are_whole
        self.kept(whole(history([request()], [run()])))
        gap = promises.event("r1", 1) + promises.event("r1", 3)
        self.broken(whole(history([request(body=gap)], [run()])))
        early = promises.event("r1", 1)
        self.broken(whole(history([request(body=early)], [run()])))
        cut = request(body=early, complete=False)
        self.kept(whole(history([cut], [run()])))
        self.broken(whole(history([request(stamp="other")], [run()])))

    def test_account_that_consumes_more_than_it_has(self):
        used = history([request()], [run()])
        self.kept(promises.prepaid_holds(used, {"large": 25}, 5))
        self.broken(promises.prepaid_holds(used, {"large": 24}, 5))

    def test_more_repeats_than_the_fleet_may_make(self):
        made = history([request()])
        made.arrivals = [Arrival("r1", "engines", "e-0", SENT + i) for i in range(4)]
        self.kept(promises.retries_are_bounded(made, 0.2, 3, 10))
        self.broken(promises.retries_are_bounded(made, 0.2, 2, 10))

    def test_answer_after_the_time_limit(self):
        late = request(ended_at=SENT + 7.0)
        self.kept(promises.answers_are_in_time(history([request()])))
        self.broken(promises.answers_are_in_time(history([late])))
        excused = history([late])
        excused.faults = [Fault("pause", "n-0", SENT, SENT + 1)]
        self.kept(promises.answers_are_in_time(excused))

    def test_request_to_a_server_that_left(self):
        made = history([request()])
        made.left_servers = {"e-0": SENT - 5}
        made.arrivals = [Arrival("r1", "engines", "e-0", SENT - 4)]
        self.kept(promises.left_servers_rest(made, 2.0))
        made.arrivals = [Arrival("r1", "engines", "e-0", SENT)]
        self.broken(promises.left_servers_rest(made, 2.0))

    def test_work_for_a_caller_that_left(self):
        left = request(left_at=SENT + 0.2, ended_at=0.0)
        check = promises.work_ends_with_its_caller
        self.kept(check(history([left], [run(ended_at=SENT + 0.5)])))
        self.broken(check(history([left], [run(ended_at=SENT + 3)])))

    def test_configuration_that_comes_late_or_goes_back(self):
        check = promises.configuration_is_followed
        made = History()
        made.route_versions = {4: (SENT, None)}
        made.probes = [(SENT + 1, "n-0", 1, 4, False), (SENT + 1.5, "n-0", 1, 4, True)]
        self.kept(check(made))
        made.probes.append((SENT + 2, "n-0", 1, 4, False))
        self.broken(check(made))
        made.probes = [(SENT + 3, "n-0", 1, 4, False)]
        self.broken(check(made))
        made.route_versions = {4: (SENT, SENT + 10)}
        made.probes = [(SENT + 13, "n-0", 1, 4, True)]
        self.broken(check(made))

    def test_node_that_ends_by_itself_or_with_an_error(self):
        made = History()
        made.exits = [("n-0", 1, 0, True)]
        self.kept(promises.stops_are_clean(made))
        made.exits = [("n-0", 1, 1, True)]
        self.broken(promises.stops_are_clean(made))
        made.exits = [("n-0", 1, -11, False)]
        self.broken(promises.stops_are_clean(made))

    def test_service_that_does_not_come_back(self):
        served = [request(id=f"r{i}") for i in range(20)]
        self.kept(promises.service_recovers(history(served), 80, 10))
        refused = [request(id=f"r{i}", status=503) for i in range(20)]
        self.broken(promises.service_recovers(history(refused), 80, 10))


if __name__ == "__main__":
    unittest.main()
