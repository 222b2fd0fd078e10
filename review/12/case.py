"""Consumers with open flows move between zones while requests run."""

import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
from lab import Lab, run_case  # noqa: E402

ZONES = ("zone-a", "zone-b")
SHIFTS = 15
SHIFT_SHARE = 0.6
SHIFT_S = 3.0
PAUSE_S = 2.5
FLOWS_PER_S = 1250
LONG_SHARE = 0.1
LONG_REQUESTS = 3


def create():
    return Lab(zones=ZONES, edges_per_zone=3, hosts_per_zone=70, slots=8,
               consumers_per_zone=20, work_s=work, budget_s=1.5,
               timeout_ms=1500, target_ms=250, pause_s=pause)


def work():
    """Seconds that a request takes at its host."""
    return random.uniform(0.05, 0.07)


def pause():
    """Seconds between two requests of a flow."""
    return random.uniform(2.0, 4.0)


def requests():
    return LONG_REQUESTS if random.random() < LONG_SHARE else 1


def shift(lab, source, target):
    home = [c for c in lab.consumers if c.home == source]
    moved = lab.rand.sample(home, int(len(home) * SHIFT_SHARE))
    lab.note("%d of %d consumers of %s move to %s" % (
        len(moved), len(home), source, target))
    for c in moved:
        c.zone = target
    lab.after(SHIFT_S, shift_back, lab, moved)


def shift_back(lab, moved):
    lab.note("they move back")
    for c in moved:
        c.zone = c.home


def play(lab, trouble):
    lab.traffic(FLOWS_PER_S, requests)
    lab.run(10)
    for i in range(SHIFTS):
        if trouble:
            shift(lab, ZONES[i % 2], ZONES[1 - i % 2])
        lab.run(SHIFT_S + PAUSE_S)


run_case(HERE, "shift of consumers with open flows", create, play)
