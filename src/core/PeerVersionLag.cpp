#include "core/PeerVersionLag.h"

#include <algorithm>

namespace limpetpond {

namespace {

    bool isPeerAhead(const PeerVersionLag& lag) { return lag.ahead > lag.own; }

} // namespace

void recordOwnVersion(PeerVersionLag& lag, const TableVersion& version) { lag.own = std::max(lag.own, version); }

void recordPeerVersion(PeerVersionLag& lag, const TableVersion& version, const std::string& address, SteadyTime now)
{
    if (version <= lag.own)
        return;
    bool wasAhead = isPeerAhead(lag);
    // A peer that has not read the restored store yet doesn't have the rows that another one has.
    if (wasAhead && version.epoch < lag.ahead.epoch)
        return;
    lag.aheadPeer = address;
    // Keeps the first newer version, so that an instance that follows its peers with a short delay reaches it in time.
    if (wasAhead && version.epoch == lag.ahead.epoch)
        return;
    lag.ahead = version;
    if (!wasAhead)
        lag.aheadSince = now;
}

bool isBehind(const PeerVersionLag& lag, SteadyTime now, Duration tolerance) { return isPeerAhead(lag) && now - lag.aheadSince > tolerance; }

} // namespace limpetpond
