/*
 * One request key: intents, withdrawals and outcomes in the log, two entries, retries, the end of an owner.
 *
 * Processes 0 and 1 are the entries; process 2 is the next boot of entry 0. Process 0 may be removed or replaced while it
 * still runs, as when it is cut off from the platform's list. Each record is evaluated when it is appended; the log has
 * the verdict and the state of the key after it. A process that takes no step is frozen.
 */
#ifndef REQUESTS
#define REQUESTS 3
#endif
#define PROCESSES 3
#define MAXIMUM_OFFSET 12
#define NOBODY 255
#define bitOf(n) (1 << (n))

/* state of the key */
#define ABSENT 0
#define INTENDED 1
#define RAN 2
#define UNKNOWN 3
/* records; 0 is no record */
#define INTENT 1
#define WITHDRAWN 2
#define OUTCOME_RAN 3
#define OUTCOME_UNKNOWN 4
#define MEMBERSHIP 5
/* state of a process */
#define IDLE 0
#define WAITING 1 /* for its intent to be folded */
#define ABANDONED 2 /* as before, the caller has its answer */
#define READY 3 /* may dispatch */
#define SENT 4
/* answers; 0 is none */
#define NOT_RUN 1
#define STILL_RUNNING 2
#define HAS_RUN 3
#define MAY_HAVE_RUN 4

byte key[MAXIMUM_OFFSET], head;
byte intentOf[MAXIMUM_OFFSET]; /* the record is an intent: its writer + 1 */
bit accepted[MAXIMUM_OFFSET]; /* for intents */
byte owner = NOBODY, members = 3, alive = 3;
byte folded[PROCESSES], state[PROCESSES], request[PROCESSES];
byte outgoing[PROCESSES]; /* record whose append is under way */
#ifdef MUTATE_NO_RECORD_IDENTITY
bit withdrew, copied; /* of process 0 */
#endif
byte issued, runs;
byte transit, ranRequests, toldNotRun; /* bit sets of requests */

inline append(k, w, verdict, next)
{
    head++;
    assert(head < MAXIMUM_OFFSET);
    key[head] = next;
    if
    :: k == INTENT -> intentOf[head] = w + 1; accepted[head] = verdict
    :: else
    fi;
    if
    :: next == ABSENT -> owner = NOBODY
    :: else
    fi
}

inline fold(k, w)
{
    if
    :: k == INTENT && key[head] == ABSENT && (members & bitOf(w)) -> owner = w; append(k, w, 1, INTENDED)
    :: k == WITHDRAWN && key[head] == INTENDED && owner == w -> append(k, w, 1, ABSENT)
    :: k == OUTCOME_RAN && key[head] != ABSENT && key[head] != RAN && owner == w -> append(k, w, 1, RAN)
    :: k == OUTCOME_UNKNOWN && key[head] != ABSENT && key[head] != RAN && owner == w -> append(k, w, 1, UNKNOWN)
    :: else -> append(k, w, 0, key[head - 1]) /* evaluated at the new offset */
    fi
}

inline reply(r, code)
{
    toldNotRun = (code == NOT_RUN -> toldNotRun | bitOf(r) : toldNotRun);
    assert(code != NOT_RUN || !(ranRequests & bitOf(r)));
    assert(code != HAS_RUN || runs > 0);
#ifdef CLAIM_KEY_NOT_RUN /* for the work of the key, not only for this request */
    assert(code != NOT_RUN || runs == 0);
#endif
}

/* Nothing tells that no earlier request has run the key's work, except the caller: the first request says that it is the
   first, and a caller that sends the key again has closed the connection of the first. */
inline replyUnproven(r)
{
    if
    :: r == 1 && issued == 1 -> reply(r, NOT_RUN)
    :: else ->
#ifdef MUTATE_RETRY_TOLD_NOT_RUN
        reply(r, NOT_RUN)
#else
        reply(r, MAY_HAVE_RUN)
#endif
    fi
}

inline replyFromState(r, k)
{
    if
    :: k == INTENDED -> reply(r, STILL_RUNNING)
    :: k == RAN -> reply(r, HAS_RUN)
    :: k == UNKNOWN -> reply(r, MAY_HAVE_RUN)
    :: k == ABSENT -> replyUnproven(r)
    fi
}

inline propose(p, k) { assert(!outgoing[p]); outgoing[p] = k }

inline finish(p) { state[p] = IDLE; request[p] = 0 }

inline dispatch(p) { transit = transit | bitOf(request[p]); state[p] = SENT }

/* A caller sends the same key again, before or after an answer, through any entry. */
proctype Caller()
{
    byte p;
    do
    :: atomic { issued < REQUESTS ->
        if
        :: (alive & 1) -> p = 0
        :: (alive & 2) -> p = 1
        :: (alive & 4) && (members & 4) && folded[2] > 0 -> p = 2
        fi;
        issued++;
        if
        :: key[folded[p]] != ABSENT -> replyFromState(issued, key[folded[p]])
        :: key[folded[p]] == ABSENT && (state[p] != IDLE || outgoing[p]) -> reply(issued, STILL_RUNNING)
        :: key[folded[p]] == ABSENT && state[p] == IDLE && !outgoing[p] ->
            request[p] = issued; propose(p, INTENT);
#ifdef MUTATE_DISPATCH_BEFORE_READ_BACK
            dispatch(p)
#else
            state[p] = WAITING
#endif
        fi; p = 0 }
    od
}

inline foldedOwnIntent(p)
{
    if
    :: accepted[folded[p]] && state[p] == WAITING -> state[p] = READY
    :: accepted[folded[p]] && state[p] == ABANDONED ->
#ifdef MUTATE_DISPATCH_ABANDONED
        state[p] = READY
#else
        propose(p, WITHDRAWN); finish(p)
#endif
    :: !accepted[folded[p]] && state[p] == WAITING -> replyFromState(request[p], key[folded[p]]); finish(p)
    :: !accepted[folded[p]] && state[p] == ABANDONED -> finish(p)
    :: state[p] != WAITING && state[p] != ABANDONED /* a copy, or dispatched before */
    fi
}

proctype Process(byte p)
{
    do
    :: atomic { (alive & bitOf(p)) && folded[p] < head -> folded[p]++;
        if
        :: intentOf[folded[p]] == p + 1 -> foldedOwnIntent(p)
        :: else
        fi }
    :: atomic { (alive & bitOf(p)) && state[p] == WAITING -> replyUnproven(request[p]); state[p] = ABANDONED }
    :: atomic { (alive & bitOf(p)) && state[p] == READY -> dispatch(p) }
    :: atomic { (alive & bitOf(p)) && state[p] == READY ->
        reply(request[p], NOT_RUN); propose(p, WITHDRAWN); finish(p) }
    :: atomic { (alive & bitOf(p)) && state[p] == SENT && (ranRequests & bitOf(request[p])) && !outgoing[p] ->
        reply(request[p], HAS_RUN); propose(p, OUTCOME_RAN); finish(p) }
    :: atomic { (alive & bitOf(p)) && state[p] == SENT && (transit & bitOf(request[p])) && !outgoing[p] ->
        /* the target refuses the work */
        transit = transit & ~bitOf(request[p]);
        reply(request[p], NOT_RUN); propose(p, WITHDRAWN); finish(p) }
    :: atomic { (alive & bitOf(p)) && state[p] == SENT && !outgoing[p] -> /* no answer; the work may still run */
#ifdef MUTATE_WITHDRAW_AFTER_DISPATCH
        reply(request[p], MAY_HAVE_RUN); propose(p, WITHDRAWN);
#else
#ifdef MUTATE_RAN_WITHOUT_ANSWER
        reply(request[p], MAY_HAVE_RUN); propose(p, OUTCOME_RAN);
#else
        reply(request[p], MAY_HAVE_RUN); propose(p, OUTCOME_UNKNOWN);
#endif
#endif
        finish(p) }
    :: atomic { outgoing[p] -> /* also after the end of the process: the append was on its way */
        fold(outgoing[p], p);
#ifdef MUTATE_NO_RECORD_IDENTITY
        withdrew = withdrew | (p == 0 && outgoing[p] == WITHDRAWN);
#endif
        outgoing[p] = 0 }
    :: atomic { p == 0 && outgoing[0] && !(alive & 1) -> outgoing[0] = 0 } /* the append was lost */
    od
}

#ifdef MUTATE_NO_RECORD_IDENTITY
/* A lost answer makes the writer append the record again. The fold drops the copy by its identity; without the identity
   a late copy is folded like a new record. */
active proctype Copies()
{
    atomic { withdrew && !copied -> copied = 1; fold(WITHDRAWN, 0) }
}
#endif

proctype Target()
{
    byte r;
    do
    :: atomic { transit ->
        if
        :: (transit & 2) -> r = 1
        :: (transit & 4) -> r = 2
        :: (transit & 8) -> r = 3
        fi;
        transit = transit & ~bitOf(r);
        assert(!(toldNotRun & bitOf(r)));
        assert(runs == 0);
        runs++; ranRequests = ranRequests | bitOf(r); r = 0 }
    od
}

/* The end of process 0, its removal, and the join of its next boot. Keys of an ended owner become unknown. */
proctype Membership()
{
    byte next;
    do
    :: atomic { (alive & 1) -> alive = alive & ~1; state[0] = IDLE; request[0] = 0 }
    :: atomic { !(alive & 4) -> alive = alive | 4 }
    :: atomic { ((members & 1) || ((alive & 4) && !(members & 4))) ->
        if
        :: (members & 1) -> members = members & ~1
        :: (alive & 4) && !(members & 4) -> members = (members & ~1) | 4
        fi;
        next = key[head];
        if
        :: next == INTENDED && owner == 0 ->
#ifdef MUTATE_FORGET_KEYS_OF_ENDED_OWNER
            next = ABSENT
#else
            next = UNKNOWN
#endif
        :: else
        fi;
        append(MEMBERSHIP, NOBODY, 1, next); next = 0 }
    od
}

init
{
    atomic {
        run Process(0); run Process(1); run Process(2); run Caller(); run Target();
#ifndef FIXED_MEMBERS
        run Membership()
#endif
    }
}
