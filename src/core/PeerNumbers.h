#pragma once

/// Small numbers for peers, by which state about them is kept in vectors.
///
/// Load pattern: hundreds of instances that hear each other several times a second, and state about each peer for each client
/// account: maps with text as key take most of the time of an update.

#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace limpetpond {

/// The number of a peer at this instance.
using PeerNumber = std::uint32_t;

/// Assigns numbers from 0. The number of a peer that hasn't been heard for a long time is given to a new one; what is kept by
/// number therefore has to be compared by incarnation too.
class PeerNumbers {
public:
    /// The number of the peer, which has just been heard.
    ///
    ///     usage[numbers.numberOf(update.instance, now)] = update.use;
    PeerNumber numberOf(const InstanceId&, SteadyTime now);

private:
    struct Entry {
        PeerNumber number { 0 };
        SteadyTime heardAt;
    };
    void releaseOldNumbers(SteadyTime now);

    std::unordered_map<InstanceId, Entry> m_entries;
    std::vector<PeerNumber> m_free;
    PeerNumber m_next { 0 };
};

} // namespace limpetpond
