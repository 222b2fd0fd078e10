"""An acknowledgement moves a flow to an upstream that does not hold it.

The first SYN+ACK of a flow is lost, so two upstreams answer its opening. The
caller takes one; the other repeats its SYN+ACK. If one of these arrives between
an answer and its delayed acknowledgement, the acknowledgement carries the wrong
token, and the instance takes it for the proof that the flow is there.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import lab as standin  # noqa: E402

HOST, PORT, BROWSE_PORT = "198.18.0.1", 444, 443
FLOWS = 24
# No order for StableWindowMs after the lost datagram but the first, so that it
# excuses nothing; then orders follow each other until REQUESTS_S.
PAUSE_S = 4.1
REQUESTS_S = 11.0
THINK_S = (0.1, 0.4)
ACK_DELAY_S = 0.04
BUDGET_S = 3.0


async def one_flow(lab, caller, number, trouble, results):
    flow = caller.new_flow(HOST, PORT, f"order-{number}",
                           lose_syn_acks=1 if trouble else 0,
                           ack_delay_s=ACK_DELAY_S)
    start = lab.now()
    answered = await flow.open()
    if not answered:
        results["not opened"] += 1
        return
    sent = 1
    answered = await flow.request(f"order-{number}-1", BUDGET_S)
    await asyncio.sleep(PAUSE_S)
    while answered and lab.now() - start < REQUESTS_S:
        sent += 1
        answered = await flow.request(f"order-{number}-{sent}", BUDGET_S)
        await asyncio.sleep(lab.rand.uniform(*THINK_S))
    flow.end_time = lab.now()
    flow.check_misrouted()
    results["requests"] += sent
    results["flows served to the end" if answered else "flows lost"] += 1
    flow.close()


async def case(lab, trouble):
    lab.store.put_json("op/config", standin.routes_document(7, [
        ("browse", HOST, BROWSE_PORT, "safe", "shop", 2500, 250),
        ("order", HOST, PORT, "unsafe", "shop", 3000, 300)]))
    await lab.start_all(2, [("shop", "zv-a")] * 6)
    caller = standin.Caller(lab, 1, "zv-a")
    await caller.open()
    served = [0, 0]
    lab.spawn(standin.background(lab, caller, HOST, BROWSE_PORT, 4, served))
    await asyncio.sleep(standin.STABLE_WINDOW_S + 1)
    results = dict.fromkeys(["not opened", "requests",
                             "flows served to the end", "flows lost"], 0)
    flows = []
    for number in range(FLOWS):
        flows.append(lab.spawn(one_flow(lab, caller, number, trouble,
                                        results)))
        await asyncio.sleep(0.8)
    await asyncio.gather(*flows)
    lab.note(f"flows: {results}")
    lab.note(f"other requests: {served[0]} asked, {served[1]} answered")
    if results["requests"] == 0:
        raise RuntimeError("no flow came as far as a request")


standin.main(FOLDER, case)
