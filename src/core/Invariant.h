#pragma once

/// Invariants that every build checks, including release builds.
///
/// Each violation is counted and passed to a handler. The daemon's handler logs it and raises
/// `AlarmKind::InvariantViolated`; the randomized tests fail on it.

#include <cstdint>
#include <string_view>

namespace limpetpond {

/// The invariants; at least one for each guarantee in docs/PROOFS.md.
enum class InvariantId {
    DispatchAtMostOnce, ///< An attempt is dispatched to a target only once, unless the first dispatch provably did not start.
    NoTierInversion, ///< No request is shed while a lower tier is served in its pool.
    WholeAnswer, ///< A caller receives only the pieces of its own answer, in order and without gaps.
    NotRunNeverRan, ///< A request that was answered as not run did not run at any target.
    ClaimedRunsOnce, ///< Only the attempt in the claim row dispatches a non-idempotent call.
    NoDispatchToLeavingTarget, ///< A target whose leaving mark is in force receives no new requests.
    ShutdownCutsNothing, ///< A target counts as empty only when no request is in progress there.
    SettingsNeverGoBack, ///< The version of the settings in force never decreases.
    DispatchOnFreshView, ///< Nothing is dispatched on a settings view that was confirmed longer ago than its age limit.
    OneFinalAnswer, ///< Each request gets exactly one final answer.
    OneOrderingHolder, ///< An engine command is sent only while its sender holds the lease.
};

inline constexpr int invariantCount = static_cast<int>(InvariantId::OneOrderingHolder) + 1;

/// The name in logs and alarms, such as `settings_never_go_back`.
///
///     toString(InvariantId::WholeAnswer) == "whole_answer";
std::string_view toString(InvariantId);

/// Called for each violation on the thread that detected it; must not throw.
using InvariantHandler = void (*)(InvariantId);

/// Sets the handler for the whole process; with null, violations are only counted.
///
///     setInvariantHandler([](InvariantId id) { logViolation(toString(id)); });
void setInvariantHandler(InvariantHandler);

/// The number of violations of one invariant since the process started.
///
///     if (invariantViolations(InvariantId::WholeAnswer)) raiseAlarm();
std::uint64_t invariantViolations(InvariantId);

/// The number of violations of all invariants since the process started.
std::uint64_t invariantViolations();

namespace detail {
    void reportViolation(InvariantId);
}

/// Counts a violation and calls the handler if the condition is false.
///
///     checkInvariant(!dispatched, InvariantId::DispatchAtMostOnce);
///     dispatched = true;
inline void checkInvariant(bool condition, InvariantId id)
{
    if (!condition) [[unlikely]]
        detail::reportViolation(id);
}

} // namespace limpetpond
