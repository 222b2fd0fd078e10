/* Decides how much of a service's new flows leaves the data centre.
 *
 * Flows leave if the local upstreams' utilisation, computed from rates of new
 * flows, makes waiting there cost more than the path to another data centre.
 * One controller for each service; it owns no memory. No I/O or clock: times
 * and the load are passed in. Times are in ms, rates per second. */
#ifndef RG_BALANCE_LOCALITY_H
#define RG_BALANCE_LOCALITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Other data centres that flows are sent to on purpose; those beyond get flows
 * by cost only. */
#define RG_LOCALITY_REMOTES_MAX 20
/* Interval between two calls of rg_locality_step(). */
#define RG_LOCALITY_STEP_MS 250

/* Why the share is what it is. */
enum rg_locality_reason {
    RG_LOCALITY_ENOUGH,      /* the local capacity suffices */
    RG_LOCALITY_CAPACITY,    /* local upstreams are too busy */
    RG_LOCALITY_NO_LOCAL,    /* no local upstream is usable */
    RG_LOCALITY_REMOTE_FULL, /* they are too busy, but so are the others */
    RG_LOCALITY_NO_REMOTE,   /* no upstream elsewhere is usable */
};

/* What is known of another data centre. */
struct rg_locality_remote {
    const void *data_centre; /* borrowed; NULL: free entry */
    double slots;            /* usable for new flows */
    double room;             /* 0 to 1; falls while answers are late */
    double opening_ms;       /* moving average, 0: none yet */
    double wait_ms;          /* moving average of the time at upstreams */
    double answers;          /* recent ones, decaying; weight of wait_ms */
    double credit;           /* flows it is due */
    uint32_t evaluated;      /* answers since the last evaluation of `room` */
    uint32_t bad;            /* of these, late or shed */
};

/* Zero-initialised nothing leaves. */
struct rg_locality {
    struct rg_locality_remote remotes[RG_LOCALITY_REMOTES_MAX];
    double share;  /* of new flows that is sent out on purpose, 0 to 1 */
    double credit; /* flows due to leave */
    enum rg_locality_reason reason;
    double utilisation;        /* of the local slots if no flow left */
    double remote_utilisation; /* of the others, without flows from here */
    double leave_at;           /* utilisation from which on flows leave */
    double remote_cost;        /* see rg_locality_remote_cost() */
    /* Moving averages. */
    double work_ms;          /* of a request, without waiting */
    double waited_ms;        /* sum of the time at local upstreams, decaying */
    double answers;          /* number of these, decaying */
    double opening_ms;       /* of openings to local upstreams */
    double bytes;            /* of an answer */
    double bad_share;        /* of local answers that were late or shed */
    double rate;             /* of new flows of the service here */
    double service_openings; /* new flows of the service here, for each step */
    double all_openings;     /* of all services */
    double evenness;         /* flows of this instance relative to the mean of
                                its data centre */
    uint32_t openings;       /* since the last step */
    uint32_t steps;          /* made, up to a limit */
    uint64_t own_openings;   /* counter at the last step */
};

/* An opening that an upstream has answered after `ms`. `data_centre` is NULL
 * for the local one. */
void rg_locality_opened(struct rg_locality *l, const void *data_centre,
                        double ms);

struct rg_locality_answer {
    const void *data_centre; /* NULL: the local one */
    double ms;               /* from the request to its answer */
    double bytes;
    bool late; /* beyond its latency target */
    bool shed; /* looks like an error or a refusal */
};
void rg_locality_answered(struct rg_locality *l,
                          const struct rg_locality_answer *answer);

/* Load of a service's upstreams as of now. */
struct rg_locality_load {
    double local_slots;     /* usable for new flows */
    double mean_slots;      /* of one upstream */
    size_t local_instances; /* this one included */
    uint64_t own_openings;  /* counter of this instance's, all services */
    /* New flows per second of all services: of this instance, of its data
     * centre, and of all others; 0: not known. */
    double own_rate;
    double local_rate;
    double remote_rate;
};

/* Sets the usable slots of another data centre; call it for each before a
 * step. Those that are not mentioned have none. */
void rg_locality_clear_slots(struct rg_locality *l);
void rg_locality_add_slots(struct rg_locality *l, const void *data_centre,
                           double slots);

/* Does a step without a decision, if the service has got so few flows lately
 * that it needs none; false if it does. Most services of a large configuration
 * are idle at any one instance. */
bool rg_locality_skip_idle(struct rg_locality *l, uint64_t own_openings);

/* Updates the decision. Call it every RG_LOCALITY_STEP_MS, unless the step is
 * skipped. */
void rg_locality_step(struct rg_locality *l,
                      const struct rg_locality_load *load);

/* Counts a new flow. Returns the data centre that it must be sent to, NULL if
 * the choice is free. */
const void *rg_locality_opening(struct rg_locality *l);

/* Additional cost of an upstream elsewhere, in requests queued ahead. */
double rg_locality_remote_cost(const struct rg_locality *l);

/* The reason in a word, for logs. */
const char *rg_locality_reason_text(enum rg_locality_reason reason);

#endif
