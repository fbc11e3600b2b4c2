#include "core/QuotaShare.h"

#include <algorithm>

namespace limpetpond {

namespace {

    /// Least time without an update after which a peer counts as silent, so that the loss of single updates reduces no share.
    constexpr Duration minUnheardTime = std::chrono::milliseconds(600);
    /// Bounds of the time between two updates of an instance; they are further apart where there are more instances.
    constexpr Duration updateIntervalPerPeer = std::chrono::milliseconds(4);
    constexpr Duration maxUpdateInterval = std::chrono::milliseconds(500);
    /// Updates are sent at a tick, which may be late by this time.
    constexpr Duration tickTime = std::chrono::milliseconds(100);
    /// A peer without a sign of life for this time after it said that it stops takes no more requests.
    constexpr Duration leavingTime = std::chrono::seconds(4);
    /// After this time without a peer, an instance no longer waits for one.
    constexpr Duration startTime = std::chrono::seconds(2);
    /// Instances that are listed but not heard may be long gone; those that run are heard within a few seconds of a start.
    constexpr Duration listedTime = std::chrono::minutes(1);
    /// An instance that for `keepTime` hears fewer than half of those that it has ever heard gives up its share, but for `lapsedPart`. The majority takes it
    /// over later, by more than the longest window in which quotas are counted.
    constexpr Duration keepTime = std::chrono::minutes(10);
    constexpr Duration takeOverAfter = keepTime + std::chrono::seconds(15);
    constexpr double lapsedPart = 0.05;
    /// Without the store's list, a starting instance uses the share of one among at least so many: it may not know most of its peers.
    constexpr int minInstancesAtStart = 32;

    /// Longest time between two updates of a peer if none is lost.
    Duration reportTime(int instances)
    {
        return std::min<Duration>(updateIntervalPerPeer * instances, maxUpdateInterval) * 3 / 2 + tickTime;
    }

    bool isGone(const QuotaPeer& peer, SteadyTime now) { return peer.isSilent && peer.leavingSince && now - *peer.leavingSince > leavingTime; }

    bool isTakenOver(const QuotaPeer& peer, SteadyTime now)
    {
        return peer.isSilent && now - peer.heardAt > (peer.hasBeenHeard ? takeOverAfter : listedTime);
    }

    struct PeerCounts {
        int known { 1 };
        int heard { 1 };
        int everHeard { 1 };
        bool isAnyGone { false };
        bool isAnyTakenOver { false }; ///< Applies only if this instance hears most of the others.
    };

    PeerCounts countPeers(const QuotaFleet& fleet, SteadyTime now)
    {
        PeerCounts counts;
        for (const auto& [id, peer] : fleet.peers) {
            ++counts.known;
            counts.heard += !peer.isSilent;
            counts.everHeard += peer.hasBeenHeard;
            counts.isAnyGone |= isGone(peer, now);
            counts.isAnyTakenOver |= isTakenOver(peer, now);
        }
        return counts;
    }

    /// Removes the peers whose shares others may use from now on, and counts those that remain.
    PeerCounts removeGonePeers(QuotaFleet& fleet, SteadyTime now)
    {
        PeerCounts counts = countPeers(fleet, now);
        bool hearsMajority = counts.heard > 1 && 2 * counts.heard > counts.everHeard;
        if (!counts.isAnyGone && !(counts.isAnyTakenOver && hearsMajority))
            return counts;
        boost::unordered::erase_if(fleet.peers, [&](const auto& entry) { return isGone(entry.second, now) || (hearsMajority && isTakenOver(entry.second, now)); });
        return countPeers(fleet, now);
    }

    bool isStarting(const QuotaFleet& fleet, SteadyTime now)
    {
        bool isAlone = fleet.peers.empty() && fleet.expectedPeers == 0;
        if (isAlone || now - *fleet.startedAt > startTime)
            return false;
        return !fleet.firstHeardAt || now - *fleet.firstHeardAt <= reportTime(static_cast<int>(fleet.peers.size()) + 1);
    }

    double partOf(const QuotaFleet& fleet, const QuotaShare& share, SteadyTime now)
    {
        if (share.isStarting)
            return 1.0 / (fleet.isListRead ? share.known : std::max(share.known, minInstancesAtStart));
        bool hasLapsed = fleet.minoritySince && now - *fleet.minoritySince > keepTime;
        return (hasLapsed ? lapsedPart : 1.0) * share.heard / share.known;
    }

} // namespace

void recordListed(QuotaFleet& fleet, const std::vector<InstanceId>& listed, SteadyTime now)
{
    if (fleet.startedAt && now - *fleet.startedAt > listedTime)
        return;
    fleet.isListRead = true;
    for (const InstanceId& peer : listed)
        fleet.peers.try_emplace(peer, QuotaPeer { .isSilent = true, .heardAt = now, .silentSince = now });
}

PeerHistory recordHeard(QuotaFleet& fleet, const InstanceId& id, const PeerSign& sign, SteadyTime now)
{
    QuotaPeer& peer = fleet.peers[id];
    bool isOtherProcess = !peer.hasBeenHeard || peer.incarnation != sign.incarnation;
    if (isOtherProcess)
        peer.history = { .heardSince = now };
    else if (peer.isSilent)
        peer.history = { .heardSince = now, .silentFrom = peer.silentSince, .silentUntil = now };
    if (isOtherProcess || !sign.isLeaving)
        peer.leavingSince.reset();
    if (sign.isLeaving && !peer.leavingSince)
        peer.leavingSince = now;
    peer.incarnation = sign.incarnation;
    peer.hasBeenHeard = true;
    peer.isSilent = false;
    peer.heardAt = now;
    if (!fleet.firstHeardAt)
        fleet.firstHeardAt = now;
    return peer.history;
}

const QuotaShare& updateShare(QuotaFleet& fleet, SteadyTime now)
{
    if (!fleet.startedAt)
        fleet.startedAt = now;
    Duration unheardTime = std::max(minUnheardTime, reportTime(static_cast<int>(fleet.peers.size()) + 1));
    for (auto& [id, peer] : fleet.peers) {
        if (peer.isSilent || now - peer.heardAt <= unheardTime)
            continue;
        peer.isSilent = true;
        peer.silentSince = now;
    }
    PeerCounts counts = removeGonePeers(fleet, now);
    if (2 * counts.heard >= counts.everHeard)
        fleet.minoritySince.reset();
    else if (!fleet.minoritySince)
        fleet.minoritySince = now;
    if (!fleet.firstHeardAt)
        counts.known = std::max(counts.known, 1 + fleet.expectedPeers);
    QuotaShare share { .known = counts.known, .heard = counts.heard, .isStarting = isStarting(fleet, now), .unheardTime = unheardTime };
    share.part = partOf(fleet, share, now);
    fleet.share = share;
    return fleet.share;
}

} // namespace limpetpond
