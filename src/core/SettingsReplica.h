#pragma once

/// The settings that one instance holds: the version in force and until when it may be acted on.
///
/// The version in force never falls. A view is confirmed by a read of the version row, by a
/// peer that passes on its own confirmation, or by a majority of the listed instances.
/// The rule is in docs/design/settings.md.

#include "core/Messages.h"
#include "limpetpond/Clock.h"
#include <map>
#include <memory>
#include <optional>

namespace limpetpond {

/// The last answer of a peer to a heartbeat of ours.
struct PeerSettings {
    SettingsVersion version; ///< None until the peer has confirmed a version since its start.
    std::optional<SteadyTime> heartbeatSentAt; ///< When the heartbeat that it answered was sent.
    bool wasContacted { false }; ///< It answered or failed to answer since our start.
};

/// Makes the replica of an instance that holds no settings yet.
///
///     SettingsReplica replica = makeSettingsReplica(InstanceId { "a" }, clock.steadyNow());
struct SettingsReplica makeSettingsReplica(InstanceId self, SteadyTime now);

/// What one instance knows of the settings. Fields are read freely and changed by the functions below.
struct SettingsReplica {
    InstanceId self;
    SteadyTime startedAt;
    Duration listLag { std::chrono::seconds(15) }; ///< How long an instance counts as listed after it left the list.
    std::shared_ptr<const Settings> settings; ///< In force; null before the first arrived.
    SteadyTime adoptedAt; ///< When the version in force arrived.
    SettingsVersion highestKnown; ///< The highest version that anyone has shown.
    bool confirmedSinceStart { false }; ///< The version was confirmed at least once since the start.
    std::optional<SteadyTime> storeConfirmedAt; ///< Start of the newest read, here or at a peer, that confirmed the version.
    std::optional<SteadyTime> quorumConfirmedAt; ///< When the oldest answer of the newest majority was asked for.
    std::map<InstanceId, SteadyTime> listed; ///< When each was last on the platform's instance list.
    std::optional<SteadyTime> listReadAt;
    std::map<InstanceId, PeerSettings> peers;
    bool storeReachable { false }; ///< The last read of the version row was answered.
    std::optional<SteadyTime> storeAnsweredAt;
    bool storeRegressed { false }; ///< The store's last answer was lower than the version in force.
    std::optional<SteadyTime> headReadSentAt; ///< A read is on its way.
    std::optional<SteadyTime> lastHeadReadAt;
    std::optional<SteadyTime> fetchSentAt; ///< A fetch is on its way.
    std::optional<SteadyTime> fetchFailedAt;
    int fetchesFailed { 0 }; ///< In a row; chooses the next source.
    bool cutOffAlarmRaised { false };
    bool storeAlarmRaised { false };
};

/// The version in force; none before the first settings arrived.
SettingsVersion versionInForce(const SettingsReplica&);

/// What heartbeats carry: none until the version was confirmed since the start, so that a
/// restarted instance never counts in a majority for what it has forgotten.
SettingsVersion versionToReport(const SettingsReplica&);

/// The age to report in heartbeats; none when no read has ever confirmed the version in force.
std::optional<Duration> storeConfirmedAge(const SettingsReplica&, SteadyTime now);

/// The age of the newest confirmation of any kind; none when never confirmed.
std::optional<Duration> confirmedAge(const SettingsReplica&, SteadyTime now);

/// The end of the time in which the settings in force may be acted on; none when never confirmed.
///
///     dispatch.notAfter = *confirmedUntil(replica);
std::optional<SteadyTime> confirmedUntil(const SettingsReplica&);

/// Whether a request may be dispatched now.
///
///     if (!mayDispatch(replica, now)) answer(Reason::ViewStale);
bool mayDispatch(const SettingsReplica&, SteadyTime now);

/// Whether a majority of the listed instances, itself included, answered within the view's age limit.
bool reachesMajority(const SettingsReplica&, SteadyTime now);

/// The highest version that a majority of the listed instances, itself included, holds; none when there is none.
/// A change is accepted once this reaches its version.
SettingsVersion majorityVersion(const SettingsReplica&, SteadyTime now);

/// Takes in a read of the version row.
ControlActions handleHeadRead(SettingsReplica&, const SettingsHeadRead&, SteadyTime now);

/// Takes in settings that were fetched; null settings stand for a fetch that failed. Lower versions are ignored.
ControlActions handleSettingsArrived(SettingsReplica&, const SettingsArrived&, SteadyTime now);

/// Takes in a peer's answer to a heartbeat of ours.
ControlActions handleHeartbeatAnswered(SettingsReplica&, const HeartbeatAnswered&, SteadyTime now);

/// Takes in a peer's own heartbeat, which tells of versions but confirms nothing.
ControlActions handleHeartbeatReceived(SettingsReplica&, const HeartbeatReceived&, SteadyTime now);

/// Takes in that a heartbeat of ours was not answered.
void handleHeartbeatLost(SettingsReplica&, const HeartbeatLost&);

/// Takes in the platform's instance list.
void handleInstanceListRead(SettingsReplica&, const InstanceListRead&, SteadyTime now);

/// Asks for reads and fetches that are due; to be called at every Tick.
ControlActions tick(SettingsReplica&, SteadyTime now);

} // namespace limpetpond
