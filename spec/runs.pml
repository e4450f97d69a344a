/* One task, two workers and two owners of its service in a row: store records with fences, starts in flight, leases,
 * noted ends. The second owner takes over at any moment, also while the first is frozen and acts again later.
 * Steps correspond to PartitionWriter (fence, append), ServiceScheduler (placing, ends, silent workers), WorkerSessions
 * (starts, stops, holds) and, for the worker, to the published protocol.
 *
 * Time is order: lapse() stands for the end of a lease, and for the time after which a start in flight is refused as late.
 * oldMayAct stands for the time in which a deposed owner still extends leases and sends starts: it ends some time after
 * the second owner has begun, and the second owner's wait for a silent worker counts from then on.
 */

#define WORKERS 2
#define RUNS 4

/* the store */
byte epoch = 0;
byte storedRun = 0, storedWorker = 0;
bool storedDone = false;

bool oldMayAct = true;
#ifdef MUTATE_NO_WAIT
#define OLD_MAY_ACT false
#else
#define OLD_MAY_ACT oldMayAct
#endif
bool shownDone = false;
byte starts = 0;
bool noted = false;
byte startsWhenEnded[WORKERS];

/* the workers */
byte token[WORKERS], running[WORKERS], ended[WORKERS], highest[WORKERS];
bool lapsed[WORKERS];
chan orders[WORKERS] = [2] of { byte, byte };

/* An append by an owner; false in stored when a higher epoch has been seen. */
inline append(own, number, place, done)
{
    if
    :: own < epoch -> fenced = true
    :: else ->
        storedRun = number;
        storedWorker = place;
        storedDone = done
    fi
}

inline sendStart(own, place, number)
{
    if
    :: nfull(orders[place]) -> orders[place] ! own, number; lapsed[place] = false
    :: full(orders[place])
    fi
}

/* An exchange with the worker under the owner's token renews the lease; the worker refuses a lower token. */
inline contact(own, place)
{
    if
#ifndef WORKER_TAKES_ANY_TOKEN
    :: own < token[place] -> fenced = true
    :: own >= token[place] -> token[place] = own; lapsed[place] = false
#else
    :: true -> lapsed[place] = false
#endif
    fi
}

bool begun2 = false;

proctype Owner(byte own)
{
    byte number = 0, place = 0;
    bool fenced = false, placed = false, done = false, known = false;

#ifndef MUTATE_NO_FENCE
    atomic { /* before the reading */
        if
        :: own > epoch -> epoch = own
        :: else -> fenced = true
        fi
    };
#endif
    atomic {
        begun2 = (own == 2);
        number = storedRun;
        place = storedWorker;
        done = storedDone;
        placed = (number > 0 && !done)
    }
    do
    :: fenced || done -> break
    :: own == 1 && !oldMayAct -> break
    :: !fenced && !done && !placed && number < RUNS - 1 && (own == 2 || oldMayAct) ->
        /* The next number and its worker are stored, then the start is sent. */
        if
        :: place = 0
        :: place = 1
        fi;
#ifdef MUTATE_START_BEFORE_STORE
        atomic { sendStart(own, place, number + 1) };
#endif
        atomic {
            append(own, number + 1, place, false);
            if
            :: !fenced -> number++; placed = true
            :: else
            fi
        };
        if
        :: !fenced -> atomic {
            if
            :: own == 2 || oldMayAct -> sendStart(own, place, number)
            :: else
            fi
        }
        :: else
        fi
    :: !fenced && placed && (own == 2 || oldMayAct) ->
        /* The worker answers with its lists. */
        atomic {
            contact(own, place);
            if
            :: fenced
            :: !fenced && ended[place] == number ->
                known = true
            :: !fenced && running[place] == number
            :: !fenced && ended[place] != number && running[place] != number ->
                /* Not listed: the start may still be on its way, so the number is refused for good before a new number. */
#ifndef MUTATE_NO_STOP
                if
                :: highest[place] < number -> highest[place] = number
                :: else
                fi;
#endif
                placed = false
            fi
        };
        if
        :: known ->
#ifdef MUTATE_NOTE_BEFORE_STORE
            atomic { ended[place] = 0; assert(starts == startsWhenEnded[place]); noted = true };
#endif
            atomic { append(own, number, place, true); done = !fenced };
            known = false;
#ifndef MUTATE_NOTE_BEFORE_STORE
            atomic {
                if
                :: done && ended[place] == number && own >= token[place] ->
                    assert(starts == startsWhenEnded[place]);
                    noted = true;
                    ended[place] = 0
                :: else
                fi
            };
#endif
            if
            :: done -> shownDone = true
            :: else
            fi
        :: else
        fi
    :: !fenced && placed && own == 1 && oldMayAct && lapsed[place] ->
        atomic { placed = false } /* the lease of a silent worker is over */
    :: !fenced && placed && own == 2 && lapsed[place] && !OLD_MAY_ACT -> atomic { placed = false }
    :: break /* frozen for good, or killed */
    od
}

proctype Worker(byte me)
{
    byte from, number;
    do
    :: atomic {
        orders[me] ? from, number ->
        if
#ifndef WORKER_TAKES_ANY_TOKEN
        :: from >= token[me] && number > highest[me] && running[me] == 0 ->
            token[me] = from;
#else
        :: number > highest[me] && running[me] == 0 ->
#endif
            highest[me] = number;
            running[me] = number;
            ended[me] = 0;
            starts++;
            assert(running[1 - me] == 0); /* two runs at the same time */
            assert(!noted); /* a start after an end that was noted */
            assert(!shownDone)
        :: else
        fi
    }
    :: atomic { orders[me] ? from, number } /* lost */
    :: atomic { running[me] > 0 -> ended[me] = running[me]; running[me] = 0; startsWhenEnded[me] = starts }
    :: atomic { /* the lease ends: everything is killed, and ends that were not noted do not count */
        !lapsed[me] ->
        running[me] = 0;
        ended[me] = 0;
        do
        :: nempty(orders[me]) -> orders[me] ? from, number
        :: empty(orders[me]) -> break
        od;
        lapsed[me] = true
    }
    :: timeout -> break
    od
}

/* The deposed owner stops extending leases; only from then on does the second owner's wait count. */
proctype Expiry()
{
    atomic {
        begun2 -> oldMayAct = false;
        lapsed[0] = false;
        lapsed[1] = false
    }
}

/* What callers were shown stays stored. */
proctype Shown()
{
    atomic { shownDone && !storedDone -> assert(false) }
}

init {
    atomic {
        run Shown();
        run Worker(0);
        run Worker(1);
        run Owner(1);
        run Expiry()
    };
    run Owner(2)
}
