#include "core/Floors.h"

#include "core/Guard.h"
#include <algorithm>

namespace limpetpond {

namespace {

    // The highest tier that was under pressure within `hold`; the lowest tier if none was.
    TierLevel tierUnderPressure(const FloorState& floors, Duration hold, SteadyTime now)
    {
        TierLevel highest;
        for (const auto& [tier, level] : floors.levels) {
            if (level.lastPressureAt && now - *level.lastPressureAt < hold)
                highest = tier;
        }
        return highest;
    }

    bool confirms(const PeerState& peer, TierLevel tier, SteadyTime wantedSince)
    {
        if (!peer.hasAnswered || !peer.confirmedUpTo || *peer.confirmedUpTo < wantedSince)
            return false;
        if (peer.update.floor < tier)
            return false;
        return !peer.update.lowestServed || *peer.update.lowestServed >= tier;
    }

} // namespace

void recordPressure(FloorState& floors, TierLevel tier, SteadyTime now)
{
    floors.levels[tier].lastPressureAt = now;
}

void updateFloors(FloorState& floors, Duration hold, SteadyTime now)
{
    floors.wanted = tierUnderPressure(floors, hold, now);
    for (auto& [tier, level] : floors.levels) {
        if (tier > floors.wanted)
            level.wantedSince.reset();
        else if (!level.wantedSince)
            level.wantedSince = now;
    }
    TierLevel inForce = floors.wanted;
    for (const auto& [id, peer] : floors.peers)
        inForce = std::max(inForce, peer.update.wantedFloor);
    if (inForce != floors.inForce)
        floors.inForceSince = now;
    floors.inForce = inForce;
}

bool mayShed(const FloorState& floors, const ServedTiers& served, TierLevel tier)
{
    if (!tier.level || (served.lowestKnown && tier <= *served.lowestKnown))
        return true;
    if (isGuardDisabled(GuardId::LowerTierShedFirst))
        return true;
    if (served.lowest && *served.lowest < tier)
        return false;
    if (isGuardDisabled(GuardId::FloorConfirmedBeforeShed))
        return true;
    auto level = floors.levels.find(tier);
    if (level == floors.levels.end() || !level->second.wantedSince || floors.inForce < tier)
        return false;
    SteadyTime wantedSince = *level->second.wantedSince;
    return std::all_of(floors.peers.begin(), floors.peers.end(),
        [&](const auto& entry) { return confirms(entry.second, tier, wantedSince); });
}

bool hasPendingPeer(const FloorState& floors)
{
    return std::any_of(floors.peers.begin(), floors.peers.end(), [](const auto& entry) { return !entry.second.hasAnswered; });
}

} // namespace limpetpond
