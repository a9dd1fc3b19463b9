"""Plans of faults from a seed. The same seed gives the same plan."""

import typing

from realfleet import secondfleet
from realfleet.tests.datagramloss import Loss

# What a second store counts from, below the first one, which counts from 1000.
REVISION_BELOW = 100


class Plan(typing.NamedTuple):
    # The number of parts that cannot hear each other; with 0 each instance is alone.
    parts: int
    # How often callers repeat; None for what the deployment says.
    repeats: int
    set_up: typing.Callable
    # Losses of datagrams between instances, or None.
    loss: Loss = None
    # Runs before the fleet starts, which it is given; or None.
    prelude: typing.Callable = None


def _quiet(faults):
    return []


def _parts(faults):
    return [faults.reset_targets(0.9, 0.7, 1.0, 6.0)]


def _late_watches(faults):
    faults.fleet.store.watch_delay = (0.5, 1.5)
    return [faults.replace_targets(0.4), faults.change_configuration(4.0)]


def _slow_store(faults):
    faults.fleet.store.answer_time = (0.7, 0.9)
    return [faults.replace_targets(0.4), faults.change_configuration(4.0)]


def _slow_answers(faults):
    """Reads of all records are no quick way around late watches: they are slow at times, too."""
    faults.fleet.store.watch_delay = (0.5, 1.5)
    return [faults.slow_store((0.5, 1.0), every=4.0, length=2.0),
            faults.replace_targets(0.2, stated=0.0), faults.change_configuration(2.0)]


def _slow_answers_evacuation(faults):
    return _slow_answers(faults) + [faults.evacuate_zones(1.0, beyond=2.0)]


def _lapsed_records(faults):
    """Targets are taken away without a statement as well, while the store is there, but slow."""
    faults.fleet.store.answer_time = (0.3, 0.7)
    return [faults.lapse_records(gap=5.0, length=5.0),
            faults.replace_targets(0.4, stated=0.0, beside_outages=False)]


def _lapsed_records_slow_answers(faults):
    """Instances see the return of the store at different times, and late."""
    faults.fleet.store.watch_delay = (0.5, 1.5)
    return [faults.slow_store((0.5, 1.0), every=4.0, length=2.0),
            faults.lapse_records(gap=5.0, length=5.0),
            faults.replace_targets(0.2, stated=0.0, beside_outages=False)]


def _kills(faults):
    return [faults.kill_in_turn(0.5), faults.reset_targets(0.9, 0.7, 1.0, 6.0)]


def _restarts_in_one_window(faults):
    return [faults.kill(0.5, 2.0), faults.reset_targets(0.9, 0.7, 1.0, 6.0)]


def _leaving(faults):
    return [faults.replace_targets(0.3), faults.kill_in_turn(2.5),
            faults.change_configuration(3.0)]


def _stale_pages(faults):
    store = faults.fleet.store
    store.put_foreign_entries(600)
    # The first page holds the configuration; only it is old.
    store.page_age = lambda after: 0.0 if after else faults.rng.uniform(1.0, 6.0)
    return [faults.kill_in_turn(1.0), faults.change_configuration(5.0, added=400),
            faults.replace_targets(1.0)]


def _stops(faults):
    return [faults.stop_in_turn(0.5), faults.replace_targets(0.5),
            faults.reset_targets(0.5, 0.5, 2.0, 4.0)]


def _overlapping_stops(faults):
    return [faults.stop_overlapping(0.7, 0.4), faults.slow_targets(0.16, 5.0, 3.0, 6.0)]


def _long_stops(faults):
    """Stops of processes that handle signals late, while most requests take seconds."""
    return faults.share_processor(0.4) + [
        faults.stop_overlapping(0.5, 0.4), faults.slow_targets(0.6, 6.0, 1.0, 8.0)]


def _overlapping_stops_and_changes(faults):
    return _overlapping_stops(faults) + [
        faults.replace_targets(0.5), faults.change_configuration(2.0, added=400),
        faults.reset_targets(0.5, 0.3, 2.0, 4.0)]


def _small_share(faults):
    return faults.share_processor(0.3) + [
        faults.replace_targets(0.4), faults.change_configuration(1.0, added=400),
        faults.reset_targets(0.6, 0.5, 2.0, 4.0)]


def _cut_from_store(faults):
    return [faults.cut_from_store(4, 2.0, 9.0), faults.replace_targets(0.4),
            faults.change_configuration(1.5, added=400), faults.compact_store(5.0)]


def _stale_without_history(faults):
    """A store that forgets its history again and again and answers new processes with old pages."""
    store = faults.fleet.store
    store.page_age = lambda after: faults.rng.uniform(0.0, 6.0)
    return [faults.compact_store(0.5), faults.kill(0.4, 2.5), faults.replace_targets(0.4),
            faults.change_configuration(1.5, added=400)]


def _endless_responses(faults):
    return [faults.answer_without_end(0.3, 4.0)]


def _endless_input(faults):
    return [faults.answer_without_end(0.3, 4.0), faults.answer_reads_without_end(3.0, 2.0),
            faults.request_without_end(10)]


def _mixed(faults):
    return [faults.kill_in_turn(3.0), faults.freeze(3.0, 3.0), faults.replace_targets(0.5),
            faults.change_configuration(3.0, added=400), faults.compact_store(5.0),
            faults.reset_targets(0.6, 0.5, 3.0, 5.0), faults.interrupt_store(20.0, 4.5)]


def _restart(faults, instances):
    store = faults.fleet.store
    store.put_foreign_entries(600)
    store.history_length = 20.0
    store.page_age = lambda after: faults.rng.uniform(0.0, 3.0)
    return [faults.count_reads_of_restart(instances, settle=22.0, wait=6.0)]


def _restart_one(faults):
    return _restart(faults, faults.fleet.instances[:1])


def _restart_all(faults):
    return _restart(faults, faults.fleet.instances)


def _changes(faults, invalid=0.0):
    return [faults.change_routes(0.7, invalid=invalid), faults.replace_targets(0.3)]


def _invalid_configurations(faults):
    return _changes(faults, invalid=0.25)


def _stops_and_changes(faults):
    return _changes(faults) + [faults.stop_overlapping(0.6, 0.4)]


def _long_stops_and_changes(faults):
    """Stops that last until the grace ends, since some requests take that long."""
    return _changes(faults) + [faults.stop_overlapping(0.6, 0.4),
                               faults.slow_targets(0.3, 20.0, 0.5, 8.0)]


def _turned_away(faults):
    return _changes(faults) + [faults.turn_away(0.33, 1.5, 9.0, is_counted=False)]


def _turned_away_counted(faults):
    return _changes(faults) + [faults.turn_away(0.33, 1.5, 9.0, is_counted=True)]


def _turned_away_stops(faults):
    return _turned_away_counted(faults) + [faults.kill_in_turn(1.5)]


def _seeds_turned_away(faults):
    return _changes(faults) + [faults.turn_away(0.18, 1.5, 9.0, is_counted=False, first=(0, 1, 2))]


def _first_turned_away(faults):
    return _changes(faults) + [faults.turn_away(0.05, 1.5, 9.0, is_counted=False, first=(2,))]


def _lost_answers(faults):
    return _changes(faults) + [faults.spoil_answers(0.3, 1.0, ("lost",))]


def _spoiled_answers(faults):
    return _changes(faults) + [faults.spoil_answers(0.3, 0.6)]


def _lost_answers_late_watches(faults):
    faults.fleet.store.watch_delay = (0.5, 1.5)
    return _lost_answers(faults)


def _busy_store(faults):
    """More changes than one answer holds, for instances that the store served last 9 s ago."""
    return _turned_away(faults) + [faults.write_foreign_entries(150.0)]


def _busy_store_counted(faults):
    return _turned_away_counted(faults) + [faults.write_foreign_entries(150.0)]


def _large_configurations(faults):
    """An answer does not hold two of the last configurations."""
    return [faults.change_routes(0.4, added=400), faults.replace_targets(0.3),
            faults.turn_away(0.33, 1.5, 9.0, is_counted=False)]


def _turned_away_evacuation(faults):
    return _turned_away(faults) + [faults.evacuate_zones(1.0, beyond=2.0)]


def _forgotten_history(faults):
    return [faults.forget_history(8.0, ends_waits=False, is_counted=False)]


def _forgotten_history_ended_waits(faults):
    return [faults.forget_history(8.0, ends_waits=True, is_counted=False)]


def _forgotten_history_kills(faults):
    return _forgotten_history_ended_waits(faults) + [faults.kill_in_turn(1.5)]


def _forgotten_history_changes(faults):
    return _changes(faults) + _forgotten_history_ended_waits(faults)


def _forgotten_history_often(faults):
    return _changes(faults) + [faults.forget_history(1.5, ends_waits=True, is_counted=False)]


def _dropped_history_changes(faults):
    """History is dropped, and no watch hears of it."""
    faults.fleet.store.states_lost_history = False
    return _forgotten_history_changes(faults)


def _dropped_history_ended_waits(faults):
    faults.fleet.store.states_lost_history = False
    return _forgotten_history_ended_waits(faults)


def _second_fleet(faults, revision=secondfleet.REVISION, takes_address=True):
    return [secondfleet.join_second_fleet(faults.fleet, revision, takes_address)]


def _second_fleet_changes(faults):
    return _changes(faults) + _second_fleet(faults)


def _second_fleet_below_changes(faults):
    return _changes(faults) + _second_fleet(faults, REVISION_BELOW)


def _second_fleet_apart_changes(faults):
    return _changes(faults) + _second_fleet(faults, takes_address=False)


def _second_fleet_seed_changes(faults):
    return _changes(faults) + [secondfleet.join_by_seed(faults.fleet)]


def _second_fleet_bursts(faults):
    return _bursts(faults) + _second_fleet(faults)


def _second_fleet_evacuation(faults):
    return _second_fleet_changes(faults) + [faults.evacuate_zones(1.0, beyond=2.0)]


def _two_of_one_name(faults):
    return _changes(faults) + [secondfleet.move_instance(faults.fleet)]


def _near_second_fleet(revision, version):
    def set_up(faults):
        return _changes(faults) + [
            secondfleet.join_second_fleet(faults.fleet, revision, version=version)]
    return set_up


def _leave_survivors(count, revision, version):
    """Processes of an earlier run, whose store counted from a revision near that of the next."""
    async def prelude(fleet):
        await secondfleet.run_earlier(fleet, range(count), revision, version)
    return prelude


def _exchanged_store(distance):
    def set_up(faults):
        return _changes(faults) + [faults.exchange_store(distance),
                                   faults.evacuate_zones(1.0, beyond=2.0)]
    return set_up


def _exchanged_store_turned_away(distance):
    def set_up(faults):
        return _turned_away(faults) + [faults.exchange_store(distance)]
    return set_up


async def _leave_survivor(fleet):
    await secondfleet.run_earlier(fleet, survivors=(secondfleet.LOST_INDEX,))


def _long_pauses(faults):
    """Two at a time, each for longer than members are kept."""
    return _changes(faults) + [faults.freeze(1.0, 15.0, shortest=10.0) for _ in range(2)]


def _roll_out(faults):
    return _changes(faults) + [faults.roll_out(1.5)]


def _mixed_pages(faults):
    """Each page of a read that may be stale has an age of its own, and others take so long that
    changes come between their pages."""
    store = faults.fleet.store
    store.put_foreign_entries(600)
    store.answer_time = (0.05, 0.2)
    store.page_age = lambda after: faults.rng.uniform(0.0, 6.0)
    return _changes(faults) + [faults.kill_in_turn(1.5), faults.compact_store(1.0)]


def _frozen_leaving(faults):
    return _changes(faults) + [faults.freeze_leaving_targets(0.5, 4.0)]


def _reused_addresses(faults):
    return _changes(faults) + [faults.reuse_addresses(0.7)]


def _changed_settings(faults):
    return _changes(faults) + [faults.change_settings(0.5, 0.4)]


def _bursts(faults):
    return [faults.replace_bursts(2.5, 0.3), faults.change_routes(0.7)]


def _bursts_forgotten(faults):
    return _bursts(faults) + [faults.forget_history(6.0, ends_waits=True, is_counted=False),
                              faults.evacuate_zones(1.0, beyond=2.0)]


def _bursts_turned_away(faults):
    return _bursts(faults) + [faults.turn_away(0.33, 1.5, 9.0, is_counted=True),
                              faults.spoil_answers(0.1, 0.6)]


def _storm(faults):
    """All that the rules excuse for a while only: what lasts longer is a state that nobody mends."""
    store = faults.fleet.store
    store.put_foreign_entries(600)
    store.page_age = lambda after: faults.rng.uniform(0.0, 6.0)
    return [faults.change_routes(0.7, added=350), faults.replace_targets(0.3),
            faults.kill_in_turn(4.0), faults.freeze(6.0, 3.0), faults.compact_store(5.0),
            faults.stop_overlapping(4.0, 0.2), faults.write_foreign_entries(20.0),
            faults.turn_away(0.33, 10.0, 9.0, is_counted=True)]


def _storm_spoiled(faults):
    return _storm(faults) + [faults.spoil_answers(0.1, 0.6), faults.interrupt_store(15.0, 3.0)]


HALF_DARK, FIFTH_DARK = Loss(0.05, 0.5), Loss(0.02, 0.2)
MOST_LOST, SOME_LOST = Loss(0.6, 0.0), Loss(0.3, 0.0)
LATE = Loss(0.0, 0.0, late_share=0.2, most_delay=5.0)

PLANS = {
    "quiet": Plan(1, None, _quiet),
    "parts-4": Plan(4, None, _parts),
    "parts-6": Plan(6, None, _parts),
    "late-watches": Plan(1, None, _late_watches),
    "late-watches-alone": Plan(0, None, _late_watches),
    # The pages excuse a slow store; its ratios show whether instances keep reading it.
    "slow-store": Plan(1, None, _slow_store),
    "slow-answers": Plan(1, None, _slow_answers),
    "slow-answers-evacuation": Plan(1, None, _slow_answers_evacuation),
    "lapsed-records": Plan(1, None, _lapsed_records),
    "lapsed-records-slow-answers": Plan(1, None, _lapsed_records_slow_answers),
    "kills": Plan(1, None, _kills),
    "restarts-in-one-window": Plan(1, 5, _restarts_in_one_window),
    "leaving": Plan(1, None, _leaving),
    "stale-pages": Plan(1, None, _stale_pages),
    "restart-one": Plan(1, None, _restart_one),
    "restart-all": Plan(1, None, _restart_all),
    "stops": Plan(1, None, _stops),
    "overlapping-stops": Plan(1, None, _overlapping_stops),
    "long-stops": Plan(1, None, _long_stops),
    "overlapping-stops-and-changes": Plan(1, None, _overlapping_stops_and_changes),
    "small-share": Plan(1, None, _small_share),
    "cut-from-store": Plan(1, None, _cut_from_store),
    "stale-without-history": Plan(1, None, _stale_without_history),
    "endless-responses": Plan(1, None, _endless_responses),
    "endless-input": Plan(1, None, _endless_input),
    "mixed": Plan(1, None, _mixed),
    "changes": Plan(1, None, _changes),
    "invalid-configurations": Plan(1, None, _invalid_configurations),
    "stops-and-changes": Plan(1, None, _stops_and_changes),
    "long-stops-and-changes": Plan(1, None, _long_stops_and_changes),
    # The pages excuse a store that turns some away, but not in all; see `allowed_time`.
    "turned-away": Plan(1, None, _turned_away),
    "turned-away-counted": Plan(1, None, _turned_away_counted),
    "turned-away-counted-kills": Plan(1, None, _turned_away_stops),
    "seeds-turned-away": Plan(1, None, _seeds_turned_away),
    "lost-answers": Plan(1, None, _lost_answers),
    "spoiled-answers": Plan(1, None, _spoiled_answers),
    "lost-answers-late-watches": Plan(1, None, _lost_answers_late_watches),
    "lossy-dark": Plan(1, None, _changes, HALF_DARK),
    "lossy-most": Plan(1, None, _changes, MOST_LOST),
    "turned-away-lossy": Plan(1, None, _turned_away, SOME_LOST),
    "turned-away-lossy-most": Plan(1, None, _turned_away, MOST_LOST),
    "turned-away-lossy-dark": Plan(1, None, _turned_away, HALF_DARK),
    "turned-away-lossy-fifth": Plan(1, None, _turned_away, FIFTH_DARK),
    "turned-away-counted-dark": Plan(1, None, _turned_away_counted, HALF_DARK),
    "turned-away-lossy-evacuation": Plan(1, None, _turned_away_evacuation, MOST_LOST),
    "busy-store": Plan(1, None, _busy_store),
    "busy-store-counted": Plan(1, None, _busy_store_counted),
    "large-configurations": Plan(1, None, _large_configurations),
    "forgotten-history": Plan(1, None, _forgotten_history),
    "forgotten-history-ended-waits": Plan(1, None, _forgotten_history_ended_waits),
    "forgotten-history-kills": Plan(1, None, _forgotten_history_kills),
    "forgotten-history-changes": Plan(1, None, _forgotten_history_changes),
    "forgotten-history-often": Plan(1, None, _forgotten_history_often),
    "dropped-history-changes": Plan(1, None, _dropped_history_changes),
    "dropped-history-ended-waits": Plan(1, None, _dropped_history_ended_waits),
    "second-fleet-quiet": Plan(1, None, _second_fleet),
    "second-fleet-changes": Plan(1, None, _second_fleet_changes),
    "second-fleet-below-changes": Plan(1, None, _second_fleet_below_changes),
    "second-fleet-apart-changes": Plan(1, None, _second_fleet_apart_changes),
    "second-fleet-seed-changes": Plan(1, None, _second_fleet_seed_changes),
    "second-fleet-bursts": Plan(1, None, _second_fleet_bursts),
    "second-fleet-evacuation": Plan(1, None, _second_fleet_evacuation),
    "late-datagrams": Plan(1, None, _changes, LATE),
    "long-pauses": Plan(1, None, _long_pauses),
    "two-of-one-name": Plan(1, None, _two_of_one_name),
    "runs-in-turn": Plan(1, None, _changes, prelude=secondfleet.run_earlier),
    "survivor-of-earlier-run": Plan(1, None, _changes, prelude=_leave_survivor),
    "roll-out": Plan(1, None, _roll_out),
    "mixed-pages": Plan(1, None, _mixed_pages),
    "frozen-leaving": Plan(1, None, _frozen_leaving),
    "reused-addresses": Plan(1, None, _reused_addresses),
    "changed-settings": Plan(1, None, _changed_settings),
    "bursts": Plan(1, None, _bursts),
    "bursts-forgotten": Plan(1, None, _bursts_forgotten),
    "bursts-turned-away": Plan(1, None, _bursts_turned_away),
    "deaf": Plan(1, None, _changes, Loss(0.0, 0.0, deaf=(2, 5, 7))),
    "deaf-turned-away": Plan(1, None, _turned_away, Loss(0.0, 0.0, deaf=(2, 5, 7))),
    "storm": Plan(1, None, _storm),
    "storm-spoiled": Plan(1, None, _storm_spoiled),
    # One seed that hears no other and that the store turns away.
    "isolated": Plan(1, None, _changes, Loss(0.0, 0.0, isolated=(2,))),
    "isolated-turned-away": Plan(1, None, _first_turned_away, Loss(0.0, 0.0, isolated=(2,))),
}

# Histories near each other: the store of the first fleet counts from 1000.
NEAR_REVISIONS = (964, 999, 1000, 1001, 1036, 1100, 1300, 3000, 6000)
DISTANCES = {"1-less": -1, "36-less": -36, "300-less": -300, "400-less": -400, "1-more": 1,
             "36-more": 36, "300-more": 300, "5000-more": 5000}
for _version, _suffix in ((secondfleet.VERSION, ""), (40, "-low-version")):
    for _revision in NEAR_REVISIONS:
        PLANS[f"second-fleet-from-{_revision}{_suffix}"] = Plan(
            1, None, _near_second_fleet(_revision, _version))
        for _count in (1, 2, 3, 5):
            PLANS[f"survivors-{_count}-from-{_revision}{_suffix}"] = Plan(
                1, None, _changes, prelude=_leave_survivors(_count, _revision, _version))
for _name, _distance in DISTANCES.items():
    PLANS[f"exchanged-store-{_name}"] = Plan(1, None, _exchanged_store(_distance))
    PLANS[f"exchanged-store-{_name}-turned-away"] = Plan(
        1, None, _exchanged_store_turned_away(_distance))
