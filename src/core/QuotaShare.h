#pragma once

/// The part of every quota that this instance and the peers that it hears may use together.
///
/// Load pattern: a network partition while an account sends many times its quota. Instances on both sides keep running, so each
/// side uses only the even shares of its own instances. The share of a silent peer is left to it until it has left in order, or
/// until an instance that hears most of the others has not heard it for about ten minutes; an instance that hears fewer than half gives
/// up most of its own share before that.

#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace limpetpond {

/// What an instance may use of each quota.
struct QuotaShare {
    int known { 1 }; ///< Instances that may use a share, this one included.
    int heard { 1 }; ///< Those of them that this instance hears, itself included.
    double part { 1 }; ///< Of rate and burst, for the heard instances together; 0 to 1.
    bool isStarting { false }; ///< Has just started and doesn't know yet which peers run.
    Duration unheardTime { 0 }; ///< What an instance used in this time may be unknown to a peer that still counts it as heard.
    bool operator==(const QuotaShare&) const = default;
};

/// How a peer has been heard so far, which says what its counts of use stand for.
struct PeerHistory {
    SteadyTime heardSince { SteadyTime::max() }; ///< Its present process has been heard without a silence since then.
    SteadyTime silentFrom; ///< The last silence before that, in which its own share covered its use; empty for none.
    SteadyTime silentUntil;
};

/// What is known about one peer.
struct QuotaPeer {
    std::uint64_t incarnation { 0 };
    bool hasBeenHeard { false }; ///< False for a peer that is only listed.
    bool isSilent { false };
    SteadyTime heardAt; ///< For a peer that is only listed: when it was listed.
    SteadyTime silentSince;
    std::optional<SteadyTime> leavingSince; ///< When it first said that it stops.
    PeerHistory history;
};

/// The instances that share the quotas, as this one sees them. The work for one update of a peer doesn't depend on their number.
struct QuotaFleet {
    std::optional<SteadyTime> startedAt; ///< Of this instance; set by the first `updateShare`.
    int expectedPeers { 0 }; ///< Addresses of peers that were known at the start, whose ids are not.
    bool isListRead { false }; ///< The store's list of instances has been read.
    boost::unordered_flat_map<InstanceId, QuotaPeer, std::hash<InstanceId>> peers;
    std::optional<SteadyTime> firstHeardAt;
    std::optional<SteadyTime> minoritySince; ///< Since when this instance has heard fewer than half of those that it has ever heard, itself included.
    QuotaShare share;
};

/// Counts the other instances that the store lists, which may run although this one can't hear them. It has an effect only shortly after
/// a start: later, those that run have been heard.
///
///     recordListed(fleet, idsIn(rows), now);
void recordListed(QuotaFleet&, const std::vector<InstanceId>&, SteadyTime now);

/// A sign of life of a peer.
struct PeerSign {
    std::uint64_t incarnation { 0 };
    bool isLeaving { false };
};

/// Records an update of a peer.
///
///     PeerHistory history = recordHeard(fleet, update.instance, { .incarnation = update.incarnation }, now);
PeerHistory recordHeard(QuotaFleet&, const InstanceId&, const PeerSign&, SteadyTime now);

/// Finds out which peers are silent or gone, and returns the share from now on. Call it several times a second.
///
///     setShare(quota, updateShare(fleet, now), now);
const QuotaShare& updateShare(QuotaFleet&, SteadyTime now);

} // namespace limpetpond
