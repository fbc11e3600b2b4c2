#pragma once

/// A client account's quota over all instances.
///
/// Load pattern: one account sends many times its usual load. Each instance keeps a token bucket for the whole quota and
/// charges it with what it admits and what its peers report, so that the bucket lags only by what peers admitted since
/// their last update. A peer without updates is charged at its last rate until it counts as departed. While an account
/// exceeds its quota, its most urgent requests go first: less urgent ones must leave a reserve in the bucket.
///
/// Peers are ordered by their last update, so that the work for an update doesn't grow with the number of peers: only those
/// that have just become silent or departed are looked at, and the silent ones are charged by the sum of their rates.
///
/// Partitions and restarts: rate and burst are reduced to the share of the instances that are heard (`core/QuotaShare.h`), and an
/// instance admits at most its own part of what the bucket holds before peers have heard of it. docs/design/quotas.md derives the total.

#include "core/PeerNumbers.h"
#include "core/QuotaShare.h"
#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace limpetpond {

/// One peer's reported use of one account's quota.
struct PeerUsage {
    std::uint64_t incarnation { 0 };
    double admitted { 0 }; ///< Units admitted since the peer's start.
    double perSecond { 0 }; ///< Moving average of the rate.
    SteadyTime reportedAt; ///< When the last update arrived.
    bool isKnown { false }; ///< The peer has reported use.
    bool isSilent { false }; ///< Charged at its last rate.
    std::optional<PeerNumber> earlier; ///< The neighbours in the order of `reportedAt`; see `PeerUsages`.
    std::optional<PeerNumber> later;
};

/// The use of one account's quota by all peers.
struct PeerUsages {
    std::vector<PeerUsage> byNumber; ///< Indexed by `PeerNumber`.
    std::optional<PeerNumber> earliest; ///< The ends of the order by `reportedAt`, which departed peers have been removed from.
    std::optional<PeerNumber> latest;
    std::optional<PeerNumber> earliestHeard; ///< The first in the order that isn't silent.
    double silentPerSecond { 0 }; ///< Sum of the rates of the silent peers.
    int silent { 0 };
    SteadyTime chargedUntil; ///< The bucket was charged with the estimated use of silent peers until then.
};

/// Units that are counted up to a time.
struct CountedUnits {
    SteadyTime until;
    double units { 0 };
};

/// The units whose time has not passed yet.
struct LatestUnits {
    std::deque<CountedUnits> steps; ///< The oldest first.
    double sum { 0 };
};

/// What an instance and its peers have used lately, by which the bucket is divided among them.
struct RecentUse {
    double here { 0 }; ///< As reported to peers, so that all instances divide by the same numbers.
    double atPeers { 0 };
    SteadyTime decayedAt;
};

/// What a window may hold beyond rate x window + burst, over all instances.
struct QuotaTolerance {
    Duration window { std::chrono::seconds(8) };
    double excess { 0.1 }; ///< As a part of rate x window + burst.
    double slack { 190000 }; ///< Units in addition.
};

/// The token bucket of one account. A unit is a request or a token.
struct AccountQuota {
    double perSecond { 0 }; ///< Over all instances; 0 for no limit.
    double burst { 0 }; ///< Over all instances.
    QuotaTolerance tolerance;
    QuotaShare share;
    double reserved { 0 }; ///< Units of the bucket that are left to silent peers until the share grows again.
    LatestUnits unheard; ///< Own use that peers may not have heard of.
    LatestUnits charged; ///< All use in `QuotaShare::unheardTime`, which a peer that is cut off hasn't heard of.
    RecentUse recent;
    double left { 0 }; ///< Units in the bucket; negative after late charges.
    SteadyTime filledAt; ///< When the bucket was last refilled.
    double admittedHere { 0 }; ///< Units admitted since the start, as sent to peers.
    double reportedHere { 0 }; ///< `admittedHere` in the last update to peers.
    PeerUsages peers;
};

/// Applies a quota from the settings. The first quota starts with a full bucket, or with few units where other instances may
/// have used it; a lower one bounds what is left.
///
///     setQuota(quota, account.perSecond, account.burst, now);
///     admit(quota, 1, now);
void setQuota(AccountQuota&, double perSecond, double burst, SteadyTime now);

/// Applies the share that the instance and those that it hears may use together.
///
///     setShare(quota, updateShare(fleet, now), now);
void setShare(AccountQuota&, const QuotaShare&, SteadyTime now);

/// A request's demand on its account's quota.
struct QuotaDemand {
    double units { 1 };
    int rank { 0 }; ///< Of the route; 0 is the most urgent.
};

/// Admits a request and charges its units; false when the quota doesn't allow it.
///
///     if (!admit(quota, { .units = tokens, .rank = route.rank }, now))
///         refuse(timeUntil(quota, tokens, now));
bool admit(AccountQuota&, const QuotaDemand&, SteadyTime now);

/// Returns the units of an admitted request that never reached a target.
///
///     refund(quota, tokens);
void refund(AccountQuota&, double units);

/// The time until `units` would be admitted if no other requests arrived.
///
///     Duration retryAfter = timeUntil(quota, tokens, now);
Duration timeUntil(const AccountQuota&, double units, SteadyTime now);

/// Returns the units admitted here since the start, for an update to peers.
///
///     update.accounts.push_back({ .account = hash, .admitted = takeReport(quota, now) });
double takeReport(AccountQuota&, SteadyTime now);

/// Records a peer's count of the units that it admitted since its start. What it used in a silence that its own share covers isn't
/// charged again. The first count of a process is charged only if the process has been heard for some seconds without one, so that all
/// of the use is recent.
///
///     PeerHistory history = recordHeard(fleet, peer, sign, now);
///     recordPeerAdmitted(quota, numbers.numberOf(peer, now), incarnation, 1200, now, history);
void recordPeerAdmitted(AccountQuota&, PeerNumber, std::uint64_t incarnation, double admitted, SteadyTime now, const PeerHistory& = {});

} // namespace limpetpond
