#pragma once

/// Tracks the state of the other instances, from the platform's lagging instance list and from heartbeats.
///
/// The list gives candidates and shows which instances left; only heartbeats show that an instance is live. An
/// instance that has not answered for `SiteSettings::suspectAfter` is suspected. An instance has departed when it
/// is off the list and unresponsive, or when a later incarnation of its id replaced it. See docs/design/membership.md.
///
/// Up to `probeAllUpTo` peers are all probed in each period, and missing answers alone make one suspected. Beyond that
/// number, a few peers are probed at random, lost probes make a peer suspected, and heartbeats carry member updates
/// that spread the suspicion. The random generator is seeded, so that a run can be replayed.

#include "core/Messages.h"
#include <cstdint>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <vector>

namespace limpetpond {

/// The limits of the membership; periods that operators set are passed with each call as `SiteSettings`.
struct MembershipOptions {
    InstanceId self;
    Incarnation incarnation;
    std::uint64_t seed { 1 };
    int probeAllUpTo { 8 }; ///< Up to this number of peers, all are probed in each period.
    int probesPerPeriod { 2 }; ///< Peers probed in each period above that number.
    int updatesPerHeartbeat { 8 }; ///< Maximum number of member updates in one heartbeat.
    int transmissionsPerUpdate { 6 }; ///< Number of heartbeats that carry the same update.
    int probesLostToSuspect { 2 }; ///< Consecutive lost probes that make a member suspected when not all peers are probed.
    Duration listLag { std::chrono::seconds(60) }; ///< How long an instance counts as listed after it left the list.
    Duration forgetAfter { std::chrono::minutes(10) }; ///< Time after which a departed member is removed.
};

/// The known state of another instance.
struct Member {
    InstanceId instance;
    std::string host;
    int port { 0 };
    FailureDomainId failureDomain;
    MemberState state { MemberState::Suspected };
    Incarnation incarnation;
    std::uint64_t sequence { 0 }; ///< Of the newest heartbeat that was received or reported by a peer.
    bool isOnList { false };
    bool isLeaving { false };
    std::optional<SteadyTime> lastListedAt;
    std::optional<SteadyTime> lastSeenAt; ///< When its last heartbeat was received, or a peer reported a newer one.
    int probesLost { 0 }; ///< Consecutive heartbeats to it that got no answer.
    std::optional<SteadyTime> lastAnsweredAt; ///< When the last heartbeat that it answered was sent.
    SettingsVersion settingsVersion; ///< As of its last direct heartbeat.
    SteadyTime stateSince;
    int transmissionsLeft { 0 }; ///< How many more heartbeats carry its state.
};

/// Message and byte counts of the membership, for metrics.
struct MembershipCounters {
    std::uint64_t heartbeatsSent { 0 };
    std::uint64_t heartbeatsReceived { 0 };
    std::uint64_t bytesSent { 0 }; ///< By `heartbeatSize`.
};

/// The membership as one instance sees it.
struct Membership {
    MembershipOptions options;
    std::map<InstanceId, Member> members; ///< The instance itself is not included.
    std::optional<SteadyTime> listReadAt;
    SteadyTime nextProbeAt;
    std::uint64_t sequence { 0 };
    pcg32 random;
    MembershipCounters counters;
};

/// Makes the membership of an instance that has no peers yet.
///
///     Membership membership = makeMembership({ .self = InstanceId { "a" }, .incarnation = Incarnation { 7 } }, now);
Membership makeMembership(MembershipOptions, SteadyTime now);

/// Applies a read of the instance list.
void handleInstanceListRead(Membership&, const InstanceListRead&, SteadyTime now);

/// Applies a heartbeat that a peer sent to this instance.
void applyHeartbeat(Membership&, const Heartbeat&, SteadyTime now);

/// Applies a peer's answer to a heartbeat that this instance sent at `sentAt`.
void applyHeartbeatAnswer(Membership&, const Heartbeat&, SteadyTime sentAt, SteadyTime now);

/// Counts a heartbeat of this instance that got no answer; `updateMembership` changes the state.
void handleHeartbeatLost(Membership&, const HeartbeatLost&);

/// Updates the state of each member and removes old departed ones; returns the members whose state changed.
///
///     for (const InstanceId& instance : updateMembership(membership, site, now)) logState(instance);
std::vector<InstanceId> updateMembership(Membership&, const SiteSettings&, SteadyTime now);

/// The peers to probe now; empty between periods. Advances the time of the next probe.
///
///     for (const InstanceId& peer : chooseProbes(membership, site, now)) out.push_back(SendHeartbeat { peer, heartbeat });
std::vector<InstanceId> chooseProbes(Membership&, const SiteSettings&, SteadyTime now);

/// Sets the membership's part of a heartbeat: instance, incarnation, a new sequence and member updates.
void fillHeartbeat(Membership&, Heartbeat&);

/// Counts a sent heartbeat and its estimated size.
void countSent(Membership&, const Heartbeat&);

/// An upper estimate of the size of a heartbeat in Thrift's compact protocol.
ByteCount heartbeatSize(const Heartbeat&);

/// Whether the member counts in the denominator of a majority. It counts when it is on the list, was dropped
/// from it less than `listLag` ago, or is live but not on the list yet. A departed member does not count.
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
