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
struct PeerLead {
    std::uint64_t own { 0 };
    std::uint64_t ahead { 0 }; ///< The version at a peer that this instance has yet to reach.
    SteadyTime aheadSince;
    std::string leader; ///< Address of the peer that last said it is ahead; empty for none.
};

/// Notes what this instance has read.
///
///     noteOwnVersion(lead, 17);
void noteOwnVersion(PeerLead&, std::uint64_t version);

/// Notes what a peer says it has read.
///
///     notePeerVersion(lead, 18, "10.0.0.2", now);
void notePeerVersion(PeerLead&, std::uint64_t version, const std::string& address, SteadyTime now);

/// True where a peer has been ahead for longer than `tolerance`.
///
///     if (isBehind(lead, now, 400ms))
///         askPeer(lead.leader);
bool isBehind(const PeerLead&, SteadyTime now, Duration tolerance);

} // namespace limpetpond
