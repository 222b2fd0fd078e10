#include "balance/flow_homes.h"

#include <string.h>

#include "balance/priv.h"

/* Source of a sighting that stands for a record which could not be stored. */
#define UNSTORED 0
/* Homes are told again of a flow that goes on here after this time. */
#define TELL_AGAIN_MS 1000
/* Entries that an instance which has just started looks at in a tick, to tell
 * of them again: each comes up about twice a second. */
#define STARTING_TELL_MAX (RG_FLOW_TOLD_MAX / 5)
/* An answer is relied on for this long: the flow's next retransmissions. */
#define ANSWER_VALID_MS 1000
/* A home that has listened for less may not have been told of a flow at its
 * start: by then its caller has had an answer, or has retransmitted its
 * request three times. */
#define START_MAX_MS 4000
/* An instance that hears no peer for this long may have missed messages. */
#define SILENT_MS 1000

static uint64_t
later(uint64_t a, uint64_t b)
{
    return a > b ? a : b;
}

/* --- asking -------------------------------------------------------------- */

static struct rg_flow_asked *
asked_slot(struct rg_balancer *b, uint32_t hash)
{
    return &b->homes.asked[hash % RG_FLOW_ASKED_MAX];
}

/* Entry of the flow, NULL if it was not asked for lately. */
static const struct rg_flow_asked *
find_asked(const struct rg_balancer *b, const struct rg_flow_id *flow)
{
    uint32_t hash = rg_flow_hash(flow);
    const struct rg_flow_asked *asked =
        &b->homes.asked[hash % RG_FLOW_ASKED_MAX];

    return asked->at_ms != 0 && asked->hash == hash ? asked : NULL;
}

bool
rg_bal_note_asked(struct rg_balancer *b, const struct rg_flow_id *flow,
                  uint32_t seq, uint32_t interval_ms)
{
    uint32_t hash = rg_flow_hash(flow);
    struct rg_flow_asked *asked = asked_slot(b, hash);
    bool same = asked->at_ms != 0 && asked->hash == hash;

    if (same && b->now_ms - asked->at_ms < interval_ms) {
        return false;
    }
    if (!same) {
        *asked = (struct rg_flow_asked){.hash = hash};
    }
    asked->at_ms = b->now_ms;
    asked->seq = seq;
    return true;
}

static struct rg_home_answer
answer_of(const struct rg_flow_asked *asked, uint32_t home)
{
    for (uint8_t i = 0; i < asked->home_count; i++) {
        if (asked->answers[i].home == home) {
            return asked->answers[i];
        }
    }
    return (struct rg_home_answer){.home = home};
}

struct rg_flow_question
rg_balancer_ask_homes(struct rg_balancer *b, const struct rg_flow_id *flow,
                      const struct rg_flow_home homes[RG_FLOW_HOMES_MAX],
                      size_t count)
{
    struct rg_flow_asked *asked = asked_slot(b, rg_flow_hash(flow));
    struct rg_home_answer answers[RG_FLOW_HOMES_MAX];

    if (asked->hash != rg_flow_hash(flow)) {
        return (struct rg_flow_question){.flow = *flow}; /* replaced since */
    }
    for (size_t i = 0; i < count; i++) {
        answers[i] = answer_of(asked, homes[i].id);
    }
    for (size_t i = 0; i < count; i++) {
        asked->answers[i] = answers[i];
    }
    asked->home_count = (uint8_t)count;
    return (struct rg_flow_question){.flow = *flow, .seq = asked->seq};
}

void
rg_balancer_add_home_report(struct rg_balancer *b,
                            const struct rg_home_report *report,
                            uint64_t now_ms)
{
    const struct rg_flow_answer *answer = &report->answer;
    uint32_t hash = rg_flow_hash(&answer->flow);
    struct rg_flow_asked *asked = asked_slot(b, hash);

    b->now_ms = now_ms;
    rg_bal_count(b, RG_METRIC_HOME_ANSWERS_RECEIVED);
    if (answer->seen && answer->seen_ms != 0) {
        rg_balancer_add_flow_sighting(b, &answer->flow, answer->seen_ms,
                                      now_ms);
    }
    if (asked->at_ms == 0 || asked->hash != hash) {
        return;
    }
    for (uint8_t i = 0; i < asked->home_count; i++) {
        struct rg_home_answer *known = &asked->answers[i];
        if (known->home == report->home && report->asked_ms >= known->asked_ms)
        {
            *known = (struct rg_home_answer){
                .home = report->home,
                .known = answer->known,
                .seen = answer->seen,
                .asked_ms = report->asked_ms,
                .since_ms = report->since_ms,
            };
        }
    }
}

/* Nobody else could know anything. */
static bool
is_alone(const struct rg_balancer *b)
{
    return b->fleet.instances <= 1;
}

static bool
is_enough(const struct rg_flow_asked *asked, uint8_t count)
{
    uint8_t needed = asked->home_count < RG_FLOW_HOMES_NEEDED
                         ? asked->home_count
                         : RG_FLOW_HOMES_NEEDED;

    return needed > 0 && count >= needed;
}

static bool
is_valid(const struct rg_balancer *b, const struct rg_home_answer *a)
{
    return a->asked_ms != 0 && b->now_ms - a->asked_ms <= ANSWER_VALID_MS;
}

bool
rg_bal_is_starting(const struct rg_balancer *b)
{
    return b->now_ms - b->started_ms < START_MAX_MS;
}

bool
rg_bal_no_endpoint_told(const struct rg_balancer *b,
                        const struct rg_flow_id *flow, uint64_t opened_ms)
{
    const struct rg_flow_asked *asked = find_asked(b, flow);
    uint8_t unknown = 0;
    uint64_t start_ms =
        b->now_ms > START_MAX_MS ? b->now_ms - START_MAX_MS : 0;
    uint64_t since_ms = later(opened_ms, start_ms);

    if (is_alone(b)) {
        return true;
    }
    for (uint8_t i = 0; asked && i < asked->home_count; i++) {
        const struct rg_home_answer *a = &asked->answers[i];
        if (is_valid(b, a) && a->known) {
            return false;
        }
        unknown += is_valid(b, a) && a->since_ms <= since_ms;
    }
    return asked && is_enough(asked, unknown);
}

bool
rg_bal_homes_have_answered(const struct rg_balancer *b,
                           const struct rg_flow_id *flow)
{
    const struct rg_flow_asked *asked = find_asked(b, flow);

    for (uint8_t i = 0; asked && i < asked->home_count; i++) {
        if (!is_valid(b, &asked->answers[i])) {
            return false;
        }
    }
    return asked && asked->home_count > 0;
}

bool
rg_bal_has_stayed(const struct rg_balancer *b, const struct rg_flow_id *flow,
                  uint64_t since_ms, uint64_t asked_after_ms)
{
    const struct rg_flow_asked *asked = find_asked(b, flow);
    uint8_t unseen = 0;

    if (is_alone(b)) {
        return true;
    }
    if (rg_bal_is_starting(b)) {
        return false; /* others than its homes may have been asked */
    }
    for (uint8_t i = 0; asked && i < asked->home_count; i++) {
        const struct rg_home_answer *a = &asked->answers[i];
        if (a->asked_ms <= since_ms) {
            continue;
        }
        if (a->seen) {
            return false;
        }
        unseen += a->asked_ms >= asked_after_ms && a->since_ms <= since_ms;
    }
    return asked && is_enough(asked, unseen);
}

/* --- telling ------------------------------------------------------------- */

static void
queue_arrival(struct rg_balancer *b, const struct rg_flow_arrival *arrival)
{
    struct rg_flow_homes *h = &b->homes;

    if (h->arrival_count == RG_FLOW_ARRIVALS_MAX || h->arrivals_left == 0) {
        rg_bal_count(b, RG_METRIC_ARRIVALS_OMITTED);
        return;
    }
    h->arrivals_left--;
    h->arrivals[h->arrival_count++] = *arrival;
}

static bool
is_told(const struct rg_balancer *b, const struct rg_flow_arrival *told,
        const struct rg_segment *s)
{
    return told->at_ms != 0 && b->now_ms - told->at_ms < TELL_AGAIN_MS &&
           told->seq == s->seq &&
           memcmp(&told->flow, &s->flow, sizeof(s->flow)) == 0;
}

void
rg_bal_tell_arrival(struct rg_balancer *b, const struct rg_segment *s)
{
    struct rg_flow_homes *h = &b->homes;
    struct rg_flow_arrival *told =
        &h->told[rg_flow_hash(&s->flow) % RG_FLOW_TOLD_MAX];

    if (is_told(b, told, s)) {
        return;
    }
    *told = (struct rg_flow_arrival){s->flow, s->seq, b->now_ms};
    if (!is_alone(b)) {
        queue_arrival(b, told);
    }
}

/* An instance that has just started does not know all homes, and tells those
 * that it learns of, too. Each tick goes on where the last one ended. */
static void
tell_arrivals_again(struct rg_balancer *b)
{
    struct rg_flow_homes *h = &b->homes;

    if (!rg_bal_is_starting(b) || is_alone(b)) {
        return;
    }
    for (size_t n = 0; n < STARTING_TELL_MAX; n++) {
        const struct rg_flow_arrival *told = &h->told[h->told_again_next];
        h->told_again_next = (h->told_again_next + 1) % RG_FLOW_TOLD_MAX;
        if (told->at_ms != 0) {
            queue_arrival(b, told);
        }
    }
}

size_t
rg_balancer_next_arrivals(struct rg_balancer *b, struct rg_flow_arrival *out,
                          size_t max)
{
    struct rg_flow_homes *h = &b->homes;
    size_t count = 0;

    while (h->arrival_count > 0 && count < max) {
        out[count++] = h->arrivals[--h->arrival_count];
    }
    return count;
}

void
rg_bal_tell_homes(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    struct rg_flow_homes *h = &b->homes;

    if (t->told_homes || !rg_bal_has_record(t) || !t->repeated ||
        is_alone(b) || h->record_count == RG_FLOW_HOME_RECORDS_MAX)
    {
        return;
    }
    /* At first this instance may not know all others, and tells them again. */
    t->told_homes = !rg_bal_is_starting(b);
    h->records[h->record_count++] = t->flow;
}

size_t
rg_balancer_next_home_records(struct rg_balancer *b, struct rg_flow_id *out,
                              size_t max)
{
    struct rg_flow_homes *h = &b->homes;
    size_t count = 0;

    while (h->record_count > 0 && count < max) {
        out[count++] = h->records[--h->record_count];
    }
    return count;
}

bool
rg_balancer_has_flow_news(const struct rg_balancer *b)
{
    return b->flow_sync.query_count > 0 || b->homes.arrival_count > 0 ||
           b->homes.record_count > 0;
}

void
rg_bal_tick_homes(struct rg_balancer *b)
{
    b->homes.arrivals_left = RG_FLOW_ARRIVALS_MAX;
    tell_arrivals_again(b);
}

/* --- as a home ----------------------------------------------------------- */

/* Time of which only the low bits are stored; it lies in the past. */
static uint64_t
restore_time(uint32_t low, uint64_t now_ms)
{
    return now_ms - ((uint32_t)now_ms - low);
}

static bool
is_kept(uint32_t low, uint64_t now_ms)
{
    return low != 0 && (uint32_t)now_ms - low < RG_FLOW_SIGHTING_KEPT_MS;
}

static bool
is_in_use(const struct rg_flow_seen *seen, uint64_t now_ms)
{
    for (int i = 0; i < RG_FLOW_SEEN_BY; i++) {
        if (is_kept(seen->by[i].at_ms, now_ms)) {
            return true;
        }
    }
    return false;
}

void
rg_balancer_keep_sighting(struct rg_balancer *b, const struct rg_flow_id *flow,
                          uint32_t source, uint64_t at_ms, uint64_t now_ms)
{
    uint32_t hash = rg_flow_hash(flow);
    struct rg_flow_seen *seen = &b->homes.seen[hash % RG_FLOW_SEEN_MAX];
    int oldest = 0;

    if (at_ms > now_ms || now_ms - at_ms >= RG_FLOW_SIGHTING_KEPT_MS) {
        return;
    }
    if (seen->hash != hash) {
        *seen = (struct rg_flow_seen){
            .hash = hash,
            .evicted_ms =
                is_in_use(seen, now_ms) ? (uint32_t)now_ms : seen->evicted_ms,
        };
    }
    for (int i = 0; i < RG_FLOW_SEEN_BY; i++) {
        if (seen->by[i].at_ms != 0 && seen->by[i].source == source) {
            oldest = i;
            break;
        }
        if (!is_kept(seen->by[i].at_ms, now_ms) ||
            (is_kept(seen->by[oldest].at_ms, now_ms) &&
             (int32_t)(seen->by[i].at_ms - seen->by[oldest].at_ms) < 0))
        {
            oldest = i;
        }
    }
    seen->by[oldest].source = source;
    seen->by[oldest].at_ms = (uint32_t)at_ms;
}

void
rg_bal_record_not_stored(struct rg_balancer *b, const struct rg_flow_id *flow)
{
    rg_balancer_keep_sighting(b, flow, UNSTORED, b->now_ms, b->now_ms);
}

/* Adds what other instances than `asker` have told. */
static void
add_told(const struct rg_balancer *b, uint32_t asker, uint64_t now_ms,
         struct rg_flow_answer *out)
{
    uint32_t hash = rg_flow_hash(&out->flow);
    const struct rg_flow_seen *seen = &b->homes.seen[hash % RG_FLOW_SEEN_MAX];

    if (is_kept(seen->evicted_ms, now_ms)) {
        out->seen = true; /* an entry that was dropped may be its own */
    }
    if (seen->hash != hash) {
        return;
    }
    for (int i = 0; i < RG_FLOW_SEEN_BY; i++) {
        if (!is_kept(seen->by[i].at_ms, now_ms)) {
            continue;
        }
        if (seen->by[i].source == UNSTORED) {
            out->known = true;
        }
        else if (seen->by[i].source != asker) {
            out->seen = true;
            out->seen_ms =
                later(out->seen_ms, restore_time(seen->by[i].at_ms, now_ms));
        }
    }
}

/* True if the endpoint of this flow, and not of an earlier one with the same
 * ports, is known here. */
static bool
knows_endpoint(const struct rg_balancer *b, const struct rg_flow_question *q)
{
    struct rg_flow_record record;

    return rg_balancer_find_flow_record(b, &q->flow, &record) &&
           rg_seq_is_near(q->seq, record.opening_seq);
}

struct rg_flow_answer
rg_balancer_answer_question(const struct rg_balancer *b,
                            const struct rg_flow_question *question,
                            uint32_t asker, uint64_t now_ms)
{
    struct rg_flow_answer answer = {
        .flow = question->flow,
        .known = knows_endpoint(b, question),
    };
    uint64_t own_ms = rg_balancer_flow_seen_ms(b, &question->flow);

    if (own_ms != 0 && asker != b->opts.id) {
        answer.seen = true;
        answer.seen_ms = own_ms;
    }
    add_told(b, asker, now_ms, &answer);
    return answer;
}

uint64_t
rg_balancer_listening_since_ms(const struct rg_balancer *b, uint64_t now_ms)
{
    uint64_t kept_ms = now_ms > RG_FLOW_SIGHTING_KEPT_MS
                           ? now_ms - RG_FLOW_SIGHTING_KEPT_MS
                           : 0;

    return later(later(b->homes.listening_ms, b->started_ms), kept_ms);
}

void
rg_bal_note_peer_heard(struct rg_balancer *b, uint64_t now_ms)
{
    if (b->peer_heard_ms != 0 && now_ms - b->peer_heard_ms > SILENT_MS) {
        b->homes.listening_ms = now_ms;
    }
}
