#include "core/PeerLead.h"

#include <algorithm>

namespace limpetpond {

namespace {

    bool isAhead(const PeerLead& lead) { return lead.ahead > lead.own; }

} // namespace

void noteOwnVersion(PeerLead& lead, std::uint64_t version) { lead.own = std::max(lead.own, version); }

void notePeerVersion(PeerLead& lead, std::uint64_t version, const std::string& address, SteadyTime now)
{
    if (version <= lead.own)
        return;
    lead.leader = address;
    // The first version that was ahead is kept: an instance that follows with a short delay reaches it in time.
    if (isAhead(lead))
        return;
    lead.ahead = version;
    lead.aheadSince = now;
}

bool isBehind(const PeerLead& lead, SteadyTime now, Duration tolerance) { return isAhead(lead) && now - lead.aheadSince > tolerance; }

} // namespace limpetpond
