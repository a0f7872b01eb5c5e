/* Configuration as a fold over the log, with versions, checkpoints and record expiry.
 *
 * Two operators publish changes, each based on a version read earlier from a daemon. Two daemons fold the log,
 * relay their state to each other and append checkpoints. Faults: a daemon crashes and is replaced by one without
 * state; any process pauses for any time; relayed state is lost, duplicated or delayed; the log is unavailable for
 * any time; the oldest records expire, possibly all of them, including those after the newest checkpoint.
 *
 * The version in force is the offset of the accepted change plus one, or 0 without a configuration. Each daemon's
 * version is compared with the fold over all records ever appended.
 *
 * Each mutant macro listed in spec/check removes one safeguard; the checker must reject every mutant. */

#ifndef SLOTS
#define SLOTS 5
#endif
#ifndef CRASHES
#define CRASHES 2
#endif

#define CHECKPOINT 100   /* marks a checkpoint in `log` */

#ifdef LOWER_OFFSET_ADOPTED
#define ADOPTS(daemon) true
#else
#define ADOPTS(daemon) (relayed_position > position[daemon])
#endif

byte log[SLOTS];                  /* by offset: base version of a change, or CHECKPOINT */
byte checkpoint_position[SLOTS];  /* by offset: number of records folded into the checkpoint */
byte checkpoint_version[SLOTS];   /* by offset: version in force in the checkpoint */
byte start = 0;                   /* offset of the oldest record not expired */
byte length = 0;
byte expected_version[SLOTS + 1]; /* version in force, by number of records folded */
bool log_available = true;

byte position[2];          /* by daemon: number of records folded */
byte version[2];           /* by daemon: version in force; at 0 it serves nothing */
byte max_version[2];       /* by daemon: greatest version in force since its last crash */
byte relayed_position = 0; /* relayed state in flight, at most one */
byte relayed_version = 0;
byte crashes = 0;

inline check_invariants(daemon) {
    /* All daemons that have folded the same number of records have the same configuration in force. */
    assert(version[daemon] == expected_version[position[daemon]]);
    /* The version in force never decreases. */
    assert(version[daemon] >= max_version[daemon]);
    max_version[daemon] = version[daemon]
}

inline publish(from) {
    log[length] = from;
    printf("TRACE change %d\n", from);
    if
    :: from == expected_version[length] -> expected_version[length + 1] = length + 1
    :: else -> expected_version[length + 1] = expected_version[length]
    fi;
    length = length + 1
}

inline checkpoint(daemon) {
    log[length] = CHECKPOINT;
    printf("TRACE checkpoint %d %d\n", position[daemon], version[daemon]);
    checkpoint_position[length] = position[daemon];
    checkpoint_version[length] = version[daemon];
    expected_version[length + 1] = expected_version[length];
    length = length + 1
}

inline fold(daemon) {
    if
    :: log[position[daemon]] == CHECKPOINT ->
#ifdef CHECKPOINT_FOLDED
        version[daemon] = checkpoint_version[position[daemon]]
#else
        skip
#endif
#ifdef NO_VERSION_CHECK
    :: log[position[daemon]] != CHECKPOINT -> version[daemon] = position[daemon] + 1
#else
    :: log[position[daemon]] == version[daemon] -> version[daemon] = position[daemon] + 1
    :: log[position[daemon]] != CHECKPOINT && log[position[daemon]] != version[daemon] -> skip
#endif
    fi;
    position[daemon] = position[daemon] + 1
}

proctype Operator() {
    byte read_version;
    do
    :: atomic { log_available && length < SLOTS -> read_version = version[0]; }
       /* The other operator may publish between the read and this publish. */
       if
       :: atomic { log_available && length < SLOTS -> publish(read_version) }
       :: skip
       fi;
       read_version = 0
    od
}

proctype Daemon(byte daemon) {
    byte offset;
    do
    /* Folds the next record, if it has not expired. */
    :: atomic { log_available && position[daemon] >= start && position[daemon] < length ->
                fold(daemon); check_invariants(daemon);
                printf("TRACE fold %d %d %d\n", daemon, position[daemon], version[daemon]) }
    /* A daemon without state, or behind the log, loads a checkpoint and then folds the records from the
     * checkpoint's position on, none of which may have expired. */
    :: atomic {
           log_available && start < length ->
           select (offset : 0 .. SLOTS - 1);
           if
           :: offset >= start && offset < length && log[offset] == CHECKPOINT &&
              checkpoint_position[offset] > position[daemon] && checkpoint_position[offset] >= start ->
#ifdef CHECKPOINT_DROPS_BETWEEN
               position[daemon] = offset + 1;
#else
               position[daemon] = checkpoint_position[offset];
#endif
               version[daemon] = checkpoint_version[offset];
               printf("TRACE load %d %d %d\n", daemon, offset, version[daemon]);
               check_invariants(daemon)
           :: else
           fi;
           offset = 0
       }
#ifdef EXPIRED_RECORDS_SKIPPED
    :: atomic { log_available && position[daemon] < start -> position[daemon] = start; check_invariants(daemon) }
#endif
#ifdef EMPTY_LOG_ADOPTED
    :: atomic { log_available && start == length && length > 0 ->
                position[daemon] = length; version[daemon] = 0; check_invariants(daemon) }
#endif
    :: atomic { log_available && length < SLOTS && version[daemon] != 0 -> checkpoint(daemon) }
    /* Relays its state, or adopts a relayed state that has more records folded. */
    :: atomic { version[daemon] != 0 -> relayed_position = position[daemon]; relayed_version = version[daemon] }
    :: atomic {
           relayed_version != 0 && ADOPTS(daemon) ->
           position[daemon] = relayed_position; version[daemon] = relayed_version; check_invariants(daemon);
           printf("TRACE adopt %d %d %d\n", daemon, position[daemon], version[daemon])
       }
    od
}

proctype Environment() {
    do
    :: atomic { start < length -> start = start + 1; printf("TRACE expire %d\n", start) }
    :: atomic { log_available = !log_available }
    :: atomic { relayed_version != 0 -> relayed_version = 0; relayed_position = 0 }
    :: atomic { crashes < CRASHES -> crashes = crashes + 1;
                position[0] = 0; version[0] = 0; max_version[0] = 0; printf("TRACE crash 0\n") }
    :: atomic { crashes < CRASHES -> crashes = crashes + 1;
                position[1] = 0; version[1] = 0; max_version[1] = 0; printf("TRACE crash 1\n") }
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
