"""One of four entries and two of six agents are cut off from the store and from
nothing else; a zone is evacuated meanwhile. Agents that are not cut off must
start nothing in it later than evacuate_ms."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig"))
from rig import main  # noqa: E402

EVACUATE_S = 5.0
ENTRY_CUT_S = 7.5
AGENT_CUT_S = 5.5
EVACUATED_S = 7.0
ROUNDS = 9
# contact_ms, so that the cut machines are in touch again before the next round.
PAUSE_S = 3.0


async def play_round(rig, trouble, number):
    # A runner of the evacuated zone whose agent is never cut off.
    runner = rig.runners[0]
    others = [1 + (number + i) % (len(rig.agents) - 1) for i in range(2)]
    agents = [rig.proxies["agent-%d" % i] for i in others]
    entry = rig.proxies["entry-0"]
    if trouble:
        rig.record("entry-0, agent-%d and agent-%d are cut off from the store" % tuple(others))
        for proxy in agents + [entry]:
            proxy.cut(True)
    began = time.monotonic()
    await asyncio.sleep(0.05)
    rig.store.put("op/evacuate/" + runner.zone, "{}")
    acknowledged = time.monotonic()
    rig.record("the evacuation of %s is acknowledged" % runner.zone)
    await asyncio.sleep(began + AGENT_CUT_S - time.monotonic())
    for proxy in agents:
        proxy.cut(False)
    await asyncio.sleep(acknowledged + EVACUATED_S - time.monotonic())
    taken_back = time.monotonic()
    rig.store.remove("op/evacuate/" + runner.zone)
    rig.record("%s is taken back" % runner.zone)
    await asyncio.sleep(began + ENTRY_CUT_S - time.monotonic())
    entry.cut(False)
    rig.record("all reach the store again")
    await asyncio.sleep(PAUSE_S)
    return [run for run in runner.history if acknowledged + EVACUATE_S < run.began < taken_back], acknowledged


async def case(rig, trouble):
    is_over = False

    async def client(entry):
        while not is_over:
            await rig.submit(entry, 100, tasks=12, cpu=3000)
            await asyncio.sleep(0.05)

    clients = [asyncio.ensure_future(client(entry)) for entry in rig.entries for _ in range(3)]
    await asyncio.sleep(3.5)
    broken = []
    for number in range(ROUNDS):
        late, acknowledged = await play_round(rig, trouble, number)
        if late:
            broken.append(
                "EVAC: round %d: %d tasks start in the zone more than evacuate_ms after its evacuation was"
                " acknowledged, the last %.1f s after"
                % (number + 1, len(late), max(run.began for run in late) - acknowledged)
            )
            break
    is_over = True
    await asyncio.gather(*clients)
    return broken


main(case, os.path.join(HERE, "record.txt"), entries=4, agents=6, has_proxies=True)
