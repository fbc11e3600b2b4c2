#pragma once

/// Moves a rollout on: which instance holds it, when the next phase begins, and how it ends.
///
/// The holder writes its position to the rollout's row, under the condition that the row hasn't changed since it was read. Each
/// new holder raises the generation, so that writes of an earlier one fail. The final state is written together with the row
/// that the operator reads, in one transaction, so that two holders never report different ones.

#include "core/Rollout.h"
#include "core/RolloutEvidence.h"
#include <cstdint>
#include <string>
#include <vector>

namespace limpetpond {

/// What another instance has told about the rollout.
struct RolloutMember {
    std::uint32_t hash { 0 }; ///< Of its id.
    SteadyTime heardAt; ///< Its last update.
    RolloutPosition position; ///< The one that it acts upon.
    int oldInProgress { 0 }; ///< Its requests at targets of old versions.
};

struct RolloutHolderInput {
    const Rollout* rollout { nullptr };
    bool isHolder { false }; ///< This instance wrote the current generation.
    int turn { 0 }; ///< Position of this instance in an order of the live instances; 0 takes over first.
    bool isStoreReachable { false };
    bool isOnlyEstablished { false }; ///< The order names a version that is established already, and no other one is.
    int newSlots { 0 }; ///< Of usable targets of the new version.
    int oldSlots { 0 };
    int ownOldInProgress { 0 };
    RolloutVerdict verdict { RolloutVerdict::Undecided };
    std::vector<RolloutMember> members; ///< All instances that were heard since the order, except those that announced their stop and are silent.
};

/// What this instance does next for a rollout.
enum class RolloutAction {
    None,
    TakeOver, ///< Write the row with a higher generation and the phase that is known, `Sample` at least.
    BeginLoad,
    BeginSwitch,
    Stop, ///< The new version gets nothing from now on; needs no write. `RollBack` follows.
    Succeed,
    RollBack,
};

struct RolloutStep {
    RolloutAction action { RolloutAction::None };
    std::string reason; ///< For the log; empty for no action.
};

/// Decides the next step. Call it several times a second.
///
///     RolloutStep step = nextStep(input, now);
RolloutStep nextStep(const RolloutHolderInput&, SteadyTime now);

/// The time at which a rollout that has not reached `Switch` begins it or is rolled back.
SteadyTime decisionTime(const Rollout&);

} // namespace limpetpond
