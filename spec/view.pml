/* Dissemination of the view of instances that steer by token.
 *
 * The store's revision rises, and an upstream's entry appears, ends and appears
 * again. One instance, the reader, asks the store; the others have what has
 * changed since their own revision from whoever is ahead, in messages that may
 * come late, in any order, or not at all. The end of an entry is remembered for
 * a while only. The reader may die; an instance may restart empty, and then
 * lists the store, perhaps as it was before; a message to its earlier life may
 * still reach it.
 *
 * Checked: a view is always what the store held at its revision; a revision
 * never falls within a life; when nothing is left to do every instance is at
 * the store's revision.
 *
 * Taken away by: NO_FORGOTTEN (changes are sent though ends since have been
 * forgotten), NO_BASE (changes are applied whatever they start from), NO_NEWER
 * (older views are applied), NO_FALLBACK (nobody but the reader asks the
 * store). */

#define INSTANCES 3
#define REVISIONS 4

#ifdef NO_FORGOTTEN
#define KNOWS_ENDS(from, base) true
#else
#define KNOWS_ENDS(from, base) (base >= forgotten[from])
#endif
#ifdef NO_BASE
#define FITS(base, I) true
#else
#define FITS(base, I) (base <= rev[I])
#endif
#ifdef NO_NEWER
#define NEWER(r, I) true
#else
#define NEWER(r, I) (r > rev[I])
#endif

/* The entry appears at revision 1, ends at 2 and appears again at 4; 3 changes
 * something else. */
#define LISTED(r) (r == 1 || r == 4)
#define ENTRY_AT(r) ((r == 4) -> 4 : 1)
/* Revision of the last end up to r, 0 for none. */
#define LAST_END(r) ((r >= 2) -> 2 : 0)

byte store = 1;
byte rev[INSTANCES];
bool listed[INSTANCES];
byte tomb[INSTANCES];      /* end that is remembered, 0: none */
byte forgotten[INSTANCES]; /* greatest end that is not */
bool reader_dead;
bool restarted;

/* One message under way to each instance: what a peer knew that was newer
 * than `base`; base 0 is everything. */
bool sent[INSTANCES];
byte base[INSTANCES];
byte upto[INSTANCES];
bool says_listed[INSTANCES]; /* names the entry as listed */
bool says_ended[INSTANCES];  /* names its end */

inline read_store(I)
{
    rev[I] = store;
    listed[I] = LISTED(store);
    if
    :: !LISTED(store) && LAST_END(store) > forgotten[I] ->
        tomb[I] = LAST_END(store)
    :: else -> tomb[I] = 0
    fi
}

/* A listing may be a stale one, and shows nothing of what ended before it. */
inline list_store(I)
{
    rev[I] = store;
    do
    :: rev[I] > 1 -> rev[I]--
    :: break
    od;
    listed[I] = LISTED(rev[I]);
    tomb[I] = 0;
    forgotten[I] = LAST_END(rev[I])
}

inline send(I, from)
{
    sent[I] = true;
    upto[I] = rev[from];
    if
    :: rev[I] > 0 && KNOWS_ENDS(from, rev[I]) ->
        base[I] = rev[I];
        says_listed[I] = listed[from] && ENTRY_AT(rev[from]) > rev[I];
        says_ended[I] = tomb[from] > rev[I]
    :: else ->
        base[I] = 0;
        says_listed[I] = listed[from];
        says_ended[I] = !listed[from]
    fi
}

inline apply(I)
{
    sent[I] = false;
    if
    :: NEWER(upto[I], I) && FITS(base[I], I) ->
        assert(upto[I] >= rev[I]);
        if
        :: says_listed[I] -> listed[I] = true; tomb[I] = 0
        :: says_ended[I] -> listed[I] = false; tomb[I] = LAST_END(upto[I])
        :: else -> skip
        fi;
        if
        :: base[I] == 0 -> tomb[I] = 0; forgotten[I] = LAST_END(upto[I])
        :: else -> skip
        fi;
        rev[I] = upto[I];
        assert(listed[I] == LISTED(rev[I]))
    :: else -> skip
    fi
}

active proctype changes()
{
    do
    :: store < REVISIONS -> store++
    :: store == REVISIONS -> break
    od
}

/* Instance 0 reads for all until it dies. */
active proctype reader()
{
    do
    :: atomic { !reader_dead && rev[0] < store -> read_store(0) }
    :: atomic { !reader_dead && tomb[0] > 0 -> forgotten[0] = tomb[0]; tomb[0] = 0 }
    :: atomic { !reader_dead && store > 1 -> reader_dead = true; break }
    :: atomic { store == REVISIONS && rev[0] == store -> break }
    od
}

proctype follower(byte I)
{
    byte from;

    atomic { list_store(I) };
    do
    /* from the reader or the other follower, whoever is ahead */
    :: atomic { !sent[I] && !reader_dead && rev[0] > rev[I] -> from = 0; send(I, from) }
    :: atomic { !sent[I] && rev[3 - I] > rev[I] -> from = 3 - I; send(I, from) }
    :: atomic { sent[I] -> apply(I) }
    :: atomic { sent[I] -> sent[I] = false } /* lost */
    :: atomic { tomb[I] > 0 -> forgotten[I] = tomb[I]; tomb[I] = 0 }
#ifndef NO_FALLBACK
    :: atomic { rev[I] < store -> read_store(I) }
#endif
    :: atomic { !restarted -> restarted = true; list_store(I) }
    :: atomic { store == REVISIONS && rev[I] == store && !sent[I] -> break }
    od
}

init
{
    atomic {
        run follower(1);
        run follower(2)
    }
}
