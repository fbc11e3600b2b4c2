#pragma once

/// Commands to the engines of one pool: load the model, version, adapters and role of the settings.
///
/// The holder of the pool's lease sends them. A bounded number of engines loads at once, since all of them fetch from one
/// rate-limited weight store. A reached state is confirmed periodically, since an engine loses it when it restarts.
/// See docs/design/leases.md.

#include "core/Lease.h"
#include "core/Messages.h"
#include "limpetpond/Settings.h"
#include <map>

namespace limpetpond {

/// Periods and bounds of engine commands.
struct EngineCommandOptions {
    LeaseOptions lease;
    Duration checkPeriod { std::chrono::minutes(1) }; ///< Between commands to an engine that reached its state.
    Duration repeatPeriod { std::chrono::seconds(2) }; ///< Between commands to an engine that has not reached its state.
    int maxLoading { 2 }; ///< Engines of the pool that load at once.
    Duration rankDelay { std::chrono::seconds(15) }; ///< Multiplied by the instance's rank: the delay before it takes the lease.
};

/// The progress of one engine towards its desired state.
struct EngineProgress {
    EngineDesiredState desired;
    bool isOutstanding { false }; ///< A command was sent and not answered.
    bool isLoading { false }; ///< The engine answered that it is loading.
    std::optional<SteadyTime> reachedAt; ///< When the engine last confirmed the desired state.
    std::optional<SteadyTime> sentAt; ///< When the last command was sent.
    SteadyTime wantedSince; ///< When the settings introduced the desired state.
};

/// The state of one pool's commands at one instance; changed only by the functions below.
struct PoolCommands {
    PoolId pool;
    LeaseState lease;
    std::map<TargetId, EngineProgress> engines; ///< Engines with a desired state.
};

/// Makes the state of a pool without engines; `applySettings` adds them.
///
///     PoolCommands commands = makePoolCommands(PoolId("drafts"), InstanceId("a"), now);
///     applySettings(commands, *settings, now);
PoolCommands makePoolCommands(PoolId, InstanceId self, SteadyTime now);

/// Applies the desired states of the settings; the next commands carry a changed state.
void applySettings(PoolCommands&, const Settings&, SteadyTime now);

/// Appends the lease operation and the commands that are due. `rank` is this instance's index among the live ones: the
/// first acts, and later ones act when it doesn't.
///
///     advanceCommands(commands, *settings, options, rank, now, actions);
void advanceCommands(PoolCommands&, const Settings&, const EngineCommandOptions&, std::size_t rank, SteadyTime now, ControlActions& out);

/// Handles the result of a lease operation.
void handlePoolLeaseAnswered(PoolCommands&, const LeaseAnswered&, SteadyTime now);

/// Handles an engine's answer to a command. An answer for an earlier desired state only permits the next command.
void handleCommandAnswered(PoolCommands&, const EngineCommandAnswered&, SteadyTime now);

/// Whether the engine confirmed its desired state; also true for one that has none.
bool hasReachedState(const PoolCommands&, const TargetId&);

} // namespace limpetpond
