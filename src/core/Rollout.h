#pragma once

/// What all instances agree on about one rollout: the order, the phase that it is in, and who moves it on.
///
/// Load pattern: the targets of a pool are replaced by ones of a new version while full traffic goes on. The new version may
/// fail or be slow, so that only a small share of the requests reaches it before it is known to be sound, and the old targets
/// stop at once when it is.
///
/// One instance, the holder, moves the rollout on by conditional writes of one row. What it has written spreads by updates
/// between instances. A position only ever advances: final phases win, then higher generations, then later phases. So lost,
/// repeated and reordered updates do no harm, and a holder that was replaced is ignored.

#include "core/TableVersion.h"
#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace limpetpond {

/// An operator's request to move a pool's traffic to targets of a version.
struct RolloutOrder {
    TableVersion id; ///< The store's version of the order's row; a higher one replaces the rollout in progress.
    PoolId pool;
    TargetVersion to;
    Duration time { 0 }; ///< From the order to the time by which it has to be decided.
};

/// Whether both are the same order, also where a restored store has given its row another epoch.
bool isSameOrder(const RolloutOrder&, const RolloutOrder&);

enum class RolloutPhase {
    NotStarted, ///< Nobody has taken the order up; the old versions get all requests.
    Sample, ///< A few requests go to a few targets of the new version.
    Load, ///< As many as the limit allows, so that these targets work under load.
    Switch, ///< All requests go to the new version; those at old targets end.
    Succeeded, ///< Final: the old targets stop.
    RolledBack, ///< Final: the new targets stop.
};

constexpr bool isFinal(RolloutPhase phase) { return phase >= RolloutPhase::Succeeded; }

/// How far a rollout has got.
struct RolloutPosition {
    std::uint64_t generation { 0 }; ///< Raised by each instance that becomes the holder; 0 for none.
    RolloutPhase phase { RolloutPhase::NotStarted };
    bool isStopped { false }; ///< The new version has been found bad and gets no request; `RolledBack` follows once it can be written to the store.
    bool operator==(const RolloutPosition&) const = default;
};

/// The later one of two positions of the same order. A stop by anybody counts before `Switch`; in it, only one in the same
/// generation does.
///
///     position = laterPosition(position, update.position);
RolloutPosition laterPosition(const RolloutPosition&, const RolloutPosition&);

/// Limits on what a version that may be bad gets.
struct RolloutLimits {
    double exposedShare { 0.1 }; ///< Of the pool's requests between the order and its deadline, over all instances.
    double exposedSlack { 50 }; ///< Requests beyond that share.
    Duration stopTime { std::chrono::seconds(5) }; ///< After the 50th bad answer; requests sent later must not reach the version. Not an input of any decision.
};

/// One rollout as an instance knows it.
struct Rollout {
    RolloutOrder order;
    SteadyTime orderedAt; ///< When this instance learned of the order.
    RolloutPosition position;
    SteadyTime generationAt; ///< When this instance learned of the position's generation; see `advancePosition()`.
    SteadyTime heardAt; ///< When the holder was last known to hold the rollout; see `recordBeat()`.
    std::uint64_t beatGeneration { 0 }; ///< Of the holder that was heard last.
    std::uint64_t beat { 0 }; ///< The number of its last update; each update of any instance carries both.
    int members { 1 }; ///< The most instances that were live at once since the order, with this one.

    SteadyTime deadline() const { return orderedAt + order.time; }
};

/// Applies a position from another instance or from the rollout's row, if it is later. Records when a new generation was learned of, so
/// that its holder isn't replaced before its updates can arrive.
void advancePosition(Rollout&, const RolloutPosition&, SteadyTime now);

/// Whether the live instances that this one hears, itself included, are more than half of the members.
bool isMajority(const Rollout&, int liveInstances);

/// Records that this instance holds the rollout. The holder calls it before each of its updates, with the times at which it last heard
/// each other instance. The holder's lease begins when it last heard a majority: without one, others may have replaced it, and its lease
/// has to end like theirs.
void holdRollout(Rollout&, std::vector<SteadyTime> othersHeardAt, SteadyTime now);

/// Records the number of the holder's last update and its age, which the update of any instance carries as `beatGeneration`, `beat` and
/// the time since `heardAt`. A holder that has been replaced is ignored. Only the holder raises the number, so that passing it on
/// doesn't make a holder that has ended seem alive.
void recordBeat(Rollout&, std::uint64_t generation, std::uint64_t beat, Duration age, SteadyTime now);

/// Records an update that came from the holder itself. Ages that other instances pass on must not be given to it: each delay on the way
/// makes them younger, so that a holder that has ended would never be noticed.
void recordBeat(Rollout&, std::uint64_t generation, Duration age, SteadyTime now);

/// Whether this instance may send requests to the pool's targets. If nothing has been heard of the holder for
/// `rolloutLease`, it may only while it hears most members: a rollout succeeds only if its holder hears a majority too. Otherwise it may
/// have succeeded, and old targets stop without a notice.
///
///     if (!mayUsePool(rollout, peers + 1, now))
///         refuse("rollout_unknown");
bool mayUsePool(const Rollout&, int liveInstances, SteadyTime now);

/// An instance that has heard nothing of the holder for this time, and doesn't hear most members, sends nothing to the pool.
inline constexpr Duration rolloutLease = std::chrono::seconds(3);

} // namespace limpetpond
