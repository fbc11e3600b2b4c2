#pragma once

/// Strict tiers over all instances: floors that instances ask of each other and confirm.
///
/// A request of tier h is shed only when no lower tier is served here and every live peer has
/// confirmed, in an answer to a heartbeat sent after this instance began to want floor h, that
/// it holds a floor of at least h and serves nothing lower. A peer keeps that floor until it
/// hears that it is wanted no longer, so the confirmation stays true until it is taken back here.

#include "core/Messages.h"
#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include <map>
#include <optional>
#include <vector>

namespace limpetpond {

/// What a live peer last said of the pool.
struct PeerState {
    bool hasAnswered { false }; ///< It has answered since it was listed.
    PoolUpdate update;
    std::vector<TargetUpdate> targets;
    std::optional<SteadyTime> confirmedUpTo; ///< It had taken in what we said up to this time.
};

/// One tier that may be wanted as a floor.
struct FloorLevel {
    std::optional<SteadyTime> lastPressureAt; ///< The last time that the tier was close to being shed.
    std::optional<SteadyTime> wantedSince; ///< Since when a floor of at least this tier is wanted.
};

/// Floors of one pool at one instance.
struct FloorState {
    TierLevel wanted; ///< Asked of all others.
    TierLevel inForce; ///< The highest that this instance or a live peer wants.
    SteadyTime inForceSince;
    std::map<TierLevel, FloorLevel> levels;
    std::map<InstanceId, PeerState> peers;
};

/// What of the pool is served here, for the check of a floor.
struct ServedTiers {
    std::optional<TierLevel> lowest; ///< Waiting or in progress.
    std::optional<TierLevel> lowestKnown; ///< By the settings: no tier lies below.
};

/// Notes that a request of the tier is close to being shed.
///
///     recordPressure(floors, TierLevel { 2 }, now);
///     updateFloors(floors, hold, now);
void recordPressure(FloorState&, TierLevel, SteadyTime now);

/// Raises the wanted floor to the highest tier under pressure and lowers it again once there was none for `hold`.
///
///     updateFloors(floors, std::chrono::seconds(5), now);
///     floors.inForce;
void updateFloors(FloorState&, Duration hold, SteadyTime now);

/// True where a request of the tier may be shed now.
///
///     if (mayShed(floors, { .lowest = lowestServed(pool) }, tier))
///         shed(request);
bool mayShed(const FloorState&, const ServedTiers&, TierLevel);

/// True where a listed peer has not answered yet.
///
///     if (hasPendingPeer(floors)) holdLowerTiers();
bool hasPendingPeer(const FloorState&);

} // namespace limpetpond
