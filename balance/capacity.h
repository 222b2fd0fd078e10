/* What a service's upstreams can do, and how much of it one instance may use.
 *
 * Work is counted in ms that a slot is occupied. The instance may send as much
 * of it as its share of the usable slots can do: a token bucket that openings
 * take from, so that a burst is limited before its answers are late. More
 * important classes take first; requests on open flows, which cannot be
 * refused, reduce what is left for openings of the same or a lower importance.
 *
 * The time that a request of a class occupies a slot is learned from answers
 * while the instance is far from its limit. Near the limit, answers include
 * waiting in queues, so the estimate only falls; shed requests lower the limit
 * instead. One for each service. No I/O; one owner; the time is passed in. */
#ifndef RG_BALANCE_CAPACITY_H
#define RG_BALANCE_CAPACITY_H

#include <stdbool.h>
#include <stdint.h>

/* Distinct priorities, 0 the highest; greater values count as the last one. */
#define RG_CAPACITY_CLASSES 8

struct rg_capacity_class {
    double work_ms; /* mean time that a request occupies a slot, 0: unknown */
    double window_ms;      /* sum of the present window's answers */
    uint32_t window_count; /* number of these */
    uint64_t window_since_ms;
    double opened_ms;    /* work of all openings since the last tick */
    double requested_ms; /* work of later requests on open flows since then */
    double openings;     /* moving averages of both, slots occupied */
    double requests;
    uint32_t waiting; /* openings that wait for room; kept by the user */
};

/* Zero-initialised it has no limit. */
struct rg_capacity {
    bool active; /* ticks are needed: there is or was demand */
    struct rg_capacity_class classes[RG_CAPACITY_CLASSES];
    double work_ms;       /* mean of all classes, 0: unknown */
    double slots;         /* this instance's share of the usable ones */
    double factor;        /* of these that may be used, 0: not yet set */
    double ticked_factor; /* at the last tick */
    double rate;          /* slots that may be occupied by openings */
    double level;         /* work that may be sent now, ms */
    double demand;        /* share of the limit that is asked for */
    uint64_t filled_ms;   /* when `level` was last brought up to date */
    uint64_t limited_ms;  /* when an opening last found no room, 0: never */
};

uint32_t rg_capacity_class_of(uint32_t priority);

/* A request of this class was answered after `ms` at its upstream. */
void rg_capacity_answered(struct rg_capacity *c, uint32_t class, double ms);

/* True from a demand on that is close to the limit. Below it, short answers
 * are errors. */
bool rg_capacity_is_near_limit(const struct rg_capacity *c);

/* A request was shed: the limit is too high. Call it near the limit only. */
void rg_capacity_shed(struct rg_capacity *c);

/* Call after `ms` have passed. `slots`: this instance's share of the slots of
 * upstreams that respond. */
void rg_capacity_tick(struct rg_capacity *c, double slots, uint32_t ms,
                      uint64_t now_ms);

/* Counts an opening of this class, admitted or not. */
void rg_capacity_count_opening(struct rg_capacity *c, uint32_t class);

/* Takes room for an opening; false if there is none. */
bool rg_capacity_take(struct rg_capacity *c, uint32_t class, uint64_t now_ms);

/* The same for what is sent in any case: a copy of an opening, a test of an
 * upstream. */
void rg_capacity_charge(struct rg_capacity *c, uint32_t class,
                        uint64_t now_ms);

/* Gives back room for an opening that went to an upstream whose slots are not
 * counted. */
void rg_capacity_refund(struct rg_capacity *c, uint32_t class);

/* A request follows on an open flow. */
void rg_capacity_request(struct rg_capacity *c, uint32_t class);

/* Time until an opening of this class that starts to wait now finds room,
 * INFINITY: never. */
double rg_capacity_wait_ms(struct rg_capacity *c, uint32_t class,
                           uint64_t now_ms);

/* Openings a second of mean work that the limit in force permits; INFINITY
 * while nothing is known. */
double rg_capacity_per_s(const struct rg_capacity *c);

/* True if an opening found no room within the last second. */
bool rg_capacity_is_limiting(const struct rg_capacity *c, uint64_t now_ms);

#endif
