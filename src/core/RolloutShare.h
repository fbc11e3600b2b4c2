#pragma once

/// What this instance sends to the new version of a pool in a rollout.
///
/// Load pattern: requests that arrive unevenly at up to hundreds of instances, some of which start or are cut off meanwhile. Each
/// instance keeps the share of its own requests, so that the sum over all instances is within the limit without messages.
/// The share goes to few targets, which work as hard as those of the old versions, or harder in `RolloutPhase::Load`.

#include "core/Rollout.h"
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace limpetpond {

/// Requests that this instance has sent to the pool's targets since the order, further attempts included.
struct RolloutShare {
    struct Route {
        std::int64_t sent { 0 };
        std::int64_t sentToNew { 0 };
    };
    std::int64_t sent { 0 }; ///< To any version.
    std::int64_t sentToNew { 0 };
    double allowance { 0 }; ///< Requests that may go to the new version beyond the share; see `initialShare()`.
    std::map<std::uint32_t, Route> routes; ///< By `shortHash` of the route's name; bounded.
};

/// What an instance begins a rollout with. The hash is of the instance's id, its incarnation and the order. It decides at random whether
/// the share is rounded up or down: at hundreds of instances with a few requests each, the new version would get nothing
/// otherwise. A part of the slack is divided by the members that this instance knows at the order; an instance that started
/// later passes 0 members and gets none of it.
///
///     rollout.share = initialShare(hash, rollout.members, limits);
RolloutShare initialShare(std::uint64_t hash, int members, const RolloutLimits&);

/// Which versions the next request may be sent to.
enum class RolloutChoice {
    OnlyOld,
    NewFirst, ///< A sample target, or an old one where no sample target has a free slot.
    OnlyNew,
};

/// The choice for the next request. Requests of rare routes get more of the share than others, as each route has to be
/// compared; all routes together keep the share.
///
///     RolloutChoice choice = chooseVersions(rollout.position, share, limits, route);
RolloutChoice chooseVersions(const RolloutPosition&, const RolloutShare&, const RolloutLimits&, std::optional<std::uint32_t> route = std::nullopt);

/// Records that a request is sent.
void recordSend(RolloutShare&, bool isToNew, std::optional<std::uint32_t> route = std::nullopt);

/// A target with an entry, as far as the sample targets depend on it.
struct SampleCandidate {
    std::uint32_t hash { 0 }; ///< Of its id.
    bool isNew { false }; ///< Of the new version.
};

/// The positions in the list of the targets of the new version that get requests in the phases before `Switch`: the same ones at
/// each instance that knows the same targets.
///
///     std::vector<std::size_t> samples = sampleTargets(candidates, limits);
std::vector<std::size_t> sampleTargets(const std::vector<SampleCandidate>&, const RolloutLimits&);

/// Those of the sample targets that get requests at this time in `RolloutPhase::Load`: in a small pool, the share is too small
/// to load all of them, so that they take turns.
std::vector<std::size_t> loadTargets(const std::vector<SampleCandidate>&, const RolloutLimits&, Duration sinceOrder);

} // namespace limpetpond
