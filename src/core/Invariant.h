#pragma once

/// Invariants that are checked in every build, release builds included.
///
/// A violation is counted and passed to a handler. The daemon's handler logs it and raises
/// `AlarmKind::InvariantViolated`; the randomised runs fail on it.

#include <cstdint>
#include <string_view>

namespace limpetpond {

/// The invariants; at least one for each of the promises in docs/PROOFS.md.
enum class InvariantId {
    DispatchAtMostOnce, ///< An attempt is handed to a target only once unless the first dispatch provably did not start.
    NoTierInversion, ///< No request is shed while a lower tier is served in its pool.
    WholeAnswer, ///< A caller receives the pieces of its own answer only, in order and without gaps.
    NotRunNeverRan, ///< A request that was answered as not run ran nowhere.
    ClaimedRunsOnce, ///< Only the attempt in the claim row dispatches a non-idempotent call.
    NoDispatchToLeavingTarget, ///< A target whose leaving mark is in force gets no new work.
    ShutdownCutsNothing, ///< A target counts as empty only when no request is in progress there.
    SettingsNeverGoBack, ///< The version of the settings in force never falls.
    DispatchOnFreshView, ///< No dispatch on settings that were confirmed longer ago than the view's age limit.
    OneFinalAnswer, ///< Each request gets exactly one final answer.
    OneOrderingHolder, ///< An order is sent only inside its sender's lease.
};

inline constexpr int invariantCount = static_cast<int>(InvariantId::OneOrderingHolder) + 1;

/// The name that logs and alarms use, such as `settings_never_go_back`.
///
///     toString(InvariantId::WholeAnswer) == "whole_answer";
std::string_view toString(InvariantId);

/// Called for each violation on the thread that found it; must not throw.
using InvariantHandler = void (*)(InvariantId);

/// Sets the handler of the process; null restores the default, which only counts.
///
///     setInvariantHandler([](InvariantId id) { logViolation(toString(id)); });
void setInvariantHandler(InvariantHandler);

/// Violations of one invariant since the process started.
///
///     if (invariantViolations(InvariantId::WholeAnswer)) raiseAlarm();
std::uint64_t invariantViolations(InvariantId);

/// Violations of all invariants since the process started.
std::uint64_t invariantViolations();

namespace detail {
    void reportViolation(InvariantId);
}

/// Counts a violation and calls the handler when the condition does not hold.
///
///     checkInvariant(!dispatched, InvariantId::DispatchAtMostOnce);
///     dispatched = true;
inline void checkInvariant(bool condition, InvariantId id)
{
    if (!condition) [[unlikely]]
        detail::reportViolation(id);
}

} // namespace limpetpond
