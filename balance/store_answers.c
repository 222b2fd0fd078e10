#include "balance/store_answers.h"

#include <stdbool.h>
#include <stddef.h>

/* The entry of a source; if it has none, the one that is replaced. */
static struct rg_store_answer *
entry_of(struct rg_store_answers *s, uint32_t source)
{
    struct rg_store_answer *oldest = &s->by_source[0];

    for (size_t i = 0; i < RG_STORE_ANSWERS_MAX; i++) {
        struct rg_store_answer *a = &s->by_source[i];
        if (a->at_ms != 0 && a->source == source) {
            return a;
        }
        if (a->at_ms < oldest->at_ms) {
            oldest = a;
        }
    }
    return oldest;
}

static bool
is_better(const struct rg_store_answer *known, const struct rg_store_answer *a)
{
    if (known->at_ms == 0 || known->source != a->source || a->source == 0) {
        return a->at_ms > known->at_ms;
    }
    if (known->serial == a->serial) {
        return a->at_ms < known->at_ms;
    }
    return (int32_t)(a->serial - known->serial) > 0;
}

void
rg_store_answers_note(struct rg_store_answers *s,
                      const struct rg_store_answer *answer)
{
    struct rg_store_answer *known = entry_of(s, answer->source);

    if (answer->at_ms != 0 && is_better(known, answer)) {
        *known = *answer;
    }
}

const struct rg_store_answer *
rg_store_answers_latest(const struct rg_store_answers *s)
{
    const struct rg_store_answer *latest = &s->by_source[0];

    for (size_t i = 1; i < RG_STORE_ANSWERS_MAX; i++) {
        if (s->by_source[i].at_ms > latest->at_ms) {
            latest = &s->by_source[i];
        }
    }
    return latest;
}
