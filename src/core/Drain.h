#pragma once

/// Proof that a leaving target is empty.
///
/// A target is empty when every live instance confirmed the leaving mark and reported nothing
/// in progress there, a majority of the listed instances is among them, and no other instance
/// can still have work there. The argument is in docs/design/leaving.md.

#include "core/Messages.h"
#include "limpetpond/Clock.h"
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace limpetpond {

/// What an instance last said of its work at the targets.
struct InstanceWork {
    Incarnation incarnation;
    std::uint64_t sequence { 0 }; ///< Of the newest heartbeat.
    MemberState state { MemberState::Live };
    bool listed { false };
    SteadyTime lastSeenAt; ///< Or when the instance was first listed.
    std::map<TargetId, TargetUpdate> targets;
};

/// The newest report of a target itself.
struct TargetIdleReport {
    SteadyTime measuredAt;
    bool idle { false };
};

/// Since when a majority of the listed instances has held a leaving mark.
struct MajorityMark {
    SettingsVersion mark;
    SteadyTime since;
};

/// What one instance knows of the work at leaving targets.
struct DrainTracker {
    InstanceId self;
    std::map<InstanceId, InstanceWork> instances; ///< This one included.
    std::vector<InstanceWork> endedIncarnations; ///< Earlier starts of instances that were replaced; their calls may still run at targets.
    std::map<TargetId, TargetIdleReport> reports;
    std::map<TargetId, MajorityMark> majorityMarks;
    Duration maxViewAgeLimit { 0 }; ///< The largest view age limit seen; a silent instance may still hold it.
};

enum class DrainState {
    Serving,
    Leaving,
    Empty,
};

struct DrainStatus {
    DrainState state { DrainState::Serving };
    TokenCount tokensInProgress;
    int requestsInProgress { 0 };
    std::vector<InstanceId> notConfirmed; ///< Live or suspected instances whose confirmation is missing.
    std::optional<SteadyTime> unreachableWorkUntil; ///< Until when an unheard instance may still have work there.
};

/// The state of an instance that starts now. What earlier starts, its own among them, left at targets is not
/// known to it, so it waits that out like the work of a departed instance.
///
///     DrainTracker tracker = makeDrainTracker(InstanceId("a"), now);
///     handleInstanceListRead(tracker, list, now);
DrainTracker makeDrainTracker(InstanceId self, SteadyTime now);

/// Whether the state is `serving`, `leaving` or `empty`, as text.
std::string_view toString(DrainState);

/// Takes in the news of another instance, from either direction of a heartbeat.
void recordWork(DrainTracker&, const Heartbeat&, SteadyTime now);

/// Takes in this instance's own work: one entry for each target that is leaving or has work here.
void recordOwnWork(DrainTracker&, Incarnation, const std::vector<TargetUpdate>&, SteadyTime now);

/// Takes in what the membership says of another instance.
void recordMemberState(DrainTracker&, const InstanceId&, MemberState);

/// Takes in the platform's instance list.
void handleInstanceListRead(DrainTracker&, const InstanceListRead&, SteadyTime now);

/// Takes in a target's own report.
void recordTargetReport(DrainTracker&, const TargetReported&);

/// Remembers since when a majority has confirmed each mark and forgets instances that can't matter; for every Tick.
void updateDrains(DrainTracker&, const Settings&, SteadyTime now);

/// How far a target's leaving has got.
///
///     if (drainStatus(tracker, settings, target, now).state == DrainState::Empty) clean(target);
DrainStatus drainStatus(const DrainTracker&, const Settings&, const TargetId&, SteadyTime now);

} // namespace limpetpond
