#pragma once

/// Decides which instances read the targets' table from the store, and which of them use short polls.
///
/// Load pattern: hundreds of instances in front of thousands of targets. Only a few instances read the table and send the
/// changes to their peers; another instance reads it only while it receives updates from too few readers. A store that
/// becomes unavailable loses the long polls sent meanwhile, so a few instances use short polls: they detect its recovery
/// early, and the others learn of it from them.

#include "limpetpond/Clock.h"
#include <cstdint>
#include <vector>

namespace limpetpond {

/// A peer's last update, as far as it concerns reading the store.
struct PeerReadState {
    std::uint64_t hash { 0 }; ///< Of its id.
    SteadyTime updatedAt; ///< When the update arrived.
    bool isReading { false }; ///< The peer reads the table, and the store answers it.
    bool isLeaving { false }; ///< The peer is shutting down.
};

/// Whether this instance should read the table. In a small fleet every instance does; otherwise those with the lowest
/// hashes do, and those that received updates from too few readers within the last update intervals.
///
///     reader.setFollowing(shouldRead(ownHash, peers, now, 100ms));
bool shouldRead(std::uint64_t ownHash, const std::vector<PeerReadState>&, SteadyTime now, Duration updateInterval);

/// Whether this instance should use short polls: it is one of the few with the lowest hashes.
///
///     bool usesShortPolls = shouldUseShortPolls(ownHash, peers);
bool shouldUseShortPolls(std::uint64_t ownHash, const std::vector<PeerReadState>&);

} // namespace limpetpond
