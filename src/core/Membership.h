#pragma once

/// Which instances live, from the platform's lagging list and from direct heartbeats.
///
/// The list names candidates and says who left; only heartbeats say who lives. An instance that did not
/// answer for `SiteSettings::suspectAfter` is suspected; one that is off the list and silent, or that was
/// replaced by a later start of the same id, has departed. See docs/design/membership.md.
///
/// Up to `probeAllUpTo` peers are all probed in each period, and silence alone makes one suspected. Past that,
/// a few chosen at random are probed, lost probes make one suspected, and news of that rides along with the
/// heartbeats. The choice is drawn from a seeded generator, so that a run can be replayed.

#include "core/Messages.h"
#include <cstdint>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <vector>

namespace limpetpond {

/// The bounds of membership; periods that operators set come with each call as `SiteSettings`.
struct MembershipOptions {
    InstanceId self;
    Incarnation incarnation;
    std::uint64_t seed { 1 };
    int probeAllUpTo { 8 }; ///< Peers up to which each one is probed in each period.
    int probesPerPeriod { 2 }; ///< Peers probed in each period past that.
    int updatesPerHeartbeat { 8 }; ///< Members told of in one heartbeat.
    int transmissionsPerUpdate { 6 }; ///< How often one piece of news is passed on.
    int probesLostToSuspect { 2 }; ///< Consecutive lost probes that make a member suspected, where not all are probed.
    Duration listLag { std::chrono::seconds(60) }; ///< How long an instance counts as listed after it left the list.
    Duration forgetAfter { std::chrono::minutes(10) }; ///< After which a departed member is forgotten.
};

/// What is known of another instance.
struct Member {
    InstanceId instance;
    std::string host;
    int port { 0 };
    FailureDomainId failureDomain;
    MemberState state { MemberState::Suspected };
    Incarnation incarnation;
    std::uint64_t sequence { 0 }; ///< Of the newest heartbeat heard or told of.
    bool isOnList { false };
    bool isLeaving { false };
    std::optional<SteadyTime> lastListedAt;
    std::optional<SteadyTime> lastSeenAt; ///< A heartbeat of it came, or a peer told of a newer one.
    int probesLost { 0 }; ///< Consecutive heartbeats of ours that it did not answer.
    std::optional<SteadyTime> lastAnsweredAt; ///< The sending time of our last heartbeat that it answered.
    SettingsVersion settingsVersion; ///< As of its last direct heartbeat.
    SteadyTime stateSince;
    int transmissionsLeft { 0 }; ///< How often its state is still passed on.
};

/// Messages and bytes of membership, for metrics.
struct MembershipCounters {
    std::uint64_t heartbeatsSent { 0 };
    std::uint64_t heartbeatsReceived { 0 };
    std::uint64_t bytesSent { 0 }; ///< By `heartbeatSize`.
};

struct Membership {
    MembershipOptions options;
    std::map<InstanceId, Member> members; ///< Without the instance itself.
    std::optional<SteadyTime> listReadAt;
    SteadyTime nextProbeAt;
    std::uint64_t sequence { 0 };
    pcg32 random;
    MembershipCounters counters;
};

/// Makes the membership of an instance that knows no other yet.
///
///     Membership membership = makeMembership({ .self = InstanceId { "a" }, .incarnation = Incarnation { 7 } }, now);
Membership makeMembership(MembershipOptions, SteadyTime now);

/// Takes in a read of the instance list.
void handleInstanceListRead(Membership&, const InstanceListRead&, SteadyTime now);

/// Takes in a heartbeat that a peer sent to us.
void applyHeartbeat(Membership&, const Heartbeat&, SteadyTime now);

/// Takes in a peer's answer to a heartbeat that we sent at `sentAt`.
void applyHeartbeatAnswer(Membership&, const Heartbeat&, SteadyTime sentAt, SteadyTime now);

/// Takes in that a heartbeat of ours was not answered; `updateMembership` draws the conclusion.
void handleHeartbeatLost(Membership&, const HeartbeatLost&);

/// Moves members to suspected and departed, and forgets old ones; returns the members whose state changed.
///
///     for (const InstanceId& instance : updateMembership(membership, site, now)) logState(instance);
std::vector<InstanceId> updateMembership(Membership&, const SiteSettings&, SteadyTime now);

/// The peers to probe now; empty between periods. Advances the time of the next probe.
///
///     for (const InstanceId& peer : chooseProbes(membership, site, now)) out.push_back(SendHeartbeat { peer, news });
std::vector<InstanceId> chooseProbes(Membership&, const SiteSettings&, SteadyTime now);

/// Fills the membership's part of a heartbeat: id, incarnation, a new sequence and news of members.
void fillHeartbeat(Membership&, Heartbeat&);

/// Counts a heartbeat as sent.
void countSent(Membership&, const Heartbeat&);

/// The size of a heartbeat in Thrift's compact protocol, estimated from above.
ByteCount heartbeatSize(const Heartbeat&);

/// Whether the member counts in the denominator of a majority: on the list, dropped from it less than
/// `listLag` ago, or heard of directly though not on the list yet. A departed one does not count.
bool isCounted(const Membership&, const Member&, SteadyTime now);

/// The number of instances in the denominator of a majority, this one included.
int countedInstances(const Membership&, SteadyTime now);

/// How many instances make a majority of the counted ones.
///
///     bool confirmed = answered + 1 >= majorityOf(countedInstances(membership, now));
int majorityOf(int counted);

/// Whether a majority of the counted instances, this one included, answered heartbeats that were sent at or
/// after `since`.
bool majorityAnsweredSince(const Membership&, SteadyTime since, SteadyTime now);

/// The members in state Live.
std::vector<InstanceId> liveMembers(const Membership&);

} // namespace limpetpond
