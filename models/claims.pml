/*
 * Claims of one idempotency key (src/core/Claims.h).
 *
 * Up to four attempts of one key run as processes; an attempt that is not scheduled for a long time
 * is a frozen instance. The store may apply a write at any time after it was sent, also after its
 * sender stopped waiting; its answer may be lost, and it may be unreachable. Attempts 0 and 1 carry
 * no retry token; attempts 2 and 3 carry the token of the last "not run" answer to the caller.
 *
 * Checked: the key runs at most once, and no attempt runs whose caller is answered "not run", before or after.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 4
#endif
#ifndef TRIES
#define TRIES 1 /* Writes of one attempt for each purpose. */
#endif

mtype = { ABSENT, CLAIMED, COMPLETED, CLOSED, LOST };
mtype = { NOTHING, DONE, FAILED }; /* Result of an operation; NOTHING for an unknown one. */

/* The row of the key. */
mtype rowState = ABSENT;
byte rowOwner = ATTEMPTS;
byte rowGeneration = 0;

/* For each attempt, a write whose sender stopped waiting and that may still take effect; NOTHING for none. */
mtype lateState[ATTEMPTS] = NOTHING;
bool lateIsFirst[ATTEMPTS];

byte runs = 0;
byte ranToken = 0; /* The token of the attempt that ran. */
bool hasAnsweredNotRun = false;
byte answeredToken = 0; /* The highest generation in a "not run" answer. */
byte started = 0;

/* Applies a write under its condition: Absent or ClosedAtGeneration where `isFirst`, else OwnedByAttempt. */
inline apply(me, token, newState, isFirst) {
    if
#ifdef CLAIM_UNCONDITIONAL
    :: isFirst -> holds = true
#else
    :: isFirst && token == 0 -> holds = (rowState == ABSENT)
#ifdef GENERATION_NOT_CHECKED
    :: isFirst && token > 0 -> holds = (rowState == CLOSED)
#else
    :: isFirst && token > 0 -> holds = (rowState == CLOSED && rowGeneration == token)
#endif
#endif
    :: !isFirst -> holds = (rowState == CLAIMED && rowOwner == me)
    fi;
    if
    :: holds ->
        rowState = newState;
        rowOwner = me;
        if
        :: isFirst -> rowGeneration = token + 1
        :: else -> skip
        fi
    :: else -> skip
    fi;
    holds = false
}

/* Applies a late write now, or leaves it for later. */
inline applyLateWrite(me, token) {
    if
    :: lateState[me] != NOTHING ->
        apply(me, token, lateState[me], lateIsFirst[me]);
        lateState[me] = NOTHING
    :: true
    fi
}

/* Writes the row; `result` is DONE, FAILED, or NOTHING where the outcome is unknown. */
inline write(me, token, newState, isFirst) {
    atomic {
        applyLateWrite(me, token);
        if
        :: true ->
            apply(me, token, newState, isFirst);
            if
            :: result = (rowState == newState && rowOwner == me -> DONE : FAILED)
            :: result = NOTHING /* The answer is lost. */
            fi
        :: lateState[me] == NOTHING ->
            lateState[me] = newState;
            lateIsFirst[me] = isFirst;
            result = NOTHING
        fi
    }
}

/* Reads the row; `result` is NOTHING when the store does not answer. */
inline read(me, token) {
    atomic {
        applyLateWrite(me, token);
        if
        :: result = DONE; seenState = rowState; seenOwner = rowOwner; seenGeneration = rowGeneration
        :: result = NOTHING
        fi
    }
}

inline answerNotRun(generation) {
    atomic {
        assert(runs == 0 || ranToken >= generation);
        hasAnsweredNotRun = true;
        if
        :: generation > answeredToken -> answeredToken = generation
        :: else -> skip
        fi
    }
}

inline dispatch(token) {
    atomic {
        runs++;
        ranToken = token;
        assert(runs <= 1);
        assert(!hasAnsweredNotRun || token >= answeredToken)
    }
}

proctype Attempt(byte me; byte token) {
    byte held = token; /* The caller's token. */
    byte tries = 0, seenOwner, seenGeneration;
    mtype result = NOTHING, seenState = ABSENT;
    bool holds, isGivenUp;

    /* The request is refused at once, or accepted. */
    if
    :: isGivenUp = true
    :: isGivenUp = false
    fi;
#ifdef NOT_RUN_UNWON
    if
    :: isGivenUp -> answerNotRun(token + 1); goto finish
    :: else -> skip
    fi;
#endif
#ifdef NOT_RUN_BY_LOOKING
    read(me, token);
    if
    :: isGivenUp && result == DONE && seenState == ABSENT -> answerNotRun(token + 1); goto finish
    :: else -> skip
    fi;
#endif

claiming:
    if
    :: tries >= TRIES -> goto finish /* Unknown: the store does not answer. */
    :: else -> tries++
    fi;
    if
    :: true -> /* The store is unreachable; the write certainly had no effect. */
#ifdef STORE_DOWN_NOT_RUN
        answerNotRun(token + 1);
#endif
        goto finish
    :: isGivenUp -> write(me, token, CLOSED, true)
    :: !isGivenUp -> write(me, token, CLAIMED, true)
    fi;
    if
    :: result == DONE && isGivenUp -> answerNotRun(token + 1); goto finish
    :: result == DONE && !isGivenUp -> goto owned
    :: result != DONE -> skip
    fi;
    /* The write was refused or its answer lost: reads the row. */
#ifdef LOST_WRITE_AS_WON
    if
    :: result == NOTHING && !isGivenUp -> goto owned
    :: else -> skip
    fi;
#endif
#ifdef LOST_WRITE_AS_FAILED
    if
    :: result == NOTHING -> answerNotRun(token + 1); goto finish
    :: else -> skip
    fi;
#endif
    read(me, token);
    if
    :: result == NOTHING -> goto claiming
    :: result == DONE && seenState == ABSENT && token == 0 -> goto claiming
    :: result == DONE && seenState == ABSENT && token > 0 -> goto finish /* Unknown: the key's row was deleted. */
    :: result == DONE && seenState != ABSENT && seenOwner == me ->
        if
        :: seenState == CLAIMED && !isGivenUp -> goto owned
        :: seenState == CLAIMED && isGivenUp -> goto closing
        :: seenState == CLOSED -> answerNotRun(seenGeneration); goto finish
        :: else -> goto finish
        fi
    :: result == DONE && seenState != ABSENT && seenOwner != me ->
        if
        :: seenState == CLAIMED ->
#ifdef CLAIM_STOLEN
            goto owned
#else
            goto finish /* Unknown: in progress. */
#endif
        :: seenState == CLOSED && token == seenGeneration && token > 0 -> goto claiming
        :: seenState == CLOSED && !(token == seenGeneration && token > 0) ->
#ifdef TOKEN_IGNORED
            token = seenGeneration;
            goto claiming
#else
            answerNotRun(seenGeneration);
            goto finish
#endif
        :: seenState == COMPLETED || seenState == LOST -> goto finish /* The stored answer, or unknown. */
        fi
    fi;

owned:
    if
    :: dispatch(held);
        if
        :: tries = 0; write(me, token, COMPLETED, false)
        :: true -> /* The target's answer was lost. */
#ifdef LOST_ANSWER_AS_FAILED
            goto closing;
#endif
            tries = 0; write(me, token, LOST, false)
        fi;
        goto finish
    :: goto closing /* The request is given up while it waits. */
    fi;

closing:
    tries = 0;
    do
    :: tries < TRIES ->
        tries++;
        write(me, token, CLOSED, false);
        if
        :: result == DONE -> answerNotRun(token + 1); goto finish
        :: else -> skip
        fi;
        read(me, token);
        if
        :: result == DONE && seenOwner == me && seenState == CLOSED -> answerNotRun(seenGeneration); goto finish
        :: else -> skip
        fi
    :: tries >= TRIES -> break /* Unknown; closing continues in the background. */
    od;

finish:
    atomic {
        tries = 0;
        seenOwner = 0;
        seenGeneration = 0;
        result = NOTHING;
        seenState = ABSENT;
        isGivenUp = false
    }
    if
    :: lateState[me] != NOTHING -> atomic { applyLateWrite(me, token) }
    :: true
    fi
}

active proctype Caller() {
    /* Two arrivals without a token, then two with the token that the caller received. */
    atomic { run Attempt(0, 0); run Attempt(1, 0) }
endFirst:
    atomic { answeredToken > 0 -> run Attempt(2, answeredToken) };
#if ATTEMPTS > 3
endSecond:
    atomic { answeredToken > 0 -> run Attempt(3, answeredToken) }
#endif
}
