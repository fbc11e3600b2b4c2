#pragma once

/// The names of a rollout's states in log lines.

#include "core/RolloutHolder.h"
#include <set>
#include <string>
#include <string_view>

namespace limpetpond {

/// The names of phases, actions and verdicts, such as "rolled_back".
std::string_view phaseName(RolloutPhase);
std::string_view actionName(RolloutAction);
std::string_view verdictName(RolloutVerdict);

/// The versions, separated by commas.
std::string joinedVersions(const std::set<TargetVersion>&);

} // namespace limpetpond
