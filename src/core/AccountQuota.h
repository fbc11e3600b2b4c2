#pragma once

/// A client account's quota over all instances.
///
/// Load pattern: one account sends many times its usual. Each instance keeps a whole token bucket and
/// takes out of it what it admits and what its peers report to have admitted, so the bucket drifts only by
/// what peers admitted since their last news. A peer that falls silent is counted with the rate that
/// it last had, until it is held for departed. While an account asks for more than its quota, the most urgent
/// of its requests go first: less urgent ones are admitted only where enough is left behind them.

#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include <cstdint>
#include <map>

namespace limpetpond {

/// What one peer said of one account.
struct PeerUsage {
    std::uint64_t incarnation { 0 };
    double admitted { 0 }; ///< Units since the peer's start.
    double perSecond { 0 }; ///< Learned rate.
    SteadyTime reportedAt;
    SteadyTime chargedUntil; ///< Estimated use was taken out of the bucket up to here.
    double estimated { 0 }; ///< Units charged ahead of what the peer has reported.
};

struct AccountQuota {
    double perSecond { 0 }; ///< 0 for no limit.
    double burst { 0 };
    double left { 0 };
    SteadyTime filledAt;
    double admittedHere { 0 }; ///< Units since the start; what peers are told.
    std::map<InstanceId, PeerUsage> peers;
};

/// Takes over a quota from the settings; a first one starts full, a lower one cuts what is left.
///
///     setQuota(quota, account.perSecond, account.burst, now);
///     admit(quota, 1, now);
void setQuota(AccountQuota&, double perSecond, double burst, SteadyTime now);

/// What a request asks of its account's quota.
struct QuotaDemand {
    double units { 1 };
    int rank { 0 }; ///< Of the route; 0 is the most urgent.
};

/// Admits a request where the quota allows it.
///
///     if (!admit(quota, { .units = tokens, .rank = route.rank }, now))
///         refuse(timeUntil(quota, tokens, now));
bool admit(AccountQuota&, const QuotaDemand&, SteadyTime now);

/// Gives back what a request took that never reached a target.
///
///     refund(quota, tokens);
void refund(AccountQuota&, double units);

/// How long until `units` would be admitted if nobody else sent.
///
///     Duration retryAfter = timeUntil(quota, tokens, now);
Duration timeUntil(const AccountQuota&, double units, SteadyTime now);

/// Takes in a peer's count of admitted units since its start.
///
///     recordPeerAdmitted(quota, InstanceId("b"), incarnation, 1200, now);
void recordPeerAdmitted(AccountQuota&, const InstanceId&, std::uint64_t incarnation, double admitted, SteadyTime now);

} // namespace limpetpond
