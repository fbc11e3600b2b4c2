#pragma once

/// What the control thread publishes for operators: one immutable snapshot.

#include "core/Drain.h"
#include "core/Messages.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limpetpond {

/// What one instance knows of another, or of itself.
struct InstanceStatus {
    InstanceId instance;
    MemberState state { MemberState::Live };
    bool listed { false };
    bool leaving { false };
    SettingsVersion version; ///< None until the instance has confirmed one.
    std::optional<Duration> lastSeenAge; ///< None for the instance itself and for one never heard.
};

struct PoolStatus {
    PoolId pool;
    int waiting { 0 };
    int inProgress { 0 };
    TierLevel floor;
    std::map<TierLevel, int> waitingByTier;
};

struct TargetControlStatus {
    TargetId target;
    PoolId pool;
    DrainStatus drain;
    bool ejected { false };
    int requestsHere { 0 }; ///< In progress from this instance.
    TokenCount tokensHere;
};

struct ActiveAlarm {
    AlarmKind kind {};
    std::string subject;
    Duration age {};
};

/// A snapshot of one instance's control state, published at least once a second.
struct ControlStatus {
    InstanceId self;
    Incarnation incarnation;
    bool ready { false };
    bool mayDispatch { false };
    bool reachesMajority { false };
    SteadyTime takenAt;
    SettingsVersion version;
    SettingsVersion highestKnown;
    SettingsVersion majorityVersion; ///< The highest version that a majority of the listed instances holds.
    std::optional<Duration> confirmedAge;
    bool storeReachable { false };
    std::vector<InstanceStatus> instances; ///< This one included.
    std::vector<PoolStatus> pools;
    std::vector<TargetControlStatus> targets;
    std::vector<ActiveAlarm> alarms;
};

/// The code of an alarm, such as `settings_went_back`.
std::string_view toString(AlarmKind);

/// The code of a membership state, such as `suspected`.
std::string_view toString(MemberState);

} // namespace limpetpond
