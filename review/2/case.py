"""A planned stop of an instance sends orders to upstreams that do not hold
their flows.

The first SYN+ACK of a flow is lost, so two upstreams answer its opening. Then
the instance that tracks the flow is stopped and started again, as planned
work, and the routers hand its flows to the other instance, which knows only
the token that the caller received last.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import lab as standin  # noqa: E402

HOST, PORT, BROWSE_PORT = "198.18.0.1", 444, 443
FLOWS = 16
PAUSE_S = 6.0
BUDGET_S = 3.0
RESTART_S = 0.15
# Each disruption can be left out on its own, to see what it contributes.
LOSS = os.environ.get("LOSS", "1") != "0"
STOP = os.environ.get("STOP", "1") != "0"


async def one_flow(lab, caller, number, trouble, results):
    flow = caller.new_flow(HOST, PORT, f"order-{number}",
                           lose_syn_acks=1 if trouble and LOSS else 0)
    opened = await flow.open()
    if not opened or not await flow.request(f"order-{number}-first",
                                            BUDGET_S):
        results["first order not answered"] += 1
        flow.close()
        return
    answered = False
    await asyncio.sleep(PAUSE_S)
    if not flow.dead:
        answered = await flow.request(f"order-{number}-second", BUDGET_S)
    flow.end_time = lab.now()
    flow.check_misrouted()
    ran = any(f"order-{number}-second" in u.ran for u in lab.upstreams)
    results["second order answered" if answered else
            "second order lost" if not ran else
            "second order run, not answered"] += 1
    flow.close()


async def case(lab, trouble):
    lab.store.put_json("op/config", standin.routes_document(7, [
        ("browse", HOST, BROWSE_PORT, "safe", "shop", 2500, 250),
        ("order", HOST, PORT, "unsafe", "shop", 3000, 300)]))
    await lab.start_all(2, [("shop", "zv-a")] * 6)
    caller = standin.Caller(lab, 1, "zv-a")
    await caller.open()
    served = [0, 0]
    lab.spawn(standin.background(lab, caller, HOST, BROWSE_PORT, 8, served))
    await asyncio.sleep(standin.STABLE_WINDOW_S + 1)
    results = dict.fromkeys(["first order not answered",
                             "second order answered", "second order lost",
                             "second order run, not answered"], 0)
    flows = []
    for number in range(FLOWS):
        flows.append(lab.spawn(one_flow(lab, caller, number, trouble,
                                        results)))
        await asyncio.sleep(0.2)
    if trouble and STOP:
        stopped = lab.edges[0]
        stopped.signal(signal.SIGTERM)
        await asyncio.wait_for(stopped.wait_end(), standin.GRACE_S)
        await asyncio.sleep(RESTART_S)
        stopped.launch()
    await asyncio.gather(*flows)
    lab.note(f"flows: {results}")
    lab.note(f"other requests: {served[0]} asked, {served[1]} answered")
    if results["second order answered"] + results["second order lost"] == 0:
        raise RuntimeError("no flow came as far as its second order")


standin.main(FOLDER, case)
