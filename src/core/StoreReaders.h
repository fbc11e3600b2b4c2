#pragma once

/// Decides which instances read the targets' table from the store, and which of them check by short polls whether a long
/// poll was lost.
///
/// Load pattern: hundreds of instances in front of thousands of targets. Only a few instances read the table and send the
/// changes to their peers; another instance reads it only while it receives updates from too few readers. A store that
/// is unavailable for a moment loses the long polls sent meanwhile, and a lost poll looks like one without changes. So a few
/// instances use short polls, which end in turns: each answer states the store's newest version, which shows that another
/// poll should have ended. The other instances learn of the changes from them. Where those with turns get no answers, since
/// they are cut off from the store, frozen or gone, the next instances in the order of their hashes take over.

#include "core/TableVersion.h"
#include "limpetpond/Clock.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace limpetpond {

/// A peer's last update, as far as it concerns reading the store.
struct PeerReadState {
    std::uint64_t hash { 0 }; ///< Of its id.
    SteadyTime updatedAt; ///< When the update arrived.
    bool isReading { false }; ///< The peer reads the table, and the store answers it.
    bool isLeaving { false }; ///< The peer is shutting down.
    std::optional<SteadyTime> checkedAt; ///< When the store last answered a check by the peer; none from a peer that has no turn.
};

/// Whether this instance should read the table. In a small fleet every instance does; otherwise those with the lowest
/// hashes do, and those that received updates from too few readers within the last update intervals.
///
///     reader.setFollowing(shouldRead(ownHash, peers, now, 100ms));
bool shouldRead(std::uint64_t ownHash, const std::vector<PeerReadState>&, SteadyTime now, Duration updateInterval);

/// Longest time between two checks of the store's newest version by any of the instances.
inline constexpr Duration storeCheckInterval = std::chrono::milliseconds(650);

/// An instance's place among those that check the store in turns.
struct CheckTurn {
    int place { 0 }; ///< From 0 on.
    int instances { 1 }; ///< How many take turns.

    bool operator==(const CheckTurn&) const = default;
};

/// The turn of this instance if it is one of the few with the lowest hashes, or if no peer's check is recent; none otherwise.
///
///     std::optional<CheckTurn> turn = checkTurn(ownHash, peers, now, 100ms);
std::optional<CheckTurn> checkTurn(std::uint64_t ownHash, const std::vector<PeerReadState>&, SteadyTime now, Duration updateInterval);

/// How long a poll that starts at `storeTime` may wait, so that the polls of all turns end `storeCheckInterval` apart.
///
///     Duration wait = timeUntilCheck({ .place = 1, .instances = 2 }, storeTime);
Duration timeUntilCheck(const CheckTurn&, Duration storeTime);

/// What an answer about one table tells of the whole store, whose tables share one sequence of versions.
struct StoreCheck {
    TableVersion newest;
    std::vector<std::uint64_t> rowVersions; ///< Of the changed rows in the answer.
};

/// Whether the answer's own rows account for every version after `known`, so that no other table has changed.
///
///     if (!areChangesKnown(knownVersion, check))
///         reader.recordStoreVersion(check.newest);
bool areChangesKnown(const TableVersion& known, const StoreCheck&);

} // namespace limpetpond
