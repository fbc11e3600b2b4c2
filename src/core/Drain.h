#pragma once

/// Proof that a leaving target is empty.
///
/// A target is empty when every live instance has confirmed the leaving mark and reported no
/// requests in progress there, a majority of the listed instances holds the mark, and no other
/// instance can still have requests there. The proof is in docs/design/leaving.md.

#include "core/Messages.h"
#include "limpetpond/Clock.h"
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace limpetpond {

/// The requests in progress at the targets, as an instance last reported them.
struct InstanceWork {
    Incarnation incarnation;
    std::uint64_t sequence { 0 }; ///< Of the newest heartbeat.
    MemberState state { MemberState::Live };
    bool listed { false };
    SteadyTime lastSeenAt; ///< When the last heartbeat was received, or when the instance was first listed.
    std::map<TargetId, TargetUpdate> targets;
};

/// The newest load report of a target.
struct TargetIdleReport {
    SteadyTime measuredAt;
    bool idle { false };
};

/// A leaving mark that a majority of the listed instances holds, and since when.
struct MajorityMark {
    SettingsVersion mark;
    SteadyTime since;
};

/// The state from which one instance decides whether leaving targets are empty.
struct DrainTracker {
    InstanceId self;
    std::map<InstanceId, InstanceWork> instances; ///< Includes this instance.
    std::vector<InstanceWork> endedIncarnations; ///< Earlier incarnations of restarted instances; their requests may still run at targets.
    std::map<TargetId, TargetIdleReport> reports;
    std::map<TargetId, MajorityMark> majorityMarks;
    Duration maxViewAgeLimit { 0 }; ///< The largest view age limit seen; an unreachable instance may still apply it.
};

/// How far a target is drained.
enum class DrainState {
    Serving,
    Leaving,
    Empty,
};

/// The drain state of a target and what it still waits for.
struct DrainStatus {
    DrainState state { DrainState::Serving };
    TokenCount tokensInProgress;
    int requestsInProgress { 0 };
    std::vector<InstanceId> notConfirmed; ///< Live instances that have not confirmed; while no majority holds the mark, all that have not.
    std::optional<SteadyTime> unreachableWorkUntil; ///< Until when an unreachable instance may still have requests there.
};

/// The state of an instance that starts now. It does not know which requests earlier incarnations of any instance
/// left at targets, so it waits as long as for the requests of a departed instance.
///
///     DrainTracker tracker = makeDrainTracker(InstanceId("a"), now);
///     handleInstanceListRead(tracker, list, now);
DrainTracker makeDrainTracker(InstanceId self, SteadyTime now);

/// The state as text, which is `serving`, `leaving` or `empty`.
std::string_view toString(DrainState);

/// Applies a heartbeat or heartbeat answer of another instance.
void recordWork(DrainTracker&, const Heartbeat&, SteadyTime now);

/// Applies this instance's own work, with one entry for each target that is leaving or has requests of this instance.
void recordOwnWork(DrainTracker&, Incarnation, const std::vector<TargetUpdate>&, SteadyTime now);

/// Applies the membership state of another instance.
void recordMemberState(DrainTracker&, const InstanceId&, MemberState);

/// Applies a read of the platform's instance list.
void handleInstanceListRead(DrainTracker&, const InstanceListRead&, SteadyTime now);

/// Applies a target's load report; failed and older reports are ignored.
void recordTargetReport(DrainTracker&, const TargetReported&);

/// Records since when a majority has held each mark and removes instances that no longer matter; called at every Tick.
void updateDrains(DrainTracker&, const Settings&, SteadyTime now);

/// The drain status of a target.
///
///     if (drainStatus(tracker, settings, target, now).state == DrainState::Empty) clean(target);
DrainStatus drainStatus(const DrainTracker&, const Settings&, const TargetId&, SteadyTime now);

} // namespace limpetpond
