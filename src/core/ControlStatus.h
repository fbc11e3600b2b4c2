#pragma once

/// The immutable snapshot that the control thread publishes for operators.

#include "core/Drain.h"
#include "core/Messages.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limpetpond {

/// The state of an instance as the reporting instance sees it.
struct InstanceStatus {
    InstanceId instance;
    MemberState state { MemberState::Live };
    bool listed { false };
    bool leaving { false };
    SettingsVersion version; ///< None until the instance has confirmed a version.
    std::optional<Duration> lastSeenAge; ///< None for the reporting instance itself and for one that never sent a heartbeat.
};

/// Requests and admission floor of a pool at this instance.
struct PoolStatus {
    PoolId pool;
    int waiting { 0 };
    int inProgress { 0 };
    TierLevel floor;
    std::map<TierLevel, int> waitingByTier;
};

/// The state of a target as this instance sees it.
struct TargetControlStatus {
    TargetId target;
    PoolId pool;
    DrainStatus drain;
    bool ejected { false };
    int requestsHere { 0 }; ///< In progress from this instance.
    TokenCount tokensHere;
};

/// An alarm that was raised recently.
struct ActiveAlarm {
    AlarmKind kind {};
    std::string subject;
    Duration age {}; ///< Since the alarm was last raised.
};

/// A snapshot of one instance's control state, published at least once a second.
struct ControlStatus {
    InstanceId self;
    Incarnation incarnation;
    bool ready { false };
    bool mayDispatch { false };
    bool reachesMajority { false }; ///< See `reachesMajority` in SettingsReplica.h.
    SteadyTime takenAt;
    SettingsVersion version;
    SettingsVersion highestKnown;
    SettingsVersion majorityVersion; ///< The highest version that a majority of the listed instances has in force.
    std::optional<Duration> confirmedAge;
    bool storeReachable { false };
    std::vector<InstanceStatus> instances; ///< Includes this instance.
    std::vector<PoolStatus> pools;
    std::vector<TargetControlStatus> targets;
    std::vector<ActiveAlarm> alarms;
};

/// The code of an alarm, such as `settings_went_back`.
std::string_view toString(AlarmKind);

/// The code of a membership state, such as `suspected`.
std::string_view toString(MemberState);

} // namespace limpetpond
