#include "core/AccountQuota.h"

#include <algorithm>

namespace limpetpond {

namespace {

    /// A peer that says nothing for this long is charged by estimate; news come several times a second.
    constexpr Duration silentAfter = std::chrono::milliseconds(600);
    /// After this long its callers have moved to other instances.
    constexpr Duration departedAfter = std::chrono::seconds(6);
    /// Weight of the newest interval in a peer's learned rate.
    constexpr double rateWeight = 0.3;

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    /// The estimate never goes below this many seconds of refill, so that one wrong report can't close an account for long.
    constexpr double deepestDebtSeconds = 1.0;

    /// What less urgent requests leave for more urgent ones: this share of the burst for each rank,
    /// but no more than this many times their own size, since a small request delays others little.
    constexpr double reservedShareOfRank = 0.25;
    constexpr double mostReservedShare = 0.5;
    constexpr double reservedTimesOwnSize = 20;

    double reservedFor(const AccountQuota& quota, const QuotaDemand& demand)
    {
        double share = std::min(reservedShareOfRank * std::max(demand.rank, 0), mostReservedShare);
        return std::min(share * quota.burst, reservedTimesOwnSize * demand.units);
    }

    void take(AccountQuota& quota, double units)
    {
        quota.left = std::max(quota.left - units, -deepestDebtSeconds * quota.perSecond);
    }

    void chargeSilentPeers(AccountQuota& quota, SteadyTime now)
    {
        for (auto& [id, use] : quota.peers) {
            SteadyTime from = std::max(use.chargedUntil, use.reportedAt + silentAfter);
            SteadyTime until = std::min(now, use.reportedAt + departedAfter);
            if (until <= from)
                continue;
            double units = use.perSecond * seconds(until - from);
            use.chargedUntil = until;
            use.estimated += units;
            take(quota, units);
        }
    }

    void refill(AccountQuota& quota, SteadyTime now)
    {
        if (now <= quota.filledAt)
            return;
        quota.left = std::min(quota.burst, quota.left + quota.perSecond * seconds(now - quota.filledAt));
        quota.filledAt = now;
        chargeSilentPeers(quota, now);
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
        // A request larger than the whole burst is admitted by a full bucket: it would never be otherwise.
        if (quota.left < std::min(demand.units + reservedFor(quota, demand), quota.burst))
            return false;
        take(quota, demand.units);
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
    double missing = std::min(units, quota.burst) - quota.left - quota.perSecond * seconds(now - quota.filledAt);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::max(missing, 0.0) / quota.perSecond));
}

void recordPeerAdmitted(AccountQuota& quota, const InstanceId& peer, std::uint64_t incarnation, double admitted, SteadyTime now)
{
    refill(quota, now);
    auto [found, isNew] = quota.peers.try_emplace(peer);
    PeerUsage& use = found->second;
    if (isNew || use.incarnation != incarnation) {
        use = { .incarnation = incarnation, .admitted = admitted, .reportedAt = now, .chargedUntil = now };
        return;
    }
    double units = admitted - use.admitted;
    double elapsed = seconds(now - use.reportedAt);
    if (elapsed > 0)
        use.perSecond += rateWeight * (std::max(units, 0.0) / elapsed - use.perSecond);
    double ahead = std::min(use.estimated, std::max(units, 0.0));
    take(quota, units - ahead);
    use.admitted = admitted;
    use.estimated = 0;
    use.reportedAt = now;
    use.chargedUntil = now;
}

} // namespace limpetpond
