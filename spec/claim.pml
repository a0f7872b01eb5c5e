/* Claims and outcomes of calls with one idempotency key.
 *
 * A caller makes three calls: 0 and 2 at daemon 0, 1 at daemon 1. A call asks for a claim; from then on a record
 * of it may be appended at any time and any number of times, by whichever daemon believes that it owns the
 * partition. So lost, doubled, late and overtaking messages, cuts, an outage of the log, lost answers to appends
 * and daemons that differ on membership are all the same here: records come when they come, or never. A verdict
 * is read from a prefix of the log, however stale. Any process may stand still for any time, a daemon may die at
 * any step, and a server may run a request that nobody waits for any more.
 *
 * Each macro that spec/check lists leaves one safeguard out; the checker must reject each. */

#define CALLS 3
#ifndef SLOTS
#define SLOTS 5          /* records that the log has room for */
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#define TRIES 2          /* attempts at a server */

#define NOTHING 0
#define CLAIM(call)   ((call) + 1)
#define RELEASE(call) ((call) + 1 + CALLS)

#define ANSWERED 1       /* outcomes told, and ends remembered */
#define NOT_RUN 2
#define UNKNOWN 3
#define RUNNING 4

byte log[SLOTS];
byte length = 0;
bool asked[CALLS];       /* a claim may be appended */
bool freed[CALLS];       /* a release may be appended */
byte life[2];
byte sent[CALLS];        /* copies on their way to a server */
byte ran[CALLS];
byte ended[CALLS];       /* what the call's daemon remembers of it */
byte told[CALLS];
byte crashes = 0;
byte memory[2];          /* only for MEMORY_OWNER: holders by each daemon's memory */

/* The holder after the first `prefix` records: the first claim that was not released counts. */
inline read_prefix(prefix) {
    d_step {
        holder = NOTHING;
        index = 0;
        do
        :: index < prefix ->
            if
            :: log[index] <= CALLS && holder == NOTHING -> holder = log[index]
            :: log[index] > CALLS && holder == log[index] - CALLS -> holder = NOTHING
            :: else
            fi;
            index = index + 1
        :: else -> break
        od;
        index = 0
    }
}

inline tell(call, outcome) {
    assert(outcome != NOT_RUN || (ran[call] == 0 && sent[call] == 0));
    told[call] = outcome
}

inline run_at_server(call) {
    ran[call] = ran[call] + 1;
    assert(ran[0] + ran[1] + ran[2] <= 1);
    assert(told[call] != NOT_RUN)
}

inline crash(d) {
    crashes = crashes + 1;
    life[d] = life[d] + 1;
    memory[d] = NOTHING;
    if
    :: d == 0 -> ended[0] = NOTHING; ended[2] = NOTHING
    :: else -> ended[1] = NOTHING
    fi
}

/* One call, at the daemon that took it in, which alone may run it. */
proctype Call(byte number; byte d) {
    byte tries, call, holder, index, prefix;
    atomic {
        call = number;
#ifdef ID_REUSED
        if
        :: number == 2 && life[d] > 0 -> call = 0
        :: else
        fi;
#endif
        asked[call] = true
    };
    {
#ifdef RUN_BEFORE_CLAIM
        goto go;
#endif
        if
#ifdef MEMORY_OWNER
        :: atomic { memory[0] == NOTHING -> memory[0] = CLAIM(call) }; goto go
        :: atomic { memory[1] == NOTHING -> memory[1] = CLAIM(call) }; goto go
#endif
#ifdef LOST_REPLY_IS_SUCCESS
        :: goto go
#endif
        /* A verdict by a prefix in which somebody holds the key. The own claim's verdict is by a prefix that
         * ends with the own record or behind it, so that nothing before it can be overlooked. */
        :: atomic {
               select (prefix : 1 .. SLOTS);
               prefix <= length ->
#ifdef NO_READ_BACK
               holder = log[prefix - 1];
#else
               read_prefix(prefix);
#endif
               holder != NOTHING && holder <= CALLS;
               printf("TRACE verdict %d %d %d\n", call, holder - 1, prefix);
               prefix = 0;
               if
               :: holder == CLAIM(call) -> holder = 0; goto go
               :: else -> goto second
               fi
           }
        /* Refused, at any time. The call is forgotten before the caller is told, so a later verdict for it
         * runs nothing. */
        :: atomic { ended[call] = NOT_RUN; tell(call, NOT_RUN); freed[call] = true };
#ifdef LATE_VERDICT_COUNTS
           atomic {
               read_prefix(length);
               if
               :: holder == CLAIM(call) -> holder = 0; goto go
               :: else -> holder = 0; goto done
               fi
           }
#endif
           goto done
        fi;
second: atomic {
            holder = holder - 1;
            if
            /* The holder's daemon is asked what became of it; no answer is UNKNOWN. */
            :: ended[holder] == ANSWERED -> assert(ran[holder] == 1); tell(call, ANSWERED)
            :: ended[holder] == NOT_RUN -> tell(call, NOT_RUN)
            :: tell(call, UNKNOWN)
            fi;
            holder = 0
        };
        goto done;
go:     ended[call] = RUNNING;
send:   atomic {
            tries = tries + 1;
            if
            /* Connection refused: proof that it did not run. */
            :: tries < TRIES -> goto send
            :: ended[call] = NOT_RUN; tell(call, NOT_RUN); freed[call] = true; goto done
            :: sent[call] = sent[call] + 1
            fi
        };
        if
        :: atomic { ran[call] > 0 && sent[call] == 0 -> ended[call] = ANSWERED; tell(call, ANSWERED) }
        /* The connection broke, or the answer took too long. */
#ifdef RESEND_AFTER_WRITE
        :: tries < TRIES -> goto send
#endif
#ifdef NOT_RUN_AFTER_WRITE
        :: atomic { ended[call] = UNKNOWN; tell(call, NOT_RUN) }
#endif
#ifdef UNKNOWN_FREES_KEY
        :: atomic { ended[call] = UNKNOWN; tell(call, UNKNOWN); freed[call] = true }
#endif
        :: atomic { ended[call] = UNKNOWN; tell(call, UNKNOWN) }
        fi;
done:   skip
    } unless { life[d] != 0 && (number != 2 || life[d] > 1) }
}

proctype Environment() {
    byte call;
    do
    :: atomic {
           select (call : 0 .. CALLS - 1);
           if
           :: asked[call] && length < SLOTS ->
               log[length] = CLAIM(call); length = length + 1; printf("TRACE claim %d\n", call)
           :: freed[call] && length < SLOTS ->
               log[length] = RELEASE(call); length = length + 1; printf("TRACE release %d\n", call)
           /* A server runs what reached it, or loses it. */
           :: sent[call] > 0 -> sent[call] = sent[call] - 1; run_at_server(call)
           :: sent[call] > 0 -> sent[call] = sent[call] - 1
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
