#!/usr/bin/python3
"""Runs a deployment as real processes on the platform's protocol and judges the pages' rules.

    experiments/realprocesses.py --plan parts-4 --first 1 --seeds 5 --seconds 40

Exits with 1 if a rule was broken, 2 if a run could not be judged, 0 otherwise.
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
import time

from realfleet import judges
from realfleet.callers import Callers
from realfleet.deployment import DEPLOYMENTS
from realfleet.fleet import Fleet, NotReady
from realfleet.plans import PLANS, Faults

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_JUDGED = 0, 1, 2
# Stand-ins that are this late say nothing about the instances.
LONGEST_LAG_SECONDS = 0.25
SHOWN_CASES = 5


async def run_seed(options, seed):
    deployment = DEPLOYMENTS[options.deployment]
    parts, repeats, make_faults = PLANS[options.plan]
    fleet = Fleet(deployment, seed, options.program, parts)
    try:
        await fleet.start()
        callers = Callers(deployment, fleet.instances, fleet.routes, fleet.record,
                          random.Random(f"{seed}/callers"), options.rate, repeats)
        faults = Faults(fleet, random.Random(f"{seed}/faults"))
        begin = time.monotonic()
        for fault in make_faults(faults):
            fleet.run(fault)
        await callers.run(options.seconds)
        verdicts = [judges.judge_budget(fleet.record, deployment, fleet.routes),
                    judges.judge_drain(fleet.record, deployment, fleet.instances, fleet.store),
                    judges.judge_denied(fleet.record, deployment),
                    judges.judge_configuration(fleet.record, deployment, fleet.instances,
                                               fleet.routes, fleet.store),
                    judges.judge_lost(fleet.record, deployment, fleet.instances),
                    judges.judge_memory(fleet.instances)]
        return report(options, seed, fleet, verdicts, begin)
    finally:
        await fleet.stop()
        if not options.keep:
            shutil.rmtree(fleet.folder, ignore_errors=True)


def report(options, seed, fleet, verdicts, begin):
    record = fleet.record
    statuses = [each["status"] for each in record.requests.values()]
    served = sum(1 for each in statuses if each == 200)
    line = {"plan": options.plan, "seed": seed, "requests": len(statuses), "served": served,
            "worst_lag_ms": round(record.worst_lag * 1000), "store_calls": fleet.store.calls,
            "ratios": {each.rule: round(each.ratio, 2) for each in verdicts}}
    line["processor_s"] = round(sum(each.processor_seconds() for each in fleet.instances
                                    if each.is_running), 1)
    line["peak_mb"] = round(max(each.peak_megabytes for each in fleet.instances))
    line.update(record.notes)
    is_judged = record.worst_lag <= LONGEST_LAG_SECONDS
    broken = [each for each in verdicts if each.is_broken]
    line["verdict"] = ("not judged" if not is_judged else
                       "broken: " + ", ".join(each.rule for each in broken) if broken else "held")
    print(json.dumps(line), flush=True)
    for verdict in broken:
        print(f"  {verdict.rule}: {len(verdict.cases)} cases, at "
              f"{len({case[3] for case in verdict.cases})}; logs in {fleet.folder}")
        for case in verdict.cases[:SHOWN_CASES]:
            print("   ", f"+{case[0] - begin:.3f}", *case[1:])
    if broken:
        print(f"  again: experiments/realprocesses.py --plan {options.plan} --first {seed} "
              f"--seconds {options.seconds:g}", flush=True)
    return NOT_JUDGED if not is_judged else BROKEN if broken else HELD


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--plan", choices=sorted(PLANS), required=True)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="small")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="the number of seeds")
    parser.add_argument("--seconds", type=float, default=40, help="the length of the traffic")
    parser.add_argument("--rate", type=float, default=1.0, help="factor of the traffic")
    parser.add_argument("--keep", action="store_true", help="keep the logs of all processes")
    parser.add_argument("--program", default=str(ROOT / "target" / "bin" / "cranberryspool"))
    options = parser.parse_args()
    # The stand-ins' own connections break off on purpose.
    for name in ("aiohttp.server", "asyncio"):
        logging.getLogger(name).setLevel(logging.CRITICAL)
    if not os.access(options.program, os.X_OK):
        parser.error(f"{options.program} is missing: run the build of deploy/system.toml first")
    codes = [play(options, seed) for seed in range(options.first, options.first + options.seeds)]
    sys.exit(BROKEN if BROKEN in codes else max(codes))


def play(options, seed):
    try:
        return asyncio.run(run_seed(options, seed))
    except NotReady as error:
        print(f"seed {seed}: not judged: {error}", file=sys.stderr)
        return NOT_JUDGED


if __name__ == "__main__":
    main()
