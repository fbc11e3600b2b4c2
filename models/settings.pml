/*
 * Versions of the settings (src/core/SettingsReplica.h).
 *
 * Three instances hold versions and may dispatch while their view is confirmed: by a read of the version row
 * that shows the version in force, or by a majority of the instances that answer with no higher version. An
 * instance that is not scheduled is frozen. A change is reported as accepted once the instance that received
 * it has applied it and, read after that, a majority has. Any message may be lost, which also models every network
 * partition. RESTARTS counts restarts that lose all state; an instance counts in majorities only once its version was
 * confirmed since its start, and does not count itself until then. RESTORES counts how often the store is
 * restored to an older version.
 *
 * Checked: the version in force never decreases; and, unless the store was restored, no instance dispatches on
 * an older version later than AGE after a change was accepted.
 */

#define INSTANCES 3
#define AGE 1
#ifndef HORIZON
#define HORIZON 3
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif
#ifndef RESTORES
#define RESTORES 0
#endif
#define NEVER 255

byte now = 0;
byte stored = 1; /* The version row. */
byte accepted = 0; /* The highest accepted version. */
byte acceptedAt = 0;
byte restarts = 0;
byte restores = 0;

byte version[INSTANCES]; /* 0 for none. */
bool isEstablished[INSTANCES];
byte confirmedAt[INSTANCES]; /* Start of the newest confirmation, or NEVER. */

inline setVersion(me, newVersion) {
#ifndef LOWER_VERSION_APPLIED
    if
    :: newVersion > version[me] -> version[me] = newVersion
    :: else -> skip
    fi
#else
    assert(newVersion >= version[me]);
    version[me] = newVersion
#endif
}

inline confirm(me, since) {
    if
    :: confirmedAt[me] == NEVER || since > confirmedAt[me] -> confirmedAt[me] = since
    :: else -> skip
    fi;
    isEstablished[me] = true
}

proctype Instance(byte me) {
    byte startedAt = 0, seen = 0, first = 0, second = 0, needed = 0, counted = 0;

endLoop:
    do
    :: now < HORIZON && confirmedAt[me] != now ->
        /* Reads the version row; the process may be suspended between the start and the read. */
        startedAt = now;
        if
        :: seen = stored
        :: true /* The store does not answer. */
        fi;
        /* Time may pass before the answer arrives. */
        atomic {
            if
            :: seen > 0 ->
                setVersion(me, seen);
                if
#ifdef AGE_FROM_ANSWER
                :: seen == version[me] -> confirm(me, now)
#else
                :: seen == version[me] -> confirm(me, startedAt)
#endif
                :: else -> skip
                fi
            :: else -> skip
            fi;
            startedAt = 0;
            seen = 0
        }
    :: now < HORIZON && confirmedAt[me] != now ->
        /* Reads the version of both peers, one after the other. */
        startedAt = now;
        /* An answer is one step of the peer that sends it. */
        if
        :: atomic { isEstablished[(me + 1) % INSTANCES] -> first = version[(me + 1) % INSTANCES] }
        :: true
        fi;
        atomic {
            if
            :: isEstablished[(me + 2) % INSTANCES] -> second = version[(me + 2) % INSTANCES]
            :: true
            fi;
            /* An answer that shows a higher version does not count; the version is fetched. */
#ifdef RESTARTED_COUNTS_ITSELF
            needed = 1;
#else
            if
            :: isEstablished[me] -> needed = 1
            :: else -> needed = 2
            fi;
#endif
#ifdef MAJORITY_NOT_ASKED
            needed = 0;
#endif
            counted = 0;
            if
#ifdef HIGHER_ANSWER_COUNTED
            :: first > 0 -> counted++
#else
            :: first > 0 && first <= version[me] -> counted++
#endif
            :: else -> skip
            fi;
            if
#ifdef HIGHER_ANSWER_COUNTED
            :: second > 0 -> counted++
#else
            :: second > 0 && second <= version[me] -> counted++
#endif
            :: else -> skip
            fi;
            if
            :: version[me] > 0 && counted >= needed -> confirm(me, startedAt)
            :: else -> skip
            fi;
            if
            :: second > first -> first = second
            :: else -> skip
            fi;
            counted = 0;
            needed = 0;
            startedAt = 0;
            second = 0
        };
        /* A higher version is fetched later, and the fetch may fail. */
        atomic {
            if
            :: first > version[me] -> setVersion(me, first)
            :: true
            fi;
            first = 0
        }
    :: atomic {
           /* Dispatches; the traffic thread checks the age by its clock as it sends. */
#ifdef AGE_LEFT_OUT
           now < HORIZON && isEstablished[me] ->
#else
           now < HORIZON && isEstablished[me] && confirmedAt[me] != NEVER && now < confirmedAt[me] + AGE ->
#endif
           assert(RESTORES > 0 || accepted == 0 || now <= acceptedAt + AGE || version[me] >= accepted)
       }
    :: atomic {
           restarts < RESTARTS && now < HORIZON ->
           restarts++;
           version[me] = 0;
           isEstablished[me] = false;
           confirmedAt[me] = NEVER
       }
    od
}

/* Applies one change at instance 0 and reports it as accepted when a majority holds it. */
proctype Operator() {
    byte changed = 0;
    bool isHeld = false;

endStart:
    atomic { now < HORIZON && isEstablished[0] -> changed = stored + 1; stored = changed; setVersion(0, changed) }
endWait:
    if
    :: atomic {
           isEstablished[0] && version[0] >= changed ->
           if
#ifdef ACCEPTED_BY_ONE
           :: isHeld = true
#endif
           :: isEstablished[1] && version[1] >= changed -> isHeld = true
           :: isEstablished[2] && version[2] >= changed -> isHeld = true
           fi
       }
    fi;
    atomic {
        if
        :: isEstablished[0] && version[0] >= changed -> accepted = changed; acceptedAt = now
        :: else -> skip /* Restarted meanwhile: the change is never reported. */
        fi
    }
}

active proctype Store() {
endStore:
    do
    :: atomic { restores < RESTORES && stored > 1 -> restores++; stored = stored - 1 }
    od
}

active proctype Time() {
endTime:
    do
    :: now < HORIZON -> now++
    od
}

init {
    atomic {
        byte i;
        for (i : 0 .. INSTANCES - 1) {
            version[i] = 1;
            isEstablished[i] = true;
            confirmedAt[i] = NEVER
        }
        run Instance(0);
        run Instance(1);
        run Instance(2);
        run Operator()
    }
}
