/* Versions of the server list at daemons that read a log of records, and announce to each other what they read.
 *
 * The records concern one server; those of different servers are independent. A read begins at the version of the list, is
 * answered by the store at any later time, and the answer arrives at any time after that, so that changes of other daemons
 * may be applied in between. Any change that was sent may arrive at any daemon at any time, any number of times or never.
 * Any daemon may read for the others; each may restart at any time and forget everything.
 *
 * Each record holds a numbered statement of the server. With LATE, the store may carry out a renewal after later statements;
 * the statement with the highest number is the one that counts. A daemon that reads the whole list sees the newest record
 * only. If that comes late, it hides what was before: such a daemon is misled, and so is whoever takes the difference of two
 * such lists from it, but nobody else may be.
 *
 * Invariant: a list at a version shows the server as it has stated last up to that version, or to the later one of which it
 * has learned ahead. In particular, no list lacks a leaving that its version covers.
 *
 * Each mutant macro listed in spec/check removes one safeguard; the checker must reject every mutant. */

#ifndef RECORDS
#define RECORDS 4        /* maximum number of records in the log */
#endif
#ifndef CHANGES
#define CHANGES 2        /* maximum number of changes sent */
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define DAEMONS 3

#define OTHER(d) ((d + 1) % DAEMONS)

/* Whether the digests of two lists tell that they are equal. */
#ifdef AHEAD_IS_COMPARED
#define COMPARABLE(d, other) true
#else
#define COMPARABLE(d, other) (ahead[d] == 0 && ahead[other] == 0)
#endif

/* Whether a net change may be applied to a list at the version before it. */
#ifdef NET_APPLIES_TO_ANY_LIST
#define TAKES_NET(d) true
#else
#define TAKES_NET(d) (ahead[d] == 0)
#endif

/* With ROLES, one daemon reads records, another one the whole list, and a third one neither: longer logs can be explored. */
#ifdef ROLES
#define READS_RECORDS(d) (d == 0)
#define READS_WHOLE(d) (d == 1)
#else
#define READS_RECORDS(d) true
#define READS_WHOLE(d) true
#endif

#define READY 0
#define LEAVING 1

bit log[RECORDS + 1];    /* the records, by version */
byte num[RECORDS + 1];   /* number of the statement of each */
byte best[RECORDS + 1];  /* version of the record that counts, at each version */
byte end = 1;            /* version of the log */
byte numbers = 1;        /* statements that the server has made */
byte under_way = 0;      /* number of a renewal that had no answer; zero if there is none */

byte version[DAEMONS];   /* zero while there is no list */
bit shown[DAEMONS];
byte known[DAEMONS];     /* version of the record that the list shows */
byte complete[DAEMONS];  /* version from which on all records are known */
bool misled[DAEMONS];    /* a late record has hidden a statement */
byte ahead[DAEMONS];     /* version of the record learned beyond the own version; zero if none */
#if defined(READER_KEEPS_PLACE) || defined(READ_LEAVES_VERSION)
byte place[DAEMONS];     /* where the next read begins */
#define KEEP_PLACE(d, v) place[d] = v
#else
#define KEEP_PLACE(d, v) skip
#endif

/* Version after which the records of a read follow; changes claim to go on from since[d]. */
#ifdef READ_LEAVES_VERSION
#define FIRST(d) (place[d] > since[d] -> place[d] : since[d])
#else
#define FIRST(d) since[d]
#endif

bool reading[DAEMONS];
bool answered[DAEMONS];
byte since[DAEMONS];     /* version after which records are read */
byte read_to[DAEMONS];
bool touched[DAEMONS];   /* the server may have been shown otherwise when the read began */

byte sent = 0;
byte from[CHANGES];
byte to[CHANGES];
bool is_net[CHANGES];
byte named[CHANGES];     /* version of the record that the change names; zero if none */
bool misleads[CHANGES];  /* a late record has hidden a statement from whoever made the change */

byte restarts = 0;
byte index;
byte newest;
bool same;

/* Ends a read. Variables that mean nothing are reset, so that states that differ in them only are one. */
inline end_read(d) {
    reading[d] = false;
    answered[d] = false;
    since[d] = 0;
    read_to[d] = 0;
    touched[d] = false;
    index = 0;
    newest = 0;
    same = false
}

/* Without LATE the last record counts, and what tells late ones is not kept, so that more can be explored. */
#ifdef LATE
#define KNOW(d, v) known[d] = v
#define COMPLETE_FROM(d, v) complete[d] = v
#define MISLEAD(d, m) misled[d] = m
#define IS_LATER(v, d) (num[v] > num[known[d]])
#else
#define KNOW(d, v) skip
#define COMPLETE_FROM(d, v) skip
#define MISLEAD(d, m) skip
#define IS_LATER(v, d) false
#define LOG_ORDER_DECIDES
#endif

/* Whether the record of version v holds an earlier statement than that of version other. */
#ifdef LOG_ORDER_DECIDES
#define IS_EARLIER(v, other) false
#else
#define IS_EARLIER(v, other) (num[v] < num[other])
#endif

/* Whether the record of version v comes after a later statement that d knows. */
#define IS_LATE(d, v) IS_EARLIER(v, known[d])

/* Whether a list that is complete from version f on has all records after version v. */
#ifdef GAPS_ARE_IGNORED
#define HAS_ALL_AFTER(f, v) true
#else
#define HAS_ALL_AFTER(f, v) (f <= v)
#endif

/* A list shows what its version, or the record learned ahead, covers. One that was made by a daemon that is misled may leave
 * out that the server is ready again, but not that it leaves. */
inline check(d) {
    assert(version[d] <= end);
    if
    :: version[d] == 0
    :: version[d] > 0 && misled[d]
#ifdef LATE
    :: version[d] > 0 && !misled[d] && ahead[d] == 0 ->
        assert(shown[d] == LEAVING || log[best[version[d]]] == READY)
    :: version[d] > 0 && !misled[d] && ahead[d] > 0 ->
        assert(shown[d] == LEAVING || log[best[version[d]]] == READY || num[known[d]] > num[best[version[d]]])
#else
    :: version[d] > 0 && !misled[d] && ahead[d] == 0 -> assert(shown[d] == log[version[d]])
    :: version[d] > 0 && !misled[d] && ahead[d] > 0 -> assert(ahead[d] > version[d] && shown[d] == log[ahead[d]])
#endif
    fi
}

/* Appends a record to the log. */
inline append(state, number) {
    end = end + 1;
    log[end] = state;
    num[end] = number;
    if
    :: number > num[best[end - 1]] -> best[end] = end
    :: else -> best[end] = best[end - 1]
    fi
}

inline advance(d, v) {
    if
    :: v > version[d] -> version[d] = v
    :: else
    fi;
    if
    :: ahead[d] <= version[d] -> ahead[d] = 0
    :: else
    fi
}

/* Applies the record of version v. */
inline merge(d, v) {
    if
#ifdef OLDER_RECORD_APPLIES
    :: v >= ahead[d] || ahead[d] == 0 ->
#else
    :: v > version[d] && (v >= ahead[d] || IS_LATER(v, d)) && !IS_LATE(d, v) ->
#endif
        if
        :: reading[d] && shown[d] != log[v] -> touched[d] = true
        :: else
        fi;
        shown[d] = log[v];
        KNOW(d, v);
        if
        :: v > version[d] && v > ahead[d] -> ahead[d] = v
        :: else
        fi
    :: else
    fi
}

inline announce(f, t, n, net, mis) {
    if
    :: sent < CHANGES && t > f ->
        from[sent] = f;
        to[sent] = t;
        named[sent] = n;
        is_net[sent] = net;
        misleads[sent] = mis;
        sent = sent + 1
    :: else
    fi
}

proctype Store() {
    do
    :: atomic { end <= RECORDS - 1 -> numbers = numbers + 1; append(READY, numbers) }
    :: atomic { end <= RECORDS - 1 -> numbers = numbers + 1; append(LEAVING, numbers) }
#ifdef LATE
    :: atomic {
        end <= RECORDS - 1 && under_way == 0 && log[best[end]] == READY ->
        numbers = numbers + 1;
        under_way = numbers
    }
    :: atomic { end <= RECORDS - 1 && under_way > 0 -> append(READY, under_way); under_way = 0 }
#endif
    :: end > RECORDS - 1 -> break
    od
}

proctype Daemon(byte d) {
    do
    /* The first list, and a later whole one, in one step: the pages of a list are the subject of the tests in Rust. */
    :: atomic {
        version[d] == 0 && !reading[d] ->
        version[d] = end;
        KEEP_PLACE(d, end);
        shown[d] = log[end];
        KNOW(d, end);
        COMPLETE_FROM(d, end);
        MISLEAD(d, (best[end] != end));
        ahead[d] = 0;
        check(d)
    }
    :: atomic {
        READS_WHOLE(d) && version[d] > 0 && !reading[d] && end > version[d] ->
        newest = 0;
        if
        :: !IS_LATE(d, end) && (ahead[d] > 0 || shown[d] != log[end]) -> newest = end
        :: else
        fi;
        same = (IS_LATER(best[end], d) && best[end] != end);
        MISLEAD(d, (misled[d] || same));
#ifdef NET_COUNTS_AS_COMPLETE
        announce(version[d], end, newest, false, misled[d]);
#else
        announce(version[d], end, newest, true, misled[d]);
#endif
        same = false;
        if
        :: !IS_LATE(d, end) -> shown[d] = log[end]; KNOW(d, end)
        :: else
        fi;
        COMPLETE_FROM(d, end);
        advance(d, end);
        KEEP_PLACE(d, end);
        newest = 0;
        check(d)
    }
    :: atomic {
        READS_RECORDS(d) && version[d] > 0 && !reading[d] ->
        reading[d] = true;
        answered[d] = false;
        since[d] = version[d];
#ifdef READER_KEEPS_PLACE
        if
        :: place[d] > since[d] -> since[d] = place[d]
        :: else
        fi;
#endif
#ifdef AHEAD_COUNTS_AS_KNOWN
        touched[d] = false
#else
        touched[d] = (ahead[d] > 0)
#endif
    }
    :: atomic {
        reading[d] && !answered[d] ->
        answered[d] = true;
        read_to[d] = end;
#ifdef READER_KEEPS_PLACE
        KEEP_PLACE(d, end)
#endif
    }
    /* The answer is lost. */
    :: atomic { reading[d] && answered[d] -> end_read(d) }
    :: atomic {
        reading[d] && answered[d] ->
        /* Whether each record that was read shows the server as the list did when the read began. */
        same = true;
        newest = 0;
        index = FIRST(d) + 1;
        do
        :: index <= read_to[d] ->
            if
            :: (newest > 0 && IS_EARLIER(index, newest)) || (index > known[d] && IS_LATE(d, index))
            :: else ->
                newest = index;
#ifdef LAST_RECORD_DECIDES
                same = (log[index] == shown[d])
#else
                same = same && (log[index] == shown[d])
#endif
            fi;
            index = index + 1
        :: else -> break
        od;
        index = 0;
#ifndef ADOPTED_COUNTS_AS_KNOWN
        same = same && !touched[d];
#endif
#ifdef READ_REPLACES_LIST
        /* The records that moved the version may be of other servers. */
        if
        :: newest > 0 -> shown[d] = log[newest]
        :: true
        fi;
        version[d] = read_to[d];
        ahead[d] = 0;
#else
        if
        :: newest > 0 -> merge(d, newest)
        :: else
        fi;
#ifndef READ_LEAVES_VERSION
        advance(d, read_to[d]);
#endif
#endif
        if
        :: same -> newest = 0
        :: else
        fi;
        announce(since[d], read_to[d], newest, false, false);
        KEEP_PLACE(d, read_to[d]);
        end_read(d);
        check(d)
    }
    /* A change of any daemon arrives. */
    :: atomic {
        sent > 0 && version[d] > 0 ->
        index = 0;
        do
        :: index < sent - 1 -> index = index + 1
        :: break
        od;
        same = (!is_net[index] && from[index] <= version[d] && version[d] <= to[index]) || (is_net[index] && from[index] == version[d] && TAKES_NET(d));
#ifdef GAP_IS_IGNORED
        same = to[index] > version[d];
#endif
        if
        :: named[index] > 0 -> merge(d, named[index])
        :: else
        fi;
        if
        :: same ->
            advance(d, to[index]);
            if
            :: is_net[index] ->
                COMPLETE_FROM(d, to[index]);
                MISLEAD(d, (misled[d] || misleads[index]))
            :: else
            fi
        :: else
        fi;
        index = 0;
        same = false;
        check(d)
    }
    /* Another daemon has a later version and shows the same. */
    :: atomic {
        COMPARABLE(d, OTHER(d)) && version[d] > 0 && version[OTHER(d)] > version[d] && shown[OTHER(d)] == shown[d] &&
        HAS_ALL_AFTER(complete[OTHER(d)], version[d]) ->
        advance(d, version[OTHER(d)]);
        check(d)
    }
    :: atomic {
        restarts < RESTARTS && version[d] > 0 ->
        restarts = restarts + 1;
        version[d] = 0;
        shown[d] = READY;
        KNOW(d, 0);
        COMPLETE_FROM(d, 0);
        MISLEAD(d, false);
        ahead[d] = 0;
        KEEP_PLACE(d, 0);
        end_read(d)
    }
    :: end > RECORDS - 1 && sent == CHANGES -> break
    od
}

init {
    atomic {
        num[1] = 1;
        best[1] = 1;
        run Store();
        run Daemon(0);
        run Daemon(1);
        run Daemon(2)
    }
}
