#include "core/AccountQuota.h"

#include <algorithm>
#include <cmath>

namespace limpetpond {

namespace {

    /// A peer without updates for this long is charged by estimate; updates arrive several times a second.
    constexpr Duration unresponsiveAfter = std::chrono::milliseconds(600);
    /// After this time without updates, the peer's callers have moved to other instances.
    constexpr Duration departedAfter = std::chrono::seconds(6);
    /// Weight of the latest interval in the moving average of a peer's rate.
    constexpr double rateWeight = 0.3;

    /// Bounds the debt of a bucket by this many seconds of refill, beyond what instances may have used without hearing of each other,
    /// so that one wrong report can't block an account for long.
    constexpr double maxDebtSeconds = 1.0;

    /// Less urgent requests leave a reserve for more urgent ones: `reservedShareOfRank` of the burst for each rank, up to
    /// `maxReservedShare`, but at most `reservedTimesOwnSize` times their own size, since a small request delays others
    /// little.
    constexpr double reservedShareOfRank = 0.25;
    constexpr double maxReservedShare = 0.5;
    constexpr double reservedTimesOwnSize = 20;

    /// The part of the excess that `QuotaTolerance` allows which instances may use before they have heard of each other's use. The rest
    /// covers what is lost with processes that are killed.
    constexpr double unheardPartOfExcess = 0.65;

    /// In the bucket of an instance that starts while others run: all of a small quota, and next to nothing of a large one, since
    /// processes may start again and again.
    constexpr double unitsAtStart = 150;

    /// Recent use is forgotten by a factor of e in this time.
    constexpr double recentUseSeconds = 8;
    /// The bucket is divided evenly until instances have used as much as the quota allows in this time, then more and more by use.
    constexpr double evenUseSeconds = 4;

    /// While an account uses less than its quota allows in this time of the last `recentUseSeconds`, an instance may admit several of its
    /// requests before peers have heard of them, also where its part of the bucket is smaller than a request.
    constexpr double lowUseSeconds = 7.5;
    constexpr double unheardRequestsAtLowUse = 4;

    /// A request above the limit of unheard use counts at most so many times as long.
    constexpr double maxLongerCount = 20;
    /// A peer that is heard for this time has reported each account that it has used before.
    constexpr Duration completeReportTime = std::chrono::seconds(3);
    /// Use is counted in steps of this time.
    constexpr Duration countedStep = std::chrono::milliseconds(20);

    double sharedRate(const AccountQuota& quota) { return quota.perSecond * quota.share.part; }
    double sharedBurst(const AccountQuota& quota) { return quota.burst * quota.share.part; }

    double reservedFor(const AccountQuota& quota, const QuotaDemand& demand)
    {
        double share = std::min(reservedShareOfRank * std::max(demand.rank, 0), maxReservedShare);
        return std::min(share * sharedBurst(quota), reservedTimesOwnSize * demand.units);
    }

    double excessOf(const AccountQuota& quota)
    {
        const QuotaTolerance& tolerance = quota.tolerance;
        return tolerance.excess * (toSeconds(tolerance.window) * quota.perSecond + quota.burst) + tolerance.slack;
    }

    /// Units that the heard instances together may admit beyond what the bucket holds, before they hear of each other's use.
    double unheardExcess(const AccountQuota& quota) { return quota.share.known > 1 ? unheardPartOfExcess * excessOf(quota) * quota.share.part : 0; }

    void endCounted(LatestUnits& latest, SteadyTime now)
    {
        while (!latest.steps.empty() && latest.steps.front().until <= now) {
            latest.sum -= latest.steps.front().units;
            latest.steps.pop_front();
        }
        if (latest.steps.empty())
            latest.sum = 0; // So that rounding errors don't add up.
    }

    void count(LatestUnits& latest, double units, SteadyTime until)
    {
        if (latest.steps.empty() || until > latest.steps.back().until + countedStep)
            latest.steps.push_back({ .until = until });
        latest.steps.back().units += units;
        latest.sum += units;
    }

    void charge(AccountQuota& quota, double units)
    {
        quota.left = std::max(quota.left - units, -maxDebtSeconds * quota.perSecond - unheardExcess(quota));
    }

    /// Charges use that was admitted here or at a peer.
    void chargeUse(AccountQuota& quota, double units, SteadyTime now)
    {
        charge(quota, units);
        if (quota.share.known == 1)
            return;
        endCounted(quota.charged, now);
        count(quota.charged, units, now + quota.share.unheardTime);
    }

    SteadyTime silentFrom(const PeerUsage& usage) { return usage.reportedAt + unresponsiveAfter; }
    SteadyTime silentUntil(const PeerUsage& usage) { return usage.reportedAt + departedAfter; }

    /// Units that the bucket was charged with by estimate since the peer's last update.
    double estimatedUnits(const PeerUsage& usage, SteadyTime now)
    {
        Duration time = std::min(now, silentUntil(usage)) - silentFrom(usage);
        return usage.perSecond * std::max(toSeconds(time), 0.0);
    }

    void endSilence(PeerUsages& peers, PeerUsage& usage)
    {
        if (!usage.isSilent)
            return;
        usage.isSilent = false;
        // Without silent peers the sum is set to zero, so that rounding errors don't add up.
        peers.silentPerSecond = --peers.silent ? peers.silentPerSecond - usage.perSecond : 0;
    }

    void removeFromOrder(PeerUsages& peers, PeerNumber number)
    {
        PeerUsage& usage = peers.byNumber[number];
        if (peers.earliestHeard == number)
            peers.earliestHeard = usage.later;
        (usage.earlier ? peers.byNumber[*usage.earlier].later : peers.earliest) = usage.later;
        (usage.later ? peers.byNumber[*usage.later].earlier : peers.latest) = usage.earlier;
        usage.earlier.reset();
        usage.later.reset();
    }

    void appendToOrder(PeerUsages& peers, PeerNumber number)
    {
        peers.byNumber[number].earlier = peers.latest;
        (peers.latest ? peers.byNumber[*peers.latest].later : peers.earliest) = number;
        peers.latest = number;
        if (!peers.earliestHeard)
            peers.earliestHeard = number;
    }

    bool isInOrder(const PeerUsages& peers, PeerNumber number) { return peers.byNumber[number].earlier || peers.earliest == number; }

    /// An instance that is starting uses its own share alone, which the peers' use doesn't reduce.
    void chargePeerUse(AccountQuota& quota, double units, SteadyTime now)
    {
        if (!quota.share.isStarting)
            chargeUse(quota, units, now);
    }

    /// The estimated use of the silent peers since the last charge.
    double takeSilentUnits(PeerUsages& peers, SteadyTime now)
    {
        double units = peers.silentPerSecond * toSeconds(now - peers.chargedUntil);
        while (peers.earliestHeard && silentFrom(peers.byNumber[*peers.earliestHeard]) < now) {
            PeerUsage& usage = peers.byNumber[*peers.earliestHeard];
            units += usage.perSecond * toSeconds(now - silentFrom(usage));
            usage.isSilent = true;
            ++peers.silent;
            peers.silentPerSecond += usage.perSecond;
            peers.earliestHeard = usage.later;
        }
        while (peers.earliest && silentUntil(peers.byNumber[*peers.earliest]) < now) {
            PeerUsage& usage = peers.byNumber[*peers.earliest];
            units -= usage.perSecond * toSeconds(now - silentUntil(usage));
            endSilence(peers, usage);
            removeFromOrder(peers, *peers.earliest);
        }
        peers.chargedUntil = now;
        return std::max(units, 0.0);
    }

    void refill(AccountQuota& quota, SteadyTime now)
    {
        if (now <= quota.filledAt)
            return;
        double elapsed = toSeconds(now - quota.filledAt);
        quota.left = std::min(sharedBurst(quota), quota.left + sharedRate(quota) * elapsed);
        quota.filledAt = now;
        // The shares of silent peers are left out of the refill.
        double covered = (quota.perSecond - sharedRate(quota)) * elapsed;
        charge(quota, std::max(takeSilentUnits(quota.peers, now) - covered, 0.0));
    }

    void decayRecentUse(RecentUse& recent, SteadyTime now)
    {
        if (now <= recent.decayedAt)
            return;
        double kept = std::exp(-toSeconds(now - recent.decayedAt) / recentUseSeconds);
        recent.here *= kept;
        recent.atPeers *= kept;
        recent.decayedAt = now;
    }

    /// This instance's part of what the heard instances may use; all parts add up to 1.
    double ownPart(AccountQuota& quota, SteadyTime now)
    {
        decayRecentUse(quota.recent, now);
        double even = quota.perSecond * evenUseSeconds;
        return (even / quota.share.heard + quota.recent.here) / (even + quota.recent.here + quota.recent.atPeers);
    }

    /// Units that this instance may have admitted without its peers' knowledge.
    double maxUnheardUnits(AccountQuota& quota, SteadyTime now)
    {
        double before = std::max(quota.left + quota.unheard.sum, 0.0);
        return ownPart(quota, now) * (before + unheardExcess(quota));
    }

    /// Counts a request among the use that peers may not have heard of; false where that would be too much. While half of the
    /// limit is free, a request of any size is admitted; what exceeds the limit counts for longer.
    bool admitUnheard(AccountQuota& quota, double units, SteadyTime now)
    {
        if (quota.share.known == 1 || quota.share.isStarting)
            return true;
        endCounted(quota.unheard, now);
        double limit = maxUnheardUnits(quota, now);
        bool isUseLow = quota.recent.here + quota.recent.atPeers < lowUseSeconds * quota.perSecond;
        if (isUseLow && quota.share.part >= 1)
            limit = std::max(limit, unheardRequestsAtLowUse * units);
        if (quota.unheard.sum > limit / 2 && quota.unheard.sum + units > limit)
            return false;
        double longer = std::clamp((quota.unheard.sum + units) / limit, 1.0, maxLongerCount);
        count(quota.unheard, units, now + fromSeconds(toSeconds(quota.share.unheardTime) * longer));
        return true;
    }

} // namespace

void setQuota(AccountQuota& quota, double perSecond, double burst, SteadyTime now)
{
    bool isFirst = quota.perSecond == 0;
    refill(quota, now);
    quota.perSecond = perSecond;
    quota.burst = std::max(burst, perSecond > 0 ? 1.0 : 0.0);
    bool mayBeUsedElsewhere = quota.share.known > 1 || quota.share.isStarting;
    double atStart = mayBeUsedElsewhere ? std::min(quota.burst, unitsAtStart) : quota.burst;
    quota.left = isFirst ? atStart : std::min(quota.left, quota.burst);
    quota.filledAt = now;
}

void setShare(AccountQuota& quota, const QuotaShare& share, SteadyTime now)
{
    refill(quota, now);
    if (share.isStarting) {
        if (!quota.share.isStarting)
            quota.left = std::min(quota.left, unitsAtStart);
    } else if (share.part < quota.share.part) {
        // What there was when the silent peers last heard of it is divided, also where it is a debt now: each side of a partition
        // pays for its own use since then.
        endCounted(quota.charged, now);
        double units = (quota.left + quota.charged.sum) * (1 - share.part / quota.share.part);
        quota.left -= units;
        quota.reserved += units;
    } else if (share.part > quota.share.part) {
        double units = quota.reserved * (share.part - quota.share.part) / (1 - quota.share.part);
        quota.reserved -= units;
        quota.left += units;
    }
    quota.share = share;
}

bool admit(AccountQuota& quota, const QuotaDemand& demand, SteadyTime now)
{
    if (quota.perSecond > 0) {
        refill(quota, now);
        // A full bucket admits a request larger than the burst, which would otherwise never be admitted.
        if (quota.left < std::min(demand.units + reservedFor(quota, demand), sharedBurst(quota)) || !admitUnheard(quota, demand.units, now))
            return false;
        chargeUse(quota, demand.units, now);
    }
    quota.admittedHere += demand.units;
    return true;
}

void refund(AccountQuota& quota, double units)
{
    quota.admittedHere -= units;
    quota.left = std::min(quota.left + units, sharedBurst(quota));
    for (LatestUnits* latest : { &quota.unheard, &quota.charged }) {
        if (latest->steps.empty())
            continue;
        latest->steps.back().units -= units;
        latest->sum -= units;
    }
}

Duration timeUntil(const AccountQuota& quota, double units, SteadyTime now)
{
    if (quota.perSecond <= 0)
        return Duration::zero();
    double perSecond = sharedRate(quota);
    double missing = std::min(units, sharedBurst(quota)) - quota.left - perSecond * toSeconds(now - quota.filledAt);
    return fromSeconds(std::max(missing, 0.0) / perSecond);
}

double takeReport(AccountQuota& quota, SteadyTime now)
{
    decayRecentUse(quota.recent, now);
    quota.recent.here += std::max(quota.admittedHere - quota.reportedHere, 0.0);
    quota.reportedHere = quota.admittedHere;
    return quota.admittedHere;
}

void recordPeerAdmitted(AccountQuota& quota, PeerNumber peer, std::uint64_t incarnation, double admitted, SteadyTime now, const PeerHistory& history)
{
    refill(quota, now);
    PeerUsages& peers = quota.peers;
    if (peer >= peers.byNumber.size())
        peers.byNumber.resize(peer + 1);
    PeerUsage& usage = peers.byNumber[peer];
    double estimated = estimatedUnits(usage, now);
    endSilence(peers, usage);
    if (isInOrder(peers, peer))
        removeFromOrder(peers, peer);
    if (usage.isKnown && usage.incarnation == incarnation) {
        double units = admitted - usage.admitted;
        double elapsed = toSeconds(now - usage.reportedAt);
        if (elapsed > 0)
            usage.perSecond += rateWeight * (std::max(units, 0.0) / elapsed - usage.perSecond);
        double silent = toSeconds(history.silentUntil - std::max(history.silentFrom, usage.reportedAt));
        // While a share is reduced, estimates are charged only where they exceed it.
        double estimate = quota.share.part < 1 ? 0 : estimated;
        double covered = silent > 0 ? quota.perSecond / quota.share.known * silent : estimate;
        chargePeerUse(quota, units - std::min(covered, std::max(units, 0.0)), now);
        decayRecentUse(quota.recent, now);
        quota.recent.atPeers += std::max(units, 0.0);
    } else {
        usage.perSecond = 0;
        if (now - completeReportTime > history.heardSince) {
            chargePeerUse(quota, admitted, now);
            decayRecentUse(quota.recent, now);
            quota.recent.atPeers += admitted;
        }
    }
    usage.incarnation = incarnation;
    usage.isKnown = true;
    usage.admitted = admitted;
    usage.reportedAt = now;
    appendToOrder(peers, peer);
}

} // namespace limpetpond
