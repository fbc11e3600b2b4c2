#pragma once

/// Test hooks that disable one guard each, so that the randomized tests can show that they
/// detect its absence as a violation. Builds without LIMPETPOND_TEST_HOOKS contain none of them.

#include <atomic>
#include <cstdlib>

namespace limpetpond {

/// The guards that can be disabled. The tests use their names and numbers, so the order is fixed.
enum class GuardId {
    None,
    // Claims
    ClaimNeverStolen, ///< The claim row of another attempt is not overwritten.
    ClaimKnownBeforeDispatch, ///< If the result of the claim write is lost, the row is read before the dispatch.
    NotRunIsWon, ///< A request is answered as not run only after a conditional write closed its key.
    RetryTokenRequired, ///< A closed key runs again only under the next generation.
    BodyHashCompared, ///< The stored answer of a key is not returned for another body.
    LostAnswerIsUnknown, ///< A dispatch whose answer was lost is neither reported as failed nor run again.
    ClaimWindowChecked, ///< A claim that was written too late is not dispatched.
    KeyedCallIsClaimed, ///< A non-idempotent call is dispatched only with a claim.
    // Dispatches
    SecondDispatchOnlyIfNotStarted, ///< An idempotent request is dispatched again only if the first dispatch provably did not run.
    DispatchNotAfterChecked, ///< A traffic thread that wakes up late does not dispatch.
    // Settings
    LowerVersionRefused, ///< Settings of a lower version are not applied.
    ViewAgeChecked, ///< Nothing is dispatched on a stale settings view.
    MajorityAsked, ///< While the store is unavailable, a majority of the listed instances confirms a settings view.
    AcceptWaitsForMajority, ///< A change is reported as accepted only when a majority has it.
    // Leaving
    LeavingMarkRespected, ///< A leaving target is not selected.
    EmptyIsProved, ///< A target counts as empty only when every instance has confirmed it.
    // Overload
    FloorConfirmedBeforeShed, ///< A higher tier is shed only after all peers confirmed the admission floor.
    LowerTierShedFirst, ///< A tier is shed only when no lower tier waits or runs at this instance.
    // Answers
    ForeignPieceDropped, ///< A piece of another attempt's answer is dropped.
    RepeatedPieceDropped, ///< A piece that was already received is dropped.
    GapHeldBack, ///< A piece that arrives out of order is held until the missing ones arrive.
    // Leases
    HolderStopsEarly, ///< The holder stops before its lease ends, by its own clock.
    LongestOrderWaitedOut, ///< A new holder waits until the commands of the previous holder can no longer be in flight.
    FencingNumberRaised, ///< Each new holder gets a higher fencing number.
    // Gateway
    WorkRunsOnce, ///< A request that must not run twice is not retried if it may have run.
    RefusalIsTrue, ///< A request is answered as not run only if no target may have run it.
    AnswerOfOtherRequestDropped, ///< An answer with another request's id is not sent to the caller.
    BrokenAnswerHeldBack, ///< An incomplete answer is not forwarded as complete.
    ResumeFollowsLastEvent, ///< A resumed stream continues only with the event that follows the last one.
    CallerGoneEndsWork, ///< The request of a caller that disconnected is cancelled at the target.
    StopWaitsForWork, ///< After SIGTERM, the process waits for its requests in progress before it exits.
    CrashingPartsRefused, ///< Requests with a prompt part that crashes targets are refused.
    RateLimitKept, ///< A target gets no more requests than the limit that it states.
    LeavingAnswerRespected, ///< A target whose answer says that it leaves is not selected.
    PauseKept, ///< A target that wants no requests for some time gets none.
    StoreEpochCompared, ///< The tables are read again after the store was restored from a copy.
};

#ifdef LIMPETPOND_TEST_HOOKS

namespace detail {
    inline thread_local GuardId disabledGuard { GuardId::None };
    inline std::atomic<GuardId> disabledGuardEverywhere { GuardId::None };
}

/// True if a test disabled this guard on this thread or on all threads.
///
///     if (!isGuardDisabled(GuardId::LowerVersionRefused) && version < current)
///         return;
inline bool isGuardDisabled(GuardId id)
{
    return detail::disabledGuard == id || detail::disabledGuardEverywhere.load(std::memory_order_relaxed) == id;
}

/// Disables one guard on this thread; `GuardId::None` enables all.
inline void disableGuard(GuardId id) { detail::disabledGuard = id; }

/// Disables one guard on all threads; `GuardId::None` enables it again.
inline void disableGuardEverywhere(GuardId id) { detail::disabledGuardEverywhere = id; }

/// Disables the guard whose number is in POND_TEST_DISABLED_GUARD, so that a process test can show that it fails.
inline void disableGuardOfEnvironment()
{
    if (const char* number = std::getenv("POND_TEST_DISABLED_GUARD"))
        disableGuardEverywhere(static_cast<GuardId>(std::atoi(number)));
}

#else

constexpr bool isGuardDisabled(GuardId)
{
    return false;
}

inline void disableGuardOfEnvironment() { }

#endif

} // namespace limpetpond
