#pragma once

/// Detects that this instance has an older version of a table than its peers have read from the store.
///
/// Load pattern: the store is unavailable to some of the instances, or answers them with errors, while it serves the
/// others. An instance that stays behind then requests the table from a peer. A short lag is tolerated, since the store's
/// own answer is about to arrive. After the store was restored from a copy, peers report states of before and after it
/// side by side.

#include "core/TableVersion.h"
#include "limpetpond/Clock.h"
#include <string>

namespace limpetpond {

/// The versions of one table at this instance and at its peers.
struct PeerVersionLag {
    TableVersion own; ///< The version that this instance has read.
    TableVersion ahead; ///< A newer version that a peer reported and this instance has not reached.
    SteadyTime aheadSince; ///< Since when a peer has reported a newer version.
    std::string aheadPeer; ///< Address of the last peer that reported a newer version of the highest epoch; empty for none.
};

/// Records the version that this instance has read.
///
///     recordOwnVersion(lag, { .number = 17 });
void recordOwnVersion(PeerVersionLag&, const TableVersion&);

/// Records the version that a peer reports to have read.
///
///     recordPeerVersion(lag, { .number = 18 }, "10.0.0.2", now);
void recordPeerVersion(PeerVersionLag&, const TableVersion&, const std::string& address, SteadyTime now);

/// Whether this instance has not reached a peer's version for longer than `tolerance`.
///
///     if (isBehind(lag, now, 400ms))
///         requestTable(lag.aheadPeer);
bool isBehind(const PeerVersionLag&, SteadyTime now, Duration tolerance);

} // namespace limpetpond
