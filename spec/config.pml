/* Configuration as a fold over the log, with versions, checkpoints and expiry.
 *
 * Two operators publish changes, each made from the version that some daemon showed them. Two daemons fold the
 * log, relay their state to each other and append checkpoints. Moves of the environment: a daemon dies and is
 * replaced by one that knows nothing; any process stands still; relayed state is lost, doubled and arrives late;
 * the log is down for any time; its oldest records expire, up to all of them, also those behind the newest
 * checkpoint.
 *
 * The version in force is the offset of the accepted change, plus one; no configuration is version 0. What each
 * daemon has is compared with the fold over all records ever appended.
 *
 * Each macro that spec/check lists leaves one safeguard out; the checker must reject each. */

#ifndef SLOTS
#define SLOTS 5
#endif
#ifndef CRASHES
#define CRASHES 2
#endif

#define CHECKPOINT 100   /* base of a checkpoint's record; a change's is the version it was made from */

#ifdef LOWER_OFFSET_ADOPTED
#define ADOPTS(d) true
#else
#define ADOPTS(d) (told_position > position[d])
#endif

byte base[SLOTS];        /* by offset */
byte stands_for[SLOTS];  /* of a checkpoint: number of records folded into it */
byte state[SLOTS];       /* of a checkpoint: the version in force then */
byte start = 0;          /* oldest record that is kept */
byte length = 0;
byte truth[SLOTS + 1];   /* version in force after so many records */
bool log_up = true;

byte position[2];        /* records folded */
byte version[2];         /* in force; 0 is none, and nothing is served */
byte highest[2];         /* greatest version that this life had in force */
byte told_position = 0;  /* one relayed state on its way */
byte told_version = 0;
byte crashes = 0;

inline check(d) {
    /* All daemons that have folded as many records have the same configuration in force. */
    assert(version[d] == truth[position[d]]);
    /* What was in force is not undone. */
    assert(version[d] >= highest[d]);
    highest[d] = version[d]
}

inline publish(from) {
    base[length] = from;
    printf("TRACE change %d\n", from);
    if
    :: from == truth[length] -> truth[length + 1] = length + 1
    :: else -> truth[length + 1] = truth[length]
    fi;
    length = length + 1
}

inline checkpoint(d) {
    base[length] = CHECKPOINT;
    printf("TRACE checkpoint %d %d\n", position[d], version[d]);
    stands_for[length] = position[d];
    state[length] = version[d];
    truth[length + 1] = truth[length];
    length = length + 1
}

inline fold(d) {
    if
    :: base[position[d]] == CHECKPOINT ->
#ifdef CHECKPOINT_FOLDED
        version[d] = state[position[d]]
#else
        skip
#endif
#ifdef NO_VERSION_CHECK
    :: base[position[d]] != CHECKPOINT -> version[d] = position[d] + 1
#else
    :: base[position[d]] == version[d] -> version[d] = position[d] + 1
    :: base[position[d]] != CHECKPOINT && base[position[d]] != version[d] -> skip
#endif
    fi;
    position[d] = position[d] + 1
}

proctype Operator() {
    byte seen;
    do
    :: atomic { log_up && length < SLOTS -> seen = version[0]; }
       /* Time passes in which the other operator may publish. */
       if
       :: atomic { log_up && length < SLOTS -> publish(seen) }
       :: skip
       fi;
       seen = 0
    od
}

proctype Daemon(byte d) {
    byte at;
    do
    /* Reads the next record, if it is still kept. */
    :: atomic { log_up && position[d] >= start && position[d] < length -> fold(d); check(d);
                printf("TRACE fold %d %d %d\n", d, position[d], version[d]) }
    /* Knows nothing, or less than the log still keeps: starts from a checkpoint and the records since the
     * offset that it stands for, all of which must still be kept. */
    :: atomic {
           log_up && start < length ->
           select (at : 0 .. SLOTS - 1);
           if
           :: at >= start && at < length && base[at] == CHECKPOINT && stands_for[at] > position[d] &&
              stands_for[at] >= start ->
#ifdef CHECKPOINT_DROPS_BETWEEN
               position[d] = at + 1;
#else
               position[d] = stands_for[at];
#endif
               version[d] = state[at];
               printf("TRACE load %d %d %d\n", d, at, version[d]);
               check(d)
           :: else
           fi;
           at = 0
       }
#ifdef EXPIRED_RECORDS_SKIPPED
    :: atomic { log_up && position[d] < start -> position[d] = start; check(d) }
#endif
#ifdef EMPTY_LOG_ADOPTED
    :: atomic { log_up && start == length && length > 0 -> position[d] = length; version[d] = 0; check(d) }
#endif
    :: atomic { log_up && length < SLOTS && version[d] != 0 -> checkpoint(d) }
    /* Relays its state, or takes the other's: a state with more records only. */
    :: atomic { version[d] != 0 -> told_position = position[d]; told_version = version[d] }
    :: atomic {
           told_version != 0 && ADOPTS(d) -> position[d] = told_position; version[d] = told_version; check(d);
           printf("TRACE adopt %d %d %d\n", d, position[d], version[d])
       }
    od
}

proctype Environment() {
    do
    :: atomic { start < length -> start = start + 1; printf("TRACE expire %d\n", start) }
    :: atomic { log_up = !log_up }
    :: atomic { told_version != 0 -> told_version = 0; told_position = 0 }
    :: atomic { crashes < CRASHES -> crashes = crashes + 1;
                position[0] = 0; version[0] = 0; highest[0] = 0; printf("TRACE crash 0\n") }
    :: atomic { crashes < CRASHES -> crashes = crashes + 1;
                position[1] = 0; version[1] = 0; highest[1] = 0; printf("TRACE crash 1\n") }
    od
}

init {
    atomic {
        run Operator();
        run Operator();
        run Daemon(0);
        run Daemon(1);
        run Environment()
    }
}
