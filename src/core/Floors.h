#pragma once

/// Admission floors: strict tiers across all instances of a pool.
///
/// A request of tier h is shed only if this instance serves no lower tier and every live peer has
/// confirmed, in its answer to a heartbeat sent after this instance began to want floor h, that
/// it holds a floor of at least h and serves no lower tier. A peer keeps the floor until it receives
/// that it is no longer wanted, so the confirmation stays valid until this instance withdraws the floor.

#include "core/Messages.h"
#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include <map>
#include <optional>
#include <vector>

namespace limpetpond {

/// The state of a pool as a live peer last reported it.
struct PeerState {
    bool hasAnswered { false }; ///< The peer has answered a heartbeat since it was listed.
    PoolUpdate update;
    std::vector<TargetUpdate> targets;
    std::optional<SteadyTime> confirmedUpTo; ///< The peer has applied this instance's updates sent up to this time.
};

/// A tier that this instance may want as its floor.
struct FloorLevel {
    std::optional<SteadyTime> lastPressureAt; ///< When a request of the tier was last close to being shed.
    std::optional<SteadyTime> wantedSince; ///< When this instance began to want a floor of at least this tier.
};

/// Admission floors of one pool at one instance.
struct FloorState {
    TierLevel wanted; ///< The floor that this instance requests from all peers.
    TierLevel inForce; ///< The highest floor that this instance or a live peer wants.
    SteadyTime inForceSince;
    std::map<TierLevel, FloorLevel> levels;
    std::map<InstanceId, PeerState> peers;
};

/// The tiers of the pool that this instance serves, for `mayShed`.
struct ServedTiers {
    std::optional<TierLevel> lowest; ///< The lowest tier with a request waiting or in progress.
    std::optional<TierLevel> lowestKnown; ///< The lowest tier that the settings list or that has requests.
};

/// Records that a request of the tier is close to being shed.
///
///     recordPressure(floors, TierLevel { 2 }, now);
///     updateFloors(floors, hold, now);
void recordPressure(FloorState&, TierLevel, SteadyTime now);

/// Sets the wanted floor to the highest tier that was under pressure within `hold`, and updates the floor in force.
///
///     updateFloors(floors, std::chrono::seconds(5), now);
///     floors.inForce;
void updateFloors(FloorState&, Duration hold, SteadyTime now);

/// True if a request of the tier may be shed now.
///
///     if (mayShed(floors, { .lowest = lowestServed(pool) }, tier))
///         shed(request);
bool mayShed(const FloorState&, const ServedTiers&, TierLevel);

/// True if a listed peer has not answered yet.
///
///     if (hasPendingPeer(floors)) holdLowerTiers();
bool hasPendingPeer(const FloorState&);

} // namespace limpetpond
