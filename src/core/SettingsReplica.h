#pragma once

/// The settings of one instance: the version in force and until when it may be used.
///
/// The version in force never decreases. The view is confirmed by a read of the version row, by
/// a peer that reports such a confirmation, or by a majority of the listed instances.
/// The rule is in docs/design/settings.md.

#include "core/Messages.h"
#include "limpetpond/Clock.h"
#include <map>
#include <memory>
#include <optional>

namespace limpetpond {

/// The last answer of a peer to a heartbeat of this instance.
struct PeerSettings {
    SettingsVersion version; ///< None until the peer has confirmed a version since its start.
    std::optional<SteadyTime> heartbeatSentAt; ///< When the answered heartbeat was sent.
    bool wasContacted { false }; ///< A heartbeat to the peer was answered or lost since this instance started.
};

/// Makes the replica of an instance that has no settings yet.
///
///     SettingsReplica replica = makeSettingsReplica(InstanceId { "a" }, clock.steadyNow());
struct SettingsReplica makeSettingsReplica(InstanceId self, SteadyTime now);

/// The settings state of one instance. Any code may read the fields; only the functions below change them.
struct SettingsReplica {
    InstanceId self;
    SteadyTime startedAt;
    Duration listLag { std::chrono::seconds(15) }; ///< How long an instance counts as listed after it left the list.
    std::shared_ptr<const Settings> settings; ///< In force; null before the first ones arrived.
    SteadyTime adoptedAt; ///< When the version in force arrived.
    SettingsVersion highestKnown; ///< The highest version that the table service or a peer has reported.
    bool confirmedSinceStart { false }; ///< A version in force was confirmed since the start.
    std::optional<SteadyTime> storeConfirmedAt; ///< Start of the newest read, here or at a peer, that confirmed the version.
    std::optional<SteadyTime> quorumConfirmedAt; ///< When the oldest heartbeat that the newest majority answered was sent.
    std::map<InstanceId, SteadyTime> listed; ///< When each instance was last on the platform's instance list.
    std::optional<SteadyTime> listReadAt;
    std::map<InstanceId, PeerSettings> peers;
    bool storeReachable { false }; ///< The last read of the version row was answered.
    std::optional<SteadyTime> storeAnsweredAt;
    bool storeRegressed { false }; ///< The last read returned a version below the one in force.
    std::optional<SteadyTime> headReadSentAt; ///< Set while a read is in flight.
    std::optional<SteadyTime> lastHeadReadAt;
    std::optional<SteadyTime> fetchSentAt; ///< Set while a fetch is in flight.
    std::optional<SteadyTime> fetchFailedAt;
    int fetchesFailed { 0 }; ///< Consecutive failures; selects the next source.
    bool cutOffAlarmRaised { false };
    bool storeAlarmRaised { false };
};

/// The version in force; none before the first settings arrived.
SettingsVersion versionInForce(const SettingsReplica&);

/// The version that heartbeats carry. It is none until a version was confirmed since the start, so that a
/// restarted instance never counts in a majority for a version that it no longer has.
SettingsVersion versionToReport(const SettingsReplica&);

/// The age of the last confirmation by the table service, for heartbeats; none when there is none for the newest
/// known version.
std::optional<Duration> storeConfirmedAge(const SettingsReplica&, SteadyTime now);

/// The age of the newest confirmation of any kind; none when there is none.
std::optional<Duration> confirmedAge(const SettingsReplica&, SteadyTime now);

/// Until when the settings in force may be used; none before they were confirmed since the start.
///
///     dispatch.notAfter = *confirmedUntil(replica);
std::optional<SteadyTime> confirmedUntil(const SettingsReplica&);

/// Whether a request may be dispatched now.
///
///     if (!mayDispatch(replica, now)) answer(Reason::ViewStale);
bool mayDispatch(const SettingsReplica&, SteadyTime now);

/// Whether a majority of the listed instances, this one included, answered heartbeats sent within the view age limit.
bool reachesMajority(const SettingsReplica&, SteadyTime now);

/// The highest version that a majority of the listed instances, this one included, has reached; none when there is
/// none. A change is accepted once this reaches its version.
SettingsVersion majorityVersion(const SettingsReplica&, SteadyTime now);

/// Handles a read of the version row.
ControlActions handleHeadRead(SettingsReplica&, const SettingsHeadRead&, SteadyTime now);

/// Handles fetched settings; null settings mean a failed fetch. Versions that are not higher are ignored.
ControlActions handleSettingsArrived(SettingsReplica&, const SettingsArrived&, SteadyTime now);

/// Handles a peer's answer to a heartbeat of this instance.
ControlActions handleHeartbeatAnswered(SettingsReplica&, const HeartbeatAnswered&, SteadyTime now);

/// Handles a peer's own heartbeat, which reports a version but confirms nothing.
ControlActions handleHeartbeatReceived(SettingsReplica&, const HeartbeatReceived&, SteadyTime now);

/// Handles a heartbeat of this instance that got no answer.
void handleHeartbeatLost(SettingsReplica&, const HeartbeatLost&);

/// Handles a read of the platform's instance list.
void handleInstanceListRead(SettingsReplica&, const InstanceListRead&, SteadyTime now);

/// Requests the reads and fetches that are due and raises alarms; called at every Tick.
ControlActions tick(SettingsReplica&, SteadyTime now);

} // namespace limpetpond
