/* Acceptance and dissemination of the configuration.
 *
 * Two editors change the head in the store, each its own section. A write may
 * take effect although its answer is lost, may be lost itself, or may still be
 * under way when its editor reads again. Daemons learn heads from the store,
 * whose reply may be stale, and from each other. They restart without a
 * configuration.
 *
 * Checked: an edit that was reported as accepted is in every later head; one
 * that was reported as not accepted is in none; an edit takes effect only once;
 * between restarts a daemon never goes back to an older head; two daemons at
 * the same generation hold the same content.
 *
 * To show that a mechanism is needed, these disable it: NO_SWAP (writes do not
 * compare the head), NO_GUARD (daemons take any head, also an older one),
 * NO_FIND (editors do not look for their edit in the head they read). */

#define EDITORS 2
#define DAEMONS 2
#define HEADS 4
#define ATTEMPTS 2

#define PENDING 0
#define ACCEPTED 1
#define NOT_ACCEPTED 2
#define UNKNOWN 3

#ifdef NO_SWAP
#define MATCHES(g) true
#else
#define MATCHES(g) (head == g)
#endif
#ifdef NO_GUARD
#define NEWER(g, held) (g != held)
#else
#define NEWER(g, held) (g > held)
#endif

/* Bit e of content[g] is set if head g contains the edit of editor e. The
 * number of a head stands for its revision and its generation. */
byte head = 0;
byte content[HEADS];
byte result[EDITORS];
byte held_head[DAEMONS];
byte held_content[DAEMONS]; /* content of the head that a daemon holds */

/* Write under way, at most one per editor: the head that it compares with, and
 * its content. */
bool under_way[EDITORS];
byte expected_head[EDITORS];
byte new_content[EDITORS];
byte applied_writes = 0; /* writes that took effect */

inline apply_write(E)
{
    if
    :: MATCHES(expected_head[E]) && head < HEADS - 1 ->
        assert(!((content[head] >> E) & 1)); /* an edit applies only once */
        head++;
        content[head] = new_content[E];
        applied_writes++
    :: else -> skip
    fi;
    under_way[E] = false
}

proctype Editor(byte me)
{
    byte base;
    byte attempts = ATTEMPTS;
    bool unsure = false;
    byte unsure_base;

    do
    :: atomic { /* reads the head and looks for its edit */
        attempts > 0 && result[me] == PENDING && !under_way[me] ->
        base = head;
#ifndef NO_FIND
        if
        :: (content[base] >> me) & 1 -> result[me] = ACCEPTED
        :: else ->
            if
            :: unsure && base != unsure_base -> unsure = false
            :: else -> skip
            fi
        fi;
#endif
        attempts--
    };
    atomic {
        if
        :: result[me] != PENDING -> break
        :: else ->
            expected_head[me] = base;
            new_content[me] = content[base] | (1 << me);
            under_way[me] = true;
            if
            :: MATCHES(base) -> /* applied and answered */
                apply_write(me);
                result[me] = ACCEPTED
            :: !MATCHES(base) -> apply_write(me) /* rejected and answered */
            :: /* the answer is lost */
                unsure = true; unsure_base = base; apply_write(me)
            :: /* the write is lost */
                unsure = true; unsure_base = base; under_way[me] = false
            :: unsure = true; unsure_base = base /* still under way */
            fi
        fi
    };
    if
    :: result[me] != PENDING -> break
    :: else -> skip
    fi
    :: atomic { /* gives up, or starts over while a write is under way */
        result[me] == PENDING && (attempts == 0 || under_way[me]) ->
        if
        :: attempts == 0 && !unsure -> result[me] = NOT_ACCEPTED; break
        :: attempts == 0 && unsure -> result[me] = UNKNOWN; break
        :: attempts > 0 && under_way[me] ->
            /* The editor writes again while its first write is under way. Both
             * compare with a head, so the one that arrives later finds another
             * head. */
            apply_write(me)
        fi
    }
    od
}

proctype Store()
{
end:
    do
    :: atomic { under_way[0] -> apply_write(0) }
    :: atomic { under_way[1] -> apply_write(1) }
    od
}

inline learn_head(D, G)
{
    if
    :: NEWER(G, held_head[D]) ->
        assert(G > held_head[D]); /* never goes back */
        held_head[D] = G;
        held_content[D] = content[G]
    :: else -> skip
    fi
}

proctype Daemon(byte me)
{
    byte g;
    byte restarts = 1;

end:
    do
    :: atomic { learn_head(me, head) }
    :: atomic { /* a stale reply */
        head > 0 -> g = head - 1; learn_head(me, g); g = 0
    }
    :: atomic { /* from the peer */
        g = held_head[1 - me]; learn_head(me, g); g = 0
    }
    :: atomic {
        restarts > 0 -> restarts--; held_head[me] = 0; held_content[me] = 0
    }
    od
}

#define HEAD_HAS_EDIT(e) ((content[head] >> e) & 1)

proctype Check()
{
end:
    do
    :: atomic { result[0] == ACCEPTED -> assert(HEAD_HAS_EDIT(0)) ; break }
    :: atomic { result[1] == ACCEPTED -> assert(HEAD_HAS_EDIT(1)) ; break }
    :: atomic { result[0] == NOT_ACCEPTED -> assert(!HEAD_HAS_EDIT(0)); break }
    :: atomic { result[1] == NOT_ACCEPTED -> assert(!HEAD_HAS_EDIT(1)); break }
    :: atomic {
        held_head[0] == held_head[1] && held_head[0] > 0 ->
        assert(held_content[0] == held_content[1]);
        break
    }
    :: atomic {
        applied_writes > 0 -> assert(head == 0 || content[head] != 0); break
    }
    od
}

init
{
    atomic {
        run Editor(0);
        run Editor(1);
        run Store();
        run Daemon(0);
        run Daemon(1);
        run Check()
    }
}
