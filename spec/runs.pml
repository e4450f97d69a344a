/* One task, two workers and two consecutive owners of the task's service: the store with fencing, starts in flight,
 * leases, and acknowledged run ends. The second owner takes over at any moment, even if the first owner is
 * suspended then and continues later.
 * The steps correspond to PartitionWriter (fence, append), ServiceScheduler (placement, run ends, unresponsive
 * workers), WorkerSessions (starts, stops, lease renewals) and, for the worker, to the published protocol of the
 * platform.
 *
 * Time is modelled as the order of events. The expiry of a lease in Worker also stands for the time after which a start
 * in flight is rejected as late. predecessorActive is true while a replaced owner still renews leases and sends
 * starts. It becomes false some time after the second owner has started, and the second owner's wait for an
 * unresponsive worker counts from then on.
 */

#define WORKERS 2
#define RUNS 4

/* The store. */
byte epoch = 0;
byte storedRun = 0, storedWorker = 0;
bool storedDone = false;

bool predecessorActive = true;
#ifdef MUTATE_NO_WAIT
#define PREDECESSOR_ACTIVE false
#else
#define PREDECESSOR_ACTIVE predecessorActive
#endif
bool reportedDone = false;
byte starts = 0;
bool acknowledged = false;
byte startsAtEnd[WORKERS];

/* The workers. */
byte fencingToken[WORKERS], running[WORKERS], ended[WORKERS], highestRun[WORKERS];
bool expired[WORKERS];
chan orders[WORKERS] = [2] of { byte, byte };

/* An append by an owner; sets fenced when the store has seen a higher epoch. */
inline append(ownerEpoch, runNumber, worker, done)
{
    if
    :: ownerEpoch < epoch -> fenced = true
    :: else ->
        storedRun = runNumber;
        storedWorker = worker;
        storedDone = done
    fi
}

inline sendStart(ownerEpoch, worker, runNumber)
{
    if
    :: nfull(orders[worker]) -> orders[worker] ! ownerEpoch, runNumber; expired[worker] = false
    :: full(orders[worker])
    fi
}

/* Renews the lease under the owner's fencing token; the worker rejects a lower token. */
inline renewLease(ownerEpoch, worker)
{
    if
#ifndef WORKER_TAKES_ANY_TOKEN
    :: ownerEpoch < fencingToken[worker] -> fenced = true
    :: ownerEpoch >= fencingToken[worker] -> fencingToken[worker] = ownerEpoch; expired[worker] = false
#else
    :: true -> expired[worker] = false
#endif
    fi
}

bool secondOwnerStarted = false;

proctype Owner(byte ownerEpoch)
{
    byte runNumber = 0, worker = 0;
    bool fenced = false, placed = false, done = false, endReported = false;

#ifndef MUTATE_NO_FENCE
    atomic { /* sets the epoch before the state is read */
        if
        :: ownerEpoch > epoch -> epoch = ownerEpoch
        :: else -> fenced = true
        fi
    };
#endif
    atomic {
        secondOwnerStarted = (ownerEpoch == 2);
        runNumber = storedRun;
        worker = storedWorker;
        done = storedDone;
        placed = (runNumber > 0 && !done)
    }
    do
    :: fenced || done -> break
    :: ownerEpoch == 1 && !predecessorActive -> break
    :: !fenced && !done && !placed && runNumber < RUNS - 1 && (ownerEpoch == 2 || predecessorActive) ->
        /* The next run number and its worker are stored, then the start is sent. */
        if
        :: worker = 0
        :: worker = 1
        fi;
#ifdef MUTATE_START_BEFORE_STORE
        atomic { sendStart(ownerEpoch, worker, runNumber + 1) };
#endif
        atomic {
            append(ownerEpoch, runNumber + 1, worker, false);
            if
            :: !fenced -> runNumber++; placed = true
            :: else
            fi
        };
        if
        :: !fenced -> atomic {
            if
            :: ownerEpoch == 2 || predecessorActive -> sendStart(ownerEpoch, worker, runNumber)
            :: else
            fi
        }
        :: else
        fi
    :: !fenced && placed && (ownerEpoch == 2 || predecessorActive) ->
        /* The worker responds with its report. */
        atomic {
            renewLease(ownerEpoch, worker);
            if
            :: fenced
            :: !fenced && ended[worker] == runNumber ->
                endReported = true
            :: !fenced && running[worker] == runNumber
            :: !fenced && ended[worker] != runNumber && running[worker] != runNumber ->
                /* Not reported: the start may still be in flight, so a stop makes the worker reject this run number for
                 * good before the next one is used. */
#ifndef MUTATE_NO_STOP
                if
                :: highestRun[worker] < runNumber -> highestRun[worker] = runNumber
                :: else
                fi;
#endif
                placed = false
            fi
        };
        if
        :: endReported ->
#ifdef MUTATE_ACKNOWLEDGE_BEFORE_STORE
            atomic { ended[worker] = 0; assert(starts == startsAtEnd[worker]); acknowledged = true };
#endif
            atomic { append(ownerEpoch, runNumber, worker, true); done = !fenced };
            endReported = false;
#ifndef MUTATE_ACKNOWLEDGE_BEFORE_STORE
            atomic {
                if
                :: done && ended[worker] == runNumber && ownerEpoch >= fencingToken[worker] ->
                    assert(starts == startsAtEnd[worker]);
                    acknowledged = true;
                    ended[worker] = 0
                :: else
                fi
            };
#endif
            if
            :: done -> reportedDone = true
            :: else
            fi
        :: else
        fi
    :: !fenced && placed && ownerEpoch == 1 && predecessorActive && expired[worker] ->
        atomic { placed = false } /* the lease of an unresponsive worker has expired */
    :: !fenced && placed && ownerEpoch == 2 && expired[worker] && !PREDECESSOR_ACTIVE -> atomic { placed = false }
    :: break /* suspended for good, or killed */
    od
}

proctype Worker(byte self)
{
    byte senderEpoch, runNumber;
    do
    :: atomic {
        orders[self] ? senderEpoch, runNumber ->
        if
#ifndef WORKER_TAKES_ANY_TOKEN
        :: senderEpoch >= fencingToken[self] && runNumber > highestRun[self] && running[self] == 0 ->
            fencingToken[self] = senderEpoch;
#else
        :: runNumber > highestRun[self] && running[self] == 0 ->
#endif
            highestRun[self] = runNumber;
            running[self] = runNumber;
            ended[self] = 0;
            starts++;
            assert(running[1 - self] == 0); /* two concurrent runs */
            assert(!acknowledged); /* a start after an acknowledged run end */
            assert(!reportedDone)
        :: else
        fi
    }
    :: atomic { orders[self] ? senderEpoch, runNumber } /* the start is lost */
    :: atomic { running[self] > 0 -> ended[self] = running[self]; running[self] = 0; startsAtEnd[self] = starts }
    :: atomic { /* the lease expires: the run is killed, and an unacknowledged run end is void */
        !expired[self] ->
        running[self] = 0;
        ended[self] = 0;
        do
        :: nempty(orders[self]) -> orders[self] ? senderEpoch, runNumber
        :: empty(orders[self]) -> break
        od;
        expired[self] = true
    }
    :: timeout -> break
    od
}

/* The replaced owner stops renewing leases; the second owner's wait counts from then on. */
proctype PredecessorTimeout()
{
    atomic {
        secondOwnerStarted -> predecessorActive = false;
        expired[0] = false;
        expired[1] = false
    }
}

/* A result that callers have seen stays stored. */
proctype ReportedDoneStaysStored()
{
    atomic { reportedDone && !storedDone -> assert(false) }
}

init {
    atomic {
        run ReportedDoneStaysStored();
        run Worker(0);
        run Worker(1);
        run Owner(1);
        run PredecessorTimeout()
    };
    run Owner(2)
}
