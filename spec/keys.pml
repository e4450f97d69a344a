/* The withdrawal of a key: an operator, the store, an entry instance that reads the configuration, and clients. The
 * instance may be cut off, paused at any step, or restarted; responses may be lost or arrive at any later time. The
 * steps correspond to ConfigurationWatcher, KeyConfirmation and RequestRouter::authorize.
 *
 * Time is discrete: Clock raises all counters, each up to the largest value that makes a difference. The claim is that
 * no request is accepted that was sent more than WITHDRAWAL after its key had been withdrawn.
 */

#define WITHDRAWAL 3
#define BOUND WITHDRAWAL
#define LONG (WITHDRAWAL + 1)

bool withdrawn = false;
byte sinceWithdrawal = 0;

/* The entry instance: whether it has a configuration, whether that has the key, and how long ago the read began that
 * confirmed it. */
bool configured = false, hasKey = false, paused = false;
byte age = LONG;

/* The read in flight. */
bool reading = false, answered = false, answerHasKey = false;
byte readAge = 0;

/* The request: received but not handled yet, and whether it was sent too late. */
bool received = false, sentTooLate = false;

proctype Clock()
{
    do
    :: atomic {
        if
        :: withdrawn && sinceWithdrawal < LONG -> sinceWithdrawal++
        :: else
        fi;
#ifdef MUTATE_CLOCK_STOPS_WHILE_PAUSED
        if
        :: age < LONG && !paused -> age++
        :: else
        fi;
#else
        if
        :: age < LONG -> age++
        :: else
        fi;
#endif
        if
        :: readAge < LONG -> readAge++
        :: else
        fi
    }
    od
}

proctype Operator()
{
    atomic { withdrawn = true; sinceWithdrawal = 0 }
}

proctype Store()
{
    do
    :: atomic { reading && !answered -> answered = true; answerHasKey = !withdrawn }
    od
}

proctype Client()
{
    do
    :: atomic { !received -> received = true; sentTooLate = (withdrawn && sinceWithdrawal >= LONG) }
    od
}

proctype Pauses()
{
    do
    :: paused = !paused
    od
}

proctype Instance()
{
    bool accepts = false;
    do
    :: atomic { !paused && !reading -> reading = true; answered = false; readAge = 0 }
    :: atomic { !paused && reading -> reading = false } /* no response until the timeout */
    :: atomic { !paused && reading && answered ->
        reading = false;
        configured = true;
        hasKey = answerHasKey;
#ifdef MUTATE_CONFIRMED_BY_THE_RESPONSE
        age = 0
#else
        age = readAge
#endif
    }
    :: atomic { !paused -> /* killed and started again */
        reading = false;
        received = false;
#ifdef MUTATE_STARTS_WITH_AN_OLD_COPY
        age = 0
#else
        configured = false;
        hasKey = false;
        age = LONG
#endif
    }
#ifdef MUTATE_CHECKED_BEFORE_THE_REQUEST
    :: atomic { !paused && !received -> accepts = (configured && hasKey && age < BOUND) }
    :: atomic { !paused && received -> assert(!accepts || !sentTooLate); received = false }
#else
    :: !paused && received ->
        atomic {
#ifdef MUTATE_NO_BOUND
            accepts = (configured && hasKey)
#else
            accepts = (configured && hasKey && age < BOUND)
#endif
        };
        /* Any time may pass here, before the request takes effect. */
        atomic { !paused -> assert(!accepts || !sentTooLate); received = false; accepts = false }
#endif
    od
}

init
{
    atomic { run Clock(); run Operator(); run Store(); run Client(); run Pauses(); run Instance() }
}
