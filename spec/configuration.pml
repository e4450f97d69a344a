/*
 * Configuration versions: a log with retention and snapshots, three entries, two operators.
 *
 * Here each entry folds by itself. A configuration is the set of the changes that it contains: an operator reads a
 * version and proposes it with one change added. A process that takes no step is frozen.
 */
#define ENTRIES 3
#ifndef PROPOSALS
#define PROPOSALS 3
#endif
#ifndef SNAPSHOTS
#define SNAPSHOTS 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define MAXIMUM_OFFSET (PROPOSALS + SNAPSHOTS + 2)
#define UNSET 255

/* Records: a proposal (expected version, text) or a snapshot (its offset, version, text). */
byte recordVersion[MAXIMUM_OFFSET], recordText[MAXIMUM_OFFSET], snapshotOffset[MAXIMUM_OFFSET];
bit isSnapshot[MAXIMUM_OFFSET];
byte head, earliest = 1, snapshotAt[SNAPSHOTS];
byte offset[ENTRIES], version[ENTRIES], text[ENTRIES];
byte highest[ENTRIES]; /* version that the entry has had in force */
byte loading; /* bit set of entries that are not ready */
byte textOf[PROPOSALS + 2], latest; /* versions accepted by any entry */
byte proposals, snapshots, restarts;
bit logIsDown, copied;

#define bitOf(n) (1 << (n))
#define mayInstall(e, s) (snapshotAt[s] >= earliest && installable(e, snapshotOffset[snapshotAt[s]]))
#define isLoading(e) (loading & bitOf(e))
#ifdef MUTATE_INSTALL_OLDER_SNAPSHOT
#define installable(e, n) ((n) != offset[e])
#else
#define installable(e, n) ((n) > offset[e])
#endif
#ifdef MUTATE_NO_EXPECTED_VERSION
#define isExpected(e, v) true
#else
#define isExpected(e, v) ((v) == version[e])
#endif
#ifdef MUTATE_SKIP_GAP
#define nextOffset(e) (offset[e] + 1 < earliest -> earliest : offset[e] + 1)
#else
#define nextOffset(e) (offset[e] + 1)
#endif
#ifdef MUTATE_READY_BEFORE_TAIL
#define loaded(e) true
#else
#define loaded(e) (offset[e] == head)
#endif

/* Checks the version that the entry has now, and notes it as in force if the entry is ready. */
inline inForce(e)
{
    if
    :: textOf[version[e]] == UNSET -> textOf[version[e]] = text[e]
    :: else -> assert(textOf[version[e]] == text[e])
    fi;
    if
    :: version[e] > latest -> latest = version[e]
    :: else
    fi;
    if
    :: !isLoading(e) -> assert(version[e] >= highest[e]); highest[e] = version[e]
    :: else
    fi
}

inline install(e, n, v, t) { offset[e] = n; version[e] = v; text[e] = t; inForce(e) }
inline installRecord(e, q) { install(e, snapshotOffset[q], recordVersion[q], recordText[q]) }
inline installPeer(e, q) { install(e, offset[q], version[q], text[q]) }

inline foldNext(e)
{
    offset[e] = nextOffset(e);
    if
    :: !isSnapshot[offset[e]] && isExpected(e, recordVersion[offset[e]]) ->
        assert((text[e] & recordText[offset[e]]) == text[e]); /* no change is reverted */
        version[e]++; text[e] = recordText[offset[e]];
        inForce(e)
    :: else
    fi
}

proctype Entry(byte e)
{
    do
    :: atomic { !logIsDown && offset[e] < head && nextOffset(e) >= earliest -> foldNext(e) }
#ifndef MUTATE_NO_INSTALL
    :: atomic { !logIsDown && mayInstall(e, 0) -> installRecord(e, snapshotAt[0]) }
    :: atomic { !logIsDown && mayInstall(e, SNAPSHOTS - 1) -> installRecord(e, snapshotAt[SNAPSHOTS - 1]) }
    :: atomic { !isLoading((e + 1) % ENTRIES) && installable(e, offset[(e + 1) % ENTRIES]) -> /* from a peer */
        installPeer(e, (e + 1) % ENTRIES) }
    :: atomic { !isLoading((e + 2) % ENTRIES) && installable(e, offset[(e + 2) % ENTRIES]) ->
        installPeer(e, (e + 2) % ENTRIES) }
#endif
    :: atomic { !logIsDown && !isLoading(e) && snapshots < SNAPSHOTS && offset[e] > 0 ->
        head++; snapshotAt[snapshots] = head; snapshots++; isSnapshot[head] = 1;
        snapshotOffset[head] = offset[e]; recordVersion[head] = version[e]; recordText[head] = text[e] }
    :: atomic { restarts < RESTARTS && !isLoading(e) ->
        restarts++; loading = loading | bitOf(e); offset[e] = 0; version[e] = 0; text[e] = 0 }
    :: atomic { isLoading(e) && !logIsDown && loaded(e) -> loading = loading & ~bitOf(e); inForce(e) }
#ifdef CLAIM_RESTART_IN_OUTAGE
    :: atomic { isLoading(e) && logIsDown && /* the peer with the highest offset is the source */
            (isLoading((e + 1) % ENTRIES) || offset[e] >= offset[(e + 1) % ENTRIES]) &&
            (isLoading((e + 2) % ENTRIES) || offset[e] >= offset[(e + 2) % ENTRIES]) ->
        loading = loading & ~bitOf(e); inForce(e) }
#endif
    od
}

inline read(e) { expected = version[e]; proposed = text[e] | bitOf(proposals); proposals++ }

/* Reads a version at any ready entry and proposes a change of it later. A copy follows when the answer was lost. */
proctype Operator()
{
    byte expected, proposed;
    do
    :: atomic { proposals < PROPOSALS && !proposed ->
        if
        :: !isLoading(0) -> read(0)
        :: !isLoading(1) -> read(1)
        :: !isLoading(2) -> read(2)
        fi }
    :: atomic { !logIsDown && proposed -> head++; recordVersion[head] = expected; recordText[head] = proposed;
        if
        :: !copied -> copied = 1; head++; recordVersion[head] = expected; recordText[head] = proposed
        :: true
        fi;
        expected = 0; proposed = 0 }
    od
}

/* Drops the oldest record once a later snapshot in the log covers it. */
proctype Retention()
{
    do
    :: atomic { earliest < MAXIMUM_OFFSET - 1 &&
            ((snapshotAt[0] > earliest && snapshotOffset[snapshotAt[0]] >= earliest) ||
             (snapshotAt[SNAPSHOTS - 1] > earliest && snapshotOffset[snapshotAt[SNAPSHOTS - 1]] >= earliest)) ->
        earliest++ }
    od
}

#ifdef CLAIM_RESTART_IN_OUTAGE
proctype Outage()
{
    logIsDown = 1;
    logIsDown = 0
}
#endif

#ifdef LIVENESS
/* Keeps a state in which nothing else can happen from ending the run: spin applies fairness to infinite runs only. */
bit tick;
active proctype Clock()
{
    do
    :: tick = !tick
    od
}
#endif

init
{
    atomic {
        byte i;
        for (i : 1 .. PROPOSALS + 1) { textOf[i] = UNSET }
        run Entry(0); run Entry(1); run Entry(2); run Operator(); run Operator(); run Retention();
#ifdef CLAIM_RESTART_IN_OUTAGE
        run Outage();
#endif
        i = 0
    }
}

#define hasLatest(e) (version[e] == latest && !isLoading(e))
#ifdef LIVENESS
ltl each_entry_learns { <> [] (hasLatest(0) && hasLatest(1) && hasLatest(2)) }
#endif
