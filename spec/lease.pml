/* A lease recorded as a chain of log records, and an engine that does not check fencing numbers.
 *
 * Two candidates append records, each of which names its predecessor; a record whose predecessor is not the last
 * valid record is ignored. The holder measures its lease from before it sent the append, a successor from when it
 * read the record. Faults: any process pauses for any time, appends are delayed, and orders arrive at any time
 * until they expire.
 *
 * Each mutant macro listed in spec/check removes one safeguard; the checker must reject every mutant. */

#define LEASE_DURATION 2 /* time units for which a record grants the lease */
#define ORDER_VALIDITY 2 /* time units after which an engine rejects an order */
#ifndef TIME
#define TIME 7           /* time units explored */
#endif

#ifndef RECORDS
#define RECORDS 4        /* maximum number of valid records */
#endif

#ifdef NO_TAKEOVER_WAIT
#define TAKEOVER_WAIT 0
#else
#ifdef NO_WAIT_FOR_ORDERS
#define TAKEOVER_WAIT LEASE_DURATION
#else
#define TAKEOVER_WAIT (LEASE_DURATION + ORDER_VALIDITY)
#endif
#endif

#ifdef CHAIN_NOT_CHECKED
#define IS_VALID(candidate) true
#else
#define IS_VALID(candidate) (predecessor[candidate] == last_record)
#endif

#ifdef NO_CLOCK_CHECK
#define HOLDS_LEASE(candidate) (lease_end[candidate] > 0)
#else
#define HOLDS_LEASE(candidate) (now < lease_end[candidate])
#endif

byte now = 0;
byte last_record = 0;    /* number of the last valid record, which is also its offset */
byte holder = 2;         /* candidate that appended the last valid record; 2 for none */
byte fencing_number = 0; /* of the holder */

byte last_read[2];        /* by candidate: last record read */
byte read_holder[2];      /* holder as of the last record read */
byte read_at[2];
bool append_in_flight[2]; /* an append was sent and has not reached the log */
bool appended[2];         /* the append was valid and has not been read back */
byte predecessor[2];
byte sent_at[2];          /* time at which the append was sent */
byte lease_end[2];        /* end of the lease, measured by the holder */
byte own_fencing[2];      /* by candidate: fencing number of its lease */

byte order_fencing[2];   /* order in flight to the engine, by candidate; 0 for none */
byte order_expiry[2];
byte engine_fencing = 0; /* fencing number of the last order executed */

inline append(candidate) {
    append_in_flight[candidate] = false;
    if
    :: IS_VALID(candidate) ->
        last_record = last_record + 1;
        if
        :: holder == candidate -> skip
        :: else -> fencing_number = last_record
        fi;
        holder = candidate;
        appended[candidate] = true
    :: else
    fi
}

proctype Candidate(byte candidate) {
    do
    /* Reads the stream to its end. */
    :: atomic {
           last_read[candidate] != last_record ->
           last_read[candidate] = last_record; read_holder[candidate] = holder; read_at[candidate] = now;
           if
           :: appended[candidate] && holder == candidate && !append_in_flight[candidate] ->
#ifdef TIME_COUNTED_FROM_READING
               lease_end[candidate] = now + LEASE_DURATION;
#else
               lease_end[candidate] = sent_at[candidate] + LEASE_DURATION;
#endif
               own_fencing[candidate] = fencing_number
           :: holder != candidate -> lease_end[candidate] = 0
           :: else
           fi;
           appended[candidate] = false
       }
    /* Takes over or renews the lease. */
    :: atomic {
           !append_in_flight[candidate] && !appended[candidate] && last_record < RECORDS &&
           (read_holder[candidate] == 2 || read_holder[candidate] == candidate ||
            now >= read_at[candidate] + TAKEOVER_WAIT) ->
           append_in_flight[candidate] = true; predecessor[candidate] = last_read[candidate];
           sent_at[candidate] = now
       }
    :: atomic { HOLDS_LEASE(candidate) && order_fencing[candidate] == 0 ->
                order_fencing[candidate] = own_fencing[candidate]; order_expiry[candidate] = now + ORDER_VALIDITY }
    od
}

inline execute_order(candidate) {
    /* An order of an earlier holder is never executed after an order of a later holder. */
    assert(order_fencing[candidate] >= engine_fencing);
    engine_fencing = order_fencing[candidate];
    order_fencing[candidate] = 0;
    order_expiry[candidate] = 0
}

proctype Environment() {
    do
    :: atomic { now < TIME -> now = now + 1 }
    :: atomic { append_in_flight[0] -> append(0) }
    :: atomic { append_in_flight[1] -> append(1) }
    :: atomic { order_fencing[0] > 0 && now < order_expiry[0] -> execute_order(0) }
    :: atomic { order_fencing[1] > 0 && now < order_expiry[1] -> execute_order(1) }
    :: atomic { order_fencing[0] > 0 -> order_fencing[0] = 0; order_expiry[0] = 0 }
    :: atomic { order_fencing[1] > 0 -> order_fencing[1] = 0; order_expiry[1] = 0 }
    od
}

init {
    atomic {
        read_holder[0] = 2;
        read_holder[1] = 2;
        run Candidate(0);
        run Candidate(1);
        run Environment()
    }
}
