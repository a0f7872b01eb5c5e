/* A lease kept as a chain of log records, and an engine that ignores fencing numbers.
 *
 * Two candidates append records that name the record which they follow; one that follows another than the last
 * does not count. The holder counts its time from before it sent the append, a successor from when it read the
 * record. Moves of the environment: any process stands still for any time, appends land late, orders arrive at
 * any time until they expire.
 *
 * Each macro that spec/check lists leaves one safeguard out; the checker must reject each. */

#define LEASE 2          /* time units that a record gives the lease for */
#define ORDER 2          /* time units after which an engine drops an order */
#ifndef TIME
#define TIME 7           /* time units explored */
#endif

#ifndef RECORDS
#define RECORDS 4        /* records explored */
#endif

#ifdef NO_TAKEOVER_WAIT
#define WAIT 0
#else
#ifdef NO_WAIT_FOR_ORDERS
#define WAIT LEASE
#else
#define WAIT (LEASE + ORDER)
#endif
#endif

#ifdef CHAIN_NOT_CHECKED
#define COUNTS(c) true
#else
#define COUNTS(c) (follows[c] == last)
#endif

#ifdef NO_CLOCK_CHECK
#define HOLDS(c) (until[c] > 0)
#else
#define HOLDS(c) (now < until[c])
#endif

byte now = 0;
byte last = 0;           /* number of the last record that counted; it is the offset, too */
byte holder = 2;         /* who wrote it; 2 is nobody */
byte fencing = 0;        /* of the holder */

byte seen[2];            /* last record that a candidate has read */
byte seen_holder[2];
byte seen_at[2];
bool on_way[2];          /* an append that has not landed */
bool landed[2];
byte follows[2];
byte sent_at[2];
byte until[2];           /* end of the lease by the holder's clock */
byte number[2];          /* its fencing number */

byte order_number[2];    /* an order on its way to the engine; 0 is none */
byte order_until[2];
byte engine = 0;         /* number of the last order carried out */

inline land(c) {
    on_way[c] = false;
    if
    :: COUNTS(c) ->
        last = last + 1;
        if
        :: holder == c -> skip
        :: else -> fencing = last
        fi;
        holder = c;
        landed[c] = true
    :: else
    fi
}

proctype Candidate(byte c) {
    do
    /* Reads the stream to its end. */
    :: atomic {
           seen[c] != last ->
           seen[c] = last; seen_holder[c] = holder; seen_at[c] = now;
           if
           :: landed[c] && holder == c && !on_way[c] ->
#ifdef TIME_COUNTED_FROM_READING
               until[c] = now + LEASE;
#else
               until[c] = sent_at[c] + LEASE;
#endif
               number[c] = fencing
           :: holder != c -> until[c] = 0
           :: else
           fi;
           landed[c] = false
       }
    /* Takes or renews the lease. */
    :: atomic {
           !on_way[c] && !landed[c] && last < RECORDS &&
           (seen_holder[c] == 2 || seen_holder[c] == c || now >= seen_at[c] + WAIT) ->
           on_way[c] = true; follows[c] = seen[c]; sent_at[c] = now
       }
    :: atomic { HOLDS(c) && order_number[c] == 0 -> order_number[c] = number[c]; order_until[c] = now + ORDER }
    od
}

inline carry_out(c) {
    /* An old holder's order is never carried out after a newer holder's. */
    assert(order_number[c] >= engine);
    engine = order_number[c];
    order_number[c] = 0;
    order_until[c] = 0
}

proctype Environment() {
    do
    :: atomic { now < TIME -> now = now + 1 }
    :: atomic { on_way[0] -> land(0) }
    :: atomic { on_way[1] -> land(1) }
    :: atomic { order_number[0] > 0 && now < order_until[0] -> carry_out(0) }
    :: atomic { order_number[1] > 0 && now < order_until[1] -> carry_out(1) }
    :: atomic { order_number[0] > 0 -> order_number[0] = 0; order_until[0] = 0 }
    :: atomic { order_number[1] > 0 -> order_number[1] = 0; order_until[1] = 0 }
    od
}

init {
    atomic {
        seen_holder[0] = 2;
        seen_holder[1] = 2;
        run Candidate(0);
        run Candidate(1);
        run Environment()
    }
}
