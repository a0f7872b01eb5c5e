/* Claims and outcomes of calls with one idempotency key.
 *
 * A caller makes three calls: 0 and 2 at daemon 0, 1 at daemon 1. Once a call has requested a claim, its record may
 * be appended at any time, any number of times or never, by any daemon that considers itself the owner of the
 * partition. This covers lost, duplicated, delayed and reordered messages, network partitions, an outage of the
 * log, lost replies to appends and daemons that disagree on membership. A verdict is read from any prefix of the
 * log, however stale. Any process may pause for any time, a daemon may crash at any step, and a server may execute
 * a request after its caller has stopped waiting.
 *
 * Each mutant macro listed in spec/check removes one safeguard; the checker must reject every mutant. */

#define CALLS 3
#ifndef SLOTS
#define SLOTS 5          /* maximum number of records in the log */
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#define MAX_ATTEMPTS 2   /* attempts to send a call to a server */

#define NONE 0
#define CLAIM(call)   ((call) + 1)
#define RELEASE(call) ((call) + 1 + CALLS)

#define ANSWERED 1       /* outcomes reported to callers or held by daemons */
#define NOT_RUN 2
#define UNKNOWN 3
#define RUNNING 4

byte log[SLOTS];
byte length = 0;
bool claim_requested[CALLS];   /* a claim record may be appended */
bool release_requested[CALLS]; /* a release record may be appended */
byte incarnation[2];
byte in_flight[CALLS];         /* copies of the request on the way to a server */
byte executions[CALLS];
byte local_outcome[CALLS];     /* outcome in the memory of the call's daemon; lost in a crash */
byte reported[CALLS];
byte crashes = 0;
byte believed_holder[2];       /* MEMORY_OWNER only: holder in each daemon's memory */

/* Sets `holder` to the holder after the first `prefix` records: the first claim that is not released. */
inline read_prefix(prefix) {
    d_step {
        holder = NONE;
        index = 0;
        do
        :: index < prefix ->
            if
            :: log[index] <= CALLS && holder == NONE -> holder = log[index]
            :: log[index] > CALLS && holder == log[index] - CALLS -> holder = NONE
            :: else
            fi;
            index = index + 1
        :: else -> break
        od;
        index = 0
    }
}

inline report_outcome(call, outcome) {
    assert(outcome != NOT_RUN || (executions[call] == 0 && in_flight[call] == 0));
    reported[call] = outcome
}

inline execute(call) {
    executions[call] = executions[call] + 1;
    assert(executions[0] + executions[1] + executions[2] <= 1);
    assert(reported[call] != NOT_RUN)
}

inline crash(daemon) {
    crashes = crashes + 1;
    incarnation[daemon] = incarnation[daemon] + 1;
    believed_holder[daemon] = NONE;
    if
    :: daemon == 0 -> local_outcome[0] = NONE; local_outcome[2] = NONE
    :: else -> local_outcome[1] = NONE
    fi
}

/* One call, at the daemon that received it; only this daemon may send it to a server. */
proctype Call(byte number; byte daemon) {
    byte attempts, call, holder, index, prefix;
    atomic {
        call = number;
#ifdef ID_REUSED
        if
        :: number == 2 && incarnation[daemon] > 0 -> call = 0
        :: else
        fi;
#endif
        claim_requested[call] = true
    };
    {
#ifdef RUN_BEFORE_CLAIM
        goto won;
#endif
        if
#ifdef MEMORY_OWNER
        :: atomic { believed_holder[0] == NONE -> believed_holder[0] = CLAIM(call) }; goto won
        :: atomic { believed_holder[1] == NONE -> believed_holder[1] = CLAIM(call) }; goto won
#endif
#ifdef LOST_REPLY_IS_SUCCESS
        :: goto won
#endif
        /* Verdict from a prefix of the log in which some call holds the key. A call wins only by a prefix that
         * includes its own record, so no earlier claim is missed. */
        :: atomic {
               select (prefix : 1 .. SLOTS);
               prefix <= length ->
#ifdef NO_READ_BACK
               holder = log[prefix - 1];
#else
               read_prefix(prefix);
#endif
               holder != NONE && holder <= CALLS;
               printf("TRACE verdict %d %d %d\n", call, holder - 1, prefix);
               prefix = 0;
               if
               :: holder == CLAIM(call) -> holder = 0; goto won
               :: else -> goto held
               fi
           }
        /* Refusal, possible at any time. The daemon drops the call before it reports NOT_RUN to the caller, so a
         * later verdict for the call does not start it. */
        :: atomic { local_outcome[call] = NOT_RUN; report_outcome(call, NOT_RUN); release_requested[call] = true };
#ifdef LATE_VERDICT_COUNTS
           atomic {
               read_prefix(length);
               if
               :: holder == CLAIM(call) -> holder = 0; goto won
               :: else -> holder = 0; goto done
               fi
           }
#endif
           goto done
        fi;
held:   atomic {
            holder = holder - 1;
            if
            /* Asks the holder's daemon for the holder's outcome; without an answer the outcome is UNKNOWN. */
            :: local_outcome[holder] == ANSWERED -> assert(executions[holder] == 1); report_outcome(call, ANSWERED)
            :: local_outcome[holder] == NOT_RUN -> report_outcome(call, NOT_RUN)
            :: report_outcome(call, UNKNOWN)
            fi;
            holder = 0
        };
        goto done;
won:    local_outcome[call] = RUNNING;
send:   atomic {
            attempts = attempts + 1;
            if
            /* Connection refused, which proves that the request did not run: it may be sent again. */
            :: attempts < MAX_ATTEMPTS -> goto send
            :: local_outcome[call] = NOT_RUN; report_outcome(call, NOT_RUN); release_requested[call] = true;
               goto done
            :: in_flight[call] = in_flight[call] + 1
            fi
        };
        if
        :: atomic { executions[call] > 0 && in_flight[call] == 0 ->
                    local_outcome[call] = ANSWERED; report_outcome(call, ANSWERED) }
        /* The connection broke or the answer timed out after the request was written. */
#ifdef RESEND_AFTER_WRITE
        :: attempts < MAX_ATTEMPTS -> goto send
#endif
#ifdef NOT_RUN_AFTER_WRITE
        :: atomic { local_outcome[call] = UNKNOWN; report_outcome(call, NOT_RUN) }
#endif
#ifdef UNKNOWN_FREES_KEY
        :: atomic { local_outcome[call] = UNKNOWN; report_outcome(call, UNKNOWN); release_requested[call] = true }
#endif
        :: atomic { local_outcome[call] = UNKNOWN; report_outcome(call, UNKNOWN) }
        fi;
done:   skip
    } unless { incarnation[daemon] != 0 && (number != 2 || incarnation[daemon] > 1) }
}

proctype Environment() {
    byte call;
    do
    :: atomic {
           select (call : 0 .. CALLS - 1);
           if
           :: claim_requested[call] && length < SLOTS ->
               log[length] = CLAIM(call); length = length + 1; printf("TRACE claim %d\n", call)
           :: release_requested[call] && length < SLOTS ->
               log[length] = RELEASE(call); length = length + 1; printf("TRACE release %d\n", call)
           /* The server executes a request, or the request is lost. */
           :: in_flight[call] > 0 -> in_flight[call] = in_flight[call] - 1; execute(call)
           :: in_flight[call] > 0 -> in_flight[call] = in_flight[call] - 1
           :: else
           fi;
           call = 0
       }
    :: atomic { crashes < CRASHES -> crash(0) }
    :: atomic { crashes < CRASHES -> crash(1) }
    od
}

init {
    atomic {
        run Call(0, 0);
        run Call(1, 1);
        run Call(2, 0);
        run Environment()
    }
}
