/*
 * Who decides a rollout, and when old targets may stop (src/core/Rollout.h, RolloutHolder.h).
 *
 * Three instances, two of which may hold the rollout. Time is discrete. An instance that is not scheduled is frozen; one of them
 * may be cut off from the others for good, though not from the store. An instance that hears others is heard by them. The effect of a write and its answer are two steps, and
 * the answer may be lost. Updates between instances are read as a whole, but any number of them may be missed, so that a holder decides
 * on old acknowledgements.
 *
 * Checked: a final state never changes; after `SUCCEEDED` no instance sends to an old target, and none has a request in progress
 * there but one that has been silent for longer than its lease.
 *
 * Not finished: the search is too large to complete, so that support/model-check has no line for it yet.
 */

#define INSTANCES 3
#define HOLDERS 2 /* Instances that may hold the rollout. */
#define LEASE 1 /* Time since it last heard of the holder in which an instance may send. */
#define MARGIN 1 /* An instance may have heard of a holder later, by this time, than the holder has heard it. */
#ifndef HORIZON
#define HORIZON 4
#endif
#define GENERATIONS 3

#define LOAD 1
#define SWITCH 2
#define SUCCEEDED 3
#define ROLLED_BACK 4

byte now = 0;

/* The row in the store. Its revision is the generation and the phase: each write changes one of them. */
byte rowGeneration = 0;
byte rowPhase = 0;

/* What each instance acts upon. */
byte generation[INSTANCES];
byte phase[INSTANCES];
bool isStopped[INSTANCES];
byte heardAt[INSTANCES]; /* When the holder was last known to hold the rollout. */
bool hasOld[INSTANCES]; /* Requests in progress at old targets. */
bool isCut[INSTANCES];

/* What an update tells; a holder reads it at any time, also when it is outdated. */
byte toldGeneration[INSTANCES];
byte toldPhase[INSTANCES];
bool toldStopped[INSTANCES];
bool toldOld[INSTANCES];
byte toldAt[INSTANCES];

#define isFinal(p) (p >= SUCCEEDED)

#ifdef LEASE_IGNORED
#define maySend(i) true
#else
#define maySend(i) (isFinal(phase[i]) || generation[i] == 0 || now <= heardAt[i] + LEASE)
#endif

/* Old targets are used before the switch and after a stop or a rollback. */
#define usesOld(i) (isStopped[i] || phase[i] < SWITCH || phase[i] == ROLLED_BACK)

inline advance(i, g, p, stopped) {
    if
    :: (isFinal(p) && !isFinal(phase[i])) || (isFinal(p) == isFinal(phase[i]) && (g > generation[i] || (g == generation[i] && p > phase[i]))) ->
#ifdef STOP_SPREADS_INTO_SWITCH
        isStopped[i] = isStopped[i] || stopped;
#else
        if
        :: p < SWITCH -> isStopped[i] = isStopped[i] || stopped
        :: else -> isStopped[i] = stopped
        fi;
#endif
        generation[i] = g;
        phase[i] = p
    :: g == generation[i] && p == phase[i] -> isStopped[i] = isStopped[i] || stopped
#ifdef STOP_SPREADS_INTO_SWITCH
    :: g < generation[i] && !isFinal(phase[i]) && stopped -> isStopped[i] = true
#else
    :: g < generation[i] && phase[i] < SWITCH && stopped -> isStopped[i] = true
#endif
    :: else -> skip
    fi;
    if
    :: isFinal(phase[i]) -> isStopped[i] = false
    :: else -> skip
    fi
}

/* An update of one instance arrives at another; what it says of the holder is as old as at the sender. */
inline receive(i, j) {
    d_step {
        advance(i, generation[j], phase[j], isStopped[j]);
        if
        :: generation[j] >= generation[i] && heardAt[j] > heardAt[i] -> heardAt[i] = heardAt[j]
        :: else -> skip
        fi
    }
}

inline tell(i) {
    d_step {
        toldGeneration[i] = generation[i];
        toldPhase[i] = phase[i];
        toldStopped[i] = isStopped[i];
        toldOld[i] = hasOld[i];
        toldAt[i] = now
    }
}

/* A silent instance has lost its lease; of the others, the last update in this generation counts. */
#ifdef SILENCE_NOT_WAITED_OUT
#define isSilent(i) (now > toldAt[i])
#else
#define isSilent(i) (now > toldAt[i] + LEASE + MARGIN)
#endif
#ifdef OLD_ACKNOWLEDGEMENT_COUNTS
#define hasAcknowledged(i, g) (toldPhase[i] == SWITCH)
#else
#define hasAcknowledged(i, g) (toldPhase[i] == SWITCH && toldGeneration[i] == g && !toldStopped[i])
#endif
#ifdef IN_PROGRESS_IGNORED
#define hasLeft(i, g) hasAcknowledged(i, g)
#else
#define hasLeft(i, g) (hasAcknowledged(i, g) && !toldOld[i])
#endif
#define isHeard(i) (now <= toldAt[i] + LEASE)
#ifdef MAJORITY_NOT_ASKED
#define isMajority(me) true
#else
#define isMajority(me) ((me == 0 || isHeard(0)) + (me == 1 || isHeard(1)) + (me == 2 || isHeard(2)) >= 2)
#endif
#define allows(me, i, g) (me == i || (isHeard(i) && hasLeft(i, g)) || isSilent(i))

/* The holder has checked its own requests. */
inline checkEnd() {
    assert(!hasOld[0] || now > toldAt[0] + LEASE + MARGIN);
    assert(!hasOld[1] || now > toldAt[1] + LEASE + MARGIN);
    assert(!hasOld[2] || now > toldAt[2] + LEASE + MARGIN)
}

/* Writes a phase under the condition that the row is unchanged. Without the answer, the row is read back later. */
inline write(g, p) {
    atomic {
#ifdef WRITE_UNCONDITIONAL
        if
        :: true ->
#else
        if
        :: rowGeneration == seenGeneration && rowPhase == seenPhase ->
#endif
            assert(!isFinal(rowPhase));
            rowGeneration = g;
            rowPhase = p;
            if
            :: p == SUCCEEDED -> checkEnd()
            :: else -> skip
            fi;
            if
            :: advance(me, g, p, false); owned = g
            :: skip /* The answer is lost. */
            fi
        :: else -> skip
        fi
    }
}

inline readRow() {
    d_step {
        seenGeneration = rowGeneration;
        seenPhase = rowPhase;
        if
        :: rowGeneration > 0 -> advance(me, rowGeneration, rowPhase, false)
        :: else -> skip
        fi
    }
}

proctype Instance(byte me) {
    byte seenGeneration, seenPhase, owned, chosen;

endLoop:
    do
    /* Requests. */
    :: atomic { now < HORIZON && !hasOld[me] && usesOld(me) && maySend(me) -> assert(rowPhase != SUCCEEDED); hasOld[me] = true }
    :: atomic { hasOld[me] -> hasOld[me] = false }
    /* Updates. */
    :: atomic { now < HORIZON && !isCut[me] -> tell(me) }
    :: atomic {
        now < HORIZON && !isCut[me] && toldAt[me] == now ->
        if
        :: me != 0 && !isCut[0] -> receive(me, 0)
        :: me != 1 && !isCut[1] -> receive(me, 1)
        :: me != 2 && !isCut[2] -> receive(me, 2)
        fi
    }
    /* The store. */
    :: now < HORIZON && me < HOLDERS -> readRow()
    :: now < HORIZON && me < HOLDERS && !isFinal(seenPhase) && seenGeneration < GENERATIONS && (owned == 0 || owned != generation[me]) && (generation[me] == 0 || now > heardAt[me]) ->
        chosen = (seenPhase < LOAD -> LOAD : seenPhase);
        write(seenGeneration + 1, chosen);
        chosen = 0
    /* The holder: its lease is as old as the last majority. */
    :: atomic {
        now < HORIZON && owned > 0 && owned == generation[me] && !isFinal(phase[me]) && isMajority(me) ->
#ifdef HOLDER_HAS_NO_LEASE
        heardAt[me] = now
#else
        if
        :: toldAt[(me + 1) % INSTANCES] >= toldAt[(me + 2) % INSTANCES] -> chosen = toldAt[(me + 1) % INSTANCES]
        :: else -> chosen = toldAt[(me + 2) % INSTANCES]
        fi;
        if
        :: chosen > heardAt[me] -> heardAt[me] = chosen
        :: else -> skip
        fi;
        chosen = 0
#endif
    }
    :: now < HORIZON && owned > 0 && owned == generation[me] && phase[me] == LOAD && !isStopped[me] && seenGeneration == owned && seenPhase == LOAD ->
        write(owned, SWITCH)
#ifdef STOP_IN_SWITCH
    :: atomic { now < HORIZON && owned > 0 && owned == generation[me] && phase[me] == SWITCH && !isStopped[me] -> isStopped[me] = true }
#endif
    :: now < HORIZON && owned > 0 && owned == generation[me] && phase[me] == SWITCH && seenGeneration == owned && seenPhase == SWITCH ->
        write(owned, ROLLED_BACK)
    :: atomic {
        now < HORIZON && owned > 0 && owned == generation[me] && phase[me] == SWITCH && !isStopped[me] && seenGeneration == owned && seenPhase == SWITCH && !hasOld[me] && isMajority(me) && allows(me, 0, owned) && allows(me, 1, owned) && allows(me, 2, owned) ->
        write(owned, SUCCEEDED)
    }
    od
}

active proctype Time() {
    byte lost = 0;
endTime:
    do
    :: atomic { now < HORIZON -> now++ }
    :: atomic {
        lost == 0 ->
        lost = 1;
        if
        :: isCut[0] = true
        :: isCut[2] = true
        fi
    }
    od
}

init {
    atomic { run Instance(0); run Instance(1); run Instance(2) }
}
