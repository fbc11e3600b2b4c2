#pragma once

/// Which versions of a pool's targets get requests.
///
/// Load pattern: targets of a new version have entries before the operator's order allows their version, and stay listed
/// for some time after a rollback. Targets are also replaced by ones of the same version without an order.

#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace limpetpond {

/// The versions of one pool's targets.
struct TargetVersions {
    std::set<TargetVersion> established; ///< Get requests; empty before any target is known.
    std::optional<TargetVersion> candidate; ///< Of the rollout in progress; gets a share of the requests.
    std::set<TargetVersion> excluded; ///< Were rolled back, or were the candidate when another rollout replaced theirs.
    std::optional<SteadyTime> absentSince; ///< Since when no target of an established version has an entry.
};

/// What is known of a target with an entry.
struct VersionedTarget {
    TargetVersion version; ///< Empty where the entry names none.
    std::int64_t startedAt { 0 }; ///< Unix milliseconds.
};

/// Applies the pool's entries: the first version to be established is that of the target that has run for the longest time.
/// Where no established version has had an entry for some seconds, those that have one are established, but for excluded
/// ones. True if the established versions have changed.
///
///     if (updateVersions(pool.versions, entries, now)) writeRow(pool.versions);
bool updateVersions(TargetVersions&, const std::vector<VersionedTarget>&, SteadyTime now);

/// Whether a target of the version may get requests; a candidate gets only its share.
bool mayGetRequests(const TargetVersions&, const TargetVersion&);

/// Begins a rollout to the version. A candidate that it replaces is excluded.
void beginRollout(TargetVersions&, const TargetVersion& to);

/// Ends the rollout: only the candidate is established.
void establishCandidate(TargetVersions&, const TargetVersion& to);

/// Ends the rollout: the candidate is excluded.
void excludeCandidate(TargetVersions&, const TargetVersion& to);

} // namespace limpetpond
