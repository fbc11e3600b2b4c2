/*
 * The lease for commanding an engine and its fencing number (src/core/Lease.h).
 *
 * Two instances want to command one engine. Time is discrete and the same for both, but the
 * clock of each may run fast by DRIFT ticks in a term. An instance that is not scheduled is frozen; it
 * continues later with its old state. Answers of the table service may be lost.
 * With CHECKING, the engine refuses a lower fencing number, and a command may reach it any time after it was
 * numbered. Without, the sender checks its clock as it sends (Dispatch::notAfter), and a command has effects for
 * at most MAX_COMMAND_TIME ticks.
 *
 * Checked, for a checking engine: no command of an earlier holder is accepted after one of a later holder. For an
 * engine that ignores the number: commands of two holders never overlap, and no earlier holder sends a command
 * after a later one.
 */

#define TERM 4
#define MARGIN 2
#define MAX_COMMAND_TIME 2
#ifndef HORIZON
#define HORIZON 5
#endif
#define DRIFT 2 /* Most ticks by which an instance overestimates a term. */
#define NO_HOLDER 2
#define HOLDERS 4 /* Changes of the holder in one run. */

byte now = 0;

/* The row in the table service. */
byte holder = NO_HOLDER;
byte number = 0;
byte renewals = 0;

/* The engine. */
byte acceptedNumber = 0;
byte acceptedFrom = NO_HOLDER;
byte commandEnd = 0; /* End of the effects of the last accepted command. */

inline forgetRow() {
    hasSeen = false;
    seenHolder = NO_HOLDER;
    seenNumber = 0;
    seenRenewals = 0;
    changedAt = 0
}

inline loseLease() {
    isHeld = false;
    myNumber = 0;
    heldSince = 0;
    renewedAt = 0
}

inline readRow() {
    d_step {
        if
        :: !hasSeen || seenHolder != holder || seenNumber != number || seenRenewals != renewals -> changedAt = now
        :: else -> skip
        fi;
        hasSeen = true;
        seenHolder = holder;
        seenNumber = number;
        seenRenewals = renewals;
        if
        :: isHeld && !(holder == me && number == myNumber) -> loseLease()
        :: else -> skip
        fi
    }
}

/* Acquires the lease if the row is unchanged since it was read. A lost answer counts as a failure: the row names
   this instance, which waits for the end of the term like any other. */
inline acquire() {
    atomic {
#ifdef WRITE_UNCONDITIONAL
        if
        :: true ->
#else
        if
        :: holder == seenHolder && number == seenNumber && renewals == seenRenewals ->
#endif
            holder = me;
#ifdef NUMBER_NOT_RAISED
            number = (seenNumber == 0 -> 1 : seenNumber);
#else
            number = seenNumber + 1;
#endif
            renewals = 0;
            if
            :: isHeld = true; myNumber = number; heldSince = now; renewedAt = startedAt
            :: true
            fi
        :: else -> skip
        fi;
        forgetRow();
        startedAt = 0
    }
}

/* The effect of a renewal and its answer are two steps: time may pass in between. */
inline renew() {
    atomic {
        if
        :: holder == me && number == myNumber && renewals < 2 -> renewals++; isRenewing = true
        :: holder == me && number == myNumber && renewals >= 2 -> startedAt = 0
        :: else -> loseLease(); startedAt = 0
        fi
    };
    if
    :: isRenewing ->
        atomic {
            if
#ifdef RENEWED_FROM_ANSWER
            :: renewedAt = now
#else
            :: renewedAt = startedAt
#endif
            :: true /* The answer is lost. */
            fi;
            isRenewing = false;
            startedAt = 0
        }
    :: else -> skip
    fi
}

inline deliverCommand(commandNumber) {
    d_step {
#ifdef CHECKING
#ifdef NUMBER_NOT_CHECKED
        if
        :: true ->
#else
        if
        :: commandNumber >= acceptedNumber ->
#endif
            assert(commandNumber > acceptedNumber || (commandNumber == acceptedNumber && (acceptedFrom == me || acceptedFrom == NO_HOLDER)));
            acceptedNumber = commandNumber;
            acceptedFrom = me
        :: else -> skip
        fi
#else
        assert(acceptedFrom == NO_HOLDER || acceptedFrom == me || (commandNumber > acceptedNumber && commandEnd <= now));
        assert(commandNumber >= acceptedNumber);
        acceptedNumber = commandNumber;
        acceptedFrom = me;
        commandEnd = now + MAX_COMMAND_TIME
#endif
    }
}

#ifdef HOLDER_DOES_NOT_STOP
#define inLease true
#else
#ifdef MARGIN_LEFT_OUT
#define inLease (now < renewedAt + TERM)
#else
#define inLease (now < renewedAt + TERM - MARGIN)
#endif
#endif

#ifdef LEASE_NOT_WAITED_OUT
#define canAcquire true
#else
#define canAcquire (seenNumber == 0 || now + DRIFT >= changedAt + TERM)
#endif

#ifdef CHECKING
#define earlierCommandsEnded true
#else
#ifdef ORDER_NOT_WAITED_OUT
#define earlierCommandsEnded true
#else
#define earlierCommandsEnded (now >= heldSince + MAX_COMMAND_TIME)
#endif
#endif

proctype Instance(byte me) {
    bool hasSeen = false, isHeld = false, isRenewing = false;
    byte seenHolder = NO_HOLDER, seenNumber, seenRenewals, changedAt;
    byte myNumber, heldSince, renewedAt, startedAt, commandNumber;

endLoop:
    do
    :: now < HORIZON -> readRow()
    :: now < HORIZON && hasSeen && !isHeld && canAcquire && number < HOLDERS -> startedAt = now; acquire()
    :: now < HORIZON && isHeld && now > renewedAt -> startedAt = now; renew()
#ifdef CHECKING
    :: now < HORIZON && isHeld && inLease -> commandNumber = myNumber; deliverCommand(commandNumber); commandNumber = 0
#else
    :: atomic { now < HORIZON && isHeld && inLease && earlierCommandsEnded -> deliverCommand(myNumber) }
#endif
    od
}

active proctype Time() {
endTime:
    do
    :: now < HORIZON -> now++
    od
}

init {
    atomic { run Instance(0); run Instance(1) }
}
