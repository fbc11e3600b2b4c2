#pragma once

/// Orders to the engines of one pool: load the model, version, adapters and role that the settings want.
///
/// The holder of the pool's lease gives them. A bounded number of engines loads at once, since all fetch
/// from one rate-limited weight store. A state that was reached is checked again from time to time, since
/// an engine that restarts forgets it. See docs/design/leases.md.

#include "core/Lease.h"
#include "core/Messages.h"
#include "limpetpond/Settings.h"
#include <map>

namespace limpetpond {

struct EngineCommandOptions {
    LeaseOptions lease;
    Duration checkPeriod { std::chrono::minutes(1) }; ///< Between orders to an engine that reached its state.
    Duration repeatPeriod { std::chrono::seconds(2) }; ///< Between orders to an engine that has not.
    int maxLoading { 2 }; ///< Engines of the pool that are on their way at once.
    Duration rankDelay { std::chrono::seconds(15) }; ///< How much longer each later live instance waits before it wants the lease.
};

/// How far one engine is.
struct EngineProgress {
    EngineDesiredState desired;
    bool isOutstanding { false }; ///< An order was sent and not answered.
    bool isLoading { false }; ///< The engine said that it is on its way.
    std::optional<SteadyTime> reachedAt;
    std::optional<SteadyTime> sentAt;
    SteadyTime wantedSince;
};

/// The state of one pool's orders at one instance; changed only by the functions below.
struct PoolCommands {
    PoolId pool;
    LeaseState lease;
    std::map<TargetId, EngineProgress> engines; ///< Those with a desired state.
};

/// Makes the state of a pool without engines; `applySettings` adds them.
///
///     PoolCommands orders = makePoolCommands(PoolId("drafts"), InstanceId("a"), now);
///     applySettings(orders, *settings, now);
PoolCommands makePoolCommands(PoolId, InstanceId self, SteadyTime now);

/// Takes over the desired states; a changed one is ordered anew.
void applySettings(PoolCommands&, const Settings&, SteadyTime now);

/// Appends the lease operation and the orders that are due. `rank` is this instance's place among the live
/// ones: the first acts, later ones step in when it doesn't.
///
///     advanceCommands(orders, *settings, options, rank, now, actions);
void advanceCommands(PoolCommands&, const Settings&, const EngineCommandOptions&, std::size_t rank, SteadyTime now, ControlActions& out);

/// Takes in the end of a lease operation.
void handlePoolLeaseAnswered(PoolCommands&, const LeaseAnswered&, SteadyTime now);

/// Takes in an engine's answer to an order; an answer to an earlier desired state only lets the next order go.
void handleCommandAnswered(PoolCommands&, const EngineCommandAnswered&, SteadyTime now);

/// Whether the engine confirmed its desired state; also true for one that has none.
bool hasReachedState(const PoolCommands&, const TargetId&);

} // namespace limpetpond
