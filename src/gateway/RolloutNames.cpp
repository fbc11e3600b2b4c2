#include "gateway/RolloutNames.h"

namespace limpetpond {

std::string_view phaseName(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::NotStarted:
        return "not_started";
    case RolloutPhase::Sample:
        return "sample";
    case RolloutPhase::Load:
        return "load";
    case RolloutPhase::Switch:
        return "switch";
    case RolloutPhase::Succeeded:
        return "succeeded";
    case RolloutPhase::RolledBack:
        return "rolled_back";
    }
    return "unknown";
}

std::string_view actionName(RolloutAction action)
{
    switch (action) {
    case RolloutAction::None:
        return "none";
    case RolloutAction::TakeOver:
        return "take_over";
    case RolloutAction::BeginLoad:
        return "begin_load";
    case RolloutAction::BeginSwitch:
        return "begin_switch";
    case RolloutAction::Stop:
        return "stop";
    case RolloutAction::Succeed:
        return "succeed";
    case RolloutAction::RollBack:
        return "roll_back";
    }
    return "unknown";
}

std::string_view verdictName(RolloutVerdict verdict)
{
    switch (verdict) {
    case RolloutVerdict::Undecided:
        return "undecided";
    case RolloutVerdict::Bad:
        return "bad";
    case RolloutVerdict::Sound:
        return "sound";
    }
    return "unknown";
}

std::string joinedVersions(const std::set<TargetVersion>& versions)
{
    std::string text;
    for (const TargetVersion& version : versions)
        text.append(text.empty() ? "" : ",").append(version.value());
    return text;
}

} // namespace limpetpond
