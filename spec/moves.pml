/*
 * Moves of one instance X between pools 1 and 2: log, fold, gate, view leases, platform reboot, budget.
 *
 * The fold is a function of the prefix, so each record is evaluated once, when it is appended. Only records that change
 * what an entry may do take an offset: may[k] is the pool under which X accepts sends in the state of the prefix k. A
 * process that takes no step is frozen; time is the order of lease expiry and of the waits that depend on it.
 */
#ifndef GATES
#define GATES 1
#endif
#ifndef MOVES
#define MOVES 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define MAXIMUM_OFFSET 8
#define ALL ((1 << GATES) - 1)
#define NOBODY 0
#define ACTIVE 0
#define CLOSING 1
#define CLOSED 2
#define LOST 3
#define HOLDER GATES

byte may[MAXIMUM_OFFSET], head;
byte pool = 1, status, move, closingOffset, pending, members = ALL;
byte destination[MOVES + 1], acknowledgedBy[MOVES + 1];
byte yStatus, yPool = 1; /* second instance of pool 1 */
byte folded[GATES + 1]; /* per entry; the last one is the holder in the other zone */
byte joined[GATES], dead, restarting, restarts;
byte leases[GATES], formerLeases[GATES]; /* bit n: unexpired lease of gate offset n, of this and former processes */
byte flight[GATES + 1]; /* pool under which a request was checked and not yet written */
bit intact[GATES + 1]; /* its connection */
byte assigning, assigned, platformPool = 1, platformEpoch; /* bit sets of moves; the epoch is counted in moves */

#define bitOf(n) (1 << (n))
#define below(mask, n) ((mask) & ((1 << (n)) - 1))
#define available1 ((pool == 1 && status == ACTIVE) + (yPool == 1 && yStatus == ACTIVE))
#define available2 (1 + (pool == 2 && status == ACTIVE)) /* pool 2 has another instance that stays */
#define minimum 1
#define isMember(g) ((members & bitOf(g)) && !((dead | restarting) & bitOf(g)) && folded[g] >= joined[g])

#ifdef MUTATE_NO_BUDGET_CHECK
#define budgetAllows(n) true
#else
#define budgetAllows(n) ((n) >= minimum + 1)
#endif
#ifdef MUTATE_IGNORE_LEASES
#define holderClear(g) true
#else
#define holderClear(g) (!below(leases[g], closingOffset) || (folded[HOLDER] >= closingOffset && !flight[HOLDER]))
#endif
#ifdef MUTATE_RESTART_WITHOUT_WAIT
#define formerClear(g) true
#else
#define formerClear(g) (!formerLeases[g])
#endif
#ifdef MUTATE_REMOVE_WITHOUT_DELAY
#define removable(g) true
#else
#define removable(g) (!leases[g] && !formerLeases[g])
#endif
#ifdef MUTATE_GRANT_LEASE_BEFORE_MEMBER
#define mayLease(g) (!(dead & bitOf(g)))
#else
#define mayLease(g) isMember(g)
#endif
#ifdef MUTATE_ABORT_WHEN_CLOSED
#define abortable (status == CLOSING || status == CLOSED)
#else
#define abortable (status == CLOSING)
#endif
#ifdef MUTATE_ACKNOWLEDGE_WITHOUT_MOVE_ID
#define sameMove(m) true
#else
#define sameMove(m) ((m) == move)
#endif
#ifdef MUTATE_GRANT_BEFORE_REBOOT
#define rebooted(m) true
#else
#define rebooted(m) (assigned & bitOf(m))
#endif
#ifdef MUTATE_ACCEPT_LOWER_EPOCH
#define epochAccepted(m) (platformPool != destination[m])
#else
#define epochAccepted(m) ((m) > platformEpoch)
#endif

inline advance(permitted) { head++; assert(head < MAXIMUM_OFFSET); may[head] = permitted }

inline dropGate(g)
{
    pending = pending & ~bitOf(g);
    if
    :: status == CLOSING && !pending -> status = CLOSED
    :: else
    fi
}

/* Two operators: one moves X, the other takes Y out of pool 1 or finds it lost. */
active proctype OperatorOfX()
{
    do
    :: atomic { move < MOVES && status == ACTIVE &&
            ((pool == 1 && budgetAllows(available1)) || (pool == 2 && budgetAllows(available2))) ->
        move++;
        destination[move] = 3 - pool;
        pending = members;
        status = (pending -> CLOSING : CLOSED);
        advance(NOBODY);
        closingOffset = head;
        assert(available1 >= minimum && available2 >= minimum) }
    od
}

#ifndef LIVENESS
active proctype OperatorOfY()
{
    do
    :: atomic { yPool == 1 && yStatus == ACTIVE && budgetAllows(available1) -> yStatus = CLOSING;
        assert(available1 >= minimum) }
    :: yStatus == CLOSING -> yStatus = ACTIVE /* aborted */
    :: atomic { yStatus == CLOSING -> yPool = 2; yStatus = LOST } /* granted; it does not return */
    :: atomic { yPool == 1 && yStatus == ACTIVE && available1 == 2 -> yStatus = LOST }
    od
}

/* Copies of acknowledgements whose append answer was lost, folded during a later move. */
active proctype Copies()
{
    do
    :: atomic { move > 1 && status == CLOSING && sameMove(1) && (acknowledgedBy[1] & pending & 1) -> dropGate(0) }
    :: atomic { move > 1 && GATES > 1 && status == CLOSING && sameMove(1) && (acknowledgedBy[1] & pending & 2) ->
        dropGate(1) }
    od
}
#endif

/* The assign call is repeated until it is answered; a repeat may arrive after later moves. */
active proctype Mover()
{
    do
    :: atomic { status == CLOSED && !(assigning & bitOf(move)) -> assigning = assigning | bitOf(move) }
    :: atomic { status == CLOSED && rebooted(move) -> pool = destination[move]; status = ACTIVE; advance(pool) }
    od
}

active proctype Platform()
{
    byte m, e;
    do
    :: atomic { (assigning & bitOf(1)) && epochAccepted(1) -> m = 1; goto reboot }
    :: atomic { (assigning & bitOf(2)) && epochAccepted(2) -> m = 2;
reboot:
        platformPool = destination[m]; platformEpoch = m; assigned = assigned | bitOf(m); m = 0;
#ifndef MUTATE_KEEP_CONNECTIONS
        for (e : 0 .. GATES) { intact[e] = 0 }
        e = 0
#endif
        }
    od
}

#ifndef MUTATE_NO_ABORT
active proctype Aborter() /* by time-out or operator, from a view that may be outdated */
{
    do
    :: atomic { abortable -> status = ACTIVE; pending = 0; advance(pool) }
    od
}
#endif

inline check(e) { flight[e] = may[folded[e]]; intact[e] = 1 }
inline write(e)
{
    assert(!intact[e] || flight[e] == platformPool);
    flight[e] = 0; intact[e] = 0
}

proctype GateEntry(byte g)
{
    do
    :: atomic { folded[g] < head && !(dead & bitOf(g)) -> folded[g]++ }
    :: atomic { isMember(g) && !flight[g] && may[folded[g]] != NOBODY -> check(g) }
    :: atomic { flight[g] -> write(g) }
    :: atomic { status == CLOSING && (pending & bitOf(g)) && isMember(g) && folded[g] >= closingOffset && !flight[g] &&
            holderClear(g) && formerClear(g) ->
        acknowledgedBy[move] = acknowledgedBy[move] | bitOf(g); dropGate(g) }
#ifdef LIVENESS
    :: break /* frozen for good */
#else
    :: atomic { restarts < RESTARTS && !(dead & bitOf(g)) -> restarts++; dead = dead | bitOf(g);
        flight[g] = 0; intact[g] = 0; folded[g] = 0;
        formerLeases[g] = formerLeases[g] | leases[g]; leases[g] = 0 }
    :: atomic { (dead & bitOf(g)) -> dead = dead & ~bitOf(g); restarting = restarting | bitOf(g) }
    :: atomic { (restarting & bitOf(g)) -> restarting = restarting & ~bitOf(g); members = members | bitOf(g);
        advance(may[head - 1]); joined[g] = head }
    :: atomic { ((dead | restarting) & members & bitOf(g)) && removable(g) -> members = members & ~bitOf(g);
        dropGate(g) }
#endif
    od
}

proctype LeaseHolder()
{
    byte g;
    do
    :: atomic { folded[HOLDER] < head -> folded[HOLDER]++ }
    :: atomic { !flight[HOLDER] && may[folded[HOLDER]] != NOBODY &&
            (below(leases[0] | formerLeases[0], folded[HOLDER] + 1) ||
                below(leases[GATES - 1] | formerLeases[GATES - 1], folded[HOLDER] + 1)) -> check(HOLDER) }
    :: atomic { flight[HOLDER] -> write(HOLDER) }
    :: atomic { mayLease(0) && !(leases[0] & bitOf(folded[0])) -> leases[0] = leases[0] | bitOf(folded[0]) }
#if GATES > 1
    :: atomic { mayLease(1) && !(leases[1] & bitOf(folded[1])) -> leases[1] = leases[1] | bitOf(folded[1]) }
#endif
    od
}

/* Leases of one gate entry expire in the order of their offsets. */
proctype Expiry(byte g)
{
    do
    :: atomic { formerLeases[g] -> formerLeases[g] = formerLeases[g] & (formerLeases[g] - 1) }
    :: atomic { leases[g] -> leases[g] = leases[g] & (leases[g] - 1) }
    od
}

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
        may[0] = 1;
        run GateEntry(0); run Expiry(0);
#if GATES > 1
        run GateEntry(1); run Expiry(1);
#endif
        run LeaseHolder()
    }
}

#ifdef LIVENESS
ltl each_move_ends { [] (status != ACTIVE -> <> (status == ACTIVE)) }
#endif
