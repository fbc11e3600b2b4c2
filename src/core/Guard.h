#pragma once

/// Test hooks that switch off one guard each, so that the randomised runs can show that
/// an invariant trips without it. Release builds contain none of them.

#include <atomic>
#include <cstdlib>

namespace limpetpond {

/// One entry for each guard that keeps an invariant.
enum class GuardId {
    None,
    // Claims
    ClaimNeverStolen, ///< A row of another attempt is left alone.
    ClaimKnownBeforeDispatch, ///< A lost answer of the claim write is read back before the dispatch.
    NotRunIsWon, ///< "Not run" is said only after the key was closed by a conditional write.
    RetryTokenRequired, ///< A closed key runs again only under the next generation.
    BodyHashCompared, ///< A key never answers for another body.
    LostAnswerIsUnknown, ///< A dispatch whose answer was lost is not reported as failed or run again.
    ClaimWindowChecked, ///< A claim that was won too late is not dispatched.
    KeyedCallIsClaimed, ///< A non-idempotent call is dispatched only with a claim.
    // Dispatches
    SecondDispatchOnlyIfNotStarted, ///< An idempotent request is dispatched again only if the first provably did not run.
    DispatchNotAfterChecked, ///< A traffic thread that wakes late does not dispatch.
    // Settings
    LowerVersionRefused, ///< Settings of a lower version are not applied.
    ViewAgeChecked, ///< No dispatch on a stale view.
    MajorityAsked, ///< Without the store, a view is confirmed by a majority of the listed instances.
    AcceptWaitsForMajority, ///< A change is reported as accepted only when a majority holds it.
    // Leaving
    LeavingMarkRespected, ///< A leaving target is not chosen.
    EmptyIsProved, ///< A target counts as empty only on the confirmation of every instance.
    // Overload
    FloorConfirmedBeforeShed, ///< A higher tier is shed only after peers confirmed the floor.
    LowerTierShedFirst, ///< The lowest tier that waits is shed first.
    // Answers
    ForeignPieceDropped, ///< A piece of another request's answer is dropped.
    RepeatedPieceDropped, ///< A piece that came before is dropped.
    GapHeldBack, ///< A piece that came too early waits for the ones before it.
    // Leases
    HolderStopsEarly, ///< The holder stops by its own clock before its lease ends.
    LongestOrderWaitedOut, ///< A new holder waits out the orders of the one before it.
    FencingNumberRaised, ///< Each new holder gets a higher fencing number.
    // Gateway
    WorkRunsOnce, ///< Work that may have run and must not run twice is not sent again.
    RefusalIsTrue, ///< "Not run" is said only of work that no target may have run.
    AnswerOfOtherRequestDropped, ///< An answer that names another request reaches no caller.
    BrokenAnswerHeldBack, ///< An answer that ended early is not passed on as whole.
    ResumeFollowsLastEvent, ///< A stream goes on only with the event that follows the last one.
    CallerGoneEndsWork, ///< Work of a caller that is gone is ended at the target.
    StopWaitsForWork, ///< What is in progress at SIGTERM ends before the process does.
};

#ifdef LIMPETPOND_TEST_HOOKS

namespace detail {
    inline thread_local GuardId disabledGuard { GuardId::None };
    inline std::atomic<GuardId> disabledGuardEverywhere { GuardId::None };
}

/// Whether the tests have switched off this guard on this thread.
///
///     if (!isGuardDisabled(GuardId::LowerVersionRefused) && version < current)
///         return;
inline bool isGuardDisabled(GuardId id)
{
    return detail::disabledGuard == id || detail::disabledGuardEverywhere.load(std::memory_order_relaxed) == id;
}

/// Switches off one guard on this thread; `GuardId::None` switches all on.
inline void disableGuard(GuardId id) { detail::disabledGuard = id; }

/// Switches off one guard on all threads; `GuardId::None` switches it on again.
inline void disableGuardEverywhere(GuardId id) { detail::disabledGuardEverywhere = id; }

/// Switches off the guard whose number is in POND_TEST_DISABLED_GUARD, to see a test of a whole process fail.
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
