/* Evacuations of data centres: operators request that no new flows go to the
 * upstreams of a data centre, and later lift that.
 *
 * One record for each data centre, ordered by the revision of the store; an
 * older change is ignored. A lifted evacuation stays known, so that an older
 * message does not bring it back. After the lift new flows return in steps. No
 * I/O; the time is passed in. */
#ifndef RG_BALANCE_EVACUATION_H
#define RG_BALANCE_EVACUATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/log.h"
#include "common/str.h"

/* Record of a data centre. */
struct rg_evacuation {
    struct rg_name data_centre;
    uint64_t revision; /* at which it was last requested or lifted, 0: never */
    uint64_t since_ms; /* when this instance, or the peer that told it, learnt
                          of that */
    uint32_t listing;  /* number of the last listing that contained it */
    bool in_force;
    bool returning;     /* new flows are held back after the lift */
    bool has_upstreams; /* an upstream of this data centre has been known */
};

/* A change: a request if `in_force`, else a lift. */
struct rg_evacuation_change {
    struct rg_name data_centre;
    uint64_t revision;
    bool in_force;
    uint32_t age_ms; /* time since it became known to whoever tells it */
};

struct rg_evacuations;

/* `log` is borrowed; NULL: no log. */
struct rg_evacuations *rg_evacuations_create(const struct rg_log *log);
void rg_evacuations_destroy(struct rg_evacuations *x);

/* Record of a data centre that has upstreams; owned by `x`, valid as long. */
const struct rg_evacuation *
rg_evacuations_of_upstreams(struct rg_evacuations *x,
                            const struct rg_name *data_centre);

/* Takes over a change that the store reports. */
void rg_evacuations_update(struct rg_evacuations *x,
                           const struct rg_evacuation_change *change,
                           uint64_t now_ms);

/* Applies a complete listing of the store as of `revision`. Evacuations that
 * were not updated between the two calls and were requested by then are
 * lifted; none with a revision of 0, for a listing that may be older than what
 * is known. */
void rg_evacuations_begin_listing(struct rg_evacuations *x);
void rg_evacuations_end_listing(struct rg_evacuations *x, uint64_t revision,
                                uint64_t now_ms);

/* Applies all records of a peer whose view is at `revision`: evacuations that
 * it lacks and that were requested by then are lifted; none with a revision of
 * 0, as above. */
void rg_evacuations_apply_all(struct rg_evacuations *x,
                              const struct rg_evacuation_change *changes,
                              size_t count, uint64_t revision,
                              uint64_t now_ms);

/* Changes may have been missed: the records are incomplete until the next
 * listing ends or a peer's records are applied. */
void rg_evacuations_set_incomplete(struct rg_evacuations *x);
bool rg_evacuations_are_complete(const struct rg_evacuations *x);

/* Records that have a revision, by position; the number of them. */
size_t rg_evacuations_count(const struct rg_evacuations *x);
const struct rg_evacuation *rg_evacuations_at(const struct rg_evacuations *x,
                                              size_t i);

/* Number of evacuations that are in force. */
size_t rg_evacuations_in_force(const struct rg_evacuations *x);

/* True while new flows to some data centre are held back after a lift. */
bool rg_evacuations_are_returning(const struct rg_evacuations *x);

/* Share of choices, in percent, that may consider the data centre. */
uint32_t rg_evacuation_share(const struct rg_evacuation *e, uint64_t now_ms);

/* Ends returns that are complete. Call it a few times a second. */
void rg_evacuations_tick(struct rg_evacuations *x, uint64_t now_ms);

#endif
