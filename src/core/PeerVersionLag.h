#pragma once

/// Tells when this instance has fallen behind what its peers have read from the store.
///
/// Load pattern: the store is away for a part of the instances, or answers them with errors, while it
/// serves the others. Those then pass on what they read; a peer that is ahead for a moment only is left alone, since
/// the store's own answer is on its way.

#include "limpetpond/Clock.h"
#include <cstdint>
#include <string>

namespace limpetpond {

/// Versions of one table, here and at peers; 0 for nothing read.
struct PeerVersionLag {
    std::uint64_t own { 0 };
    std::uint64_t ahead { 0 }; ///< The version at a peer that this instance has yet to reach.
    SteadyTime aheadSince;
    std::string aheadPeer; ///< Address of the peer that last said it is ahead; empty for none.
};

/// Notes what this instance has read.
///
///     recordOwnVersion(lag, 17);
void recordOwnVersion(PeerVersionLag&, std::uint64_t version);

/// Notes what a peer says it has read.
///
///     recordPeerVersion(lag, 18, "10.0.0.2", now);
void recordPeerVersion(PeerVersionLag&, std::uint64_t version, const std::string& address, SteadyTime now);

/// True where a peer has been ahead for longer than `tolerance`.
///
///     if (isBehind(lag, now, 400ms))
///         askPeer(lag.aheadPeer);
bool isBehind(const PeerVersionLag&, SteadyTime now, Duration tolerance);

} // namespace limpetpond
