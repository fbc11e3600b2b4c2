#include "core/Invariant.h"

#include <array>
#include <atomic>

namespace limpetpond {

namespace {

    std::atomic<InvariantHandler> invariantHandler { nullptr };
    std::array<std::atomic<std::uint64_t>, invariantCount> violationCounts {};

} // namespace

std::string_view toString(InvariantId id)
{
    switch (id) {
    case InvariantId::DispatchAtMostOnce:
        return "dispatch_at_most_once";
    case InvariantId::NoTierInversion:
        return "no_tier_inversion";
    case InvariantId::WholeAnswer:
        return "whole_answer";
    case InvariantId::NotRunNeverRan:
        return "not_run_never_ran";
    case InvariantId::ClaimedRunsOnce:
        return "claimed_runs_once";
    case InvariantId::NoDispatchToLeavingTarget:
        return "no_dispatch_to_leaving_target";
    case InvariantId::ShutdownCutsNothing:
        return "shutdown_cuts_nothing";
    case InvariantId::SettingsNeverGoBack:
        return "settings_never_go_back";
    case InvariantId::DispatchOnFreshView:
        return "dispatch_on_fresh_view";
    case InvariantId::OneFinalAnswer:
        return "one_final_answer";
    case InvariantId::OneOrderingHolder:
        return "one_ordering_holder";
    }
    return "unknown";
}

void setInvariantHandler(InvariantHandler handler)
{
    invariantHandler.store(handler);
}

std::uint64_t invariantViolations(InvariantId id)
{
    return violationCounts[static_cast<std::size_t>(id)].load();
}

std::uint64_t invariantViolations()
{
    std::uint64_t total = 0;
    for (const auto& count : violationCounts)
        total += count.load();
    return total;
}

namespace detail {

    void reportViolation(InvariantId id)
    {
        violationCounts[static_cast<std::size_t>(id)].fetch_add(1);
        if (InvariantHandler handler = invariantHandler.load())
            handler(id);
    }

} // namespace detail

} // namespace limpetpond
