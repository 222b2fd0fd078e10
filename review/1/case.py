"""An order on an open flow goes to an upstream that does not hold the flow.

The first SYN+ACK of a flow is lost, so two upstreams answer its opening. The
caller takes one of the two; the other repeats its SYN+ACK for 9.4 s. Then the
caller pauses for less than IdleTimeoutMs and sends its next order.

ANSWER_STRAYS=1 runs the variant in which callers acknowledge a SYN+ACK that
they did not take, as TCP does; the flow is then idle from the last of these.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import lab as standin  # noqa: E402

HOST, PORT, BROWSE_PORT = "198.18.0.1", 444, 443
FLOWS = 12
STRAYS = os.environ.get("ANSWER_STRAYS", "0") != "0"
# Idle time is 11.6 s at most: below the 12 s after which upstreams of the
# sites close idle connections, and below IdleTimeoutMs.
PAUSE_S = 21.0 if STRAYS else 11.6
BUDGET_S = 1.0  # of an order on the site


async def one_flow(lab, caller, number, trouble, results):
    flow = caller.new_flow(HOST, PORT, f"order-{number}",
                           lose_syn_acks=1 if trouble else 0,
                           answers_strays=STRAYS)
    if not await flow.open():
        results["not opened"] += 1
        flow.close()
        return
    if not await flow.request(f"order-{number}-first", BUDGET_S):
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
        ("browse", HOST, BROWSE_PORT, "safe", "shop", 800, 120),
        ("order", HOST, PORT, "unsafe", "shop", 1000, 150)]))
    await lab.start_all(2, [("shop", "zv-a")] * 6)
    caller = standin.Caller(lab, 1, "zv-a")
    await caller.open()
    served = [0, 0]
    lab.spawn(standin.background(lab, caller, HOST, BROWSE_PORT, 8, served))
    await asyncio.sleep(standin.STABLE_WINDOW_S + 1)
    results = dict.fromkeys(["not opened", "first order not answered",
                             "second order answered", "second order lost",
                             "second order run, not answered"], 0)
    flows = []
    for number in range(FLOWS):
        flows.append(lab.spawn(one_flow(lab, caller, number, trouble,
                                        results)))
        await asyncio.sleep(0.37)
    await asyncio.gather(*flows)
    lab.note(f"flows: {results}")
    lab.note(f"other requests: {served[0]} asked, {served[1]} answered")
    if results["second order answered"] + results["second order lost"] == 0:
        raise RuntimeError("no flow came as far as its second order")


standin.main(FOLDER, case)
