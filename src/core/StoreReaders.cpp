#include "core/StoreReaders.h"

#include <algorithm>
#include <set>

namespace limpetpond {

namespace {

    constexpr std::size_t allReadUpTo = 12; ///< Instances, this one included. For so few, reading the store costs less than sending each other the changes.
    constexpr std::ptrdiff_t readersByHash = 6; ///< Some readers are left when several instances stop at once.
    constexpr std::ptrdiff_t checkersByHash = 2; ///< One that stops or loses its own polls leaves the other's checks.
    constexpr Duration checkSlack = std::chrono::milliseconds(200); ///< For the answer and the ticks of the two instances.
    constexpr int checkReportIntervals = 2; ///< Updates of a peer, one of which may be lost.
    constexpr Duration takeoverStep = std::chrono::milliseconds(50); ///< Between the instances that take over, so that the first one's check holds the others back.
    constexpr Duration minCheckWait = std::chrono::milliseconds(100); ///< A poll that ends at its turn may be answered a little early.
    constexpr std::ptrdiff_t minRecentReaders = 2;
    constexpr Duration minReaderTimeout = std::chrono::milliseconds(600);
    constexpr int readerTimeoutIntervals = 3;

    std::ptrdiff_t countLower(std::uint64_t ownHash, const std::vector<PeerReadState>& peers)
    {
        return std::count_if(peers.begin(), peers.end(), [ownHash](const PeerReadState& peer) { return !peer.isLeaving && peer.hash < ownHash; });
    }

} // namespace

bool shouldRead(std::uint64_t ownHash, const std::vector<PeerReadState>& peers, SteadyTime now, Duration updateInterval)
{
    if (peers.size() < allReadUpTo)
        return true;
    if (countLower(ownHash, peers) < readersByHash)
        return true;
    Duration readerTimeout = std::max(minReaderTimeout, readerTimeoutIntervals * updateInterval);
    auto isRecentReader = [now, readerTimeout](const PeerReadState& peer) { return peer.isReading && now - peer.updatedAt < readerTimeout; };
    return std::count_if(peers.begin(), peers.end(), isRecentReader) < minRecentReaders;
}

std::optional<CheckTurn> checkTurn(std::uint64_t ownHash, const std::vector<PeerReadState>& peers, SteadyTime now, Duration updateInterval)
{
    std::ptrdiff_t place = countLower(ownHash, peers);
    if (place >= checkersByHash) {
        Duration maxAge = storeCheckInterval + checkSlack + checkReportIntervals * updateInterval + (place - checkersByHash) * takeoverStep;
        auto hasChecked = [now, maxAge](const PeerReadState& peer) { return peer.checkedAt && now - *peer.checkedAt < maxAge; };
        return std::any_of(peers.begin(), peers.end(), hasChecked) ? std::nullopt : std::optional(CheckTurn());
    }
    std::ptrdiff_t staying = 1 + std::count_if(peers.begin(), peers.end(), [](const PeerReadState& peer) { return !peer.isLeaving; });
    return CheckTurn { .place = static_cast<int>(place), .instances = static_cast<int>(std::min(staying, checkersByHash)) };
}

Duration timeUntilCheck(const CheckTurn& turn, Duration storeTime)
{
    Duration period = turn.instances * storeCheckInterval;
    Duration sinceLast = (storeTime + period - turn.place * storeCheckInterval) % period;
    Duration wait = period - sinceLast;
    return wait < minCheckWait ? wait + period : wait;
}

bool areChangesKnown(const TableVersion& known, const StoreCheck& check)
{
    if (known.epoch != check.newest.epoch)
        return false;
    std::set<std::uint64_t> changes;
    for (std::uint64_t version : check.rowVersions) {
        if (version > known.number && version <= check.newest.number)
            changes.insert(version);
    }
    return check.newest.number <= known.number + changes.size();
}

} // namespace limpetpond
