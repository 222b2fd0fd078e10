"""Consumers move between zones while their flows are being opened."""

import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
from lab import Lab, run_case  # noqa: E402

ZONES = ("zone-a", "zone-b")
SHIFTS = 17
SHIFT_SHARE = 0.5
SHIFT_S = 2.5
PAUSE_S = 2.5
# Occasional loss of datagrams; the same with TROUBLE=0.
LOSS = 0.01


def create():
    return Lab(zones=ZONES, edges_per_zone=3, hosts_per_zone=80, slots=8,
               consumers_per_zone=8, work_s=work, budget_s=4.0,
               timeout_ms=4000, target_ms=600, loss=LOSS,
               route_type="unsafe")


def work():
    """Seconds that a request takes at its host."""
    return random.uniform(0.3, 0.6)


def shift(lab, source, target):
    home = [c for c in lab.consumers if c.home == source]
    moved = lab.rand.sample(home, int(len(home) * SHIFT_SHARE))
    lab.note("half of the consumers of %s move to %s" % (source, target))
    for c in moved:
        c.zone = target
    lab.after(SHIFT_S, shift_back, lab, moved)


def shift_back(lab, moved):
    lab.note("they move back")
    for c in moved:
        c.zone = c.home


def play(lab, trouble):
    lab.traffic(600, lambda: 1)
    lab.run(8)
    for i in range(SHIFTS):
        if trouble:
            shift(lab, ZONES[i % 2], ZONES[1 - i % 2])
        lab.run(SHIFT_S + PAUSE_S)


run_case(HERE, "shift of consumers", create, play)
