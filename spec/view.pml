/* Dissemination of the view of upstreams among instances that steer by token.
 *
 * The store's revision rises, and an upstream's entry is created, deleted and
 * created again. One instance, the reader, reads the store. The others get the
 * changes since their own revision from an instance that is ahead, in messages
 * that may be late, reordered or lost. The tombstone of a deleted entry is
 * kept for a limited time. The reader may die. An instance may restart empty
 * and then lists the store, possibly a stale copy of it; a message sent before
 * the restart may still arrive.
 *
 * Checked: a view equals the store's content at the view's revision; between
 * restarts its revision never falls; once there is nothing left to do, every
 * instance is at the store's revision.
 *
 * To show that a mechanism is needed, these disable it: NO_FORGOTTEN (changes
 * are sent although tombstones since the base were dropped), NO_BASE (changes
 * are applied to any revision), NO_NEWER (older views are applied), NO_FALLBACK
 * (only the reader reads the store). */

#define INSTANCES 3
#define REVISIONS 4

#ifdef NO_FORGOTTEN
#define HAS_TOMBSTONES_SINCE(from, base) true
#else
#define HAS_TOMBSTONES_SINCE(from, base) (base >= dropped_tombstone[from])
#endif
#ifdef NO_BASE
#define BASE_FITS(base, I) true
#else
#define BASE_FITS(base, I) (base <= rev[I])
#endif
#ifdef NO_NEWER
#define NEWER(r, I) true
#else
#define NEWER(r, I) (r > rev[I])
#endif

/* The entry is created at revision 1, deleted at 2 and created again at 4;
 * revision 3 changes something else. */
#define LISTED(r) (r == 1 || r == 4)
#define ENTRY_AT(r) ((r == 4) -> 4 : 1)
/* Revision of the last deletion up to r; 0: none. */
#define LAST_DELETION(r) ((r >= 2) -> 2 : 0)

byte store = 1;
byte rev[INSTANCES];
bool listed[INSTANCES];
byte tombstone[INSTANCES];         /* its revision; 0: none */
byte dropped_tombstone[INSTANCES]; /* last deletion without a tombstone */
bool reader_dead;
bool restarted;

/* Message under way to each instance: the sender's changes after revision
 * `base`; with base 0 its whole view. */
bool in_flight[INSTANCES];
byte base[INSTANCES];
byte up_to_rev[INSTANCES];
bool has_entry[INSTANCES];     /* contains the entry */
bool has_tombstone[INSTANCES]; /* contains its tombstone */

inline read_store(I)
{
    rev[I] = store;
    listed[I] = LISTED(store);
    if
    :: !LISTED(store) && LAST_DELETION(store) > dropped_tombstone[I] ->
        tombstone[I] = LAST_DELETION(store)
    :: else -> tombstone[I] = 0
    fi
}

/* A listing may be stale, and does not show earlier deletions. */
inline list_store(I)
{
    rev[I] = store;
    do
    :: rev[I] > 1 -> rev[I]--
    :: break
    od;
    listed[I] = LISTED(rev[I]);
    tombstone[I] = 0;
    dropped_tombstone[I] = LAST_DELETION(rev[I])
}

inline send(I, from)
{
    in_flight[I] = true;
    up_to_rev[I] = rev[from];
    if
    :: rev[I] > 0 && HAS_TOMBSTONES_SINCE(from, rev[I]) ->
        base[I] = rev[I];
        has_entry[I] = listed[from] && ENTRY_AT(rev[from]) > rev[I];
        has_tombstone[I] = tombstone[from] > rev[I]
    :: else ->
        base[I] = 0;
        has_entry[I] = listed[from];
        has_tombstone[I] = !listed[from]
    fi
}

inline apply(I)
{
    in_flight[I] = false;
    if
    :: NEWER(up_to_rev[I], I) && BASE_FITS(base[I], I) ->
        assert(up_to_rev[I] >= rev[I]);
        if
        :: has_entry[I] -> listed[I] = true; tombstone[I] = 0
        :: has_tombstone[I] ->
            listed[I] = false;
            tombstone[I] = LAST_DELETION(up_to_rev[I])
        :: else -> skip
        fi;
        if
        :: base[I] == 0 ->
            tombstone[I] = 0;
            dropped_tombstone[I] = LAST_DELETION(up_to_rev[I])
        :: else -> skip
        fi;
        rev[I] = up_to_rev[I];
        assert(listed[I] == LISTED(rev[I]))
    :: else -> skip
    fi
}

active proctype store_changes()
{
    do
    :: store < REVISIONS -> store++
    :: store == REVISIONS -> break
    od
}

/* Instance 0 reads the store for all instances until it dies. */
active proctype reader()
{
    do
    :: atomic { !reader_dead && rev[0] < store -> read_store(0) }
    :: atomic {
        !reader_dead && tombstone[0] > 0 ->
        dropped_tombstone[0] = tombstone[0];
        tombstone[0] = 0
    }
    :: atomic { !reader_dead && store > 1 -> reader_dead = true; break }
    :: atomic { store == REVISIONS && rev[0] == store -> break }
    od
}

proctype follower(byte I)
{
    byte from;

    atomic { list_store(I) };
    do
    /* from the reader or the other follower, whichever is ahead */
    :: atomic {
        !in_flight[I] && !reader_dead && rev[0] > rev[I] ->
        from = 0;
        send(I, from)
    }
    :: atomic {
        !in_flight[I] && rev[3 - I] > rev[I] -> from = 3 - I; send(I, from)
    }
    :: atomic { in_flight[I] -> apply(I) }
    :: atomic { in_flight[I] -> in_flight[I] = false } /* lost */
    :: atomic {
        tombstone[I] > 0 ->
        dropped_tombstone[I] = tombstone[I];
        tombstone[I] = 0
    }
#ifndef NO_FALLBACK
    :: atomic { rev[I] < store -> read_store(I) }
#endif
    :: atomic { !restarted -> restarted = true; list_store(I) }
    :: atomic {
        store == REVISIONS && rev[I] == store && !in_flight[I] -> break
    }
    od
}

init
{
    atomic {
        run follower(1);
        run follower(2)
    }
}
