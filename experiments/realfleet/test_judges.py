"""Each judge with a recorded trace that breaks its rule and one that is allowed."""

import types
import unittest

from realfleet import judges
from realfleet.deployment import DEPLOYMENTS
from realfleet.record import Record
from realfleet.routes import Routes, Version
from realfleet.store import Store

DEPLOYMENT = DEPLOYMENTS["small"]
KIND = DEPLOYMENT.kinds[0]
ATTEMPTS_ALLOWED = 56


class Undisturbed:
    name = "edge-a-1"
    starts = (0.0, 100.0)

    def was_disturbed(self, _begin, _end):
        return False

    was_unstable = was_hit = was_disturbed

    def incarnation(self, when):
        return sum(1 for each in self.starts if each <= when)


class Restarted(Undisturbed):
    def was_disturbed(self, _begin, _end):
        return True


class JudgesTest(unittest.TestCase):
    def setUp(self):
        self.record = Record(DEPLOYMENT)
        self.routes = Routes(DEPLOYMENT, None)
        self.routes.versions = [Version(0.0, self.routes.table())]

    def add_request(self, attempt, sent, path="/handset-lookup/1", status=200, is_own=False):
        self.record.requests[attempt] = {
            "sent": sent, "kind": KIND.name, "service": KIND.service, "instance": Undisturbed.name,
            "path": path, "status": status, "is_own": is_own, "ended": sent}

    def arrive(self, attempt, when, target="i-1", service=KIND.service):
        self.record.arrivals.append((when, attempt, target, service))

    def judge_budget(self, repeats, seconds):
        for index in range(repeats):
            self.add_request(f"a{index}", -100.0)
            self.arrive(f"a{index}", 50.0)
            self.arrive(f"a{index}", 50.0 + index * seconds / repeats)
        return judges.judge_budget(self.record, DEPLOYMENT, self.routes)

    def test_repeats_beyond_the_budget_in_one_window_are_broken(self):
        self.assertTrue(self.judge_budget(ATTEMPTS_ALLOWED + 1, 5).is_broken)

    def test_repeats_spread_over_windows_are_allowed(self):
        self.assertFalse(self.judge_budget(ATTEMPTS_ALLOWED + 1, 11).is_broken)

    def test_requests_enlarge_the_budget(self):
        for index in range(10):
            self.add_request(f"b{index}", 51.0)
        self.assertFalse(self.judge_budget(ATTEMPTS_ALLOWED + 2, 5).is_broken)

    def judge_drain(self, arrival, instance):
        self.record.target_left("i-1", 10.0)
        self.add_request("a", arrival - 0.01)
        self.arrive("a", arrival)
        return judges.judge_drain(self.record, DEPLOYMENT, [instance], Undisturbed())

    def test_a_late_request_to_a_leaving_target_is_broken(self):
        self.assertTrue(self.judge_drain(12.1, Undisturbed()).is_broken)

    def test_a_request_within_the_bound_is_allowed(self):
        self.assertFalse(self.judge_drain(11.9, Undisturbed()).is_broken)

    def test_a_request_of_an_instance_that_has_just_started_is_allowed(self):
        self.assertFalse(self.judge_drain(12.1, Restarted()).is_broken)

    def judge_evacuation(self, arrival, taken_back=None, zone="gla", instance=None, store=None):
        self.record.zones["i-1"] = "gla"
        self.record.evacuations.append([zone, 10.0, taken_back])
        self.add_request("a", arrival - 0.01)
        self.arrive("a", arrival)
        return judges.judge_evacuation(self.record, DEPLOYMENT, [instance or Undisturbed()],
                                       store or Undisturbed())

    def test_a_late_request_to_an_evacuated_zone_is_broken(self):
        verdict = self.judge_evacuation(15.1)
        self.assertTrue(verdict.is_broken)
        self.assertEqual([(15.1, "i-1", "a", "edge-a-1", 5.1)], verdict.cases)

    def test_a_late_request_long_after_the_store_was_away_is_broken(self):
        store = Store(None)
        store.refusals = store.outages = [[10.5, 12.0]]
        self.assertFalse(self.judge_evacuation(19.9, store=store).is_broken)
        self.assertTrue(self.judge_evacuation(20.1, store=store).is_broken)

    def test_a_request_within_the_bound_or_after_the_end_of_an_evacuation_is_allowed(self):
        self.assertAlmostEqual(0.98, self.judge_evacuation(14.9).ratio)
        self.record.evacuations.clear()
        self.assertFalse(self.judge_evacuation(18.0, taken_back=17.9).is_broken)

    def test_a_request_to_another_zone_is_allowed(self):
        self.assertEqual(0.0, self.judge_evacuation(15.1, zone="edi").ratio)

    def test_a_request_to_an_evacuated_zone_by_an_instance_out_of_touch_is_allowed(self):
        self.assertFalse(self.judge_evacuation(15.1, instance=Restarted()).is_broken)

    def judge_lapsed(self, failed, instance=None):
        """All records of the service lapse at 10 s, and the store is back at 15 s; 100 requests
        follow each other in the 2 s after that, and 100 in the 5 s before."""
        self.record.lapses.append({"services": {KIND.service}, "begin": 10.0, "returned": 15.0})
        for index in range(100):
            self.add_request(f"a{index}", 10.0 + index * 0.05)
            self.add_request(f"b{index}", 15.0 + index * 0.02, is_own=index < failed,
                             status=503 if index < failed else 200)
        return judges.judge_lapsed(self.record, DEPLOYMENT, [instance or Undisturbed()])

    def test_callers_that_are_refused_after_all_records_have_lapsed_break_the_rule(self):
        verdict = self.judge_lapsed(failed=30)
        self.assertTrue(verdict.is_broken)
        self.assertAlmostEqual(3.0, verdict.ratio)
        self.assertEqual(30, len(verdict.cases))

    def test_callers_that_are_served_while_records_have_lapsed_are_allowed(self):
        self.assertFalse(self.judge_lapsed(failed=9).is_broken)

    def test_callers_of_an_instance_out_of_touch_are_allowed_to_be_refused(self):
        self.assertFalse(self.judge_lapsed(failed=30, instance=Restarted()).is_broken)

    def test_requests_after_the_records_must_be_back_do_not_count(self):
        self.record.lapses.append({"services": {KIND.service}, "begin": 10.0, "returned": 15.0})
        self.add_request("a", 17.1, status=503, is_own=True)
        verdict = judges.judge_lapsed(self.record, DEPLOYMENT, [Undisturbed()])
        self.assertEqual(0.0, verdict.ratio)

    def judge_denied(self, status, is_own):
        for index in range(6):
            self.add_request(f"a{index}", 1.0, status=status, is_own=is_own)
        return judges.judge_denied(self.record, DEPLOYMENT, self.routes)

    def test_own_refusals_as_unknown_are_broken(self):
        self.assertTrue(self.judge_denied(404, True).is_broken)

    def test_own_refusals_of_routes_that_were_removed_are_allowed(self):
        self.add_version(0.5)
        self.assertFalse(self.judge_denied(404, True).is_broken)

    def test_answers_of_targets_and_promises_are_allowed(self):
        self.assertFalse(self.judge_denied(404, False).is_broken)
        self.assertFalse(self.judge_denied(429, True).is_broken)

    def add_version(self, when, **services):
        """Moves the first route, and removes it if there are no services."""
        table = dict(self.routes.versions[-1].routes)
        table.pop(f"/{KIND.name}/", None)
        if services:
            table[f"/{KIND.name}/"] = services
        self.routes.versions.append(Version(when, table))

    def judge_configuration(self, instance=None, store=None):
        return judges.judge_configuration(self.record, DEPLOYMENT, [instance or Undisturbed()],
                                          self.routes, store or Undisturbed())

    def run_at(self, sent, service, attempt="a"):
        self.add_request(attempt, sent)
        self.arrive(attempt, sent + 0.01, service=service)

    def refuse_at(self, sent):
        self.add_request("a", sent, status=404, is_own=True)

    def test_a_late_request_by_an_old_version_is_broken(self):
        self.add_version(10.0, enrolment=1)
        self.run_at(12.1, "records")
        self.assertTrue(self.judge_configuration().is_broken)
        self.assertFalse(self.judge_configuration(Restarted()).is_broken)

    def test_a_request_by_the_present_version_is_allowed(self):
        self.add_version(10.0, enrolment=1)
        self.run_at(12.1, "enrolment")
        self.run_at(11.9, "records", "b")
        self.assertFalse(self.judge_configuration().is_broken)

    def test_a_late_request_to_a_service_that_a_split_no_longer_has_is_broken(self):
        self.add_version(10.0, records=3, enrolment=1)
        self.add_version(20.0, enrolment=1, records=0)
        self.run_at(19.0, "records")
        self.assertFalse(self.judge_configuration().is_broken)
        self.run_at(22.1, "records")
        self.assertTrue(self.judge_configuration().is_broken)

    def test_a_route_that_is_refused_long_after_it_was_added_is_broken(self):
        self.add_version(10.0)
        self.add_version(20.0, records=1)
        self.refuse_at(21.9)
        self.assertFalse(self.judge_configuration().is_broken)
        self.refuse_at(22.1)
        self.assertTrue(self.judge_configuration().is_broken)

    def test_a_route_that_runs_long_after_it_was_removed_is_broken(self):
        self.add_version(10.0)
        self.run_at(12.1, "records")
        self.assertTrue(self.judge_configuration().is_broken)
        self.refuse_at(12.1)
        self.record.arrivals.clear()
        self.assertFalse(self.judge_configuration().is_broken)

    def test_an_invalid_configuration_that_is_taken_is_broken(self):
        self.routes.invalid = [Version(10.0, {f"/{KIND.name}/": {"activation": 1}})]
        self.run_at(10.1, "records")
        self.assertFalse(self.judge_configuration().is_broken)
        self.run_at(10.1, "activation")
        self.assertTrue(self.judge_configuration().is_broken)

    def test_a_store_that_turns_some_away_stretches_the_bound_and_one_that_is_down_excuses_all(self):
        self.add_version(10.0, enrolment=1)
        for sent, is_late in ((16.9, False), (17.1, True)):
            self.run_at(sent, "records")
            store = Store(None)
            store.refusals = [[8.0, 30.0]]
            self.assertEqual(is_late, self.judge_configuration(store=store).is_broken)
            store.outages = [[8.0, 9.0]]
            self.assertFalse(self.judge_configuration(store=store).is_broken)

    def judge_downgrade(self, sent, service="records", instance=None):
        """A target sees the effect of the second version at 11 s."""
        self.setUp()
        self.add_version(10.0, enrolment=1)
        self.run_at(10.99, "enrolment", "first")
        self.run_at(sent, service)
        return judges.judge_downgrade(self.record, DEPLOYMENT, [instance or Undisturbed()],
                                      self.routes)

    def test_an_instance_that_returns_to_an_older_version_is_broken(self):
        verdict = self.judge_downgrade(11.3)
        self.assertTrue(verdict.is_broken)
        self.assertEqual([(11.3, "records", "a", "edge-a-1", 0.3)], verdict.cases)

    def test_an_older_version_within_the_slack_or_in_another_process_is_no_return(self):
        self.assertFalse(self.judge_downgrade(11.2).is_broken)
        self.assertFalse(self.judge_downgrade(100.1).is_broken)
        self.assertFalse(self.judge_downgrade(11.3, "enrolment").is_broken)
        self.assertFalse(self.judge_downgrade(11.3, instance=Restarted()).is_broken)

    def judge_stop(self, sent, ended, status, run, instance=None):
        self.add_request("a", sent, status=status, is_own=True)
        self.record.requests["a"].update(ended=ended, limit=5.0, is_refused=False)
        self.arrive("a", sent + 0.01)
        self.record.runs["a"] = [run]
        instance = instance or Undisturbed()
        instance.stops = [10.0]
        return judges.judge_lost(self.record, DEPLOYMENT, [instance])

    def test_a_request_given_up_after_a_stop_while_its_target_works_is_lost(self):
        self.assertTrue(self.judge_stop(11.0, 14.0, 502, [11.1, None]).is_broken)
        self.assertTrue(self.judge_stop(13.1, 15.4, 502, [13.2, 15.9]).is_broken)
        self.assertTrue(self.judge_stop(11.0, 14.0, None, [11.1, 12.0]).is_broken)

    def test_a_request_behind_another_one_that_was_not_passed_on_is_not_lost(self):
        self.record.behind = {"a"}
        self.assertTrue(self.judge_stop(11.0, 14.0, None, [11.1, 12.0]).is_broken)
        self.record.arrivals.clear()
        self.add_request("a", 11.0, status=None, is_own=True)
        self.record.requests["a"].update(ended=12.0, limit=5.0, is_refused=False)
        self.record.runs.clear()
        stopped = Undisturbed()
        stopped.stops = [10.0]
        for behind, is_broken in (({"a"}, False), (set(), True)):
            self.record.behind = behind
            verdict = judges.judge_lost(self.record, DEPLOYMENT, [stopped])
            self.assertEqual(is_broken, verdict.is_broken)

    def test_a_request_cut_off_by_a_kill_during_a_stop_is_allowed(self):
        self.assertTrue(self.judge_stop(11.0, 14.0, None, [11.1, 12.0]).is_broken)
        killed = Undisturbed()
        killed.was_hit = lambda begin, end: begin <= 14.0 <= end
        self.assertFalse(self.judge_stop(11.0, 14.0, None, [11.1, 12.0], killed).is_broken)

    def test_a_request_cut_off_at_the_end_of_a_stop_is_allowed(self):
        self.assertFalse(self.judge_stop(12.9, 15.4, 502, [13.0, None]).is_broken)

    def test_a_request_that_failed_at_its_target_or_reached_its_limit_is_allowed(self):
        self.assertFalse(self.judge_stop(11.0, 12.0, 502, [11.1, 11.9]).is_broken)
        self.assertFalse(self.judge_stop(9.0, 14.0, 502, [9.1, None]).is_broken)

    def judge_memory(self, peak, own_ends=()):
        instance = types.SimpleNamespace(name="edge-a-1", peak_megabytes=peak, own_ends=own_ends)
        return judges.judge_memory([instance])

    def test_a_process_beyond_its_memory_or_that_ends_by_itself_is_broken(self):
        self.assertTrue(self.judge_memory(261.0).is_broken)
        self.assertTrue(self.judge_memory(30.0, [(1.0, 4)]).is_broken)

    def test_a_process_within_its_memory_is_allowed(self):
        self.assertFalse(self.judge_memory(259.0).is_broken)


if __name__ == "__main__":
    unittest.main()
