/*
 * The lease of an engine's orders and its fencing number (src/core/Lease.h).
 *
 * Two instances want to give orders to one engine. Time is discrete and the same for both, but the
 * clock of each may run fast by DRIFT ticks in a term. An instance that is not scheduled is frozen: it
 * goes on from where it stood, with what it knew. Answers of the table service may be lost.
 * With CHECKING, the engine refuses a lower fencing number, and an order may reach it any time after it was
 * stamped. Without, the sender checks its clock as it sends (Dispatch::notAfter), and an order works for at most
 * LONGEST ticks.
 *
 * Checked, for a checking engine: accepted orders never go back to an earlier holder. For an engine that
 * ignores the number: orders of two holders never overlap, and no earlier holder orders after a later one.
 */

#define TERM 4
#define MARGIN 2
#define LONGEST 2
#ifndef HORIZON
#define HORIZON 5
#endif
#define DRIFT 2 /* How much an instance overestimates a term at most. */
#define NOBODY 2
#define HOLDERS 4 /* Changes of the holder in one run. */

byte now = 0;

/* The row in the table service. */
byte holder = NOBODY;
byte number = 0;
byte renewals = 0;

/* The engine. */
byte acceptedNumber = 0;
byte acceptedFrom = NOBODY;
byte orderEnd = 0; /* When the last accepted order has its last effect. */

inline forgetRow() {
    hasSeen = false;
    seenHolder = NOBODY;
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

/* Takes the lease if the row stands as it was read; the answer may be lost, and is then taken as a failure:
   the row names this instance, but it waits out the term like any other. */
inline take() {
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

inline deliver(orderNumber) {
    d_step {
#ifdef CHECKING
#ifdef NUMBER_NOT_CHECKED
        if
        :: true ->
#else
        if
        :: orderNumber >= acceptedNumber ->
#endif
            assert(orderNumber > acceptedNumber || (orderNumber == acceptedNumber && (acceptedFrom == me || acceptedFrom == NOBODY)));
            acceptedNumber = orderNumber;
            acceptedFrom = me
        :: else -> skip
        fi
#else
        assert(acceptedFrom == NOBODY || acceptedFrom == me || (orderNumber > acceptedNumber && orderEnd <= now));
        assert(orderNumber >= acceptedNumber);
        acceptedNumber = orderNumber;
        acceptedFrom = me;
        orderEnd = now + LONGEST
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
#define isTakeable true
#else
#define isTakeable (seenNumber == 0 || now + DRIFT >= changedAt + TERM)
#endif

#ifdef CHECKING
#define isWaitedOut true
#else
#ifdef ORDER_NOT_WAITED_OUT
#define isWaitedOut true
#else
#define isWaitedOut (now >= heldSince + LONGEST)
#endif
#endif

proctype Instance(byte me) {
    bool hasSeen = false, isHeld = false, isRenewing = false;
    byte seenHolder = NOBODY, seenNumber, seenRenewals, changedAt;
    byte myNumber, heldSince, renewedAt, startedAt, orderNumber;

endLoop:
    do
    :: now < HORIZON -> readRow()
    :: now < HORIZON && hasSeen && !isHeld && isTakeable && number < HOLDERS -> startedAt = now; take()
    :: now < HORIZON && isHeld && now > renewedAt -> startedAt = now; renew()
#ifdef CHECKING
    :: now < HORIZON && isHeld && inLease -> orderNumber = myNumber; deliver(orderNumber); orderNumber = 0
#else
    :: atomic { now < HORIZON && isHeld && inLease && isWaitedOut -> deliver(myNumber) }
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
