#include "core/StoreReaders.h"

#include <algorithm>

namespace limpetpond {

namespace {

    constexpr std::size_t allReadUpTo = 32; ///< Instances; reading costs so few less than hearing of changes by others.
    constexpr std::ptrdiff_t appointedReaders = 6; ///< So that some are left when several instances stop at once.
    constexpr std::ptrdiff_t appointedWatchers = 3;
    constexpr std::ptrdiff_t leastReadersHeard = 2;
    constexpr Duration leastSilence = std::chrono::milliseconds(600);
    constexpr int intervalsUntilSilent = 3;

    std::ptrdiff_t countLower(std::uint64_t ownHash, const std::vector<PeerReadState>& peers)
    {
        return std::count_if(peers.begin(), peers.end(), [ownHash](const PeerReadState& peer) { return !peer.isLeaving && peer.hash < ownHash; });
    }

} // namespace

bool shouldRead(std::uint64_t ownHash, const std::vector<PeerReadState>& peers, SteadyTime now, Duration newsInterval)
{
    if (peers.size() < allReadUpTo)
        return true;
    if (countLower(ownHash, peers) < appointedReaders)
        return true;
    Duration silence = std::max(leastSilence, intervalsUntilSilent * newsInterval);
    auto isHeard = [now, silence](const PeerReadState& peer) { return peer.isReading && now - peer.heardAt < silence; };
    return std::count_if(peers.begin(), peers.end(), isHeard) < leastReadersHeard;
}

bool shouldUseShortPolls(std::uint64_t ownHash, const std::vector<PeerReadState>& peers) { return countLower(ownHash, peers) < appointedWatchers; }

} // namespace limpetpond
