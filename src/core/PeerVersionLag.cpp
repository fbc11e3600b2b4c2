#include "core/PeerVersionLag.h"

#include <algorithm>

namespace limpetpond {

namespace {

    bool isAhead(const PeerVersionLag& lag) { return lag.ahead > lag.own; }

} // namespace

void recordOwnVersion(PeerVersionLag& lag, std::uint64_t version) { lag.own = std::max(lag.own, version); }

void recordPeerVersion(PeerVersionLag& lag, std::uint64_t version, const std::string& address, SteadyTime now)
{
    if (version <= lag.own)
        return;
    lag.aheadPeer = address;
    // The first version that was ahead is kept: an instance that follows with a short delay reaches it in time.
    if (isAhead(lag))
        return;
    lag.ahead = version;
    lag.aheadSince = now;
}

bool isBehind(const PeerVersionLag& lag, SteadyTime now, Duration tolerance) { return isAhead(lag) && now - lag.aheadSince > tolerance; }

} // namespace limpetpond
