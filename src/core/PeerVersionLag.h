#pragma once

/// Detects that this instance has an older version of a table than its peers have read from the store.
///
/// Load pattern: the store is unavailable to some of the instances, or answers them with errors, while it serves the
/// others. An instance that stays behind then requests the table from a peer. A short lag is tolerated, since the store's
/// own answer is about to arrive.

#include "limpetpond/Clock.h"
#include <cstdint>
#include <string>

namespace limpetpond {

/// The versions of one table at this instance and at its peers; 0 when nothing was read.
struct PeerVersionLag {
    std::uint64_t own { 0 }; ///< The version that this instance has read.
    std::uint64_t ahead { 0 }; ///< A newer version that a peer reported and this instance has not reached.
    SteadyTime aheadSince; ///< When a peer reported `ahead`.
    std::string aheadPeer; ///< Address of the last peer that reported a newer version; empty for none.
};

/// Records the version that this instance has read.
///
///     recordOwnVersion(lag, 17);
void recordOwnVersion(PeerVersionLag&, std::uint64_t version);

/// Records the version that a peer reports to have read.
///
///     recordPeerVersion(lag, 18, "10.0.0.2", now);
void recordPeerVersion(PeerVersionLag&, std::uint64_t version, const std::string& address, SteadyTime now);

/// Whether this instance has not reached a peer's version for longer than `tolerance`.
///
///     if (isBehind(lag, now, 400ms))
///         requestTable(lag.aheadPeer);
bool isBehind(const PeerVersionLag&, SteadyTime now, Duration tolerance);

} // namespace limpetpond
