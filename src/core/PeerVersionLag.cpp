#include "core/PeerVersionLag.h"

#include <algorithm>

namespace limpetpond {

namespace {

    bool isPeerAhead(const PeerVersionLag& lag) { return lag.ahead > lag.own; }

} // namespace

void recordOwnVersion(PeerVersionLag& lag, std::uint64_t version) { lag.own = std::max(lag.own, version); }

void recordPeerVersion(PeerVersionLag& lag, std::uint64_t version, const std::string& address, SteadyTime now)
{
    if (version <= lag.own)
        return;
    lag.aheadPeer = address;
    // Keeps the first newer version, so that an instance that follows its peers with a short delay reaches it in time.
    if (isPeerAhead(lag))
        return;
    lag.ahead = version;
    lag.aheadSince = now;
}

bool isBehind(const PeerVersionLag& lag, SteadyTime now, Duration tolerance) { return isPeerAhead(lag) && now - lag.aheadSince > tolerance; }

} // namespace limpetpond
