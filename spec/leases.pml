/* What an owner knows about the lease of a worker: one worker that restarts under its old id, an owner and its
 * successor, and calls that are executed late. The steps correspond to WorkerLedger and, for the worker, to the
 * published protocol of the platform.
 *
 * Time is discrete: Clock decrements all counters, each of which is the remaining time until an event. Calls,
 * responses and reports may be lost, so an owner that is killed, or cut off from the worker, is one that does nothing
 * more. Responses may take any time.
 *
 * A run that is over is replaced, by a run on another worker or by the next one on this worker. The claim is that it
 * isn't active then and doesn't start later.
 */

/* With these times, a lease of the maximum length outlasts the grace and a standard lease. */
#ifndef STANDARD_LEASE
#define STANDARD_LEASE 2
#endif
#ifndef MAXIMUM_LEASE
#define MAXIMUM_LEASE 4
#endif
#ifndef GRACE
#define GRACE 1 /* the former owner continues for so long after a takeover */
#endif
#ifndef LATE_LIMIT
#define LATE_LIMIT 1 /* between the sending of a call and its execution */
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef RUNS
#define RUNS 1
#endif
#ifndef CALLS
#define CALLS 1 /* in flight; further calls are lost */
#endif
#ifndef MAX_UNANSWERED
#define MAX_UNANSWERED 2 /* start orders of a run */
#endif

#ifdef MUTATE_SHORT_GRACE
#define ASSUMED_GRACE (GRACE - 1)
#else
#define ASSUMED_GRACE GRACE
#endif
#ifdef MUTATE_STANDARD_LEASE_AT_CONTACT
#define LEASE_AT_CONTACT STANDARD_LEASE
#else
#define LEASE_AT_CONTACT MAXIMUM_LEASE
#endif
#ifdef MUTATE_MAXIMUM_LEASE_AT_CHANGE
#define LEASE_AT_CHANGE MAXIMUM_LEASE
#else
#define LEASE_AT_CHANGE (LATE_LIMIT + MAXIMUM_LEASE)
#endif
#ifdef MUTATE_UNNOTICED_IN_START_RESPONSE
#define NOTICED_IN_RESPONSE (!response.toStart)
#else
#define NOTICED_IN_RESPONSE true
#endif
#ifdef MUTATE_FORGET_DOUBT
#define NO_DOUBT(self) true
#else
#define NO_DOUBT(self) (ledgers[self].doubt == 0)
#endif
#ifdef MUTATE_DOUBT_FROM_LAST_START
#define CAUSES_DOUBT(self, number) (number > 0)
#else
#define CAUSES_DOUBT(self, number) (ledgers[self].unanswered > 0)
#endif
#ifdef MUTATE_ANY_REPORT_CLEARS_DOUBT
#define CLEARS_DOUBT(self) true
#else
#define CLEARS_DOUBT(self) (ledgers[self].clearDelay == 0)
#endif
#ifdef MUTATE_DOUBT_NOT_STORED
#define STORED_DOUBT false
#else
#define STORED_DOUBT storedDoubt
#endif
#ifdef MUTATE_STANDARD_LEASE_AT_TAKEOVER
#define STORED_FLOOR 0
#else
#define STORED_FLOOR storedFloor
#endif
#ifdef MUTATE_FLOOR_ONLY_BEFORE_START
#define FLOOR_IS_STORED (storedFloor >= FLOOR)
#define STORES_FLOOR (!ledgers[0].sent)
#else
#define FLOOR_IS_STORED true /* until an answer is stored, with the floor, the start is doubtful to the next owner */
#define STORES_FLOOR true
#endif
#ifdef MUTATE_KEEP_EARLIER_EXPIRY
#define EXPIRY_IS_STORED true
#else
#define EXPIRY_IS_STORED (storedExpiry >= ledgers[0].bound)
#endif
#ifdef MUTATE_RECORDED_EXPIRY_ENDS_DOUBT
#define EXPIRY_ENDS_DOUBT (storedExpiry != NONE)
#else
#define EXPIRY_ENDS_DOUBT false
#endif
#ifdef MUTATE_EXTEND_RECORDED_LEASE
#define MAY_EXTEND(self) true
#else
#define MAY_EXTEND(self) (self == 1 || storedExpiry == NONE)
#endif

/* With BOUND, calls reach only the incarnation that they are meant for, at any later time. */
#ifdef BOUND
#define STAYS_IN_FLIGHT true
#ifdef MUTATE_UNBOUND_CALLS
#define REACHES(call) true
#else
#define REACHES(call) (calls[call].target == incarnation)
#endif
#else
#define STAYS_IN_FLIGHT false
#define REACHES(call) true
#endif

#define NONE 255
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define COUNT_DOWN(counter) counter = ((counter) > 0 -> (counter) - 1 : 0)

#define FIRST_TOKEN(self) (self * 8 + 1)
#define OWNER_OF(callToken) ((callToken) / 8)
#define ACTIVE(self) (self == 0 -> predecessorActive : takenOver)
#define MAY_STORE(self) (self == 1 || !takenOver)
#define CAN_SEND(self) (ACTIVE(self) && ledgers[self].known != NONE)
#define FLOOR (ledgers[0].bound > STANDARD_LEASE -> ledgers[0].bound : 0)
/* A start is sent again while an earlier one has no response. */
#define MAY_START(self) \
    (ledgers[self].sent -> ledgers[self].unanswered > 0 && ledgers[self].unanswered < MAX_UNANSWERED \
                         : self == 1 || FLOOR_IS_STORED)

/* The worker. */
byte incarnation = 0, workerToken = 0, workerLease = 0, running = 0;

typedef Call {
    bool inFlight;
    byte target; /* the incarnation that it is meant for */
    byte token;
    byte runNumber; /* 0 for a renewal */
    byte end; /* remaining time until the lease end that it carries, on the clock of its target */
    byte late /* remaining time in which it may be executed */
};
Call calls[CALLS];

/* A response or report on its way to the owner that the token names. */
typedef Response {
    bool pending;
    byte incarnation;
    byte token;
    byte runNumber; /* the run that the owner had on the worker at the request */
    bool toStart;
    bool clears; /* the report was requested late enough to clear the doubt about this run */
    bool gone /* the report shows that this run is gone for good */
};
Response response;

typedef Ledger {
    byte known; /* the incarnation that the owner knows */
    byte token;
    bool contacted; /* there was a response under this token */
    byte bound; /* remaining time of the worker's lease at most */
    byte runNumber; /* the run on the worker; 0 for none */
    bool sent;
    byte unanswered; /* start orders without a response; the run is doubtful if there are any */
    byte doubt; /* remaining time of a doubtful run at most */
    byte clearDelay /* remaining time until a report clears the doubt */
};
Ledger ledgers[2];

/* The store. */
byte storedRun = 0, storedFloor = 0;
bool storedDoubt = false;
byte storedExpiry = NONE; /* remaining time of the lease in the record of unresponsive workers */

bool takenOver = false, predecessorActive = true;
byte grace = 0;
byte over = 0; /* highest run that was replaced */
byte i = 0, next = 0;
#ifdef EARLIER_OWNER
#ifdef BOUND
byte earlierCalls = GRACE + STANDARD_LEASE; /* remaining time of the leases that the first owner's predecessor extends */
#define EARLIER_LEASE (incarnation == 0 -> MAX(workerLease, earlierCalls) : workerLease)
#else
byte earlierCalls = GRACE + LATE_LIMIT + 1; /* while calls of the first owner's predecessor may be executed */
#define EARLIER_LEASE MAXIMUM_LEASE
#endif
#endif

inline clearDoubt(self)
{
    ledgers[self].unanswered = 0;
    ledgers[self].doubt = 0;
    ledgers[self].clearDelay = 0
}

/* The owner learns the worker's new incarnation. */
inline notice(self, newIncarnation)
{
    ledgers[self].known = newIncarnation;
    ledgers[self].bound = (MAY_STORE(self) -> LEASE_AT_CHANGE : 0);
    ledgers[self].contacted = false;
#ifndef MUTATE_NO_TOKEN_RAISE
    ledgers[self].token++
#endif
}

/* The first response under a token. It may also raise the bound: calls of a former owner that the worker has executed
 * before count from now, not from the takeover. */
inline firstContact(self)
{
    if
    :: !ledgers[self].contacted && MAY_STORE(self) ->
        ledgers[self].contacted = true;
#ifdef MUTATE_ONLY_LOWER_AT_CONTACT
        ledgers[self].bound = MIN(ledgers[self].bound, LEASE_AT_CONTACT)
#else
        ledgers[self].bound = LEASE_AT_CONTACT
#endif
    :: else
    fi
}

inline send(self, number, leaseEnd)
{
    i = 0;
    do
    :: i < CALLS && calls[i].inFlight -> i++
    :: else -> break
    od;
    if
    :: i < CALLS ->
        calls[i].inFlight = true;
        calls[i].target = ledgers[self].known;
        calls[i].token = ledgers[self].token;
        calls[i].runNumber = number;
        calls[i].end = leaseEnd;
        calls[i].late = LATE_LIMIT
    :: else /* lost */
    fi;
    if
    :: MAY_STORE(self) -> ledgers[self].bound = MAX(ledgers[self].bound, leaseEnd)
    :: else
    fi;
    if
    :: MAY_STORE(self) && CAUSES_DOUBT(self, number) ->
        ledgers[self].doubt = MAX(ledgers[self].doubt, LATE_LIMIT + MAXIMUM_LEASE)
    :: else
    fi;
    i = 0
}

/* The calls after it move up, which saves states. */
inline forget(call)
{
    next = call + 1;
    do
    :: next < CALLS ->
        calls[next - 1].inFlight = calls[next].inFlight;
        calls[next - 1].target = calls[next].target;
        calls[next - 1].token = calls[next].token;
        calls[next - 1].runNumber = calls[next].runNumber;
        calls[next - 1].end = calls[next].end;
        calls[next - 1].late = calls[next].late;
        next++
    :: else -> break
    od;
    next = 0;
    calls[CALLS - 1].inFlight = false;
    calls[CALLS - 1].target = 0;
    calls[CALLS - 1].token = 0;
    calls[CALLS - 1].runNumber = 0;
    calls[CALLS - 1].end = 0;
    calls[CALLS - 1].late = 0
}

inline forgetResponse()
{
    response.pending = false;
    response.incarnation = 0;
    response.token = 0;
    response.runNumber = 0;
    response.toStart = false;
    response.clears = false;
    response.gone = false
}

inline declareOver(self)
{
    assert(running != ledgers[self].runNumber);
    over = MAX(over, ledgers[self].runNumber);
    ledgers[self].runNumber = 0;
    ledgers[self].sent = false;
    clearDoubt(self)
}

proctype Owner(byte self)
{
    do
    :: d_step { /* a call without a lease end, for a report */
        ACTIVE(self) && ledgers[self].token >= workerToken && !response.pending ->
        workerToken = ledgers[self].token;
        response.pending = true;
        response.incarnation = incarnation;
        response.token = ledgers[self].token;
        response.runNumber = ledgers[self].runNumber;
        response.clears = (MAY_STORE(self) && ledgers[self].unanswered > 0 && CLEARS_DOUBT(self));
        response.gone = (MAY_STORE(self) && ledgers[self].sent && (ledgers[self].unanswered == 0 || response.clears) &&
            running != ledgers[self].runNumber)
    }
    :: d_step { /* the response or report arrives */
        response.pending && self == OWNER_OF(response.token) && ACTIVE(self) ->
        if
        :: ledgers[self].known == NONE -> ledgers[self].known = response.incarnation
        :: else
        fi;
        if
        :: NOTICED_IN_RESPONSE && response.incarnation > ledgers[self].known -> notice(self, response.incarnation)
        :: response.incarnation == ledgers[self].known && response.token == ledgers[self].token -> firstContact(self)
        :: else
        fi;
        if
        :: response.runNumber > 0 && response.runNumber == ledgers[self].runNumber ->
            if
            :: response.toStart && ledgers[self].unanswered > 0 -> ledgers[self].unanswered--
            :: response.clears -> ledgers[self].unanswered = 0
            :: else
            fi;
            if
            :: ledgers[self].unanswered == 0 -> clearDoubt(self)
            :: else
            fi;
            if
            :: MAY_STORE(self) && response.gone -> declareOver(self)
            :: else
            fi
        :: else
        fi;
        forgetResponse()
    }
    :: d_step { /* an entry of service discovery */
        ACTIVE(self) && ledgers[self].known != NONE && incarnation > ledgers[self].known ->
        notice(self, incarnation)
    }
    :: d_step { /* a run is stored before it is sent */
        ACTIVE(self) && MAY_STORE(self) && ledgers[self].runNumber == 0 && storedRun < RUNS ->
        storedRun++;
        storedDoubt = true; /* its number is not below the recorded next number */
        ledgers[self].runNumber = storedRun
    }
    :: d_step { /* the service's lease record is stored */
        self == 0 && !takenOver ->
        if
        :: STORES_FLOOR -> storedFloor = FLOOR
        :: else
        fi;
        if
        :: ledgers[0].sent && ledgers[0].unanswered == 0 && EXPIRY_IS_STORED -> storedDoubt = false
        :: else
        fi
    }
    :: d_step {
        CAN_SEND(self) && MAY_EXTEND(self) && ledgers[self].runNumber > 0 && MAY_START(self) ->
        ledgers[self].sent = true;
        ledgers[self].unanswered++;
        if /* a report requested before this start doesn't show its effect */
        :: OWNER_OF(response.token) == self -> response.clears = false; response.gone = false
        :: else
        fi;
        if
        :: MAY_STORE(self) -> ledgers[self].clearDelay = MAX(ledgers[self].clearDelay, LATE_LIMIT + 1)
        :: else
        fi;
        send(self, ledgers[self].runNumber, STANDARD_LEASE)
    }
    :: d_step { CAN_SEND(self) && MAY_EXTEND(self) -> send(self, 0, STANDARD_LEASE) }
    :: d_step { /* the worker is recorded as unresponsive, or removed from that record */
        self == 0 && !takenOver ->
        storedExpiry = (storedExpiry == NONE -> ledgers[0].bound : NONE)
    }
    :: d_step { CAN_SEND(self) -> send(self, 0, 0) } /* a renewal that repeats an earlier lease end */
    :: d_step { /* without a report */
        ACTIVE(self) && MAY_STORE(self) && ledgers[self].sent && ledgers[self].bound == 0 && NO_DOUBT(self) ->
        declareOver(self)
    }
    od
}

inline execute(call)
{
    if
    :: calls[call].token < workerToken
    :: else ->
        workerToken = calls[call].token;
        if
        :: calls[call].target != incarnation -> workerLease = MAXIMUM_LEASE
        :: else -> workerLease = MAX(workerLease, calls[call].end)
        fi;
        if
        :: calls[call].runNumber > 0 && (calls[call].target != incarnation || calls[call].end > 0) ->
            assert(calls[call].runNumber > over);
            running = calls[call].runNumber
        :: else
        fi
    fi
}

/* The response to a start order, be it a rejection or not. */
inline respond(call)
{
    response.pending = true;
    response.incarnation = incarnation;
    response.token = calls[call].token;
    response.runNumber = calls[call].runNumber;
    response.toStart = true
}

proctype Network(byte call)
{
    do
    :: d_step { calls[call].inFlight && REACHES(call) -> execute(call); forget(call) }
#ifdef BOUND
    :: d_step { calls[call].inFlight -> forget(call) } /* lost */
#endif
    :: d_step {
        calls[call].inFlight && REACHES(call) && calls[call].runNumber > 0 && !response.pending ->
        execute(call);
        respond(call);
        forget(call)
    }
    od
}

proctype LostResponses()
{
    do
    :: d_step { response.pending -> forgetResponse() }
    od
}

proctype Restart()
{
    do
    :: d_step {
        incarnation < RESTARTS -> incarnation++;
        workerToken = 0;
        workerLease = 0;
        running = 0
    }
    od
}

#ifdef EARLIER_OWNER
proctype EarlierOwner()
{
    do
    :: d_step { earlierCalls > 0 && workerToken == 0 -> workerLease = EARLIER_LEASE }
    od
}
#endif

proctype Takeover()
{
    d_step {
        takenOver = true;
        grace = GRACE;
        /* The former owner only sends from now on; fixed values of what it no longer uses save states. */
        ledgers[0].bound = 0;
        ledgers[0].doubt = 0;
        ledgers[0].clearDelay = 0;
        ledgers[1].known = NONE;
        ledgers[1].token = FIRST_TOKEN(1);
        ledgers[1].bound = MIN(MAX(ASSUMED_GRACE + STANDARD_LEASE, STORED_FLOOR), storedExpiry);
        if
        :: storedRun > over -> ledgers[1].runNumber = storedRun; ledgers[1].sent = true
        :: else
        fi;
        if
        :: storedRun > over && STORED_DOUBT ->
            ledgers[1].unanswered = 1;
            ledgers[1].doubt = (EXPIRY_ENDS_DOUBT -> 0 : ASSUMED_GRACE + LATE_LIMIT + MAXIMUM_LEASE);
            ledgers[1].clearDelay = ASSUMED_GRACE + LATE_LIMIT + 1
        :: else
        fi;
        storedDoubt = false;
        storedFloor = 0
    }
}

inline countDown(self)
{
    COUNT_DOWN(ledgers[self].bound);
    COUNT_DOWN(ledgers[self].doubt);
    COUNT_DOWN(ledgers[self].clearDelay)
}

proctype Clock()
{
    do
    :: d_step {
        true ->
        COUNT_DOWN(workerLease);
        if
        :: workerLease == 0 -> running = 0
        :: else
        fi;
        i = 0;
        do
        :: i < CALLS && calls[i].inFlight ->
            if
            :: calls[i].late == 0 && !STAYS_IN_FLIGHT -> forget(i)
            :: else -> COUNT_DOWN(calls[i].late); COUNT_DOWN(calls[i].end); i++
            fi
        :: else -> break
        od;
        i = 0;
#ifdef EARLIER_OWNER
        COUNT_DOWN(earlierCalls);
#endif
        if
        :: storedExpiry != NONE -> COUNT_DOWN(storedExpiry)
        :: else
        fi;
        countDown(0);
        countDown(1);
        if
        :: takenOver && predecessorActive && grace == 0 ->
            storedExpiry = NONE;
            predecessorActive = false;
            ledgers[0].known = 0;
            ledgers[0].token = 0;
            ledgers[0].contacted = false;
            ledgers[0].bound = 0;
            ledgers[0].runNumber = 0;
            ledgers[0].sent = false;
            clearDoubt(0)
        :: else -> COUNT_DOWN(grace)
        fi
    }
    od
}

init {
    atomic {
        ledgers[0].token = FIRST_TOKEN(0);
#ifdef EARLIER_OWNER
        run EarlierOwner();
        ledgers[0].known = NONE;
        ledgers[0].bound = ASSUMED_GRACE + STANDARD_LEASE;
#else
        ledgers[0].contacted = true;
#endif
        run Takeover();
        run Owner(1);
        run Owner(0);
        run LostResponses();
        run Restart();
        run Clock();
        i = 0;
        do
        :: i < CALLS -> run Network(i); i++
        :: else -> break
        od;
        i = 0
    }
}
