#pragma once

/// Which instances follow the targets' table in the store themselves, and which watch for a store that falls silent.
///
/// Load pattern: hundreds of instances before thousands of targets. Few instances read the table then, and pass
/// on what changed; the others read only while they hear too few of these. A store that falls silent loses the
/// long polls that come meanwhile: a few instances poll shortly, notice its return, and the others learn from them.

#include "limpetpond/Clock.h"
#include <cstdint>
#include <vector>

namespace limpetpond {

/// What a peer last said.
struct PeerReadState {
    std::uint64_t hash { 0 }; ///< Of its id.
    SteadyTime heardAt;
    bool isReading { false }; ///< It follows the table and the store answers it.
    bool isLeaving { false };
};

/// True where this instance should follow the table: in a small fleet always, otherwise where its hash is among the
/// lowest, or where too few readers were heard within the last news intervals.
///
///     reader.setFollowing(shouldRead(ownHash, peers, now, 100ms));
bool shouldRead(std::uint64_t ownHash, const std::vector<PeerReadState>&, SteadyTime now, Duration newsInterval);

/// True where this instance should poll in short turns: one of the few with the lowest hashes.
///
///     bool isWatchful = shouldUseShortPolls(ownHash, peers);
bool shouldUseShortPolls(std::uint64_t ownHash, const std::vector<PeerReadState>&);

} // namespace limpetpond
