#!/usr/bin/python3
"""Runs a deployment as real processes on the platform's protocol and judges the pages' rules.

    experiments/realprocesses.py --plan parts-4 --first 1 --seeds 5 --seconds 40

Exits with 3 if the rig failed, 1 if a rule was broken, 2 if a run could not be judged, 0 otherwise. A run ends within
the length of its traffic and 100 s; what is overdue then is cancelled, and it is not judged.
"""

import argparse
import asyncio
import json
import logging
import os
import pathlib
import random
import shutil
import sys
import threading
import time

from realfleet import judges
from realfleet.callers import Callers
from realfleet.deployment import DEPLOYMENTS
from realfleet.faults import Faults
from realfleet.fleet import Fleet
from realfleet.limits import NotJudged, RunFailed, within
from realfleet.plans import PLANS
from realfleet.store import COUNTINGS

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_JUDGED, FAILED = 0, 1, 2, 3
# Stand-ins that are this late say nothing about the instances.
LONGEST_LAG_SECONDS = 0.25
SHOWN_CASES = 5
# Beside the length of the traffic. With what `Fleet.stop` may take and the judges, they stay
# within the limit that is stated above.
START_LIMIT_SECONDS = 45
ANSWERS_LIMIT_SECONDS = 20
WATCH_MARGIN_SECONDS = 5


async def run_seed(options, seed):
    plan = PLANS[options.plan]
    fleet = Fleet(DEPLOYMENTS[options.deployment], seed, options.program, plan.parts, plan.loss,
                  options.counting)
    fleet.second_program = options.second_program or options.program
    fleet.next_program = options.next_program or options.program
    fleet.prelude = plan.prelude
    # Without the processes nothing keeps the event loop from its other limits.
    watch = threading.Timer(START_LIMIT_SECONDS + options.seconds + ANSWERS_LIMIT_SECONDS +
                            WATCH_MARGIN_SECONDS, fleet.end_processes)
    watch.daemon = True
    watch.start()
    try:
        begin, error = await play(options, seed, fleet)
        return report(options, seed, fleet, judge(fleet), begin, error)
    finally:
        watch.cancel()
        await fleet.stop()
        if not options.keep:
            shutil.rmtree(fleet.folder, ignore_errors=True)


async def play(options, seed, fleet):
    """Returns when the traffic began, and the error that keeps the run from a verdict, or None."""
    begin = time.monotonic()
    try:
        await within(START_LIMIT_SECONDS, "the start", fleet.start())
        begin = time.monotonic()
        await within(options.seconds + ANSWERS_LIMIT_SECONDS, "the traffic",
                     play_traffic(options, seed, fleet))
        check_stand_ins(fleet)
    except NotJudged as error:
        return begin, error
    except OSError as error:
        return begin, RunFailed(str(error))
    return begin, None


async def play_traffic(options, seed, fleet):
    plan = PLANS[options.plan]
    callers = Callers(fleet.deployment, fleet.instances, fleet.routes, fleet.record,
                      random.Random(f"{seed}/callers"), options.rate, plan.repeats)
    for fault in plan.set_up(Faults(fleet, random.Random(f"{seed}/faults"))):
        fleet.run(fault)
    await callers.run(options.seconds)


def check_stand_ins(fleet):
    fleet.check_tasks()
    lag = fleet.record.worst_lag
    if lag > LONGEST_LAG_SECONDS:
        raise NotJudged(f"the stand-ins were {lag:.3f} s late")
    lag = fleet.store_probe.worst_lag()
    if lag > LONGEST_LAG_SECONDS:
        raise NotJudged(f"the stand-in of the store was {lag:.3f} s late")


def judge(fleet):
    record, deployment, instances = fleet.record, fleet.deployment, fleet.instances
    record.leave_out_replaced()
    return [judges.judge_budget(record, deployment, fleet.routes),
            judges.judge_drain(record, deployment, instances, fleet.store),
            judges.judge_evacuation(record, deployment, instances, fleet.store),
            judges.judge_lapsed(record, deployment, instances),
            judges.judge_denied(record, deployment, fleet.routes),
            judges.judge_configuration(record, deployment, instances, fleet.routes, fleet.store),
            judges.judge_downgrade(record, deployment, instances, fleet.routes),
            judges.judge_lost(record, deployment, instances),
            judges.judge_memory(instances),
            judges.judge_foreign(record, [(instances, fleet.routes)] + [
                (each.instances, each.routes) for each in fleet.others if each.is_judged])]


def report(options, seed, fleet, verdicts, begin, error):
    """Prints the line of a run, with the reason if it is not judged. Returns the exit code."""
    record = fleet.record
    statuses = [each["status"] for each in record.requests.values()]
    served = sum(1 for each in statuses if each == 200)
    line = {"plan": options.plan, "counting": options.counting,
            "deployment": options.deployment, "seed": seed,
            "seconds": options.seconds, "program": options.label or options.program, "requests": len(statuses), "served": served,
            "worst_lag_ms": round(record.worst_lag * 1000),
            "store_lag_ms": round(fleet.store_probe.worst_lag() * 1000),
            "store_calls": fleet.store.calls,
            "ratios": {each.rule: round(each.ratio, 2) for each in verdicts}}
    line["processor_s"] = round(sum(each.processor_seconds() for each in fleet.instances
                                    if each.is_running), 1)
    line["peak_mb"] = round(max(each.peak_megabytes for each in fleet.instances))
    line.update(record.notes)
    broken = [each for each in verdicts if each.is_broken]
    if error:
        line.update(verdict="not judged", reason=str(error))
    else:
        line["verdict"] = ("broken: " + ", ".join(each.rule for each in broken) if broken
                           else "held")
    print(json.dumps(line), flush=True)
    for verdict in broken:
        print(f"  {verdict.rule}: {len(verdict.cases)} cases, at "
              f"{len({case[3] for case in verdict.cases})}; logs in {fleet.folder}")
        for case in verdict.cases[:SHOWN_CASES]:
            print("   ", f"+{case[0] - begin:.3f}", *case[1:])
    if broken:
        print(f"  again: experiments/realprocesses.py --plan {options.plan} --deployment "
              f"{options.deployment} --counting {options.counting} --first {seed} --seconds {options.seconds:g}", flush=True)
    if error:
        return FAILED if isinstance(error, RunFailed) else NOT_JUDGED
    return BROKEN if broken else HELD


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--plan", choices=sorted(PLANS), required=True)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="small")
    parser.add_argument("--counting", choices=COUNTINGS, default="ones",
                        help="how the store's revision goes up")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="the number of seeds")
    parser.add_argument("--seconds", type=float, default=40, help="the length of the traffic")
    parser.add_argument("--rate", type=float, default=1.0, help="factor of the traffic")
    parser.add_argument("--keep", action="store_true", help="keep the logs of all processes")
    parser.add_argument("--label", help="names the program in the line of a run")
    parser.add_argument("--second-program",
                        help="the program of a second fleet, if not the one under test")
    parser.add_argument("--next-program",
                        help="the program that a roll-out starts, if not the one under test")
    parser.add_argument("--program", default=str(ROOT / "target" / "bin" / "cranberryspool"))
    options = parser.parse_args()
    # The stand-ins' own connections break off on purpose.
    for name in ("aiohttp.server", "asyncio"):
        logging.getLogger(name).setLevel(logging.CRITICAL)
    if not os.access(options.program, os.X_OK):
        parser.error(f"{options.program} is missing: run the build of deploy/system.toml first")
    codes = [asyncio.run(run_seed(options, seed))
             for seed in range(options.first, options.first + options.seeds)]
    sys.exit(next(code for code in (FAILED, BROKEN, NOT_JUDGED, HELD) if code in codes))


if __name__ == "__main__":
    main()
