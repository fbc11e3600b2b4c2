#include "core/TargetRateLimit.h"

#include <algorithm>

namespace limpetpond {

namespace {

    constexpr double sharersPerRequest = 1.5; ///< Instances for each request a second of the limit.
    constexpr double minSharers = 3;
    constexpr double minDemand = 1;
    constexpr Duration demandMemory = std::chrono::seconds(3);
    constexpr double minPerSecond = 0.1; ///< A target that gets no request at all could never state the end of its limit.
    constexpr Duration endReportTime = std::chrono::seconds(3); ///< Several updates, of which single ones may be lost.
    constexpr Duration minLifetime = std::chrono::seconds(10); ///< Of a limit that no answer states again.
    constexpr double lifetimeInRequests = 4; ///< A limit lives at least for the time of this many requests.

    Duration lifetimeOf(double perSecond)
    {
        double seconds = lifetimeInRequests / std::max(perSecond, minPerSecond);
        return std::max<Duration>(minLifetime, fromSeconds(seconds));
    }

    double creditOf(const TargetRateLimit& limit, SteadyTime now)
    {
        return std::min(limit.credit + limit.ownPerSecond * toSeconds(now - limit.creditAt), 1.0);
    }

    bool applyStatement(TargetRateLimit& limit, const StatedRateLimit& stated)
    {
        bool hasChanged = limit.stated.perSecond != stated.perSecond;
        if (!limit.stated.perSecond && stated.perSecond) {
            limit.ownPerSecond = 0;
            limit.credit = 0;
            limit.creditAt = stated.at;
        }
        limit.stated = stated;
        return hasChanged;
    }

} // namespace

bool isLimited(const TargetRateLimit& limit, SteadyTime now)
{
    return limit.stated.perSecond && now - limit.stated.at < lifetimeOf(*limit.stated.perSecond);
}

bool recordStatement(TargetRateLimit& limit, const StatedRateLimit& stated)
{
    if (stated.perSecond || limit.stated.perSecond)
        limit.observed = stated;
    return applyStatement(limit, stated);
}

bool mergeStatement(TargetRateLimit& limit, const StatedRateLimit& stated)
{
    return stated.at > limit.stated.at && applyStatement(limit, stated);
}

std::optional<StatedRateLimit> statementToReport(const TargetRateLimit& limit, SteadyTime now)
{
    if (!limit.observed)
        return std::nullopt;
    bool isCurrent = limit.observed->perSecond ? isLimited(limit, now) : now - limit.observed->at < endReportTime;
    return isCurrent ? limit.observed : std::nullopt;
}

double sharedDemand(double demand, SteadyTime lastDemandAt, SteadyTime now)
{
    if (demand > 0)
        return std::max(demand, minDemand);
    return now - lastDemandAt < demandMemory ? minDemand : 0;
}

double shareOfLimit(double perSecond, const LimitSharer& self, const std::vector<LimitSharer>& peers)
{
    if (self.demand <= 0)
        return 0;
    double usable = std::max(perSecond, minPerSecond);
    auto maxSharers = static_cast<std::size_t>(minSharers + sharersPerRequest * usable);
    std::vector<LimitSharer> sharers { self };
    std::copy_if(peers.begin(), peers.end(), std::back_inserter(sharers), [](const LimitSharer& peer) { return peer.demand > 0; });
    if (sharers.size() > maxSharers) {
        auto isBefore = [](const LimitSharer& a, const LimitSharer& b) { return a.order < b.order; };
        std::nth_element(sharers.begin(), sharers.begin() + static_cast<std::ptrdiff_t>(maxSharers), sharers.end(), isBefore);
        sharers.resize(maxSharers);
    }
    double all = 0;
    bool isSharer = false;
    for (const LimitSharer& sharer : sharers) {
        all += sharer.demand;
        isSharer = isSharer || sharer.order == self.order;
    }
    return isSharer ? usable * self.demand / all : 0;
}

void setShare(TargetRateLimit& limit, double perSecond, SteadyTime now)
{
    limit.credit = perSecond > 0 ? creditOf(limit, now) : 0;
    limit.creditAt = now;
    limit.ownPerSecond = perSecond;
}

bool isWithinRateLimit(const TargetRateLimit& limit, SteadyTime now) { return !isLimited(limit, now) || creditOf(limit, now) >= 1; }

void recordSend(TargetRateLimit& limit, SteadyTime now)
{
    limit.credit = std::max(creditOf(limit, now) - 1, 0.0);
    limit.creditAt = now;
}

} // namespace limpetpond
