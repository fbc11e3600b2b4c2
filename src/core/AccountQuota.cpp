#include "core/AccountQuota.h"

#include <algorithm>

namespace limpetpond {

namespace {

    /// A peer without updates for this long is charged by estimate; updates arrive several times a second.
    constexpr Duration unresponsiveAfter = std::chrono::milliseconds(600);
    /// After this time without updates, the peer's callers have moved to other instances.
    constexpr Duration departedAfter = std::chrono::seconds(6);
    /// Weight of the latest interval in the moving average of a peer's rate.
    constexpr double rateWeight = 0.3;

    /// Bounds the debt of a bucket by this many seconds of refill, so that one wrong report can't block an account for long.
    constexpr double maxDebtSeconds = 1.0;

    /// Less urgent requests leave a reserve for more urgent ones: `reservedShareOfRank` of the burst for each rank, up to
    /// `maxReservedShare`, but at most `reservedTimesOwnSize` times their own size, since a small request delays others
    /// little.
    constexpr double reservedShareOfRank = 0.25;
    constexpr double maxReservedShare = 0.5;
    constexpr double reservedTimesOwnSize = 20;

    double reservedFor(const AccountQuota& quota, const QuotaDemand& demand)
    {
        double share = std::min(reservedShareOfRank * std::max(demand.rank, 0), maxReservedShare);
        return std::min(share * quota.burst, reservedTimesOwnSize * demand.units);
    }

    void charge(AccountQuota& quota, double units)
    {
        quota.left = std::max(quota.left - units, -maxDebtSeconds * quota.perSecond);
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
        quota.left = std::min(quota.burst, quota.left + quota.perSecond * toSeconds(now - quota.filledAt));
        quota.filledAt = now;
        charge(quota, takeSilentUnits(quota.peers, now));
    }

} // namespace

void setQuota(AccountQuota& quota, double perSecond, double burst, SteadyTime now)
{
    bool isFirst = quota.perSecond == 0;
    refill(quota, now);
    quota.perSecond = perSecond;
    quota.burst = std::max(burst, perSecond > 0 ? 1.0 : 0.0);
    quota.left = isFirst ? quota.burst : std::min(quota.left, quota.burst);
    quota.filledAt = now;
}

bool admit(AccountQuota& quota, const QuotaDemand& demand, SteadyTime now)
{
    if (quota.perSecond > 0) {
        refill(quota, now);
        // A full bucket admits a request larger than the burst, which would otherwise never be admitted.
        if (quota.left < std::min(demand.units + reservedFor(quota, demand), quota.burst))
            return false;
        charge(quota, demand.units);
    }
    quota.admittedHere += demand.units;
    return true;
}

void refund(AccountQuota& quota, double units)
{
    quota.admittedHere -= units;
    quota.left = std::min(quota.left + units, quota.burst);
}

Duration timeUntil(const AccountQuota& quota, double units, SteadyTime now)
{
    if (quota.perSecond <= 0)
        return Duration::zero();
    double missing = std::min(units, quota.burst) - quota.left - quota.perSecond * toSeconds(now - quota.filledAt);
    return fromSeconds(std::max(missing, 0.0) / quota.perSecond);
}

void recordPeerAdmitted(AccountQuota& quota, PeerNumber peer, std::uint64_t incarnation, double admitted, SteadyTime now)
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
        charge(quota, units - std::min(estimated, std::max(units, 0.0)));
    } else {
        usage.perSecond = 0;
    }
    usage.incarnation = incarnation;
    usage.isKnown = true;
    usage.admitted = admitted;
    usage.reportedAt = now;
    appendToOrder(peers, peer);
}

} // namespace limpetpond
